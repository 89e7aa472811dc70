use crate::estimate::Estimate;

/// What has been observed of one machine. Ratios are kept as natural logarithms, so that a machine
/// on which work takes twice as long weighs as much as one on which it takes half as long.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Record {
    /// Number of observations since the record began or was replaced.
    pub count: u32,
    /// Weight of the observations, which is halved as they grow old.
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
/// Number of observations below which the factor of a machine counts as unknown.
const MIN_COUNT: u32 = 3;
/// Number of consecutive outliers in one direction that replace the record: half of the 8
/// observations within which a sudden change must show.
const CHANGE_COUNT: usize = 4;
/// Standard deviations by which an outlier differs from the mean. Of normally distributed
/// observations, four of 100,000 complete a series of outliers by chance.
const OUTLIER_DEVIATIONS: f64 = 1.5;
/// Standard deviation that is assumed before anything is observed, and the weight of that
/// assumption. Equal tasks usually differ by a tenth, and a few equal observations are no certainty.
const USUAL_DEVIATION: (f64, f64) = (0.1, 4.0);
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
        let (usual, usual_weight) = USUAL_DEVIATION;
        let all = deviation * deviation * (weight + usual_weight);
        let squares = (all - usual * usual * usual_weight).max(0.0);
        // Only machines of known factor are recorded.
        let count = if weight > 0.0 { MIN_COUNT.max(weight as u32) } else { 0 };
        let record = Record { count, weight, mean, squares, observed_at, ..Record::default() };
        let factor = record.factor();
        Record { recorded_factor: factor, logged_factor: factor, ..record }
    }

    /// Adds the logarithm of a ratio, at a time of day.
    pub fn observe(&mut self, log_ratio: f64, weight: f64, now: u64) {
        self.age_to(now);
        let deviation = log_ratio - self.mean;
        if self.count >= MIN_COUNT && deviation.abs() > OUTLIER_DEVIATIONS * self.deviation() {
            let same_side = |(outlier, _): &(f64, f64)| (outlier - self.mean) * deviation > 0.0;
            if !self.outliers.iter().all(same_side) {
                self.absorb_outliers();
            }
            self.outliers.push((log_ratio, weight));
            if self.outliers.len() >= CHANGE_COUNT {
                (self.count, self.weight, self.mean, self.squares) = (0, 0.0, 0.0, 0.0);
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
            count: self.count,
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
        if self.count < MIN_COUNT || self.mean.abs() <= self.error() {
            return 1.0;
        }
        self.mean.exp().clamp(MIN_FACTOR, MAX_FACTOR)
    }

    /// Returns the standard deviation of the observations.
    pub fn deviation(&self) -> f64 {
        let (usual, weight) = USUAL_DEVIATION;
        ((self.squares + usual * usual * weight) / (self.weight + weight)).sqrt()
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
            self.weight *= left;
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
        self.count += 1;
        self.weight += weight;
        let from_mean = log_ratio - self.mean;
        self.mean += weight / self.weight * from_mean;
        self.squares += weight * from_mean * (log_ratio - self.mean);
    }
}
