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

/// A request to the endpoint's thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// StartRequest all ranks of a task and wait for their ends.
    Run(Task),
    /// Wait for the ends of a task that the endpoint already ran when this agent started.
    Follow(Task),
    /// Stop all ranks of a task. They have the given time to checkpoint.
    Stop(Task, Duration),
    /// Have the endpoint delete its records of a task.
    Forget(Task),
}

/// A handle of the thread that calls the endpoint and the object store.
pub(crate) struct Endpoint {
    commands: ring::Sender<Command>,
}

/// The body of a request to start one rank of a task. The endpoint returns the same fields when
/// it lists its tasks.
#[derive(Deserialize, Serialize)]
struct StartRequest {
    id: String,
    rank: u32,
    accelerators: u64,
    payload: String,
    /// The agent's own record of the task, from which a restarted agent recovers.
    task: Task,
    wait_ms: u64,
}

#[derive(Deserialize)]
struct ListedTask {
    task: Task,
}

/// The state of one rank of a task, as the endpoint reports it.
#[derive(Deserialize)]
struct RankState {
    state: String,
    #[serde(default)]
    result: String,
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct HealthReply {
    leaving: bool,
}

/// Capacity of the ring of commands.
const COMMAND_QUEUE_LEN: usize = 1024;
/// How long the endpoint may delay its response while a task runs.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between health checks of the endpoint.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause before a failed call to the endpoint or the object store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Failed calls in a row after which a task at the endpoint counts as lost.
const MAX_RETRIES: u32 = 10;
/// Size in bytes up to which a result is sent inline; larger ones go to the object store.
const MAX_INLINE_RESULT_BYTES: usize = 65_536;
/// Largest response body that is accepted from the endpoint, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

struct EndpointClient {
    client: Client,
    address: String,
    objects: Objects,
    inputs: ring::Sender<Input>,
}

impl Endpoint {
    /// Starts the thread. It reports what happens at the endpoint on `inputs`.
    pub fn spawn(
        address: &str,
        platform: &str,
        inputs: ring::Sender<Input>,
    ) -> io::Result<Endpoint> {
        let (commands, incoming) = ring::open(COMMAND_QUEUE_LEN);
        let (address, platform) = (address.to_owned(), platform.to_owned());
        thread::Builder::new().name("endpoint".to_owned()).spawn(move || {
            let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
            runtime.block_on(async move {
                let client = EndpointClient {
                    client: Client::builder()
                        .timeout(LONG_POLL_TIMEOUT + HEALTH_CHECK_INTERVAL * 5)
                        .finish(),
                    address,
                    objects: Objects::open(&platform, Duration::from_secs(30)),
                    inputs,
                };
                Rc::new(client).run(incoming).await;
            });
        })?;
        Ok(Endpoint { commands })
    }

    /// Queues a command without waiting. Returns false if the queue is full.
    pub fn send(&self, command: Command) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

impl EndpointClient {
    async fn run(self: Rc<EndpointClient>, commands: ring::Receiver<Command>) {
        let watcher = Rc::clone(&self);
        actix_rt::spawn(async move { watcher.recover_and_watch_health().await });
        while let Some(command) = commands.recv().await {
            match command {
                Command::Run(task) => self.spawn_ranks(&task, true),
                Command::Follow(task) => self.spawn_ranks(&task, false),
                Command::Stop(task, grace) => {
                    let body = serde_json::json!({ "grace_ms": grace.as_millis() as u64 });
                    for (rank, _) in &task.ranks {
                        let path = format!("/tasks/{}/stop", task_id(task.attempt, *rank));
                        self.spawn_post(path, body.to_string());
                    }
                }
                Command::Forget(task) => {
                    for (rank, _) in &task.ranks {
                        let path = format!("/tasks/{}/drop", task_id(task.attempt, *rank));
                        self.spawn_post(path, "{}".to_owned());
                    }
                }
            }
        }
    }

    /// Spawns a task for each rank that starts it, if `start` is set, and reports its end.
    fn spawn_ranks(self: &Rc<Self>, task: &Task, start: bool) {
        for (rank, accelerators) in task.ranks.clone() {
            let (client, task) = (Rc::clone(self), task.clone());
            actix_rt::spawn(async move {
                let attempt = task.attempt;
                let first =
                    if start { Some(client.start(task, rank, accelerators).await) } else { None };
                let end = client.wait_for_end(attempt, rank, first.flatten()).await;
                client.inputs.send(Input::RankEnded { attempt, rank, end }).await;
            });
        }
    }

    /// Starts one rank. Returns `None` if the response was lost: the start may have taken effect,
    /// so the caller queries the rank's state and never starts it again.
    async fn start(&self, task: Task, rank: u32, accelerators: u64) -> Option<RankState> {
        let start = StartRequest {
            id: task_id(task.attempt, rank),
            rank,
            accelerators,
            payload: STANDARD.encode(&task.payload),
            task,
            wait_ms: LONG_POLL_TIMEOUT.as_millis() as u64,
        };
        let body = serde_json::to_vec(&start).expect("tasks are plain data");
        match self.post("/tasks", body).await {
            Ok((200, body)) => serde_json::from_slice(&body).ok(),
            Ok((status, body)) => {
                let reason = format!("endpoint refused: {status} {}", body_text(&body));
                Some(RankState { state: "failed".to_owned(), result: String::new(), reason })
            }
            Err(error) => {
                log::warn!(step = "start task", attempt:% = start.task.attempt; "{error}");
                None
            }
        }
    }

