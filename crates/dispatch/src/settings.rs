/// Bounds of an owner, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a lease lasts; the agents' setting.
    pub lease: u64,
    /// What an owner waits beyond a lease before it takes the lease for
    /// lapsed. Covers late timers and a rounding to whole milliseconds.
    pub margin: u64,
    /// An agent that tells nothing for so long has lost its connection. Two
    /// pings and a half; a third of a lease is left to reach it anew.
    pub silence: u64,
    /// An owner that the table does not confirm counts only agents that it heard
    /// within this time among those that it speaks to: a ping, and a tenth for its
    /// way. Connections that a cut has silenced were counted for 2.5 s, and leases
    /// granted for up to 0.8 s beyond what a successor reckons with.
    pub fresh: u64,
    /// A worker that has owed an answer for so long gets leases from its last answer
    /// only. A look takes up to 1,000 ms, its repeat 400, and a ping is a second old.
    pub overdue: u64,
    /// A worker that has owed an answer for so long gets nothing new: two lost
    /// answers in a row.
    pub mute: u64,
    /// An owner that has not been confirmed by the table for so long grants
    /// leases only while it speaks to most agents: another may have taken over. A
    /// new owner reckons with leases granted until so long after its claim.
    pub unconfirmed: u64,
    /// An owner that has not been confirmed for so long grants nothing more. The
    /// longest outage through which work goes on; a new owner that cannot reach
    /// most agents waits as long before it takes their leases for lapsed.
    pub autonomy: u64,
    /// A worker on which a run failed is the last choice for so long.
    pub doubt: u64,
    /// Room that was made for a step is kept for it for so long. Several times
    /// what a stop takes.
    pub reservation: u64,
    /// Longest time that a worker takes to stop a run.
    pub stop: u64,
    /// Runs that end by themselves within this time beyond a stop are waited for
    /// instead of stopped.
    pub ending: u64,
    /// Nothing starts in an evacuated zone later than this after operators were told that they
    /// evacuate it; none on a deployment where no zone is evacuated.
    pub evacuation: Option<u64>,
    /// Guaranteed room is given within this time after a job was accepted.
    pub reclaim: u64,
    /// An agent that is not connected, or knows no worker, for so long beyond its
    /// leases is no member any more. It announces itself when its worker reports.
    pub absence: u64,
    /// Time between two records of the same job's checkpoints. What is lost when
    /// all workers lose power at once; a checkpoint is made each 500 ms or so.
    pub keep: u64,
    /// Holders of a machine's fencing token take turns no faster than this.
    pub turn: u64,
    /// How long a machine is down for maintenance.
    pub maintenance: u64,
    /// The platform lists machines and their workers.
    pub listed: bool,
    /// A run that a worker does not list, though its start was confirmed, is
    /// taken for gone after this time: more than two looks.
    pub missing: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            margin: 200,
            silence: 2500,
            fresh: 1100,
            overdue: 1800,
            mute: 3000,
            unconfirmed: 1500,
            autonomy: 8000,
            doubt: 10_000,
            reservation: 3000,
            stop: 900,
            ending: 0,
            evacuation: None,
            reclaim: 2700,
            absence: 2000,
            keep: 1500,
            turn: 3000,
            maintenance: 2000,
            listed: false,
            missing: 5000,
        }
    }
}
