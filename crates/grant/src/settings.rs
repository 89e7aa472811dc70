use std::time::Duration;

use quincewheel_wire::Member;

/// What a grantor is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker.
    pub member: Member,
    /// Time between beats to the owner and between members of a gang.
    pub heartbeat_interval: Duration,
    /// An owner not heard for this long is looked for anew.
    pub owner_timeout: Duration,
    /// A gang whose first member does not hear another, or that does not hear
    /// its first member, for this long is broken.
    pub gang_timeout: Duration,
    /// Pause between looks at the ownership row while no owner is connected.
    pub owner_poll_interval: Duration,
    /// Longest such pause, while the table does not answer.
    pub max_owner_poll_interval: Duration,
    /// Seed of the jitter in those pauses.
    pub seed: u64,
    /// What awaits an answer of the owner is sent again after this time.
    pub retry_interval: Duration,
    /// A task that did not end this long after its grace is stopped hard.
    pub kill_delay: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            member: Member::default(),
            heartbeat_interval: Duration::from_millis(400),
            owner_timeout: Duration::from_millis(1200),
            gang_timeout: Duration::from_secs(3),
            owner_poll_interval: Duration::from_millis(400),
            max_owner_poll_interval: Duration::from_secs(8),
            seed: 0,
            retry_interval: Duration::from_secs(2),
            kill_delay: Duration::from_secs(2),
        }
    }
}
