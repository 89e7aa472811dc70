//! Which workers tasks use, by the attempts that they have left.

mod harness;
mod site;

use harness::{job, step, task, worker};
use insta::assert_snapshot;
use quincewheel_dispatch::{Learned, Mirror, Settings};
use quincewheel_job::{How, Step};
use quincewheel_store::Change;
use quincewheel_wire::Notice;
use site::Site;

/// A step of whole workers.
fn whole(count: u32) -> Vec<Step> {
    vec![step(count, 8)]
}

/// Fills the sound workers w0 and w1 of four, and lets the first attempt of `a` fail late at w2.
fn with_last_attempt_waiting(attempts: u32) -> (Site, String) {
    let mut site = Site::with_sound(4, 2);
    let mut lines = vec![site.add("long", job(1, whole(2)))];
    let mut short = job(1, whole(1));
    short.queue.attempts = attempts;
    lines.push(site.add("a", short));
    site.pass(2000);
    site.end(2, How::Failed);
    lines.push(site.take_starts());
    (site, lines.join("\n"))
}

// The second failure of a task with two attempts is the failure of its job, so its last attempt must
// not be what shows that a worker is faulty.
#[test]
fn last_attempt_waits_for_a_sound_worker_and_takes_an_unknown_one_after_5_s() {
    let (mut site, begun) = with_last_attempt_waiting(2);
    let start = site.next_start(9000);
    let logs = site.harness.take_logs();
    assert_snapshot!(format!("{begun}\n{start}\n{logs}"), @r"
    long.0.0.0 at w0, long.0.0.1 at w1
    a.0.0.0 at w2
    nothing
    after 5000 ms a.0.0.0 at w2
    waits a: a.0.0, 1 tasks, 1000 ms: waits for a sound worker: 2 sound; doubtful: none; an unknown one had room 1000 ms ago
    ");
}

#[test]
fn last_attempt_starts_as_soon_as_a_sound_worker_is_free() {
    let (mut site, begun) = with_last_attempt_waiting(2);
    site.pass(1000);
    site.end(1, How::Done);
    let start = site.next_start(9000);
    assert_snapshot!(format!("{begun}\n{start}"), @r"
    long.0.0.0 at w0, long.0.0.1 at w1
    a.0.0.0 at w2
    nothing
    after 0 ms a.0.0.0 at w1
    ");
}

#[test]
fn attempt_that_is_not_the_last_does_not_wait() {
    let (_, begun) = with_last_attempt_waiting(3);
    assert_snapshot!(begun, @r"
    long.0.0.0 at w0, long.0.0.1 at w1
    a.0.0.0 at w2
    a.0.0.0 at w3
    ");
}

// In a new deployment, and after the rows of a former owner are lost, all workers are unknown.
#[test]
fn last_attempt_does_not_wait_where_no_worker_is_known_to_be_sound() {
    let mut site = Site::new(1, 2);
    let first = site.add("a", job(1, whole(1)));
    site.pass(2000);
    site.end(0, How::Failed);
    assert_snapshot!(format!("{first}\n{}", site.next_start(1000)), @r"
    a.0.0.0 at w0
    after 0 ms a.0.0.0 at w1
    ");
}

#[test]
fn queue_with_one_attempt_prefers_sound_workers_and_does_not_wait() {
    let mut site = Site::with_sound(4, 1);
    let mut single = job(1, whole(1));
    single.queue.attempts = 1;
    let first = site.add("a", single.clone());
    let second = site.add("b", single);
    assert_snapshot!(format!("{first}\n{second}"), @r"
    a.0.0.0 at w0
    b.0.0.0 at w1
    ");
}

// Workers that failed everything within 50 ms were free again at once, and took most of what waited.
#[test]
fn doubtful_worker_takes_one_task_at_a_time_and_no_last_attempt() {
    let mut site = Site::with_sound(4, 3);
    let mut lines = vec![site.add("long", job(1, whole(3)))];
    lines.push(site.add("a", job(1, whole(1))));
    site.end(3, How::Failed);
    lines.push(site.take_starts());
    // Twelve tasks that have two attempts left; the last attempt of `a` must not go to w3.
    lines.push(site.add("b", job(1, vec![step(12, 1)])));
    lines.push(site.next_start(5000));
    site.end(3, How::Failed);
    lines.push(site.next_start(5000));
    lines.push(site.grades());
    site.pass(2000);
    site.end(3, How::Done);
    lines.push(site.take_starts());
    lines.push(site.grades());
    site.end(0, How::Done);
    lines.push(site.take_starts());
    lines.push(site.harness.take_logs());
    assert_snapshot!(lines.join("\n"), @r"
    long.0.0.0 at w0, long.0.0.1 at w1, long.0.0.2 at w2
    a.0.0.0 at w3
    nothing
    nothing
    after 1000 ms b.0.0.0 at w3
    after 2000 ms b.0.0.1 at w3
    3 sound, 0 unknown, 1 doubtful
    b.0.0.0 at w3, b.0.0.2 at w3, b.0.0.3 at w3, b.0.0.4 at w3, b.0.0.5 at w3, b.0.0.6 at w3, b.0.0.7 at w3, b.0.0.8 at w3
    4 sound, 0 unknown, 0 doubtful
    b.0.0.9 at w0, b.0.0.10 at w0, b.0.0.11 at w0
    worker doubted w3: w3: a run of a failed; 1 failures in a row, 1 at once, of 1 jobs, the first 0 ms ago, the last 0 ms ago; no success; next trial in 1000 ms
    waits a: a.0.0, 1 tasks, 1000 ms: no room: room for 0 of 1, for 1 if nothing ran
    waits b: b.0.0, 11 tasks, 1000 ms: no room: room for 0 of 11, for 11 if nothing ran
    worker doubted w3: w3: a run of b failed; 2 failures in a row, 2 at once, of 2 jobs, the first 1000 ms ago, the last 0 ms ago; no success; next trial in 2000 ms
    waits a: a.0.0, 1 tasks, 2000 ms: waits for a sound worker: 3 sound; doubtful: w3
    waits b: b.0.0, 11 tasks, 2000 ms: waits for a sound worker: 3 sound; doubtful: w3
    waits a: a.0.0, 1 tasks, 3000 ms: no room: room for 0 of 1, for 1 if nothing ran
    waits b: b.0.0, 10 tasks, 3000 ms: no room: room for 0 of 10, for 10 if nothing ran
    waits b: b.0.0, 10 tasks, 4000 ms: waits for a sound worker: 3 sound; doubtful: w3
    worker sound again w3: w3: a run of b succeeded; before: 2 failures in a row, 2 at once, of 2 jobs, the first 5000 ms ago, the last 4000 ms ago; no success
    waits b: b.0.0, 3 tasks, 5000 ms: no room: room for 0 of 3, for 3 if nothing ran
    ");
}

// A gang has one attempt for all members. Its last one must not have a member on a faulty worker.
#[test]
fn members_of_a_gang_are_placed_by_the_attempts_that_the_gang_has_left() {
    let mut site = Site::with_sound(4, 3);
    let gang = || vec![Step { gang: true, ..step(2, 8) }];
    let mut lines = vec![site.add("long", job(1, whole(1)))];
    lines.push(site.add("a", job(1, gang())));
    site.pass(2000);
    site.end(1, How::Failed);
    site.end(2, How::Broken);
    lines.push(site.add("b", job(1, whole(1))));
    lines.push(site.next_start(2000));
    site.end(0, How::Done);
    lines.push(site.next_start(4000));
    assert_snapshot!(lines.join("\n"), @r"
    long.0.0.0 at w0
    a.0.0.0 at w1, a.0.0.1 at w2
    b.0.0.0 at w2
    after 2000 ms nothing
    after 500 ms a.0.0.0 at w0, a.0.0.1 at w1
    ");
}

// The members of a gang wait for the last one, so a gang that fails at once may fail long after the
// start of the member that failed.
#[test]
fn time_in_which_a_gang_waits_for_its_members_does_not_count_as_run_time() {
    let mut site = Site::new(1, 2);
    let gang = vec![Step { gang: true, ..step(2, 8) }];
    site.harness.owner.add_job("a", job(1, gang), 150, None);
    site.harness.tick();
    site.running = (0..2).map(|number| (number, task("a", 0, number as u32), 1)).collect();
    for (number, wait) in [(0, 800), (1, 50)] {
        let started = Notice::Started { task: task("a", 0, number as u32), run: 1 };
        site.harness.deliver(number, started);
        site.harness.advance(wait);
    }
    site.end(0, How::Failed);
    assert_snapshot!(site.grades(), @"0 sound, 1 unknown, 1 doubtful");
}

// The tasks of a wide step were placed together, and a few last attempts would make all wait.
#[test]
fn tasks_of_one_step_on_their_last_attempt_do_not_hold_up_the_others() {
    let mut site = Site::with_sound(4, 1);
    let mut lines = vec![site.add("a", job(1, whole(6)))];
    site.pass(2000);
    site.end(1, How::Failed);
    lines.push(site.take_starts());
    site.end(2, How::Failed);
    lines.push(site.take_starts());
    assert_snapshot!(lines.join("\n"), @r"
    a.0.0.0 at w0, a.0.0.1 at w1, a.0.0.2 at w2, a.0.0.3 at w3
    a.0.0.4 at w1
    a.0.0.5 at w2
    ");
}

// An owner died, and the next one gave full loads to workers that were known to fail everything.
#[test]
fn next_owner_reads_what_was_recorded_of_workers() {
    let mut site = Site::with_sound(2, 1);
    site.add("a", job(1, whole(2)));
    site.end(1, How::Failed);
    let batch = site.harness.record();
    let row = serde_json::to_string(&batch.learned.trust).unwrap();
    let mut next = Site::new(2, 2);
    let learned = Learned { trust: serde_json::from_str(&row).unwrap(), ..Learned::default() };
    next.harness.owner.restore_learned(&learned);
    let begun = next.grades();
    next.add("b", job(1, vec![step(12, 1)]));
    let started = next.running.iter().filter(|(worker, ..)| *worker == 1).count();
    assert_snapshot!(format!("{begun}\n{started} tasks at w1"), @r"
    0 sound, 1 unknown, 1 doubtful
    0 tasks at w1
    ");
}

// Another version, or another program, wrote what this one cannot read. The owner must start without
// it, and with a log line, which the entry writes for a malformed row.
#[test]
fn row_that_cannot_be_read_is_ignored() {
    let mut mirror = Mirror::default();
    let values = [r#"{"workers":[]}"#, r#"{"workers":{"i0":{"failures":-1}}}"#, r#"{"grades":7}"#];
    let results = values.map(|value| {
        let value = Some(value.to_owned());
        let event = mirror.apply(&Change { key: "trust".to_owned(), version: 9, value });
        format!("{:?} {:?}", event.is_some(), mirror.learned.trust)
    });
    assert_snapshot!(results.join("\n"), @r"
    true None
    true None
    false Some(Trust { workers: {}, recent: [] })
    ");
}

// A run of a previous owner that failed just after the new owner had learned of it counted as a
// failure at once.
#[test]
fn failure_of_an_adopted_run_is_not_immediate() {
    let mut site = Site::new(2, 1);
    site.harness.owner.add_job("a", job(1, whole(1)), 50, None);
    site.running.push((0, task("a", 0, 0), 7));
    site.pass(100);
    site.end(0, How::Failed);
    assert_snapshot!(site.grades(), @"0 sound, 1 unknown, 0 doubtful");
}

// The table was down while a worker failed, and what was known of it was lost with the write.
#[test]
fn trust_that_could_not_be_recorded_is_recorded_later_and_at_most_once_a_second() {
    let mut site = Site::new(1, 2);
    let mut lines = Vec::new();
    site.add("a", job(1, whole(2)));
    for (number, written) in [(0, false), (0, true), (1, true)] {
        site.end(number, How::Failed);
        let batch = site.harness.owner.next_batch().unwrap();
        site.harness.owner.on_recorded(&batch, written);
        lines.push(batch.learned.trust.is_some().to_string());
    }
    site.pass(1000);
    let batch = site.harness.record();
    lines.push(batch.learned.trust.is_some().to_string());
    assert_snapshot!(lines.join(" "), @"true true false true");
}

// A worker that restarts under its id may have been mended, and its ends are numbered from 1 again.
#[test]
fn record_of_a_worker_is_dropped_with_its_incarnation() {
    let mut site = Site::new(1, 1);
    site.add("a", job(1, whole(1)));
    site.end(0, How::Failed);
    let before = site.grades();
    let worker = Some(quincewheel_job::Worker { born: 7, ..worker(0) });
    let (running, ended) = (Vec::new(), Vec::new());
    let stamp = site.harness.now;
    site.harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: true,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(format!("{before}\n{}", site.grades()), @r"
    0 sound, 0 unknown, 1 doubtful
    0 sound, 1 unknown, 0 doubtful
    ");
}

// An agent lists an end until it is recorded, also after a new connection.
#[test]
fn failure_that_is_reported_twice_counts_once() {
    let mut site = Site::new(1, 1);
    site.add("a", job(1, whole(1)));
    let ends = [harness::end(1, task("a", 0, 0), 1, How::Failed)];
    site.harness.report_status(0, &[], &ends);
    site.harness.owner.on_disconnected(0);
    site.harness.connect(0);
    site.harness.report_status(0, &[], &ends);
    site.harness.owner.cancel("a", site.harness.now);
    site.running.clear();
    site.ends.insert(0, 1);
    let mut lines = vec![site.add("b", job(1, whole(1)))];
    lines.push(site.next_start(2000));
    site.end(0, How::Failed);
    lines.push(site.harness.take_logs());
    assert_snapshot!(lines.join("\n"), @r"
    nothing
    after 1000 ms b.0.0.0 at w0
    worker doubted w0: w0: a run of a failed; 1 failures in a row, 1 at once, of 1 jobs, the first 0 ms ago, the last 0 ms ago; no success; next trial in 1000 ms
    worker doubted w0: w0: a run of b failed; 2 failures in a row, 2 at once, of 2 jobs, the first 1000 ms ago, the last 0 ms ago; no success; next trial in 2000 ms
    ");
}

#[test]
fn failures_count_against_no_worker_while_the_part_is_off() {
    let mut site = Site::new(1, 1);
    site.harness.owner.update_settings(Settings::default());
    site.add("a", job(1, whole(1)));
    site.end(0, How::Failed);
    assert_snapshot!(format!("{}\n{}", site.grades(), site.add("b", job(1, whole(1)))), @r"
    0 sound, 0 unknown, 0 doubtful
    b.0.0.0 at w0
    ");
}
