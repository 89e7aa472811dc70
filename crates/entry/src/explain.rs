//! Prints the history of one job from the logs of all processes.

use std::io::{BufRead, Write};

use quincewheel_dispatch::Cause;

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
    "queue changed",
    "evacuation over",
    "zone empty",
];

struct Record {
    time: f64,
    process: String,
    is_about_job: bool,
    event: String,
    message: String,
    text: String,
}

/// What the last line about a waiting step says.
struct Reason<'a> {
    /// The step, as `JOB.OCCURRENCE.STEP`.
    step: &'a str,
    /// For how long it had waited, in milliseconds.
    waited_ms: u64,
    cause: &'a str,
}

impl Reason<'_> {
    /// Reads the message of a `waits` or `stands` line.
    fn parse(message: &str) -> Option<Reason<'_>> {
        let (head, rest) = message.split_once(": ")?;
        let (cause, _) = rest.split_once(':')?;
        let mut parts = head.split(", ");
        let step = parts.next()?;
        let ms = parts.find_map(|part| part.strip_suffix(" ms"))?;
        Some(Reason { step, waited_ms: ms.parse().ok()?, cause })
    }
}

/// Reads log lines and writes those about `id` in the order of their time, together with the
/// changes of owner and the outages between them, and up to the end of the logs if the job has not
/// ended. The last line then says why it does not run, if a process has logged that since the last
/// start. A line may have a prefix before its JSON, as log collectors add. Returns the number of
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
    if let Some(conclusion) = conclusion(id, &lines[first..end]) {
        writeln!(out, "{conclusion}")?;
    }
    Ok(lines.iter().filter(|line| line.is_about_job).count())
}

/// True if no more lines are expected: the job ended, or its last line is a refusal.
fn is_complete(records: &[Record]) -> bool {
    let ended = records.iter().any(|line| line.is_about_job && line.event == "job ended");
    ended || records.last().is_some_and(|line| line.event == "refused")
}

/// Returns why a job does not run, since when, and what ends that, as the last line about one of
/// its steps says; none if the job has ended or the step has started since.
fn conclusion(id: &str, records: &[Record]) -> Option<String> {
    if is_complete(records) {
        return None;
    }
    let started_at = records.first()?.time;
    let own = format!("{id}.");
    let told = |line: &Record| {
        ["waits", "stands"].contains(&&line.event[..]) && line.message.starts_with(&own)
    };
    let last = records.iter().rposition(told)?;
    let line = &records[last];
    let Reason { step, waited_ms, cause } = Reason::parse(&line.message)?;
    let task = format!("{step}.");
    let starts = |line: &Record| line.event == "start" && line.message.starts_with(&task);
    if records[last..].iter().any(starts) {
        return None;
    }
    let since = line.time - waited_ms as f64 / 1000.0 - started_at;
    let ends = Cause::named(cause).map_or("not known", Cause::ends_when);
    let (by, at) = (&line.process, line.time - started_at);
    Some(format!(
        "{step} does not run, since {since:.3} (told by {by} at {at:.3}): {cause}; ends when {ends}"
    ))
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
    let message = line.text("msg").to_owned();
    Some(Record { time: line.time()?, process, is_about_job, event, message, text: summary })
}
