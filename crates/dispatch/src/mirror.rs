use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use quincewheel_job::{Id, Job, Progress, State};
use quincewheel_store::Change;
use serde::de::{DeserializeOwned, IgnoredAny};

use crate::checkpoints::Checkpoints;
use crate::learned::Learned;
use crate::rows::{
    self, Node, OWNER_KEY, Ownership, QUEUES_KEY, SPEED_KEY, TIMES_KEY, TRUST_KEY, USAGE_KEY,
    WaveRecord, split_part,
};

/// Most epochs of which the claim is kept. A run is rarely older than a few changes of owner.
const MAX_EPOCH_CLAIMS: usize = 16;

/// A process's in-memory replica of the system's rows.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Jobs by id.
    pub jobs: BTreeMap<Id, JobView>,
    /// Agents by name.
    pub nodes: BTreeMap<String, Node>,
    /// The versions at which rows of processes were last written or deleted. A read of all rows may
    /// be older.
    node_versions: BTreeMap<String, u64>,
    /// The ownership row and its version; none if there was never an owner.
    pub owner: Option<(Ownership, u64)>,
    /// The last epochs of owners, each with a version of the table by which it had been claimed.
    pub epoch_claims: BTreeMap<u64, u64>,
    /// The entry that owned last, also after it handed over.
    last_owner: Option<String>,
    /// What owners have learned from runs.
    pub learned: Learned,
    /// What owners recorded of waves of maintenance, by number.
    pub waves: BTreeMap<u64, WaveRecord>,
    /// All changes up to this version of the table are applied.
    pub version: u64,
    /// When this process first read that a job had ended, in milliseconds.
    ended_at: BTreeMap<Id, u64>,
}

/// The rows of one job.
#[derive(Clone, Debug, Default)]
pub struct JobView {
    /// The job and its row's version; none if only its cancellation is known.
    pub job: Option<(Job, u64)>,
    /// The parts of the job's recorded progress, each with the version of its row.
    progress: BTreeMap<u32, (Progress, u64)>,
    /// The job's state as the owner reported it, and the version at which it was recorded.
    reported_state: Option<(State, u64)>,
    /// The parts of its recorded checkpoints.
    pub checkpoints: BTreeMap<u32, Checkpoints>,
    /// Whether a client cancelled it.
    pub cancelled: bool,
}

/// Rows of expired jobs, to be deleted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ExpiredRows {
    /// Their keys.
    pub keys: Vec<String>,
    /// The jobs of which these are the last rows.
    pub jobs: Vec<Id>,
}

