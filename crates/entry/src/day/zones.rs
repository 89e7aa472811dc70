use std::collections::BTreeMap;
use std::io::Write;

use crate::line::Line;

/// Evacuations of availability zones, from the log lines.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    evacuated: BTreeMap<String, Vec<Span>>,
}

/// Times of one evacuation, in seconds, as the owner logged them.
#[derive(Debug)]
struct Span {
    started_at: f64,
    empty_at: Option<f64>,
    ended_at: Option<f64>,
}

impl Zones {
    /// Adds a line. A new owner logs an evacuation that is in progress again.
    pub fn add_line(&mut self, time: f64, line: &Line) {
        let spans = self.evacuated.entry(line.text("job").to_owned()).or_default();
        let open = spans.last_mut().filter(|span| span.ended_at.is_none());
        match (line.text("event"), open) {
            ("zone evacuated", None) => {
                spans.push(Span { started_at: time, empty_at: None, ended_at: None })
            }
            ("zone empty", Some(span)) => _ = span.empty_at.get_or_insert(time),
            ("evacuation over", Some(span)) => span.ended_at = Some(time),
            _ => {}
        }
    }

    /// Writes a line for each evacuation, with times relative to `zero`.
    pub fn write(&self, zero: f64, mut out: impl Write) -> std::io::Result<()> {
        let spans =
            self.evacuated.iter().flat_map(|(zone, spans)| spans.iter().map(move |s| (zone, s)));
        for (index, (zone, span)) in spans.enumerate() {
            if index == 0 {
                writeln!(out, "\nzones evacuated: at, empty, taken back")?;
            }
            let at = |time: Option<f64>| match time {
                Some(time) => format!("{:.3}", time - zero),
                None => "-".to_owned(),
            };
            let (started_at, empty_at, ended_at) =
                (at(Some(span.started_at)), at(span.empty_at), at(span.ended_at));
            writeln!(out, "{zone}: {started_at}, {empty_at}, {ended_at}")?;
        }
        Ok(())
    }
}
