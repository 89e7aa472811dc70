use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_wire::{Attempt, Frame, Hello, LinkId, Member, Report, Role, Task};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::held::{Held, State};
use crate::input::{End, Input};
use crate::output::Output;
use crate::settings::Settings;

/// One worker's accelerators and who holds them.
pub struct Grantor {
    pub(crate) settings: Settings,
    pub(crate) now: Duration,
    pub(crate) out: Vec<Output>,
    pub(crate) held: BTreeMap<Attempt, Held>,
    latest: Attempt,
    /// Attempts that ended and were acknowledged, lest a late or doubled frame
    /// prepare and start one of them again.
    spent: BTreeSet<Attempt>,
    /// Highest epoch seen; 0 until the ownership row was read, and until then
    /// nobody is obeyed.
    epoch: u64,
    owner: Option<LinkId>,
    address: String,
    heard: Duration,
    next_beat: Duration,
    next_seek: Duration,
    /// Pause before the next look at the ownership row.
    pause: Duration,
    rng: StdRng,
    reading: bool,
    recovered: bool,
    leaving: bool,
    draining: bool,
    drained: bool,
    configuration: u64,
    /// Other agents, by connection.
    pub(crate) peers: BTreeMap<LinkId, String>,
    pub(crate) dialling: BTreeMap<String, Duration>,
}

/// How many acknowledged attempts are remembered.
const SPENT: usize = 4096;
/// A dial that was not answered by then may be tried again.
pub(crate) const DIAL: Duration = Duration::from_secs(3);

impl Grantor {
    /// A grantor that holds nothing and obeys nobody yet.
    pub fn new(settings: Settings) -> Grantor {
        let rng = StdRng::seed_from_u64(settings.seed);
        Grantor {
            pause: settings.owner_poll_interval,
            rng,
            settings,
            now: Duration::ZERO,
            out: Vec::new(),
            held: BTreeMap::new(),
            latest: Attempt(0),
            spent: BTreeSet::new(),
            epoch: 0,
            owner: None,
            address: String::new(),
            heard: Duration::ZERO,
            next_beat: Duration::ZERO,
            next_seek: Duration::ZERO,
            reading: false,
            recovered: false,
            leaving: false,
            draining: false,
            drained: false,
            configuration: 0,
            peers: BTreeMap::new(),
            dialling: BTreeMap::new(),
        }
    }

