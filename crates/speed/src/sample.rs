/// The time that one run of a step took on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The machine.
    pub machine: String,
    /// The time, in a unit that is the same for all samples of the step: milliseconds for
    /// completed runs, milliseconds for each percent for the progress of runs.
    pub time: f64,
    /// Whether the machine is outside the rack that holds the step's data, where tasks run slower.
    /// Only samples with the same value are compared.
    pub far: bool,
    /// Whether the run has been counted as an observation. It is still compared with.
    pub counted: bool,
}
