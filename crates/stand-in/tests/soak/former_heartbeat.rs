//! Heartbeats of former incarnations of a worker, which arrive late.

use std::time::Duration;

use serde_json::Value;

/// The last heartbeats of a worker's current incarnation and of the one before it.
#[derive(Default)]
pub struct FormerHeartbeat {
    current: Option<(String, Value)>,
    former: Option<(String, Value)>,
}

impl FormerHeartbeat {
    /// Records a heartbeat that the worker sends now.
    pub fn record(&mut self, url: &str, msg: &Value) {
        if self.current.as_ref().is_some_and(|(known, _)| known != url) {
            self.former = self.current.take();
        }
        self.current = Some((url.to_owned(), msg.clone()));
    }

    /// Sends the former incarnation's heartbeat until it has arrived once. Returns how many have
    /// arrived.
    pub async fn deliver(&mut self, client: &awc::Client, timeout: Duration) -> u64 {
        let Some((url, msg)) = &self.former else { return 0 };
        let sent = client.put(url.as_str()).timeout(timeout).send_json(msg).await;
        let arrived = sent.is_ok();
        if arrived {
            self.former = None;
        }
        u64::from(arrived)
    }
}
