use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use quincewheel_dispatch::rows::Ownership;
use quincewheel_dispatch::{
    ClearanceRequest, Election, Mirror, Output, Owner, UnansweredWrites, UnconfirmedJobs,
};
use quincewheel_job::{Config, Evacuation, Wave};
use quincewheel_peer::Hub;
use quincewheel_platform::{self as platform, Bounds, SkipHandler, Table};
use quincewheel_store::Error;
use quincewheel_wire::{LinkId, Sent};
use tokio::sync::Notify;

use crate::scheduling::Scheduling;

use super::backoff::Backoff;
use super::gate::Gate;
use super::machines::MachineCall;
use super::metrics::Metrics;
use super::queries::Queries;
use super::skipped;

/// State of the decision thread, shared by its tasks.
pub(crate) type Shared = Rc<Site>;

/// How long an owner's row must not change before another entry takes over, in milliseconds. An
/// owner writes it every 500 ms; a slow table takes up to 450 ms for one write, and a write whose
/// reply is lost is repeated after 700 ms.
const OWNER_ROW_TIMEOUT_MS: u64 = 1700;

/// Shortest delay after which a client is told to retry, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 1000;
/// Longest such delay, in milliseconds; most jobs have that much slack.
const MAX_RETRY_AFTER_MS: u64 = 3000;

/// Consecutive failed calls after which the table counts as lost.
const LOST_TABLE_FAILURES: u32 = 2;

/// State of an entry.
pub(crate) struct Site {
    pub settings: platform::Settings,
    /// Settings of scheduling, from the flags of this process.
    pub scheduling: Scheduling,
    /// Time limits that the platform sets, as last loaded.
    pub bounds: Cell<Bounds>,
    pub incarnation: u64,
    pub table: Table,
    /// The table, for long polls, which use connections of their own.
    pub feed: Table,
    pub hub: Hub<Sent>,
    pub gate: Arc<Gate>,
    pub metrics: Arc<Metrics>,
    /// Counts and logs entries of the platform's lists that cannot be read.
    pub on_skipped: SkipHandler,
    pub config: RefCell<Option<Config>>,
    /// When the call was sent by which the table last confirmed that the configuration is current.
    pub config_confirmed_at: Cell<u64>,
    pub mirror: RefCell<Mirror>,
    /// When changes of the system's own rows last arrived from the table; 0 before the first.
    pub rows_updated_at: Cell<u64>,
    pub election: RefCell<Election>,
    pub owner: RefCell<Option<Owner>>,
    /// The ownership row as this entry last wrote it, and its version.
    pub ownership: RefCell<Option<(Ownership, u64)>>,
    /// Backoff of the processes that are dialled.
    pub backoff: RefCell<Backoff>,
    /// Connections to the other entries by name, while this entry owns.
    pub entry_links: RefCell<BTreeMap<String, LinkId>>,
    /// The connection that the owner opened to this entry, and the owner's name.
    pub owner_link: RefCell<Option<(LinkId, String)>>,
    /// Jobs that the owner must not schedule before its ownership is confirmed.
    pub unconfirmed_jobs: RefCell<UnconfirmedJobs>,
    /// Queries to other entries that wait for a reply.
    pub queries: RefCell<Queries>,
    /// The owner did not reply to a query and is not queried again before this time.
    pub owner_cooldown_until: Cell<u64>,
    /// Submissions whose write got no reply.
    pub unanswered_writes: RefCell<UnansweredWrites>,
    /// Consecutive calls that the table did not answer.
    pub consecutive_failures: Cell<u32>,
    /// Since when the table has not answered; `None` while it does.
    pub table_lost_since: Cell<Option<u64>>,
    /// Availability zones that operators evacuate; `None` before they have been read.
    pub evacuation: RefCell<Option<Evacuation>>,
    /// Waves of maintenance that operators have scheduled.
    pub waves: RefCell<BTreeMap<u64, Wave>>,
    /// Calls about machines that the owner has requested and that have not been sent yet.
    pub machine_calls: RefCell<Vec<MachineCall>>,
    /// Notified when such a call is added.
    pub machine_call_added: Notify,
    /// The owner's next request to the clearance service.
    pub clearance_request: RefCell<Option<ClearanceRequest>>,
    /// Notified when that request is set.
    pub clearance_requested: Notify,
    /// Notified when the owner's connection to this entry closes, so that its row is polled at
    /// once.
    pub owner_disconnected: Notify,
    /// Notified when there is something to record that clients wait for.
    pub record_due: Notify,
    /// Notified when a batch has been recorded.
    pub record_done: Notify,
    /// The owner's outputs that wait for room at the hub.
    pub unsent: RefCell<VecDeque<Output>>,
    /// Notified when outputs were added to them.
    pub outputs_deferred: Notify,
    /// Notified when the owner's loop should run.
    pub wake: Notify,
}

