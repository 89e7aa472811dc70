use crate::rows::Ownership;

/// Decides when to take the ownership over.
///
/// An owner rewrites its row several times within a candidate's patience. A
/// candidate that hears the table well, yet sees the row stand still, takes
/// over. One that does not hear the table cannot tell, and waits: the owner may
/// be well. Nor does time count in which it did not hear the table, since the
/// owner may not have reached it either.
#[derive(Debug)]
pub struct Election {
    name: String,
    incarnation: u64,
    /// Milliseconds for which the row must have stood still.
    patience: u64,
    /// The row's version, and since when it has been seen without a gap.
    seen: Option<(u64, u64)>,
    /// When the table last told all changes.
    heard: u64,
    /// Since when the owner's connection has been gone; none while it is there
    /// or was never made.
    lost: Option<u64>,
    /// How long this candidate waits beyond the others.
    stagger: u64,
}

/// An entry that drains leaves a vacant ownership to others for so many
/// milliseconds: ten times what a claim takes.
const VACANT: u64 = 300;

/// A candidate that did not hear the table for so many milliseconds starts
/// counting anew. It asks for changes every 400 ms, and a slow table answers
/// within some 450. Without this, every entry took over the moment a table came
/// back that had been away for longer than their patience.
const GAP: u64 = 1000;

/// An owner whose connection broke is replaced after so many milliseconds,
/// if it neither connects again nor writes its row. An owner that lives dials
/// again within 400 ms.
const LOST: u64 = 700;

impl Election {
    /// A candidate. Candidates wait a little longer one after the other, so
    /// that they seldom race; a race costs the losers one refused write.
    pub fn open(name: &str, incarnation: u64, patience: u64) -> Election {
        let stagger = name.bytes().fold(0u64, |sum, byte| sum * 31 % 997 + u64::from(byte)) % 400;
        Election {
            name: name.to_owned(),
            incarnation,
            patience: patience + stagger,
            seen: None,
            heard: 0,
            lost: None,
            stagger,
        }
    }

    /// The owner connected to this process.
    pub fn found(&mut self) {
        self.lost = None;
    }

    /// The owner's connection to this process broke.
    pub fn lost(&mut self, now: u64) {
        self.lost = Some(now);
    }

    /// Takes note of the row as the table has it now.
    pub fn observe(&mut self, version: u64, now: u64) {
        if self.seen.is_none_or(|(known, _)| known < version) {
            self.seen = Some((version, now));
            // Whoever wrote it lives; another owner connects anew.
            self.lost = None;
        } else if now > self.heard + GAP {
            self.seen = Some((version, now));
        }
        self.heard = now;
    }

    /// True if it is time to take over. `current` is when the table was last
    /// known to have told all changes.
    ///
    /// One that is `draining` steps in only where nobody else takes what was
    /// handed over: where entries restart one after the other, all that are
    /// there may be about to end, and a short ownership is better than none.
    pub fn due(
        &self,
        owner: Option<&(Ownership, u64)>,
        current: u64,
        now: u64,
        draining: bool,
    ) -> bool {
        let Some((owner, version)) = owner else { return !draining };
        let held = self.seen.filter(|(known, _)| known == version);
        if draining {
            let vacant = held.is_some_and(|(_, since)| now >= since + VACANT);
            return owner.holder.is_empty() && vacant;
        }
        let mine = owner.holder == self.name && owner.incarnation != self.incarnation;
        let still = held.is_some_and(|(_, since)| current >= since + self.patience);
        // An owner whose connection breaks is dead, or else it connects again
        // or writes its row within this time.
        let gone = self.lost.is_some_and(|since| now >= since + LOST + self.stagger);
        // The former life of this very process cannot act any more.
        mine || gone || owner.holder.is_empty() || (still && now < current + self.patience)
    }
}
