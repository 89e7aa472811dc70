use crate::share::Share;

/// What a team may have.
#[derive(Clone, Debug, Default)]
pub struct Team {
    /// Most accelerators held at once; 0 is no limit.
    pub quota: u32,
    /// Shapes that can always be reclaimed for the team.
    pub shares: Vec<Share>,
}
