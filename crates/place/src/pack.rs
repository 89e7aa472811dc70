use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Resources;

use crate::request::Request;
use crate::worker_state::WorkerState;

/// An index into the list of workers.
pub type WorkerIndex = usize;

/// Places the tasks of a step in free capacity and returns a worker for each. Of a gang all tasks
/// are placed or none, of other steps as many as fit.
///
/// A gang that needs one rack is placed in the fullest rack that holds it. It is spread over
/// several racks, where its tasks take several times as long, only if no rack could hold it even
/// when empty, or if it no longer waits for a rack and half of the pool is free. Otherwise a little
/// work in each rack would keep it waiting next to idle workers.
pub fn pack(workers: &[WorkerState], request: &Request<'_>) -> Vec<WorkerIndex> {
    let free: Vec<Resources> = workers.iter().map(|worker| worker.free).collect();
    if !request.step.gang {
        return place_tasks(workers, &free, request, |_| true);
    }
    if request.step.same_rack && request.count > 1 {
        let room = room_by_rack(workers, request, |worker| &worker.free);
        let racks = room.iter().filter(|(_, room)| **room >= u64::from(request.count));
        let candidates = racks.filter_map(|(rack, _)| {
            let chosen = place_tasks(workers, &free, request, |worker| worker.rack == **rack);
            complete(chosen, request)
                .map(|chosen| (rack_cost(workers, rack, &request.step.near), chosen))
        });
        if let Some((_, chosen)) = candidates.min_by_key(|(rack_cost, _)| *rack_cost) {
            return chosen;
        }
        let waits = request.waits_for_rack || !are_accelerators_half_free(workers, request);
        if waits && fits_in_an_empty_rack(workers, request) {
            return Vec::new();
        }
    }
    complete(place_tasks(workers, &free, request, |_| true), request).unwrap_or_default()
}

/// The racks of the workers that may run the step.
pub(crate) fn eligible_racks<'a>(
    workers: &'a [WorkerState],
    request: &Request<'_>,
) -> BTreeSet<&'a str> {
    workers
        .iter()
        .filter(|worker| request.is_eligible(worker))
        .map(|worker| worker.rack.as_str())
        .collect()
}

/// True if all tasks would fit in one of the racks if nothing ran there.
pub(crate) fn fits_in_an_empty_rack(workers: &[WorkerState], request: &Request<'_>) -> bool {
    let room = room_by_rack(workers, request, |worker| &worker.capacity);
    room.values().any(|room| *room >= u64::from(request.count))
}

/// The number of tasks that the workers of each eligible rack hold in the part of them that `room`
/// returns. Leaves most racks out before tasks are placed there, each in a pass over all workers.
fn room_by_rack<'a>(
    workers: &'a [WorkerState],
    request: &Request<'_>,
    room: impl Fn(&WorkerState) -> &Resources,
) -> BTreeMap<&'a str, u64> {
    let mut racks: BTreeMap<&str, u64> = BTreeMap::new();
    for (index, worker) in workers.iter().enumerate() {
        if request.is_eligible(worker) {
            *racks.entry(&worker.rack).or_default() += request.max_tasks(index, room(worker));
        }
    }
    racks
}

/// True if at least half of the accelerators of eligible workers are free.
fn are_accelerators_half_free(workers: &[WorkerState], request: &Request<'_>) -> bool {
    let allowed = || workers.iter().filter(|worker| request.is_eligible(worker));
    let free: u64 = allowed().map(|worker| worker.free.accelerators).sum();
    let all: u64 = allowed().map(|worker| worker.capacity.accelerators).sum();
    free * 2 >= all
}

/// Orders racks: the one that holds the data first, then by free accelerators.
fn rack_cost(workers: &[WorkerState], rack: &str, near: &str) -> (bool, u64) {
    let free =
        workers.iter().filter(|worker| worker.rack == rack).map(|worker| worker.free.accelerators);
    (!near.is_empty() && rack != near, free.sum())
}

fn complete(chosen: Vec<WorkerIndex>, request: &Request<'_>) -> Option<Vec<WorkerIndex>> {
    (chosen.len() == request.count as usize).then_some(chosen)
}

/// Places the tasks one by one, each where the least is left over (best fit).
pub(crate) fn place_tasks(
    workers: &[WorkerState],
    free: &[Resources],
    request: &Request<'_>,
    allowed: impl Fn(&WorkerState) -> bool,
) -> Vec<WorkerIndex> {
    let need = request.step.resources();
    let mut free = free.to_vec();
    let mut chosen: Vec<WorkerIndex> = Vec::new();
    let mut counts = vec![0u64; workers.len()];
    let limits: Vec<u64> = (0..workers.len())
        .map(|index| match allowed(&workers[index]) && request.is_eligible(&workers[index]) {
            true => request.max_tasks(index, &free[index]),
            false => 0,
        })
        .collect();
    for _ in 0..request.count {
        let fits = (0..workers.len())
            .filter(|&index| counts[index] < limits[index] && need.fits(&free[index]));
        let Some(best) = fits.min_by_key(|&index| rank(&workers[index], &free[index], request))
        else {
            break;
        };
        free[best].subtract(&need);
        counts[best] += 1;
        chosen.push(best);
    }
    chosen
}

/// The preference of a worker for the next task, lowest first: not deprioritized, in the rack of
/// the data, with the fewest free accelerators, with the least free memory, then of the preferred speed. Speed
/// comes last, so that whole workers are kept together for gangs.
fn rank(
    worker: &WorkerState,
    room: &Resources,
    request: &Request<'_>,
) -> (bool, bool, u64, u64, i32) {
    let near = &request.step.near;
    let far = !near.is_empty() && worker.rack != *near;
    (worker.deprioritized, far, room.accelerators, room.memory, worker.speed_cost)
}
