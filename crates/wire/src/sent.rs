use serde::Serialize;

use crate::notice::Notice;
use crate::order::Order;
use crate::peer::Peer;

/// What an entry sends: orders to agents, notices to other entries.
///
/// Written without a mark of its own: whoever reads knows by the sender's role which of
/// the two it is.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(untagged)]
pub enum Sent {
    /// To an agent.
    Order(Order),
    /// To an entry, in [`Notice::Entry`].
    Notice(Notice),
}

impl From<Peer> for Sent {
    fn from(peer: Peer) -> Sent {
        Sent::Notice(Notice::Entry(peer))
    }
}
