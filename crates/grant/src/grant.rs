use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_wire::{Inventory, LinkId, Phase, Report, Task};

use crate::input::End;

/// An attempt that holds accelerators of this worker, or whose end the owner has not acknowledged.
pub(crate) struct Grant {
    pub task: Task,
    pub state: State,
    /// When the next frame about this attempt is sent to the owner again.
    pub resend_at: Duration,
    /// How the ranks that have ended did so.
    pub ends: BTreeMap<u32, End>,
    /// When other members of the gang last sent a frame. The first member watches all others, and
    /// they watch the first.
    pub last_seen: BTreeMap<String, Duration>,
    pub next_pulse: Duration,
    /// Connections to other members.
    pub links: BTreeMap<String, LinkId>,
}

/// The state of an attempt at this worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Granted, not started.
    Prepared,
    /// Started at the endpoint.
    Running,
    /// Being stopped. If it has not ended at `kill_at`, it is stopped without grace.
    Stopping { reason: String, kill_at: Duration },
    /// Ended. The owner has not acknowledged the report.
    Ended(Report),
}

impl Grant {
    pub fn new(task: Task, state: State, now: Duration) -> Grant {
        Grant {
            task,
            state,
            resend_at: now,
            ends: BTreeMap::new(),
            last_seen: BTreeMap::new(),
            next_pulse: now,
            links: BTreeMap::new(),
        }
    }

    /// Whether it holds accelerators.
    pub fn is_active(&self) -> bool {
        !matches!(self.state, State::Ended(_))
    }

    /// Whether it runs or has completed here, so that the gang is not broken by it.
    pub fn is_sound(&self) -> bool {
        matches!(self.state, State::Running | State::Ended(Report::Done { .. }))
    }

    pub fn is_gang(&self) -> bool {
        self.task.members.len() > 1
    }

    pub fn inventory(&self) -> Inventory {
        let phase = match &self.state {
            State::Prepared => Phase::Prepared,
            State::Running | State::Stopping { .. } => Phase::Running,
            State::Ended(report) => Phase::Ended(report.clone()),
        };
        Inventory { task: self.task.clone(), phase }
    }

    /// Combines the ends of all ranks into a report, or returns `None` while any rank runs. A rank
    /// that did not complete decides the report.
    pub fn report(&self) -> Option<Report> {
        if self.ends.len() < self.task.ranks.len() {
            return None;
        }
        let stop_reason = match &self.state {
            State::Stopping { reason, .. } => reason.clone(),
            _ => "stopped at the endpoint".to_owned(),
        };
        let first = self.ends.values().next()?;
        let incomplete = self.ends.values().find(|end| !matches!(end, End::Done { .. }));
        Some(match incomplete.unwrap_or(first) {
            End::Done { result, object, digest } => Report::Done {
                result: result.clone(),
                object: object.clone(),
                digest: digest.clone(),
            },
            End::Failed(reason) => Report::Failed { reason: reason.clone() },
            End::Stopped => Report::Stopped { reason: stop_reason },
            End::Lost(reason) => Report::Lost { reason: reason.clone() },
        })
    }
}
