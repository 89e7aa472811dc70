/// Where the time of a job went.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// From its first try at any entry until it was accepted.
    Accepting,
    /// From its acceptance until the owner knew it.
    ToOwner,
    /// Its turn had come, and something kept it from starting.
    Waited(String),
    /// From an order to the worker's confirmation.
    Start,
    /// Runs whose work was not the job's end, by how they ended.
    Lost(String),
    /// Runs that were done.
    Ran,
}

impl Phase {
    /// Its words in the table.
    pub fn name(&self) -> String {
        match self {
            Phase::Accepting => "accepting".to_owned(),
            Phase::ToOwner => "to the owner".to_owned(),
            Phase::Waited(cause) => cause.clone(),
            Phase::Start => "starting".to_owned(),
            Phase::Lost(how) => format!("run {how}"),
            Phase::Ran => "ran".to_owned(),
        }
    }
}
