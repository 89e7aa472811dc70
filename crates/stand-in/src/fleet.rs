//! Starts a local deployment as separate processes and ends exactly those.

use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};
use std::{io, thread};

use quincewheel_audit::{Event, Kind};

use crate::output::Output;
use crate::record::Record;

/// Key that all processes of a local deployment share.
pub const FLEET_KEY: &str = "local-fleet-key-0123456789";
/// Operators' key of a local deployment.
pub const OPERATOR_KEY: &str = "local-operator-key";

/// One running process.
pub struct Process {
    /// Its name.
    pub name: String,
    child: Child,
}

/// A worker: an endpoint and its agent.
pub struct Worker {
    /// The worker's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its rack.
    pub rack: String,
    /// The endpoint's address.
    pub endpoint: String,
    /// The agent's address for other processes.
    pub listen: String,
    /// The agent's address for metrics and health.
    pub pages: String,
}

/// A local deployment.
pub struct Fleet {
    bin: PathBuf,
    /// The platform's address.
    pub platform: String,
    /// The entries' addresses for callers.
    pub rpcs: Vec<String>,
    /// The entries' addresses for other processes.
    pub entry_listen: Vec<String>,
    /// The workers.
    pub workers: Vec<Worker>,
    logs: Vec<Output>,
    processes: Vec<Process>,
    record: Record,
    quiet: bool,
    /// Variables that all processes get.
    variables: Vec<(String, String)>,
}

/// First of the ports that deployments use: below those that the kernel gives
/// to outgoing connections, or one of these would now and then take a port
/// between its choice and the start of the process that is to listen there.
const FIRST_PORT: u16 = 10_000;
/// Ports set aside for the deployments of one process.
const PORTS: u16 = 10_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A loopback address that nothing else was given: each process has an IP
/// number of its own, so that deployments of several never meet.
///
/// Whether something listens is tried by connecting, not by listening: a process
/// that another thread starts at that moment would inherit the listener until
/// it runs its program, and whoever is to listen there would find the port taken
/// and end.
pub fn address() -> String {
    let id = std::process::id();
    loop {
        let next = NEXT_PORT.fetch_add(1, Ordering::Relaxed) % PORTS;
        let address = format!("127.{}.{}.1:{}", 1 + id / 250 % 250, id % 250, FIRST_PORT + next);
        if TcpStream::connect(&address).is_err() {
            return address;
        }
    }
}

impl Fleet {
    /// Starts the platform, `entries` entries and `workers` workers, three to
    /// a rack, racks spread over four availability zones.
    pub fn spawn(entries: usize, workers: usize, quiet: bool) -> io::Result<Fleet> {
        Fleet::spawn_with(entries, workers, quiet, &[])
    }

    /// Starts a deployment as [`Fleet::spawn`] does, with these environment variables.
    pub fn spawn_with(
        entries: usize,
        workers: usize,
        quiet: bool,
        variables: &[(&str, &str)],
    ) -> io::Result<Fleet> {
        let mut bin = std::env::current_exe()?;
        bin.pop();
        if bin.ends_with("deps") {
            bin.pop();
        }
        let mut fleet = Fleet {
            bin,
            platform: address(),
            rpcs: Vec::new(),
            entry_listen: Vec::new(),
            workers: Vec::new(),
            logs: Vec::new(),
            processes: Vec::new(),
            record: Record::default(),
            quiet,
            variables: variables
                .iter()
                .map(|(name, value)| ((*name).to_owned(), (*value).to_owned()))
                .collect(),
        };
        let platform = fleet.platform.clone();
        fleet.start("platform", "stand-in-platform", &[&platform], false)?;
        for index in 0..entries {
            fleet.add_entry(index)?;
        }
        for index in 0..workers {
            let (rack, zone) = (index / 3, index / 3 % 4);
            fleet.workers.push(Worker {
                name: format!("worker-{index:02}"),
                zone: format!("zone-{zone}"),
                rack: format!("rack-{rack}"),
                endpoint: address(),
                listen: address(),
                pages: address(),
            });
            fleet.start_endpoint(index)?;
            fleet.start_agent(index)?;
        }
        Ok(fleet)
    }

    /// Starts one more entry and returns its address for callers.
    pub fn add_entry(&mut self, index: usize) -> io::Result<String> {
        let (rpc, listen, name) = (address(), address(), format!("entry-{index}"));
        let digest = crate::caller::sha256(OPERATOR_KEY);
        let platform = self.platform.clone();
        let args = [
            "--name",
            &name,
            "--rpc",
            &rpc,
            "--listen",
            &listen,
            "--platform",
            &platform,
            "--operator-key-digest",
            &digest,
            "--grace-ms",
            "1000",
            "--events",
        ];
        self.start(&name, "quincewheel-entry", &args, true)?;
        self.rpcs.push(rpc.clone());
        self.entry_listen.push(listen);
        Ok(rpc)
    }

