use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use quincewheel_dispatch::rows::Ownership;
use quincewheel_dispatch::{
    ClearanceRequest, Election, Mirror, Owner, UnansweredWrites, UnconfirmedJobs,
};
use quincewheel_job::{Config, Evacuation, Wave};
use quincewheel_peer::Hub;
use quincewheel_platform::{self as platform, Bounds, SkipHandler, Table};
use quincewheel_store::Error;
use quincewheel_wire::{LinkId, Sent};
use tokio::sync::Notify;

use super::asks::Asks;
use super::dials::Dials;
use super::gate::Gate;
use super::metrics::Metrics;
use super::skips;
use super::upkeep::Wish;

/// The deciding thread's state, shared by its tasks.
pub(crate) type Shared = Rc<Site>;

/// How long an owner's row must stand still before another takes over, in
/// milliseconds. An owner writes it every 500 ms; a slow table takes up to 450
/// for one write, and a write whose answer is lost is repeated after 700.
const PATIENCE: u64 = 1700;

/// When nothing was done, a new try makes sense after this many milliseconds.
const RETRY: u64 = 1000;
/// And after this many at the most: most jobs have so much time to spare.
const LONGEST_RETRY: u64 = 3000;

/// Calls in a row without an answer after which the table counts as lost.
const LOST: u32 = 2;

/// What an entry knows.
pub(crate) struct Site {
    pub settings: platform::Settings,
    /// Times that the platform sets, as last read.
    pub bounds: Cell<Bounds>,
    pub incarnation: u64,
    pub table: Table,
    /// Long polls wait on connections of their own.
    pub feed: Table,
    pub hub: Hub<Sent>,
    pub gate: Arc<Gate>,
    pub metrics: Arc<Metrics>,
    /// Takes note of entries of the platform's lists that cannot be read.
    pub skip: SkipHandler,
    pub config: RefCell<Option<Config>>,
    /// When the call was sent by which the table last proved the configuration
    /// to be the newest.
    pub proved: Cell<u64>,
    pub mirror: RefCell<Mirror>,
    /// When the table last told all changes of the system's own rows; 0 before.
    pub heard: Cell<u64>,
    pub election: RefCell<Election>,
    pub owner: RefCell<Option<Owner>>,
    /// The ownership as this entry wrote it, and its version.
    pub held: RefCell<Option<(Ownership, u64)>>,
    /// Processes that are being dialled.
    pub dials: RefCell<Dials>,
    /// Connections to other entries, by name, where this entry owns.
    pub entries: RefCell<BTreeMap<String, LinkId>>,
    /// The connection that the owner made to this entry, and the owner's name.
    pub from_owner: RefCell<Option<(LinkId, String)>>,
    /// Jobs that the owner may not decide over yet.
    pub unproven: RefCell<UnconfirmedJobs>,
    /// Questions to other entries that wait for an answer.
    pub asks: RefCell<Asks>,
    /// The owner did not answer one, and is not asked before this time.
    pub owner_silent: Cell<u64>,
    /// Submissions whose write got no answer.
    pub unsettled: RefCell<UnansweredWrites>,
    /// Calls in a row that the table did not answer.
    pub failures: Cell<u32>,
    /// Since when the table has not answered; none while it does.
    pub table_lost: Cell<Option<u64>>,
    /// Availability zones that operators evacuate; none before the table has told.
    pub evacuation: RefCell<Option<Evacuation>>,
    /// Waves of maintenance that operators asked for.
    pub waves: RefCell<BTreeMap<u64, Wave>>,
    /// What the owner wants of the machines.
    pub wishes: RefCell<Vec<Wish>>,
    /// There is some.
    pub wished: Notify,
    /// The owner's next question to the service that clears steps.
    pub question: RefCell<Option<ClearanceRequest>>,
    /// There is one.
    pub asked: Notify,
    /// The owner's connection to this entry is gone: its row is to be looked at.
    pub unowned: Notify,
    /// Something is to be recorded that clients wait for.
    pub unrecorded: Notify,
    /// A record is through.
    pub recorded: Notify,
    /// Something changed that the owner's loop should look at.
    pub wake: Notify,
}

