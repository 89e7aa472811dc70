//! One entry: its replica of the rows, its candidacy, and the owner while it owns.

use std::collections::BTreeMap;

use quincewheel_dispatch::rows::Ownership;
use quincewheel_dispatch::{Batch, Election, Mirror, Output, Owner, UnconfirmedJobs};
use quincewheel_store::Commit;

/// How long an owner's row must not change before another entry takes over.
const OWNER_ROW_TIMEOUT_MS: u64 = 1700;

/// An entry's process.
pub struct Entry {
    pub name: String,
    pub incarnation: u64,
    /// When it starts again; none while it runs.
    pub restart_at: Option<u64>,
    pub frozen_until: u64,
    /// It is shutting down and claims no ownership.
    pub closing: bool,
    pub mirror: Mirror,
    pub election: Election,
    pub owner: Option<Owner>,
    /// The ownership row as this entry last wrote it, and its version.
    pub ownership: Option<(Ownership, u64)>,
    pub rows_updated_at: u64,
    pub unconfirmed: UnconfirmedJobs,
    pub feed: Feed,
    pub claim: Option<Claim>,
    pub claim_retry_at: u64,
    pub last_write_at: u64,
    pub write: Option<Write>,
    /// When each process is dialled next.
    pub dials: BTreeMap<String, u64>,
    pub last_heartbeat_at: u64,
    /// Connections to the other entries while this one owns.
    pub entry_links: BTreeMap<String, u64>,
    /// The owner's connection to this entry, and the owner's name.
    pub owner_link: Option<(u64, String)>,
    /// Outputs that were decided before a pause of the process and are carried out after it.
    pub held_outputs: Vec<Output>,
}

/// The call that follows the rows.
#[derive(Default)]
pub struct Feed {
    /// All changes up to this version were requested; none if all rows have to be read.
    pub version: Option<u64>,
    pub call: Option<u64>,
    pub next_at: u64,
}

/// A claim in progress.
pub struct Claim {
    pub sent_at: u64,
    pub mine: Ownership,
    pub grants_ended: bool,
    pub call: u64,
    pub phase: ClaimPhase,
}

/// What a claim waits for.
pub enum ClaimPhase {
    Commit,
    /// The changes up to the claim, at this version, since this time.
    CatchUp {
        version: u64,
        since: u64,
    },
    /// All rows; the next attempt if the call failed.
    ReadAll {
        version: u64,
        retry_at: Option<u64>,
    },
}

/// A write of the owner's row in progress.
pub struct Write {
    pub batch: Batch,
    pub mine: Ownership,
    pub commit: Commit,
    pub sent_at: u64,
    /// The call in flight; none while it waits to be repeated.
    pub call: Option<u64>,
    pub retry_at: u64,
    /// Whether the owner has checked if it is cut off from the table.
    pub checked: bool,
}

impl Entry {
    pub fn new(number: usize, incarnation: u64) -> Entry {
        let name = format!("e{number}");
        Entry {
            election: Election::new(&name, incarnation, OWNER_ROW_TIMEOUT_MS),
            name,
            incarnation,
            restart_at: None,
            frozen_until: 0,
            closing: false,
            mirror: Mirror::default(),
            owner: None,
            ownership: None,
            rows_updated_at: 0,
            unconfirmed: UnconfirmedJobs::default(),
            feed: Feed::default(),
            claim: None,
            claim_retry_at: 0,
            last_write_at: 0,
            write: None,
            dials: BTreeMap::new(),
            last_heartbeat_at: 0,
            entry_links: BTreeMap::new(),
            owner_link: None,
            held_outputs: Vec::new(),
        }
    }

    pub fn is_up(&self, now: u64) -> bool {
        self.restart_at.is_none() && now >= self.frozen_until
    }
}
