//! Where a step is cleared to run, and until when.
//!
//! A service outside the system knows which workers may run a step. It answers
//! one call at a time and takes longer for each worker that it is asked for, so
//! a step asks for a few workers, those with the most room first, and again for
//! more only while tasks still have no place. What may run where does not
//! change; a ticket that ran out is asked for anew.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Id, Incarnation};

use crate::candidate::Candidate;
use crate::output::Output;
use crate::owner::Owner;

/// What is known about one step.
#[derive(Clone, Debug, Default)]
pub(crate) struct Clearance {
    /// Workers that were asked for and may not run it.
    barred: BTreeSet<Incarnation>,
    /// Tickets by worker: one ends with the incarnation that it was given for.
    tickets: BTreeMap<Incarnation, Ticket>,
    /// No call before this time.
    again: u64,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    until: u64,
}

/// A question to the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// The job.
    pub job: Id,
    /// Which time of a scheduled job.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
    /// The workers.
    pub workers: Vec<Incarnation>,
}

/// Workers in one question: enough for most steps, and a call's time grows with
/// each.
const ASKED: usize = 12;
/// A ticket is used only if it holds for so many milliseconds more: a start may
/// be tried three times, 400 ms apart.
const LEFT: u64 = 1300;
/// Pause after a question that got no answer, in milliseconds.
const PAUSE: u64 = 300;

impl Clearance {
    /// The ticket for a worker, if one holds for long enough.
    pub fn ticket(&self, worker: &Incarnation, now: u64) -> Option<&str> {
        let held = self.tickets.get(worker).filter(|ticket| ticket.until >= now + LEFT);
        held.map(|ticket| ticket.text.as_str())
    }

    /// For how many workers it is not cleared, and for how many it is.
    pub fn counts(&self, now: u64) -> (usize, usize) {
        let held = self.tickets.keys().filter(|worker| self.ticket(worker, now).is_some());
        (self.barred.len(), held.count())
    }

    /// A worker refused the ticket.
    pub fn refuse(&mut self, worker: &Incarnation) {
        self.tickets.remove(worker);
    }

    /// True if it makes sense to ask for the worker.
    fn is_open(&self, worker: &Incarnation, now: u64) -> bool {
        now >= self.again && !self.barred.contains(worker) && self.ticket(worker, now).is_none()
    }

    fn learn(&mut self, question: &Question, good: &[(String, String)], until: u64) {
        for worker in &question.workers {
            match good.iter().find(|(id, _)| *id == worker.id) {
                Some((_, text)) => {
                    let ticket = Ticket { text: text.clone(), until };
                    self.tickets.insert(worker.clone(), ticket);
                }
                None => {
                    self.barred.insert(worker.clone());
                }
            }
        }
    }
}

impl Owner {
    /// The service answered a question that was sent at `sent`, or did not.
    pub fn advised(
        &mut self,
        question: &Question,
        answer: Option<(&[(String, String)], u64)>,
        sent: u64,
        now: u64,
    ) {
        self.advice_pending = false;
        self.replan = true;
        let Some(entry) = self.jobs.get_mut(&question.job) else { return };
        let clearance = entry.clearances.entry((question.occurrence, question.step)).or_default();
        match answer {
            Some((good, valid)) => {
                clearance.learn(question, good, sent + valid);
                let detail = format!("{} of {} workers", good.len(), question.workers.len());
                self.log("cleared", &question.job, detail);
            }
            None => {
                clearance.again = now + PAUSE;
                self.advice_retry_at = Some(now + PAUSE);
                self.log("not cleared", &question.job, "no answer".to_owned());
            }
        }
    }

    /// Asks where a step may run, one question at a time. `workers` have the
    /// most room first.
    pub(crate) fn ask(&mut self, candidate: &Candidate, workers: Vec<Incarnation>, now: u64) {
        if self.advice_pending {
            return;
        }
        let Some(entry) = self.jobs.get_mut(&candidate.id) else { return };
        let place = (candidate.occurrence, candidate.step);
        let clearance = entry.clearances.entry(place).or_default();
        let open = workers.into_iter().filter(|worker| clearance.is_open(worker, now));
        let workers: Vec<Incarnation> = open.take(ASKED).collect();
        if workers.is_empty() {
            return;
        }
        let (job, (occurrence, step)) = (candidate.id.clone(), place);
        let question = Question { job, occurrence, step, workers };
        self.advice_pending = true;
        self.outputs.push(Output::Ask { question });
    }
}
