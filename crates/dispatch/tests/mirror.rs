//! The table's rows as one process knows them.

mod bed;

use bed::{job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::rows::{self, Node, OWNER_KEY, Ownership};
use quincewheel_dispatch::{Mirror, RowEvent};
use quincewheel_job::{Progress, State};
use quincewheel_store::Change;

fn put(key: String, version: u64, value: &impl serde::Serialize) -> Change {
    Change { key, version, value: Some(serde_json::to_string(value).unwrap()) }
}

#[allow(clippy::field_reassign_with_default)] // the other fields are private
fn ended(state: State) -> Progress {
    let mut progress = Progress::default();
    progress.state = state;
    progress
}

#[test]
fn a_job_is_shown_by_its_rows_in_whatever_order_they_come() {
    let mut mirror = Mirror::default();
    let mut told = Vec::new();
    let state = |mirror: &Mirror| mirror.jobs.get("a").map(|view| view.state());
    for change in [
        put(rows::cancellation_key("a"), 1, &()),
        put(rows::job_key("a"), 2, &job(1, vec![step(1, 1)])),
        put(rows::progress_key("a"), 3, &ended(State::Succeeded)),
        Change { key: rows::job_key("a"), version: 4, value: None },
    ] {
        let news = mirror.apply(&change);
        told.push(format!("{:?} {news:?}", state(&mirror)));
    }
    assert_snapshot!(told.join("\n"), @r#"
    Some(Cancelled) Some(JobCancelled("a"))
    Some(Cancelled) Some(JobAccepted("a"))
    Some(Succeeded) None
    None None
    "#);
}

#[test]
fn an_older_ownership_does_not_replace_a_newer_one() {
    let mut mirror = Mirror::default();
    let owner = |epoch| Ownership { holder: "e".into(), epoch, ..Ownership::default() };
    mirror.apply(&put(OWNER_KEY.into(), 9, &owner(4)));
    let news = mirror.apply(&put(OWNER_KEY.into(), 7, &owner(3)));
    assert_eq!((news, mirror.owner.unwrap().0.epoch), (None, 4));
}

#[test]
fn a_row_that_does_not_hold_what_it_should_is_told_and_left_out() {
    let mut mirror = Mirror::default();
    let value = Some("{".to_owned());
    let news = mirror.apply(&Change { key: rows::job_key("a"), version: 1, value });
    assert!(matches!(news, Some(RowEvent::Malformed { .. })));
    assert!(mirror.jobs.is_empty());
    let node = Node { address: "10.0.0.1:7000".into(), entry: true, ..Node::default() };
    let first = mirror.apply(&put(rows::node_key("e1"), 2, &node));
    let again = mirror.apply(&put(rows::node_key("e1"), 3, &node));
    // Told again, too: a process that announces itself anew wants to be dialled.
    let news = || Some(RowEvent::NodeAnnounced("e1".into()));
    assert_eq!((first, again), (news(), news()));
}

// Symptom: memory and the table grow without end. Sequence: jobs end, their rows
// stay. Cause: nobody dropped them.
#[test]
fn ended_jobs_expire_and_others_do_not() {
    let mut mirror = Mirror::default();
    for id in ["a", "b", "c"] {
        mirror.apply(&put(rows::job_key(id), 1, &job(1, vec![step(1, 1)])));
    }
    mirror.apply(&put(rows::progress_key("a"), 2, &ended(State::Failed)));
    mirror.apply(&put(rows::cancellation_key("c"), 3, &()));
    let told = [
        mirror.expired_jobs(1000, 500, 5),
        mirror.expired_jobs(1499, 500, 5),
        mirror.expired_jobs(1500, 500, 5),
        mirror.expired_jobs(1500, 500, 1),
    ];
    mirror.apply(&Change { key: rows::job_key("a"), version: 4, value: None });
    assert_snapshot!(format!("{told:?} {:?}", mirror.expired_jobs(9000, 500, 5)), @r#"[[], [], ["a", "c"], ["a"]] ["c"]"#);
}

// Symptom: a client is told that its job has ended, then that it runs. Sequence: all
// rows are read anew by a call that was answered before the job's last record.
#[test]
fn a_row_that_is_told_late_does_not_undo_a_later_one() {
    let mut mirror = Mirror::default();
    let row = put(rows::job_key("a"), 1, &job(1, vec![step(1, 1)]));
    let running = put(rows::progress_key("a"), 5, &ended(State::Running));
    mirror.apply(&row);
    mirror.apply(&put(rows::progress_key("a"), 9, &ended(State::Succeeded)));
    mirror.apply(&running);
    let state = |mirror: &Mirror| mirror.jobs.get("a").map(|view| view.state());
    let late = state(&mirror);
    mirror.reload(&[row, running], 6);
    assert_eq!((late, state(&mirror)), (Some(State::Succeeded), Some(State::Succeeded)));
}

#[test]
fn rows_of_processes_that_go_are_news() {
    let mut mirror = Mirror::default();
    let value = Some(r#"{"address":"10.0.0.1:1"}"#.to_owned());
    let there = mirror.apply(&Change { key: "node/w0".into(), version: 1, value });
    let gone = mirror.apply(&Change { key: "node/w0".into(), version: 2, value: None });
    assert_eq!(there, Some(RowEvent::NodeAnnounced("w0".into())));
    assert_eq!(gone, Some(RowEvent::NodeRemoved("w0".into())));
}

// Symptom: nobody can own the deployment, or a new owner waits a lease for an agent that
// nobody has started, or a job stands still for ever. Sequence: somebody else writes a row
// of the system's. Cause: what a row holds was believed by its key.
#[test]
fn rows_of_another_writer_make_no_owner_no_agent_and_no_job() {
    let mut mirror = Mirror::default();
    let owner = Ownership { holder: "e".into(), epoch: 4, ..Ownership::default() };
    mirror.apply(&put(OWNER_KEY.into(), 3, &owner));
    let mut told = Vec::new();
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
        told.push(format!("{} left out: {left_out}", change.key));
    }
    let mut endless = job(1, vec![step(1, 1)]);
    endless.steps[0].after = vec![5];
    let news = mirror.apply(&put(rows::job_key("b"), 10, &endless));
    told.push(format!("job/b left out: {}", matches!(news, Some(RowEvent::Malformed { .. }))));
    told.push(format!("{} jobs, {} processes", mirror.jobs.len(), mirror.nodes.len()));
    let (owner, version) = mirror.owner.unwrap();
    told.push(format!("owner {} of epoch {} at version {version}", owner.holder, owner.epoch));
    assert_snapshot!(told.join("\n"));
}

// Symptom: a client is told "no such job" of one that this entry has just accepted, and the
// owner does not decide over it. Sequence: the table forgets its history; all rows are read;
// a job is stored and told while the answer is on its way. Cause: what was known was replaced
// by an answer that is older.
#[test]
fn a_job_stored_since_all_rows_were_read_stays() {
    let mut mirror = Mirror::default();
    let row =
        |version| put(rows::job_key(&format!("j{version}")), version, &job(1, vec![step(1, 1)]));
    mirror.apply(&row(4));
    mirror.apply(&row(9));
    mirror.reload(&[row(5)], 7);
    let known: Vec<&String> = mirror.jobs.keys().collect();
    assert_snapshot!(format!("{known:?}"), @r#"["j5", "j9"]"#);
}

// Symptom: a sound agent gets no work until it announces itself again, 2 to 4 s later. Sequence: its
// row is dropped and written anew; a new owner has the feed tell both; a call to the feed that was
// made before is answered after that, and tells only the first. Cause: what came late was taken for
// what came last.
#[test]
fn an_answer_of_the_feed_that_is_overtaken_changes_nothing() {
    let mut mirror = Mirror::default();
    let node = |version: u64| {
        let node = Node { address: "10.0.0.1:7000".into(), ..Node::default() };
        put(rows::node_key("agent-1"), version, &node)
    };
    let gone = Change { key: rows::node_key("agent-1"), version: 10, value: None };
    let changes = [node(8), gone.clone(), node(12)];
    let first = mirror.apply_changes(&changes, 12).len();
    let late = mirror.apply_changes(&[gone], 10);
    assert_snapshot!(
        format!("{first} {late:?} {} {}", mirror.nodes.len(), mirror.version),
        @"3 [] 1 12"
    );
}
