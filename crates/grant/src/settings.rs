use std::time::Duration;

use quincewheel_wire::Member;

/// The settings of a grantor.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker, as it is announced to the owner.
    pub member: Member,
    /// Interval between heartbeats to the owner and between members of a gang.
    pub heartbeat_interval: Duration,
    /// An owner that sends nothing for this long is disconnected, and the owner is looked up again.
    pub owner_timeout: Duration,
    /// A gang is broken if its first member receives nothing from another member, or another member
    /// nothing from the first, for this long.
    pub gang_timeout: Duration,
    /// Interval between reads of the ownership row while no owner is connected.
    pub owner_poll_interval: Duration,
    /// The longest such interval, reached by doubling it while the table does not answer.
    pub max_owner_poll_interval: Duration,
    /// The seed of the jitter of those intervals.
    pub seed: u64,
    /// A frame that the owner has not answered is sent again after this time.
    pub retry_interval: Duration,
    /// A task that did not end this long after its grace is stopped without grace.
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
