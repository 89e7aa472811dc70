use serde::Serialize;

use crate::notice::Notice;
use crate::order::Order;
use crate::peer::Peer;

/// A frame sent by an entry: an order to an agent or a notice to another entry.
///
/// Serialized untagged, since the receiver knows from its own role and the
/// sender's which of the two to expect.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Sent {
    /// An order to an agent.
    Order(Order),
    /// A notice to an entry, always [`Notice::Entry`].
    Notice(Notice),
}

impl From<Peer> for Sent {
    fn from(peer: Peer) -> Sent {
        Sent::Notice(Notice::Entry(peer))
    }
}
