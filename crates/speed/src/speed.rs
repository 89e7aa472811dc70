use serde::{Deserialize, Serialize};

/// The speed of each machine relative to the others.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Speed {}
