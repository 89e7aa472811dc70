use std::collections::BTreeMap;

use quincewheel_peer::Command;
use quincewheel_wire::{LinkId, Peer, Sent};
use tokio::sync::oneshot;

use super::state::Site;

/// Questions to other entries that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    next: u64,
    waiting: BTreeMap<u64, oneshot::Sender<Peer>>,
}

impl Asks {
    /// The answer to a question came.
    pub fn answer(&mut self, number: u64, peer: Peer) {
        if let Some(told) = self.waiting.remove(&number) {
            // Whoever asked may have given up.
            let _ = told.send(peer);
        }
    }

    fn open(&mut self) -> (u64, oneshot::Receiver<Peer>) {
        self.waiting.retain(|_, waits| !waits.is_closed());
        self.next += 1;
        let (told, answer) = oneshot::channel();
        self.waiting.insert(self.next, told);
        (self.next, answer)
    }
}

/// Sends a question, made with its number. None if the connection takes none.
pub(crate) fn ask(
    shared: &Site,
    link: LinkId,
    question: impl FnOnce(u64) -> Peer,
) -> Option<oneshot::Receiver<Peer>> {
    let (number, answer) = shared.asks.borrow_mut().open();
    let frame = Sent::from(question(number));
    shared.hub.ask(Command::Send { link, frame }).then_some(answer)
}
