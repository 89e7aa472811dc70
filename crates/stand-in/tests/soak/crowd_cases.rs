//! Crowds of clients that do not behave, and what must hold beside them.
//!
//! Each case guards against a process that ends, hangs, or exceeds the memory or the descriptors of
//! its machine because of what clients send. Nothing depends on the machine's speed. Crowds are
//! small, as the machines of the cases are.

use std::path::Path;
use std::thread;
use std::time::Duration;

use quincewheel_stand_in::fleet::Fleet;

use crate::client::SUBMIT_PATH;
use crate::crowd::{Crowd, call};
use crate::deployment::Deployment;
use crate::kind::Kind;
use crate::net;
use crate::payload::{JOB_PATH, Payload};
use crate::settings::Machine;
use crate::size::Size;
use crate::table::TableFault;
use crate::watch::Watch;

/// A crowd, the address that it calls, and the machine of the process that listens there.
struct Case {
    name: &'static str,
    target: Target,
    members: usize,
    machine: Machine,
    payload: fn(key: &str) -> Payload,
}

/// The address that a crowd calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Target {
    Clients,
    Readiness,
    Metrics,
    /// Connections of the system's other processes.
    Peers,
    /// An agent's address for reports of its worker.
    Reports,
    /// The product's own interface, without the users' platform.
    Procedures,
    /// An agent's pages, without the users' platform.
    Pages,
}

/// The body size that the configuration allows.
const BODY: usize = 262_144;
/// A body that connections may hold without being charged.
const SMALL_BODY: usize = 15_000;
/// How often each client that leaves comes again.
const VISITS: u32 = 30;
/// Milliseconds that a slow table takes.
const TABLE_DELAY_MS: u64 = 600;
/// The body size that the product's own interface allows.
const OWN_BODY: usize = 131_072;
/// Memory of the machines, in MB.
const MEMORY_MB: u64 = 96;
/// Memory of a machine that a crowd uses up in the two seconds of a handshake, in MB.
const SMALL_MEMORY_MB: u64 = 48;
/// Descriptors of the machines, as the platform's smallest have them.
const MANY_FDS: u64 = 4096;
/// Descriptors of a machine that a small crowd can use up.
const FEW_FDS: u64 = 700;
/// Descriptors that a machine keeps for files.
const FILE_FDS: u64 = 200;
/// Port of the metrics page, as it is unless a setting changes it.
const METRICS_PORT: u16 = 9464;
/// How often an ordinary caller tries.
const MAX_TRIES: usize = 10;
/// Time limit of one try.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// For how long a crowd stays after all of it was sent.
const STAY: Duration = Duration::from_secs(1);
/// Entries and workers of the deployments.
const SIZE: Size = Size { entries: 2, workers: 1 };
/// The entry and the agent that crowds call.
const ENTRY: usize = 0;
const AGENT: usize = 2;

const ROOMY: Machine = Machine { memory_mb: MEMORY_MB, max_fds: MANY_FDS };
const SMALL: Machine = Machine { memory_mb: SMALL_MEMORY_MB, max_fds: MANY_FDS };
const FEW: Machine = Machine { memory_mb: MEMORY_MB, max_fds: FEW_FDS };

