//! Throttling of tasks that use idle capacity in favour of tasks that serve requests.
//!
//! Tasks on one worker share more resources than those that are scheduled, so a filling task
//! slows its neighbours down by an amount that cannot be predicted. A serving task reports its
//! tail latency, and the pace of the filling tasks next to it is adjusted to that.

use quincewheel_job::Run;
use quincewheel_policy::next_pace;
use quincewheel_wire::Order;

use crate::entry::Key;
use crate::owner::Owner;
use crate::placement::Phase;
use crate::reports::task_key;

impl Owner {
    /// Sets the pace of the filling tasks on a worker from the load of the serving tasks there.
    /// While the load exceeds the target, the order is repeated with each status, since it may
    /// be lost.
    pub(crate) fn throttle(&mut self, name: &str, running: &[Run]) {
        let Some(load) = self.max_load(running) else { return };
        let mut orders = Vec::new();
        for run in running {
            let Some(entry) = self.jobs.get_mut(&run.task.job) else { continue };
            let fills = entry.step(task_key(&run.task)).is_some_and(|step| step.fills);
            let Some(placed) = entry.runs.get_mut(&task_key(&run.task)).filter(|_| fills) else {
                continue;
            };
            let percent = next_pace(placed.pace, load);
            if placed.phase != Phase::Stopping && (percent != placed.pace || load >= 100) {
                placed.pace = percent;
                orders.push((placed.worker.clone(), run.task.clone(), placed.run, percent));
            }
        }
        for (worker, task, run, percent) in orders {
            self.log(
                "paced",
                &task.job,
                format!("{task} at {percent} percent, load {load} percent"),
            );
            self.send_to_agent(name, Order::Pace { worker, task, run, percent });
        }
    }

    /// Returns the highest latency of the serving tasks in percent of their targets; none if
    /// there is no serving task.
    fn max_load(&self, running: &[Run]) -> Option<u64> {
        let loads = running.iter().filter_map(|run| {
            let step = self.jobs.get(&run.task.job)?.step(task_key(&run.task))?;
            (step.target > 0).then(|| run.gauge * 100 / step.target)
        });
        loads.max()
    }

    /// Returns how many more runs of a perpetual step may be stopped. The limit on missing tasks
    /// also counts those that are missing for other reasons, such as failures.
    pub(crate) fn disruption_budget(&self, id: &str, occurrence: u32, number: u32) -> u32 {
        let Some(entry) = self.jobs.get(id) else { return 0 };
        let Some(step) = entry.job.steps.get(number as usize) else { return 0 };
        let serving = (0..step.count).filter(|&index| {
            let at: Key = (occurrence, number, index);
            let placed = entry.runs.get(&at);
            placed.is_some_and(|placed| {
                let shutting_down =
                    self.agents.get(&placed.agent).is_some_and(|agent| agent.shutdown_requested);
                placed.phase == Phase::Running && placed.percent >= 100 && !shutting_down
            })
        });
        let missing = step.count - serving.count() as u32;
        step.may_miss.saturating_sub(missing)
    }
}
