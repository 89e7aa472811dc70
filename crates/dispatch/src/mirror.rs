use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use quincewheel_job::{Id, Job, Progress, State};
use quincewheel_store::Change;
use serde::de::IgnoredAny;

use crate::rows::{Node, OWNER, Ownership, Seen, TIMES};
use crate::saved::Saved;
use crate::times::Times;

/// The system's rows as one process knows them.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Jobs by name.
    pub jobs: BTreeMap<Id, View>,
    /// Agents by name.
    pub nodes: BTreeMap<String, Node>,
    /// The ownership row and its version; none if nobody ever owned.
    pub owner: Option<(Ownership, u64)>,
    /// The entry that owned last, also where it has handed over.
    last: Option<String>,
    /// Run times that owners have learned.
    pub times: Times,
    /// What owners know of waves of maintenance.
    pub waves: BTreeMap<u64, Seen>,
    /// All changes up to this version are in.
    pub version: u64,
    /// When this process first saw that a job had ended, in milliseconds.
    ended: BTreeMap<Id, u64>,
}

/// What is known of one job.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The job and its row's version; none if only its cancellation is known.
    pub job: Option<(Job, u64)>,
    /// How far it is.
    pub progress: Option<Progress>,
    /// The version of the row that told it.
    told: u64,
    /// Its checkpoints, as they were recorded.
    pub saved: Saved,
    /// A client cancelled it.
    pub cancelled: bool,
}

/// A change that matters beyond the mirror.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A job was accepted.
    Job(Id),
    /// A job was cancelled.
    Cancelled(Id),
    /// A process announced itself, for the first time or again.
    Node(String),
    /// A process's row was dropped.
    Unlisted(String),
    /// The ownership row changed.
    Owner,
    /// A row does not hold what its key says.
    Malformed {
        /// The key.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl View {
    /// Takes in how far the job is. An older row that comes late changes nothing:
    /// a client that was told that its job has ended must not be told otherwise.
    pub fn take_progress(&mut self, progress: Progress, version: u64) {
        if version >= self.told {
            self.progress = Some(progress);
            self.told = version;
        }
    }

    /// How far the job is by its row, and the row's version.
    pub fn recorded(&self) -> Option<(Progress, u64)> {
        self.progress.clone().map(|progress| (progress, self.told))
    }

    /// The job's state as a client is told.
    pub fn state(&self) -> State {
        let state = self.progress.as_ref().map_or(State::Queued, |progress| progress.state);
        if self.cancelled && !state.is_final() { State::Cancelled } else { state }
    }
}

impl Mirror {
    /// Takes all rows in anew, as of a version, and tells what they mean. What was
    /// known of a later version stays.
    pub fn reload(&mut self, changes: &[Change], version: u64) -> Vec<News> {
        let known = std::mem::take(&mut self.jobs);
        let (owner, last) = (self.owner.take(), self.last.take());
        *self = Mirror { owner, last, version, ..Mirror::default() };
        let news = changes.iter().filter_map(|change| self.apply(change)).collect();
        for (id, view) in known {
            let later = view.job.as_ref().is_some_and(|(_, stored)| *stored > version);
            if view.told > version
                && let (Some(progress), Some(now)) = (view.progress.clone(), self.jobs.get_mut(&id))
            {
                now.take_progress(progress, view.told);
            }
            // Stored since the rows were read.
            if later {
                self.jobs.entry(id).or_insert(view);
            }
        }
        news
    }

    /// Takes in the changes up to a version, and tells what they mean. Two calls may be under
    /// way to the table: those that are in already change nothing, or the row of an agent
    /// that was dropped and written again would be dropped once more.
    pub fn follow(&mut self, changes: &[Change], version: u64) -> Vec<News> {
        let known = self.version;
        let new = changes.iter().filter(|change| change.version > known);
        let news = new.filter_map(|change| self.apply(change)).collect();
        self.version = known.max(version);
        news
    }

    /// Takes a change in and tells what it means.
    pub fn apply(&mut self, change: &Change) -> Option<News> {
        if change.key == OWNER {
            return self.apply_owner(change);
        }
        if change.key == TIMES {
            return self.apply_times(change);
        }
        let (kind, name) = change.key.split_once('/')?;
        let Some(value) = &change.value else {
            self.drop(kind, name);
            return (kind == "node").then(|| News::Unlisted(name.to_owned()));
        };
        let read = match kind {
            "job" => return Some(self.read_job(name, value, change)),
            "run" => serde_json::from_str(value).map(|progress| {
                let view = self.jobs.entry(name.to_owned()).or_default();
                view.take_progress(progress, change.version);
                None
            }),
            "save" => serde_json::from_str(value).map(|saved| {
                // The row may be told after the job's rows were dropped.
                if let Some(view) = self.jobs.get_mut(name) {
                    view.saved = saved;
                }
                None
            }),
            "wave" => serde_json::from_str(value).map(|seen: Seen| {
                self.waves.extend(name.parse().ok().map(|number: u64| (number, seen)));
                None
            }),
            "stop" => serde_json::from_str(value).map(|IgnoredAny| {
                self.jobs.entry(name.to_owned()).or_default().cancelled = true;
                Some(News::Cancelled(name.to_owned()))
            }),
            "node" => return Some(self.read_node(name, value, change)),
            _ => Ok(None),
        };
        read.unwrap_or_else(|error| Some(malformed(change, error.to_string())))
    }

