use std::collections::BTreeSet;

use quincewheel_job::Resources;

use crate::request::Request;
use crate::worker_state::WorkerState;

/// A place for one task: an index into the spots.
pub type WorkerIndex = usize;

/// Finds places for the tasks of a step in what is free. A gang gets places
/// for all its tasks or none; other steps get as many as there are.
///
/// A step that wants one rack is given one, the fullest that holds it. Only if
/// no rack could hold it even when empty is it spread: on several racks its
/// tasks take several times as long. One that has lost its patience is spread,
/// too, if half of the pool is free: it would stand still beside idle workers
/// for as long as a little work goes on in each rack.
pub fn pack(workers: &[WorkerState], request: &Request<'_>) -> Vec<WorkerIndex> {
    let free: Vec<Resources> = workers.iter().map(|worker| worker.free).collect();
    if !request.step.gang {
        return place_tasks(workers, &free, request, |_| true);
    }
    if request.step.same_rack && request.count > 1 {
        let eligible_racks = eligible_racks(workers, request);
        let candidates = eligible_racks.iter().filter_map(|rack| {
            let chosen = place_tasks(workers, &free, request, |worker| worker.rack == **rack);
            complete(chosen, request)
                .map(|chosen| (rack_cost(workers, rack, &request.step.near), chosen))
        });
        if let Some((_, chosen)) = candidates.min_by_key(|(rack_cost, _)| *rack_cost) {
            return chosen;
        }
        let waits = request.waits_for_rack || !is_half_free(workers, request);
        if waits && eligible_racks.iter().any(|rack| fits_when_empty(workers, request, rack)) {
            return Vec::new();
        }
    }
    complete(place_tasks(workers, &free, request, |_| true), request).unwrap_or_default()
}

/// The racks on which a step's tasks may run.
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

/// True if the rack would hold all tasks if nothing ran on it.
pub(crate) fn fits_when_empty(workers: &[WorkerState], request: &Request<'_>, rack: &str) -> bool {
    let all: Vec<Resources> = workers.iter().map(|worker| worker.capacity).collect();
    place_tasks(workers, &all, request, |worker| worker.rack == rack).len()
        == request.count as usize
}

/// True if half of the accelerators that may run the step are free.
fn is_half_free(workers: &[WorkerState], request: &Request<'_>) -> bool {
    let allowed = || workers.iter().filter(|worker| request.is_eligible(worker));
    let free: u64 = allowed().map(|worker| worker.free.accelerators).sum();
    let all: u64 = allowed().map(|worker| worker.capacity.accelerators).sum();
    free * 2 >= all
}

/// How much a rack has free, the data's own rack first.
fn rack_cost(workers: &[WorkerState], rack: &str, near: &str) -> (bool, u64) {
    let free =
        workers.iter().filter(|worker| worker.rack == rack).map(|worker| worker.free.accelerators);
    (!near.is_empty() && rack != near, free.sum())
}

fn complete(chosen: Vec<WorkerIndex>, request: &Request<'_>) -> Option<Vec<WorkerIndex>> {
    (chosen.len() == request.count as usize).then_some(chosen)
}

/// Puts tasks one after the other where the least is left over.
pub(crate) fn place_tasks(
    workers: &[WorkerState],
    rooms: &[Resources],
    request: &Request<'_>,
    allowed: impl Fn(&WorkerState) -> bool,
) -> Vec<WorkerIndex> {
    let need = request.step.resources();
    let mut rooms = rooms.to_vec();
    let mut chosen: Vec<WorkerIndex> = Vec::new();
    let mut counts = vec![0u64; workers.len()];
    let limits: Vec<u64> = (0..workers.len())
        .map(|index| match allowed(&workers[index]) && request.is_eligible(&workers[index]) {
            true => request.max_tasks(index, &rooms[index]),
            false => 0,
        })
        .collect();
    for _ in 0..request.count {
        let fits = (0..workers.len())
            .filter(|&index| counts[index] < limits[index] && need.fits(&rooms[index]));
        let Some(best) = fits.min_by_key(|&index| rank(&workers[index], &rooms[index], request))
        else {
            break;
        };
        rooms[best].subtract(&need);
        counts[best] += 1;
        chosen.push(best);
    }
    chosen
}

/// What makes a place the better choice: sound, near the data, and leaving the
/// fewest accelerators and then the least of the rest.
fn rank(worker: &WorkerState, room: &Resources, request: &Request<'_>) -> (bool, bool, u64, u64) {
    let near = &request.step.near;
    let far = !near.is_empty() && worker.rack != *near;
    (worker.deprioritized, far, room.accelerators, room.memory)
}
