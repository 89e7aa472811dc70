//! The table: rows, versions, the change feed, and calls in flight.

use std::collections::BTreeMap;

use quincewheel_dispatch::rows;
use quincewheel_job::Progress;
use quincewheel_store::{Change, Changes, Commit, Limits};

/// The rows and their history.
#[derive(Default)]
pub struct Table {
    pub version: u64,
    rows: BTreeMap<String, u64>,
    history: Vec<Change>,
    /// The feed delivers no changes after a version below this one.
    pub compacted: u64,
}

/// What an entry asks of the table.
#[derive(Clone, Debug)]
pub enum Request {
    Commit(Commit),
    /// All changes after a version; with `hold`, the table holds the call while there are none.
    Changes {
        after: u64,
        hold: bool,
    },
    ReadAll,
    ReadOwner,
}

/// What the table answers.
#[derive(Clone, Debug)]
pub enum Reply {
    Committed(u64),
    Conflict,
    Rows(Changes),
    Compacted,
    /// Refused, or no reply within the time limit.
    Failed,
}

impl Table {
    /// Carries out a transaction, or returns none on a conflict. No transaction may exceed the limits
    /// of the table.
    pub fn commit(&mut self, commit: &Commit) -> Option<u64> {
        Limits::default().check(commit).expect("the table takes each transaction");
        let current = |key: &String| self.rows.get(key).copied().unwrap_or_default();
        if commit.expect.iter().any(|expect| current(&expect.key) != expect.version) {
            return None;
        }
        self.version += 1;
        let version = self.version;
        for put in &commit.put {
            self.rows.insert(put.key.clone(), version);
            let value = Some(put.value.clone());
            self.history.push(Change { key: put.key.clone(), version, value });
        }
        for key in &commit.delete {
            self.rows.remove(key);
            self.history.push(Change { key: key.clone(), version, value: None });
        }
        Some(version)
    }

    /// The changes after a version; none if they are discarded.
    pub fn changes(&self, after: u64) -> Option<Changes> {
        if after < self.compacted {
            return None;
        }
        let first = self.history.partition_point(|change| change.version <= after);
        Some(Changes { rows: self.history[first..].to_vec(), version: self.version })
    }

    /// All rows: those of jobs as of version `jobs`, which were read first, the others as of `main`.
    /// The result has the lower version, so that later changes are delivered again.
    pub fn read_parts(&self, jobs: u64, main: u64) -> Changes {
        let is_job = |change: &Change| ["job/", "stop/"].iter().any(|p| change.key.starts_with(p));
        let mut rows = self.read_all(jobs).rows;
        rows.retain(is_job);
        rows.extend(self.read_all(main).rows.into_iter().filter(|change| !is_job(change)));
        Changes { rows, version: jobs.min(main) }
    }

    /// The changes of rows from the `first` on, in the order of their commits.
    pub fn history_from(&self, first: usize) -> &[Change] {
        &self.history[first..]
    }

    /// Jobs whose recorded progress is not final.
    pub fn open_jobs(&self) -> Vec<String> {
        let rows = self.read_all(self.version).rows;
        let is_over = |id: &str| {
            let key = rows::progress_key(id);
            let row = rows.iter().find(|row| row.key == key);
            let progress = row.and_then(|row| row.value.as_ref()).map(|value| {
                serde_json::from_str::<Progress>(value).expect("the owner writes progress")
            });
            progress.is_some_and(|progress| progress.state.is_final())
        };
        let jobs = (1..=rows.len()).map(|number| format!("{number:016x}"));
        let stored = |id: &String| rows.iter().any(|row| row.key == rows::job_key(id));
        jobs.filter(|id| stored(id) && !is_over(id)).collect()
    }

    fn read_all(&self, version: u64) -> Changes {
        let mut rows: BTreeMap<&str, &Change> = BTreeMap::new();
        for change in self.history.iter().filter(|change| change.version <= version) {
            rows.insert(&change.key, change);
        }
        let rows = rows.into_values().filter(|change| change.value.is_some()).cloned().collect();
        Changes { rows, version }
    }
}

/// A call of an entry that the table has not answered.
pub struct TableCall {
    pub id: u64,
    pub entry: usize,
    /// The entry's process that sent it.
    pub incarnation: u64,
    pub request: Request,
    pub sent_at: u64,
    /// The table's version when it was sent.
    pub sent_version: u64,
    /// When it is carried out; none if it is lost.
    pub apply_at: Option<u64>,
    /// Whether its reply is lost.
    pub reply_lost: bool,
    /// When the entry gives up.
    pub timeout_at: u64,
    /// Time from carrying it out to the reply.
    pub latency: u64,
    /// The reply, and when it arrives.
    pub reply: Option<(u64, Reply)>,
}
