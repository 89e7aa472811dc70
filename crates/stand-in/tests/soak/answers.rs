//! Bad calls, and how each entry must answer them.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{Client, SUBMIT};

/// An entry that was started must be ready within this time, while the table
/// answers: the longest after which an entry that cannot serve asks its client to
/// come back, who must not find it as it was (docs/PLATFORM.md, loss of the table).
const START: Duration = Duration::from_secs(3);
/// Pause between two looks at an entry that is not ready yet.
const LOOK: Duration = Duration::from_millis(10);

/// A call that cannot be served, and the status that tells why.
struct Case {
    what: &'static str,
    path: &'static str,
    key_line: String,
    body: Value,
    status: u16,
}

/// Calls an entry that was started at `began` until it is ready, and returns the
/// first wrong answers. Until it says that it is ready it may not know the
/// configuration, and then must not judge a key or a body: no connection and 503
/// are right, any other answer than the case's is not. From then on only the
/// case's answer is right, at once.
pub async fn check(entry: &str, readiness: &str, key: &str, began: Instant) -> Vec<String> {
    let cases = cases(key);
    let mut client = Client::open(&[entry.to_owned()], 0);
    loop {
        // Asked before the calls: whoever is ready must answer them.
        let ready = client.is_ready(readiness).await;
        let mut wrong = Vec::new();
        for case in &cases {
            let told = client.status(case.path, &case.key_line, &case.body).await;
            if told != case.status && (ready || !matches!(told, 0 | 503)) {
                let ready = if ready { "ready" } else { "not ready" };
                wrong.push(format!("{}: {told} instead of {}, {ready}", case.what, case.status));
            }
        }
        if ready || !wrong.is_empty() {
            return wrong;
        }
        if began.elapsed() > START {
            return vec![format!("not ready within {START:?}")];
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn cases(key: &str) -> Vec<Case> {
    let id = "00000000000000ff";
    let path = "/calm/00000000000000ff";
    let itself = json!({ "steps": [{ "count": 1, "after": [0] }] });
    let mine = json!({ "queue": "calm", "id": id, "steps": [{ "count": 1, "after": [0] }] });
    let elsewhere = json!({ "queue": "none", "id": id });
    let short = json!({ "queue": "calm", "id": "ff", "steps": [{ "count": 1 }] });
    let (token, bearer) = (format!("Token {key}"), format!("Bearer {key}"));
    let no_procedure = "/quincewheel.jobs.v1.Jobs/No";
    let cases = [
        ("a step after itself", path, token.as_str(), &itself, 400),
        ("a short name", "/calm/ff", &token, &itself, 400),
        ("no such queue", "/none/00000000000000ff", &token, &itself, 404),
        ("an unknown key", path, "Token x", &itself, 401),
        ("own: a step after itself", SUBMIT, &bearer, &mine, 400),
        ("own: a short name", SUBMIT, &bearer, &short, 400),
        ("own: no such queue", SUBMIT, &bearer, &elsewhere, 404),
        ("own: an unknown key", SUBMIT, "Bearer x", &mine, 401),
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
