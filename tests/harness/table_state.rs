//! A fake of the table, with fault injection.

use std::time::Duration;

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_store::{Error, Op, Reply};

use super::cluster::{Cluster, FRAME_DELAY, Process};
use super::delivery::Delivery;
use super::secs;

/// How the table responds to calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TableState {
    #[default]
    Up,
    /// Refuses every call at once.
    Down,
    /// Never replies, and no call takes effect.
    Unresponsive,
    /// Applies every call; replies to commits are lost, reads work.
    CommitRepliesLost,
    /// Applies every call; all replies are lost.
    AllRepliesLost,
    /// Replies after this delay.
    Slow(Duration),
}

impl Cluster {
    pub(super) fn serve_table(&mut self, from: Process, incarnation: u64, id: u64, op: &Op) {
        let refused =
            || Error::Refused { step: "call", peer: "table".to_owned(), detail: "down".to_owned() };
        let unclear = || Error::Unclear {
            step: "call",
            peer: "table".to_owned(),
            detail: "answer lost".to_owned(),
        };
        self.print_trace(&format!("{from:?} to table {:?}", self.table), op);
        let table = self.table_overrides.get(&from).copied().unwrap_or(self.table);
        let (delay, result) = match table {
            TableState::Up => (FRAME_DELAY, self.rows.apply(op)),
            TableState::Down => (FRAME_DELAY, Err(refused())),
            // The client's timeout.
            TableState::Unresponsive => (secs(2), Err(unclear())),
            TableState::AllRepliesLost => {
                let _ = self.rows.apply(op);
                (FRAME_DELAY, Err(unclear()))
            }
            TableState::CommitRepliesLost => {
                let result = self.rows.apply(op);
                let read = matches!(op, Op::Read(_));
                (FRAME_DELAY, if read { result } else { Err(unclear()) })
            }
            TableState::Slow(delay) => {
                let result = self.rows.apply(op);
                if delay >= secs(2) { (secs(2), Err(unclear())) } else { (delay, result) }
            }
        };
        let delivery = match from {
            Process::Entry(_) => Delivery::Entry(shard::Input::Store { id, result }),
            Process::Agent(_) => Delivery::Agent(grant::Input::OwnerRow(decode_owner(&result))),
        };
        self.push(delay, from, delivery, None);
        if let Some(pending) = self.queue.get_mut(&(self.now + delay, self.next_id)) {
            pending.incarnation = incarnation;
        }
    }
}

fn decode_owner(result: &Result<Reply, Error>) -> Option<(u64, String)> {
    let Ok(Reply::Page(page)) = result else { return None };
    let row = page.rows.first()?;
    let row: quincewheel_schema::v1::OwnerRow = serde_json::from_str(&row.value).ok()?;
    Some((row.epoch, row.address))
}
