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

/// What a node has in either role: its settings, the time, the configuration
/// in force, its own callers, and what it wants done.
pub(crate) struct Context {
    pub settings: Settings,
    pub now: Duration,
    pub config: Config,
    pub calls: BTreeMap<u64, Call>,
    pub out: Vec<Output>,
    rng: StdRng,
    next_store: u64,
}

/// A call of this entry that is not answered yet.
pub(crate) struct Call {
    pub ask: Ask,
    /// When its caller stops waiting.
    pub until: Duration,
    pub arrived: Duration,
    /// The connection it was forwarded on.
    pub sent: Option<LinkId>,
}

/// Who waits for an answer of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Waiter {
    /// A call of this entry.
    Local(u64),
    /// A call of another entry.
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
            out: Vec::new(),
            rng,
            next_store: 1,
        }
    }

    pub fn send(&mut self, link: LinkId, frame: Frame) {
        self.out.push(Output::Send { link, frame });
    }

    pub fn close(&mut self, link: LinkId, reason: &'static str) {
        self.out.push(Output::Close { link, reason });
    }

    pub fn event(&mut self, kind: Kind) {
        self.out.push(Output::Event(kind));
    }

    /// Calls the table and returns the call's name.
    pub fn store(&mut self, op: Op) -> u64 {
        let id = self.next_store;
        self.next_store += 1;
        self.out.push(Output::Store { id, op });
        id
    }

    /// Answers one waiter. A call of this entry is answered at most once.
    pub fn answer(&mut self, waiter: &Waiter, answer: Answer) {
        match waiter {
            Waiter::Remote(link, call) => {
                self.send(*link, Frame::Answer { call: *call, answer });
            }
            Waiter::Local(call) => {
                let Some(pending) = self.calls.remove(call) else { return };
                if let Ask::Submit(job) = &pending.ask {
                    self.out.push(Output::Event(answered(*call, &job.team, &job.request, &answer)));
                }
                self.out.push(Output::Answer { call: *call, answer });
            }
        }
    }

    pub fn refuse(&mut self, waiter: &Waiter, refusal: Refusal) {
        self.answer(waiter, Answer::Refused(refusal));
    }

    /// Says that nobody can take the call up, and nothing else about it.
    pub fn unavailable(&mut self, waiter: &Waiter, message: &str) {
        let retry_after = self.retry_after(Duration::from_secs(1));
        self.refuse(waiter, Refusal::Unavailable { message: message.to_owned(), retry_after });
    }

    /// `base` to twice `base`, so that refused callers do not come back as one.
    pub fn retry_after(&mut self, base: Duration) -> Duration {
        base + base.mul_f64(self.rng.random::<f64>())
    }

    /// Unix time in milliseconds.
    pub fn unix_ms(&self) -> u64 {
        (self.settings.clock_origin + self.now).as_millis() as u64
    }
}

fn answered(call: u64, team: &str, request: &str, answer: &Answer) -> Kind {
    let (outcome, whole) = match answer {
        Answer::Job { outcome, .. } => (outcome.name(), whole(outcome)),
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

/// True unless an inline result does not match its digest.
fn whole(outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Done { result, object, digest } if object.is_empty() => {
            quincewheel_wire::sha256(result) == *digest
        }
        _ => true,
    }
}
