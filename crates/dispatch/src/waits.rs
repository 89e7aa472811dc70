use std::collections::BTreeMap;

use quincewheel_job::Id;

use crate::cause::Cause;

/// Nothing is told of work that has waited for less, in milliseconds. Most room
/// is made and most short work ends within it: a stop takes up to 900. After a
/// second a client's objective of a few seconds is at risk.
pub(crate) const MIN_LOGGED_WAIT_MS: u64 = 1000;
/// A wait that is over is told if it took so many milliseconds: more than the ways to
/// the table, the owner and a worker, and a good part of what urgent work has to spare.
const WORTH: u64 = 100;
/// Lines in a second over all jobs: what a reader can follow. A full pool may
/// have thousands of jobs waiting.
const LINES: usize = 10;
/// The second, in milliseconds.
const SECOND: u64 = 1000;

/// The tasks of one step: job, occurrence, step.
pub(crate) type Group = (Id, u32, u32);

/// A step whose turn has come and of which tasks wait for their start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Wait {
    /// When it was first seen to wait.
    pub since: u64,
    /// Tasks that wait.
    pub tasks: usize,
    /// What they wait for.
    pub cause: Cause,
    /// How many of them fit now, and how many would if nothing ran.
    pub room: (u64, u64),
    /// Milliseconds for which each cause kept them, up to `noted`.
    spent: [u64; Cause::ALL.len()],
    /// When the cause was noted last.
    noted: u64,
    /// The cause that was told last.
    told: Option<Cause>,
    /// No line before this time.
    next: u64,
    /// The round of decisions that saw it last.
    round: u64,
}

/// Everything whose turn has come and that has not started, and what was told
/// of it.
#[derive(Debug, Default)]
pub(crate) struct Waits {
    groups: BTreeMap<Group, Wait>,
    round: u64,
    /// When there may be something to tell; none if not before a change.
    due: Option<u64>,
    /// When the current second of lines began, and how many it has.
    second: u64,
    lines: usize,
}

impl Waits {
    /// A round of decisions begins.
    pub fn begin(&mut self) {
        self.round += 1;
    }

    /// Tasks of a step wait, in this round.
    pub fn note(
        &mut self,
        group: Group,
        (tasks, cause): (usize, Cause),
        room: (u64, u64),
        now: u64,
    ) {
        let round = self.round;
        let spent = [0; Cause::ALL.len()];
        let (noted, next) = (now, now + MIN_LOGGED_WAIT_MS);
        let new = Wait { since: now, tasks, cause, room, spent, noted, told: None, next, round };
        let wait = self.groups.entry(group).or_insert(new);
        wait.spend(now);
        *wait = Wait { tasks, cause, room, round, ..*wait };
        if wait.untold() {
            let next = wait.next;
            self.due = Some(self.due.map_or(next, |due| due.min(next)));
        }
    }

    /// The round is over: what was not seen in it waits no more. Returns what had
    /// waited for [`WORTH`].
    pub fn end(&mut self, now: u64) -> Vec<(Group, Wait)> {
        let round = self.round;
        let over = self.groups.extract_if(.., |_, wait| wait.round != round);
        let long = over.filter(|(_, wait)| now >= wait.since + WORTH);
        let spend = |(group, mut wait): (Group, Wait)| {
            wait.spend(now);
            (group, wait)
        };
        long.map(spend).collect()
    }

    /// Steps that wait for room on workers, or for workers: what a change of the
    /// workers alone may give another cause.
    pub fn on_workers(&self) -> Vec<(Group, Wait)> {
        let waits = self.groups.iter().filter(|(_, wait)| wait.cause.is_of_workers());
        waits.map(|(group, wait)| (group.clone(), *wait)).collect()
    }

    /// Forgets what waits no more.
    pub fn retain(&mut self, waits: impl Fn(&Group, &Wait) -> bool) {
        self.groups.retain(|group, wait| waits(group, wait));
    }

    /// What has waited for long, and for what.
    pub fn long(&self, now: u64) -> impl Iterator<Item = (&Group, Cause)> {
        let long =
            self.groups.iter().filter(move |(_, wait)| now >= wait.since + MIN_LOGGED_WAIT_MS);
        long.map(|(group, wait)| (group, wait.cause))
    }

    /// True if there may be something to tell.
    pub fn is_due(&self, now: u64) -> bool {
        self.due.is_some_and(|due| due <= now)
    }

    /// What is to be told now, those that have waited longest first, and how
    /// many are left out, by cause. The latter only once a second.
    pub fn take(&mut self, now: u64) -> (Vec<(Group, Wait)>, BTreeMap<Cause, usize>) {
        if now >= self.second + SECOND {
            self.second = now;
            self.lines = 0;
        }
        let fresh = self.lines < LINES;
        let mut ready: Vec<(&Group, &mut Wait)> =
            self.groups.iter_mut().filter(|(_, wait)| wait.untold()).collect();
        let later = ready.iter().map(|(_, wait)| wait.next).filter(|next| *next > now).min();
        ready.retain(|(_, wait)| wait.next <= now);
        ready.sort_by_key(|(_, wait)| wait.since);
        let rest = ready.split_off(ready.len().min(LINES - self.lines));
        let told = ready.into_iter().map(|(group, wait)| (group.clone(), wait.tell(now))).collect();
        let mut left = BTreeMap::new();
        rest.iter().for_each(|(_, wait)| *left.entry(wait.cause).or_default() += 1);
        let again = (!left.is_empty()).then_some(self.second + SECOND);
        self.due = [later, again].into_iter().flatten().min();
        self.lines += Vec::len(&told);
        (told, if fresh { left } else { BTreeMap::new() })
    }
}

impl Wait {
    /// True if its cause has not been told. What waits for members of a new
    /// owner is told once for all.
    fn untold(&self) -> bool {
        self.told != Some(self.cause) && self.cause != Cause::Unsettled
    }

    /// Milliseconds by cause, without those that took none.
    pub fn spent(&self) -> impl Iterator<Item = (Cause, u64)> {
        let all = Cause::ALL.into_iter().zip(self.spent);
        all.filter(|(_, ms)| *ms > 0)
    }

    fn spend(&mut self, now: u64) {
        self.spent[self.cause as usize] += now.saturating_sub(self.noted);
        self.noted = now;
    }

    fn tell(&mut self, now: u64) -> Wait {
        self.told = Some(self.cause);
        self.next = now + MIN_LOGGED_WAIT_MS;
        *self
    }
}
