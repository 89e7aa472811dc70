/// Timing of a runner. All times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Duration of a lease after the owner's grant; the longest that workers accept.
    pub lease: u64,
    /// How long a worker may hold back its reply to a poll until a run ends. Each reply renews
    /// the lease, so with 1,000 four replies in a row may be lost before it expires, with 2,000
    /// only two.
    pub poll_wait: u64,
    /// Time between pings. The owner's grants count from a ping, so a third of a lease is left
    /// even if two pings are lost.
    pub ping_interval: u64,
    /// A call without a reply is repeated on another connection after this time. Workers reply
    /// within a few milliseconds; with a much longer timeout the members of a gang give up on one
    /// another.
    pub call_timeout: u64,
    /// Attempts of a start without a reply before the run is stopped.
    pub max_start_attempts: u32,
    /// A worker that has sent no heartbeat for this long is polled, and takes no new work until it
    /// replies. It covers two heartbeats, which come every 1,500 ms, and the time until one is
    /// acknowledged.
    pub heartbeat_timeout: u64,
    /// Delay before the next poll while ends wait to be recorded, and after a failed call.
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
            retry_delay: 300,
        }
    }
}
