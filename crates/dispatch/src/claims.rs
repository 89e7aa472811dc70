//! Claims of waiting gangs on capacity, and what they withhold from later work.
//!
//! Gangs used to wait without bound: smaller work that arrived later took each worker as it became
//! free. `quincewheel-backfill` decides which workers a gang claims and what other work may still
//! use there; here it is given views of the owner's state, and its answer is applied while
//! candidates are placed. Claims are planned anew in each round and are not stored.

use std::collections::BTreeMap;

use quincewheel_backfill::{Claim, Gang, Kept, Plan, Planner, Turn};
use quincewheel_job::{Id, Resources, Step};
use quincewheel_place::{Preemptible, Protection, Request, WorkerState};
use quincewheel_policy::{Lateness, is_any_resource_half_free};

use crate::candidate::Candidate;
use crate::entry::{Entry, Key};
use crate::estimator::run_time;
use crate::owner::{Owner, task};
use crate::placement::Phase;
use crate::releases::{Running, index_of};
use crate::snapshot::Snapshot;
use crate::wait_detail::list;
use crate::waits::StepKey;

/// The claims of the last round.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    /// The claims by their gangs, in the order of `plan`.
    held: Vec<Held>,
    plan: Plan,
    /// Claims that idle jobs have broken, by their gangs.
    broken: BTreeMap<StepKey, Broken>,
    /// Whether a claim kept tasks from starting in this round.
    held_back: bool,
    /// When the present second of the rate limit of log lines began.
    second_began_at: u64,
    /// Lines written in the present second.
    lines_in_second: usize,
}

/// A claim that a gang keeps from round to round.
#[derive(Clone, Debug)]
struct Held {
    gang: StepKey,
    pool: String,
    /// The agents of the claimed workers.
    agents: Vec<String>,
    /// The claimed rack, if the gang requires a single one.
    rack: Option<String>,
    /// When the gang made its first claim.
    made_at: u64,
    /// The start that was planned when these workers were claimed.
    planned: u64,
    /// What is to be logged about the claim.
    unlogged: Option<&'static str>,
    /// When the claim was last logged.
    logged_at: u64,
}

/// How often idle jobs have taken workers that a gang has claimed.
#[derive(Clone, Copy, Debug, Default)]
struct Broken {
    /// Number of rounds in which they did.
    count: u32,
    /// When they last did.
    at: u64,
}

impl Broken {
    /// Returns until when the gang's workers are left to it after they were taken.
    fn protected_until(&self) -> u64 {
        let hold = FIRST_PROTECTION_MS << self.count.saturating_sub(1).min(31);
        self.at + hold.min(MAX_PROTECTION_MS)
    }
}

/// A gang that is entitled to a claim.
#[derive(Debug)]
struct Waiting<'a> {
    candidate: &'a Candidate,
    key: StepKey,
    turn: Turn,
    entry: &'a Entry,
    step: &'a Step,
    pool: String,
}

/// A log line about the claim of a gang of this job.
#[derive(Debug)]
struct Line {
    event: &'static str,
    id: Id,
    detail: String,
}

/// Capacity that a candidate must leave, taken out of the snapshot while it is placed.
#[derive(Debug)]
pub(crate) struct Withheld {
    worker: usize,
    free: Resources,
    stopping: Resources,
    ending: Resources,
    preemptible: Vec<Preemptible>,
}

/// Most log lines about claims in one second. At most four gangs of a pool have claims, but their
/// workers may change with each round.
const MAX_LINES_PER_SECOND: usize = 10;
/// How long a gang that can no longer meet its objective waits at least before it may claim
/// capacity. It should lose no room to smaller, later work after 10 s; claimed earlier, the room
/// would be missing for work that is still in time.
const LATE_CLAIM_DELAY_MS: u64 = 8000;
/// For how long a gang keeps the workers that it claims after idle jobs have taken some of them. It
/// doubles each time: where a pool stays under half in use, the gang would otherwise never start.
const FIRST_PROTECTION_MS: u64 = 2000;
/// The longest protection. A gang whose workers take longer to become free may still lose them.
const MAX_PROTECTION_MS: u64 = 16_000;
/// Shortest time between two log lines about the claim of one gang that moves.
const MIN_LINE_INTERVAL_MS: u64 = 1000;

