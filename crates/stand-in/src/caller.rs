//! A caller of the remote procedures, in JSON over HTTP.

use std::time::Duration;

use awc::Client;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// Calls as one team or as an operator.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    key: String,
}

/// A job, as the stand-ins submit it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The team.
    pub team: String,
    /// The request id.
    pub request: String,
    /// Whether a second run would do no harm.
    pub idempotent: bool,
    /// Tasks, accelerators per task, and adjacency as the schema names it.
    pub shape: (u32, u32, &'static str),
    /// Handed to the endpoint.
    pub payload: String,
    /// Milliseconds left.
    pub deadline_ms: u64,
    /// Wait for the outcome.
    pub wait: bool,
    /// Start first within the guarantee.
    pub urgent: bool,
    /// No other call with this request id was made.
    pub first: bool,
}

impl Submission {
    /// A job of one task with one accelerator that waits for its outcome.
    pub fn new(team: &str, request: &str, payload: &str) -> Submission {
        Submission {
            team: team.to_owned(),
            request: request.to_owned(),
            idempotent: false,
            shape: (1, 1, "ADJACENCY_ANY"),
            payload: payload.to_owned(),
            deadline_ms: 20_000,
            wait: true,
            urgent: false,
            first: true,
        }
    }

    /// The request's body.
    pub fn body(&self) -> Value {
        json!({
            "team": self.team,
            "requestId": self.request,
            "idempotent": self.idempotent,
            "shape": {
                "tasks": self.shape.0,
                "accelerators": self.shape.1,
                "adjacency": self.shape.2,
            },
            "urgent": self.urgent,
            "deadlineMs": self.deadline_ms.to_string(),
            "payload": STANDARD.encode(&self.payload),
            "wait": self.wait,
            "firstTry": self.first,
        })
    }
}

impl Caller {
    /// A caller with this bearer key.
    pub fn new(key: &str) -> Caller {
        let client = Client::builder().timeout(Duration::from_secs(60)).finish();
        Caller { client, key: key.to_owned() }
    }

    /// Calls `method` at the entry at `rpc`. Gives the status and the body.
    pub async fn call(
        &self,
        rpc: &str,
        method: &str,
        body: &Value,
    ) -> Result<(u16, Value), String> {
        let url = format!("http://{rpc}/quincewheel.v1.Scheduler/{method}");
        let request = self.client.post(url).bearer_auth(&self.key);
        let request = request.content_type("application/json");
        let mut reply = request.send_body(body.to_string()).await.map_err(|e| e.to_string())?;
        let bytes = reply.body().limit(16 << 20).await.map_err(|e| e.to_string())?;
        let value = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok((reply.status().as_u16(), value))
    }
}

/// SHA-256 of a text, in hexadecimal.
pub fn sha256(text: &str) -> String {
    quincewheel_wire::sha256(text.as_bytes())
}

/// A result's bytes as text.
pub fn result_text(reply: &Value) -> String {
    let bytes = STANDARD.decode(reply["result"].as_str().unwrap_or_default());
    String::from_utf8_lossy(&bytes.unwrap_or_default()).into_owned()
}
