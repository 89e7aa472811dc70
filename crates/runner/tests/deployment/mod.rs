//! Simulation of one owner, agents and workers with connections, calls and reports that take time,
//! on a simulated clock.

mod fault;
mod host;
mod link;
mod process;

use std::collections::BTreeMap;
use std::mem;

use quincewheel_dispatch::{Batch, Output as OwnerOutput, Owner, Settings as OwnerSettings};
use quincewheel_job::{
    Condition, How, Incarnation, Job, Machine, Queue, Resources, Step, Task, Worker,
};
use quincewheel_runner::{
    Action, Announcement, Fault as CallFault, Heartbeat, Output, Reply, Runner, Settings,
};
use quincewheel_store::Limits;
use quincewheel_wire::Refused;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::simulation::history::History;
pub use fault::{Fault, KINDS, Kind, MORE_KINDS, draw};
use host::{Flight, Host, Phase, Report};
use link::{Arrival, Link};
use process::Process;

/// Step of the clock, in milliseconds.
const STEP_MS: u64 = 10;
/// The simulated time at which the owner claimed.
const START_MS: u64 = 10_000;
const HEARTBEAT_INTERVAL_MS: u64 = 1500;
const DIAL_INTERVAL_MS: u64 = 100;
/// How long members of a gang wait for the others.
const GANG_TIMEOUT_MS: u64 = 4000;
/// Longest time that a run takes to stop.
const MAX_STOP_MS: u64 = 200;
/// Most notices that the owner handles before it decides.
const MAX_NOTICES: usize = 64;
/// The most ends that a worker lists at a time, unless a course sets another number.
const MAX_LISTED_ENDS: usize = 500;
/// The accelerators of a worker.
const ACCELERATORS: u64 = 8;

/// The whole deployment.
pub struct Deployment {
    owner: Owner,
    owner_frozen_until: u64,
    hosts: Vec<Host>,
    links: Vec<Link>,
    next_link: u64,
    processes: usize,
    /// Needs and durations of the tasks of the jobs, and sizes of gangs; 0 for single tasks.
    jobs: BTreeMap<String, (u64, u64, u32)>,
    version: u64,
    next_job_at: u64,
    /// The batch in flight, when its result arrives, and whether it was recorded.
    batch: Option<(u64, Batch, bool)>,
    table_down_until: u64,
    lists_late_until: u64,
    /// Machine lists on their way: arrival, request, and content.
    lists: Vec<(u64, u64, Vec<Machine>)>,
    faults: Vec<Fault>,
    /// Workers keep their ids when they restart.
    keeps_ids: bool,
    /// The most ends that a worker lists at a time.
    pub max_listed_ends: usize,
    accepts_jobs: bool,
    random: StdRng,
    pub history: History,
    pub now: u64,
    /// What happened, if it is to be kept.
    pub trace: Option<Vec<String>>,
}

impl Deployment {
    /// Creates a deployment whose owner is connected to no agent yet.
    pub fn new(seed: u64, hosts: usize, faults: Vec<Fault>, traced: bool) -> Deployment {
        let mut random = StdRng::seed_from_u64(seed);
        let lists_machines = random.random_bool(0.7);
        let settings =
            OwnerSettings { lists_machines, claim_after: 2000, ..OwnerSettings::default() };
        let mut owner = Owner::new(settings, 1, 100, START_MS);
        owner.predecessor_ended();
        let hosts: Vec<Host> = (0..hosts).map(Host::new).collect();
        for host in &hosts {
            owner.add_agent(&host.name, START_MS);
        }
        Deployment {
            owner,
            owner_frozen_until: 0,
            hosts,
            links: Vec::new(),
            next_link: 1,
            processes: 0,
            jobs: BTreeMap::new(),
            version: 150,
            next_job_at: START_MS + 1000,
            batch: None,
            table_down_until: 0,
            lists_late_until: 0,
            lists: Vec::new(),
            faults,
            keeps_ids: false,
            max_listed_ends: MAX_LISTED_ENDS,
            accepts_jobs: true,
            random,
            history: History::default(),
            now: START_MS,
            trace: traced.then(Vec::new),
        }
    }

    /// Lets workers keep their ids when they restart.
    pub fn keep_ids(&mut self) {
        self.keeps_ids = true;
        self.history.ids_are_kept = true;
    }

