use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_pool::JobId;
use quincewheel_wire::{Answer, Attempt, Job, Outcome, Report, Task};

use crate::context::Waiter;

/// What the owner knows of one job.
pub(crate) struct Record {
    pub id: JobId,
    pub job: Job,
    pub arrived: Duration,
    /// When nobody wants the outcome any more; a waiting job is given up then.
    pub until: Duration,
    pub phase: Phase,
    /// Attempts that may have started.
    pub attempts: u32,
    /// Workers that an attempt failed on.
    pub avoid: Vec<String>,
    /// What the table holds, or will once the ledger's queue is written.
    pub stored: Option<Stored>,
    pub waiters: Vec<Waiting>,
    /// The last attempt's members, to be told to forget it.
    pub last: Option<(Attempt, Vec<String>)>,
}

/// A caller that waits for the outcome.
pub(crate) struct Waiting {
    pub waiter: Waiter,
    pub until: Duration,
}

/// State of the job's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Stored {
    Queued,
    Started,
    Final,
}

/// Where a job stands.
pub(crate) enum Phase {
    /// Its row is being written; its caller does not wait for the outcome.
    Accepting,
    /// It waits for accelerators.
    Queued,
    /// An attempt is on its way or running.
    Tried(Try),
    /// The outcome is known. It is `told` before it is `recorded` only if no
    /// later owner could act against it.
    Final { outcome: Outcome, at: Duration, recorded: bool, told: bool },
}

/// One attempt, as the owner sees it.
pub(crate) struct Try {
    pub attempt: Attempt,
    pub step: Step,
    pub since: Duration,
    /// Members by rank of their lowest task.
    pub order: Vec<String>,
    pub parts: BTreeMap<String, Part>,
    pub stopping: Option<Why>,
    /// When the request to stop is repeated.
    pub repeat: Duration,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Step {
    /// Members are granting.
    Preparing,
    /// The start is being recorded. It may be recorded already.
    Committing,
    /// Members were told to go, or may have been.
    Started,
}

/// Why an attempt is being stopped.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Why {
    /// Its caller cancelled it.
    Cancelled,
    /// A guarantee needs its accelerators.
    Reclaimed,
    /// The start could not be recorded.
    Unrecorded,
    /// The deadline passed before it started.
    Late,
    /// The gang is not whole.
    Broken,
}

/// What the owner knows of one member's part.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Part {
    /// Asked to grant, or not heard since a takeover.
    Unknown,
    /// Granted.
    Prepared,
    /// Running.
    Running,
    /// Ended.
    Ended(Report),
}

impl Record {
    /// The outcome or state to tell a caller now.
    pub fn outcome(&self) -> Outcome {
        match &self.phase {
            Phase::Accepting | Phase::Queued => Outcome::Queued,
            Phase::Tried(Try { step: Step::Started, .. }) => Outcome::Started,
            Phase::Tried(_) => Outcome::Queued,
            Phase::Final { recorded: false, told: false, .. } => Outcome::Queued,
            Phase::Final { outcome, .. } => outcome.clone(),
        }
    }

    pub fn answer(&self) -> Answer {
        Answer::Job { outcome: self.outcome(), attempts: self.attempts }
    }

    pub fn key(&self) -> (String, String) {
        (self.job.team.clone(), self.job.request.clone())
    }

    /// True if any attempt may have started, under this owner or an earlier.
    pub fn may_have_run(&self) -> bool {
        self.attempts > 0 || self.job.again
    }

    /// The outcome of a cancellation when no attempt is on its way.
    pub fn cancelled(&self) -> Outcome {
        if self.may_have_run() { Outcome::CancelledStopped } else { Outcome::CancelledNotRun }
    }

    pub fn attempt(&self) -> Option<&Try> {
        match &self.phase {
            Phase::Tried(attempt) => Some(attempt),
            _ => None,
        }
    }

    pub fn attempt_mut(&mut self) -> Option<&mut Try> {
        match &mut self.phase {
            Phase::Tried(attempt) => Some(attempt),
            _ => None,
        }
    }
}

impl Try {
    pub fn new(attempt: Attempt, step: Step, now: Duration, order: Vec<String>) -> Try {
        let parts = order.iter().map(|worker| (worker.clone(), Part::Unknown)).collect();
        Try { attempt, step, since: now, order, parts, stopping: None, repeat: Duration::MAX }
    }

    /// An attempt that an agent reported and nobody here made.
    pub fn adopted(task: &Task, now: Duration) -> Try {
        let order = task.members.iter().map(|(worker, _)| worker.clone()).collect();
        Try::new(task.attempt, Step::Started, now, order)
    }

    pub fn all(&self, wanted: impl Fn(&Part) -> bool) -> bool {
        self.parts.values().all(wanted)
    }

    pub fn any(&self, wanted: impl Fn(&Part) -> bool) -> bool {
        self.parts.values().any(wanted)
    }

    pub fn ended(&self) -> bool {
        self.all(|part| matches!(part, Part::Ended(_)))
    }

    /// Reports by rank, once all have ended.
    pub fn reports(&self) -> Vec<&Report> {
        let report = |worker| match self.parts.get(worker) {
            Some(Part::Ended(report)) => Some(report),
            _ => None,
        };
        self.order.iter().filter_map(report).collect()
    }
}

impl Part {
    pub fn live(&self) -> bool {
        !matches!(self, Part::Ended(_))
    }
}
