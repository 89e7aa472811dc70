//! What an agent does with the words of earlier owners.

use std::time::Duration;

use quincewheel_grant::{Grantor, Input, Output, Settings};
use quincewheel_pool::{Adjacency, Shape};
use quincewheel_wire::{Attempt, Frame, Hello, Member, Role, Task};

const NOW: Duration = Duration::from_secs(1);

fn task(attempt: Attempt) -> Task {
    Task {
        attempt,
        team: "team".to_owned(),
        request: "request".to_owned(),
        digest: String::new(),
        idempotent: false,
        shape: Shape::new(1, 1, Adjacency::Any),
        ranks: vec![(0, 1)],
        members: vec![("worker".to_owned(), "a".to_owned())],
        deadline: Duration::from_secs(10),
        payload: Vec::new(),
    }
}

fn attached() -> Grantor {
    let member = Member { worker: "worker".to_owned(), accelerators: 8, ..Member::default() };
    let mut grantor = Grantor::new(Settings { member, ..Settings::default() });
    grantor.handle(NOW, Input::Recovered(Vec::new()));
    grantor.handle(NOW, Input::OwnerRow(Some((5, "e".to_owned()))));
    let hello = Hello { role: Role::Entry, name: "entry".to_owned(), incarnation: 1 };
    grantor.handle(NOW, Input::Connected { link: 1, hello, dialled: "e".to_owned() });
    grantor
}

fn frame(grantor: &mut Grantor, frame: Frame) -> String {
    let outputs = grantor.handle(NOW, Input::Frame { link: 1, frame });
    let name = |output: &Output| match output {
        Output::Send { frame, .. } => frame.name(),
        Output::Close { .. } => "close",
        Output::Run { .. } => "run",
        Output::Stop { .. } => "halt",
        _ => "other",
    };
    let names = outputs.iter().filter(|output| !matches!(output, Output::Event(_))).map(name);
    names.collect::<Vec<_>>().join(" ")
}

/// Symptom: work runs that the present owner placed elsewhere or gave up.
/// Sequence: an owner that was replaced sends prepare, go and stop. Cause: an
/// agent obeys whoever speaks.
#[test]
fn an_earlier_epoch_is_fenced() {
    let attempt = Attempt::new(5, 1);
    let old = [
        Frame::Prepare { epoch: 4, task: task(Attempt::new(4, 9)) },
        Frame::Go { epoch: 4, attempt },
        Frame::Stop { epoch: 4, attempt, grace_ms: 0 },
        Frame::Forget { epoch: 4, attempt },
    ];
    let mut lines = Vec::new();
    for late in old {
        let mut grantor = attached();
        frame(&mut grantor, Frame::Prepare { epoch: 5, task: task(attempt) });
        let name = late.name();
        lines.push(format!("{name}: {}", frame(&mut grantor, late)));
        assert_eq!(grantor.granted_mask(), 1, "the present owner's grant stands");
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    prepare: fenced close
    go: fenced close
    stop: fenced close
    forget: fenced close
    ");
}

/// Symptom: an agent that was restarted starts work for an owner that was
/// replaced. Sequence: it hears from that owner before it has read the row.
/// Cause: an empty memory knows no epoch.
#[test]
fn an_agent_that_has_not_read_the_row_obeys_nobody() {
    let mut grantor = Grantor::new(Settings::default());
    grantor.handle(NOW, Input::Recovered(Vec::new()));
    let hello = Hello { role: Role::Entry, name: "entry".to_owned(), incarnation: 1 };
    let linked = Input::Connected { link: 1, hello, dialled: String::new() };
    let outputs = grantor.handle(NOW, linked);
    assert!(outputs.iter().any(|output| matches!(output, Output::Close { .. })), "{outputs:?}");
    let prepare = Frame::Prepare { epoch: 9, task: task(Attempt::new(9, 1)) };
    assert_eq!(frame(&mut grantor, prepare), "");
    assert_eq!(grantor.granted_mask(), 0);
}

/// Symptom: a task starts twice at its worker. Sequence: prepare and go come
/// again after the owner had the end acknowledged. Cause: what is forgotten
/// looks new.
#[test]
fn a_forgotten_attempt_does_not_start_again() {
    let attempt = Attempt::new(5, 1);
    let mut grantor = attached();
    let frames = [
        Frame::Prepare { epoch: 5, task: task(attempt) },
        Frame::Stop { epoch: 5, attempt, grace_ms: 0 },
        Frame::Forget { epoch: 5, attempt },
        Frame::Prepare { epoch: 5, task: task(attempt) },
        Frame::Go { epoch: 5, attempt },
    ];
    let mut lines = Vec::new();
    for next in frames {
        let name = next.name();
        lines.push(format!("{name}: {}", frame(&mut grantor, next)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    prepare: prepared
    stop: ended
    forget: other
    prepare: declined announce
    go:
    ");
}

/// Symptom: two tasks on one accelerator. Sequence: an owner that believes it
/// free, as after a takeover, prepares an attempt there. Cause: the owner's
/// belief decides instead of the agent's grant.
#[test]
fn accelerators_are_granted_to_one_attempt() {
    let mut grantor = attached();
    let (first, second) = (Attempt::new(5, 1), Attempt::new(5, 2));
    let mut other = task(second);
    other.ranks = vec![(0, 0b11)];
    let names = [
        frame(&mut grantor, Frame::Prepare { epoch: 5, task: task(first) }),
        frame(&mut grantor, Frame::Prepare { epoch: 5, task: other }),
    ];
    assert_eq!(names, ["prepared", "declined announce"]);
    assert_eq!(grantor.granted_mask(), 1);
}
