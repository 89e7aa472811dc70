use std::io;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use awc::Client;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use quincewheel_grant::{End, Input};
use quincewheel_ring as ring;
use quincewheel_store::Objects;
use quincewheel_wire::{Attempt, Task, sha256};
use serde::{Deserialize, Serialize};

/// What the endpoint's thread is asked to do.
#[derive(Debug)]
pub(crate) enum Command {
    /// Run all ranks of a task.
    Run(Task),
    /// Follow tasks that the endpoint ran before this agent started.
    Follow(Task),
    /// Stop all ranks of an attempt.
    Halt(Task, Duration),
    /// Drop what is kept of an attempt.
    Drop(Task),
}

/// The running thread that calls the endpoint and the object store.
pub(crate) struct Endpoint {
    commands: ring::Sender<Command>,
}

/// A task as the endpoint is asked to run it, and as it lists it.
#[derive(Deserialize, Serialize)]
struct Start {
    id: String,
    rank: u32,
    accelerators: u64,
    payload: String,
    /// The agent's own record, given back in the list after a restart.
    task: Task,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct Listed {
    task: Task,
}

/// What the endpoint says of a task.
#[derive(Deserialize)]
struct State {
    state: String,
    #[serde(default)]
    result: String,
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct Health {
    leaving: bool,
}

const COMMANDS: usize = 1024;
/// How long the endpoint may hold an answer while a task runs.
const WAIT: Duration = Duration::from_secs(20);
/// Time between looks at the endpoint's health.
const HEALTH: Duration = Duration::from_secs(1);
/// Pause between tries to reach an endpoint or store that does not answer.
const PAUSE: Duration = Duration::from_millis(500);
/// Tries to reach an endpoint before a task there counts as lost.
const TRIES: u32 = 10;
/// Larger results go to the object store, in bytes.
const INLINE: usize = 65_536;
/// Largest answer of the endpoint that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

struct Caller {
    client: Client,
    address: String,
    objects: Objects,
    inputs: ring::Sender<Input>,
}

impl Endpoint {
    /// Starts the thread. What the endpoint does is told as inputs.
    pub fn spawn(
        address: &str,
        platform: &str,
        inputs: ring::Sender<Input>,
    ) -> io::Result<Endpoint> {
        let (commands, incoming) = ring::open(COMMANDS);
        let (address, platform) = (address.to_owned(), platform.to_owned());
        thread::Builder::new().name("endpoint".to_owned()).spawn(move || {
            let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
            runtime.block_on(async move {
                let caller = Caller {
                    client: Client::builder().timeout(WAIT + HEALTH * 5).finish(),
                    address,
                    objects: Objects::open(&platform, Duration::from_secs(30)),
                    inputs,
                };
                Rc::new(caller).run(incoming).await;
            });
        })?;
        Ok(Endpoint { commands })
    }

