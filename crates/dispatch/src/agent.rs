use quincewheel_job::{Task, Worker};
use quincewheel_wire::LinkId;

use crate::close_reason::CloseReason;
use crate::crashes::SuspectedCrash;
use crate::refusals::Refusals;
use crate::settings::Settings;

/// The owner's state of one agent and its worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct Agent {
    /// The open connection to the agent.
    pub link: Option<LinkId>,
    /// When the owner first learned of the agent.
    pub joined_at: u64,
    /// When the last notice from the agent arrived.
    pub last_notice_at: u64,
    /// The worker, if the agent has one.
    pub worker: Option<Worker>,
    /// Whether every run there that a previous owner may have started is accounted for: the
    /// worker has listed all its runs and ends under this owner's epoch, or is known to have ended.
    pub reconciled: bool,
    /// Whether the worker has answered under this owner's epoch on the open connection.
    pub fenced: bool,
    /// Whether the worker has not answered since it was first reported, so that it may have ended,
    /// and another incarnation may be current.
    pub unverified: bool,
    /// Whether a previous owner may have granted leases through this agent.
    pub predecessor_leases: bool,
    /// When the last lease granted through this agent expires.
    pub leases_expire_at: u64,
    /// Whether this owner has granted a lease that counts from the agent's request. It ends no
    /// earlier than any that a previous owner granted, since the agent follows this one since.
    pub has_full_grant: bool,
    /// Since when the agent has had no worker; none while it has one.
    pub no_worker_since: Option<u64>,
    /// Since when the agent has not been connected with a worker that responds within a lease;
    /// none while it is.
    pub absent_since: Option<u64>,
    /// Since when the known worker has shown no sign of life: the agent is not connected, or
    /// the worker has not answered under this epoch, or is late with an answer. None while it
    /// responds.
    pub unresponsive_since: Option<u64>,
    /// The starts just before the worker broke its connections, if it has not answered since.
    /// Should the worker turn out to have ended, one of them has crashed it.
    pub suspected_crash: Option<SuspectedCrash>,
    /// Starts that the worker has refused recently.
    pub refusals: Refusals,
    /// Whether the worker has ended, and no other has reported since.
    pub worker_left: bool,
    /// Whether the agent's row is being deleted, so that nothing new starts there.
    pub removal_pending: bool,
    /// Whether the machine is next in a wave of maintenance, so that nothing new starts there.
    pub cordoned: bool,
    /// Whether operators evacuate the worker's availability zone, so that nothing new starts
    /// there.
    pub zone_evacuated: bool,
    /// Whether the platform was requested to take the machine down, so that all runs there are
    /// about to be lost.
    pub shutdown_requested: bool,
    /// For how long an answer of the worker has been overdue, in milliseconds.
    pub silent_ms: u64,
    /// When the worker last listed its runs in answer to a poll, by the owner's clock.
    pub listed_at: u64,
    /// The runs that the worker listed in its last status.
    pub listed_runs: Vec<(Task, u64)>,
    /// Whether it may have had further ends to list then.
    pub list_truncated: bool,
    /// Listed runs that belong to no job's current state, and are being stopped.
    pub strays: Vec<Task>,
    /// Number of the last end that was processed.
    pub last_end: u64,
    /// Number of the last end that was acknowledged to the worker, which then forgets it.
    pub acknowledged_end: u64,
    /// Until when other workers are preferred because of failures or refusals here.
    pub deprioritized_until: u64,
    /// Until when the worker is slow because it has just started, so that others are preferred.
    pub cold_until: u64,
    /// Number of runs that failed there in a row.
    pub consecutive_failures: u32,
    /// Whether the last round of planning could start runs there.
    pub planned_open: bool,
}

impl Agent {
    /// Updates `unresponsive_since` and `absent_since`.
    ///
    /// An agent whose worker has not answered within a lease counts as absent even while the
    /// agent itself responds. Otherwise it would stay a member although its worker has ended,
    /// and each later owner would wait for it.
    pub fn update_liveness(&mut self, settings: &Settings, now: u64) {
        let lease = settings.lease + settings.lease_margin;
        let responds =
            self.link.is_some() && self.fenced && self.silent_ms < settings.answer_overdue;
        match responds || self.worker.is_none() {
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

    /// Returns whether no run that a previous owner started can still exist there unknown to this
    /// owner, given that previous owners granted their last leases at `last`.
    ///
    /// Without a reconciled worker, this requires that all leases have expired: those of the
    /// previous owners, those that this owner granted, and those that the agent may have renewed
    /// at a worker that has not answered for a whole `lease`.
    ///
    /// Only evidence that something may still run may delay this: a lease, or the worker's answer
    /// to a poll. Other signs of life must not (an agent without a worker that requests leases,
    /// a new connection, a refused poll), or jobs accepted before a restart never start again.
    pub fn is_clear_of_predecessors(&self, last: u64, lease: u64, now: u64) -> bool {
        let expired = now >= last + lease;
        match (&self.worker, self.link) {
            _ if self.reconciled || !self.predecessor_leases => true,
            (Some(_), Some(_)) => self.silent_ms >= lease,
            (None, _) | (Some(_), None) => expired && now >= self.leases_expire_at,
        }
    }

    /// Returns whether a start that is ordered now will find a valid lease there. An agent
    /// refuses a start when less than a fourth of its lease is left; an owner that did not check
    /// this while it grants no leases would be refused hundreds of times a second.
    pub fn has_lease(&self, settings: &Settings, now: u64) -> bool {
        now + settings.lease / 4 + settings.lease_margin < self.leases_expire_at
    }

    /// Returns whether the agent reports a worker with this id.
    pub fn reports_worker(&self, id: &str) -> bool {
        self.worker.as_ref().is_some_and(|worker| worker.id == id)
    }

    /// Returns whether runs may start there.
    pub fn accepts_runs(&self, settings: &Settings, now: u64) -> bool {
        CloseReason::of(self, settings, now).is_none()
    }

    /// Returns whether runs may start there that the last round of planning could not start.
    pub fn has_opened(&self, settings: &Settings, now: u64) -> bool {
        !self.planned_open && self.accepts_runs(settings, now)
    }
}
