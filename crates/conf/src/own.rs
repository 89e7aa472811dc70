use log::LevelFilter;

use crate::common::{FLEET_KEY, LOG_LEVEL, METRICS_PORT};
use crate::error::Error;
use crate::resolver::Resolver;
use crate::values::Values;

/// What a process on the users' platform takes from its own settings; all else
/// comes from the platform's file.
#[derive(Clone, Debug)]
pub struct Own {
    /// Proves membership.
    pub fleet_key: String,
    /// How much is logged.
    pub log_level: LevelFilter,
    /// Where metrics are shown.
    pub metrics_port: u16,
}

impl Own {
    /// Checks the values and reports every mistake.
    pub fn resolve(values: &Values) -> Result<Own, Vec<Error>> {
        let mut r = Resolver::new(values);
        let own = Own {
            fleet_key: r.secret(&FLEET_KEY, 16),
            log_level: r.level(&LOG_LEVEL),
            metrics_port: r.number(&METRICS_PORT, 1, u16::MAX),
        };
        r.finish(own)
    }
}
