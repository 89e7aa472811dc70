use quincewheel_job::{Task, Worker};
use quincewheel_policy::Quarantine;
use quincewheel_wire::LinkId;

use crate::close_reason::CloseReason;
use crate::refusals::Refusals;
use crate::settings::Settings;
use crate::suspects::SuspectedCrash;

/// What the owner knows of one agent and its worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agent {
    /// The open connection.
    pub link: Option<LinkId>,
    /// When the owner first knew of it.
    pub joined_at: u64,
    /// When the agent last told anything.
    pub last_notice_at: u64,
    /// The worker, if the agent knows it.
    pub worker: Option<Worker>,
    /// Nothing of a former owner can be unknown there: the worker answered
    /// under this owner's epoch, or it is known to have left.
    pub reconciled: bool,
    /// The worker answered under this owner's epoch.
    pub fenced: bool,
    /// A former owner may have granted it leases.
    pub predecessor_leases: bool,
    /// All leases that were granted through this agent have lapsed by then.
    pub leases_expire_at: u64,
    /// Since when the agent has known no worker; none while it knows one.
    pub no_worker_since: Option<u64>,
    /// Since when there has been no connection, or no worker, or one that has not
    /// answered for a whole lease; none while there is a worker that answers.
    pub absent_since: Option<u64>,
    /// Since when nothing has shown that the worker, which is known, lives: there is no
    /// connection, or it took none, or it owes an answer; none while something does.
    pub unresponsive_since: Option<u64>,
    /// What speaks against its worker.
    pub blame: Quarantine,
    /// Starts just after which the worker broke its connections, if it has not answered
    /// since: if it is gone, one of them has crashed it.
    pub crash: Option<SuspectedCrash>,
    /// Starts that its worker refused of late.
    pub refusals: Refusals,
    /// Its worker said that it ends, and no other has reported since.
    pub worker_left: bool,
    /// Its row is being dropped: nothing new starts there.
    pub removal_pending: bool,
    /// Its machine goes down next: nothing new starts there.
    pub cordoned: bool,
    /// Operators evacuate its worker's availability zone: nothing new starts there.
    pub zone_evacuated: bool,
    /// The platform was asked to take its machine down: all that runs there is
    /// as good as gone.
    pub shutdown_requested: bool,
    /// For how long the worker has owed an answer.
    pub silent_ms: u64,
    /// The runs that the worker listed last.
    pub listed_runs: Vec<(Task, u64)>,
    /// Those of them that nobody waits for: they are being stopped.
    pub strays: Vec<Task>,
    /// When it was last seen to that what should run there is listed.
    pub missing_checked_at: u64,
    /// The last end that was taken note of.
    pub last_end: u64,
    /// The last end that the worker was told to forget.
    pub acknowledged_end: u64,
    /// The worker is the last choice until then.
    pub doubted_until: u64,
    /// The worker is slow until then, as it has just started, and the last choice.
    pub cold_until: u64,
    /// Runs that failed there in a row.
    pub consecutive_failures: u32,
}

impl Agent {
    /// Takes note of whether connection and worker are there, and the worker has
    /// answered within a `lease`. An agent that lives does not make a member of a
    /// worker that is gone: each later owner would wait for it.
    pub fn update_liveness(&mut self, settings: &Settings, now: u64) {
        let lease = settings.lease + settings.lease_margin;
        let answers =
            self.link.is_some() && self.fenced && self.silent_ms < settings.answer_overdue;
        match answers || self.worker.is_none() {
            true => self.unresponsive_since = None,
            false => {
                self.unresponsive_since.get_or_insert(now);
            }
        }
        match self.link.is_some() && self.worker.is_some() && self.silent_ms < lease {
            true => self.absent_since = None,
            false => {
                let since = now.saturating_sub(self.silent_ms).max(self.joined_at);
                self.absent_since.get_or_insert(since);
            }
        }
    }

    /// True if nothing that a former owner started can still run there. It
    /// granted nothing after `last`, this owner nothing that has not lapsed, and
    /// the agent renewed nothing that its worker has not answered to for a `lease`.
    ///
    /// Only what proves that something may still run puts this off: a lease, or an
    /// answer to a look. Signs of life that prove nothing (an agent without a
    /// worker that asks for leases, a connection made anew, a look that is refused)
    /// once did, and jobs accepted before a restart never started again.
    pub fn is_clear_of_predecessors(&self, last: u64, lease: u64, now: u64) -> bool {
        let lapsed = now >= last + lease;
        match (&self.worker, self.link) {
            _ if self.reconciled || !self.predecessor_leases => true,
            (None, _) => lapsed,
            (Some(_), Some(_)) => self.silent_ms >= lease,
            (Some(_), None) => lapsed && now >= self.leases_expire_at,
        }
    }

    /// True if a start that is ordered now finds a lease there. An agent refuses a
    /// start with less than a fourth of one, and an owner that granted none but went
    /// on ordering would be refused hundreds of times a second.
    pub fn has_lease(&self, settings: &Settings, now: u64) -> bool {
        now + settings.lease / 4 + settings.lease_margin < self.leases_expire_at
    }

    /// True if runs may start there.
    pub fn accepts_runs(&self, settings: &Settings, now: u64) -> bool {
        CloseReason::of(self, settings, now).is_none()
    }
}
