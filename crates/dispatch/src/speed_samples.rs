//! What ends and the progress of runs tell about the speed of machines, and about run times.

use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Step, Task};
use quincewheel_speed::{Sample, compare, is_uniform};

use crate::entry::{Entry, Key};
use crate::owner::Owner;
use crate::placement::{Phase, Placement};
use crate::reports::task_key;
use crate::waits::StepKey;

/// Run times of completed tasks of the steps that have not ended.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    steps: BTreeMap<StepKey, Vec<Sample>>,
}

/// Number of ends of a step after which they are compared although the step has not ended. Compared
/// one by one, the first ones would have nothing to be compared with.
const COMPARED_ENDS: usize = 8;
/// Number of the latest ends of a step that are kept.
const MAX_ENDS: usize = 128;
/// Run time from which on progress is compared before the end. Shorter runs are seen once or twice
/// before they end, so that half of their work tells nothing that their ends don't.
const MIN_COMPARED_RUN_MS: u64 = 2000;

impl Ends {
    /// Drops the times of jobs for which `is_open` returns false.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        self.steps.retain(|(id, ..), _| is_open(id));
    }
}

impl Owner {
    /// Records the run time of a finished task, for a machine of factor 1.0. The job's objective is
    /// computed from the longest task of each step; only the first of a step updates the learned
    /// run times.
    pub(crate) fn record_run_time(&mut self, task: &Task, run: &Placement, now: u64) {
        self.observe_end(task, run, now);
        let factor = self.unit_factor(task, run, now);
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let estimate = entry.step(task_key(task)).map_or(0, |step| step.estimate);
        if !run.from_scratch || estimate == 0 {
            return;
        }
        let known = entry.step_durations.get(&task.step).copied();
        let took = (now.saturating_sub(run.started_at) as f64 / factor) as u64;
        entry.step_durations.insert(task.step, took.max(known.unwrap_or(0)));
        if known.is_some() {
            return;
        }
        self.times.update().record(&entry.job.queue.name, estimate, took);
    }

    /// Compares the members of a gang at its first end, and completed tasks of other steps once
    /// there are enough of them.
    fn observe_end(&mut self, task: &Task, run: &Placement, now: u64) {
        if self.settings.uneven_percent == 0 {
            return;
        }
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(step) = entry.step(task_key(task)).filter(|step| is_comparable(step)) else {
            return;
        };
        if step.gang {
            if !entry.progress.is_done(task) {
                let samples = self.progress_samples(entry, task_key(task), run);
                self.observe(&samples);
            }
            return;
        }
        let count = step.count;
        let sample =
            self.is_undisturbed(run).then(|| self.sample(run, step, run_ms(run, now) as f64));
        let step_key = (task.job.clone(), task.occurrence, task.step);
        let samples = self.speeds.ends.steps.entry(step_key.clone()).or_default();
        samples.extend(sample);
        let mut other = task.clone();
        let pending = (0..count).filter(|&index| index != task.index).any(|index| {
            other.index = index;
            !entry.progress.is_done(&other)
        });
        let uncounted = samples.iter().filter(|sample| !sample.counted).count();
        if pending && uncounted < COMPARED_ENDS {
            return;
        }
        let compared = samples.clone();
        samples.iter_mut().for_each(|sample| sample.counted = true);
        samples.drain(..compared.len().saturating_sub(MAX_ENDS));
        if !pending {
            self.speeds.ends.steps.remove(&step_key);
        }
        self.observe(&compared);
    }

    /// Compares the progress of a run that has passed half of its work with that of the other runs
    /// of its step, if it takes long and nothing of the step has ended.
    pub(crate) fn observe_progress(&mut self, task: &Task, now: u64) {
        if self.settings.uneven_percent == 0 {
            return;
        }
        let Some(entry) = self.jobs.get(&task.job) else { return };
        let Some(placed) = entry.runs.get(&task_key(task)) else { return };
        let is_comparable = entry.step(task_key(task)).is_some_and(is_comparable);
        if !is_comparable
            || run_ms(placed, now) < MIN_COMPARED_RUN_MS
            || entry.step_durations.contains_key(&task.step)
        {
            return;
        }
        // Only this run is counted; each of the others is when it passes half of its work.
        let mut samples = self.progress_samples(entry, task_key(task), placed);
        let Some((_, others)) = samples.split_last_mut() else { return };
        others.iter_mut().for_each(|sample| sample.counted = true);
        let counted = self.observe(&samples) > 0;
        let placed = self.jobs.get_mut(&task.job).and_then(|e| e.runs.get_mut(&task_key(task)));
        placed.into_iter().for_each(|placed| placed.sampled.counted |= counted);
    }

