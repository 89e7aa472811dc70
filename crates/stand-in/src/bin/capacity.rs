//! Takes the measurements that docs/CAPACITY.md is worked out from: a real
//! entry process that owns its shard, with agents that only announce
//! themselves and beat, all over loopback.
//!
//!     cargo build --release --workspace && target/release/capacity

use std::time::Duration;

use awc::Client;
use quincewheel_stand_in::caller::{Caller, sha256};
use quincewheel_stand_in::fleet::{FLEET_KEY, Fleet, OPERATOR_KEY, address};
use quincewheel_wire::{Attempt, Frame, Hello, Key, Member, Role};
use serde_json::{Value, json};

/// Clock ticks a second in /proc/*/stat.
const TICKS: f64 = 100.0;
const WINDOW: Duration = Duration::from_secs(10);
const BEAT: Duration = Duration::from_millis(400);

fn main() {
    actix_rt::System::new().block_on(run());
}

async fn run() {
    let fleet = Fleet::spawn(2, 1, true).expect("run cargo build --release --workspace first");
    let operator = Caller::new(OPERATOR_KEY);
    let owner = owner(&fleet, &operator).await;
    println!("owner with N agents: over {} s of idling", WINDOW.as_secs());
    println!(
        "{:>6} {:>9} {:>10} {:>12} {:>12} {:>12}",
        "agents", "cpu %", "rss KiB", "frames/s", "bytes/s", "commits/s"
    );
    let mut agents = Vec::new();
    for count in [0, 50, 100, 200, 400, 600] {
        while agents.len() < count {
            let index = agents.len();
            let to = fleet.entry_listen[owner].clone();
            agents.push(actix_rt::spawn(async move { agent(index, &to).await }));
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        row(&fleet, owner, count).await;
    }
    own_agent(&fleet).await;
    changes(&fleet, &operator, owner).await;
}

async fn owner(fleet: &Fleet, operator: &Caller) -> usize {
    loop {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let answer = operator.call(&fleet.rpcs[0], "GetPool", &json!({})).await;
        if let Ok((200, pool)) = answer
            && pool["workers"].as_array().is_some_and(|workers| workers.len() == 1)
        {
            return usize::from(pool["owner"].as_str().unwrap_or_default().starts_with("entry-1"));
        }
    }
}

/// An agent as far as the owner sees one that has nothing to do.
async fn agent(index: usize, owner: &str) {
    let key = Key::new(FLEET_KEY.as_bytes());
    let worker = format!("extra-{index:04}");
    let hello = Hello { role: Role::Agent, name: worker.clone(), incarnation: 1 };
    let link = quincewheel_wire::dial(owner, &key, &hello).await.expect("the owner listens");
    let (mut sender, mut receiver) = link.split();
    let member = Member {
        worker,
        zone: format!("zone-{}", index % 7),
        rack: format!("rack-{}", index / 3),
        accelerators: 8,
        slots: 32,
        address: address(),
        leaving: false,
    };
    let announce = Frame::Announce { epoch: 1, member, latest: Attempt(0), inventory: Vec::new() };
    sender.send(&announce).await.expect("the owner listens");
    let mut beats = tokio::time::interval(BEAT);
    let mut configuration = 0;
    loop {
        tokio::select! {
            _ = beats.tick() => {
                let beat = Frame::Beat { epoch: 1, configuration };
                if sender.send(&beat).await.is_err() {
                    return;
                }
            }
            frame = receiver.next() => match frame {
                Ok((Frame::Configure { version, .. }, _)) => configuration = version,
                Ok(_) => {}
                Err(_) => return,
            }
        }
    }
}

async fn row(fleet: &Fleet, owner: usize, agents: usize) {
    let name = format!("entry-{owner}");
    let (cpu, traffic, commits) = sample(fleet, &name, owner).await;
    tokio::time::sleep(WINDOW).await;
    let (cpu2, traffic2, commits2) = sample(fleet, &name, owner).await;
    let seconds = WINDOW.as_secs_f64();
    println!(
        "{agents:>6} {:>9.2} {:>10} {:>12.0} {:>12.0} {:>12.1}",
        (cpu2 - cpu) / TICKS / seconds * 100.0,
        fleet.memory(&name).unwrap_or(0),
        (traffic2.0 - traffic.0) / seconds,
        (traffic2.1 - traffic.1) / seconds,
        (commits2 - commits) / seconds
    );
}

async fn sample(fleet: &Fleet, name: &str, owner: usize) -> (f64, (f64, f64), f64) {
    let traffic = traffic(&fleet.rpcs[owner]).await;
    (fleet.ticks(name).unwrap_or(0) as f64, traffic, commits(fleet).await)
}

/// Frames and bytes so far, both ways, by the process's own count.
async fn traffic(page: &str) -> (f64, f64) {
    let mut reply =
        Client::default().get(format!("http://{page}/metrics")).send().await.expect("up");
    let page = String::from_utf8_lossy(&reply.body().await.expect("up")).into_owned();
    let value = |name: &str| -> f64 {
        let line = page.lines().find(|line| line.contains(name) && !line.starts_with('#'));
        line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).unwrap_or(0.0)
    };
    let bytes = value("peer_sent_bytes ") + value("peer_received_bytes ");
    (value("peer_frames "), bytes)
}

