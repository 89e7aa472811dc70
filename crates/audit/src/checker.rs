use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::event::{Event, Kind};

/// A broken invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// When it showed.
    pub at: Duration,
    /// What broke.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>9.3} s  {}", self.at.as_secs_f64(), self.what)
    }
}

/// Reads the events of a run.
#[derive(Debug)]
pub struct Checker {
    bound: Duration,
    now: Duration,
    /// Worker to attempt to mask.
    grants: BTreeMap<String, BTreeMap<u64, u64>>,
    gangs: BTreeMap<u64, Gang>,
    requests: BTreeMap<(String, String), Request>,
    versions: BTreeMap<String, u64>,
    recorded: u64,
    epochs: BTreeMap<u64, String>,
    violations: Vec<Violation>,
}

#[derive(Debug, Default)]
struct Gang {
    members: usize,
    request: (String, String),
    running: BTreeSet<String>,
    done: BTreeSet<String>,
    broken: BTreeSet<String>,
    /// Since when some but not all run.
    partial: Option<Duration>,
}

#[derive(Debug, Default)]
struct Request {
    idempotent: bool,
    /// Attempts of which a part started.
    started: BTreeSet<u64>,
    open: BTreeSet<u64>,
    /// The last submission was refused as not run and none came after it.
    refused: bool,
    outcomes: Vec<String>,
}

impl Checker {
    /// A checker that allows gangs to be partial for `bound` at start and end.
    pub fn new(bound: Duration) -> Checker {
        Checker {
            bound,
            now: Duration::ZERO,
            grants: BTreeMap::new(),
            gangs: BTreeMap::new(),
            requests: BTreeMap::new(),
            versions: BTreeMap::new(),
            recorded: 0,
            epochs: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Checks a whole run that ended at `end`.
    pub fn run(bound: Duration, events: &[Event], end: Duration) -> Vec<Violation> {
        let mut events: Vec<&Event> = events.iter().collect();
        events.sort_by_key(|event| event.at);
        let mut checker = Checker::new(bound);
        for event in events {
            checker.read(event);
        }
        checker.finish(end)
    }

    /// Reads the next event.
    pub fn read(&mut self, event: &Event) {
        self.now = event.at;
        self.check_gangs();
        match &event.kind {
            Kind::Granted { worker, attempt, mask } => self.granted(worker, *attempt, *mask),
            Kind::Freed { worker, attempt } => {
                self.grants.entry(worker.clone()).or_default().remove(attempt);
            }
            Kind::Recovered { worker, attempts } => self.recovered(worker, attempts),
            Kind::Vanished { worker } => self.recovered(worker, &[]),
            Kind::Started { worker, attempt, team, request, idempotent, members } => {
                let key = (team.clone(), request.clone());
                self.started(worker, *attempt, key, *idempotent, *members);
            }
            Kind::Stopped { worker, attempt, done } => self.stopped(worker, *attempt, *done),
            Kind::Submitted { call, team, request } => {
                let request = self.requests.entry((team.clone(), request.clone())).or_default();
                request.open.insert(*call);
                request.refused = false;
            }
            Kind::Answered { call, team, request, outcome, whole } => {
                self.answered(*call, (team.clone(), request.clone()), outcome, *whole);
            }
            Kind::Recorded { version } => self.recorded = self.recorded.max(*version),
            Kind::Applied { version } => self.applied(&event.process, *version),
            Kind::Owned { epoch } => {
                if let Some(other) = self.epochs.insert(*epoch, event.process.clone()) {
                    self.broken(format!("epoch {epoch} owned by {other} and {}", event.process));
                }
            }
        }
    }

    /// Ends the run and returns all that broke.
    pub fn finish(mut self, end: Duration) -> Vec<Violation> {
        self.now = end;
        self.check_gangs();
        self.violations
    }

    fn broken(&mut self, what: String) {
        self.violations.push(Violation { at: self.now, what });
    }

    fn granted(&mut self, worker: &str, attempt: u64, mask: u64) {
        let held = self.grants.entry(worker.to_owned()).or_default();
        let other = held.iter().find(|(a, m)| **a != attempt && **m & mask != 0);
        let other = other.map(|(attempt, _)| *attempt);
        held.insert(attempt, mask);
        if let Some(other) = other {
            self.broken(format!("{worker}: accelerators {mask:#x} held by {other} and {attempt}"));
        }
    }

    /// Only `attempts` go on at `worker`.
    fn recovered(&mut self, worker: &str, attempts: &[u64]) {
        self.grants.entry(worker.to_owned()).or_default().retain(|a, _| attempts.contains(a));
        let gangs = self.gangs.iter().filter(|(_, gang)| gang.running.contains(worker));
        let running: Vec<u64> = gangs.map(|(attempt, _)| *attempt).collect();
        for attempt in running.into_iter().filter(|attempt| !attempts.contains(attempt)) {
            self.stopped(worker, attempt, false);
        }
    }

    fn started(
        &mut self,
        worker: &str,
        attempt: u64,
        key: (String, String),
        idempotent: bool,
        members: usize,
    ) {
        let name = format!("{}/{}", key.0, key.1);
        let request = self.requests.entry(key.clone()).or_default();
        request.idempotent = idempotent;
        request.started.insert(attempt);
        let runs = request.started.len();
        let refused = request.refused;
        let gang = self.gangs.entry(attempt).or_default();
        gang.members = members;
        gang.request = key;
        let again = gang.done.contains(worker) || gang.broken.contains(worker);
        let twice = !gang.running.insert(worker.to_owned());
        if again || twice {
            self.broken(format!("{name}: attempt {attempt} started twice at {worker}"));
        }
        if !idempotent && runs > 1 {
            self.broken(format!("{name}: non-idempotent, started by {runs} attempts"));
        }
        if refused {
            self.broken(format!("{name}: started after it was refused as not run"));
        }
        self.note_partial(attempt);
    }

    fn stopped(&mut self, worker: &str, attempt: u64, done: bool) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if !gang.running.remove(worker) {
            return;
        }
        let set = if done { &mut gang.done } else { &mut gang.broken };
        set.insert(worker.to_owned());
        self.note_partial(attempt);
    }

    fn note_partial(&mut self, attempt: u64) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let whole = gang.running.len() + gang.done.len() >= gang.members;
        if gang.running.is_empty() || whole {
            gang.partial = None;
        } else {
            gang.partial.get_or_insert(now);
        }
    }

