//! Waves of maintenance: when machines are taken down, and how many at a time.

mod harness;

use harness::{Harness, job, run, step, task};
use insta::assert_snapshot;
use quincewheel_dispatch::TakeDownResult;
use quincewheel_dispatch::rows::WaveRecord;
use quincewheel_job::{Condition, Machine, Run, Step, Wave};
use quincewheel_wire::Notice;

/// Returns a wave over the machines `m0` to `m{machines - 1}`, which host the workers of the same
/// numbers, with at most `most` machines down at a time.
fn wave(machines: u64, most: usize, duration: u64) -> Wave {
    let names = (0..machines).map(|number| format!("m{number}")).collect();
    Wave { number: 1, machines: names, duration, most }
}

/// Sends a machine list with these conditions.
fn send_machine_list(harness: &mut Harness, conditions: &[Condition]) {
    let machine = |(number, condition): (usize, &Condition)| Machine {
        name: format!("m{number}"),
        condition: *condition,
        worker: format!("i{number}"),
    };
    let machines = conditions.iter().enumerate().map(machine).collect();
    harness.owner.on_machines(machines, true, 1, (harness.now, harness.now));
}

/// Returns the record of a wave that a previous owner began.
fn wave_record(done: bool) -> WaveRecord {
    WaveRecord { at: 0, done }
}

/// Advances the clock by `ms` while the agents send pings, and drops requests for the machine list.
fn advance(harness: &mut Harness, ms: u64, agents: u64) {
    for _ in 0..ms / 500 {
        harness.advance(500);
        for number in 0..agents {
            harness.deliver(number, Notice::Ping { stamp: harness.now, silent: 0 });
        }
    }
    harness.orders.retain(|line| line != "list");
}

/// Creates an owner with three idle machines and a wave that allows one of them down at a time.
fn wave_in_progress(duration: u64) -> Harness {
    let mut harness = Harness::new(1, 3).with_idle_workers(3);
    advance(&mut harness, 3000, 3);
    harness.owner.add_wave(&wave(3, 1, duration), None, harness.now);
    send_machine_list(&mut harness, &[Condition::Up; 3]);
    harness
}

