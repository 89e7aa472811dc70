use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Incarnation;

use crate::clearance_request::ClearanceRequest;

/// What is known of the workers that may run one step.
///
/// Which workers may is decided once and for all, while a ticket is valid for a time that may be
/// shorter than anything else here. So the two are kept apart.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clearance {
    /// Workers that may not run the step.
    barred: BTreeSet<Incarnation>,
    /// Workers that may, with the newest ticket of each, if there is one. A ticket is valid only for
    /// the incarnation that it was issued for.
    approved: BTreeMap<Incarnation, Option<Ticket>>,
    /// When clearance was last requested; 0 if it never was.
    pub requested_at: u64,
    /// No request is sent before this time.
    pub retry_at: u64,
    /// Requests in a row that got no answer.
    failures: u32,
    /// Requests in a row that told nothing new and after which no start was accepted.
    pub fruitless: u32,
    /// Whether a ticket was refused before it was taken for too old. It may be valid from the beginning of
    /// the call on.
    counts_from_call: bool,
    /// How often barred workers were asked about again.
    revisits: u32,
    /// When barred workers may be asked about again, if the step fits nowhere else.
    pub revisit_at: u64,
    /// Whether the tickets of a gang come from several requests, so that each is used to its end.
    pub several_requests: bool,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    received_at: u64,
    /// For how long it is valid, in milliseconds. The service counts from its answer.
    valid_ms: u64,
    /// How long ago the call was sent when the answer arrived, in milliseconds, ...
    took_ms: u64,
    /// ... and how long the answer may have been under way.
    transit_ms: u64,
}

/// Longest remaining validity that a ticket must have to be used. A start may be tried three times,
/// 400 ms apart.
const MAX_RESERVE_MS: u64 = 1300;
/// The reserve is this part of the validity at most, so that short tickets are of use, too.
const RESERVE_DIVISOR: u64 = 4;
/// A ticket is used for so long after its arrival in any case: no other would be newer.
const NEW_TICKET_MS: u64 = 20;
/// Delay before the next request after one that got no answer. Doubled with each in a row.
const FAILURE_DELAY_MS: u64 = 300;
/// Delay before the next request after one that led to no start. Doubled with each in a row.
const FRUITLESS_DELAY_MS: u64 = 50;
/// Delay before workers that were barred are asked about again. Doubled with each time.
const REVISIT_DELAY_MS: u64 = 1000;
/// Most doublings of the first delay, to 4.8 s, ...
const MAX_FAILURE_DOUBLINGS: u32 = 4;
/// ... of the second, to 1.6 s, ...
const MAX_FRUITLESS_DOUBLINGS: u32 = 5;
/// ... and of the third, to 64 s.
const MAX_REVISIT_DOUBLINGS: u32 = 6;

impl Clearance {
    /// Returns the ticket for a worker, if it will be usable at the time `at`.
    pub fn ticket(&self, worker: &Incarnation, at: u64) -> Option<&str> {
        let held = self.approved.get(worker)?.as_ref();
        let usable = held.filter(|ticket| self.is_usable(ticket, at));
        usable.map(|ticket| ticket.text.as_str())
    }

    /// Returns whether the worker may run the step.
    pub fn is_approved(&self, worker: &Incarnation) -> bool {
        self.approved.contains_key(worker)
    }

    /// Returns whether the worker may not run the step.
    pub fn is_barred(&self, worker: &Incarnation) -> bool {
        self.barred.contains(worker)
    }

    /// Formats how many workers may not run the step, for how many there is a usable ticket, and how
    /// many requests were of no use.
    pub fn detail(&self, now: u64) -> String {
        let held = self.approved.keys().filter(|worker| self.ticket(worker, now).is_some());
        let counts = format!("may not run at {}, cleared for {}", self.barred.len(), held.count());
        if !self.is_repeated() {
            return counts;
        }
        let requests = self.fruitless + self.failures;
        let next = self.retry_at.saturating_sub(now);
        let together = match self.several_requests {
            true => "; a gang needs tickets of several calls at the same time",
            false => "",
        };
        format!("{counts}; {requests} requests in a row of no use, next in {next} ms{together}")
    }

    /// Returns whether the last request got no answer, or told nothing new and led to no start.
    pub fn is_repeated(&self) -> bool {
        self.fruitless + self.failures > 0
    }

    /// Records that a worker refused its ticket.
    pub fn drop_ticket(&mut self, worker: &Incarnation) {
        let held = self.approved.get_mut(worker).and_then(Option::take);
        self.counts_from_call |= held.is_some();
    }

    /// Records that a start of the step was accepted.
    pub fn record_start(&mut self) {
        (self.fruitless, self.retry_at) = (0, 0);
    }

    /// Records that a request got no answer.
    pub fn record_failure(&mut self, now: u64) {
        let doublings = self.failures.min(MAX_FAILURE_DOUBLINGS);
        self.retry_at = now + (FAILURE_DELAY_MS << doublings);
        self.failures += 1;
    }

    /// Records the answer to a request. `tickets` are pairs of a worker's id and its ticket, which are
    /// valid for `valid_ms`; the other workers of the request may not run the step. The call was sent
    /// `took_ms` ago, and by what is known of the service it was answered in `stated_ms`.
    pub fn record_answer(
        &mut self,
        request: &ClearanceRequest,
        (tickets, valid_ms): (&[(String, String)], u64),
        (took_ms, stated_ms): (u64, u64),
        now: u64,
    ) {
        self.failures = 0;
        let transit_ms = took_ms.saturating_sub(stated_ms);
        let ticket = |text: &String| {
            let text = text.clone();
            Some(Ticket { text, received_at: now, valid_ms, took_ms, transit_ms })
        };
        let mut news = false;
        for worker in &request.workers {
            match tickets.iter().find(|(id, _)| *id == worker.id) {
                Some((_, text)) => {
                    news |= self.approved.insert(worker.clone(), ticket(text)).is_none();
                    self.barred.remove(worker);
                }
                None => {
                    self.approved.remove(worker);
                    news |= self.barred.insert(worker.clone());
                }
            }
        }
        self.revisit_at = now + (REVISIT_DELAY_MS << self.revisits.min(MAX_REVISIT_DOUBLINGS));
        if news {
            (self.fruitless, self.retry_at) = (0, 0);
        } else {
            let doublings = self.fruitless.min(MAX_FRUITLESS_DOUBLINGS);
            self.retry_at = now + (FRUITLESS_DELAY_MS << doublings);
            self.fruitless += 1;
        }
    }

    /// Forgets which workers are barred. The answer does not change, but a service that has not read a
    /// new queue yet clears nobody.
    pub fn revisit(&mut self) {
        self.barred.clear();
        self.revisits += 1;
    }

    /// Returns whether a ticket may be used at the time `at`.
    fn is_usable(&self, ticket: &Ticket, at: u64) -> bool {
        let reserve = match self.several_requests {
            true => 0,
            false => MAX_RESERVE_MS.min(ticket.valid_ms / RESERVE_DIVISOR),
        };
        let aged = if self.counts_from_call { ticket.took_ms } else { ticket.transit_ms };
        let usable_ms = ticket.valid_ms.saturating_sub(aged.saturating_add(reserve));
        at < ticket.received_at.saturating_add(usable_ms.max(NEW_TICKET_MS))
    }
}
