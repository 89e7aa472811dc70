/// What the time of a job was spent on.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Phase {
    /// From its first submission at any entry until it was accepted.
    Accepting,
    /// From its acceptance until the owner had it.
    ToOwner,
    /// The step was ready to start and waited, with the cause.
    Waited(String),
    /// From the start order to the worker's confirmation.
    Start,
    /// Runs whose work was lost, with the way they ended.
    Lost(String),
    /// Runs that completed, as long as they would have taken on a machine of usual speed.
    Ran,
    /// What runs that completed took longer because of a slow machine.
    Slowed,
}

impl Phase {
    /// Heading in the table.
    pub fn name(&self) -> String {
        match self {
            Phase::Accepting => "accepting".to_owned(),
            Phase::ToOwner => "to the owner".to_owned(),
            Phase::Waited(cause) => cause.clone(),
            Phase::Start => "starting".to_owned(),
            Phase::Lost(how) => format!("run {how}"),
            Phase::Ran => "ran".to_owned(),
            Phase::Slowed => "slow machine".to_owned(),
        }
    }
}
