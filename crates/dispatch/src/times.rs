//! Run time estimates learned from completed steps.
//!
//! A client's estimate may be wrong by a factor of ten in either direction, while a job's
//! objective, its latest start and whether it can end in time all depend on its run time. Where a
//! queue's estimates are poor, run times of earlier steps predict better. The two are weighted
//! for each queue by the variance of its run times and that of their ratio to the estimates.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Statistics of run times, by queue. They are stored in the table.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Times {
    queues: BTreeMap<String, Sums>,
    /// Number of steps counted so far, in all queues.
    #[serde(default)]
    steps: u64,
}

/// Sums over the logarithms of one queue's run times. Run times spread over more than a decade,
/// so the longest ones would dominate an arithmetic mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Sums {
    count: f64,
    time: f64,
    time_squares: f64,
    /// Sum of the logarithms of the ratio of run time to estimate.
    ratio: f64,
    ratio_squares: f64,
    /// The value of [`Times::steps`] when a step of the queue was last counted.
    #[serde(default)]
    last: u64,
}

/// Most bytes of the row. The table takes 64 KiB.
const MAX_ROW_BYTES: usize = 48 * 1024;
/// Most bytes of a queue in the row beside its name: field names, and numbers of up to 24 bytes.
const SUMS_BYTES: usize = 240;
/// Number of completed steps below which a queue's estimates are used unchanged.
const MIN_STEP_COUNT: f64 = 3.0;
/// When this many steps are counted, the weight of all of them is halved, so that the estimates
/// adapt within as many further steps when a queue's work changes.
const HALVING_STEP_COUNT: f64 = 64.0;
/// Lower bound of both variances, in squares of natural logarithms: a deviation of a tenth. A
/// few equal samples must not count as certainty.
const MIN_LOG_VARIANCE: f64 = 0.01;

impl Times {
    /// Adds a completed step of the queue, with its estimate and run time in milliseconds.
    pub fn record(&mut self, queue: &str, estimate: u64, duration: u64) {
        let sums = self.queues.entry(queue.to_owned()).or_default();
        if sums.count >= HALVING_STEP_COUNT {
            sums.halve();
        }
        let time = (duration.max(1) as f64).ln();
        let ratio = time - (estimate.max(1) as f64).ln();
        sums.count += 1.0;
        sums.time += time;
        sums.time_squares += time * time;
        sums.ratio += ratio;
        sums.ratio_squares += ratio * ratio;
        self.steps += 1;
        sums.last = self.steps;
        self.limit_queues();
    }

    /// Forgets the queues that were idle for longest where the row would become too large. Operators
    /// add and remove queues all the time, and a removed one is never used again.
    fn limit_queues(&mut self) {
        let bytes = |name: &String| SUMS_BYTES + serde_json::to_string(name).map_or(0, |n| n.len());
        while self.queues.keys().map(bytes).sum::<usize>() > MAX_ROW_BYTES {
            let idle = self.queues.iter().min_by_key(|(_, sums)| sums.last);
            let Some(idle) = idle.map(|(name, _)| name.clone()) else { return };
            self.queues.remove(&idle);
        }
    }

    /// Returns the expected run time of a step of the queue, given the client's estimate, both in
    /// milliseconds.
    pub fn estimate(&self, queue: &str, estimate: u64) -> u64 {
        let Some(sums) = self.queues.get(queue).filter(|sums| sums.count >= MIN_STEP_COUNT) else {
            return estimate;
        };
        let (time, time_variance) = moments(sums.time, sums.time_squares, sums.count);
        let (ratio, ratio_variance) = moments(sums.ratio, sums.ratio_squares, sums.count);
        let weight = time_variance / (time_variance + ratio_variance);
        let scaled_estimate = (estimate.max(1) as f64).ln() + ratio;
        (weight * scaled_estimate + (1.0 - weight) * time).exp() as u64
    }
}

impl Sums {
    fn halve(&mut self) {
        for sum in [
            &mut self.count,
            &mut self.time,
            &mut self.time_squares,
            &mut self.ratio,
            &mut self.ratio_squares,
        ] {
            *sum /= 2.0;
        }
    }
}

/// Returns the mean, and the variance or [`MIN_LOG_VARIANCE`] if that is higher.
fn moments(sum: f64, squares: f64, count: f64) -> (f64, f64) {
    let mean = sum / count;
    (mean, (squares / count - mean * mean).max(MIN_LOG_VARIANCE))
}