/// A change of the rows that the process must act on.
#[derive(Clone, Debug, PartialEq)]
pub enum RowEvent {
    /// A job was accepted.
    JobAccepted(Id),
    /// A job was cancelled.
    JobCancelled(Id),
    /// A process announced itself, possibly again.
    NodeAnnounced(String),
    /// A process's row was deleted.
    NodeRemoved(String),
    /// The ownership row changed.
    OwnerChanged,
    /// A row cannot be parsed as its key requires.
    Malformed {
        /// The key.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl JobView {
    /// Applies a part of a job's progress, recorded at this version of its row. An older version is
    /// ignored: a client that saw its job end must not see it running again.
    pub fn update_progress(&mut self, part: Progress, version: u64) {
        if self.progress.get(&part.part).is_none_or(|(_, known)| version >= *known) {
            self.progress.insert(part.part, (part, version));
        }
    }

    /// Applies the state of a job that was recorded at this version of its row.
    pub fn update_state(&mut self, state: State, version: u64) {
        if self.reported_state.is_none_or(|(_, known)| version >= known) {
            self.reported_state = Some((state, version));
        }
    }

    /// Returns the recorded progress; none if there is none.
    pub fn progress(&self) -> Option<Progress> {
        let mut whole = Progress::default();
        for (part, _) in self.progress.values() {
            whole.merge(part.clone());
        }
        (!self.progress.is_empty()).then_some(whole)
    }

    /// Returns the recorded state and the version of its row; none if there is none.
    pub fn recorded_state(&self) -> Option<(State, u64)> {
        let recorded = self.progress.get(&0).map(|(progress, version)| (progress.state, *version));
        recorded.into_iter().chain(self.reported_state).max_by_key(|(_, version)| *version)
    }

    /// Returns the job's state as shown to clients: a cancelled job that has not ended counts as
    /// cancelled.
    pub fn state(&self) -> State {
        let state = self.recorded_state().map_or(State::Queued, |(state, _)| state);
        if self.cancelled && !state.is_final() { State::Cancelled } else { state }
    }

    /// Returns the numbers of the further parts of which there may be rows.
    fn further_parts(&self) -> BTreeSet<u32> {
        let parts = self.progress.keys().chain(self.checkpoints.keys());
        parts.copied().filter(|&part| part > 0).collect()
    }
}

impl Mirror {
    /// Replaces the content by all rows of the table as of a version, and returns the events.
    /// Rows known at a later version are kept.
    pub fn reload(&mut self, changes: &[Change], version: u64) -> Vec<RowEvent> {
        let known = std::mem::take(&mut self.jobs);
        let (owner, last_owner) = (self.owner.take(), self.last_owner.take());
        let node_versions = std::mem::take(&mut self.node_versions);
        let nodes = std::mem::take(&mut self.nodes);
        *self = Mirror { owner, last_owner, version, node_versions, ..Mirror::default() };
        let mut events: Vec<RowEvent> =
            changes.iter().filter_map(|change| self.apply(change)).collect();
        for (name, node) in nodes {
            if self.nodes.contains_key(&name) {
                continue;
            }
            // Written since the rows were read.
            if self.node_versions.get(&name).is_some_and(|written| *written > version) {
                self.nodes.insert(name, node);
            } else {
                events.push(RowEvent::NodeRemoved(name));
            }
        }
        for (id, view) in known {
            let later = view.job.as_ref().is_some_and(|(_, stored)| *stored > version);
            if let Some(current) = self.jobs.get_mut(&id) {
                let newer = view.progress.values().filter(|(_, stored)| *stored > version);
                for (part, stored) in newer {
                    current.update_progress(part.clone(), *stored);
                }
                if let Some((state, stored)) = view.reported_state.filter(|(_, at)| *at > version) {
                    current.update_state(state, stored);
                }
            }
            // Stored since the rows were read.
            if later {
                self.jobs.entry(id).or_insert(view);
            }
        }
        events
    }

    /// Applies the changes up to a version, and returns the events. Two reads of the change feed
    /// may overlap, so changes that are already applied are skipped: otherwise an agent's row that
    /// was deleted and written again would be deleted once more.
    pub fn apply_changes(&mut self, changes: &[Change], version: u64) -> Vec<RowEvent> {
        let known = self.version;
        let new = changes.iter().filter(|change| change.version > known);
        let events = new.filter_map(|change| self.apply(change)).collect();
        self.version = known.max(version);
        events
    }

