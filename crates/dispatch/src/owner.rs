use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Config, Id, Job, Progress, Queue, State, Task};
use quincewheel_share::{Shares, Usage};
use quincewheel_speed::Speed;
use quincewheel_trust::Trust;
use quincewheel_wire::{LinkId, Notice, Order, Refused};

use crate::agent::Agent;
use crate::claims::Claims;
use crate::clearance_service::ClearanceService;
use crate::clock::Clock;
use crate::crashes::SuspectedCrash;
use crate::dismissal::Dismissal;
use crate::entry::{Entry, Key};
use crate::evacuation::EvacuationState;
use crate::list::List;
use crate::listing::Listing;
use crate::maintenance::Maintenance;
use crate::output::Output;
use crate::persisted::Persisted;
use crate::queues::Queues;
use crate::review::Review;
use crate::round::Round;
use crate::settings::Settings;
use crate::settlement::SettlementLog;
use crate::speeds::Speeds;
use crate::standstills::Standstills;
use crate::times::Times;
use crate::trust::Doubts;
use crate::wait_detail::list;
use crate::waits::Waits;

/// The scheduling state of all unfinished jobs and of all workers.
///
/// Events are passed in through methods; whatever must be done in response is queued and
/// returned by [`Owner::take_outputs`]. Fields and parameters named `now` are monotonic times,
/// `wall` is the time by the owner's clock, which no step of the time of day changes, and
/// `time_of_day` is that of the system, all in milliseconds.
pub struct Owner {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    /// When this entry claimed ownership.
    pub(crate) claimed_at: u64,
    /// Time of the last tick.
    pub(crate) now: u64,
    /// When the timeouts of all agents were last checked.
    agents_checked_at: u64,
    /// When the owner last checked for runs that their workers do not list.
    pub(crate) unlisted_checked_at: u64,
    /// The table's version at which the ownership was claimed.
    pub(crate) claim_version: u64,
    /// Earlier epochs, each with a version of the table by which it had been claimed.
    pub(crate) earlier_claims: BTreeMap<u64, u64>,
    /// When the last request was sent whose answer showed that this entry still owns.
    pub(crate) confirmed_at: u64,
    /// When the last successful write of the owner's row was sent.
    pub(crate) renewed_at: u64,
    /// When this process last went on after it had been suspended.
    pub(crate) resumed_at: u64,
    /// Whether an agent has said that it follows a later owner.
    pub(crate) superseded: bool,
    pub(crate) config: Config,
    /// The queues of that configuration and of earlier ones.
    pub(crate) queues: Queues,
    /// Queues that have changed since unfinished jobs were accepted, as they are to be recorded.
    pub(crate) changed_queues: Persisted<BTreeMap<String, Queue>>,
    pub(crate) jobs: BTreeMap<Id, Entry>,
    /// Jobs that ended under this owner and whose rows are still in the table.
    pub(crate) ended_jobs: BTreeSet<Id>,
    /// Version of the table up to which jobs were loaded at the takeover; 0 before that.
    pub(crate) loaded_version: u64,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) links: BTreeMap<LinkId, String>,
    /// Agents that were removed from the members.
    pub(crate) dismissal: Dismissal,
    /// Stray runs, which belong to no job's current state, and when their stop was ordered.
    pub(crate) stray_stops: BTreeMap<(Task, u64), u64>,
    /// The latest [`Entry::assumed_over_at`] of all jobs.
    pub(crate) assumed_over_at: u64,
    /// Jobs whose progress has changed since it was last recorded.
    pub(crate) dirty: BTreeSet<Id>,
    /// What is being recorded of them.
    pub(crate) round: Round,
    /// Whether the dirty jobs include a change of state that clients wait for.
    pub(crate) dirty_urgent: bool,
    /// Run times of completed steps, used for estimates.
    pub(crate) times: Persisted<Times>,
    /// Trust in workers.
    pub(crate) trust: Persisted<Trust>,
    /// What belongs to it and is not recorded.
    pub(crate) doubts: Doubts,
    /// Speed of machines.
    pub(crate) speed: Persisted<Speed>,
    pub(crate) speeds: Speeds,
    /// Usage of teams.
    pub(crate) usage: Persisted<Usage>,
    /// Levels of teams above their shares.
    pub(crate) shares: Shares,
    /// The service that clears steps for workers.
    pub(crate) service: ClearanceService,
    /// When the next task may return to a worker at which it failed.
    pub(crate) avoidance_ends_at: Option<u64>,
    /// When the next reservation expires.
    pub(crate) reservation_ends_at: Option<u64>,
    /// When the next step may start again whose starts were refused.
    pub(crate) refused_until: Option<u64>,
    /// How many starts were refused, by cause.
    pub(crate) refused_counts: BTreeMap<Refused, u64>,
    /// When the next clearance request may be due that time alone delays.
    pub(crate) clearance_retry_at: Option<u64>,
    /// Whether a batch from [`Owner::record`] has not been acknowledged yet.
    pub(crate) record_in_flight: bool,
    /// Whether something changed that may let work start, so that the next tick must plan.
    pub(crate) replan: bool,
    /// When a majority of agents was first known to follow this owner.
    pub(crate) majority_since: Option<u64>,
    /// Whether no previous owner can grant leases any more.
    pub(crate) predecessor_ended: bool,
    /// Whether every run that a previous owner may have started is accounted for.
    pub(crate) settled: bool,
    /// Logging of members that delay the start of older jobs.
    pub(crate) settlement_log: SettlementLog,
    /// Which workers were closed when waiting steps were last reviewed.
    pub(crate) review: Review,
    /// Steps that wait for their start, and what has been logged about them.
    pub(crate) waits: Waits,
    /// Jobs of which nothing runs beside free workers.
    pub(crate) standstills: Standstills,
    /// When the last round of planning began; none before the first.
    pub(crate) planned_at: Option<u64>,
    /// Since when under half of each pool is in use: of its accelerators, or of the rest.
    pub(crate) under_half_since: BTreeMap<(String, bool), u64>,
    /// Claims of waiting gangs on capacity.
    pub(crate) claims: Claims,
    /// Requests to the platform for its list of machines.
    pub(crate) listing: Listing,
    /// Groups of several tasks that had just started at a worker when it crashed.
    pub(crate) suspect_groups: Vec<Vec<Task>>,
    /// Waves of maintenance.
    pub(crate) maintenance: Maintenance,
    /// Availability zones in which nothing starts.
    pub(crate) evacuation: EvacuationState,
    /// Id of the next unit of runs that stop together.
    pub(crate) next_unit: u64,
    /// The owner's clock for durations.
    pub(crate) clock: Clock,
    /// The next time, by `clock`, at which the passage of time alone may let work start.
    pub(crate) replan_at: Option<u64>,
    /// The time of day at which the next occurrence of a scheduled job is due.
    pub(crate) next_due: Option<u64>,
    /// Jobs that were added since the last tick, and how long ago they were accepted at most.
    added_jobs: Vec<(Id, u64)>,
    /// Actions for the caller to carry out.
    pub(crate) outputs: Vec<Output>,
}

