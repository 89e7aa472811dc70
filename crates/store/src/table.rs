use std::time::Duration;

use awc::Client;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::op::{Op, Page, Reply};

/// Maximum size of a reply, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// A client of the transactional table service.
pub struct Table {
    client: Client,
    address: String,
    timeout: Duration,
}

#[derive(Deserialize)]
struct Version {
    version: u64,
}

impl Table {
    /// Creates a client of the service at `address`. Calls without a reply fail as
    /// unclear after `timeout`.
    pub fn open(address: &str, timeout: Duration) -> Table {
        let client = Client::builder().timeout(timeout).finish();
        Table { client, address: address.to_owned(), timeout }
    }

    /// Performs a call.
    pub async fn call(&self, op: &Op) -> Result<Reply, Error> {
        match op {
            Op::Read(read) => {
                let page: Page = self.post("read", "/table/read", read).await?;
                Ok(Reply::Page(page))
            }
            Op::Commit(commit) => {
                let version: Version = self.post("commit", "/table/commit", commit).await?;
                Ok(Reply::Committed(version.version))
            }
        }
    }

    async fn post<T: DeserializeOwned>(
        &self,
        step: &'static str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let unclear = |detail: String| Error::Unclear { step, peer: self.address.clone(), detail };
        let exchange = async {
            let url = format!("http://{}{path}", self.address);
            let body = serde_json::to_vec(body).expect("store calls are plain data");
            let request = self.client.post(url).content_type("application/json");
            let mut reply = request.send_body(body).await.map_err(|e| unclear(e.to_string()))?;
            let bytes =
                reply.body().limit(MAX_REPLY_BYTES).await.map_err(|e| unclear(e.to_string()))?;
            let text = || String::from_utf8_lossy(&bytes).into_owned();
            match reply.status().as_u16() {
                200 => serde_json::from_slice(&bytes).map_err(|e| unclear(e.to_string())),
                409 => Err(Error::Conflict { key: text() }),
                429 | 503 => {
                    Err(Error::Refused { step, peer: self.address.clone(), detail: text() })
                }
                status => Err(unclear(format!("status {status}: {}", text()))),
            }
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unclear(format!("no reply within {} ms", self.timeout.as_millis()))),
        }
    }
}