const CASES: [Case; 25] = [
    case("unfinished_bodies", Target::Clients, 400, |key| Payload::announced(key, BODY, BODY - 1)),
    case("unfinished_bodies_in_pieces", Target::Clients, 400, |key| {
        Payload::announced(key, BODY, BODY - 1).in_turns_of(4096)
    }),
    case("unfinished_chunks", Target::Clients, 400, |key| Payload::chunked(key, 200_000, 1)),
    case("unfinished_small_chunks", Target::Clients, 400, |key| Payload::chunked(key, 4096, 60)),
    case("unfinished_tiny_chunks", Target::Clients, 200, |key| Payload::chunked(key, 1, 60_000)),
    case("announced_oversized", Target::Clients, 200, |key| {
        Payload::announced(key, 64 << 20, 2 << 20)
    }),
    case("endless_chunks", Target::Clients, 200, |key| Payload::chunked(key, 65_536, 32)),
    case("whole_bodies", Target::Clients, 400, |key| Payload::announced(key, BODY, BODY)),
    case("whole_bodies_without_key", Target::Clients, 400, |_| {
        Payload::announced("none", BODY, BODY)
    }),
    case("whole_bodies_of_no_queue", Target::Clients, 400, |key| {
        Payload::announced_to("/none/1", &format!("Token {key}"), BODY, BODY)
    }),
    case("unfinished_procedures", Target::Clients, 400, |key| {
        Payload::announced_to(SUBMIT_PATH, &format!("Bearer {key}"), BODY, BODY - 1)
    }),
    case("many_steps", Target::Clients, 400, |key| {
        Payload::many_steps(JOB_PATH, &format!("Token {key}"), "", BODY)
    }),
    case("many_steps_of_procedures", Target::Clients, 400, |key| {
        let start = r#""queue":"calm","id":"00000000000000fe","#;
        Payload::many_steps(SUBMIT_PATH, &format!("Bearer {key}"), start, BODY)
    }),
    case("long_heads", Target::Clients, 1000, |_| Payload::long_head(120_000)),
    case("unread_answers", Target::Clients, 60, |_| Payload::requests("/none/1", 60_000)),
    case("http2", Target::Clients, 80, |_| Payload::http2(90, 16_000).in_turns_of(1_000)),
    few_fds("silent_connections", Target::Clients, |_| Payload::silent()),
    few_fds("one_byte_bodies", Target::Clients, |key| Payload::announced(key, BODY, 1)),
    case("readiness_bodies", Target::Readiness, 400, |key| Payload::announced(key, BODY, BODY)),
    case("metrics_bodies", Target::Metrics, 400, |key| Payload::announced(key, BODY, BODY - 1)),
    case("unread_metrics", Target::Metrics, 60, |_| Payload::requests("/metrics", 20_000)),
    Case {
        machine: SMALL,
        ..case("peer_frames", Target::Peers, 1000, |_| Payload::websocket(1 << 20, 400_000))
    },
    few_fds("silent_peers", Target::Peers, |_| Payload::silent()),
    case("report_bodies", Target::Reports, 200, |_| {
        Payload::announced_to("/v1/instances/i-1", "", 1 << 20, (1 << 20) - 1)
    }),
    few_fds("silent_reports", Target::Reports, |_| Payload::silent()),
];

/// Crowds on a deployment without the users' platform.
const OWN_CASES: [Case; 3] = [
    case("own_interface_bodies", Target::Procedures, 900, |_| {
        let path = "/quincewheel.v1.Scheduler/Submit";
        Payload::announced_to(path, "", OWN_BODY, OWN_BODY - 1)
    }),
    few_fds("silent_own_interface", Target::Procedures, |_| Payload::silent()),
    few_fds("silent_pages", Target::Pages, |_| Payload::silent()),
];

const fn case(
    name: &'static str,
    target: Target,
    members: usize,
    payload: fn(&str) -> Payload,
) -> Case {
    Case { name, target, members, machine: ROOMY, payload }
}

/// A crowd of more connections than the machine has descriptors.
const fn few_fds(name: &'static str, target: Target, payload: fn(&str) -> Payload) -> Case {
    Case { name, target, members: FEW_FDS as usize + 100, machine: FEW, payload }
}

/// What replaces the sizes of the cases when they are run by hand.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    pub members: Option<usize>,
    pub memory_mb: Option<u64>,
    pub max_fds: Option<u64>,
}

impl Scale {
    fn apply(self, case: &Case) -> Case {
        Case {
            members: self.members.unwrap_or(case.members),
            machine: Machine {
                memory_mb: self.memory_mb.unwrap_or(case.machine.memory_mb),
                max_fds: self.max_fds.unwrap_or(case.machine.max_fds),
            },
            ..*case
        }
    }
}

/// Runs the chosen cases one after the other. `report` takes each one's name and violations.
pub fn run(
    scale: Scale,
    logs: Option<&Path>,
    chosen: impl Fn(&str) -> bool,
    mut report: impl FnMut(&str, &[String]),
) {
    for case in &CASES {
        let name = format!("crowd_{}", case.name);
        if chosen(&name) {
            report(&name, &on_platform(&scale.apply(case), logs));
        }
    }
    for case in &OWN_CASES {
        let name = format!("crowd_{}", case.name);
        if chosen(&name) {
            report(&name, &without_platform(&scale.apply(case)));
        }
    }
    if chosen("crowd_leaving_clients") {
        report("crowd_leaving_clients", &leaving_clients(scale, logs));
    }
    if chosen("crowd_calm_bodies") {
        report("crowd_calm_bodies", &calm_bodies(logs));
    }
}

