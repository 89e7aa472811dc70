use quincewheel_job::Resources;

use crate::release::Release;

/// What is available on a worker from each time on, for use without an end. Never decreases.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Profile {
    /// What is available from each time on, in ascending order of time. The first time is 0.
    steps: Vec<(u64, Resources)>,
}

impl Profile {
    /// A worker with `free` resources, and the runs that end there.
    pub fn new(free: Resources, releases: &[Release]) -> Profile {
        let mut steps = Vec::with_capacity(releases.len() + 1);
        steps.push((0, free));
        steps.extend(releases.iter().map(|release| (release.at, release.need)));
        steps[1..].sort_unstable_by_key(|(at, _)| *at);
        let mut room = Resources::default();
        for (_, resources) in &mut steps {
            room.add(resources);
            *resources = room;
        }
        Profile { steps }
    }

    /// What is available from `time` on.
    pub fn at(&self, time: u64) -> Resources {
        let after = self.steps.partition_point(|(from, _)| *from <= time);
        after.checked_sub(1).map(|index| self.steps[index].1).unwrap_or_default()
    }

    /// Takes resources out between two times. What is available before is limited to what remains
    /// then, since it is used without an end.
    pub fn hold(&mut self, from: u64, until: u64, need: &Resources) {
        let mut remaining = self.at(from);
        remaining.subtract(need);
        for time in [from, until] {
            let room = self.at(time);
            let index = self.steps.partition_point(|(at, _)| *at < time);
            if self.steps.get(index).is_none_or(|(at, _)| *at != time) {
                self.steps.insert(index, (time, room));
            }
        }
        for (at, room) in &mut self.steps {
            match *at {
                at if at < from => *room = least(room, &remaining),
                at if at < until => room.subtract(need),
                _ => {}
            }
        }
    }
}

/// The smaller amount of each resource.
pub(crate) fn least(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu: a.cpu.min(b.cpu),
        memory: a.memory.min(b.memory),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
