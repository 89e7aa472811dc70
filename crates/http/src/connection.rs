use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::{Context, Waker};

use actix_http::Request;
use tokio::sync::Notify;

use crate::budget::Id;
use crate::connections::Connections;
use crate::limit::Limit;
use crate::phase::Phase;

/// An open connection, shared by its stream and its requests.
pub(crate) struct Connection {
    id: Id,
    others: Rc<Connections>,
    reading: Cell<Reading>,
    /// Bytes read beyond requests since a head was last waited for. Requests in a row that are
    /// decoded already do not allow more, or they would add up.
    ahead: Cell<usize>,
    /// Set once the connection had to give way or broke a limit.
    is_closed: Cell<bool>,
    /// Whether a read was held up, so that the task must be woken when reading may go on.
    is_held_up: Cell<bool>,
    /// Whether bytes of a reply are left to send.
    has_output: Cell<bool>,
    sent: Notify,
    /// Whether a request waits for the client to take the reply to the one before.
    is_next_waiting: Cell<bool>,
    task: RefCell<Option<Waker>>,
}

/// What is read from the connection next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reading {
    /// The head of a request, of which this many bytes were received.
    Head(usize),
    /// Nothing, until the body of the request is asked for. The HTTP library would take it in at once.
    Unread,
    /// A body of which so many bytes are left.
    Sized(usize),
    /// A body of unknown length.
    Chunked,
    /// Bytes that follow the request that is being served.
    Ahead,
    /// The rest of a body that was refused, of which this many bytes were received.
    Refused(usize),
}

/// Longest head of a request. The platform's limit is 16 KiB; the rest is the beginning of a body.
const MAX_HEAD_BYTES: usize = 20 << 10;
/// Bytes read at a time while a head is expected. Requests in a row that arrive together are all
/// decoded, each at many times its size.
const HEAD_STEP: usize = 1 << 10;
/// Bytes read at a time of a body of known length.
const SIZED_STEP: usize = 16 << 10;
/// Bytes read at a time of a chunked body: a chunk of one byte takes 32 bytes in the queue of the
/// HTTP library.
const CHUNKED_STEP: usize = 1 << 10;
/// Bytes read beyond the request that is being served, so that the end of the connection is noticed.
const MAX_AHEAD_BYTES: usize = 256;
/// Bytes of a refused body that are read, so that the client can read the refusal.
const MAX_REFUSED_BYTES: usize = 1 << 20;

impl Connection {
    pub fn new(id: Id, others: Rc<Connections>) -> Connection {
        Connection {
            id,
            others,
            reading: Cell::new(Reading::Head(0)),
            ahead: Cell::new(0),
            is_closed: Cell::new(false),
            is_held_up: Cell::new(false),
            has_output: Cell::new(false),
            sent: Notify::new(),
            is_next_waiting: Cell::new(false),
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
        self.wake();
    }

    /// Returns how many bytes may be read now, or the limit that the client met. If it is 0, the
    /// task is woken when more may be read.
    pub fn readable(&self, context: &Context<'_>) -> Result<usize, Limit> {
        let mut task = self.task.borrow_mut();
        if !task.as_ref().is_some_and(|task| task.will_wake(context.waker())) {
            *task = Some(context.waker().clone());
        }
        let bytes = match self.reading.get() {
            Reading::Head(MAX_HEAD_BYTES..) => return Err(Limit::HeadBytes),
            Reading::Refused(MAX_REFUSED_BYTES..) => return Err(Limit::RefusedBytes),
            Reading::Head(received) => HEAD_STEP.min(MAX_HEAD_BYTES - received),
            Reading::Unread => 0,
            Reading::Sized(left) => SIZED_STEP.min(left),
            Reading::Chunked => CHUNKED_STEP,
            Reading::Ahead => MAX_AHEAD_BYTES.saturating_sub(self.ahead.get()),
            Reading::Refused(received) => SIZED_STEP.min(MAX_REFUSED_BYTES - received),
        };
        self.is_held_up.set(bytes == 0);
        Ok(bytes)
    }

    /// Records bytes that were received.
    pub fn on_received(&self, bytes: usize) {
        match self.reading.get() {
            Reading::Head(0) => self.enter(Phase::Receiving),
            Reading::Head(_) | Reading::Sized(_) | Reading::Chunked => self.progress(bytes),
            Reading::Unread | Reading::Ahead | Reading::Refused(_) => {}
        }
        match self.reading.get() {
            Reading::Head(received) => {
                self.ahead.set(0);
                self.reading.set(Reading::Head(received + bytes));
            }
            Reading::Ahead => self.ahead.set(self.ahead.get() + bytes),
            Reading::Refused(received) => self.reading.set(Reading::Refused(received + bytes)),
            Reading::Unread | Reading::Sized(_) | Reading::Chunked => {}
        }
    }

    /// Records bytes that were sent; `all` if there are no more.
    pub fn on_sent(&self, bytes: usize, all: bool) {
        if !self.has_output.get() {
            return;
        }
        self.progress(bytes);
        if !all {
            return;
        }
        self.has_output.set(false);
        self.sent.notify_one();
        if self.reading.get() == Reading::Ahead && !self.is_next_waiting.get() {
            self.enter(Phase::Idle);
            self.read(Reading::Head(0));
        }
    }

    /// Waits until the client has taken the last reply.
    pub async fn has_sent(&self) {
        while self.has_output.get() {
            self.is_next_waiting.set(true);
            self.sent.notified().await;
        }
        self.is_next_waiting.set(false);
    }

    /// Begins a request with a body of `length` bytes, or of unknown length.
    pub fn begin(&self, length: Option<usize>) {
        if length == Some(0) {
            return self.end_body();
        }
        self.enter(Phase::Receiving);
        self.read(Reading::Unread);
    }

    /// Lets the body of the request be received.
    pub fn begin_body(&self, length: Option<usize>) {
        self.read(length.map_or(Reading::Chunked, Reading::Sized));
    }

    /// Records that part of the body was taken from the HTTP library.
    pub fn on_body(&self, bytes: usize) {
        if let Reading::Sized(left) = self.reading.get() {
            self.read(Reading::Sized(left.saturating_sub(bytes)));
        }
    }

    /// Records that the request is complete.
    pub fn end_body(&self) {
        self.enter(Phase::Serving);
        self.read(Reading::Ahead);
    }

    /// Ends a request, whose reply is sent next. Returns whether its body was read whole.
    pub fn end(&self) -> bool {
        self.has_output.set(true);
        self.enter(Phase::Replying);
        let is_whole = self.reading.get() == Reading::Ahead;
        if !is_whole {
            self.read(Reading::Refused(0));
        }
        is_whole
    }

    fn read(&self, reading: Reading) {
        self.reading.set(reading);
        if self.is_held_up.take() {
            self.wake();
        }
    }

    fn enter(&self, phase: Phase) {
        let intake = self.others.intake();
        intake.budget().enter(self.id, phase, intake.now());
        if phase != Phase::Idle {
            self.others.on_transfer();
        }
    }

    fn progress(&self, bytes: usize) {
        let intake = self.others.intake();
        intake.budget().progress(self.id, bytes, intake.now());
    }

    fn wake(&self) {
        if let Some(task) = self.task.borrow().as_ref() {
            task.wake_by_ref();
        }
    }
}
