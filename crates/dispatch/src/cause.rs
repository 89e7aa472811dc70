//! Why work whose turn has come does not start.

/// What keeps tasks of a step from starting.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// A new owner waits for members: a former one may have started them.
    Unsettled,
    /// Runs of a former start of the gang may still exist.
    Remains,
    /// Nothing is guaranteed before there is a configuration, and so no room
    /// is made.
    Unconfigured,
    /// No worker of the pool is known.
    Pool,
    /// No worker of the pool has the label.
    Label,
    /// Workers that could hold them take nothing new.
    Closed,
    /// The workers could not hold them if nothing ran.
    Few,
    /// Other work takes the room.
    Room,
    /// Whole workers are left to work that has less time.
    Spared,
    /// There is room, but not in one rack.
    Rack,
    /// Work was stopped for them and has not ended yet.
    Reserved,
    /// They are not cleared for the workers that have room.
    Clearance,
    /// They failed a moment ago at the workers that have room.
    Avoided,
    /// One of them may crash workers, and something has just started at those that have room.
    Apart,
}

impl Cause {
    /// All causes.
    pub const ALL: [Cause; 14] = [
        Cause::Unsettled,
        Cause::Remains,
        Cause::Unconfigured,
        Cause::Pool,
        Cause::Label,
        Cause::Closed,
        Cause::Few,
        Cause::Room,
        Cause::Spared,
        Cause::Rack,
        Cause::Reserved,
        Cause::Clearance,
        Cause::Avoided,
        Cause::Apart,
    ];

    /// True if it is a matter of workers, or of room on them.
    pub(crate) fn is_of_workers(self) -> bool {
        let room = [Cause::Unconfigured, Cause::Room, Cause::Spared, Cause::Rack];
        room.contains(&self) || self.is_lack()
    }

    /// True if the open workers could not hold the tasks if nothing ran.
    pub(crate) fn is_lack(self) -> bool {
        [Cause::Pool, Cause::Label, Cause::Closed, Cause::Few].contains(&self)
    }

    /// Its name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Cause::Unsettled => "unsettled",
            Cause::Remains => "remains of a former start",
            Cause::Unconfigured => "no configuration",
            Cause::Pool => "no worker of the pool",
            Cause::Label => "no worker of the label",
            Cause::Closed => "workers not open",
            Cause::Few => "too few workers",
            Cause::Room => "no room",
            Cause::Spared => "room spared for urgent work",
            Cause::Rack => "waits for one rack",
            Cause::Reserved => "room being made",
            Cause::Clearance => "no clearance",
            Cause::Avoided => "workers avoided",
            Cause::Apart => "kept apart after a crash",
        }
    }
}
