//! The table stops replying to one entry and serves the others.
//!
//! Guards against a client of that entry getting "unclear" after 1.9 s, or a retry delay
//! of a second, while the other entries serve: an entry stored jobs only by its own
//! connection to the table. The submission arrives just after the table stopped replying.
//! Repeated for each entry, since one of them is the owner.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::Client;
use crate::deployment::Deployment;
use crate::kind::Kind;
use crate::proxy::Mode;
use crate::size::Size;

/// Time within which the owner connects to the other entries: it dials within 0.4 s of
/// reading their addresses.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// A submission must be accepted within this time: 100 ms until another entry is called,
/// times ten for unoptimized programs on a busy machine.
const ACCEPT_DEADLINE: Duration = Duration::from_millis(1000);
/// Time between two faults, in which the entry reconnects to the table.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Runs the test and returns the violations.
pub fn run() -> Vec<String> {
    let folder = std::env::temp_dir().join(format!("soak-{}-cut-off", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let deployment = Deployment::open(&folder, Kind::Faults, Size::SMALL, None, None);
    let entries = deployment.entries();
    deployment.check_bad_calls(&entries);
    thread::sleep(CONNECT_TIME);
    let mut violations = Vec::new();
    for (number, entry) in entries.iter().enumerate() {
        deployment.cut_from_table(number, Mode::Silent);
        let key_line = format!("Token {}", deployment.key());
        violations.extend(submit(entry, number, &key_line));
        deployment.cut_from_table(number, Mode::Pass);
        thread::sleep(RECOVERY_TIME);
    }
    drop(deployment);
    let _ = std::fs::remove_dir_all(&folder);
    violations
}

fn submit(entry: &str, number: usize, key_line: &str) -> Option<String> {
    let job = json!({ "spec": "s", "steps": [{ "count": 1, "gpu": 1, "estimateMs": 200 }] });
    let path = format!("/urgent/{:016x}", 0xc07 + number);
    let started_at = Instant::now();
    let status = actix_rt::System::new().block_on(async {
        let mut client = Client::new(&[entry.to_owned()], 0);
        client.status(&path, key_line, &job).await
    });
    let took = started_at.elapsed();
    let failed = status != 200 || took > ACCEPT_DEADLINE;
    failed.then(|| format!("CUT OFF entry-{number}: {status} after {} ms", took.as_millis()))
}
