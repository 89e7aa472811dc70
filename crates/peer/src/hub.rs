use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use quincewheel_ring as ring;
use quincewheel_wire::{Error, Hello, Key, Link, LinkId};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Notify, mpsc};

use crate::traffic::Traffic;

/// What the hub is asked to do.
#[derive(Debug)]
pub enum Command<S> {
    /// Connect to another process.
    Dial {
        /// Its address.
        address: String,
    },
    /// Send a frame.
    Send {
        /// On which connection.
        link: LinkId,
        /// The frame.
        frame: S,
    },
    /// Close a connection after what is queued was sent.
    Close {
        /// The connection.
        link: LinkId,
        /// Why, for the log.
        reason: &'static str,
    },
}

/// What the hub tells.
#[derive(Debug)]
pub enum Event<R> {
    /// A connection was authenticated.
    Linked {
        /// Names it.
        link: LinkId,
        /// Who is at the other end.
        hello: Hello,
        /// The address that was dialled; empty if the other end dialled.
        dialled: String,
    },
    /// A connection is gone.
    Unlinked {
        /// The connection.
        link: LinkId,
    },
    /// A dial did not succeed.
    Undialled {
        /// The address.
        address: String,
        /// Why.
        error: String,
    },
    /// A frame came.
    Frame {
        /// On which connection.
        link: LinkId,
        /// The frame.
        frame: R,
    },
}

/// A running hub, which sends frames of type `S`.
pub struct Hub<S> {
    commands: ring::Sender<Command<S>>,
    address: SocketAddr,
    traffic: Arc<Traffic>,
}

/// Frames that may wait on one connection.
const QUEUE: usize = 1024;
/// Commands that may wait for the hub.
const COMMANDS: usize = 8192;
/// Connections that may be open at once.
const LINKS: usize = 2048;

impl<S: Serialize + Send + Sync + 'static> Hub<S> {
    /// Listens on `address` and starts the thread. Events, with received
    /// frames of type `R`, go to `events`.
    pub fn bind<T: Send + Sync + 'static, R: DeserializeOwned + 'static>(
        address: &str,
        key: Key,
        me: Hello,
        events: ring::Sender<T>,
        wrap: fn(Event<R>) -> T,
    ) -> Result<Hub<S>, Error> {
        let listener = listen(address)?;
        let address = listener.local_addr().map_err(|e| socket("bind", address, &e))?;
        let (commands, incoming) = ring::open(COMMANDS);
        let traffic = Arc::new(Traffic::default());
        let counted = Arc::clone(&traffic);
        thread::Builder::new()
            .name("peers".to_owned())
            .spawn(move || {
                let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
                let state = State {
                    key,
                    me,
                    events,
                    wrap,
                    traffic: counted,
                    links: RefCell::default(),
                    next: Cell::new(1),
                };
                runtime.block_on(run(Rc::new(state), listener, incoming));
            })
            .map_err(|e| socket("start thread", "peers", &e))?;
        Ok(Hub { commands, address, traffic })
    }

    /// Where the hub listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts of what went over all connections.
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.traffic)
    }

    /// Asks for something without waiting. False if too much is asked for at
    /// once; the caller then treats the connection concerned as gone.
    pub fn ask(&self, command: Command<S>) -> bool {
        self.commands.try_send(command).is_ok()
    }
}

struct State<T, S, R> {
    key: Key,
    me: Hello,
    events: ring::Sender<T>,
    wrap: fn(Event<R>) -> T,
    traffic: Arc<Traffic>,
    links: RefCell<BTreeMap<LinkId, Outgoing<S>>>,
    next: Cell<LinkId>,
}

struct Outgoing<S> {
    frames: mpsc::Sender<S>,
    /// Ends the connection at once, whatever is queued.
    cut: Rc<Notify>,
}

impl<T: 'static, S, R> State<T, S, R> {
    async fn tell(&self, event: Event<R>) {
        self.events.send((self.wrap)(event)).await;
    }
}

async fn run<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    listener: TcpListener,
    commands: ring::Receiver<Command<S>>,
) {
    let accepting = Rc::clone(&state);
    actix_rt::spawn(async move {
        let listener = tokio::net::TcpListener::from_std(listener).expect("set non-blocking");
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                // Out of descriptors: a pause lets some be closed.
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                continue;
            };
            if accepting.links.borrow().len() >= LINKS {
                accepting.traffic.add_refused();
                continue;
            }
            let state = Rc::clone(&accepting);
            actix_rt::spawn(async move {
                match quincewheel_wire::accept(stream, &state.key, &state.me).await {
                    Ok(link) => serve(state, link, String::new()).await,
                    Err(error) => refuse(&state, "accept", &error),
                }
            });
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

/// Queues a frame. Dropping the queue's sender ends the connection.
fn send<T, S, R>(state: &State<T, S, R>, link: LinkId, frame: S) {
    let mut links = state.links.borrow_mut();
    let Some(outgoing) = links.get(&link) else { return };
    if outgoing.frames.try_send(frame).is_err() {
        log::warn!(step = "send", peer = link; "peer reads too slowly; connection closed");
        outgoing.cut.notify_one();
        links.remove(&link);
    }
}

fn refuse<T, S, R>(state: &State<T, S, R>, step: &str, error: &Error) {
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
            state.tell(Event::Undialled { address, error }).await;
        }
    }
}

/// Moves frames both ways until either direction ends.
async fn serve<T: 'static, S: Serialize + 'static, R: DeserializeOwned + 'static>(
    state: Rc<State<T, S, R>>,
    link: Link,
    dialled: String,
) {
    let id = state.next.get();
    state.next.set(id + 1);
    let (frames, mut queue) = mpsc::channel::<S>(QUEUE);
    let cut = Rc::new(Notify::new());
    state.links.borrow_mut().insert(id, Outgoing { frames, cut: Rc::clone(&cut) });
    let hello = link.hello().clone();
    let name = hello.name.clone();
    state.tell(Event::Linked { link: id, hello, dialled }).await;
    let (mut sender, mut receiver) = link.split();
    let writing = async {
        while let Some(frame) = queue.recv().await {
            match sender.send(&frame).await {
                Ok(bytes) => state.traffic.add_sent(bytes),
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
                    state.tell(Event::Frame { link: id, frame }).await;
                }
                Err(error @ Error::Closed { .. }) => {
                    return log::info!(step = "receive", peer = name.as_str(); "{error}");
                }
                Err(error) => return refuse(&state, "receive", &error),
            }
        }
    };
    tokio::select! {
        () = writing => {}
        () = reading => {}
        () = cut.notified() => {}
    }
    state.links.borrow_mut().remove(&id);
    state.tell(Event::Unlinked { link: id }).await;
}

fn listen(address: &str) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).map_err(|e| socket("bind", address, &e))?;
    listener.set_nonblocking(true).map_err(|e| socket("bind", address, &e))?;
    Ok(listener)
}

fn socket(step: &'static str, peer: &str, error: &std::io::Error) -> Error {
    Error::Socket { step, peer: peer.to_owned(), detail: error.to_string() }
}