impl Claims {
    /// Returns whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns whether a step of the job has a claim.
    pub fn is_held_by(&self, id: &str) -> bool {
        self.held.iter().any(|held| held.gang.0 == id)
    }

    /// Formats for the log which gangs claim capacity in a pool.
    pub fn detail(&self, pool: &str, now: u64) -> String {
        let claims = self.held.iter().zip(&self.plan.claims);
        let claims = claims.filter(|(held, _)| held.pool == pool).map(|(held, claim)| {
            let ms = claim.start.saturating_sub(now);
            format!("{}, planned in {ms} ms", name(&held.gang))
        });
        format!("by {}", list(claims.collect()))
    }

    /// Returns the claim of a gang in the last round.
    fn of(&self, gang: &StepKey) -> Option<&Held> {
        self.held.iter().find(|held| held.gang == *gang)
    }

    /// Returns whether the rate limit permits another line, and counts it.
    fn take_line(&mut self, now: u64) -> bool {
        if now >= self.second_began_at + 1000 {
            self.second_began_at = now;
            self.lines_in_second = 0;
        }
        self.lines_in_second += 1;
        self.lines_in_second <= MAX_LINES_PER_SECOND
    }
}

impl Owner {
    /// Returns the number of gangs with a claim, and that of the accelerators that they claim.
    pub fn claim_counts(&self) -> (usize, u64) {
        let claims = &self.claims.plan.claims;
        (claims.len(), claims.iter().map(Claim::accelerators).sum())
    }

    /// Plans the claims of a round for the candidates that are entitled to one.
    pub(crate) fn plan_claims(
        &mut self,
        candidates: &[Candidate],
        snapshot: &Snapshot,
        (now, wall): (u64, u64),
    ) {
        self.claims.held_back = false;
        let entitled = match self.settings.claim_after {
            0 => Vec::new(),
            _ => self.entitled(candidates, (now, wall)),
        };
        if entitled.is_empty() {
            self.claims.held.clear();
            self.claims.plan = Plan::default();
            return;
        }
        let gangs: Vec<Waiting<'_>> =
            entitled.into_iter().filter_map(|(it, turn)| self.waiting_gang(it, turn)).collect();
        let pools = gangs.iter().map(|gang| gang.pool.as_str()).collect();
        let (running, releases) = self.releases(snapshot, &pools, now);
        let mut planner = Planner::new(&snapshot.workers, &releases, now);
        for (index, until, need) in self.reserved(snapshot, now) {
            planner.reserve(index, until, &need);
        }
        let mut holders = Vec::new();
        for gang in &gangs {
            if !planner.is_full(&gang.pool)
                && planner.claim(&self.claim_request(gang, snapshot, (now, wall)))
            {
                holders.push(gang);
            }
        }
        let plan = planner.finish();
        let mut held = Vec::new();
        let mut lines = Vec::new();
        for (gang, claim) in holders.into_iter().zip(&plan.claims) {
            let former = self.claims.of(&gang.key);
            let (claimed, line) = Held::renew(former, gang, claim, (snapshot, &running), now);
            lines.extend(line);
            held.push(claimed);
        }
        self.claims.plan = plan;
        self.claims.held = held;
        // No event marks the moment at which a claim is given up.
        let given_up = self.claims.held.iter().map(|held| held.kept(&[]).abandoned_at());
        if let Some(at) = given_up.min() {
            self.schedule_replan(wall + at.saturating_sub(now));
        }
        for Line { event, id, detail } in lines {
            if self.claims.take_line(now) {
                self.log(event, &id, detail);
            }
        }
    }

    /// Returns what is known of a candidate that is entitled to a claim.
    fn waiting_gang<'a>(&'a self, candidate: &'a Candidate, turn: Turn) -> Option<Waiting<'a>> {
        let entry = self.jobs.get(&candidate.id)?;
        let step = entry.job.steps.get(candidate.step as usize)?;
        let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        Some(Waiting { candidate, key, turn, entry, step, pool: self.pool_of(entry) })
    }

