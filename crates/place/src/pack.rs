use std::collections::BTreeSet;

use quincewheel_job::Resources;

use crate::ask::Ask;
use crate::spot::Spot;

/// A place for one task: an index into the spots.
pub type Choice = usize;

/// Finds places for the tasks of a step in what is free. A gang gets places
/// for all its tasks or none; other steps get as many as there are.
///
/// A step that wants one rack is given one, the fullest that holds it. Only if
/// no rack could hold it even when empty is it spread: on several racks its
/// tasks take several times as long. One that has lost its patience is spread,
/// too, if half of the pool is free: it would stand still beside idle workers
/// for as long as a little work goes on in each rack.
pub fn pack(spots: &[Spot], ask: &Ask<'_>) -> Vec<Choice> {
    let free: Vec<Resources> = spots.iter().map(|spot| spot.free).collect();
    if !ask.step.gang {
        return fill(spots, &free, ask, |_| true);
    }
    if ask.step.same_rack && ask.count > 1 {
        let racks = racks(spots, ask);
        let held = racks.iter().filter_map(|rack| {
            let choices = fill(spots, &free, ask, |spot| spot.rack == **rack);
            whole(choices, ask).map(|choices| (left(spots, rack, &ask.step.near), choices))
        });
        if let Some((_, choices)) = held.min_by_key(|(left, _)| *left) {
            return choices;
        }
        let waits = ask.patient || !half_free(spots, ask);
        if waits && racks.iter().any(|rack| holds_when_empty(spots, ask, rack)) {
            return Vec::new();
        }
    }
    whole(fill(spots, &free, ask, |_| true), ask).unwrap_or_default()
}

/// The racks on which a step's tasks may run.
pub(crate) fn racks<'a>(spots: &'a [Spot], ask: &Ask<'_>) -> BTreeSet<&'a str> {
    spots.iter().filter(|spot| ask.allows(spot)).map(|spot| spot.rack.as_str()).collect()
}

/// True if the rack would hold all tasks if nothing ran on it.
pub(crate) fn holds_when_empty(spots: &[Spot], ask: &Ask<'_>, rack: &str) -> bool {
    let all: Vec<Resources> = spots.iter().map(|spot| spot.capacity).collect();
    fill(spots, &all, ask, |spot| spot.rack == rack).len() == ask.count as usize
}

/// True if half of the accelerators that may run the step are free.
fn half_free(spots: &[Spot], ask: &Ask<'_>) -> bool {
    let allowed = || spots.iter().filter(|spot| ask.allows(spot));
    let free: u64 = allowed().map(|spot| spot.free.accelerators).sum();
    let all: u64 = allowed().map(|spot| spot.capacity.accelerators).sum();
    free * 2 >= all
}

/// How much a rack has free, the data's own rack first.
fn left(spots: &[Spot], rack: &str, near: &str) -> (bool, u64) {
    let free = spots.iter().filter(|spot| spot.rack == rack).map(|spot| spot.free.accelerators);
    (!near.is_empty() && rack != near, free.sum())
}

fn whole(choices: Vec<Choice>, ask: &Ask<'_>) -> Option<Vec<Choice>> {
    (choices.len() == ask.count as usize).then_some(choices)
}

/// Puts tasks one after the other where the least is left over.
pub(crate) fn fill(
    spots: &[Spot],
    rooms: &[Resources],
    ask: &Ask<'_>,
    allowed: impl Fn(&Spot) -> bool,
) -> Vec<Choice> {
    let need = ask.step.resources();
    let mut rooms = rooms.to_vec();
    let mut choices: Vec<Choice> = Vec::new();
    let mut counts = vec![0u64; spots.len()];
    let limits: Vec<u64> = (0..spots.len())
        .map(|place| match allowed(&spots[place]) && ask.allows(&spots[place]) {
            true => ask.copies(place, &rooms[place]),
            false => 0,
        })
        .collect();
    for _ in 0..ask.count {
        let fits = (0..spots.len())
            .filter(|&place| counts[place] < limits[place] && need.fits(&rooms[place]));
        let Some(best) = fits.min_by_key(|&place| rank(&spots[place], &rooms[place], ask)) else {
            break;
        };
        rooms[best].subtract(&need);
        counts[best] += 1;
        choices.push(best);
    }
    choices
}

/// What makes a place the better choice: sound, near the data, and leaving the
/// fewest accelerators and then the least of the rest.
fn rank(spot: &Spot, room: &Resources, ask: &Ask<'_>) -> (bool, bool, u64, u64) {
    let near = &ask.step.near;
    let far = !near.is_empty() && spot.rack != *near;
    (spot.doubtful, far, room.accelerators, room.memory)
}
