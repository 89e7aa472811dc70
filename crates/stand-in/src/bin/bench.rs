//! Measures the whole path against a floor taken in the same run: what its
//! table commits and its endpoint call cost when made bare.
//!
//!     cargo build --release --workspace && target/release/bench

use std::time::{Duration, Instant};

use awc::Client;
use futures_util::future::join_all;
use quincewheel_stand_in::caller::{Caller, Submission, sha256};
use quincewheel_stand_in::fleet::{Fleet, OPERATOR_KEY};
use serde_json::{Value, json};

const TEAM: &str = "banco";
const KEY: &str = "banco-key";
const SAMPLES: usize = 400;
/// Table commits of one non-idempotent request that is waited for: its start
/// and its outcome.
const COMMITS: u32 = 2;

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let fleet = Fleet::spawn(2, 11, true).expect("run cargo build --release --workspace first");
    let operator = Caller::new(OPERATOR_KEY);
    let owner = settle(&fleet, &operator).await;
    let other = fleet.rpcs.iter().find(|rpc| **rpc != owner).expect("two entries").clone();
    idle(&fleet).await;
    for delay in [0, 2] {
        println!("\n== the table answers {delay} ms late ==");
        let faults = json!({ "slow_ms": delay }).to_string();
        let url = format!("http://{}/faults", fleet.platform);
        Client::default().post(url).send_body(faults).await.expect("the platform answers");
        latency(&fleet, &owner, &other, delay).await;
        load(&fleet, delay).await;
    }
    for name in ["entry-0", "entry-1", "worker-00"] {
        println!("resident memory of {name:<19} {:>6} KiB", fleet.memory(name).unwrap_or(0));
    }
}

async fn latency(fleet: &Fleet, owner: &str, other: &str, delay: u64) {
    let commit = median(commits(fleet).await);
    let call = median(endpoint_calls(fleet, delay).await);
    let floor = commit * COMMITS + call;
    println!("one table commit, bare                 {}", show(commit));
    println!("one endpoint call, bare                {}", show(call));
    println!("floor: {COMMITS} commits + 1 call              {}", show(floor));
    for (name, rpc) in [("at the owner", owner), ("at the other entry", other)] {
        let bond = median(requests(rpc, &format!("{name}-{delay}"), false).await);
        let ratio = bond.as_secs_f64() / floor.as_secs_f64();
        println!("non-idempotent, {name:<22} {}  ratio {ratio:.2}", show(bond));
        let screen = median(requests(rpc, &format!("{name}-{delay}"), true).await);
        let added = screen.saturating_sub(call);
        println!("idempotent, {name:<26} {}  {} added", show(screen), show(added));
    }
}

async fn settle(fleet: &Fleet, operator: &Caller) -> String {
    let mut owner = None;
    while owner.is_none() {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let answer = operator.call(&fleet.rpcs[0], "GetPool", &json!({})).await;
        let Ok((200, pool)) = answer else { continue };
        let serving = |worker: &&Value| worker["state"] == "serving";
        let workers = pool["workers"].as_array().cloned().unwrap_or_default();
        if workers.iter().filter(serving).count() == fleet.workers.len() {
            let name = pool["owner"].as_str().unwrap_or_default();
            owner = Some(usize::from(name.starts_with("entry-1")));
        }
    }
    let body = json!({ "team": TEAM, "keyDigest": sha256(KEY) });
    operator.call(&fleet.rpcs[0], "PutTeam", &body).await.expect("the team is created");
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.rpcs[owner.unwrap_or(0)].clone()
}

/// Control bytes a second of idle daemons, both ways, by their own count.
async fn idle(fleet: &Fleet) {
    let mut pages = vec![fleet.rpcs[0].clone(), fleet.rpcs[1].clone()];
    pages.push(fleet.workers[0].pages.clone());
    let mut before = Vec::new();
    for page in &pages {
        before.push(bytes(page).await);
    }
    let time = Duration::from_secs(10);
    tokio::time::sleep(time).await;
    for ((page, before), name) in pages.iter().zip(before).zip(["entry-0", "entry-1", "agent"]) {
        let rate = (bytes(page).await - before) as f64 / time.as_secs_f64();
        println!("idle control bytes a second, {name:<10} {rate:>6.0} (11 agents)");
    }
}

