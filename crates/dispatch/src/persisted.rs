/// Learned state that the owner keeps in a row of the table.
///
/// It only improves decisions, so it is recorded with other changes, at most once per interval, and
/// a new owner that cannot read it starts without it.
#[derive(Debug)]
pub(crate) struct Persisted<T> {
    value: T,
    changed: bool,
    recorded_at: Option<u64>,
    /// Shortest time between two records, in milliseconds.
    interval: u64,
}

impl<T: Clone + Default> Persisted<T> {
    pub fn new(interval: u64) -> Persisted<T> {
        Persisted { value: T::default(), changed: false, recorded_at: None, interval }
    }

    pub fn get(&self) -> &T {
        &self.value
    }

    /// Returns the value for a change, and marks it to be recorded.
    pub fn update(&mut self) -> &mut T {
        self.changed = true;
        &mut self.value
    }

    /// Changes the value, and marks it to be recorded if `change` returns true.
    pub fn change(&mut self, change: impl FnOnce(&mut T) -> bool) {
        self.changed |= change(&mut self.value);
    }

    /// Returns the value for a change that need not be recorded.
    pub fn get_mut(&mut self) -> &mut T {
        &mut self.value
    }

    /// Marks the value to be recorded.
    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// Replaces the value by the one that a previous owner recorded.
    pub fn restore(&mut self, value: T) {
        self.value = value;
        self.changed = false;
    }

    /// Returns the value if it is to be recorded now, and marks it as recorded.
    pub fn take_due(&mut self, now: u64) -> Option<T> {
        let due = self.recorded_at.is_none_or(|at| now >= at + self.interval);
        if !self.changed || !due {
            return None;
        }
        self.changed = false;
        self.recorded_at = Some(now);
        Some(self.value.clone())
    }

    /// Makes the value due again after a record that failed.
    pub fn retry(&mut self) {
        self.changed = true;
        self.recorded_at = None;
    }
}
