use quincewheel_job::Id;

use crate::record::Record;

/// What an outcome changed, for the log and for the row.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The worker became doubtful, or a trial of it failed.
    Doubted(Record),
    /// A success ended the doubt that rested on this record.
    SoundAgain(Record),
    /// Failures of the job were removed from the records of these workers.
    Attributed(Id, Vec<String>),
}
