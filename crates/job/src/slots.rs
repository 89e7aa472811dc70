use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::layout::Layout;

/// Occurrence, step and index of a task. A gang has one slot, with index 0.
pub type Slot = (u32, u32, u32);

/// Values by slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub(crate) struct Slots<T>(BTreeMap<u32, BTreeMap<u32, BTreeMap<u32, T>>>);

impl<T> Default for Slots<T> {
    fn default() -> Slots<T> {
        Slots(BTreeMap::new())
    }
}

impl<T: Clone + Default> Slots<T> {
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub fn get(&self, (occurrence, step, index): Slot) -> Option<&T> {
        self.0.get(&occurrence)?.get(&step)?.get(&index)
    }

    /// Returns the value of a slot, which is added if there is none.
    pub fn entry(&mut self, (occurrence, step, index): Slot) -> &mut T {
        self.0.entry(occurrence).or_default().entry(step).or_default().entry(index).or_default()
    }

    pub fn remove(&mut self, (occurrence, step, index): Slot) -> Option<T> {
        let steps = self.0.get_mut(&occurrence)?;
        let tasks = steps.get_mut(&step)?;
        let removed = tasks.remove(&index);
        if tasks.is_empty() {
            steps.remove(&step);
        }
        if steps.is_empty() {
            self.0.remove(&occurrence);
        }
        removed
    }

    pub fn iter(&self) -> impl Iterator<Item = (Slot, &T)> {
        self.0.iter().flat_map(|(&occurrence, steps)| {
            steps.iter().flat_map(move |(&step, tasks)| {
                tasks.iter().map(move |(&index, value)| ((occurrence, step, index), value))
            })
        })
    }

    /// Returns the values that belong in a part.
    pub fn within(&self, layout: &Layout, part: u32) -> Slots<T> {
        let mut found = Slots::default();
        for (&occurrence, steps) in self.0.range(layout.occurrences(part)) {
            for (&step, tasks) in steps {
                for (&index, value) in tasks.range(layout.indexes(part, occurrence, step)) {
                    *found.entry((occurrence, step, index)) = value.clone();
                }
            }
        }
        found
    }

    /// Adds the values of `other`, which replace those of the same slots.
    pub fn extend(&mut self, other: Slots<T>) {
        for (slot, value) in other.iter() {
            *self.entry(slot) = value.clone();
        }
    }
}
