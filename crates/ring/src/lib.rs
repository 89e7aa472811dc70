//! Bounded ring-buffer channels between the threads of a process.
//!
//! A ring holds a fixed number of items and never grows. A producer that must not
//! block uses [`Sender::try_send`] and reports a full ring to its own caller; one
//! that may wait uses [`Sender::send`].

use thingbuf::Recycle;
use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;

/// Resets used slots to `None`, so that consumed items are dropped at once.
#[derive(Clone, Copy, Debug)]
struct ClearSlots;

impl<T> Recycle<Option<T>> for ClearSlots {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, slot: &mut Option<T>) {
        *slot = None;
    }
}

/// The sending half of a ring. Each clone is another producer.
pub struct Sender<T>(mpsc::Sender<Option<T>, ClearSlots>);

/// The receiving half of a ring.
pub struct Receiver<T>(mpsc::Receiver<Option<T>, ClearSlots>);

/// Why an item was not queued. Each variant returns the item.
#[derive(Debug)]
pub enum Error<T> {
    /// The ring is full.
    Full(T),
    /// The receiver was dropped.
    Closed(T),
}

/// Creates a ring that holds up to `capacity` items.
pub fn open<T: Send>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, ClearSlots);
    (Sender(sender), Receiver(receiver))
}

impl<T> Sender<T> {
    /// Queues an item, or fails at once if the ring is full or closed.
    pub fn try_send(&self, item: T) -> Result<(), Error<T>> {
        match self.0.try_send(Some(item)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(Some(item))) => Err(Error::Full(item)),
            Err(TrySendError::Closed(Some(item))) => Err(Error::Closed(item)),
            Err(_) => unreachable!("a failed send returns its item"),
        }
    }

    /// Queues an item, waiting while the ring is full. Returns false if the receiver
    /// was dropped.
    pub async fn send(&self, item: T) -> bool {
        self.0.send(Some(item)).await.is_ok()
    }
}

impl<T> Clone for Sender<T> {
    fn clone(&self) -> Sender<T> {
        Sender(self.0.clone())
    }
}

impl<T> Receiver<T> {
    /// Waits for the next item. Returns `None` once all senders are dropped and the
    /// ring is empty.
    pub async fn recv(&self) -> Option<T> {
        self.0.recv().await.flatten()
    }

    /// Returns the next item if one is queued.
    pub fn try_recv(&self) -> Option<T> {
        self.0.try_recv().ok().flatten()
    }
}
