//! One run: the processes, what surrounds them, and the faults.

use std::io::ErrorKind;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

use crate::answers;
use crate::client::Client;
use crate::fault::{self, Fault};
use crate::hall::Hall;
use crate::keys::Keys;
use crate::kind::Kind;
use crate::machines;
use crate::net::{self, Net};
use crate::process::{Process, Signal};
use crate::proxy::{Mode, Proxy};
use crate::setup::{name, program, settings};
use crate::table::{self, Table, Trouble};
use crate::worker;
use futures_util::future::join_all;
use quincewheel_http::Server;

pub const ENTRIES: usize = 3;
const WORKERS: usize = 6;
/// Their availability zones.
const ZONES: usize = 2;
const CLIENTS: u64 = 4;
/// The table's address is that of this host.
const TABLE_HOST: u8 = 250;
/// Seconds from SIGTERM to SIGKILL, in the settings of all processes.
pub const GRACE: u64 = 3;
/// A process that was told to end may take so much longer: the machine is busy,
/// and the programs are not optimized.
const LATE: Duration = Duration::from_millis(700);
/// A key that was taken away must not work after this time.
pub const REVOKE: Duration = Duration::from_millis(5000);
/// Pause of a client between two jobs. Four clients then ask for some three
/// quarters of what the workers can do.
const THINK: Duration = Duration::from_millis(1000);
/// Everything loses power for so many milliseconds at the end of a run ...
const DARK: u64 = 1000;
/// ... after the next job is accepted, if one is within this time.
const NEWS: Duration = Duration::from_secs(3);
/// After the last fault all accepted jobs must end within this time: a lease, an
/// owner's longest time without the table, and the work itself.
const FINISH: Duration = Duration::from_secs(45);

/// What a run showed.
pub struct Outcome {
    pub violations: Vec<String>,
    pub line: String,
}

/// A running deployment.
pub struct World {
    net: Net,
    processes: Vec<Process>,
    to_table: Vec<Proxy>,
    to_peers: Vec<Proxy>,
    table: Arc<Mutex<Table>>,
    hall: Arc<Mutex<Hall>>,
    keys: Arc<Mutex<Keys>>,
    /// Ends of faults that are under way.
    heals: Vec<(Instant, Heal)>,
    _servers: Vec<Server>,
}

#[derive(Clone, Copy, Debug)]
enum Heal {
    Start(usize),
    Continue(usize),
    Restarted(usize),
    Table(usize),
    Peers(usize),
    Trouble,
    Room(usize),
    Zone(usize),
}

