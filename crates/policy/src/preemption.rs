//! When work is stopped for other work, and what that costs.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Step;

/// Work that may be lost, for each unit of work that then ends in time. A job
/// of priority 0 is worth about four times its work, and whoever is stopped
/// also waits. Mean worth of eight seeds of each day of two pools of 11, and of
/// three of pools of 76 and 57: with 1, 0.886, 0.819, 0.796 and 0.704; with 2,
/// 0.886, 0.817, 0.796 and 0.700; with 3, 0.887 and 0.816 on the small ones.
const LOSS_PER_WORK: u64 = 2;

/// Room that was promised is made so many milliseconds earlier than a stop
/// takes: the wait for the next decision, orders, ends and starts on their way,
/// and a good part of that again.
const AHEAD: u64 = 700;

/// Guaranteed work that has begun gives way so many milliseconds earlier than a stop takes: the
/// orders and the ends. Later than other work, as it may yet end by itself.
const LAST: u64 = 350;

/// Upper bound of what it takes to resume from a checkpoint, in milliseconds.
const RESUME: u64 = 600;

/// Accelerators count as so many cores where lost work is compared.
const CORES_PER_ACCELERATOR: u64 = 8;

/// When room that others of the same priority borrow must be made for a
/// guaranteed step that began to wait at `begin`, so that it starts within the
/// time promised, `reclaim`. A stop takes up to `stop`. In milliseconds.
///
/// Not earlier: borrowed gangs were stopped shortly before their end for
/// others that would have got room by themselves. Waiting raised the mean
/// worth of a full pool with ten teams from 0.44 to 0.46 (two seeds of six
/// days).
pub fn borrowed_reclaim_at(begin: u64, reclaim: u64, stop: u64) -> u64 {
    begin + reclaim.saturating_sub(stop + AHEAD)
}

/// When the last room for a guaranteed step that began to wait at `begin` is made: that of
/// guaranteed work of others, which has begun. In milliseconds.
pub fn guaranteed_reclaim_at(begin: u64, reclaim: u64, stop: u64) -> u64 {
    begin + reclaim.saturating_sub(stop + LAST)
}

/// True if so much loss is worth so much work that then ends in time. What is
/// guaranteed is given whatever it costs.
pub fn is_worth_preempting(loss: u64, work: u64, guaranteed: bool) -> bool {
    guaranteed || loss <= work * LOSS_PER_WORK
}

/// What a task of the step takes, in cores.
pub fn core_weight(step: &Step) -> u64 {
    step.need.cpu / 1000 + CORES_PER_ACCELERATOR * step.need.accelerators
}

/// What stopping a run loses that has run for so many milliseconds, in
/// core-milliseconds: all since its start, or with checkpoints, which are also
/// made at a stop, what it takes to resume.
pub fn preemption_loss(step: &Step, ran: u64) -> u64 {
    let unsaved = if step.checkpoints { ran.min(RESUME) } else { ran };
    unsaved * core_weight(step) * u64::from(if step.gang { step.count } else { 1 })
}

/// What teams are guaranteed, and how much of it is taken.
#[derive(Debug)]
pub struct Guarantees<F> {
    of: F,
    used: BTreeMap<String, u64>,
}

impl<F: Fn(&str) -> u64> Guarantees<F> {
    /// Nothing is taken of what `of` tells for each team, in accelerators.
    pub fn new(of: F) -> Guarantees<F> {
        Guarantees { of, used: BTreeMap::new() }
    }

    /// Takes note of what a team's work holds, whether it is covered or not.
    pub fn record_use(&mut self, team: &str, need: u64) -> bool {
        let guaranteed = (self.of)(team);
        let used = self.used.entry(team.to_owned()).or_default();
        *used += need;
        *used <= guaranteed
    }

    /// Takes accelerators from what the team is guaranteed and has not used. False,
    /// and nothing is taken, if they are not covered.
    pub fn try_use(&mut self, team: &str, need: u64) -> bool {
        let guaranteed = (self.of)(team);
        let used = self.used.entry(team.to_owned()).or_default();
        if *used + need > guaranteed {
            return false;
        }
        *used += need;
        true
    }

    /// The units that their teams hold beyond their guarantees, of all in the order in
    /// which they were started: the ones that a team started last.
    pub fn borrowed_units<'a>(
        mut self,
        units: impl Iterator<Item = (u64, &'a str, u64)>,
    ) -> BTreeSet<u64> {
        let beyond = units.filter(|(_, team, need)| !self.record_use(team, *need));
        beyond.map(|(unit, ..)| unit).collect()
    }
}
