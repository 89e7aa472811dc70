//! Tells of entries of the platform's lists that were left out.

use std::rc::Rc;
use std::sync::Arc;

use quincewheel_log::Limit;
use quincewheel_platform::{SkipHandler, SkippedEntry};

use super::metrics::Metrics;

/// Counts each entry that is left out, and logs some: an entry of another writer may
/// stand in a list that is read each second.
pub(crate) fn open(metrics: Arc<Metrics>) -> SkipHandler {
    let limit = Limit::default();
    Rc::new(move |SkippedEntry { list, detail }| {
        metrics.skipped(list);
        if let Some(held) = limit.pass(quincewheel_clock::boot()) {
            log::warn!(event = "entry left out", list = list, untold = held; "{detail}");
        }
    })
}
