use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quincewheel_audit::{Checker, Event, Kind};
use quincewheel_grant::{self as grant, Grantor};
use quincewheel_pool::{Limits, Share};
use quincewheel_shard::{self as shard, Node};
use quincewheel_stand_in::table::Table as Rows;
use quincewheel_wire::{Answer, Ask, Attempt, Job, LinkId, Member, Task};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::delivery::{Delivery, Pending};
use super::table_state::TableState;
use super::{GANG_BOUND, OTHER, TEAM, ms, secs};

/// A process of the cluster, by its index.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Process {
    Entry(usize),
    Agent(usize),
}

pub(super) struct Entry {
    pub(super) node: Option<Node>,
    pub(super) incarnation: u64,
}

pub(super) struct Worker {
    pub(super) grantor: Option<Grantor>,
    pub(super) incarnation: u64,
    /// The tasks that the endpoint runs, with the ranks that have not ended.
    pub(super) tasks: BTreeMap<Attempt, Task>,
    /// Ends of ranks while no agent ran, delivered at its next start.
    pub(super) undelivered_ends: Vec<grant::Input>,
    pub(super) fails_all_tasks: bool,
}

/// All processes of a test, with their connections, table and endpoints.
pub struct Cluster {
    pub now: Duration,
    pub rows: Rows,
    pub table: TableState,
    pub answers: BTreeMap<u64, (Duration, Answer)>,
    pub events: Vec<Event>,
    /// Directions, as sender and receiver, in which all frames are dropped.
    pub partitions: BTreeSet<(Process, Process)>,
    /// Names of frames that are dropped in every direction.
    pub dropped_frames: BTreeSet<&'static str>,
    /// Frames that are delivered a second time, by name, with the extra delay of
    /// the copy.
    pub duplicated_frames: BTreeMap<&'static str, Duration>,
    /// Frames that are delayed, by name.
    pub delayed_frames: BTreeMap<&'static str, Duration>,
    /// Processes for which the table behaves differently.
    pub table_overrides: BTreeMap<Process, TableState>,
    /// Probability in percent that a frame is duplicated, and that it is delayed.
    pub disorder_percent: u32,
    pub rng: StdRng,
    /// Number of deliveries so far, without ticks.
    pub deliveries: u64,
    /// Whether a trap on an agent also removes its endpoint and running tasks.
    pub traps_remove_workers: bool,
    /// Processes to kill, each just before the delivery with this number.
    pub traps: Vec<(u64, Process)>,
    /// Frames and table calls whose debug output contains this word are printed;
    /// set by QUINCEWHEEL_TRACE.
    pub(super) trace: Option<String>,
    pub(super) start: Instant,
    pub(super) entries: Vec<Entry>,
    pub(super) workers: Vec<Worker>,
    pub(super) links: BTreeMap<LinkId, (Process, Process)>,
    pub(super) queue: BTreeMap<(Duration, u64), Pending>,
    pub(super) frozen: BTreeMap<Process, Vec<Pending>>,
    pub(super) slots: u32,
    pub(super) limits: Limits,
    pub(super) next_id: u64,
}

pub(super) const FRAME_DELAY: Duration = Duration::from_millis(1);
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Marks a delivery that any later incarnation of the process receives, too.
pub(super) const ANY_INCARNATION: u64 = u64::MAX;
const KEY_DIGEST: &str = "key";

impl Cluster {
    /// Starts entries and workers, three workers to a rack, without waiting for
    /// them to connect.
    pub fn new(entries: usize, workers: usize, seed: u64) -> Cluster {
        tokio::time::pause();
        let mut cluster = Cluster {
            now: Duration::ZERO,
            rows: Rows::default(),
            table: TableState::Up,
            answers: BTreeMap::new(),
            events: Vec::new(),
            partitions: BTreeSet::new(),
            dropped_frames: BTreeSet::new(),
            duplicated_frames: BTreeMap::new(),
            delayed_frames: BTreeMap::new(),
            table_overrides: BTreeMap::new(),
            disorder_percent: 0,
            rng: StdRng::seed_from_u64(seed),
            deliveries: 0,
            traps_remove_workers: false,
            traps: Vec::new(),
            trace: std::env::var("QUINCEWHEEL_TRACE").ok(),
            start: Instant::now(),
            entries: Vec::new(),
            workers: Vec::new(),
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            frozen: BTreeMap::new(),
            slots: 8,
            limits: Limits { failure_reserve: 0, ..Limits::default() },
            next_id: 1,
        };
        for index in 0..entries {
            cluster.entries.push(Entry { node: None, incarnation: 0 });
            cluster.start(Process::Entry(index));
        }
        for index in 0..workers {
            let tasks = BTreeMap::new();
            cluster.workers.push(Worker {
                grantor: None,
                incarnation: 0,
                tasks,
                undelivered_ends: Vec::new(),
                fails_all_tasks: false,
            });
            cluster.start(Process::Agent(index));
        }
        cluster
    }

