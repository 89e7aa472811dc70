//! The shipped binaries as real processes. Verdicts rest on answers, exit codes
//! and the checker; times only bound how long a test waits.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use futures_util::future::join_all;
use quincewheel_audit::Checker;
use quincewheel_stand_in::caller::{Caller, Submission, sha256};
use quincewheel_stand_in::fleet::{FLEET_KEY, Fleet, OPERATOR_KEY};
use serde_json::{Value, json};

const TEAM: &str = "banco";
const KEY: &str = "banco-key";

async fn fleet(entries: usize, workers: usize) -> Fleet {
    let fleet = Fleet::spawn(entries, workers, true).expect("run cargo build --workspace first");
    let operator = Caller::new(OPERATOR_KEY);
    let seen = std::cell::RefCell::new(String::new());
    let serving = until_or("all workers serve", || async {
        let answer = operator.call(&fleet.rpcs[0], "GetPool", &json!({})).await;
        *seen.borrow_mut() = format!("{answer:?}");
        let Ok((200, pool)) = answer else { return false };
        let serving = |worker: &&Value| worker["state"] == "serving";
        pool["workers"].as_array().is_some_and(|w| w.iter().filter(serving).count() == workers)
    })
    .await;
    // What the processes said is the only trace of one that did not start.
    assert!(serving.is_ok(), "{serving:?}\n{}\n{}", seen.borrow(), fleet.logs().unwrap());
    let body = json!({ "team": TEAM, "keyDigest": sha256(KEY) });
    let (status, reply) = operator.call(&fleet.rpcs[0], "PutTeam", &body).await.unwrap();
    assert_eq!(status, 200, "{reply}");
    until("the team is known everywhere", || async {
        let body = json!({ "team": TEAM, "requestId": "none" });
        let mut known = true;
        for rpc in &fleet.rpcs {
            let answer = Caller::new(KEY).call(rpc, "GetJob", &body).await;
            known &= matches!(answer, Ok((404, reply)) if reply.to_string().contains("request_id"));
        }
        known
    })
    .await;
    fleet
}

async fn until<F: Future<Output = bool>>(what: &str, test: impl FnMut() -> F) {
    until_or(what, test).await.unwrap();
}