async fn commits(fleet: &Fleet) -> f64 {
    let url = format!("http://{}/counts", fleet.platform);
    let mut reply = Client::default().get(url).send().await.expect("the platform answers");
    let body = reply.body().await.expect("the platform answers");
    let counts: Value = serde_json::from_slice(&body).expect("counts");
    counts["commits"].as_f64().expect("a number")
}

/// The real agent, idle.
async fn own_agent(fleet: &Fleet) {
    let (ticks, before) = (fleet.ticks("worker-00"), traffic(&fleet.workers[0].pages).await);
    tokio::time::sleep(WINDOW).await;
    let (ticks2, after) = (fleet.ticks("worker-00"), traffic(&fleet.workers[0].pages).await);
    let seconds = WINDOW.as_secs_f64();
    let cpu = (ticks2.unwrap_or(0) - ticks.unwrap_or(0)) as f64 / TICKS / seconds * 100.0;
    println!(
        "\nreal agent, idle: cpu {cpu:.2} %, rss {} KiB, {:.1} frames/s, {:.0} bytes/s",
        fleet.memory("worker-00").unwrap_or(0),
        (after.0 - before.0) / seconds,
        (after.1 - before.1) / seconds
    );
}

/// What one configuration change costs the owner, and how long it takes until
/// all its processes report it.
async fn changes(fleet: &Fleet, operator: &Caller, owner: usize) {
    let rpc = &fleet.rpcs[owner];
    let before = traffic(rpc).await;
    let began = std::time::Instant::now();
    let count = 50;
    let mut slowest = Duration::ZERO;
    for index in 0..count {
        let team = format!("team-{index}");
        let body = json!({ "team": team, "keyDigest": sha256(&team) });
        let (status, reply) = operator.call(rpc, "PutTeam", &body).await.expect("answers");
        assert_eq!(status, 200, "{reply}");
        let accepted = std::time::Instant::now();
        loop {
            let view = operator.call(rpc, "GetConfiguration", &json!({})).await.expect("answers").1;
            let all = view["processes"].as_array().cloned().unwrap_or_default();
            if all.iter().all(|process| process["configuration"] == view["configuration"]) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        slowest = slowest.max(accepted.elapsed());
    }
    let after = traffic(rpc).await;
    let idle = (after.1 - before.1) / began.elapsed().as_secs_f64();
    println!(
        "\n{count} configuration changes, 601 agents and one more entry: the slowest was reported \
         by all after {} ms; {:.0} bytes/s meanwhile",
        slowest.as_millis(),
        idle
    );
}
