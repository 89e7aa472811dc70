//! When work is preempted for other work, and what that costs.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Step;

/// Work that may be lost for each unit of work that then ends in time. A job of priority 0 is
/// worth about four times its work, and preempted work also has to wait.
const LOSS_PER_WORK: u64 = 2;

/// Borrowed capacity is reclaimed this many milliseconds earlier than a stop takes: for the wait for
/// the next decision, the delivery of orders, ends and starts, and a margin.
const BORROWED_LEAD_MS: u64 = 700;

/// Running guaranteed work is preempted this many milliseconds earlier than a stop takes, for the
/// delivery of orders and ends. Later than other work, since that may still end before.
const GUARANTEED_LEAD_MS: u64 = 350;

/// Upper bound of the time to resume from a checkpoint, in milliseconds.
const MAX_RESUME_MS: u64 = 600;

/// Cores that count as much as one accelerator when lost work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;

/// When capacity that others of the same priority borrow is reclaimed for a guaranteed step that has
/// waited since `begin`, so that it starts within `reclaim` milliseconds, where a stop takes up to
/// `stop` milliseconds.
///
/// It is not reclaimed earlier, since borrowed gangs would be stopped shortly before their end
/// for work that would have started in time anyway. Waiting raised the average job value of a full pool
/// with ten teams from 0.44 to 0.46.
pub fn borrowed_reclaim_at(begin: u64, reclaim: u64, stop: u64) -> u64 {
    begin + reclaim.saturating_sub(stop + BORROWED_LEAD_MS)
}

/// When the running guaranteed work of others is preempted, as the last resort, for a guaranteed
/// step that has waited since `begin`. Parameters as for [`borrowed_reclaim_at`].
pub fn guaranteed_reclaim_at(begin: u64, reclaim: u64, stop: u64) -> u64 {
    begin + reclaim.saturating_sub(stop + GUARANTEED_LEAD_MS)
}

/// True if losing `loss` is justified by `work` that then ends in time. A guarantee is honoured at
/// any cost.
pub fn is_worth_preempting(loss: u64, work: u64, guaranteed: bool) -> bool {
    guaranteed || loss <= work * LOSS_PER_WORK
}

/// What a task of the step takes, in cores.
pub fn core_weight(step: &Step) -> u64 {
    step.need.cpu / 1000 + CORES_PER_ACCELERATOR * step.need.accelerators
}

/// The work that is lost if a run is stopped after `ran` milliseconds, in core-milliseconds:
/// everything since its start, or the time to resume if the step writes checkpoints, since a
/// checkpoint is also written at a stop.
pub fn preemption_loss(step: &Step, ran: u64) -> u64 {
    let unsaved = if step.checkpoints { ran.min(MAX_RESUME_MS) } else { ran };
    unsaved * core_weight(step) * u64::from(if step.gang { step.count } else { 1 })
}

/// The accelerators that teams are guaranteed, and how many of them are used.
#[derive(Debug)]
pub struct Guarantees<F> {
    guaranteed: F,
    used: BTreeMap<String, u64>,
}

impl<F: Fn(&str) -> u64> Guarantees<F> {
    /// Unused guarantees, where `guaranteed` returns the accelerators of a team.
    pub fn new(guaranteed: F) -> Guarantees<F> {
        Guarantees { guaranteed, used: BTreeMap::new() }
    }

    /// Adds accelerators that a team's work holds. True if the guarantee covers them; they count as
    /// used in any case.
    pub fn record_use(&mut self, team: &str, need: u64) -> bool {
        let guaranteed = (self.guaranteed)(team);
        let used = self.used.entry(team.to_owned()).or_default();
        *used += need;
        *used <= guaranteed
    }

    /// Uses accelerators of a team's guarantee. False, and nothing is used, if it does not cover
    /// them.
    pub fn try_use(&mut self, team: &str, need: u64) -> bool {
        let guaranteed = (self.guaranteed)(team);
        let used = self.used.entry(team.to_owned()).or_default();
        if *used + need > guaranteed {
            return false;
        }
        *used += need;
        true
    }

    /// The units that their teams hold beyond their guarantees: those that a team started last.
    /// Expects the number, team and accelerators of all units in the order of their starts.
    pub fn borrowed_units<'a>(
        mut self,
        units: impl Iterator<Item = (u64, &'a str, u64)>,
    ) -> BTreeSet<u64> {
        let beyond = units.filter(|(_, team, need)| !self.record_use(team, *need));
        beyond.map(|(unit, ..)| unit).collect()
    }
}
