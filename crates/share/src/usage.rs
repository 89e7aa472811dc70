use serde::{Deserialize, Serialize};

/// What each team used lately beyond its guarantee.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Usage {}
