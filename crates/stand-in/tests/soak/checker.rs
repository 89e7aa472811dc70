//! Checks what clients and workers observe against the guarantees.

use std::collections::{BTreeMap, BTreeSet};

use crate::fleet::End;

/// A task: job, step, index.
pub type Task = (String, u32, u32);

/// A step of a job of the soak.
#[derive(Clone, Debug)]
pub struct Step {
    pub count: u32,
    pub accelerators: u64,
    pub gang: bool,
    /// Its tasks run slower when spread over racks.
    pub same_rack: bool,
    pub after: Vec<u32>,
    pub ms: u64,
}

/// A job, and the outcome of its submission.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its path at the entries.
    pub path: String,
    /// The key of its team; none for the current key of the team whose keys are rotated.
    pub key: Option<&'static str>,
    pub spec: String,
    pub steps: Vec<Step>,
    pub submit_outcome: SubmitOutcome,
    pub cancelled: bool,
    /// One run in this many of its tasks fails; 0 for none.
    pub fail_interval: u64,
    /// So many first runs of each of its tasks fail.
    pub failing_runs: u32,
    /// The first task of its first step crashes each worker that starts it.
    pub crashes: bool,
}

/// The outcome of a submission as its client sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// No answer yet, or none that says whether the job was accepted.
    Unclear,
    Accepted,
    /// Every attempt was answered as not accepted.
    Refused,
}

/// Number of failures of one task after which its job has failed.
pub const MAX_FAILURES: u32 = 3;

/// Crashes of workers under a task after which its job may be given up: a task that crashes every
/// worker cannot succeed, and unrelated crashes just after its starts count, too.
const MIN_CRASHES_TO_FAIL: usize = 1;
/// Crashes after which a task may start [`MAX_STARTS_AFTER_CRASHES`] more times.
const CRASH_LIMIT: usize = 3;
const MAX_STARTS_AFTER_CRASHES: usize = 2;

/// Returns whether a state that a client is shown is the last one.
pub fn is_final(state: &str) -> bool {
    matches!(state, "succeeded" | "failed" | "cancelled" | "gone")
}

/// A start of a task.
struct Start {
    task: Task,
    /// Worker, incarnation and run.
    location: (usize, u64, u64),
    /// Its place in the order of all starts and ends.
    order: u64,
}

/// Checks events in the order in which they happen.
#[derive(Default)]
pub struct Checker {
    pub jobs: BTreeMap<String, Job>,
    /// Number of starts and ends so far.
    event_count: u64,
    /// All starts, by the key under which ends are counted.
    all_starts: BTreeMap<Task, Vec<Start>>,
    /// Failures that were acknowledged before the worker's lease lapsed: their places in the order
    /// of all starts and ends, sorted, and their runs.
    valid_failures: BTreeMap<Task, BTreeSet<(u64, u64)>>,
    /// Where each task runs: worker, incarnation and run.
    running: BTreeMap<Task, (usize, u64, u64)>,
    /// Tasks that ended as `done`, with the end acknowledged to the worker as recorded.
    recorded_done: BTreeSet<Task>,
    /// Indices of all tasks that ended as `done`, by job and step.
    finished: BTreeMap<(String, u32), BTreeSet<u32>>,
    /// Jobs whose end a client was shown.
    ended_jobs: BTreeSet<String>,
    /// Failures that were acknowledged as recorded: their places in the order of all starts and
    /// ends, sorted, and their runs.
    failed: BTreeMap<Task, BTreeSet<(u64, u64)>>,
    /// Runs that have ended as `failed`, noticed by any process or not.
    failed_runs: BTreeMap<Task, u32>,
    /// Failures that workers have listed.
    listed_failures: BTreeMap<Task, u32>,
    /// Crashes of workers under each task, and its starts since [`CRASH_LIMIT`] was reached.
    crashed: BTreeMap<Task, (usize, usize)>,
    pub violations: Vec<String>,
    pub starts: u64,
    /// Starts of tasks that had ended as `done`. They break a rule only if such an end is
    /// acknowledged before a lapse of the worker's lease.
    pub repeats: u64,
}

impl Checker {
    /// Returns the key under which a task's ends are counted; members of a gang share one.
    fn slot(&self, task: &Task) -> Task {
        (task.0.clone(), task.1, if self.is_gang(task) { 0 } else { task.2 })
    }

    /// Returns whether a task is a member of a gang.
    fn is_gang(&self, task: &Task) -> bool {
        self.jobs.get(&task.0).is_some_and(|job| job.steps[task.1 as usize].gang)
    }

    /// Returns the place of a new event in the order of all starts and ends.
    pub fn count_event(&mut self) -> u64 {
        self.event_count += 1;
        self.event_count
    }

