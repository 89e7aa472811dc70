//! The budget of a server, in each order of arrivals, stalls and ends.

use quincewheel_http::{Budget, Group, Id, Limits, Phase};

/// Bytes of bodies in the budgets of these tests; two of three large bodies fit.
const MAX_BYTES: usize = 200;
const LARGE: usize = 100;
/// Connections of the group; one less than the clients.
const MAX_CONNECTIONS: usize = 3;
const CLIENTS: usize = 4;
/// Milliseconds between two steps.
const STEP_MS: u64 = 400;
/// Steps of each course.
const COURSE_STEPS: usize = 5;

/// What a client does in one step.
#[derive(Clone, Copy, Debug)]
enum Act {
    /// Opens a connection, unless it has one, and sends the beginning of a body.
    Send,
    /// Completes its request.
    Complete,
    /// Takes its reply, or leaves.
    Leave,
}

const ACTS: [Act; 3] = [Act::Send, Act::Complete, Act::Leave];

/// A client as the test sees it.
#[derive(Clone, Copy, Debug, Default)]
struct Client {
    connection: Option<Id>,
    /// Bytes that a body holds after its request was complete.
    detached: usize,
}

struct Course {
    budget: Budget,
    group: Group,
    clients: [Client; CLIENTS],
    now: u64,
}

impl Course {
    fn new() -> Course {
        let mut budget = Budget::new(MAX_BYTES);
        let group = budget.add_group(MAX_CONNECTIONS);
        Course { budget, group, clients: [Client::default(); CLIENTS], now: 0 }
    }

    fn displace(&mut self, ids: &[Id]) {
        for client in &mut self.clients {
            client.connection = client.connection.filter(|id| !ids.contains(id));
        }
    }

    fn act(&mut self, number: usize, act: Act) {
        self.now += STEP_MS;
        let client = self.clients[number];
        match (act, client.connection) {
            (Act::Send, None) => {
                let Ok((id, displaced)) = self.budget.open(self.group, self.now) else { return };
                self.displace(displaced.as_slice());
                self.clients[number].connection = Some(id);
                self.budget.enter(id, Phase::Receiving, self.now);
                self.send(id);
            }
            (Act::Send, Some(id)) if client.detached == 0 => self.send(id),
            (Act::Complete, Some(id)) if client.detached == 0 => {
                self.clients[number].detached = self.budget.detach(id);
                self.budget.enter(id, Phase::Serving, self.now);
            }
            (Act::Leave, connection) => {
                connection.into_iter().for_each(|id| self.budget.close(id));
                self.budget.release(client.detached);
                self.clients[number] = Client::default();
            }
            _ => {}
        }
    }

    fn send(&mut self, id: Id) {
        self.budget.progress(id, LARGE, self.now);
        let charge = self.budget.charge(id, LARGE, self.now);
        self.displace(&charge.displaced);
    }

    fn check(&self, acts: &[(usize, Act)]) {
        let open = self.budget.connections(self.group);
        let known = self.clients.iter().filter(|client| client.connection.is_some()).count();
        assert!(open <= MAX_CONNECTIONS, "{open} connections after {acts:?}");
        assert_eq!(open, known, "after {acts:?}");
        let bytes = self.budget.body_bytes();
        assert!(bytes <= MAX_BYTES, "{bytes} bytes after {acts:?}");
    }
}

/// Calls `play` with each course of so many steps.
fn each_course(steps: usize, acts: &mut Vec<(usize, Act)>, play: &mut impl FnMut(&[(usize, Act)])) {
    if acts.len() == steps {
        return play(acts);
    }
    for number in 0..CLIENTS {
        for act in ACTS {
            acts.push((number, act));
            each_course(steps, acts, play);
            acts.pop();
        }
    }
}

