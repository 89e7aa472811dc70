use std::collections::VecDeque;
use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Commit, Error, Expect, Op, Put, Read, Reply};
use quincewheel_wire::Attempt;

use crate::context::Context;
use crate::rows::OWNER_KEY;

/// Writes the owner's rows to the table: one transaction at a time, each with all
/// writes queued since the last.
///
/// Every transaction expects the ownership row at the version that the last one
/// gave it, and replaces it. Hence a deposed owner's commits fail, a transaction
/// whose reply was lost is found by its sequence number in the row, and a repeated
/// transaction takes effect at most once.
pub(crate) struct Ledger {
    row: OwnerRow,
    version: u64,
    queue: VecDeque<Write>,
    in_flight: Option<Transaction>,
    renewed_at: Duration,
    backoff: Duration,
}

/// Identifies a write, so that its completion can be handled.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Tag {
    /// The job's row is written: its caller can be answered.
    Accept(JobId),
    /// The start is recorded: the attempt may start.
    Start(JobId, Attempt),
    /// The job's outcome is recorded.
    Finish(JobId),
    /// The configuration row with this key is recorded.
    Config(String),
    /// No action follows its completion.
    Cleanup,
    /// Ownership is released.
    Release,
}

/// One row to write or, without a value, to delete.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub tag: Tag,
    pub key: String,
    pub value: Option<String>,
}

struct Transaction {
    writes: Vec<Write>,
    row: OwnerRow,
    first_sent_at: Duration,
    state: State,
}

enum State {
    /// The commit was sent.
    Sent { id: u64, sent_at: Duration },
    /// The commit's result is unknown; the ownership row is to be read at `read_at`.
    Unclear { read_at: Duration },
    /// The ownership row is being read.
    Reading { id: u64, sent_at: Duration },
}

/// The result of a reply of the table.
pub(crate) enum CommitResult {
    /// The reply belongs to another call, or does not decide the transaction.
    Undecided,
    /// These writes took effect, in a transaction first sent at that time.
    Committed(Vec<Tag>, Duration),
    /// Another node owns the shard.
    Deposed,
}

const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// A commit or read without a reply has an unknown result after this time. Longer
/// than the table client's own timeout; covers a reply that is lost between
/// threads.
const STORE_REPLY_TIMEOUT: Duration = Duration::from_secs(4);

impl Ledger {
    /// Creates a ledger for an ownership row that was just written at `version`.
    pub fn new(row: OwnerRow, version: u64, now: Duration) -> Ledger {
        Ledger {
            row,
            version,
            queue: VecDeque::new(),
            in_flight: None,
            renewed_at: now,
            backoff: BACKOFF_MIN,
        }
    }

    /// Adds a write to the next transaction.
    pub fn put(&mut self, write: Write) {
        self.queue.push_back(write);
    }

    /// Withdraws a queued write. Returns false if it is in flight and may have taken
    /// effect, or if there is none.
    pub fn withdraw(&mut self, tag: &Tag) -> bool {
        let before = self.queue.len();
        self.queue.retain(|write| write.tag != *tag);
        self.queue.len() < before
    }

    /// Returns true while the table does not answer; new work that needs a record is
    /// then refused instead of queued. One lost reply is no outage: a transaction stays
    /// in flight until its result is known, and only one in flight for longer than
    /// `timeout` counts.
    pub fn is_down(&self, timeout: Duration, now: Duration) -> bool {
        self.in_flight.as_ref().is_some_and(|transaction| now - transaction.first_sent_at > timeout)
    }

    /// Sends a commit or a read that is due. With `force`, commits even without queued
    /// writes.
    pub fn send_due(&mut self, cx: &mut Context, force: bool) {
        let now = cx.now;
        let timed_out = |sent_at: Duration| now.saturating_sub(sent_at) >= STORE_REPLY_TIMEOUT;
        match &self.in_flight {
            None => {
                let due = now.saturating_sub(self.renewed_at) >= cx.settings.renewal_interval;
                if !self.queue.is_empty() || due || force {
                    self.begin_transaction(cx);
                }
            }
            Some(Transaction {
                state: State::Sent { sent_at, .. } | State::Reading { sent_at, .. },
                ..
            }) if timed_out(*sent_at) => {
                self.schedule_read(now);
            }
            Some(Transaction { state: State::Unclear { read_at }, .. }) if now >= *read_at => {
                let read = Read { prefix: OWNER_KEY.to_owned(), after: String::new(), limit: 1 };
                let id = cx.store(Op::Read(read));
                self.set_state(State::Reading { id, sent_at: now });
            }
            Some(_) => {}
        }
    }

