use std::collections::BTreeMap;
use std::time::Duration;

use quincewheel_schema::v1::BurnView;

/// Counts good and bad events against the service-level objectives.
///
/// Counts are kept in buckets of one minute for one hour, so that those of several entries can be
/// added. An error budget burns at rate 1 when exactly the allowed share of events is bad.
#[derive(Debug, Default)]
pub struct Burn {
    rows: BTreeMap<(String, Objective), Row>,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Objective {
    /// The answer was sent before the deadline.
    Answered,
    /// The outcome is not `unknown`.
    OutcomeKnown,
    /// The job was not refused as not run.
    Accepted,
}

#[derive(Debug, Default)]
struct Row {
    /// Good and bad events by minute.
    buckets: BTreeMap<u64, (u64, u64)>,
    good: u64,
    bad: u64,
}

const LONG_WINDOW_MINUTES: u64 = 60;
const SHORT_WINDOW_MINUTES: u64 = 5;
/// Burn rate that alerts when both windows exceed it. It uses up a month's budget in two days.
const ALERT_BURN_RATE: f64 = 14.4;

impl Objective {
    fn name(self) -> &'static str {
        match self {
            Objective::Answered => "answered",
            Objective::OutcomeKnown => "outcome_known",
            Objective::Accepted => "accepted",
        }
    }

    /// Share of events that must be good, in percent.
    fn target(self) -> f64 {
        match self {
            Objective::Answered => 99.9,
            Objective::OutcomeKnown => 99.99,
            Objective::Accepted => 99.0,
        }
    }
}

impl Burn {
    /// Counts one event at `now`.
    pub fn count(&mut self, team: &str, objective: Objective, good: bool, now: Duration) {
        let minute = now.as_secs() / 60;
        let row = self.rows.entry((team.to_owned(), objective)).or_default();
        let bucket = row.buckets.entry(minute).or_default();
        if good {
            bucket.0 += 1;
            row.good += 1;
        } else {
            bucket.1 += 1;
            row.bad += 1;
        }
        row.buckets.retain(|at, _| at + LONG_WINDOW_MINUTES > minute);
    }

    /// Returns the report at `now`, a row for each team and objective.
    pub fn report(&self, now: Duration) -> Vec<BurnView> {
        let minute = now.as_secs() / 60;
        let view = |((team, objective), row): (&(String, Objective), &Row)| {
            let budget = 1.0 - objective.target() / 100.0;
            let rate = |minutes: u64| {
                let recent = row.buckets.iter().filter(|(at, _)| **at + minutes > minute);
                let (good, bad) =
                    recent.fold((0, 0), |(good, bad), (_, (g, b))| (good + g, bad + b));
                let all = good + bad;
                if all == 0 { 0.0 } else { bad as f64 / all as f64 / budget }
            };
            let (short, long) = (rate(SHORT_WINDOW_MINUTES), rate(LONG_WINDOW_MINUTES));
            BurnView {
                team: team.clone(),
                objective: objective.name().to_owned(),
                target_percent: objective.target(),
                good: row.good,
                bad: row.bad,
                burn_short: short,
                burn_long: long,
                alert: short >= ALERT_BURN_RATE && long >= ALERT_BURN_RATE,
            }
        };
        self.rows.iter().map(view).collect()
    }
}
