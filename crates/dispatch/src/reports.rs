//! What agents report, brought into the owner's picture.

use quincewheel_job::{End, How, Incarnation, Run, State, Task, Worker};
use quincewheel_wire::{Order, Refused};

use crate::entry::{Key, Phase, Placement};
use crate::owner::{Owner, task};
use crate::refusals::Refusals;

impl Owner {
    /// An agent told what its worker is and does.
    pub(crate) fn status(
        &mut self,
        name: &str,
        worker: Option<Worker>,
        fenced: bool,
        (running, ended): (&[Run], &[End]),
        (stamp, now): (u64, u64),
    ) {
        let crashed = |worker: &Worker| self.follows_crash(name, &worker.incarnation());
        if worker.as_ref().is_some_and(crashed) {
            self.blame_crash(name);
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(worker) = worker else {
            agent.worker = None;
            agent.fenced = false;
            agent.no_worker_since.get_or_insert(now);
            return;
        };
        let from = worker.incarnation();
        let other = agent.worker.as_ref().is_none_or(|known| !known.is(&from));
        let reborn = other && agent.worker.is_some();
        if other {
            // A list that was asked for before this incarnation began cannot name it.
            agent.unresponsive_since = None;
            agent.last_end = 0;
            agent.acknowledged_end = 0;
            agent.consecutive_failures = 0;
            agent.doubted_until = 0;
            agent.blame.clear();
            agent.refusals = Refusals::default();
            agent.shutdown_requested = false;
        }
        if reborn {
            agent.silent_ms = 0;
        }
        let changed = agent.worker.as_ref().is_some_and(|known| known.fits_others(&worker));
        agent.zone_evacuated = self.evacuated.covers(&worker.zone);
        // A status may repeat what the worker reported once; it counts from the first.
        if agent.worker.as_ref().is_none_or(|known| known.cold != worker.cold) || other {
            agent.cold_until = now + worker.cold;
        }
        let first = fenced && !agent.fenced;
        agent.no_worker_since = None;
        agent.worker_left = false;
        agent.worker = Some(worker);
        agent.fenced = fenced;
        agent.reconciled |= fenced;
        agent.listed_runs = running.iter().map(|run| (run.task.clone(), run.number)).collect();
        self.replan |= !std::mem::take(&mut agent.strays).is_empty();
        // A worker that broke its connections takes work again once it answers.
        let broke = fenced && agent.crash.is_some();
        if reborn || first || changed || broke {
            self.replan = true;
        }
        if other {
            self.drop_former(name, &from, now);
        }
        for end in ended {
            self.ended(name, &from, end, now);
        }
        for run in running {
            self.running(name, &from, run, now);
        }
        if fenced {
            self.clear_suspects(name, &from, running, stamp);
            self.throttle(name, running);
            self.missing(name, running, now);
            self.stop_stalled_runs(name, now);
        }
        if first {
            self.resume(name, &from, now);
        }
    }

    /// A worker that started again runs nothing of before.
    ///
    /// But a call names the worker by its id only. A start that the former incarnation never
    /// listed may have reached the one that is there, or reach it yet, and its task would run
    /// twice if it started elsewhere: it is stopped there first.
    fn drop_former(&mut self, name: &str, from: &Incarnation, now: u64) {
        let former = self.runs_where(|placed| placed.agent == name && placed.worker != *from);
        for (job, key) in former {
            let entry = self.jobs.get_mut(&job);
            let Some(placed) = entry.and_then(|entry| entry.runs.get_mut(&key)) else { continue };
            if placed.worker.id == from.id && placed.first_listed_at.is_none() {
                placed.worker = from.clone();
                placed.phase = Phase::Running;
                self.log("run doubted", &job, format!("{key:?}: worker at {name} started anew"));
                self.stop_run(&job, key, now);
                continue;
            }
            self.log("run lost", &job, format!("{key:?}: worker at {name} started anew"));
            self.remove_run(&job, key);
        }
    }

    /// A worker said that it ends.
    pub(crate) fn left(&mut self, name: &str, from: &Incarnation) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.crash = None;
        }
        self.over(name, from, "left");
    }

    /// An incarnation of a worker is over, and all that ran there.
    pub(crate) fn over(&mut self, name: &str, from: &Incarnation, how: &str) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.reconciled = true;
            agent.worker_left = true;
        }
        let gone = self.runs_where(|placed| placed.agent == name && placed.worker == *from);
        for (job, key) in gone {
            self.log("run lost", &job, format!("{key:?}: worker at {name} {how}"));
            self.remove_run(&job, key);
        }
    }

    /// After a new connection, orders that may have been lost with the former
    /// one are given again. Both are idempotent.
    fn resume(&mut self, name: &str, from: &Incarnation, now: u64) {
        let evacuated = self.agents.get(name).is_some_and(|agent| agent.zone_evacuated);
        for (job, key) in self.runs_where(|placed| placed.agent == name && placed.worker == *from) {
            let Some(entry) = self.jobs.get(&job) else { continue };
            let Some(placed) = entry.runs.get(&key) else { continue };
            if placed.phase == Phase::Starting && evacuated {
                // The worker has answered and does not list it: what may be on its way yet
                // must not begin any more.
                self.stop_run(&job, key, now);
                self.stop_mates(&job, key, now);
                continue;
            }
            let (worker, run) = (from.clone(), placed.run);
            let order = match placed.phase {
                Phase::Running => continue,
                Phase::Stopping => Order::Stop { worker, task: task(&job, key), run },
                Phase::Starting => {
                    let spec = entry.job.spec.clone();
                    let saved = entry.saved.get(&entry.slot(key)).cloned().unwrap_or_default();
                    let ticket = entry.ticket(key, from, now).unwrap_or_default().to_owned();
                    let task = task(&job, key);
                    Order::Start { worker, task, run, spec, saved, ticket, again: true }
                }
            };
            self.send_to_agent(name, order);
        }
    }

    /// A worker lists a run.
    fn running(&mut self, name: &str, from: &Incarnation, run: &Run, now: u64) {
        let key = key(&run.task);
        let Some(entry) = self.jobs.get_mut(&run.task.job) else {
            return self.stop_stray(name, from, &run.task, run.number, now);
        };
        let slot = entry.slot(key);
        // A former owner started the later run only when the earlier one was gone, and the
        // agent of a worker that is gone still lists what ran there: without this the run
        // that goes on would be stopped as a remnant, and its task start beside it.
        let earlier = entry.runs.get(&key).is_some_and(|placed| placed.run < run.number);
        if earlier && let Some(former) = entry.runs.remove(&key) {
            let detail =
                format!("{key:?} run {} at {}: a later one runs", former.run, former.agent);
            self.log("run lost", &run.task.job, detail);
        }
        let Some(entry) = self.jobs.get_mut(&run.task.job) else { return };
        match entry.runs.get_mut(&key) {
            Some(placed) if placed.worker == *from && placed.run == run.number => {
                placed.updated_at = now;
                placed.confirmed_at.get_or_insert(now);
                if placed.percent != run.percent {
                    placed.progressed_at = now;
                }
                placed.percent = run.percent;
                if placed.phase == Phase::Starting {
                    placed.phase = Phase::Running;
                }
                entry.update_checkpoint(slot, &run.saved);
            }
            // A later run of the task exists, or it is done: this one is a
            // remnant that nobody waits for.
            Some(_) => self.stop_stray(name, from, &run.task, run.number, now),
            None if entry.progress.done(&run.task) || entry.progress.state.ended() => {
                self.stop_stray(name, from, &run.task, run.number, now);
            }
            None => {
                // Started by a former owner.
                let unit = self.next_unit;
                self.next_unit += 1;
                let placed = Placement {
                    agent: name.to_owned(),
                    worker: from.clone(),
                    run: run.number,
                    phase: Phase::Running,
                    updated_at: now,
                    started_at: now,
                    confirmed_at: Some(now),
                    unit,
                    percent: run.percent,
                    progressed_at: now,
                    pace: 100,
                    from_scratch: false,
                    first_listed_at: None,
                    survived_start: false,
                    preempted_by: None,
                };
                let unit = entry.runs.range((key.0, key.1, 0)..=(key.0, key.1, u32::MAX));
                let gang = entry.job.steps.get(key.1 as usize).is_some_and(|step| step.gang);
                let unit = unit.map(|(_, other)| other.unit).next().filter(|_| gang);
                let placed = Placement { unit: unit.unwrap_or(placed.unit), ..placed };
                entry.runs.insert(key, placed);
                entry.run_numbers.insert(slot, run.number);
                entry.update_checkpoint(slot, &run.saved);
                if entry.progress.state == State::Queued {
                    entry.progress.state = State::Running;
                    self.mark_dirty(&run.task.job, false);
                }
                self.log("run adopted", &run.task.job, format!("{key:?} at {name}"));
            }
        }
    }

    /// Stops a run that nobody waits for. The worker lists it until its stop
    /// is through; one order is enough meanwhile.
    fn stop_stray(&mut self, name: &str, from: &Incarnation, task: &Task, run: u64, now: u64) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.strays.push(task.clone());
        }
        let bound = self.settings.reservation;
        self.stray_stops.retain(|_, since| now < *since + bound);
        if self.stray_stops.contains_key(&(task.clone(), run)) {
            return;
        }
        self.stray_stops.insert((task.clone(), run), now);
        self.log("stray run stopped", &task.job, format!("{task} run {run} at {name}"));
        self.send_to_agent(name, Order::Stop { worker: from.clone(), task: task.clone(), run });
    }

    /// Runs that the worker should list and does not.
    fn missing(&mut self, name: &str, running: &[Run], now: u64) {
        let bound = self.settings.missing;
        let Some(agent) = self.agents.get_mut(name) else { return };
        // All runs are gone through for it, and a report comes with each end.
        if now < agent.missing_checked_at + bound / 10 {
            return;
        }
        agent.missing_checked_at = now;
        let old = self.runs_where(|placed| {
            placed.agent == name
                && placed.phase != Phase::Starting
                && now >= placed.updated_at + bound
        });
        for (job, key) in old {
            let listed = running.iter().any(|run| run.task == task(&job, key));
            if !listed {
                self.log("run missing", &job, format!("{key:?} at {name}"));
                self.remove_run(&job, key);
            }
        }
    }

    /// A worker lists an end.
    fn ended(&mut self, name: &str, from: &Incarnation, end: &End, now: u64) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        if end.number <= agent.last_end {
            return self.pass_over(name, from, end);
        }
        agent.last_end = end.number;
        let key = key(&end.task);
        let job = end.task.job.clone();
        let Some(entry) = self.jobs.get_mut(&job) else { return };
        let slot = entry.slot(key);
        let known = entry.runs.get(&key);
        let vacant = known.is_none();
        let current = known.is_some_and(|placed| placed.worker == *from && placed.run == end.run);
        let run = current.then(|| entry.runs.remove(&key)).flatten();
        self.replan |= current;
        if current || vacant {
            entry.update_checkpoint(slot, &end.saved);
        }
        let spent = run.as_ref().map(|run| run.timing_detail(now)).unwrap_or_default();
        self.log(
            "run ended",
            &job,
            format!("{} run {} {:?} at {name}{spent}", end.task, end.run, end.how),
        );
        if matches!(end.how, How::Done | How::Failed) {
            self.outlived(&end.task);
        }
        match end.how {
            How::Done => {
                if let Some(run) = run {
                    self.learn(&end.task, &run, now);
                }
                self.done(name, &end.task, now);
            }
            How::Failed => self.failed(name, &end.task, end.run, now),
            How::Stopped | How::Lapsed | How::Broken | How::Alone => {}
        }
        self.settle(&job);
    }

    /// An end was taken note of before. Told if its run is still believed to go on: then the
    /// number may be another end's.
    fn pass_over(&mut self, name: &str, from: &Incarnation, end: &End) {
        let Some(entry) = self.jobs.get(&end.task.job) else { return };
        let placed = entry.runs.get(&key(&end.task));
        if placed.is_some_and(|placed| placed.worker == *from && placed.run == end.run) {
            let End { number, task, run, how, .. } = end;
            let detail = format!("{task} run {run} {how:?} at {name}, number {number}");
            self.log("end passed over", &task.job, detail);
        }
    }

    /// Takes note of how long a task took that is done. The longest of a step is what
    /// its job's objective allows for; one a step is enough to learn from.
    fn learn(&mut self, task: &Task, run: &Placement, now: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let estimate = entry.step(key(task)).map_or(0, |step| step.estimate);
        if !run.from_scratch || estimate == 0 {
            return;
        }
        let took = now.saturating_sub(run.started_at);
        let known = entry.step_durations.get(&task.step).copied();
        entry.step_durations.insert(task.step, took.max(known.unwrap_or(0)));
        if known.is_some() {
            return;
        }
        self.times.learn(&entry.job.queue.name, estimate, took);
        self.times_changed = true;
    }

    /// A task is done, and with it its whole gang.
    fn done(&mut self, name: &str, task: &Task, now: u64) {
        if let Some(agent) = self.agents.get_mut(name) {
            agent.consecutive_failures = 0;
            agent.doubted_until = 0;
            agent.blame.clear();
        }
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let before = entry.progress.state;
        let step = entry.job.steps.get(task.step as usize);
        if before.ended() || step.is_some_and(|step| step.perpetual) {
            return;
        }
        entry.progress.finish(&entry.job, task);
        let ended = entry.progress.state.ended();
        // A copy of a task that is done must not go on.
        let other = entry.runs.contains_key(&key(task));
        let gang = step_is_gang(entry.job.steps.get(task.step as usize));
        self.mark_dirty(&task.job, ended);
        if other && !gang {
            self.stop_run(&task.job, key(task), now);
        }
        if ended {
            self.log_job_end(&task.job, State::Succeeded);
        }
    }

    /// A task failed.
    fn failed(&mut self, name: &str, task: &Task, run: u64, now: u64) {
        let doubt = self.settings.doubt;
        if let Some(agent) = self.agents.get_mut(name) {
            agent.consecutive_failures += 1;
            agent.doubted_until = now + doubt * u64::from(agent.consecutive_failures.min(3));
        }
        self.blame(name, task, now);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let perpetual = entry.step(key(task)).is_some_and(|step| step.perpetual);
        if entry.progress.state.ended() || perpetual {
            return;
        }
        let failures = entry.progress.fail(&entry.job, task, run);
        let last = failures >= entry.job.queue.attempts;
        self.mark_dirty(&task.job, last);
        if last {
            self.end_job(&task.job, State::Failed, now);
        }
    }

    /// Forgets an ended job once nothing of it runs.
    fn settle(&mut self, id: &str) {
        let over =
            |entry: &crate::entry::Entry| entry.progress.state.ended() && entry.runs.is_empty();
        if self.jobs.get(id).is_some_and(over) && !self.dirty.contains(id) && !self.record_in_flight
        {
            self.close_job(id);
        }
    }

    /// A start took effect.
    pub(crate) fn started(&mut self, task: &Task, run: u64, now: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let Some(placed) = entry.runs.get_mut(&key(task)) else { return };
        if placed.run != run {
            return;
        }
        placed.updated_at = now;
        placed.confirmed_at.get_or_insert(now);
        if placed.phase == Phase::Starting {
            placed.phase = Phase::Running;
        }
        if let Some(agent) = self.agents.get_mut(&placed.agent) {
            // Open again, and sooner than its pause would have told.
            self.replan |= agent.refusals.until > 0;
            agent.refusals = Refusals::default();
        }
        if entry.progress.state == State::Queued {
            entry.progress.state = State::Running;
            self.mark_dirty(&task.job, false);
        }
    }

    /// A start did not take effect.
    pub(crate) fn unstarted(&mut self, name: &str, task: &Task, run: u64, why: Refused, now: u64) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let key = key(task);
        if entry.runs.get(&key).is_none_or(|placed| placed.run != run) {
            return;
        }
        let worker = entry.runs.remove(&key).map(|placed| placed.worker).unwrap_or_default();
        if let Some(clearance) = entry.clearances.get_mut(&(key.0, key.1))
            && why == Refused::Ticket
        {
            clearance.refuse(&worker);
        }
        self.replan = true;
        self.log("start refused", &task.job, format!("{task} run {run} {why:?} at {name}"));
        let sound = matches!(
            why,
            Refused::Leaving | Refused::Old | Refused::Lease | Refused::Fence | Refused::Ticket
        );
        if !sound {
            self.refused(name, now);
        }
        self.stop_mates(&task.job, key, now);
    }

    /// Stops the other members of a gang of which one does not start: they would wait in vain
    /// and hold their places meanwhile.
    fn stop_mates(&mut self, id: &str, key: Key, now: u64) {
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

    /// A stop was confirmed, and the worker has been looked at since: what it
    /// does not list is gone.
    pub(crate) fn stopped(&mut self, task: &Task, run: u64) {
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(placed) = entry.runs.get(&key(task)) else { return };
        let listed = self.agents.get(&placed.agent).is_some_and(|agent| {
            agent.listed_runs.iter().any(|(known, number)| known == task && *number == run)
        });
        if placed.run == run && !listed && placed.phase == Phase::Stopping {
            let id = task.job.clone();
            self.remove_run(&id, key(task));
        }
    }
}

pub(crate) fn key(task: &Task) -> Key {
    (task.occurrence, task.step, task.index)
}

fn step_is_gang(step: Option<&quincewheel_job::Step>) -> bool {
    step.is_some_and(|step| step.gang)
}
