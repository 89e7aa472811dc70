//! The platform over HTTP, with faults that can be switched on.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use quincewheel_http::{Body, Reply, Request, Server, read, reply};
use quincewheel_store::{Commit, Error, Op, Read, Reply as StoreReply};
use serde::{Deserialize, Serialize};

use crate::table::Table;

/// What is wrong with the platform, as set by POST /faults.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Faults {
    /// Refuse every call.
    pub refuse: bool,
    /// Answer this many milliseconds late.
    pub slow_ms: u64,
    /// Let commits take effect and answer with an error.
    pub lose_answers: bool,
    /// Most commits a second; 0 is no limit.
    pub commits_per_s: u32,
}

#[derive(Default)]
struct State {
    table: Table,
    objects: BTreeMap<String, Bytes>,
    faults: Faults,
    window: Option<(Instant, u32)>,
}

const MAX_BODY: usize = 64 << 20;

/// Serves the platform at `address`.
pub fn bind(address: &str) -> io::Result<Server> {
    let state = Arc::new(Mutex::new(State::default()));
    Server::bind("platform", address, move |request| {
        let state = Arc::clone(&state);
        async move { serve(state, request).await }
    })
}

async fn serve(state: Arc<Mutex<State>>, mut request: Request) -> Reply {
    let path = request.path().to_owned();
    let method = request.method().to_string();
    let Body::Whole(body) = read(&mut request, MAX_BODY).await else {
        return reply(413, "text/plain", "too large");
    };
    let faults = lock(&state).faults;
    if path == "/faults" {
        return match serde_json::from_slice(&body) {
            Ok(faults) => {
                lock(&state).faults = faults;
                reply(200, "text/plain", "set")
            }
            Err(error) => reply(400, "text/plain", error.to_string()),
        };
    }
    if path == "/counts" {
        let state = lock(&state);
        let counts = serde_json::json!({
            "commits": state.table.commits,
            "reads": state.table.reads,
        });
        return reply(200, "application/json", counts.to_string());
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if faults.refuse {
        return reply(503, "text/plain", "refused by a fault");
    }
    match path.as_str() {
        "/table/read" => read_rows(&state, &body),
        "/table/commit" => commit(&state, &body),
        _ => match path.strip_prefix("/objects/") {
            Some(name) => object(&state, &method, name, body),
            None => reply(404, "text/plain", "no such path"),
        },
    }
}

fn read_rows(state: &Mutex<State>, body: &[u8]) -> Reply {
    match serde_json::from_slice::<Read>(body) {
        Ok(read) => match lock(state).table.apply(&Op::Read(read)) {
            Ok(StoreReply::Page(page)) => json(&page),
            _ => reply(500, "text/plain", "not a page"),
        },
        Err(error) => reply(400, "text/plain", error.to_string()),
    }
}

fn commit(state: &Mutex<State>, body: &[u8]) -> Reply {
    let commit = match serde_json::from_slice::<Commit>(body) {
        Ok(commit) => commit,
        Err(error) => return reply(400, "text/plain", error.to_string()),
    };
    let mut state = lock(state);
    if limited(&mut state) {
        return reply(429, "text/plain", "too many commits");
    }
    let result = state.table.apply(&Op::Commit(commit));
    if state.faults.lose_answers {
        return reply(500, "text/plain", "answer lost by a fault");
    }
    match result {
        Ok(StoreReply::Committed(version)) => json(&serde_json::json!({ "version": version })),
        Err(Error::Conflict { key }) => reply(409, "text/plain", key),
        _ => reply(500, "text/plain", "not a commit"),
    }
}

fn limited(state: &mut State) -> bool {
    let most = state.faults.commits_per_s;
    if most == 0 {
        return false;
    }
    let now = Instant::now();
    let fresh = state.window.filter(|(at, _)| now - *at < Duration::from_secs(1));
    let (at, count) = fresh.unwrap_or((now, 0));
    state.window = Some((at, count + 1));
    count >= most
}

fn object(state: &Mutex<State>, method: &str, name: &str, body: Bytes) -> Reply {
    let mut state = lock(state);
    if method == "PUT" {
        state.objects.insert(name.to_owned(), body);
        return reply(200, "text/plain", "kept");
    }
    match state.objects.get(name) {
        Some(bytes) => reply(200, "application/octet-stream", bytes.clone()),
        None => reply(404, "text/plain", "no such object"),
    }
}

fn json(value: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(value).expect("plain data");
    reply(200, "application/json", body)
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
