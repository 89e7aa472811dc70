use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::Key;

/// The newest checkpoints of a job's tasks, as its row in the table holds them.
///
/// Workers tell them, and keep them only as long as they have power. Where all
/// lose it at once, every job would begin anew; with the row, it loses no more
/// than what was done since the last record.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoints {
    /// Occurrence, step, index of the task or 0 for a gang, and the checkpoint.
    tasks: Vec<(u32, u32, u32, String)>,
}

/// Most checkpoints in one row. A row holds 64 KiB, and a checkpoint with its
/// task's numbers takes some 40 bytes.
const MOST: usize = 1000;

impl Checkpoints {
    /// A record of these checkpoints.
    pub(crate) fn new<'a>(tasks: impl Iterator<Item = (&'a Key, &'a String)>) -> Checkpoints {
        let row = |(key, saved): (&Key, &String)| (key.0, key.1, key.2, saved.clone());
        Checkpoints { tasks: tasks.map(row).take(MOST).collect() }
    }

    /// The checkpoints by task.
    pub(crate) fn by_task(&self) -> BTreeMap<Key, String> {
        let row = |(occurrence, step, index, saved): &(u32, u32, u32, String)| {
            ((*occurrence, *step, *index), saved.clone())
        };
        self.tasks.iter().map(row).collect()
    }
}
