//! Compact JSON log lines, written without blocking the process.

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

/// Maximum number of lines queued for the writer. A busy owner logs this many in a few
/// seconds.
const MAX_QUEUED_LINES: usize = 2048;

/// A log appender that writes lines from its own thread. If the reader of the output
/// falls behind, lines are dropped and counted, so that a full pipe loses log lines
/// but does not block the process.
pub struct Lines {
    process: String,
    lines: SyncSender<String>,
    dropped: AtomicU64,
}

impl Lines {
    /// Starts the writer thread.
    pub fn spawn(process: &str, output: impl Write + Send + 'static) -> std::io::Result<Lines> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queue, output))?;
        Ok(Lines { process: process.to_owned(), lines, dropped: AtomicU64::new(0) })
    }

    /// Returns the number of lines dropped since the last line that was queued.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn format(&self, record: &Record<'_>) -> String {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Line(format!("{{\"t\":{}.{:03}", now.as_secs(), now.subsec_millis()));
        if record.level() < Level::Info {
            line.push_text("level", record.level().as_str());
        }
        line.push_text("process", &self.process);
        // `Line::visit_pair` never returns an error.
        let _ = record.key_values().visit(&mut line);
        let message = record.args().to_string();
        if !message.is_empty() {
            line.push_text("msg", &message);
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
        let mut line = self.format(record);
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
    fn push_text(&mut self, name: &str, text: &str) {
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
            None => self.push_text(key.as_str(), &value.to_string()),
        }
        Ok(())
    }
}

/// Writes queued lines, and flushes when the queue is empty.
fn write_lines(queue: &Receiver<String>, mut output: impl Write) {
    while let Ok(line) = queue.recv() {
        let mut batch = line;
        batch.push('\n');
        while let Ok(line) = queue.try_recv() {
            batch.push_str(&line);
            batch.push('\n');
        }
        // A write error is ignored, as there is no other output to report it to.
        let _ = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
    }
}