async fn bytes(address: &str) -> u64 {
    let client = Client::default();
    let mut reply = client.get(format!("http://{address}/metrics")).send().await.expect("metrics");
    let page = reply.body().await.expect("metrics");
    let page = String::from_utf8_lossy(&page).into_owned();
    let counts = page
        .lines()
        .filter(|line| line.contains("peer_sent_bytes ") || line.contains("peer_received_bytes "));
    counts.filter_map(|line| line.split(' ').nth(1)?.parse::<u64>().ok()).sum()
}

async fn commits(fleet: &Fleet) -> Vec<Duration> {
    let client = Client::default();
    let url = format!("http://{}/table/commit", fleet.platform);
    let row = "x".repeat(400);
    let mut times = Vec::new();
    for index in 0..SAMPLES {
        let put = json!([{ "key": format!("bench/{index}"), "value": row }]);
        let body = json!({ "expect": [], "put": put, "delete": [] }).to_string();
        let began = Instant::now();
        let mut reply = client.post(&url).send_body(body).await.expect("the table answers");
        reply.body().await.expect("the table answers");
        times.push(began.elapsed());
    }
    times
}

async fn endpoint_calls(fleet: &Fleet, round: u64) -> Vec<Duration> {
    let client = Client::default();
    let url = format!("http://{}/tasks", fleet.workers[10].endpoint);
    let mut times = Vec::new();
    for index in 0..SAMPLES {
        let body = json!({
            "id": format!("bench-{round}-{index}"), "rank": 0, "accelerators": 1,
            "payload": "aGVsbG8=", "task": {}, "wait_ms": 1000,
        });
        let began = Instant::now();
        let mut reply = client.post(&url).send_body(body.to_string()).await.expect("answers");
        reply.body().await.expect("the endpoint answers");
        times.push(began.elapsed());
    }
    times
}

async fn requests(rpc: &str, prefix: &str, idempotent: bool) -> Vec<Duration> {
    let caller = Caller::new(KEY);
    let prefix = prefix.replace(' ', "-");
    let mut times = Vec::new();
    for index in 0..SAMPLES {
        let request = format!("{prefix}-{idempotent}-{index}");
        let job = Submission { idempotent, ..Submission::new(TEAM, &request, "hello") };
        let began = Instant::now();
        let (status, reply) = caller.call(rpc, "Submit", &job.body()).await.expect("answers");
        times.push(began.elapsed());
        assert_eq!((status, reply["state"].as_str()), (200, Some("STATE_DONE")), "{reply}");
    }
    times
}

/// Table transactions per 1,000 non-idempotent requests with many callers.
async fn load(fleet: &Fleet, delay: u64) {
    for callers in [16, 64, 256] {
        let total = 4096;
        let before = table_commits(fleet).await;
        let began = Instant::now();
        let work = (0..callers).map(|caller| {
            let rpc = fleet.rpcs[caller % 2].clone();
            async move {
                let client = Caller::new(KEY);
                for index in 0..total / callers {
                    let request = format!("load-{delay}-{callers}-{caller}-{index}");
                    let job = Submission::new(TEAM, &request, "hello");
                    let answer = client.call(&rpc, "Submit", &job.body()).await;
                    assert!(matches!(answer, Ok((200, _))), "{answer:?}");
                }
            }
        });
        join_all(work).await;
        let took = began.elapsed();
        let commits = table_commits(fleet).await - before;
        println!(
            "{callers:>4} callers: {:>6.0} requests a second, {:>4} table commits per 1000",
            total as f64 / took.as_secs_f64(),
            commits * 1000 / total as u64
        );
    }
}

async fn table_commits(fleet: &Fleet) -> u64 {
    let url = format!("http://{}/counts", fleet.platform);
    let mut reply = Client::default().get(url).send().await.expect("the platform answers");
    let body = reply.body().await.expect("the platform answers");
    let counts: Value = serde_json::from_slice(&body).expect("counts");
    counts["commits"].as_u64().expect("a number")
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

fn show(time: Duration) -> String {
    format!("{:>7.3} ms", time.as_secs_f64() * 1000.0)
}
