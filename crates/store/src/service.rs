use std::io;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use quincewheel_ring as ring;

use crate::error::Error;
use crate::op::{Op, Reply};
use crate::table::Table;

/// A running thread that calls the table service for another thread.
pub struct Service {
    calls: ring::Sender<(u64, Op)>,
}

/// Calls that may wait. The owner has one commit and one read in flight.
const CALLS: usize = 64;

impl Service {
    /// Starts the thread. Answers go to `answers`, each with its call's name.
    pub fn spawn<T: Send + Sync + 'static>(
        address: &str,
        timeout: Duration,
        answers: ring::Sender<T>,
        wrap: fn(u64, Result<Reply, Error>) -> T,
    ) -> io::Result<Service> {
        let (calls, incoming) = ring::open::<(u64, Op)>(CALLS);
        let address = address.to_owned();
        thread::Builder::new().name("store".to_owned()).spawn(move || {
            let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
            runtime.block_on(async move {
                let table = Rc::new(Table::open(&address, timeout));
                let answers = Rc::new(answers);
                while let Some((id, op)) = incoming.recv().await {
                    let (table, answers) = (Rc::clone(&table), Rc::clone(&answers));
                    actix_rt::spawn(async move {
                        let result = table.call(&op).await;
                        answers.send(wrap(id, result)).await;
                    });
                }
            });
        })?;
        Ok(Service { calls })
    }

    /// Calls the table without waiting. False if too many calls wait.
    pub fn call(&self, id: u64, op: Op) -> bool {
        self.calls.try_send((id, op)).is_ok()
    }
}
