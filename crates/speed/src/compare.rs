use std::collections::BTreeMap;

use crate::sample::Sample;
use crate::speed::Speed;

/// Lowest and highest ratio of two runs that counts. The tasks of one bad job may be very uneven,
/// and its influence must be bounded.
const RATIO_BOUNDS: (f64, f64) = (0.33, 3.0);

/// Largest ratio of the times of gang members that count as equal. Rounded percentages and reports
/// that arrive at different times make equal ones differ by up to 7 %.
const UNIFORM_SPREAD: f64 = 1.1;

/// An observation: the logarithm of the ratio of a run's time to that of the other runs, and its
/// weight.
pub(crate) type Observation = (f64, f64);

/// Compares the runs of one step with each other, and returns an observation for each sample; none
/// if it has been counted already, or if there is no other machine to compare it with.
///
/// Each run is compared with the median of the runs on other machines. Their times are divided by
/// the known factors of these machines: otherwise slow machines that mostly get work of the same
/// steps, as placement arranges it, would seem as fast as any. The factors are taken relative to
/// `median`, that of the pool: otherwise chance would move all factors up or down together.
pub fn compare(
    speed: &Speed,
    samples: &[Sample],
    median: f64,
    now: u64,
) -> Vec<Option<Observation>> {
    let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
    let machines: Vec<usize> = samples
        .iter()
        .map(|sample| {
            let next = numbers.len();
            *numbers.entry(&sample.machine).or_insert(next)
        })
        .collect();
    let log_times: Vec<(f64, f64)> = samples
        .iter()
        .map(|sample| {
            let time = sample.time.max(f64::MIN_POSITIVE).ln();
            (time, time - (speed.estimate(&sample.machine, now).factor / median).ln())
        })
        .collect();
    let mut order: Vec<usize> = (0..samples.len()).collect();
    order.sort_by(|a, b| log_times[*a].1.total_cmp(&log_times[*b].1));
    let (lowest, highest) = (RATIO_BOUNDS.0.ln(), RATIO_BOUNDS.1.ln());
    let observe = |(index, sample): (usize, &Sample)| {
        if sample.counted {
            return None;
        }
        let others: Vec<f64> = order
            .iter()
            .filter(|&&other| {
                machines[other] != machines[index] && samples[other].far == sample.far
            })
            .map(|&other| log_times[other].1)
            .collect();
        let usual = median_of(&others)?;
        // The median of few runs is itself uncertain.
        let weight = others.len() as f64 / (others.len() as f64 + 1.0);
        Some(((log_times[index].0 - usual).clamp(lowest, highest), weight))
    };
    samples.iter().enumerate().map(observe).collect()
}

/// Returns whether the members of a gang progress equally. Some programs report the progress of the
/// whole gang for each member. That says nothing about single machines, and would hide what
/// completed tasks have shown.
pub fn is_uniform(samples: &[Sample]) -> bool {
    let times = samples.iter().map(|sample| sample.time);
    let (low, high) =
        times.fold((f64::MAX, 0.0f64), |(low, high), time| (low.min(time), high.max(time)));
    high <= low * UNIFORM_SPREAD
}

fn median_of(sorted: &[f64]) -> Option<f64> {
    let middle = sorted.len() / 2;
    match sorted.len() {
        0 => None,
        odd if odd % 2 == 1 => Some(sorted[middle]),
        _ => Some((sorted[middle - 1] + sorted[middle]) / 2.0),
    }
}
