use quincewheel_job::{Incarnation, Task};

/// A presumed crash: an incarnation of the worker that ended without notice while it had not
/// survived its last starts.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub worker: Incarnation,
    pub causes: Causes,
    /// When the end of the incarnation was detected.
    pub at: u64,
}

/// Starts that may have crashed the worker: tasks and numbers of their runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Causes {
    /// The last starts before the crash; one of them is the probable cause.
    pub likely: Vec<(Task, u64)>,
    /// Other starts that the worker is not known to have survived.
    pub possible: Vec<(Task, u64)>,
}

impl Causes {
    pub fn is_empty(&self) -> bool {
        self.likely.is_empty() && self.possible.is_empty()
    }

    /// Adds the causes that are not known yet, or are known as possible and now likely. Returns
    /// whether there were any.
    pub fn add(&mut self, other: Causes) -> bool {
        let before = (self.likely.len(), self.possible.len());
        for start in other.likely {
            if !self.likely.contains(&start) {
                self.possible.retain(|known| *known != start);
                self.likely.push(start);
            }
        }
        for start in other.possible {
            if !self.contains(&start) {
                self.possible.push(start);
            }
        }
        (self.likely.len(), self.possible.len()) != before
    }

    /// Removes a start that turned out not to have reached the worker. Returns whether it was known.
    pub fn remove(&mut self, start: &(Task, u64)) -> bool {
        let known = self.contains(start);
        self.likely.retain(|known| known != start);
        self.possible.retain(|known| known != start);
        known
    }

    fn contains(&self, start: &(Task, u64)) -> bool {
        self.likely.contains(start) || self.possible.contains(start)
    }
}
