use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Incoming connections that have not proved that they belong to the system.
#[derive(Default)]
pub(crate) struct Handshakes {
    next_id: Cell<u64>,
    /// What ends each of them, the oldest first.
    open: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

/// One such connection.
pub(crate) struct Handshake {
    id: u64,
    displaced: Rc<Notify>,
}

/// Maximum number of handshakes at the same time.
const MAX_HANDSHAKES: usize = 128;

impl Handshakes {
    /// Begins a handshake. If there are too many, the oldest gives way, as a process of the system
    /// needs only milliseconds. Returns whether one did.
    pub fn begin(&self) -> (Handshake, bool) {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let mut open = self.open.borrow_mut();
        let oldest = if open.len() < MAX_HANDSHAKES { None } else { open.pop_first() };
        if let Some((_, displaced)) = &oldest {
            displaced.notify_one();
        }
        let displaced = Rc::new(Notify::new());
        open.insert(id, Rc::clone(&displaced));
        (Handshake { id, displaced }, oldest.is_some())
    }

    /// Ends a handshake.
    pub fn end(&self, handshake: &Handshake) {
        self.open.borrow_mut().remove(&handshake.id);
    }
}

impl Handshake {
    /// Waits until the handshake has to give way.
    pub async fn is_displaced(&self) {
        self.displaced.notified().await;
    }
}
