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
use super::table::Table;
use super::{GANG_BOUND, OTHER, TEAM, ms, secs};

/// One process.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Who {
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
    /// What the endpoint runs: task, and when each rank ends.
    pub(super) tasks: BTreeMap<Attempt, Task>,
    /// Ends that no agent was there to be told of.
    pub(super) missed: Vec<grant::Input>,
    pub(super) failing: bool,
}

/// The whole test bed.
pub struct World {
    pub now: Duration,
    pub rows: Rows,
    pub table: Table,
    pub answers: BTreeMap<u64, (Duration, Answer)>,
    pub events: Vec<Event>,
    /// Directions in which frames are lost.
    pub cuts: BTreeSet<(Who, Who)>,
    /// Frames that are lost, by name, whatever the direction.
    pub lost: BTreeSet<&'static str>,
    /// Frames that come a second time, by name, and how much later.
    pub twice: BTreeMap<&'static str, Duration>,
    /// Frames that come late, by name.
    pub late: BTreeMap<&'static str, Duration>,
    /// Processes for which the table is otherwise than for the rest.
    pub table_for: BTreeMap<Who, Table>,
    /// Chance in percent that a frame is doubled and that it is late.
    pub mess: u32,
    pub rng: StdRng,
    /// Deliveries so far, ticks not counted.
    pub steps: u64,
    /// Agents that traps kill take their endpoints with them.
    pub vanishing: bool,
    /// Kill this process before this many deliveries were made.
    pub traps: Vec<(u64, Who)>,
    /// Frames and rows that mention this word are printed:
    /// QUINCEWHEEL_TRACE=word.
    pub(super) trace: Option<String>,
    pub(super) start: Instant,
    pub(super) entries: Vec<Entry>,
    pub(super) workers: Vec<Worker>,
    pub(super) links: BTreeMap<LinkId, (Who, Who)>,
    pub(super) queue: BTreeMap<(Duration, u64), Pending>,
    pub(super) frozen: BTreeMap<Who, Vec<Pending>>,
    pub(super) slots: u32,
    pub(super) limits: Limits,
    pub(super) next: u64,
}

pub(super) const DELAY: Duration = Duration::from_millis(1);
pub(super) const TICK: Duration = Duration::from_millis(100);
/// For what outlives the process that it is for.
pub(super) const ANY: u64 = u64::MAX;
const KEY: &str = "key";

impl World {
    /// Entries and workers (three to a rack) that have not found each other.
    pub fn new(entries: usize, workers: usize, seed: u64) -> World {
        tokio::time::pause();
        let mut world = World {
            now: Duration::ZERO,
            rows: Rows::default(),
            table: Table::Up,
            answers: BTreeMap::new(),
            events: Vec::new(),
            cuts: BTreeSet::new(),
            lost: BTreeSet::new(),
            twice: BTreeMap::new(),
            late: BTreeMap::new(),
            table_for: BTreeMap::new(),
            mess: 0,
            rng: StdRng::seed_from_u64(seed),
            steps: 0,
            vanishing: false,
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
            next: 1,
        };
        for at in 0..entries {
            world.entries.push(Entry { node: None, incarnation: 0 });
            world.start(Who::Entry(at));
        }
        for at in 0..workers {
            let tasks = BTreeMap::new();
            world.workers.push(Worker {
                grantor: None,
                incarnation: 0,
                tasks,
                missed: Vec::new(),
                failing: false,
            });
            world.start(Who::Agent(at));
        }
        world
    }

    /// A world with two teams, in which all workers serve.
    pub async fn settled(entries: usize, workers: usize, seed: u64) -> World {
        let mut world = World::new(entries, workers, seed);
        world.run(secs(2)).await;
        let at = world.owner().expect("an entry took ownership");
        for team in [TEAM, OTHER] {
            world.ask(at, put_team(team, 0));
        }
        world.run(secs(2)).await;
        world.steps = 0;
        world
    }

