//! What goes wrong in a course.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// A kind of trouble.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The connection between the owner and an agent is lost, as both notice.
    LinkLost,
    /// The owner does not notice the loss.
    LinkLostAtAgent,
    /// The agent does not notice the loss.
    LinkLostAtOwner,
    /// Frames between the owner and an agent wait.
    FramesDelayed,
    /// The agent's process restarts.
    AgentRestart,
    /// The agent's process does nothing.
    AgentFrozen,
    /// The owner's process does nothing.
    OwnerFrozen,
    /// Calls get no reply, and are carried out.
    RepliesLost,
    /// Calls get no reply, and are not carried out.
    CallsLost,
    /// Calls get no reply, and are carried out seconds later.
    CallsDelayed,
    /// Replies are late.
    RepliesLate,
    /// The worker refuses polls.
    RefusesPolls,
    /// The worker refuses all calls.
    RefusesAll,
    /// The worker's port accepts no connections for a while.
    PortClosed,
    /// The worker drains, leaves, and is replaced.
    Drain,
    /// The worker crashes, and is replaced.
    Crash,
    /// Heartbeats are delayed.
    HeartbeatsDelayed,
    /// Heartbeats are repeated.
    HeartbeatsRepeated,
    /// No heartbeats arrive.
    HeartbeatsLost,
    /// The worker's capacity changes.
    Capacity,
    /// The worker warms up again.
    Cold,
    /// The table takes no records.
    TableDown,
    /// Machine lists are late.
    ListsLate,
    /// Orders wait, and notices do not.
    OrdersDelayed,
    /// Notices wait, and orders do not.
    NoticesDelayed,
    /// The worker's process does nothing, while its clock runs on.
    WorkerFrozen,
    /// The worker's process does nothing, and its clock stands still. Its lease then outlasts what the
    /// owner allows for, so courses have it only on request.
    WorkerSuspended,
}

/// The kinds of trouble at the owner, agents and connections, and replacements of workers. Seeds
/// refer to their order.
pub const KINDS: [Kind; 23] = [
    Kind::LinkLost,
    Kind::LinkLostAtAgent,
    Kind::LinkLostAtOwner,
    Kind::FramesDelayed,
    Kind::AgentRestart,
    Kind::AgentFrozen,
    Kind::OwnerFrozen,
    Kind::RepliesLost,
    Kind::CallsLost,
    Kind::CallsDelayed,
    Kind::RepliesLate,
    Kind::RefusesPolls,
    Kind::RefusesAll,
    Kind::PortClosed,
    Kind::Drain,
    Kind::Crash,
    Kind::HeartbeatsDelayed,
    Kind::HeartbeatsRepeated,
    Kind::HeartbeatsLost,
    Kind::Capacity,
    Kind::Cold,
    Kind::TableDown,
    Kind::ListsLate,
];

/// Kinds of trouble that only some courses have.
pub const MORE_KINDS: [Kind; 3] = [Kind::OrdersDelayed, Kind::NoticesDelayed, Kind::WorkerFrozen];

/// One fault.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it begins, in milliseconds from the start of the course.
    pub at: u64,
    pub host: usize,
    pub kind: Kind,
    /// How long it lasts, in milliseconds.
    pub duration: u64,
    /// A second duration, such as that until a replacement comes.
    pub delay: u64,
}

impl Fault {
    /// When everything that it causes is over, in milliseconds from the start of the course.
    pub fn end(&self) -> u64 {
        self.at + self.duration + self.delay * 3 / 2
    }
}

/// Draws the faults of a course: a few kinds, at times in series at one worker.
pub fn draw(seed: u64, hosts: usize, length: u64, kinds: &[Kind]) -> Vec<Fault> {
    let mut random = StdRng::seed_from_u64(seed ^ 0x5eed);
    let active: Vec<Kind> = match random.random_range(0..4) {
        0 => kinds.to_vec(),
        _ => {
            let count = random.random_range(2..=6);
            (0..count).map(|_| kinds[random.random_range(0..kinds.len())]).collect()
        }
    };
    let mut faults = Vec::new();
    let mut at = 1000;
    let gap = random.random_range(50..1500);
    while at < length {
        at += random.random_range(0..gap * 2);
        let host = random.random_range(0..hosts);
        let series = if random.random_bool(0.3) { random.random_range(2..6) } else { 1 };
        let mut when = at;
        for _ in 0..series {
            let kind = active[random.random_range(0..active.len())];
            let duration = match random.random_range(0..3) {
                0 => random.random_range(50..600),
                1 => random.random_range(300..3000),
                _ => random.random_range(500..8000),
            };
            let delay = match random.random_range(0..2) {
                0 => random.random_range(10..600),
                _ => random.random_range(300..7000),
            };
            faults.push(Fault { at: when, host, kind, duration, delay });
            when += random.random_range(0..1500);
        }
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}
