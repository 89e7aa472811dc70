//! Tasks that crash each worker that starts them, and tasks that run beside them.

mod bed;
mod pool;

use bed::{Bed, job, step};
use insta::assert_snapshot;
use pool::Pool;
use quincewheel_dispatch::Settings;
use quincewheel_job::{Task, Worker};
use quincewheel_wire::Notice;

// Symptom: one task is started on all eleven workers within 6 s, and each crashes within 10 ms
// of its start; what runs beside it is lost each time, and it begins anew as soon as workers are
// back. Sequence: a worker confirms the start and its process is gone; the platform's list no
// longer names that life; the owner takes the run for lost and starts the task elsewhere in the
// same round. Cause: only ends that a worker lists as failed counted as attempts, and a worker
// that crashes lists none.
#[test]
fn a_task_that_crashes_each_worker_is_given_up() {
    let mut pool = Pool::open(1, 11);
    pool.bad = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.pass(30_000);
    let state = pool.bed.owner.has_ended("bad");
    assert_snapshot!(
        format!("{} starts, {} crashes, ended {state}", pool.starts.len(), pool.crashes),
        @"3 starts, 3 crashes, ended true"
    );
}

// Symptom: as above, where workers start again under the ids that they had, and no list tells that
// they were gone. Cause: a crash counts once another incarnation reports, and was forgotten where
// the worker's id was the same.
#[test]
fn a_task_that_crashes_workers_which_keep_their_ids_is_given_up() {
    let mut pool = Pool::open(1, 4);
    pool.bed.owner.update_settings(Settings::default());
    pool.keeps_ids = true;
    pool.bad = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.pass(60_000);
    let state = pool.bed.owner.has_ended("bad");
    assert_snapshot!(
        format!("{} starts, {} crashes, ended {state}", pool.starts.len(), pool.crashes),
        @"3 starts, 3 crashes, ended true"
    );
}

// Symptom: a sound job is given up beside a bad one. Sequence: the pool has lost its workers; all
// that waits starts in one round where the first one is back, the bad task among it, and is lost
// with it; so again at the next. Cause: what had just started when a worker crashed was counted,
// and nothing told who had done it.
#[test]
fn a_task_that_starts_beside_a_bad_one_is_not_given_up() {
    let mut pool = Pool::open(1, 1);
    pool.bad = vec!["bad"];
    for (name, version) in [("a", 150), ("bad", 151), ("c", 152)] {
        pool.submit(name, job(1, vec![step(1, 1)]), version);
    }
    pool.pass(30_000);
    assert_snapshot!(pool.stories(&["a", "bad", "c"]), @r"
    a: 4 starts
    bad: 3 starts, ended
    c: 2 starts
    3 crashes
    ");
}

// Symptom: as above, where many jobs wait and several are bad. Each bad one costs three workers
// at most, no sound one is given up.
#[test]
fn several_bad_tasks_are_told_from_the_sound_ones() {
    let mut pool = Pool::open(1, 2);
    pool.bad = vec!["bad1", "bad2"];
    let jobs = ["a", "bad1", "c", "bad2", "e", "f"];
    for (name, version) in jobs.into_iter().zip(150..) {
        pool.submit(name, job(1, vec![step(1, 1)]), version);
    }
    pool.pass(60_000);
    let starts = |job: &str| pool.starts.iter().filter(|start| start.starts_with(job)).count();
    let most = pool.bad.iter().map(|job| starts(job)).max();
    let ended: Vec<&str> = jobs.into_iter().filter(|job| pool.bed.owner.has_ended(job)).collect();
    assert_snapshot!(format!("{ended:?} {most:?}"), @r#"["bad1", "bad2"] Some(3)"#);
}

// Symptom: the same task takes workers down again under each new owner. Sequence: a task has
// crashed two workers; the owner is replaced; the new one starts from nothing. Cause: the count
// was not recorded.
#[test]
fn a_new_owner_knows_of_crashes_before() {
    let mut pool = Pool::open(1, 11);
    pool.bad = vec!["bad"];
    let bad = job(1, vec![step(1, 4)]);
    pool.submit("bad", bad.clone(), 150);
    for epoch in 2..5 {
        pool.pass(400);
        pool.take_over(epoch, vec![("bad", bad.clone())]);
        pool.pass(7000);
    }
    assert_snapshot!(pool.stories(&["bad"]), @r"
    bad: 3 starts, ended
    3 crashes
    ");
}

// Symptom: as above, while the table takes no writes. Nothing of the job starts until the table
// has the crash.
#[test]
fn a_task_waits_until_its_crash_is_recorded() {
    let mut pool = Pool::open(1, 11);
    pool.bad = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 4)]), 150);
    pool.writes = false;
    pool.pass(5000);
    let before = pool.stories(&["bad"]);
    pool.writes = true;
    pool.pass(5000);
    assert_snapshot!(format!("{before}\n-- the table is back\n{}", pool.stories(&["bad"])), @r"
    bad: 1 starts
    1 crashes
    -- the table is back
    bad: 3 starts, ended
    3 crashes
    ");
}

