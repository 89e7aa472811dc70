use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// State shared by the thread that accepts calls and the decision thread.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    ready: AtomicBool,
    draining: AtomicBool,
    closing: AtomicBool,
    active: AtomicUsize,
    executing: AtomicUsize,
}

/// A request in flight, until it is dropped.
pub(crate) struct Active(Arc<Gate>);

/// A call that the decision thread executes, until it is dropped. The client may be gone before.
pub(crate) struct Ticket(Arc<Gate>);

impl Gate {
    /// True if the platform should route clients to this entry.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.draining()
    }

    /// True once the process is shutting down.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// True in the last phase of shutting down, in which each reply closes its connection.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Number of calls in flight.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
    }

    /// Counts a request in flight.
    pub fn enter(self: &Arc<Gate>) -> Active {
        self.active.fetch_add(1, Ordering::Relaxed);
        Active(Arc::clone(self))
    }

    /// Admits a call to the decision thread unless it executes `max` calls.
    pub fn admit(self: &Arc<Gate>, max: usize) -> Option<Ticket> {
        let ticket = Ticket(Arc::clone(self));
        let executing = self.executing.fetch_add(1, Ordering::Relaxed);
        (executing < max).then_some(ticket)
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.0.executing.fetch_sub(1, Ordering::Relaxed);
    }
}
