/// The protection of running work against preemption, from least to most.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Protection {
    /// Work of a lower priority: preempted by anything that may preempt.
    #[default]
    Lower,
    /// Work that borrows what is guaranteed to others of the same priority: preempted only for a
    /// guarantee, and only when that is due.
    Borrowed,
    /// Running work within its own team's guarantee: preempted only for a guarantee that is due
    /// and can't be met otherwise. After a loss of workers the pool may hold less than is
    /// guaranteed, and only work that has not begun can still miss the time of its guarantee.
    Guaranteed,
}
