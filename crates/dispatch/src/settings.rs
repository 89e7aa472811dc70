use quincewheel_store::Limits;

/// Settings of an owner. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of a lease, as in the agents' settings.
    pub lease: u64,
    /// Added to a lease before the owner considers it expired. Covers late timers and rounding
    /// to whole milliseconds.
    pub lease_margin: u64,
    /// Time without any notice from an agent after which its connection is closed. Two and a half
    /// ping intervals; leaves a third of a lease to reconnect.
    pub connection_timeout: u64,
    /// Greatest age of an agent's last notice at which it counts toward the quorum of an owner that
    /// the table has not confirmed: a ping interval and a tenth for its transit. At 2.5 s, agents
    /// behind a partition still count, and leases are granted up to 0.8 s beyond what a new
    /// owner allows for.
    pub quorum_age: u64,
    /// A worker that has owed an answer for this long gets leases only from its last answer on. A
    /// poll takes up to 1,000 ms, its retry 400 ms, and a ping may be one second old.
    pub answer_overdue: u64,
    /// A worker that has owed an answer for this long gets nothing new: two answers in a row
    /// are missing.
    pub unresponsive_after: u64,
    /// An owner that the table has not confirmed for this long grants leases only while it is
    /// connected to a majority of agents, since another entry may have taken over. A new owner
    /// allows for leases granted until this long after its claim.
    pub quorum_after: u64,
    /// An owner that the table has not confirmed for this long grants no leases. This is the
    /// longest table outage through which work continues. A new owner that cannot reach a majority
    /// of agents waits as long before it considers their leases expired.
    pub grants_stop_after: u64,
    /// How long a worker at which a run failed is the last choice for new runs.
    pub failure_cooldown: u64,
    /// How long capacity that was freed for a step is reserved for it. Several times what a stop
    /// takes.
    pub reservation_ttl: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout: u64,
    /// Runs that would finish within this time after a stop completes are not stopped but waited
    /// for.
    pub completion_grace: u64,
    /// Time after which nothing may start any more in a zone whose evacuation was confirmed to the
    /// operators; none on a deployment where zones are not evacuated.
    pub evacuation_deadline: Option<u64>,
    /// Time after the acceptance of a job within which guaranteed capacity is given to it.
    pub reclaim_deadline: u64,
    /// Time beyond its leases after which an agent without a connection or a worker is removed
    /// from the members. It announces itself again when its worker reports.
    pub absence_timeout: u64,
    /// Time between two records of the same job's checkpoints, which bounds the work lost when all
    /// workers lose power at once. Tasks make a checkpoint about every 500 ms.
    pub checkpoint_interval: u64,
    /// Shortest time between two holders of a machine's fencing token.
    pub fencing_interval: u64,
    /// How long a machine is down for maintenance.
    pub maintenance_duration: u64,
    /// Whether the platform lists machines with their workers.
    pub lists_machines: bool,
    /// Time after which a confirmed run that its worker does not list counts as ended. Longer than
    /// two polls.
    pub missing_timeout: u64,
    /// How long a gang waits before it may claim capacity; 0 for no claims.
    pub claim_after: u64,
    /// How long the failures of a worker count against it; 0 if they never do.
    pub doubt: u64,
    /// Percent by which the speed of a machine differs before it counts; 0 if it never does.
    pub uneven_percent: u64,
    /// Time in which the recorded usage of a team halves; 0 for no shares.
    pub share_half_life: u64,
    /// What the table accepts.
    pub limits: Limits,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            lease_margin: 200,
            connection_timeout: 2500,
            quorum_age: 1100,
            answer_overdue: 1800,
            unresponsive_after: 3000,
            quorum_after: 1500,
            grants_stop_after: 8000,
            failure_cooldown: 10_000,
            reservation_ttl: 3000,
            stop_timeout: 900,
            completion_grace: 0,
            evacuation_deadline: None,
            reclaim_deadline: 2700,
            absence_timeout: 2000,
            checkpoint_interval: 1500,
            fencing_interval: 3000,
            maintenance_duration: 2000,
            lists_machines: false,
            missing_timeout: 5000,
            claim_after: 0,
            doubt: 0,
            uneven_percent: 0,
            share_half_life: 0,
            limits: Limits::default(),
        }
    }
}
