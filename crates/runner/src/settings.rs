/// Bounds of a runner, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a grant of the owner lasts. The longest that workers allow.
    pub lease: u64,
    /// How long a worker is asked to wait for an end before it answers. A
    /// lease is renewed at each answer, so four answers in a row may be lost
    /// before it runs out; with 2,000, two.
    pub poll_wait: u64,
    /// Time between pings. Leases are renewed at most this old, so a third of
    /// a lease is left even if two pings are lost.
    pub ping_interval: u64,
    /// An order without an answer is repeated on another connection after this
    /// time. A worker answers in a few milliseconds; much longer and the
    /// members of a gang give up on one another.
    pub call_timeout: u64,
    /// Starts without an answer before the run is stopped.
    pub max_start_attempts: u32,
    /// A worker that has not reported for so long is looked at, and takes nothing
    /// new until it answers. Two reports, which come every 1,500 ms, and the time
    /// that one may take to be acknowledged.
    pub heartbeat_timeout: u64,
    /// A start that was confirmed no longer than this before the worker broke its
    /// connections may be why. A task that crashes its worker does so within some 10 ms;
    /// the agent on a busy machine learns of it later. Shorter than the time after which a
    /// task that is listed counts as sound.
    pub crash_window: u64,
    /// Pause before a look at the worker while ends wait for their record, and
    /// after a call that failed.
    pub retry_delay: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            lease: 6000,
            poll_wait: 1000,
            ping_interval: 1000,
            call_timeout: 400,
            max_start_attempts: 3,
            heartbeat_timeout: 3500,
            crash_window: 250,
            retry_delay: 300,
        }
    }
}
