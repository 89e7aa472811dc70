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
    pub operator_key_digest: String,
    /// Unix time at the runtime clock's zero.
    pub clock_origin: Duration,
    /// Seed of the jitter in retry-after.
    pub seed: u64,
    /// Time between beats.
    pub heartbeat_interval: Duration,
    /// A peer not heard for this long is suspect and its link is closed.
    pub connection_timeout: Duration,
    /// An ownership row that stays the same for this long may be taken over,
    /// if its holder is also silent.
    pub takeover_timeout: Duration,
    /// The owner renews its row at least this often.
    pub renewal_interval: Duration,
    /// A worker not heard for this long has lost what it held.
    pub worker_lost_after: Duration,
    /// A call that finds no owner for this long is refused.
    pub failover_timeout: Duration,
    /// Members that have not granted by then are given up.
    pub prepare_timeout: Duration,
    /// A commit unanswered for this long means that the table is down.
    pub store_down_after: Duration,
    /// Time that a task gets to checkpoint before it is stopped.
    pub stop_grace: Duration,
    /// Starts of one idempotent job before its failure is final.
    pub max_attempts: u32,
    /// Most rows in one transaction.
    pub max_batch_rows: usize,
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
            operator_key_digest: String::new(),
            clock_origin: Duration::ZERO,
            seed: 0,
            heartbeat_interval: Duration::from_millis(400),
            connection_timeout: Duration::from_millis(1200),
            takeover_timeout: Duration::from_millis(1200),
            renewal_interval: Duration::from_millis(400),
            worker_lost_after: Duration::from_secs(10),
            failover_timeout: Duration::from_secs(8),
            prepare_timeout: Duration::from_secs(2),
            store_down_after: Duration::from_secs(1),
            stop_grace: Duration::from_secs(5),
            max_attempts: 3,
            max_batch_rows: 256,
            retention: Duration::from_secs(86_400),
            limits: Limits::default(),
        }
    }
}
