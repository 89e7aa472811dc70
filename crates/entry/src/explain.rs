//! Tells the story of one job from the logs of all processes.

use std::io::{BufRead, Write};

use serde_json::{Map, Value};

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
];

struct Line {
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
    let mut lines: Vec<Line> = Vec::new();
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
fn is_over(story: &[Line]) -> bool {
    let ended = story.iter().any(|line| line.about && line.event == "job ended");
    ended || story.last().is_some_and(|line| line.event == "refused")
}

fn parse(id: &str, text: &str) -> Option<Line> {
    let start = text.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
    let field = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default();
    let about = field("job") == id || field("msg").contains(id);
    if !about && !COMMON.contains(&field("event")) {
        return None;
    }
    let mut story = field("event").to_owned();
    for (name, value) in &fields {
        if ["t", "process", "event", "msg", "job", "level"].contains(&name.as_str()) {
            continue;
        }
        let value = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        story = format!("{story} {name}={value}");
    }
    if !field("msg").is_empty() {
        story = format!("{story}: {}", field("msg"));
    }
    let time = fields.get("t").and_then(Value::as_f64)?;
    let (process, event) = (field("process").to_owned(), field("event").to_owned());
    Some(Line { time, process, about, event, text: story })
}
