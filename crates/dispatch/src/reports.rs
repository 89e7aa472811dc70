//! Applies the reports of agents to the owner's state.

use quincewheel_job::{Incarnation, Run, State, Task, Worker};
use quincewheel_wire::{Order, Refused};

use crate::entry::Key;
use crate::list::List;
use crate::owner::{Owner, task};
use crate::placement::{Phase, Placement};
use crate::refusals::Refusals;
use crate::starts::start_order;

impl Owner {
    /// Applies an agent's status: its worker, what runs there, and ends not yet acknowledged.
    ///
    pub(crate) fn on_status(
        &mut self,
        name: &str,
        worker: Option<Worker>,
        fenced: bool,
        list: &List<'_>,
        now: u64,
    ) {
        let List { running, ended, truncated, at, age } = *list;
        let listed_at = now.saturating_sub(age.unwrap_or(0));
        let crashed = |worker: &Worker| self.follows_crash(name, &worker.incarnation());
        if worker.as_ref().is_some_and(crashed) {
            self.attribute_crash(name);
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(worker) = worker else {
            agent.worker = None;
            agent.fenced = false;
            agent.no_worker_since.get_or_insert(now);
            return;
        };
        let from = worker.incarnation();
        let new_incarnation =
            agent.worker.as_ref().is_none_or(|known| !known.is_incarnation(&from));
        let restarted = new_incarnation && agent.worker.is_some();
        let previous = agent.worker.as_ref().map(Worker::incarnation).filter(|_| restarted);
        if new_incarnation {
            // A machine list requested before this incarnation started cannot name it.
            agent.unresponsive_since = None;
            agent.unverified = true;
            agent.last_end = 0;
            agent.acknowledged_end = 0;
            agent.consecutive_failures = 0;
            agent.deprioritized_until = 0;
            agent.refusals = Refusals::default();
            agent.shutdown_requested = false;
        }
        if restarted {
            agent.silent_ms = 0;
        }
        let changed = agent.worker.as_ref().is_some_and(|known| known.eligibility_differs(&worker));
        agent.zone_evacuated = self.evacuation.covers(&worker.zone);
        // Agents repeat the worker's last report, so the warm-up time counts from the first.
        if agent.worker.as_ref().is_none_or(|known| known.cold != worker.cold) || new_incarnation {
            agent.cold_until = now + worker.cold;
        }
        let first_answer = fenced && !agent.fenced;
        agent.no_worker_since = None;
        agent.worker_left = false;
        agent.worker = Some(worker);
        agent.fenced = fenced;
        agent.reconciled |= fenced && !truncated;
        let verified = fenced && std::mem::take(&mut agent.unverified);
        if fenced {
            agent.listed_at = listed_at;
            // The worker has answered since it was last reported as silent.
            agent.silent_ms = age.map_or(agent.silent_ms, |age| agent.silent_ms.min(age));
        }
        agent.list_truncated = truncated;
        agent.listed_runs = running.iter().map(|run| (run.task.clone(), run.number)).collect();
        self.replan |= !std::mem::take(&mut agent.strays).is_empty();
        // A worker that broke its connections is schedulable again once it answers.
        let recovered = fenced && agent.suspected_crash.is_some();
        if restarted || first_answer || changed || recovered {
            self.replan = true;
        }
        previous.iter().for_each(|worker| self.forget_worker(worker));
        if verified {
            self.remove_previous_runs(name, &from, now);
        }
        for end in ended {
            self.on_end(name, &from, end, now);
        }
        for run in running {
            self.on_listed_run(name, &from, run, fenced, (listed_at, now));
        }
        if fenced {
            self.clear_suspects(name, &from, running, at);
            self.throttle(name, running);
            self.stop_stalled_runs(name, (listed_at, now));
        }
        if first_answer {
            let more = if truncated { ", and may have more" } else { "" };
            let detail =
                format!("{from} lists {} runs and {} ends{more}", running.len(), ended.len());
            self.log("worker answered", name, detail);
            self.resend_acknowledgement(name, &from);
            self.resend_orders(name, &from, now);
        }
    }

    /// Drops the runs of the worker's previous incarnations, which ended with them. Called once this
    /// one has answered: a restarted agent may hear a delayed heartbeat of a former one first.
    ///
    /// Calls to a worker name it by id only. A start that the previous incarnation never listed
    /// may have reached the current one, or may still reach it. Its task would run twice if it
    /// were started elsewhere, so it is stopped at the current incarnation first.
    fn remove_previous_runs(&mut self, name: &str, from: &Incarnation, now: u64) {
        let previous = self.runs_where(|placed| placed.agent == name && placed.worker != *from);
        for (job, key) in previous {
            let entry = self.jobs.get_mut(&job);
            let Some(placed) = entry.and_then(|entry| entry.runs.get_mut(&key)) else { continue };
            if placed.worker.id == from.id && placed.first_listed_at.is_none() {
                placed.worker = from.clone();
                placed.phase = Phase::Running;
                self.log("run doubted", &job, format!("{key:?}: worker at {name} restarted"));
                self.stop_run(&job, key, now);
                continue;
            }
            let detail =
                format!("{key:?}: worker at {name} restarted{}", self.lease_detail(name, now));
            self.log("run lost", &job, detail);
            self.remove_run(&job, key);
        }
    }

    /// Handles a worker's notice that it is shutting down.
    pub(crate) fn on_left(&mut self, name: &str, from: &Incarnation, now: u64) {
        self.dismiss_crash(name);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.reconciled = true;
        }
        self.end_incarnation(name, from, "left", now);
    }

