//! Logging as JSON lines, by `log4rs`.
//!
//! [`open_lines`] writes compact lines to standard output: `t` (seconds since the
//! Unix epoch), `process`, the record's own fields (`event`, `job`, `epoch` and so
//! on), and `msg`. [`open`] writes the format of `log4rs` to standard error; each
//! line has the library's fields (`time`, `level`, `message`, `thread` and the
//! location in the code), and under `attributes` the `process` and those of `step`,
//! `peer`, `job` and `attempt` that the record has.

mod limit;
mod lines;

use std::fmt;

use log::kv::{Error as KvError, Key, Source, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger as LoggerConfig, Root};
use log4rs::encode::json::JsonEncoder;

pub use limit::Limit;
pub use lines::Lines;

/// An error while setting up logging.
#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "set up logs: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Starts logging for the process named `process`, in the format of `log4rs`, to
/// standard error.
pub fn open(process: &str, level: LevelFilter) -> Result<(), Error> {
    let encoder = Box::new(JsonEncoder::new());
    let console = ConsoleAppender::builder().target(Target::Stderr).encoder(encoder).build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .build(Root::builder().appender("console").build(level))
        .map_err(|error| Error(error.to_string()))?;
    let logger = Logger { process: process.to_owned(), inner: log4rs::Logger::new(config) };
    log::set_max_level(level);
    log::set_boxed_logger(Box::new(logger)).map_err(|error| Error(error.to_string()))
}

/// Starts logging for the process named `process`, as compact lines to standard
/// output. Logging never blocks the process. `level` applies to the crates of this
/// system; other libraries log warnings and errors only.
pub fn open_lines(process: &str, level: LevelFilter) -> Result<(), Error> {
    let lines = Lines::spawn(process, std::io::stdout()).map_err(|e| Error(e.to_string()))?;
    let mut config =
        Config::builder().appender(Appender::builder().build("lines", Box::new(lines)));
    for target in OWN_TARGETS {
        config = config.logger(LoggerConfig::builder().build(*target, level));
    }
    let config = config
        .build(Root::builder().appender("lines").build(LevelFilter::Warn))
        .map_err(|error| Error(error.to_string()))?;
    log4rs::init_config(config).map(|_| ()).map_err(|error| Error(error.to_string()))
}

/// Log targets of the crates of this system.
const OWN_TARGETS: &[&str] = &[
    "quincewheel_agent",
    "quincewheel_conf",
    "quincewheel_entry",
    "quincewheel_http",
    "quincewheel_peer",
];

/// Adds the process's name to every line, so that the logs of several processes can
/// be merged.
struct Logger {
    process: String,
    inner: log4rs::Logger,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.inner.enabled(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        let pairs = Pairs { process: &self.process, rest: record.key_values() };
        self.inner.log(&record.to_builder().key_values(&pairs).build());
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

struct Pairs<'a> {
    process: &'a str,
    rest: &'a dyn Source,
}

impl Source for Pairs<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), KvError> {
        visitor.visit_pair(Key::from_str("process"), Value::from(self.process))?;
        self.rest.visit(visitor)
    }
}