    /// Applies one change and returns its event, if any.
    pub fn apply(&mut self, change: &Change) -> Option<RowEvent> {
        if change.key == OWNER_KEY {
            return self.apply_owner(change);
        }
        let learned = &mut self.learned;
        match change.key.as_str() {
            TIMES_KEY => return apply_learned(change, &mut learned.times),
            TRUST_KEY => return apply_learned(change, &mut learned.trust),
            SPEED_KEY => return apply_learned(change, &mut learned.speed),
            USAGE_KEY => return apply_learned(change, &mut learned.usage),
            QUEUES_KEY => return apply_learned(change, &mut learned.queues),
            _ => {}
        }
        let (kind, name) = change.key.split_once('/')?;
        if kind == "node" && self.node_versions.get(name).is_some_and(|at| *at > change.version) {
            return None;
        }
        let Some(value) = &change.value else {
            self.remove_row(kind, name, change.version);
            return (kind == "node").then(|| RowEvent::NodeRemoved(name.to_owned()));
        };
        let read = match kind {
            "job" => return Some(self.apply_job(name, value, change)),
            "run" => serde_json::from_str(value).map(|mut progress: Progress| {
                let (id, part) = split_part(name);
                progress.part = part;
                let view = self.jobs.entry(id.to_owned()).or_default();
                view.update_progress(progress, change.version);
                None
            }),
            "save" => serde_json::from_str(value).map(|checkpoints| {
                let (id, part) = split_part(name);
                // The row may arrive after the job's rows were deleted.
                if let Some(view) = self.jobs.get_mut(id) {
                    view.checkpoints.insert(part, checkpoints);
                }
                None
            }),
            "wave" => serde_json::from_str(value).map(|record: WaveRecord| {
                self.waves.extend(name.parse().ok().map(|number: u64| (number, record)));
                None
            }),
            "stop" => serde_json::from_str(value).map(|IgnoredAny| {
                self.jobs.entry(name.to_owned()).or_default().cancelled = true;
                Some(RowEvent::JobCancelled(name.to_owned()))
            }),
            "node" => return Some(self.apply_node(name, value, change)),
            _ => Ok(None),
        };
        read.unwrap_or_else(|error| Some(malformed(change, error.to_string())))
    }

    /// Returns the number of entries that precede this one as candidates for the ownership: those
    /// on larger machines, and of equal machines those with an earlier name. The last owner is no
    /// candidate, since it is being replaced.
    ///
    /// An owner's load grows with the number of workers. On an eighth of a core with 160 workers
    /// an owner falls behind its agents' reports, does not renew its row in time, and is replaced
    /// although it is running; half a core is enough.
    pub fn candidate_rank(&self, name: &str) -> usize {
        let is_last = |other: &str| self.last_owner.as_deref() == Some(other);
        let Some(node) = self.nodes.get(name).filter(|_| !is_last(name)) else {
            return self.nodes.len();
        };
        let mine = (Reverse(node.size), name);
        let candidates = self.nodes.iter().filter(|(_, node)| node.entry);
        let before = candidates
            .filter(|(other, node)| !is_last(other) && (Reverse(node.size), other.as_str()) < mine);
        before.count()
    }

