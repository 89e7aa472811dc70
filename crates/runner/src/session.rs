use std::collections::BTreeMap;

use quincewheel_job::{End, Run, Task, Worker};

use crate::call::{Action, Call};
use crate::pending::Pending;
use crate::stopped::Stopped;

/// What is known of one incarnation of the worker.
pub(crate) struct Session {
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
    /// Each call since the last look that this incarnation answered was answered as well.
    pub sure: bool,
    /// The number of the last report that was taken.
    pub number: u64,
    /// When the worker last reported or answered a look.
    pub reported: u64,
    /// Something changed at the worker since the last look began.
    pub changed: bool,
    /// Stops that the worker confirmed, told once a look that began later was
    /// answered: only then is it sure that the run does not go on.
    pub stopped: Vec<Stopped>,
    pub orders: BTreeMap<u64, Pending>,
    /// Starts that were confirmed of late, and when.
    pub fresh: Vec<(Task, u64, u64)>,
    /// The starts just before the worker broke its connections, if it has, and has not
    /// answered since.
    pub broke: Option<Vec<(Task, u64)>>,
}

impl Session {
    pub fn open(worker: &Worker, address: &str, now: u64) -> Session {
        Session {
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
            sure: false,
            number: 0,
            reported: now,
            changed: false,
            stopped: Vec::new(),
            orders: BTreeMap::new(),
            fresh: Vec::new(),
            broke: None,
        }
    }

    /// True if the report is of this incarnation.
    pub fn is(&self, worker: &Worker) -> bool {
        self.worker.is_incarnation(&worker.incarnation())
    }

    /// Up to which number the next look tells that ends are recorded; 0 if it tells nothing.
    ///
    /// A call names the worker by its id only, and one that has started again numbers its ends
    /// from 1: told the number of a former incarnation, it would forget ends that nobody has
    /// seen, and their tasks would run again.
    pub fn acknowledged(&self) -> u64 {
        if self.is_sure() && self.seen > self.told { self.seen } else { 0 }
    }

    /// True if whoever answers now has no end but those that it listed when it answered last.
    fn is_sure(&self) -> bool {
        self.sure && !self.has_start_on_way()
    }

    /// True if a start was made and its answer is awaited.
    pub fn has_start_on_way(&self) -> bool {
        self.orders.values().any(Pending::is_on_way)
    }

    /// True if the worker is to be told at the next occasion that ends are recorded.
    pub fn owes_acknowledgement(&self) -> bool {
        self.seen > self.told && !self.has_start_on_way()
    }

    /// Starts that were made and not answered.
    pub fn unanswered(&self) -> Vec<(Task, u64)> {
        let made = |pending: &&Pending| pending.doubtful || pending.unclear || pending.is_on_way();
        self.orders.values().filter(made).map(Pending::run).collect()
    }

    /// A start was confirmed. Those that are no longer fresh are forgotten.
    pub fn note_start(&mut self, task: Task, run: u64, fresh: u64, now: u64) {
        self.fresh.retain(|(_, _, at)| now <= at + fresh);
        self.fresh.push((task, run, now));
    }

    /// The starts that may be why the worker has just broken its connections: `closed` one
    /// that was open, or else took no new one. One that takes none has not seen the starts
    /// that are on their way for the first time.
    pub fn suspects(&self, closed: bool, fresh: u64, now: u64) -> Vec<(Task, u64)> {
        let confirmed = self.fresh.iter().filter(|(_, _, at)| now <= at + fresh);
        let confirmed = confirmed.map(|(task, run, _)| (task.clone(), *run));
        let starts = self.orders.values().filter(|pending| pending.is_start());
        let sent = starts.filter(|pending| pending.doubtful || closed && pending.again.is_none());
        confirmed.chain(sent.map(Pending::run)).collect()
    }

    /// True if the look or order was made to this incarnation, and its answer is awaited.
    pub fn made(&self, id: u64) -> bool {
        self.hold.is_some_and(|hold| hold.0 == id) || self.orders.contains_key(&id)
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

    pub fn call(&self, fencing_token: u64, action: Action, timeout: u64) -> Call {
        Call {
            address: self.address.clone(),
            worker: self.worker.id.clone(),
            fencing_token,
            action,
            timeout,
        }
    }
}
