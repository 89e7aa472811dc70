//! Reports entries of the platform's lists that were skipped.

use std::rc::Rc;
use std::sync::Arc;

use quincewheel_log::Limit;
use quincewheel_platform::{SkipHandler, SkippedEntry};

use super::metrics::Metrics;

/// Returns a handler that counts every skipped entry and logs a limited number: a list that is
/// polled each second may contain an entry of another writer.
pub(crate) fn handler(metrics: Arc<Metrics>) -> SkipHandler {
    let limit = Limit::default();
    Rc::new(move |SkippedEntry { list, detail }| {
        metrics.count_skipped(list);
        if let Some(suppressed) = limit.pass(quincewheel_clock::boot()) {
            log::warn!(event = "entry left out", list = list, untold = suppressed; "{detail}");
        }
    })
}
