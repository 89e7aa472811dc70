//! Crashes of workers, and the runs that may have caused them.
//!
//! An agent reports which starts its worker had not survived when its connections broke. Whether
//! the worker has crashed is known only once another incarnation of it reports, or the platform no
//! longer lists it, which may take seconds. The agent and this owner may both end before that, so
//! the report is recorded at once, as unsettled.

use quincewheel_job::{Id, Incarnation, State, Task};
use quincewheel_policy::is_given_up;
use quincewheel_wire::list_causes;

use crate::entry::Key;
use crate::owner::{Owner, task};
use crate::reports::task_key;

/// Most crashes with several suspects that are remembered. A task that is retried alone crashes
/// its worker within a second, and few workers crash in that time.
const MAX_SUSPECT_GROUPS: usize = 32;

/// A worker that broke its connections, and the starts that may have crashed it.
#[derive(Clone, Debug)]
pub(crate) struct SuspectedCrash {
    /// The incarnation of the worker.
    pub worker: Incarnation,
    /// The starts just before, one of which is the probable cause: tasks and numbers of their runs.
    pub likely: Vec<(Task, u64)>,
    /// Other starts that may be the cause.
    pub possible: Vec<(Task, u64)>,
}

impl SuspectedCrash {
    fn starts(&self) -> impl Iterator<Item = &(Task, u64)> {
        self.likely.iter().chain(&self.possible)
    }

    fn names(&self, start: &(Task, u64)) -> bool {
        self.likely.contains(start) || self.possible.contains(start)
    }
}

impl Owner {
    /// Handles a worker that broke its connections just after starts. Workers that shut down or
    /// whose machine is taken down break them, too, and are ignored here.
    pub(crate) fn on_connections_broken(&mut self, name: &str, crash: SuspectedCrash) {
        let causes = list_causes(&crash.likely, &crash.possible);
        self.log("worker broke", name, format!("{} just after {causes}", crash.worker));
        let Some(agent) = self.agents.get_mut(name) else { return };
        let current = agent.worker.as_ref().filter(|known| known.is_incarnation(&crash.worker));
        if current.is_some_and(|worker| worker.draining) || agent.shutdown_requested {
            return;
        }
        let restarted = current.is_none() && agent.worker.is_some();
        if restarted {
            return self.count_crashes(name, crash);
        }
        let earlier = agent.suspected_crash.replace(crash.clone());
        let among = crash.likely.len() + crash.possible.len();
        for (task, run) in crash.starts() {
            self.record_unsettled(task, *run, among);
        }
        match earlier {
            // The agent has learned since that the worker did not receive some of the starts.
            Some(earlier) if earlier.worker == crash.worker => {
                for (task, run) in earlier.starts().filter(|start| !crash.names(start)) {
                    self.withdraw(task, *run);
                }
            }
            // A worker has one incarnation at a time, and its agent reports them in order.
            Some(earlier) => self.count_crashes(name, earlier),
            None => {}
        }
    }

    /// Returns whether the previous incarnation of the agent's worker may have been crashed by a
    /// task.
    pub(crate) fn follows_crash(&self, name: &str, worker: &Incarnation) -> bool {
        let crash = self.agents.get(name).and_then(|agent| agent.suspected_crash.as_ref());
        crash.is_some_and(|crash| crash.worker != *worker)
    }

    /// Counts the crash of an agent's worker against the tasks that may have caused it.
    pub(crate) fn attribute_crash(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        if let Some(crash) = agent.suspected_crash.take() {
            self.count_crashes(name, crash);
        }
    }

    /// Counts a crash against the tasks that may have caused it.
    fn count_crashes(&mut self, name: &str, crash: SuspectedCrash) {
        let SuspectedCrash { likely, possible, .. } = crash;
        let among = likely.len() + possible.len();
        for (task, run) in &likely {
            self.count_crash(name, (task, *run), among, true);
        }
        for (task, run) in &possible {
            self.count_crash(name, (task, *run), among, false);
        }
        let tasks: Vec<Task> = likely.into_iter().chain(possible).map(|(task, _)| task).collect();
        match &tasks[..] {
            [] => {}
            [culprit] => self.exonerate_others(culprit),
            _ => {
                self.suspect_groups.push(tasks);
                if self.suspect_groups.len() > MAX_SUSPECT_GROUPS {
                    self.suspect_groups.remove(0);
                }
            }
        }
    }

