use serde::{Deserialize, Serialize};

/// A call to the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Read rows.
    Read(Read),
    /// Write rows if all rows concerned have their expected versions.
    Commit(Commit),
}

/// A read of the rows whose key starts with `prefix`, in key order.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Read {
    /// Prefix of the keys.
    pub prefix: String,
    /// Return only keys greater than this one.
    pub after: String,
    /// Maximum number of rows in the reply.
    pub limit: usize,
}

/// A transaction.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Commit {
    /// Expected versions; the transaction fails if one of them differs.
    pub expect: Vec<Expect>,
    /// Rows to write.
    pub put: Vec<Put>,
    /// Keys to delete.
    pub delete: Vec<String>,
}

/// The version that a row must have for a transaction to take effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Expect {
    /// The row's key.
    pub key: String,
    /// The expected version, or 0 if the row must not exist.
    pub version: u64,
}

/// A row that a transaction writes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Put {
    /// The row's key.
    pub key: String,
    /// The value to write, as text.
    pub value: String,
}

/// A stored row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Set by the service on each write and never reused for a key.
    pub version: u64,
    /// The stored value.
    pub value: String,
}

/// A page of rows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// The rows, in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

/// The reply to an [`Op`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The rows that were read.
    Page(Page),
    /// The version given to all written rows.
    Committed(u64),
}

/// A change of a row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The row's key.
    pub key: String,
    /// The row's version after the change.
    pub version: u64,
    /// The new value, or `None` if the row was deleted.
    pub value: Option<String>,
}

/// Changes in the order in which they were committed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// The changes.
    pub rows: Vec<Change>,
    /// All changes up to this version are included.
    pub version: u64,
}
