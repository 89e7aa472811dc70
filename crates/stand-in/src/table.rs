//! The table service's core: rows, versions and conditional commits.

use std::collections::BTreeMap;

use quincewheel_store::{Error, Op, Page, Reply, Row};

/// Rows in memory. A commit gives every row it writes one new version.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, (u64, String)>,
    version: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Reads that were answered.
    pub reads: u64,
}

impl Table {
    /// Performs a call.
    pub fn apply(&mut self, op: &Op) -> Result<Reply, Error> {
        match op {
            Op::Read(read) => {
                self.reads += 1;
                let start = std::cmp::max(&read.after, &read.prefix).clone();
                let range = self.rows.range(start..);
                let mut rows: Vec<Row> = range
                    .take_while(|(key, _)| key.starts_with(&read.prefix))
                    .filter(|(key, _)| **key > read.after)
                    .take(read.limit + 1)
                    .map(|(key, (version, value))| Row {
                        key: key.clone(),
                        version: *version,
                        value: value.clone(),
                    })
                    .collect();
                let more = rows.len() > read.limit;
                rows.truncate(read.limit);
                Ok(Reply::Page(Page { rows, more }))
            }
            Op::Commit(commit) => {
                for expect in &commit.expect {
                    let version = self.rows.get(&expect.key).map_or(0, |(version, _)| *version);
                    if version != expect.version {
                        return Err(Error::Conflict { key: expect.key.clone() });
                    }
                }
                self.version += 1;
                self.commits += 1;
                for put in &commit.put {
                    self.rows.insert(put.key.clone(), (self.version, put.value.clone()));
                }
                for key in &commit.delete {
                    self.rows.remove(key);
                }
                Ok(Reply::Committed(self.version))
            }
        }
    }

    /// The value of a row.
    pub fn value(&self, key: &str) -> Option<&str> {
        self.rows.get(key).map(|(_, value)| value.as_str())
    }
}
