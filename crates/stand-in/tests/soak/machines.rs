//! A stand-in for the platform's list of machines.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use quincewheel_http::{Reply, Request, Server};
use serde_json::{Value, json};

use crate::fleet::{Fleet, Worker};
use crate::worker;

/// One in this many calls is refused.
const CALLS_PER_REFUSAL: u64 = 3;

/// Serves the list of machines of a fleet at `address`.
pub fn spawn(address: &str, fleet: Arc<Mutex<Fleet>>) -> std::io::Result<Server> {
    let calls = Arc::new(AtomicU64::new(0));
    Server::bind("machines", address, move |request| {
        serve(request, Arc::clone(&fleet), calls.fetch_add(1, Ordering::Relaxed))
    })
}

async fn serve(_request: Request, fleet: Arc<Mutex<Fleet>>, call: u64) -> Reply {
    if call % CALLS_PER_REFUSAL == CALLS_PER_REFUSAL - 1 {
        return quincewheel_http::reply(503, "application/json", "{}");
    }
    let fleet = fleet.lock().unwrap();
    let now = fleet.now();
    let machine = |(index, found): (usize, &Worker)| {
        let up = now >= found.unavailable_until;
        json!({
            "machine": format!("m{index}"), "pool": "pool", "zone": "z",
            "state": if up { "up" } else { "down" },
            "id": if up { worker::id(&fleet, index) } else { String::new() },
        })
    };
    let machines: Vec<Value> = fleet.workers.iter().enumerate().map(machine).collect();
    let body = json!({ "machines": machines, "nextToken": "" });
    quincewheel_http::reply(200, "application/json", body.to_string())
}
