//! Waves of maintenance: which machine is taken down next, and when.
//!
//! The next machine is cordoned and taken down once it is idle, or earlier if the wave's time runs
//! short. The number of machines that are down is never underestimated: a call without an answer
//! may have been carried out, so its machine counts as down until a later machine list shows it up.
//! Calls are idempotent, so a new owner, which has no record of what was begun, repeats them.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Condition, Machine, Wave};

use crate::agent::Agent;
use crate::output::Output;
use crate::owner::Owner;
use crate::placement::Placement;
use crate::rows::WaveRecord;

/// The state of all waves and machines.
#[derive(Debug, Default)]
pub(crate) struct Maintenance {
    waves: BTreeMap<u64, WaveState>,
    machines: BTreeMap<String, Machine>,
    /// When the current machine list was requested; none before the first.
    listed_at: Option<u64>,
    /// Whether the list has entries that could not be parsed.
    list_partial: bool,
    /// When a list was last requested.
    requested_at: u64,
    /// When the owner last checked, without an open wave, whether it needs a list.
    checked_at: u64,
}

impl Maintenance {
    /// Returns the machines that are up and that no wave has called since the list was requested. A
    /// machine that a previous owner had already taken down stays up when it is called again.
    fn back_up(&self, sent: u64) -> Vec<String> {
        let idle = |name: &String| {
            self.waves.values().all(|state| {
                let begun = state.taken_down.get(name).is_none_or(|begun| *begun < sent);
                begun && !state.pending_calls.contains_key(name)
            })
        };
        let up = self.machines.values().filter(|machine| machine.condition == Condition::Up);
        up.map(|machine| machine.name.clone()).filter(idle).collect()
    }
}

/// The state of one wave.
#[derive(Debug)]
struct WaveState {
    wave: Wave,
    /// When it was first seen, in milliseconds since 1970.
    first_seen: u64,
    /// Whether `first_seen` and `done` are recorded.
    recorded: bool,
    /// Machines that have been taken down, or are not part of the wave, and when the platform
    /// answered.
    taken_down: BTreeMap<String, u64>,
    /// Machines whose call to take them down has no answer yet, and when it was last sent.
    pending_calls: BTreeMap<String, u64>,
    done: bool,
}

/// The platform's answer to a call to take a machine down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TakeDownResult {
    /// The machine is down, or was already.
    Begun,
    /// The machine is not up or is about to leave; the call may be repeated later.
    Busy,
    /// The machine is not part of the wave or does not exist.
    Foreign,
    /// A later owner holds the machine's fencing token.
    Fenced,
    /// The platform refused the call; nothing was done.
    Refused,
    /// No answer arrived, so the call may have been carried out.
    Unclear,
}

/// Time between two machine lists during a wave. The platform answers at most sixty a second.
const MACHINE_LIST_INTERVAL_MS: u64 = 1000;
/// Time after which a call without an answer is repeated.
const TAKE_DOWN_RETRY_MS: u64 = 1500;
/// Time that a machine takes beyond the maintenance itself: the calls and the next list.
const TURN_OVERHEAD_MS: u64 = 2500;

impl WaveState {
    /// Returns the number of machines of the wave that may be down.
    fn down_count(&self, maintenance: &Maintenance) -> usize {
        let may_be_down = |name: &&String| self.may_be_down(name, maintenance);
        self.wave.machines.iter().filter(may_be_down).count()
    }

    /// Returns whether the machine is down for this wave, or a call that may have taken it down is
    /// newer than the machine list.
    fn may_be_down(&self, name: &str, maintenance: &Maintenance) -> bool {
        let machine = maintenance.machines.get(name);
        if self.pending_calls.contains_key(name) {
            return true;
        }
        match (machine, self.taken_down.get(name)) {
            (Some(machine), None) => machine.condition == Condition::Maintained,
            (Some(machine), Some(&begun)) => {
                let stale = maintenance.listed_at.is_none_or(|listed_at| listed_at <= begun);
                stale || machine.condition == Condition::Maintained
            }
            (None, _) => false,
        }
    }