/// Shortest time between two records of the trust in workers. A new owner that misses the last
/// second of failures sees them again with the next run that fails.
const TRUST_RECORD_INTERVAL_MS: u64 = 1000;
/// Shortest time between two records of the speed of machines, which changes slowly.
const SPEED_RECORD_INTERVAL_MS: u64 = 2000;
/// Shortest time between two records of the usage of teams, which decays over several seconds.
const USAGE_RECORD_INTERVAL_MS: u64 = 2000;

/// Time between two rounds of planning while a step waits and no event causes one.
const MIN_ROUND_INTERVAL_MS: u64 = 1000;
/// The same in a pool of any size.
const MAX_ROUND_INTERVAL_MS: u64 = 60_000;
/// The same for each agent, as the cost of a round grows with their number.
const ROUND_INTERVAL_PER_AGENT_MS: u64 = 6;

/// Age of a job that arrives under this owner, at most: longer than one takes to reach the owner. To
/// an owner whose clock is far ahead, the objective of each new job would seem missed.
const MAX_ARRIVAL_AGE_MS: u64 = 10_000;

/// Time between two checks of all agents. The owner ticks with each report, and 160 agents
/// cause 600 ticks a second, while each check goes through all agents and runs. The shortest
/// timeout that is checked is 50 ms.
const AGENT_CHECK_INTERVAL_MS: u64 = 20;

