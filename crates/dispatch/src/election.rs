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
    /// Since when it has been known that nobody ever owned.
    unowned: Option<u64>,
    /// The former owner asked this entry to step in, at this version of the row.
    called: Option<u64>,
    /// The row's version, and since when it has been seen without a gap.
    seen: Option<(u64, u64)>,
    /// When the table last told all changes.
    heard: u64,
    /// Since when the owner's connection has been gone; none while it is there
    /// or was never made.
    lost: Option<u64>,
    /// When the owner last said that it lives; none before, and without its connection.
    word: Option<u64>,
    /// How long this candidate waits beyond the one that should own.
    stagger: u64,
}

/// The second candidate waits for so many milliseconds beyond the first: what a claim
/// takes, 10 ms, until all others have heard of it, which read their feed every 40 ms.
/// Without a wait all claimed at once, and a machine that was too small won by chance.
const SECOND: u64 = 60;

/// And each further one for so many more: a claim that is refused costs one write.
const STEP: u64 = 20;

/// But none for more than this. Where so many larger machines are gone, a few refused
/// writes cost less than the wait.
const LONGEST: u64 = 400;

/// Where nobody ever owned, entries have just started, and it takes so many milliseconds
/// until they know of one another: all start within 300, and announce themselves.
const ASSEMBLY: u64 = 500;

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
pub(crate) const OWNER_TIMEOUT_MS: u64 = 700;

impl Election {
    /// A candidate.
    pub fn new(name: &str, incarnation: u64, patience: u64) -> Election {
        Election {
            name: name.to_owned(),
            incarnation,
            patience,
            unowned: None,
            called: None,
            seen: None,
            heard: 0,
            lost: None,
            word: None,
            stagger: 0,
        }
    }

    /// Takes note of how many candidates come before this one. They wait a little
    /// longer one after the other, so that they seldom race, and so that the largest
    /// machine that lives owns.
    pub fn set_rank(&mut self, place: usize) {
        self.stagger = match place as u64 {
            0 => 0,
            place => (SECOND + (place - 1) * STEP).min(LONGEST),
        };
    }

    /// The former owner asked this entry to step in; the row has this version now.
    pub fn on_handover(&mut self, version: u64) {
        self.called = Some(version);
    }

    /// The table was heard, and nobody ever owned.
    pub fn on_unowned(&mut self, now: u64) {
        self.unowned.get_or_insert(now);
    }

    /// The owner connected to this process.
    pub fn on_owner_connected(&mut self) {
        self.lost = None;
        self.word = None;
    }

    /// The owner said that it lives.
    pub fn on_owner_heartbeat(&mut self, now: u64) {
        self.word = Some(now);
    }

    /// The owner's connection to this process broke.
    pub fn on_owner_disconnected(&mut self, now: u64) {
        self.lost = Some(now);
        self.word = None;
    }

    /// Takes note of the row as the table has it now.
    pub fn observe_row(&mut self, version: u64, now: u64) {
        if self.seen.is_none_or(|(known, _)| known < version) {
            self.seen = Some((version, now));
            // Whoever wrote it lives; another owner connects anew.
            self.lost = None;
            self.word = self.word.map(|_| now);
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
    pub fn should_claim(
        &self,
        owner: Option<&(Ownership, u64)>,
        current: u64,
        now: u64,
        draining: bool,
    ) -> bool {
        let Some((owner, version)) = owner else {
            let assembled = |since| now >= since + ASSEMBLY + self.stagger;
            return !draining && self.unowned.is_none_or(assembled);
        };
        let held = self.seen.filter(|(known, _)| known == version);
        if draining {
            let vacant = held.is_some_and(|(_, since)| now >= since + VACANT);
            return owner.holder.is_empty() && vacant;
        }
        let mine = owner.holder == self.name && owner.incarnation != self.incarnation;
        let patience = self.patience + self.stagger;
        let still = held.is_some_and(|(_, since)| current >= since + patience);
        // An owner whose connection breaks is dead, or else it connects again
        // or writes its row within this time.
        let gone = self.lost.is_some_and(|since| now >= since + OWNER_TIMEOUT_MS + self.stagger);
        // One that lost its power or is cut off breaks no connection: it says nothing, and its
        // row stands still.
        let silent = self.word.is_some_and(|at| now >= at + OWNER_TIMEOUT_MS + self.stagger)
            && held.is_some_and(|(_, since)| current >= since + OWNER_TIMEOUT_MS + self.stagger);
        // The former incarnation of this very process cannot act any more.
        let waited = held.is_some_and(|(_, since)| now >= since + self.stagger);
        let mine_next = self.stagger == 0 || waited || self.called == Some(*version);
        let vacant = owner.holder.is_empty() && mine_next;
        mine || gone || silent || vacant || (still && now < current + patience)
    }
}
