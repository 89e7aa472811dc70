use std::collections::BTreeMap;
use std::time::Duration;

use crate::demand::Demand;

/// Estimates of run times from jobs that ended.
///
/// Declared run times are wrong by up to tenfold either way, and some teams always exaggerate.
/// For each team and size of job the logarithm of the actual run time is fitted to that of the
/// declared one: the fit is flat where declarations are meaningless, and shifted where they are
/// off by a constant factor.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates(BTreeMap<String, BTreeMap<u32, Fit>>);

/// Sums of a least-squares fit of `y` over `x`.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// Jobs that must have ended before the fit replaces the declared run time.
const MIN_JOBS: f64 = 10.0;
/// The sums are halved when they reach this many jobs, so that older jobs count less.
const MAX_JOBS: f64 = 1000.0;

impl Estimates {
    /// Records that a job that was declared to run for `declared` ran for `ran`.
    pub fn record(&mut self, team: &str, total: u32, declared: Duration, ran: Duration) {
        if !self.0.contains_key(team) {
            self.0.insert(team.to_owned(), BTreeMap::new());
        }
        let fits = self.0.get_mut(team).expect("present by now");
        let fit = fits.entry(size_class(total)).or_default();
        let (x, y) = (log(declared), log(ran));
        fit.n += 1.0;
        fit.x += x;
        fit.y += y;
        fit.xx += x * x;
        fit.xy += x * y;
        if fit.n >= MAX_JOBS {
            for sum in [&mut fit.n, &mut fit.x, &mut fit.y, &mut fit.xx, &mut fit.xy] {
                *sum /= 2.0;
            }
        }
    }

    /// The expected run time of the job.
    pub fn expected_duration(&self, demand: &Demand) -> Duration {
        let fits = self.0.get(&demand.team);
        let fit = fits.and_then(|fits| fits.get(&size_class(demand.shape.total_accelerators())));
        let Some(fit) = fit.filter(|fit| fit.n >= MIN_JOBS) else {
            return demand.declared_duration;
        };
        let spread = fit.n * fit.xx - fit.x * fit.x;
        let slope = if spread > 1e-9 {
            ((fit.n * fit.xy - fit.x * fit.y) / spread).clamp(0.0, 1.0)
        } else {
            0.0
        };
        let level = (fit.y - slope * fit.x) / fit.n;
        Duration::from_secs_f64((level + slope * log(demand.declared_duration)).exp().min(1e7))
    }
}

fn size_class(total: u32) -> u32 {
    total.next_power_of_two().trailing_zeros()
}

fn log(time: Duration) -> f64 {
    time.as_secs_f64().max(0.001).ln()
}