// Tasks of one job are alike: the first that is suspected is tried by itself, and the others do
// not cost a worker each.
#[test]
fn other_tasks_of_a_bad_job_wait_for_the_first() {
    let mut pool = Pool::open(1, 11);
    pool.bad = vec!["bad"];
    pool.submit("bad", job(1, vec![step(20, 8)]), 150);
    pool.pass(30_000);
    let before = pool.starts.iter().take_while(|start| **start != "bad.0.0.0").count();
    assert_snapshot!(format!("{before} {}", pool.story("bad")), @"0 bad: 13 starts, ended");
}

// A gang is given up as one, by its starts.
#[test]
fn a_gang_that_crashes_workers_is_given_up() {
    let mut pool = Pool::open(1, 11);
    pool.bad = vec!["bad"];
    let mut bad = job(1, vec![step(3, 8)]);
    bad.steps[0].gang = true;
    pool.submit("bad", bad, 150);
    pool.pass(30_000);
    assert_snapshot!(pool.stories(&["bad"]), @r"
    bad: 9 starts, ended
    9 crashes
    ");
}

// A worker that crashes by itself, just after a start by chance, ends nobody's job, and a task
// that has outlived a start begins its count anew.
#[test]
fn crashes_that_come_by_chance_are_forgotten() {
    let mut pool = Pool::open(1, 4);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    for _ in 0..6 {
        pool.pass(10);
        while pool.running.iter().all(Vec::is_empty) {
            pool.pass(10);
        }
        let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0);
        let run = pool.running[number][0].clone();
        pool.crash(number as u64, vec![(run.task, run.number)]);
        // It outlives every second start.
        while pool.running.iter().all(Vec::is_empty) {
            pool.pass(10);
        }
        pool.pass(3000);
        let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0);
        pool.crash(number as u64, Vec::new());
    }
    assert_snapshot!(pool.stories(&["a"]), @r"
    a: 12 starts
    12 crashes
    ");
}

// A worker that ends in good order breaks its connections, too.
#[test]
fn a_worker_that_leaves_has_not_crashed() {
    let mut pool = Pool::open(1, 2);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    pool.pass(10);
    let number = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0) as u64;
    let worker = pool.worker(number).incarnation();
    let run = pool.running[number as usize][0].clone();
    let starts = vec![(run.task, run.number)];
    pool.bed.events = vec!["crash suspected"];
    pool.bed.notice(number, Notice::Broke { worker: worker.clone(), starts });
    pool.bed.notice(number, Notice::Left { worker });
    let worker = Some(Worker { id: "next".into(), ..bed::worker(number) });
    let (stamp, running, ended) = (pool.bed.now, Vec::new(), Vec::new());
    pool.bed.notice(number, Notice::Status { stamp, worker, fenced: false, running, ended });
    assert_snapshot!(pool.bed.logged(), @"nothing");
}

// Symptom: as at first, on platforms that list no machines, and where the list comes late. Sequence:
// the worker's next life answers a look that was meant for the former one before it reports itself;
// its agent knows no worker until then, and says so. Cause: the life that reports next was compared
// with none, and the crash was not counted.
#[test]
fn a_crash_counts_when_the_next_life_is_known_only_later() {
    let mut bed = Bed::open(1, 1).idle(1);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    bed.step();
    bed.events = vec!["crash suspected"];
    let starts = vec![(bed::task("a", 0, 0), 1)];
    bed.notice(0, Notice::Broke { worker: "i0".into(), starts });
    let (stamp, running, ended) = (bed.now, Vec::new(), Vec::new());
    bed.notice(0, Notice::Status { stamp, worker: None, fenced: false, running, ended });
    let worker = Some(Worker { id: "i0-2".into(), ..bed::worker(0) });
    let (running, ended) = (Vec::new(), Vec::new());
    bed.notice(0, Notice::Status { stamp, worker, fenced: false, running, ended });
    assert_snapshot!(
        bed.logged(),
        @"crash suspected a: a.0.0.0 run 1 at w0, one of 1 just started there: 1 of 3"
    );
}

