//! The endpoints' fake.

use std::time::Duration;

use quincewheel_grant::{self as grant, End};
use quincewheel_wire::{Attempt, Task};

use super::delivery::Delivery;
use super::ms;
use super::world::{ANY, DELAY, Who, Worker, World};

impl World {
    /// The endpoint's fake: payloads are the milliseconds that a task takes; a
    /// leading `x` makes it ignore requests to checkpoint.
    pub(super) fn run_task(&mut self, at: usize, task: Task) {
        let text = String::from_utf8_lossy(&task.payload).into_owned();
        let work = ms(text.trim_start_matches('x').parse().unwrap_or(0));
        let end = if self.workers[at].failing || text == "fail" {
            End::Failed("this worker fails everything".to_owned())
        } else {
            let result = format!("result of {}", task.request).into_bytes();
            let digest = digest(&result);
            End::Done { result, object: String::new(), digest }
        };
        let delay = if self.workers[at].failing { DELAY } else { work + DELAY };
        for (rank, _) in &task.ranks {
            self.end_task(at, delay, task.attempt, *rank, end.clone());
        }
        self.workers[at].tasks.insert(task.attempt, task);
    }

    pub(super) fn halt_task(&mut self, at: usize, attempt: Attempt, grace: Duration) {
        let Some(task) = self.workers[at].tasks.get(&attempt).cloned() else { return };
        if !grace.is_zero() && task.payload.first() == Some(&b'x') {
            return;
        }
        for (rank, _) in &task.ranks {
            self.end_task(at, ms(20), attempt, *rank, End::Stopped);
        }
    }

    /// Tells whatever agent runs there by then.
    pub(super) fn end_task(
        &mut self,
        at: usize,
        delay: Duration,
        attempt: Attempt,
        rank: u32,
        end: End,
    ) {
        let input = grant::Input::RankEnded { attempt, rank, end };
        self.push(delay, Who::Agent(at), Delivery::Agent(input), None);
        if let Some(pending) = self.queue.get_mut(&(self.now + delay, self.next)) {
            pending.incarnation = ANY;
        }
    }
}

pub(super) fn grantor_handle(
    worker: &mut Worker,
    now: Duration,
    input: grant::Input,
) -> Vec<grant::Output> {
    if let grant::Input::RankEnded { attempt, rank, .. } = &input
        && let Some(task) = worker.tasks.get_mut(attempt)
    {
        // A rank ends once, however often the fake says so.
        if !task.ranks.iter().any(|(r, _)| r == rank) {
            return Vec::new();
        }
        if task.ranks.len() == 1 {
            worker.tasks.remove(attempt);
        } else {
            task.ranks.retain(|(r, _)| r != rank);
        }
    }
    worker.grantor.as_mut().expect("checked by the caller").handle(now, input)
}

fn digest(bytes: &[u8]) -> String {
    quincewheel_stand_in::caller::sha256(&String::from_utf8_lossy(bytes))
}
