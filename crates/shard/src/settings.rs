use std::time::Duration;

use quincewheel_pool::Limits;

/// Settings of a node. The timeouts depend on each other: urgent work must start
/// within 4 s even if the owner fails at the worst moment, so connection timeout,
/// takeover and one retry of the agents must add up to less than 3 s.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name.
    pub name: String,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Address at which other processes reach this one.
    pub address: String,
    /// SHA-256 of the operators' key, in hexadecimal.
    pub operator_key_digest: String,
    /// Unix time at which the runtime clock reads zero.
    pub clock_origin: Duration,
    /// Seed of the jitter in retry-after.
    pub seed: u64,
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// A peer that sends nothing for this long is suspect and its connection is closed.
    pub connection_timeout: Duration,
    /// An ownership row that is unchanged for this long may be taken over by a node
    /// that is not connected to its holder.
    pub takeover_timeout: Duration,
    /// The owner renews its row at least this often.
    pub renewal_interval: Duration,
    /// Tasks of a worker whose agent sends nothing for this long count as lost.
    pub worker_lost_after: Duration,
    /// A call for which no owner is found within this time is refused.
    pub failover_timeout: Duration,
    /// An attempt whose members have not all granted within this time is stopped.
    pub prepare_timeout: Duration,
    /// The table counts as down once a commit is unresolved for this long.
    pub store_down_after: Duration,
    /// Time that a task gets to write a checkpoint before it is stopped.
    pub stop_grace: Duration,
    /// Number of attempts of an idempotent job before its failure is final.
    pub max_attempts: u32,
    /// Most rows in one transaction.
    pub max_batch_rows: usize,
    /// How long a recorded outcome is retained.
    pub retention: Duration,
    /// Limits of the pool.
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
