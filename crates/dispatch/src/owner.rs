use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::{Config, Id, Job, Progress, State, Task};
use quincewheel_wire::{LinkId, Notice, Order};

use crate::agent::Agent;
use crate::checkpoints::Checkpoints;
use crate::detail::list;
use crate::dismissal::Dismissal;
use crate::election::OWNER_TIMEOUT_MS;
use crate::entry::{Entry, Key, Phase, Placement};
use crate::evacuation::EvacuationState;
use crate::guide::Guide;
use crate::listing::Listing;
use crate::maintenance::Maintenance;
use crate::output::Output;
use crate::review::Review;
use crate::settings::Settings;
use crate::settlement::SettlementLog;
use crate::times::Times;
use crate::waits::Waits;

/// Decides over all jobs.
pub struct Owner {
    pub(crate) settings: Settings,
    pub(crate) epoch: u64,
    pub(crate) claimed_at: u64,
    /// When time last passed.
    pub(crate) now: u64,
    /// When all agents were last looked at.
    agents_checked_at: u64,
    /// When runs that no worker lists were last looked for.
    pub(crate) unlisted_checked_at: u64,
    /// The table's version at which the ownership was claimed.
    pub(crate) claim_version: u64,
    pub(crate) confirmed_at: u64,
    /// When the last write of the owner's row was sent that took effect then.
    renewed_at: u64,
    pub(crate) config: Config,
    pub(crate) jobs: BTreeMap<Id, Entry>,
    /// Jobs that ended under this owner and whose rows are still there.
    pub(crate) ended_jobs: BTreeSet<Id>,
    /// Jobs up to this version of the table were taken in at the takeover.
    pub(crate) loaded_version: u64,
    pub(crate) agents: BTreeMap<String, Agent>,
    pub(crate) links: BTreeMap<LinkId, String>,
    /// Agents that were members.
    pub(crate) dismissal: Dismissal,
    /// Runs that nobody waits for, and when their stop was ordered.
    pub(crate) stray_stops: BTreeMap<(Task, u64), u64>,
    pub(crate) dirty: BTreeSet<Id>,
    /// A change of state that callers wait for is among the dirty ones.
    pub(crate) dirty_urgent: bool,
    /// Run times of earlier steps.
    pub(crate) times: Times,
    /// More was learned of them than was recorded.
    pub(crate) times_changed: bool,
    /// The service that clears steps for workers has a question to answer.
    pub(crate) advice_pending: bool,
    /// When the next task may return to a worker at which it failed.
    pub(crate) avoidance_ends_at: Option<u64>,
    /// When room that is kept for a step is void, if it has not become free.
    pub(crate) reservation_ends_at: Option<u64>,
    /// When a question that got no answer may be asked again.
    pub(crate) advice_retry_at: Option<u64>,
    pub(crate) record_in_flight: bool,
    pub(crate) replan: bool,
    /// When most agents were first known to follow this owner.
    pub(crate) majority_since: Option<u64>,
    /// No former owner grants leases any more.
    pub(crate) predecessor_ended: bool,
    /// Nothing that a former owner started can be unknown any more.
    pub(crate) settled: bool,
    /// What was told of members that older jobs wait for.
    pub(crate) awaited: SettlementLog,
    /// Workers as they were when what waits was looked at last.
    pub(crate) review: Review,
    /// What waits for its start, and what was told of it.
    pub(crate) waits: Waits,
    /// What the platform was asked about workers that may be gone.
    pub(crate) listing: Listing,
    /// What had just started at workers that crashed, where it was several tasks.
    pub(crate) suspect_groups: Vec<Vec<Task>>,
    /// Waves of maintenance.
    pub(crate) upkeep: Maintenance,
    /// Availability zones in which nothing starts.
    pub(crate) evacuated: EvacuationState,
    pub(crate) next_unit: u64,
    /// The next time of day at which time alone changes what may start.
    pub(crate) replan_at: Option<u64>,
    pub(crate) outputs: Vec<Output>,
}

