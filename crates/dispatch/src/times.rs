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
}

/// Number of completed steps below which a queue's estimates are used unchanged.
const MIN_STEPS: f64 = 3.0;
/// When this many steps are counted, the weight of all of them is halved, so that the estimates
/// adapt within as many further steps when a queue's work changes.
const HALVING_COUNT: f64 = 64.0;
/// Lower bound of both variances, in squares of natural logarithms: a deviation of a tenth. A
/// few equal samples must not count as certainty.
const MIN_VARIANCE: f64 = 0.01;

impl Times {
    /// Adds a completed step of the queue, with its estimate and run time in milliseconds.
    pub fn record(&mut self, queue: &str, estimate: u64, took: u64) {
        let sums = self.queues.entry(queue.to_owned()).or_default();
        if sums.count >= HALVING_COUNT {
            sums.halve();
        }
        let time = (took.max(1) as f64).ln();
        let ratio = time - (estimate.max(1) as f64).ln();
        sums.count += 1.0;
        sums.time += time;
        sums.time_squares += time * time;
        sums.ratio += ratio;
        sums.ratio_squares += ratio * ratio;
    }

    /// Returns the expected run time of a step of the queue, given the client's estimate, both in
    /// milliseconds.
    pub fn estimate(&self, queue: &str, estimate: u64) -> u64 {
        let Some(sums) = self.queues.get(queue).filter(|sums| sums.count >= MIN_STEPS) else {
            return estimate;
        };
        let (time, spread) = moments(sums.time, sums.time_squares, sums.count);
        let (ratio, error) = moments(sums.ratio, sums.ratio_squares, sums.count);
        let trust = spread / (spread + error);
        let guess = (estimate.max(1) as f64).ln() + ratio;
        (trust * guess + (1.0 - trust) * time).exp() as u64
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

/// Returns the mean, and the variance or [`MIN_VARIANCE`] if that is higher.
fn moments(sum: f64, squares: f64, count: f64) -> (f64, f64) {
    let mean = sum / count;
    (mean, (squares / count - mean * mean).max(MIN_VARIANCE))
}
