use std::fmt;

/// What a trial measured. Times are seconds of virtual time.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Name of the policy.
    pub policy: String,
    /// Jobs that ran to their end.
    pub done: usize,
    /// Mean time from arrival to end.
    pub mean: f64,
    /// The same, 99th percentile.
    pub p99: f64,
    /// Mean for jobs below a whole worker.
    pub mean_small: f64,
    /// Mean for jobs of a whole worker or more.
    pub mean_wide: f64,
    /// Mean share of free accelerators that whole-worker gangs cannot use.
    pub fragmentation: f64,
    /// Mean wait of jobs that a guarantee covered when they came.
    pub wait_guaranteed: f64,
    /// How many of those waited longer than the bound.
    pub violations: usize,
    /// Mean wait of urgent jobs.
    pub wait_urgent: f64,
    /// Accelerator-hours of work lost by being stopped.
    pub lost: f64,
    /// Jain's index over the teams' slowdown; 1 is even.
    pub jain: f64,
    /// Mean share of accelerators in use.
    pub used: f64,
}

impl Report {
    /// The table's head.
    pub fn head() -> String {
        format!(
            "{:<22} {:>6} {:>8} {:>9} {:>8} {:>8} {:>6} {:>8} {:>5} {:>8} {:>7} {:>5} {:>5}",
            "policy",
            "done",
            "mean s",
            "p99 s",
            "small s",
            "wide s",
            "frag",
            "w.guar s",
            "viol",
            "w.urg s",
            "lost h",
            "jain",
            "used"
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<22} {:>6} {:>8.0} {:>9.0} {:>8.0} {:>8.0} {:>6.3} {:>8.0} {:>5} {:>8.0} {:>7.1} {:>5.2} {:>5.2}",
            self.policy,
            self.done,
            self.mean,
            self.p99,
            self.mean_small,
            self.mean_wide,
            self.fragmentation,
            self.wait_guaranteed,
            self.violations,
            self.wait_urgent,
            self.lost,
            self.jain,
            self.used
        )
    }
}
