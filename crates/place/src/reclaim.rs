use std::collections::{BTreeMap, BTreeSet};

use quincewheel_job::Resources;

use crate::ask::Ask;
use crate::pack::{Choice, holds_when_empty, racks};
use crate::spot::{Holder, Spot};

/// Room that is made by taking work away.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Claim {
    /// A place for each task.
    pub choices: Vec<Choice>,
    /// The units to stop.
    pub units: BTreeSet<u64>,
    /// What that loses, in the unit of [`crate::Holder::loss`].
    pub loss: u64,
}

/// Finds the cheapest work whose end makes room for all tasks of a step. None
/// if nothing that may be taken away makes enough.
///
/// Each rack is tried by itself, and all together for a step that needs no
/// rack of its own; what loses least wins.
pub fn reclaim(spots: &[Spot], ask: &Ask<'_>) -> Option<Claim> {
    let racks = racks(spots, ask);
    let one_rack = ask.step.gang && ask.step.same_rack && ask.count > 1;
    let mut tries = Vec::new();
    for rack in &racks {
        tries.extend(attempt(spots, ask, |spot| spot.rack == **rack));
    }
    if !one_rack || !racks.iter().any(|rack| holds_when_empty(spots, ask, rack)) {
        tries.extend(attempt(spots, ask, |_| true));
    }
    tries.into_iter().min_by_key(|claim| claim.loss)
}

/// Places the tasks within the allowed workers, cheapest first, and says what
/// that loses.
fn attempt(spots: &[Spot], ask: &Ask<'_>, allowed: impl Fn(&Spot) -> bool) -> Option<Claim> {
    let need = ask.step.resources();
    let mut gone: BTreeSet<u64> = BTreeSet::new();
    let mut rooms: Vec<Resources> = spots.iter().map(|spot| spot.near(ask.sure)).collect();
    let mut claim = Claim::default();
    let mut counts = vec![0u32; spots.len()];
    let mut loss = 0;
    for _ in 0..ask.count {
        let open = |place: usize| {
            let held = ask.held.get(place).copied().unwrap_or(0) + counts[place];
            allowed(&spots[place])
                && ask.allows(&spots[place])
                && (ask.step.per_worker == 0 || held < ask.step.per_worker)
        };
        let best = (0..spots.len())
            .filter(|&place| open(place))
            .filter_map(|place| {
                let (units, cost) = clear(&spots[place], &rooms[place], ask, &gone)?;
                let rank = (spots[place].doubtful, cost, rooms[place].accelerators, place);
                Some((rank, units))
            })
            .min_by_key(|(rank, _)| *rank);
        let ((_, cost, _, place), units) = best?;
        loss += cost;
        for unit in units {
            release(spots, &mut rooms, unit);
            gone.insert(unit);
        }
        rooms[place].subtract(&need);
        counts[place] += 1;
        claim.choices.push(place);
    }
    claim.units = gone;
    claim.loss = loss;
    Some(claim)
}

/// The units to stop on one worker so that a task fits, and what they lose.
fn clear(
    spot: &Spot,
    room: &Resources,
    ask: &Ask<'_>,
    gone: &BTreeSet<u64>,
) -> Option<(Vec<u64>, u64)> {
    let need = ask.step.resources();
    let mut room = *room;
    let mut chosen: BTreeMap<u64, (Resources, u64)> = BTreeMap::new();
    let mut units: BTreeMap<u64, (Resources, u64)> = BTreeMap::new();
    let open = |holder: &&Holder| !gone.contains(&holder.unit) && ask.displaces(holder);
    for holder in spot.holders.iter().filter(open) {
        units.entry(holder.unit).or_insert((Resources::default(), holder.loss)).0.add(&holder.need);
    }
    while !need.fits(&room) {
        // The cheapest for each accelerator that it frees.
        let useful = units.iter().filter(|(unit, _)| !chosen.contains_key(unit));
        let (&unit, &(frees, loss)) =
            useful.min_by_key(|(_, (frees, loss))| loss / (frees.accelerators + 1))?;
        room.add(&frees);
        chosen.insert(unit, (frees, loss));
    }
    // What turned out not to be needed stays.
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

/// Frees all places of a unit, on every worker.
fn release(spots: &[Spot], rooms: &mut [Resources], unit: u64) {
    for (spot, room) in spots.iter().zip(rooms) {
        for holder in spot.holders.iter().filter(|holder| holder.unit == unit) {
            room.add(&holder.need);
        }
    }
}