fn on_platform(case: &Case, logs: Option<&Path>) -> Vec<String> {
    let deployment = open(case.name, case.machine, logs);
    let (process, port) = match case.target {
        Target::Clients => (ENTRY, net::CLIENTS),
        Target::Readiness => (ENTRY, net::READY),
        Target::Metrics => (ENTRY, METRICS_PORT),
        Target::Peers => (ENTRY, net::PEERS),
        _ => (AGENT, net::REPORTS),
    };
    let (ip, key) = (deployment.ip(process), deployment.key());
    let request = |number: usize| match process {
        AGENT => report_request(),
        _ => job_request(&key, number),
    };
    let ordinary = match process {
        AGENT => (format!("{ip}:{}", net::REPORTS), 400),
        _ => (format!("{ip}:{}", net::CLIENTS), 200),
    };
    let found = press(
        case,
        deployment.process_id(process),
        &ip,
        &format!("{ip}:{port}"),
        (&ordinary.0, ordinary.1),
        request,
    );
    let ended = deployment.has_ended(process);
    found.into_iter().chain(ended.then(|| "the process ended".to_owned())).collect()
}

fn without_platform(case: &Case) -> Vec<String> {
    let memory = case.machine.memory_mb.to_string();
    let descriptors = case.machine.max_fds.to_string();
    let variables = [("QUINCEWHEEL_MEMORY_MB", &*memory), ("QUINCEWHEEL_MAX_FDS", &*descriptors)];
    let fleet =
        Fleet::spawn_with(1, 1, true, &variables).expect("run cargo build --workspace first");
    let (name, address) = match case.target {
        Target::Pages => (fleet.workers[0].name.clone(), fleet.workers[0].pages.clone()),
        _ => ("entry-0".to_owned(), fleet.rpcs[0].clone()),
    };
    let ip = address.split(':').next().unwrap_or_default().to_owned();
    let request = |_| b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n".to_vec();
    let id = fleet.id(&name).expect("it was started");
    let found = press(case, id, &ip, &address, (&address, 200), request);
    let ended = !Path::new(&format!("/proc/{id}/fd/0")).exists();
    found.into_iter().chain(ended.then(|| "the process ended".to_owned())).collect()
}

/// Plays a crowd and returns what did not hold.
fn press(
    case: &Case,
    id: u32,
    ip: &str,
    target: &str,
    (ordinary, status): (&str, u16),
    request: impl Fn(usize) -> Vec<u8>,
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut expect_answer = |when: &str, first: usize| {
        if !is_answered(ordinary, status, |number| request(first + number)) {
            violations.push(format!("no ordinary call was answered {when}"));
        }
    };
    expect_answer("before the crowd", 0);
    let watch = Watch::spawn(id, ip);
    let crowd = Crowd::spawn(target, case.members, (case.payload)(&key_of(&request(0))));
    crowd.wait();
    expect_answer("beside the crowd", MAX_TRIES);
    thread::sleep(STAY);
    drop(crowd);
    expect_answer("after the crowd", 2 * MAX_TRIES);
    let (memory, descriptors) = (watch.memory_mb(), watch.descriptors());
    println!("crowd_{}: at most {memory} MB, {descriptors} descriptors", case.name);
    if memory > case.machine.memory_mb {
        violations.push(format!("{memory} MB of {}", case.machine.memory_mb));
    }
    if descriptors > case.machine.max_fds - FILE_FDS {
        violations
            .push(format!("{descriptors} descriptors of {}", case.machine.max_fds - FILE_FDS));
    }
    violations
}

