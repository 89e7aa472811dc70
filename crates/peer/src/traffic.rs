use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic counters, summed over all connections.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
    frames: AtomicU64,
    refused: AtomicU64,
    displaced: AtomicU64,
}

impl Traffic {
    /// Returns the bytes of frames sent.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes of frames received.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of frames in both directions.
    pub fn frames(&self) -> u64 {
        self.frames.load(Ordering::Relaxed)
    }

    /// Returns the number of connections that were rejected, or closed because of
    /// an error in what was received.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Returns the number of handshakes that were ended for newer ones.
    pub fn displaced(&self) -> u64 {
        self.displaced.load(Ordering::Relaxed)
    }

    pub(crate) fn add_displaced(&self) {
        self.displaced.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
        self.frames.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }
}