impl World {
    /// Plays one seed.
    pub fn play(seed: u64, seconds: u64, kind: Kind, logs: Option<&Path>) -> Outcome {
        let folder = std::env::temp_dir().join(format!("soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let logs = logs.map(|logs| logs.join(seed.to_string()));
        if let Some(logs) = &logs {
            fs::create_dir_all(logs).unwrap();
        }
        let mut world = World::open(&folder, kind, logs.as_deref());
        let paths = world.run(seed, seconds, kind);
        let accepted = paths.len();
        world.settle(&paths, seed);
        world.check_processes();
        let judge = &mut world.hall.lock().unwrap().judge;
        let line = format!("{accepted} jobs accepted, {} starts", judge.starts);
        let mut violations = std::mem::take(&mut judge.violations);
        if judge.starts == 0 {
            violations.push("nothing was served".to_owned());
        }
        let _ = fs::remove_dir_all(&folder);
        Outcome { violations, line }
    }

    pub fn open(folder: &Path, kind: Kind, logs: Option<&Path>) -> World {
        let hall = Arc::new(Mutex::new(Hall::open(WORKERS, kind)));
        let (net, table, server) = World::claim();
        let (address, mut servers) = (net.own(TABLE_HOST, net::TABLE), vec![server]);
        let list = net.own(TABLE_HOST, net::MACHINES);
        servers.push(machines::spawn(&list, Arc::clone(&hall)).unwrap());
        let list = kind.harms_workers().then_some(list);
        let mut world = World {
            net,
            processes: Vec::new(),
            to_table: Vec::new(),
            to_peers: Vec::new(),
            table,
            hall,
            keys: Arc::default(),
            heals: Vec::new(),
            _servers: Vec::new(),
        };
        world.change_keys();
        for index in 0..ENTRIES + WORKERS {
            let host = 1 + index as u8;
            if let Some(at) = index.checked_sub(ENTRIES) {
                if kind.harms_workers() {
                    let door = Proxy::bind(&net.to_worker(host), &net.own(host, net::WORKER));
                    world.hall.lock().unwrap().doors.push(door.unwrap());
                }
                let server = worker::spawn(net, host, at, Arc::clone(&world.hall));
                servers.push(server.unwrap());
            }
            let file = folder.join(format!("{}.toml", name(index)));
            fs::write(&file, settings(net, index, host, list.as_deref(), kind)).unwrap();
            world.add(net, index, host, &file, logs, &address);
        }
        world._servers = servers;
        world
    }

    /// A block of addresses, and the table there: whoever serves the table has it.
    fn claim() -> (Net, Arc<Mutex<Table>>, Server) {
        for _ in 0..net::BLOCKS {
            let net = Net::next();
            let table = Arc::new(Mutex::new(Table::open(net)));
            match table::serve(&net.own(TABLE_HOST, net::TABLE), Arc::clone(&table)) {
                Ok(server) => return (net, table, server),
                Err(error) if error.kind() == ErrorKind::AddrInUse => {}
                Err(error) => panic!("the table: {error}"),
            }
        }
        panic!("no block of addresses is free");
    }

    fn add(
        &mut self,
        net: Net,
        index: usize,
        host: u8,
        settings: &Path,
        logs: Option<&Path>,
        table: &str,
    ) {
        self.to_table.push(Proxy::bind(&net.to_table(host), table).unwrap());
        let peers = net.own(host, net::PEERS);
        self.to_peers.push(Proxy::bind(&net.before(host), &peers).unwrap());
        let program =
            program(if index < ENTRIES { "quincewheel-entry" } else { "quincewheel-agent" });
        self.processes.push(Process::spawn(&name(index), &program, settings, logs));
    }

    /// Lets clients work while faults come, and returns what was accepted.
    fn run(&mut self, seed: u64, seconds: u64, kind: Kind) -> Vec<String> {
        let entries = self.entries();
        self.check_answers(&entries);
        let stop = Arc::new(AtomicBool::new(false));
        let ticking = self.spawn_time(Arc::clone(&stop));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                self.spawn_client(&entries, seed ^ (number << 32), kind, Arc::clone(&stop))
            })
            .collect();
        let prober = self.spawn_prober(&entries, seed, Arc::clone(&stop));
        let begin = Instant::now();
        let mut faults = fault::draw(seed, seconds, ENTRIES + WORKERS, WORKERS);
        if kind.harms_workers() {
            faults.extend(fault::draw_shrinks(seed, seconds, WORKERS));
        }
        if kind.keeps_ids() {
            faults.extend(fault::draw_restarts(seed, seconds, WORKERS));
        }
        if kind.evacuates() {
            faults.extend(fault::draw_evacuations(seed, seconds, ZONES));
        }
        faults.sort_by_key(|(at, _)| *at);
        for (at, fault) in faults {
            while begin.elapsed() < Duration::from_millis(at) {
                self.heal(false);
                thread::sleep(Duration::from_millis(10));
            }
            self.inflict(fault);
        }
        if kind.keeps_ids() {
            self.lose_power();
        }
        self.heal(true);
        stop.store(true, Ordering::Relaxed);
        let paths = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
        prober.join().unwrap();
        drop(ticking);
        paths
    }

    /// Changes what becomes of a process's connections to the table.
    pub fn cut_from_table(&self, process: usize, mode: Mode) {
        self.to_table[process].set(mode);
    }

    /// The key in force.
    pub fn key(&self) -> String {
        self.keys.lock().unwrap().current.clone()
    }

    pub fn entries(&self) -> Vec<String> {
        (0..ENTRIES).map(|index| self.net.own(1 + index as u8, net::CLIENTS)).collect()
    }

    /// Checks that bad calls get a clear answer from each entry, all at once: what
    /// one answers before it is ready must be seen, too.
    pub fn check_answers(&self, entries: &[String]) {
        let (key, began) = (self.keys.lock().unwrap().current.clone(), Instant::now());
        let check = async |(host, entry): (u8, &String)| {
            let readiness = self.net.own(host, net::READY);
            for wrong in answers::check(entry, &readiness, &key, began).await {
                let text = format!("ANSWER entry-{}: {wrong}", host - 1);
                self.hall.lock().unwrap().judge.report(text);
            }
        };
        actix_rt::System::new().block_on(join_all((1..).zip(entries).map(check)));
    }

    /// Lets workers' time pass for as long as the run lasts.
    fn spawn_time(&self, _stop: Arc<AtomicBool>) -> thread::JoinHandle<()> {
        let hall = Arc::downgrade(&self.hall);
        thread::spawn(move || {
            while let Some(hall) = hall.upgrade() {
                hall.lock().unwrap().tick();
                drop(hall);
                thread::sleep(Duration::from_millis(10));
            }
        })
    }

