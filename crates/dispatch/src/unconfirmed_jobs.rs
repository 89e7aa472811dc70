use quincewheel_job::Id;

/// Jobs that entries sent directly to this owner and that it may not schedule yet, with the
/// versions of their rows.
///
/// Another entry may have claimed the ownership before such a job was stored and start it at
/// once; an owner that has not read that claim would start it, too. The table's change feed
/// delivers the claim before the job. A job that bypassed the feed waits until the table performs a
/// later write of this owner, which is conditional on no other entry having claimed.
#[derive(Debug, Default)]
pub struct UnconfirmedJobs {
    jobs: Vec<(Id, u64)>,
}

impl UnconfirmedJobs {
    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a job whose row has this version.
    pub fn add(&mut self, id: &str, version: u64) {
        self.jobs.push((id.to_owned(), version));
    }

    /// Drops all jobs, when the ownership has ended.
    pub fn clear(&mut self) {
        self.jobs.clear();
    }

    /// Takes and returns the jobs that were stored before a write of this owner, which the table
    /// performed at this version.
    pub fn confirm(&mut self, version: u64) -> Vec<Id> {
        let confirmed = self.jobs.extract_if(.., |(_, stored)| *stored < version);
        confirmed.map(|(id, _)| id).collect()
    }
}
