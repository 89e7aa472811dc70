//! Summarises the logs of a period: which jobs were late or lost, and what their time was spent
//! on.

mod account;
mod doubts;
mod phase;
mod table;
mod waste;
mod zones;

use std::collections::BTreeMap;
use std::io::{BufRead, Write};

use self::account::Account;
use self::doubts::Doubts;
use self::table::Table;
use self::waste::Waste;
use self::zones::Zones;
use crate::line::Line;

/// Reads the log lines of all processes, in any order, and writes a table of queues, one of the
/// jobs that were late, failed or did not end, one of the work that was lost, one of the
/// availability zones that were evacuated, and one of the workers that were doubted.
///
/// Times count from `zero`, in seconds since 1970, or from the first job. Returns the number of
/// jobs.
pub fn sum_up(
    zero: Option<f64>,
    logs: impl BufRead,
    mut out: impl Write,
) -> std::io::Result<usize> {
    let mut lines = Vec::new();
    for text in logs.lines() {
        let line = Line::parse(&text?);
        lines.extend(line.and_then(|line| line.time().map(|time| (time, line))));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut jobs: BTreeMap<String, Account> = BTreeMap::new();
    let mut zones = Zones::default();
    let mut doubts = Doubts::default();
    for (time, line) in &lines {
        match line.text("event") {
            // A new owner loads all jobs accepted before.
            "owner" => jobs.values_mut().for_each(|job| job.on_takeover(*time)),
            "zone evacuated" | "zone empty" | "evacuation over" => zones.add_line(*time, line),
            "worker doubted" | "worker sound again" => doubts.add_line(*time, line),
            _ if line.text("job").is_empty() => {}
            _ => jobs.entry(line.text("job").to_owned()).or_default().add_line(*time, line),
        }
    }
    jobs.retain(|_, job| job.submitted_at.is_some());
    let first = jobs.values().filter_map(|job| job.submitted_at).min_by(f64::total_cmp);
    let zero = zero.or(first).unwrap_or_default();
    Table::new(zero, &jobs).write(&mut out)?;
    writeln!(out)?;
    Waste::new(&jobs).write(&mut out)?;
    zones.write(zero, &mut out)?;
    doubts.write(zero, &mut out)?;
    Ok(jobs.len())
}
