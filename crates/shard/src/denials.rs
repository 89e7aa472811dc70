//! Answers that deny: "it did not run", "there is no such job".
//!
//! Only the shard's owner knows that a job did not run, and an owner that was
//! replaced may not have noticed yet: it was frozen, or cut off. If its caller
//! tried the same request at another entry meanwhile, the new owner may have
//! run it. So a denial waits until a transaction that was sent after the denial
//! was decided has succeeded, which only the owner's does. No clock is trusted.
//!
//! While the table is down nothing can be confirmed. Then a caller that vouches
//! that it tries for the first time is told at once that its job did not run:
//! nobody else can have heard of it. Others are told at once that the call was
//! not taken up, which says nothing about their earlier tries.

use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Job, Outcome, Refusal};

use crate::context::{Context, Waiter};
use crate::owner::Owner;

/// A denial that waits for its confirmation.
pub(crate) struct Denial {
    since: Duration,
    waiter: Waiter,
    answer: Answer,
}

/// What a denial can rest on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Proof {
    /// The caller vouches that there was no other try.
    Vouched,
    /// Any run would have left a record.
    Record,
    /// An earlier owner may have run it without a record.
    None,
}

impl Proof {
    /// What denials about this job rest on.
    pub fn about(job: &Job) -> Proof {
        match (job.first && !job.again, job.recorded()) {
            (true, _) => Proof::Vouched,
            (false, true) => Proof::Record,
            (false, false) => Proof::None,
        }
    }
}

/// Most denials that wait; more are answered as not taken up.
const MOST: usize = 8192;

impl Owner {
    /// Gives an answer, once it is confirmed if it is a denial.
    pub(crate) fn say(&mut self, cx: &mut Context, waiter: &Waiter, answer: Answer, by: Proof) {
        if by == Proof::Vouched || !denies(&answer) {
            cx.answer(waiter, answer);
        } else if by == Proof::None {
            let text = "it does not run now; whether an earlier try ran is not known, since \
                        idempotent jobs that are waited for leave no record";
            cx.unavailable(waiter, text);
        } else if self.store_down(cx) || self.denials.len() >= MOST {
            self.say_nothing(cx, waiter);
        } else {
            let denial = Denial { since: cx.now, waiter: waiter.clone(), answer };
            self.denials.push(denial);
        }
    }

    /// Tells where a job stands.
    pub(crate) fn say_job(&mut self, cx: &mut Context, id: JobId, waiter: &Waiter) {
        let record = &self.jobs[&id];
        let (answer, proof) = (record.answer(), Proof::about(&record.job));
        self.say(cx, waiter, answer, proof);
    }

    /// Gives the denials that a transaction sent at `sent` confirms.
    pub(crate) fn confirm_denials(&mut self, cx: &mut Context, sent: Duration) {
        let (confirmed, waiting): (Vec<Denial>, Vec<Denial>) =
            std::mem::take(&mut self.denials).into_iter().partition(|d| d.since <= sent);
        self.denials = waiting;
        for denial in confirmed {
            cx.answer(&denial.waiter, denial.answer);
        }
    }

    /// Nothing can be confirmed now.
    pub(crate) fn give_up_denials(&mut self, cx: &mut Context) {
        for denial in std::mem::take(&mut self.denials) {
            self.say_nothing(cx, &denial.waiter);
        }
    }

    fn say_nothing(&self, cx: &mut Context, waiter: &Waiter) {
        let text = "the table service does not answer, so the call was not taken up and nothing \
                    can be said about earlier tries; ask again with the same request id";
        cx.unavailable(waiter, text);
    }
}

fn denies(answer: &Answer) -> bool {
    match answer {
        Answer::Job { outcome, .. } => {
            matches!(outcome, Outcome::NotRun { .. } | Outcome::CancelledNotRun)
        }
        Answer::Refused(refusal) => matches!(refusal, Refusal::NotFound { .. }),
        _ => false,
    }
}