    /// Returns the listed machines of the wave that have not been taken down yet.
    fn remaining<'a>(&'a self, maintenance: &'a Maintenance) -> impl Iterator<Item = &'a Machine> {
        let names = self.wave.machines.iter().filter(|name| !self.taken_down.contains_key(*name));
        names.filter_map(|name| maintenance.machines.get(name))
    }

    /// Returns whether each machine of the wave has been listed or taken down.
    fn all_known(&self, maintenance: &Maintenance) -> bool {
        let known = |name: &String| {
            maintenance.machines.contains_key(name) || self.taken_down.contains_key(name)
        };
        self.wave.machines.iter().all(known)
    }

    /// Returns whether the `remaining` machines need all the time that is left. `maintenance_ms` is
    /// the duration of one machine's maintenance, and `wall` is the time of day.
    fn is_short_of_time(&self, remaining: usize, maintenance_ms: u64, wall: u64) -> bool {
        let turns = remaining.div_ceil(self.wave.most.max(1)) as u64;
        wall + turns * (maintenance_ms + TURN_OVERHEAD_MS) >= self.first_seen + self.wave.duration
    }
}

impl Owner {
    /// Adds a wave to carry out. `known` is what a previous owner recorded of it, and `wall` is the
    /// time of day.
    pub fn add_wave(&mut self, wave: &Wave, known: Option<WaveRecord>, wall: u64) {
        let done = known.is_some_and(|known| known.done);
        let state = WaveState {
            wave: wave.clone(),
            first_seen: known.map_or(wall, |known| known.at),
            recorded: known.is_some(),
            taken_down: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            done,
        };
        self.maintenance.waves.entry(wave.number).or_insert(state);
        self.outputs.push(Output::WaveStatus { number: wave.number, done });
    }

    /// Returns whether the wave was added before.
    pub fn has_wave(&self, number: u64) -> bool {
        self.maintenance.waves.contains_key(&number)
    }

    /// Handles the platform's list of all machines, requested at `sent` and returned on `pages`
    /// pages. If the list is not `complete`, entries that could not be parsed are missing.
    ///
    /// A machine whose entry cannot be parsed still exists and keeps its last known state. If it
    /// were dropped, its wave would be reported as complete before its turn.
    pub fn on_machines(
        &mut self,
        machines: Vec<Machine>,
        complete: bool,
        pages: usize,
        (sent, now): (u64, u64),
    ) {
        if complete {
            self.maintenance.machines.clear();
            self.on_machine_list(&machines, pages, (sent, now));
        }
        let by_name = machines.into_iter().map(|machine| (machine.name.clone(), machine));
        self.maintenance.machines.extend(by_name);
        self.maintenance.list_partial = !complete;
        self.maintenance.listed_at = Some(sent);
        for name in self.maintenance.back_up(sent) {
            self.cancel_take_down(&name);
        }
    }

    /// Handles the result of a call to take a machine down.
    pub fn on_take_down(&mut self, number: u64, machine: &str, result: TakeDownResult, now: u64) {
        let Some(state) = self.maintenance.waves.get_mut(&number) else { return };
        match result {
            TakeDownResult::Begun => {
                state.pending_calls.remove(machine);
                state.taken_down.insert(machine.to_owned(), now);
            }
            TakeDownResult::Foreign => {
                state.pending_calls.remove(machine);
                state.taken_down.insert(machine.to_owned(), now);
                self.cancel_take_down(machine);
            }
            TakeDownResult::Busy | TakeDownResult::Refused => {
                state.pending_calls.remove(machine);
                self.cancel_take_down(machine);
            }
            TakeDownResult::Unclear => {}
            TakeDownResult::Fenced => {
                state.pending_calls.remove(machine);
                self.outputs.push(Output::Deposed { epoch: self.epoch + 1 });
            }
        }
        self.log("maintenance", machine, format!("wave {number}: {result:?}"));
    }