    /// Records that a worker starts a run.
    pub fn on_start(&mut self, worker: usize, incarnation: u64, task: &Task, run: u64, spec: &str) {
        self.starts += 1;
        let location = (worker, incarnation, run);
        let slot = self.slot(task);
        let order = self.count_event();
        let done = self.finished.get(&(task.0.clone(), task.1));
        self.repeats += u64::from(done.is_some_and(|indices| indices.contains(&task.2)));
        let is_late_member = self.is_late_member(task, run);
        let start = Start { task: task.clone(), location, order };
        self.all_starts.entry(slot.clone()).or_default().push(start);
        let Some(job) = self.jobs.get(&task.0) else {
            return self.report(format!("UNASKED {task:?}: nobody submitted the job"));
        };
        let open = |before: &&u32| {
            let count = job.steps[**before as usize].count as usize;
            let ended = self.finished.get(&(task.0.clone(), **before));
            ended.map_or(0, BTreeSet::len) < count
        };
        let early = job.steps[task.1 as usize].after.iter().find(open).copied();
        let other_spec = job.spec != spec;
        let refused = job.submit_outcome == SubmitOutcome::Refused;
        let failures = self.failed.get(&slot).map_or(0, BTreeSet::len);
        let elsewhere = self.running.get(task).copied().filter(|known| *known != location);
        let faults = [
            (other_spec, format!("UNASKED {task:?}: another spec")),
            (refused, format!("REFUSED {task:?}: the job was refused and runs")),
            (early.is_some(), format!("ORDER {task:?}: step {early:?} is not done")),
            (
                self.recorded_done.contains(task),
                format!("TWICE {task:?}: done and recorded before"),
            ),
            (
                failures >= MAX_FAILURES as usize && !is_late_member,
                format!("BUDGET {task:?}: failed {failures} times"),
            ),
            (elsewhere.is_some(), format!("TWICE {task:?}: {location:?} beside {elsewhere:?}")),
        ];
        for (wrong, text) in faults {
            if wrong {
                self.report(text);
            }
        }
        self.running.insert(task.clone(), location);
        self.start_after_crashes(task);
    }

    /// Returns whether a start is the first one of a member of a gang in the run with which the gang
    /// failed for the last time. The members are ordered to start together, and where one fails at
    /// once, the order of another may still be on its way when the failure is acknowledged.
    fn is_late_member(&self, task: &Task, run: u64) -> bool {
        let slot = self.slot(task);
        let failures = self.failed.get(&slot);
        let last = failures.and_then(|failures| failures.iter().nth(MAX_FAILURES as usize - 1));
        let started = |start: &Start| start.task == *task && start.location.2 == run;
        self.is_gang(&slot)
            && last.is_some_and(|(_, failed)| *failed == run)
            && !self.all_starts.get(&slot).is_some_and(|starts| starts.iter().any(started))
    }

    /// Returns the number of jobs that were accepted.
    pub fn accepted_count(&self) -> usize {
        self.jobs.values().filter(|job| job.submit_outcome == SubmitOutcome::Accepted).count()
    }

    /// Returns whether the task crashes every worker that starts it.
    pub fn crashes_workers(&self, task: &Task) -> bool {
        self.jobs.get(&task.0).is_some_and(|job| job.crashes) && (task.1, task.2) == (0, 0)
    }

    /// Records that a worker crashed under a task.
    pub fn on_crash(&mut self, task: &Task) {
        self.crashed.entry(task.clone()).or_default().0 += 1;
    }

    fn start_after_crashes(&mut self, task: &Task) {
        let Some((crashes, starts)) = self.crashed.get_mut(task) else { return };
        if *crashes < CRASH_LIMIT {
            return;
        }
        *starts += 1;
        if *starts > MAX_STARTS_AFTER_CRASHES {
            let text = format!("BUDGET {task:?}: start {starts} after {crashes} crashes");
            self.report(text);
        }
    }

    /// Records that a run has ended, for whatever reason.
    pub fn on_run_over(&mut self, worker: usize, incarnation: u64, task: &Task, run: u64) {
        if self.running.get(task) == Some(&(worker, incarnation, run)) {
            self.running.remove(task);
        }
    }

    /// Records that a task ended as `done`.
    pub fn on_done(&mut self, task: &Task) {
        let step = (task.0.clone(), task.1);
        self.finished.entry(step).or_default().insert(task.2);
    }

    /// Records that a task ended as `failed`.
    pub fn on_failed(&mut self, task: &Task) {
        let slot = self.slot(task);
        *self.failed_runs.entry(slot).or_default() += 1;
    }

    /// Returns whether the next run of a task fails since its job lets its first ones fail.
    pub fn fails_at_first(&self, task: &Task) -> bool {
        let failing = self.jobs.get(&task.0).map_or(0, |job| job.failing_runs);
        failing > 0 && self.failed_runs.get(&self.slot(task)).copied().unwrap_or(0) < failing
    }

    /// Records that an end was acknowledged to the worker as recorded.
    pub fn on_end_recorded(&mut self, end: &End) {
        if end.how == "done" {
            self.recorded_done.insert(end.task.clone());
        }
        if end.how == "failed" {
            let slot = self.slot(&end.task);
            self.failed.entry(slot).or_default().insert((end.order, end.run));
        }
        if !end.lease_lapsed {
            self.check_starts_since(end);
        }
    }

