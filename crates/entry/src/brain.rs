use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use quincewheel_audit::Event;
use quincewheel_peer::{self as peer, Hub};
use quincewheel_ring as ring;
use quincewheel_shard::{Input, Node, Output};
use quincewheel_store::{Error, Reply, Service};
use quincewheel_wire::{Answer, Ask, Frame};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Work that callers bring.
pub(crate) enum Work {
    /// A call, and where its answer goes.
    Call { key_digest: String, ask: Ask, reply: oneshot::Sender<Answer> },
    /// The process is to end.
    Drain,
}

/// An answer of the table service.
pub(crate) struct Stored(pub u64, pub Result<Reply, Error>);

/// What other threads may know of the node.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub ready: AtomicBool,
    pub owner: AtomicBool,
    pub store_down: AtomicBool,
    pub pending: AtomicUsize,
}

/// The receiving ends of all rings into the brain, most pressing first: what
/// keeps ownership must not wait behind callers.
pub(crate) struct Inbox {
    pub stored: ring::Receiver<Stored>,
    pub peers: ring::Receiver<peer::Event<Frame>>,
    pub work: ring::Receiver<Work>,
}

/// Time between looks at what has become due.
const TICK: Duration = Duration::from_millis(50);
/// Inputs taken before one decision is made.
const ROUND: usize = 512;

/// The thread that runs the node.
pub(crate) struct Brain {
    node: Node,
    hub: Hub<Frame>,
    service: Service,
    status: Arc<Status>,
    replies: BTreeMap<u64, oneshot::Sender<Answer>>,
    next_call: u64,
    start: Instant,
    /// Name under which events are written, if they are.
    events: Option<String>,
}

impl Brain {
    pub fn spawn(
        node: Node,
        hub: Hub<Frame>,
        service: Service,
        status: Arc<Status>,
        events: Option<String>,
        inbox: Inbox,
    ) -> io::Result<()> {
        let start = move || Brain {
            node,
            hub,
            service,
            status,
            replies: BTreeMap::new(),
            next_call: 1,
            start: Instant::now(),
            events,
        };
        thread::Builder::new().name("brain".to_owned()).spawn(move || {
            let runtime = actix_rt::Runtime::new().expect("a runtime needs only memory");
            runtime.block_on(start().run(inbox));
        })?;
        Ok(())
    }

    async fn run(mut self, inbox: Inbox) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(stored) = inbox.stored.recv() => self.stored(stored),
                Some(event) = inbox.peers.recv() => self.peer(event),
                _ = ticks.tick() => self.tick(),
                Some(work) = inbox.work.recv() => self.work(work),
            }
            for _ in 0..ROUND {
                if let Some(stored) = inbox.stored.try_recv() {
                    self.stored(stored);
                } else if let Some(event) = inbox.peers.try_recv() {
                    self.peer(event);
                } else if let Some(work) = inbox.work.try_recv() {
                    self.work(work);
                } else {
                    break;
                }
            }
            let outputs = self.node.flush(self.now());
            for output in outputs {
                self.carry_out(output);
            }
            self.publish();
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn stored(&mut self, Stored(id, result): Stored) {
        if let Err(error) = &result {
            log::warn!(step = "table"; "{error}");
        }
        self.node.handle(self.now(), Input::Store { id, result });
    }

    fn peer(&mut self, event: peer::Event<Frame>) {
        let input = match event {
            peer::Event::Linked { link, hello, dialled } => Input::Linked { link, hello, dialled },
            peer::Event::Unlinked { link } => Input::Unlinked { link },
            peer::Event::Undialled { address, error } => {
                log::info!(step = "dial", peer = address.as_str(); "{error}");
                Input::Undialled { address }
            }
            peer::Event::Frame { link, frame } => Input::Frame { link, frame },
        };
        self.node.handle(self.now(), input);
    }

    fn work(&mut self, work: Work) {
        let now = self.now();
        match work {
            Work::Call { key_digest, ask, reply } => {
                let call = self.next_call;
                self.next_call += 1;
                self.replies.insert(call, reply);
                self.node.handle(now, Input::Call { call, key_digest, ask });
            }
            Work::Drain => self.node.handle(now, Input::Drain),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        // A caller that is gone drops its end of the reply.
        let gone: Vec<u64> =
            self.replies.iter().filter(|(_, reply)| reply.is_closed()).map(|(id, _)| *id).collect();
        for call in gone {
            self.replies.remove(&call);
            self.node.handle(now, Input::Hangup { call });
        }
        self.node.tick(now);
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer { call, answer } => {
                if let Some(reply) = self.replies.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Output::Send { link, frame } => {
                if !self.hub.ask(peer::Command::Send { link, frame }) {
                    self.overflow(link);
                }
            }
            Output::Dial { address } => {
                if !self.hub.ask(peer::Command::Dial { address: address.clone() }) {
                    self.node.handle(self.now(), Input::Undialled { address });
                }
            }
            Output::Close { link, reason } => {
                self.hub.ask(peer::Command::Close { link, reason });
            }
            Output::Store { id, op } => {
                if !self.service.call(id, op) {
                    let result = Err(Error::Refused {
                        step: "call",
                        peer: "store thread".to_owned(),
                        detail: "its ring is full".to_owned(),
                    });
                    self.node.handle(self.now(), Input::Store { id, result });
                }
            }
            Output::Event(kind) => self.write_event(kind),
        }
    }

    /// The ring to the peers' thread is full. Frames of a connection must not
    /// be lost in the middle, so the connection counts as gone.
    fn overflow(&mut self, link: u64) {
        log::warn!(step = "send", peer = link; "too many frames wait; connection given up");
        self.node.handle(self.now(), Input::Unlinked { link });
        self.hub.ask(peer::Command::Close { link, reason: "too many frames wait" });
    }

    fn write_event(&self, kind: quincewheel_audit::Kind) {
        let Some(process) = &self.events else { return };
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let event = Event { at, process: process.clone(), kind };
        if let Ok(line) = serde_json::to_string(&event) {
            println!("{line}");
        }
    }

    fn publish(&self) {
        self.status.ready.store(self.node.is_ready(), Ordering::Relaxed);
        self.status.owner.store(self.node.is_owner(), Ordering::Relaxed);
        self.status.store_down.store(self.node.is_store_down(), Ordering::Relaxed);
        self.status.pending.store(self.node.pending_calls(), Ordering::Relaxed);
    }
}
