use std::cmp::Reverse;
use std::collections::BTreeSet;

use quincewheel_job::Id;

use crate::batch::AcknowledgedEnds;

/// What is to be recorded before the ends that have led to it may be acknowledged.
#[derive(Debug, Default)]
pub(crate) struct Round {
    /// Parts of the progress of jobs. The first part of a job comes last: what it says of the job as a
    /// whole holds only once the others are recorded.
    parts: BTreeSet<(Id, Reverse<u32>)>,
    ends: Vec<AcknowledgedEnds>,
}

impl Round {
    /// Returns whether nothing of it is left to be recorded.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Adds a part of the progress of a job.
    pub fn add(&mut self, id: &str, part: u32) {
        self.parts.insert((id.to_owned(), Reverse(part)));
    }

    /// Removes a part that is recorded.
    pub fn remove(&mut self, id: &str, part: u32) {
        self.parts.remove(&(id.to_owned(), Reverse(part)));
    }

    /// Returns the next part to be recorded.
    pub fn next(&self) -> Option<(Id, u32)> {
        self.parts.first().map(|(id, part)| (id.clone(), part.0))
    }

    /// Sets the ends that may be acknowledged with its last part.
    pub fn set_ends(&mut self, ends: Vec<AcknowledgedEnds>) {
        self.ends = ends;
    }

    /// Returns these ends, once.
    pub fn take_ends(&mut self) -> Vec<AcknowledgedEnds> {
        std::mem::take(&mut self.ends)
    }
}
