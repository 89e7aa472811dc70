use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Advice, Config, Job, Queue, Resources};

use crate::estimator::Estimator;
use crate::owner::Owner;

/// The queues as the configuration in force defines them, and the last definitions of those that it
/// no longer has.
///
/// A job keeps the terms under which it was accepted. Where it runs and what the workers and the
/// clearance service demand follows its queue as it is now, and is asked here only:
/// docs/design/queues.md says which field is which, and why.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queues {
    definitions: BTreeMap<String, Definition>,
    /// Whether any configuration has come into force. Until then no queue counts as removed.
    configured: bool,
    /// Queues of which a worker has demanded tickets although none were thought to be needed.
    demanded: BTreeSet<String>,
    /// Removed queues that had needed tickets and for which the service gives none any more.
    waived: BTreeSet<String>,
}

#[derive(Clone, Debug)]
struct Definition {
    queue: Queue,
    /// Whether the configuration in force has the queue.
    in_force: bool,
}

impl Queues {
    /// Applies a configuration. Returns the queues that have come or gone, or whose pool or clearance
    /// has changed.
    pub fn apply(&mut self, config: &Config) -> BTreeSet<String> {
        self.configured = true;
        let mut changed = BTreeSet::new();
        for (name, known) in &mut self.definitions {
            let removed = known.in_force && !config.queues.contains_key(name);
            known.in_force &= !removed;
            changed.extend(removed.then(|| name.clone()));
        }
        for (name, queue) in &config.queues {
            let definition = Definition { queue: queue.clone(), in_force: true };
            let known = self.definitions.insert(name.clone(), definition);
            if !known.is_some_and(|known| known.in_force && runs_alike(&known.queue, queue)) {
                changed.insert(name.clone());
            }
        }
        self.demanded.retain(|name| !changed.contains(name));
        self.waived.retain(|name| !changed.contains(name));
        changed
    }

    /// Adds definitions that a former owner knew, of queues that this one has not seen.
    pub fn restore(&mut self, former: &BTreeMap<String, Queue>) {
        for (name, queue) in former {
            let definition = Definition { queue: queue.clone(), in_force: false };
            self.definitions.entry(name.clone()).or_insert(definition);
        }
    }

    /// Forgets removed queues that no job names any more.
    pub fn retain_removed(&mut self, is_named: impl Fn(&str) -> bool) {
        self.definitions.retain(|name, known| known.in_force || is_named(name));
    }

    /// Returns the definition of a job's queue, if it differs from the job's copy in where the job
    /// runs or what it needs for that. A later owner could not know it once the queue is removed.
    pub fn changed_definition(&self, job: &Job) -> Option<&Queue> {
        let known = self.definitions.get(&job.queue.name).map(|known| &known.queue);
        known.filter(|queue| !runs_alike(queue, &job.queue))
    }

    /// Returns the pool that runs a job.
    pub fn pool<'a>(&'a self, job: &'a Job) -> &'a str {
        &self.current(job).pool
    }

    /// Returns the stated times of the service that clears a job's steps, if they are known.
    pub fn advice(&self, job: &Job) -> Option<Advice> {
        self.current(job).advice
    }

    /// Returns whether a job's steps need tickets.
    pub fn needs_tickets(&self, job: &Job) -> bool {
        let name = &job.queue.name;
        let waived = || !self.is_in_force(name) && self.waived.contains(name);
        self.demanded.contains(name) || (self.advice(job).is_some() && !waived())
    }

    /// Records that a worker has demanded a ticket for a task of the job. It may know a later
    /// configuration, or an earlier one. Returns whether that is news.
    pub fn record_demand(&mut self, job: &Job) -> bool {
        if self.needs_tickets(job) {
            return false;
        }
        self.waived.remove(&job.queue.name);
        self.demanded.insert(job.queue.name.clone())
    }

    /// Records that the service gives no tickets for a step of the job. Where the configuration in force
    /// does not demand any, the job's tasks are started without. Returns whether that is news.
    pub fn record_no_tickets(&mut self, job: &Job) -> bool {
        let name = &job.queue.name;
        let demanded_by_config = self.is_in_force(name) && self.advice(job).is_some();
        if !self.configured || demanded_by_config || !self.needs_tickets(job) {
            return false;
        }
        self.demanded.remove(name);
        self.waived.insert(name.clone());
        true
    }

    /// Formats where jobs of a queue run and what they need for that.
    pub fn detail(&self, name: &str) -> String {
        let Some(Definition { queue, in_force }) = self.definitions.get(name) else {
            return "removed".to_owned();
        };
        let clearance = match queue.advice {
            Some(Advice { decide, each, valid }) => {
                format!("clearance in {decide} ms and {each} a worker for {valid} ms")
            }
            None => "no clearance".to_owned(),
        };
        let removed = if *in_force { "" } else { "removed; was " };
        format!("{removed}pool {}, {clearance}", queue.pool)
    }

    fn is_in_force(&self, name: &str) -> bool {
        self.definitions.get(name).is_some_and(|known| known.in_force)
    }

    /// Returns the queue of a job as it is now, or was last.
    fn current<'a>(&'a self, job: &'a Job) -> &'a Queue {
        self.definitions.get(&job.queue.name).map_or(&job.queue, |known| &known.queue)
    }
}

/// Returns whether jobs run in the same pool and with the same clearance under both definitions.
fn runs_alike(known: &Queue, queue: &Queue) -> bool {
    known.pool == queue.pool && known.advice == queue.advice
}

impl Owner {
    /// Applies the queues of the configuration that has just come into force.
    pub(crate) fn update_queues(&mut self) {
        let changed = self.queues.apply(&self.config);
        let named: BTreeSet<&str> =
            self.jobs.values().map(|entry| entry.job.queue.name.as_str()).collect();
        self.queues.retain_removed(|name| named.contains(name));
        let mut affected: BTreeMap<String, usize> = BTreeMap::new();
        for entry in self.jobs.values_mut() {
            let name = &entry.job.queue.name;
            if changed.contains(name) {
                // Another policy may allow other workers, and demand other tickets.
                entry.clearances.clear();
                entry.refused_starts.clear();
                *affected.entry(name.clone()).or_default() += 1;
            }
        }
        for (name, jobs) in affected {
            let detail = format!("{name}, {jobs} unfinished jobs: {}", self.queues.detail(&name));
            self.log("queue changed", "", detail);
        }
        self.update_changed_queues();
    }

    /// Notes how a job's queue has changed since it was accepted, for a later owner.
    pub(crate) fn record_changed_queue(&mut self, id: &str) {
        let job = self.jobs.get(id).map(|entry| &entry.job);
        if job.is_some_and(|job| self.queues.changed_definition(job).is_some()) {
            self.update_changed_queues();
        }
    }

    fn update_changed_queues(&mut self) {
        let jobs = self.jobs.values().map(|entry| &entry.job);
        let changed = jobs.filter_map(|job| self.queues.changed_definition(job));
        let changed: BTreeMap<String, Queue> =
            changed.map(|queue| (queue.name.clone(), queue.clone())).collect();
        if changed != *self.changed_queues.get() {
            *self.changed_queues.update() = changed;
        }
    }

    /// Returns an estimator for these pools.
    pub(crate) fn estimator<'a>(&'a self, pools: &'a BTreeMap<String, Resources>) -> Estimator<'a> {
        Estimator { times: self.times.get(), pools, queues: &self.queues }
    }
}
