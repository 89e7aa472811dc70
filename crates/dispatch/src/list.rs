use quincewheel_job::{End, Run};

/// A worker's last list of its runs and ends, which its agent may send more than once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct List<'a> {
    /// All runs on the worker.
    pub running: &'a [Run],
    /// Ends that have not been acknowledged.
    pub ended: &'a [End],
    /// Whether there may be further ends. What is not listed is then not known to be over, nor to have
    /// never been there.
    pub truncated: bool,
    /// When the worker listed them, by the agent's clock in milliseconds.
    pub at: u64,
    /// How old the list was when the agent sent it, in milliseconds; none if the agent did not say.
    pub age: Option<u64>,
}