    /// Returns the time for each percent of progress of the runs of a step, last that of `run`, whose
    /// key is given. Empty if that is not known, or if the members of a gang progress equally.
    fn progress_samples(&self, entry: &Entry, key: Key, run: &Placement) -> Vec<Sample> {
        let Some(step) = entry.step(key) else { return Vec::new() };
        let range = (key.0, key.1, 0)..=(key.0, key.1, u32::MAX);
        let others = entry.runs.range(range).filter(|(other, _)| **other != key);
        let runs: Vec<&Placement> = others.map(|(_, placed)| placed).chain([run]).collect();
        // Spread over racks, some members are slower than others for another reason.
        let racks: BTreeSet<&str> =
            runs.iter().filter_map(|placed| self.rack_of(&placed.agent)).collect();
        if step.gang && step.same_rack && racks.len() > 1 {
            return Vec::new();
        }
        // A gang does no work before its last member has started.
        let complete_at = runs.iter().map(|placed| placed.confirmed_at).max().flatten();
        let of_run = |placed: &&Placement| {
            let (percent, at) = placed.sampled.latest.filter(|_| self.is_undisturbed(placed))?;
            let began = if step.gang { complete_at } else { placed.confirmed_at }?;
            let ms = at.checked_sub(began).filter(|ms| *ms > 0)?;
            // The worker rounds down.
            Some(self.sample(placed, step, ms as f64 / (f64::from(percent) + 0.5)))
        };
        if of_run(&run).is_none() {
            return Vec::new();
        }
        let samples: Vec<Sample> = runs.iter().filter_map(of_run).collect();
        if step.gang && is_uniform(&samples) {
            return Vec::new();
        }
        samples
    }

    /// Returns whether the time of a run is that of the machine: it began with nothing done, at
    /// full pace, and after the worker had warmed up.
    fn is_undisturbed(&self, placed: &Placement) -> bool {
        let cold_until = self.agents.get(&placed.agent).map_or(0, |agent| agent.cold_until);
        placed.from_scratch
            && placed.pace == 100
            && placed.phase != Phase::Stopping
            && placed.confirmed_at.is_some_and(|at| at >= cold_until)
    }

    fn sample(&self, placed: &Placement, step: &Step, time: f64) -> Sample {
        let far = !step.near.is_empty() && self.rack_of(&placed.agent) != Some(&step.near);
        Sample { machine: placed.agent.clone(), time, far, counted: placed.sampled.counted }
    }

    fn rack_of(&self, agent: &str) -> Option<&str> {
        Some(&self.agents.get(agent)?.worker.as_ref()?.rack)
    }

    /// Compares samples and adds those that have not been counted to the records of their machines.
    /// Returns how many were added.
    fn observe(&mut self, samples: &[Sample]) -> usize {
        let now = self.speeds.wall;
        let first = samples.first().and_then(|sample| self.agents.get(&sample.machine));
        let pool = first.and_then(|agent| agent.worker.as_ref()).map(|worker| &worker.pool);
        let median = pool.and_then(|pool| self.speeds.medians.get(pool)).copied().unwrap_or(1.0);
        let observations = compare(self.speed.get(), samples, median, now);
        let mut added = 0;
        for (sample, observation) in samples.iter().zip(observations) {
            let Some(observation) = observation else { continue };
            added += 1;
            self.speed.change(|speed| speed.observe(&sample.machine, observation, now));
            self.log_speed(&sample.machine);
        }
        added
    }
}

/// Returns whether the tasks of a step are alike, so that their times differ with the machines.
/// Tasks that use idle processors take as long as others let them.
fn is_comparable(step: &Step) -> bool {
    step.count > 1 && !step.perpetual && !step.fills
}

/// Returns how long a run has lasted since its worker confirmed it.
fn run_ms(placed: &Placement, now: u64) -> u64 {
    now.saturating_sub(placed.confirmed_at.unwrap_or(now))
}
