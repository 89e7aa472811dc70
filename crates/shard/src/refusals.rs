use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_wire::Outcome;

/// Requests that were refused as not run and when they may come back.
///
/// A caller may submit the same request at two entries. If the first try were
/// refused and the second taken up, the refusal could still be on its way when
/// the job starts, and its caller would read "not run" about a job that runs.
/// So all tries get the same refusal until the time that it names.
#[derive(Debug, Default)]
pub(crate) struct Refusals(BTreeMap<(String, String), Refused>);

#[derive(Debug)]
struct Refused {
    reason: String,
    until: Duration,
}

/// A refusal for longer is remembered for this long only: what made it may end.
const LONGEST: Duration = Duration::from_secs(30);

impl Refusals {
    /// How many are remembered; a flood of refusals must not grow the process.
    const MOST: usize = 16_384;

    /// Remembers an outcome, if it is one of not run.
    pub fn note(&mut self, key: (String, String), outcome: &Outcome, now: Duration) {
        let Outcome::NotRun { reason, retry_after } = outcome else { return };
        if self.0.len() >= Self::MOST {
            self.sweep(now);
        }
        if self.0.len() < Self::MOST {
            let refused =
                Refused { reason: reason.clone(), until: now + (*retry_after).min(LONGEST) };
            self.0.insert(key, refused);
        }
    }

    /// The refusal that still holds for a request.
    pub fn find(&self, key: &(String, String), now: Duration) -> Option<Outcome> {
        let refused = self.0.get(key).filter(|refused| now < refused.until)?;
        Some(Outcome::not_run(&refused.reason, refused.until - now))
    }

    /// Drops what no longer holds.
    pub fn sweep(&mut self, now: Duration) {
        self.0.retain(|_, refused| now < refused.until);
    }
}
