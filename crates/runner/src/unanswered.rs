use quincewheel_job::Task;

/// How long after it was made a start without a reply may still be carried out. Workers have
/// taken up to 12 s.
const MAX_START_DELAY_MS: u64 = 15_000;

/// Starts that got no reply.
///
/// A worker may carry one out seconds later, unless it was ordered to stop that run before. A
/// worker that restarts under the same id forgets those stops, and a call names the worker by its
/// id only. So a start that was settled with a former incarnation could be carried out by the
/// next one, beside a later run of its task elsewhere.
#[derive(Debug, Default)]
pub(crate) struct Unanswered {
    starts: Vec<Start>,
}

#[derive(Debug)]
struct Start {
    /// Id of the worker, which its incarnations may share.
    worker: String,
    task: Task,
    run: u64,
    at: u64,
}

impl Unanswered {
    /// Adds a start at a worker with this id, and drops those that can no longer take effect.
    pub fn insert(&mut self, worker: &str, task: Task, run: u64, now: u64) {
        self.starts.retain(|start| now < start.at + MAX_START_DELAY_MS);
        self.starts.push(Start { worker: worker.to_owned(), task, run, at: now });
    }

    /// Returns the starts, sorted and without duplicates, that a worker with this id may still
    /// carry out.
    pub fn starts_at(&mut self, worker: &str, now: u64) -> Vec<(Task, u64)> {
        self.starts.retain(|start| now < start.at + MAX_START_DELAY_MS);
        let there = self.starts.iter().filter(|start| start.worker == worker);
        let mut starts: Vec<(Task, u64)> =
            there.map(|start| (start.task.clone(), start.run)).collect();
        starts.sort_unstable();
        starts.dedup();
        starts
    }
}
