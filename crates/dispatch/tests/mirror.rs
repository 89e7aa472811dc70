//! The table's rows as one process knows them.

mod harness;

use harness::{job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::rows::{self, Node, OWNER_KEY, Ownership};
use quincewheel_dispatch::{Mirror, RowEvent};
use quincewheel_job::{Progress, State};
use quincewheel_store::Change;

fn put(key: String, version: u64, value: &impl serde::Serialize) -> Change {
    Change { key, version, value: Some(serde_json::to_string(value).unwrap()) }
}

#[allow(clippy::field_reassign_with_default)] // the other fields are private
fn progress_in(state: State) -> Progress {
    let mut progress = Progress::default();
    progress.state = state;
    progress
}

#[test]
fn job_state_follows_from_its_rows_in_any_order() {
    let mut mirror = Mirror::default();
    let mut states = Vec::new();
    let state = |mirror: &Mirror| mirror.jobs.get("a").map(|view| view.state());
    for change in [
        put(rows::cancellation_key("a"), 1, &()),
        put(rows::job_key("a"), 2, &job(1, vec![step(1, 1)])),
        put(rows::progress_key("a"), 3, &progress_in(State::Succeeded)),
        Change { key: rows::job_key("a"), version: 4, value: None },
    ] {
        let news = mirror.apply(&change);
        states.push(format!("{:?} {news:?}", state(&mirror)));
    }
    assert_snapshot!(states.join("\n"), @r#"
    Some(Cancelled) Some(JobCancelled("a"))
    Some(Cancelled) Some(JobAccepted("a"))
    Some(Succeeded) None
    None None
    "#);
}

#[test]
fn older_ownership_row_does_not_replace_a_newer_one() {
    let mut mirror = Mirror::default();
    let owner = |epoch| Ownership { holder: "e".into(), epoch, ..Ownership::default() };
    mirror.apply(&put(OWNER_KEY.into(), 9, &owner(4)));
    let news = mirror.apply(&put(OWNER_KEY.into(), 7, &owner(3)));
    assert_eq!((news, mirror.owner.unwrap().0.epoch), (None, 4));
}

#[test]
fn malformed_row_is_reported_and_left_out() {
    let mut mirror = Mirror::default();
    let value = Some("{".to_owned());
    let news = mirror.apply(&Change { key: rows::job_key("a"), version: 1, value });
    assert!(matches!(news, Some(RowEvent::Malformed { .. })));
    assert!(mirror.jobs.is_empty());
    let node = Node { address: "10.0.0.1:7000".into(), entry: true, ..Node::default() };
    let first = mirror.apply(&put(rows::node_key("e1"), 2, &node));
    let again = mirror.apply(&put(rows::node_key("e1"), 3, &node));
    // The same row counts as news again: a process that registers again wants to be dialled.
    let news = || Some(RowEvent::NodeAnnounced("e1".into()));
    assert_eq!((first, again), (news(), news()));
}

// Memory and the table grew without end: the rows of ended jobs stayed, as nothing dropped them.
#[test]
fn only_ended_jobs_expire() {
    let mut mirror = Mirror::default();
    for id in ["a", "b", "c"] {
        mirror.apply(&put(rows::job_key(id), 1, &job(1, vec![step(1, 1)])));
    }
    mirror.apply(&put(rows::progress_key("a"), 2, &progress_in(State::Failed)));
    mirror.apply(&put(rows::cancellation_key("c"), 3, &()));
    let expired = [
        mirror.expired_rows(1000, 500, 20).jobs,
        mirror.expired_rows(1499, 500, 20).jobs,
        mirror.expired_rows(1500, 500, 20).jobs,
        mirror.expired_rows(1500, 500, 4).jobs,
    ];
    mirror.apply(&Change { key: rows::job_key("a"), version: 4, value: None });
    assert_snapshot!(format!("{expired:?} {:?}", mirror.expired_rows(9000, 500, 20).jobs), @r#"[[], [], ["a", "c"], ["a"]] ["c"]"#);
}

// A client was answered that its job had ended, and then that it was running: all rows are read
// again by a call that was answered before the job's last record.
#[test]
fn row_received_late_does_not_undo_a_later_one() {
    let mut mirror = Mirror::default();
    let row = put(rows::job_key("a"), 1, &job(1, vec![step(1, 1)]));
    let running = put(rows::progress_key("a"), 5, &progress_in(State::Running));
    mirror.apply(&row);
    mirror.apply(&put(rows::progress_key("a"), 9, &progress_in(State::Succeeded)));
    mirror.apply(&running);
    let state = |mirror: &Mirror| mirror.jobs.get("a").map(|view| view.state());
    let after_late_row = state(&mirror);
    mirror.reload(&[row, running], 6);
    assert_eq!((after_late_row, state(&mirror)), (Some(State::Succeeded), Some(State::Succeeded)));
}

#[test]
fn dropped_process_rows_are_news() {
    let mut mirror = Mirror::default();
    let value = Some(r#"{"address":"10.0.0.1:1"}"#.to_owned());
    let written = mirror.apply(&Change { key: "node/w0".into(), version: 1, value });
    let dropped = mirror.apply(&Change { key: "node/w0".into(), version: 2, value: None });
    assert_eq!(written, Some(RowEvent::NodeAnnounced("w0".into())));
    assert_eq!(dropped, Some(RowEvent::NodeRemoved("w0".into())));
}

// Nobody could own the deployment, or a new owner waited a lease for an agent that was never
// started, or a job stood still for ever: another program wrote a row under one of the system's
// keys, and its content was trusted because of the key.
#[test]
fn malformed_rows_of_another_writer_are_ignored() {
    let mut mirror = Mirror::default();
    let owner = Ownership { holder: "e".into(), epoch: 4, ..Ownership::default() };
    mirror.apply(&put(OWNER_KEY.into(), 3, &owner));
    let mut results = Vec::new();
    for (key, value) in [
        (OWNER_KEY.to_owned(), "\u{fffd}"),
        (rows::node_key("n1"), r#"{"address":"nowhere"}"#),
        (rows::node_key("n2"), r#"{"entry":false}"#),
        (rows::job_key("a"), "[]"),
        (rows::cancellation_key("a"), "\u{fffd}"),
        (rows::progress_key("a"), "7"),
        (rows::checkpoints_key("a"), "no row"),
        (rows::wave_key(1), r#"{"at":"now"}"#),
        ("times".to_owned(), "{\"queues\":1}"),
    ] {
        let change = Change { key, version: 9, value: Some(value.to_owned()) };
        let news = mirror.apply(&change);
        let left_out = matches!(news, Some(RowEvent::Malformed { .. }));
        results.push(format!("{} left out: {left_out}", change.key));
    }
    let mut endless = job(1, vec![step(1, 1)]);
    endless.steps[0].after = vec![5];
    let news = mirror.apply(&put(rows::job_key("b"), 10, &endless));
    results.push(format!("job/b left out: {}", matches!(news, Some(RowEvent::Malformed { .. }))));
    results.push(format!("{} jobs, {} processes", mirror.jobs.len(), mirror.nodes.len()));
    let (owner, version) = mirror.owner.unwrap();
    results.push(format!("owner {} of epoch {} at version {version}", owner.holder, owner.epoch));
    assert_snapshot!(results.join("\n"));
}

// A client got "no such job" for one that this entry had just accepted, and the owner did not
// decide over it. The table's history is compacted, so all rows are read; a job is stored and
// received while the answer is on its way. The known rows were replaced by an answer that was
// older.
#[test]
fn job_stored_after_all_rows_were_read_is_kept() {
    let mut mirror = Mirror::default();
    let row =
        |version| put(rows::job_key(&format!("j{version}")), version, &job(1, vec![step(1, 1)]));
    mirror.apply(&row(4));
    mirror.apply(&row(9));
    mirror.reload(&[row(5)], 7);
    let known: Vec<&String> = mirror.jobs.keys().collect();
    assert_snapshot!(format!("{known:?}"), @r#"["j5", "j9"]"#);
}

// A sound agent got no work until it registered again, 2 to 4 s later. Its row is dropped and
// written again; a new owner receives both from the feed; a call to the feed that was made earlier
// is answered after that, with only the drop. What arrived last was considered the latest state.
#[test]
fn feed_answer_overtaken_by_a_later_one_changes_nothing() {
    let mut mirror = Mirror::default();
    let node = |version: u64| {
        let node = Node { address: "10.0.0.1:7000".into(), ..Node::default() };
        put(rows::node_key("agent-1"), version, &node)
    };
    let dropped = Change { key: rows::node_key("agent-1"), version: 10, value: None };
    let changes = [node(8), dropped.clone(), node(12)];
    let first = mirror.apply_changes(&changes, 12).len();
    let overtaken = mirror.apply_changes(&[dropped], 10);
    assert_snapshot!(
        format!("{first} {overtaken:?} {} {}", mirror.nodes.len(), mirror.version),
        @"3 [] 1 12"
    );
}
