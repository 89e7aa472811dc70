use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_wire::{Attempt, Frame, Hello, LinkId, Member, Report, Role, Task};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::grant::{Grant, State};
use crate::input::{End, Input};
use crate::output::Output;
use crate::settings::Settings;

/// The state machine that grants one worker's accelerators to attempts.
pub struct Grantor {
    pub(crate) settings: Settings,
    pub(crate) now: Duration,
    pub(crate) outputs: Vec<Output>,
    pub(crate) grants: BTreeMap<Attempt, Grant>,
    latest_attempt: Attempt,
    /// Attempts that ended and were acknowledged. A late or duplicated frame must not prepare and
    /// start one of them again.
    finished: BTreeSet<Attempt>,
    /// The highest epoch seen. It is 0 until the ownership row has been read, and until then no
    /// order is followed.
    epoch: u64,
    owner: Option<LinkId>,
    owner_address: String,
    owner_last_seen: Duration,
    next_heartbeat: Duration,
    next_owner_poll: Duration,
    /// Delay before the next read of the ownership row.
    owner_poll_delay: Duration,
    rng: StdRng,
    /// Whether a read of the ownership row is in flight.
    read_in_flight: bool,
    /// Whether the endpoint's running tasks are known.
    has_recovered: bool,
    /// Whether the endpoint or this process accepts no new work.
    leaving: bool,
    /// Whether this process is to end.
    shutting_down: bool,
    /// Whether the configuration drains the worker.
    worker_drained: bool,
    configuration_version: u64,
    /// Other agents, by connection.
    pub(crate) peers: BTreeMap<LinkId, String>,
    pub(crate) pending_dials: BTreeMap<String, Duration>,
}

/// How many acknowledged attempts are kept to recognize late frames.
const MAX_FINISHED_ATTEMPTS: usize = 4096;
/// Delay after which an address that was dialled without a result may be dialled again.
pub(crate) const DIAL_RETRY_DELAY: Duration = Duration::from_secs(3);

impl Grantor {
    /// Creates a grantor without grants. It follows no orders until it has read the ownership row.
    pub fn new(settings: Settings) -> Grantor {
        let rng = StdRng::seed_from_u64(settings.seed);
        Grantor {
            owner_poll_delay: settings.owner_poll_interval,
            rng,
            settings,
            now: Duration::ZERO,
            outputs: Vec::new(),
            grants: BTreeMap::new(),
            latest_attempt: Attempt(0),
            finished: BTreeSet::new(),
            epoch: 0,
            owner: None,
            owner_address: String::new(),
            owner_last_seen: Duration::ZERO,
            next_heartbeat: Duration::ZERO,
            next_owner_poll: Duration::ZERO,
            read_in_flight: false,
            has_recovered: false,
            leaving: false,
            shutting_down: false,
            worker_drained: false,
            configuration_version: 0,
            peers: BTreeMap::new(),
            pending_dials: BTreeMap::new(),
        }
    }

