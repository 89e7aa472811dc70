use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_wire::{Inventory, LinkId, Phase, Report, Task};

use crate::input::End;

/// An attempt that holds accelerators here, or whose end is not acknowledged.
pub(crate) struct Held {
    pub task: Task,
    pub state: State,
    /// When the owner is asked or told again.
    pub repeat: Duration,
    /// Ends by rank.
    pub ends: BTreeMap<u32, End>,
    /// When each other member was last heard; the first member watches all,
    /// the others watch the first.
    pub heard: BTreeMap<String, Duration>,
    pub next_pulse: Duration,
    /// Connections to other members.
    pub links: BTreeMap<String, LinkId>,
}

/// Where an attempt stands here.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum State {
    /// Granted, not started.
    Prepared,
    /// Started.
    Running,
    /// Being stopped; killed if it does not end by then.
    Stopping { reason: String, kill: Duration },
    /// Ended, not acknowledged.
    Ended(Report),
}

impl Held {
    pub fn new(task: Task, state: State, now: Duration) -> Held {
        Held {
            task,
            state,
            repeat: now,
            ends: BTreeMap::new(),
            heard: BTreeMap::new(),
            next_pulse: now,
            links: BTreeMap::new(),
        }
    }

    /// True while it holds accelerators.
    pub fn live(&self) -> bool {
        !matches!(self.state, State::Ended(_))
    }

    /// True while it runs or has run to its end here.
    pub fn sound(&self) -> bool {
        matches!(self.state, State::Running | State::Ended(Report::Done { .. }))
    }

    pub fn gang(&self) -> bool {
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

    /// The report that the ends of all ranks make, once all have ended.
    pub fn report(&self) -> Option<Report> {
        if self.ends.len() < self.task.ranks.len() {
            return None;
        }
        let why = match &self.state {
            State::Stopping { reason, .. } => reason.clone(),
            _ => "stopped at the endpoint".to_owned(),
        };
        let first = self.ends.values().next()?;
        let worst = self.ends.values().find(|end| !matches!(end, End::Done { .. }));
        Some(match worst.unwrap_or(first) {
            End::Done { result, object, digest } => Report::Done {
                result: result.clone(),
                object: object.clone(),
                digest: digest.clone(),
            },
            End::Failed(reason) => Report::Failed { reason: reason.clone() },
            End::Stopped => Report::Stopped { reason: why },
            End::Lost(reason) => Report::Lost { reason: reason.clone() },
        })
    }
}
