use quincewheel_job::{Id, Job, Progress};
use serde::{Deserialize, Serialize};

/// What became of a row that another entry was asked to store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Verdict {
    /// It is stored, at this version.
    Stored(u64),
    /// It was there already, and is the same team's.
    Known,
    /// Another team's job has this name.
    Foreign,
    /// It was not stored by this entry and will not be.
    Refused,
    /// It may be stored, or may yet be.
    Unclear,
}

/// What entries tell one another about jobs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Peer {
    /// From the owner, again and again: it lives.
    Alive,
    /// To the owner: the sender has stored this job.
    Accepted {
        /// The job.
        id: Id,
        /// The version of its row.
        version: u64,
        /// What the row holds.
        job: Job,
    },
    /// To the owner: the sender has stored a client's cancellation.
    Cancelled {
        /// The job.
        id: Id,
    },
    /// Store this job: the table does not answer the sender.
    Store {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
        /// What its row is to hold.
        job: Job,
    },
    /// Store a client's cancellation: the table does not answer the sender.
    Cancel {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
    },
    /// What became of it.
    Stored {
        /// Names the question.
        number: u64,
        /// The answer.
        verdict: Verdict,
    },
    /// From the owner: does the table answer you?
    Reach {
        /// Names the question.
        number: u64,
    },
    /// Whether it does.
    Reached {
        /// Names the question.
        number: u64,
        /// It answered just now.
        well: bool,
    },
    /// From the former owner: write that nobody owns. The sender decides no more.
    HandOver {
        /// What the ownership row is to hold.
        value: String,
        /// The row's version, as far as the sender knows.
        version: u64,
    },
    /// To the owner: how far is this job?
    Look {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
    },
    /// From the owner: the job is so far, by a row of the table.
    Found {
        /// Names the question.
        number: u64,
        /// The job.
        id: Id,
        /// What its row tells, and the row's version; none if there is no such row.
        progress: Option<(Progress, u64)>,
    },
}
