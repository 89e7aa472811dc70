//! The teams' keys of a run, and the configuration that holds them.

use std::time::Instant;

use serde_json::json;

use crate::judge::ATTEMPTS;

/// The key that the configuration has, and those that it had.
#[derive(Default)]
pub struct Keys {
    version: u64,
    pub current: String,
    /// Keys that were taken away, and when.
    pub gone: Vec<(String, Instant)>,
}

impl Keys {
    /// Takes the current key away and gives another; returns the configuration that does so, and
    /// the key that it takes away.
    pub fn change(&mut self) -> (String, String) {
        self.version += 1;
        let current = format!("key-{}", self.version);
        let former = std::mem::replace(&mut self.current, current);
        let route = |name: &str, priority: u32| {
            json!({
                "name": name, "host": "soak.example", "pathPrefix": format!("/{name}/"),
                "service": "pool", "priority": priority, "attempts": ATTEMPTS, "stretch": 2.0,
                "sloMs": 1000,
            })
        };
        let config = json!({
            "version": self.version,
            "routes": [route("urgent", 0), route("calm", 1)],
            "services": [{ "name": "pool" }],
            "tenants": [{ "name": "team", "apiKeys": [self.current], "guaranteed": { "gpu": 16 } }],
        });
        (config.to_string(), former)
    }
}
