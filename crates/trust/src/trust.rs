use std::collections::{BTreeMap, BTreeSet, VecDeque};

use quincewheel_job::{Id, Incarnation};
use serde::{Deserialize, Serialize};

use crate::change::Change;
use crate::grade::Grade;
use crate::outcome::Outcome;
use crate::record::Record;
use crate::standing::Standing;

/// Failures of one job on this many workers are the job's own, if other jobs succeed there. Two
/// workers may be faulty at the same time, as was seen; a third with the same job is a coincidence.
const ATTRIBUTION_WORKERS: usize = 3;
/// Period to which [`ATTRIBUTION_WORKERS`] applies. Covers a run of the usual work, 6 to 8 s.
const ATTRIBUTION_MS: u64 = 10_000;
/// At most one worker in this many of a pool is treated as doubtful: where more fail, the workers
/// are not the cause, and closing them would close the pool.
const WORKERS_PER_DOUBTFUL: usize = 4;
/// Most bytes of the row by the estimate below. The table takes 64 KiB, which leaves a margin for
/// names that need escapes.
const MAX_ROW_BYTES: usize = 48 * 1024;
/// Bytes of a record in the row beside its id and its failures, and of a failure beside its job.
const RECORD_BYTES: usize = 220;
const FAILURE_BYTES: usize = 55;
/// Most failures that are remembered for the attribution to a job.
const MAX_RECENT_FAILURES: usize = 2048;

/// What is known of the outcomes of runs on each worker, by the worker's id.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Trust {
    workers: BTreeMap<String, Record>,
    /// Failures of the last [`ATTRIBUTION_MS`] on all workers, also those that no longer count
    /// against them.
    #[serde(skip)]
    recent: VecDeque<RecentFailure>,
}

/// A failure on any worker.
#[derive(Clone, Debug, PartialEq)]
struct RecentFailure {
    job: Id,
    worker: String,
    at: u64,
    immediate: bool,
}

impl Trust {
    /// Counts the end of a run, and returns what it changed. `doubt` is how long failures count.
    pub fn record(&mut self, outcome: &Outcome, doubt: u64, now: u64) -> Vec<Change> {
        let Incarnation { id, born } = &outcome.worker;
        let record = self.workers.entry(id.clone()).or_insert_with(|| Record::new(*born));
        if record.born != *born {
            *record = Record::new(*born);
        }
        if outcome.success {
            let before = record.clone();
            let ended = record.record_success(outcome, doubt, now);
            return ended.then_some(Change::SoundAgain(before)).into_iter().collect();
        }
        let doubted = record.record_failure(outcome, doubt, now);
        let doubted = doubted.then(|| Change::Doubted(record.clone()));
        let attributed = self.attribute(outcome, now);
        let excused = attributed.contains(id);
        let mut changes: Vec<Change> = doubted.filter(|_| !excused).into_iter().collect();
        if !attributed.is_empty() {
            changes.push(Change::Attributed(outcome.job.clone(), attributed));
        }
        changes
    }

    /// Returns the record of an incarnation.
    pub fn get(&self, worker: &Incarnation) -> Option<&Record> {
        self.workers.get(&worker.id).filter(|record| record.born == worker.born)
    }

    /// The grade of a worker, without the bound on doubtful workers.
    pub fn grade(&self, worker: &Incarnation, doubt: u64, now: u64) -> Grade {
        self.get(worker).map_or(Grade::Unknown, |record| record.grade(doubt, now))
    }

    /// Drops the record of an incarnation that has ended.
    pub fn forget(&mut self, worker: &Incarnation) {
        if self.get(worker).is_some() {
            self.workers.remove(&worker.id);
        }
    }

