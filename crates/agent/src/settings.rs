use std::time::Duration;

use log::LevelFilter;
use quincewheel_conf::{
    Definition, EVENTS, Error, FLEET_KEY, LISTEN, LOG_LEVEL, MAX_FDS, MEMORY_MB, METRICS_PORT,
    Machine, PLATFORM,
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

/// Definitions of all settings of an agent.
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
    MEMORY_MB,
    MAX_FDS,
    EVENTS,
];

/// The agent's commands and settings, for its command line.
pub const PROGRAM: Program = Program {
    name: "quincewheel-agent",
    about: "Agent of quincewheel, a scheduler for multi-accelerator jobs under team guarantees.",
    commands: &[
        ("serve", "Serve beside the endpoint until SIGTERM"),
        ("check", "Check the settings and print those in effect"),
    ],
    definitions: DEFINITIONS,
};

/// The validated settings of an agent.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker, as the agent announces it to the owner.
    pub member: Member,
    /// The address on which metrics and health checks are served.
    pub pages_address: String,
    /// The address of the endpoint.
    pub endpoint_address: String,
    /// The address of the platform's table and object store.
    pub platform_address: String,
    /// The secret that authenticates connections between processes of the fleet.
    pub fleet_key: String,
    /// How long running tasks may go on after SIGTERM.
    pub drain_timeout: Duration,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// Whether events are written to standard output.
    pub events: bool,
    /// What the machine gives the process.
    pub machine: Machine,
}

impl Settings {
    /// Validates all values. On failure returns an error for each that is invalid.
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
            pages_address: r.address(&PAGES),
            endpoint_address: r.address(&ENDPOINT),
            platform_address: r.address(&PLATFORM),
            fleet_key: r.secret(&FLEET_KEY, 16),
            drain_timeout: r.millis(&DRAIN, 0, 86_400_000),
            log_level: r.level(&LOG_LEVEL),
            events: r.switch(&EVENTS),
            machine: Machine::resolve(&mut r),
        };
        r.finish(settings)
    }
}
