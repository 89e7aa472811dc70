//! Detection and logging of jobs of which nothing runs beside free workers.
//!
//! Planning happens only when something changes. A job whose start is held back, or for which no
//! round of planning comes, would stand without a line that says so. The scan here depends on the
//! monotonic clock alone and decides nothing.

use std::collections::BTreeMap;

use quincewheel_job::Id;

use crate::cause::Cause;
use crate::diagnosis::due_steps;
use crate::entry::Entry;
use crate::occupancy::Occupancy;
use crate::owner::Owner;
use crate::plan::pending_tasks;
use crate::resolution::Resolution;
use crate::standstill::Standstill;
use crate::standstills::MAX_LINES_PER_SCAN;
use crate::starts::RUNS_PER_EPOCH;
use crate::wait_detail::list;
use crate::waits::{StepKey, Wait};

/// How long nothing of a job runs before it counts as standing.
const MIN_STANDSTILL_MS: u64 = 3000;

impl Owner {
    /// Returns how many jobs stand beside free workers, by cause.
    pub fn standing_jobs(&self) -> BTreeMap<Cause, usize> {
        self.standstills.counts()
    }

    /// Looks for jobs of which nothing runs beside free workers, and logs when that begins, when
    /// its cause changes, and when it ends.
    pub(crate) fn scan_standing(&mut self, now: u64, wall: u64, time_of_day: u64) {
        if !self.standstills.begin_scan(now) {
            return;
        }
        if self.is_planning_paused(now) {
            self.record_paused(now);
        }
        let idle = |entry: &Entry| {
            !entry.progress.state.is_final()
                && entry.runs.is_empty()
                && now >= entry.vacated_at + MIN_STANDSTILL_MS
        };
        let mut idle: Vec<(u64, &Id)> = self
            .jobs
            .iter()
            .filter(|(_, entry)| idle(entry))
            .map(|(id, entry)| (entry.vacated_at, id))
            .collect();
        idle.sort_unstable();
        let ids: Vec<Id> = idle.into_iter().map(|(_, id)| id.clone()).collect();
        if ids.is_empty() && self.standstills.is_empty() {
            return;
        }
        let mut pools = self.occupancies(now);
        let find = |id: Id| Some((id.clone(), self.standstill(&id, &mut pools, (now, wall)).ok()?));
        let found: BTreeMap<Id, Standstill> = ids.into_iter().filter_map(find).collect();
        let mut ended = self.standstills.replace(found);
        ended.retain(|_, standstill| standstill.logged_cause.is_some());
        for (id, standstill) in ended.iter().take(MAX_LINES_PER_SCAN) {
            let resolution = self.standstill(id, &mut pools, (now, wall)).err();
            self.log_stood(id, standstill, resolution, now);
        }
        if ended.len() > MAX_LINES_PER_SCAN {
            let more = ended.len() - MAX_LINES_PER_SCAN;
            self.log("stood", "", format!("{more} more no longer stand"));
        }
        for standstill in self.standstills.take_due_lines() {
            let detail = self.standstill_detail(&standstill, &pools, (now, wall, time_of_day));
            self.log("stands", &standstill.step.0, detail);
        }
    }

    /// Returns what keeps a job from running beside free workers, or why that is not the case.
    fn standstill(
        &self,
        id: &Id,
        pools: &mut BTreeMap<String, Occupancy>,
        (now, wall): (u64, u64),
    ) -> Result<Standstill, Resolution> {
        let open = self.jobs.get(id).filter(|entry| !entry.progress.state.is_final());
        let entry = open.ok_or(Resolution::JobEnded)?;
        if !entry.runs.is_empty() || now < entry.vacated_at + MIN_STANDSTILL_MS {
            return Err(Resolution::Started);
        }
        let pool = self.pool_of(entry);
        let half_free =
            pools.get_mut(&pool).filter(|occupancy| occupancy.is_any_resource_under_half_used());
        let occupancy = half_free.ok_or(Resolution::PoolInUse)?;
        let mut resolution = Resolution::NotReady;
        for (occurrence, number, step) in due_steps(entry) {
            let tasks = pending_tasks(entry, occurrence, number, step, id);
            let since = ready_since(entry, occurrence, (now, wall));
            if tasks.is_empty() || now < since + MIN_STANDSTILL_MS {
                continue;
            }
            // Of a step that is not a gang, one task can run without the others.
            let together = if step.gang { tasks.len() as u32 } else { 1 };
            if occupancy.fits_twice(step, &pool, together) {
                let step = (id.clone(), occurrence, number);
                let wait = self.standing_wait(&step, entry, tasks, now);
                return Ok(Standstill { step, since, wait, logged_cause: None });
            }
            resolution = Resolution::LessRoom;
        }
        Err(resolution)
    }

    /// Returns what these tasks of a step wait for.
    fn standing_wait(&self, step: &StepKey, entry: &Entry, tasks: Vec<u32>, now: u64) -> Wait {
        let (id, occurrence, number) = step;
        let count = tasks.len();
        let held = match self.is_planning_paused(now) {
            true => Some(Cause::Paused),
            false => self.held_cause(id, entry, (*occurrence, *number), tasks),
        };
        match (held, self.waits.get(step)) {
            (Some(cause), _) => Wait::new((count, cause), (0, 0), now),
            (None, Some(wait)) => *wait,
            (None, None) => Wait::new((count, Cause::Unplanned), (0, 0), now),
        }
    }