    fn check_gangs(&mut self) {
        let late: Vec<u64> = self
            .gangs
            .iter()
            .filter(|(_, g)| g.partial.is_some_and(|since| self.now > since + self.bound))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in late {
            let gang = self.gangs.get_mut(&attempt).expect("listed above");
            gang.partial = None;
            let (team, request) = gang.request.clone();
            let what = format!(
                "{team}/{request}: gang {attempt} ran with {} of {} members beyond the bound",
                gang.running.len(),
                gang.members
            );
            self.broken(what);
        }
    }

    fn answered(&mut self, call: u64, key: (String, String), outcome: &str, whole: bool) {
        let name = format!("{}/{}", key.0, key.1);
        let request = self.requests.entry(key.clone()).or_default();
        request.open.remove(&call);
        let started = !request.started.is_empty();
        let idempotent = request.idempotent;
        let not_run = matches!(outcome, "not_run" | "cancelled_not_run");
        if not_run {
            request.refused = request.open.is_empty();
        }
        let finals = ["done", "failed", "cancelled_stopped", "cancelled_not_run"];
        let differs = request.outcomes.iter().any(|o| {
            !idempotent && finals.contains(&o.as_str()) && finals.contains(&outcome) && o != outcome
        });
        request.outcomes.push(outcome.to_owned());
        if not_run && started {
            self.broken(format!("{name}: answered {outcome} although it had started"));
        }
        if !whole {
            self.broken(format!("{name}: the answer does not match its digest"));
        }
        if differs {
            self.broken(format!("{name}: answered {outcome} after another final outcome"));
        }
        if outcome == "done" {
            let gangs = self.gangs.values().filter(|g| g.request == key);
            let complete = gangs.into_iter().any(|g| g.done.len() == g.members);
            if started && !complete {
                self.broken(format!("{name}: answered done before all members were done"));
            }
            if !started {
                self.broken(format!("{name}: answered done but never started"));
            }
        }
    }

    fn applied(&mut self, process: &str, version: u64) {
        let before = self.versions.insert(process.to_owned(), version).unwrap_or(0);
        if version < before {
            self.broken(format!("{process}: configuration {version} in force after {before}"));
        }
        if version > self.recorded {
            self.broken(format!("{process}: configuration {version} in force, never recorded"));
        }
    }
}
