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

/// A command for the node, from the threads that serve callers.
pub(crate) enum Command {
    /// A call, and the channel for its answer.
    Call { key_digest: String, ask: Ask, reply: oneshot::Sender<Answer> },
    /// Shuts the node down.
    Drain,
}

/// Result of a call to the table service, with the number of the call.
pub(crate) struct StoreResult(pub u64, pub Result<Reply, Error>);

/// State of the node that other threads read.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub ready: AtomicBool,
    pub owner: AtomicBool,
    pub store_down: AtomicBool,
    pub pending: AtomicUsize,
}

/// Receiving ends of the queues to the driver, in the order of their priority: results and frames
/// that maintain the ownership must not wait behind calls.
pub(crate) struct Inbox {
    pub store_results: ring::Receiver<StoreResult>,
    pub peer_events: ring::Receiver<peer::Event<Frame>>,
    pub commands: ring::Receiver<Command>,
}

/// Interval at which the node's timers are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of inputs that are handled before the outputs are executed.
const MAX_BATCH: usize = 512;

/// Runs the node on a thread of its own: feeds it with inputs and executes its outputs.
pub(crate) struct Driver {
    node: Node,
    hub: Hub<Frame>,
    service: Service,
    status: Arc<Status>,
    replies: BTreeMap<u64, oneshot::Sender<Answer>>,
    next_call: u64,
    start: Instant,
    /// Name of the process in audit events; `None` if none are written.
    events: Option<String>,
}

impl Driver {
    pub fn spawn(
        node: Node,
        hub: Hub<Frame>,
        service: Service,
        status: Arc<Status>,
        events: Option<String>,
        inbox: Inbox,
    ) -> io::Result<()> {
        let start = move || Driver {
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
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(result) = inbox.store_results.recv() => self.on_store_result(result),
                Some(event) = inbox.peer_events.recv() => self.on_peer_event(event),
                _ = ticks.tick() => self.tick(),
                Some(command) = inbox.commands.recv() => self.on_command(command),
            }
            for _ in 0..MAX_BATCH {
                if let Some(result) = inbox.store_results.try_recv() {
                    self.on_store_result(result);
                } else if let Some(event) = inbox.peer_events.try_recv() {
                    self.on_peer_event(event);
                } else if let Some(command) = inbox.commands.try_recv() {
                    self.on_command(command);
                } else {
                    break;
                }
            }
            let outputs = self.node.flush(self.now());
            for output in outputs {
                self.execute(output);
            }
            self.publish_status();
        }
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn on_store_result(&mut self, StoreResult(id, result): StoreResult) {
        if let Err(error) = &result {
            log::warn!(step = "table"; "{error}");
        }
        self.node.handle(self.now(), Input::Store { id, result });
    }

    fn on_peer_event(&mut self, event: peer::Event<Frame>) {
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

    fn on_command(&mut self, command: Command) {
        let now = self.now();
        match command {
            Command::Call { key_digest, ask, reply } => {
                let call = self.next_call;
                self.next_call += 1;
                self.replies.insert(call, reply);
                self.node.handle(now, Input::Call { call, key_digest, ask });
            }
            Command::Drain => self.node.handle(now, Input::Drain),
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        // A caller that disconnects drops its end of the reply channel.
        let disconnected: Vec<u64> =
            self.replies.iter().filter(|(_, reply)| reply.is_closed()).map(|(id, _)| *id).collect();
        for call in disconnected {
            self.replies.remove(&call);
            self.node.handle(now, Input::Hangup { call });
        }
        self.node.tick(now);
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Answer { call, answer } => {
                if let Some(reply) = self.replies.remove(&call) {
                    let _ = reply.send(answer);
                }
            }
            Output::Send { link, frame } => {
                if !self.hub.ask(peer::Command::Send { link, frame }) {
                    self.close_overflowing(link);
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

    /// Closes a connection whose frame did not fit into the hub's queue, since a connection must
    /// not lose single frames.
    fn close_overflowing(&mut self, link: u64) {
        log::warn!(step = "send", peer = link; "send queue full; closing the connection");
        self.node.handle(self.now(), Input::Unlinked { link });
        self.hub.ask(peer::Command::Close { link, reason: "send queue full" });
    }

    fn write_event(&self, kind: quincewheel_audit::Kind) {
        let Some(process) = &self.events else { return };
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let event = Event { at, process: process.clone(), kind };
        if let Ok(line) = serde_json::to_string(&event) {
            println!("{line}");
        }
    }

    fn publish_status(&self) {
        self.status.ready.store(self.node.is_ready(), Ordering::Relaxed);
        self.status.owner.store(self.node.is_owner(), Ordering::Relaxed);
        self.status.store_down.store(self.node.is_store_down(), Ordering::Relaxed);
        self.status.pending.store(self.node.pending_calls(), Ordering::Relaxed);
    }
}
