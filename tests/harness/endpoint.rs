//! Fake endpoints.

use std::time::Duration;

use quincewheel_grant::{self as grant, End};
use quincewheel_wire::{Attempt, Task};

use super::cluster::{ANY_INCARNATION, Cluster, FRAME_DELAY, Process, Worker};
use super::delivery::Delivery;
use super::ms;

impl Cluster {
    /// Runs a task at the fake endpoint. The payload is the running time in
    /// milliseconds; a leading `x` makes the task ignore requests to checkpoint.
    pub(super) fn run_task(&mut self, index: usize, task: Task) {
        let text = String::from_utf8_lossy(&task.payload).into_owned();
        let work = ms(text.trim_start_matches('x').parse().unwrap_or(0));
        let end = if self.workers[index].fails_all_tasks || text == "fail" {
            End::Failed("this worker fails everything".to_owned())
        } else {
            let result = format!("result of {}", task.request).into_bytes();
            let digest = digest(&result);
            End::Done { result, object: String::new(), digest }
        };
        let delay =
            if self.workers[index].fails_all_tasks { FRAME_DELAY } else { work + FRAME_DELAY };
        for (rank, _) in &task.ranks {
            self.end_task(index, delay, task.attempt, *rank, end.clone());
        }
        self.workers[index].tasks.insert(task.attempt, task);
    }

    pub(super) fn stop_task(&mut self, index: usize, attempt: Attempt, grace: Duration) {
        let Some(task) = self.workers[index].tasks.get(&attempt).cloned() else { return };
        if !grace.is_zero() && task.payload.first() == Some(&b'x') {
            return;
        }
        for (rank, _) in &task.ranks {
            self.end_task(index, ms(20), attempt, *rank, End::Stopped);
        }
    }

    /// Schedules the end of a rank. It is delivered to whichever incarnation of
    /// the agent runs at that time.
    pub(super) fn end_task(
        &mut self,
        index: usize,
        delay: Duration,
        attempt: Attempt,
        rank: u32,
        end: End,
    ) {
        let input = grant::Input::RankEnded { attempt, rank, end };
        self.push(delay, Process::Agent(index), Delivery::Agent(input), None);
        if let Some(pending) = self.queue.get_mut(&(self.now + delay, self.next_id)) {
            pending.incarnation = ANY_INCARNATION;
        }
    }
}

pub(super) fn pass_to_grantor(
    worker: &mut Worker,
    now: Duration,
    input: grant::Input,
) -> Vec<grant::Output> {
    if let grant::Input::RankEnded { attempt, rank, .. } = &input
        && let Some(task) = worker.tasks.get_mut(attempt)
    {
        // The fake may schedule several ends for a rank; only the first counts.
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
