use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::record::Record;
use crate::speed::Speed;

/// The form in which the speed of machines is stored in its row.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(crate) struct Row {
    /// Time of day of the latest observation, in seconds.
    at: u64,
    /// For each machine the weight of its observations, the mean of the logarithms and their
    /// deviation, both in thousandths, and the seconds from its last observation to `at`.
    machines: BTreeMap<String, (u32, i32, u32, u64)>,
}

/// Upper bound of the machines' part of the row, in bytes: a row must stay below 64 KiB.
const MAX_BYTES: usize = 48 * 1024;
/// Upper bound of the bytes of a machine without its name: `"":[32,-1099,1099,359],`.
const RECORD_BYTES: usize = 23;

impl From<Speed> for Row {
    /// Leaves out machines of factor 1.0, and those of the smallest differences where the row would
    /// become too large.
    fn from(speed: Speed) -> Row {
        let at = speed.machines.values().map(|record| record.observed_at).max().unwrap_or(0) / 1000;
        let differs = |record: &Record| record.factor() != 1.0;
        let mut machines: Vec<(String, Record)> =
            speed.machines.into_iter().filter(|(_, record)| differs(record)).collect();
        machines.sort_by(|(_, a), (_, b)| b.mean.abs().total_cmp(&a.mean.abs()));
        let mut bytes = 0;
        let kept = machines.into_iter().take_while(|(name, _)| {
            bytes += name.len() + RECORD_BYTES;
            bytes <= MAX_BYTES
        });
        let thousandths = |value: f64| (value * 1000.0).round();
        let machines = kept.map(|(name, record)| {
            let (mean, deviation) = (thousandths(record.mean), thousandths(record.deviation()));
            let age = at.saturating_sub(record.observed_at / 1000);
            (name, (record.weight.round().max(1.0) as u32, mean as i32, deviation as u32, age))
        });
        Row { at, machines: machines.collect() }
    }
}

impl From<Row> for Speed {
    fn from(row: Row) -> Speed {
        let machines = row.machines.into_iter().map(|(name, (weight, mean, deviation, age))| {
            let observed_at = row.at.saturating_sub(age) * 1000;
            let (mean, deviation) = (f64::from(mean) / 1000.0, f64::from(deviation) / 1000.0);
            (name, Record::new(f64::from(weight), mean, deviation, observed_at))
        });
        Speed { machines: machines.collect() }
    }
}
