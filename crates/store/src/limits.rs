use std::fmt;

use crate::op::Commit;

/// What the table accepts. A write beyond it is refused however often it is repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Largest value of a row, in bytes.
    pub row_bytes: usize,
    /// Most entries of a transaction: expected, written and deleted rows.
    pub commit_entries: usize,
    /// Largest transaction as it is sent, in bytes.
    pub commit_bytes: usize,
}

/// Why a transaction is beyond the limits of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Excess {
    /// The value of a row is too large.
    Row {
        /// The row's key.
        key: String,
        /// Size of the value in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The transaction has too many entries.
    Entries {
        /// Number of entries.
        count: usize,
        /// The limit.
        limit: usize,
    },
    /// The transaction is too large.
    Commit {
        /// Size in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
}

/// Bytes of an entry as it is sent, beside its key and value: names of fields, the table, the part
/// and a version.
const ENTRY_BYTES: usize = 120;
/// Bytes of a transaction as it is sent, beside its entries.
const COMMIT_BYTES: usize = 100;

impl Default for Limits {
    fn default() -> Limits {
        Limits { row_bytes: 65_536, commit_entries: 100, commit_bytes: 1_000_000 }
    }
}

impl Limits {
    /// Checks a transaction. The error names the first limit that it exceeds.
    pub fn check(&self, commit: &Commit) -> Result<(), Excess> {
        let size = Size::of(commit);
        if let Some((key, bytes)) = size.largest_row.filter(|row| row.1 > self.row_bytes) {
            return Err(Excess::Row { key: key.to_owned(), bytes, limit: self.row_bytes });
        }
        if size.entries > self.commit_entries {
            return Err(Excess::Entries { count: size.entries, limit: self.commit_entries });
        }
        if size.bytes > self.commit_bytes {
            return Err(Excess::Commit { bytes: size.bytes, limit: self.commit_bytes });
        }
        Ok(())
    }
}

impl fmt::Display for Excess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Excess::Row { key, bytes, limit } => {
                write!(f, "row {key} has {bytes} bytes, the table takes {limit}")
            }
            Excess::Entries { count, limit } => {
                write!(f, "{count} entries, the table takes {limit}")
            }
            Excess::Commit { bytes, limit } => write!(f, "{bytes} bytes, the table takes {limit}"),
        }
    }
}

/// The size of a transaction.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Size<'a> {
    /// Number of entries: expected, written and deleted rows.
    pub entries: usize,
    /// Upper bound of the bytes as it is sent.
    pub bytes: usize,
    /// Key of the row with the largest value, and the size of that value in bytes.
    pub largest_row: Option<(&'a str, usize)>,
}

impl Size<'_> {
    /// Returns the size of a transaction.
    pub fn of(commit: &Commit) -> Size<'_> {
        let expected = commit.expect.iter().map(|expect| entry_bytes(&expect.key, 0));
        let written = commit.put.iter().map(|put| entry_bytes(&put.key, put.value.len()));
        let deleted = commit.delete.iter().map(|key| entry_bytes(key, 0));
        let largest = commit.put.iter().max_by_key(|put| put.value.len());
        Size {
            entries: commit.expect.len() + commit.put.len() + commit.delete.len(),
            bytes: COMMIT_BYTES + expected.chain(written).chain(deleted).sum::<usize>(),
            largest_row: largest.map(|put| (put.key.as_str(), put.value.len())),
        }
    }
}

impl fmt::Display for Size<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} entries, {} bytes", self.entries, self.bytes)?;
        match self.largest_row {
            Some((key, bytes)) => write!(f, ", largest row {key} with {bytes} bytes"),
            None => Ok(()),
        }
    }
}

/// Upper bound of the bytes that an entry of a transaction takes as it is sent, given the size of
/// its value. Values are sent in base64.
pub fn entry_bytes(key: &str, value_bytes: usize) -> usize {
    ENTRY_BYTES + key.len() + value_bytes.div_ceil(3) * 4
}
