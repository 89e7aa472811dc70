use std::collections::BTreeMap;
use std::time::Duration;

use crate::demand::Demand;

/// How long jobs really run, learnt from those that ended.
///
/// Declared times are wrong by tenfold either way, and some teams always
/// exaggerate. For each team and size of job the logarithm of the real time is
/// fitted to that of the declared one: where declarations say nothing the fit
/// is flat, where they are only off by a factor it is shifted.
#[derive(Clone, Debug, Default)]
pub(crate) struct Estimates(BTreeMap<String, BTreeMap<u32, Fit>>);

/// Sums of a least-squares fit.
#[derive(Clone, Copy, Debug, Default)]
struct Fit {
    n: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

/// Jobs that must have ended before they are believed more than callers.
const ENOUGH: f64 = 10.0;
/// Older jobs count less: after this many the sums are halved.
const MEMORY: f64 = 1000.0;

impl Estimates {
    /// Notes that a job that was declared so ran for `ran`.
    pub fn learn(&mut self, team: &str, total: u32, declared: Duration, ran: Duration) {
        if !self.0.contains_key(team) {
            self.0.insert(team.to_owned(), BTreeMap::new());
        }
        let fits = self.0.get_mut(team).expect("present by now");
        let fit = fits.entry(size(total)).or_default();
        let (x, y) = (log(declared), log(ran));
        fit.n += 1.0;
        fit.x += x;
        fit.y += y;
        fit.xx += x * x;
        fit.xy += x * y;
        if fit.n >= MEMORY {
            for sum in [&mut fit.n, &mut fit.x, &mut fit.y, &mut fit.xx, &mut fit.xy] {
                *sum /= 2.0;
            }
        }
    }

    /// How long the job is expected to run.
    pub fn expect(&self, demand: &Demand) -> Duration {
        let fits = self.0.get(&demand.team);
        let fit = fits.and_then(|fits| fits.get(&size(demand.shape.total_accelerators())));
        let Some(fit) = fit.filter(|fit| fit.n >= ENOUGH) else {
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

fn size(total: u32) -> u32 {
    total.next_power_of_two().trailing_zeros()
}

fn log(time: Duration) -> f64 {
    time.as_secs_f64().max(0.001).ln()
}
