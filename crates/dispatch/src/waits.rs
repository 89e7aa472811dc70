use std::collections::BTreeMap;

use quincewheel_job::Id;

use crate::cause::Cause;

/// Nothing is told of work that has waited for less, in milliseconds. Most room
/// is made and most short work ends within it: a stop takes up to 900. After a
/// second a client's objective of a few seconds is at risk.
pub(crate) const MIN_LOGGED_WAIT_MS: u64 = 1000;
/// A wait that is over is told if it took so many milliseconds: more than the ways to
/// the table, the owner and a worker, and a good part of what urgent work has to spare.
const MIN_LOGGED_ENDED_WAIT_MS: u64 = 100;
/// Lines in a second over all jobs: what a reader can follow. A full pool may
/// have thousands of jobs waiting.
const MAX_LINES_PER_SECOND: usize = 10;
/// The second, in milliseconds.
const SECOND_MS: u64 = 1000;

/// The tasks of one step: job, occurrence, step.
pub(crate) type StepKey = (Id, u32, u32);

/// A step whose turn has come and of which tasks wait for their start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// When it was first seen to wait.
    pub waiting_since: u64,
    /// Tasks that wait.
    pub tasks: usize,
    /// What they wait for.
    pub cause: Cause,
    /// How many of them fit now, and how many would if nothing ran.
    pub room: (u64, u64),
    /// Milliseconds for which each cause kept them, up to `noted`.
    spent_ms: [u64; Cause::ALL.len()],
    /// When the cause was noted last.
    cause_updated_at: u64,
    /// The cause that was told last.
    logged_cause: Option<Cause>,
    /// No line before this time.
    next_line_at: u64,
    /// The round of decisions that saw it last.
    round: u64,
}

/// Everything whose turn has come and that has not started, and what was told
/// of it.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    groups: BTreeMap<StepKey, Wait>,
    round: u64,
    /// When there may be something to tell; none if not before a change.
    next_line_at: Option<u64>,
    /// When the current second of lines began, and how many it has.
    second_began_at: u64,
    lines_in_second: usize,
}

impl Waits {
    /// A round of decisions begins.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// Tasks of a step wait, in this round.
    pub fn record(
        &mut self,
        group: StepKey,
        (tasks, cause): (usize, Cause),
        room: (u64, u64),
        now: u64,
    ) {
        let round = self.round;
        let spent = [0; Cause::ALL.len()];
        let (noted, next) = (now, now + MIN_LOGGED_WAIT_MS);
        let new = Wait {
            waiting_since: now,
            tasks,
            cause,
            room,
            spent_ms: spent,
            cause_updated_at: noted,
            logged_cause: None,
            next_line_at: next,
            round,
        };
        let wait = self.groups.entry(group).or_insert(new);
        wait.add_elapsed(now);
        *wait = Wait { tasks, cause, room, round, ..*wait };
        if wait.needs_line() {
            let next = wait.next_line_at;
            self.next_line_at = Some(self.next_line_at.map_or(next, |due| due.min(next)));
        }
    }

    /// The round is over: what was not seen in it waits no more. Returns what had
    /// waited for [`MIN_LOGGED_ENDED_WAIT_MS`].
    pub fn end_round(&mut self, now: u64) -> Vec<(StepKey, Wait)> {
        let round = self.round;
        let over = self.groups.extract_if(.., |_, wait| wait.round != round);
        let long = over.filter(|(_, wait)| now >= wait.waiting_since + MIN_LOGGED_ENDED_WAIT_MS);
        let spend = |(group, mut wait): (StepKey, Wait)| {
            wait.add_elapsed(now);
            (group, wait)
        };
        long.map(spend).collect()
    }

    /// Steps that wait for room on workers, or for workers: what a change of the
    /// workers alone may give another cause.
    pub fn waiting_for_workers(&self) -> Vec<(StepKey, Wait)> {
        let waits = self.groups.iter().filter(|(_, wait)| wait.cause.depends_on_workers());
        waits.map(|(group, wait)| (group.clone(), *wait)).collect()
    }

    /// Forgets what waits no more.
    pub fn retain(&mut self, waits: impl Fn(&StepKey, &Wait) -> bool) {
        self.groups.retain(|group, wait| waits(group, wait));
    }

    /// What has waited for long, and for what.
    pub fn long_waits(&self, now: u64) -> impl Iterator<Item = (&StepKey, Cause)> {
        let long = self
            .groups
            .iter()
            .filter(move |(_, wait)| now >= wait.waiting_since + MIN_LOGGED_WAIT_MS);
        long.map(|(group, wait)| (group, wait.cause))
    }

    /// True if there may be something to tell.
    pub fn has_due_lines(&self, now: u64) -> bool {
        self.next_line_at.is_some_and(|due| due <= now)
    }

    /// What is to be told now, those that have waited longest first, and how
    /// many are left out, by cause. The latter only once a second.
    pub fn take_due_lines(&mut self, now: u64) -> (Vec<(StepKey, Wait)>, BTreeMap<Cause, usize>) {
        if now >= self.second_began_at + SECOND_MS {
            self.second_began_at = now;
            self.lines_in_second = 0;
        }
        let fresh = self.lines_in_second < MAX_LINES_PER_SECOND;
        let mut ready: Vec<(&StepKey, &mut Wait)> =
            self.groups.iter_mut().filter(|(_, wait)| wait.needs_line()).collect();
        let later =
            ready.iter().map(|(_, wait)| wait.next_line_at).filter(|next| *next > now).min();
        ready.retain(|(_, wait)| wait.next_line_at <= now);
        ready.sort_by_key(|(_, wait)| wait.waiting_since);
        let rest = ready.split_off(ready.len().min(MAX_LINES_PER_SECOND - self.lines_in_second));
        let told =
            ready.into_iter().map(|(group, wait)| (group.clone(), wait.mark_logged(now))).collect();
        let mut left = BTreeMap::new();
        rest.iter().for_each(|(_, wait)| *left.entry(wait.cause).or_default() += 1);
        let again = (!left.is_empty()).then_some(self.second_began_at + SECOND_MS);
        self.next_line_at = [later, again].into_iter().flatten().min();
        self.lines_in_second += Vec::len(&told);
        (told, if fresh { left } else { BTreeMap::new() })
    }
}

impl Wait {
    /// True if its cause has not been told. What waits for members of a new
    /// owner is told once for all.
    fn needs_line(&self) -> bool {
        self.logged_cause != Some(self.cause) && self.cause != Cause::Unsettled
    }

    /// Milliseconds by cause, without those that took none.
    pub fn spent(&self) -> impl Iterator<Item = (Cause, u64)> {
        let all = Cause::ALL.into_iter().zip(self.spent_ms);
        all.filter(|(_, ms)| *ms > 0)
    }

    fn add_elapsed(&mut self, now: u64) {
        self.spent_ms[self.cause as usize] += now.saturating_sub(self.cause_updated_at);
        self.cause_updated_at = now;
    }

    fn mark_logged(&mut self, now: u64) -> Wait {
        self.logged_cause = Some(self.cause);
        self.next_line_at = now + MIN_LOGGED_WAIT_MS;
        *self
    }
}
