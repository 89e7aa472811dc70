//! Waves of maintenance: which machine goes down next, and when.
//!
//! A machine that is next takes nothing new and is taken down once it is idle,
//! or when the wave's time presses. What counts as down is never guessed low: a
//! call without an answer may have been carried out, so its machine counts until
//! a later list of the machines shows it up. Calls are idempotent, so that a new
//! owner, which does not know what was begun, calls again.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Condition, Machine, Wave};

use crate::entry::Placement;
use crate::output::Output;
use crate::owner::Owner;
use crate::rows::Seen;

/// What the owner knows of maintenance.
#[derive(Debug, Default)]
pub(crate) struct Upkeep {
    waves: BTreeMap<u64, Course>,
    machines: BTreeMap<String, Machine>,
    /// When the list that is known was asked for; none before the first.
    listed: Option<u64>,
    /// The list has entries that could not be read.
    partial: bool,
    /// When a list was last asked for.
    asked: u64,
}

impl Upkeep {
    /// Machines that are up, and were not called since the list was asked for.
    /// One that a former owner had taken down already stays up when it is called
    /// again, under the same worker.
    fn back(&self, sent: u64) -> Vec<String> {
        let idle = |name: &String| {
            self.waves.values().all(|course| {
                let begun = course.begun.get(name).is_none_or(|begun| *begun < sent);
                begun && !course.called.contains_key(name)
            })
        };
        let up = self.machines.values().filter(|machine| machine.condition == Condition::Up);
        up.map(|machine| machine.name.clone()).filter(idle).collect()
    }
}

/// A wave under way.
#[derive(Debug)]
struct Course {
    wave: Wave,
    /// When it was first seen, in time of day.
    seen: u64,
    /// That, and whether it is through, is recorded.
    recorded: bool,
    /// Machines that have begun, or are no part of it, and when that was told.
    begun: BTreeMap<String, u64>,
    /// Machines that were called and have not answered, with the time of the
    /// call.
    called: BTreeMap<String, u64>,
    done: bool,
}

/// What became of a call to take a machine down.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// It is down, or was already.
    Begun,
    /// It is not up, or about to leave: later.
    Busy,
    /// It is no part of the wave, or does not exist.
    Foreign,
    /// Another owner has given orders for it.
    Fenced,
    /// The platform refused the call; nothing was done.
    Refused,
    /// No answer came.
    Unclear,
}

/// Time between two lists of the machines while a wave is under way, in
/// milliseconds. Sixty lists a second are all that the platform answers.
const LIST: u64 = 1000;
/// A call that got no answer, or a refusal, is repeated after this time.
const REPEAT: u64 = 1500;
/// What a machine's turn takes beyond the maintenance itself, in milliseconds:
/// the calls, and the next list.
const TURN: u64 = 2500;

impl Course {
    /// Machines that may be down for this wave.
    fn down(&self, upkeep: &Upkeep) -> usize {
        let may = |name: &&String| self.may_be_down(name, upkeep);
        self.wave.machines.iter().filter(may).count()
    }

    fn may_be_down(&self, name: &str, upkeep: &Upkeep) -> bool {
        let machine = upkeep.machines.get(name);
        if self.called.contains_key(name) {
            return true;
        }
        match (machine, self.begun.get(name)) {
            (Some(machine), None) => machine.condition == Condition::Maintained,
            (Some(machine), Some(&begun)) => {
                let old = upkeep.listed.is_none_or(|listed| listed <= begun);
                old || machine.condition == Condition::Maintained
            }
            (None, _) => false,
        }
    }

    /// Machines of the wave that still have their turn before them.
    fn left<'a>(&'a self, upkeep: &'a Upkeep) -> impl Iterator<Item = &'a Machine> {
        let names = self.wave.machines.iter().filter(|name| !self.begun.contains_key(*name));
        names.filter_map(|name| upkeep.machines.get(name))
    }

    /// True if each machine of the wave was ever listed, or has had its turn.
    fn is_known(&self, upkeep: &Upkeep) -> bool {
        let known =
            |name: &String| upkeep.machines.contains_key(name) || self.begun.contains_key(name);
        self.wave.machines.iter().all(known)
    }

    /// True if the machines that are left need all the time that is left.
    fn presses(&self, left: usize, length: u64, wall: u64) -> bool {
        let turns = left.div_ceil(self.wave.most.max(1)) as u64;
        wall + turns * (length + TURN) >= self.seen + self.wave.duration
    }
}

