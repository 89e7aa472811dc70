use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use crate::event::{Event, Kind};

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Time at which the violation was detected.
    pub at: Duration,
    /// Description of the violation.
    pub what: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>9.3} s  {}", self.at.as_secs_f64(), self.what)
    }
}

/// Checks the invariants over the events of a run.
#[derive(Debug)]
pub struct Checker {
    /// Maximum time for which a gang may be partial.
    partial_bound: Duration,
    now: Duration,
    /// Masks of held accelerators, by worker and attempt.
    grants: BTreeMap<String, BTreeMap<u64, u64>>,
    gangs: BTreeMap<u64, Gang>,
    /// By team and request id.
    requests: BTreeMap<(String, String), Request>,
    /// Configuration version in force, by process.
    versions: BTreeMap<String, u64>,
    /// Highest configuration version recorded.
    recorded: u64,
    /// Owner of each epoch.
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
    /// Time since which some but not all members run.
    partial_since: Option<Duration>,
}

#[derive(Debug, Default)]
struct Request {
    idempotent: bool,
    /// Attempts of which at least one member started.
    started: BTreeSet<u64>,
    /// Submissions without a reply.
    unanswered: BTreeSet<u64>,
    /// Whether the last submission was refused as not run, with none since.
    refused: bool,
    outcomes: Vec<String>,
}

impl Checker {
    /// Creates a checker that allows a gang to be partial for `bound` at its start and
    /// its end.
    pub fn new(bound: Duration) -> Checker {
        Checker {
            partial_bound: bound,
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

    /// Checks the events of a whole run that ended at `end`, in any order.
    pub fn run(bound: Duration, events: &[Event], end: Duration) -> Vec<Violation> {
        let mut events: Vec<&Event> = events.iter().collect();
        events.sort_by_key(|event| event.at);
        let mut checker = Checker::new(bound);
        for event in events {
            checker.read(event);
        }
        checker.finish(end)
    }

    /// Processes the next event, in order of time.
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
                request.unanswered.insert(*call);
                request.refused = false;
            }
            Kind::Answered { call, team, request, outcome, whole } => {
                self.answered(*call, (team.clone(), request.clone()), outcome, *whole);
            }
            Kind::Recorded { version } => self.recorded = self.recorded.max(*version),
            Kind::Applied { version } => self.applied(&event.process, *version),
            Kind::Owned { epoch } => {
                if let Some(other) = self.epochs.insert(*epoch, event.process.clone()) {
                    self.add_violation(format!(
                        "epoch {epoch} owned by {other} and {}",
                        event.process
                    ));
                }
            }
        }
    }

    /// Ends the run at `end` and returns all violations.
    pub fn finish(mut self, end: Duration) -> Vec<Violation> {
        self.now = end;
        self.check_gangs();
        self.violations
    }

    fn add_violation(&mut self, what: String) {
        self.violations.push(Violation { at: self.now, what });
    }

    fn granted(&mut self, worker: &str, attempt: u64, mask: u64) {
        let held_masks = self.grants.entry(worker.to_owned()).or_default();
        let other = held_masks.iter().find(|(a, m)| **a != attempt && **m & mask != 0);
        let other = other.map(|(attempt, _)| *attempt);
        held_masks.insert(attempt, mask);
        if let Some(other) = other {
            self.add_violation(format!(
                "{worker}: accelerators {mask:#x} held by {other} and {attempt}"
            ));
        }
    }

    /// Ends all attempts at `worker` except `attempts`.
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
        let attempt_count = request.started.len();
        let refused = request.refused;
        let gang = self.gangs.entry(attempt).or_default();
        gang.members = members;
        gang.request = key;
        let already_ended = gang.done.contains(worker) || gang.broken.contains(worker);
        let already_running = !gang.running.insert(worker.to_owned());
        if already_ended || already_running {
            self.add_violation(format!("{name}: attempt {attempt} started twice at {worker}"));
        }
        if !idempotent && attempt_count > 1 {
            self.add_violation(format!(
                "{name}: non-idempotent, started by {attempt_count} attempts"
            ));
        }
        if refused {
            self.add_violation(format!("{name}: started after it was refused as not run"));
        }
        self.update_partial(attempt);
    }

    fn stopped(&mut self, worker: &str, attempt: u64, done: bool) {
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        if !gang.running.remove(worker) {
            return;
        }
        let set = if done { &mut gang.done } else { &mut gang.broken };
        set.insert(worker.to_owned());
        self.update_partial(attempt);
    }

    fn update_partial(&mut self, attempt: u64) {
        let now = self.now;
        let Some(gang) = self.gangs.get_mut(&attempt) else { return };
        let is_whole = gang.running.len() + gang.done.len() >= gang.members;
        if gang.running.is_empty() || is_whole {
            gang.partial_since = None;
        } else {
            gang.partial_since.get_or_insert(now);
        }
    }

    fn check_gangs(&mut self) {
        let overdue: Vec<u64> = self
            .gangs
            .iter()
            .filter(|(_, g)| {
                g.partial_since.is_some_and(|since| self.now > since + self.partial_bound)
            })
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in overdue {
            let gang = self.gangs.get_mut(&attempt).expect("listed above");
            gang.partial_since = None;
            let (team, request) = gang.request.clone();
            let what = format!(
                "{team}/{request}: gang {attempt} ran with {} of {} members beyond the bound",
                gang.running.len(),
                gang.members
            );
            self.add_violation(what);
        }
    }

    fn answered(&mut self, call: u64, key: (String, String), outcome: &str, whole: bool) {
        let name = format!("{}/{}", key.0, key.1);
        let request = self.requests.entry(key.clone()).or_default();
        request.unanswered.remove(&call);
        let started = !request.started.is_empty();
        let idempotent = request.idempotent;
        let not_run = matches!(outcome, "not_run" | "cancelled_not_run");
        if not_run {
            request.refused = request.unanswered.is_empty();
        }
        let final_outcomes = ["done", "failed", "cancelled_stopped", "cancelled_not_run"];
        let differs = request.outcomes.iter().any(|o| {
            !idempotent
                && final_outcomes.contains(&o.as_str())
                && final_outcomes.contains(&outcome)
                && o != outcome
        });
        request.outcomes.push(outcome.to_owned());
        if not_run && started {
            self.add_violation(format!("{name}: answered {outcome} although it had started"));
        }
        if !whole {
            self.add_violation(format!("{name}: the answer does not match its digest"));
        }
        if differs {
            self.add_violation(format!("{name}: answered {outcome} after another final outcome"));
        }
        if outcome == "done" {
            let gangs = self.gangs.values().filter(|g| g.request == key);
            let complete = gangs.into_iter().any(|g| g.done.len() == g.members);
            if started && !complete {
                self.add_violation(format!("{name}: answered done before all members were done"));
            }
            if !started {
                self.add_violation(format!("{name}: answered done but never started"));
            }
        }
    }

    fn applied(&mut self, process: &str, version: u64) {
        let previous = self.versions.insert(process.to_owned(), version).unwrap_or(0);
        if version < previous {
            self.add_violation(format!(
                "{process}: configuration {version} in force after {previous}"
            ));
        }
        if version > self.recorded {
            self.add_violation(format!(
                "{process}: configuration {version} in force, never recorded"
            ));
        }
    }
}
