use log::LevelFilter;

use crate::common::{FLEET_KEY, LOG_LEVEL, METRICS_PORT};
use crate::error::Error;
use crate::machine::Machine;
use crate::resolver::Resolver;
use crate::values::Values;

/// The settings that a process on the users' platform reads from its own flags and
/// variables. All other settings come from the platform's file.
#[derive(Clone, Debug)]
pub struct LocalSettings {
    /// Key by which processes of the system authenticate each other.
    pub fleet_key: String,
    /// Minimum level of log lines.
    pub log_level: LevelFilter,
    /// Port of the metrics page.
    pub metrics_port: u16,
    /// What the machine gives the process, unless the platform tells.
    pub machine: Machine,
}

impl LocalSettings {
    /// Validates the values. Returns all errors found.
    pub fn resolve(values: &Values) -> Result<LocalSettings, Vec<Error>> {
        let mut r = Resolver::new(values);
        let settings = LocalSettings {
            fleet_key: r.secret(&FLEET_KEY, 16),
            log_level: r.level(&LOG_LEVEL),
            metrics_port: r.number(&METRICS_PORT, 1, u16::MAX),
            machine: Machine::resolve(&mut r),
        };
        r.finish(settings)
    }
}