    /// Takes one input and returns what is to be done.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = now;
        match input {
            Input::OwnerRow(row) => self.on_owner(row),
            Input::Recovered(tasks) => self.recover(tasks),
            Input::Connected { link, hello, dialled } => self.linked(link, &hello, &dialled),
            Input::Disconnected { link } => self.unlinked(link),
            Input::DialFailed { address } => drop(self.dialling.remove(&address)),
            Input::Frame { link, frame } => self.frame(link, frame),
            Input::RankEnded { attempt, rank, end } => self.on_end(attempt, rank, end),
            Input::EndpointHealth { leaving } => self.set_leaving(leaving || self.draining),
            Input::Drain => {
                self.draining = true;
                self.set_leaving(true);
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Does what time has made due. Called several times a second.
    pub fn tick(&mut self, now: Duration) -> Vec<Output> {
        self.now = now;
        if let Some(owner) = self.owner {
            if now.saturating_sub(self.heard) >= self.settings.owner_timeout {
                self.out.push(Output::Close { link: owner, reason: "owner silent" });
                self.unlinked(owner);
            } else if now >= self.next_beat {
                self.next_beat = now + self.settings.heartbeat_interval;
                let frame = Frame::Beat { epoch: self.epoch, configuration: self.configuration };
                self.send(owner, frame);
            }
        }
        if self.owner.is_none() && now >= self.next_seek {
            // Half to all of the pause, so that agents which lost the same owner
            // do not all look at the same moment.
            self.next_seek = now + self.pause.mul_f64(self.rng.random_range(0.5..1.0));
            if !self.reading {
                self.reading = true;
                self.out.push(Output::ReadOwner);
            }
        }
        self.repeat();
        self.watch_stops();
        self.watch_gangs();
        std::mem::take(&mut self.out)
    }

    /// True once a drain may end: nothing runs and nothing awaits its record.
    pub fn is_idle(&self) -> bool {
        self.held.is_empty()
    }

    /// True if an owner is connected.
    pub fn has_owner(&self) -> bool {
        self.owner.is_some()
    }

    /// The configuration in force here.
    pub fn configuration_version(&self) -> u64 {
        self.configuration
    }

    /// Accelerators that are granted now.
    pub fn granted_mask(&self) -> u64 {
        let live = self.held.values().filter(|held| held.live());
        live.fold(0, |mask, held| mask | held.task.mask())
    }

    pub(crate) fn send(&mut self, link: LinkId, frame: Frame) {
        self.out.push(Output::Send { link, frame });
    }

    pub(crate) fn event(&mut self, kind: Kind) {
        self.out.push(Output::Event(kind));
    }

    pub(crate) fn worker(&self) -> &str {
        &self.settings.member.worker
    }

    fn on_owner(&mut self, row: Option<(u64, String)>) {
        self.reading = false;
        let Some((epoch, address)) = row else {
            // The table is down. When it is back it must not be met by all
            // agents at once: a fleet of thousands would exceed what it takes.
            self.pause = (self.pause * 2).min(self.settings.max_owner_poll_interval);
            return;
        };
        self.pause = self.settings.owner_poll_interval;
        if epoch < self.epoch || self.owner.is_some() || !self.recovered {
            return;
        }
        self.epoch = epoch;
        self.address = address.clone();
        self.dial(&address);
    }

    pub(crate) fn dial(&mut self, address: &str) {
        let at = self.dialling.get(address).copied();
        let fresh = at.is_some_and(|at| self.now.saturating_sub(at) < DIAL);
        if !address.is_empty() && !fresh {
            self.dialling.insert(address.to_owned(), self.now);
            self.out.push(Output::Dial { address: address.to_owned() });
        }
    }

    /// The endpoint outlives its agent: what it still runs holds accelerators.
    fn recover(&mut self, tasks: Vec<Task>) {
        self.recovered = true;
        let worker = self.worker().to_owned();
        let attempts = tasks.iter().map(|task| task.attempt.0).collect();
        self.event(Kind::Recovered { worker, attempts });
        for task in tasks {
            let attempt = task.attempt;
            self.held.entry(attempt).or_insert_with(|| Held::new(task, State::Running, self.now));
        }
    }

    fn linked(&mut self, link: LinkId, hello: &Hello, dialled: &str) {
        self.dialling.remove(dialled);
        match hello.role {
            Role::Entry if self.epoch > 0 && dialled == self.address && self.owner.is_none() => {
                self.owner = Some(link);
                self.heard = self.now;
                self.announce(link);
            }
            Role::Entry => {
                self.out.push(Output::Close { link, reason: "not the owner's address" });
            }
            Role::Agent => drop(self.peers.insert(link, hello.name.clone())),
        }
    }

    fn unlinked(&mut self, link: LinkId) {
        self.peers.remove(&link);
        for held in self.held.values_mut() {
            held.links.retain(|_, l| *l != link);
        }
        if self.owner == Some(link) {
            self.owner = None;
            // A process that is no longer the owner closes at once: without a
            // pause the agent would come back as fast as it can connect.
            self.next_seek = self.now + self.settings.owner_poll_interval;
        }
    }

    fn announce(&mut self, link: LinkId) {
        let mut member: Member = self.settings.member.clone();
        member.leaving = self.leaving;
        let inventory = self.held.values().map(Held::inventory).collect();
        let latest = self.latest;
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

    fn frame(&mut self, link: LinkId, frame: Frame) {
        match frame {
            Frame::Pulse { attempt, done } => self.pulsed(link, attempt, done),
            Frame::Whole { attempt, done } => self.whole(link, attempt, done),
            Frame::Broken { attempt, reason } => self.broken(link, attempt, &reason),
            Frame::Beat { epoch, .. }
            | Frame::Prepare { epoch, .. }
            | Frame::Go { epoch, .. }
            | Frame::Stop { epoch, .. }
            | Frame::Forget { epoch, .. }
            | Frame::Configure { epoch, .. } => {
                if self.obey(link, epoch) {
                    self.command(link, frame);
                }
            }
            _ => {}
        }
    }

    /// True if the sender is the owner with the highest epoch seen. An earlier
    /// owner that was frozen wakes up with orders of the past; obeying it could
    /// start twice what the present owner placed elsewhere.
    fn obey(&mut self, link: LinkId, epoch: u64) -> bool {
        if self.owner != Some(link) || self.epoch == 0 {
            return false;
        }
        if epoch < self.epoch {
            self.send(link, Frame::Fenced { epoch: self.epoch });
            self.out.push(Output::Close { link, reason: "epoch is over" });
            self.unlinked(link);
            return false;
        }
        self.epoch = epoch;
        self.heard = self.now;
        true
    }

    fn command(&mut self, link: LinkId, frame: Frame) {
        match frame {
            Frame::Prepare { task, .. } => self.prepare(link, task),
            Frame::Go { attempt, .. } => self.go(attempt),
            Frame::Stop { attempt, grace_ms, .. } => {
                self.stop(link, attempt, Duration::from_millis(grace_ms));
            }
            Frame::Forget { attempt, .. } => self.forget(attempt),
            Frame::Configure { after, version, rows, .. } => {
                self.configure(after, version, &rows);
            }
            _ => {}
        }
    }

    fn configure(&mut self, after: u64, version: u64, rows: &[(String, String)]) {
        if after > self.configuration || version <= self.configuration {
            return;
        }
        // Whether this worker is drained is all that an agent needs to know.
        for (_, value) in rows {
            let row: serde_json::Value = serde_json::from_str(value).unwrap_or_default();
            self.drained = row["drained"].as_bool().unwrap_or(false);
        }
        self.configuration = version;
        self.event(Kind::Applied { version });
    }

    fn prepare(&mut self, link: LinkId, task: Task) {
        let attempt = task.attempt;
        self.latest = self.latest.max(attempt);
        if let Some(held) = self.held.get(&attempt) {
            match held.state.clone() {
                State::Prepared => self.send(link, Frame::Prepared { attempt }),
                State::Ended(report) => self.send(link, Frame::Ended { attempt, report }),
                State::Running | State::Stopping { .. } => {}
            }
            return;
        }
        let reason = if self.spent.contains(&attempt) {
            "this attempt is over"
        } else if self.leaving {
            "the worker is leaving"
        } else if self.drained {
            "the worker is drained"
        } else if self.granted_mask() & task.mask() != 0 {
            "accelerators are held by another attempt"
        } else {
            let mask = task.mask();
            let worker = self.worker().to_owned();
            self.event(Kind::Granted { worker, attempt: attempt.0, mask });
            let mut held = Held::new(task, State::Prepared, self.now);
            held.repeat = self.now + self.settings.retry_interval;
            self.held.insert(attempt, held);
            self.send(link, Frame::Prepared { attempt });
            return;
        };
        // Once declined, always declined: the owner may act on the answer after
        // a doubled Prepare could have been granted.
        self.spend(attempt);
        self.send(link, Frame::Declined { attempt, reason: reason.to_owned() });
        // What the owner believes of this worker is wrong: set it right.
        self.announce(link);
    }

    /// Starts a granted attempt. Called on the owner's word, or on that of
    /// another member that the owner told: either way the start is recorded.
    pub(crate) fn go(&mut self, attempt: Attempt) {
        let now = self.now;
        let Some(held) = self.held.get_mut(&attempt) else { return };
        if held.state != State::Prepared {
            return;
        }
        held.state = State::Running;
        held.next_pulse = now;
        // Members are given the full time to be heard for the first time.
        for (worker, _) in &held.task.members {
            held.heard.insert(worker.clone(), now);
        }
        let task = held.task.clone();
        let kind = Kind::Started {
            worker: self.worker().to_owned(),
            attempt: attempt.0,
            team: task.team.clone(),
            request: task.request.clone(),
            idempotent: task.idempotent,
            members: task.members.len(),
        };
        self.event(kind);
        self.out.push(Output::Run { task });
        self.watch_gangs();
    }

    fn stop(&mut self, link: LinkId, attempt: Attempt, grace: Duration) {
        let Some(held) = self.held.get(&attempt) else {
            if !self.spent.contains(&attempt) {
                // Buried before it came: a Prepare that arrives late is declined.
                self.spend(attempt);
            }
            let report = Report::Lost { reason: "not held here".to_owned() };
            self.send(link, Frame::Ended { attempt, report });
            return;
        };
        match held.state.clone() {
            State::Prepared => self.end(attempt, Report::Aborted),
            State::Running => self.halt(attempt, grace, "stopped by request"),
            State::Stopping { .. } => {}
            State::Ended(report) => self.send(link, Frame::Ended { attempt, report }),
        }
    }

    /// Stops a running attempt at the endpoint.
    pub(crate) fn halt(&mut self, attempt: Attempt, grace: Duration, reason: &str) {
        let kill = self.now + grace + self.settings.kill_delay;
        let Some(held) = self.held.get_mut(&attempt) else { return };
        if held.state == State::Running {
            held.state = State::Stopping { reason: reason.to_owned(), kill };
            self.out.push(Output::Stop { attempt, grace });
        }
    }

    /// Stops hard what does not stop by itself.
    fn watch_stops(&mut self) {
        let now = self.now;
        let again = now + self.settings.kill_delay;
        let mut late = Vec::new();
        for (attempt, held) in &mut self.held {
            if let State::Stopping { kill, .. } = &mut held.state
                && now >= *kill
            {
                *kill = again;
                late.push(*attempt);
            }
        }
        for attempt in late {
            self.out.push(Output::Stop { attempt, grace: Duration::ZERO });
        }
    }

    fn on_end(&mut self, attempt: Attempt, rank: u32, end: End) {
        let Some(held) = self.held.get_mut(&attempt) else { return };
        if !held.live() || held.state == State::Prepared {
            return;
        }
        held.ends.entry(rank).or_insert(end.clone());
        if let Some(report) = held.report() {
            self.end(attempt, report);
        } else if !matches!(end, End::Done { .. }) {
            // One rank failed: the others here must not go on alone.
            self.halt(attempt, Duration::ZERO, "another task of the gang ended early");
        }
    }

    /// Notes how this worker's part ended and tells the owner and the gang.
    fn end(&mut self, attempt: Attempt, report: Report) {
        let repeat = self.now + self.settings.retry_interval;
        let Some(held) = self.held.get_mut(&attempt) else { return };
        let ran = held.state != State::Prepared;
        held.state = State::Ended(report.clone());
        held.repeat = repeat;
        let worker = self.worker().to_owned();
        let done = matches!(report, Report::Done { .. });
        if ran {
            self.event(Kind::Stopped { worker: worker.clone(), attempt: attempt.0, done });
        }
        self.event(Kind::Freed { worker, attempt: attempt.0 });
        if let Some(owner) = self.owner {
            self.send(owner, Frame::Ended { attempt, report });
        }
        if !done {
            self.break_gang(attempt, "a member ended early");
        }
    }

    fn forget(&mut self, attempt: Attempt) {
        if self.held.get(&attempt).is_some_and(|held| !held.live()) {
            self.held.remove(&attempt);
            self.spend(attempt);
            self.out.push(Output::Forget { attempt });
        }
    }

    fn spend(&mut self, attempt: Attempt) {
        self.spent.insert(attempt);
        while self.spent.len() > SPENT {
            self.spent.pop_first();
        }
    }

    /// Asks about grants that heard nothing, and tells ends again that were
    /// not acknowledged.
    fn repeat(&mut self) {
        let Some(owner) = self.owner else { return };
        let now = self.now;
        let next = now + self.settings.retry_interval;
        let mut frames = Vec::new();
        for (attempt, held) in &mut self.held {
            if now < held.repeat {
                continue;
            }
            let attempt = *attempt;
            match &held.state {
                State::Prepared => frames.push(Frame::Unsure { attempt }),
                State::Ended(report) => {
                    frames.push(Frame::Ended { attempt, report: report.clone() });
                }
                _ => continue,
            }
            held.repeat = next;
        }
        for frame in frames {
            self.send(owner, frame);
        }
    }
}
