use std::collections::BTreeMap;

use quincewheel_job::Id;

use crate::cause::Cause;
use crate::standstill::Standstill;

/// Time between two scans for jobs of which nothing runs. A scan covers all jobs and workers.
const SCAN_INTERVAL_MS: u64 = 1000;
/// Most lines of either kind of one scan, so that a reader can follow them.
pub(crate) const MAX_LINES_PER_SCAN: usize = 10;

/// The jobs of which nothing runs beside free workers, as of the last scan.
#[derive(Debug, Default)]
pub(crate) struct Standstills {
    jobs: BTreeMap<Id, Standstill>,
    /// When the next scan is due.
    next_scan_at: u64,
}

impl Standstills {
    /// Returns whether a scan is due, and begins it.
    pub fn begin_scan(&mut self, now: u64) -> bool {
        let due = now >= self.next_scan_at;
        if due {
            self.next_scan_at = now + SCAN_INTERVAL_MS;
        }
        due
    }

    /// Returns whether no job stands.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Replaces the jobs by those that a scan found, and returns those that it did not find.
    pub fn replace(&mut self, found: BTreeMap<Id, Standstill>) -> BTreeMap<Id, Standstill> {
        let mut before = std::mem::replace(&mut self.jobs, found);
        for (id, standstill) in &mut self.jobs {
            standstill.logged_cause = before.remove(id).and_then(|known| known.logged_cause);
        }
        before
    }

    /// Returns the jobs to log now, those that have stood longest first, and marks them as logged.
    pub fn take_due_lines(&mut self) -> Vec<Standstill> {
        let mut due: Vec<&mut Standstill> =
            self.jobs.values_mut().filter(|standstill| standstill.needs_line()).collect();
        due.sort_by_key(|standstill| standstill.since);
        due.truncate(MAX_LINES_PER_SCAN);
        let mark = |standstill: &mut Standstill| {
            standstill.logged_cause = Some(standstill.wait.cause);
            standstill.clone()
        };
        due.into_iter().map(mark).collect()
    }

    /// Returns the number of jobs by cause.
    pub fn counts(&self) -> BTreeMap<Cause, usize> {
        let mut counts = BTreeMap::new();
        let causes = self.jobs.values().map(|standstill| standstill.wait.cause);
        causes.for_each(|cause| *counts.entry(cause).or_default() += 1);
        counts
    }
}