    /// Polls the state of a rank until it has ended. `first` is a state that is known already.
    async fn wait_for_end(&self, attempt: Attempt, rank: u32, first: Option<RankState>) -> End {
        let mut state = first;
        let mut failures = 0;
        loop {
            if let Some(state) = state.take()
                && let Some(end) = self.end_of(attempt, rank, state).await
            {
                return end;
            }
            let path = format!("/tasks/{}/wait", task_id(attempt, rank));
            let body =
                serde_json::json!({ "wait_ms": LONG_POLL_TIMEOUT.as_millis() as u64 }).to_string();
            match self.post(&path, body.into_bytes()).await {
                Ok((200, body)) => {
                    failures = 0;
                    state = serde_json::from_slice(&body).ok();
                }
                Ok((404, _)) => return End::Lost("the endpoint does not know it".to_owned()),
                Ok(_) | Err(_) if failures < MAX_RETRIES => {
                    failures += 1;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Ok((status, _)) => return End::Lost(format!("the endpoint answers {status}")),
                Err(error) => return End::Lost(format!("the endpoint does not answer: {error}")),
            }
        }
    }

    /// The end that a state stands for, or `None` while the rank runs.
    async fn end_of(&self, attempt: Attempt, rank: u32, state: RankState) -> Option<End> {
        match state.state.as_str() {
            "running" => None,
            "done" => match STANDARD.decode(&state.result) {
                Ok(result) => Some(self.store_result(attempt, rank, result).await),
                Err(error) => Some(End::Lost(format!("unreadable result: {error}"))),
            },
            "stopped" => Some(End::Stopped),
            _ => Some(End::Failed(state.reason)),
        }
    }

    /// Returns a small result inline and writes a large one to the object store. While the store
    /// is unavailable the write is repeated, so that an outage delays the result but does not lose
    /// it.
    async fn store_result(&self, attempt: Attempt, rank: u32, result: Vec<u8>) -> End {
        let digest = sha256(&result);
        if result.len() <= MAX_INLINE_RESULT_BYTES {
            return End::Done { result, object: String::new(), digest };
        }
        let object = format!("result-{}", task_id(attempt, rank));
        let bytes = Bytes::from(result);
        while let Err(error) = self.objects.put(&object, bytes.clone()).await {
            log::warn!(step = "store result", attempt:% = attempt; "{error}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
        End::Done { result: Vec::new(), object, digest }
    }

    /// Reports the tasks that the endpoint already runs, then checks its health periodically.
    async fn recover_and_watch_health(&self) {
        loop {
            match self.get("/tasks").await {
                Ok(body) => {
                    let listed: Vec<ListedTask> = serde_json::from_slice(&body).unwrap_or_default();
                    let tasks = listed.into_iter().map(|listed| listed.task).collect();
                    self.inputs.send(Input::Recovered(tasks)).await;
                    break;
                }
                Err(error) => log::info!(step = "list tasks"; "{error}"),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        let mut failures = 0;
        loop {
            let health = self.get("/health").await;
            let health: Option<HealthReply> =
                health.ok().and_then(|b| serde_json::from_slice(&b).ok());
            failures = if health.is_some() { 0 } else { failures + 1 };
            // An endpoint that fails two checks in a row cannot take new work either.
            let leaving = health.map_or(failures >= 2, |health| health.leaving);
            self.inputs.send(Input::EndpointHealth { leaving }).await;
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    fn spawn_post(self: &Rc<Self>, path: String, body: String) {
        let client = Rc::clone(self);
        actix_rt::spawn(async move {
            if let Err(error) = client.post(&path, body.into_bytes()).await {
                log::warn!(step = "call endpoint", peer = path.as_str(); "{error}");
            }
        });
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<(u16, Bytes), String> {
        let request = self.client.post(format!("http://{}{path}", self.address));
        let request = request.content_type("application/json");
        let mut reply = request.send_body(body).await.map_err(|error| error.to_string())?;
        let body =
            reply.body().limit(MAX_RESPONSE_BYTES).await.map_err(|error| error.to_string())?;
        Ok((reply.status().as_u16(), body))
    }

    async fn get(&self, path: &str) -> Result<Bytes, String> {
        let request = self.client.get(format!("http://{}{path}", self.address));
        let request = request.timeout(HEALTH_CHECK_INTERVAL * 2);
        let mut reply = request.send().await.map_err(|error| error.to_string())?;
        if reply.status().as_u16() != 200 {
            return Err(format!("status {}", reply.status()));
        }
        reply.body().limit(MAX_RESPONSE_BYTES).await.map_err(|error| error.to_string())
    }
}

fn task_id(attempt: Attempt, rank: u32) -> String {
    format!("{attempt}-{rank}")
}

fn body_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).into_owned()
}
