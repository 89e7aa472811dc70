//! What a new owner may start of older jobs before it has heard all agents: only steps that no previous
//! owner can have started.

mod harness;

use std::collections::BTreeMap;

use harness::{CLAIM_VERSION, Harness, end, job, run, step, task, worker};
use quincewheel_job::{End, How, Job, Run, Schedule, Step};
use quincewheel_wire::Notice;

/// The version of the table by which the previous owner had claimed epoch 1.
const PREVIOUS_CLAIM: u64 = 10;
/// A job that was accepted under the previous owner.
const ACCEPTED: u64 = 50;

/// A step of one task that waits for the step before it.
fn next(before: u32) -> Step {
    Step { after: vec![before], ..step(1, 1) }
}

/// Two steps, one after the other.
fn chain() -> Job {
    job(1, vec![step(1, 1), next(0)])
}

/// An owner of epoch 2 that is connected to agents 0 and 1. Agent 2 is silent: the previous owner may
/// have started anything there.
fn owner_of(old: Job, version: u64) -> Harness {
    let mut harness = Harness::new(2, 3);
    harness.owner.set_earlier_claims(&BTreeMap::from([(1, PREVIOUS_CLAIM)]));
    harness.owner.add_job("old", old, version, None);
    for number in 0..2 {
        harness.connect(number);
    }
    harness
}

/// Lets agent 0 list these runs, and then these ends; agent 1 lists nothing. Returns what starts.
fn after_lists(harness: &mut Harness, running: &[Run], ended: &[End]) -> String {
    harness.report_status(1, &[], &[]);
    harness.report_status(0, running, &[]);
    harness.advance(100);
    harness.report_status(0, &[], ended);
    harness.advance(100);
    harness.take_orders()
}

fn first_run() -> Run {
    run(task("old", 0, 0), 1)
}

fn done(run: u64) -> End {
    end(1, task("old", 0, 0), run, How::Done)
}

// Guards against steps that wait beside idle workers for an agent that is silent, although they became
// ready through an end that only this owner can have heard.
#[test]
fn a_step_that_no_previous_owner_can_have_started_does_not_wait_for_a_silent_agent() {
    let mut harness = owner_of(chain(), ACCEPTED);
    let orders = after_lists(&mut harness, &[first_run()], &[done(1)]);
    assert_eq!(orders, "w0 start old.0.1.0 run 1001 ");
    assert!(!harness.owner.is_settled());
}

// Guards against the same wait in the step after that one, whose predecessor this owner has started.
#[test]
fn a_step_after_one_that_this_owner_has_started_does_not_wait_either() {
    let mut harness = owner_of(job(1, vec![step(1, 1), next(0), next(1)]), ACCEPTED);
    after_lists(&mut harness, &[first_run()], &[done(1)]);
    let failed = end(2, task("old", 1, 0), 1001, How::Failed);
    harness.report_status(0, &[], &[failed]);
    harness.advance(100);
    let again = harness.take_orders();
    let number = again.split_whitespace().next_back().expect("it starts again");
    assert_eq!(number, "1002");
    let agent = if again.starts_with("w0") { 0 } else { 1 };
    harness.report_status(agent, &[], &[end(3, task("old", 1, 0), 1002, How::Done)]);
    harness.advance(100);
    assert!(harness.take_orders().contains("start old.0.2.0 run 1001"));
    assert!(!harness.owner.is_settled());
}

// Guards against a second run of a step that the previous owner started at the silent agent: it heard the
// end, and died before it recorded or acknowledged it.
#[test]
fn a_step_waits_if_the_first_list_has_the_end_that_made_it_ready() {
    let mut harness = owner_of(chain(), ACCEPTED);
    harness.report_status(1, &[], &[]);
    harness.report_status(0, &[], &[done(1)]);
    harness.advance(100);
    assert_eq!(harness.take_orders(), "nothing");
    // The silent worker answers.
    harness.connect(2);
    harness.report_status(2, &[run(task("old", 1, 0), 1)], &[]);
    harness.advance(100);
    assert_eq!(harness.take_orders(), "nothing");
}

// Guards against the same where the list is older than this owner's epoch: the previous owner may have
// heard of the end since.
#[test]
fn a_step_waits_if_the_run_before_it_was_listed_under_an_earlier_epoch_only() {
    let mut harness = owner_of(chain(), ACCEPTED);
    harness.report_status(1, &[], &[]);
    let (running, ended) = (vec![first_run()], Vec::new());
    let stale = Notice::Status {
        listed_at: None,
        stamp: harness.now,
        worker: Some(worker(0)),
        fenced: false,
        running,
        ended,
        truncated: false,
    };
    harness.deliver(0, stale);
    harness.report_status(0, &[], &[done(1)]);
    harness.advance(100);
    assert_eq!(harness.take_orders(), "nothing");
}

