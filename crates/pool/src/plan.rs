//! Searches for a place: pure functions over a [`Tally`].

use crate::shape::Shape;
use crate::tally::Tally;
use crate::{Placement, cell};

/// Finds the tightest place for `shape` and takes it out of `tally`.
///
/// The domain with the least room that still suffices is filled, and in it the
/// fullest workers first: what is left over stays as whole as it can.
pub fn take(tally: &mut Tally, shape: &Shape) -> Option<Placement> {
    let size = shape.cell_size();
    let mut best: Option<(u32, &[usize])> = None;
    for domain in tally.domains(shape.adjacency) {
        let room: u32 = domain.iter().map(|at| tally.spots()[*at].room(size)).sum();
        if room >= shape.tasks && best.is_none_or(|(least, _)| room < least) {
            best = Some((room, domain));
        }
    }
    let domain = best?.1.to_vec();
    Some(fill(tally, &domain, shape))
}

/// Places all tasks within `domain`, which has room for them.
fn fill(tally: &mut Tally, domain: &[usize], shape: &Shape) -> Placement {
    let mut placement = Placement::new();
    for at in fullest_first(tally, domain, shape) {
        let spot = tally.spot(at);
        while placement.len() < shape.tasks as usize && spot.slots > 0 {
            let Some(mask) = cell::tightest(spot.free, shape.cell_size()) else { break };
            spot.free &= !mask;
            spot.slots -= 1;
            placement.push((spot.worker.to_string(), mask));
        }
        if placement.len() == shape.tasks as usize {
            break;
        }
    }
    placement
}

/// Workers with any room, those with the fewest free accelerators first. A gang
/// that fits on one worker goes to the fullest one that takes it whole, rather
/// than into the crumbs of many.
fn fullest_first(tally: &Tally, domain: &[usize], shape: &Shape) -> Vec<usize> {
    let size = shape.cell_size();
    let mut by_free: Vec<Vec<usize>> = vec![Vec::new(); 65];
    let mut whole: Option<(u32, usize)> = None;
    for at in domain {
        let spot = &tally.spots()[*at];
        let room = spot.room(size);
        let free = spot.free.count_ones();
        if room >= shape.tasks && whole.is_none_or(|(least, _)| free < least) {
            whole = Some((free, *at));
        }
        if room > 0 {
            by_free[free as usize].push(*at);
        }
    }
    match whole {
        Some((_, at)) => vec![at],
        None => by_free.concat(),
    }
}
