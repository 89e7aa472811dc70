//! Starts a local deployment of Garantías Andinas' shape, submits real work,
//! prints the answers and the pool, ends everything and checks the invariants.

use std::process::ExitCode;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use quincewheel_audit::Checker;
use quincewheel_stand_in::caller::{Caller, Submission, result_text, sha256};
use quincewheel_stand_in::fleet::{Fleet, OPERATOR_KEY};
use serde_json::{Value, json};

const TEAMS: [&str; 4] = ["banco-sierra", "cooperativa-azul", "fianzas-sur", "seguros-costa"];

fn main() -> ExitCode {
    let result = actix_rt::System::new().block_on(run());
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> Result<(), String> {
    let verbose = std::env::args().any(|arg| arg == "--logs");
    let mut fleet = Fleet::spawn(2, 11, !verbose).map_err(|error| error.to_string())?;
    println!("entries: {}; platform: {}; workers: 11", fleet.rpcs.join(", "), fleet.platform);
    let operator = Caller::new(OPERATOR_KEY);
    settle(&operator, &fleet).await?;
    configure(&operator, &fleet).await?;
    work(&fleet).await?;
    show(&operator, &fleet).await?;
    if std::env::args().any(|arg| arg == "--hold") {
        hold(&fleet).await;
    }
    println!("\n== the end ==");
    let bad = fleet.end();
    if !bad.is_empty() {
        return Err(format!("did not end well: {}", bad.join(", ")));
    }
    println!("all entries and agents ended with exit code 0");
    let events = fleet.events().map_err(|error| error.to_string())?;
    let end = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let violations = Checker::run(Duration::from_secs(5), &events, end);
    println!("checker: {} events, {} violations", events.len(), violations.len());
    for violation in &violations {
        println!("  {violation}");
    }
    if violations.is_empty() { Ok(()) } else { Err("invariants were broken".to_owned()) }
}

/// Waits until all workers serve.
async fn settle(operator: &Caller, fleet: &Fleet) -> Result<(), String> {
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        let answer = operator.call(&fleet.rpcs[0], "GetPool", &json!({})).await;
        if let Ok((200, pool)) = answer {
            let workers = pool["workers"].as_array().cloned().unwrap_or_default();
            let serving = workers.iter().filter(|worker| worker["state"] == "serving").count();
            if serving == fleet.workers.len() {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err("the workers did not come up within 30 s".to_owned())
}

async fn configure(operator: &Caller, fleet: &Fleet) -> Result<(), String> {
    println!("\n== configuration ==");
    for (index, team) in TEAMS.iter().enumerate() {
        let rpc = &fleet.rpcs[index % 2];
        let body = json!({
            "team": team,
            "expectedVersion": "0",
            "keyDigest": sha256(&format!("{team}-key")),
        });
        println!("PutTeam {team}: {}", expect(operator.call(rpc, "PutTeam", &body).await)?);
    }
    let body = json!({
        "team": TEAMS[0],
        "expectedVersion": "0",
        "shares": [{ "shape": shape(3, 8, "ADJACENCY_RACK"), "count": 1 }],
    });
    let answer = operator.call(&fleet.rpcs[0], "PutGuarantee", &body).await;
    println!("PutGuarantee {} (a rack of three workers): {}", TEAMS[0], expect(answer)?);
    let body = json!({
        "team": TEAMS[1],
        "expectedVersion": "0",
        "shares": [{ "shape": shape(1, 8, "ADJACENCY_WORKER"), "count": 9 }],
    });
    let (status, refusal) = operator.call(&fleet.rpcs[0], "PutGuarantee", &body).await?;
    println!("PutGuarantee {} (too much): {status} {}", TEAMS[1], refusal["message"]);
    // A change reaches every process within a beat or two.
    tokio::time::sleep(Duration::from_millis(600)).await;
    Ok(())
}

fn shape(tasks: u32, accelerators: u32, adjacency: &str) -> Value {
    json!({ "tasks": tasks, "accelerators": accelerators, "adjacency": adjacency })
}

async fn work(fleet: &Fleet) -> Result<(), String> {
    println!("\n== work ==");
    let team = TEAMS[0];
    let caller = Caller::new(&format!("{team}-key"));
    let bond = Submission::new(team, "bond-1001", "performance bond, tender 88-2026");
    for rpc in &fleet.rpcs {
        let reply = expect(caller.call(rpc, "Submit", &bond.body()).await)?;
        println!(
            "bond-1001 (non-idempotent) at {rpc}: {} {:?}, starts {}",
            reply["state"],
            result_text(&reply),
            reply["attempts"]
        );
    }
    let mut other = bond.clone();
    other.payload = "a different bond".to_owned();
    let (status, reply) = caller.call(&fleet.rpcs[0], "Submit", &other.body()).await?;
    println!("bond-1001 with another body: {status} {}", reply["message"]);
    let mut gang = Submission::new(team, "scoring-7", r#"{"work_ms":300}"#);
    gang.idempotent = true;
    gang.shape = (3, 8, "ADJACENCY_RACK");
    let reply = expect(caller.call(&fleet.rpcs[1], "Submit", &gang.body()).await)?;
    println!("scoring-7 (gang of 3 workers in a rack): {}", reply["state"]);
    let mut batch = Vec::new();
    for index in 0..60 {
        let team = TEAMS[index % 4];
        let caller = Caller::new(&format!("{team}-key"));
        let mut job = Submission::new(team, &format!("screen-{index}"), r#"{"work_ms":40}"#);
        job.idempotent = index % 2 == 0;
        let rpc = fleet.rpcs[index % 2].clone();
        batch.push(async move { caller.call(&rpc, "Submit", &job.body()).await });
    }
    let began = Instant::now();
    let replies = futures_util::future::join_all(batch).await;
    let done = replies.into_iter().filter_map(Result::ok);
    let done = done.filter(|(_, reply)| reply["state"] == "STATE_DONE").count();
    println!("60 screenings of four teams: {done} done in {} ms", began.elapsed().as_millis());
    let mut long = Submission::new(team, "model-1", r#"{"work_ms":60000}"#);
    long.wait = false;
    let reply = expect(caller.call(&fleet.rpcs[0], "Submit", &long.body()).await)?;
    println!("model-1 (not waited for): {}", reply["state"]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let name = json!({ "team": team, "requestId": "model-1" });
    let reply = expect(caller.call(&fleet.rpcs[1], "Cancel", &name).await)?;
    println!("model-1 cancelled at the other entry: {}", reply["state"]);
    Ok(())
}

async fn show(operator: &Caller, fleet: &Fleet) -> Result<(), String> {
    println!("\n== pool ==");
    let pool = expect(operator.call(&fleet.rpcs[1], "GetPool", &json!({})).await)?;
    println!("owner {} epoch {}", pool["owner"], pool["epoch"]);
    for worker in pool["workers"].as_array().into_iter().flatten() {
        println!(
            "{} {} {} {}/{} free, {}",
            worker["worker"].as_str().unwrap_or_default(),
            worker["zone"].as_str().unwrap_or_default(),
            worker["rack"].as_str().unwrap_or_default(),
            worker["free"],
            worker["accelerators"],
            worker["state"].as_str().unwrap_or_default()
        );
    }
    let view = expect(operator.call(&fleet.rpcs[0], "GetConfiguration", &json!({})).await)?;
    println!("configuration in force: {} everywhere: {}", view["configuration"], {
        let all = view["processes"].as_array().cloned().unwrap_or_default();
        all.iter().all(|process| process["configuration"] == view["configuration"])
    });
    for name in ["entry-0", "entry-1", "worker-00"] {
        println!("resident memory of {name}: {} KiB", fleet.memory(name).unwrap_or(0));
    }
    Ok(())
}

/// Leaves the deployment up until Enter is pressed, ten minutes at most.
async fn hold(fleet: &Fleet) {
    println!("\nheld for ten minutes or until Enter; try:");
    println!(
        "curl -s http://{}/quincewheel.v1.Scheduler/Submit -H 'Content-Type: application/json' \\\n  \
         -H 'Authorization: Bearer {}-key' -d '{}'",
        fleet.rpcs[0],
        TEAMS[0],
        Submission::new(TEAMS[0], "bond-2001", "bid bond").body()
    );
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let _ = tell.send(std::io::stdin().read_line(&mut String::new()));
    });
    let end = Instant::now() + Duration::from_secs(600);
    while told.try_recv().is_err() && Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn expect(answer: Result<(u16, Value), String>) -> Result<Value, String> {
    match answer? {
        (200, value) => Ok(value),
        (status, value) => Err(format!("status {status}: {value}")),
    }
}
