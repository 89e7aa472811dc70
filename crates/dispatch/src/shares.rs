//! Shares of teams in the pools: what each team uses and waits for, and which steps are put back.

use std::collections::BTreeMap;

use quincewheel_share::{Account, Pool, Rise, Round, Shares, Standing};

use crate::candidate::Candidate;
use crate::cause::Cause;
use crate::entry::Entry;
use crate::owner::Owner;

impl Owner {
    /// Returns what teams have used beyond their guarantees and waited while put back, under this
    /// owner; those that used the most if there are many.
    pub fn team_accounts(&self) -> Vec<(String, Account)> {
        self.shares.accounts(self.now)
    }

    /// Samples usage at the beginning of a round of planning, and determines the teams' levels.
    pub(crate) fn begin_shares(&mut self, now: u64, wall: u64) {
        let half_life = self.settings.share_half_life;
        if half_life == 0 {
            self.shares = Shares::default();
            return;
        }
        let pools = self.share_pools();
        let teams = &self.config.teams;
        let configured = self.config.version > 0;
        // Jobs of a queue that is open to all have no team and are treated as those of one.
        let weight = |team: &str| match teams.get(team) {
            Some(team) => Some(team.weight.max(1)),
            None => (!configured || team.is_empty()).then_some(1),
        };
        let mut usage = self.usage.get().clone();
        let round = Round { pools: &pools, weight, half_life, now, wall };
        let rises = self.shares.begin_round(&mut usage, &round);
        if !usage.is_empty() || !self.usage.get().is_empty() {
            *self.usage.update() = usage;
        }
        for rise in rises {
            self.log("team over its share", &rise.team, rise_detail(&rise));
        }
    }

    /// Records what runs and waits from the end of a round of planning on.
    pub(crate) fn end_shares(&mut self) {
        if self.settings.share_half_life > 0 {
            let pools = self.share_pools();
            self.shares.end_round(pools);
        }
    }

    /// Returns the level of a job's steps that are not covered by a guarantee.
    pub(crate) fn share_level(&self, entry: &Entry) -> u8 {
        let queue = &entry.job.queue;
        self.shares.level(self.queues.pool(&entry.job), queue.priority, &entry.job.team)
    }

    /// Returns the cause of a candidate's wait, which is its team's share if others that wait for
    /// the same capacity come before it for that reason.
    pub(crate) fn cause_with_share(&self, candidate: &Candidate, cause: Cause) -> Cause {
        let Some(entry) = self.jobs.get(&candidate.id) else { return cause };
        let put_back = || {
            let (priority, team) = (entry.job.queue.priority, &entry.job.team);
            self.shares.is_put_back(self.queues.pool(&entry.job), priority, team)
        };
        let is_shared = cause == Cause::Room && !candidate.guaranteed();
        if is_shared && put_back() { Cause::Share } else { cause }
    }

    /// Formats how the usage of a job's team compares with its share.
    pub(crate) fn share_detail(&self, entry: &Entry) -> String {
        let (pool, priority) = (self.queues.pool(&entry.job), entry.job.queue.priority);
        let standing = self.shares.standing(pool, &entry.job.team).copied().unwrap_or_default();
        let waiting = self.shares.waiting_teams(pool, priority);
        format!("{} {}", entry.job.team, standing_detail(&standing, waiting))
    }

    /// Returns what the teams use beyond their guarantees in each pool, and how many of their steps
    /// wait for room.
    fn share_pools(&self) -> BTreeMap<String, Pool> {
        let mut pools: BTreeMap<String, Pool> = self
            .pools()
            .into_iter()
            .map(|(name, capacity)| (name, Pool { capacity, ..Pool::default() }))
            .collect();
        let borrowed = self.borrowed_units();
        for entry in self.jobs.values().filter(|entry| !entry.runs.is_empty()) {
            let Some(pool) = pools.get_mut(self.queues.pool(&entry.job)) else { continue };
            let priority = entry.job.queue.priority;
            let charged =
                entry.runs.iter().filter(|(_, run)| priority > 0 || borrowed.contains(&run.unit));
            let used = &mut pool.team(&entry.job.team).used;
            for (key, _) in charged {
                let need = entry.step(*key).map(|step| step.resources());
                need.iter().for_each(|need| used.add(need));
            }
        }
        for (id, ..) in self.waits.waiting_for_room() {
            let open = self.jobs.get(id).filter(|entry| !entry.progress.state.is_final());
            let Some(entry) = open else { continue };
            let Some(pool) = pools.get_mut(self.queues.pool(&entry.job)) else { continue };
            let waiting = &mut pool.team(&entry.job.team).waiting;
            *waiting.entry(entry.job.queue.priority).or_default() += 1;
        }
        pools
    }
}

/// Formats a standing for the log.
fn standing_detail(standing: &Standing, waiting_teams: usize) -> String {
    let Standing { running, recent, share, level } = standing;
    format!(
        "uses {running:.3} now and {recent:.3} lately, share {share:.3}, level {level}, \
         {waiting_teams} teams wait"
    )
}

/// Formats a rise for the log.
fn rise_detail(rise: &Rise) -> String {
    let Rise { pool, priority, standing, waiting_teams, age, .. } = rise;
    let standing = standing_detail(standing, *waiting_teams);
    format!("pool {pool}, priority {priority}: {standing}, as of {age} ms ago")
}