/// Time between two looks at all agents, in milliseconds: time passes for an owner with
/// each report, and 160 agents made 600 looks a second, each at all agents and runs. What
/// they find is due after 50 ms at the soonest.
const LOOK: u64 = 20;

/// An owner cannot have been replaced within this time after it sent a write of its row that
/// took effect, in milliseconds; a margin is left for clocks that run apart.
const SURE: u64 = OWNER_TIMEOUT_MS - 200;

impl Owner {
    /// An owner under `epoch`, claimed when the table was at `version`.
    pub fn new(settings: Settings, epoch: u64, version: u64, now: u64) -> Owner {
        Owner {
            settings,
            epoch,
            claimed_at: now,
            now,
            agents_checked_at: 0,
            unlisted_checked_at: now,
            claim_version: version,
            confirmed_at: now,
            renewed_at: 0,
            config: Config::default(),
            jobs: BTreeMap::new(),
            ended_jobs: BTreeSet::new(),
            loaded_version: 0,
            agents: BTreeMap::new(),
            links: BTreeMap::new(),
            dismissal: Dismissal::default(),
            stray_stops: BTreeMap::new(),
            dirty: BTreeSet::new(),
            dirty_urgent: false,
            times: Times::default(),
            times_changed: false,
            advice_pending: false,
            avoidance_ends_at: None,
            reservation_ends_at: None,
            advice_retry_at: None,
            record_in_flight: false,
            replan: true,
            majority_since: None,
            predecessor_ended: false,
            settled: false,
            awaited: SettlementLog::default(),
            review: Review::default(),
            waits: Waits::default(),
            listing: Listing::default(),
            suspect_groups: Vec::new(),
            upkeep: Maintenance::default(),
            evacuated: EvacuationState::default(),
            next_unit: 1,
            replan_at: None,
            outputs: Vec::new(),
        }
    }

    /// Takes what is to be done.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The configuration in force changed.
    pub fn configure(&mut self, config: &Config) {
        if config.version > self.config.version {
            self.config = config.clone();
            self.replan = true;
        }
    }

    /// The bounds changed. What was granted before keeps its own lease.
    pub fn update_settings(&mut self, settings: Settings) {
        let lease = settings.lease.max(self.settings.lease);
        self.settings = Settings { lease, ..settings };
    }

    /// No former owner grants leases any more. One that may live on, cut off, is
    /// waited for until most agents follow this one, or for as long as it may grant
    /// by itself: 14.2 s before older jobs start where all processes were killed and
    /// half of the workers are gone, instead of a lease of 6.2 s.
    pub fn predecessor_ended(&mut self) {
        self.majority_since = Some(self.claimed_at);
        self.predecessor_ended = true;
    }

    /// True once nothing that a former owner started can be unknown any more.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Run times as a former owner had learned them.
    pub fn restore_times(&mut self, times: &Times) {
        self.times = times.clone();
    }

    /// A job's row was read: accepted just now, or found at a takeover.
    ///
    /// A row may be told again, with progress that is long out of date: all rows
    /// are read anew when the table forgets its history, and the answer may be
    /// older than this owner's last record. A job that ended meanwhile must not
    /// begin anew.
    pub fn add_job(&mut self, id: &str, job: Job, version: u64, progress: Option<Progress>) {
        let known = self.jobs.contains_key(id)
            || self.ended_jobs.contains(id)
            || version <= self.loaded_version;
        if known || progress.as_ref().is_some_and(|p| p.state.is_final()) {
            return;
        }
        let entry = Entry {
            job,
            version,
            progress: progress.unwrap_or_default(),
            runs: BTreeMap::new(),
            idle_since: None,
            saved: BTreeMap::new(),
            checkpoints_dirty: false,
            checkpoints_recorded_at: 0,
            run_numbers: BTreeMap::new(),
            step_durations: BTreeMap::new(),
            avoided_workers: BTreeMap::new(),
            clearances: BTreeMap::new(),
            has_begun: false,
            guarantee_preempted: false,
            reservations: BTreeMap::new(),
            survived_start: BTreeSet::new(),
            exonerated: BTreeSet::new(),
            crash_unrecorded: false,
        };
        self.jobs.insert(id.to_owned(), entry);
        self.replan = true;
        if self.loaded_version > 0 {
            self.log("known", id, format!("version {version}"));
        }
    }

