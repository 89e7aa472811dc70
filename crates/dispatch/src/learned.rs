use std::collections::BTreeMap;

use quincewheel_job::Queue;
use quincewheel_share::Usage;
use quincewheel_speed::Speed;
use quincewheel_trust::Trust;

use crate::owner::Owner;
use crate::times::Times;

/// State that owners learn from runs and record in rows of their own. A part is none if it has no
/// row, or in a [`crate::Batch`], if it is not due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Learned {
    /// Run times by queue.
    pub times: Option<Times>,
    /// Trust in workers.
    pub trust: Option<Trust>,
    /// Speed of machines.
    pub speed: Option<Speed>,
    /// Usage of teams.
    pub usage: Option<Usage>,
    /// Queues that have changed since unfinished jobs were accepted, as they were last.
    pub queues: Option<BTreeMap<String, Queue>>,
}

impl Owner {
    /// Loads what a previous owner has learned.
    pub fn restore_learned(&mut self, learned: &Learned) {
        let Learned { times, trust, speed, usage, queues } = learned.clone();
        times.into_iter().for_each(|times| self.times.restore(times));
        trust.into_iter().for_each(|trust| self.trust.restore(trust));
        speed.into_iter().for_each(|speed| self.speed.restore(speed));
        usage.into_iter().for_each(|usage| self.usage.restore(usage));
        if let Some(queues) = queues {
            self.queues.restore(&queues);
            self.changed_queues.restore(queues);
        }
    }

    /// Returns what is to be recorded now.
    pub(crate) fn due_learned(&mut self) -> Learned {
        let now = self.now;
        Learned {
            times: self.times.take_due(now),
            trust: self.due_trust(),
            speed: self.speed.take_due(now),
            usage: self.usage.take_due(now),
            queues: self.changed_queues.take_due(now),
        }
    }

    /// Makes what could not be recorded due again.
    pub(crate) fn retry_learned(&mut self, learned: &Learned) {
        learned.times.iter().for_each(|_| self.times.retry());
        learned.trust.iter().for_each(|_| self.trust.retry());
        learned.speed.iter().for_each(|_| self.speed.retry());
        learned.usage.iter().for_each(|_| self.usage.retry());
        learned.queues.iter().for_each(|_| self.changed_queues.retry());
    }
}
