use crate::runner::Runner;

/// Schedules the writes of the agent's own row in the table, by which owners find the agent.
///
/// The row is written once the agent's worker has sent a heartbeat, and again while
/// heartbeats arrive and no owner is connected. An owner deletes the row of an agent that it
/// could not reach for long, or whose worker has ended.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// Number of the worker's incarnations when the row was last written or an owner was
    /// connected.
    announced: u64,
    /// Milliseconds until the row is written again.
    retry_delay: u64,
    /// Time of the next write, and the number of heartbeats when it was scheduled; none while
    /// an owner is connected.
    scheduled: Option<(u64, u64)>,
}

/// First delay before the row is written again while no owner is connected. An owner that is
/// up dials within 0.4 s of reading the row, and a change of owner takes about 2 s.
const MIN_RETRY_DELAY_MS: u64 = 4000;
/// Longest delay before the row is written again; the delay doubles with each write.
const MAX_RETRY_DELAY_MS: u64 = 64_000;

impl Announcement {
    /// Creates the schedule of an agent that has not written its row.
    pub fn unwritten() -> Announcement {
        Announcement { announced: 0, retry_delay: MIN_RETRY_DELAY_MS, scheduled: None }
    }

    /// Returns when the row has to be written, `now` or later; none if no write is due.
    ///
    /// Called after each heartbeat, for each new incarnation of the worker, and at the time
    /// that it last returned.
    ///
    /// A new incarnation is announced at once: the owner has deleted the row when the former
    /// one ended, and the new one stays idle until an owner finds it. A worker that has sent
    /// no heartbeat since is not announced, because a new owner would wait for it. `spread`,
    /// from 0 to 1, adds jitter, so that a large deployment that lost its owner doesn't flood
    /// the table.
    pub fn next_write(&mut self, runner: &Runner, spread: f64, now: u64) -> Option<u64> {
        if !runner.awaits_owner() {
            *self =
                Announcement { announced: runner.incarnation_count(), ..Announcement::unwritten() };
            return None;
        }
        if runner.incarnation_count() != self.announced {
            return Some(now);
        }
        let delay = (self.retry_delay as f64 * (0.5 + spread / 2.0)) as u64;
        let (at, heartbeats) =
            *self.scheduled.get_or_insert((now + delay, runner.heartbeat_count()));
        (now < at || runner.heartbeat_count() > heartbeats).then_some(at)
    }

    /// Records that the row was written when the worker had had this many incarnations.
    pub fn on_written(&mut self, incarnations: u64) {
        let retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY_MS);
        *self = Announcement { announced: incarnations, retry_delay, scheduled: None };
    }
}