    /// Starts a cluster and waits until it has an owner, two teams and serving
    /// workers.
    pub async fn ready(entries: usize, workers: usize, seed: u64) -> Cluster {
        let mut cluster = Cluster::new(entries, workers, seed);
        cluster.run(secs(2)).await;
        let owner = cluster.owner().expect("an entry took ownership");
        for team in [TEAM, OTHER] {
            cluster.call(owner, put_team(team, 0));
        }
        cluster.run(secs(2)).await;
        cluster.deliveries = 0;
        cluster
    }

    /// Starts a new incarnation of a process, without any state in memory.
    pub fn start(&mut self, process: Process) {
        match process {
            Process::Entry(index) => {
                let entry = &mut self.entries[index];
                entry.incarnation += 1;
                let settings = shard::Settings {
                    name: format!("entry-{index}"),
                    incarnation: entry.incarnation,
                    address: address(process),
                    operator_key_digest: KEY_DIGEST.to_owned(),
                    seed: index as u64,
                    limits: self.limits,
                    ..shard::Settings::default()
                };
                entry.node = Some(Node::new(settings));
            }
            Process::Agent(index) => {
                let worker = &mut self.workers[index];
                worker.incarnation += 1;
                let member = Member {
                    worker: format!("worker-{index}"),
                    zone: "zone".to_owned(),
                    rack: format!("rack-{}", index / 3),
                    accelerators: 8,
                    slots: self.slots,
                    address: address(process),
                    leaving: false,
                };
                let seed = index as u64;
                let settings = grant::Settings { member, seed, ..grant::Settings::default() };
                worker.grantor = Some(Grantor::new(settings));
                let tasks = worker.tasks.values().cloned().collect();
                let missed = std::mem::take(&mut worker.undelivered_ends);
                self.push(
                    FRAME_DELAY,
                    process,
                    Delivery::Agent(grant::Input::Recovered(tasks)),
                    None,
                );
                for input in missed {
                    self.push(FRAME_DELAY, process, Delivery::Agent(input), None);
                }
            }
        }
        self.push(TICK_INTERVAL, process, Delivery::Tick, None);
    }

    /// Ends a process at once; its peers see their connections reset.
    pub fn kill(&mut self, process: Process) {
        self.stop_silently(process);
        let links: Vec<LinkId> = self.links_of(process);
        for link in links {
            self.close(link, Some(process));
        }
    }

    /// Ends a process without closing its connections, so that its peers only see
    /// that it stops sending.
    pub fn stop_silently(&mut self, process: Process) {
        match process {
            Process::Entry(index) => self.entries[index].node = None,
            Process::Agent(index) => self.workers[index].grantor = None,
        }
        self.frozen.remove(&process);
    }

    /// Removes a worker with its agent, its endpoint and all running tasks.
    pub fn remove_worker(&mut self, index: usize) {
        self.kill(Process::Agent(index));
        self.workers[index].tasks.clear();
        self.workers[index].undelivered_ends.clear();
        self.record_event("observer", Kind::Vanished { worker: format!("worker-{index}") });
    }

    pub fn freeze(&mut self, process: Process) {
        self.frozen.entry(process).or_default();
    }

    pub fn thaw(&mut self, process: Process) {
        for pending in self.frozen.remove(&process).unwrap_or_default() {
            self.next_id += 1;
            self.queue.insert((self.now, self.next_id), pending);
        }
    }

    /// Drops all frames between two processes, in both directions. Their
    /// connection stays open, as with a broken switch.
    pub fn partition(&mut self, a: Process, b: Process) {
        self.partitions.extend([(a, b), (b, a)]);
    }

    pub fn fail_all_tasks(&mut self, index: usize) {
        self.workers[index].fails_all_tasks = true;
    }

    /// Partitions a process from all others and from the table.
    pub fn isolate(&mut self, process: Process) {
        let entries = (0..self.entries.len()).map(Process::Entry);
        let others: Vec<Process> =
            entries.chain((0..self.workers.len()).map(Process::Agent)).collect();
        for other in others.into_iter().filter(|other| *other != process) {
            self.partition(process, other);
        }
        self.table_overrides.insert(process, TableState::Down);
    }

    /// Returns the epoch in the ownership row.
    pub fn epoch(&self) -> u64 {
        let row = self.rows.value("owner").expect("the owner row exists");
        let row: quincewheel_schema::v1::OwnerRow =
            serde_json::from_str(row).expect("a valid owner row");
        row.epoch
    }

    pub fn is_alive(&self, process: Process) -> bool {
        match process {
            Process::Entry(index) => self.entries[index].node.is_some(),
            Process::Agent(index) => self.workers[index].grantor.is_some(),
        }
    }

    pub fn node(&self, index: usize) -> &Node {
        self.entries[index].node.as_ref().expect("the process runs")
    }

    pub fn grantor(&self, index: usize) -> &Grantor {
        self.workers[index].grantor.as_ref().expect("the process runs")
    }

    /// Returns the first entry that considers itself the owner of the shard.
    pub fn owner(&self) -> Option<usize> {
        let owns = |entry: &Entry| entry.node.as_ref().is_some_and(Node::is_owner);
        self.entries.iter().position(owns)
    }