    fn spawn_client(
        &self,
        entries: &[String],
        seed: u64,
        kind: Kind,
        stop: Arc<AtomicBool>,
    ) -> thread::JoinHandle<Vec<String>> {
        let (entries, hall, keys) =
            (entries.to_vec(), Arc::clone(&self.hall), Arc::clone(&self.keys));
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let bad = kind.harms_workers();
                let mut client = Client::open(&entries, seed).with_bad_jobs(bad);
                let mut paths = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let key = keys.lock().unwrap().current.clone();
                    paths.extend(client.submit(&hall, &key).await);
                    tokio::time::sleep(THINK).await;
                }
                paths
            })
        })
    }

    /// Tries keys that were taken away.
    fn spawn_prober(
        &self,
        entries: &[String],
        seed: u64,
        stop: Arc<AtomicBool>,
    ) -> thread::JoinHandle<()> {
        let (entries, hall, keys) =
            (entries.to_vec(), Arc::clone(&self.hall), Arc::clone(&self.keys));
        thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let mut client = Client::open(&entries, !seed);
                while !stop.load(Ordering::Relaxed) {
                    let old = |(_, at): &&(String, Instant)| at.elapsed() > REVOKE;
                    let key = keys.lock().unwrap().gone.iter().rev().find(old).cloned();
                    if let Some((key, at)) = key
                        && client.knows(&key).await == Some(true)
                    {
                        let ms = at.elapsed().as_millis();
                        let text = format!("CONFIG a key works {ms} ms after it was taken away");
                        hall.lock().unwrap().judge.report(text);
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            });
        })
    }

    fn inflict(&mut self, fault: Fault) {
        let after = |ms: u64| Instant::now() + Duration::from_millis(ms);
        match fault {
            Fault::Kill { process, down } => self.kill(process, down),
            Fault::Herd { first, count, down } => {
                for number in 0..count {
                    self.kill((first + number) % self.processes.len(), down);
                }
            }
            // A process that is about to end, or is down, is left alone: how long
            // it takes to end is judged.
            Fault::Pause { process, .. } | Fault::Restart { process } if self.is_busy(process) => {}
            Fault::Pause { process, ms } => {
                self.processes[process].signal(Signal::Stop);
                self.heals.push((after(ms), Heal::Continue(process)));
            }
            Fault::Restart { process } => {
                self.processes[process].signal(Signal::Term);
                self.heals.push((after(GRACE * 1000), Heal::Restarted(process)));
            }
            Fault::Reload { process } => {
                self.processes[process].change_settings();
                self.processes[process].signal(Signal::Hangup);
            }
            Fault::Table { process, mode, ms } => {
                self.to_table[process].set(mode);
                self.heals.push((after(ms), Heal::Table(process)));
            }
            Fault::Peers { process, mode, ms } => {
                self.to_peers[process].set(mode);
                self.heals.push((after(ms), Heal::Peers(process)));
            }
            Fault::Trouble { trouble, ms } => {
                self.table.lock().unwrap().trouble = trouble;
                self.heals.push((after(ms), Heal::Trouble));
            }
            Fault::Compact => self.table.lock().unwrap().compact(),
            Fault::Worker { worker, dark } => self.hall.lock().unwrap().rebirth(worker, dark),
            Fault::Late { worker, ms } => self.hall.lock().unwrap().answer_late(worker, ms),
            Fault::Key => self.change_keys(),
            Fault::Evacuate { zone, .. } if self.is_evacuated(zone) => {}
            Fault::Evacuate { zone, ms } => {
                self.evacuate(zone, true);
                self.heals.push((after(ms), Heal::Zone(zone)));
            }
            Fault::Shrink { worker, lost, ms } => {
                self.hall.lock().unwrap().resize(worker, lost);
                self.heals.push((after(ms), Heal::Room(worker)));
            }
        }
    }

    /// Operators evacuate an availability zone, or take it back.
    fn evacuate(&mut self, zone: usize, begins: bool) {
        let key = format!("evacuate/z{zone}");
        let mut table = self.table.lock().unwrap();
        match begins {
            true => table.put("op", &key, "{}"),
            false => table.remove("op", &key),
        }
        self.hall.lock().unwrap().evacuate(zone, begins);
    }

    fn is_evacuated(&self, zone: usize) -> bool {
        self.heals.iter().any(|(_, heal)| matches!(heal, Heal::Zone(other) if *other == zone))
    }

    /// Everything loses power at the same moment, workers too, right after work was accepted.
    fn lose_power(&mut self) {
        let accepted = |world: &World| world.hall.lock().unwrap().judge.accepted();
        let (before, began) = (accepted(self), Instant::now());
        while accepted(self) == before && began.elapsed() < NEWS {
            thread::sleep(Duration::from_millis(1));
        }
        for process in 0..self.processes.len() {
            self.kill(process, DARK);
        }
        let mut hall = self.hall.lock().unwrap();
        (0..WORKERS).for_each(|worker| hall.rebirth(worker, DARK));
        drop(hall);
        thread::sleep(Duration::from_millis(DARK));
    }

    /// True if the process is down, paused or about to end.
    fn is_busy(&self, process: usize) -> bool {
        self.heals.iter().any(|(_, heal)| match heal {
            Heal::Start(other) | Heal::Continue(other) | Heal::Restarted(other) => {
                *other == process
            }
            Heal::Table(_) | Heal::Peers(_) | Heal::Trouble | Heal::Room(_) | Heal::Zone(_) => {
                false
            }
        })
    }

    fn kill(&mut self, process: usize, down: u64) {
        if self.is_busy(process) {
            return;
        }
        self.processes[process].kill();
        let at = Instant::now() + Duration::from_millis(down);
        self.heals.push((at, Heal::Start(process)));
    }

    /// Ends faults whose time is over, or all.
    fn heal(&mut self, all: bool) {
        let now = Instant::now();
        let (due, later) =
            std::mem::take(&mut self.heals).into_iter().partition(|(at, _)| all || *at <= now);
        self.heals = later;
        for (at, heal) in due {
            if let Heal::Restarted(_) = heal {
                // Its whole time for shutting down is its own.
                thread::sleep(at.saturating_duration_since(Instant::now()));
            }
            self.end_fault(heal);
        }
    }

    fn end_fault(&mut self, heal: Heal) {
        match heal {
            Heal::Start(process) => self.processes[process].start(),
            Heal::Continue(process) => self.processes[process].signal(Signal::Continue),
            Heal::Restarted(process) => {
                if !self.processes[process].ended(LATE) {
                    let name = self.processes[process].name.clone();
                    let text = format!("END {name}: still there after its time for shutting down");
                    self.hall.lock().unwrap().judge.report(text);
                    self.processes[process].kill();
                }
                self.processes[process].start();
            }
            Heal::Table(process) => self.to_table[process].set(Mode::Pass),
            Heal::Peers(process) => self.to_peers[process].set(Mode::Pass),
            Heal::Room(worker) => self.hall.lock().unwrap().resize(worker, 0),
            Heal::Zone(zone) => self.evacuate(zone, false),
            Heal::Trouble => self.table.lock().unwrap().trouble = Trouble::None,
        }
    }

    /// Takes the current key away and gives another.
    fn change_keys(&mut self) {
        let mut keys = self.keys.lock().unwrap();
        let (config, former) = keys.change();
        self.table.lock().unwrap().put("op", "config", &config);
        keys.gone.push((former, Instant::now()));
    }

    /// Waits until all accepted jobs have ended, and checks what is told of them.
    fn settle(&mut self, paths: &[String], seed: u64) {
        let (entries, hall) = (self.entries(), Arc::clone(&self.hall));
        let key = self.keys.lock().unwrap().current.clone();
        let mut open: Vec<String> = paths.to_vec();
        let end = Instant::now() + FINISH;
        actix_rt::System::new().block_on(async move {
            let mut client = Client::open(&entries, seed);
            while !open.is_empty() && Instant::now() < end {
                let mut left = Vec::new();
                for path in open {
                    let state = client.state(&path, &key).await;
                    let id = path.rsplit('/').next().unwrap_or_default();
                    if let Some(state) = &state {
                        hall.lock().unwrap().judge.state(id, state);
                    }
                    if !matches!(
                        state.as_deref(),
                        Some("succeeded" | "failed" | "cancelled" | "gone")
                    ) {
                        left.push(path);
                    }
                }
                open = left;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            for path in open {
                let text = format!(
                    "LOST {path}: has not ended {} s after the last fault",
                    FINISH.as_secs()
                );
                hall.lock().unwrap().judge.report(text);
            }
        });
    }

    fn check_processes(&mut self) {
        for process in &mut self.processes {
            if process.died() {
                let text = format!("END {}: ended by itself", process.name);
                self.hall.lock().unwrap().judge.report(text);
            }
        }
    }
}