    /// Lets other suspects of earlier crashes start again after `culprit` crashed a worker alone:
    /// they were hardly the cause. They keep their counts, since one crash may have hit several
    /// faulty tasks.
    fn exonerate_others(&mut self, culprit: &Task) {
        let with_culprit = |tasks: &mut Vec<Task>| tasks.contains(culprit);
        let others: Vec<Vec<Task>> = self.suspect_groups.extract_if(.., with_culprit).collect();
        for task in others.iter().flatten().filter(|task| *task != culprit) {
            let Some(entry) = self.jobs.get_mut(&task.job) else { continue };
            entry.exonerated.insert(entry.slot(task_key(task)));
            self.replan = true;
        }
    }

    /// Counts a crash against one of the `among` runs that may have caused it.
    fn count_crash(&mut self, name: &str, (task, run): (&Task, u64), among: usize, likely: bool) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if !entry.may_have_crashed(task, run, among)
            || !entry.progress.record_crash(&entry.job, task, run, likely)
        {
            return;
        }
        entry.exonerated.remove(&entry.slot(task_key(task)));
        entry.crash_unrecorded = true;
        entry.reservations.remove(&(task.occurrence, task.step));
        let crashes = entry.progress.crash_count(&entry.job, task);
        let kind = if likely { "likely" } else { "possible" };
        let detail = format!("{task} run {run} at {name}, {kind} cause, one of {among}: {crashes}");
        self.log("crash suspected", &task.job, detail);
        self.mark_dirty(&task.job, true);
        self.replan = true;
    }

    /// Records that one of `among` runs may be crashing its worker.
    fn record_unsettled(&mut self, task: &Task, run: u64, among: usize) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if entry.may_have_crashed(task, run, among)
            && entry.progress.mark_unsettled(&entry.job, task, run)
        {
            entry.crash_unrecorded = true;
            self.mark_dirty(&task.job, true);
        }
    }

    /// Handles a worker that answers after it broke its connections, or shuts down, so that it has
    /// not crashed.
    pub(crate) fn dismiss_crash(&mut self, name: &str) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(crash) = agent.suspected_crash.take() else { return };
        for (task, run) in crash.starts() {
            self.withdraw(task, *run);
        }
    }

    /// Ends the jobs of tasks that may have crashed too many workers and run nowhere any more.
    ///
    /// A former owner may have recorded that a run may be crashing its worker and ended before it
    /// knew. If nobody has seen the worker survive since, this counts as a crash.
    pub(crate) fn give_up_suspects(&mut self) {
        let suspected = self.jobs.iter().filter(|(_, entry)| entry.progress.has_suspects());
        let given_up = suspected.filter(|(id, entry)| {
            let waits = |key: &Key| entry.runs.keys().all(|known| entry.slot(*known) != *key);
            let mut suspects = entry.progress.suspected_tasks().into_iter().filter(waits);
            self.is_accounted_for(entry)
                && suspects.any(|key| {
                    let crashes = entry.progress.crash_count(&entry.job, &task(id, key));
                    is_given_up(crashes.likely, crashes.total)
                })
        });
        let given_up: Vec<Id> = given_up.map(|(id, _)| id.clone()).collect();
        for id in given_up {
            self.end_job(&id, State::Failed, self.now);
        }
    }

    /// Withdraws the record that a run may be crashing its worker.
    fn withdraw(&mut self, task: &Task, run: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        if !entry.progress.withdraw(&entry.job, task, run) {
            return;
        }
        entry.crash_unrecorded &= entry.progress.has_suspects();
        self.replan = true;
        self.mark_dirty(&task.job, false);
    }
}
