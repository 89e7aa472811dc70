use quincewheel_job::{Id, Incarnation, Run};

use crate::settings::Settings;

/// A run that may exist.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Name of the worker's agent.
    pub agent: String,
    /// Incarnation of the worker that was ordered to start it.
    pub worker: Incarnation,
    /// The run's number. Later starts of the same task have higher ones.
    pub run: u64,
    /// Whether it is starting, running or being stopped.
    pub phase: Phase,
    /// When it entered this phase, or was last listed by the worker if that is later.
    pub updated_at: u64,
    /// When the start was ordered, or when this owner first learned of the run.
    pub started_at: u64,
    /// When the worker first confirmed or listed it.
    pub confirmed_at: Option<u64>,
    /// Id of the unit of runs that can only be stopped together: a gang, or one run.
    pub unit: u64,
    /// Whether its start was ordered more than once.
    pub start_repeated: bool,
    /// Progress, from 0 to 100.
    pub percent: u32,
    /// When the progress last changed.
    pub progressed_at: u64,
    /// The share of full speed that it was last ordered to run at, in percent.
    pub pace: u32,
    /// Whether this owner started it, and without a checkpoint: only then is its run time that
    /// of the whole task.
    pub from_scratch: bool,
    /// When the worker first listed it, by the agent's clock.
    pub first_listed_at: Option<u64>,
    /// Whether the worker has kept running for long enough after the start that the task did
    /// not crash it.
    pub survived_start: bool,
    /// What its progress tells about the speed of the machine.
    pub sampled: Sampled,
    /// The job that it was stopped for.
    pub preempted_by: Option<Id>,
    /// Whether its end as done would be the first of its task, and no previous owner can hear of it.
    pub unheard: bool,
}

impl Placement {
    /// Creates a run whose start is ordered now, without a checkpoint.
    pub fn starting(
        agent: &str,
        worker: &Incarnation,
        (run, unit): (u64, u64),
        now: u64,
    ) -> Placement {
        Placement {
            agent: agent.to_owned(),
            worker: worker.clone(),
            run,
            phase: Phase::Starting,
            updated_at: now,
            started_at: now,
            confirmed_at: None,
            unit,
            start_repeated: false,
            percent: 0,
            progressed_at: now,
            pace: 100,
            from_scratch: true,
            first_listed_at: None,
            survived_start: false,
            sampled: Sampled::default(),
            preempted_by: None,
            unheard: true,
        }
    }

    /// Creates a run that its worker lists and that a previous owner started.
    pub fn adopted(agent: &str, worker: &Incarnation, run: &Run, unit: u64, now: u64) -> Placement {
        Placement {
            phase: Phase::Running,
            confirmed_at: Some(now),
            percent: run.percent,
            from_scratch: false,
            ..Placement::starting(agent, worker, (run.number, unit), now)
        }
    }

    /// Updates the progress, and returns whether half of the work has just been passed.
    pub fn update_progress(&mut self, percent: u32, now: u64) -> bool {
        if self.percent == percent {
            return false;
        }
        let passes_half = self.percent < 50 && percent >= 50;
        self.progressed_at = now;
        self.percent = percent;
        if (MIN_SAMPLED_PERCENT..100).contains(&percent) {
            self.sampled.latest = Some((percent, now));
        }
        passes_half
    }

    /// Formats for the log how long the start took to be confirmed, how long the run lasted from
    /// there, and which job preempted it. Empty if the start was never confirmed.
    pub fn timing_detail(&self, now: u64) -> String {
        let Some(confirmed) = self.confirmed_at else { return String::new() };
        let (start, ran) = (confirmed - self.started_at, now - confirmed);
        let to = self.preempted_by.as_ref().map(|id| format!(", for {id}")).unwrap_or_default();
        format!(", started after {start} ms, ran {ran} ms{to}")
    }

    /// Returns whether the run, going by its progress, will end about as soon as a stop would
    /// take effect. Stopping it would then lose its work and gain no time.
    pub fn ends_soon(&self, settings: &Settings, now: u64) -> bool {
        if !self.from_scratch
            || self.phase != Phase::Running
            || self.percent < MIN_EXTRAPOLATION_PERCENT
        {
            return false;
        }
        let ran = self.updated_at.saturating_sub(self.started_at);
        let left = ran * u64::from(100 - self.percent.min(100)) / u64::from(self.percent);
        self.updated_at + left <= now + settings.stop_timeout + settings.completion_grace
    }
}

/// What the progress of a run tells about the speed of its machine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sampled {
    /// The latest progress in percent before the run was complete, and when it was reported.
    pub latest: Option<(u32, u64)>,
    /// Whether the run has been counted as an observation. Each is counted once: several
    /// observations of the same run would seem more certain than they are.
    pub counted: bool,
}

/// Progress from which on the speed of a run is judged. It is reported in whole percent, so that at
/// less a rounded report is off by more than 5 %.
const MIN_SAMPLED_PERCENT: u32 = 20;

/// Progress from which on the remaining time of a run can be extrapolated.
const MIN_EXTRAPOLATION_PERCENT: u32 = 70;

/// The last known state of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    /// Its start was ordered and has not been confirmed.
    Starting,
    /// Its worker has confirmed or listed it.
    Running,
    /// Its stop was ordered.
    Stopping,
}
