use std::collections::VecDeque;
use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Commit, Error, Expect, Op, Put, Read, Reply};
use quincewheel_wire::Attempt;

use crate::context::Context;
use crate::rows::OWNER;

/// The owner's way of writing to the table: one transaction at a time, each
/// with all that has gathered since the last.
///
/// Every transaction expects the ownership row at the version that the last
/// one gave it, and replaces it. That one expectation does three things: it
/// makes a deposed owner's commits fail, it names the transaction by its
/// sequence number so that a lost answer is settled by reading the row, and it
/// makes a repeated transaction take effect at most once.
pub(crate) struct Ledger {
    row: OwnerRow,
    version: u64,
    queue: VecDeque<Write>,
    flight: Option<Flight>,
    renewed: Duration,
    backoff: Duration,
}

/// Names a write, so that its completion can be told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Tag {
    /// The job's row is there: it may be promised to its caller.
    Accept(JobId),
    /// The attempt may start.
    Start(JobId, Attempt),
    /// The job's outcome is kept.
    Finish(JobId),
    /// The configuration row of this key is recorded.
    Config(String),
    /// Nobody waits for it.
    Tidy,
    /// Ownership is given up.
    Release,
}

/// One row to write, or to delete.
#[derive(Clone, Debug)]
pub(crate) struct Write {
    pub tag: Tag,
    pub key: String,
    pub value: Option<String>,
}

struct Flight {
    writes: Vec<Write>,
    row: OwnerRow,
    since: Duration,
    state: State,
}

enum State {
    /// The commit was sent.
    Sent { id: u64, at: Duration },
    /// Its answer was lost: read the row at that time.
    Unclear { read_at: Duration },
    /// The row is being read.
    Reading { id: u64, at: Duration },
}

/// What an answer of the table meant.
pub(crate) enum Step {
    /// The answer was for someone else, or decides nothing yet.
    Nothing,
    /// These writes took effect, in a transaction first sent at that time.
    Committed(Vec<Tag>, Duration),
    /// Another node owns the shard.
    Deposed,
}

const BACKOFF_MIN: Duration = Duration::from_millis(100);
const BACKOFF_MAX: Duration = Duration::from_secs(2);
/// The table client's own timeout is shorter; this is for an answer that never
/// comes back from the thread that calls it.
const ANSWER: Duration = Duration::from_secs(4);

impl Ledger {
    /// A ledger for an ownership row that was just written at `version`.
    pub fn open(row: OwnerRow, version: u64, now: Duration) -> Ledger {
        Ledger {
            row,
            version,
            queue: VecDeque::new(),
            flight: None,
            renewed: now,
            backoff: BACKOFF_MIN,
        }
    }

    /// Adds a write to the next transaction.
    pub fn put(&mut self, write: Write) {
        self.queue.push_back(write);
    }

    /// Takes a write back. False if it is in flight, so that it may already
    /// have taken effect, or if it is not there.
    pub fn withdraw(&mut self, tag: &Tag) -> bool {
        let before = self.queue.len();
        self.queue.retain(|write| write.tag != *tag);
        self.queue.len() < before
    }

    /// True while the table does not answer. New work that needs a record is
    /// refused then, rather than held. One lost answer is no outage: a
    /// transaction stays in flight until it is settled, and only one that stays
    /// longer than `patience` tells of one.
    pub fn down(&self, patience: Duration, now: Duration) -> bool {
        self.flight.as_ref().is_some_and(|flight| now - flight.since > patience)
    }

    /// Sends what is due.
    pub fn pump(&mut self, cx: &mut Context, force: bool) {
        let now = cx.now;
        let lapsed = |at: Duration| now.saturating_sub(at) >= ANSWER;
        match &self.flight {
            None => {
                let due = now.saturating_sub(self.renewed) >= cx.settings.renewal_interval;
                if !self.queue.is_empty() || due || force {
                    self.fly(cx);
                }
            }
            Some(Flight { state: State::Sent { at, .. } | State::Reading { at, .. }, .. })
                if lapsed(*at) =>
            {
                self.unclear(now);
            }
            Some(Flight { state: State::Unclear { read_at }, .. }) if now >= *read_at => {
                let read = Read { prefix: OWNER.to_owned(), after: String::new(), limit: 1 };
                let id = cx.store(Op::Read(read));
                self.set_state(State::Reading { id, at: now });
            }
            Some(_) => {}
        }
    }

