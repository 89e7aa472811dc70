use std::time::Duration;

use log::LevelFilter;
use quincewheel_conf::{
    Definition, EVENTS, Error, FLEET_KEY, LISTEN, LOG_LEVEL, MAX_FDS, MEMORY_MB, METRICS_PORT,
    Machine, PLATFORM,
};
use quincewheel_conf::{Program, Resolver, Values};
use quincewheel_pool::Limits;

use crate::scheduling::{CLAIM_AFTER, DOUBT, SHARE_HALF_LIFE, Scheduling, UNEVEN};

const NAME: Definition =
    Definition::required("name", "NAME", "Name of this instance, unique among the entries");
const RPC: Definition =
    Definition::required("rpc", "IP:PORT", "Address on which callers and operators call");
const OPERATOR_KEY_DIGEST: Definition = Definition::required(
    "operator-key-digest",
    "HEX",
    "SHA-256 of the operators' bearer key, in hexadecimal",
);
const DRAIN: Definition = Definition::optional(
    "drain-ms",
    "MS",
    "30000",
    "Milliseconds that calls in flight have to end after SIGTERM, 0 to 600000",
);
const GRACE: Definition = Definition::optional(
    "grace-ms",
    "MS",
    "5000",
    "Milliseconds that a task has to checkpoint before it is stopped, 0 to 600000",
);
const QUEUE: Definition = Definition::optional(
    "queue",
    "JOBS",
    "1000",
    "Most jobs that wait per team; more are refused with a retry-after, 1 to 100000",
);
const RESERVE: Definition = Definition::optional(
    "reserve",
    "WORKERS",
    "1",
    "Workers that may fail without breaking a guarantee, 0 to 1000",
);
const PATIENCE: Definition = Definition::optional(
    "patience-ms",
    "MS",
    "60000",
    "Milliseconds after which a waiting job stops later ones from overtaking it, 0 to 86400000",
);
const WEIGHING: Definition = Definition::optional(
    "weighing",
    "PERCENT",
    "0",
    "0 weighs completion time alone, 100 fragmentation alone",
);
const STRIKES: Definition = Definition::optional(
    "strikes",
    "JOBS",
    "3",
    "Distinct jobs in a row that fail on a worker before it is quarantined, 1 to 100",
);
const ATTEMPTS: Definition = Definition::optional(
    "attempts",
    "STARTS",
    "3",
    "Starts of one idempotent job before its failure is final, 1 to 100",
);
const RETENTION: Definition = Definition::optional(
    "retention-s",
    "S",
    "86400",
    "Seconds that a recorded outcome is kept, 60 to 2592000",
);
const OPERATOR_KEY: Definition = Definition::optional(
    "operator-key",
    "SECRET",
    "",
    "Operators' bearer key, for the subcommand burn only",
)
.secret();

/// All settings of an entry.
pub const DEFINITIONS: &[Definition] = &[
    NAME,
    RPC,
    LISTEN,
    PLATFORM,
    FLEET_KEY,
    OPERATOR_KEY_DIGEST,
    DRAIN,
    GRACE,
    QUEUE,
    RESERVE,
    PATIENCE,
    WEIGHING,
    STRIKES,
    ATTEMPTS,
    RETENTION,
    LOG_LEVEL,
    METRICS_PORT,
    MEMORY_MB,
    MAX_FDS,
    EVENTS,
    CLAIM_AFTER,
    DOUBT,
    UNEVEN,
    SHARE_HALF_LIFE,
    OPERATOR_KEY,
];

/// The command line of an entry.
pub const PROGRAM: Program = Program {
    name: "quincewheel-entry",
    about: "Entry of quincewheel, a scheduler for multi-accelerator jobs under team guarantees.",
    commands: &[
        ("serve", "Serve callers and operators until SIGTERM"),
        ("check", "Check the settings and print those in effect"),
        ("explain", "Tell one job's story: explain ID < logs of all processes"),
        ("day", "Sum up which jobs were late and why: day [ZERO] < logs of all processes"),
        ("burn", "Print the service-level burn report of the entry at --rpc"),
    ],
    definitions: DEFINITIONS,
};

/// Validated settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub name: String,
    /// Address on which callers connect.
    pub rpc: String,
    /// Address on which other processes connect.
    pub listen: String,
    /// Address of the platform.
    pub platform: String,
    /// Key shared by all processes, which authenticates connections between them.
    pub fleet_key: String,
    /// SHA-256 of the operators' key.
    pub operator_key_digest: String,
    /// Time that calls in flight have to end after SIGTERM.
    pub drain_timeout: Duration,
    /// Time that a task has to save a checkpoint before it is stopped.
    pub stop_grace: Duration,
    /// Limits of the pool.
    pub limits: Limits,
    /// Maximum number of starts of one idempotent job.
    pub max_attempts: u32,
    /// How long recorded outcomes are kept.
    pub retention: Duration,
    /// Level of the log.
    pub log_level: LevelFilter,
    /// Whether audit events are written.
    pub events: bool,
    /// What the machine gives the process.
    pub machine: Machine,
}

impl Settings {
    /// Validates all values and returns every error.
    pub fn resolve(values: &Values) -> Result<Settings, Vec<Error>> {
        let mut r = Resolver::new(values);
        let settings = Settings {
            name: r.name(&NAME),
            rpc: r.address(&RPC),
            listen: r.address(&LISTEN),
            platform: r.address(&PLATFORM),
            fleet_key: r.secret(&FLEET_KEY, 16),
            operator_key_digest: r.digest(&OPERATOR_KEY_DIGEST),
            drain_timeout: r.millis(&DRAIN, 0, 600_000),
            stop_grace: r.millis(&GRACE, 0, 600_000),
            limits: Limits {
                max_queued: r.number(&QUEUE, 1, 100_000),
                failure_reserve: r.number(&RESERVE, 0, 1000),
                bypass_limit: r.millis(&PATIENCE, 0, 86_400_000),
                fragmentation_weight: r.number(&WEIGHING, 0, 100),
                quarantine_threshold: r.number(&STRIKES, 1, 100),
            },
            max_attempts: r.number(&ATTEMPTS, 1, 100),
            retention: Duration::from_secs(r.number(&RETENTION, 60, 2_592_000)),
            log_level: r.level(&LOG_LEVEL),
            events: r.switch(&EVENTS),
            machine: Machine::resolve(&mut r),
        };
        let settings = r.finish(settings);
        match (settings, Scheduling::resolve(values)) {
            (Ok(settings), Ok(_)) => Ok(settings),
            (settings, scheduling) => {
                Err([settings.err(), scheduling.err()].into_iter().flatten().flatten().collect())
            }
        }
    }

    /// Returns what the burn report needs: the entry's address and the operators' key.
    pub(crate) fn resolve_burn(values: &Values) -> Result<(String, String), Vec<Error>> {
        let mut r = Resolver::new(values);
        let burn = (r.address(&RPC), r.secret(&OPERATOR_KEY, 1));
        r.finish(burn)
    }
}
