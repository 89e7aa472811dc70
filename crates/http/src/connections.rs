use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::Notify;

use crate::budget::{Group, Id};
use crate::connection::Connection;
use crate::intake::Intake;
use crate::limit::Limit;

/// The open connections of a server.
pub(crate) struct Connections {
    intake: Intake,
    open: RefCell<BTreeMap<Id, Weak<Connection>>>,
    /// Notified when a connection begins to receive or send.
    transfer: Notify,
}

/// Interval between two looks for requests and replies that take too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Connections {
    pub fn new(intake: Intake) -> Connections {
        Connections { intake, open: RefCell::default(), transfer: Notify::new() }
    }

    pub fn intake(&self) -> &Intake {
        &self.intake
    }

    /// Opens a connection, for which another one may have to give way. Returns `None` if all of the
    /// group wait for the server.
    pub fn open(self: &Rc<Connections>, group: Group) -> Option<Rc<Connection>> {
        let opened = self.intake.budget().open(group, self.intake.now());
        let Ok((id, displaced)) = opened else {
            self.intake.turn_away(Limit::Connections);
            return None;
        };
        if let Some(displaced) = displaced {
            self.end(displaced, Limit::Connections);
        }
        let connection = Rc::new(Connection::new(id, Rc::clone(self)));
        self.open.borrow_mut().insert(id, Rc::downgrade(&connection));
        self.publish();
        Some(connection)
    }

    /// Removes a connection whose stream is gone.
    pub fn remove(&self, id: Id) {
        self.intake.budget().close(id);
        self.open.borrow_mut().remove(&id);
        self.publish();
    }

    /// Charges a connection for bytes of a body. Returns whether it may hold them.
    pub fn charge(&self, id: Id, bytes: usize) -> bool {
        let charge = self.intake.budget().charge(id, bytes, self.intake.now());
        for displaced in charge.displaced {
            self.end(displaced, Limit::BodyBytes);
        }
        if !charge.is_granted {
            self.intake.turn_away(Limit::BodyBytes);
        }
        charge.is_granted
    }

    /// Ends connections whose request or reply takes too long, for as long as the server runs.
    pub async fn watch(&self) {
        loop {
            self.transfer.notified().await;
            while self.intake.budget().has_transfers() {
                tokio::time::sleep(CHECK_INTERVAL).await;
                let late = self.intake.budget().expire(self.intake.now());
                late.into_iter().for_each(|id| self.end(id, Limit::TransferTime));
            }
        }
    }

    /// Records that a connection begins to receive or send.
    pub fn on_transfer(&self) {
        self.transfer.notify_one();
    }

    fn end(&self, id: Id, limit: Limit) {
        self.intake.turn_away(limit);
        let connection = self.open.borrow().get(&id).and_then(Weak::upgrade);
        if let Some(connection) = connection {
            connection.close();
        }
    }

    fn publish(&self) {
        self.intake.publish(self.open.borrow().len());
    }
}
