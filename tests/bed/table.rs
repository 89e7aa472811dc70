//! The table's fake, with its faults.

use std::time::Duration;

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_store::{Error, Op, Reply};

use super::delivery::Delivery;
use super::secs;
use super::world::{DELAY, Who, World};

/// What is wrong with the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Table {
    #[default]
    Up,
    /// Refuses at once.
    Down,
    /// Never answers, and nothing takes effect.
    Silent,
    /// Takes commits and loses the answers.
    Deaf,
    /// Takes commits and answers nothing at all.
    Mute,
    /// Answers after this time.
    Slow(Duration),
}

impl World {
    pub(super) fn serve_table(&mut self, from: Who, incarnation: u64, id: u64, op: &Op) {
        let refused =
            || Error::Refused { step: "call", peer: "table".to_owned(), detail: "down".to_owned() };
        let unclear = || Error::Unclear {
            step: "call",
            peer: "table".to_owned(),
            detail: "answer lost".to_owned(),
        };
        self.print(&format!("{from:?} to table {:?}", self.table), op);
        let table = self.table_for.get(&from).copied().unwrap_or(self.table);
        let (delay, result) = match table {
            Table::Up => (DELAY, self.rows.apply(op)),
            Table::Down => (DELAY, Err(refused())),
            // The client's own timeout.
            Table::Silent => (secs(2), Err(unclear())),
            Table::Mute => {
                let _ = self.rows.apply(op);
                (DELAY, Err(unclear()))
            }
            Table::Deaf => {
                let result = self.rows.apply(op);
                let read = matches!(op, Op::Read(_));
                (DELAY, if read { result } else { Err(unclear()) })
            }
            Table::Slow(delay) => {
                let result = self.rows.apply(op);
                if delay >= secs(2) { (secs(2), Err(unclear())) } else { (delay, result) }
            }
        };
        let delivery = match from {
            Who::Entry(_) => Delivery::Entry(shard::Input::Store { id, result }),
            Who::Agent(_) => Delivery::Agent(grant::Input::OwnerRow(owner_of(&result))),
        };
        self.push(delay, from, delivery, None);
        if let Some(pending) = self.queue.get_mut(&(self.now + delay, self.next)) {
            pending.incarnation = incarnation;
        }
    }
}

fn owner_of(result: &Result<Reply, Error>) -> Option<(u64, String)> {
    let Ok(Reply::Page(page)) = result else { return None };
    let row = page.rows.first()?;
    let row: quincewheel_schema::v1::OwnerRow = serde_json::from_str(&row.value).ok()?;
    Some((row.epoch, row.address))
}