/// Guards against a process that holds more than its machine has, in any order of what four clients
/// do, and against bytes or connections that are never given back.
#[test]
fn no_order_exceeds_the_budget_and_all_is_given_back() {
    let mut courses = 0;
    each_course(COURSE_STEPS, &mut Vec::new(), &mut |acts| {
        let mut course = Course::new();
        for (step, (number, act)) in acts.iter().enumerate() {
            course.act(*number, *act);
            course.check(&acts[..=step]);
        }
        (0..CLIENTS).for_each(|number| course.act(number, Act::Leave));
        assert_eq!(course.budget.body_bytes(), 0, "after {acts:?}");
        assert_eq!(course.budget.connections(course.group), 0, "after {acts:?}");
        courses += 1;
    });
    assert_eq!(courses, (CLIENTS * ACTS.len()).pow(COURSE_STEPS as u32));
}

/// Guards against ordinary callers that are kept out by those that stall: after any course, one that
/// arrives, sends and completes without delay is served, unless all wait for the server.
#[test]
fn a_caller_that_makes_progress_is_served_after_any_course() {
    each_course(COURSE_STEPS - 1, &mut Vec::new(), &mut |acts| {
        let mut course = Course::new();
        acts.iter().for_each(|(number, act)| course.act(*number, *act));
        let serving = course.clients.iter().filter(|client| client.detached > 0).count();
        course.now += STEP_MS;
        let opened = course.budget.open(course.group, course.now);
        let Ok((id, _)) = opened else {
            // A request whose body holds nothing may be served as well.
            let idle = course.budget.expire(u64::MAX).len();
            return assert_eq!(idle, 0, "refused beside one that stalls, after {acts:?}");
        };
        course.budget.enter(id, Phase::Receiving, course.now);
        let granted = course.budget.charge(id, LARGE, course.now).is_granted;
        assert!(granted || serving * LARGE >= LARGE, "{serving} served, after {acts:?}");
    });
}

/// Guards against a crowd that sends a byte now and then and counts as making progress.
#[test]
fn the_slowest_gives_way_and_not_the_newest() {
    let mut budget = Budget::new(MAX_BYTES);
    let group = budget.add_group(MAX_CONNECTIONS);
    let mut open = |now| budget.open(group, now).expect("room");
    let (dripping, _) = open(0);
    let (stalled, _) = open(100);
    let (fast, _) = open(2900);
    budget.enter(stalled, Phase::Receiving, 100);
    budget.enter(dripping, Phase::Receiving, 150);
    budget.enter(fast, Phase::Receiving, 2900);
    for now in [1000, 2000, 3000] {
        budget.progress(dripping, 1, now);
    }
    budget.progress(fast, 4096, 3000);
    let (newest, displaced) = budget.open(group, 3000).expect("one gives way");
    assert_eq!(displaced, Some(stalled));
    budget.enter(newest, Phase::Receiving, 3000);
    let (_, displaced) = budget.open(group, 3001).expect("one gives way");
    assert_eq!(displaced, Some(dripping));
}

/// Guards against requests and replies that last for ever, and against ending those that wait for
/// the server.
#[test]
fn only_transfers_expire() {
    let mut budget = Budget::new(MAX_BYTES);
    let group = budget.add_group(CLIENTS);
    let phases = [Phase::Idle, Phase::Receiving, Phase::Serving, Phase::Replying];
    let ids = phases.map(|phase| {
        let (id, _) = budget.open(group, 0).expect("room");
        budget.enter(id, phase, 0);
        id
    });
    assert!(budget.expire(10_000).is_empty());
    assert_eq!(budget.expire(10_001), [ids[1], ids[3]]);
    assert_eq!(budget.connections(group), 2);
}

/// Guards against limits that together exceed the machine, at each size that machines have.
#[test]
fn limits_leave_the_process_its_own_part() {
    for memory_mb in [48, 96, 128, 160, 260, 512, 4096] {
        for descriptors in [456, 700, 4096, 4100, 8192] {
            let memory = memory_mb * 1_000_000;
            let limits = Limits::of_machine(memory, descriptors);
            // The kernel's buffer, those of the HTTP library and the allowance for a body.
            let connections = limits.calls + 2 * limits.pages;
            let held = connections * (96 << 10) + limits.body_bytes;
            assert!(held <= memory * 3 / 4, "{limits:?} of {memory_mb} MB");
            let sockets = descriptors - 200;
            assert!(connections <= sockets * 3 / 4, "{limits:?} of {descriptors} descriptors");
        }
    }
}
