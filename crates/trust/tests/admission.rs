//! Which workers a task may use, by their standing and by the attempts that the task has left.

use insta::assert_snapshot;
use quincewheel_trust::{Admission, Attempt, Demand, Grade, Member, Standing};

const NOW: u64 = 1000;

/// Kinds of workers: sound, unknown, and doubtful with a trial due, in backoff and on trial.
const KINDS: [(char, Grade, u64, bool); 5] = [
    ('s', Grade::Sound, 0, false),
    ('u', Grade::Unknown, 0, false),
    ('d', Grade::Doubtful, NOW, false),
    ('b', Grade::Doubtful, NOW + 1, false),
    ('t', Grade::Doubtful, NOW, true),
];

fn members(kinds: &[usize]) -> Vec<Member<'static>> {
    let racks = ["r0", "r0", "r1", "r1"];
    let member = |(index, kind): (usize, &usize)| {
        let (_, grade, retry_at, on_trial) = KINDS[*kind];
        let standing = Standing { grade, retry_at, on_trial, ..Standing::default() };
        Member { index, rack: racks[index], holds: 1, standing }
    };
    kinds.iter().enumerate().map(member).collect()
}

/// All pools of four workers.
fn pools() -> impl Iterator<Item = Vec<usize>> {
    (0..5usize.pow(4)).map(|code| (0..4).map(|digit| code / 5usize.pow(digit) % 5).collect())
}

fn decide(kinds: &[usize], demand: Demand, attempt: Attempt) -> Admission {
    Admission::decide(&members(kinds), &demand, attempt, NOW)
}

const TASK: Demand = Demand { count: 1, gang: false, same_rack: false };
const GANG: Demand = Demand { count: 2, gang: true, same_rack: true };
const ATTEMPTS: [Attempt; 3] = [Attempt::Spare, Attempt::Last, Attempt::Urgent];

// A last attempt started on a worker that was known to fail everything.
#[test]
fn last_attempt_uses_no_doubtful_worker_while_another_could_hold_it() {
    for kinds in pools() {
        for attempt in [Attempt::Last, Attempt::Urgent] {
            let tries = !decide(&kinds, TASK, attempt).trials.is_empty();
            let others = kinds.iter().any(|kind| *kind < 2);
            assert!(!(tries && others), "{kinds:?} {attempt:?}");
        }
    }
}

// A task waited for ever, as no worker was left that it might use.
#[test]
fn some_worker_may_be_used_unless_all_are_in_backoff_or_on_trial() {
    for kinds in pools() {
        for (demand, attempt) in ATTEMPTS.iter().flat_map(|at| [(TASK, *at), (GANG, *at)]) {
            let excluded = decide(&kinds, demand, attempt).excluded;
            let holds = |usable: &dyn Fn(usize) -> bool| match demand.gang {
                true => (usable(0) && usable(1)) || (usable(2) && usable(3)),
                false => (0..4).any(usable),
            };
            let usable = holds(&|index| !excluded.contains(&index));
            let needed = holds(&|index| kinds[index] < 3);
            assert!(usable || !needed, "{kinds:?} {demand:?} {attempt:?}");
        }
    }
}

#[test]
fn doubtful_worker_in_backoff_or_on_trial_is_used_by_nobody() {
    for kinds in pools() {
        for (demand, attempt) in ATTEMPTS.iter().flat_map(|at| [(TASK, *at), (GANG, *at)]) {
            let admission = decide(&kinds, demand, attempt);
            let closed = (0..4).filter(|index| kinds[*index] > 2);
            let used: Vec<usize> =
                closed.filter(|index| !admission.excluded.contains(index)).collect();
            assert!(used.is_empty(), "{kinds:?} {demand:?} {attempt:?}");
        }
    }
}

#[test]
fn decisions_for_each_kind_of_attempt() {
    let text = |demand, kinds: &[usize]| {
        let names: String = kinds.iter().map(|kind| KINDS[*kind].0).collect();
        let lines = ATTEMPTS.map(|attempt| {
            let Admission { excluded, unknown, trials, least } = decide(kinds, demand, attempt);
            format!("{names} {attempt:?}: not {excluded:?} ({unknown:?} unknown), trials {trials:?}, least {least:?}")
        });
        lines.join("\n")
    };
    let pools = [
        text(TASK, &[1, 1, 1, 1]),
        text(TASK, &[0, 1, 2, 3]),
        text(TASK, &[1, 2, 3, 4]),
        text(TASK, &[2, 3, 4, 2]),
        // No rack has two sound workers.
        text(GANG, &[0, 1, 0, 2]),
        text(GANG, &[0, 0, 1, 2]),
    ];
    assert_snapshot!(pools.join("\n\n"), @r"
    uuuu Spare: not [] ([] unknown), trials [], least []
    uuuu Last: not [] ([] unknown), trials [], least []
    uuuu Urgent: not [] ([] unknown), trials [], least []
    
    sudb Spare: not [3] ([] unknown), trials [2], least [2]
    sudb Last: not [1, 2, 3] ([1] unknown), trials [], least []
    sudb Urgent: not [2, 3] ([] unknown), trials [], least [1]
    
    udbt Spare: not [2, 3] ([] unknown), trials [1], least [1]
    udbt Last: not [1, 2, 3] ([] unknown), trials [], least []
    udbt Urgent: not [1, 2, 3] ([] unknown), trials [], least []
    
    dbtd Spare: not [1, 2] ([] unknown), trials [0, 3], least [0, 3]
    dbtd Last: not [1, 2] ([] unknown), trials [0, 3], least [0, 3]
    dbtd Urgent: not [1, 2] ([] unknown), trials [0, 3], least [0, 3]
    
    susd Spare: not [3] ([] unknown), trials [], least []
    susd Last: not [3] ([] unknown), trials [], least []
    susd Urgent: not [3] ([] unknown), trials [], least []
    
    ssud Spare: not [3] ([] unknown), trials [], least []
    ssud Last: not [2, 3] ([2] unknown), trials [], least []
    ssud Urgent: not [3] ([] unknown), trials [], least [2]
    ");
}

// A gang took a doubtful worker as its last free place, and lost the work of all members.
#[test]
fn gang_tries_a_doubtful_worker_only_where_no_others_could_hold_it() {
    for kinds in pools() {
        let tries = !decide(&kinds, GANG, Attempt::Spare).trials.is_empty();
        let others = [0, 2].iter().any(|rack| kinds[*rack..rack + 2].iter().all(|kind| *kind < 2));
        assert!(!(tries && others), "{kinds:?}");
    }
}

// With two attempts, the second is the last one. Each start of a queue with one attempt is, and
// waiting would delay all of its work.
#[test]
fn attempts_are_classified_by_what_is_left_after_a_failure() {
    let classify = |attempts, failures, waited| Attempt::classify(attempts, failures, waited);
    let classes = [
        classify(2, 0, None),
        classify(2, 1, None),
        classify(2, 1, Some(4999)),
        classify(2, 1, Some(5000)),
        classify(3, 1, None),
        classify(3, 2, None),
        classify(1, 0, None),
    ];
    assert_snapshot!(format!("{classes:?}"), @"[Spare, Last, Last, Urgent, Spare, Last, Urgent]");
}