impl Owner {
    /// Creates an owner that claimed `epoch` when the table was at `version`.
    pub fn new(settings: Settings, epoch: u64, version: u64, now: u64) -> Owner {
        Owner {
            settings,
            epoch,
            claimed_at: now,
            now,
            agents_checked_at: 0,
            unlisted_checked_at: now,
            claim_version: version,
            earlier_claims: BTreeMap::new(),
            confirmed_at: now,
            renewed_at: 0,
            resumed_at: now,
            superseded: false,
            config: Config::default(),
            queues: Queues::default(),
            changed_queues: Persisted::new(0),
            jobs: BTreeMap::new(),
            ended_jobs: BTreeSet::new(),
            loaded_version: 0,
            agents: BTreeMap::new(),
            links: BTreeMap::new(),
            dismissal: Dismissal::default(),
            stray_stops: BTreeMap::new(),
            assumed_over_at: 0,
            dirty: BTreeSet::new(),
            round: Round::default(),
            dirty_urgent: false,
            times: Persisted::new(0),
            trust: Persisted::new(TRUST_RECORD_INTERVAL_MS),
            doubts: Doubts::default(),
            speed: Persisted::new(SPEED_RECORD_INTERVAL_MS),
            speeds: Speeds::default(),
            usage: Persisted::new(USAGE_RECORD_INTERVAL_MS),
            shares: Shares::default(),
            service: ClearanceService::default(),
            avoidance_ends_at: None,
            reservation_ends_at: None,
            refused_until: None,
            refused_counts: BTreeMap::new(),
            clearance_retry_at: None,
            record_in_flight: false,
            replan: true,
            majority_since: None,
            predecessor_ended: false,
            settled: false,
            settlement_log: SettlementLog::default(),
            review: Review::default(),
            waits: Waits::default(),
            standstills: Standstills::default(),
            planned_at: None,
            under_half_since: BTreeMap::new(),
            claims: Claims::default(),
            listing: Listing::default(),
            suspect_groups: Vec::new(),
            maintenance: Maintenance::default(),
            evacuation: EvacuationState::default(),
            next_unit: 1,
            clock: Clock::default(),
            replan_at: None,
            next_due: None,
            added_jobs: Vec::new(),
            outputs: Vec::new(),
        }
    }

    /// Removes and returns the actions that the caller must carry out, in order.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the epoch under which this entry owns.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies a configuration unless a newer one is in force already.
    pub fn configure(&mut self, config: &Config) {
        if config.version > self.config.version {
            self.config = config.clone();
            self.update_queues();
            self.replan = true;
        }
    }

    /// Replaces the settings. The lease never becomes shorter, since leases granted earlier
    /// still run for their full length.
    pub fn update_settings(&mut self, settings: Settings) {
        let lease = settings.lease.max(self.settings.lease);
        self.settings = Settings { lease, ..settings };
        self.replan = true;
    }

    /// Returns whether every run that a previous owner may have started is accounted for.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Adds a job whose row was read: it was just accepted, or was found at a takeover.
    ///
    /// The same row may be passed in again with outdated progress: all rows are read again when
    /// the table has discarded its history, and that read may be older than this owner's last
    /// record. A job that has ended in the meantime must not be started again, so known jobs
    /// are ignored.
    pub fn add_job(&mut self, id: &str, job: Job, version: u64, progress: Option<Progress>) {
        let known = self.jobs.contains_key(id)
            || self.ended_jobs.contains(id)
            || version <= self.loaded_version;
        if known || progress.as_ref().is_some_and(|p| p.state.is_final()) {
            return;
        }
        let recorded_state = progress.as_ref().map(|progress| progress.state);
        let mut entry = Entry::new(job, version, progress, &self.settings.limits);
        entry.vacated_at = self.now;
        // An earlier version recorded it in another form, or its last tasks, but not its end.
        let ended = entry.progress.state.is_final();
        let changed = !entry.unrecorded.is_empty() || (ended && recorded_state.is_some());
        self.jobs.insert(id.to_owned(), entry);
        self.record_changed_queue(id);
        let max_age = if self.loaded_version > 0 { MAX_ARRIVAL_AGE_MS } else { u64::MAX };
        self.added_jobs.push((id.to_owned(), max_age));
        self.replan = true;
        if changed {
            self.mark_dirty(id, ended);
        }
        if self.loaded_version > 0 {
            self.log("known", id, format!("version {version}"));
        }
    }

    /// Records that all jobs up to this version of the table have been added.
    pub fn jobs_loaded(&mut self, version: u64) {
        self.loaded_version = version;
    }

