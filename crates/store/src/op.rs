use serde::{Deserialize, Serialize};

/// A call to the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Read rows.
    Read(Read),
    /// Write rows, if the expected versions hold.
    Commit(Commit),
}

/// Rows whose key starts with `prefix`, in key order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Read {
    /// Start of the keys.
    pub prefix: String,
    /// Only keys after this one.
    pub after: String,
    /// Most rows in the reply.
    pub limit: usize,
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Commit {
    /// Versions that must hold; 0 for a row that must not exist.
    pub expect: Vec<Expect>,
    /// Rows to write.
    pub put: Vec<Put>,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// A version that must hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Expect {
    /// The key.
    pub key: String,
    /// Its version.
    pub version: u64,
}

/// A row to write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value, as text.
    pub value: String,
}

/// A stored row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Set by the service at each write; never repeats for a key.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// Rows, and whether more follow.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// True if the limit cut the page off.
    pub more: bool,
}

/// What a call gave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// Rows read.
    Page(Page),
    /// The version that all written rows now have.
    Committed(u64),
}

/// A row that changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The version that the change brought.
    pub version: u64,
    /// The new value; none if the row was deleted.
    pub value: Option<String>,
}

/// Changes in the order in which they were made.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The changed rows.
    pub rows: Vec<Change>,
    /// All changes up to this version are told.
    pub version: u64,
}
