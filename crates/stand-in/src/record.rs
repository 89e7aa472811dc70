//! The record of a deployment: the events that its processes write.

use std::fs::File;
use std::io;
use std::sync::{Mutex, MutexGuard};

use quincewheel_audit::Event;

use crate::output::Output;

/// Events of all processes.
#[derive(Default)]
pub struct Record {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Outputs, and how many bytes of each are among the events.
    outputs: Vec<(Output, u64)>,
    events: Vec<Event>,
}

impl Record {
    /// An output for one more process, which writes an event a line.
    pub fn output(&self) -> io::Result<File> {
        let output = Output::open()?;
        let writer = output.writer()?;
        self.lock().outputs.push((output, 0));
        Ok(writer)
    }

    /// Notes an event that no process writes.
    pub fn note(&self, event: Event) {
        self.lock().events.push(event);
    }

    /// All events that were written before this call, and perhaps some of those
    /// that are written meanwhile. Fails where a line is none: a check of the
    /// others would prove nothing.
    pub fn events(&self) -> io::Result<Vec<Event>> {
        let mut state = self.lock();
        let State { outputs, events } = &mut *state;
        for (output, taken) in outputs {
            let bytes = output.after(*taken)?;
            // A process that is writing a line, or was killed at it, has not gone
            // on to what follows from the event.
            let whole = bytes.iter().rposition(|byte| *byte == b'\n').map_or(0, |last| last + 1);
            for line in bytes[..whole].split_inclusive(|byte| *byte == b'\n') {
                events.push(serde_json::from_slice(line)?);
                *taken += line.len() as u64;
            }
        }
        Ok(events.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