    /// Logs that a job no longer stands, and for how long it did.
    fn log_stood(
        &mut self,
        id: &str,
        standstill: &Standstill,
        resolution: Option<Resolution>,
        now: u64,
    ) {
        let entry = self.jobs.get(id);
        let runs = entry.into_iter().flat_map(|entry| entry.runs.values());
        let started_at = runs.map(|placed| placed.started_at);
        // Runs that have started and ended since the last scan.
        let vacated_at = entry.map(|entry| entry.vacated_at).filter(|at| *at > standstill.since);
        let ended_at = started_at.chain(vacated_at).min().unwrap_or(now);
        let lasted = ended_at.saturating_sub(standstill.since);
        let (_, occurrence, step) = standstill.step;
        let resolution = resolution.map_or("", Resolution::name);
        let cause = standstill.wait.cause.name();
        let detail =
            format!("{id}.{occurrence}.{step}, {lasted} ms: {resolution}; before: {cause}");
        self.log("stood", id, detail);
    }

    /// Formats the step that stands, the cause, and the state of its pool and of the owner.
    fn standstill_detail(
        &self,
        standstill: &Standstill,
        pools: &BTreeMap<String, Occupancy>,
        (now, wall, time_of_day): (u64, u64, u64),
    ) -> String {
        let Standstill { step, since, wait, .. } = standstill;
        let (id, occurrence, number) = step;
        let Some(entry) = self.jobs.get(id) else { return String::new() };
        let pool = self.pool_of(entry);
        let usage = pools.get(&pool).map(|occupancy| occupancy.detail(&pool)).unwrap_or_default();
        let cause_detail = match wait.cause {
            Cause::Unsettled => self.unsettled_detail(now),
            _ => self.wait_detail(step, wait, now),
        };
        format!(
            "{id}.{occurrence}.{number}, {} tasks, {} ms, {} runs before: {}: {cause_detail}; {usage}; {}; {}",
            wait.tasks,
            now - since,
            self.run_count(entry),
            wait.cause.name(),
            self.planning_detail(now, wall, time_of_day),
            self.ownership_detail(now),
        )
    }

    /// Returns the number of runs of a job that this owner has started.
    fn run_count(&self, entry: &Entry) -> u64 {
        let base = (self.epoch - 1) * RUNS_PER_EPOCH;
        entry.run_numbers.values().map(|number| number.saturating_sub(base)).sum()
    }

    /// Formats which agents have not been heard.
    fn unsettled_detail(&self, now: u64) -> String {
        let members = self.awaited_members(now);
        let names = members.iter().map(|(name, reason)| format!("{name} {}", reason.name()));
        format!("for {}", list(names.collect()))
    }

    /// Formats when the last round of planning began and when the next is due at the latest.
    fn planning_detail(&self, now: u64, wall: u64, time_of_day: u64) -> String {
        let last = match self.planned_at {
            Some(at) => format!("planned {} ms ago", now.saturating_sub(at)),
            None => "never planned".to_owned(),
        };
        let at = [
            self.avoidance_ends_at,
            self.reservation_ends_at,
            self.refused_until,
            self.clearance_retry_at,
        ];
        let refusals = self.agents.values().map(|agent| agent.refusals.until);
        let refusals = refusals.filter(|until| *until > 0);
        let monotonic = at.into_iter().flatten().chain(refusals).map(|at| at.saturating_sub(now));
        let monotonic = monotonic.chain(self.replan_at.map(|at| at.saturating_sub(wall)));
        let latest = self.round_interval().zip(self.planned_at).map(|(ms, at)| at + ms);
        let monotonic = monotonic.chain(latest.map(|at| at.saturating_sub(now)));
        let monotonic = monotonic.min().map(|ms| (ms, "monotonic clock"));
        let by_day = self.next_due.map(|at| (at.saturating_sub(time_of_day), "time of day"));
        let next = match monotonic.into_iter().chain(by_day).min() {
            _ if self.replan => "next round is due".to_owned(),
            None if !self.settled => "next round when settled".to_owned(),
            Some((ms, clock)) => format!("next round in {ms} ms by the {clock}"),
            None => "no next round".to_owned(),
        };
        format!("{last}, {next}")
    }

    /// Formats what keeps this owner from acting as one.
    fn ownership_detail(&self, now: u64) -> String {
        let mut states = vec![if self.settled { "settled" } else { "not settled" }.to_owned()];
        if self.superseded {
            states.push("superseded".to_owned());
        }
        if self.needs_confirmation() {
            let ms = now.saturating_sub(self.confirmed_at);
            states.push(format!("ownership confirmed {ms} ms ago"));
        }
        if let Some(ms) = self.operators_overdue(now) {
            states.push(format!("operators not heard for {ms} ms"));
        }
        states.join(", ")
    }
}

/// Returns since when an occurrence of a job without runs has been due, by the monotonic clock.
fn ready_since(entry: &Entry, occurrence: u32, (now, wall): (u64, u64)) -> u64 {
    let overdue = wall.saturating_sub(entry.begins_at(occurrence));
    entry.vacated_at.max(now.saturating_sub(overdue))
}
