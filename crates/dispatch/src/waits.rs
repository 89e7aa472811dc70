use std::collections::BTreeMap;

use quincewheel_job::Id;

use crate::cause::Cause;

/// Waits shorter than this are not logged while they last. Within this time most capacity is freed
/// and most short work ends, as a stop takes up to 900 ms; beyond it, objectives of a few seconds
/// are at risk.
pub(crate) const MIN_LOGGED_WAIT_MS: u64 = 1000;
/// A wait that has ended is logged if it lasted at least this long: more than the latency of
/// table, owner and worker together, and a good part of the slack of urgent work.
const MIN_LOGGED_ENDED_WAIT_MS: u64 = 100;
/// Most lines in a second over all jobs, so that a reader can follow them. With a full pool,
/// thousands of jobs may wait.
const MAX_LINES_PER_SECOND: usize = 10;
/// Length of the interval to which [`MAX_LINES_PER_SECOND`] applies.
const RATE_LIMIT_PERIOD_MS: u64 = 1000;

/// Identifies one occurrence of a step: job, occurrence, step.
pub(crate) type StepKey = (Id, u32, u32);

/// The wait of a step's tasks that are ready and have not started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// When a round of planning first left tasks of the step waiting.
    pub waiting_since: u64,
    /// Since when rounds of planning have found the tasks and left them waiting; none while they
    /// are kept out of the rounds.
    planned_since: Option<u64>,
    /// Number of tasks that wait.
    pub tasks: usize,
    /// What they wait for.
    pub cause: Cause,
    /// How many of the tasks fit now, and how many would fit if nothing ran.
    pub room: (u64, u64),
    /// Milliseconds spent waiting for each cause, up to `cause_updated_at`.
    spent_ms: [u64; Cause::ALL.len()],
    /// When the cause was last updated.
    cause_updated_at: u64,
    /// The cause that was last logged.
    logged_cause: Option<Cause>,
    /// Earliest time of the next log line.
    next_line_at: u64,
    /// The last round of planning in which the step waited.
    round: u64,
}

/// All steps that wait, and what has been logged about them.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    steps: BTreeMap<StepKey, Wait>,
    /// Number of the present round of planning.
    round: u64,
    /// When a line may be due; none if not before a cause changes.
    next_line_at: Option<u64>,
    /// When the present second of the rate limit began.
    second_began_at: u64,
    /// Lines written in the present second.
    lines_in_second: usize,
}

impl Waits {
    /// Begins a round of planning.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// Records that tasks of a step wait in this round, and why.
    pub fn record(
        &mut self,
        step: StepKey,
        (tasks, cause): (usize, Cause),
        room: (u64, u64),
        now: u64,
    ) {
        let round = self.round;
        let new = Wait { round, ..Wait::new((tasks, cause), room, now) };
        let wait = self.steps.entry(step).or_insert(new);
        wait.add_elapsed(now);
        let planned_since = match cause.precedes_planning() {
            true => None,
            false => Some(wait.planned_since.unwrap_or(now)),
        };
        *wait = Wait { tasks, cause, room, round, planned_since, ..*wait };
        if wait.needs_line() {
            let next = wait.next_line_at;
            self.next_line_at = Some(self.next_line_at.map_or(next, |due| due.min(next)));
        }
    }

    /// Returns since when rounds of planning have left a step waiting.
    pub fn planned_since(&self, step: &StepKey) -> Option<u64> {
        self.steps.get(step).and_then(|wait| wait.planned_since)
    }

    /// Returns the wait of a step, if one is known.
    pub fn get(&self, step: &StepKey) -> Option<&Wait> {
        self.steps.get(step)
    }

    /// Returns whether a step was recorded as waiting in the present round.
    pub fn is_in_round(&self, step: &StepKey) -> bool {
        self.get(step).is_some_and(|wait| wait.round == self.round)
    }

    /// Returns whether no step waits.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Returns since when a step has been waiting.
    pub fn waiting_since(&self, step: &StepKey) -> Option<u64> {
        self.steps.get(step).map(|wait| wait.waiting_since)
    }

    /// Returns what a step waits for.
    pub fn cause(&self, step: &StepKey) -> Option<Cause> {
        self.steps.get(step).map(|wait| wait.cause)
    }

