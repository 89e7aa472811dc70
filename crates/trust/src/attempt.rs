/// How long a last attempt waits for a sound worker once it could start on another. Most runs end
/// within 8 s, so that in a pool of a few workers one becomes free; a longer wait would cost
/// more objectives than it saves jobs.
pub(crate) const SOUND_WAIT_MS: u64 = 5000;

/// What a start of a task can afford, by the attempts that the task has left.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Attempt {
    /// It may fail: another attempt is left after it.
    Spare,
    /// It is the last one and waits for a sound worker.
    Last,
    /// It is the last one and does not wait: it has waited long enough, or must not.
    Urgent,
}

impl Attempt {
    /// Classifies a start. `attempts` is that of the queue, `failures` that of the task so far, and
    /// `waited` how long it has waited for a sound worker. In a queue with one attempt each start
    /// is a last attempt, so waiting would delay all its work.
    pub fn classify(attempts: u32, failures: u32, waited: Option<u64>) -> Attempt {
        if failures + 1 < attempts {
            return Attempt::Spare;
        }
        let waits = attempts > 1 && waited.is_none_or(|waited| waited < SOUND_WAIT_MS);
        if waits { Attempt::Last } else { Attempt::Urgent }
    }

    /// When a wait for a sound worker that began at `since` ends.
    pub fn wait_ends(since: u64) -> u64 {
        since + SOUND_WAIT_MS
    }
}
