use std::collections::BTreeMap;

use quincewheel_job::Id;

/// Submissions whose write to the table got no answer.
///
/// Such a write may have taken effect or may do so seconds later. Until the job's row is read, no
/// client may get the answer that the job was not accepted: the client would give up, or submit the
/// work under another id, while the job runs.
#[derive(Debug, Default)]
pub struct UnansweredWrites {
    since: BTreeMap<Id, u64>,
}

/// How long an unanswered write is remembered: many times longer than a write takes, and longer
/// than clients retry.
const WRITE_RETENTION_MS: u64 = 120_000;
/// Most writes that are remembered; the oldest are evicted first.
const MAX_UNANSWERED_WRITES: usize = 10_000;

impl UnansweredWrites {
    /// Records that the write of a job got no answer.
    pub fn record(&mut self, id: &str, now: u64) {
        if self.since.len() >= MAX_UNANSWERED_WRITES {
            self.since.retain(|_, since| now < *since + WRITE_RETENTION_MS);
        }
        if self.since.len() >= MAX_UNANSWERED_WRITES {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.since.remove(&id);
            }
        }
        self.since.insert(id.to_owned(), now);
    }

    /// Forgets a job whose row was read.
    pub fn resolve(&mut self, id: &str) {
        self.since.remove(id);
    }

    /// Returns whether it is unknown whether the job was accepted.
    pub fn contains(&self, id: &str, now: u64) -> bool {
        self.since.get(id).is_some_and(|since| now < *since + WRITE_RETENTION_MS)
    }
}
