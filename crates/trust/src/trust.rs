use serde::{Deserialize, Serialize};

/// What is known of the outcomes of runs on each worker.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Trust {}
