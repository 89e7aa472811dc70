use std::collections::BTreeMap;

use crate::standing::Standing;

/// A worker that may run the tasks of a step, for one decision.
#[derive(Clone, Copy, Debug)]
pub struct Member<'a> {
    /// The caller's index of the worker.
    pub index: usize,
    /// Its rack.
    pub rack: &'a str,
    /// How many of the tasks it would hold if nothing ran there.
    pub holds: u64,
    /// Its standing.
    pub standing: Standing,
}

/// Tasks of one step that are to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Their number.
    pub count: u64,
    /// They start together or not at all.
    pub gang: bool,
    /// They need a single rack.
    pub same_rack: bool,
}

impl Demand {
    /// True if several tasks start together or not at all.
    pub fn is_joint(&self) -> bool {
        self.gang && self.count > 1
    }

    /// True if the members for which `allowed` returns true could hold the tasks if nothing ran:
    /// all tasks of a gang, otherwise one.
    ///
    /// A gang that needs one rack is spread over several if no rack of the pool could hold it, so
    /// the rack matters only if some members could hold it within one.
    pub(crate) fn is_held_by(
        &self,
        members: &[Member<'_>],
        allowed: impl Fn(&Member<'_>) -> bool,
    ) -> bool {
        let least = if self.gang { self.count } else { 1 };
        let allowed_members = || members.iter().filter(|member| allowed(member));
        let all: u64 = allowed_members().map(|member| member.holds).sum();
        if all < least || !self.gang || !self.same_rack || self.count < 2 {
            return all >= least;
        }
        most_in_one_rack(allowed_members()) >= least || most_in_one_rack(members.iter()) < least
    }
}

/// The most tasks that the members in any one rack would hold.
fn most_in_one_rack<'a>(members: impl Iterator<Item = &'a Member<'a>>) -> u64 {
    let mut racks: BTreeMap<&str, u64> = BTreeMap::new();
    members.for_each(|member| *racks.entry(member.rack).or_default() += member.holds);
    racks.into_values().max().unwrap_or(0)
}
