use std::collections::BTreeSet;

use quincewheel_job::Id;
use serde::{Deserialize, Serialize};

use crate::failure::Failure;
use crate::grade::Grade;
use crate::outcome::Outcome;

/// Backoff before the first trial of a doubtful worker. Several times what a trial that fails at
/// once takes, so that a faulty worker costs at most one attempt a second.
const FIRST_BACKOFF_MS: u64 = 1000;
/// Most doublings of the backoff, to 16 s: a worker that fails for minutes then costs about four
/// attempts a minute, and a mended one is found within 16 s.
const MAX_DOUBLINGS: u32 = 4;
/// Failures whose jobs are kept. Two jobs decide; the others are for the attribution to a job.
const MAX_KEPT_FAILURES: usize = 8;
/// Jobs whose last success is kept: with two, there is another one whatever the job.
const MAX_KEPT_SUCCESSES: usize = 2;

/// What is known of the outcomes of runs on one incarnation of a worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Record {
    /// Distinguishes incarnations of the same worker id.
    pub born: u64,
    /// Consecutive failures: those since the last success of a run that started after them.
    pub failures: u32,
    /// How many of them occurred at once after the start.
    pub immediate: u32,
    /// The newest of them.
    kept: Vec<Failure>,
    /// When the first of them was reported.
    pub first_failure: u64,
    /// When the last of them was reported.
    pub last_failure: u64,
    /// When the last run succeeded there; none if that says nothing about it any more.
    pub last_success: Option<u64>,
    /// When it became doubtful; 0 if it is not.
    pub doubted_at: u64,
    /// Immediate failures that were trials, the first included, since the last success.
    rounds: u32,
    /// When the next trial may start.
    pub retry_at: u64,
    /// The jobs that succeeded last, and when.
    #[serde(skip)]
    successes: Vec<(Id, u64)>,
}

impl Record {
    /// Creates the record of an incarnation of which nothing is known.
    pub fn new(born: u64) -> Record {
        Record { born, ..Record::default() }
    }

    /// The number of distinct jobs among the consecutive failures.
    pub fn jobs(&self) -> usize {
        self.kept.iter().map(|failure| &failure.job).collect::<BTreeSet<_>>().len()
    }

    /// The grade at `now`. `doubt` is how long failures count.
    pub fn grade(&self, doubt: u64, now: u64) -> Grade {
        if self.is_discredited() {
            return if now < self.doubt_ends(doubt) { Grade::Doubtful } else { Grade::Unknown };
        }
        if self.last_success.is_some() { Grade::Sound } else { Grade::Unknown }
    }

    /// When the doubt ends without a new failure. Not before twice the backoff has passed, so that
    /// a worker with a long backoff gets its trial before it is open to all tasks again.
    pub fn doubt_ends(&self, doubt: u64) -> u64 {
        self.last_failure.saturating_add(doubt.max(2 * self.backoff()))
    }

    /// Milliseconds from a failure to the next trial.
    pub fn backoff(&self) -> u64 {
        FIRST_BACKOFF_MS << self.rounds.saturating_sub(1).min(MAX_DOUBLINGS)
    }

    /// True if the record says anything that a later owner should know.
    pub(crate) fn is_informative(&self, doubt: u64, now: u64) -> bool {
        self.failures > 0 && now < self.doubt_ends(doubt)
    }

    /// Orders records by how much they say, least first.
    pub(crate) fn weight(&self) -> (u32, u32, u64) {
        (self.immediate, self.failures, self.last_failure)
    }

    /// The bytes that the kept failures take in the row, `each` of them beside the name of its job.
    pub(crate) fn kept_bytes(&self, each: usize) -> usize {
        self.kept.iter().map(|failure| each + failure.job.len()).sum()
    }

    /// True if the failures count against the worker rather than the job.
    fn is_discredited(&self) -> bool {
        self.immediate > 0 || self.jobs() > 1
    }

