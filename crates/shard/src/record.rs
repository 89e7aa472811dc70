use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Attempt, Job, Outcome, Report, Task};

use crate::context::Waiter;

/// The owner's state of one job.
pub(crate) struct Record {
    pub id: JobId,
    pub job: Job,
    pub arrived_at: Duration,
    /// When the job's last caller stops waiting; a queued job is given up then.
    pub expires_at: Duration,
    pub phase: Phase,
    /// Number of attempts that may have started.
    pub attempts: u32,
    /// Workers on which an attempt failed.
    pub avoided_workers: Vec<String>,
    /// State of the job's row, including writes still queued in the ledger.
    pub row_state: Option<RowState>,
    pub waiters: Vec<JobWaiter>,
    /// The last attempt and its members, which receive a Forget frame.
    pub last_attempt: Option<(Attempt, Vec<String>)>,
}

/// A caller that waits for the outcome.
pub(crate) struct JobWaiter {
    pub waiter: Waiter,
    pub expires_at: Duration,
}

/// State of a job's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RowState {
    Queued,
    Started,
    Final,
}

/// Phase of a job.
pub(crate) enum Phase {
    /// Its row is being written; its caller does not wait for the outcome.
    Accepting,
    /// Waits for accelerators.
    Queued,
    /// An attempt is being prepared, started, run or stopped.
    Attempted(AttemptState),
    /// The outcome is known. It is `reportable` before it is `recorded` only if no
    /// later owner could contradict it.
    Final { outcome: Outcome, ended_at: Duration, recorded: bool, reportable: bool },
}

/// The owner's state of one attempt.
pub(crate) struct AttemptState {
    pub attempt: Attempt,
    pub step: Step,
    /// When the attempt was created, or when Go was last sent.
    pub updated_at: Duration,
    /// Members, ordered by the rank of their lowest task.
    pub workers_by_rank: Vec<String>,
    pub members: BTreeMap<String, MemberState>,
    pub stop_reason: Option<StopReason>,
    /// When the request to stop is sent again.
    pub stop_retry_at: Duration,
}

/// Progress of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Members are asked to grant their accelerators.
    Preparing,
    /// The start is being recorded, and may be already.
    Committing,
    /// Go was sent to the members, or may have been.
    Started,
}

/// Why an attempt is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopReason {
    /// Its caller cancelled it.
    Cancelled,
    /// Preempted: a guarantee needs its accelerators.
    Reclaimed,
    /// The start could not be recorded.
    Unrecorded,
    /// The deadline passed before it started.
    Expired,
    /// A member of the gang is missing or failed.
    Incomplete,
}

/// State of one member's part of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum MemberState {
    /// Asked to grant, or not connected since a takeover.
    Unknown,
    /// Granted its accelerators.
    Prepared,
    /// Received Go, or runs.
    Running,
    /// Ended with this report.
    Ended(Report),
}

impl Record {
    /// Returns the outcome or state that callers receive at present.
    pub fn outcome(&self) -> Outcome {
        match &self.phase {
            Phase::Accepting | Phase::Queued => Outcome::Queued,
            Phase::Attempted(AttemptState { step: Step::Started, .. }) => Outcome::Started,
            Phase::Attempted(_) => Outcome::Queued,
            Phase::Final { recorded: false, reportable: false, .. } => Outcome::Queued,
            Phase::Final { outcome, .. } => outcome.clone(),
        }
    }

    pub fn answer(&self) -> Answer {
        Answer::Job { outcome: self.outcome(), attempts: self.attempts }
    }

    pub fn key(&self) -> (String, String) {
        (self.job.team.clone(), self.job.request.clone())
    }

    /// Returns true if any attempt may have started, under this owner or an earlier
    /// one.
    pub fn may_have_run(&self) -> bool {
        self.attempts > 0 || self.job.again
    }

    /// Returns the outcome of a cancellation while there is no attempt.
    pub fn cancelled_outcome(&self) -> Outcome {
        if self.may_have_run() { Outcome::CancelledStopped } else { Outcome::CancelledNotRun }
    }

    pub fn attempt(&self) -> Option<&AttemptState> {
        match &self.phase {
            Phase::Attempted(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub fn attempt_mut(&mut self) -> Option<&mut AttemptState> {
        match &mut self.phase {
            Phase::Attempted(attempt) => Some(attempt),
            _ => None,
        }
    }
}

impl AttemptState {
    pub fn new(
        attempt: Attempt,
        step: Step,
        now: Duration,
        workers_by_rank: Vec<String>,
    ) -> AttemptState {
        let members =
            workers_by_rank.iter().map(|worker| (worker.clone(), MemberState::Unknown)).collect();
        AttemptState {
            attempt,
            step,
            updated_at: now,
            workers_by_rank,
            members,
            stop_reason: None,
            stop_retry_at: Duration::MAX,
        }
    }

    /// Creates the state of an attempt that an earlier owner started and an agent
    /// reported.
    pub fn adopted(task: &Task, now: Duration) -> AttemptState {
        let workers_by_rank = task.members.iter().map(|(worker, _)| worker.clone()).collect();
        AttemptState::new(task.attempt, Step::Started, now, workers_by_rank)
    }

    pub fn all(&self, predicate: impl Fn(&MemberState) -> bool) -> bool {
        self.members.values().all(predicate)
    }

    pub fn any(&self, predicate: impl Fn(&MemberState) -> bool) -> bool {
        self.members.values().any(predicate)
    }

    pub fn has_ended(&self) -> bool {
        self.all(|state| matches!(state, MemberState::Ended(_)))
    }

    /// Returns the members' reports by rank, once all have ended.
    pub fn reports(&self) -> Vec<&Report> {
        let report = |worker| match self.members.get(worker) {
            Some(MemberState::Ended(report)) => Some(report),
            _ => None,
        };
        self.workers_by_rank.iter().filter_map(report).collect()
    }
}

impl MemberState {
    pub fn is_live(&self) -> bool {
        !matches!(self, MemberState::Ended(_))
    }
}
