//! Searches for a place: pure functions over a [`Tally`].

use crate::shape::Shape;
use crate::tally::Tally;
use crate::{Placement, cell};

/// Finds the tightest place for `shape` and takes it out of `tally`.
///
/// The domain with the least room that still suffices is filled, and in it the
/// fullest workers first: what is left over stays as whole as it can.
pub fn take(tally: &mut Tally, shape: &Shape) -> Option<Placement> {
    let size = shape.cell();
    let mut best: Option<(u32, Vec<usize>)> = None;
    for domain in tally.domains(shape.adjacency) {
        let room: u32 = domain.iter().map(|at| tally.spots()[*at].room(size)).sum();
        if room >= shape.tasks && best.as_ref().is_none_or(|(least, _)| room < *least) {
            best = Some((room, domain));
        }
    }
    let (_, domain) = best?;
    Some(fill(tally, &domain, shape))
}

/// Places all tasks within `domain`, which has room for them.
fn fill(tally: &mut Tally, domain: &[usize], shape: &Shape) -> Placement {
    let size = shape.cell();
    let mut order: Vec<usize> = domain.to_vec();
    order.sort_by_key(|at| tally.spots()[*at].free.count_ones());
    let mut placement = Placement::new();
    // A gang that fits on one worker goes to the fullest one that takes it
    // whole, rather than into the crumbs of many.
    if let Some(one) = order.iter().position(|at| tally.spots()[*at].room(size) >= shape.tasks) {
        let at = order.remove(one);
        order.insert(0, at);
    }
    for at in order {
        let spot = tally.spot(at);
        while placement.len() < shape.tasks as usize && spot.slots > 0 {
            let Some(mask) = cell::tightest(spot.free, size) else { break };
            spot.free &= !mask;
            spot.slots -= 1;
            placement.push((spot.worker.clone(), mask));
        }
    }
    placement
}
