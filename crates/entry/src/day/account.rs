use std::collections::BTreeMap;

use super::phase::Phase;
use super::waste::LostRun;
use crate::line::Line;

/// History of one job, from the log lines about it.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// When an entry first received its submission.
    pub submitted_at: Option<f64>,
    /// When it was accepted.
    pub accepted_at: Option<f64>,
    /// Name of its queue.
    pub queue: String,
    /// Its steps in short form, as logged.
    pub shape: String,
    /// When an owner first had it.
    known_at: Option<f64>,
    /// When it ended, and its final state.
    ended: Option<(f64, String)>,
    /// Its objective in milliseconds; `None` if it has none or it was not logged.
    objective: Option<u64>,
    /// True if it runs on a schedule, for which each occurrence has an objective of its own.
    scheduled: bool,
    /// Milliseconds that its steps waited, by step and cause.
    waits: BTreeMap<String, BTreeMap<String, u64>>,
    /// Milliseconds that each task spent, by phase.
    tasks: BTreeMap<String, BTreeMap<Phase, u64>>,
    /// Runs whose end has not been logged, by task and run, with the time of their start order.
    open_runs: BTreeMap<(String, String), f64>,
    /// Its runs that were not the last of their tasks.
    pub lost_runs: Vec<LostRun>,
}

/// Result of a job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fate {
    InTime,
    Late,
    Failed,
    Cancelled,
    Open,
    Unaccepted,
    Scheduled,
}

impl Account {
    /// Records that an owner took over.
    pub fn on_takeover(&mut self, time: f64) {
        if self.accepted_at.is_some() {
            self.known_at.get_or_insert(time);
        }
    }

    /// Adds a line.
    pub fn add_line(&mut self, time: f64, line: &Line) {
        let text = line.text("msg");
        match line.text("event") {
            "accepted" => {
                self.add_submission(time, line);
                self.accepted_at.get_or_insert(time);
                self.queue = line.text("queue").to_owned();
                // The short form follows the words "version N".
                self.shape = text.splitn(3, ' ').nth(2).unwrap_or_default().to_owned();
            }
            "refused" if line.text("method") == "POST" => self.add_submission(time, line),
            "known" => {
                self.known_at.get_or_insert(time);
            }
            "waited" => self.add_waits(text),
            "start" => self.start_run(time, text),
            "run ended" => self.end_run(time, text),
            "run lost" | "run lapsed" | "run missing" => {
                self.mark_open_runs_lost(time, line.text("event"))
            }
            "job ended" => self.end_job(time, text),
            _ => {}
        }
    }

    /// The result of the job according to the lines.
    pub fn fate(&self) -> Fate {
        if self.accepted_at.is_none() && self.known_at.is_none() {
            return Fate::Unaccepted;
        }
        let Some((_, how)) = &self.ended else { return Fate::Open };
        match (how.as_str(), self.scheduled) {
            ("Cancelled", _) => Fate::Cancelled,
            ("Failed", _) => Fate::Failed,
            (_, true) => Fate::Scheduled,
            _ if self.lateness_ms() > 0 => Fate::Late,
            _ => Fate::InTime,
        }
    }

    /// Milliseconds from its first submission to its end.
    pub fn duration_ms(&self) -> Option<u64> {
        let (end, _) = self.ended.as_ref()?;
        Some(ms(end - self.submitted_at?))
    }

    /// Milliseconds by which it exceeded its objective.
    pub fn lateness_ms(&self) -> u64 {
        let took = self.duration_ms().unwrap_or_default();
        self.objective.map_or(0, |objective| took.saturating_sub(objective))
    }

    /// What its time was spent on, for the slowest task of each step. Tasks run concurrently, and
    /// some steps as well, so the phases of the faster ones are left out.
    pub fn phases(&self) -> BTreeMap<Phase, u64> {
        let mut sums: BTreeMap<Phase, u64> = BTreeMap::new();
        if let (Some(submitted), Some(accepted)) = (self.submitted_at, self.accepted_at) {
            sums.insert(Phase::Accepting, ms(accepted - submitted));
        }
        if let (Some(accepted), Some(known)) = (self.accepted_at, self.known_at) {
            sums.insert(Phase::ToOwner, ms(known - accepted));
        }
        for (cause, spent) in self.waits.values().flatten() {
            *sums.entry(Phase::Waited(cause.clone())).or_default() += spent;
        }
        let mut slowest: BTreeMap<&str, &BTreeMap<Phase, u64>> = BTreeMap::new();
        for (task, phases) in &self.tasks {
            let step = task.rsplit_once('.').map_or("", |(step, _)| step);
            let known = slowest.entry(step).or_insert(phases);
            if phases.values().sum::<u64>() > known.values().sum() {
                *known = phases;
            }
        }
        for (phase, spent) in slowest.into_values().flatten() {
            *sums.entry(phase.clone()).or_default() += spent;
        }
        sums.retain(|_, spent| *spent > 0);
        sums
    }

    /// Records when an entry received the submission: `ms` milliseconds before the line.
    fn add_submission(&mut self, time: f64, line: &Line) {
        let started_at = time - line.number("ms") as f64 / 1000.0;
        self.submitted_at =
            Some(self.submitted_at.map_or(started_at, |earliest| earliest.min(started_at)));
    }

