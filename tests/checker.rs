//! The checker reports every kind of violation that it exists for.

use quincewheel_audit::{Checker, Event, Kind};

use crate::harness::{GANG_BOUND, ms, secs};

fn started(attempt: u64, worker: &str, members: usize) -> Kind {
    Kind::Started {
        worker: worker.to_owned(),
        attempt,
        team: "t".to_owned(),
        request: "r".to_owned(),
        idempotent: false,
        members,
    }
}

fn stopped(attempt: u64, worker: &str, done: bool) -> Kind {
    Kind::Stopped { worker: worker.to_owned(), attempt, done }
}

fn submitted(call: u64) -> Kind {
    Kind::Submitted { call, team: "t".to_owned(), request: "r".to_owned() }
}

fn answered(call: u64, outcome: &str, whole: bool) -> Kind {
    let (team, request) = ("t".to_owned(), "r".to_owned());
    Kind::Answered { call, team, request, outcome: outcome.to_owned(), whole }
}

fn granted(attempt: u64, mask: u64) -> Kind {
    Kind::Granted { worker: "w".to_owned(), attempt, mask }
}

/// Guards against a checker that misses violations: each invariant is broken
/// once, and the checker must report it.
#[test]
fn planted_violations_are_caught() {
    let cases: Vec<(&str, Vec<Kind>)> = vec![
        ("accelerator held twice", vec![granted(1, 3), granted(2, 2)]),
        ("second run", vec![submitted(1), started(1, "w", 1), started(2, "v", 1)]),
        ("started twice", vec![submitted(1), started(1, "w", 1), started(1, "w", 1)]),
        ("not run, but ran", vec![started(1, "w", 1), answered(1, "not_run", true)]),
        ("not run, then ran", vec![submitted(1), answered(1, "not_run", true), started(1, "w", 1)]),
        ("partial gang", vec![started(1, "w", 2)]),
        (
            "member stopped, other goes on",
            vec![started(1, "w", 2), started(1, "v", 2), stopped(1, "v", false)],
        ),
        (
            "done before all were",
            vec![
                started(1, "w", 2),
                started(1, "v", 2),
                stopped(1, "v", true),
                answered(1, "done", true),
            ],
        ),
        (
            "answer not whole",
            vec![started(1, "w", 1), stopped(1, "w", true), answered(1, "done", false)],
        ),
        (
            "two outcomes",
            vec![
                started(1, "w", 1),
                stopped(1, "w", true),
                answered(1, "done", true),
                answered(2, "failed", true),
            ],
        ),
        (
            "older configuration",
            vec![
                Kind::Recorded { version: 2 },
                Kind::Applied { version: 2 },
                Kind::Applied { version: 1 },
            ],
        ),
        ("configuration never recorded", vec![Kind::Applied { version: 1 }]),
        ("two owners of an epoch", vec![Kind::Owned { epoch: 1 }, Kind::Owned { epoch: 1 }]),
    ];
    let mut lines = Vec::new();
    for (what, kinds) in cases {
        let event =
            |(at, kind): (usize, Kind)| Event { at: ms(at as u64), process: "p".to_owned(), kind };
        let events: Vec<Event> = kinds.into_iter().enumerate().map(event).collect();
        let violations = Checker::run(GANG_BOUND, &events, secs(60));
        let found: Vec<String> = violations.into_iter().map(|v| v.what).collect();
        lines.push(format!("{what}: {}", found.join("; ")));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    accelerator held twice: w: accelerators 0x2 held by 1 and 2
    second run: t/r: non-idempotent, started by 2 attempts
    started twice: t/r: attempt 1 started twice at w
    not run, but ran: t/r: answered not_run although it had started
    not run, then ran: t/r: started after it was refused as not run
    partial gang: t/r: gang 1 ran with 1 of 2 members beyond the bound
    member stopped, other goes on: t/r: gang 1 ran with 1 of 2 members beyond the bound
    done before all were: t/r: answered done before all members were done
    answer not whole: t/r: the answer does not match its digest
    two outcomes: t/r: answered failed after another final outcome
    older configuration: p: configuration 1 in force after 2
    configuration never recorded: p: configuration 1 in force, never recorded
    two owners of an epoch: epoch 1 owned by p and p
    ");
}