    /// Starts a process with an empty memory.
    pub fn start(&mut self, who: Who) {
        match who {
            Who::Entry(at) => {
                let entry = &mut self.entries[at];
                entry.incarnation += 1;
                let settings = shard::Settings {
                    name: format!("entry-{at}"),
                    incarnation: entry.incarnation,
                    address: address(who),
                    operator_key_digest: KEY.to_owned(),
                    seed: at as u64,
                    limits: self.limits,
                    ..shard::Settings::default()
                };
                entry.node = Some(Node::new(settings));
            }
            Who::Agent(at) => {
                let worker = &mut self.workers[at];
                worker.incarnation += 1;
                let member = Member {
                    worker: format!("worker-{at}"),
                    zone: "zone".to_owned(),
                    rack: format!("rack-{}", at / 3),
                    accelerators: 8,
                    slots: self.slots,
                    address: address(who),
                    leaving: false,
                };
                let seed = at as u64;
                let settings = grant::Settings { member, seed, ..grant::Settings::default() };
                worker.grantor = Some(Grantor::open(settings));
                let tasks = worker.tasks.values().cloned().collect();
                let missed = std::mem::take(&mut worker.missed);
                self.push(DELAY, who, Delivery::Agent(grant::Input::Recovered(tasks)), None);
                for input in missed {
                    self.push(DELAY, who, Delivery::Agent(input), None);
                }
            }
        }
        self.push(TICK, who, Delivery::Tick, None);
    }

    /// Ends a process at once; its peers see their connections reset.
    pub fn kill(&mut self, who: Who) {
        self.lose(who);
        let links: Vec<LinkId> = self.links_of(who);
        for link in links {
            self.close(link, Some(who));
        }
    }

    /// Ends a process so that its peers see nothing but silence.
    pub fn lose(&mut self, who: Who) {
        match who {
            Who::Entry(at) => self.entries[at].node = None,
            Who::Agent(at) => self.workers[at].grantor = None,
        }
        self.frozen.remove(&who);
    }

    /// Loses a worker with its endpoint and all that runs there.
    pub fn vanish(&mut self, at: usize) {
        self.kill(Who::Agent(at));
        self.workers[at].tasks.clear();
        self.workers[at].missed.clear();
        self.note("observer", Kind::Vanished { worker: format!("worker-{at}") });
    }

    pub fn freeze(&mut self, who: Who) {
        self.frozen.entry(who).or_default();
    }

    pub fn thaw(&mut self, who: Who) {
        for pending in self.frozen.remove(&who).unwrap_or_default() {
            self.next += 1;
            self.queue.insert((self.now, self.next), pending);
        }
    }

    /// Cuts both directions between two processes. Their connection stays and
    /// is silent, as with a broken switch.
    pub fn cut(&mut self, a: Who, b: Who) {
        self.cuts.extend([(a, b), (b, a)]);
    }

    pub fn fail_all(&mut self, at: usize) {
        self.workers[at].failing = true;
    }

    /// Cuts a process off from all others, and from the table.
    pub fn isolate(&mut self, who: Who) {
        let entries = (0..self.entries.len()).map(Who::Entry);
        let others: Vec<Who> = entries.chain((0..self.workers.len()).map(Who::Agent)).collect();
        for other in others.into_iter().filter(|other| *other != who) {
            self.cut(who, other);
        }
        self.table_for.insert(who, Table::Down);
    }

    /// The epoch in the ownership row.
    pub fn epoch(&self) -> u64 {
        let row = self.rows.value("owner").expect("there is a row");
        let row: quincewheel_schema::v1::OwnerRow = serde_json::from_str(row).expect("readable");
        row.epoch
    }

    pub fn alive(&self, who: Who) -> bool {
        match who {
            Who::Entry(at) => self.entries[at].node.is_some(),
            Who::Agent(at) => self.workers[at].grantor.is_some(),
        }
    }

    pub fn node(&self, at: usize) -> &Node {
        self.entries[at].node.as_ref().expect("alive")
    }

    pub fn grantor(&self, at: usize) -> &Grantor {
        self.workers[at].grantor.as_ref().expect("alive")
    }

    /// The entry that owns the shard, as far as it knows itself.
    pub fn owner(&self) -> Option<usize> {
        let owns = |entry: &Entry| entry.node.as_ref().is_some_and(Node::is_owner);
        self.entries.iter().position(owns)
    }