    /// Returns rows of jobs that ended at least `retention` milliseconds ago, at most `limit` of them.
    /// They are deleted, or the table and every process's memory would grow without bound.
    ///
    /// The further parts of a job go before its other rows, perhaps in several transactions: what is
    /// left shows until the end that the job has ended.
    pub fn expired_rows(&mut self, now: u64, retention: u64, limit: usize) -> ExpiredRows {
        let Mirror { jobs, ended_at, .. } = self;
        ended_at.retain(|id, _| jobs.contains_key(id));
        for (id, _) in jobs.iter().filter(|(_, view)| view.state().is_final()) {
            ended_at.entry(id.clone()).or_insert(now);
        }
        let mut expired = ExpiredRows::default();
        for (id, _) in ended_at.iter().filter(|(_, since)| now >= **since + retention) {
            let parts = jobs.get(id).map(JobView::further_parts).unwrap_or_default();
            for part in parts {
                if expired.keys.len() + 2 > limit {
                    return expired;
                }
                let keys =
                    [rows::progress_part_key(id, part), rows::checkpoints_part_key(id, part)];
                expired.keys.extend(keys);
            }
            let keys = rows::job_keys(id);
            if expired.keys.len() + keys.len() > limit {
                return expired;
            }
            expired.keys.extend(keys);
            expired.jobs.push(id.clone());
        }
        expired
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn queued_jobs(&self, queue: &str) -> usize {
        let queued = |view: &&JobView| {
            let job = view.job.as_ref().map(|(job, _)| job);
            let in_queue = job.is_some_and(|job| job.queue.name == queue);
            in_queue && view.state() == State::Queued
        };
        self.jobs.values().filter(queued).count()
    }

    /// Applies a job's row. A job that no entry would have accepted is left out: a step that
    /// depends on one that does not exist would wait forever.
    fn apply_job(&mut self, name: &str, value: &str, change: &Change) -> RowEvent {
        let job: Result<Job, String> = serde_json::from_str(value).map_err(|e| e.to_string());
        match job.and_then(|job| job.check().map(|()| job).map_err(|e| e.to_string())) {
            Err(detail) => malformed(change, detail),
            Ok(job) => {
                let view = self.jobs.entry(name.to_owned()).or_default();
                view.job = Some((job, change.version));
                RowEvent::JobAccepted(name.to_owned())
            }
        }
    }

    /// Applies a process's row. A row without a valid address is left out: a new owner would wait
    /// a whole lease for the runs of an agent that does not exist.
    fn apply_node(&mut self, name: &str, value: &str, change: &Change) -> RowEvent {
        let node: Result<Node, String> = serde_json::from_str(value).map_err(|e| e.to_string());
        match node {
            Err(detail) => malformed(change, detail),
            Ok(node) if node.address.parse::<SocketAddr>().is_err() => {
                malformed(change, format!("{:?} is not an address", node.address))
            }
            Ok(node) => {
                self.nodes.insert(name.to_owned(), node);
                self.node_versions.insert(name.to_owned(), change.version);
                RowEvent::NodeAnnounced(name.to_owned())
            }
        }
    }

    fn apply_owner(&mut self, change: &Change) -> Option<RowEvent> {
        let value = change.value.as_ref()?;
        if self.owner.as_ref().is_some_and(|(_, version)| *version >= change.version) {
            return None;
        }
        match serde_json::from_str::<Ownership>(value) {
            Ok(owner) => {
                if !owner.holder.is_empty() {
                    self.last_owner = Some(owner.holder.clone());
                }
                self.epoch_claims.entry(owner.epoch).or_insert(change.version);
                if self.epoch_claims.len() > MAX_EPOCH_CLAIMS {
                    self.epoch_claims.pop_first();
                }
                self.owner = Some((owner, change.version));
                Some(RowEvent::OwnerChanged)
            }
            Err(error) => {
                // A claim must name the version that it replaces. Without the malformed row's
                // version no entry could claim the ownership any more.
                let known = self.owner.take().map(|(owner, _)| owner).unwrap_or_default();
                self.owner = Some((known, change.version));
                Some(malformed(change, error.to_string()))
            }
        }
    }

    /// Removes the row of a process that was deleted at this version of the table.
    pub fn remove_node(&mut self, name: &str, version: u64) {
        self.nodes.remove(name);
        self.node_versions.insert(name.to_owned(), version);
    }

    fn remove_row(&mut self, kind: &str, name: &str, version: u64) {
        match kind {
            "job" => {
                self.jobs.remove(name);
            }
            "run" | "save" => {
                let (id, part) = split_part(name);
                if let Some(view) = self.jobs.get_mut(id).filter(|_| part > 0) {
                    match kind {
                        "run" => drop(view.progress.remove(&part)),
                        _ => drop(view.checkpoints.remove(&part)),
                    }
                }
            }
            "node" => self.remove_node(name, version),
            _ => {}
        }
    }
}

/// Replaces a part of what owners have learned. An invalid row leaves it as it was.
fn apply_learned<T: DeserializeOwned>(change: &Change, part: &mut Option<T>) -> Option<RowEvent> {
    match serde_json::from_str(change.value.as_ref()?) {
        Ok(value) => {
            *part = Some(value);
            None
        }
        Err(error) => Some(malformed(change, error.to_string())),
    }
}

fn malformed(change: &Change, detail: String) -> RowEvent {
    RowEvent::Malformed { key: change.key.clone(), detail }
}
