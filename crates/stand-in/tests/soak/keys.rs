//! The team's API keys of a run, and the configuration that contains them.

use std::time::Instant;

use serde_json::{Value, json};

use crate::checker::MAX_FAILURES;
use crate::size::Size;

/// Key of the team that submits more work than fits.
pub const FLOOD_KEY: &str = "flood-key";
/// Accelerators that a team is guaranteed at the small size: a third of all.
const GUARANTEED_PER_WEIGHT: usize = 16;

/// The current key and the revoked ones.
#[derive(Default)]
pub struct Keys {
    /// The configuration has a second team, whose key is [`FLOOD_KEY`].
    has_flood: bool,
    /// The queue that is not urgent is removed.
    queue_removed: bool,
    /// Accelerators that the team whose keys are rotated is guaranteed.
    guaranteed: usize,
    version: u64,
    pub current: String,
    /// Revoked keys, with the time of the revocation.
    pub revoked: Vec<(String, Instant)>,
}

impl Keys {
    pub fn new(has_flood: bool, size: Size) -> Keys {
        let guaranteed = GUARANTEED_PER_WEIGHT * size.weight();
        Keys { has_flood, guaranteed, ..Keys::default() }
    }

    /// Replaces the current key. Returns the configuration to publish, and the revoked key.
    pub fn rotate(&mut self) -> (String, String) {
        let current = format!("key-{}", self.version + 1);
        let former = std::mem::replace(&mut self.current, current);
        (self.next_config(), former)
    }

    /// Removes the queue that is not urgent, or adds it again. Returns the configuration to publish.
    pub fn set_queue_removed(&mut self, removed: bool) -> String {
        self.queue_removed = removed;
        self.next_config()
    }

    fn next_config(&mut self) -> String {
        self.version += 1;
        let route = |name: &str, priority: u32| {
            json!({
                "name": name, "host": "soak.example", "pathPrefix": format!("/{name}/"),
                "service": "pool", "priority": priority, "attempts": MAX_FAILURES, "stretch": 2.0,
                "sloMs": 1000,
            })
        };
        let mut routes = vec![route("urgent", 0)];
        if !self.queue_removed {
            routes.push(route("calm", 1));
        }
        let config = json!({
            "version": self.version,
            "routes": routes,
            "services": [{ "name": "pool" }],
            "tenants": self.teams(),
        });
        config.to_string()
    }

    fn teams(&self) -> Vec<Value> {
        let team = json!({
            "name": "team", "apiKeys": [self.current], "guaranteed": { "gpu": self.guaranteed },
        });
        let flood = json!({ "name": "flood", "apiKeys": [FLOOD_KEY] });
        if self.has_flood { vec![team, flood] } else { vec![team] }
    }
}
