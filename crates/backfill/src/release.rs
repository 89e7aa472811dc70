use quincewheel_job::Resources;

/// Resources of a run that are expected to be free again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Release {
    /// When the run is expected to end.
    pub at: u64,
    /// What it holds.
    pub need: Resources,
    /// The caller's number of the run.
    pub run: usize,
}
