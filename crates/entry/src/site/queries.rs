use std::collections::BTreeMap;

use quincewheel_peer::Command;
use quincewheel_wire::{LinkId, Peer, Sent};
use tokio::sync::oneshot;

use super::state::Site;

/// Queries to other entries that wait for a reply.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    last_number: u64,
    pending: BTreeMap<u64, oneshot::Sender<Peer>>,
}

impl Queries {
    /// Completes a query with its reply.
    pub fn complete(&mut self, number: u64, reply: Peer) {
        if let Some(sender) = self.pending.remove(&number) {
            // The receiver is dropped if the query has timed out.
            let _ = sender.send(reply);
        }
    }

    fn register(&mut self) -> (u64, oneshot::Receiver<Peer>) {
        self.pending.retain(|_, sender| !sender.is_closed());
        self.last_number += 1;
        let (sender, reply) = oneshot::channel();
        self.pending.insert(self.last_number, sender);
        (self.last_number, reply)
    }
}

/// Sends a query, built with its number. Returns `None` if the connection does not accept it.
pub(crate) fn query(
    shared: &Site,
    link: LinkId,
    query: impl FnOnce(u64) -> Peer,
) -> Option<oneshot::Receiver<Peer>> {
    let (number, reply) = shared.queries.borrow_mut().register();
    let frame = Sent::from(query(number));
    shared.hub.ask(Command::Send { link, frame }).then_some(reply)
}