    /// Ends all trouble and the submission of jobs, and runs until all jobs have ended, but no
    /// longer than `ms`. Returns those that have not.
    pub fn drain(&mut self, last_trouble: u64, ms: u64) -> Vec<String> {
        self.accepts_jobs = false;
        self.run(last_trouble);
        for process in self.hosts.iter_mut().flat_map(|host| &mut host.process) {
            process.capacity = ACCELERATORS;
            process.cold = 0;
        }
        let end = last_trouble + ms;
        while !self.unfinished_jobs().is_empty()
            && self.now < START_MS + end
            && self.history.violations.is_empty()
        {
            self.run(end.min(self.now - START_MS + 1000));
        }
        self.unfinished_jobs()
    }

    fn unfinished_jobs(&self) -> Vec<String> {
        self.jobs.keys().filter(|id| !self.owner.has_ended(id)).cloned().collect()
    }

    /// Advances the clock to `ms` after the start, or to the first violation.
    pub fn run(&mut self, ms: u64) {
        while self.now < START_MS + ms && self.history.violations.is_empty() {
            self.now += STEP_MS;
            self.begin_faults();
            for number in 0..self.hosts.len() {
                self.step_process(number);
            }
            self.step_gangs();
            for number in 0..self.hosts.len() {
                self.step_calls(number);
                self.step_agent(number);
            }
            self.step_owner();
            self.links.retain(Link::is_open);
        }
    }

