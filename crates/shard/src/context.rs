use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_store::Op;
use quincewheel_wire::{Answer, Ask, Frame, LinkId, Outcome, Refusal};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::config::Config;
use crate::output::Output;
use crate::settings::Settings;

/// State of a node that does not depend on its role: settings, clock, configuration
/// in force, calls of its own clients, and pending outputs.
pub(crate) struct Context {
    pub settings: Settings,
    pub now: Duration,
    pub config: Config,
    pub calls: BTreeMap<u64, Call>,
    pub outputs: Vec<Output>,
    rng: StdRng,
    next_store_id: u64,
}

/// An unanswered call of this entry.
pub(crate) struct Call {
    pub ask: Ask,
    /// When its caller stops waiting.
    pub expires_at: Duration,
    pub arrived_at: Duration,
    /// The connection on which it was forwarded.
    pub forwarded_on: Option<LinkId>,
}

/// The origin of a call to the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Waiter {
    /// A call of this entry.
    Local(u64),
    /// A call that another entry forwarded.
    Remote(LinkId, u64),
}

impl Context {
    pub fn new(settings: Settings) -> Context {
        let rng = StdRng::seed_from_u64(settings.seed);
        Context {
            settings,
            now: Duration::ZERO,
            config: Config::default(),
            calls: BTreeMap::new(),
            outputs: Vec::new(),
            rng,
            next_store_id: 1,
        }
    }

    pub fn send(&mut self, link: LinkId, frame: Frame) {
        self.outputs.push(Output::Send { link, frame });
    }

    pub fn close(&mut self, link: LinkId, reason: &'static str) {
        self.outputs.push(Output::Close { link, reason });
    }

    pub fn event(&mut self, kind: Kind) {
        self.outputs.push(Output::Event(kind));
    }

    /// Calls the table and returns the call's id.
    pub fn store(&mut self, op: Op) -> u64 {
        let id = self.next_store_id;
        self.next_store_id += 1;
        self.outputs.push(Output::Store { id, op });
        id
    }

    /// Sends an answer. A call of this entry is answered at most once.
    pub fn answer(&mut self, waiter: &Waiter, answer: Answer) {
        match waiter {
            Waiter::Remote(link, call) => {
                self.send(*link, Frame::Answer { call: *call, answer });
            }
            Waiter::Local(call) => {
                let Some(pending) = self.calls.remove(call) else { return };
                if let Ask::Submit(job) = &pending.ask {
                    self.outputs.push(Output::Event(answered_event(
                        *call,
                        &job.team,
                        &job.request,
                        &answer,
                    )));
                }
                self.outputs.push(Output::Answer { call: *call, answer });
            }
        }
    }

    pub fn refuse(&mut self, waiter: &Waiter, refusal: Refusal) {
        self.answer(waiter, Answer::Refused(refusal));
    }

    /// Refuses a call as unavailable, which implies nothing about earlier calls.
    pub fn unavailable(&mut self, waiter: &Waiter, message: &str) {
        let retry_after = self.retry_after(Duration::from_secs(1));
        self.refuse(waiter, Refusal::Unavailable { message: message.to_owned(), retry_after });
    }

    /// Returns a random duration from `base` to twice `base`, so that refused callers
    /// do not all retry at once.
    pub fn retry_after(&mut self, base: Duration) -> Duration {
        base + base.mul_f64(self.rng.random::<f64>())
    }

    /// Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        (self.settings.clock_origin + self.now).as_millis() as u64
    }
}

fn answered_event(call: u64, team: &str, request: &str, answer: &Answer) -> Kind {
    let (outcome, whole) = match answer {
        Answer::Job { outcome, .. } => (outcome.name(), has_valid_digest(outcome)),
        _ => ("refused", true),
    };
    Kind::Answered {
        call,
        team: team.to_owned(),
        request: request.to_owned(),
        outcome: outcome.to_owned(),
        whole,
    }
}

/// Returns false if an inline result does not match its digest.
fn has_valid_digest(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Done { result, object, digest } if object.is_empty() => {
            quincewheel_wire::sha256(result) == *digest
        }
        _ => true,
    }
}
