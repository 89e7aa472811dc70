use std::collections::BTreeMap;
use std::io::Write;

use crate::line::Line;

/// What the lines tell of availability zones that were evacuated.
#[derive(Debug, Default)]
pub(crate) struct Zones {
    evacuated: BTreeMap<String, Vec<Span>>,
}

/// One evacuation, by the seconds at which an owner told each part of it.
#[derive(Debug)]
struct Span {
    begun: f64,
    empty: Option<f64>,
    over: Option<f64>,
}

impl Zones {
    /// Takes a line in. A later owner tells what goes on anew.
    pub fn take(&mut self, time: f64, line: &Line) {
        let spans = self.evacuated.entry(line.text("job").to_owned()).or_default();
        let open = spans.last_mut().filter(|span| span.over.is_none());
        match (line.text("event"), open) {
            ("zone evacuated", None) => spans.push(Span { begun: time, empty: None, over: None }),
            ("zone empty", Some(span)) => _ = span.empty.get_or_insert(time),
            ("evacuation over", Some(span)) => span.over = Some(time),
            _ => {}
        }
    }

    /// Writes a line for each evacuation, with its times from `zero` on.
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
            let (begun, empty, over) = (at(Some(span.begun)), at(span.empty), at(span.over));
            writeln!(out, "{zone}: {begun}, {empty}, {over}")?;
        }
        Ok(())
    }
}