    /// Returns a waiting gang as the planner sees it.
    fn claim_request<'a>(
        &self,
        waiting: &'a Waiting<'_>,
        snapshot: &Snapshot,
        (now, wall): (u64, u64),
    ) -> Gang<'a> {
        let Waiting { candidate, key, turn, entry, step, pool } = waiting;
        let request = Request {
            step,
            pool,
            count: candidate.tasks.len() as u32,
            waits_for_rack: true,
            preempts: Protection::Lower,
            ignores_ending: false,
            tasks_by_worker: &[],
        };
        let mut excluded = self.unapproved(candidate, snapshot);
        excluded.extend(self.avoided_indexes(candidate, snapshot, now));
        excluded.sort_unstable();
        let half_free = is_any_resource_half_free(&snapshot.workers, pool);
        let yields_until = self.deferred_until(candidate, half_free, (now, wall));
        let kept = self.claims.of(key).map(|held| held.kept(&snapshot.workers));
        Gang {
            request,
            turn: *turn,
            run_time: run_time(self.times.get(), entry, candidate.step, step),
            not_before: yields_until.map_or(now, |until| now + until.saturating_sub(wall)),
            excluded,
            kept: kept.filter(|kept| !kept.is_abandoned(now)),
        }
    }

    /// Returns the candidates that are entitled to a claim, in the order of their turns, and
    /// schedules the next round for when another one is.
    fn entitled<'a>(
        &mut self,
        candidates: &'a [Candidate],
        (now, wall): (u64, u64),
    ) -> Vec<(&'a Candidate, Turn)> {
        let mut found = Vec::new();
        for candidate in candidates.iter().filter(|candidate| !candidate.suspect) {
            let Some(entry) = self.jobs.get(&candidate.id) else { continue };
            let gang = |step: &Step| step.gang && !step.perpetual;
            let occurrence_step = (candidate.occurrence, candidate.step);
            if !entry.job.steps.get(candidate.step as usize).is_some_and(gang)
                || entry.reservations.contains_key(&occurrence_step)
            {
                continue;
            }
            let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
            let since = self.waits.planned_since(&key).unwrap_or(now);
            let due = since + self.claim_delay(candidate);
            if due > now && self.claims.of(&key).is_none() {
                self.schedule_replan(wall + due - now);
            } else {
                found.push((candidate, Turn { waiting_since: since, ..turn(candidate) }));
            }
        }
        found.sort_by_key(|(_, turn)| *turn);
        found
    }

    /// Returns how long a gang waits before it may claim capacity.
    fn claim_delay(&self, candidate: &Candidate) -> u64 {
        match candidate.rank.lateness {
            Lateness::InTime => self.settings.claim_after,
            Lateness::Late | Lateness::Expired => {
                self.settings.claim_after.max(LATE_CLAIM_DELAY_MS)
            }
        }
    }

    /// Takes capacity out of the snapshot that claims withhold from the candidate.
    pub(crate) fn withhold_claimed(
        &self,
        candidate: &Candidate,
        step: &Step,
        snapshot: &mut Snapshot,
        now: u64,
    ) -> Vec<Withheld> {
        let (plan, turn) = (&self.claims.plan, turn(candidate));
        if !plan.binds(&turn) {
            return Vec::new();
        }
        let Some(entry) = self.jobs.get(&candidate.id) else { return Vec::new() };
        let until = match step.perpetual {
            true => u64::MAX,
            false => now + run_time(self.times.get(), entry, candidate.step, step),
        };
        let (need, may_preempt) = (step.resources(), candidate.rank.may_preempt());
        let mut withheld = Vec::new();
        for index in plan.workers() {
            let worker = &mut snapshot.workers[index];
            if !need.fits(&worker.free) && !may_preempt {
                continue;
            }
            let Some(usable) = plan.usable(index, &worker.free, &turn, until) else { continue };
            let mut free = worker.free;
            free.subtract(&usable);
            worker.free = usable;
            // What runs there ends for the gang, so it can't be stopped for the candidate.
            withheld.push(Withheld {
                worker: index,
                free,
                stopping: std::mem::take(&mut worker.stopping),
                ending: std::mem::take(&mut worker.ending),
                preemptible: std::mem::take(&mut worker.preemptible),
            });
        }
        withheld
    }

    /// Returns the indexes of workers that gangs before the candidate have claimed.
    pub(crate) fn claimed_indexes(&self, candidate: &Candidate) -> Vec<usize> {
        let turn = turn(candidate);
        let binding = self.claims.plan.claims.iter().filter(|claim| claim.binds(&turn));
        binding.flat_map(|claim| &claim.workers).map(|(index, _)| *index).collect()
    }

    /// Returns the indexes of claimed workers that are kept from the candidate although it is idle,
    /// and until when: those of gangs before it that have lost workers to idle jobs in former
    /// rounds and are planned to start within the time of their protection.
    pub(crate) fn protected_indexes(
        &self,
        candidate: &Candidate,
        now: u64,
    ) -> (Vec<usize>, Option<u64>) {
        let turn = turn(candidate);
        let (mut indexes, mut ends_at) = (Vec::new(), None);
        for (held, claim) in self.claims.held.iter().zip(&self.claims.plan.claims) {
            let Some(broken) = self.claims.broken.get(&held.gang) else { continue };
            let until = broken.protected_until();
            let protected = broken.at < now && now < until && claim.start <= until;
            if protected && claim.binds(&turn) {
                indexes.extend(claim.workers.iter().map(|(index, _)| *index));
                ends_at = Some(ends_at.map_or(until, |known: u64| known.min(until)));
            }
        }
        (indexes, ends_at)
    }

    /// Records that an idle job starts on the chosen workers, some of which may be claimed.
    pub(crate) fn record_broken_claims(
        &mut self,
        candidate: &Candidate,
        chosen: &[usize],
        now: u64,
    ) {
        let turn = turn(candidate);
        let Claims { held, plan, broken, .. } = &mut self.claims;
        for (held, claim) in held.iter().zip(&plan.claims) {
            let taken = claim.workers.iter().any(|(index, _)| chosen.contains(index));
            if !taken || !claim.binds(&turn) {
                continue;
            }
            let known = broken.entry(held.gang.clone()).or_default();
            // Jobs of one round take the workers together.
            if known.count == 0 || known.at < now {
                *known = Broken { count: known.count + 1, at: now };
            }
        }
    }

    /// Puts back what [`Owner::withhold_claimed`] took out. Returns the indexes of the workers on
    /// which claims withhold free capacity from the candidate; none if it has a claim itself.
    pub(crate) fn return_claimed(
        &mut self,
        candidate: &Candidate,
        withheld: Vec<Withheld>,
        snapshot: &mut Snapshot,
    ) -> Vec<usize> {
        if withheld.is_empty() {
            return Vec::new();
        }
        let occurrence_step = (candidate.occurrence, candidate.step);
        let entry = self.jobs.get(&candidate.id);
        let makes_room =
            entry.is_some_and(|entry| entry.reservations.contains_key(&occurrence_step));
        let mut claimed = Vec::new();
        for Withheld { worker, free, stopping, ending, preemptible } in withheld {
            if free != Resources::default() {
                claimed.push(worker);
            }
            let state = &mut snapshot.workers[worker];
            state.free.add(&free);
            state.stopping.add(&stopping);
            state.ending.add(&ending);
            state.preemptible = preemptible;
            if makes_room {
                // A gang that runs here and elsewhere may have been stopped for the candidate.
                let members = |unit| snapshot.units.get(&unit).map_or(&[][..], Vec::as_slice);
                let stopping = |holder: &Preemptible| {
                    members(holder.unit).iter().any(|(id, key)| self.is_stopping(id, key))
                };
                for holder in state.preemptible.extract_if(.., |holder| stopping(holder)) {
                    state.stopping.add(&holder.need);
                }
            }
        }
        if claimed.is_empty() {
            return claimed;
        }
        self.claims.held_back = true;
        let key = (candidate.id.clone(), candidate.occurrence, candidate.step);
        if self.claims.of(&key).is_some() { Vec::new() } else { claimed }
    }

    /// Ends a round. What a claim withheld may start in the next one if its gang has started, maybe
    /// on other workers.
    pub(crate) fn end_claims_round(&mut self) {
        let waits = &self.waits;
        self.claims.broken.retain(|gang, _| waits.is_in_round(gang));
        let has_started = |held: &Held| {
            let (id, occurrence, step) = &held.gang;
            self.jobs.get(id).is_none_or(|entry| entry.has_runs(*occurrence, *step))
        };
        if self.claims.held_back && self.claims.held.iter().any(has_started) {
            self.replan = true;
        }
    }

    fn is_stopping(&self, id: &str, key: &Key) -> bool {
        let placed = self.jobs.get(id).and_then(|entry| entry.runs.get(key));
        placed.is_some_and(|placed| placed.phase == Phase::Stopping)
    }
}

