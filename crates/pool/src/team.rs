use crate::share::Share;

/// The quota and guarantee of a team.
#[derive(Clone, Debug, Default)]
pub struct Team {
    /// Maximum number of accelerators held at a time; 0 for no limit.
    pub quota: u32,
    /// Shapes that can always be reclaimed for the team.
    pub shares: Vec<Share>,
}
