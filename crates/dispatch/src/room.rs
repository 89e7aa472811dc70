use quincewheel_store::{Limits, Put, entry_bytes};

/// Room that is left in a transaction.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Room {
    entries: usize,
    bytes: usize,
}

/// Entries that are left for the owner's row, departed agents and rows of expired jobs.
const RESERVED_ENTRIES: usize = 30;
/// Bytes that are left for the same.
const RESERVED_BYTES: usize = 16 * 1024;

impl Room {
    /// Returns the room of an empty transaction.
    pub fn of(limits: &Limits) -> Room {
        Room {
            entries: limits.commit_entries.saturating_sub(RESERVED_ENTRIES),
            bytes: limits.commit_bytes.saturating_sub(RESERVED_BYTES),
        }
    }

    /// Takes the room of a row if it is there.
    pub fn try_take(&mut self, row: &Put) -> bool {
        let bytes = entry_bytes(&row.key, row.value.len());
        let fits = self.entries > 0 && bytes <= self.bytes;
        if fits {
            self.entries -= 1;
            self.bytes -= bytes;
        }
        fits
    }
}
