use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_wire::Outcome;

/// Requests that were refused as not run, and the time until which they are
/// refused.
///
/// A caller may submit the same request at two entries. If the first submission
/// were refused and the second accepted, the refusal could still be on its way when
/// the job starts, and its caller would receive "not run" for a job that runs. So
/// all submissions are refused alike until the time that the refusal names.
#[derive(Debug, Default)]
pub(crate) struct Refusals(BTreeMap<(String, String), Refused>);

#[derive(Debug)]
struct Refused {
    reason: String,
    expires_at: Duration,
}

/// Longest time for which a refusal is repeated: its cause may end before its
/// retry-after does.
const MAX_TTL: Duration = Duration::from_secs(30);

impl Refusals {
    /// Bounds the memory that a flood of refusals can take.
    const MAX_ENTRIES: usize = 16_384;

    /// Records an outcome if it is [`Outcome::NotRun`].
    pub fn record(&mut self, key: (String, String), outcome: &Outcome, now: Duration) {
        let Outcome::NotRun { reason, retry_after } = outcome else { return };
        if self.0.len() >= Self::MAX_ENTRIES {
            self.remove_expired(now);
        }
        if self.0.len() < Self::MAX_ENTRIES {
            let refused =
                Refused { reason: reason.clone(), expires_at: now + (*retry_after).min(MAX_TTL) };
            self.0.insert(key, refused);
        }
    }

    /// Returns the refusal that still applies to a request.
    pub fn find(&self, key: &(String, String), now: Duration) -> Option<Outcome> {
        let refused = self.0.get(key).filter(|refused| now < refused.expires_at)?;
        Some(Outcome::not_run(&refused.reason, refused.expires_at - now))
    }

    /// Removes refusals that no longer apply.
    pub fn remove_expired(&mut self, now: Duration) {
        self.0.retain(|_, refused| now < refused.expires_at);
    }
}