    /// All jobs up to this version of the table have been taken in.
    pub fn jobs_loaded(&mut self, version: u64) {
        self.loaded_version = version;
    }

    /// The rows of jobs that ended long ago were dropped.
    pub fn remove_ended_jobs(&mut self, ids: &[Id]) {
        for id in ids {
            self.ended_jobs.remove(id);
        }
    }

    /// Forgets an ended job but for its name.
    pub(crate) fn close_job(&mut self, id: &str) {
        if self.jobs.remove(id).is_some() {
            self.ended_jobs.insert(id.to_owned());
        }
    }

    /// A job's checkpoints as they were recorded.
    pub fn restore_checkpoints(&mut self, id: &str, saved: &Checkpoints) {
        if let Some(entry) = self.jobs.get_mut(id) {
            for (key, checkpoint) in saved.by_task() {
                entry.saved.entry(key).or_insert(checkpoint);
            }
        }
    }

    /// A job was cancelled.
    pub fn cancel(&mut self, id: &str, now: u64) {
        self.end_job(id, State::Cancelled, now);
    }

    /// The table confirmed the ownership by a call that was sent at `sent`.
    pub fn confirm_ownership(&mut self, sent: u64) {
        self.confirmed_at = self.confirmed_at.max(sent);
    }

    /// True if no other entry can own yet: each waits for longer than this after the last write
    /// of the owner's row that it has seen, and claims only over that very row.
    pub fn holds_ownership(&self, now: u64) -> bool {
        now < self.renewed_at + SURE
    }

    /// A write of the owner's row that was sent at `sent` took effect, and not an earlier try of it.
    pub fn renew_ownership(&mut self, sent: u64) {
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// An agent told something.
    pub fn on_notice(&mut self, link: LinkId, notice: Notice, now: u64) {
        let Some(name) = self.links.get(&link).cloned() else { return };
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.last_notice_at = now;
        }
        match notice {
            Notice::Superseded { epoch } => self.outputs.push(Output::Deposed { epoch }),
            Notice::Ping { stamp, silent } => {
                self.update_silence(&name, silent);
                self.grant_lease(&name, link, stamp, silent, now);
            }
            Notice::Left { worker } => self.on_left(&name, &worker),
            Notice::Broke { worker, starts } => self.on_connections_broken(&name, worker, starts),
            Notice::Status { stamp, worker, fenced, running, ended } => {
                self.grant_lease(&name, link, stamp, 0, now);
                self.on_status(&name, worker, fenced, (&running, &ended), (stamp, now));
            }
            Notice::Started { task, run } => self.on_started(&task, run, now),
            Notice::Unstarted { task, run, why } => {
                self.on_start_refused(&name, &task, run, why, now)
            }
            Notice::Stopped { task, run } => self.on_stopped(&task, run),
            // Not an agent's: jobs reach the owner as rows of the table.
            Notice::Entry(_) => {}
        }
        if let Some(agent) = self.agents.get_mut(&name) {
            agent.update_liveness(&self.settings, now);
        }
    }

    /// Time passed: takes lapsed leases for lapsed, and decides what starts.
    pub fn tick(&mut self, now: u64, wall: u64) {
        self.now = now;
        if now >= self.agents_checked_at + LOOK {
            self.agents_checked_at = now;
            self.check_agents(now);
        }
        self.reopen_workers(now);
        self.end_backoffs(now);
        if !self.settled && self.check_settled(now) {
            self.settled = true;
            self.replan = true;
            let waited = list(self.unreconciled_agents().map(str::to_owned).collect());
            let detail = format!("{} ms; not heard: {waited}", now - self.claimed_at);
            self.log("settled", "", detail);
        }
        self.poll_machines(now);
        self.advance_waves(now, wall);
        // A job whose room did not become free would stand still beside idle workers
        // until something else happens.
        self.replan |= self.reservation_ends_at.take_if(|at| *at <= now).is_some();
        let due = self.replan_at.is_some_and(|due| due <= wall);
        if due || self.advice_retry_at.take_if(|at| *at <= now).is_some() {
            self.replan = true;
        }
        if self.replan && !self.operators_unreachable(now) {
            self.replan = false;
            self.plan(now, wall);
        }
        self.log_waits(now, wall);
    }

