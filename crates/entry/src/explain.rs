//! Tells the story of one job from the logs of all processes.

use std::io::{BufRead, Write};

use crate::line::Line;

/// Events that concern no job, and yet what became of each.
const COMMON: &[&str] = &[
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

struct Told {
    time: f64,
    process: String,
    about: bool,
    event: String,
    text: String,
}

/// Reads log lines and writes those about `id` in the order of their time,
/// with the changes of owner and the outages that fall between them, and for a job
/// that has not ended those since. A line may have something before its JSON, as
/// collectors of logs put there. Returns how many lines were about the job.
pub fn explain(id: &str, logs: impl BufRead, mut out: impl Write) -> std::io::Result<usize> {
    let mut lines: Vec<Told> = Vec::new();
    for text in logs.lines() {
        lines.extend(parse(id, &text?));
    }
    lines.sort_by(|a, b| a.time.total_cmp(&b.time));
    let first = lines.iter().position(|line| line.about);
    let last = lines.iter().rposition(|line| line.about);
    let (Some(first), Some(last)) = (first, last) else { return Ok(0) };
    let begin = lines[first].time;
    let end = if is_over(&lines[first..=last]) { last + 1 } else { lines.len() };
    for line in &lines[first..end] {
        let mark = if line.about { ' ' } else { '.' };
        let at = line.time - begin;
        writeln!(out, "{at:>9.3}{mark} {:<24} {}", line.process, line.text)?;
    }
    Ok(lines.iter().filter(|line| line.about).count())
}

/// True if nothing more can be expected: the job ended, or was refused last.
fn is_over(story: &[Told]) -> bool {
    let ended = story.iter().any(|line| line.about && line.event == "job ended");
    ended || story.last().is_some_and(|line| line.event == "refused")
}

fn parse(id: &str, text: &str) -> Option<Told> {
    let line = Line::read(text)?;
    let about = line.text("job") == id || line.text("msg").contains(id);
    if !about && !COMMON.contains(&line.text("event")) {
        return None;
    }
    let mut story = line.text("event").to_owned();
    for (name, value) in line.fields() {
        if ["t", "process", "event", "msg", "job", "level"].contains(&name.as_str()) {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        story = format!("{story} {name}={value}");
    }
    if !line.text("msg").is_empty() {
        story = format!("{story}: {}", line.text("msg"));
    }
    let (process, event) = (line.text("process").to_owned(), line.text("event").to_owned());
    Some(Told { time: line.time()?, process, about, event, text: story })
}
