use std::time::Duration;

use log::LevelFilter;
use quincewheel_conf::{
    Definition, EVENTS, Error, FLEET_KEY, LISTEN, LOG_LEVEL, METRICS_PORT, PLATFORM,
};
use quincewheel_conf::{Program, Resolver, Values};
use quincewheel_wire::Member;

const WORKER: Definition =
    Definition::required("worker", "NAME", "Name of the worker, unique in the fleet");
const ZONE: Definition =
    Definition::required("zone", "NAME", "Availability zone that the worker is in");
const RACK: Definition =
    Definition::required("rack", "NAME", "Rack that the worker is in, unique in its zone");
const ACCELERATORS: Definition = Definition::optional(
    "accelerators",
    "COUNT",
    "8",
    "Accelerators of the worker, 1 to 64; neighbours have consecutive numbers",
);
const SLOTS: Definition =
    Definition::optional("slots", "COUNT", "8", "Tasks that may run there at once, 1 to 1024");
const ENDPOINT: Definition = Definition::required(
    "endpoint",
    "IP:PORT",
    "Address of the endpoint that runs tasks on this worker",
);
const PAGES: Definition = Definition::required(
    "pages",
    "IP:PORT",
    "Address on which /metrics, /healthz and /readyz are served",
);
const DRAIN: Definition = Definition::optional(
    "drain-ms",
    "MS",
    "600000",
    "Milliseconds that running tasks have to end after SIGTERM, 0 to 86400000",
);

/// All settings of an agent.
pub const DEFINITIONS: &[Definition] = &[
    WORKER,
    ZONE,
    RACK,
    ACCELERATORS,
    SLOTS,
    LISTEN,
    PAGES,
    ENDPOINT,
    PLATFORM,
    FLEET_KEY,
    DRAIN,
    LOG_LEVEL,
    METRICS_PORT,
    EVENTS,
];

/// The command line of an agent.
pub const PROGRAM: Program = Program {
    name: "quincewheel-agent",
    about: "Agent of quincewheel, a scheduler for multi-accelerator jobs under team guarantees.",
    commands: &[
        ("serve", "Serve beside the endpoint until SIGTERM"),
        ("check", "Check the settings and print those in effect"),
    ],
    definitions: DEFINITIONS,
};

/// Checked settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker, as it is announced.
    pub member: Member,
    /// Where metrics and health are served.
    pub pages: String,
    /// Where the endpoint is.
    pub endpoint: String,
    /// Where the platform is.
    pub platform: String,
    /// Proves membership.
    pub fleet_key: String,
    /// Time for running tasks after SIGTERM.
    pub drain: Duration,
    /// How much is logged.
    pub log_level: LevelFilter,
    /// Whether events are written.
    pub events: bool,
}

impl Settings {
    /// Checks all values and reports every mistake.
    pub fn resolve(values: &Values) -> Result<Settings, Vec<Error>> {
        let mut r = Resolver::new(values);
        let settings = Settings {
            member: Member {
                worker: r.name(&WORKER),
                zone: r.name(&ZONE),
                rack: r.name(&RACK),
                accelerators: r.number(&ACCELERATORS, 1, 64),
                slots: r.number(&SLOTS, 1, 1024),
                address: r.address(&LISTEN),
                leaving: false,
            },
            pages: r.address(&PAGES),
            endpoint: r.address(&ENDPOINT),
            platform: r.address(&PLATFORM),
            fleet_key: r.secret(&FLEET_KEY, 16),
            drain: r.millis(&DRAIN, 0, 86_400_000),
            log_level: r.level(&LOG_LEVEL),
            events: r.switch(&EVENTS),
        };
        r.finish(settings)
    }
}
