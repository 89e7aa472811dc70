//! Tasks that crash every worker that starts them, and tasks that run beside them.

mod crashing_pool;
mod harness;

use crashing_pool::CrashingPool;
use harness::{Harness, job, step};
use insta::assert_snapshot;
use quincewheel_dispatch::Settings;
use quincewheel_job::{Task, Worker};
use quincewheel_wire::Notice;

// One task was started on all eleven workers within 6 s; each crashed within 10 ms of the start,
// and whatever ran beside it was lost each time and started again as soon as workers were back. The
// worker confirms the start and dies, the platform's list no longer names that incarnation, so the
// owner considers the run lost and starts the task elsewhere in the same round. Only ends that a
// worker listed as failed counted as attempts, and a worker that crashes lists none.
#[test]
fn task_that_crashes_every_worker_fails_after_three_crashes() {
    let mut pool = CrashingPool::new(1, 11);
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.advance(30_000);
    let state = pool.harness.owner.has_ended("bad");
    assert_snapshot!(
        format!("{} starts, {} crashes, ended {state}", pool.starts.len(), pool.crashes),
        @"3 starts, 3 crashes, ended true"
    );
}

// The same where workers restart under the same id and no machine list shows that they were down. A
// crash counts once another incarnation reports; it was forgotten if that one had the same id.
#[test]
fn task_that_crashes_workers_that_keep_their_ids_fails() {
    let mut pool = CrashingPool::new(1, 4);
    pool.harness.owner.update_settings(Settings::default());
    pool.keeps_worker_ids = true;
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.advance(60_000);
    let ended = pool.harness.owner.has_ended("bad");
    assert_snapshot!(
        format!("{} starts, {} crashes, ended {ended}", pool.starts.len(), pool.crashes),
        @"3 starts, 3 crashes, ended true"
    );
}

