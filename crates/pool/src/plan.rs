//! Searches for a placement: pure functions over a [`Tally`].

use crate::shape::Shape;
use crate::tally::Tally;
use crate::{Placement, cell};

/// Finds the tightest placement for `shape` and removes its accelerators from `tally`.
///
/// Uses the domain with the least capacity that suffices, and in it the fullest workers first, so
/// that the remaining accelerators are fragmented as little as possible.
pub fn take(tally: &mut Tally, shape: &Shape) -> Option<Placement> {
    let size = shape.cell_size();
    let mut best: Option<(u32, &[usize])> = None;
    for domain in tally.domains(shape.adjacency) {
        let capacity: u32 =
            domain.iter().map(|index| tally.workers()[*index].task_capacity(size)).sum();
        if capacity >= shape.tasks && best.is_none_or(|(least, _)| capacity < least) {
            best = Some((capacity, domain));
        }
    }
    let domain = best?.1.to_vec();
    Some(fill(tally, &domain, shape))
}

/// Places all tasks within `domain`, which must have capacity for them.
fn fill(tally: &mut Tally, domain: &[usize], shape: &Shape) -> Placement {
    let mut placement = Placement::new();
    for index in fullest_first(tally, domain, shape) {
        let cells = tally.worker_mut(index);
        while placement.len() < shape.tasks as usize && cells.slots > 0 {
            let Some(mask) = cell::tightest(cells.free, shape.cell_size()) else { break };
            cells.free &= !mask;
            cells.slots -= 1;
            placement.push((cells.worker.to_string(), mask));
        }
        if placement.len() == shape.tasks as usize {
            break;
        }
    }
    placement
}

/// Returns the workers with any capacity, those with the fewest free accelerators first. If the
/// gang fits on one worker, returns only the fullest such worker, so that the gang is not scattered
/// over the remnants of many.
fn fullest_first(tally: &Tally, domain: &[usize], shape: &Shape) -> Vec<usize> {
    let size = shape.cell_size();
    let mut by_free: Vec<Vec<usize>> = vec![Vec::new(); 65];
    let mut single: Option<(u32, usize)> = None;
    for index in domain {
        let cells = &tally.workers()[*index];
        let capacity = cells.task_capacity(size);
        let free = cells.free.count_ones();
        if capacity >= shape.tasks && single.is_none_or(|(least, _)| free < least) {
            single = Some((free, *index));
        }
        if capacity > 0 {
            by_free[free as usize].push(*index);
        }
    }
    match single {
        Some((_, index)) => vec![index],
        None => by_free.concat(),
    }
}