    /// The standing of each of the workers, which are given with their pools. Of each pool, at most
    /// one worker in four is doubtful: those with the most immediate failures.
    pub fn standings<'a>(
        &self,
        workers: impl Iterator<Item = (&'a Incarnation, &'a str)>,
        doubt: u64,
        now: u64,
    ) -> Vec<Standing> {
        let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
        let mut doubtful: BTreeMap<&str, Vec<(usize, &Record)>> = BTreeMap::new();
        let mut standings: Vec<Standing> = Vec::new();
        for (index, (worker, pool)) in workers.enumerate() {
            *sizes.entry(pool).or_default() += 1;
            let record = self.get(worker);
            let standing = record.map_or(Standing::default(), |r| Standing::of(r, doubt, now));
            if let Some(record) = record.filter(|_| standing.grade == Grade::Doubtful) {
                doubtful.entry(pool).or_default().push((index, record));
            }
            standings.push(standing);
        }
        for (pool, mut records) in doubtful {
            records.sort_by_key(|(index, record)| (std::cmp::Reverse(record.weight()), *index));
            let most = sizes.get(pool).map_or(1, |size| max_doubtful(*size));
            for (index, _) in records.iter().skip(most) {
                standings[*index] = Standing::default();
            }
        }
        standings
    }

    /// Treats times after `now` as `now`: the clock of an earlier owner may have been ahead.
    pub fn clamp(&mut self, now: u64) {
        self.workers.values_mut().for_each(|record| record.clamp(now));
    }

    /// Returns what a later owner should know, in about 48 KiB. Where there is more,
    /// the records that say the least are left out.
    pub fn for_row(&self, doubt: u64, now: u64) -> Trust {
        let informative = |record: &Record| record.is_informative(doubt, now);
        let mut records: Vec<(&String, &Record)> =
            self.workers.iter().filter(|(_, record)| informative(record)).collect();
        records.sort_by_key(|(_, record)| std::cmp::Reverse(record.weight()));
        let mut bytes = 0;
        let fitting = records.into_iter().take_while(|(id, record)| {
            bytes += RECORD_BYTES + id.len() + record.kept_bytes(FAILURE_BYTES);
            bytes <= MAX_ROW_BYTES
        });
        let workers = fitting.map(|(id, record)| (id.clone(), record.clone())).collect();
        Trust { workers, recent: VecDeque::new() }
    }

    /// Removes the failures of a job from the records of workers if the job is their cause, and
    /// returns these workers.
    ///
    /// Only failures of one kind count together: a job that fails late now and then on healthy
    /// workers must not excuse a worker that fails it at once.
    fn attribute(&mut self, outcome: &Outcome, now: u64) -> Vec<String> {
        let immediate = outcome.is_immediate_failure();
        let (job, worker) = (outcome.job.clone(), outcome.worker.id.clone());
        let since = now.saturating_sub(ATTRIBUTION_MS);
        self.recent.push_back(RecentFailure { job, worker, at: now, immediate });
        while self.recent.len() > MAX_RECENT_FAILURES
            || self.recent.front().is_some_and(|failure| failure.at < since)
        {
            self.recent.pop_front();
        }
        let alike = self
            .recent
            .iter()
            .filter(|failure| failure.job == outcome.job && failure.immediate == immediate);
        let workers: BTreeSet<String> = alike.map(|failure| failure.worker.clone()).collect();
        let is_witness = |worker: &String| {
            let record = self.workers.get(worker);
            record.is_some_and(|record| record.speaks_against(&outcome.job, immediate, since))
        };
        let workers: Vec<String> = workers.into_iter().filter(is_witness).collect();
        if workers.len() < ATTRIBUTION_WORKERS {
            return Vec::new();
        }
        let excused = |worker: &String| {
            self.workers.get_mut(worker).is_some_and(|record| record.excuse(&outcome.job))
        };
        workers.into_iter().filter(excused).collect()
    }
}

/// How many of this many workers are treated as doubtful at most.
fn max_doubtful(workers: usize) -> usize {
    (workers / WORKERS_PER_DOUBTFUL).max(1)
}