    /// Forgets ended jobs whose rows were deleted from the table.
    pub fn remove_ended_jobs(&mut self, ids: &[Id]) {
        for id in ids {
            self.ended_jobs.remove(id);
        }
    }

    /// Drops the state of an ended job and keeps its id, so that its row is not loaded again.
    pub(crate) fn close_job(&mut self, id: &str) {
        if self.jobs.remove(id).is_some() {
            self.ended_jobs.insert(id.to_owned());
        }
    }

    /// Ends a job as cancelled and stops its runs.
    pub fn cancel(&mut self, id: &str, now: u64) {
        self.end_job(id, State::Cancelled, now);
    }

    /// Handles a notice from the agent on `link`. Notices on unknown connections are ignored.
    pub fn on_notice(&mut self, link: LinkId, notice: Notice, now: u64) {
        self.detect_suspension(now);
        let Some(name) = self.links.get(&link).cloned() else { return };
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.last_notice_at = now;
        }
        match notice {
            Notice::Superseded { epoch } => {
                self.superseded = true;
                self.outputs.push(Output::Deposed { epoch });
            }
            Notice::Ping { stamp, silent } => {
                self.update_silence(&name, silent);
                // An agent without a worker could use the lease for one that it finds later, when it
                // has no connection.
                if self.agents.get(&name).is_some_and(|agent| agent.no_worker_since.is_none()) {
                    self.grant_lease(&name, link, stamp, silent, now);
                }
            }
            Notice::Left { worker } => self.on_left(&name, &worker, now),
            Notice::Broke { worker, starts: likely, possible } => {
                let crash = SuspectedCrash { worker, likely, possible };
                self.on_connections_broken(&name, crash)
            }
            Notice::Status { stamp, worker, fenced, listed_at, running, ended, truncated } => {
                if worker.is_some() {
                    self.grant_lease(&name, link, stamp, 0, now);
                }
                let age = listed_at.map(|at| stamp.saturating_sub(at));
                let at = listed_at.unwrap_or(stamp);
                let list = List { running: &running, ended: &ended, truncated, at, age };
                self.on_status(&name, worker, fenced, &list, now);
            }
            Notice::Survived { task, run } => self.on_survived(&task, run),
            Notice::Started { task, run } => self.on_started(&task, run, now),
            Notice::Unstarted { task, run, why } => {
                self.on_start_refused(&name, &task, run, why, now)
            }
            Notice::Stopped { task, run } => self.on_stopped(&task, run),
            // Agents do not send this one, and jobs reach the owner as rows of the table.
            Notice::Entry(_) => {}
        }
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.update_liveness(&self.settings, now);
            self.replan |= agent.has_opened(&self.settings, now);
        }
    }

    /// Expires leases and timeouts, starts what may start, and logs what waits.
    pub fn tick(&mut self, now: u64, time_of_day: u64) {
        self.detect_suspension(now);
        let wall = self.clock.tick(now, time_of_day);
        self.set_accepted(time_of_day, wall);
        if now >= self.agents_checked_at + AGENT_CHECK_INTERVAL_MS {
            self.agents_checked_at = now;
            self.check_agents(now);
        }
        self.update_trust(now, wall);
        self.end_backoffs(now);
        if !self.settled && self.check_settled(now) {
            self.settled = true;
            self.replan = true;
            let missing = list(self.unreconciled_agents().map(str::to_owned).collect());
            let detail = format!("{} ms; not heard: {missing}", now - self.claimed_at);
            self.log("settled", "", detail);
        }
        self.poll_machines(now);
        self.advance_waves(now, time_of_day);
        // Without this, a job whose reserved capacity did not become free would wait next to idle
        // workers until some other event caused a plan.
        self.replan |= self.reservation_ends_at.take_if(|at| *at <= now).is_some();
        let planned_at = self.planned_at.unwrap_or(self.claimed_at);
        let due = self.replan_at.is_some_and(|due| due <= wall)
            || self.next_due.is_some_and(|due| due <= time_of_day)
            || self.round_interval().is_some_and(|interval| now >= planned_at + interval);
        if due || self.clearance_retry_at.take_if(|at| *at <= now).is_some() {
            self.replan = true;
        }
        if self.replan && !self.superseded && !self.operators_unreachable(now) {
            self.replan = false;
            self.next_due = self.update_due(time_of_day, wall);
            self.plan(now, wall);
        }
        self.scan_standing(now, wall, time_of_day);
        self.log_waits(now);
    }

    /// Returns the longest time between two rounds of planning; none while no step waits. An event
    /// that should have caused a round and did not then costs this time.
    pub(crate) fn round_interval(&self) -> Option<u64> {
        let by_size = self.agents.len() as u64 * ROUND_INTERVAL_PER_AGENT_MS;
        let interval = by_size.clamp(MIN_ROUND_INTERVAL_MS, MAX_ROUND_INTERVAL_MS);
        (!self.waits.is_empty()).then_some(interval)
    }

    /// Converts when the jobs that were added since the last tick were accepted to the owner's clock.
    fn set_accepted(&mut self, time_of_day: u64, wall: u64) {
        for (id, max_age) in std::mem::take(&mut self.added_jobs) {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.set_accepted(max_age, time_of_day, wall);
            }
        }
    }

    /// Marks the occurrences that are due, and returns when the next one is.
    fn update_due(&mut self, time_of_day: u64, wall: u64) -> Option<u64> {
        let open = self.jobs.values_mut().filter(|entry| !entry.progress.state.is_final());
        open.filter_map(|entry| entry.update_due(time_of_day, wall)).min()
    }

    /// Checks all timeouts that concern agents and their runs.
    fn check_agents(&mut self, now: u64) {
        for agent in self.agents.values_mut() {
            agent.update_liveness(&self.settings, now);
            // Whatever has opened a worker, no waiting task may miss it.
            self.replan |= agent.has_opened(&self.settings, now);
        }
        self.close_silent_connections(now);
        self.expire_leases(now);
        self.stop_unlisted(now);
        self.check_evacuated_zones(now);
    }

    /// Returns whether the job has ended, even if that is not recorded in the table yet.
    pub fn has_ended(&self, id: &str) -> bool {
        let closed = || self.ended_jobs.contains(id);
        self.jobs.get(id).map_or_else(closed, |entry| entry.progress.state.is_final())
    }

    /// Returns the number of jobs in memory: those that have not ended, and those whose last
    /// runs or whose record are still pending.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Ends a job with this final state and stops its runs.
    pub(crate) fn end_job(&mut self, id: &str, state: State, now: u64) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.progress.state.is_final() {
            return;
        }
        entry.progress.state = state;
        entry.reservations.clear();
        self.replan |= self.claims.is_held_by(id);
        let keys: Vec<Key> = entry.runs.keys().copied().collect();
        self.mark_dirty(id, true);
        for key in keys {
            self.stop_run(id, key, now);
        }
        self.log_job_end(id, state);
    }

    /// Logs how a job ended, and its objective going by the run times known now. This line and
    /// the job's `accepted` line together show whether the job was late.
    pub(crate) fn log_job_end(&mut self, id: &str, state: State) {
        let Some(entry) = self.jobs.get(id) else { return };
        let pools = self.pools();
        let estimator = self.estimator(&pools);
        let detail = match entry.job.schedule {
            Some(_) => format!("{state:?}, scheduled"),
            None => {
                let objective = estimator.objective_of(entry, 0).duration_ms();
                format!("{state:?}, objective {objective} ms")
            }
        };
        self.log("job ended", id, detail);
    }

    /// Marks a job's progress for the next record; `urgent` if clients wait for the change.
    pub(crate) fn mark_dirty(&mut self, id: &str, urgent: bool) {
        self.dirty.insert(id.to_owned());
        self.dirty_urgent |= urgent;
    }

    /// Sends an order to an agent. It is dropped if the agent is not connected.
    pub(crate) fn send_to_agent(&mut self, agent: &str, order: Order) {
        if let Some(link) = self.agents.get(agent).and_then(|agent| agent.link) {
            self.send(link, order);
        }
    }

    pub(crate) fn send(&mut self, link: LinkId, order: Order) {
        self.outputs.push(Output::Send { link, order });
    }

    pub(crate) fn log(&mut self, event: &'static str, subject: &str, detail: String) {
        self.outputs.push(Output::Log { event, subject: subject.to_owned(), detail });
    }
}

/// Returns the id of a task of job `id`.
pub(crate) fn task(id: &str, (occurrence, step, index): Key) -> Task {
    Task { job: id.to_owned(), occurrence, step, index }
}
