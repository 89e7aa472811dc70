//! The log of what the simulated workers do and of the faults, beside the logs of the processes.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::time::SystemTime;

use serde_json::json;

/// Writes events of workers as JSON lines, in the form that the processes use; nothing if no logs
/// are kept.
#[derive(Default)]
pub struct WorkerLog {
    file: Option<File>,
}

impl WorkerLog {
    /// Opens the log in the folder of a run's logs.
    pub fn open(folder: &Path) -> std::io::Result<WorkerLog> {
        Ok(WorkerLog { file: Some(File::create(folder.join("workers.log"))?) })
    }

    /// Writes an event of a worker.
    pub fn write(&self, index: usize, event: &str, detail: &str) {
        self.write_line(&format!("worker-{index}"), event, detail);
    }

    /// Writes that a fault begins or ends.
    pub fn write_fault(&self, event: &str, detail: &str) {
        self.write_line("soak", event, detail);
    }

    fn write_line(&self, process: &str, event: &str, detail: &str) {
        let Some(mut file) = self.file.as_ref() else { return };
        let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
        let line = json!({
            "t": since_epoch.as_millis() as f64 / 1000.0, "process": process,
            "event": event, "msg": detail,
        });
        let _ = writeln!(file, "{line}");
    }
}
