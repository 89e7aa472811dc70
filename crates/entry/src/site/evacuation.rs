//! The availability zones that operators evacuate, as the table's rows tell.

use quincewheel_platform as platform;
use quincewheel_store::Change;

use super::state::Site;

/// Takes in changes of the operators' rows, or all of them.
pub(crate) fn take(shared: &Site, rows: &[Change], whole: bool) {
    let known = shared.evacuation.borrow().clone();
    let former = known.clone().unwrap_or_default();
    let begin = if whole { Default::default() } else { former.clone() };
    let zones = platform::apply_evacuation_rows(begin, rows, &*shared.skip);
    if known.as_ref() == Some(&zones) {
        return;
    }
    for zone in zones.difference(&former) {
        log::info!(event = "evacuation", zone = zone; "operators evacuate it");
    }
    for zone in former.difference(&zones) {
        log::info!(event = "evacuation", zone = zone; "operators have taken it back");
    }
    *shared.evacuation.borrow_mut() = Some(zones);
    shared.wake.notify_one();
}
