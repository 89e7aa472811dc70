//! The time objective of a job, and whether it can still be met.

use quincewheel_job::{Resources, Step};

use crate::rank::Lateness;

/// The time objective of one occurrence of a job, and the work that remains.
#[derive(Clone, Copy, Debug)]
pub struct Objective {
    /// When the occurrence was accepted or due, in milliseconds since 1970.
    begin: u64,
    /// Milliseconds from `begin` within which it should end.
    duration: u64,
    /// Milliseconds of work that remain on its critical path.
    remaining: u64,
}

/// A job that takes longer than this many times its objective is worth nothing when it ends.
const EXPIRY_FACTOR: u64 = 3;

/// The objective of perpetual tasks, in milliseconds: three years, so that no sum overflows.
const PERPETUAL_MS: u64 = 100_000_000_000;

/// The part of the remaining work that counts when a job is classified as late, in percent.
/// Estimated run times are off by 20% and more, so a job counts as late only if it misses its
/// objective by a good part of the work that remains.
const COUNTED_WORK_PERCENT: u64 = 70;

/// A step that takes more than one part in this many of its pool runs in several rounds, and its
/// objective allows for them.
const POOL_PARTS: u64 = 4;

impl Objective {
    /// Returns the objective of an occurrence that began at `begin` and whose critical path takes
    /// `whole` milliseconds, of which `left` remain. It should end within `stretch` times `whole`
    /// plus `slack` milliseconds.
    pub fn new(begin: u64, (whole, left): (u64, u64), stretch: f64, slack: u64) -> Objective {
        Objective { begin, duration: (stretch * whole as f64) as u64 + slack, remaining: left }
    }

    /// Returns the objective of tasks that run until they are cancelled. They should start at
    /// once, since they are worth something only while they run.
    pub fn perpetual(begin: u64) -> Objective {
        Objective { begin, duration: PERPETUAL_MS, remaining: PERPETUAL_MS }
    }

    /// Milliseconds from the begin within which the occurrence should end.
    pub fn duration_ms(&self) -> u64 {
        self.duration
    }

    /// The latest start that meets the objective, in milliseconds since 1970.
    pub fn latest_start(&self) -> i64 {
        (self.begin + self.duration) as i64 - self.remaining as i64
    }

    /// Classifies the occurrence if it starts now, at `wall` milliseconds since 1970.
    pub fn lateness(&self, wall: u64) -> Lateness {
        let end = wall.saturating_sub(self.begin) + self.remaining * COUNTED_WORK_PERCENT / 100;
        match end {
            end if end <= self.duration => Lateness::InTime,
            end if end <= self.duration * EXPIRY_FACTOR => Lateness::Late,
            _ => Lateness::Expired,
        }
    }
}

/// The number of rounds in which the tasks of a step run, in a pool with `all` resources. A gang
/// runs in one.
pub fn rounds(step: &Step, all: Option<&Resources>) -> u64 {
    let Some(all) = all.filter(|_| !step.gang) else { return 1 };
    let most = step.resources().fit_count(all, u64::MAX) / POOL_PARTS;
    u64::from(step.count).div_ceil(most.max(1)).max(1)
}
