//! Short JSON lines that are written without ever making the process wait.

use std::fmt;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error as KvError, Key, Value, VisitSource};
use log::{Level, Record};
use log4rs::append::Append;

/// Lines that may wait for the writer: some seconds of a busy owner.
const WAITING: usize = 2048;

/// Writes lines from a thread of its own. Where the reader of the output falls
/// behind, lines are dropped and counted: a full pipe costs lines, not service.
pub struct Lines {
    process: String,
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl Lines {
    /// Starts the thread.
    pub fn spawn(process: &str, output: impl Write + Send + 'static) -> std::io::Result<Lines> {
        let (lines, waiting) = sync_channel(WAITING);
        thread::Builder::new().name("log".to_owned()).spawn(move || copy(&waiting, output))?;
        Ok(Lines { process: process.to_owned(), lines, dropped: AtomicU64::new(0) })
    }

    /// Lines that were dropped since the last that was not.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn line(&self, record: &Record<'_>) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Line(format!("{{\"t\":{}.{:03}", now.as_secs(), now.subsec_millis()));
        if record.level() < Level::Info {
            line.text("level", record.level().as_str());
        }
        line.text("process", &self.process);
        // Visiting plain pairs does not fail.
        let _ = record.key_values().visit(&mut line);
        let message = record.args().to_string();
        if !message.is_empty() {
            line.text("msg", &message);
        }
        line.0.push('}');
        line.0
    }
}

impl fmt::Debug for Lines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Lines").field("process", &self.process).finish_non_exhaustive()
    }
}

impl Append for Lines {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = self.line(record);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.pop();
            let _ = write!(line, ",\"dropped\":{dropped}}}");
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

struct Line(String);

impl Line {
    fn text(&mut self, name: &str, text: &str) {
        let quoted = serde_json::to_string(text).unwrap_or_default();
        let _ = write!(self.0, ",\"{name}\":{quoted}");
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        match value.to_u64() {
            Some(number) => {
                let _ = write!(self.0, ",\"{key}\":{number}");
            }
            None => self.text(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

/// Writes what waits, and flushes whenever nothing does.
fn copy(waiting: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = waiting.recv() {
        let mut all = line;
        all.push('\n');
        while let Ok(line) = waiting.try_recv() {
            all.push_str(&line);
            all.push('\n');
        }
        // There is nowhere to report that the output cannot be written to.
        let _ = output.write_all(all.as_bytes()).and_then(|()| output.flush());
    }
}
