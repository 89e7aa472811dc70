use crate::estimate::Estimate;

/// What has been observed of one machine. Ratios are kept as natural logarithms, so that a machine
/// on which work takes twice as long weighs as much as one on which it takes half as long.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Record {
    /// Weight of the observations.
    pub weight: f64,
    /// Weighted mean of the logarithms of the ratios.
    pub mean: f64,
    /// Weighted sum of the squared deviations from the mean.
    pub squares: f64,
    /// Time of day of the last observation, in milliseconds.
    pub observed_at: u64,
    /// The latest observations if they all deviate from the mean in the same direction, with their
    /// weights. They are not part of the sums yet.
    outliers: Vec<(f64, f64)>,
    /// The factor when a record in the table was last due.
    pub recorded_factor: f64,
    /// The factor that was last logged.
    pub logged_factor: f64,
}

/// Weight at which the sums are halved, so that the record adapts.
const HALVING_WEIGHT: f64 = 32.0;
/// Weight below which the factor of a machine counts as unknown.
const MIN_WEIGHT: f64 = 3.0;
/// Number of consecutive outliers in one direction that replace the record: half of the 8
/// observations within which a sudden change must show. Of normally distributed observations, about
/// one in a thousand completes such a series by chance.
const CHANGE_COUNT: usize = 4;
/// Lower bound of the standard deviation. Progress is reported in whole percent, of which the first
/// sample has at least 20, so a ratio is off by up to 5 %, and equal ones are no certainty.
const MIN_DEVIATION: f64 = 0.03;
/// Lower bound of the factor. On a machine that seems faster, the tasks were smaller.
const MIN_FACTOR: f64 = 0.5;
/// Upper bound of the factor. On a machine that seems slower, tasks are stalled.
const MAX_FACTOR: f64 = 3.0;
/// Time without an observation in which the factor moves halfway back to 1.0, as the reason may be
/// gone.
const HALF_LIFE_MS: u64 = 60_000;
/// Number of half-lives after which nothing is left of a record: the highest factor is then 1.02.
const EXPIRY_HALF_LIVES: u64 = 6;

impl Record {
    /// Creates a record from recorded sums, within the bounds that observations keep.
    pub fn new(weight: f64, mean: f64, deviation: f64, observed_at: u64) -> Record {
        let weight = weight.clamp(0.0, HALVING_WEIGHT);
        let mean = mean.clamp(MIN_FACTOR.ln(), MAX_FACTOR.ln());
        let squares = deviation * deviation * weight;
        let record = Record { weight, mean, squares, observed_at, ..Record::default() };
        let factor = record.factor();
        Record { recorded_factor: factor, logged_factor: factor, ..record }
    }

    /// Adds the logarithm of a ratio, at a time of day.
    pub fn observe(&mut self, log_ratio: f64, weight: f64, now: u64) {
        self.age_to(now);
        let deviation = log_ratio - self.mean;
        if self.weight >= MIN_WEIGHT && deviation.abs() > self.deviation().max(2.0 * MIN_DEVIATION)
        {
            let same_side = |(outlier, _): &(f64, f64)| (outlier - self.mean) * deviation > 0.0;
            if !self.outliers.iter().all(same_side) {
                self.absorb_outliers();
            }
            self.outliers.push((log_ratio, weight));
            if self.outliers.len() >= CHANGE_COUNT {
                (self.weight, self.mean, self.squares) = (0.0, 0.0, 0.0);
                self.absorb_outliers();
            }
            return;
        }
        self.absorb_outliers();
        self.add(log_ratio, weight);
    }

    /// Returns what is known at a time of day.
    pub fn estimate(&self, now: u64) -> Estimate {
        let mut aged = Record { outliers: Vec::new(), ..*self };
        aged.age_to(now);
        Estimate {
            factor: aged.factor(),
            weight: self.weight,
            error: aged.error(),
            deviation: self.deviation(),
            age: now.saturating_sub(self.observed_at),
        }
    }

    /// Returns whether nothing has been observed for so long that the record says nothing any more.
    pub fn is_expired(&self, now: u64) -> bool {
        now.saturating_sub(self.observed_at) >= EXPIRY_HALF_LIVES * HALF_LIFE_MS
    }

    /// Returns the factor as of the last observation.
    pub fn factor(&self) -> f64 {
        if self.weight < MIN_WEIGHT || self.mean.abs() <= self.error() {
            return 1.0;
        }
        self.mean.exp().clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Returns the standard deviation of the observations.
    pub fn deviation(&self) -> f64 {
        if self.weight <= 0.0 {
            return MIN_DEVIATION;
        }
        (self.squares / self.weight).sqrt().max(MIN_DEVIATION)
    }

    fn error(&self) -> f64 {
        self.deviation() / self.weight.max(1.0).sqrt()
    }

    /// Moves the mean halfway to 0 for each half-life since the last observation. The weight
    /// halves as well, so that new observations replace the old ones sooner.
    fn age_to(&mut self, now: u64) {
        let half_lives = now.saturating_sub(self.observed_at) / HALF_LIFE_MS;
        if half_lives > 0 {
            let left = 0.5f64.powi(half_lives.min(64) as i32);
            self.mean *= left;
            self.squares *= left;
            // The factor would otherwise drop to 1.0 at once where few observations remain.
            self.weight = (self.weight * left).max(self.weight.min(MIN_WEIGHT));
        }
        self.observed_at = now;
    }

    fn absorb_outliers(&mut self) {
        for (log_ratio, weight) in std::mem::take(&mut self.outliers) {
            self.add(log_ratio, weight);
        }
    }

    fn add(&mut self, log_ratio: f64, weight: f64) {
        if self.weight >= HALVING_WEIGHT {
            self.weight /= 2.0;
            self.squares /= 2.0;
        }
        self.weight += weight;
        let from_mean = log_ratio - self.mean;
        self.mean += weight / self.weight * from_mean;
        self.squares += weight * from_mean * (log_ratio - self.mean);
    }
}
