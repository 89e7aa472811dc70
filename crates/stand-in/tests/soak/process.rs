//! The shipped programs as child processes that are controlled by signals.

use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A signal that a run sends.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    Stop,
    Continue,
    Term,
    Hangup,
}

/// One of the programs, running or stopped.
pub struct Process {
    pub name: String,
    program: PathBuf,
    settings: PathBuf,
    logs: Option<PathBuf>,
    child: Option<Child>,
}

impl Process {
    /// Starts `program` under these settings.
    pub fn spawn(name: &str, program: &Path, settings: &Path, logs: Option<&Path>) -> Process {
        let mut process = Process {
            name: name.to_owned(),
            program: program.to_owned(),
            settings: settings.to_owned(),
            logs: logs.map(|folder| folder.join(format!("{name}.log"))),
            child: None,
        };
        process.start();
        process
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let output = match &self.logs {
            Some(path) => File::options().create(true).append(true).open(path).unwrap().into(),
            None => Stdio::null(),
        };
        let child = Command::new(&self.program)
            .env("QUINCEWHEEL_CONFIG", &self.settings)
            .env("QUINCEWHEEL_FLEET_KEY", "a-key-of-the-soak-alone")
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .expect("run cargo build --workspace first");
        self.child = Some(child);
    }

    /// Sends a signal to this process, by its id.
    pub fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        let number = match signal {
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
            Signal::Term => "-TERM",
            Signal::Hangup => "-HUP",
        };
        let _ = Command::new("kill").args([number, &child.id().to_string()]).status();
    }

    /// Returns its process id while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Changes a bound in its settings file, and adds an unknown field.
    pub fn change_settings(&self) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let text = text.replace("reclaimMs = 2700", "reclaimMs = 2600\nunknown = true");
        std::fs::write(&self.settings, text).unwrap();
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits for its end; returns false if it still runs after `bound`.
    pub fn ended(&mut self, bound: Duration) -> bool {
        let end = Instant::now() + bound;
        while let Some(child) = &mut self.child {
            match child.try_wait() {
                Ok(None) if Instant::now() < end => {
                    std::thread::sleep(Duration::from_millis(20));
                }
                Ok(None) => return false,
                _ => self.child = None,
            }
        }
        true
    }

    /// Returns whether it exited without a signal from this run.
    pub fn died(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