    /// Makes a transaction of what has gathered.
    fn fly(&mut self, cx: &mut Context) {
        let take = self.queue.len().min(cx.settings.max_batch_rows);
        let writes: Vec<Write> = self.queue.drain(..take).collect();
        let mut row = self.row.clone();
        row.sequence += 1;
        if writes.iter().any(|write| write.tag == Tag::Release) {
            row.address.clear();
        }
        let flight =
            Flight { writes, row, since: cx.now, state: State::Unclear { read_at: cx.now } };
        self.flight = Some(flight);
        self.transmit(cx);
    }

    /// Sends the transaction in flight, for the first time or again.
    fn transmit(&mut self, cx: &mut Context) {
        let Some(flight) = &self.flight else { return };
        let mut commit = Commit {
            expect: vec![Expect { key: OWNER.to_owned(), version: self.version }],
            ..Commit::default()
        };
        let value = serde_json::to_string(&flight.row).expect("rows are plain data");
        commit.put.push(Put { key: OWNER.to_owned(), value });
        // A row written twice in one transaction keeps the later write.
        for (at, write) in flight.writes.iter().enumerate() {
            if write.key.is_empty() || flight.writes[at + 1..].iter().any(|w| w.key == write.key) {
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
        self.set_state(State::Sent { id, at: cx.now });
    }

    /// Takes an answer of the table.
    pub fn on_reply(&mut self, cx: &mut Context, id: u64, result: &Result<Reply, Error>) -> Step {
        let Some(flight) = &self.flight else { return Step::Nothing };
        match (&flight.state, result) {
            (State::Sent { id: sent, .. }, _) if *sent == id => self.on_commit(cx, result),
            (State::Reading { id: read, .. }, _) if *read == id => self.on_read(cx, result),
            _ => Step::Nothing,
        }
    }

    fn on_commit(&mut self, cx: &mut Context, result: &Result<Reply, Error>) -> Step {
        match result {
            Ok(Reply::Committed(version)) => self.done(cx.now, *version),
            // The row may have moved on because an earlier sending of this very
            // transaction took effect: only reading it can tell.
            Err(Error::Conflict { .. }) => {
                self.set_state(State::Unclear { read_at: cx.now });
                self.pump(cx, false);
                Step::Nothing
            }
            _ => {
                self.unclear(cx.now);
                Step::Nothing
            }
        }
    }

    fn on_read(&mut self, cx: &mut Context, result: &Result<Reply, Error>) -> Step {
        let Ok(Reply::Page(page)) = result else {
            self.unclear(cx.now);
            return Step::Nothing;
        };
        let Some(flight) = &self.flight else { return Step::Nothing };
        let Some(row) = page.rows.iter().find(|row| row.key == OWNER) else {
            return Step::Deposed;
        };
        if row.version == self.version {
            // Not taken yet. Sending it again is safe: of all copies at most
            // one finds the version that it expects.
            self.transmit(cx);
            return Step::Nothing;
        }
        match serde_json::from_str::<OwnerRow>(&row.value) {
            Ok(stored) if stored == flight.row => self.done(cx.now, row.version),
            _ => Step::Deposed,
        }
    }

    fn done(&mut self, now: Duration, version: u64) -> Step {
        let Some(flight) = self.flight.take() else { return Step::Nothing };
        self.row = flight.row;
        self.version = version;
        self.renewed = now;
        self.backoff = BACKOFF_MIN;
        let tags = flight.writes.into_iter().map(|write| write.tag).collect();
        Step::Committed(tags, flight.since)
    }

    fn unclear(&mut self, now: Duration) {
        let read_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        self.set_state(State::Unclear { read_at });
    }

    fn set_state(&mut self, state: State) {
        if let Some(flight) = &mut self.flight {
            flight.state = state;
        }
    }
}
