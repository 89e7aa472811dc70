//! What a seed determines: size, kind, load and faults of a run.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::fault::{self, Fault};
use crate::kind::Kind;
use crate::size::Size;
use crate::trouble;

/// One seed in this many has light load.
const LIGHT_RATIO: u32 = 3;
/// Pause of a client between two jobs, in milliseconds. The clients then use about three quarters
/// of the workers' capacity, and a quarter under light load.
const SUBMIT_INTERVAL_MS: u64 = 1000;
const LIGHT_SUBMIT_INTERVAL_MS: u64 = 3000;
/// Clients at [`Size::SMALL`].
const CLIENTS: usize = 4;
/// At sizes of this weight on, half as many clients submit jobs of twice the length.
const HEAVY_WEIGHT: usize = 3;

/// A run to play.
#[derive(Clone, Copy, Debug)]
pub struct Course {
    pub seed: u64,
    pub kind: Kind,
    /// How long faults come, in seconds.
    pub seconds: u64,
    pub size: Size,
    /// Clients use under half of the capacity.
    pub is_light: bool,
    /// Only the faults of the kind are injected, and traffic ends with them.
    pub is_plain: bool,
    /// In the kinds in which workers keep their ids, all loses power after the faults.
    pub loses_power: bool,
}

impl Course {
    /// Returns a course of only its kind's faults, at the small size.
    pub fn plain(seed: u64, kind: Kind, seconds: u64) -> Course {
        let (size, is_light, is_plain) = (Size::SMALL, false, true);
        let loses_power = kind.keeps_ids();
        Course { seed, kind, seconds, size, is_light, is_plain, loses_power }
    }

    /// Draws the size and the load; also, troubles of many processes are injected, and traffic goes
    /// on after the faults.
    pub fn draw(seed: u64, kind: Kind, seconds: u64) -> Course {
        let mut random = StdRng::seed_from_u64(seed.rotate_left(8) ^ !seed);
        let size = Size::draw(&mut random);
        let is_light = random.random_ratio(1, LIGHT_RATIO);
        let loses_power = kind.keeps_ids() && random.random();
        Course { seed, kind, seconds, size, is_light, is_plain: false, loses_power }
    }

    /// Returns the number of clients.
    pub fn clients(&self) -> usize {
        let weight = self.size.weight();
        if weight < HEAVY_WEIGHT { CLIENTS * weight } else { CLIENTS * weight / 2 }
    }

    /// Returns the factor of the tasks' durations.
    pub fn duration_factor(&self) -> u64 {
        if self.size.weight() < HEAVY_WEIGHT { 1 } else { 2 }
    }

    /// Returns the pause of a client between two jobs, in milliseconds.
    pub fn submit_interval_ms(&self) -> u64 {
        if self.is_light { LIGHT_SUBMIT_INTERVAL_MS } else { SUBMIT_INTERVAL_MS }
    }

    /// Returns whether a team submits more work than fits.
    pub fn overloads(&self) -> bool {
        self.kind.overloads() && !self.is_light
    }

    /// Draws the faults, with their times in milliseconds since the start of the run.
    pub fn faults(&self) -> Vec<(u64, Fault)> {
        let Course { seed, kind, seconds, size, .. } = *self;
        let mut faults = match kind.departs() {
            true => fault::draw_departures(seed, seconds, size),
            false => fault::draw(seed, seconds, size.processes(), size.workers),
        };
        if kind.harms_workers() {
            faults.extend(fault::draw_shrinks(seed, seconds, size));
        }
        if kind.keeps_ids() {
            faults.extend(fault::draw_restarts(seed, seconds, size));
        }
        if kind.evacuates() {
            faults.extend(fault::draw_evacuations(seed, seconds, size.zones()));
        }
        if kind.overloads() {
            faults.extend(fault::draw_overload(seed, seconds, size));
        }
        if !self.is_plain {
            faults.extend(trouble::draw(seed, seconds, size));
        }
        faults.sort_by_key(|(at, _)| *at);
        faults
    }
}
