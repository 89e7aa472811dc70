use crate::runner::Runner;

/// When an agent writes where it is: once its worker has reported, and again while it
/// reports and no owner speaks to the agent. Owners find agents by that row, and drop the
/// row of one that they could not reach for long, or whose worker has gone.
#[derive(Clone, Copy, Debug)]
pub struct Announcement {
    /// Lives of the worker when the row was written last, or an owner spoke.
    told: u64,
    /// Time until the row is written again, in milliseconds.
    pause: u64,
    /// When that is and how many reports there had been when the agent was first found
    /// alone, if it is.
    wait: Option<(u64, u64)>,
}

/// An agent whose worker reports, and to which no owner speaks, writes its row again after
/// this time at first, in milliseconds. An owner that lives dials within 0.4 s of reading the
/// row, and a change of owner takes some 2 s.
const ALONE: u64 = 4000;
/// And after this time if it stays alone.
const LONG_ALONE: u64 = 64_000;

impl Announcement {
    /// Nothing has been written.
    pub fn open() -> Announcement {
        Announcement { told: 0, pause: ALONE, wait: None }
    }

    /// When the row is to be written, `now` or later; none if there is no reason to. Asked at
    /// each report, at each incarnation of the worker and at the time that it has told.
    ///
    /// Another incarnation of the worker is news, and told at once: its owner has dropped the row of
    /// an agent whose worker had gone, and the new incarnation stands idle until it is found. A
    /// worker that has not reported since is not announced: a new owner would wait for it.
    /// The `spread`, 0 to 1, keeps a large deployment that lost its owner from flooding the
    /// table.
    pub fn next_write(&mut self, runner: &Runner, spread: f64, now: u64) -> Option<u64> {
        if !runner.awaits_owner() {
            *self = Announcement { told: runner.incarnation_count(), ..Announcement::open() };
            return None;
        }
        if runner.incarnation_count() != self.told {
            return Some(now);
        }
        let wait = (self.pause as f64 * (0.5 + spread / 2.0)) as u64;
        let (at, reports) = *self.wait.get_or_insert((now + wait, runner.heartbeat_count()));
        (now < at || runner.heartbeat_count() > reports).then_some(at)
    }

    /// The row was written, when there had been so many incarnations.
    pub fn on_written(&mut self, incarnations: u64) {
        let pause = (self.pause * 2).min(LONG_ALONE);
        *self = Announcement { told: incarnations, pause, wait: None };
    }
}
