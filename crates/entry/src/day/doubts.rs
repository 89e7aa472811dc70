use std::collections::BTreeMap;
use std::io::Write;

use crate::line::Line;

/// Workers that were doubted, from the log lines.
#[derive(Debug, Default)]
pub(crate) struct Doubts {
    workers: BTreeMap<String, Vec<Span>>,
}

/// Times of one doubt, in seconds, as the owner logged them.
#[derive(Debug)]
struct Span {
    started_at: f64,
    /// Trials that failed.
    failed_trials: u32,
    sound_at: Option<f64>,
}

impl Doubts {
    /// Adds a line. The owner logs a doubt again with each failed trial.
    pub fn add_line(&mut self, time: f64, line: &Line) {
        let spans = self.workers.entry(line.text("job").to_owned()).or_default();
        let open = spans.last_mut().filter(|span| span.sound_at.is_none());
        match (line.text("event"), open) {
            ("worker doubted", Some(span)) => span.failed_trials += 1,
            ("worker doubted", None) => {
                spans.push(Span { started_at: time, failed_trials: 0, sound_at: None })
            }
            (_, Some(span)) => span.sound_at = Some(time),
            _ => {}
        }
    }

    /// Writes a line for each doubt, with times relative to `zero`.
    pub fn write(&self, zero: f64, mut out: impl Write) -> std::io::Result<()> {
        let spans =
            self.workers.iter().flat_map(|(worker, spans)| spans.iter().map(move |s| (worker, s)));
        for (index, (worker, span)) in spans.enumerate() {
            if index == 0 {
                writeln!(out, "\nworkers doubted: at, failed trials, sound again")?;
            }
            let at = |time: f64| format!("{:.3}", time - zero);
            let sound_at = span.sound_at.map_or("-".to_owned(), at);
            writeln!(out, "{worker}: {}, {}, {sound_at}", at(span.started_at), span.failed_trials)?;
        }
        Ok(())
    }
}
