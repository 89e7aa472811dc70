use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use quincewheel_log::Limit;
use quincewheel_ring as ring;
use quincewheel_wire::{Error, Hello, Key, Link, LinkId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use crate::handshakes::Handshakes;
use crate::traffic::Traffic;

/// A command to the hub.
#[derive(Debug)]
pub enum Command<S> {
    /// Connect to another process.
    Dial {
        /// The address of the process.
        address: String,
    },
    /// Send a frame.
    Send {
        /// The connection to send on.
        link: LinkId,
        /// The frame to send.
        frame: S,
    },
    /// Close a connection after sending the queued frames.
    Close {
        /// The connection to close.
        link: LinkId,
        /// The cause, for the log.
        reason: &'static str,
    },
}

/// An event reported by the hub.
#[derive(Debug)]
pub enum Event<R> {
    /// A connection was authenticated.
    Connected {
        /// Id of the connection.
        link: LinkId,
        /// Identity of the peer.
        hello: Hello,
        /// The address that was dialled, or empty if the peer dialled.
        dialled: String,
    },
    /// A connection was closed.
    Disconnected {
        /// The closed connection.
        link: LinkId,
    },
    /// A dial failed.
    DialFailed {
        /// The address that was dialled.
        address: String,
        /// The cause.
        error: String,
    },
    /// A frame was received.
    Frame {
        /// The connection that it arrived on.
        link: LinkId,
        /// The received frame.
        frame: R,
    },
}

/// A handle of a running hub, which sends frames of type `S`.
pub struct Hub<S> {
    commands: ring::Sender<Command<S>>,
    address: SocketAddr,
    traffic: Arc<Traffic>,
}

/// Number of frames queued on one connection from which on the peer must keep reading.
const MAX_UNREAD_FRAMES: usize = 1024;
/// Time within which such a peer must take another frame.
const MAX_STALL: Duration = Duration::from_secs(1);
/// Maximum number of frames queued on one connection. The orders about thousands of tasks on one
/// worker come at once, and would come again after each reconnect.
const MAX_QUEUED_FRAMES: usize = 65_536;
/// Maximum number of commands queued for the hub.
const MAX_QUEUED_COMMANDS: usize = 8192;
/// Maximum number of open connections.
const MAX_LINKS: usize = 2048;

impl<S: Serialize + Send + Sync + 'static> Hub<S> {
    /// Listens on `address` and starts the hub's thread.
    ///
    /// Events, with received frames of type `R`, are converted by `wrap` and sent
    /// to `events`.
    pub fn bind<T: Send + Sync + 'static, R: DeserializeOwned + 'static>(
        address: &str,
        key: Key,
        me: Hello,
        events: ring::Sender<T>,
        wrap: fn(Event<R>) -> T,
    ) -> Result<Hub<S>, Error> {
        let listener = listen(address)?;
        let address = listener.local_addr().map_err(|e| io_error("bind", address, &e))?;
        let (commands, incoming) = ring::open(MAX_QUEUED_COMMANDS);
        let traffic = Arc::new(Traffic::default());
        let thread_traffic = Arc::clone(&traffic);
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
                let state = State {
                    key,
                    me,
                    events,
                    wrap,
                    traffic: thread_traffic,
                    links: RefCell::default(),
                    handshakes: Handshakes::default(),
                    displaced_limit: Limit::default(),
                    next_id: Cell::new(1),
                };
                runtime.block_on(run(Rc::new(state), listener, incoming));
            })
            .map_err(|e| io_error("start thread", "peers", &e))?;
        Ok(Hub { commands, address, traffic })
    }

    /// Returns the address on which the hub listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the traffic counters of all connections.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Queues a command without waiting. Returns false if the queue is full; the
    /// caller then treats the connection concerned as closed.
    pub fn ask(&self, command: Command<S>) -> bool {
        self.try_ask(command).is_ok()
    }

    /// Queues a command without waiting, or returns it if the queue is full.
    pub fn try_ask(&self, command: Command<S>) -> Result<(), Command<S>> {
        self.commands.try_send(command).map_err(|error| match error {
            ring::Error::Full(command) | ring::Error::Closed(command) => command,
        })
    }
}

struct State<T, S, R> {
    key: Key,
    me: Hello,
    events: ring::Sender<T>,
    wrap: fn(Event<R>) -> T,
    traffic: Arc<Traffic>,
    links: RefCell<BTreeMap<LinkId, Outgoing<S>>>,
    handshakes: Handshakes,
    /// Rate limit of the log lines about handshakes that gave way.
    displaced_limit: Limit,
    next_id: Cell<LinkId>,
}

struct Outgoing<S> {
    frames: mpsc::UnboundedSender<S>,
    backlog: Rc<Backlog>,
    /// Closes the connection at once, without sending the queued frames.
    abort: Rc<Notify>,
}

/// The frames that are queued on a connection.
struct Backlog {
    count: Cell<usize>,
    /// When the peer last took a frame, or the first one was queued.
    progressed_at: Cell<Instant>,
}

impl Backlog {
    fn new() -> Backlog {
        Backlog { count: Cell::new(0), progressed_at: Cell::new(Instant::now()) }
    }

    fn add(&self) {
        if self.count.get() == 0 {
            self.progressed_at.set(Instant::now());
        }
        self.count.set(self.count.get() + 1);
    }

    fn remove(&self) {
        self.count.set(self.count.get() - 1);
        self.progressed_at.set(Instant::now());
    }