impl Site {
    pub fn new(
        (settings, scheduling): (platform::Settings, Scheduling),
        incarnation: u64,
        hub: Hub<Sent>,
        gate: Arc<Gate>,
        metrics: Arc<Metrics>,
    ) -> Site {
        let on_skipped = skipped::handler(Arc::clone(&metrics));
        Site {
            scheduling,
            table: Table::new(
                &settings.table_address,
                settings.table_limits,
                Rc::clone(&on_skipped),
            ),
            feed: Table::new(
                &settings.table_address,
                settings.table_limits,
                Rc::clone(&on_skipped),
            ),
            on_skipped,
            election: RefCell::new(Election::new(
                &settings.name,
                incarnation,
                OWNER_ROW_TIMEOUT_MS,
            )),
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            hub,
            gate,
            metrics,
            config: RefCell::new(None),
            config_confirmed_at: Cell::new(0),
            mirror: RefCell::default(),
            rows_updated_at: Cell::new(0),
            owner: RefCell::new(None),
            ownership: RefCell::new(None),
            backoff: RefCell::default(),
            entry_links: RefCell::default(),
            owner_link: RefCell::new(None),
            unconfirmed_jobs: RefCell::default(),
            queries: RefCell::default(),
            owner_cooldown_until: Cell::new(0),
            unanswered_writes: RefCell::default(),
            consecutive_failures: Cell::new(0),
            table_lost_since: Cell::new(None),
            evacuation: RefCell::default(),
            waves: RefCell::default(),
            machine_calls: RefCell::default(),
            machine_call_added: Notify::new(),
            clearance_request: RefCell::new(None),
            clearance_requested: Notify::new(),
            owner_disconnected: Notify::new(),
            record_due: Notify::new(),
            record_done: Notify::new(),
            unsent: RefCell::default(),
            outputs_deferred: Notify::new(),
            wake: Notify::new(),
        }
    }

    /// True if the configuration is recent enough to accept its keys. A revoked key must stop
    /// working within a fixed time even if the table cannot be reached.
    pub fn is_config_current(&self, now: u64) -> bool {
        let bound = self.bounds.get().revoke * 9 / 10;
        self.config.borrow().is_some() && now < self.config_confirmed_at.get() + bound
    }

    /// Delay in milliseconds after which a client whose call was not executed should retry. It
    /// grows with the age of an outage, which often lasts about as long again: clients that
    /// retried every second would use up their attempts before its end.
    pub fn retry_after_ms(&self, now: u64) -> u64 {
        let age = self.table_lost_since.get().map_or(0, |since| now.saturating_sub(since));
        age.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
    }

    pub fn is_table_lost(&self) -> bool {
        self.table_lost_since.get().is_some()
    }

    /// Records whether the table answered a call, and logs when it becomes lost or returns. One
    /// lost reply is no outage; a table that answers fewer than every other call counts as lost.
    pub fn record_table_reply(&self, reply: Result<(), &Error>) {
        let now = quincewheel_clock::boot();
        // Not sent, so it shows nothing about the table.
        if matches!(reply, Err(Error::Oversized(_))) {
            return;
        }
        let Err(error) = reply else {
            self.consecutive_failures.set(0);
            if let Some(since) = self.table_lost_since.take() {
                log::info!(event = "table back", ms = now - since; "");
            }
            return;
        };
        self.consecutive_failures.set(self.consecutive_failures.get() + 1);
        if self.consecutive_failures.get() >= LOST_TABLE_FAILURES && !self.is_table_lost() {
            self.table_lost_since.set(Some(now));
            log::warn!(event = "table lost"; "{error}");
        }
    }

    /// Updates the readiness that the platform polls, and the gauges.
    pub fn update_status(&self, now: u64) {
        // An entry that cannot reach the table cannot accept jobs, while others may.
        let ready =
            self.rows_updated_at.get() > 0 && self.is_config_current(now) && !self.is_table_lost();
        self.gate.set_ready(ready);
        let version = self.config.borrow().as_ref().map_or(0, |config| config.version);
        self.metrics.config.set(version as i64);
        self.metrics.config_age.set(now.saturating_sub(self.config_confirmed_at.get()) as i64);
        self.metrics.table_lost.set(i64::from(self.table_lost_since.get().is_some()));
        let owner = self.owner.borrow();
        self.metrics.epoch.set(owner.as_ref().map_or(0, |owner| owner.epoch() as i64));
        self.metrics.jobs.set(owner.as_ref().map_or(0, |owner| owner.active_jobs() as i64));
        self.metrics.set_waits(&owner.as_ref().map(Owner::long_waits).unwrap_or_default());
        self.metrics
            .set_standing_jobs(&owner.as_ref().map(Owner::standing_jobs).unwrap_or_default());
        if let Some(owner) = owner.as_ref() {
            self.metrics.set_refused_starts(owner.refused_starts());
            self.metrics.set_clearance_calls(owner.clearance_calls());
        }
        self.metrics
            .set_worker_grades(&owner.as_ref().map(Owner::worker_grades).unwrap_or_default());
        self.metrics.set_teams(&owner.as_ref().map(Owner::team_accounts).unwrap_or_default());
        self.metrics.set_unlisted_runs(owner.as_ref().map_or(0, Owner::unlisted_runs));
        self.metrics.set_claims(owner.as_ref().map(Owner::claim_counts).unwrap_or_default());
        self.metrics
            .set_evacuation(owner.as_ref().map(Owner::evacuation_counts).unwrap_or_default());
        self.metrics.set_speeds(owner.as_ref().map(Owner::speed_counts).unwrap_or_default());
    }
}
