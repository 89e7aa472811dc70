//! An endpoint that runs tasks: they wait, then echo their payload.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quincewheel_http::{Body, Reply, Request, Server, read, reply};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

/// How the endpoint behaves, as set by POST /control.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Control {
    /// Every task fails at once.
    pub fail_all: bool,
    /// It takes no new work.
    pub leaving: bool,
    /// Every task takes this much longer.
    pub slow_ms: u64,
}

/// What a payload may ask of the endpoint, as JSON. Other payloads are echoed.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Work {
    work_ms: u64,
    fail: bool,
    ignore_stop: bool,
    result_bytes: usize,
}

#[derive(Deserialize)]
struct Start {
    id: String,
    accelerators: u64,
    payload: String,
    task: Value,
    wait_ms: u64,
}

struct Task {
    task: Value,
    accelerators: u64,
    state: &'static str,
    result: Vec<u8>,
    reason: String,
    ignore_stop: bool,
    percent: u32,
    changed: Arc<Notify>,
}

#[derive(Default)]
struct State {
    control: Control,
    tasks: BTreeMap<String, Task>,
    /// Accelerators in use over time; usage is reported with a lag.
    usage: VecDeque<(Instant, u32)>,
    starts: u64,
}

type Shared = Arc<Mutex<State>>;

const MAX_BODY: usize = 4 << 20;
const USAGE_LAG: Duration = Duration::from_secs(2);
const CHECKPOINT: Duration = Duration::from_millis(50);

/// Serves an endpoint at `address`.
pub fn bind(address: &str) -> io::Result<Server> {
    let state = Shared::default();
    Server::bind("endpoint", address, move |request| {
        let state = Arc::clone(&state);
        async move { serve(state, request).await }
    })
}

async fn serve(state: Shared, mut request: Request) -> Reply {
    let path = request.path().to_owned();
    let post = request.method().as_str() == "POST";
    let Body::Whole(body) = read(&mut request, MAX_BODY).await else {
        return reply(413, "text/plain", "too large");
    };
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (post, parts.as_slice()) {
        (true, ["tasks"]) => start(state, &body).await,
        (false, ["tasks"]) => list(&state),
        (true, ["tasks", id, "wait"]) => wait(&state, id, &body).await,
        (true, ["tasks", id, "stop"]) => stop(&state, id, &body),
        (true, ["tasks", id, "throttle"]) => throttle(&state, id, &body),
        (true, ["tasks", id, "drop"]) => {
            let mut state = lock(&state);
            if state.tasks.get(*id).is_some_and(|task| task.state != "running") {
                state.tasks.remove(*id);
            }
            ok(json!({}))
        }
        (false, ["health"]) => ok(json!({ "leaving": lock(&state).control.leaving })),
        (false, ["usage"]) => usage(&state),
        (true, ["control"]) => match serde_json::from_slice(&body) {
            Ok(control) => {
                lock(&state).control = control;
                ok(json!({}))
            }
            Err(error) => reply(400, "text/plain", error.to_string()),
        },
        _ => reply(404, "text/plain", "no such path"),
    }
}

async fn start(state: Shared, body: &[u8]) -> Reply {
    let start: Start = match serde_json::from_slice(body) {
        Ok(start) => start,
        Err(error) => return reply(400, "text/plain", error.to_string()),
    };
    let payload = STANDARD.decode(&start.payload).unwrap_or_default();
    let work: Work = serde_json::from_slice(&payload).unwrap_or_default();
    let control = lock(&state).control;
    let task = Task {
        task: start.task,
        accelerators: start.accelerators,
        state: "running",
        result: Vec::new(),
        reason: String::new(),
        ignore_stop: work.ignore_stop,
        percent: 100,
        changed: Arc::new(Notify::new()),
    };
    {
        let mut state = lock(&state);
        if state.tasks.contains_key(&start.id) {
            return reply(409, "text/plain", "started before");
        }
        state.starts += 1;
        state.tasks.insert(start.id.clone(), task);
        note_usage(&mut state);
    }
    let (running, id) = (Arc::clone(&state), start.id.clone());
    let time = Duration::from_millis(work.work_ms + control.slow_ms);
    if time.is_zero() {
        finish(&running, &id, &work, &control, payload);
    } else {
        actix_rt::spawn(async move {
            tokio::time::sleep(time).await;
            finish(&running, &id, &work, &control, payload);
        });
    }
    hold(&state, &start.id, start.wait_ms).await
}

