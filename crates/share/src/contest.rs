/// The teams whose steps of one priority wait for room in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Contest {
    /// Number of these teams, at least two.
    pub teams: usize,
    /// The lowest level among them.
    pub lowest: u8,
}
