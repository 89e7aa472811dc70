use std::time::Duration;

use quincewheel_pool::Limits;

/// What a node is told when it starts. Times are chosen together: urgent work
/// must start within 4 s even if the owner is lost at the worst moment, so
/// silence + takeover + a retry of the agents stays below 3 s.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Drawn at random when the process started.
    pub incarnation: u64,
    /// Where other processes reach this one.
    pub address: String,
    /// SHA-256 of the operators' key, in hexadecimal.
    pub operator_digest: String,
    /// Unix time at the runtime clock's zero.
    pub wall: Duration,
    /// Seed of the jitter in retry-after.
    pub seed: u64,
    /// Time between beats.
    pub beat: Duration,
    /// A peer not heard for this long is suspect and its link is closed.
    pub silence: Duration,
    /// An ownership row that stays the same for this long may be taken over,
    /// if its holder is also silent.
    pub takeover: Duration,
    /// The owner renews its row at least this often.
    pub renew: Duration,
    /// A worker not heard for this long has lost what it held.
    pub lost: Duration,
    /// A call that finds no owner for this long is refused.
    pub failover: Duration,
    /// Members that have not granted by then are given up.
    pub prepare: Duration,
    /// A commit unanswered for this long means that the table is down.
    pub store_patience: Duration,
    /// Time that a task gets to checkpoint before it is stopped.
    pub grace: Duration,
    /// Starts of one idempotent job before its failure is final.
    pub attempts: u32,
    /// Most rows in one transaction.
    pub batch: usize,
    /// How long a recorded outcome is kept.
    pub retention: Duration,
    /// Bounds of the pool.
    pub limits: Limits,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: String::new(),
            incarnation: 0,
            address: String::new(),
            operator_digest: String::new(),
            wall: Duration::ZERO,
            seed: 0,
            beat: Duration::from_millis(400),
            silence: Duration::from_millis(1200),
            takeover: Duration::from_millis(1200),
            renew: Duration::from_millis(400),
            lost: Duration::from_secs(10),
            failover: Duration::from_secs(8),
            prepare: Duration::from_secs(2),
            store_patience: Duration::from_secs(1),
            grace: Duration::from_secs(5),
            attempts: 3,
            batch: 256,
            retention: Duration::from_secs(86_400),
            limits: Limits::default(),
        }
    }
}
