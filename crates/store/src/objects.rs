use std::time::Duration;

use awc::Client;
use bytes::Bytes;

use crate::error::Error;

/// Maximum size of an object that is read, in bytes.
const MAX_OBJECT_BYTES: usize = 256 << 20;

/// A client of the object store.
pub struct Objects {
    client: Client,
    address: String,
}

impl Objects {
    /// Creates a client of the store at `address`. Calls fail as unclear after
    /// `timeout`.
    pub fn open(address: &str, timeout: Duration) -> Objects {
        let client = Client::builder().timeout(timeout).finish();
        Objects { client, address: address.to_owned() }
    }

    /// Writes an object. Idempotent.
    pub async fn put(&self, name: &str, bytes: Bytes) -> Result<(), Error> {
        let request = self.client.put(self.url(name));
        let reply = request.send_body(bytes).await;
        self.check_status("put object", reply.map(|reply| reply.status().as_u16()))
    }

    /// Reads an object.
    pub async fn get(&self, name: &str) -> Result<Bytes, Error> {
        let step = "get object";
        let mut reply = match self.client.get(self.url(name)).send().await {
            Ok(reply) => reply,
            Err(error) => return Err(self.unclear(step, error.to_string())),
        };
        self.check_status(step, Ok(reply.status().as_u16()))?;
        let body = reply.body().limit(MAX_OBJECT_BYTES).await;
        body.map_err(|error| self.unclear(step, error.to_string()))
    }

    fn url(&self, name: &str) -> String {
        format!("http://{}/objects/{name}", self.address)
    }

    fn check_status(
        &self,
        step: &'static str,
        status: Result<u16, awc::error::SendRequestError>,
    ) -> Result<(), Error> {
        match status {
            Ok(200) => Ok(()),
            Ok(status) => {
                let detail = format!("status {status}");
                Err(Error::Refused { step, peer: self.address.clone(), detail })
            }
            Err(error) => Err(self.unclear(step, error.to_string())),
        }
    }

    fn unclear(&self, step: &'static str, detail: String) -> Error {
        Error::Unclear { step, peer: self.address.clone(), detail }
    }
}
