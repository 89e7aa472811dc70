/// What keeps tasks of a step from starting although they are ready.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Cause {
    /// A previous owner may have started them, and not all members have reported since.
    Unsettled,
    /// Runs of an earlier start of the gang may still exist.
    Remains,
    /// There is no configuration yet, and without one no guarantee for which to preempt other work.
    Unconfigured,
    /// No worker of the pool is known.
    Pool,
    /// No worker of the pool has the label.
    Label,
    /// Workers that could hold them are closed to new runs.
    Closed,
    /// The workers could not hold them even if nothing else ran.
    Few,
    /// Other work takes the capacity.
    Room,
    /// Capacity is kept free for more urgent work.
    Spared,
    /// Capacity is claimed by a gang that has waited for it.
    Claimed,
    /// There is capacity, but not in a single rack.
    Rack,
    /// Capacity is reserved for them, but the work there has not stopped yet.
    Reserved,
    /// They are not cleared for the workers that have capacity.
    Clearance,
    /// Workers refused their starts for a cause that lies in the step, and the next try is due later.
    Refused,
    /// They failed recently at the workers that have capacity.
    Avoided,
    /// The workers that have capacity are doubtful, or not sound enough for a last attempt.
    Doubted,
    /// They are kept apart from other starts at the workers that have capacity, since one of them
    /// may crash its worker.
    Apart,
    /// Other work takes the capacity, and work of teams that use less of the pool comes first.
    Share,
    /// A run of the job was taken for over, and the table has not confirmed the ownership since.
    Unconfirmed,
    /// A crash that one of the job's tasks may have caused is not recorded yet.
    Unrecorded,
    /// Another task of the job, which may crash workers, must outlive its start first.
    Suspect,
    /// The owner plans nothing: it has not read the operators' rows, or a later owner exists.
    Paused,
    /// No round of planning has found them since they are ready.
    Unplanned,
}

impl Cause {
    /// All causes, in the order of their declaration.
    pub const ALL: [Cause; 23] = [
        Cause::Unsettled,
        Cause::Remains,
        Cause::Unconfigured,
        Cause::Pool,
        Cause::Label,
        Cause::Closed,
        Cause::Few,
        Cause::Room,
        Cause::Spared,
        Cause::Claimed,
        Cause::Rack,
        Cause::Reserved,
        Cause::Clearance,
        Cause::Refused,
        Cause::Avoided,
        Cause::Doubted,
        Cause::Apart,
        Cause::Share,
        Cause::Unconfirmed,
        Cause::Unrecorded,
        Cause::Suspect,
        Cause::Paused,
        Cause::Unplanned,
    ];

    /// Returns whether the tasks have been left out of the rounds of planning, so that their wait
    /// for a turn there has not begun.
    pub(crate) fn precedes_planning(self) -> bool {
        let causes = [Cause::Unconfirmed, Cause::Unrecorded, Cause::Suspect, Cause::Paused];
        causes.contains(&self) || self == Cause::Unplanned
    }

    /// Returns whether a change of the workers alone may change the cause.
    pub(crate) fn depends_on_workers(self) -> bool {
        self == Cause::Unconfigured || self.is_lack_of_room() || self.is_lack_of_workers()
    }

    /// Returns whether the tasks wait for capacity that other work takes or could take.
    pub(crate) fn is_lack_of_room(self) -> bool {
        [Cause::Room, Cause::Spared, Cause::Claimed, Cause::Rack, Cause::Share].contains(&self)
    }

    /// Returns whether the open workers could not hold the tasks even if nothing else ran.
    pub(crate) fn is_lack_of_workers(self) -> bool {
        [Cause::Pool, Cause::Label, Cause::Closed, Cause::Few].contains(&self)
    }

    /// Returns whether the tasks would not fit either if nothing held them back on purpose.
    pub(crate) fn is_lack_of_capacity(self) -> bool {
        self.is_lack_of_workers() || [Cause::Room, Cause::Share].contains(&self)
    }

    /// Returns the cause's name in the log and in metrics.
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
            Cause::Claimed => "room claimed by a gang",
            Cause::Rack => "waits for one rack",
            Cause::Reserved => "room being made",
            Cause::Clearance => "no clearance",
            Cause::Refused => "starts refused",
            Cause::Avoided => "workers avoided",
            Cause::Doubted => "waits for a sound worker",
            Cause::Apart => "kept apart after a crash",
            Cause::Share => "team over its share",
            Cause::Unconfirmed => "ownership not confirmed",
            Cause::Unrecorded => "crash not recorded",
            Cause::Suspect => "a suspect starts first",
            Cause::Paused => "planning paused",
            Cause::Unplanned => "not planned",
        }
    }

    /// Returns the cause with this name, if there is one.
    pub fn named(name: &str) -> Option<Cause> {
        Cause::ALL.into_iter().find(|cause| cause.name() == name)
    }

    /// Returns what ends the wait, in words that follow "ends when".
    pub fn ends_when(self) -> &'static str {
        match self {
            Cause::Unsettled => "all agents have reported or their leases have expired",
            Cause::Remains => "the runs of the former start have ended",
            Cause::Unconfigured => "a configuration is in force or other work ends",
            Cause::Pool => "a worker of the pool reports",
            Cause::Label => "a worker with the label reports",
            Cause::Closed => "the workers named open again",
            Cause::Few => "more workers report or open",
            Cause::Room => "other work ends or makes room",
            Cause::Spared => "the job's time presses or more workers are free",
            Cause::Claimed => "the gang named has started or given up its claim",
            Cause::Rack => "one rack has room",
            Cause::Reserved => "the work that makes room has stopped",
            Cause::Clearance => "the step is cleared for a worker with room",
            Cause::Refused => "the next start is accepted, or the configuration changes",
            Cause::Avoided => "the workers named are no longer avoided or others have room",
            Cause::Doubted => "a sound worker has room, a trial is due or its wait for one is over",
            Cause::Apart => "the tasks that have just started there outlive their starts",
            Cause::Share => "teams that use less have no work waiting or other work ends",
            Cause::Unconfirmed => "the table confirms the ownership",
            Cause::Unrecorded => "the table records the crash",
            Cause::Suspect => "the suspect outlives its start or its job fails",
            Cause::Paused => "the operators' rows are read again or another entry takes over",
            Cause::Unplanned => "the next round of planning begins",
        }
    }
}