impl Held {
    /// Returns a gang's claim in this round, given its `former` one, and the log line that is due.
    fn renew(
        former: Option<&Held>,
        gang: &Waiting<'_>,
        claim: &Claim,
        (snapshot, running): (&Snapshot, &[Running<'_>]),
        now: u64,
    ) -> (Held, Option<Line>) {
        let agents = claim.workers.iter().map(|(index, _)| snapshot.workers[*index].name.clone());
        let mut held = Held {
            gang: gang.key.clone(),
            pool: gang.pool.clone(),
            agents: agents.collect(),
            rack: claim.rack.clone(),
            made_at: now,
            planned: claim.start,
            unlogged: Some("claim made"),
            logged_at: 0,
        };
        let mut overdue = String::new();
        if let Some(former) = former {
            (held.made_at, held.logged_at) = (former.made_at, former.logged_at);
            if claim.kept {
                (held.planned, held.unlogged) = (former.planned, former.unlogged);
            } else if former.kept(&snapshot.workers).is_abandoned(now) {
                let planned = former.planned - former.made_at;
                let ms = now - former.planned;
                overdue = format!("planned after {planned} ms, overdue by {ms} ms; ");
                held.unlogged = Some("claim abandoned");
            } else {
                held.unlogged = Some("claim moved");
            }
        }
        let due = |_: &mut &str| now >= held.logged_at + MIN_LINE_INTERVAL_MS;
        let Some(event) = held.unlogged.take_if(due) else { return (held, None) };
        held.logged_at = now;
        let detail = format!("{overdue}{}", describe(&held, claim, running, now));
        let id = held.gang.0.clone();
        (held, Some(Line { event, id, detail }))
    }

    /// The claim as the planner takes it up again.
    fn kept(&self, workers: &[WorkerState]) -> Kept {
        let indexes = self.agents.iter().filter_map(|agent| index_of(workers, agent));
        let (made_at, planned) = (self.made_at, self.planned);
        Kept { workers: indexes.collect(), rack: self.rack.clone(), made_at, planned }
    }
}

/// Returns the place of a candidate in the order of claims, without its wait.
fn turn(candidate: &Candidate) -> Turn {
    let rank = &candidate.rank;
    Turn {
        borrowed: rank.borrowed,
        priority: rank.priority,
        level: rank.level,
        late: rank.lateness != Lateness::InTime,
        waiting_since: 0,
        version: rank.version,
        accelerators: candidate.accelerators,
    }
}

/// Formats a claim, and the runs that it waits for with the age of what is known of them.
fn describe(held: &Held, claim: &Claim, running: &[Running<'_>], now: u64) -> String {
    let waited = now.saturating_sub(claim.turn.waiting_since);
    let start = claim.start - now;
    let runs = claim.basis.iter().filter_map(|(run, end)| {
        let Running { id, key, placed, .. } = running.get(*run)?;
        let (percent, age) = (placed.percent, now.saturating_sub(placed.updated_at));
        let task = task(id, *key);
        let left = end - now;
        Some(format!("{task} at {} in {left} ms ({percent} %, {age} ms ago)", placed.agent))
    });
    let runs = match claim.basis.is_empty() {
        true => "no runs".to_owned(),
        false => list(runs.collect()),
    };
    let name = name(&held.gang);
    let rack = held.rack.as_ref().map_or(String::new(), |rack| format!(" in rack {rack}"));
    let agents = list(held.agents.clone());
    format!("{name} waited {waited} ms, may start in {start} ms{rack} at {agents}; after {runs}")
}

fn name((id, occurrence, step): &StepKey) -> String {
    format!("{id}.{occurrence}.{step}")
}
