//! When a job should end, and what it can still earn.

use std::collections::BTreeMap;

use quincewheel_job::{Need, Step};

use crate::candidate::Hope;
use crate::entry::Entry;
use crate::times::Times;

/// Where one occurrence of a job stands against its objective.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Goal {
    /// When it was accepted or due, in milliseconds since 1970.
    begin: u64,
    /// Milliseconds from there within which it should end.
    objective: u64,
    /// Milliseconds of work that are left on its longest chain.
    left: u64,
}

/// What steps are expected to take.
pub(crate) struct Guide<'a> {
    /// Learned run times.
    pub times: &'a Times,
    /// What the workers of each pool have in all.
    pub pools: &'a BTreeMap<String, Need>,
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

impl Goal {
    /// The goal of an occurrence.
    pub fn open(entry: &Entry, occurrence: u32, guide: &Guide<'_>) -> Goal {
        let job = &entry.job;
        let begin = job.schedule.map_or(job.accepted, |schedule| schedule.due(occurrence));
        if job.perpetual() {
            return Goal::lasting(begin);
        }
        let whole = job.chain_by(|number, step| guide.expect(entry, number, step));
        let left = job.chain_by(|number, step| {
            let done = entry.progress.step_done(occurrence, number, step);
            if done { 0 } else { guide.expect(entry, number, step) }
        });
        Goal { begin, objective: (job.queue.stretch * whole as f64) as u64 + job.queue.slack, left }
    }

    /// The goal of tasks that run until they are cancelled: each moment without
    /// them counts, so they start at once.
    fn lasting(begin: u64) -> Goal {
        Goal { begin, objective: LASTING, left: LASTING }
    }

    /// Milliseconds from its begin within which it should end.
    pub fn objective(&self) -> u64 {
        self.objective
    }

    /// The latest start, in milliseconds since 1970, that keeps the objective.
    pub fn latest(&self) -> i64 {
        (self.begin + self.objective) as i64 - self.left as i64
    }

    /// What it can still earn if it starts now.
    pub fn hope(&self, wall: u64) -> Hope {
        let end = wall.saturating_sub(self.begin) + self.left * SURE / 100;
        match end {
            end if end <= self.objective => Hope::InTime,
            end if end <= self.objective * LATE => Hope::Late,
            _ => Hope::Hopeless,
        }
    }
}

impl Guide<'_> {
    /// How long a step of the job is expected to take, in milliseconds.
    pub fn expect(&self, entry: &Entry, number: u32, step: &Step) -> u64 {
        let queue = &entry.job.queue;
        let known = entry.took.get(&number).copied();
        let time = known.unwrap_or_else(|| self.times.expect(&queue.name, step.estimate));
        time * self.waves(&queue.pool, step)
    }

    fn waves(&self, pool: &str, step: &Step) -> u64 {
        let Some(all) = self.pools.get(pool).filter(|_| !step.gang) else { return 1 };
        let count = u64::from(step.count);
        let most = step.charge().copies(all, u64::MAX) / SHARE;
        count.div_ceil(most.max(1)).max(1)
    }
}