/// Clients submit jobs and leave without the answer, while the table is slow.
fn leaving_clients(scale: Scale, logs: Option<&Path>) -> Vec<String> {
    let case = scale.apply(&case("leaving_clients", Target::Clients, 400, |key| {
        Payload::job(key, SMALL_BODY).with_visits(VISITS)
    }));
    let deployment = open(case.name, case.machine, logs);
    let (ip, key) = (deployment.ip(ENTRY), deployment.key());
    let address = format!("{ip}:{}", net::CLIENTS);
    // Answered without the table.
    let request = |_| {
        let head = "GET /calm/ HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token";
        format!("{head} {key}\r\n\r\n").into_bytes()
    };
    if !is_answered(&address, 200, request) {
        return vec!["not ready".to_owned()];
    }
    deployment.set_table_fault(TableFault::Slow(TABLE_DELAY_MS));
    let id = deployment.process_id(ENTRY);
    let found = press(&case, id, &ip, &address, (&address, 200), request);
    let ended = deployment.has_ended(ENTRY);
    found.into_iter().chain(ended.then(|| "the process ended".to_owned())).collect()
}

/// Bodies of legal size, in pieces and in chunks of many sizes, are served when there is no crowd.
fn calm_bodies(logs: Option<&Path>) -> Vec<String> {
    let deployment = open("calm_bodies", ROOMY, logs);
    let address = format!("{}:{}", deployment.ip(ENTRY), net::CLIENTS);
    let key = deployment.key();
    let job = br#"{"steps":[{"count":1,"gpu":1,"estimateMs":10}]}"#;
    let mut padded = vec![b' '; BODY - job.len()];
    padded.extend_from_slice(job);
    let mut violations = Vec::new();
    for (number, chunk) in [0, 1, 100, 4096, 65_536, BODY].into_iter().enumerate() {
        let request = |try_number: usize| {
            let line = match chunk {
                0 => format!("Content-Length: {BODY}"),
                _ => "Transfer-Encoding: chunked".to_owned(),
            };
            let mut bytes = job_head(&key, 100 * (number + 1) + try_number, &line);
            match chunk {
                0 => bytes.extend_from_slice(&padded),
                _ => {
                    for piece in padded.chunks(chunk) {
                        bytes.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
                        bytes.extend_from_slice(piece);
                        bytes.extend_from_slice(b"\r\n");
                    }
                    bytes.extend_from_slice(b"0\r\n\r\n");
                }
            }
            bytes
        };
        if !is_answered(&address, 200, request) {
            violations.push(format!("a body in chunks of {chunk} bytes was not served"));
        }
    }
    violations
}

fn open(name: &str, machine: Machine, logs: Option<&Path>) -> Deployment {
    let folder = std::env::temp_dir().join(format!("soak-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let logs = logs.map(|logs| logs.join(name));
    if let Some(logs) = &logs {
        std::fs::create_dir_all(logs).unwrap();
    }
    Deployment::open(&folder, Kind::Faults, SIZE, Some(machine), logs.as_deref())
}

/// Returns whether one of several tries gets the expected status.
fn is_answered(address: &str, status: u16, request: impl Fn(usize) -> Vec<u8>) -> bool {
    (0..MAX_TRIES).any(|number| {
        let is_expected = call(address, &request(number), CALL_TIMEOUT) == Some(status);
        if !is_expected {
            thread::sleep(Duration::from_millis(300));
        }
        is_expected
    })
}

/// A job of one short task.
fn job_request(key: &str, number: usize) -> Vec<u8> {
    let body = r#"{"steps":[{"count":1,"gpu":1,"estimateMs":10}]}"#;
    let mut bytes = job_head(key, number, &format!("Content-Length: {}", body.len()));
    bytes.extend_from_slice(body.as_bytes());
    bytes
}

fn job_head(key: &str, number: usize, line: &str) -> Vec<u8> {
    format!(
        "POST /calm/{number:016x} HTTP/1.1\r\nHost: soak.example\r\n\
         Content-Type: application/json\r\nAuthorization: Token {key}\r\n{line}\r\n\r\n"
    )
    .into_bytes()
}

/// A report that the agent reads and refuses.
fn report_request() -> Vec<u8> {
    b"PUT /v1/instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}".to_vec()
}

/// Returns the key in a request's head.
fn key_of(request: &[u8]) -> String {
    let text = String::from_utf8_lossy(request);
    let line = text.lines().find_map(|line| line.strip_prefix("Authorization: Token "));
    line.unwrap_or_default().to_owned()
}