    /// Checks that nothing was started between an end and its acknowledgement that the end rules
    /// out. [`Checker::on_start`] checks the starts after the acknowledgement.
    fn check_starts_since(&mut self, end: &End) {
        match end.how {
            "done" => self.check_starts_since_done(end),
            "failed" => self.check_starts_since_failure(end),
            _ => {}
        }
    }

    fn check_starts_since_done(&mut self, end: &End) {
        let End { task, run, order, .. } = end;
        let starts = self.all_starts.get(&self.slot(task)).into_iter().flatten();
        let later = |start: &&Start| start.task == *task && start.order > *order;
        let texts: Vec<String> = starts
            .filter(later)
            .map(|start| {
                let location = start.location;
                format!("TWICE {task:?}: {location:?} after run {run} had ended as done")
            })
            .collect();
        self.violations.extend(texts);
    }

    fn check_starts_since_failure(&mut self, end: &End) {
        let slot = self.slot(&end.task);
        let failures = self.valid_failures.entry(slot.clone()).or_default();
        failures.insert((end.order, end.run));
        let Some((order, run)) = failures.iter().nth(MAX_FAILURES as usize - 1).copied() else {
            return;
        };
        let gang = self.is_gang(&slot);
        // Members of a gang share the run, and may start after another member has failed.
        let later = |start: &&Start| start.order > order && !(gang && start.location.2 == run);
        let starts = self.all_starts.get(&slot).into_iter().flatten();
        let texts: Vec<String> = starts
            .filter(later)
            .map(|start| {
                let Start { task, location, .. } = start;
                format!("BUDGET {task:?}: {location:?} after {MAX_FAILURES} runs had failed")
            })
            .collect();
        self.violations.extend(texts);
    }

    /// Records that a worker listed a failure to its agent. It may count from then on: the owner
    /// may record it and end, or the worker may restart, before it is acknowledged.
    pub fn on_failure_listed(&mut self, task: &Task) {
        let slot = self.slot(task);
        *self.listed_failures.entry(slot).or_default() += 1;
    }

    /// Checks a state that a client received.
    pub fn check_state(&mut self, id: &str, state: &str) {
        let Some(job) = self.jobs.get(id) else { return };
        if is_final(state) {
            self.ended_jobs.insert(id.to_owned());
        }
        let all = (0u32..).zip(&job.steps).all(|(number, _)| self.is_done(id, number));
        let failure_count = self.failure_count(id);
        let may_be_given_up =
            self.crashed.iter().any(|(task, (n, _))| task.0 == id && *n >= MIN_CRASHES_TO_FAIL);
        let (cancelled, accepted) = (job.cancelled, job.submit_outcome == SubmitOutcome::Accepted);
        match state {
            "succeeded" if !all => self.report(format!("MIXED {id}: succeeded with tasks left")),
            "failed" if failure_count < MAX_FAILURES && !may_be_given_up => {
                self.report(format!(
                    "LOST {id}: failed after {failure_count} of {MAX_FAILURES} failures"
                ));
            }
            "cancelled" if !cancelled => self.report(format!("LOST {id}: nobody cancelled it")),
            "gone" if accepted && !cancelled => {
                self.report(format!("LOST {id}: accepted, and unknown"));
            }
            _ => {}
        }
    }

    /// Returns whether all tasks of a step have ended as `done`.
    fn is_done(&self, id: &str, number: u32) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let ended = self.finished.get(&(id.to_owned(), number));
        ended.map_or(0, BTreeSet::len) >= job.steps[number as usize].count as usize
    }

    /// Returns the most failures of one task of a job that workers have listed.
    fn failure_count(&self, id: &str) -> u32 {
        let from = (id.to_owned(), 0, 0);
        let failures = self.listed_failures.range(from..).take_while(|(task, _)| task.0 == id);
        failures.map(|(_, count)| *count).max().unwrap_or(0)
    }

    /// Returns whether a step's turn has come, and tasks of it have not ended as `done`.
    pub fn is_ready(&self, id: &str, number: u32) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let mut before = job.steps[number as usize].after.iter();
        !self.is_done(id, number) && before.all(|before| self.is_done(id, *before))
    }

    /// Returns whether a worker has started a task of a job.
    pub fn has_started_at(&self, id: &str, worker: usize) -> bool {
        let mut starts = self.all_starts.iter().filter(|(task, _)| task.0 == id);
        starts.any(|(_, starts)| starts.iter().any(|start| start.location.0 == worker))
    }

    /// Returns whether a job is accepted, and neither cancelled nor ended as far as clients and
    /// workers see, and can succeed.
    pub fn is_owed(&self, id: &str, job: &Job) -> bool {
        job.submit_outcome == SubmitOutcome::Accepted
            && !job.cancelled
            && !job.crashes
            && !self.ended_jobs.contains(id)
            && self.failure_count(id) < MAX_FAILURES
    }

    pub fn report(&mut self, violation: String) {
        self.violations.push(violation);
    }
}