    /// Asks for something without waiting. False if too much is asked for.
    pub fn ask(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

impl Caller {
    async fn run(self: Rc<Caller>, commands: ring::Receiver<Command>) {
        let watching = Rc::clone(&self);
        actix_rt::spawn(async move { watching.watch().await });
        while let Some(command) = commands.recv().await {
            match command {
                Command::Run(task) => self.each_rank(&task, true),
                Command::Follow(task) => self.each_rank(&task, false),
                Command::Halt(task, grace) => {
                    let body = serde_json::json!({ "grace_ms": grace.as_millis() as u64 });
                    for (rank, _) in &task.ranks {
                        let path = format!("/tasks/{}/stop", id(task.attempt, *rank));
                        self.post_soon(path, body.to_string());
                    }
                }
                Command::Drop(task) => {
                    for (rank, _) in &task.ranks {
                        let path = format!("/tasks/{}/drop", id(task.attempt, *rank));
                        self.post_soon(path, "{}".to_owned());
                    }
                }
            }
        }
    }

    /// Starts or follows every rank of a task, each on its own.
    fn each_rank(self: &Rc<Self>, task: &Task, start: bool) {
        for (rank, accelerators) in task.ranks.clone() {
            let (caller, task) = (Rc::clone(self), task.clone());
            actix_rt::spawn(async move {
                let attempt = task.attempt;
                let first =
                    if start { Some(caller.start(task, rank, accelerators).await) } else { None };
                let end = caller.follow(attempt, rank, first.flatten()).await;
                caller.inputs.send(Input::RankEnded { attempt, rank, end }).await;
            });
        }
    }

    /// Asks the endpoint to run one rank. `None` if the answer was lost: what
    /// became of it is then asked, never started again.
    async fn start(&self, task: Task, rank: u32, accelerators: u64) -> Option<State> {
        let start = Start {
            id: id(task.attempt, rank),
            rank,
            accelerators,
            payload: STANDARD.encode(&task.payload),
            task,
            wait_ms: WAIT.as_millis() as u64,
        };
        let body = serde_json::to_vec(&start).expect("tasks are plain data");
        match self.call("/tasks", body).await {
            Ok((200, body)) => serde_json::from_slice(&body).ok(),
            Ok((status, body)) => {
                let reason = format!("endpoint refused: {status} {}", text(&body));
                Some(State { state: "failed".to_owned(), result: String::new(), reason })
            }
            Err(error) => {
                log::warn!(step = "start task", attempt:% = start.task.attempt; "{error}");
                None
            }
        }
    }

    /// Asks until the task has ended.
    async fn follow(&self, attempt: Attempt, rank: u32, first: Option<State>) -> End {
        let mut state = first;
        let mut failures = 0;
        loop {
            if let Some(state) = state.take()
                && let Some(end) = self.end(attempt, rank, state).await
            {
                return end;
            }
            let path = format!("/tasks/{}/wait", id(attempt, rank));
            let body = serde_json::json!({ "wait_ms": WAIT.as_millis() as u64 }).to_string();
            match self.call(&path, body.into_bytes()).await {
                Ok((200, body)) => {
                    failures = 0;
                    state = serde_json::from_slice(&body).ok();
                }
                Ok((404, _)) => return End::Lost("the endpoint does not know it".to_owned()),
                Ok(_) | Err(_) if failures < TRIES => {
                    failures += 1;
                    tokio::time::sleep(PAUSE).await;
                }
                Ok((status, _)) => return End::Lost(format!("the endpoint answers {status}")),
                Err(error) => return End::Lost(format!("the endpoint does not answer: {error}")),
            }
        }
    }

    async fn end(&self, attempt: Attempt, rank: u32, state: State) -> Option<End> {
        match state.state.as_str() {
            "running" => None,
            "done" => match STANDARD.decode(&state.result) {
                Ok(result) => Some(self.done(attempt, rank, result).await),
                Err(error) => Some(End::Lost(format!("unreadable result: {error}"))),
            },
            "stopped" => Some(End::Stopped),
            _ => Some(End::Failed(state.reason)),
        }
    }

    /// Keeps a large result in the object store; that store's outage only
    /// makes the result late.
    async fn done(&self, attempt: Attempt, rank: u32, result: Vec<u8>) -> End {
        let digest = sha256(&result);
        if result.len() <= INLINE {
            return End::Done { result, object: String::new(), digest };
        }
        let object = format!("result-{}", id(attempt, rank));
        let bytes = Bytes::from(result);
        while let Err(error) = self.objects.put(&object, bytes.clone()).await {
            log::warn!(step = "store result", attempt:% = attempt; "{error}");
            tokio::time::sleep(PAUSE).await;
        }
        End::Done { result: Vec::new(), object, digest }
    }

    /// Learns what the endpoint runs, then watches whether it is leaving.
    async fn watch(&self) {
        loop {
            match self.get("/tasks").await {
                Ok(body) => {
                    let listed: Vec<Listed> = serde_json::from_slice(&body).unwrap_or_default();
                    let tasks = listed.into_iter().map(|listed| listed.task).collect();
                    self.inputs.send(Input::Recovered(tasks)).await;
                    break;
                }
                Err(error) => log::info!(step = "list tasks"; "{error}"),
            }
            tokio::time::sleep(PAUSE).await;
        }
        let mut failures = 0;
        loop {
            let health = self.get("/health").await;
            let health: Option<Health> = health.ok().and_then(|b| serde_json::from_slice(&b).ok());
            failures = if health.is_some() { 0 } else { failures + 1 };
            // An endpoint that does not answer takes no new work either.
            let leaving = health.map_or(failures >= 2, |health| health.leaving);
            self.inputs.send(Input::EndpointHealth { leaving }).await;
            tokio::time::sleep(HEALTH).await;
        }
    }

    fn post_soon(self: &Rc<Self>, path: String, body: String) {
        let caller = Rc::clone(self);
        actix_rt::spawn(async move {
            if let Err(error) = caller.call(&path, body.into_bytes()).await {
                log::warn!(step = "call endpoint", peer = path.as_str(); "{error}");
            }
        });
    }

    async fn call(&self, path: &str, body: Vec<u8>) -> Result<(u16, Bytes), String> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        let request = request.content_type("application/json");
        let mut reply = request.send_body(body).await.map_err(|error| error.to_string())?;
        let body = reply.body().limit(MAX_ANSWER).await.map_err(|error| error.to_string())?;
        Ok((reply.status().as_u16(), body))
    }

    async fn get(&self, path: &str) -> Result<Bytes, String> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        let request = request.timeout(HEALTH * 2);
        let mut reply = request.send().await.map_err(|error| error.to_string())?;
        if reply.status().as_u16() != 200 {
            return Err(format!("status {}", reply.status()));
        }
        reply.body().limit(MAX_ANSWER).await.map_err(|error| error.to_string())
    }
}

fn id(attempt: Attempt, rank: u32) -> String {
    format!("{attempt}-{rank}")
}

fn text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}
