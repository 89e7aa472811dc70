//! Applies the ends of runs that workers list to the owner's state.

use quincewheel_job::{End, How, Incarnation, State, Task};

use crate::owner::Owner;
use crate::reports::task_key;

impl Owner {
    /// Applies one end that a worker lists. Ends are numbered; each is applied once.
    pub(crate) fn on_end(&mut self, name: &str, from: &Incarnation, end: &End, now: u64) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        if end.number <= agent.last_end {
            return self.log_ignored_end(name, from, end);
        }
        agent.last_end = end.number;
        let key = task_key(&end.task);
        let job = end.task.job.clone();
        let Some(entry) = self.jobs.get_mut(&job) else {
            return self.log_unknown_end(name, end);
        };
        let slot = entry.slot(key);
        let known = entry.runs.get(&key);
        let vacant = known.is_none();
        let current = known.is_some_and(|placed| placed.worker == *from && placed.run == end.run);
        let run = current.then(|| entry.remove_run(&key, now)).flatten();
        let later = entry.runs.get(&key).filter(|placed| placed.run > end.run);
        let later = later.map(|placed| format!("run {} at {}", placed.run, placed.agent));
        // The end of a run that was taken for over may also be what later steps wait for.
        self.replan |= current || vacant;
        if current || vacant {
            entry.update_checkpoint(slot, &end.saved);
        }
        let timing = run.as_ref().map(|run| run.timing_detail(now)).unwrap_or_default();
        let factor =
            run.as_ref().map(|run| self.factor_detail(&end.task, run, now)).unwrap_or_default();
        let detail =
            format!("{} run {} {:?} at {name}{factor}{timing}", end.task, end.run, end.how);
        self.log("run ended", &job, detail);
        if let Some(later) = later.filter(|_| end.how == How::Done) {
            let detail = format!("{} run {} at {name}, {later} was started", end.task, end.run);
            self.log("done before restart", &job, detail);
        }
        if matches!(end.how, How::Done | How::Failed) {
            self.on_start_survived(&end.task, end.run);
        }
        self.record_outcome(name, from, end, run.as_ref(), now);
        match end.how {
            How::Done => {
                if let Some(run) = run {
                    self.record_unheard_end(&end.task, &run);
                    self.record_run_time(&end.task, &run, now);
                }
                self.on_done(name, &end.task, now);
            }
            How::Failed => self.on_failed(name, &end.task, end.run, now),
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {}
        }
        self.close_if_finished(&job);
    }

    /// Logs an end of a job that this owner does not know. It will be acknowledged, so if the job
    /// became known later, its task would run again.
    fn log_unknown_end(&mut self, name: &str, end: &End) {
        let job = &end.task.job;
        if !self.ended_jobs.contains(job) {
            let detail = format!("{} run {} {:?} at {name}", end.task, end.run, end.how);
            self.log("end of unknown job", job, detail);
        }
    }

    /// Formats for the log, when a run is taken for over, how long its worker has owed a reply and
    /// how long its lease may last from now.
    pub(crate) fn lease_detail(&self, name: &str, now: u64) -> String {
        let Some(agent) = self.agents.get(name) else { return String::new() };
        let left = agent.leases_expire_at.saturating_sub(now);
        format!("; silent for {} ms, lease for {left} ms", agent.silent_ms)
    }

    /// Logs an end whose number was already processed, if its run is still recorded as active:
    /// the number may then belong to another end.
    fn log_ignored_end(&mut self, name: &str, from: &Incarnation, end: &End) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let placed = entry.runs.get(&task_key(&end.task));
        if placed.is_some_and(|placed| placed.worker == *from && placed.run == end.run) {
            let End { number, task, run, how, .. } = end;
            let detail = format!("{task} run {run} {how:?} at {name}, number {number}");
            self.log("end passed over", &task.job, detail);
        }
    }

    /// Marks a task as done, and with it its whole gang.
    fn on_done(&mut self, name: &str, task: &Task, now: u64) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.consecutive_failures = 0;
            agent.deprioritized_until = 0;
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let before = entry.progress.state;
        let step = entry.job.steps.get(task.step as usize);
        if before.is_final() || step.is_some_and(|step| step.perpetual) {
            return;
        }
        entry.progress.mark_done(&entry.job, task);
        let ended = entry.progress.state.is_final();
        // A speculative copy of a finished task is no longer needed.
        let other = entry.runs.contains_key(&task_key(task));
        let gang = step_is_gang(entry.job.steps.get(task.step as usize));
        self.mark_dirty(&task.job, ended);
        if other && !gang {
            self.stop_run(&task.job, task_key(task), now);
        }
        if ended {
            self.log_job_end(&task.job, State::Succeeded);
        }
    }

    /// Counts a failure against the worker and the task; the job fails with its last attempt.
    fn on_failed(&mut self, name: &str, task: &Task, run: u64, now: u64) {
        let cooldown = self.settings.failure_cooldown;
        if let Some(agent) = self.agents.get_mut(name) {
            agent.consecutive_failures += 1;
            agent.deprioritized_until =
                now + cooldown * u64::from(agent.consecutive_failures.min(3));
        }
        self.record_avoidance(name, task, now);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let perpetual = entry.step(task_key(task)).is_some_and(|step| step.perpetual);
        // The failures of a task that is done were dropped with its record.
        if entry.progress.state.is_final() || perpetual || entry.progress.is_done(task) {
            return;
        }
        let failures = entry.progress.record_failure(&entry.job, task, run);
        let last = failures >= entry.job.queue.attempts;
        self.mark_dirty(&task.job, last);
        if last {
            self.end_job(&task.job, State::Failed, now);
        }
    }

    /// Closes an ended job once none of its runs is left and its end is recorded.
    fn close_if_finished(&mut self, id: &str) {
        let finished =
            |entry: &crate::entry::Entry| entry.progress.state.is_final() && entry.runs.is_empty();
        if !self.jobs.get(id).is_some_and(finished) || self.dirty.contains(id) {
            return;
        }
        if self.record_in_flight {
            // The batch in flight may hold the job, or not: it is closed with the next one.
            self.mark_dirty(id, false);
        } else {
            self.close_job(id);
        }
    }
}

fn step_is_gang(step: Option<&quincewheel_job::Step>) -> bool {
    step.is_some_and(|step| step.gang)
}