impl Site {
    pub fn open(
        settings: platform::Settings,
        incarnation: u64,
        hub: Hub<Sent>,
        gate: Arc<Gate>,
        metrics: Arc<Metrics>,
    ) -> Site {
        let skip = skips::open(Arc::clone(&metrics));
        Site {
            table: Table::new(&settings.table_address, Rc::clone(&skip)),
            feed: Table::new(&settings.table_address, Rc::clone(&skip)),
            skip,
            election: RefCell::new(Election::new(&settings.name, incarnation, PATIENCE)),
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            hub,
            gate,
            metrics,
            config: RefCell::new(None),
            proved: Cell::new(0),
            mirror: RefCell::default(),
            heard: Cell::new(0),
            owner: RefCell::new(None),
            held: RefCell::new(None),
            dials: RefCell::default(),
            entries: RefCell::default(),
            from_owner: RefCell::new(None),
            unproven: RefCell::default(),
            asks: RefCell::default(),
            owner_silent: Cell::new(0),
            unsettled: RefCell::default(),
            failures: Cell::new(0),
            table_lost: Cell::new(None),
            evacuation: RefCell::default(),
            waves: RefCell::default(),
            wishes: RefCell::default(),
            wished: Notify::new(),
            question: RefCell::new(None),
            asked: Notify::new(),
            unowned: Notify::new(),
            unrecorded: Notify::new(),
            recorded: Notify::new(),
            wake: Notify::new(),
        }
    }

    /// True if the configuration is known to be new enough to honour keys by.
    /// A key that was taken away must stop working within a bound even where
    /// the table cannot be reached.
    pub fn current(&self, now: u64) -> bool {
        let bound = self.bounds.get().revoke * 9 / 10;
        self.config.borrow().is_some() && now < self.proved.get() + bound
    }

    /// When a client may come back whose call could not be taken, in
    /// milliseconds. An outage that has lasted for a while goes on for about as
    /// long again: clients who come back each second would have spent all their
    /// tries before its end.
    pub fn retry(&self, now: u64) -> u64 {
        let age = self.table_lost.get().map_or(0, |since| now.saturating_sub(since));
        age.clamp(RETRY, LONGEST_RETRY)
    }

    /// True while the table is known not to answer.
    pub fn is_table_lost(&self) -> bool {
        self.table_lost.get().is_some()
    }

    /// Takes note of whether the table answers, and logs each change. One lost
    /// answer is no outage; a table that truly answers less than every other
    /// call is as good as lost.
    pub fn table_answered(&self, answered: Result<(), &Error>) {
        let now = quincewheel_clock::boot();
        let Err(error) = answered else {
            self.failures.set(0);
            if let Some(since) = self.table_lost.take() {
                log::info!(event = "table back", ms = now - since; "");
            }
            return;
        };
        self.failures.set(self.failures.get() + 1);
        if self.failures.get() >= LOST && !self.is_table_lost() {
            self.table_lost.set(Some(now));
            log::warn!(event = "table lost"; "{error}");
        }
    }

    /// Tells the platform whether to send clients here.
    pub fn show_ready(&self, now: u64) {
        // An entry that cannot reach the table can take nothing on; others may.
        let serves = self.heard.get() > 0 && self.current(now) && !self.is_table_lost();
        self.gate.set_ready(serves);
        let version = self.config.borrow().as_ref().map_or(0, |config| config.version);
        self.metrics.config.set(version as i64);
        self.metrics.config_age.set(now.saturating_sub(self.proved.get()) as i64);
        self.metrics.table_lost.set(i64::from(self.table_lost.get().is_some()));
        let owner = self.owner.borrow();
        self.metrics.epoch.set(owner.as_ref().map_or(0, |owner| owner.epoch() as i64));
        self.metrics.jobs.set(owner.as_ref().map_or(0, |owner| owner.active_jobs() as i64));
        self.metrics.waiting(&owner.as_ref().map(Owner::long_waits).unwrap_or_default());
        self.metrics.unlisted(owner.as_ref().map_or(0, Owner::unlisted_runs));
        self.metrics.evacuated(owner.as_ref().map(Owner::evacuation_counts).unwrap_or_default());
    }
}
