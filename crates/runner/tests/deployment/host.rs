//! A machine with an agent and a worker.

use std::collections::VecDeque;

use quincewheel_job::{Incarnation, Worker};
use quincewheel_runner::{Announcement, Call, Fault, Reply, Runner, Settings};

use super::process::Process;

/// A call of an agent.
pub struct Flight {
    /// The agent's process that made it.
    pub agent: u64,
    pub id: u64,
    pub call: Call,
    pub sent: u64,
    pub phase: Phase,
}

/// Where a call is.
pub enum Phase {
    /// It arrives at this time.
    Sent(u64),
    /// The process holds its reply back until this time.
    Parked(usize, u64),
    /// The result arrives at this time.
    Replied(u64, Result<Reply, Fault>),
    /// There will be no reply.
    Lost,
}

/// A report of a worker on its way to its agent.
pub enum Report {
    Heartbeat { worker: Worker, address: String, clock: u64, number: u64 },
    Leave(Incarnation),
}

/// A machine with an agent and a worker.
pub struct Host {
    pub name: String,
    /// Number of the agent's process.
    pub agent: u64,
    pub runner: Runner,
    pub announcement: Announcement,
    /// When the agent's process runs.
    pub agent_up_at: u64,
    /// Until when the agent's process does nothing.
    pub agent_frozen_until: u64,
    pub agent_was_frozen: bool,
    pub process: Option<Process>,
    /// When the next process of the worker starts.
    pub next_process_at: Option<u64>,
    pub flights: Vec<Flight>,
    /// Calls without a reply that are carried out at this time.
    pub late_calls: Vec<(u64, Call)>,
    pub reports: Vec<(u64, Report)>,
    pub replies_lost_until: u64,
    pub calls_lost_until: u64,
    pub calls_delayed_until: u64,
    pub call_delay: u64,
    pub replies_late_until: u64,
    pub refuses_polls_until: u64,
    pub refuses_all_until: u64,
    pub port_closed_until: u64,
    pub heartbeats_delayed_until: u64,
    pub heartbeat_delay: u64,
    pub heartbeats_repeated_until: u64,
    pub heartbeats_lost_until: u64,
    pub unreachable_until: u64,
    pub orders_delayed_until: u64,
    pub notices_delayed_until: u64,
    pub next_dial: u64,
    /// Writes of the agent's row, by the time at which the owner reads them.
    pub announcements: VecDeque<u64>,
}

impl Host {
    pub fn new(number: usize) -> Host {
        Host {
            name: format!("w{number}"),
            agent: 0,
            runner: Runner::new(Settings::default()),
            announcement: Announcement::unwritten(),
            agent_up_at: 0,
            agent_frozen_until: 0,
            agent_was_frozen: false,
            process: None,
            next_process_at: Some(0),
            flights: Vec::new(),
            late_calls: Vec::new(),
            reports: Vec::new(),
            replies_lost_until: 0,
            calls_lost_until: 0,
            calls_delayed_until: 0,
            call_delay: 0,
            replies_late_until: 0,
            refuses_polls_until: 0,
            refuses_all_until: 0,
            port_closed_until: 0,
            heartbeats_delayed_until: 0,
            heartbeat_delay: 0,
            heartbeats_repeated_until: 0,
            heartbeats_lost_until: 0,
            unreachable_until: 0,
            orders_delayed_until: 0,
            notices_delayed_until: 0,
            next_dial: 0,
            announcements: VecDeque::new(),
        }
    }

    /// Returns whether the worker's process is up but does nothing.
    pub fn worker_is_frozen(&self, now: u64) -> bool {
        self.process.as_ref().is_some_and(|process| now < process.frozen_until)
    }

    /// Returns whether the agent's process runs.
    pub fn agent_runs(&self, now: u64) -> bool {
        now >= self.agent_up_at && now >= self.agent_frozen_until
    }
}