    /// Returns whether the peer reads too slowly for what is queued.
    fn is_stalled(&self) -> bool {
        let stalled = self.progressed_at.get().elapsed() > MAX_STALL;
        self.count.get() >= MAX_QUEUED_FRAMES || (stalled && self.count.get() >= MAX_UNREAD_FRAMES)
    }
}

impl<T: 'static, S, R> State<T, S, R> {
    async fn report(&self, event: Event<R>) {
        self.events.send((self.wrap)(event)).await;
    }
}

async fn run<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    listener: TcpListener,
    commands: ring::Receiver<Command<S>>,
) {
    let acceptor = Rc::clone(&state);
    actix_rt::spawn(async move {
        let listener = tokio::net::TcpListener::from_std(listener).expect("set non-blocking");
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of file descriptors. Wait for some connections to close.
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            };
            if acceptor.links.borrow().len() >= MAX_LINKS {
                acceptor.traffic.add_refused();
                continue;
            }
            actix_rt::spawn(accept(Rc::clone(&acceptor), stream));
        }
    });
    while let Some(command) = commands.recv().await {
        match command {
            Command::Dial { address } => {
                let state = Rc::clone(&state);
                actix_rt::spawn(async move { dial(state, address).await });
            }
            Command::Send { link, frame } => send(&state, link, frame),
            Command::Close { link, reason } => {
                if state.links.borrow_mut().remove(&link).is_some() {
                    log::info!(step = "close", peer = link; "{reason}");
                }
            }
        }
    }
}

/// Authenticates an incoming connection and serves it.
async fn accept<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    stream: TcpStream,
) {
    let (handshake, has_displaced) = state.handshakes.begin();
    if has_displaced {
        record_displaced(&state);
    }
    let accepted = tokio::select! {
        accepted = quincewheel_wire::accept(stream, &state.key, &state.me) => Some(accepted),
        () = handshake.is_displaced() => None,
    };
    state.handshakes.end(&handshake);
    match accepted {
        Some(Ok(link)) => serve(state, link, String::new()).await,
        Some(Err(error)) => record_rejected(&state, "accept", &error),
        None => {}
    }
}

/// Counts and logs a handshake that gave way.
fn record_displaced<T, S, R>(state: &State<T, S, R>) {
    state.traffic.add_displaced();
    if let Some(untold) = state.displaced_limit.allow(quincewheel_clock::boot()) {
        log::warn!(step = "accept", limit = "handshakes", untold = untold; "the oldest gave way");
    }
}

/// Queues a frame on a connection. If many are queued and the peer takes none, closes
/// the connection: dropping the queue's sender ends it.
fn send<T, S, R>(state: &State<T, S, R>, link: LinkId, frame: S) {
    let mut links = state.links.borrow_mut();
    let Some(outgoing) = links.get(&link) else { return };
    if outgoing.backlog.is_stalled() {
        log::warn!(step = "send", peer = link; "send queue full; connection closed");
        outgoing.abort.notify_one();
        links.remove(&link);
        return;
    }
    outgoing.backlog.add();
    // The receiver lives until the connection is removed.
    let _ = outgoing.frames.send(frame);
}

fn record_rejected<T, S, R>(state: &State<T, S, R>, step: &str, error: &Error) {
    state.traffic.add_refused();
    log::warn!(step = step; "{error}");
}

async fn dial<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    address: String,
) {
    match quincewheel_wire::dial(&address, &state.key, &state.me).await {
        Ok(link) => serve(state, link, address).await,
        Err(error) => {
            let error = error.to_string();
            state.report(Event::DialFailed { address, error }).await;
        }
    }
}

/// Moves frames in both directions until either direction ends.
async fn serve<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    link: Link,
    dialled: String,
) {
    let id = state.next_id.get();
    state.next_id.set(id + 1);
    let (frames, mut queue) = mpsc::unbounded_channel::<S>();
    let (abort, backlog) = (Rc::new(Notify::new()), Rc::new(Backlog::new()));
    let outgoing = Outgoing { frames, backlog: Rc::clone(&backlog), abort: Rc::clone(&abort) };
    state.links.borrow_mut().insert(id, outgoing);
    let hello = link.hello().clone();
    let name = hello.name.clone();
    state.report(Event::Connected { link: id, hello, dialled }).await;
    let (mut sender, mut receiver) = link.split();
    let writing = async {
        while let Some(frame) = queue.recv().await {
            match sender.send(&frame).await {
                Ok(bytes) => {
                    backlog.remove();
                    state.traffic.add_sent(bytes);
                }
                Err(error) => return log::info!(step = "send", peer = name.as_str(); "{error}"),
            }
        }
        sender.close().await;
    };
    let reading = async {
        loop {
            match receiver.next().await {
                Ok((frame, bytes)) => {
                    state.traffic.add_received(bytes);
                    state.report(Event::Frame { link: id, frame }).await;
                }
                Err(error @ Error::Closed { .. }) => {
                    return log::info!(step = "receive", peer = name.as_str(); "{error}");
                }
                Err(error) => return record_rejected(&state, "receive", &error),
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
        () = abort.notified() => {}
    }
    state.links.borrow_mut().remove(&id);
    state.report(Event::Disconnected { link: id }).await;
}

fn listen(address: &str) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).map_err(|e| io_error("bind", address, &e))?;
    listener.set_nonblocking(true).map_err(|e| io_error("bind", address, &e))?;
    Ok(listener)
}

fn io_error(step: &'static str, peer: &str, error: &std::io::Error) -> Error {
    Error::Socket { step, peer: peer.to_owned(), detail: error.to_string() }
}
