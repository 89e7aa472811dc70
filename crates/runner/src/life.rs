use std::collections::BTreeMap;

use quincewheel_job::{End, Run, Worker};

use crate::call::{Action, Call};
use crate::pending::Pending;
use crate::stopped::Stopped;

/// What is known of one life of the worker.
pub(crate) struct Life {
    pub worker: Worker,
    pub address: String,
    /// The highest epoch under which it answered.
    pub fenced: u64,
    pub running: Vec<Run>,
    pub ended: Vec<End>,
    /// Ends up to here are recorded by the owner.
    pub seen: u64,
    /// Ends up to here the worker knows to be recorded.
    pub told: u64,
    /// What the look that is under way, or was last, told as recorded.
    pub asked: u64,
    /// The look that is under way, with its epoch.
    pub hold: Option<(u64, u64)>,
    /// No look before this time.
    pub rest: u64,
    /// When the worker last did what it was called for and said so, or owed no
    /// answer. A lease ends no later than a full lease from here, so that a
    /// worker whose answers are lost, but which hears every renewal, does not run
    /// on unseen.
    pub answered: u64,
    /// It has answered a look.
    pub proven: bool,
    /// When the worker last reported or answered a look.
    pub reported: u64,
    /// Something changed at the worker since the last look began.
    pub changed: bool,
    /// Stops that the worker confirmed, told once a look that began later was
    /// answered: only then is it sure that the run does not go on.
    pub stopped: Vec<Stopped>,
    pub orders: BTreeMap<u64, Pending>,
}

impl Life {
    pub fn open(worker: &Worker, address: &str, now: u64) -> Life {
        Life {
            worker: worker.clone(),
            address: address.to_owned(),
            fenced: 0,
            running: Vec::new(),
            ended: Vec::new(),
            seen: 0,
            told: 0,
            asked: 0,
            hold: None,
            rest: 0,
            answered: now,
            proven: false,
            reported: now,
            changed: false,
            stopped: Vec::new(),
            orders: BTreeMap::new(),
        }
    }

    /// True if the worker has to be looked at: it is not fenced yet, or runs
    /// something, or has ends that it does not know to be recorded.
    pub fn busy(&self, epoch: u64) -> bool {
        epoch > 0
            && (self.fenced < epoch
                || !self.running.is_empty()
                || !self.ended.is_empty()
                || self.told < self.seen
                || self.changed
                || !self.stopped.is_empty()
                || self.orders.values().any(|pending| pending.tries > 0))
    }

    pub fn call(&self, fence: u64, action: Action, timeout: u64) -> Call {
        Call {
            address: self.address.clone(),
            worker: self.worker.id.clone(),
            fence,
            action,
            timeout,
        }
    }
}