    /// Advances all waves that are not complete: requests lists, repeats calls and takes the next
    /// machines down.
    pub(crate) fn advance_waves(&mut self, now: u64, wall: u64) {
        // A machine's fencing token changes its holder at most once in this time.
        if now < self.claimed_at + self.settings.fencing_interval {
            return;
        }
        let open = self.open_waves();
        if open.is_empty() {
            self.await_machines(now);
            return;
        }
        if now >= self.maintenance.requested_at + MACHINE_LIST_INTERVAL_MS {
            self.maintenance.requested_at = now;
            self.outputs.push(Output::ListMachines);
        }
        if self.maintenance.listed_at.is_none() {
            return;
        }
        let mut next = BTreeSet::new();
        for number in open {
            self.finish_wave(number);
            self.retry_calls(number, now);
            next.extend(self.take_down_next(number, now, wall));
        }
        self.cordon(&next);
    }

    /// Returns the waves whose state is to be recorded; they count as recorded from now on.
    pub(crate) fn unrecorded_waves(&mut self) -> Vec<(u64, WaveRecord)> {
        let new = self.maintenance.waves.iter_mut().filter(|(_, state)| !state.recorded);
        new.map(|(number, state)| {
            state.recorded = true;
            (*number, WaveRecord { at: state.first_seen, done: state.done })
        })
        .collect()
    }

    /// Marks a wave as unrecorded after a failed write.
    pub(crate) fn mark_unrecorded(&mut self, number: u64) {
        if let Some(state) = self.maintenance.waves.get_mut(&number) {
            state.recorded = false;
        }
    }

    /// Lets a machine take work again that is not taken down after all, or not yet.
    fn cancel_take_down(&mut self, machine: &str) {
        let worker = self.maintenance.machines.get(machine).map(|machine| machine.worker.clone());
        let name = worker.and_then(|worker| self.agent_of(&worker).map(str::to_owned));
        if let Some(agent) = name.and_then(|name| self.agents.get_mut(&name)) {
            self.replan |= agent.shutdown_requested;
            agent.shutdown_requested = false;
        }
    }

    /// Requests lists after the last wave while workers that answer are closed because their
    /// machines were taken down. If a worker has outlived that, only a list shows it.
    fn await_machines(&mut self, now: u64) {
        if now < self.maintenance.checked_at + MACHINE_LIST_INTERVAL_MS {
            return;
        }
        self.maintenance.checked_at = now;
        let closed = |agent: &Agent| {
            agent.shutdown_requested && agent.link.is_some() && agent.fenced && !agent.worker_left
        };
        if self.agents.values().any(closed) {
            self.outputs.push(Output::ListMachines);
        }
    }

    /// Returns the numbers of the waves that are not complete.
    fn open_waves(&self) -> Vec<u64> {
        let open = self.maintenance.waves.iter().filter(|(_, state)| !state.done);
        open.map(|(number, _)| *number).collect()
    }

    /// Reports a wave as complete once every machine that still exists has been taken down.
    fn finish_wave(&mut self, number: u64) {
        let maintenance = &self.maintenance;
        let Some(state) = maintenance.waves.get(&number) else { return };
        let known = !maintenance.list_partial || state.all_known(maintenance);
        let done = known
            && state.remaining(maintenance).next().is_none()
            && state.pending_calls.is_empty();
        if let Some(state) = self.maintenance.waves.get_mut(&number).filter(|_| done) {
            state.done = true;
            state.recorded = false;
            self.log("wave", &number.to_string(), "all machines have begun".to_owned());
            self.outputs.push(Output::WaveStatus { number, done: true });
        }
    }

    /// Repeats calls without an answer.
    fn retry_calls(&mut self, number: u64, now: u64) {
        let Some(state) = self.maintenance.waves.get_mut(&number) else { return };
        for (machine, called) in &mut state.pending_calls {
            if now >= *called + TAKE_DOWN_RETRY_MS {
                *called = now;
                let machine = machine.clone();
                self.outputs.push(Output::TakeDown { wave: number, machine });
            }
        }
    }