    /// Starts a transaction with the queued writes.
    fn begin_transaction(&mut self, cx: &mut Context) {
        let count = self.queue.len().min(cx.settings.max_batch_rows);
        let writes: Vec<Write> = self.queue.drain(..count).collect();
        let mut row = self.row.clone();
        row.sequence += 1;
        if writes.iter().any(|write| write.tag == Tag::Release) {
            row.address.clear();
        }
        let transaction = Transaction {
            writes,
            row,
            first_sent_at: cx.now,
            state: State::Unclear { read_at: cx.now },
        };
        self.in_flight = Some(transaction);
        self.send_commit(cx);
    }

    /// Sends the transaction in flight, for the first time or again.
    fn send_commit(&mut self, cx: &mut Context) {
        let Some(transaction) = &self.in_flight else { return };
        let mut commit = Commit {
            expect: vec![Expect { key: OWNER_KEY.to_owned(), version: self.version }],
            ..Commit::default()
        };
        let value = serde_json::to_string(&transaction.row).expect("rows are plain data");
        commit.put.push(Put { key: OWNER_KEY.to_owned(), value });
        // Of several writes to one row in a transaction the last one is kept.
        for (index, write) in transaction.writes.iter().enumerate() {
            if write.key.is_empty()
                || transaction.writes[index + 1..].iter().any(|w| w.key == write.key)
            {
                continue;
            }
            match &write.value {
                Some(value) => {
                    commit.put.push(Put { key: write.key.clone(), value: value.clone() });
                }
                None => commit.delete.push(write.key.clone()),
            }
        }
        let id = cx.store(Op::Commit(commit));
        self.set_state(State::Sent { id, sent_at: cx.now });
    }

    /// Handles a reply of the table.
    pub fn on_reply(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> CommitResult {
        let Some(transaction) = &self.in_flight else { return CommitResult::Undecided };
        match (&transaction.state, result) {
            (State::Sent { id: sent, .. }, _) if *sent == id => self.on_commit(cx, result),
            (State::Reading { id: read, .. }, _) if *read == id => self.on_read(cx, result),
            _ => CommitResult::Undecided,
        }
    }

    fn on_commit(&mut self, cx: &mut Context, result: &Result<Reply, Error>) -> CommitResult {
        match result {
            Ok(Reply::Committed(version)) => self.complete(cx.now, *version),
            // The row may have changed because an earlier copy of this transaction took
            // effect; reading it shows whether it did.
            Err(Error::Conflict { .. }) => {
                self.set_state(State::Unclear { read_at: cx.now });
                self.send_due(cx, false);
                CommitResult::Undecided
            }
            _ => {
                self.schedule_read(cx.now);
                CommitResult::Undecided
            }
        }
    }

    fn on_read(&mut self, cx: &mut Context, result: &Result<Reply, Error>) -> CommitResult {
        let Ok(Reply::Page(page)) = result else {
            self.schedule_read(cx.now);
            return CommitResult::Undecided;
        };
        let Some(transaction) = &self.in_flight else { return CommitResult::Undecided };
        let Some(row) = page.rows.iter().find(|row| row.key == OWNER_KEY) else {
            return CommitResult::Deposed;
        };
        if row.version == self.version {
            // Not committed yet. Sending it again is safe: at most one copy finds the version
            // that it expects.
            self.send_commit(cx);
            return CommitResult::Undecided;
        }
        match serde_json::from_str::<OwnerRow>(&row.value) {
            Ok(stored) if stored == transaction.row => self.complete(cx.now, row.version),
            _ => CommitResult::Deposed,
        }
    }

    fn complete(&mut self, now: Duration, version: u64) -> CommitResult {
        let Some(transaction) = self.in_flight.take() else { return CommitResult::Undecided };
        self.row = transaction.row;
        self.version = version;
        self.renewed_at = now;
        self.backoff = BACKOFF_MIN;
        let tags = transaction.writes.into_iter().map(|write| write.tag).collect();
        CommitResult::Committed(tags, transaction.first_sent_at)
    }

    fn schedule_read(&mut self, now: Duration) {
        let read_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.set_state(State::Unclear { read_at });
    }

    fn set_state(&mut self, state: State) {
        if let Some(transaction) = &mut self.in_flight {
            transaction.state = state;
        }
    }
}
