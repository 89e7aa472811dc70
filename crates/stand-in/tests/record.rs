//! The record that the checker reads.

use std::io::Write;
use std::time::Duration;

use quincewheel_audit::{Event, Kind};
use quincewheel_stand_in::record::Record;

fn line(version: u64) -> String {
    let (at, process) = (Duration::from_secs(version), "p".to_owned());
    let event = Event { at, process, kind: Kind::Recorded { version } };
    format!("{}\n", serde_json::to_string(&event).unwrap())
}

/// Symptom: on a busy machine the checker reads that an answer came before all
/// members were done, though it did not. Sequence: an agent writes that a member
/// is done, then tells the owner; the caller is answered, and the record is looked
/// at. Cause: what is written waits until a thread of the looking process takes it
/// up; an answer that another thread took up may be in the record before the ends
/// that led to it.
#[test]
fn what_a_process_wrote_is_in_the_record_at_once() {
    let record = Record::default();
    let mut output = record.output().unwrap();
    let late = |version: &u64| {
        output.write_all(line(*version).as_bytes()).unwrap();
        record.events().unwrap().len() as u64 != *version
    };
    let late: Vec<u64> = (1..=100).filter(late).collect();
    assert_eq!(late, Vec::<u64>::new(), "events that were written and not seen");
}
