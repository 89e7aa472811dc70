//! The rule that is checked at the workers: no two runs of a task at the same time, and no start
//! after an end as done that is acknowledged then or later without a lapse of the lease in between.

use std::collections::BTreeMap;

use quincewheel_job::Task;

/// Starts and ends at all workers, by task.
#[derive(Default)]
pub struct Audit {
    tasks: BTreeMap<Task, History>,
    pub starts: usize,
    pub violations: Vec<String>,
}

#[derive(Default)]
struct History {
    starts: Vec<Start>,
    /// Ends as done that have been acknowledged without a lapse of the lease.
    noted: Vec<(usize, u64, u64)>,
}

struct Start {
    worker: usize,
    run: u64,
    at: u64,
    over: bool,
}

impl Audit {
    pub fn on_start(&mut self, worker: usize, task: &Task, run: u64, now: u64) {
        self.starts += 1;
        let history = self.tasks.entry(task.clone()).or_default();
        for other in history.starts.iter().filter(|start| !start.over) {
            self.violations.push(format!(
                "{now}: {task} run {run} starts at w{worker} beside run {} at w{} since {}",
                other.run, other.worker, other.at
            ));
        }
        for (other, number, ended) in &history.noted {
            self.violations.push(format!(
                "{now}: {task} run {run} starts at w{worker} after run {number} at w{other} ended \
                 as done at {ended}"
            ));
        }
        history.starts.push(Start { worker, run, at: now, over: false });
    }

    /// Records that a run is over, for whatever reason.
    pub fn on_over(&mut self, worker: usize, task: &Task, run: u64) {
        let history = self.tasks.entry(task.clone()).or_default();
        let starts = history.starts.iter_mut();
        for start in starts.filter(|start| (start.worker, start.run) == (worker, run)) {
            start.over = true;
        }
    }

    /// How many runs of the task have started.
    pub fn start_count(&self, task: &Task) -> usize {
        self.tasks.get(task).map_or(0, |history| history.starts.len())
    }

    /// Whether an end of the task as done has been acknowledged.
    pub fn is_noted(&self, task: &Task) -> bool {
        self.tasks.get(task).is_some_and(|history| !history.noted.is_empty())
    }

    /// Records that an end as done was acknowledged, with no lapse since the end.
    pub fn on_noted(&mut self, worker: usize, task: &Task, (run, ended): (u64, u64), now: u64) {
        let history = self.tasks.entry(task.clone()).or_default();
        for later in history.starts.iter().filter(|start| start.at > ended) {
            self.violations.push(format!(
                "{now}: {task} run {run} at w{worker} ended as done at {ended} and is noted; run {} \
                 had started at w{} at {}",
                later.run, later.worker, later.at
            ));
        }
        history.noted.push((worker, run, ended));
    }
}