    /// Takes down the next machines of a wave, and returns the agents of those that are next but
    /// not idle yet. Machines that lose the least work come first.
    fn take_down_next(&mut self, number: u64, now: u64, wall: u64) -> BTreeSet<String> {
        let maintenance = &self.maintenance;
        let Some(state) = maintenance.waves.get(&number).filter(|state| !state.done) else {
            return BTreeSet::new();
        };
        let mut room = state.wave.most.saturating_sub(state.down_count(maintenance));
        let remaining: Vec<&Machine> = state.remaining(maintenance).collect();
        let short_of_time =
            state.is_short_of_time(remaining.len(), self.settings.maintenance_duration, wall);
        let mut candidates: Vec<(u64, String, String)> = remaining
            .into_iter()
            .filter(|machine| machine.condition == Condition::Up)
            .filter(|machine| !state.pending_calls.contains_key(&machine.name))
            .map(|machine| {
                let agent = self.agent_of(&machine.worker).unwrap_or_default().to_owned();
                (self.lost_work_ms(&agent, now), machine.name.clone(), agent)
            })
            .collect();
        candidates.sort();
        let mut next = BTreeSet::new();
        for (lost_ms, machine, agent) in candidates {
            if room == 0 {
                break;
            }
            if !self.may_take_down(&agent) {
                continue;
            }
            room -= 1;
            if lost_ms > 0 && !short_of_time {
                next.insert(agent);
                continue;
            }
            if let Some(state) = self.maintenance.waves.get_mut(&number) {
                state.pending_calls.insert(machine.clone(), now);
            }
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.shutdown_requested = true;
            }
            self.outputs.push(Output::TakeDown { wave: number, machine });
        }
        next
    }

    /// Returns the name of the agent of a worker, by the worker's id.
    fn agent_of(&self, worker: &str) -> Option<&str> {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, agent)| {
            agent.worker.as_ref().is_some_and(|known| !worker.is_empty() && known.id == worker)
        });
        found.map(|(name, _)| name.as_str())
    }

    /// Returns the run time lost if all runs at an agent end now, in milliseconds. Perpetual tasks
    /// count as no loss, since [`Owner::may_take_down`] bounds how many are stopped.
    fn lost_work_ms(&self, agent: &str, now: u64) -> u64 {
        let mut lost_ms = 0;
        for entry in self.jobs.values() {
            for (key, placed) in entry.runs.iter().filter(|(_, placed)| placed.agent == agent) {
                let perpetual = entry.step(*key).is_some_and(|step| step.perpetual);
                if !perpetual {
                    lost_ms += now.saturating_sub(placed.started_at).max(1);
                }
            }
        }
        lost_ms
    }

    /// Returns whether taking the agent's machine down leaves no step with more missing tasks than
    /// its `may_miss` allows.
    fn may_take_down(&self, agent: &str) -> bool {
        let here = |placed: &Placement| placed.agent == agent;
        self.jobs.iter().all(|(id, entry)| {
            let mut stopped_by_step: BTreeMap<(u32, u32), u32> = BTreeMap::new();
            for (key, _) in entry.runs.iter().filter(|(_, placed)| here(placed)) {
                if entry.step(*key).is_some_and(|step| step.may_miss > 0) {
                    *stopped_by_step.entry((key.0, key.1)).or_default() += 1;
                }
            }
            stopped_by_step.iter().all(|(&(occurrence, step), &runs)| {
                runs <= self.disruption_budget(id, occurrence, step)
            })
        })
    }

    /// Cordons these agents, so that nothing new starts there, and uncordons all others.
    fn cordon(&mut self, names: &BTreeSet<String>) {
        for (name, agent) in &mut self.agents {
            let cordoned = names.contains(name);
            self.replan |= agent.cordoned && !cordoned;
            agent.cordoned = cordoned;
        }
    }
}