    fn log(&mut self, line: impl FnOnce() -> String) {
        let ms = self.now - START_MS;
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{ms:>6} {}", line()));
        }
    }

    /// A time within some milliseconds from now.
    fn soon(&mut self, most: u64) -> u64 {
        self.now + self.random.random_range(1..=most)
    }

    fn begin_faults(&mut self) {
        while self.faults.first().is_some_and(|fault| self.now >= START_MS + fault.at) {
            let fault = self.faults.remove(0);
            self.log(|| format!("FAULT {fault:?}"));
            self.begin_fault(&fault);
        }
    }

    fn begin_fault(&mut self, fault: &Fault) {
        let now = self.now;
        let until = now + fault.duration;
        let number = fault.host;
        let seen = now + fault.delay % 300;
        let host = &mut self.hosts[number];
        match fault.kind {
            Kind::LinkLost | Kind::LinkLostAtAgent | Kind::LinkLostAtOwner => {
                host.unreachable_until = until;
                for link in self.links.iter_mut().filter(|link| link.host == number) {
                    if fault.kind != Kind::LinkLostAtOwner {
                        link.to_agent.send(Arrival::Closed, seen);
                    }
                    if fault.kind != Kind::LinkLostAtAgent {
                        link.to_owner.send(Arrival::Closed, seen);
                    }
                    link.to_agent.severed = true;
                    link.to_owner.severed = true;
                }
            }
            Kind::FramesDelayed => {
                host.orders_delayed_until = until;
                host.notices_delayed_until = until;
                for link in self.links.iter_mut().filter(|link| link.host == number) {
                    link.to_agent.delay(until);
                    link.to_owner.delay(until);
                }
            }
            Kind::OrdersDelayed => {
                host.orders_delayed_until = until;
                for link in self.links.iter_mut().filter(|link| link.host == number) {
                    link.to_agent.delay(until);
                }
            }
            Kind::NoticesDelayed => {
                host.notices_delayed_until = until;
                for link in self.links.iter_mut().filter(|link| link.host == number) {
                    link.to_owner.delay(until);
                }
            }
            Kind::WorkerFrozen | Kind::WorkerSuspended => {
                if let Some(process) = &mut host.process {
                    process.frozen_until = process.frozen_until.max(until);
                    process.clock_stands = fault.kind == Kind::WorkerSuspended;
                }
            }
            Kind::AgentRestart => self.restart_agent(number, now + fault.delay % 2000, seen),
            Kind::AgentFrozen => host.agent_frozen_until = until,
            Kind::OwnerFrozen => self.owner_frozen_until = until,
            Kind::RepliesLost => host.replies_lost_until = until,
            Kind::CallsLost => host.calls_lost_until = until,
            Kind::CallsDelayed => {
                host.calls_delayed_until = until;
                host.call_delay = fault.delay;
            }
            Kind::RepliesLate => host.replies_late_until = until,
            Kind::RefusesPolls => host.refuses_polls_until = until,
            Kind::RefusesAll => host.refuses_all_until = until,
            Kind::PortClosed => host.port_closed_until = until,
            Kind::Drain => {
                if let Some(process) = host.process.as_mut().filter(|process| !process.draining) {
                    process.draining = true;
                    process.leaves_at = Some(until);
                    process.next_heartbeat = now;
                    host.next_process_at = Some(until + 100 + fault.delay);
                }
            }
            Kind::Crash => {
                if host.process.is_some() {
                    host.next_process_at = Some(now + 300 + fault.delay);
                    self.end_process(number);
                }
            }
            Kind::HeartbeatsDelayed => {
                host.heartbeats_delayed_until = until;
                host.heartbeat_delay = fault.delay;
            }
            Kind::HeartbeatsRepeated => {
                host.heartbeats_repeated_until = until;
                host.heartbeat_delay = fault.delay;
            }
            Kind::HeartbeatsLost => host.heartbeats_lost_until = until,
            Kind::Capacity => {
                if let Some(process) = &mut host.process {
                    process.capacity = if process.capacity == ACCELERATORS { 4 } else { 8 };
                    process.next_heartbeat = now;
                }
            }
            Kind::Cold => {
                if let Some(process) = &mut host.process {
                    process.cold = if process.cold == 0 { 2000 } else { 0 };
                    process.next_heartbeat = now;
                }
            }
            Kind::TableDown => self.table_down_until = until,
            Kind::ListsLate => self.lists_late_until = until,
        }
    }

    /// Ends an agent's process; the next one runs from `up_at`. The owner sees the end of the
    /// connections at `seen`.
    fn restart_agent(&mut self, number: usize, up_at: u64, seen: u64) {
        let host = &mut self.hosts[number];
        host.agent += 1;
        host.runner = Runner::new(Settings::default());
        host.announcement = Announcement::unwritten();
        host.agent_up_at = up_at;
        host.agent_frozen_until = 0;
        let agent = host.agent;
        // Reports that were on their way to the former process are lost, unless they are delayed.
        host.reports.retain(|(at, _)| *at > up_at);
        host.flights
            .retain(|flight| flight.agent == agent || matches!(flight.phase, Phase::Sent(_)));
        for link in self.links.iter_mut().filter(|link| link.host == number) {
            link.to_agent.open = false;
            link.to_owner.send(Arrival::Closed, seen);
            link.to_owner.severed = true;
        }
    }

    /// Ends a worker's process with all that it runs.
    fn end_process(&mut self, number: usize) {
        let now = self.now;
        let delay = match self.random.random_range(0..3) {
            0 => self.random.random_range(0..2000),
            _ => 0,
        };
        let host = &mut self.hosts[number];
        let Some(process) = host.process.take() else { return };
        for active in &process.running {
            let run = &active.run;
            self.history.end(&run.task, run.number, process.number, How::Stopped);
        }
        for flight in &mut host.flights {
            if matches!(flight.phase, Phase::Parked(parked, _) if parked == process.number) {
                let fault = CallFault::Unclear { closed: true, detail: "closed".into() };
                flight.phase = Phase::Replied(now + delay, Err(fault));
            }
        }
        self.log(|| format!("w{number} process {} ends", process.number));
    }

    fn start_process(&mut self, number: usize) {
        let now = self.now;
        let serial = self.processes;
        self.processes += 1;
        let clock_percent = if self.random.random_bool(0.3) { 98 } else { 100 };
        let same_address = self.random.random_bool(0.7);
        let port = if same_address { 80 } else { 8000 + serial };
        let (id, reported_birth) = match self.keeps_ids {
            true => (format!("i-w{number}"), now),
            false => (format!("i{serial}"), 0),
        };
        let host = &mut self.hosts[number];
        host.next_process_at = None;
        host.process = Some(Process {
            number: serial,
            id,
            reported_birth,
            frozen_until: 0,
            clock_stands: false,
            clock_lag: 0,
            address: format!("10.0.0.{number}:{port}"),
            born: now,
            clock_percent,
            lease_end: 0,
            fencing_token: 0,
            running: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            stopped: Vec::new(),
            capacity: ACCELERATORS,
            draining: false,
            leaves_at: None,
            cold: 0,
            heartbeats: 0,
            next_heartbeat: now,
            has_news: false,
            max_listed_ends: self.max_listed_ends,
        });
        self.log(|| format!("w{number} process {serial} starts"));
    }

    fn step_process(&mut self, number: usize) {
        let now = self.now;
        if self.hosts[number].next_process_at.is_some_and(|at| now >= at)
            && self.hosts[number].process.is_none()
        {
            self.start_process(number);
        }
        if self.hosts[number].worker_is_frozen(now) {
            if let Some(process) = &mut self.hosts[number].process {
                process.skip(STEP_MS, now, &mut self.history);
            }
            return;
        }
        let leaves = self.hosts[number].process.as_ref().and_then(|process| process.leaves_at);
        if leaves.is_some_and(|at| now >= at) {
            let at = self.report_time(number);
            let host = &mut self.hosts[number];
            if let Some(process) = &host.process {
                let (id, born) = (process.id.clone(), process.reported_birth);
                host.reports.push((at, Report::Leave(Incarnation { id, born })));
            }
            self.end_process(number);
        }
        let jobs = &self.jobs;
        let host = &mut self.hosts[number];
        let Some(process) = &mut host.process else { return };
        process.expire_lease(now, &mut self.history);
        let due = |active: &mut process::Active| {
            let (_, duration, gang) = jobs[&active.run.task.job];
            active.run.percent = ((now - active.started) * 100 / duration).min(99) as u32;
            let done = gang == 0 && now >= active.started + duration;
            done || active.stops_at.is_some_and(|at| now >= at)
        };
        let ends: Vec<_> = process.running.extract_if(.., due).collect();
        let mut lines = Vec::new();
        for active in ends {
            let how =
                if active.stops_at.is_some_and(|at| now >= at) { How::Stopped } else { How::Done };
            lines.push(format!(
                "w{number} {} run {} ends {how:?}",
                active.run.task, active.run.number
            ));
            process.end_run(active.run, how, &mut self.history);
        }
        if now >= process.next_heartbeat {
            process.next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
            self.send_heartbeat(number);
        }
        lines.into_iter().for_each(|line| self.log(|| line));
    }

    /// When a report that is sent now arrives.
    fn report_time(&mut self, number: usize) -> u64 {
        let host = &self.hosts[number];
        if self.now < host.heartbeats_delayed_until {
            return self.now + 10 + host.heartbeat_delay;
        }
        self.soon(10)
    }

    fn send_heartbeat(&mut self, number: usize) {
        let now = self.now;
        let at = self.report_time(number);
        let host = &mut self.hosts[number];
        let Some(process) = &mut host.process else { return };
        process.heartbeats += 1;
        if now < host.heartbeats_lost_until {
            return;
        }
        let report = || Report::Heartbeat {
            worker: Worker {
                id: process.id.clone(),
                born: process.reported_birth,
                pool: "p".into(),
                capacity: process.resources(),
                rack: "r0".into(),
                draining: process.draining,
                remaining: process.leaves_at.map_or(0, |at| at.saturating_sub(now)),
                cold: process.cold,
                ..Worker::default()
            },
            address: process.address.clone(),
            clock: process.clock(now),
            number: process.heartbeats,
        };
        host.reports.push((at, report()));
        if now < host.heartbeats_repeated_until {
            host.reports.push((at + host.heartbeat_delay, report()));
            host.reports.push((at + host.heartbeat_delay * 3 / 2, report()));
        }
    }

    /// Lets the gangs whose members all run make progress, and ends the others.
    fn step_gangs(&mut self) {
        let now = self.now;
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, u64)>> = BTreeMap::new();
        let mut waiting = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            for active in host.process.iter().flat_map(|process| &process.running) {
                if self.jobs[&active.run.task.job].2 > 0 {
                    let gang = (active.run.task.job.clone(), active.run.number);
                    if host.worker_is_frozen(now) {
                        waiting.push(gang.clone());
                    }
                    gangs.entry(gang).or_default().push((number, active.started));
                }
            }
        }
        // A gang with a member that does nothing makes no progress.
        gangs.retain(|gang, _| !waiting.contains(gang));
        for ((job, run), members) in gangs {
            let (_, duration, size) = self.jobs[&job];
            let first = members.iter().map(|(_, started)| *started).min().unwrap_or(now);
            let last = members.iter().map(|(_, started)| *started).max().unwrap_or(now);
            let complete = members.len() == size as usize;
            let broken = self.hosts.iter().flat_map(|host| &host.process).any(|process| {
                let other = |end: &process::Ended| end.end.task.job == job && end.end.run == run;
                process.ended.iter().any(other)
            });
            let how = match () {
                () if complete && now >= last + duration => How::Done,
                () if broken && !complete => How::Broken,
                () if !complete && now >= first + GANG_TIMEOUT_MS => How::Alone,
                () => continue,
            };
            for host in &mut self.hosts {
                let Some(process) = &mut host.process else { continue };
                let is = |active: &mut process::Active| {
                    active.run.task.job == job && active.run.number == run
                };
                let ends: Vec<_> = process.running.extract_if(.., is).collect();
                for active in ends {
                    process.end_run(active.run, how, &mut self.history);
                }
            }
            self.log(|| format!("gang {job} run {run} ends {how:?}"));
        }
    }

    /// Moves the calls to a worker on.
    fn step_calls(&mut self, number: usize) {
        let now = self.now;
        if self.hosts[number].worker_is_frozen(now) {
            return;
        }
        let ready = |(at, _): &mut (u64, quincewheel_runner::Call)| *at <= now;
        let late: Vec<_> = self.hosts[number].late_calls.extract_if(.., ready).collect();
        for (_, call) in late {
            let listens = |process: &Process| process.address == call.address;
            if self.hosts[number].process.as_ref().is_some_and(listens) {
                let reply = self.execute(number, &call);
                self.log(|| format!("w{number} late {:?} -> {}", call.action, reply_name(&reply)));
            }
        }
        let flights = mem::take(&mut self.hosts[number].flights);
        let mut kept = Vec::new();
        for mut flight in flights {
            match flight.phase {
                Phase::Sent(at) if at <= now => {
                    flight.phase = self.arrive(number, &flight);
                }
                Phase::Parked(serial, until) => {
                    let process = self.hosts[number].process.as_mut();
                    if let Some(process) = process.filter(|process| process.number == serial)
                        && (process.has_news || now >= until)
                    {
                        process.has_news = false;
                        let reply = process.list(now);
                        flight.phase = Phase::Replied(self.reply_time(number), Ok(reply));
                    }
                }
                _ => {}
            }
            kept.push(flight);
        }
        self.hosts[number].flights.extend(kept);
    }

    fn reply_time(&mut self, number: usize) -> u64 {
        match self.now < self.hosts[number].replies_late_until {
            true => self.soon(900),
            false => self.soon(10),
        }
    }

    fn execute(&mut self, number: usize, call: &quincewheel_runner::Call) -> Reply {
        let stop_delay = self.random.random_range(0..MAX_STOP_MS);
        let now = self.now;
        let jobs = &self.jobs;
        let need = |task: &Task| jobs[&task.job].0;
        match &mut self.hosts[number].process {
            Some(process) => process.execute(call, &need, stop_delay, now, &mut self.history),
            None => Reply::Refused(Refused::Leaving),
        }
    }

    /// Lets a call reach the worker's address.
    fn arrive(&mut self, number: usize, flight: &Flight) -> Phase {
        let now = self.now;
        let at = self.reply_time(number);
        let host = &mut self.hosts[number];
        let call = &flight.call;
        let is_poll = matches!(call.action, Action::Hold { .. } | Action::List);
        let listens = |process: &Process| process.address == call.address;
        let listening = host.process.as_ref().is_some_and(listens) && now >= host.port_closed_until;
        if !listening {
            return Phase::Replied(at, Err(CallFault::Unsent { detail: "refused".into() }));
        }
        if now < host.calls_lost_until {
            return Phase::Lost;
        }
        if now < host.calls_delayed_until {
            host.late_calls.push((now + host.call_delay, call.clone()));
            return Phase::Lost;
        }
        if now < host.refuses_all_until || (is_poll && now < host.refuses_polls_until) {
            return Phase::Replied(at, Ok(Reply::Refused(Refused::Busy)));
        }
        let lost = now < host.replies_lost_until;
        let reply = self.execute(number, call);
        if !is_poll || !matches!(reply, Reply::Held { .. }) {
            self.log(|| format!("w{number} {:?} -> {}", call.action, reply_name(&reply)));
        }
        if lost {
            return Phase::Lost;
        }
        if let (Action::Hold { wait, .. }, Reply::Held { ended, .. }, Some(process)) =
            (&call.action, &reply, &self.hosts[number].process)
            && *wait > 0
            && ended.is_empty()
        {
            return Phase::Parked(process.number, now + wait);
        }
        Phase::Replied(at, Ok(reply))
    }

    /// Lets an agent handle what has arrived, in any order.
    fn step_agent(&mut self, number: usize) {
        let now = self.now;
        if now < self.hosts[number].agent_up_at {
            return;
        }
        if now < self.hosts[number].agent_frozen_until {
            self.hosts[number].agent_was_frozen = true;
            return;
        }
        let woke = mem::take(&mut self.hosts[number].agent_was_frozen);
        let mut parts = [0, 1, 2, 3];
        for last in (1..parts.len()).rev() {
            parts.swap(last, self.random.random_range(0..=last));
        }
        for part in parts {
            match part {
                0 => self.hosts[number].runner.tick(now),
                1 => self.deliver_orders(number),
                2 => self.deliver_replies(number, woke),
                _ => self.deliver_reports(number),
            }
            self.carry_out(number);
        }
        let spread = self.random.random();
        let host = &mut self.hosts[number];
        let due = host.announcement.next_write(&host.runner, spread, now);
        if due.is_some_and(|at| at <= now) && now >= self.table_down_until {
            host.announcement.on_written(host.runner.incarnation_count());
            host.announcements.push_back(now + 30);
        }
    }

    fn deliver_orders(&mut self, number: usize) {
        let now = self.now;
        for index in 0..self.links.len() {
            if self.links[index].host != number {
                continue;
            }
            while let Some(arrival) = self.links[index].to_agent.receive(now) {
                let id = self.links[index].id;
                match arrival {
                    Arrival::Frame(order) => {
                        self.log(|| format!("w{number} gets {}", order_name(&order)));
                        self.hosts[number].runner.on_order(id, order, now);
                    }
                    Arrival::Closed => {
                        self.log(|| format!("w{number} loses link {id}"));
                        self.hosts[number].runner.on_disconnected(id);
                    }
                }
                self.carry_out(number);
            }
        }
    }

    /// Delivers replies and timeouts. A process that was frozen may take a reply that has arrived
    /// for a timeout.
    fn deliver_replies(&mut self, number: usize, woke: bool) {
        let now = self.now;
        let agent = self.hosts[number].agent;
        let flights = mem::take(&mut self.hosts[number].flights);
        let mut results = Vec::new();
        for flight in flights {
            let timed_out = now >= flight.sent + flight.call.timeout;
            let replied = matches!(flight.phase, Phase::Replied(at, _) if at <= now);
            if flight.agent != agent {
                if matches!(flight.phase, Phase::Sent(_)) {
                    self.hosts[number].flights.push(flight);
                }
            } else if replied && !(timed_out && woke && self.random.random_bool(0.5)) {
                let Phase::Replied(_, result) = flight.phase else { continue };
                results.push((flight.id, result));
            } else if timed_out {
                let fault = CallFault::Unclear { closed: false, detail: "timeout".into() };
                results.push((flight.id, Err(fault)));
            } else {
                self.hosts[number].flights.push(flight);
            }
        }
        while !results.is_empty() {
            let index = self.random.random_range(0..results.len());
            let (id, result) = results.swap_remove(index);
            if !matches!(result, Ok(Reply::Held { .. })) {
                self.log(|| format!("w{number} reply to {id}: {result:?}"));
            }
            self.hosts[number].runner.on_reply(id, result, now);
            self.carry_out(number);
        }
    }

    fn deliver_reports(&mut self, number: usize) {
        let now = self.now;
        let due = |(at, _): &mut (u64, Report)| *at <= now;
        let mut reports: Vec<_> = self.hosts[number].reports.extract_if(.., due).collect();
        while !reports.is_empty() {
            let index = self.random.random_range(0..reports.len());
            let (_, report) = reports.swap_remove(index);
            match report {
                Report::Heartbeat { worker, address, clock, number: seq } => {
                    self.log(|| format!("w{number} heartbeat {} {seq}", worker.id));
                    let heartbeat =
                        Heartbeat { worker: &worker, address: &address, clock, number: seq };
                    self.hosts[number].runner.on_heartbeat(&heartbeat, now);
                }
                Report::Leave(worker) => {
                    self.log(|| format!("w{number} {worker} leaves"));
                    self.hosts[number].runner.on_leave(&worker, now);
                }
            }
            self.carry_out(number);
        }
    }

    /// Carries out the outputs of an agent.
    fn carry_out(&mut self, number: usize) {
        let now = self.now;
        for output in self.hosts[number].runner.take_outputs() {
            let at = self.soon(10);
            match output {
                Output::Call { id, call } => {
                    let host = &mut self.hosts[number];
                    let (agent, phase) = (host.agent, Phase::Sent(at));
                    host.flights.push(Flight { agent, id, call, sent: now, phase });
                }
                Output::Send { link, notice } => {
                    self.log(|| format!("w{number} sends {notice:?}"));
                    let at = at.max(self.hosts[number].notices_delayed_until);
                    if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
                        link.to_owner.send(Arrival::Frame(notice), at);
                    }
                }
                Output::Close { link } => {
                    let at = at.max(self.hosts[number].notices_delayed_until);
                    if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
                        link.to_agent.open = false;
                        link.to_owner.send(Arrival::Closed, at);
                    }
                }
            }
        }
    }

    fn step_owner(&mut self) {
        let now = self.now;
        if now < self.owner_frozen_until {
            return;
        }
        if now >= self.table_down_until {
            self.owner.confirm_ownership(now);
        }
        self.add_jobs();
        self.dial();
        self.receive_lists();
        for _ in 0..3 {
            let handled = self.deliver_notices();
            self.owner.tick(now, now);
            self.carry_out_owner();
            if handled == 0 {
                break;
            }
        }
        self.record();
    }

    fn add_jobs(&mut self) {
        let now = self.now;
        while self.accepts_jobs && now >= self.next_job_at {
            self.next_job_at += self.random.random_range(50..900);
            let name = format!("j{}", self.version);
            let gang = self.random.random_bool(0.3);
            let count = if gang {
                self.random.random_range(2..=3)
            } else {
                self.random.random_range(1..=3)
            };
            let accelerators = [1, 1, 2, 4, 8][self.random.random_range(0..5)];
            let duration = self.random.random_range(1000..4000);
            let priority = self.random.random_range(0..3);
            let queue = Queue {
                name: "q".into(),
                pool: "p".into(),
                attempts: 5,
                priority,
                ..Queue::default()
            };
            let need = Resources { cpu: 1000, memory: 1000, accelerators };
            let step = Step { count, need, estimate: 2000, gang, ..Step::default() };
            let job = Job {
                team: "t".into(),
                queue,
                spec: String::new(),
                steps: vec![step],
                schedule: None,
                accepted: now,
            };
            self.jobs.insert(name.clone(), (accelerators, duration, if gang { count } else { 0 }));
            self.owner.add_job(&name, job, self.version, None);
            self.version += 1;
        }
    }

    /// Lets the owner dial agents that are not connected.
    fn dial(&mut self) {
        let now = self.now;
        for number in 0..self.hosts.len() {
            while self.hosts[number].announcements.front().is_some_and(|at| *at <= now) {
                self.hosts[number].announcements.pop_front();
                self.owner.add_agent(&self.hosts[number].name, now);
            }
            let host = &mut self.hosts[number];
            if now < host.next_dial {
                continue;
            }
            host.next_dial = now + DIAL_INTERVAL_MS;
            let reachable = now >= host.unreachable_until && host.agent_runs(now);
            if reachable
                && !self.owner.is_connected(&host.name)
                && !self.owner.is_dismissed(&host.name)
            {
                let id = self.next_link;
                self.next_link += 1;
                self.links.push(Link::new(id, number));
                let name = host.name.clone();
                self.owner.on_connected(&name, id, now);
                self.log(|| format!("owner connects to {name} by link {id}"));
            }
        }
    }

    fn receive_lists(&mut self) {
        let now = self.now;
        let due = |(at, _, _): &mut (u64, u64, Vec<Machine>)| *at <= now;
        let lists: Vec<_> = self.lists.extract_if(.., due).collect();
        for (_, sent, machines) in lists {
            self.owner.on_machines(machines, true, 1, (sent, now));
        }
    }

    /// Lets the owner handle some of the notices that have arrived. Returns how many.
    fn deliver_notices(&mut self) -> usize {
        let now = self.now;
        let most = self.random.random_range(1..=MAX_NOTICES);
        let mut handled = 0;
        let mut order: Vec<usize> = (0..self.links.len()).collect();
        for last in (1..order.len()).rev() {
            order.swap(last, self.random.random_range(0..=last));
        }
        for index in order {
            while handled < most
                && let Some(arrival) = self.links[index].to_owner.receive(now)
            {
                handled += 1;
                let id = self.links[index].id;
                match arrival {
                    Arrival::Frame(notice) => self.owner.on_notice(id, notice, now),
                    Arrival::Closed => {
                        self.owner.on_disconnected(id);
                        self.log(|| format!("owner loses link {id}"));
                    }
                }
            }
        }
        handled
    }

    fn carry_out_owner(&mut self) {
        for output in self.owner.take_outputs() {
            let at = self.soon(10);
            match output {
                OwnerOutput::Send { link, order } => {
                    let Some(link) = self.links.iter_mut().find(|known| known.id == link) else {
                        continue;
                    };
                    let at = at.max(self.hosts[link.host].orders_delayed_until);
                    link.to_agent.send(Arrival::Frame(order), at);
                }
                OwnerOutput::Close { link } => {
                    let Some(link) = self.links.iter_mut().find(|known| known.id == link) else {
                        continue;
                    };
                    let at = at.max(self.hosts[link.host].orders_delayed_until);
                    link.to_owner.open = false;
                    link.to_agent.send(Arrival::Closed, at);
                }
                OwnerOutput::ListMachines => {
                    let delay = match self.now < self.lists_late_until {
                        true => self.random.random_range(500..4000),
                        false => self.random.random_range(10..60),
                    };
                    let machines = self.machines();
                    self.lists.push((self.now + delay, self.now, machines));
                }
                OwnerOutput::Log { event, subject, detail } => {
                    self.log(|| format!("owner: {event} {subject} {detail}"));
                }
                _ => {}
            }
        }
    }

    /// The machines as the platform lists them now.
    fn machines(&self) -> Vec<Machine> {
        let machine = |host: &Host| Machine {
            name: host.name.clone(),
            condition: Condition::Up,
            worker: host.process.as_ref().map_or_else(String::new, |process| process.id.clone()),
        };
        self.hosts.iter().map(machine).collect()
    }

    /// Records the owner's state in the table.
    fn record(&mut self) {
        let now = self.now;
        if let Some((_, batch, recorded)) = self.batch.take_if(|(at, _, _)| *at <= now) {
            batch.check(&Limits::default()).expect("the table takes each batch");
            self.owner.on_recorded(&batch, recorded);
            self.carry_out_owner();
        }
        if self.batch.is_none()
            && let Some(batch) = self.owner.next_batch()
        {
            let (at, recorded) = match now < self.table_down_until {
                true if self.random.random_bool(0.5) => (self.table_down_until + 20, true),
                true => (now + self.random.random_range(100..1500), false),
                false => (self.soon(40), true),
            };
            self.batch = Some((at, batch, recorded));
        }
    }
}

fn reply_name(reply: &Reply) -> String {
    match reply {
        Reply::Done { .. } => "done".to_owned(),
        Reply::Held { running, ended, .. } => {
            format!("{} run, {} ended", running.len(), ended.len())
        }
        Reply::Refused(why) => format!("{why:?}"),
    }
}

fn order_name(order: &quincewheel_wire::Order) -> String {
    use quincewheel_wire::Order;
    match order {
        Order::Start { task, run, again, worker, .. } => {
            format!("start {task} run {run} at {worker}, again {again}")
        }
        Order::Stop { task, run, worker } => format!("stop {task} run {run} at {worker}"),
        order => format!("{order:?}"),
    }
}
