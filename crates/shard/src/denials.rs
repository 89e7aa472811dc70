//! Confirmation of answers such as "it did not run" and "there is no such job".
//!
//! Only the shard's owner knows that a job did not run, and a replaced owner may
//! not have noticed its replacement yet: it was frozen or cut off. If its caller
//! submitted the same request to another entry meanwhile, the new owner may have
//! run it. So a denial waits until a transaction that was sent after the denial was
//! decided has succeeded, which only the owner's does. It depends on no clock.
//!
//! While the table is down nothing can be confirmed. A caller that declares its
//! first submission is then answered at once that its job did not run, since no
//! other node has received it. Other callers are answered at once that the call was
//! not accepted, which implies nothing about their earlier submissions.

use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Job, Outcome, Refusal};

use crate::context::{Context, Waiter};
use crate::owner::Owner;

/// A denial that waits for confirmation.
pub(crate) struct Denial {
    decided_at: Duration,
    waiter: Waiter,
    answer: Answer,
}

/// What a denial is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Basis {
    /// The caller declares that it submits the request for the first time.
    FirstSubmission,
    /// Any run would have left a row.
    Record,
    /// An earlier owner may have run it without a row.
    None,
}

impl Basis {
    /// Returns the basis of denials about this job.
    pub fn of(job: &Job) -> Basis {
        match (job.first && !job.again, job.recorded()) {
            (true, _) => Basis::FirstSubmission,
            (false, true) => Basis::Record,
            (false, false) => Basis::None,
        }
    }
}

/// Denials that wait for confirmation; further ones are answered as unavailable.
const MAX_DENIALS: usize = 8192;

impl Owner {
    /// Sends an answer; a denial only once it is confirmed.
    pub(crate) fn reply(
        &mut self,
        cx: &mut Context,
        waiter: &Waiter,
        answer: Answer,
        basis: Basis,
    ) {
        if basis == Basis::FirstSubmission || !is_denial(&answer) {
            cx.answer(waiter, answer);
        } else if basis == Basis::None {
            let text = "it does not run now; whether an earlier try ran is not known, since \
                        idempotent jobs that are waited for leave no record";
            cx.unavailable(waiter, text);
        } else if self.is_store_down(cx) || self.denials.len() >= MAX_DENIALS {
            self.reply_unavailable(cx, waiter);
        } else {
            let denial = Denial { decided_at: cx.now, waiter: waiter.clone(), answer };
            self.denials.push(denial);
        }
    }

    /// Answers with the job's present state.
    pub(crate) fn reply_with_job(&mut self, cx: &mut Context, id: JobId, waiter: &Waiter) {
        let record = &self.jobs[&id];
        let (answer, basis) = (record.answer(), Basis::of(&record.job));
        self.reply(cx, waiter, answer, basis);
    }

    /// Sends the denials that a transaction sent at `sent_at` confirms.
    pub(crate) fn confirm_denials(&mut self, cx: &mut Context, sent_at: Duration) {
        let (confirmed, waiting): (Vec<Denial>, Vec<Denial>) =
            std::mem::take(&mut self.denials).into_iter().partition(|d| d.decided_at <= sent_at);
        self.denials = waiting;
        for denial in confirmed {
            cx.answer(&denial.waiter, denial.answer);
        }
    }

    /// Answers all waiting denials as unavailable, since none can be confirmed now.
    pub(crate) fn abandon_denials(&mut self, cx: &mut Context) {
        for denial in std::mem::take(&mut self.denials) {
            self.reply_unavailable(cx, &denial.waiter);
        }
    }

    fn reply_unavailable(&self, cx: &mut Context, waiter: &Waiter) {
        let text = "the table service does not answer, so the call was not taken up and nothing \
                    can be said about earlier tries; ask again with the same request id";
        cx.unavailable(waiter, text);
    }
}

fn is_denial(answer: &Answer) -> bool {
    match answer {
        Answer::Job { outcome, .. } => {
            matches!(outcome, Outcome::NotRun { .. } | Outcome::CancelledNotRun)
        }
        Answer::Refused(refusal) => matches!(refusal, Refusal::NotFound { .. }),
        _ => false,
    }
}
