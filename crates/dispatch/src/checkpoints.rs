use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::entry::Key;
use crate::owner::Owner;

/// The newest checkpoints of a job's tasks, or a part of them, as a row in the table holds them.
///
/// Workers report checkpoints and keep them in memory only. If all workers lose power at once,
/// jobs continue from the recorded checkpoints and lose only the work done since.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoints {
    /// The number of the part.
    #[serde(default, skip_serializing_if = "is_first")]
    part: u32,
    /// Occurrence, step, index of the task (0 for a gang), and the checkpoint.
    tasks: Vec<(u32, u32, u32, String)>,
}

/// Bytes of a row beside its checkpoints.
const HEADER_BYTES: usize = 64;

fn is_first(part: &u32) -> bool {
    *part == 0
}

impl Checkpoints {
    /// Creates a row of these checkpoints, as many as fit in `row_bytes`. A task whose checkpoint is
    /// left out starts from the beginning if all workers lose power.
    pub(crate) fn new<'a>(
        part: u32,
        tasks: impl Iterator<Item = (&'a Key, &'a String)>,
        row_bytes: usize,
    ) -> Checkpoints {
        let mut room = row_bytes.saturating_sub(HEADER_BYTES);
        let mut row = Checkpoints { part, tasks: Vec::new() };
        for (key, checkpoint) in tasks {
            let task = (key.0, key.1, key.2, checkpoint.clone());
            let bytes = serde_json::to_string(&task).map_or(usize::MAX, |text| text.len() + 1);
            if bytes <= room {
                room -= bytes;
                row.tasks.push(task);
            }
        }
        row
    }

    /// Returns the number of the part.
    pub fn part(&self) -> u32 {
        self.part
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
                let part = entry.layout.part_of(key);
                if part != checkpoints.part {
                    // An earlier version recorded all in one row, which will hold one part.
                    entry.unrecorded_checkpoints.insert(part);
                }
                entry.checkpoints.entry(key).or_insert(checkpoint);
            }
        }
    }
}
