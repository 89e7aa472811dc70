//! Logs as JSON lines, by `log4rs`.
//!
//! [`open_lines`] writes short lines to standard output: `t` (seconds since
//! 1970), `process`, the fields that the place that logs knows (`event`, `job`,
//! `epoch` and so on), and `msg`. [`open`] writes the library's own form to
//! standard error; each of its lines has the library's own fields (`time`, `level`, `message`,
//! `thread` and where in the code), and under `attributes` the `process` and
//! whichever of `step`, `peer`, `job` and `attempt` the place that logs knows.

mod limit;
mod lines;

use std::fmt;

use log::kv::{Error as KvError, Key, Source, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::config::{Appender, Config, Logger as Logging, Root};
use log4rs::encode::json::JsonEncoder;

pub use limit::Limit;
pub use lines::Lines;

/// Why logging could not be set up.
#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "set up logs: {}", self.0)
    }
}

impl std::error::Error for Error {}

/// Starts logging for the process named `process`.
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

/// Starts logging of the system's own parts for the process named `process`, as
/// short lines to standard output that nothing waits for. Libraries log
/// warnings only.
pub fn open_lines(process: &str, level: LevelFilter) -> Result<(), Error> {
    let lines = Lines::spawn(process, std::io::stdout()).map_err(|e| Error(e.to_string()))?;
    let mut config =
        Config::builder().appender(Appender::builder().build("lines", Box::new(lines)));
    for part in PARTS {
        config = config.logger(Logging::builder().build(*part, level));
    }
    let config = config
        .build(Root::builder().appender("lines").build(LevelFilter::Warn))
        .map_err(|error| Error(error.to_string()))?;
    log4rs::init_config(config).map(|_| ()).map_err(|error| Error(error.to_string()))
}

/// The crates that log, as their records name them.
const PARTS: &[&str] =
    &["quincewheel_agent", "quincewheel_conf", "quincewheel_entry", "quincewheel_peer"];

/// Adds the process's name to every line, so that lines of many processes can
/// be read together.
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
