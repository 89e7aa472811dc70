use std::collections::BTreeMap;

/// When processes that are not connected are dialled next.
///
/// A machine that is gone for good stays a member for some 8 s, and a cut may
/// last longer. Dialling each without a pause would cost a thread's time and a
/// line of the log several times a second.
#[derive(Debug, Default)]
pub(crate) struct Dials {
    next: BTreeMap<String, Next>,
}

#[derive(Debug)]
struct Next {
    at: u64,
    pause: u64,
}

/// Pause before the second dial, in milliseconds. It doubles from there.
const FIRST: u64 = 300;
/// Longest pause: what it adds, on average half of it, to the time in which a
/// process that came back is found.
const LONGEST: u64 = 1200;

impl Dials {
    /// True if the process is to be dialled now; the next time is later.
    pub fn due(&mut self, address: &str, now: u64) -> bool {
        let next = self.next.entry(address.to_owned()).or_insert(Next { at: 0, pause: FIRST / 2 });
        if now < next.at {
            return false;
        }
        next.pause = (next.pause * 2).min(LONGEST);
        next.at = now + next.pause;
        true
    }

    /// True until a process has been dialled twice.
    pub fn is_first(&self, address: &str) -> bool {
        self.next.get(address).is_some_and(|next| next.pause == FIRST)
    }

    /// The process is connected, or has announced itself anew.
    pub fn forget(&mut self, address: &str) {
        self.next.remove(address);
    }

    /// Drops processes that are no members any more.
    pub fn keep(&mut self, member: impl Fn(&str) -> bool) {
        self.next.retain(|address, _| member(address));
    }

    /// Drops all.
    pub fn clear(&mut self) {
        self.next.clear();
    }
}