    /// Parses `JOB.K.STEP: CAUSE N ms, CAUSE N ms`.
    fn add_waits(&mut self, text: &str) {
        let Some((step, causes)) = text.split_once(": ") else { return };
        let sums = self.waits.entry(step.to_owned()).or_default();
        for part in causes.split(", ") {
            let words = part.strip_suffix(" ms").and_then(|part| part.rsplit_once(' '));
            if let Some((cause, Ok(spent))) = words.map(|(cause, n)| (cause, n.parse::<u64>())) {
                *sums.entry(cause.to_owned()).or_default() += spent;
            }
        }
    }

    /// Parses `TASK run N at AGENT`.
    fn start_run(&mut self, time: f64, text: &str) {
        let words: Vec<&str> = text.split(' ').collect();
        let [task, "run", run, ..] = words[..] else { return };
        self.known_at.get_or_insert(time);
        // No end is logged for a run that was lost with its worker or its owner.
        let previous = self.open_runs.extract_if(.., |(known, _), _| known == task);
        for (_, started_at) in previous.collect::<Vec<_>>() {
            self.add_time(task, Phase::Lost("gone".to_owned()), ms(time - started_at));
            self.add_lost_run(task, "gone", ms(time - started_at), None);
        }
        self.open_runs.insert((task.to_owned(), run.to_owned()), time);
    }

    /// Parses `TASK run N HOW at AGENT, factor N, started after N ms, ran N ms, for JOB`.
    fn end_run(&mut self, time: f64, text: &str) {
        let words: Vec<&str> = text.split([' ', ',']).collect();
        let [task, "run", run, how, ..] = words[..] else { return };
        let Some(start) = self.open_runs.remove(&(task.to_owned(), run.to_owned())) else { return };
        let start_ms = words.iter().position(|word| *word == "after");
        let start_ms = start_ms.and_then(|at| words.get(at + 1)?.parse().ok()).unwrap_or(0);
        let ran_ms = ms(time - start).saturating_sub(start_ms);
        self.add_time(task, Phase::Start, start_ms);
        if how == "Done" {
            let factor = words.iter().position(|word| *word == "factor");
            let factor = factor.and_then(|at| words.get(at + 1)?.parse::<f64>().ok());
            let usual_ms = (ran_ms as f64 / factor.unwrap_or(1.0).max(1.0)) as u64;
            self.add_time(task, Phase::Ran, usual_ms);
            return self.add_time(task, Phase::Slowed, ran_ms - usual_ms);
        }
        self.add_time(task, Phase::Lost(how.to_owned()), ran_ms);
        let preempted_by = text.rsplit_once(", for ").map(|(_, job)| job.to_owned());
        self.add_lost_run(task, how, ran_ms, preempted_by);
    }

    fn add_lost_run(&mut self, task: &str, how: &str, ran_ms: u64, preempted_by: Option<String>) {
        let step = task.split('.').nth(2).and_then(|step| step.parse().ok()).unwrap_or(0);
        self.lost_runs.push(LostRun { step, how: how.to_owned(), ran_ms, preempted_by });
    }

    /// Accelerators of each task of a step, and whether the step saves checkpoints.
    pub fn step_shape(&self, number: usize) -> (u64, bool) {
        let words: Vec<&str> = self.shape.split(' ').collect();
        let accelerators = |word: &&str| word.split_once('x').and_then(|(_, n)| n.parse().ok());
        let begins = words.iter().enumerate().filter(|(_, word)| accelerators(word).is_some());
        let Some((at, word)) = begins.clone().nth(number) else { return (0, false) };
        let end = begins.map(|(next, _)| next).find(|next| *next > at).unwrap_or(words.len());
        (accelerators(word).unwrap_or(0), words[at..end].contains(&"saves"))
    }

    /// Closes all open runs as lost, since these lines name tasks in another form than the starts
    /// do.
    fn mark_open_runs_lost(&mut self, time: f64, event: &str) {
        let how = event.trim_start_matches("run ").to_owned();
        for ((task, _), started_at) in std::mem::take(&mut self.open_runs) {
            self.add_time(&task, Phase::Lost(how.clone()), ms(time - started_at));
            self.add_lost_run(&task, &how, ms(time - started_at), None);
        }
    }

    /// Parses `STATE, objective N ms` or `STATE, scheduled`.
    fn end_job(&mut self, time: f64, text: &str) {
        let (state, rest) = text.split_once(", ").unwrap_or((text, ""));
        self.ended.get_or_insert((time, state.to_owned()));
        self.scheduled = rest == "scheduled";
        let objective = rest.strip_prefix("objective ").and_then(|rest| rest.strip_suffix(" ms"));
        self.objective = objective.and_then(|objective| objective.parse().ok());
        for phases in self.tasks.values_mut() {
            phases.retain(|_, spent| *spent > 0);
        }
    }

    fn add_time(&mut self, task: &str, phase: Phase, spent: u64) {
        *self.tasks.entry(task.to_owned()).or_default().entry(phase).or_default() += spent;
    }
}

fn ms(seconds: f64) -> u64 {
    (seconds * 1000.0).round().max(0.0) as u64
}
