use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

use actix_http::Request;

use crate::budget::Id;
use crate::connections::Connections;
use crate::phase::Phase;

/// An open connection, shared by its stream and its requests.
pub(crate) struct Connection {
    id: Id,
    others: Rc<Connections>,
    /// Set once the connection had to give way or broke a limit.
    is_closed: Cell<bool>,
    /// Whether it waits for a request.
    is_idle: Cell<bool>,
    /// Whether bytes of a reply are left to send.
    has_output: Cell<bool>,
    task: RefCell<Option<Waker>>,
}

impl Connection {
    pub fn new(id: Id, others: Rc<Connections>) -> Connection {
        Connection {
            id,
            others,
            is_closed: Cell::new(false),
            is_idle: Cell::new(true),
            has_output: Cell::new(false),
            task: RefCell::default(),
        }
    }

    /// Returns the connection on which a request arrived.
    pub fn of(request: &Request) -> Option<Rc<Connection>> {
        request.conn_data::<Rc<Connection>>().cloned()
    }

    pub fn id(&self) -> Id {
        self.id
    }

    pub fn others(&self) -> &Connections {
        &self.others
    }

    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Ends the connection: its stream fails from now on.
    pub fn close(&self) {
        self.is_closed.set(true);
        if let Some(task) = self.task.borrow().as_ref() {
            task.wake_by_ref();
        }
    }

    /// Records the task that reads the connection.
    pub fn set_task(&self, context: &Context<'_>) {
        let mut task = self.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(context.waker())) {
            *task = Some(context.waker().clone());
        }
    }

    /// Records bytes that were received.
    pub fn on_received(&self, bytes: usize) {
        if self.is_idle.get() {
            self.enter(Phase::Receiving);
        }
        self.progress(bytes);
    }

    /// Records bytes that were sent; `all` if there are no more.
    pub fn on_sent(&self, bytes: usize, all: bool) {
        self.progress(bytes);
        if all && self.has_output.take() {
            self.enter(Phase::Idle);
        }
    }

    /// Records that the request is complete.
    pub fn end_body(&self) {
        self.enter(Phase::Serving);
    }

    /// Ends a request, whose reply is sent next.
    pub fn end(&self) {
        self.has_output.set(true);
        self.enter(Phase::Replying);
    }

    fn enter(&self, phase: Phase) {
        let intake = self.others.intake();
        self.is_idle.set(phase == Phase::Idle);
        intake.budget().enter(self.id, phase, intake.now());
        if phase != Phase::Idle {
            self.others.on_transfer();
        }
    }

    fn progress(&self, bytes: usize) {
        let intake = self.others.intake();
        intake.budget().progress(self.id, bytes, intake.now());
    }
}
