use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::account::Account;
use crate::contest::Contest;
use crate::pool::Pool;
use crate::rise::Rise;
use crate::round::Round;
use crate::standing::Standing;
use crate::usage::Usage;

/// Levels of teams, and what they have used and waited under this owner.
#[derive(Debug, Default)]
pub struct Shares {
    /// Standings by pool and team, as of the last round.
    standings: BTreeMap<String, BTreeMap<String, Standing>>,
    /// Contests by pool and priority, as of the last round.
    contests: BTreeMap<String, BTreeMap<u32, Contest>>,
    /// The pools as the last round left them.
    held: BTreeMap<String, Pool>,
    /// Accounts by team.
    accounts: BTreeMap<String, Account>,
    /// Level and time of the last report of a rise, by pool, priority and team.
    reported: BTreeMap<(String, u32, String), (u8, u64)>,
    /// Monotonic time of the last round.
    last_round_at: Option<u64>,
}

/// Shortest time between two reports of a rise of one team in one priority. Contests begin and end
/// several times a second; 96 teams in three queues then cause 29 lines a second at most.
const MIN_REPORT_INTERVAL_MS: u64 = 10_000;
/// Most teams whose accounts are returned: as many as the largest deployments have.
const MAX_ACCOUNTS: usize = 96;

impl Shares {
    /// Counts what has run and waited since the last round, and determines the levels for this one.
    /// Returns the teams whose steps are now put back further than before.
    pub fn begin_round<W: Fn(&str) -> Option<u64>>(
        &mut self,
        usage: &mut Usage,
        round: &Round<'_, W>,
    ) -> Vec<Rise> {
        let elapsed = self.last_round_at.map(|at| round.now.saturating_sub(at));
        match elapsed {
            None => usage.resume(round.half_life, round.wall),
            Some(elapsed) => usage.advance(&self.held, elapsed, round.half_life),
        }
        usage.counted_until = round.wall;
        let mut accounts = std::mem::take(&mut self.accounts);
        self.charge(&mut accounts, elapsed.unwrap_or(0));
        accounts.retain(|team, _| (round.weight)(team).is_some());
        self.accounts = accounts;
        usage.retain(|_, team, _| (round.weight)(team).is_some());
        self.last_round_at = Some(round.now);
        self.update_standings(usage, round);
        self.update_contests(round.pools);
        self.report_rises(round.pools, round.now, elapsed.unwrap_or(0))
    }

    /// Records the pools as a round leaves them: what runs and waits until the next.
    pub fn end_round(&mut self, pools: BTreeMap<String, Pool>) {
        self.held = pools;
    }

    /// Returns the level of a team's steps of a priority: 0 unless two teams or more wait there.
    pub fn level(&self, pool: &str, priority: u32, team: &str) -> u8 {
        let contested = self.contest(pool, priority).is_some();
        self.standing(pool, team).filter(|_| contested).map_or(0, |standing| standing.level)
    }

    /// Returns whether steps of another team that wait there come before those of this one.
    pub fn is_put_back(&self, pool: &str, priority: u32, team: &str) -> bool {
        let lowest = self.contest(pool, priority).map(|contest| contest.lowest);
        lowest.is_some_and(|lowest| self.level(pool, priority, team) > lowest)
    }

    /// Returns how a team's usage compares with its share, as of the last round.
    pub fn standing(&self, pool: &str, team: &str) -> Option<&Standing> {
        self.standings.get(pool)?.get(team)
    }

    /// Returns the number of teams that wait for room in a priority; 0 if it is at most one.
    pub fn waiting_teams(&self, pool: &str, priority: u32) -> usize {
        self.contest(pool, priority).map_or(0, |contest| contest.teams)
    }

    /// Returns the accounts up to now, those of the 96 teams that used the most if there are more.
    pub fn accounts(&self, now: u64) -> Vec<(String, Account)> {
        let elapsed = self.last_round_at.map_or(0, |at| now.saturating_sub(at));
        let mut accounts = self.accounts.clone();
        self.charge(&mut accounts, elapsed);
        let mut accounts: Vec<(String, Account)> = accounts.into_iter().collect();
        accounts.sort_by_key(|(_, account)| Reverse((account.accelerator_ms, account.put_back_ms)));
        accounts.truncate(MAX_ACCOUNTS);
        accounts
    }