async fn until_or<F: Future<Output = bool>>(
    what: &str,
    mut test: impl FnMut() -> F,
) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(60);
    while !test().await {
        if Instant::now() >= end {
            return Err(format!("not within 60 s: {what}"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

fn check(fleet: &Fleet) {
    let end = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let violations = Checker::run(Duration::from_secs(6), &fleet.events().unwrap(), end);
    assert!(violations.is_empty(), "{violations:?}");
}

/// Submits until the outcome is known, at one entry after the other, as a
/// caller does whose connections break.
async fn insist(rpcs: &[String], job: Submission) -> String {
    let caller = Caller::new(KEY);
    for attempt in 0..200 {
        let job = Submission { first: attempt == 0, ..job.clone() };
        let rpc = &rpcs[attempt % rpcs.len()];
        if let Ok((200, reply)) = caller.call(rpc, "Submit", &job.body()).await {
            return reply["state"].as_str().unwrap_or_default().to_owned();
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    "no outcome".to_owned()
}

fn bonds(prefix: &str, count: usize, payload: &str) -> Vec<Submission> {
    let bond = |index| Submission::new(TEAM, &format!("{prefix}-{index}"), payload);
    (0..count).map(bond).collect()
}

/// One HTTP/1.1 connection, written by hand to see that it stays usable.
struct Connection(BufReader<TcpStream>);

impl Connection {
    fn open(address: &str) -> Connection {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        Connection(BufReader::new(stream))
    }

    fn post(&mut self, method: &str, kind: &str, key: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let head = format!(
            "POST /quincewheel.v1.Scheduler/{method} HTTP/1.1\r\nHost: x\r\nContent-Type: {kind}\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let stream = self.0.get_mut();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(body).unwrap();
        let mut line = String::new();
        self.0.read_line(&mut line).unwrap();
        let status = line.split(' ').nth(1).expect("a status line").parse().unwrap();
        let mut length = 0;
        loop {
            line.clear();
            self.0.read_line(&mut line).unwrap();
            if line == "\r\n" {
                break;
            }
            let lower = line.to_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap();
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        (status, body)
    }
}

/// Symptom: a bad call hangs, breaks its connection, or is half taken up.
/// Sequence: each mistake once, all over one connection, then a good call.
/// Cause: the body is left unread, or a default stands in for what is missing.
#[actix_rt::test]
async fn bad_calls_name_the_field_and_leave_the_connection_usable() {
    let mut fleet = fleet(1, 1).await;
    let good = Submission::new(TEAM, "good", "hello").body();
    let with = |field: &str, value: Value| {
        let mut body = good.clone();
        body[field] = value;
        body
    };
    let shape =
        |tasks: u32, accelerators: u32| json!({ "tasks": tasks, "accelerators": accelerators });
    let json = "application/json";
    let cases: Vec<(&str, &str, &str, &str, Vec<u8>)> = vec![
        ("wrong content type", "Submit", "text/plain", KEY, b"{}".to_vec()),
        ("no key", "Submit", json, "", good.to_string().into()),
        ("wrong key", "Submit", json, "guess", good.to_string().into()),
        ("unknown method", "Sumbit", json, KEY, b"{}".to_vec()),
        ("not JSON", "Submit", json, KEY, b"{".to_vec()),
        ("unknown field", "Submit", json, KEY, with("colour", json!("red")).to_string().into()),
        ("unknown team", "Submit", json, KEY, with("team", json!("nobody")).to_string().into()),
        ("bad team", "Submit", json, KEY, with("team", json!("a/b")).to_string().into()),
        ("no request id", "Submit", json, KEY, with("requestId", json!("")).to_string().into()),
        ("no shape", "Submit", json, KEY, with("shape", Value::Null).to_string().into()),
        ("no tasks", "Submit", json, KEY, with("shape", shape(0, 1)).to_string().into()),
        ("too many tasks", "Submit", json, KEY, with("shape", shape(257, 1)).to_string().into()),
        ("too wide", "Submit", json, KEY, with("shape", shape(1, 9)).to_string().into()),
        (
            "expired deadline",
            "Submit",
            json,
            KEY,
            with("deadlineMs", json!("0")).to_string().into(),
        ),
        (
            "long deadline",
            "Submit",
            json,
            KEY,
            with("deadlineMs", json!("604800001")).to_string().into(),
        ),
        ("oversized body", "Submit", json, KEY, vec![b' '; 200_000]),
        ("operators only", "GetPool", json, KEY, b"{}".to_vec()),
        (
            "no such job",
            "GetJob",
            json,
            KEY,
            json!({"team": TEAM, "requestId": "no"}).to_string().into(),
        ),
        (
            "bad digest",
            "PutTeam",
            json,
            OPERATOR_KEY,
            json!({"team": "x", "keyDigest": "1"}).to_string().into(),
        ),
        (
            "stale version",
            "PutTeam",
            json,
            OPERATOR_KEY,
            json!({"team": TEAM, "keyDigest": sha256(KEY), "expectedVersion": "7"})
                .to_string()
                .into(),
        ),
        (
            "misfit",
            "PutGuarantee",
            json,
            OPERATOR_KEY,
            json!({"team": TEAM, "shares": [{"shape": shape(1, 8), "count": 3}]})
                .to_string()
                .into(),
        ),
    ];
    let mut connection = Connection::open(&fleet.rpcs[0]);
    let mut lines = Vec::new();
    for (what, method, kind, key, body) in cases {
        let (status, reply) = connection.post(method, kind, key, &body);
        let reply: Value = serde_json::from_slice(&reply).expect("errors are JSON");
        let field = reply["details"][0]["debug"]["field"].as_str().unwrap_or("-").to_owned();
        lines.push(format!("{what}: {status} {} {field}", reply["code"].as_str().unwrap_or("-")));
    }
    let (status, reply) = connection.post("Submit", json, KEY, good.to_string().as_bytes());
    let reply: Value = serde_json::from_slice(&reply).unwrap();
    assert_eq!((status, reply["state"].as_str()), (200, Some("STATE_DONE")));
    check(&fleet);
    assert_eq!(fleet.end(), Vec::<String>::new());
    insta::assert_snapshot!(lines.join("\n"), @r"
    wrong content type: 415 invalid_argument content-type
    no key: 401 unauthenticated authorization
    wrong key: 403 permission_denied 
    unknown method: 501 unimplemented 
    not JSON: 400 invalid_argument 
    unknown field: 400 invalid_argument colour
    unknown team: 404 not_found team
    bad team: 400 invalid_argument team
    no request id: 400 invalid_argument request_id
    no shape: 400 invalid_argument shape
    no tasks: 400 invalid_argument shape.tasks
    too many tasks: 400 invalid_argument shape.tasks
    too wide: 400 invalid_argument shape.accelerators
    expired deadline: 400 invalid_argument deadline_ms
    long deadline: 400 invalid_argument deadline_ms
    oversized body: 429 resource_exhausted body
    operators only: 403 permission_denied 
    no such job: 404 not_found request_id
    bad digest: 400 invalid_argument key_digest
    stale version: 409 aborted expected_version
    misfit: 400 failed_precondition shares
    ");
}

#[actix_rt::test]
async fn protobuf_is_spoken_too() {
    use prost::Message;
    use quincewheel_schema::v1;
    let fleet = fleet(1, 1).await;
    let request = v1::SubmitRequest {
        team: TEAM.to_owned(),
        request_id: "proto".to_owned(),
        shape: Some(v1::Shape { tasks: 1, accelerators: 2, adjacency: 0 }),
        deadline_ms: 10_000,
        payload: b"hello".to_vec(),
        wait: true,
        ..v1::SubmitRequest::default()
    };
    let mut connection = Connection::open(&fleet.rpcs[0]);
    let (status, reply) =
        connection.post("Submit", "application/proto", KEY, &request.encode_to_vec());
    let reply = v1::JobReply::decode(reply.as_slice()).unwrap();
    assert_eq!(
        (status, reply.state(), reply.result.as_slice()),
        (200, v1::State::Done, &b"hello"[..])
    );
}

/// Symptom: a large result is cut or lost. Sequence: a result of 3 MB, larger
/// than any frame. Cause: it travels the way of small ones.
#[actix_rt::test]
async fn a_large_result_goes_by_the_object_store() {
    let fleet = fleet(1, 1).await;
    let job = Submission::new(TEAM, "large", r#"{"result_bytes":3000000}"#);
    let (_, reply) = Caller::new(KEY).call(&fleet.rpcs[0], "Submit", &job.body()).await.unwrap();
    let objects = quincewheel_store::Objects::open(&fleet.platform, Duration::from_secs(10));
    let object = reply["resultObject"].as_str().expect("an object's name");
    let bytes = objects.get(object).await.unwrap();
    let digest = sha256(&String::from_utf8_lossy(&bytes));
    assert_eq!((bytes.len(), reply["resultDigest"].as_str()), (3_000_000, Some(digest.as_str())));
}

/// Symptom: bonds are lost or issued twice when the owner dies. Sequence: it is
/// killed with SIGKILL under load; callers try again elsewhere. Cause: what only
/// the owner knew is gone.
#[actix_rt::test]
async fn killing_the_owner_under_load_loses_and_doubles_nothing() {
    let mut fleet = fleet(2, 3).await;
    let rpcs = fleet.rpcs.clone();
    let jobs = bonds("killed", 60, r#"{"work_ms":150}"#);
    let work =
        actix_rt::spawn(
            async move { join_all(jobs.into_iter().map(|job| insist(&rpcs, job))).await },
        );
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.kill("entry-0");
    let states = work.await.unwrap();
    assert!(states.iter().all(|state| state == "STATE_DONE"), "{states:?}");
    check(&fleet);
}

/// Symptom: work that runs is lost with the agent that watched it. Sequence: an
/// agent is killed with SIGKILL while its endpoint runs tasks, and is started
/// again beside it. Cause: the new agent does not look at what runs.
#[actix_rt::test]
async fn an_agent_started_again_finds_its_work() {
    let mut fleet = fleet(1, 1).await;
    let rpcs = fleet.rpcs.clone();
    let jobs = bonds("found", 8, r#"{"work_ms":2500}"#);
    let work =
        actix_rt::spawn(
            async move { join_all(jobs.into_iter().map(|job| insist(&rpcs, job))).await },
        );
    until("all tasks run at the endpoint", || async {
        let url = format!("http://{}/tasks", fleet.workers[0].endpoint);
        let Ok(mut reply) = awc::Client::default().get(url).send().await else { return false };
        let body = reply.body().await.unwrap_or_default();
        serde_json::from_slice::<Vec<Value>>(&body).is_ok_and(|tasks| tasks.len() == 8)
    })
    .await;
    fleet.kill("worker-00");
    fleet.start_agent(0).unwrap();
    let states = work.await.unwrap();
    assert!(states.iter().all(|state| state == "STATE_DONE"), "{states:?}");
    check(&fleet);
}

/// Symptom: an owner that was stopped and goes on starts or answers things
/// again. Sequence: SIGSTOP for longer than its ownership, under load, then
/// SIGCONT. Cause: it goes on where it stopped.
#[actix_rt::test]
async fn a_stopped_owner_that_goes_on_does_no_harm() {
    let mut fleet = fleet(2, 3).await;
    let rpcs = fleet.rpcs.clone();
    let jobs = bonds("stopped", 30, r#"{"work_ms":400}"#);
    let work =
        actix_rt::spawn(
            async move { join_all(jobs.into_iter().map(|job| insist(&rpcs, job))).await },
        );
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.signal("entry-0", "STOP");
    tokio::time::sleep(Duration::from_secs(6)).await;
    fleet.signal("entry-0", "CONT");
    let states = work.await.unwrap();
    assert!(states.iter().all(|state| state == "STATE_DONE"), "{states:?}");
    check(&fleet);
    assert_eq!(fleet.end(), Vec::<String>::new());
}

/// Symptom: a shutdown cuts off calls. Sequence: SIGTERM of the owner and of an
/// agent while their work is in flight; callers do not retry. Cause: the
/// process ends with what it carries.
#[actix_rt::test]
async fn sigterm_cuts_off_no_call() {
    let mut fleet = fleet(2, 3).await;
    let caller = Caller::new(KEY);
    let rpc = fleet.rpcs[0].clone();
    let work = actix_rt::spawn(async move {
        let jobs = bonds("term", 20, r#"{"work_ms":700}"#);
        let calls = jobs.into_iter().map(|job| {
            let (caller, rpc) = (caller.clone(), rpc.clone());
            async move { caller.call(&rpc, "Submit", &job.body()).await }
        });
        join_all(calls).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.signal("entry-0", "TERM");
    fleet.signal("worker-00", "TERM");
    let replies = work.await.unwrap();
    let done = |reply: &&Result<(u16, Value), String>| matches!(reply, Ok((200, reply)) if reply["state"] == "STATE_DONE");
    assert_eq!(replies.iter().filter(done).count(), 20, "{replies:?}");
    let codes = ["entry-0", "worker-00"].map(|name| fleet.wait(name, Duration::from_secs(20)));
    assert_eq!(codes, [Some(0), Some(0)]);
    check(&fleet);
}

/// Symptom: a stranger's connection harms the fleet. Sequence: garbage and half
/// a handshake come to the entry's port for other processes. Cause: work is
/// done for a peer before it has proved anything.
#[actix_rt::test]
async fn strangers_harm_nobody_and_keys_do_not_show() {
    let mut fleet = fleet(1, 1).await;
    let listen = fleet.entry_listen[0].clone();
    for _ in 0..20 {
        let mut stream = TcpStream::connect(&listen).unwrap();
        stream.write_all(&[0xff; 4096]).unwrap();
        let _silent = TcpStream::connect(&listen).unwrap();
    }
    let job = Submission::new(TEAM, "after", "hello");
    assert_eq!(insist(&fleet.rpcs, job).await, "STATE_DONE");
    let metrics = metrics(&fleet.rpcs[0]).await;
    let refused = metrics.lines().find(|line| line.starts_with("quincewheel_peer_refused "));
    let refused: u64 = refused.unwrap().split(' ').nth(1).unwrap().parse().unwrap();
    assert!(refused >= 20, "{refused} refused");
    assert_eq!(fleet.end(), Vec::<String>::new());
    let logs = fleet.logs().unwrap();
    assert!(logs.contains("\"step\":\"accept\""), "the reason is logged");
    for secret in [FLEET_KEY, OPERATOR_KEY, KEY] {
        assert!(!logs.contains(secret), "a key is in the logs");
    }
}

async fn metrics(rpc: &str) -> String {
    let client = awc::Client::default();
    let mut reply = client.get(format!("http://{rpc}/metrics")).send().await.unwrap();
    String::from_utf8(reply.body().await.unwrap().to_vec()).unwrap()
}
