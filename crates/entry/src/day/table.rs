use std::collections::BTreeMap;
use std::io::{self, Write};

use super::account::{Account, Fate};
use super::phase::Phase;

/// The jobs of a period, written as two tables.
pub(crate) struct Table<'a> {
    zero: f64,
    jobs: Vec<(&'a str, &'a Account)>,
}

/// Columns of the first table, with their headings.
const FATES: [(Fate, &str); 7] = [
    (Fate::InTime, "in time"),
    (Fate::Late, "late"),
    (Fate::Failed, "failed"),
    (Fate::Open, "open"),
    (Fate::Unaccepted, "not accepted"),
    (Fate::Cancelled, "cancelled"),
    (Fate::Scheduled, "scheduled"),
];

impl<'a> Table<'a> {
    /// Sorts the jobs by the time of their submission.
    pub fn new(zero: f64, jobs: &'a BTreeMap<String, Account>) -> Table<'a> {
        let mut jobs: Vec<_> = jobs.iter().map(|(id, job)| (id.as_str(), job)).collect();
        jobs.sort_by(|a, b| {
            a.1.submitted_at.unwrap_or(0.0).total_cmp(&b.1.submitted_at.unwrap_or(0.0))
        });
        Table { zero, jobs }
    }

    /// Writes both tables.
    pub fn write(&self, mut out: impl Write) -> io::Result<()> {
        self.write_queues(&mut out)?;
        writeln!(out)?;
        self.write_late(&mut out)
    }

    /// Writes how the jobs of each queue ended, and what the time of the late ones was spent on,
    /// in milliseconds per late job.
    fn write_queues(&self, out: &mut impl Write) -> io::Result<()> {
        let heads: Vec<&str> = FATES.iter().map(|(_, head)| *head).collect();
        writeln!(out, "queue jobs: {}; late ones, ms each", heads.join(", "))?;
        let mut queues: BTreeMap<&str, Vec<&Account>> = BTreeMap::new();
        for (_, job) in &self.jobs {
            queues.entry(&job.queue).or_default().push(job);
        }
        for (queue, jobs) in queues {
            let count = |fate: Fate| jobs.iter().filter(|job| job.fate() == fate).count();
            let counts: Vec<String> =
                FATES.iter().map(|(fate, _)| count(*fate).to_string()).collect();
            let late: Vec<&&Account> = jobs.iter().filter(|job| job.fate() == Fate::Late).collect();
            let mut sums: BTreeMap<Phase, u64> = BTreeMap::new();
            for (phase, spent) in late.iter().flat_map(|job| job.phases()) {
                *sums.entry(phase).or_default() += spent;
            }
            sums.values_mut().for_each(|spent| *spent /= late.len().max(1) as u64);
            writeln!(
                out,
                "{queue} {}: {}; {}",
                jobs.len(),
                counts.join(", "),
                format_phases(&sums)
            )?;
        }
        Ok(())
    }

    /// Writes a line for each job that was late, failed, or did not end.
    fn write_late(&self, out: &mut impl Write) -> io::Result<()> {
        writeln!(out, "asked at, job, queue, fate, took, late by: where its time went")?;
        for (id, job) in &self.jobs {
            let fate = job.fate();
            if !matches!(fate, Fate::Late | Fate::Failed | Fate::Open | Fate::Unaccepted) {
                continue;
            }
            let at = job.submitted_at.unwrap_or(self.zero) - self.zero;
            let took = job.duration_ms().map_or("-".to_owned(), |took| took.to_string());
            let (late, spent) = (job.lateness_ms(), format_phases(&job.phases()));
            let (queue, shape) = (&job.queue, &job.shape);
            writeln!(
                out,
                "{at:>8.3} {id} {queue} ({shape}) {fate:?}, {took} ms, {late} ms: {spent}"
            )?;
        }
        Ok(())
    }
}

fn format_phases(phases: &BTreeMap<Phase, u64>) -> String {
    let parts: Vec<String> =
        phases.iter().map(|(phase, spent)| format!("{} {spent}", phase.name())).collect();
    if parts.is_empty() { "-".to_owned() } else { parts.join(", ") }
}