// A sound job failed beside a crashing one. After the pool has lost its workers, all waiting tasks
// start in one round at the first worker that is back, the crashing task among them, and are lost
// with it; the same happens at the next worker. Everything that had just started when a worker
// crashed was counted, with nothing to tell which task was the cause.
#[test]
fn task_started_beside_a_crashing_one_does_not_fail() {
    let mut pool = CrashingPool::new(1, 1);
    pool.crashing_jobs = vec!["bad"];
    for (name, version) in [("a", 150), ("bad", 151), ("c", 152)] {
        pool.submit(name, job(1, vec![step(1, 1)]), version);
    }
    pool.advance(30_000);
    assert_snapshot!(pool.summaries(&["a", "bad", "c"]), @r"
    a: 4 starts
    bad: 3 starts, ended
    c: 2 starts
    3 crashes
    ");
}

// The same where many jobs wait and several of them crash workers: each of those costs at most
// three workers, and no sound one fails.
#[test]
fn several_crashing_tasks_are_told_apart_from_sound_ones() {
    let mut pool = CrashingPool::new(1, 2);
    pool.crashing_jobs = vec!["bad1", "bad2"];
    let jobs = ["a", "bad1", "c", "bad2", "e", "f"];
    for (name, version) in jobs.into_iter().zip(150..) {
        pool.submit(name, job(1, vec![step(1, 1)]), version);
    }
    pool.advance(60_000);
    let starts = |job: &str| pool.starts.iter().filter(|start| start.starts_with(job)).count();
    let most = pool.crashing_jobs.iter().map(|job| starts(job)).max();
    let ended: Vec<&str> =
        jobs.into_iter().filter(|job| pool.harness.owner.has_ended(job)).collect();
    assert_snapshot!(format!("{ended:?} {most:?}"), @r#"["bad1", "bad2"] Some(3)"#);
}

// The same task crashed workers again under each new owner: the task has crashed two workers when
// the owner is replaced, and the crash count was not recorded.
#[test]
fn crash_count_survives_a_change_of_owner() {
    let mut pool = CrashingPool::new(1, 11);
    pool.crashing_jobs = vec!["bad"];
    let bad = job(1, vec![step(1, 4)]);
    pool.submit("bad", bad.clone(), 150);
    for epoch in 2..5 {
        pool.advance(400);
        pool.take_over(epoch, vec![("bad", bad.clone())]);
        pool.advance(7000);
    }
    assert_snapshot!(pool.summaries(&["bad"]), @r"
    bad: 3 starts, ended
    3 crashes
    ");
}

// While the table accepts no writes, nothing of a job starts until its crash is recorded.
#[test]
fn job_does_not_start_until_its_crash_is_recorded() {
    let mut pool = CrashingPool::new(1, 11);
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.table_writable = false;
    pool.advance(5000);
    let before = pool.summaries(&["bad"]);
    pool.table_writable = true;
    pool.advance(5000);
    assert_snapshot!(format!("{before}\n-- the table is back\n{}", pool.summaries(&["bad"])), @r"
    bad: 1 starts
    1 crashes
    -- the table is back
    bad: 3 starts, ended
    3 crashes
    ");
}

// Tasks of one job are alike: the first suspect is tried alone, and the others do not cost a worker
// each.
#[test]
fn other_tasks_of_a_suspected_job_wait_for_the_first_suspect() {
    let mut pool = CrashingPool::new(1, 11);
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(20, 8)]), 150);
    pool.advance(30_000);
    let before = pool.starts.iter().take_while(|start| **start != "bad.0.0.0").count();
    assert_snapshot!(format!("{before} {}", pool.summary("bad")), @"0 bad: 13 starts, ended");
}

// A gang is counted as one, by its starts.
#[test]
fn gang_that_crashes_workers_fails_as_one() {
    let mut pool = CrashingPool::new(1, 11);
    pool.crashing_jobs = vec!["bad"];
    let mut bad = job(1, vec![step(3, 8)]);
    bad.steps[0].gang = true;
    pool.submit("bad", bad, 150);
    pool.advance(30_000);
    assert_snapshot!(pool.summaries(&["bad"]), @r"
    bad: 9 starts, ended
    9 crashes
    ");
}

// A worker that happens to crash just after a start fails nobody's job: a task that has outlived a
// start begins its count anew.
#[test]
fn crashes_by_chance_are_forgotten_once_a_start_is_outlived() {
    let mut pool = CrashingPool::new(1, 4);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    for _ in 0..6 {
        pool.advance(10);
        while pool.running.iter().all(Vec::is_empty) {
            pool.advance(10);
        }
        let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0);
        let run = pool.running[number][0].clone();
        pool.crash(number as u64, vec![(run.task, run.number)]);
        // The task outlives every second start.
        while pool.running.iter().all(Vec::is_empty) {
            pool.advance(10);
        }
        pool.advance(3000);
        let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0);
        pool.crash(number as u64, Vec::new());
    }
    assert_snapshot!(pool.summaries(&["a"]), @r"
    a: 12 starts
    12 crashes
    ");
}

// A worker that shuts down in good order breaks its connections, too.
#[test]
fn orderly_worker_shutdown_is_not_a_crash() {
    let mut pool = CrashingPool::new(1, 2);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    pool.advance(10);
    let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0) as u64;
    let worker = pool.worker(number).incarnation();
    let run = pool.running[number as usize][0].clone();
    let starts = vec![(run.task, run.number)];
    pool.harness.logged_events = vec!["crash suspected"];
    pool.harness
        .deliver(number, Notice::Broke { worker: worker.clone(), starts, possible: Vec::new() });
    pool.harness.deliver(number, Notice::Left { worker });
    let worker = Some(Worker { id: "next".into(), ..harness::worker(number) });
    let (stamp, running, ended) = (pool.harness.now, Vec::new(), Vec::new());
    pool.harness.deliver(
        number,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(pool.harness.take_logs(), @"nothing");
}

// A task kept crashing workers on platforms that list no machines, and where the list comes late.
// The next incarnation answers a poll that was meant for the previous one before it reports itself;
// until then its agent knows no worker and says so. The incarnation that reported next was compared
// with none, and the crash was not counted.
#[test]
fn crash_counts_when_the_next_incarnation_reports_late() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    harness.logged_events = vec!["crash suspected"];
    let starts = vec![(harness::task("a", 0, 0), 1)];
    harness.deliver(0, Notice::Broke { worker: "i0".into(), starts, possible: Vec::new() });
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker: None,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    let worker = Some(Worker { id: "i0-2".into(), ..harness::worker(0) });
    let (running, ended) = (Vec::new(), Vec::new());
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(
        harness.take_logs(),
        @"crash suspected a: a.0.0.0 run 1 at w0, likely cause, one of 1: 1 likely, 1 in all"
    );
}

