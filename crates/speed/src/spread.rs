/// How much the machines of a pool differ in speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The median of the factors.
    pub median: f64,
    /// Number of machines whose factor differs from the median by the threshold.
    pub differing: usize,
    /// Number of machines.
    pub count: usize,
    /// Logarithm of the ratio from which on two factors differ.
    threshold: f64,
}

/// Speed is considered only if one machine in this many differs. Where fewer do, the others have
/// room for urgent work.
const DIFFERING_PART: usize = 10;

impl Spread {
    /// Returns the spread of these factors, where a difference of `percent` counts; 0 if none does.
    pub fn new(factors: &[f64], percent: u64) -> Spread {
        let mut sorted = factors.to_vec();
        sorted.sort_by(f64::total_cmp);
        let median = sorted.get(sorted.len().saturating_sub(1) / 2).copied().unwrap_or(1.0);
        let threshold = match percent {
            0 => f64::INFINITY,
            percent => (1.0 + percent as f64 / 100.0).ln(),
        };
        let count = factors.len();
        let spread = Spread { median, differing: 0, count, threshold };
        let differing = factors.iter().filter(|factor| spread.level(**factor) != 0).count();
        Spread { differing, ..spread }
    }

    /// Returns whether enough machines differ that placement should consider it.
    pub fn is_uneven(&self) -> bool {
        self.differing > 0 && self.differing * DIFFERING_PART >= self.count
    }

    /// Returns by how many thresholds work on a machine is slower than on the median one; negative
    /// if it is faster. Smaller differences are ignored, as they would scatter work for nothing.
    pub fn level(&self, factor: f64) -> i32 {
        // The logarithm of a factor at the threshold may be rounded down.
        let steps = (factor / self.median).ln() / self.threshold;
        (steps + steps.signum() * 1e-9) as i32
    }
}
