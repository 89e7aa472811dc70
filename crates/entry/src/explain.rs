//! Prints the history of one job from the logs of all processes.

use std::io::{BufRead, Write};

use crate::line::Line;

/// Events without a job that affect all jobs.
const GLOBAL_EVENTS: &[&str] = &[
    "owner",
    "deposed",
    "unsettled",
    "settled",
    "table lost",
    "table back",
    "agent lost",
    "drain",
    "operators not heard",
    "operators heard",
    "zone evacuated",
    "evacuation over",
    "zone empty",
];

struct Record {
    time: f64,
    process: String,
    is_about_job: bool,
    event: String,
    text: String,
}

/// Reads log lines and writes those about `id` in the order of their time, together with the
/// changes of owner and the outages between them, and up to the end of the logs if the job has not
/// ended. A line may have a prefix before its JSON, as log collectors add. Returns the number of
/// lines about the job.
pub fn explain(id: &str, logs: impl BufRead, mut out: impl Write) -> std::io::Result<usize> {
    let mut lines: Vec<Record> = Vec::new();
    for text in logs.lines() {
        lines.extend(parse(id, &text?));
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let first = lines.iter().position(|line| line.is_about_job);
    let last = lines.iter().rposition(|line| line.is_about_job);
    let (Some(first), Some(last)) = (first, last) else { return Ok(0) };
    let started_at = lines[first].time;
    let end = if is_complete(&lines[first..=last]) { last + 1 } else { lines.len() };
    for line in &lines[first..end] {
        let mark = if line.is_about_job { ' ' } else { '.' };
        let at = line.time - started_at;
        writeln!(out, "{at:>9.3}{mark} {:<24} {}", line.process, line.text)?;
    }
    Ok(lines.iter().filter(|line| line.is_about_job).count())
}

/// True if no more lines are expected: the job ended, or its last line is a refusal.
fn is_complete(records: &[Record]) -> bool {
    let ended = records.iter().any(|line| line.is_about_job && line.event == "job ended");
    ended || records.last().is_some_and(|line| line.event == "refused")
}

fn parse(id: &str, text: &str) -> Option<Record> {
    let line = Line::parse(text)?;
    let is_about_job = line.text("job") == id || line.text("msg").contains(id);
    if !is_about_job && !GLOBAL_EVENTS.contains(&line.text("event")) {
        return None;
    }
    let mut summary = line.text("event").to_owned();
    for (name, value) in line.fields() {
        if ["t", "process", "event", "msg", "job", "level"].contains(&name.as_str()) {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        summary = format!("{summary} {name}={value}");
    }
    if !line.text("msg").is_empty() {
        summary = format!("{summary}: {}", line.text("msg"));
    }
    let (process, event) = (line.text("process").to_owned(), line.text("event").to_owned());
    Some(Record { time: line.time()?, process, is_about_job, event, text: summary })
}
