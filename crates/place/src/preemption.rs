use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Resources;

use crate::pack::{WorkerIndex, eligible_racks, fits_in_an_empty_rack};
use crate::request::Request;
use crate::worker_state::{Preemptible, WorkerState};

/// The outcome of [`plan_preemption`]: workers for the tasks, and the work to stop for them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Preemption {
    /// A worker for each task.
    pub workers: Vec<WorkerIndex>,
    /// The units to stop.
    pub victims: BTreeSet<u64>,
    /// The work that is lost by it, in the unit of [`crate::Preemptible::loss`].
    pub loss: u64,
}

/// Finds the cheapest work to preempt so that all tasks of a step fit. None if they don't fit even
/// if everything that may be preempted is stopped.
///
/// Tries each rack on its own, and all racks together for a step that does not need one rack, and
/// returns the plan that loses least.
pub fn plan_preemption(workers: &[WorkerState], request: &Request<'_>) -> Option<Preemption> {
    let racks = eligible_racks(workers, request);
    let one_rack = request.step.gang && request.step.same_rack && request.count > 1;
    let mut plans = Vec::new();
    for rack in &racks {
        plans.extend(plan_on(workers, request, |worker| worker.rack == **rack));
    }
    if !one_rack || !fits_in_an_empty_rack(workers, request) {
        plans.extend(plan_on(workers, request, |_| true));
    }
    plans.into_iter().min_by_key(|preemption| preemption.loss)
}

/// Places the tasks on the allowed workers, each where it costs least.
fn plan_on(
    workers: &[WorkerState],
    request: &Request<'_>,
    allowed: impl Fn(&WorkerState) -> bool,
) -> Option<Preemption> {
    let need = request.step.resources();
    let mut stopped: BTreeSet<u64> = BTreeSet::new();
    let mut available: Vec<Resources> =
        workers.iter().map(|worker| worker.available_soon(request.ignores_ending)).collect();
    let mut preemption = Preemption::default();
    let mut counts = vec![0u32; workers.len()];
    let mut loss = 0;
    for _ in 0..request.count {
        let open = |index: usize| {
            let held = request.tasks_by_worker.get(index).copied().unwrap_or(0) + counts[index];
            allowed(&workers[index])
                && request.is_eligible(&workers[index])
                && (request.step.per_worker == 0 || held < request.step.per_worker)
        };
        let best = (0..workers.len())
            .filter(|&index| open(index))
            .filter_map(|index| {
                let (units, cost) =
                    cheapest_victims(&workers[index], &available[index], request, &stopped)?;
                let worker = &workers[index];
                let room = available[index].accelerators;
                let rank = (worker.deprioritized, cost, room, worker.speed_cost, index);
                Some((rank, units))
            })
            .min_by_key(|(rank, _)| *rank);
        let ((_, cost, _, _, index), units) = best?;
        loss += cost;
        for unit in units {
            release(workers, &mut available, unit);
            stopped.insert(unit);
        }
        available[index].subtract(&need);
        counts[index] += 1;
        preemption.workers.push(index);
    }
    preemption.victims = stopped;
    preemption.loss = loss;
    Some(preemption)
}

/// The units to stop on one worker so that a task fits, and the work that is lost by it.
fn cheapest_victims(
    worker: &WorkerState,
    room: &Resources,
    request: &Request<'_>,
    stopped: &BTreeSet<u64>,
) -> Option<(Vec<u64>, u64)> {
    let need = request.step.resources();
    let mut room = *room;
    let mut chosen: BTreeMap<u64, (Resources, u64)> = BTreeMap::new();
    let mut units: BTreeMap<u64, (Resources, u64)> = BTreeMap::new();
    let open =
        |holder: &&Preemptible| !stopped.contains(&holder.unit) && request.may_preempt(holder);
    for holder in worker.preemptible.iter().filter(open) {
        units.entry(holder.unit).or_insert((Resources::default(), holder.loss)).0.add(&holder.need);
    }
    while !need.fits(&room) {
        // Stop the unit with the least loss per accelerator that it frees.
        let useful = units.iter().filter(|(unit, _)| !chosen.contains_key(unit));
        let (&unit, &(frees, loss)) =
            useful.min_by_key(|(_, (frees, loss))| loss / (frees.accelerators + 1))?;
        room.add(&frees);
        chosen.insert(unit, (frees, loss));
    }
    // Keep the units that turn out not to be needed.
    let order: Vec<u64> = chosen.keys().copied().collect();
    for unit in order {
        let mut without = room;
        without.subtract(&chosen[&unit].0);
        if need.fits(&without) {
            room = without;
            chosen.remove(&unit);
        }
    }
    let loss = chosen.values().map(|(_, loss)| loss).sum();
    Some((chosen.into_keys().collect(), loss))
}

/// Frees the resources of a unit on all workers.
fn release(workers: &[WorkerState], available: &mut [Resources], unit: u64) {
    for (worker, room) in workers.iter().zip(available) {
        for holder in worker.preemptible.iter().filter(|holder| holder.unit == unit) {
            room.add(&holder.need);
        }
    }
}
