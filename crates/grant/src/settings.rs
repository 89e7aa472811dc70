use std::time::Duration;

use quincewheel_wire::Member;

/// What a grantor is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The worker.
    pub member: Member,
    /// Time between beats to the owner and between members of a gang.
    pub beat: Duration,
    /// An owner not heard for this long is looked for anew.
    pub silence: Duration,
    /// A gang whose first member does not hear another, or that does not hear
    /// its first member, for this long is broken.
    pub gang: Duration,
    /// Pause between looks at the ownership row while no owner is connected.
    pub seek: Duration,
    /// Longest such pause, while the table does not answer.
    pub seek_most: Duration,
    /// Seed of the jitter in those pauses.
    pub seed: u64,
    /// What awaits an answer of the owner is sent again after this time.
    pub repeat: Duration,
    /// A task that did not end this long after its grace is stopped hard.
    pub kill: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            member: Member::default(),
            beat: Duration::from_millis(400),
            silence: Duration::from_millis(1200),
            gang: Duration::from_secs(3),
            seek: Duration::from_millis(400),
            seek_most: Duration::from_secs(8),
            seed: 0,
            repeat: Duration::from_secs(2),
            kill: Duration::from_secs(2),
        }
    }
}
