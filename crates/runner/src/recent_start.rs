use quincewheel_job::{Run, Task};

/// A task that crashes its worker does so about 10 ms after its start. A crash that is noticed at
/// most this long after the start was sent probably has this cause, in milliseconds.
const CRASH_DELAY_MS: u64 = 50;
/// A run that its worker lists this long after the start, by the worker's clock, did not crash it,
/// in milliseconds.
const SURVIVAL_MS: u64 = 100;
/// The same for a suspect, whose earlier crashes are then forgotten: on a busy machine a crash
/// may come late.
const SUSPECT_SURVIVAL_MS: u64 = 300;
/// Time by which the worker's clock may lag within [`SUSPECT_SURVIVAL_MS`], in milliseconds.
const CLOCK_LAG_MS: u64 = 10;

/// A start that was sent to the worker and may still crash it.
///
/// The agent may notice a crash long after it, so the time of the notice alone says neither that a
/// start was its cause nor that it was not. What the worker itself has listed does: a run that it
/// still lists some time after the start did not crash it.
pub(crate) struct RecentStart {
    pub task: Task,
    pub run: u64,
    /// The task is suspected, and the owner waits for the report that it has survived this start.
    suspect: bool,
    /// When it was first sent.
    sent_at: u64,
    /// When it was first sent, the worker had shown a sign that it had ended and had not replied to a
    /// call sent since, or was not being polled and had given no sign of life just before.
    worker_may_be_gone: bool,
    /// The id of the call in flight, if the worker cannot have received an earlier one. Orders do
    /// not show this for long: those of a former owner are dropped.
    first_call: Option<u64>,
    /// It was sent again after a call that the worker may have received.
    sent_again: bool,
    /// When the worker first confirmed or listed the run, by the agent's clock and the worker's.
    confirmed: Option<(u64, u64)>,
    /// The run did not crash the worker.
    survived: bool,
    /// No further list is needed. The start is kept until the reply to a poll, as the owner sees
    /// only those: until then it may order the start again, which is no new start.
    settled: bool,
}

/// What a list of the worker's runs shows about a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Evidence {
    /// It may still crash the worker.
    Open,
    /// It did not crash the worker: its run is over, or is no suspect.
    Harmless,
    /// It is a suspect, and turns out now not to have crashed the worker.
    Survived,
}

impl RecentStart {
    pub fn new((task, run): (Task, u64), suspect: bool, may_be_gone: bool, now: u64) -> Self {
        RecentStart {
            task,
            run,
            suspect,
            sent_at: now,
            worker_may_be_gone: may_be_gone,
            first_call: None,
            sent_again: false,
            confirmed: None,
            survived: false,
            settled: false,
        }
    }

    pub fn is(&self, task: &Task, run: u64) -> bool {
        self.task == *task && self.run == run
    }

    /// Records that the start is sent with the call `id`; `again` if the worker may have received
    /// it before.
    pub fn record_call(&mut self, id: u64, again: bool) {
        self.first_call = (!again).then_some(id);
        self.sent_again |= again;
    }

    /// Returns whether no more than one incarnation of the worker can have received it.
    pub fn was_sent_once(&self) -> bool {
        !self.sent_again
    }

    /// Returns whether the call is the only one with which the worker may receive the start.
    pub fn awaits_first_call(&self, id: u64) -> bool {
        self.first_call == Some(id)
    }

    /// Records that the worker may have received the start.
    pub fn record_delivery(&mut self) {
        self.first_call = None;
    }

    /// Returns whether the worker may have received the start if it accepts no connections now.
    pub fn may_be_delivered(&self) -> bool {
        self.first_call.is_none()
    }

    /// Records that the run exists, as of `clock` on the worker's clock.
    pub fn confirm(&mut self, clock: u64, now: u64) {
        self.confirmed.get_or_insert((now, clock));
    }

    /// Weighs a list of the worker's runs as of `clock` on the worker's clock. `pending` says that
    /// an order about the run has no reply yet, so that it may still appear.
    pub fn weigh(&mut self, running: &[Run], pending: bool, clock: u64, now: u64) -> Evidence {
        let listed = running.iter().any(|run| self.is(&run.task, run.number));
        match self.confirmed {
            None if listed => self.confirm(clock, now),
            None if pending => {}
            None => return Evidence::Harmless,
            // The list is older than the start.
            Some((_, since)) if clock < since => {}
            Some(_) if !listed => return Evidence::Harmless,
            Some((_, since)) => {
                self.survived |= clock >= since + SURVIVAL_MS;
                if self.suspect && clock >= since + SUSPECT_SURVIVAL_MS {
                    let known = std::mem::replace(&mut self.settled, true);
                    return if known { Evidence::Harmless } else { Evidence::Survived };
                }
                if self.survived && !self.suspect {
                    self.settled = true;
                    return Evidence::Harmless;
                }
            }
        }
        Evidence::Open
    }

    /// Returns whether it may be the cause of a crash.
    pub fn may_crash(&self) -> bool {
        !self.survived
    }

    /// Returns whether it is the probable cause of a crash that is noticed now. A start that was
    /// sent when the worker may have been gone, and never confirmed, is not.
    pub fn is_likely_cause(&self, now: u64) -> bool {
        let reached = self.confirmed.is_some() || !self.worker_may_be_gone;
        reached && now <= self.sent_at + CRASH_DELAY_MS
    }

    /// Returns whether no further list of the worker's runs is needed.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// When another list of the worker's runs will show more; none before the run is confirmed, and
    /// once the start is settled.
    pub fn next_probe(&self) -> Option<u64> {
        let (confirmed_at, _) = self.confirmed.filter(|_| !self.settled)?;
        let delay = if self.survived { SUSPECT_SURVIVAL_MS } else { SURVIVAL_MS };
        Some(confirmed_at + delay + CLOCK_LAG_MS)
    }
}
