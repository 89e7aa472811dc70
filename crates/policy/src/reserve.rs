//! Whole workers that are kept for work that cannot wait.

use quincewheel_job::Resources;
use quincewheel_place::WorkerState;

/// Whole workers of a pool that are kept for work that cannot wait, in percent
/// of the pool, as long as they are free. Mean worth of eight seeds of each day
/// of two pools of 11, and of two seeds of pools of 76 and 57: with 0, 0.842,
/// 0.764, 0.752 and 0.664; with 20, 0.847, 0.773, 0.764 and 0.658; with 30, 0.846,
/// 0.768, 0.776 and 0.674; with 40, 0.831, 0.773, 0.762 and 0.684.
const SPARE: usize = 30;

/// Hides whole workers of a pool from work that can wait, and returns what
/// they have free.
///
/// Urgent gangs come at any moment, want whole workers of one rack, and have
/// less time than a stop takes. Where work that has many seconds left takes
/// the last such workers, each urgent gang stops some of it.
pub fn reserve_whole_workers(spots: &mut [WorkerState], pool: &str) -> Vec<(usize, Resources)> {
    let all = spots.iter().filter(|spot| spot.pool == pool).count();
    let mut free: Vec<usize> = (0..spots.len())
        .filter(|&place| {
            let spot = &spots[place];
            spot.pool == pool && spot.free == spot.capacity
        })
        .collect();
    // Whole racks first: gangs want one.
    let rack = |place: &usize| {
        let rack = &spots[*place].rack;
        let same = free.iter().filter(|&&other| spots[other].rack == *rack).count();
        (usize::MAX - same, rack.clone())
    };
    let mut order: Vec<_> = free.iter().map(|place| (rack(place), *place)).collect();
    order.sort();
    free = order.into_iter().map(|(_, place)| place).take(all * SPARE / 100).collect();
    free.into_iter().map(|place| (place, std::mem::take(&mut spots[place].free))).collect()
}

/// Shows again what [`spare`] took, and returns where.
pub fn release_whole_workers(
    spots: &mut [WorkerState],
    spared: Vec<(usize, Resources)>,
) -> Vec<usize> {
    let show = |(place, free): (usize, Resources)| {
        spots[place].free = free;
        place
    };
    spared.into_iter().map(show).collect()
}

/// True if half of the pool is free by any measure: of accelerators,
/// processors or memory.
pub fn is_half_free(spots: &[WorkerState], pool: &str) -> bool {
    let mut all = Resources::default();
    let mut free = Resources::default();
    for spot in spots.iter().filter(|spot| spot.pool == pool) {
        all.add(&spot.capacity);
        free.add(&spot.free);
    }
    free.accelerators * 2 >= all.accelerators
        || free.cpu * 2 >= all.cpu
        || free.memory * 2 >= all.memory
}
