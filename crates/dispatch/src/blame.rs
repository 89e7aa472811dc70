//! Failures: the task's own, or its worker's.
//!
//! A worker may fail everything that it starts, within a tenth of a second, and
//! report itself well. In a full pool its places are the ones that are free, so
//! a task that failed there would start there again, and burn all its attempts
//! in less than a second. So a task does not return to a worker at which it
//! failed, and a worker at which several jobs fail, and none succeeds, is closed
//! for a while. Jobs whose tasks fail everywhere close no worker by themselves.

use std::collections::BTreeSet;

use quincewheel_job::{Id, Task};

use crate::board::Board;
use crate::candidate::Candidate;
use crate::owner::Owner;
use crate::reports::key;

/// Failures in a row after which a worker is closed ...
const FAILURES: u32 = 3;
/// ... if they are of so many jobs.
const JOBS: usize = 2;
/// How long it is closed at first, in milliseconds: half of what such a state
/// lasts. Doubles each time until a run succeeds there.
const CLOSED: u64 = 3000;
/// Most doublings.
const DOUBLINGS: u32 = 3;
/// A task does not return to a worker at which it failed for so many
/// milliseconds. No longer, since no other worker may be able to run it.
const AVOIDED: u64 = 2500;
/// No more than one worker in so many is closed, nor avoided by one step: where
/// most fail, the cause is elsewhere.
const PART: usize = 4;

/// What speaks against a worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Blame {
    /// Runs that failed there in a row.
    failures: u32,
    /// Their jobs.
    jobs: BTreeSet<Id>,
    /// How often it was closed in a row.
    times: u32,
    /// It is closed until then.
    pub until: u64,
}

impl Blame {
    /// A run succeeded.
    pub fn clear(&mut self) {
        *self = Blame::default();
    }

    fn note(&mut self, job: &str) {
        self.failures += 1;
        self.jobs.insert(job.to_owned());
    }

    fn is_due(&self) -> bool {
        self.failures >= FAILURES && self.jobs.len() >= JOBS
    }

    fn close(&mut self, now: u64) -> u64 {
        let length = CLOSED << self.times.min(DOUBLINGS);
        self.until = now + length;
        self.times += 1;
        self.failures = 0;
        self.jobs.clear();
        length
    }
}

impl Owner {
    /// Takes note of a failure at an agent's worker.
    pub(crate) fn blame(&mut self, name: &str, task: &Task, now: u64) {
        if let Some(entry) = self.jobs.get_mut(&task.job)
            && let Some(worker) = self.agents.get(name).and_then(|agent| agent.worker.as_ref())
        {
            let slot = entry.key(key(task));
            let until = now + AVOIDED;
            entry.avoided.entry(slot).or_default().insert(worker.id.clone(), until);
            self.avoiding = Some(self.avoiding.map_or(until, |at| at.min(until)));
        }
        let closed = self.agents.values().filter(|agent| now < agent.blame.until).count();
        let most = (self.agents.len() / PART).max(1);
        let Some(agent) = self.agents.get_mut(name) else { return };
        agent.blame.note(&task.job);
        if agent.blame.is_due() && closed < most {
            let ms = agent.blame.close(now);
            self.log("worker closed", name, format!("for {ms} ms: all that it starts fails"));
        }
    }

    /// Opens workers whose time is over, and lets tasks return to workers.
    pub(crate) fn reopen(&mut self, now: u64) {
        if self.avoiding.take_if(|at| *at <= now).is_some() {
            self.replan = true;
            self.avoiding = self.next_return(now);
        }
        for agent in self.agents.values_mut().filter(|agent| agent.blame.until > 0) {
            if now >= agent.blame.until {
                agent.blame.until = 0;
                self.replan = true;
            }
        }
    }

    /// When the next task may return to a worker at which it failed.
    fn next_return(&self, now: u64) -> Option<u64> {
        let entries = self.jobs.values().flat_map(|entry| entry.avoided.values());
        entries.flat_map(|workers| workers.values().copied()).filter(|until| *until > now).min()
    }

    /// The places of workers at which tasks of the candidate have failed.
    pub(crate) fn avoided(&self, candidate: &Candidate, board: &Board, now: u64) -> Vec<usize> {
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        if entry.avoided.is_empty() {
            return Vec::new();
        }
        let slots = candidate
            .tasks
            .iter()
            .map(|&index| entry.key((candidate.occurrence, candidate.step, index)));
        let avoided = slots.filter_map(|slot| entry.avoided.get(&slot)).flatten();
        let workers: BTreeSet<&String> =
            avoided.filter(|(_, until)| now < **until).map(|(worker, _)| worker).collect();
        let places = board.spots.iter().enumerate();
        let avoided: Vec<usize> =
            places.filter(|(_, spot)| workers.contains(&spot.worker)).map(|(at, _)| at).collect();
        if avoided.len() > (board.spots.len() / PART).max(1) { Vec::new() } else { avoided }
    }
}