// Guards against a second run of a step where an earlier run of the task before it was taken for over, and
// has ended as done after all: the previous owner heard of that.
#[test]
fn a_step_waits_if_the_task_before_it_had_an_earlier_run() {
    let mut harness = owner_of(chain(), ACCEPTED);
    let second = run(task("old", 0, 0), 2);
    assert_eq!(after_lists(&mut harness, &[second], &[done(2)]), "nothing");
}

// Guards against the same where the earlier run was of an epoch before that of the listed one.
#[test]
fn a_step_waits_if_the_job_is_older_than_the_epoch_of_the_listed_run() {
    let mut harness = owner_of(chain(), PREVIOUS_CLAIM);
    assert_eq!(after_lists(&mut harness, &[first_run()], &[done(1)]), "nothing");
    let mut unknown = owner_of(chain(), ACCEPTED);
    unknown.owner.set_earlier_claims(&BTreeMap::new());
    assert_eq!(after_lists(&mut unknown, &[first_run()], &[done(1)]), "nothing");
}

// Guards against a second run of a step where the listed run was lost with its worker, and a previous owner
// learned of that first: it started the task again, and then the step, and only the end of the second run
// is heard.
#[test]
fn a_step_waits_if_another_run_than_the_listed_one_has_ended() {
    let mut harness = owner_of(chain(), ACCEPTED);
    let other = end(1, task("old", 0, 0), 2, How::Done);
    let lost = [end(1, task("old", 0, 0), 1, How::Broken)];
    let mut orders = after_lists(&mut harness, &[first_run()], &lost);
    harness.report_status(1, &[], &[other]);
    harness.advance(100);
    orders.push_str(&harness.take_orders());
    assert_eq!(orders, "nothingnothing");
}

// Guards against a second run of a task whose listed run was lost: a previous owner that learns of the loss
// first, as the agent of a machine that restarts may follow it again, starts the task elsewhere.
#[test]
fn a_task_whose_listed_run_has_ended_otherwise_waits() {
    for how in [How::Failed, How::Stopped, How::Lapsed, How::Broken] {
        let mut harness = owner_of(chain(), ACCEPTED);
        let ended = [end(1, task("old", 0, 0), 1, how)];
        assert_eq!(after_lists(&mut harness, &[first_run()], &ended), "nothing", "{how:?}");
    }
}

// Guards against a second run of a step after one whose tasks may have copies, of which the previous owner
// may have heard.
#[test]
fn a_step_waits_if_the_task_before_it_may_have_had_a_copy() {
    let first = Step { speculative: true, ..step(1, 1) };
    let mut harness = owner_of(job(1, vec![first, next(0)]), ACCEPTED);
    assert_eq!(after_lists(&mut harness, &[first_run()], &[done(1)]), "nothing");
}

/// A gang of two members, and a step after it.
fn gang_first() -> Job {
    job(1, vec![Step { gang: true, ..step(2, 1) }, next(0)])
}

// Guards against steps after a gang that wait for a silent agent although the whole gang ran at agents that
// follow this owner.
#[test]
fn a_step_after_a_gang_does_not_wait_if_all_members_were_listed() {
    let mut harness = owner_of(gang_first(), ACCEPTED);
    harness.report_status(1, &[run(task("old", 0, 1), 1)], &[]);
    harness.report_status(0, &[first_run()], &[]);
    harness.report_status(0, &[], &[done(1)]);
    harness.report_status(1, &[], &[end(1, task("old", 0, 1), 1, How::Done)]);
    harness.advance(100);
    assert!(harness.take_orders().contains("start old.0.1.0 run 1001"));
    assert!(!harness.owner.is_settled());
}

// Guards against a second run of a step after a gang: a member at the silent agent ended first, which the
// previous owner heard, and the end of one member ends the gang.
#[test]
fn a_step_after_a_gang_waits_if_a_member_was_not_listed() {
    let mut harness = owner_of(gang_first(), ACCEPTED);
    assert_eq!(after_lists(&mut harness, &[first_run()], &[done(1)]), "nothing");
}

// Guards against other tasks of a job that start along with a step that may: one of the same job that the
// previous owner may have started at the silent agent has to wait.
#[test]
fn other_steps_of_the_same_job_go_on_waiting() {
    let mut harness = owner_of(job(1, vec![step(1, 1), next(0), step(2, 1)]), ACCEPTED);
    let orders = after_lists(&mut harness, &[first_run()], &[done(1)]);
    assert_eq!(orders, "w0 start old.0.1.0 run 1001 ");
}

// Guards against an occurrence that is started twice: the previous owner's clock may be ahead, so that it has
// started one that is due for this owner only after the claim.
#[test]
fn an_occurrence_that_becomes_due_after_the_claim_waits() {
    let mut old = job(1, vec![step(1, 1)]);
    let schedule = Schedule { times: 1, first: 10_300, every: 1000 };
    old.schedule = Some(schedule);
    let mut harness = owner_of(old, CLAIM_VERSION - 1);
    harness.report_status(0, &[], &[]);
    harness.report_status(1, &[], &[]);
    harness.advance(1000);
    assert_eq!(harness.take_orders(), "nothing");
}
