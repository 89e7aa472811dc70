//! Details of log lines about waiting steps: what follows the cause.

use quincewheel_job::{Incarnation, Worker};
use quincewheel_wire::Refused;

use crate::cause::Cause;
use crate::close_reason::CloseReason;
use crate::entry::Entry;
use crate::owner::{Owner, task};
use crate::waits::{StepKey, Wait};

/// Most names in one log line.
const MAX_LISTED_NAMES: usize = 8;

impl Owner {
    /// Formats what an operator should check, depending on the cause of the wait.
    pub(crate) fn wait_detail(&self, step_key: &StepKey, wait: &Wait, now: u64) -> String {
        let Some(entry) = self.jobs.get(&step_key.0) else { return String::new() };
        let (room, whole) = wait.room;
        let room = format!("room for {room} of {}, for {whole} if nothing ran", wait.tasks);
        let label = entry.job.steps.get(step_key.2 as usize).map_or("", |step| &step.label);
        let closed = self.closed_workers(&self.pool_of(entry), label);
        let not_open = match closed.is_empty() {
            true => String::new(),
            false => format!("; not open: {}", list(closed.clone())),
        };
        match wait.cause {
            Cause::Unsettled => String::new(),
            Cause::Remains => format!("at {}", list(remains(entry, step_key))),
            Cause::Unconfigured => format!("nothing is guaranteed yet; {room}{not_open}"),
            Cause::Pool => self.pool_of(entry),
            Cause::Label => format!("{label} in pool {}", self.pool_of(entry)),
            Cause::Closed => list(closed),
            Cause::Few | Cause::Room | Cause::Spared | Cause::Rack | Cause::Apart => {
                format!("{room}{not_open}")
            }
            Cause::Share => format!("{}; {room}{not_open}", self.share_detail(entry)),
            Cause::Claimed => {
                format!("{}; {room}{not_open}", self.claims.detail(&self.pool_of(entry), now))
            }
            Cause::Reserved => reserved(entry, step_key, now),
            Cause::Clearance => self.clearance_detail(entry, step_key, now),
            Cause::Refused => refused_detail(entry, step_key, now),
            Cause::Doubted => self.doubted_detail(entry, step_key, now),
            Cause::Avoided => format!("failed at {}", list(self.failed_at(entry, step_key, now))),
            Cause::Unconfirmed => format!(
                "a run was taken for over {} ms ago, the table confirmed the ownership {} ms ago",
                now.saturating_sub(entry.assumed_over_at),
                now.saturating_sub(self.confirmed_at),
            ),
            Cause::Unrecorded | Cause::Suspect => {
                format!("may have crashed workers: {}", list(suspects(entry, &step_key.0)))
            }
            Cause::Paused => self.pause_detail(now),
            Cause::Unplanned => "no round has found the step".to_owned(),
        }
    }

    /// Returns the closed workers that the step could otherwise use, and why they are closed.
    fn closed_workers(&self, pool: &str, label: &str) -> Vec<String> {
        let labelled =
            |worker: &Worker| label.is_empty() || worker.labels.iter().any(|l| l == label);
        let allowed = |worker: &Worker| worker.pool == pool && labelled(worker);
        let agents =
            self.agents.iter().filter(|(_, agent)| agent.worker.as_ref().is_some_and(allowed));
        agents
            .filter_map(|(name, agent)| {
                Some((name, CloseReason::of(agent, &self.settings, self.now)?))
            })
            .map(|(name, reason)| format!("{name} {}", reason.name()))
            .collect()
    }

    /// Returns the agents of workers to which tasks of the step must not return after a failure.
    fn failed_at(&self, entry: &Entry, (_, occurrence, step): &StepKey, now: u64) -> Vec<String> {
        let slots = (*occurrence, *step, 0)..=(*occurrence, *step, u32::MAX);
        let failed = |worker: &Incarnation| {
            let mut slots = entry.avoided_workers.range(slots.clone()).map(|(_, workers)| workers);
            slots.any(|workers| workers.get(worker).is_some_and(|until| now < *until))
        };
        let agents = self.agents.iter();
        let agents = agents
            .filter(|(_, agent)| agent.worker.as_ref().is_some_and(|w| failed(&w.incarnation())));
        agents.map(|(name, _)| name.clone()).collect()
    }

    /// Formats why planning is paused.
    fn pause_detail(&self, now: u64) -> String {
        match self.operators_overdue(now) {
            _ if self.superseded => "an agent follows a later owner".to_owned(),
            Some(ms) => format!("operators not heard for {ms} ms"),
            None => String::new(),
        }
    }

    /// Formats for how many workers the step is cleared, and whether a request is in flight.
    fn clearance_detail(&self, entry: &Entry, (_, occurrence, step): &StepKey, now: u64) -> String {
        let asking = if self.service.pending { "a question is out" } else { "no question is out" };
        let known = entry.clearances.get(&(*occurrence, *step)).cloned().unwrap_or_default();
        format!("{asking}; {}", known.detail(now))
    }
}

/// Returns the agents of workers at which runs of the step may exist.
fn remains(entry: &Entry, (_, occurrence, step): &StepKey) -> Vec<String> {
    let tasks = (*occurrence, *step, 0)..=(*occurrence, *step, u32::MAX);
    entry.runs.range(tasks).map(|(_, placed)| placed.agent.clone()).collect()
}

/// Formats why starts of a step were refused, and when the next is ordered.
fn refused_detail(entry: &Entry, (_, occurrence, step): &StepKey, now: u64) -> String {
    let Some(refusals) = entry.refused_starts.get(&(*occurrence, *step)) else {
        return String::new();
    };
    let why = refusals.why.map_or("", Refused::name);
    let next = refusals.until.saturating_sub(now);
    format!("{why}, {} in a row; the next in {next} ms", refusals.count)
}

/// Returns the tasks of the job that may have crashed workers.
fn suspects(entry: &Entry, id: &str) -> Vec<String> {
    let slots = entry.progress.suspected_tasks().into_iter();
    slots.map(|slot| task(id, slot).to_string()).collect()
}

/// Formats where capacity is reserved for a step, and since when.
fn reserved(entry: &Entry, (_, occurrence, step): &StepKey, now: u64) -> String {
    let Some(reservation) = entry.reservations.get(&(*occurrence, *step)) else {
        return String::new();
    };
    let since = now.saturating_sub(reservation.made_at);
    format!("at {}, since {since} ms", list(reservation.agents.clone()))
}

/// Joins the first [`MAX_LISTED_NAMES`] names and the number of the others.
pub(crate) fn list(mut names: Vec<String>) -> String {
    names.dedup();
    let more = names.len().saturating_sub(MAX_LISTED_NAMES);
    names.truncate(MAX_LISTED_NAMES);
    let names = names.join(", ");
    if more > 0 { format!("{names} and {more} more") } else { names }
}
