//! The record of a deployment: the events that its processes write.

use std::io::{BufRead, BufReader};
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard};
use std::{io, thread};

use quincewheel_audit::Event;

/// Events of all processes.
#[derive(Default)]
pub struct Record {
    events: Arc<Mutex<Vec<Event>>>,
}

impl Record {
    /// An output for one more process, which writes an event a line.
    pub fn output(&self) -> io::Result<OwnedFd> {
        let (reader, writer) = io::pipe()?;
        let events = Arc::clone(&self.events);
        thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                if let Ok(event) = serde_json::from_str(&line) {
                    lock(&events).push(event);
                }
            }
        });
        Ok(writer.into())
    }

    /// Notes an event that no process writes.
    pub fn note(&self, event: Event) {
        lock(&self.events).push(event);
    }

    /// All events so far.
    pub fn events(&self) -> Vec<Event> {
        lock(&self.events).clone()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
