//! Run times, learned from steps that ended.
//!
//! A client's estimate may be off by tenfold, in either direction, and what a
//! job's objective is, when it must start and whether it may still end in time
//! all follow from its run time. Where a queue's estimates say little, the run
//! times of its earlier steps say more. Each queue shows which is the better
//! guide: how much run times differ from one another against how much they
//! differ from their estimates.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// What is known of run times, by queue.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Times {
    queues: BTreeMap<String, Sums>,
}

/// Sums over the logarithms of one queue's run times: they spread over more
/// than a decade, so that their plain mean would be that of the longest.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Sums {
    count: f64,
    time: f64,
    time_squares: f64,
    /// Of run time to estimate.
    ratio: f64,
    ratio_squares: f64,
}

/// Steps of a queue below which its estimates are taken as they are.
const FEW: f64 = 3.0;
/// Older steps count half once there are so many, so that a queue whose work
/// changes is followed within as many again.
const MANY: f64 = 64.0;
/// Least variance of either guide, as natural logarithms squared: a tenth up or
/// down. A few equal samples prove no certainty.
const LEAST: f64 = 0.01;

impl Times {
    /// A step of the queue that was estimated at `estimate` ms took `took` ms.
    pub fn record(&mut self, queue: &str, estimate: u64, took: u64) {
        let sums = self.queues.entry(queue.to_owned()).or_default();
        if sums.count >= MANY {
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

    /// How long a step of the queue is expected to take, in milliseconds.
    pub fn estimate(&self, queue: &str, estimate: u64) -> u64 {
        let Some(sums) = self.queues.get(queue).filter(|sums| sums.count >= FEW) else {
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

/// Mean and variance.
fn moments(sum: f64, squares: f64, count: f64) -> (f64, f64) {
    let mean = sum / count;
    (mean, (squares / count - mean * mean).max(LEAST))
}
