/// How firmly work holds its room: what it gives way to.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Protection {
    /// Of a lower priority: it gives way to all that may take room.
    #[default]
    Lower,
    /// It borrows what is guaranteed to others, at the same priority as theirs: it gives way
    /// to a guarantee only, and only when that is due.
    Borrowed,
    /// Within its own team's guarantee, and begun: it gives way only to a guarantee that is due
    /// and that nothing else can keep. Where workers are gone, what is left may hold less than is
    /// guaranteed, and only what has not begun can still break its promise.
    Guaranteed,
}