// An owner that is told late, when the next life is there already.
#[test]
fn a_crash_of_a_life_before_the_one_that_is_there_counts_at_once() {
    let mut bed = Bed::open(1, 1);
    bed.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    let mut bed = bed.idle(1);
    bed.events = vec!["crash suspected"];
    let starts = vec![(bed::task("a", 0, 0), 1)];
    for _ in 0..2 {
        let starts = starts.clone();
        bed.notice(0, Notice::Broke { worker: "i0-before".into(), starts });
    }
    assert_snapshot!(bed.logged(), @r"
    crash suspected a: a.0.0.0 run 1 at w0, one of 1 just started there: 1 of 3
    ");
}

// Symptom: a sound job of many tasks stands still for seconds beside a bad one. Sequence: seven of
// its tasks start in one round with the bad task, at one worker, and are lost with it; each is tried
// by itself, and its other tasks wait. Cause: that the bad task had been found meanwhile, alone at
// another worker, cleared nobody.
#[test]
fn those_that_were_lost_beside_a_bad_task_are_cleared_when_it_is_found() {
    let mut pool = Pool::open(1, 8);
    pool.bad = vec!["bad"];
    pool.submit("bad", job(1, vec![step(1, 1)]), 150);
    pool.submit("a", job(1, vec![step(20, 1)]), 151);
    let begin = pool.bed.now;
    let mut all = 0;
    while all == 0 && pool.bed.now < begin + 30_000 {
        pool.pass(10);
        let runs = pool.running.iter().flatten().filter(|run| run.task.job == "a").count();
        all = if runs == 20 { pool.bed.now - begin } else { 0 };
    }
    // Twice what tells that a worker is gone, and the time between two starts at one worker.
    assert!((1..=1000).contains(&all), "all run after {all} ms");
}

// A task that has outlived a start crashes no workers: lost beside others later, it is not the cause.
// But what was taken for outliving may have been an old list, held up on its way: alone, it counts.
#[test]
fn a_task_that_has_outlived_a_start_is_suspected_only_if_it_was_alone() {
    let mut pool = Pool::open(1, 2);
    pool.submit("a", job(1, vec![step(1, 8)]), 150);
    pool.pass(4000);
    for others in [1, 0] {
        let place = pool.running.iter().position(|runs| !runs.is_empty()).unwrap_or(0) as u64;
        let run = pool.running[place as usize][0].clone();
        let other = Task { job: "other".into(), ..run.task.clone() };
        let mut starts = vec![(run.task, run.number)];
        starts.extend((0..others).map(|_| (other.clone(), 1)));
        pool.crash(place, starts);
        pool.pass(500);
    }
    assert_snapshot!(
        pool.suspected.join("\n"),
        @"a.0.0.0 run 2 at w1, one of 1 just started there: 1 of 3"
    );
}

// Symptom: each crash of a bad task costs a full worker. Sequence: no worker is idle; the suspect is
// put where it leaves the least room over, as any task. Cause: nothing weighed what is lost with the
// worker that it may crash.
#[test]
fn a_suspect_starts_where_the_least_runs() {
    let mut pool = Pool::open(1, 4);
    pool.bad = vec!["bad"];
    for (name, version, count) in [("a", 150, 6), ("b", 151, 3), ("c", 152, 5), ("d", 153, 4)] {
        let mut busy = job(1, vec![step(1, count)]);
        // Apart from one another.
        busy.steps[0].need.cpu = 40_000;
        pool.submit(name, busy, version);
    }
    pool.pass(3000);
    pool.submit("bad", job(1, vec![step(1, 1)]), 160);
    pool.pass(3000);
    let starts = pool.starts.iter().zip(&pool.places);
    let places: Vec<u64> =
        starts.filter(|(task, _)| *task == "bad.0.0.0").map(|(_, place)| *place).collect();
    assert_snapshot!(format!("{places:?}"), @"[0, 1, 3]");
}

// Symptom: a sound task is lost with a bad one, and suspected. Sequence: a suspect starts; before its
// worker has crashed, a job arrives and starts beside it. For 300 ms nothing else starts there.
#[test]
fn nothing_starts_beside_a_suspect_that_has_just_started() {
    let mut pool = Pool::open(1, 1);
    pool.submit("a", job(1, vec![step(1, 1)]), 150);
    pool.pass(10);
    let run = pool.running[0][0].clone();
    pool.crash(0, vec![(run.task, run.number)]);
    while pool.running[0].is_empty() {
        pool.pass(10);
    }
    let tried = pool.bed.now;
    pool.submit("b", job(1, vec![step(1, 1)]), 151);
    while pool.running[0].len() < 2 {
        pool.pass(10);
    }
    let later = pool.bed.now - tried;
    assert!((300..400).contains(&later), "{later} ms later");
}

// Symptom: a gang is started 25 times after three workers have crashed under it. Sequence: it starts;
// the worker of the member that crashes workers is lost, and its agent does not see by what; the
// other members wait for that one, listed by their workers for seconds. Cause: all members that were
// left had outlived the start, so the gang was taken for one that crashes no workers, for good.
#[test]
fn members_that_wait_for_another_do_not_clear_their_gang() {
    let mut bed = Bed::open(1, 2).idle(2);
    let mut gang = job(1, vec![step(2, 8)]);
    gang.steps[0].gang = true;
    bed.owner.add_job("a", gang, 150, None);
    bed.step();
    bed.events = vec!["crash suspected"];
    // The first member's worker is gone; the second waits.
    let (stamp, running, ended) = (bed.now, Vec::new(), Vec::new());
    let other = Some(Worker { id: "i0-2".into(), ..bed::worker(0) });
    bed.notice(0, Notice::Status { stamp, worker: other, fenced: false, running, ended });
    for _ in 0..3 {
        bed.pass(1000);
        bed.status(1, &[bed::run(bed::task("a", 0, 1), 1)], &[]);
    }
    let starts = vec![(bed::task("a", 0, 1), 1)];
    bed.notice(1, Notice::Broke { worker: "i1".into(), starts });
    let (stamp, running, ended) = (bed.now, Vec::new(), Vec::new());
    let other = Some(Worker { id: "i1-2".into(), ..bed::worker(1) });
    bed.notice(1, Notice::Status { stamp, worker: other, fenced: false, running, ended });
    assert_snapshot!(
        bed.logged(),
        @"crash suspected a: a.0.0.1 run 1 at w1, one of 1 just started there: 1 of 3"
    );
}

// Symptom: a job has a task left, the pool has room, and nothing starts until the end. Sequence: a
// worker crashes just after tasks start there; they start elsewhere and are done; a new owner is told
// of the crash, late, and counts it against them. Cause: a task that is done never starts again, so
// it was never cleared, and the other tasks of its step waited for it without end.
#[test]
fn a_crash_under_a_task_that_is_done_holds_nothing_up() {
    let mut bed = Bed::open(1, 2).idle(2);
    bed.owner.add_job("a", job(1, vec![step(2, 8)]), 150, None);
    bed.step();
    let first = bed::task("a", 0, 0);
    bed.status(0, &[], &[bed::end(1, first.clone(), 1, quincewheel_job::How::Done)]);
    let record = bed.record();
    let (_, progress) = record.jobs.first().cloned().expect("the end is recorded");
    let mut bed = Bed::open(2, 2);
    bed.owner.add_job("a", job(1, vec![step(2, 8)]), 50, Some(progress));
    bed.link(0);
    let starts = vec![(first, 1)];
    bed.notice(0, Notice::Broke { worker: "i0-before".into(), starts });
    bed.status(0, &[], &[]);
    bed.link(1);
    bed.status(1, &[], &[]);
    bed.record();
    bed.live(12_000, 2);
    assert_snapshot!(bed.told(), @"w0 start a.0.0.1 run 1001");
}

// The other way round: a suspect waits where something else has just started, or a crash there would
// be blamed on both.
#[test]
fn a_suspect_does_not_start_beside_what_has_just_started() {
    let mut pool = Pool::open(1, 1);
    pool.submit("a", job(1, vec![step(1, 1)]), 150);
    pool.pass(10);
    let run = pool.running[0][0].clone();
    pool.crash(0, vec![(run.task, run.number)]);
    // It comes first, as its priority says.
    pool.submit("b", job(0, vec![step(1, 1)]), 151);
    while pool.running[0].is_empty() {
        pool.pass(10);
    }
    let first = pool.bed.now;
    while pool.running[0].len() < 2 {
        pool.pass(10);
    }
    let later = pool.bed.now - first;
    assert!((300..400).contains(&later), "{later} ms later");
}
