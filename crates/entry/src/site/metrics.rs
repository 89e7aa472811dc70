use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use quincewheel_dispatch::{Cause, ClearanceCalls, Grade};
use quincewheel_http::Intake;
use quincewheel_job::Answer;
use quincewheel_peer::Traffic;
use quincewheel_share::Account;
use quincewheel_wire::Refused;

/// Metrics of an entry on the platform.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    calls: Family<Call, Counter>,
    latency: Histogram,
    decisions: Family<Decision, Counter>,
    waits: Family<Wait, Gauge>,
    standing_jobs: Family<Wait, Gauge>,
    refused_starts: Family<Wait, Gauge>,
    clearance_calls: Family<ClearanceCall, Gauge>,
    workers: Family<Trust, Gauge>,
    unlisted_runs: Gauge,
    claims: Gauge,
    claimed_accelerators: Gauge,
    evacuated_zones: Gauge,
    evacuated_busy: Gauge,
    skipped_entries: Family<List, Counter>,
    traffic: Arc<Traffic>,
    displaced_handshakes: Gauge,
    known_speeds: Gauge,
    uneven_machines: Gauge,
    team_usage: Family<Team, Seconds>,
    team_put_back: Family<Team, Seconds>,
    /// The teams of the two metrics above.
    listed_teams: Mutex<Vec<String>>,
    /// Epoch of this entry's ownership; 0 if it does not own.
    pub epoch: Gauge,
    /// Unfinished jobs of the owner.
    pub jobs: Gauge,
    /// Version of the configuration in force.
    pub config: Gauge,
    /// Milliseconds since the table last confirmed that the configuration is current.
    pub config_age: Gauge,
    /// 1 while the table does not answer.
    pub table_lost: Gauge,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Call {
    method: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Decision {
    event: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct List {
    list: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Wait {
    cause: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClearanceCall {
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Trust {
    grade: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct Team {
    team: String,
}

type Seconds = Gauge<f64, AtomicU64>;

/// Upper bound of the first latency bucket in seconds, and the number of buckets, each twice as
/// wide: 0.5 ms to 8 s.
const LATENCY_BUCKETS: (f64, u16) = (0.0005, 15);

impl Metrics {
    /// Creates the metrics, with those of `intake` and of the connections to other processes.
    pub fn new(intake: &Intake, traffic: Arc<Traffic>) -> Metrics {
        let (smallest, count) = LATENCY_BUCKETS;
        let metrics = Metrics {
            registry: Mutex::new(Registry::with_prefix("quincewheel_entry")),
            calls: Family::default(),
            latency: Histogram::new(exponential_buckets(smallest, 2.0, count)),
            decisions: Family::default(),
            waits: Family::default(),
            standing_jobs: Family::default(),
            refused_starts: Family::default(),
            clearance_calls: Family::default(),
            workers: Family::default(),
            unlisted_runs: Gauge::default(),
            claims: Gauge::default(),
            claimed_accelerators: Gauge::default(),
            evacuated_zones: Gauge::default(),
            evacuated_busy: Gauge::default(),
            skipped_entries: Family::default(),
            traffic,
            displaced_handshakes: Gauge::default(),
            known_speeds: Gauge::default(),
            uneven_machines: Gauge::default(),
            team_usage: Family::default(),
            team_put_back: Family::default(),
            listed_teams: Mutex::default(),
            epoch: Gauge::default(),
            jobs: Gauge::default(),
            config: Gauge::default(),
            config_age: Gauge::default(),
            table_lost: Gauge::default(),
        };
        metrics.register(intake);
        metrics
    }

    fn register(&self, intake: &Intake) {
        let mut registry = self.registry.lock().unwrap_or_else(|lock| lock.into_inner());
        intake.register(&mut registry);
        registry.register("calls", "Clients' calls by method and outcome", self.calls.clone());
        let help = "Time from a call's arrival to its answer";
        registry.register_with_unit("call_duration", help, Unit::Seconds, self.latency.clone());
        let help = "Decisions of the owner by kind; the kinds are the events of the log";
        registry.register("decisions", help, self.decisions.clone());
        let help =
            "Steps whose turn came a second ago or more and that wait, by cause, at the owner";
        registry.register("waits", help, self.waits.clone());
        let help = "Jobs of which nothing has run for 3 seconds or more beside free workers of a \
                    pool that is less than half in use, by cause, at the owner";
        registry.register("standing_jobs", help, self.standing_jobs.clone());
        let help = "Starts that workers refused under this owner, by cause";
        registry.register("refused_starts", help, self.refused_starts.clone());
        let help = "Calls to the clearance service under this owner: all, those for a step whose last \
                    call was of no use, and those without an answer";
        registry.register("clearance_calls", help, self.clearance_calls.clone());
        let help = "Workers by what the ends of their runs say about them, at the owner";
        registry.register("workers", help, self.workers.clone());
        let help = "Entries of the platform's lists that could not be read and were left out";
        registry.register("entries_left_out", help, self.skipped_entries.clone());
        let help = "Accelerator-seconds that the team used beyond its guarantee, under this owner";
        registry.register("team_accelerator_seconds", help, self.team_usage.clone());
        let help =
            "Seconds that steps of the team waited for teams that use less, under this owner";
        registry.register("team_put_back_seconds", help, self.team_put_back.clone());
        let gauges = [
            ("epoch", "Epoch under which this entry owns; 0 if it does not", &self.epoch),
            ("jobs", "Unfinished jobs, at the owner", &self.jobs),
            (
                "runs_unlisted",
                "Runs believed at workers that answer and do not list them, at the owner",
                &self.unlisted_runs,
            ),
            ("claims", "Gangs that claim capacity, at the owner", &self.claims),
            (
                "claimed_accelerators",
                "Accelerators that gangs claim, at the owner",
                &self.claimed_accelerators,
            ),
            (
                "evacuated_zones",
                "Availability zones that operators evacuate, at the owner",
                &self.evacuated_zones,
            ),
            (
                "evacuated_busy",
                "Evacuated availability zones that may not be empty yet, at the owner",
                &self.evacuated_busy,
            ),
            (
                "speeds_known",
                "Machines whose speed is known to differ from that of the others, at the owner",
                &self.known_speeds,
            ),
            (
                "speeds_uneven",
                "Machines whose speed differs by the threshold in pools where that is considered, \
                 at the owner",
                &self.uneven_machines,
            ),
            ("config_version", "Version of the configuration in force", &self.config),
            (
                "config_age_ms",
                "Milliseconds since the table proved the configuration current",
                &self.config_age,
            ),
            (
                "peer_handshakes_displaced",
                "Handshakes of other processes that were ended for newer ones",
                &self.displaced_handshakes,
            ),
            ("table_lost", "1 while the table does not answer", &self.table_lost),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts a call that took `ms` milliseconds.
    pub fn count_call(&self, method: &str, answer: &Answer, ms: u64) {
        let known = ["GET", "POST", "DELETE"].contains(&method);
        let method = if known { method } else { "other" }.to_owned();
        self.calls.get_or_create(&Call { method, outcome: answer.outcome() }).inc();
        self.latency.observe(ms as f64 / 1000.0);
    }

    /// Counts a skipped entry of a list.
    pub fn count_skipped(&self, list: &'static str) {
        self.skipped_entries.get_or_create(&List { list }).inc();
    }

    /// Counts a decision of the owner.
    pub fn count_decision(&self, event: &'static str) {
        self.decisions.get_or_create(&Decision { event }).inc();
    }

    /// Sets the number of waiting steps for each cause.
    pub fn set_waits(&self, counts: &BTreeMap<Cause, usize>) {
        for cause in Cause::ALL {
            let count = counts.get(&cause).copied().unwrap_or(0);
            self.waits.get_or_create(&Wait { cause: cause.name() }).set(count as i64);
        }
    }

    /// Sets the number of starts that were refused for each cause.
    pub fn set_refused_starts(&self, counts: impl Iterator<Item = (Refused, u64)>) {
        for (why, count) in counts {
            let cause = Wait { cause: why.name() };
            self.refused_starts.get_or_create(&cause).set(count as i64);
        }
    }

    /// Sets the number of calls to the clearance service.
    pub fn set_clearance_calls(&self, calls: ClearanceCalls) {
        let ClearanceCalls { sent, repeated, unanswered } = calls;
        for (kind, count) in [("all", sent), ("repeated", repeated), ("unanswered", unanswered)] {
            let call = ClearanceCall { kind };
            self.clearance_calls.get_or_create(&call).set(count as i64);
        }
    }

    /// Sets the number of jobs that stand beside free workers for each cause.
    pub fn set_standing_jobs(&self, counts: &BTreeMap<Cause, usize>) {
        for cause in Cause::ALL {
            let count = counts.get(&cause).copied().unwrap_or(0);
            self.standing_jobs.get_or_create(&Wait { cause: cause.name() }).set(count as i64);
        }
    }

    /// Sets the number of workers of each grade of trust.
    pub fn set_worker_grades(&self, counts: &BTreeMap<Grade, usize>) {
        for grade in Grade::ALL {
            let count = counts.get(&grade).copied().unwrap_or(0);
            self.workers.get_or_create(&Trust { grade: grade.name() }).set(count as i64);
        }
    }

    /// Sets the number of runs that are believed to be running and are not listed by their worker.
    pub fn set_unlisted_runs(&self, count: usize) {
        self.unlisted_runs.set(count as i64);
    }

    /// Sets the number of gangs that claim capacity, and of the accelerators that they claim.
    pub fn set_claims(&self, (claims, accelerators): (usize, u64)) {
        self.claims.set(claims as i64);
        self.claimed_accelerators.set(accelerators as i64);
    }

    /// Sets the number of evacuated availability zones, and of those that may not be empty yet.
    pub fn set_evacuation(&self, (zones, busy): (usize, usize)) {
        self.evacuated_zones.set(zones as i64);
        self.evacuated_busy.set(busy as i64);
    }

    /// Sets the number of machines of known speed, and of those that placement treats differently.
    pub fn set_speeds(&self, (known, uneven): (usize, usize)) {
        self.known_speeds.set(known as i64);
        self.uneven_machines.set(uneven as i64);
    }

    /// Replaces the accounts of teams. Those of another owner, or of a removed team, are dropped.
    pub fn set_teams(&self, accounts: &[(String, Account)]) {
        let mut listed = self.listed_teams.lock().unwrap_or_else(|lock| lock.into_inner());
        for team in listed.drain(..) {
            if !accounts.iter().any(|(name, _)| *name == team) {
                let team = Team { team };
                self.team_usage.remove(&team);
                self.team_put_back.remove(&team);
            }
        }
        listed.extend(accounts.iter().map(|(team, _)| team.clone()));
        for (team, account) in accounts {
            let team = Team { team: team.clone() };
            self.team_usage.get_or_create(&team).set(account.accelerator_ms as f64 / 1000.0);
            self.team_put_back.get_or_create(&team).set(account.put_back_ms as f64 / 1000.0);
        }
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn page(&self) -> String {
        self.displaced_handshakes.set(self.traffic.displaced() as i64);
        let registry = self.registry.lock().unwrap_or_else(|lock| lock.into_inner());
        let mut text = String::new();
        encode(&mut text, &registry).expect("writing to a string cannot fail");
        text
    }
}
