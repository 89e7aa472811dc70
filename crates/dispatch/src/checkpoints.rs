use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::Key;
use crate::owner::Owner;

/// The newest checkpoints of a job's tasks, as its row in the table holds them.
///
/// Workers report checkpoints and keep them in memory only. If all workers lose power at once,
/// jobs continue from the recorded checkpoints and lose only the work done since.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoints {
    /// Occurrence, step, index of the task (0 for a gang), and the checkpoint.
    tasks: Vec<(u32, u32, u32, String)>,
}

/// Most checkpoints in one row. A row holds 64 KiB, and a checkpoint with its task's numbers takes
/// about 40 bytes.
const MAX_CHECKPOINTS: usize = 1000;

impl Checkpoints {
    /// Creates a row of these checkpoints, at most [`MAX_CHECKPOINTS`] of them.
    pub(crate) fn new<'a>(tasks: impl Iterator<Item = (&'a Key, &'a String)>) -> Checkpoints {
        let row = |(key, checkpoint): (&Key, &String)| (key.0, key.1, key.2, checkpoint.clone());
        Checkpoints { tasks: tasks.map(row).take(MAX_CHECKPOINTS).collect() }
    }

    /// Returns the checkpoints by task key.
    pub(crate) fn by_task(&self) -> BTreeMap<Key, String> {
        let row = |(occurrence, step, index, checkpoint): &(u32, u32, u32, String)| {
            ((*occurrence, *step, *index), checkpoint.clone())
        };
        self.tasks.iter().map(row).collect()
    }
}

impl Owner {
    /// Loads a job's recorded checkpoints. Checkpoints that workers have reported since are kept.
    pub fn restore_checkpoints(&mut self, id: &str, checkpoints: &Checkpoints) {
        if let Some(entry) = self.jobs.get_mut(id) {
            for (key, checkpoint) in checkpoints.by_task() {
                entry.checkpoints.entry(key).or_insert(checkpoint);
            }
        }
    }
}
