//! The rule that accepted work does not stand beside free workers, judged by what runs at workers
//! and by the rows of jobs, not by the owner's state.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Job, Progress, Resources, Step, Task};

/// How long a job may have nothing running although it could run.
pub const STANDING_LIMIT_MS: u64 = 3000;
/// How long after the last trouble the rule holds again.
pub const CALM_DELAY_MS: u64 = 5000;
/// Copies of the waiting work for which there must be room.
const ROOM_FACTOR: u64 = 2;

/// A job whose row is in the table.
#[derive(Clone, Debug)]
pub struct JobView {
    pub job: Job,
    /// Whether its row shows that it has ended, or it is cancelled.
    pub over: bool,
    /// Tasks that are done at workers or in the table.
    pub done: BTreeSet<Task>,
    /// Whether any of its tasks runs at a worker.
    pub running: bool,
}

/// A worker of the pool.
#[derive(Clone, Debug)]
pub struct WorkerView {
    pub pool: String,
    pub labels: Vec<String>,
    pub capacity: Resources,
    /// What the tasks that run there need.
    pub used: Resources,
    /// Whether it is up, in touch, and takes starts.
    pub open: bool,
}

/// The system at one time.
#[derive(Clone, Debug, Default)]
pub struct View {
    pub now: u64,
    /// The time of day by which occurrences are due.
    pub wall: u64,
    /// When the last trouble ended or will end.
    pub troubled_until: u64,
    pub jobs: BTreeMap<Id, JobView>,
    pub workers: Vec<WorkerView>,
}

/// A job that stood for longer than allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    pub job: Id,
    pub since: u64,
    pub until: u64,
}

/// Since when jobs stand beside free workers.
#[derive(Default)]
pub struct Standing {
    since: BTreeMap<Id, u64>,
    reported: BTreeSet<Id>,
}

impl Standing {
    /// Takes the state of the system, and returns the jobs that have just stood for `limit`.
    pub fn observe(&mut self, view: &View, limit: u64) -> Vec<Violation> {
        if !view.is_judged() {
            self.since.clear();
            self.reported.clear();
            return Vec::new();
        }
        let standing: BTreeSet<&Id> =
            view.jobs.iter().filter(|(id, job)| stands(view, id, job)).map(|(id, _)| id).collect();
        self.since.retain(|id, _| standing.contains(id));
        self.reported.retain(|id| standing.contains(id));
        let mut violations = Vec::new();
        for id in standing {
            let since = *self.since.entry(id.clone()).or_insert(view.now);
            if view.now >= since + limit && self.reported.insert(id.clone()) {
                violations.push(Violation { job: id.clone(), since, until: view.now });
            }
        }
        violations
    }
}

impl View {
    /// Whether the rule holds: times are calm, and under half of the pool is in use.
    pub fn is_judged(&self) -> bool {
        self.now >= self.troubled_until + CALM_DELAY_MS && is_half_free(self)
    }
}

/// Whether under half of each resource of the open workers is in use.
fn is_half_free(view: &View) -> bool {
    let (mut capacity, mut used) = (Resources::default(), Resources::default());
    for worker in view.workers.iter().filter(|worker| worker.open) {
        capacity.add(&worker.capacity);
        used.add(&worker.used);
    }
    2 * used.cpu < capacity.cpu
        && 2 * used.memory < capacity.memory
        && 2 * used.accelerators < capacity.accelerators
}

/// Whether nothing of a job runs although a task of it could.
fn stands(view: &View, id: &str, job: &JobView) -> bool {
    !job.over && !job.running && waiting_steps(view, id, job).any(|step| has_room(view, job, step))
}

/// The steps with tasks whose turn has come.
fn waiting_steps<'a>(
    view: &'a View,
    id: &'a str,
    job: &'a JobView,
) -> impl Iterator<Item = &'a Step> {
    let due = move |occurrence: &u32| {
        job.job.schedule.is_none_or(|schedule| schedule.due(*occurrence) <= view.wall)
    };
    let occurrences = (0..job.job.occurrences()).take_while(due);
    occurrences.flat_map(move |occurrence| {
        let is_done = move |number: u32| is_step_done(id, job, occurrence, number);
        let steps = (0u32..).zip(&job.job.steps);
        let waiting = steps.filter(move |(number, step)| {
            !is_done(*number) && step.after.iter().all(|before| is_done(*before))
        });
        waiting.map(|(_, step)| step)
    })
}

/// Whether all tasks of a step are done. The members of a gang are done together.
fn is_step_done(id: &str, job: &JobView, occurrence: u32, number: u32) -> bool {
    let Some(step) = job.job.steps.get(number as usize) else { return true };
    let task = |index: u32| Task { job: id.to_owned(), occurrence, step: number, index };
    let mut done = (0..step.count).map(|index| job.done.contains(&task(index)));
    if step.gang { done.any(|done| done) } else { done.all(|done| done) }
}

/// Whether the open workers could start a task of the step, or its gang, twice.
fn has_room(view: &View, job: &JobView, step: &Step) -> bool {
    let wanted = ROOM_FACTOR * u64::from(if step.gang { step.count } else { 1 });
    let usable = |worker: &&WorkerView| {
        let labelled = step.label.is_empty() || worker.labels.contains(&step.label);
        worker.open && worker.pool == job.job.queue.pool && labelled
    };
    let most = match step.per_worker {
        0 => u64::MAX,
        most => u64::from(most),
    };
    let fits = view.workers.iter().filter(usable).map(|worker| {
        let mut free = worker.capacity;
        free.subtract(&worker.used);
        step.resources().fit_count(&free, wanted).min(most)
    });
    fits.sum::<u64>() >= wanted
}

/// The rows of jobs that have not ended, as far as the table's history has been read.
#[derive(Default)]
pub struct Rows {
    read: usize,
    pub jobs: BTreeMap<Id, (Job, Progress)>,
}

impl Rows {
    /// Applies the changes since the last call.
    pub fn follow(&mut self, table: &super::table::Table) {
        let changes = table.history_from(self.read);
        self.read += changes.len();
        for change in changes {
            let (Some((kind, id)), Some(value)) = (change.key.split_once('/'), &change.value)
            else {
                continue;
            };
            match kind {
                "job" => {
                    let job = serde_json::from_str(value).expect("entries write jobs");
                    self.jobs.insert(id.to_owned(), (job, Progress::default()));
                }
                "run" => {
                    let part = serde_json::from_str(value).expect("the owner writes progress");
                    let Some((_, progress)) = self.jobs.get_mut(id) else { continue };
                    *progress = Progress::default();
                    progress.merge(part);
                    if progress.state.is_final() {
                        self.jobs.remove(id);
                    }
                }
                _ => {}
            }
        }
    }
}