// The owner receives the report of a crash when the next incarnation is already known.
#[test]
fn crash_of_an_earlier_incarnation_counts_at_once() {
    let mut harness = Harness::new(1, 1);
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    let mut harness = harness.with_idle_workers(1);
    harness.logged_events = vec!["crash suspected"];
    let starts = vec![(harness::task("a", 0, 0), 1)];
    for _ in 0..2 {
        let starts = starts.clone();
        harness
            .deliver(0, Notice::Broke { worker: "i0-before".into(), starts, possible: Vec::new() });
    }
    assert_snapshot!(harness.take_logs(), @r"
    crash suspected a: a.0.0.0 run 1 at w0, likely cause, one of 1: 1 likely, 1 in all
    ");
}

// A sound job of many tasks stood still for seconds beside a crashing one. Seven of its tasks start
// in one round with the crashing task at one worker and are lost with it; each is then tried alone
// while the job's other tasks wait. Identifying the crashing task alone at another worker cleared
// none of them.
#[test]
fn tasks_lost_beside_a_crashing_one_are_cleared_when_it_is_identified() {
    let mut pool = CrashingPool::new(1, 8);
    pool.crashing_jobs = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 1)]), 150);
    pool.submit("a", job(1, vec![step(20, 1)]), 151);
    let begin = pool.harness.now;
    let mut all_running_after = 0;
    while all_running_after == 0 && pool.harness.now < begin + 30_000 {
        pool.advance(10);
        let runs = pool.running.iter().flatten().filter(|run| run.task.job == "a").count();
        all_running_after = if runs == 20 { pool.harness.now - begin } else { 0 };
    }
    // Twice the time to detect a crash, plus the minimum time between two starts at one worker.
    assert!((1..=1000).contains(&all_running_after), "all run after {all_running_after} ms");
}

// A task that has outlived a start crashes no workers: when it is lost beside others later, it is
// not the cause. But the listing that showed it may have been an old one, delayed on its way, so a
// crash that it was alone in counts.
#[test]
fn task_that_outlived_a_start_is_suspected_only_if_it_was_alone() {
    let mut pool = CrashingPool::new(1, 2);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    pool.advance(4000);
    for others in [1, 0] {
        let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0) as u64;
        let run = pool.running[number as usize][0].clone();
        let other = Task { job: "other".into(), ..run.task.clone() };
        let mut starts = vec![(run.task, run.number)];
        starts.extend((0..others).map(|_| (other.clone(), 1)));
        pool.crash(number, starts);
        pool.advance(500);
    }
    assert_snapshot!(
        pool.suspected_crashes.join("\n"),
        @"a.0.0.0 run 2 at w1, likely cause, one of 1: 1 likely, 1 in all"
    );
}

// Each crash of a crashing task cost a full worker. With no worker idle, the suspect was placed
// where it left the least capacity unused, as any task; the work that would be lost with the worker
// was not weighed.
#[test]
fn suspect_starts_at_the_worker_with_the_least_work() {
    let mut pool = CrashingPool::new(1, 4);
    pool.crashing_jobs = vec!["bad"];
    for (name, version, count) in [("a", 150, 6), ("b", 151, 3), ("c", 152, 5), ("d", 153, 4)] {
        let mut busy = job(1, vec![step(1, count)]);
        // Large enough that no two of them share a worker.
        busy.steps[0].need.cpu = 40_000;
        pool.submit(name, busy, version);
    }
    pool.advance(3000);
    pool.submit("bad", job(1, vec![step(1, 1)]), 160);
    pool.advance(3000);
    let starts = pool.starts.iter().zip(&pool.start_agents);
    let agents: Vec<u64> =
        starts.filter(|(task, _)| *task == "bad.0.0.0").map(|(_, agent)| *agent).collect();
    assert_snapshot!(format!("{agents:?}"), @"[0, 1, 3]");
}

// A sound task was lost with a crashing one and suspected: a suspect starts, and before its worker
// has crashed a job arrives and starts beside it. For 300 ms nothing else starts there.
#[test]
fn nothing_starts_beside_a_suspect_for_300_ms() {
    let mut pool = CrashingPool::new(1, 1);
    pool.submit("a", job(1, vec![step(1, 1)]), 150);
    pool.advance(10);
    let run = pool.running[0][0].clone();
    pool.crash(0, vec![(run.task, run.number)]);
    while pool.running[0].is_empty() {
        pool.advance(10);
    }
    let suspect_started_at = pool.harness.now;
    pool.submit("b", job(1, vec![step(1, 1)]), 151);
    while pool.running[0].len() < 2 {
        pool.advance(10);
    }
    let delay = pool.harness.now - suspect_started_at;
    assert!((300..400).contains(&delay), "{delay} ms later");
}

