use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// What the thread that takes calls and the one that answers them share.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    ready: AtomicBool,
    draining: AtomicBool,
    closing: AtomicBool,
    active: AtomicUsize,
}

impl Gate {
    /// True if the platform should send clients.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && !self.draining()
    }

    /// True once the process was told to end.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// True for the last moments: clients are asked to leave with each answer.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Calls that have no answer yet.
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

    pub fn enter(&self) {
        self.active.fetch_add(1, Ordering::Relaxed);
    }

    pub fn leave(&self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
    }
}