    /// Returns a running entry that does not own the shard.
    pub fn follower(&self) -> usize {
        let owns = |entry: &Entry| entry.node.as_ref().is_none_or(Node::is_owner);
        self.entries.iter().position(|entry| !owns(entry)).expect("a follower runs")
    }

    /// Sends a call to an entry and returns its id.
    pub fn call(&mut self, index: usize, ask: Ask) -> u64 {
        self.next_id += 1;
        let call = self.next_id;
        let input = shard::Input::Call { call, key_digest: KEY_DIGEST.to_owned(), ask };
        self.push(FRAME_DELAY, Process::Entry(index), Delivery::Entry(input), None);
        call
    }

    pub fn submit(&mut self, index: usize, job: &Job) -> u64 {
        self.call(index, Ask::Submit(job.clone()))
    }

    pub fn drain(&mut self, process: Process) {
        let delivery = match process {
            Process::Entry(_) => Delivery::Entry(shard::Input::Drain),
            Process::Agent(_) => Delivery::Agent(grant::Input::Drain),
        };
        self.push(FRAME_DELAY, process, delivery, None);
    }

    /// Makes the endpoint report that it is leaving.
    pub fn announce_leaving(&mut self, index: usize) {
        let input = grant::Input::EndpointHealth { leaving: true };
        self.push(FRAME_DELAY, Process::Agent(index), Delivery::Agent(input), None);
    }

    pub fn answer(&self, call: u64) -> Option<&Answer> {
        self.answers.get(&call).map(|(_, answer)| answer)
    }

    /// Returns whether the call is unanswered and still open at an entry.
    pub fn is_pending(&self, call: u64) -> bool {
        let open = |entry: &Entry| entry.node.as_ref().is_some_and(|node| node.is_pending(call));
        self.answer(call).is_none() && self.entries.iter().any(open)
    }

    pub fn answered_at(&self, call: u64) -> Option<Duration> {
        self.answers.get(&call).map(|(at, _)| *at)
    }

    /// Panics with the events around the violation if the run so far broke an
    /// invariant.
    pub fn check_invariants(&self, context: &str) {
        let violations = Checker::run(GANG_BOUND, &self.events, self.now);
        if violations.is_empty() {
            return;
        }
        let broken: Vec<String> = violations.iter().map(ToString::to_string).collect();
        let near = |event: &&Event| {
            let gap = event.at.abs_diff(violations[0].at);
            gap < secs(20) && !matches!(event.kind, Kind::Applied { .. })
        };
        let line = |event: &Event| format!("{:?} {} {:?}", event.at, event.process, event.kind);
        let events: Vec<String> = self.events.iter().filter(near).map(line).collect();
        panic!("{context}:\n{}\n\n{}", broken.join("\n"), events.join("\n"));
    }

    /// Advances the clock by `time` and makes all deliveries due until then.
    pub async fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some((&(at, id), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            if at > self.now {
                tokio::time::advance(at - self.now).await;
                self.now = self.start.elapsed();
            }
            let pending = self.queue.remove(&(at, id)).expect("key was read above");
            self.deliver(pending);
        }
        tokio::time::advance(end.saturating_sub(self.now)).await;
        self.now = end;
    }

    /// Runs until the call is answered, but no longer than `bound`.
    pub async fn run_until_answered(&mut self, call: u64, bound: Duration) {
        let end = self.now + bound;
        while self.answer(call).is_none() && self.now < end {
            self.run(ms(10)).await;
        }
    }

    pub(super) fn push(
        &mut self,
        delay: Duration,
        to: Process,
        delivery: Delivery,
        link: Option<LinkId>,
    ) {
        self.next_id += 1;
        let incarnation = self.incarnation(to);
        let pending = Pending { to, incarnation, delivery, link };
        self.queue.insert((self.now + delay, self.next_id), pending);
    }

    pub(super) fn incarnation(&self, process: Process) -> u64 {
        match process {
            Process::Entry(index) => self.entries[index].incarnation,
            Process::Agent(index) => self.workers[index].incarnation,
        }
    }

    pub(super) fn record_event(&mut self, process: &str, kind: Kind) {
        self.events.push(Event { at: self.now, process: process.to_owned(), kind });
    }
}

pub fn put_team(team: &str, expected: u64) -> Ask {
    Ask::PutTeam { team: team.to_owned(), expected, key_digest: KEY_DIGEST.to_owned(), quota: 0 }
}

pub fn put_guarantee(team: &str, expected: u64, shares: Vec<Share>) -> Ask {
    Ask::PutGuarantee { team: team.to_owned(), expected, shares }
}

pub(super) fn process_name(process: Process) -> String {
    match process {
        Process::Entry(index) => format!("entry-{index}"),
        Process::Agent(index) => format!("worker-{index}"),
    }
}

fn address(process: Process) -> String {
    match process {
        Process::Entry(index) => format!("e{index}"),
        Process::Agent(index) => format!("a{index}"),
    }
}

/// Resumes the clock, so that a test can run several clusters in turn.
impl Drop for Cluster {
    fn drop(&mut self) {
        tokio::time::resume();
    }
}
