//! Tasks that fill what others leave idle give way to tasks that serve.
//!
//! Tasks on one worker share more than its room says: one that fills slows its
//! neighbours down, by amounts that nobody knows beforehand. A task that serves
//! tells the tail of its response times, so the share at which its neighbours
//! work follows that figure.

use quincewheel_job::Run;
use quincewheel_policy::next_pace;
use quincewheel_wire::Order;

use crate::entry::{Key, Phase};
use crate::owner::Owner;
use crate::reports::task_key;

impl Owner {
    /// Sets the pace of the tasks that fill one worker by how those that serve
    /// there do. Given again each time while they are over: an order may be lost.
    pub(crate) fn throttle(&mut self, name: &str, running: &[Run]) {
        let Some(load) = self.load(running) else { return };
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

    /// The worst of the tasks that serve, in percent of its target; none if
    /// none serves.
    fn load(&self, running: &[Run]) -> Option<u64> {
        let loads = running.iter().filter_map(|run| {
            let step = self.jobs.get(&run.task.job)?.step(task_key(&run.task))?;
            (step.target > 0).then(|| run.gauge * 100 / step.target)
        });
        loads.max()
    }

    /// How many more runs of a lasting step may be taken away. What the system
    /// takes away is bounded for each step, together with what is away for any
    /// other cause.
    pub(crate) fn disruption_budget(&self, id: &str, occurrence: u32, number: u32) -> u32 {
        let Some(entry) = self.jobs.get(id) else { return 0 };
        let Some(step) = entry.job.steps.get(number as usize) else { return 0 };
        let at_work = (0..step.count).filter(|&index| {
            let at: Key = (occurrence, number, index);
            let placed = entry.runs.get(&at);
            placed.is_some_and(|placed| {
                let doomed =
                    self.agents.get(&placed.agent).is_some_and(|agent| agent.shutdown_requested);
                placed.phase == Phase::Running && placed.percent >= 100 && !doomed
            })
        });
        let away = step.count - at_work.count() as u32;
        step.may_miss.saturating_sub(away)
    }
}