    /// Takes note of what time alone changes at agents.
    fn check_agents(&mut self, now: u64) {
        for agent in self.agents.values_mut() {
            agent.update_liveness(&self.settings, now);
        }
        self.close_unresponsive(now);
        self.expire_leases(now);
        self.stop_unlisted(now);
        self.check_evacuated_zones(now);
    }

    /// True if the owner knows that the job has ended, recorded or not.
    pub fn has_ended(&self, id: &str) -> bool {
        let over = || self.ended_jobs.contains(id);
        self.jobs.get(id).map_or_else(over, |entry| entry.progress.state.is_final())
    }

    /// Number of jobs that have not ended.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Ends a job: whatever runs is stopped.
    pub(crate) fn end_job(&mut self, id: &str, state: State, now: u64) {
        let Some(entry) = self.jobs.get_mut(id) else { return };
        if entry.progress.state.is_final() {
            return;
        }
        entry.progress.state = state;
        entry.reservations.clear();
        let keys: Vec<Key> = entry.runs.keys().copied().collect();
        self.mark_dirty(id, true);
        for key in keys {
            self.stop_run(id, key, now);
        }
        self.log_job_end(id, state);
    }

    /// Tells how a job ended, and what its objective was by what is known of its run
    /// times now: from that line and `accepted` follows whether it was late.
    pub(crate) fn log_job_end(&mut self, id: &str, state: State) {
        let Some(entry) = self.jobs.get(id) else { return };
        let pools = self.pools();
        let guide = Guide { times: &self.times, pools: &pools };
        let detail = match entry.job.schedule {
            Some(_) => format!("{state:?}, scheduled"),
            None => {
                let objective = guide.goal(entry, 0).duration_ms();
                format!("{state:?}, objective {objective} ms")
            }
        };
        self.log("job ended", id, detail);
    }

    /// Orders the stop of a run.
    pub(crate) fn stop_run(&mut self, id: &str, key: Key, now: u64) {
        let Some(placed) = self.jobs.get_mut(id).and_then(|entry| entry.runs.get_mut(&key)) else {
            return;
        };
        if placed.phase == Phase::Stopping {
            return;
        }
        placed.phase = Phase::Stopping;
        placed.updated_at = now;
        let (name, worker, run) = (placed.agent.clone(), placed.worker.clone(), placed.run);
        self.send_to_agent(&name, Order::Stop { worker, task: task(id, key), run });
    }

    /// Takes a run for gone.
    pub(crate) fn remove_run(&mut self, id: &str, key: Key) {
        if let Some(entry) = self.jobs.get_mut(id) {
            entry.runs.remove(&key);
            self.replan = true;
            if entry.progress.state.is_final() && entry.runs.is_empty() && !self.dirty.contains(id)
            {
                self.mark_dirty(id, false);
            }
        }
    }

    pub(crate) fn runs_where(&self, wanted: impl Fn(&Placement) -> bool) -> Vec<(Id, Key)> {
        let runs = self
            .jobs
            .iter()
            .flat_map(|(id, entry)| entry.runs.iter().map(move |(key, placed)| (id, *key, placed)));
        runs.filter(|(_, _, placed)| wanted(placed)).map(|(id, key, _)| (id.clone(), key)).collect()
    }

    /// Marks a job's progress for the next record.
    pub(crate) fn mark_dirty(&mut self, id: &str, urgent: bool) {
        self.dirty.insert(id.to_owned());
        self.dirty_urgent |= urgent;
    }

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

/// The name of a task.
pub(crate) fn task(id: &str, (occurrence, step, index): Key) -> Task {
    Task { job: id.to_owned(), occurrence, step, index }
}
