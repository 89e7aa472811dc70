//! When a job should end, and what it can still earn.

use quincewheel_job::{Resources, Step};

use crate::rank::Lateness;

/// Where one occurrence of a job stands against its objective.
#[derive(Clone, Copy, Debug)]
pub struct Objective {
    /// When it was accepted or due, in milliseconds since 1970.
    begin: u64,
    /// Milliseconds from there within which it should end.
    objective: u64,
    /// Milliseconds of work that are left on its longest chain.
    left: u64,
}

/// A job that ends after so many times its objective earns nothing.
const LATE: u64 = 3;

/// The objective of tasks that last, in milliseconds: three years, so that no
/// sum overflows.
const LASTING: u64 = 100_000_000_000;

/// Expected run times are off by a fifth and more, so a job is taken for late
/// only when it is so by a good part of what is left of it, in percent.
const SURE: u64 = 70;

/// A step that takes more than this part of its pool runs in waves, and its
/// objective allows for them.
const SHARE: u64 = 4;

impl Objective {
    /// The goal of what began at `begin`, whose longest chain takes `whole`
    /// milliseconds in all, of which `left` are left. It should end within
    /// `stretch` times the former and `slack` milliseconds more.
    pub fn new(begin: u64, (whole, left): (u64, u64), stretch: f64, slack: u64) -> Objective {
        Objective { begin, objective: (stretch * whole as f64) as u64 + slack, left }
    }

    /// The goal of tasks that run until they are cancelled: each moment without
    /// them counts, so they start at once.
    pub fn perpetual(begin: u64) -> Objective {
        Objective { begin, objective: LASTING, left: LASTING }
    }

    /// Milliseconds from its begin within which it should end.
    pub fn duration_ms(&self) -> u64 {
        self.objective
    }

    /// The latest start, in milliseconds since 1970, that keeps the objective.
    pub fn latest_start(&self) -> i64 {
        (self.begin + self.objective) as i64 - self.left as i64
    }

    /// What it can still earn if it starts now.
    pub fn lateness(&self, wall: u64) -> Lateness {
        let end = wall.saturating_sub(self.begin) + self.left * SURE / 100;
        match end {
            end if end <= self.objective => Lateness::InTime,
            end if end <= self.objective * LATE => Lateness::Late,
            _ => Lateness::Expired,
        }
    }
}

/// How many times over the tasks of a step run one after the other, in a pool that
/// has `all`.
pub fn rounds(step: &Step, all: Option<&Resources>) -> u64 {
    let Some(all) = all.filter(|_| !step.gang) else { return 1 };
    let most = step.resources().fit_count(all, u64::MAX) / SHARE;
    u64::from(step.count).div_ceil(most.max(1)).max(1)
}