    /// How many entries should own before this one: those on larger machines, and of
    /// machines that are alike those whose names come first. Whoever owned last is no
    /// candidate: it is replaced because it cannot go on.
    ///
    /// An owner's work grows with the workers. One on an eighth of a core beside 160
    /// workers fell behind what agents told it, did not renew its row in time, and was
    /// replaced though it lived; half a core bears them.
    pub fn place(&self, name: &str) -> usize {
        let last = |other: &str| self.last.as_deref() == Some(other);
        let Some(node) = self.nodes.get(name).filter(|_| !last(name)) else {
            return self.nodes.len();
        };
        let mine = (Reverse(node.size), name);
        let candidates = self.nodes.iter().filter(|(_, node)| node.entry);
        let before = candidates
            .filter(|(other, node)| !last(other) && (Reverse(node.size), other.as_str()) < mine);
        before.count()
    }

    /// Jobs that ended so long ago that nobody asks for them any more, at most
    /// `most` of them. Without dropping their rows the table and every
    /// process's memory would grow for ever.
    pub fn expired(&mut self, now: u64, keep: u64, most: usize) -> Vec<Id> {
        let Mirror { jobs, ended, .. } = self;
        ended.retain(|id, _| jobs.contains_key(id));
        for (id, _) in jobs.iter().filter(|(_, view)| view.state().is_final()) {
            ended.entry(id.clone()).or_insert(now);
        }
        let old = ended.iter().filter(|(_, since)| now >= **since + keep);
        old.take(most).map(|(id, _)| id.clone()).collect()
    }

    /// Jobs of a queue that no task has started of.
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |view: &&View| {
            let job = view.job.as_ref().map(|(job, _)| job);
            let here = job.is_some_and(|job| job.queue.name == queue);
            here && view.state() == State::Queued
        };
        self.jobs.values().filter(waits).count()
    }

    /// A job that no entry would have accepted is nobody's: decided over, a step that
    /// waits for one that is not there would stand still for ever.
    fn read_job(&mut self, name: &str, value: &str, change: &Change) -> News {
        let job: Result<Job, String> = serde_json::from_str(value).map_err(|e| e.to_string());
        match job.and_then(|job| job.check().map(|()| job).map_err(|e| e.to_string())) {
            Err(detail) => malformed(change, detail),
            Ok(job) => {
                let view = self.jobs.entry(name.to_owned()).or_default();
                view.job = Some((job, change.version));
                News::Job(name.to_owned())
            }
        }
    }

    /// A process that cannot be reached is none: an owner would wait a lease for what
    /// runs at an agent that nobody has started.
    fn read_node(&mut self, name: &str, value: &str, change: &Change) -> News {
        let node: Result<Node, String> = serde_json::from_str(value).map_err(|e| e.to_string());
        match node {
            Err(detail) => malformed(change, detail),
            Ok(node) if node.address.parse::<SocketAddr>().is_err() => {
                malformed(change, format!("{:?} is no address", node.address))
            }
            Ok(node) => {
                self.nodes.insert(name.to_owned(), node);
                News::Node(name.to_owned())
            }
        }
    }

    fn apply_owner(&mut self, change: &Change) -> Option<News> {
        let value = change.value.as_ref()?;
        if self.owner.as_ref().is_some_and(|(_, version)| *version >= change.version) {
            return None;
        }
        match serde_json::from_str::<Ownership>(value) {
            Ok(owner) => {
                if !owner.holder.is_empty() {
                    self.last = Some(owner.holder.clone());
                }
                self.owner = Some((owner, change.version));
                Some(News::Owner)
            }
            Err(error) => {
                // A claim must name the version that it replaces, or nobody could own
                // the deployment any more.
                let known = self.owner.take().map(|(owner, _)| owner).unwrap_or_default();
                self.owner = Some((known, change.version));
                Some(malformed(change, error.to_string()))
            }
        }
    }

    fn apply_times(&mut self, change: &Change) -> Option<News> {
        match serde_json::from_str(change.value.as_ref()?) {
            Ok(times) => {
                self.times = times;
                None
            }
            Err(error) => Some(malformed(change, error.to_string())),
        }
    }

    fn drop(&mut self, kind: &str, name: &str) {
        match kind {
            "job" => {
                self.jobs.remove(name);
            }
            "node" => {
                self.nodes.remove(name);
            }
            _ => {}
        }
    }
}

fn malformed(change: &Change, detail: String) -> News {
    News::Malformed { key: change.key.clone(), detail }
}