    /// Starts the endpoint of a worker.
    pub fn start_endpoint(&mut self, index: usize) -> io::Result<()> {
        let endpoint = self.workers[index].endpoint.clone();
        let name = format!("endpoint-{index:02}");
        self.start(&name, "stand-in-endpoint", &[&endpoint], false)
    }

    /// Starts the agent of a worker.
    pub fn start_agent(&mut self, index: usize) -> io::Result<()> {
        let worker = &self.workers[index];
        let name = worker.name.clone();
        let args = [
            "--worker",
            &worker.name,
            "--zone",
            &worker.zone,
            "--rack",
            &worker.rack,
            "--listen",
            &worker.listen,
            "--pages",
            &worker.pages,
            "--endpoint",
            &worker.endpoint,
            "--platform",
            &self.platform,
            "--events",
        ];
        let args: Vec<String> = args.iter().map(|arg| (*arg).to_owned()).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.start(&name, "quincewheel-agent", &args, true)
    }

    fn start(&mut self, name: &str, bin: &str, args: &[&str], events: bool) -> io::Result<()> {
        let mut command = Command::new(self.bin.join(bin));
        command.args(args).env("QUINCEWHEEL_FLEET_KEY", FLEET_KEY).stdin(Stdio::null());
        command.envs(self.variables.iter().map(|(name, value)| (name, value)));
        command.stdout(if events { self.record.output()?.into() } else { Stdio::null() });
        if self.quiet {
            let output = Output::open()?;
            command.stderr(output.writer()?);
            self.logs.push(output);
        }
        let child = command.spawn().map_err(|error| {
            let text = format!("start {bin}: {error}; run cargo build --workspace first");
            io::Error::new(error.kind(), text)
        })?;
        self.processes.push(Process { name: name.to_owned(), child });
        Ok(())
    }

    /// Sends a signal, by name as for kill(1), to a process by its name.
    pub fn signal(&mut self, name: &str, signal: &str) {
        if let Some(process) = self.processes.iter().rev().find(|p| p.name == name) {
            let id = process.child.id().to_string();
            let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
        }
    }

    /// Kills a process at once. A killed agent takes nothing with it: its
    /// endpoint goes on.
    pub fn kill(&mut self, name: &str) {
        if let Some(process) = self.processes.iter_mut().rev().find(|p| p.name == name) {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Notes that a worker's endpoint is gone with all that it ran.
    pub fn vanish(&mut self, worker: &str) {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let kind = Kind::Vanished { worker: worker.to_owned() };
        let at = since.unwrap_or_default();
        self.record.note(Event { at, process: "observer".to_owned(), kind });
    }

    /// Waits for a process to end by itself. Gives its exit code.
    pub fn wait(&mut self, name: &str, bound: Duration) -> Option<i32> {
        let process = self.processes.iter_mut().rev().find(|p| p.name == name)?;
        let end = Instant::now() + bound;
        while Instant::now() < end {
            if let Ok(Some(status)) = process.child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Ends the agents and entries in good order. Gives the names of those
    /// that did not end well.
    pub fn end(&mut self) -> Vec<String> {
        let names: Vec<String> = self.processes.iter().map(|p| p.name.clone()).collect();
        let mut bad = Vec::new();
        for prefix in ["worker-", "entry-"] {
            let ours: Vec<&String> = names.iter().filter(|n| n.starts_with(prefix)).collect();
            for name in &ours {
                self.signal(name, "TERM");
            }
            for name in ours {
                if self.wait(name, Duration::from_secs(15)) != Some(0) {
                    bad.push(name.clone());
                }
            }
        }
        bad
    }

    /// All events so far, as [`Record::events`] gives them.
    pub fn events(&self) -> io::Result<Vec<Event>> {
        self.record.events()
    }

    /// What quiet processes logged so far, process by process.
    pub fn logs(&self) -> io::Result<String> {
        let logs: io::Result<Vec<Vec<u8>>> = self.logs.iter().map(|log| log.after(0)).collect();
        Ok(String::from_utf8_lossy(&logs?.concat()).into_owned())
    }

    /// Process id of a process by its name.
    pub fn id(&self, name: &str) -> Option<u32> {
        let process = self.processes.iter().rev().find(|process| process.name == name)?;
        Some(process.child.id())
    }

    /// Processor time of a process so far, in clock ticks.
    pub fn ticks(&self, name: &str) -> Option<u64> {
        let process = self.processes.iter().rev().find(|p| p.name == name)?;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id())).ok()?;
        let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
        Some(fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?)
    }

    /// Resident memory of a process in KiB.
    pub fn memory(&self, name: &str) -> Option<u64> {
        let process = self.processes.iter().rev().find(|p| p.name == name)?;
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", process.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}
