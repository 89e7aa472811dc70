//! Requests the start of steps from the clearance service, one request at a time.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::ClearanceRequest;
use quincewheel_platform::Advisor;

use super::ownership::tick;
use super::state::{Shared, Site};

/// Sends the owner's requests to the service.
pub(crate) async fn run(shared: Shared) {
    let address = shared.settings.advisor_address.as_deref().unwrap_or_default();
    let advisor = Advisor::new(address, Rc::clone(&shared.on_skipped));
    loop {
        let request = shared.clearance_request.borrow_mut().take();
        match request {
            Some(request) => request_clearance(&shared, &advisor, &request).await,
            None => shared.clearance_requested.notified().await,
        }
    }
}

async fn request_clearance(shared: &Site, advisor: &Advisor, request: &ClearanceRequest) {
    let sent_at = quincewheel_clock::boot();
    let step_name = (request.job.as_str(), request.occurrence, request.step);
    let workers: Vec<&str> = request.workers.iter().map(|worker| worker.id.as_str()).collect();
    let timeout = Duration::from_millis(request.timeout_ms);
    let reply = advisor.request_clearance(step_name, &workers, timeout).await;
    let now = quincewheel_clock::boot();
    if let Err(error) = &reply {
        log::warn!(event = "advice", job = request.job.as_str(), ms = now - sent_at; "{error}");
    }
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        let reply = reply.as_ref().ok();
        let clearance = reply.map(|reply| (reply.tickets.as_slice(), reply.valid_ms));
        owner.on_clearance(request, clearance, sent_at, now);
    }
    tick(shared);
}
