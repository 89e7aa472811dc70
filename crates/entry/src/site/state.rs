use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use quincewheel_dispatch::rows::Ownership;
use quincewheel_dispatch::{Election, Mirror, Owner};
use quincewheel_job::Config;
use quincewheel_peer::Hub;
use quincewheel_platform::{self as platform, Table};
use quincewheel_wire::{LinkId, Order};
use tokio::sync::Notify;

use super::gate::Gate;

/// The deciding thread's state, shared by its tasks.
pub(crate) type Shared = Rc<Site>;

/// How long an owner's row must stand still before another takes over, in
/// milliseconds. An owner writes it each second, and a slow table may take as
/// long for one write.
const PATIENCE: u64 = 2500;

/// What an entry knows.
pub(crate) struct Site {
    pub settings: platform::Site,
    pub incarnation: u64,
    pub table: Table,
    /// Long polls wait on connections of their own.
    pub feed: Table,
    pub hub: Hub<Order>,
    pub gate: Arc<Gate>,
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
    /// Connections to other entries, by name, where this entry owns.
    pub entries: RefCell<BTreeMap<String, LinkId>>,
    /// The connection that the owner made to this entry, and the owner's name.
    pub from_owner: RefCell<Option<(LinkId, String)>>,
    /// Something changed that the owner's loop should look at.
    pub wake: Notify,
}

impl Site {
    pub fn open(
        settings: platform::Site,
        incarnation: u64,
        hub: Hub<Order>,
        gate: Arc<Gate>,
    ) -> Site {
        Site {
            table: Table::open(&settings.table),
            feed: Table::open(&settings.table),
            election: RefCell::new(Election::open(&settings.name, incarnation, PATIENCE)),
            settings,
            incarnation,
            hub,
            gate,
            config: RefCell::new(None),
            proved: Cell::new(0),
            mirror: RefCell::default(),
            heard: Cell::new(0),
            owner: RefCell::new(None),
            held: RefCell::new(None),
            entries: RefCell::default(),
            from_owner: RefCell::new(None),
            wake: Notify::new(),
        }
    }

    /// True if the configuration is known to be new enough to honour keys by.
    /// A key that was taken away must stop working within a bound even where
    /// the table cannot be reached.
    pub fn current(&self, now: u64) -> bool {
        let bound = self.settings.revoke * 9 / 10;
        self.config.borrow().is_some() && now < self.proved.get() + bound
    }

    /// Tells the platform whether to send clients here.
    pub fn show_ready(&self, now: u64) {
        self.gate.set_ready(self.heard.get() > 0 && self.current(now));
    }
}