fn finish(state: &Shared, id: &str, work: &Work, control: &Control, payload: Vec<u8>) {
    if work.fail || control.fail_all {
        end(state, id, "failed", Vec::new(), "the task failed");
        return;
    }
    let mut result = payload;
    if work.result_bytes > 0 {
        result = vec![b'r'; work.result_bytes];
    }
    end(state, id, "done", result, "");
}

fn end(state: &Shared, id: &str, how: &'static str, result: Vec<u8>, reason: &str) {
    let mut state = lock(state);
    let Some(task) = state.tasks.get_mut(id).filter(|task| task.state == "running") else { return };
    task.state = how;
    task.result = result;
    task.reason = reason.to_owned();
    task.changed.notify_waiters();
    note_usage(&mut state);
}

async fn wait(state: &Shared, id: &str, body: &[u8]) -> Reply {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    hold(state, id, body["wait_ms"].as_u64().unwrap_or(0)).await
}

/// Answers when the task has ended or the time is over.
async fn hold(state: &Shared, id: &str, wait_ms: u64) -> Reply {
    let changed = match lock(state).tasks.get(id) {
        Some(task) => Arc::clone(&task.changed),
        None => return reply(404, "text/plain", "no such task"),
    };
    let mut notified = std::pin::pin!(changed.notified());
    notified.as_mut().enable();
    let running = lock(state).tasks.get(id).is_some_and(|task| task.state == "running");
    if running {
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms), notified).await;
    }
    match lock(state).tasks.get(id) {
        Some(task) => ok(json!({
            "state": task.state,
            "result": STANDARD.encode(&task.result),
            "reason": task.reason,
        })),
        None => reply(404, "text/plain", "no such task"),
    }
}

fn stop(state: &Shared, id: &str, body: &[u8]) -> Reply {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let grace = Duration::from_millis(body["grace_ms"].as_u64().unwrap_or(0));
    let ignores = lock(state).tasks.get(id).is_some_and(|task| task.ignore_stop);
    let after = match (grace.is_zero(), ignores) {
        (true, _) => Duration::ZERO,
        (false, true) => return ok(json!({ "checkpoint": false })),
        (false, false) => CHECKPOINT.min(grace),
    };
    let (state, id) = (Arc::clone(state), id.to_owned());
    actix_rt::spawn(async move {
        tokio::time::sleep(after).await;
        end(&state, &id, "stopped", Vec::new(), "stopped by request");
    });
    ok(json!({ "checkpoint": !after.is_zero() }))
}

fn throttle(state: &Shared, id: &str, body: &[u8]) -> Reply {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    if let Some(task) = lock(state).tasks.get_mut(id) {
        task.percent = body["percent"].as_u64().unwrap_or(100) as u32;
    }
    ok(json!({}))
}

fn list(state: &Shared) -> Reply {
    let state = lock(state);
    let running = state.tasks.values().filter(|task| task.state == "running");
    ok(running.map(|task| json!({ "task": task.task })).collect())
}

fn note_usage(state: &mut State) {
    let running = state.tasks.values().filter(|task| task.state == "running");
    let used = running.fold(0, |used, task| used | task.accelerators).count_ones();
    state.usage.push_back((Instant::now(), used));
    while state.usage.len() > 1024 {
        state.usage.pop_front();
    }
}

fn usage(state: &Shared) -> Reply {
    let state = lock(state);
    let now = Instant::now();
    let lagged = state.usage.iter().rev().find(|(at, _)| now - *at >= USAGE_LAG);
    ok(json!({ "accelerators": lagged.map_or(0, |(_, used)| *used), "starts": state.starts }))
}

fn ok(body: Value) -> Reply {
    reply(200, "application/json", body.to_string())
}

fn lock(state: &Shared) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
