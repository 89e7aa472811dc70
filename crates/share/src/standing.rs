/// How a team's usage of a pool compares with its share.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
    /// Usage of what runs now.
    pub running: f64,
    /// Usage of the recent past.
    pub recent: f64,
    /// Its share.
    pub share: f64,
    /// 0 up to its share, 1 above it, 2 above twice its share.
    pub level: u8,
}

/// The highest level.
const MAX_LEVEL: u8 = 2;
/// Part of a level's threshold to which usage must fall before the level is left. One run that ends
/// changes usage by a few percent, so that teams would otherwise alternate with each run.
const HYSTERESIS: f64 = 0.9;

impl Standing {
    /// Creates the standing of a team that was at level `previous` before.
    pub fn new(running: f64, recent: f64, share: f64, previous: u8) -> Standing {
        let usage = running.max(recent);
        let holds = |level: &u8| {
            let threshold = share * f64::from(*level);
            usage > threshold || (previous >= *level && usage >= threshold * HYSTERESIS)
        };
        let level = (1..=MAX_LEVEL).rev().find(holds).unwrap_or(0);
        Standing { running, recent, share, level }
    }

    /// Returns the usage that is compared with the share: what runs now, or recent usage if that is
    /// higher. A flood counts at once, and its end only after a while.
    pub fn usage(&self) -> f64 {
        self.running.max(self.recent)
    }
}