    /// Counts a failed run. Returns whether the worker became doubtful or failed a trial.
    pub(crate) fn record_failure(&mut self, outcome: &Outcome, doubt: u64, now: u64) -> bool {
        let immediate = outcome.is_immediate_failure();
        self.expire(doubt, now);
        if self.failures == 0 {
            self.first_failure = now;
        }
        self.failures = self.failures.saturating_add(1);
        self.immediate = self.immediate.saturating_add(u32::from(immediate));
        self.last_failure = now;
        if self.kept.len() >= MAX_KEPT_FAILURES {
            self.kept.remove(0);
        }
        self.kept.push(Failure { job: outcome.job.clone(), at: now, immediate });
        if !self.is_discredited() {
            return false;
        }
        let begins = self.doubted_at == 0;
        if begins {
            self.doubted_at = now;
        }
        // Tasks that were started together also fail together, which says no more than one does.
        let is_trial = outcome.started >= self.doubted_at && now >= self.retry_at;
        if begins || is_trial {
            self.rounds = self.rounds.saturating_add(u32::from(immediate));
        }
        self.retry_at = self.retry_at.max(now + self.backoff());
        begins || is_trial
    }

    /// Counts a successful run. Returns whether it ended a doubt.
    ///
    /// A run that started before an immediate failure says nothing about what starts now: a worker
    /// that began to fail everything at once still finished its earlier runs.
    pub(crate) fn record_success(&mut self, outcome: &Outcome, doubt: u64, now: u64) -> bool {
        self.expire(doubt, now);
        let doubtful = self.doubted_at > 0;
        self.successes.retain(|(job, _)| *job != outcome.job);
        self.successes.insert(0, (outcome.job.clone(), now));
        self.successes.truncate(MAX_KEPT_SUCCESSES);
        self.last_success = Some(now);
        let outdated = |failure: &Failure| failure.immediate && failure.at > outcome.started;
        if self.kept.iter().any(outdated) {
            self.remove_failures(|failure| !failure.immediate);
            return false;
        }
        self.clear_failures();
        self.rounds = 0;
        doubtful
    }

    /// True if failures of `job` there speak against the job: another job succeeded since `since`,
    /// and none has failed in the same way. `immediate` tells which way.
    pub(crate) fn speaks_against(&self, job: &str, immediate: bool, since: u64) -> bool {
        let succeeds = self.successes.iter().any(|(other, at)| other != job && *at >= since);
        let fails = |failure: &Failure| failure.job != job && failure.immediate == immediate;
        succeeds && !self.kept.iter().any(fails)
    }

    /// Removes the failures of a job, which is their cause. Returns whether there were any.
    ///
    /// Where they were immediate, the successes that showed this are used up, and the worker is
    /// unknown until the next one. Otherwise workers that begin to fail everything at the same time
    /// would be excused again and again, as runs from before go on to succeed there.
    pub(crate) fn excuse(&mut self, job: &str) -> bool {
        let mut of_job = self.kept.iter().filter(|failure| failure.job == job).peekable();
        if of_job.peek().is_none() {
            return false;
        }
        if of_job.any(|failure| failure.immediate) {
            self.successes.clear();
            self.last_success = None;
        }
        self.remove_failures(|failure| failure.job == job);
        true
    }

    /// Treats times after `now` as `now`: the clock of an earlier owner may have been ahead.
    pub(crate) fn clamp(&mut self, now: u64) {
        for time in [&mut self.first_failure, &mut self.last_failure, &mut self.doubted_at] {
            *time = now.min(*time);
        }
        self.kept.iter_mut().for_each(|failure| failure.at = now.min(failure.at));
        self.last_success = self.last_success.map(|at| at.min(now));
        self.retry_at = self.retry_at.min(now + self.backoff());
    }

    /// Drops failures that no longer count. A worker that was doubtful is then unknown.
    fn expire(&mut self, doubt: u64, now: u64) {
        if self.failures == 0 || now < self.doubt_ends(doubt) {
            return;
        }
        if self.doubted_at > 0 {
            self.last_success = None;
        }
        self.clear_failures();
    }

    fn clear_failures(&mut self) {
        self.kept.clear();
        self.failures = 0;
        self.immediate = 0;
        self.doubted_at = 0;
        self.retry_at = 0;
    }

    /// Removes the kept failures that `removed` selects, and with them their counts.
    fn remove_failures(&mut self, removed: impl Fn(&Failure) -> bool) {
        self.kept.retain(|failure| !removed(failure));
        self.failures = self.kept.len() as u32;
        self.immediate = self.kept.iter().filter(|failure| failure.immediate).count() as u32;
        if !self.is_discredited() {
            self.doubted_at = 0;
            self.retry_at = 0;
            self.rounds = 0;
        }
        if let Some(first) = self.kept.first() {
            self.first_failure = first.at;
        }
    }
}
