use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The availability zones that operators evacuate. Nothing new starts on the workers there; what
/// already runs continues.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Evacuation {
    zones: BTreeSet<String>,
}

impl Evacuation {
    /// True if the availability zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// True if no availability zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// All availability zones that are evacuated, in the order of their names.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// The availability zones that are evacuated here but not in `other`.
    pub fn difference<'a>(&'a self, other: &'a Evacuation) -> impl Iterator<Item = &'a str> {
        self.zones.difference(&other.zones).map(String::as_str)
    }

    /// Starts the evacuation of an availability zone.
    pub fn add(&mut self, zone: &str) {
        self.zones.insert(zone.to_owned());
    }

    /// Ends the evacuation of an availability zone.
    pub fn remove(&mut self, zone: &str) {
        self.zones.remove(zone);
    }
}