    fn contest(&self, pool: &str, priority: u32) -> Option<&Contest> {
        self.contests.get(pool)?.get(&priority)
    }

    /// Adds what ran and waited for `elapsed` milliseconds after the last round.
    fn charge(&self, accounts: &mut BTreeMap<String, Account>, elapsed: u64) {
        for (name, pool) in &self.held {
            for (team, demand) in pool.teams.iter().filter(|(_, demand)| demand.is_any()) {
                let put_back = demand.waiting.iter();
                let put_back = put_back.filter(|(at, _)| self.is_put_back(name, **at, team));
                let steps: u64 = put_back.map(|(_, steps)| steps).sum();
                let account = accounts.entry(team.clone()).or_default();
                account.accelerator_ms += demand.used.accelerators * elapsed;
                account.put_back_ms += steps * elapsed;
            }
        }
    }

    /// Determines the standing of each team that uses or waits for anything, or did so lately.
    fn update_standings<W: Fn(&str) -> Option<u64>>(
        &mut self,
        usage: &Usage,
        round: &Round<'_, W>,
    ) {
        // Jobs of a team that was removed from the configuration go on, at the least weight.
        let weight = |team: &str| (round.weight)(team).unwrap_or(1).max(1);
        let mut standings: BTreeMap<String, BTreeMap<String, Standing>> = BTreeMap::new();
        for (name, pool) in round.pools {
            let recent = usage.pools.get(name).into_iter().flat_map(BTreeMap::keys);
            let teams: BTreeSet<&String> = pool.teams.keys().chain(recent).collect();
            let standing = |team: &&String| {
                let previous = self.standing(name, team).map_or(0, |standing| standing.level);
                let share = pool.share(team, weight);
                Standing::new(pool.running(team), usage.recent(name, team), share, previous)
            };
            let by_team = teams.iter().map(|team| ((*team).clone(), standing(team))).collect();
            standings.insert(name.clone(), by_team);
        }
        self.standings = standings;
    }

    fn update_contests(&mut self, pools: &BTreeMap<String, Pool>) {
        let mut contests: BTreeMap<String, BTreeMap<u32, Contest>> = BTreeMap::new();
        for (name, pool) in pools {
            let mut by_priority: BTreeMap<u32, Contest> = BTreeMap::new();
            for (team, demand) in &pool.teams {
                let level = self.standing(name, team).map_or(0, |standing| standing.level);
                for priority in demand.waiting.keys() {
                    let new = Contest { teams: 0, lowest: level };
                    let contest = by_priority.entry(*priority).or_insert(new);
                    contest.teams += 1;
                    contest.lowest = contest.lowest.min(level);
                }
            }
            by_priority.retain(|_, contest| contest.teams > 1);
            contests.insert(name.clone(), by_priority);
        }
        self.contests = contests;
    }

    /// Returns the waiting teams whose level has risen since it was last reported.
    fn report_rises(&mut self, pools: &BTreeMap<String, Pool>, now: u64, age: u64) -> Vec<Rise> {
        let mut rises = Vec::new();
        let mut reported = std::mem::take(&mut self.reported);
        for ((pool, priority, team), (level, _)) in &mut reported {
            *level = (*level).min(self.level(pool, *priority, team));
        }
        reported.retain(|_, (level, at)| *level > 0 || now < *at + MIN_REPORT_INTERVAL_MS);
        let waiting = pools.iter().flat_map(|(pool, view)| {
            let teams = view.teams.iter();
            teams.flat_map(move |(team, demand)| {
                demand.waiting.keys().map(move |priority| (pool, *priority, team))
            })
        });
        for (pool, priority, team) in waiting {
            let level = self.level(pool, priority, team);
            let Some(standing) = self.standing(pool, team).filter(|_| level > 0) else { continue };
            let key = (pool.clone(), priority, team.clone());
            let is_due = reported.get(&key).is_none_or(|(reported, at)| {
                level > *reported && now >= *at + MIN_REPORT_INTERVAL_MS
            });
            if !is_due {
                continue;
            }
            reported.insert(key, (level, now));
            rises.push(Rise {
                pool: pool.clone(),
                priority,
                team: team.clone(),
                standing: *standing,
                waiting_teams: self.waiting_teams(pool, priority),
                age,
            });
        }
        self.reported = reported;
        rises
    }
}
