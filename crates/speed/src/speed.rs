use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::estimate::Estimate;
use crate::record::Record;
use crate::row::Row;

/// The speed of each machine relative to the others. Times are times of day in milliseconds, since
/// the records outlive the owner that made them.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "Row", into = "Row")]
pub struct Speed {
    pub(crate) machines: BTreeMap<String, Record>,
}

/// Change of a factor that is recorded in the table. Smaller ones make no difference to placement,
/// which considers differences of some percent at least.
const RECORDED_CHANGE: f64 = 0.03;
/// Change of a factor that is logged.
const LOGGED_CHANGE: f64 = 0.1;

impl Speed {
    /// Adds an observation, and returns whether the factor has changed by enough since it was last
    /// recorded that it should be recorded again.
    pub fn observe(&mut self, machine: &str, (log_ratio, weight): (f64, f64), now: u64) -> bool {
        let record = self
            .machines
            .entry(machine.to_owned())
            .or_insert_with(|| Record::new(0.0, 0.0, 0.0, now));
        record.observe(log_ratio, weight, now);
        let factor = record.factor();
        let changed = differs(factor, record.recorded_factor, RECORDED_CHANGE);
        if changed {
            record.recorded_factor = factor;
        }
        changed
    }

    /// Returns what is known of a machine.
    pub fn estimate(&self, machine: &str, now: u64) -> Estimate {
        self.machines.get(machine).map_or(Estimate::UNKNOWN, |record| record.estimate(now))
    }

    /// Returns the factor that was last logged and the present estimate if they differ by enough to
    /// be logged, and marks the latter as logged.
    pub fn take_logged_change(&mut self, machine: &str, now: u64) -> Option<(f64, Estimate)> {
        let record = self.machines.get_mut(machine)?;
        let estimate = record.estimate(now);
        differs(estimate.factor, record.logged_factor, LOGGED_CHANGE)
            .then(|| (std::mem::replace(&mut record.logged_factor, estimate.factor), estimate))
    }

    /// Drops records of which nothing is left: most are of machines that have been replaced.
    pub fn remove_expired(&mut self, now: u64) {
        self.machines.retain(|_, record| !record.is_expired(now));
    }
}

fn differs(factor: f64, known: f64, least: f64) -> bool {
    (factor / known).ln().abs() >= (1.0 + least).ln()
}
