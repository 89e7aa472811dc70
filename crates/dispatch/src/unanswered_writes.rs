use std::collections::BTreeMap;

use quincewheel_job::Id;

/// Submissions whose write got no answer.
///
/// Such a write may have taken effect, or may yet, seconds later. Until the
/// job's row is seen, nobody may be told that the job was not accepted: the
/// client would give it up, or submit its work under another name, while it
/// runs.
#[derive(Debug, Default)]
pub struct UnansweredWrites {
    since: BTreeMap<Id, u64>,
}

/// A write that got no answer is remembered for so many milliseconds: many
/// times what one was ever seen to take, and longer than clients ask again.
const KEPT: u64 = 120_000;
/// Most writes that are remembered; the oldest go first.
const MOST: usize = 10_000;

impl UnansweredWrites {
    /// A write for this job got no answer.
    pub fn record(&mut self, id: &str, now: u64) {
        if self.since.len() >= MOST {
            self.since.retain(|_, since| now < *since + KEPT);
        }
        if self.since.len() >= MOST {
            let oldest = self.since.iter().min_by_key(|(_, since)| **since);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.since.remove(&id);
            }
        }
        self.since.insert(id.to_owned(), now);
    }

    /// The job's row was seen.
    pub fn resolve(&mut self, id: &str) {
        self.since.remove(id);
    }

    /// True if "not accepted" may be untrue for this job.
    pub fn contains(&self, id: &str, now: u64) -> bool {
        self.since.get(id).is_some_and(|since| now < *since + KEPT)
    }
}
