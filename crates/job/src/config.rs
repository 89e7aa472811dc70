use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::queue::Queue;
use crate::route::Route;
use crate::team::Team;

/// A complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Config {
    /// The version, which increases with each change.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<String, Queue>,
    /// The hosts and paths of the queues.
    pub routes: Vec<Route>,
    /// Teams by name.
    pub teams: BTreeMap<String, Team>,
    /// The names of the teams by key.
    pub keys: BTreeMap<String, String>,
    /// Largest body of a client's call, in bytes.
    pub body: usize,
}

impl Config {
    /// Returns the route of a call: the one with the longest prefix of the path on the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let fits = |route: &&Route| route.host == host && path.starts_with(&route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }

    /// Returns the name of the team that holds a key.
    pub fn team_of_key(&self, key: &str) -> Option<&str> {
        self.keys.get(key).map(String::as_str)
    }
}
