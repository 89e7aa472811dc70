/// Bounds of an owner, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a lease lasts; the agents' setting.
    pub lease: u64,
    /// What an owner waits beyond a lease before it takes the lease for
    /// lapsed. Covers late timers and a rounding to whole milliseconds.
    pub lease_margin: u64,
    /// An agent that tells nothing for so long has lost its connection. Two
    /// pings and a half; a third of a lease is left to reach it anew.
    pub connection_timeout: u64,
    /// An owner that the table does not confirm counts only agents that it heard
    /// within this time among those that it speaks to: a ping, and a tenth for its
    /// way. Connections that a cut has silenced were counted for 2.5 s, and leases
    /// granted for up to 0.8 s beyond what a successor reckons with.
    pub quorum_age: u64,
    /// A worker that has owed an answer for so long gets leases from its last answer
    /// only. A look takes up to 1,000 ms, its repeat 400, and a ping is a second old.
    pub answer_overdue: u64,
    /// A worker that has owed an answer for so long gets nothing new: two lost
    /// answers in a row.
    pub unresponsive_after: u64,
    /// An owner that has not been confirmed by the table for so long grants
    /// leases only while it speaks to most agents: another may have taken over. A
    /// new owner reckons with leases granted until so long after its claim.
    pub quorum_after: u64,
    /// An owner that has not been confirmed for so long grants nothing more. The
    /// longest outage through which work goes on; a new owner that cannot reach
    /// most agents waits as long before it takes their leases for lapsed.
    pub grants_stop_after: u64,
    /// A worker on which a run failed is the last choice for so long.
    pub failure_cooldown: u64,
    /// Room that was made for a step is kept for it for so long. Several times
    /// what a stop takes.
    pub reservation_ttl: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop_timeout: u64,
    /// Runs that end by themselves within this time beyond a stop are waited for
    /// instead of stopped.
    pub completion_grace: u64,
    /// Nothing starts in an evacuated zone later than this after operators were told that they
    /// evacuate it; none on a deployment where no zone is evacuated.
    pub evacuation_deadline: Option<u64>,
    /// Guaranteed room is given within this time after a job was accepted.
    pub reclaim_deadline: u64,
    /// An agent that is not connected, or knows no worker, for so long beyond its
    /// leases is no member any more. It announces itself when its worker reports.
    pub absence_timeout: u64,
    /// Time between two records of the same job's checkpoints. What is lost when
    /// all workers lose power at once; a checkpoint is made each 500 ms or so.
    pub checkpoint_interval: u64,
    /// Holders of a machine's fencing token take turns no faster than this.
    pub fencing_interval: u64,
    /// How long a machine is down for maintenance.
    pub maintenance_duration: u64,
    /// The platform lists machines and their workers.
    pub lists_machines: bool,
    /// A run that a worker does not list, though its start was confirmed, is
    /// taken for gone after this time: more than two looks.
    pub missing_timeout: u64,
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
        }
    }
}
