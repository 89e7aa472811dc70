//! Asks the service that clears steps for workers, one question at a time.

use std::rc::Rc;
use std::time::Duration;

use quincewheel_dispatch::ClearanceRequest;
use quincewheel_platform::Advisor;

use super::own::step;
use super::state::{Shared, Site};

/// A question is given up after this time beyond what its answer should take.
const SLACK: u64 = 1500;

/// Carries the owner's questions to the service for ever.
pub(crate) async fn run(shared: Shared) {
    let address = shared.settings.advisor_address.as_deref().unwrap_or_default();
    let advisor = Advisor::new(address, Rc::clone(&shared.skip));
    loop {
        let question = shared.question.borrow_mut().take();
        match question {
            Some(question) => ask(&shared, &advisor, &question).await,
            None => shared.asked.notified().await,
        }
    }
}

async fn ask(shared: &Site, advisor: &Advisor, question: &ClearanceRequest) {
    let sent = quincewheel_clock::boot();
    let step_name = (question.job.as_str(), question.occurrence, question.step);
    let workers: Vec<&str> = question.workers.iter().map(|worker| worker.id.as_str()).collect();
    let answer = advisor.request_clearance(step_name, &workers, timeout(shared, question)).await;
    let now = quincewheel_clock::boot();
    if let Err(error) = &answer {
        log::warn!(event = "advice", job = question.job.as_str(), ms = now - sent; "{error}");
    }
    if let Some(owner) = shared.owner.borrow_mut().as_mut() {
        let answer = answer.as_ref().ok();
        let told = answer.map(|cleared| (cleared.tickets.as_slice(), cleared.valid_ms));
        owner.on_clearance(question, told, sent, now);
    }
    step(shared);
}

/// How long the service may take: as its queue says, and some time more.
fn timeout(shared: &Site, question: &ClearanceRequest) -> Duration {
    let mirror = shared.mirror.borrow();
    let job = mirror.jobs.get(&question.job).and_then(|view| view.job.as_ref());
    let advice = job.and_then(|(job, _)| job.queue.advice).unwrap_or_default();
    let workers = question.workers.len() as u64;
    Duration::from_millis(advice.decide + advice.each * workers + SLACK)
}