    /// Ends the round. Steps that were not recorded in it no longer wait; those that had waited
    /// for at least [`MIN_LOGGED_ENDED_WAIT_MS`] are returned.
    pub fn end_round(&mut self, now: u64) -> Vec<(StepKey, Wait)> {
        let round = self.round;
        let over = self.steps.extract_if(.., |_, wait| wait.round != round);
        let long = over.filter(|(_, wait)| now >= wait.waiting_since + MIN_LOGGED_ENDED_WAIT_MS);
        let spend = |(step, mut wait): (StepKey, Wait)| {
            wait.add_elapsed(now);
            (step, wait)
        };
        long.map(spend).collect()
    }

    /// Returns the steps that wait for workers or for capacity on them, so that a change of the
    /// workers alone may change the cause.
    pub fn waiting_for_workers(&self) -> Vec<(StepKey, Wait)> {
        let waits = self.steps.iter().filter(|(_, wait)| wait.cause.depends_on_workers());
        waits.map(|(step, wait)| (step.clone(), *wait)).collect()
    }

    /// Returns the steps that wait for capacity.
    pub fn waiting_for_room(&self) -> impl Iterator<Item = &StepKey> {
        let waits = self.steps.iter().filter(|(_, wait)| wait.cause.is_lack_of_room());
        waits.map(|(step, _)| step)
    }

    /// Keeps only the waits for which `waits` returns true.
    pub fn retain(&mut self, waits: impl Fn(&StepKey, &Wait) -> bool) {
        self.steps.retain(|step, wait| waits(step, wait));
    }

    /// Returns the steps that have waited for at least [`MIN_LOGGED_WAIT_MS`], and why.
    pub fn long_waits(&self, now: u64) -> impl Iterator<Item = (&StepKey, Cause)> {
        let long = self
            .steps
            .iter()
            .filter(move |(_, wait)| now >= wait.waiting_since + MIN_LOGGED_WAIT_MS);
        long.map(|(step, wait)| (step, wait.cause))
    }

    /// Returns whether a line may be due.
    pub fn has_due_lines(&self, now: u64) -> bool {
        self.next_line_at.is_some_and(|due| due <= now)
    }

    /// Returns the waits to log now, longest first, and the number of those that exceed the rate
    /// limit by cause. The latter is empty except in the first call of each second.
    pub fn take_due_lines(&mut self, now: u64) -> (Vec<(StepKey, Wait)>, BTreeMap<Cause, usize>) {
        if now >= self.second_began_at + RATE_LIMIT_PERIOD_MS {
            self.second_began_at = now;
            self.lines_in_second = 0;
        }
        let fresh = self.lines_in_second < MAX_LINES_PER_SECOND;
        let mut ready: Vec<(&StepKey, &mut Wait)> =
            self.steps.iter_mut().filter(|(_, wait)| wait.needs_line()).collect();
        let later =
            ready.iter().map(|(_, wait)| wait.next_line_at).filter(|next| *next > now).min();
        ready.retain(|(_, wait)| wait.next_line_at <= now);
        ready.sort_by_key(|(_, wait)| wait.waiting_since);
        let rest = ready.split_off(ready.len().min(MAX_LINES_PER_SECOND - self.lines_in_second));
        let due =
            ready.into_iter().map(|(step, wait)| (step.clone(), wait.mark_logged(now))).collect();
        let mut left = BTreeMap::new();
        rest.iter().for_each(|(_, wait)| *left.entry(wait.cause).or_default() += 1);
        let again = (!left.is_empty()).then_some(self.second_began_at + RATE_LIMIT_PERIOD_MS);
        self.next_line_at = [later, again].into_iter().flatten().min();
        self.lines_in_second += Vec::len(&due);
        (due, if fresh { left } else { BTreeMap::new() })
    }
}

impl Wait {
    /// Creates the wait of this number of tasks, which begins now.
    pub fn new((tasks, cause): (usize, Cause), room: (u64, u64), now: u64) -> Wait {
        Wait {
            waiting_since: now,
            planned_since: None,
            tasks,
            cause,
            room,
            spent_ms: [0; Cause::ALL.len()],
            cause_updated_at: now,
            logged_cause: None,
            next_line_at: now + MIN_LOGGED_WAIT_MS,
            round: 0,
        }
    }

    /// Returns whether the present cause has not been logged. Waits of unsettled jobs are logged
    /// by the owner in one line for all of them. Other teams' steps that come first may start and
    /// arrive several times a second, so the time between is not logged.
    fn needs_line(&self) -> bool {
        let between = self.logged_cause == Some(Cause::Share) && self.cause == Cause::Room;
        self.logged_cause != Some(self.cause) && self.cause != Cause::Unsettled && !between
    }

    /// Returns the milliseconds spent on each cause that is not zero.
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