    /// Handles an input and returns the outputs to carry out. `now` is a monotonic time.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = now;
        match input {
            Input::OwnerRow(row) => self.on_owner_row(row),
            Input::Recovered(tasks) => self.on_recovered(tasks),
            Input::Connected { link, hello, dialled } => self.on_connected(link, &hello, &dialled),
            Input::Disconnected { link } => self.on_disconnected(link),
            Input::DialFailed { address } => drop(self.pending_dials.remove(&address)),
            Input::Frame { link, frame } => self.on_frame(link, frame),
            Input::RankEnded { attempt, rank, end } => self.on_rank_ended(attempt, rank, end),
            Input::EndpointHealth { leaving } => self.set_leaving(leaving || self.shutting_down),
            Input::Drain => {
                self.shutting_down = true;
                self.set_leaving(true);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Performs the work that has become due. Must be called several times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.now = now;
        if let Some(owner) = self.owner {
            if now.saturating_sub(self.owner_last_seen) >= self.settings.owner_timeout {
                self.outputs.push(Output::Close { link: owner, reason: "owner silent" });
                self.on_disconnected(owner);
            } else if now >= self.next_heartbeat {
                self.next_heartbeat = now + self.settings.heartbeat_interval;
                let frame =
                    Frame::Beat { epoch: self.epoch, configuration: self.configuration_version };
                self.send(owner, frame);
            }
        }
        if self.owner.is_none() && now >= self.next_owner_poll {
            // Jitter of up to half the delay, so that agents that lost the same owner do not all
            // read the row at the same moment.
            self.next_owner_poll =
                now + self.owner_poll_delay.mul_f64(self.rng.random_range(0.5..1.0));
            if !self.read_in_flight {
                self.read_in_flight = true;
                self.outputs.push(Output::ReadOwner);
            }
        }
        self.resend_unacknowledged();
        self.kill_overdue();
        self.check_gangs();
        std::mem::take(&mut self.outputs)
    }

    /// Whether nothing runs and no end awaits its acknowledgement, so that a drain may end.
    pub fn is_idle(&self) -> bool {
        self.grants.is_empty()
    }

    /// Whether an owner is connected.
    pub fn has_owner(&self) -> bool {
        self.owner.is_some()
    }

    /// The version of the configuration in force.
    pub fn configuration_version(&self) -> u64 {
        self.configuration_version
    }

    /// The bit mask of the accelerators that are granted.
    pub fn granted_mask(&self) -> u64 {
        let active = self.grants.values().filter(|grant| grant.is_active());
        active.fold(0, |mask, grant| mask | grant.task.mask())
    }

    pub(crate) fn send(&mut self, link: LinkId, frame: Frame) {
        self.outputs.push(Output::Send { link, frame });
    }

    pub(crate) fn record(&mut self, kind: Kind) {
        self.outputs.push(Output::Event(kind));
    }

    pub(crate) fn worker(&self) -> &str {
        &self.settings.member.worker
    }

    fn on_owner_row(&mut self, row: Option<(u64, String)>) {
        self.read_in_flight = false;
        let Some((epoch, address)) = row else {
            // The table is unavailable. Backing off keeps a fleet of thousands of agents from
            // overloading it when it is back.
            self.owner_poll_delay =
                (self.owner_poll_delay * 2).min(self.settings.max_owner_poll_interval);
            return;
        };
        self.owner_poll_delay = self.settings.owner_poll_interval;
        if epoch < self.epoch || self.owner.is_some() || !self.has_recovered {
            return;
        }
        self.epoch = epoch;
        self.owner_address = address.clone();
        self.dial(&address);
    }

    pub(crate) fn dial(&mut self, address: &str) {
        let dialled_at = self.pending_dials.get(address).copied();
        let is_pending =
            dialled_at.is_some_and(|at| self.now.saturating_sub(at) < DIAL_RETRY_DELAY);
        if !address.is_empty() && !is_pending {
            self.pending_dials.insert(address.to_owned(), self.now);
            self.outputs.push(Output::Dial { address: address.to_owned() });
        }
    }

    /// Grants the accelerators of tasks that the endpoint still runs from before this process
    /// started.
    fn on_recovered(&mut self, tasks: Vec<Task>) {
        self.has_recovered = true;
        let worker = self.worker().to_owned();
        let attempts = tasks.iter().map(|task| task.attempt.0).collect();
        self.record(Kind::Recovered { worker, attempts });
        for task in tasks {
            let attempt = task.attempt;
            self.grants
                .entry(attempt)
                .or_insert_with(|| Grant::new(task, State::Running, self.now));
        }
    }

    fn on_connected(&mut self, link: LinkId, hello: &Hello, dialled: &str) {
        self.pending_dials.remove(dialled);
        match hello.role {
            Role::Entry
                if self.epoch > 0 && dialled == self.owner_address && self.owner.is_none() =>
            {
                self.owner = Some(link);
                self.owner_last_seen = self.now;
                self.announce(link);
            }
            Role::Entry => {
                self.outputs.push(Output::Close { link, reason: "not the owner's address" });
            }
            Role::Agent => drop(self.peers.insert(link, hello.name.clone())),
        }
    }

    fn on_disconnected(&mut self, link: LinkId) {
        self.peers.remove(&link);
        for grant in self.grants.values_mut() {
            grant.links.retain(|_, l| *l != link);
        }
        if self.owner == Some(link) {
            self.owner = None;
            // A process that is no longer the owner closes the connection at once. Without a delay
            // the agent would reconnect in a tight loop.
            self.next_owner_poll = self.now + self.settings.owner_poll_interval;
        }
    }

    fn announce(&mut self, link: LinkId) {
        let mut member: Member = self.settings.member.clone();
        member.leaving = self.leaving;
        let inventory = self.grants.values().map(Grant::inventory).collect();
        let latest = self.latest_attempt;
        self.send(link, Frame::Announce { epoch: self.epoch, member, latest, inventory });
    }

    fn set_leaving(&mut self, leaving: bool) {
        if self.leaving != leaving {
            self.leaving = leaving;
            if let Some(owner) = self.owner {
                self.send(owner, Frame::Leaving { leaving });
            }
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: Frame) {
        match frame {
            Frame::Pulse { attempt, done } => self.on_pulse(link, attempt, done),
            Frame::Whole { attempt, done } => self.on_whole(link, attempt, done),
            Frame::Broken { attempt, reason } => self.on_broken(link, attempt, &reason),
            Frame::Beat { epoch, .. }
            | Frame::Prepare { epoch, .. }
            | Frame::Go { epoch, .. }
            | Frame::Stop { epoch, .. }
            | Frame::Forget { epoch, .. }
            | Frame::Configure { epoch, .. } => {
                if self.accept_epoch(link, epoch) {
                    self.on_order(link, frame);
                }
            }
            _ => {}
        }
    }

    /// Whether the sender is the owner with the highest epoch seen. A previous owner that was
    /// suspended may resume and send outdated orders; following them could start a task that the
    /// current owner has placed elsewhere.
    fn accept_epoch(&mut self, link: LinkId, epoch: u64) -> bool {
        if self.owner != Some(link) || self.epoch == 0 {
            return false;
        }
        if epoch < self.epoch {
            self.send(link, Frame::Fenced { epoch: self.epoch });
            self.outputs.push(Output::Close { link, reason: "epoch is over" });
            self.on_disconnected(link);
            return false;
        }
        self.epoch = epoch;
        self.owner_last_seen = self.now;
        true
    }

    fn on_order(&mut self, link: LinkId, frame: Frame) {
        match frame {
            Frame::Prepare { task, .. } => self.on_prepare(link, task),
            Frame::Go { attempt, .. } => self.start(attempt),
            Frame::Stop { attempt, grace_ms, .. } => {
                self.on_stop(link, attempt, Duration::from_millis(grace_ms));
            }
            Frame::Forget { attempt, .. } => self.forget(attempt),
            Frame::Configure { after, version, rows, .. } => {
                self.on_configure(after, version, &rows);
            }
            _ => {}
        }
    }

    fn on_configure(&mut self, after: u64, version: u64, rows: &[(String, String)]) {
        if after > self.configuration_version || version <= self.configuration_version {
            return;
        }
        // The only configuration that an agent uses is whether its worker is drained.
        for (_, value) in rows {
            let row: serde_json::Value = serde_json::from_str(value).unwrap_or_default();
            self.worker_drained = row["drained"].as_bool().unwrap_or(false);
        }
        self.configuration_version = version;
        self.record(Kind::Applied { version });
    }

    fn on_prepare(&mut self, link: LinkId, task: Task) {
        let attempt = task.attempt;
        self.latest_attempt = self.latest_attempt.max(attempt);
        if let Some(grant) = self.grants.get(&attempt) {
            match grant.state.clone() {
                State::Prepared => self.send(link, Frame::Prepared { attempt }),
                State::Ended(report) => self.send(link, Frame::Ended { attempt, report }),
                State::Running | State::Stopping { .. } => {}
            }
            return;
        }
        let reason = if self.finished.contains(&attempt) {
            "this attempt is over"
        } else if self.leaving {
            "the worker is leaving"
        } else if self.worker_drained {
            "the worker is drained"
        } else if self.granted_mask() & task.mask() != 0 {
            "accelerators are held by another attempt"
        } else {
            let mask = task.mask();
            let worker = self.worker().to_owned();
            self.record(Kind::Granted { worker, attempt: attempt.0, mask });
            let mut grant = Grant::new(task, State::Prepared, self.now);
            grant.resend_at = self.now + self.settings.retry_interval;
            self.grants.insert(attempt, grant);
            self.send(link, Frame::Prepared { attempt });
            return;
        };
        // An attempt that was declined once stays declined. Otherwise a duplicated Prepare could
        // be granted while the owner already acts on the first reply.
        self.mark_finished(attempt);
        self.send(link, Frame::Declined { attempt, reason: reason.to_owned() });
        // The owner's view of this worker is wrong, so the inventory is sent again.
        self.announce(link);
    }

    /// Starts a prepared attempt, on the order of the owner or because another member runs. Either
    /// proves that the owner has recorded the start.
    pub(crate) fn start(&mut self, attempt: Attempt) {
        let now = self.now;
        let Some(grant) = self.grants.get_mut(&attempt) else { return };
        if grant.state != State::Prepared {
            return;
        }
        grant.state = State::Running;
        grant.next_pulse = now;
        // The timeout of the other members begins now.
        for (worker, _) in &grant.task.members {
            grant.last_seen.insert(worker.clone(), now);
        }
        let task = grant.task.clone();
        let kind = Kind::Started {
            worker: self.worker().to_owned(),
            attempt: attempt.0,
            team: task.team.clone(),
            request: task.request.clone(),
            idempotent: task.idempotent,
            members: task.members.len(),
        };
        self.record(kind);
        self.outputs.push(Output::Run { task });
        self.check_gangs();
    }

    fn on_stop(&mut self, link: LinkId, attempt: Attempt, grace: Duration) {
        let Some(grant) = self.grants.get(&attempt) else {
            if !self.finished.contains(&attempt) {
                // The Prepare has not arrived. Marking the attempt as finished makes it be declined
                // when it does.
                self.mark_finished(attempt);
            }
            let report = Report::Lost { reason: "not held here".to_owned() };
            self.send(link, Frame::Ended { attempt, report });
            return;
        };
        match grant.state.clone() {
            State::Prepared => self.finish(attempt, Report::Aborted),
            State::Running => self.stop_at_endpoint(attempt, grace, "stopped by request"),
            State::Stopping { .. } => {}
            State::Ended(report) => self.send(link, Frame::Ended { attempt, report }),
        }
    }

    /// Stops a running attempt at the endpoint. It has the time `grace` to checkpoint.
    pub(crate) fn stop_at_endpoint(&mut self, attempt: Attempt, grace: Duration, reason: &str) {
        let kill_at = self.now + grace + self.settings.kill_delay;
        let Some(grant) = self.grants.get_mut(&attempt) else { return };
        if grant.state == State::Running {
            grant.state = State::Stopping { reason: reason.to_owned(), kill_at };
            self.outputs.push(Output::Stop { attempt, grace });
        }
    }

    /// Stops without grace what did not end within its grace, and repeats this until it ends.
    fn kill_overdue(&mut self) {
        let now = self.now;
        let next_kill = now + self.settings.kill_delay;
        let mut overdue = Vec::new();
        for (attempt, grant) in &mut self.grants {
            if let State::Stopping { kill_at, .. } = &mut grant.state
                && now >= *kill_at
            {
                *kill_at = next_kill;
                overdue.push(*attempt);
            }
        }
        for attempt in overdue {
            self.outputs.push(Output::Stop { attempt, grace: Duration::ZERO });
        }
    }

    fn on_rank_ended(&mut self, attempt: Attempt, rank: u32, end: End) {
        let Some(grant) = self.grants.get_mut(&attempt) else { return };
        if !grant.is_active() || grant.state == State::Prepared {
            return;
        }
        grant.ends.entry(rank).or_insert(end.clone());
        if let Some(report) = grant.report() {
            self.finish(attempt, report);
        } else if !matches!(end, End::Done { .. }) {
            // One rank did not complete, so the other ranks at this worker must not continue.
            self.stop_at_endpoint(attempt, Duration::ZERO, "another task of the gang ended early");
        }
    }

    /// Records the end of this worker's part of an attempt and reports it to the owner and, unless
    /// it completed, to the gang.
    fn finish(&mut self, attempt: Attempt, report: Report) {
        let resend_at = self.now + self.settings.retry_interval;
        let Some(grant) = self.grants.get_mut(&attempt) else { return };
        let has_run = grant.state != State::Prepared;
        grant.state = State::Ended(report.clone());
        grant.resend_at = resend_at;
        let worker = self.worker().to_owned();
        let done = matches!(report, Report::Done { .. });
        if has_run {
            self.record(Kind::Stopped { worker: worker.clone(), attempt: attempt.0, done });
        }
        self.record(Kind::Freed { worker, attempt: attempt.0 });
        if let Some(owner) = self.owner {
            self.send(owner, Frame::Ended { attempt, report });
        }
        if !done {
            self.notify_broken_gang(attempt, "a member ended early");
        }
    }

    /// Removes an attempt whose end the owner has acknowledged.
    fn forget(&mut self, attempt: Attempt) {
        if self.grants.get(&attempt).is_some_and(|grant| !grant.is_active()) {
            self.grants.remove(&attempt);
            self.mark_finished(attempt);
            self.outputs.push(Output::Forget { attempt });
        }
    }

    fn mark_finished(&mut self, attempt: Attempt) {
        self.finished.insert(attempt);
        while self.finished.len() > MAX_FINISHED_ATTEMPTS {
            self.finished.pop_first();
        }
    }

    /// Queries the owner about grants that were neither started nor stopped, and reports ends again
    /// that were not acknowledged.
    fn resend_unacknowledged(&mut self) {
        let Some(owner) = self.owner else { return };
        let now = self.now;
        let next_resend = now + self.settings.retry_interval;
        let mut frames = Vec::new();
        for (attempt, grant) in &mut self.grants {
            if now < grant.resend_at {
                continue;
            }
            let attempt = *attempt;
            match &grant.state {
                State::Prepared => frames.push(Frame::Unsure { attempt }),
                State::Ended(report) => {
                    frames.push(Frame::Ended { attempt, report: report.clone() });
                }
                _ => continue,
            }
            grant.resend_at = next_resend;
        }
        for frame in frames {
            self.send(owner, frame);
        }
    }
}