    /// Drops all runs of an incarnation of a worker that has ended. `how` is for the log.
    pub(crate) fn end_incarnation(&mut self, name: &str, from: &Incarnation, how: &str, now: u64) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.worker_left = true;
        }
        self.forget_worker(from);
        let ended = self.runs_where(|placed| placed.agent == name && placed.worker == *from);
        let lease = self.lease_detail(name, now);
        let follows = self.follows_owner(name, now);
        for (job, key) in ended {
            self.log("run lost", &job, format!("{key:?}: worker at {name} {how}{lease}"));
            match follows {
                true => self.remove_run(&job, key),
                false => self.assume_over(&job, key, now),
            }
        }
    }

    /// Sends the last acknowledgement of ends again after a reconnect, since it may have been lost
    /// with the previous connection.
    fn resend_acknowledgement(&mut self, name: &str, from: &Incarnation) {
        let Some(agent) = self.agents.get(name) else { return };
        let (worker, number) = (from.clone(), agent.acknowledged_end);
        if number > 0 {
            self.send_to_agent(name, Order::Seen { worker, number });
        }
    }

    /// Sends pending orders again after a reconnect, since they may have been lost with the
    /// previous connection. Starts and stops are idempotent.
    fn resend_orders(&mut self, name: &str, from: &Incarnation, now: u64) {
        let evacuated = self.agents.get(name).is_some_and(|agent| agent.zone_evacuated);
        for (job, key) in self.runs_where(|placed| placed.agent == name && placed.worker == *from) {
            let Some(entry) = self.jobs.get_mut(&job) else { continue };
            let Some(placed) = entry.runs.get_mut(&key) else { continue };
            if placed.phase == Phase::Starting {
                // The order may take effect only now.
                placed.updated_at = now;
            }
            if placed.phase == Phase::Starting && evacuated {
                // The worker has answered and does not list the run. The start may still be
                // in flight and must not take effect in an evacuated zone.
                self.stop_run(&job, key, now);
                self.stop_gang(&job, key, now);
                continue;
            }
            let (worker, run) = (from.clone(), placed.run);
            placed.start_repeated |= placed.phase == Phase::Starting;
            let order = match placed.phase {
                Phase::Running => continue,
                Phase::Stopping => Order::Stop { worker, task: task(&job, key), run },
                Phase::Starting => {
                    let suspect = entry.consecutive_crashes(&job, key) > 0;
                    start_order((&job, entry), key, (from, run), (true, suspect), now)
                }
            };
            self.send_to_agent(name, order);
        }
    }

    /// Applies one run that a worker listed at `listed_at` by the owner's clock; `fenced` if it did so
    /// under this owner's epoch.
    fn on_listed_run(
        &mut self,
        name: &str,
        from: &Incarnation,
        run: &Run,
        fenced: bool,
        (listed_at, now): (u64, u64),
    ) {
        let key = task_key(&run.task);
        let Some(entry) = self.jobs.get_mut(&run.task.job) else {
            return self.stop_stray(name, from, &run.task, run.number, now);
        };
        let slot = entry.slot(key);
        // A previous owner started the later run only after the earlier one had ended, but the
        // agent of a lost worker still lists what ran there. Without this check the later,
        // live run would be stopped as a stray and its task started a second time.
        let has_earlier = entry.runs.get(&key).is_some_and(|placed| placed.run < run.number);
        if has_earlier && let Some(earlier) = entry.remove_run(&key, now) {
            let detail =
                format!("{key:?} run {} at {}: a later run is active", earlier.run, earlier.agent);
            self.log("run lost", &run.task.job, detail);
        }
        let unheard = fenced && self.is_only_run(run);
        let Some(entry) = self.jobs.get_mut(&run.task.job) else { return };
        let mut passes_half = false;
        match entry.runs.get_mut(&key) {
            Some(placed) if placed.worker == *from && placed.run == run.number => {
                placed.updated_at = placed.updated_at.max(listed_at);
                placed.confirmed_at.get_or_insert(now);
                placed.unheard |= unheard;
                passes_half = placed.update_progress(run.percent, now);
                if placed.phase == Phase::Starting {
                    placed.phase = Phase::Running;
                }
                entry.update_checkpoint(slot, &run.saved);
            }
            // The task has a later run or is done, so this run is a stray.
            Some(_) => self.stop_stray(name, from, &run.task, run.number, now),
            None if entry.progress.is_done(&run.task) || entry.progress.state.is_final() => {
                self.stop_stray(name, from, &run.task, run.number, now);
            }
            None => {
                // A previous owner started it.
                let unit = self.next_unit;
                self.next_unit += 1;
                let runs = entry.runs.range((key.0, key.1, 0)..=(key.0, key.1, u32::MAX));
                let gang = entry.job.steps.get(key.1 as usize).is_some_and(|step| step.gang);
                let unit_of_gang = runs.map(|(_, other)| other.unit).next().filter(|_| gang);
                let unit = unit_of_gang.unwrap_or(unit);
                let placed =
                    Placement { unheard, ..Placement::adopted(name, from, run, unit, now) };
                entry.runs.insert(key, placed);
                let number = entry.run_numbers.entry(slot).or_default();
                *number = run.number.max(*number);
                entry.update_checkpoint(slot, &run.saved);
                if entry.progress.state == State::Queued {
                    entry.progress.state = State::Running;
                    self.mark_dirty(&run.task.job, false);
                }
                self.log("run adopted", &run.task.job, format!("{key:?} at {name}"));
            }
        }
        if passes_half {
            self.observe_progress(&run.task, now);
        }
    }

    /// Stops a stray run: one that no unfinished task needs. The worker lists it until the stop
    /// completes, so the order is not repeated within the reservation time.
    fn stop_stray(&mut self, name: &str, from: &Incarnation, task: &Task, run: u64, now: u64) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.strays.push(task.clone());
        }
        let bound = self.settings.reservation_ttl;
        self.stray_stops.retain(|_, since| now < *since + bound);
        if self.stray_stops.contains_key(&(task.clone(), run)) {
            return;
        }
        self.stray_stops.insert((task.clone(), run), now);
        self.log("stray run stopped", &task.job, format!("{task} run {run} at {name}"));
        self.send_to_agent(name, Order::Stop { worker: from.clone(), task: task.clone(), run });
    }

    /// Handles the confirmation that a start took effect.
    pub(crate) fn on_started(&mut self, task: &Task, run: u64, now: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(placed) = entry.runs.get_mut(&task_key(task)) else { return };
        if placed.run != run {
            return;
        }
        placed.updated_at = now;
        placed.confirmed_at.get_or_insert(now);
        if placed.phase == Phase::Starting {
            placed.phase = Phase::Running;
        }
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            agent.silent_ms = 0;
            // An accepted start ends the worker's backoff early.
            self.replan |= agent.refusals.until > 0;
            agent.refusals = Refusals::default();
        }
        entry.record_accepted_start(task_key(task));
        if entry.progress.state == State::Queued {
            entry.progress.state = State::Running;
            self.mark_dirty(&task.job, false);
        }
    }

    /// Handles a start that was refused with the reason `why`.
    pub(crate) fn on_start_refused(
        &mut self,
        name: &str,
        task: &Task,
        run: u64,
        why: Refused,
        now: u64,
    ) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let key = task_key(task);
        let Some(placed) = entry.runs.get(&key).filter(|placed| placed.run == run) else { return };
        let (worker, repeated) = (placed.worker.clone(), placed.start_repeated);
        let ordered_at = placed.started_at;
        self.log("start refused", &task.job, format!("{task} run {run} {why:?} at {name}"));
        if why == Refused::Ticket {
            self.on_ticket_refused(&task.job, key, &worker);
        }
        if repeated {
            // The agent may have refused the first order before it received the repeated one, which
            // it then carries out.
            self.stop_run(&task.job, key, now);
        } else {
            if let Some(entry) = self.jobs.get_mut(&task.job) {
                entry.remove_refused(&key, now);
            }
            self.on_run_removed(&task.job);
        }
        self.delay_after_refusal(name, (&task.job, key, ordered_at), why, now);
        self.stop_gang(&task.job, key, now);
    }

    /// Stops all members of the task's gang, if it is in one. Called when one member does not
    /// start: the others would wait in vain and hold their workers.
    fn stop_gang(&mut self, id: &str, key: Key, now: u64) {
        let Some(entry) = self.jobs.get(id) else { return };
        if !entry.step(key).is_some_and(|step| step.gang) {
            return;
        }
        let range = (key.0, key.1, 0)..=(key.0, key.1, u32::MAX);
        let members: Vec<Key> = entry.runs.range(range).map(|(key, _)| *key).collect();
        for member in members {
            self.stop_run(id, member, now);
        }
    }

    /// Handles a confirmed stop. The agent has polled the worker since, so a run that the worker
    /// does not list has ended.
    pub(crate) fn on_stopped(&mut self, task: &Task, run: u64) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(placed) = entry.runs.get(&task_key(task)) else { return };
        let listed = self.agents.get(&placed.agent).is_some_and(|agent| {
            agent.listed_runs.iter().any(|(known, number)| known == task && *number == run)
        });
        if placed.run == run && !listed && placed.phase == Phase::Stopping {
            let id = task.job.clone();
            self.remove_run(&id, task_key(task));
        }
    }
}

/// Returns the key of a task within its job.
pub(crate) fn task_key(task: &Task) -> Key {
    (task.occurrence, task.step, task.index)
}
