//! The subcommand that prints the burn report as a table.

use std::process::ExitCode;
use std::time::Duration;

use quincewheel_schema::v1::BurnReply;

/// Fetches the report of the entry at `rpc` and prints it.
pub(crate) fn print(rpc: &str, key: &str) -> ExitCode {
    let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
    match runtime.block_on(fetch(rpc, key)) {
        Ok(reply) => {
            print!("{}", table(&reply));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("quincewheel-entry: burn report from {rpc}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn fetch(rpc: &str, key: &str) -> Result<BurnReply, String> {
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let url = format!("http://{rpc}/quincewheel.v1.Scheduler/GetBurn");
    let request = client.post(url).content_type("application/json").bearer_auth(key);
    let mut reply = request.send_body("{}").await.map_err(|error| error.to_string())?;
    let body = reply.body().await.map_err(|error| error.to_string())?;
    if reply.status().as_u16() != 200 {
        return Err(format!("{}: {}", reply.status(), String::from_utf8_lossy(&body)));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

fn table(reply: &BurnReply) -> String {
    let mut text = format!(
        "{:<20} {:<14} {:>8} {:>9} {:>7} {:>9} {:>9}  alert\n",
        "team", "objective", "target", "good", "bad", "burn 5m", "burn 1h"
    );
    for row in &reply.rows {
        text.push_str(&format!(
            "{:<20} {:<14} {:>7}% {:>9} {:>7} {:>9.2} {:>9.2}  {}\n",
            row.team,
            row.objective,
            row.target_percent,
            row.good,
            row.bad,
            row.burn_short,
            row.burn_long,
            if row.alert { "FIRING" } else { "-" }
        ));
    }
    text.push_str(&format!("counted by: {}\n", reply.entries.join(", ")));
    if !reply.missing.is_empty() {
        text.push_str(&format!("not counted here: {}\n", reply.missing.join(", ")));
    }
    text
}
