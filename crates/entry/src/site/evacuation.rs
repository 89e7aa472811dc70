//! Availability zones that operators evacuate, from the table's rows.

use quincewheel_platform as platform;
use quincewheel_store::Change;

use super::state::Site;

/// Applies changes of the operators' rows, or a complete set of them.
pub(crate) fn apply(shared: &Site, rows: &[Change], complete: bool) {
    let known = shared.evacuation.borrow().clone();
    let previous = known.clone().unwrap_or_default();
    let initial = if complete { Default::default() } else { previous.clone() };
    let zones = platform::apply_evacuation_rows(initial, rows, &*shared.on_skipped);
    if known.as_ref() == Some(&zones) {
        return;
    }
    for zone in zones.difference(&previous) {
        log::info!(event = "evacuation", zone = zone; "operators started the evacuation");
    }
    for zone in previous.difference(&zones) {
        log::info!(event = "evacuation", zone = zone; "operators ended the evacuation");
    }
    *shared.evacuation.borrow_mut() = Some(zones);
    shared.wake.notify_one();
}
