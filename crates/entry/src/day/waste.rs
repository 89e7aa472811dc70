use std::collections::BTreeMap;
use std::io::{self, Write};

use super::account::Account;

/// A run that was not the last of its task. Its work was lost, except for what a checkpoint saved.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    /// Index of its step in the job.
    pub step: usize,
    /// How it ended.
    pub how: String,
    /// How long it ran, in milliseconds.
    pub ran_ms: u64,
    /// The job that it was preempted for, if any.
    pub preempted_by: Option<String>,
}

/// Lost work by the queue that lost it, by how the runs ended, and by the queue that they were
/// preempted for.
pub(crate) struct Waste<'a> {
    rows: BTreeMap<(&'a str, &'a str, &'a str), Sum>,
}

#[derive(Default)]
struct Sum {
    runs: u64,
    /// Accelerator time, in milliseconds.
    accelerator_ms: u64,
    /// Runs that ended within [`RECENT_START_MS`] of their start.
    recent: u64,
    /// Runs of steps that do not save checkpoints.
    unsaved: u64,
}

/// A run that ended sooner after its start should not have been started.
const RECENT_START_MS: u64 = 1000;

impl<'a> Waste<'a> {
    /// Sums up the lost runs of all jobs.
    pub fn new(jobs: &'a BTreeMap<String, Account>) -> Waste<'a> {
        let mut rows: BTreeMap<(&str, &str, &str), Sum> = BTreeMap::new();
        for (job, run) in
            jobs.values().flat_map(|job| job.lost_runs.iter().map(move |run| (job, run)))
        {
            let other = run.preempted_by.as_ref().and_then(|to| jobs.get(to));
            let to = other.map_or("-", |other| other.queue.as_str());
            let (accelerators, saves) = job.step_shape(run.step);
            let sum = rows.entry((&job.queue, &run.how, to)).or_default();
            sum.runs += 1;
            sum.accelerator_ms += run.ran_ms * accelerators;
            sum.recent += u64::from(run.ran_ms < RECENT_START_MS);
            sum.unsaved += u64::from(!saves);
        }
        Waste { rows }
    }

    /// Writes the table.
    pub fn write(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "thrown away, how, for: runs, accelerator-s, begun within 1 s, unsaved")?;
        for ((queue, how, to), sum) in &self.rows {
            let Sum { runs, accelerator_ms, recent, unsaved } = sum;
            writeln!(
                out,
                "{queue} {how} {to}: {runs}, {}, {recent}, {unsaved}",
                accelerator_ms / 1000
            )?;
        }
        Ok(())
    }
}
