//! What stands in a line about work that waits, after its cause.

use quincewheel_job::{Incarnation, Worker};

use crate::cause::Cause;
use crate::close_reason::CloseReason;
use crate::entry::Entry;
use crate::owner::Owner;
use crate::waits::{Group, Wait};

/// Most names in one line.
const NAMES: usize = 8;

impl Owner {
    /// What an operator should look at.
    pub(crate) fn wait_detail(&self, group: &Group, wait: &Wait, now: u64) -> String {
        let Some(entry) = self.jobs.get(&group.0) else { return String::new() };
        let (room, whole) = wait.room;
        let room = format!("room for {room} of {}, for {whole} if nothing ran", wait.tasks);
        let label = entry.job.steps.get(group.2 as usize).map_or("", |step| &step.label);
        let closed = self.not_open(&self.pool_of(entry), label);
        let shut = match closed.is_empty() {
            true => String::new(),
            false => format!("; not open: {}", list(closed.clone())),
        };
        match wait.cause {
            Cause::Unsettled => String::new(),
            Cause::Remains => format!("at {}", list(remains(entry, group))),
            Cause::Unconfigured => format!("nothing is guaranteed yet; {room}{shut}"),
            Cause::Pool => self.pool_of(entry),
            Cause::Label => format!("{label} in pool {}", self.pool_of(entry)),
            Cause::Closed => list(closed),
            Cause::Few | Cause::Room | Cause::Spared | Cause::Rack | Cause::Apart => {
                format!("{room}{shut}")
            }
            Cause::Reserved => reserved(entry, group, now),
            Cause::Clearance => self.clearance(entry, group, now),
            Cause::Avoided => format!("failed at {}", list(self.failed_at(entry, group, now))),
        }
    }

    /// Workers that take nothing new, and why.
    fn not_open(&self, pool: &str, label: &str) -> Vec<String> {
        let labelled =
            |worker: &Worker| label.is_empty() || worker.labels.iter().any(|l| l == label);
        let allowed = |worker: &Worker| worker.pool == pool && labelled(worker);
        let agents =
            self.agents.iter().filter(|(_, agent)| agent.worker.as_ref().is_some_and(allowed));
        agents
            .filter_map(|(name, agent)| {
                Some((name, CloseReason::of(agent, &self.settings, self.now)?))
            })
            .map(|(name, lack)| format!("{name} {}", lack.name()))
            .collect()
    }

    /// The agents of workers at which tasks of the step have failed.
    fn failed_at(&self, entry: &Entry, (_, occurrence, step): &Group, now: u64) -> Vec<String> {
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

    /// What is known of where the step may run.
    fn clearance(&self, entry: &Entry, (_, occurrence, step): &Group, now: u64) -> String {
        let asking = if self.advice_pending { "a question is out" } else { "no question is out" };
        let known = entry.clearances.get(&(*occurrence, *step));
        let (barred, cleared) = known.map_or((0, 0), |clearance| clearance.counts(now));
        format!("{asking}; may not run at {barred}, cleared for {cleared}")
    }
}

/// The agents of workers at which a step's tasks may run.
fn remains(entry: &Entry, (_, occurrence, step): &Group) -> Vec<String> {
    let tasks = (*occurrence, *step, 0)..=(*occurrence, *step, u32::MAX);
    entry.runs.range(tasks).map(|(_, placed)| placed.agent.clone()).collect()
}

fn reserved(entry: &Entry, (_, occurrence, step): &Group, now: u64) -> String {
    let Some(reservation) = entry.reservations.get(&(*occurrence, *step)) else {
        return String::new();
    };
    let since = now.saturating_sub(reservation.made_at);
    format!("at {}, since {since} ms", list(reservation.agents.clone()))
}

/// Names in a line, the first few of them.
pub(crate) fn list(mut names: Vec<String>) -> String {
    names.dedup();
    let more = names.len().saturating_sub(NAMES);
    names.truncate(NAMES);
    let names = names.join(", ");
    if more > 0 { format!("{names} and {more} more") } else { names }
}
