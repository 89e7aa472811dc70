use std::fmt;

/// What is known of the speed of a machine at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// How many times as long work takes there; 1.0 if that is unknown or uncertain.
    pub factor: f64,
    /// Number of observations since the machine was unknown or changed.
    pub count: u32,
    /// Standard error of the logarithm of the mean ratio.
    pub error: f64,
    /// Standard deviation of the logarithms of the observed ratios.
    pub deviation: f64,
    /// Milliseconds since the last observation.
    pub age: u64,
}

impl Estimate {
    /// The estimate for a machine without a record.
    pub const UNKNOWN: Estimate =
        Estimate { factor: 1.0, count: 0, error: 0.0, deviation: 0.0, age: 0 };

    /// Returns the factor moved toward 1.0 by its standard error. After few observations of work
    /// whose time varies, one machine in ten would otherwise seem to differ by chance, and even
    /// pools would be treated as uneven.
    pub fn cautious_factor(&self) -> f64 {
        let mean = self.factor.ln();
        ((mean.abs() - self.error).max(0.0) * mean.signum()).exp()
    }
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Estimate { factor, count, deviation, age, .. } = self;
        if *count == 0 {
            return f.write_str("nothing observed");
        }
        write!(
            f,
            "factor {factor:.2}, {count} observations, deviation {deviation:.2}, {age} ms old"
        )
    }
}