impl Owner {
    /// A wave is to be carried out. `known` is what a former owner knew of it.
    pub fn wave(&mut self, wave: &Wave, known: Option<Seen>, wall: u64) {
        let done = known.is_some_and(|known| known.done);
        let course = Course {
            wave: wave.clone(),
            seen: known.map_or(wall, |known| known.at),
            recorded: known.is_some(),
            begun: BTreeMap::new(),
            called: BTreeMap::new(),
            done,
        };
        self.upkeep.waves.entry(wave.number).or_insert(course);
        self.outputs.push(Output::Wave { number: wave.number, done });
    }

    /// True if the wave is known.
    pub fn knows_wave(&self, number: u64) -> bool {
        self.upkeep.waves.contains_key(&number)
    }

    /// The platform listed all machines on so many `pages`, by a call that was sent at
    /// `sent`; those whose entries could be read, if the list is not `whole`.
    ///
    /// A machine whose entry cannot be read is still there, and stays as it was known:
    /// taken for gone, its wave would be told as through before its turn.
    pub fn machines(&mut self, machines: Vec<Machine>, whole: bool, pages: usize, sent: u64) {
        if whole {
            self.upkeep.machines.clear();
            self.take_list(&machines, pages, sent);
        }
        let by_name = machines.into_iter().map(|machine| (machine.name.clone(), machine));
        self.upkeep.machines.extend(by_name);
        self.upkeep.partial = !whole;
        self.upkeep.listed = Some(sent);
        for name in self.upkeep.back(sent) {
            self.reprieve(&name);
        }
    }

    /// The platform answered the call to take a machine down, or did not.
    pub fn taken(&mut self, number: u64, machine: &str, taken: Taken, now: u64) {
        let Some(course) = self.upkeep.waves.get_mut(&number) else { return };
        match taken {
            Taken::Begun => {
                course.called.remove(machine);
                course.begun.insert(machine.to_owned(), now);
            }
            Taken::Foreign => {
                course.called.remove(machine);
                course.begun.insert(machine.to_owned(), now);
                self.reprieve(machine);
            }
            Taken::Busy | Taken::Refused => {
                course.called.remove(machine);
                self.reprieve(machine);
            }
            Taken::Unclear => {}
            Taken::Fenced => {
                course.called.remove(machine);
                self.outputs.push(Output::Deposed { epoch: self.epoch + 1 });
            }
        }
        self.log("maintenance", machine, format!("wave {number}: {taken:?}"));
    }

    /// Carries the waves on.
    pub(crate) fn maintain(&mut self, now: u64, wall: u64) {
        // Holders of a machine's fencing token take turns no faster than this.
        if now < self.claimed_at + self.settings.turn {
            return;
        }
        let open = self.open_waves();
        if open.is_empty() {
            return;
        }
        if now >= self.upkeep.asked + LIST {
            self.upkeep.asked = now;
            self.outputs.push(Output::List);
        }
        if self.upkeep.listed.is_none() {
            return;
        }
        let mut next = BTreeSet::new();
        for number in open {
            self.finish_wave(number);
            self.repeat(number, now);
            next.extend(self.choose(number, now, wall));
        }
        self.cordon(&next);
    }

    /// Waves of which more is to be recorded.
    pub(crate) fn new_waves(&mut self) -> Vec<(u64, Seen)> {
        let new = self.upkeep.waves.iter_mut().filter(|(_, course)| !course.recorded);
        new.map(|(number, course)| {
            course.recorded = true;
            (*number, Seen { at: course.seen, done: course.done })
        })
        .collect()
    }

    /// The record of a wave failed.
    pub(crate) fn unrecord(&mut self, number: u64) {
        if let Some(course) = self.upkeep.waves.get_mut(&number) {
            course.recorded = false;
        }
    }

    /// A machine is not taken down after all, or not yet.
    fn reprieve(&mut self, machine: &str) {
        let worker = self.upkeep.machines.get(machine).map(|machine| machine.worker.clone());
        let name = worker.and_then(|worker| self.agent_of(&worker).map(str::to_owned));
        if let Some(agent) = name.and_then(|name| self.agents.get_mut(&name)) {
            self.replan |= agent.shutdown_requested;
            agent.shutdown_requested = false;
        }
    }

    fn open_waves(&self) -> Vec<u64> {
        let open = self.upkeep.waves.iter().filter(|(_, course)| !course.done);
        open.map(|(number, _)| *number).collect()
    }

