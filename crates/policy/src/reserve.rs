//! Whole workers that are reserved for urgent work.

use quincewheel_job::Resources;
use quincewheel_place::WorkerState;

/// Whole workers of a pool that are reserved for urgent work while they are free, in percent of
/// the pool. With fewer, urgent gangs wait or preempt; with more, other work waits beside idle
/// workers.
const RESERVED_PERCENT: usize = 30;

/// Hides whole free workers of a pool from work that is not urgent, and returns their indices
/// and what they have free.
///
/// Urgent gangs arrive at any moment, need whole workers of one rack, and have less time than it
/// takes to stop other work. If less urgent work took the last such workers, each urgent gang
/// would have to preempt some of it.
pub fn reserve_whole_workers(workers: &mut [WorkerState], pool: &str) -> Vec<(usize, Resources)> {
    let all = workers.iter().filter(|worker| worker.pool == pool).count();
    let mut free: Vec<usize> = (0..workers.len())
        .filter(|&index| {
            let worker = &workers[index];
            worker.pool == pool && worker.free == worker.capacity
        })
        .collect();
    // The racks with the most free workers first, since a gang needs one rack.
    let rack = |index: &usize| {
        let rack = &workers[*index].rack;
        let same = free.iter().filter(|&&other| workers[other].rack == *rack).count();
        (usize::MAX - same, rack.clone())
    };
    let mut order: Vec<_> = free.iter().map(|index| (rack(index), *index)).collect();
    order.sort();
    free = order.into_iter().map(|(_, index)| index).take(all * RESERVED_PERCENT / 100).collect();
    free.into_iter().map(|index| (index, std::mem::take(&mut workers[index].free))).collect()
}

/// Restores what [`reserve_whole_workers`] hid, and returns the indices of the workers.
pub fn release_whole_workers(
    workers: &mut [WorkerState],
    reserved: Vec<(usize, Resources)>,
) -> Vec<usize> {
    let restore = |(index, free): (usize, Resources)| {
        workers[index].free = free;
        index
    };
    reserved.into_iter().map(restore).collect()
}

/// True if at least half of the pool's accelerators, processors or memory is free.
pub fn is_any_resource_half_free(workers: &[WorkerState], pool: &str) -> bool {
    let mut all = Resources::default();
    let mut free = Resources::default();
    for worker in workers.iter().filter(|worker| worker.pool == pool) {
        all.add(&worker.capacity);
        free.add(&worker.free);
    }
    free.accelerators * 2 >= all.accelerators
        || free.cpu * 2 >= all.cpu
        || free.memory * 2 >= all.memory
}
