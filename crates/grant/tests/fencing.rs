//! How an agent treats orders of previous owners.

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

fn grantor_with_owner() -> Grantor {
    let member = Member { worker: "worker".to_owned(), accelerators: 8, ..Member::default() };
    let mut grantor = Grantor::new(Settings { member, ..Settings::default() });
    grantor.handle(NOW, Input::Recovered(Vec::new()));
    grantor.handle(NOW, Input::OwnerRow(Some((5, "e".to_owned()))));
    let hello = Hello { role: Role::Entry, name: "entry".to_owned(), incarnation: 1 };
    grantor.handle(NOW, Input::Connected { link: 1, hello, dialled: "e".to_owned() });
    grantor
}

/// Delivers a frame and returns the names of the outputs except events.
fn deliver(grantor: &mut Grantor, frame: Frame) -> String {
    let outputs = grantor.handle(NOW, Input::Frame { link: 1, frame });
    let name = |output: &Output| match output {
        Output::Send { frame, .. } => frame.name(),
        Output::Close { .. } => "close",
        Output::Run { .. } => "run",
        Output::Stop { .. } => "stop",
        _ => "other",
    };
    let names = outputs.iter().filter(|output| !matches!(output, Output::Event(_))).map(name);
    names.collect::<Vec<_>>().join(" ")
}

/// A previous owner sends orders after it was replaced. An agent that follows them runs work that
/// the current owner has placed elsewhere or given up.
#[test]
fn an_earlier_epoch_is_fenced() {
    let attempt = Attempt::new(5, 1);
    let outdated = [
        Frame::Prepare { epoch: 4, task: task(Attempt::new(4, 9)) },
        Frame::Go { epoch: 4, attempt },
        Frame::Stop { epoch: 4, attempt, grace_ms: 0 },
        Frame::Forget { epoch: 4, attempt },
    ];
    let mut lines = Vec::new();
    for order in outdated {
        let mut grantor = grantor_with_owner();
        deliver(&mut grantor, Frame::Prepare { epoch: 5, task: task(attempt) });
        let name = order.name();
        lines.push(format!("{name}: {}", deliver(&mut grantor, order)));
        assert_eq!(grantor.granted_mask(), 1, "the current owner's grant stands");
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    prepare: fenced close
    go: fenced close
    stop: fenced close
    forget: fenced close
    ");
}

/// A previous owner connects to a restarted agent before the agent has read the ownership row. The
/// agent knows no epoch yet and must not start work for it.
#[test]
fn agent_follows_no_orders_before_it_has_read_the_ownership_row() {
    let mut grantor = Grantor::new(Settings::default());
    grantor.handle(NOW, Input::Recovered(Vec::new()));
    let hello = Hello { role: Role::Entry, name: "entry".to_owned(), incarnation: 1 };
    let linked = Input::Connected { link: 1, hello, dialled: String::new() };
    let outputs = grantor.handle(NOW, linked);
    assert!(outputs.iter().any(|output| matches!(output, Output::Close { .. })), "{outputs:?}");
    let prepare = Frame::Prepare { epoch: 9, task: task(Attempt::new(9, 1)) };
    assert_eq!(deliver(&mut grantor, prepare), "");
    assert_eq!(grantor.granted_mask(), 0);
}

/// Duplicated prepare and go frames arrive after the end was acknowledged. An agent that has
/// forgotten the attempt would start it a second time.
#[test]
fn a_forgotten_attempt_does_not_start_again() {
    let attempt = Attempt::new(5, 1);
    let mut grantor = grantor_with_owner();
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
        lines.push(format!("{name}: {}", deliver(&mut grantor, next)));
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    prepare: prepared
    stop: ended
    forget: other
    prepare: declined announce
    go:
    ");
}

/// An owner that wrongly takes an accelerator for free, as after a takeover, prepares a second
/// attempt there. The agent's own grants decide, so two tasks never share an accelerator.
#[test]
fn accelerators_are_granted_to_one_attempt() {
    let mut grantor = grantor_with_owner();
    let (first, second) = (Attempt::new(5, 1), Attempt::new(5, 2));
    let mut other = task(second);
    other.ranks = vec![(0, 0b11)];
    let names = [
        deliver(&mut grantor, Frame::Prepare { epoch: 5, task: task(first) }),
        deliver(&mut grantor, Frame::Prepare { epoch: 5, task: other }),
    ];
    assert_eq!(names, ["prepared", "declined announce"]);
    assert_eq!(grantor.granted_mask(), 1);
}