// A gang was started 25 times after three workers had crashed under it. The worker of the crashing
// member is lost, and its agent does not see why; the other members wait for that one, listed by
// their workers for seconds. All members that were left had outlived the start, so the gang was
// considered harmless for good.
#[test]
fn members_waiting_for_a_lost_one_do_not_clear_their_gang() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    let mut gang = job(1, vec![step(2, 8)]);
    gang.steps[0].gang = true;
    harness.owner.add_job("a", gang, 150, None);
    harness.tick();
    harness.logged_events = vec!["crash suspected"];
    // The first member's worker restarted; the second member waits for it.
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    let other = Some(Worker { id: "i0-2".into(), ..harness::worker(0) });
    harness.deliver(
        0,
        Notice::Status {
            listed_at: None,
            stamp,
            worker: other,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    for _ in 0..3 {
        harness.advance(1000);
        harness.report_status(1, &[harness::run(harness::task("a", 0, 1), 1)], &[]);
    }
    let starts = vec![(harness::task("a", 0, 1), 1)];
    harness.deliver(1, Notice::Broke { worker: "i1".into(), starts, possible: Vec::new() });
    let (stamp, running, ended) = (harness.now, Vec::new(), Vec::new());
    let other = Some(Worker { id: "i1-2".into(), ..harness::worker(1) });
    harness.deliver(
        1,
        Notice::Status {
            listed_at: None,
            stamp,
            worker: other,
            fenced: false,
            running,
            ended,
            truncated: false,
        },
    );
    assert_snapshot!(
        harness.take_logs(),
        @"crash suspected a: a.0.0.1 run 1 at w1, likely cause, one of 1: 1 likely, 1 in all"
    );
}

// A job had a task left, the pool had free capacity, and nothing started until the end. A worker
// crashes just after tasks start there; they start elsewhere and end; a new owner receives the
// report of the crash late and counts it against them. A task that is done never starts again, so
// it was never cleared, and the other tasks of its step waited for it without end.
#[test]
fn late_crash_report_of_a_done_task_does_not_block_its_step() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    harness.owner.add_job("a", job(1, vec![step(2, 8)]), 150, None);
    harness.tick();
    let first = harness::task("a", 0, 0);
    harness.report_status(0, &[], &[harness::end(1, first.clone(), 1, quincewheel_job::How::Done)]);
    let record = harness.record();
    let (_, progress) = record.jobs.first().cloned().expect("the end is recorded");
    let mut harness = Harness::new(2, 2);
    harness.owner.add_job("a", job(1, vec![step(2, 8)]), 50, Some(progress));
    harness.connect(0);
    let starts = vec![(first, 1)];
    harness.deliver(0, Notice::Broke { worker: "i0-before".into(), starts, possible: Vec::new() });
    harness.report_status(0, &[], &[]);
    harness.connect(1);
    harness.report_status(1, &[], &[]);
    harness.record();
    harness.advance_with_pings(12_000, 2);
    assert_snapshot!(harness.take_orders(), @"w0 start a.0.0.1 run 1001");
}

// The reverse: a suspect waits where something else has just started, since a crash there would be
// blamed on both.
#[test]
fn suspect_waits_300_ms_after_the_last_start_at_a_worker() {
    let mut pool = CrashingPool::new(1, 1);
    pool.submit("a", job(1, vec![step(1, 1)]), 150);
    pool.advance(10);
    let run = pool.running[0][0].clone();
    pool.crash(0, vec![(run.task, run.number)]);
    // Its priority puts it before the suspect.
    pool.submit("b", job(0, vec![step(1, 1)]), 151);
    while pool.running[0].is_empty() {
        pool.advance(10);
    }
    let other_started_at = pool.harness.now;
    while pool.running[0].len() < 2 {
        pool.advance(10);
    }
    let delay = pool.harness.now - other_started_at;
    assert!((300..400).contains(&delay), "{delay} ms later");
}

// A task started a third time after five crashes. The owner and the agent that had learned of a
// crash both ended before the worker's next incarnation showed that it was one, seconds later.
#[test]
fn crash_counts_although_all_that_learned_of_it_end_soon_after() {
    let mut pool = CrashingPool::new(1, 4);
    pool.harness.owner.update_settings(Settings::default());
    pool.keeps_worker_ids = true;
    pool.crashing_jobs = vec!["bad"];
    let bad = job(1, vec![step(1, 4)]);
    pool.submit("bad", bad.clone(), 150);
    for epoch in 2..12 {
        let crashes = pool.crashes;
        while pool.crashes == crashes && pool.harness.now < 60_000 {
            pool.advance(10);
        }
        pool.advance(200);
        pool.take_over(epoch, vec![("bad", bad.clone())]);
        pool.harness.owner.update_settings(Settings::default());
    }
    pool.advance(10_000);
    assert_snapshot!(pool.summaries(&["bad"]), @r"
    bad: 4 starts, ended
    4 crashes
    ");
}