#[test]
fn machines_go_down_one_by_one_and_the_wave_is_done_once_all_have_begun() {
    use Condition::{Maintained, Up};
    let mut harness = wave_in_progress(60_000);
    let mut orders = Vec::new();
    for (machine, conditions) in
        [("m0", [Maintained, Up, Up]), ("m1", [Up, Maintained, Up]), ("m2", [Up, Up, Maintained])]
    {
        harness.tick();
        harness.owner.on_take_down(1, machine, TakeDownResult::Begun, harness.now);
        advance(&mut harness, 500, 3);
        send_machine_list(&mut harness, &conditions);
        advance(&mut harness, 500, 3);
        orders.push(harness.take_orders());
        send_machine_list(&mut harness, &[Up; 3]);
    }
    harness.tick();
    orders.push(harness.take_orders());
    assert_snapshot!(orders.join("\n--\n"), @r"
    wave 1 done false
    take m0 for 1
    --
    take m1 for 1
    --
    take m2 for 1
    wave 1 done true
    --
    nothing
    ");
}

// More machines were down than a wave allows: the call for one gets no answer and takes effect
// late, and it was counted as not begun.
#[test]
fn machine_whose_maintenance_call_got_no_answer_counts_as_down_and_is_called_again() {
    let mut harness = wave_in_progress(60_000);
    harness.tick();
    let first = harness.take_orders();
    harness.owner.on_take_down(1, "m0", TakeDownResult::Unclear, harness.now);
    send_machine_list(&mut harness, &[Condition::Up; 3]);
    advance(&mut harness, 1000, 3);
    let waiting = harness.take_orders();
    advance(&mut harness, 1000, 3);
    assert_snapshot!(format!("{first}\n-- no answer\n{waiting}\n-- 2 s\n{}", harness.take_orders()), @r"
    wave 1 done false
    list
    take m0 for 1
    -- no answer
    nothing
    -- 2 s
    take m0 for 1
    ");
}

#[test]
fn busy_machine_takes_nothing_new_and_goes_down_when_the_wave_runs_out_of_time() {
    let mut harness = Harness::new(1, 1).with_idle_workers(1);
    advance(&mut harness, 3000, 1);
    harness.owner.add_job("a", job(1, vec![step(1, 1)]), 150, None);
    harness.tick();
    harness.report_status(0, &[run(task("a", 0, 0), 1)], &[]);
    harness.take_orders();
    harness.owner.add_wave(&wave(1, 1, 10_000), None, harness.now);
    send_machine_list(&mut harness, &[Condition::Up]);
    harness.tick();
    harness.owner.add_job("b", job(1, vec![step(1, 1)]), 151, None);
    advance(&mut harness, 500, 1);
    let busy = harness.take_orders();
    for percent in [20, 30, 40, 50, 60, 70] {
        advance(&mut harness, 1000, 1);
        harness.report_status(0, &[Run { percent, ..run(task("a", 0, 0), 1) }], &[]);
    }
    assert_snapshot!(format!("{busy}\n-- when time presses\n{}", harness.take_orders()), @r"
    wave 1 done false
    -- when time presses
    take m0 for 1
    ");
}

// A perpetual step missed more tasks than it may: two machines of a wave run tasks of the step, one
// of which may be missing, and the wave did not consider that.
#[test]
fn machine_stays_up_while_a_perpetual_step_cannot_miss_its_tasks() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    advance(&mut harness, 3000, 2);
    let lasts = Step { perpetual: true, may_miss: 1, ..step(2, 8) };
    harness.owner.add_job("a", job(1, vec![lasts]), 150, None);
    harness.tick();
    let serving = |index| Run { percent: 100, ..run(task("a", 0, index), 1) };
    harness.report_status(0, &[serving(0)], &[]);
    harness.report_status(1, &[serving(1)], &[]);
    harness.take_orders();
    harness.owner.add_wave(&wave(2, 2, 60_000), None, harness.now);
    send_machine_list(&mut harness, &[Condition::Up; 2]);
    harness.tick();
    let first = harness.take_orders();
    harness.owner.on_take_down(1, "m0", TakeDownResult::Begun, harness.now);
    harness.deliver(0, Notice::Left { worker: "i0".into() });
    advance(&mut harness, 1000, 2);
    assert_snapshot!(format!("{first}\n-- one is away\n{}", harness.take_orders()), @r"
    wave 1 done false
    list
    take m0 for 1
    -- one is away
    nothing
    ");
}

// Two owners sent calls for one machine in turn, since a new owner began at once.
#[test]
fn new_owner_sends_no_maintenance_calls_before_the_previous_owners_turn_is_over() {
    let mut harness = Harness::new(2, 1).with_idle_workers(1);
    harness.owner.add_wave(&wave(1, 1, 60_000), Some(wave_record(false)), harness.now);
    send_machine_list(&mut harness, &[Condition::Up]);
    advance(&mut harness, 2500, 1);
    let early = harness.take_orders();
    advance(&mut harness, 1000, 1);
    assert_snapshot!(format!("{early}\n-- 3 s\n{}", harness.take_orders()), @r"
    wave 1 done false
    -- 3 s
    take m0 for 1
    ");
}

// A worker got no work after a change of owner: the new owner sends the call for a machine that the
// previous one had taken down, the platform answers that it is done, and the worker is up. The
// machine was counted as about to go down.
#[test]
fn machine_maintained_under_a_previous_owner_takes_work() {
    let mut harness = Harness::new(2, 1).with_idle_workers(1);
    advance(&mut harness, 3000, 1);
    harness.owner.add_wave(&wave(1, 1, 60_000), Some(wave_record(false)), harness.now);
    send_machine_list(&mut harness, &[Condition::Up]);
    harness.tick();
    harness.owner.on_take_down(1, "m0", TakeDownResult::Begun, harness.now);
    harness.take_orders();
    harness.owner.add_job("a", job(1, vec![step(1, 8)]), 150, None);
    harness.tick();
    let before = harness.take_orders();
    advance(&mut harness, 500, 1);
    send_machine_list(&mut harness, &[Condition::Up]);
    harness.tick();
    assert_snapshot!(format!("{before}\n-- listed\n{}", harness.take_orders()), @r"
    wave 1 done true
    -- listed
    w0 start a.0.0.0 run 1001
    ");
}

// A finished wave was in progress again after a change of owner, since only its begin was recorded.
#[test]
fn finished_wave_stays_finished_under_a_later_owner() {
    let mut harness = wave_in_progress(60_000);
    for number in 0..3 {
        harness.owner.on_take_down(1, &format!("m{number}"), TakeDownResult::Begun, harness.now);
    }
    advance(&mut harness, 500, 3);
    let recorded = harness.record().waves;
    let mut later = Harness::new(2, 1).with_idle_workers(1);
    later.owner.add_wave(&wave(1, 1, 60_000), Some(wave_record(true)), later.now);
    send_machine_list(&mut later, &[Condition::Up]);
    advance(&mut later, 4000, 1);
    assert_snapshot!(format!("{recorded:?}\n{}", later.take_orders()), @r"
    [(1, WaveRecord { at: 13000, done: true })]
    wave 1 done true
    ");
}

// A wave was reported as finished while one of its machines kept running without its maintenance:
// the list of machines has an entry of another writer in that machine's place, and a machine that
// is not listed counts as removed.
#[test]
fn machine_with_an_unreadable_entry_is_not_considered_removed() {
    let mut harness = Harness::new(1, 2).with_idle_workers(2);
    advance(&mut harness, 3000, 2);
    harness.owner.add_wave(&wave(2, 2, 60_000), None, harness.now);
    let first = Machine { name: "m0".into(), condition: Condition::Up, worker: "i0".into() };
    harness.owner.on_machines(vec![first.clone()], false, 1, (harness.now, harness.now));
    harness.tick();
    harness.owner.on_take_down(1, "m0", TakeDownResult::Begun, harness.now);
    advance(&mut harness, 500, 2);
    let unread = harness.take_orders();
    send_machine_list(&mut harness, &[Condition::Maintained, Condition::Up]);
    harness.tick();
    harness.owner.on_take_down(1, "m1", TakeDownResult::Begun, harness.now);
    // m1 was known before, so it still counts beside an entry that cannot be read.
    harness.owner.on_machines(vec![first], false, 1, (harness.now, harness.now));
    harness.tick();
    assert_snapshot!(format!("{unread}\n--\n{}", harness.take_orders()));
}