    /// An entry that does not own the shard.
    pub fn follower(&self) -> usize {
        let owns = |entry: &Entry| entry.node.as_ref().is_none_or(Node::is_owner);
        self.entries.iter().position(|entry| !owns(entry)).expect("there is one")
    }

    /// Calls an entry. Gives the call's name.
    pub fn ask(&mut self, at: usize, ask: Ask) -> u64 {
        self.next += 1;
        let call = self.next;
        let input = shard::Input::Call { call, key_digest: KEY.to_owned(), ask };
        self.push(DELAY, Who::Entry(at), Delivery::Entry(input), None);
        call
    }

    pub fn submit(&mut self, at: usize, job: &Job) -> u64 {
        self.ask(at, Ask::Submit(job.clone()))
    }

    pub fn drain(&mut self, who: Who) {
        let delivery = match who {
            Who::Entry(_) => Delivery::Entry(shard::Input::Drain),
            Who::Agent(_) => Delivery::Agent(grant::Input::Drain),
        };
        self.push(DELAY, who, delivery, None);
    }

    /// The endpoint says that it is leaving.
    pub fn leave(&mut self, at: usize) {
        let input = grant::Input::Health { leaving: true };
        self.push(DELAY, Who::Agent(at), Delivery::Agent(input), None);
    }

    pub fn answer(&self, call: u64) -> Option<&Answer> {
        self.answers.get(&call).map(|(_, answer)| answer)
    }

    /// True if the entry that was called still has the call open.
    pub fn waits(&self, call: u64) -> bool {
        let open = |entry: &Entry| entry.node.as_ref().is_some_and(|node| node.is_pending(call));
        self.answer(call).is_none() && self.entries.iter().any(open)
    }

    pub fn answered_at(&self, call: u64) -> Option<Duration> {
        self.answers.get(&call).map(|(at, _)| *at)
    }

    /// Panics if the run so far broke an invariant.
    pub fn check(&self, context: &str) {
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

    /// Lets time pass.
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
            let pending = self.queue.remove(&(at, id)).expect("seen above");
            self.deliver(pending);
        }
        tokio::time::advance(end.saturating_sub(self.now)).await;
        self.now = end;
    }

    /// Runs until the call is answered, but no longer than `bound`.
    pub async fn until_answered(&mut self, call: u64, bound: Duration) {
        let end = self.now + bound;
        while self.answer(call).is_none() && self.now < end {
            self.run(ms(10)).await;
        }
    }

    pub(super) fn push(
        &mut self,
        delay: Duration,
        to: Who,
        delivery: Delivery,
        link: Option<LinkId>,
    ) {
        self.next += 1;
        let incarnation = self.incarnation(to);
        let pending = Pending { to, incarnation, delivery, link };
        self.queue.insert((self.now + delay, self.next), pending);
    }

    pub(super) fn incarnation(&self, who: Who) -> u64 {
        match who {
            Who::Entry(at) => self.entries[at].incarnation,
            Who::Agent(at) => self.workers[at].incarnation,
        }
    }

    pub(super) fn note(&mut self, process: &str, kind: Kind) {
        self.events.push(Event { at: self.now, process: process.to_owned(), kind });
    }
}

pub fn put_team(team: &str, expected: u64) -> Ask {
    Ask::PutTeam { team: team.to_owned(), expected, key_digest: KEY.to_owned(), quota: 0 }
}

pub fn put_guarantee(team: &str, expected: u64, shares: Vec<Share>) -> Ask {
    Ask::PutGuarantee { team: team.to_owned(), expected, shares }
}

pub(super) fn label(who: Who) -> String {
    match who {
        Who::Entry(at) => format!("entry-{at}"),
        Who::Agent(at) => format!("worker-{at}"),
    }
}

fn address(who: Who) -> String {
    match who {
        Who::Entry(at) => format!("e{at}"),
        Who::Agent(at) => format!("a{at}"),
    }
}

/// Gives the clock back, so that a test can have one world after another.
impl Drop for World {
    fn drop(&mut self) {
        tokio::time::resume();
    }
}
