//! Bounded rings that join the threads of one process.
//!
//! A ring holds a fixed number of items and never grows. A sender that must
//! not wait uses [`Sender::try_send`] and tells its own caller that the ring is
//! full; one that may wait uses [`Sender::send`].

use thingbuf::Recycle;
use thingbuf::mpsc;
use thingbuf::mpsc::errors::TrySendError;

/// Leaves slots empty between items.
#[derive(Clone, Copy, Debug)]
struct Empty;

impl<T> Recycle<Option<T>> for Empty {
    fn new_element(&self) -> Option<T> {
        None
    }

    fn recycle(&self, slot: &mut Option<T>) {
        *slot = None;
    }
}

/// The sending end. Cloning it adds a producer.
pub struct Sender<T>(mpsc::Sender<Option<T>, Empty>);

/// The receiving end.
pub struct Receiver<T>(mpsc::Receiver<Option<T>, Empty>);

/// Why an item was not taken.
#[derive(Debug)]
pub enum Error<T> {
    /// The ring is full.
    Full(T),
    /// The receiver is gone.
    Closed(T),
}

/// A ring with room for `capacity` items.
pub fn open<T: Send>(capacity: usize) -> (Sender<T>, Receiver<T>) {
    let (sender, receiver) = mpsc::with_recycle(capacity, Empty);
    (Sender(sender), Receiver(receiver))
}

impl<T> Sender<T> {
    /// Puts an item in if there is room.
    pub fn try_send(&self, item: T) -> Result<(), Error<T>> {
        match self.0.try_send(Some(item)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(Some(item))) => Err(Error::Full(item)),
            Err(TrySendError::Closed(Some(item))) => Err(Error::Closed(item)),
            Err(_) => unreachable!("what was sent comes back"),
        }
    }

    /// Waits for room and puts an item in. False if the receiver is gone.
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
    /// Waits for the next item. `None` once all senders are gone.
    pub async fn recv(&self) -> Option<T> {
        self.0.recv().await.flatten()
    }

    /// Takes the next item if there is one.
    pub fn try_recv(&self) -> Option<T> {
        self.0.try_recv().ok().flatten()
    }
}
