use std::ops::{Range, RangeInclusive};

use crate::job::Job;
use crate::progress::{MAX_CRASHES, MAX_LISTED_FAILURES};
use crate::slots::Slot;

/// How the progress of a job is divided into parts, each of which fits in a row of the table,
/// whatever the outcomes of its tasks.
///
/// The slots of a job are numbered by occurrence, step and index. A part holds the same number of
/// consecutive slots, as many as fit with the most that may be recorded of each. A gang is one slot,
/// since its members end together and must be recorded together.
#[derive(Clone, Debug)]
pub struct Layout {
    steps: Vec<Slots>,
    slots_per_occurrence: u64,
    slots_per_part: u64,
    parts: u32,
    listed: bool,
}

/// The slots of a step in each occurrence.
#[derive(Clone, Copy, Debug)]
struct Slots {
    /// The number of its first slot.
    first: u64,
    /// The number of slots.
    count: u32,
    /// The number of tasks.
    tasks: u32,
}

/// Bytes of a row beside its slots: names of fields, and the state.
const HEADER_BYTES: u64 = 256;
/// Bytes of the number of a run, and of the separator after it.
const RUN_BYTES: u64 = 21;
/// Bytes of a count and the number of a run, with brackets and separators.
const COUNTED_FAILURES_BYTES: u64 = 36;
/// Maps that may each name a slot.
const SLOT_MAP_COUNT: u64 = 6;

impl Layout {
    /// Returns how the progress of a job is divided if a row takes `row_bytes`.
    pub fn of(job: &Job, row_bytes: usize) -> Layout {
        let mut slots_per_occurrence = 0;
        let mut steps = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let count = if step.gang { 1 } else { step.count };
            steps.push(Slots { first: slots_per_occurrence, count, tasks: step.count });
            slots_per_occurrence += u64::from(count);
        }
        let slots = slots_per_occurrence * u64::from(job.occurrences());
        let room = (row_bytes as u64).saturating_sub(HEADER_BYTES);
        let slot_bytes = max_slot_bytes(job);
        let whole = slots.saturating_mul(slot_bytes).saturating_add(listed_gang_bytes(job));
        let listed = whole <= room;
        let slots_per_part = if listed { slots } else { room / slot_bytes }.max(1);
        let parts = u32::try_from(slots.div_ceil(slots_per_part)).unwrap_or(u32::MAX).max(1);
        let slots_per_occurrence = slots_per_occurrence.max(1);
        Layout { steps, slots_per_occurrence, slots_per_part, parts, listed }
    }

    /// Returns whether the job fits in one row with all its tasks listed one by one, which earlier
    /// versions can read.
    pub fn is_listed(&self) -> bool {
        self.listed
    }

    /// Returns the number of parts, which is 1 or more.
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// Returns the number of parts as the first one names it: 0 if the job is [`Layout::is_listed`].
    pub fn recorded_parts(&self) -> u32 {
        if self.listed { 0 } else { self.parts }
    }

    /// Returns the part that holds a slot.
    pub fn part_of(&self, (occurrence, step, index): Slot) -> u32 {
        let first = self.steps.get(step as usize).map_or(0, |step| step.first);
        let slot = u64::from(occurrence) * self.slots_per_occurrence + first + u64::from(index);
        let part = u32::try_from(slot / self.slots_per_part).unwrap_or(u32::MAX);
        part.min(self.parts - 1)
    }

    /// Returns the occurrences of which a part holds slots.
    pub(crate) fn occurrences(&self, part: u32) -> RangeInclusive<u32> {
        let slots = self.slots(part);
        let occurrence = |slot: u64| (slot / self.slots_per_occurrence).min(u32::MAX.into()) as u32;
        occurrence(slots.start)..=occurrence(slots.end - 1)
    }

    /// Returns the indexes of the tasks of a step of which a part holds the slots; all or none of a
    /// gang.
    pub(crate) fn indexes(&self, part: u32, occurrence: u32, step: u32) -> Range<u32> {
        let Some(step) = self.steps.get(step as usize) else { return 0..0 };
        let slots = self.slots(part);
        let first = u64::from(occurrence) * self.slots_per_occurrence + step.first;
        let index = |slot: u64| slot.saturating_sub(first).min(step.count.into()) as u32;
        let range = index(slots.start)..index(slots.end);
        if step.count == step.tasks || range.is_empty() { range } else { 0..step.tasks }
    }

    fn slots(&self, part: u32) -> Range<u64> {
        let first = u64::from(part) * self.slots_per_part;
        first..first + self.slots_per_part
    }
}

/// Most bytes that a slot may take in a part, alone in its occurrence and step.
fn max_slot_bytes(job: &Job) -> u64 {
    let widest = job.steps.iter().map(|step| step.count).max().unwrap_or(0);
    let names = [job.occurrences(), job.steps.len() as u32, widest].map(max_name_bytes);
    let failures = (job.queue.attempts.max(1) as usize).min(MAX_LISTED_FAILURES);
    let runs = (failures + 2 * MAX_CRASHES + 1) as u64 * RUN_BYTES;
    let range = 2 * u64::from(digits(widest)) + 4;
    names.iter().sum::<u64>() * SLOT_MAP_COUNT + runs + COUNTED_FAILURES_BYTES + range
}

/// Most bytes of a numbered entry of a map, without its value: quotes, colon, brackets, separator.
fn max_name_bytes(count: u32) -> u64 {
    u64::from(digits(count)) + 6
}

/// Bytes of the members of all gangs, which are listed one by one in a job that is [`Layout::is_listed`].
fn listed_gang_bytes(job: &Job) -> u64 {
    let gangs = job.steps.iter().filter(|step| step.gang);
    let bytes = gangs.map(|step| u64::from(step.count) * u64::from(digits(step.count) + 1));
    bytes.sum::<u64>().saturating_mul(job.occurrences().into())
}

/// Digits of the numbers below `count`.
fn digits(count: u32) -> u32 {
    count.saturating_sub(1).checked_ilog10().unwrap_or(0) + 1
}
