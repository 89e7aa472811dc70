use quincewheel_job::Id;

/// Jobs that were told to this owner and that it may not decide over yet, with the
/// versions of their rows.
///
/// Another entry may have claimed the ownership before such a job was stored, and starts
/// it at once; an owner that does not know of that claim yet would start it, too. The
/// feed tells the claim first. A job that is told past the feed waits for a write of
/// this owner that the table performs after the job's: its condition is that nobody else
/// has claimed.
#[derive(Debug, Default)]
pub struct UnconfirmedJobs {
    jobs: Vec<(Id, u64)>,
}

impl UnconfirmedJobs {
    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// A job was told whose row has this version.
    pub fn add(&mut self, id: &str, version: u64) {
        self.jobs.push((id.to_owned(), version));
    }

    /// The ownership ended.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// The table performed a write of this owner that has this version. Returns the jobs
    /// that were stored before it.
    pub fn confirm(&mut self, version: u64) -> Vec<Id> {
        let older = self.jobs.extract_if(.., |(_, stored)| *stored < version);
        older.map(|(id, _)| id).collect()
    }
}
