use std::fmt;

/// What is known of the speed of a machine at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// How many times as long work takes there; 1.0 if that is unknown or uncertain.
    pub factor: f64,
    /// Weight of the observations. Before the record is halved, that is about their number.
    pub weight: f64,
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
        Estimate { factor: 1.0, weight: 0.0, error: 0.0, deviation: 0.0, age: 0 };
}

impl fmt::Display for Estimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Estimate { factor, weight, deviation, age, .. } = self;
        if *weight == 0.0 {
            return f.write_str("nothing observed");
        }
        write!(
            f,
            "factor {factor:.2}, {weight:.0} observations, deviation {deviation:.2}, {age} ms old"
        )
    }
}
