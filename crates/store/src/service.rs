use std::io;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use quincewheel_ring as ring;

use crate::error::Error;
use crate::op::{Op, Reply};
use crate::table::Table;

/// A thread that calls the table service on behalf of another thread.
pub struct Service {
    calls: ring::Sender<(u64, Op)>,
}

/// Maximum number of queued calls. The owner has at most one commit and one read in
/// flight.
const MAX_QUEUED_CALLS: usize = 64;

impl Service {
    /// Starts the thread. Replies, each with its call's id, are converted by `wrap`
    /// and sent to `replies`.
    pub fn spawn<T: Send + Sync + 'static>(
        address: &str,
        timeout: Duration,
        replies: ring::Sender<T>,
        wrap: fn(u64, Result<Reply, Error>) -> T,
    ) -> io::Result<Service> {
        let (calls, incoming) = ring::open::<(u64, Op)>(MAX_QUEUED_CALLS);
        let address = address.to_owned();
        thread::Builder::new().name("store".to_owned()).spawn(move || {
            let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
            runtime.block_on(async move {
                let table = Rc::new(Table::open(&address, timeout));
                let replies = Rc::new(replies);
                while let Some((id, op)) = incoming.recv().await {
                    let (table, replies) = (Rc::clone(&table), Rc::clone(&replies));
                    actix_rt::spawn(async move {
                        let result = table.call(&op).await;
                        replies.send(wrap(id, result)).await;
                    });
                }
            });
        })?;
        Ok(Service { calls })
    }

    /// Queues a call without waiting. Returns false if the queue is full.
    pub fn call(&self, id: u64, op: Op) -> bool {
        self.calls.try_send((id, op)).is_ok()
    }
}