    /// Tells that a wave is through once every machine that is still there has
    /// begun.
    fn finish_wave(&mut self, number: u64) {
        let upkeep = &self.upkeep;
        let Some(course) = upkeep.waves.get(&number) else { return };
        let known = !upkeep.partial || course.is_known(upkeep);
        let done = known && course.left(upkeep).next().is_none() && course.called.is_empty();
        if let Some(course) = self.upkeep.waves.get_mut(&number).filter(|_| done) {
            course.done = true;
            course.recorded = false;
            self.log("wave", &number.to_string(), "all machines have begun".to_owned());
            self.outputs.push(Output::Wave { number, done: true });
        }
    }

    /// Repeats calls without an answer.
    fn repeat(&mut self, number: u64, now: u64) {
        let Some(course) = self.upkeep.waves.get_mut(&number) else { return };
        for (machine, called) in &mut course.called {
            if now >= *called + REPEAT {
                *called = now;
                let machine = machine.clone();
                self.outputs.push(Output::Take { wave: number, machine });
            }
        }
    }

    /// Takes machines down whose turn it is, and returns the agents of those
    /// that are next but not idle yet.
    fn choose(&mut self, number: u64, now: u64, wall: u64) -> BTreeSet<String> {
        let upkeep = &self.upkeep;
        let Some(course) = upkeep.waves.get(&number).filter(|course| !course.done) else {
            return BTreeSet::new();
        };
        let mut room = course.wave.most.saturating_sub(course.down(upkeep));
        let left: Vec<&Machine> = course.left(upkeep).collect();
        let presses = course.presses(left.len(), self.settings.maintenance, wall);
        let mut turns: Vec<(u64, String, String)> = left
            .into_iter()
            .filter(|machine| machine.condition == Condition::Up)
            .filter(|machine| !course.called.contains_key(&machine.name))
            .map(|machine| {
                let agent = self.agent_of(&machine.worker).unwrap_or_default().to_owned();
                (self.lost_at(&agent, now), machine.name.clone(), agent)
            })
            .collect();
        turns.sort();
        let mut next = BTreeSet::new();
        for (lost, machine, agent) in turns {
            if room == 0 {
                break;
            }
            if !self.may_go(&agent) {
                continue;
            }
            room -= 1;
            if lost > 0 && !presses {
                next.insert(agent);
                continue;
            }
            if let Some(course) = self.upkeep.waves.get_mut(&number) {
                course.called.insert(machine.clone(), now);
            }
            if let Some(agent) = self.agents.get_mut(&agent) {
                agent.shutdown_requested = true;
            }
            self.outputs.push(Output::Take { wave: number, machine });
        }
        next
    }

    fn agent_of(&self, worker: &str) -> Option<&str> {
        let mut agents = self.agents.iter();
        let found = agents.find(|(_, agent)| {
            agent.worker.as_ref().is_some_and(|known| !worker.is_empty() && known.id == worker)
        });
        found.map(|(name, _)| name.as_str())
    }

    /// What is lost if everything at an agent ends now, in milliseconds of runs;
    /// tasks that last lose nothing, as their number is bounded by itself.
    fn lost_at(&self, agent: &str, now: u64) -> u64 {
        let mut lost = 0;
        for entry in self.jobs.values() {
            for (key, placed) in entry.runs.iter().filter(|(_, placed)| placed.agent == agent) {
                let lasting = entry.step(*key).is_some_and(|step| step.perpetual);
                if !lasting {
                    lost += now.saturating_sub(placed.started_at).max(1);
                }
            }
        }
        lost
    }

    /// True if no step that lasts would miss more tasks than it may.
    fn may_go(&self, agent: &str) -> bool {
        let here = |placed: &Placement| placed.agent == agent;
        self.jobs.iter().all(|(id, entry)| {
            let mut hit: BTreeMap<(u32, u32), u32> = BTreeMap::new();
            for (key, _) in entry.runs.iter().filter(|(_, placed)| here(placed)) {
                if entry.step(*key).is_some_and(|step| step.may_miss > 0) {
                    *hit.entry((key.0, key.1)).or_default() += 1;
                }
            }
            hit.iter().all(|(&(occurrence, step), &runs)| {
                runs <= self.disruption_budget(id, occurrence, step)
            })
        })
    }

    /// Lets nothing new start at these agents, and at no others.
    fn cordon(&mut self, names: &BTreeSet<String>) {
        for (name, agent) in &mut self.agents {
            let closed = names.contains(name);
            self.replan |= agent.cordoned && !closed;
            agent.cordoned = closed;
        }
    }
}
