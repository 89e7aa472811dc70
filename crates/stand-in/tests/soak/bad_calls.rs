//! Invalid calls, and the answers that each entry must give.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{Client, SUBMIT_PATH};

/// A started entry must be ready within this time while the table replies. It is the
/// longest retry delay that an entry gives to a client, which must find the entry
/// ready when it retries (docs/PLATFORM.md, loss of the table).
const READY_DEADLINE: Duration = Duration::from_secs(3);
/// Interval between two checks of an entry that is not ready yet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// An invalid call and the status that it must get.
struct Case {
    what: &'static str,
    path: &'static str,
    key_line: String,
    body: Value,
    status: u16,
}

/// Calls an entry that was started at `started_at` until it is ready, and returns
/// the first wrong answers. Before it is ready it may not have the configuration yet
/// and must not judge a key or a body: it may refuse connections or answer 503, or
/// give the expected answer. Once it is ready only the expected answer is right.
pub async fn check(entry: &str, readiness: &str, key: &str, started_at: Instant) -> Vec<String> {
    let cases = cases(key);
    let mut client = Client::new(&[entry.to_owned()], 0);
    loop {
        // Checked before the calls: an entry that is ready must answer them correctly.
        let ready = client.is_ready(readiness).await;
        let mut wrong = Vec::new();
        for case in &cases {
            let status = client.status(case.path, &case.key_line, &case.body).await;
            if status != case.status && (ready || !matches!(status, 0 | 503)) {
                let ready = if ready { "ready" } else { "not ready" };
                wrong.push(format!("{}: {status} instead of {}, {ready}", case.what, case.status));
            }
        }
        if ready || !wrong.is_empty() {
            return wrong;
        }
        if started_at.elapsed() > READY_DEADLINE {
            return vec![format!("not ready within {READY_DEADLINE:?}")];
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn cases(key: &str) -> Vec<Case> {
    let id = "00000000000000ff";
    let path = "/calm/00000000000000ff";
    let itself = json!({ "steps": [{ "count": 1, "after": [0] }] });
    let mine = json!({ "queue": "calm", "id": id, "steps": [{ "count": 1, "after": [0] }] });
    // The table takes rows of 64 KiB.
    let label = "l".repeat(66_000);
    let large = json!({ "steps": [{ "count": 1, "requiredLabel": label }] });
    let elsewhere = json!({ "queue": "none", "id": id });
    let short = json!({ "queue": "calm", "id": "ff", "steps": [{ "count": 1 }] });
    let (token, bearer) = (format!("Token {key}"), format!("Bearer {key}"));
    let no_procedure = "/quincewheel.jobs.v1.Jobs/No";
    let cases = [
        ("a step after itself", path, token.as_str(), &itself, 400),
        ("a label larger than a row", path, &token, &large, 400),
        ("a short name", "/calm/ff", &token, &itself, 400),
        ("no such queue", "/none/00000000000000ff", &token, &itself, 404),
        ("an unknown key", path, "Token x", &itself, 401),
        ("own: a step after itself", SUBMIT_PATH, &bearer, &mine, 400),
        ("own: a short name", SUBMIT_PATH, &bearer, &short, 400),
        ("own: no such queue", SUBMIT_PATH, &bearer, &elsewhere, 404),
        ("own: an unknown key", SUBMIT_PATH, "Bearer x", &mine, 401),
        ("own: no such procedure", no_procedure, &bearer, &mine, 501),
    ];
    let case = |(what, path, key_line, body, status): (_, _, &str, &Value, _)| Case {
        what,
        path,
        key_line: key_line.to_owned(),
        body: body.clone(),
        status,
    };
    cases.into_iter().map(case).collect()
}
