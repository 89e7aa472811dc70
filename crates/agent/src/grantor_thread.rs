use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime};

use quincewheel_audit::{Event, Kind};
use quincewheel_grant::{Grantor, Input, Output};
use quincewheel_peer::{self as peer, Hub};
use quincewheel_ring as ring;
use quincewheel_schema::v1::OwnerRow;
use quincewheel_store::{Error, Op, Read, Reply, Service};
use quincewheel_wire::{Attempt, Frame, Task};
use tokio::time::Instant;

use crate::endpoint::{Command, Endpoint};

const OWNER_KEY: &str = "owner";
/// Interval between calls of [`Grantor::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The grantor's state as other threads see it, updated after each event.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub has_owner: AtomicBool,
    pub is_idle: AtomicBool,
    pub granted_accelerators: AtomicU64,
    pub configuration_version: AtomicU64,
}

/// The receiving ends of all rings that lead to the grantor's thread.
pub(crate) struct Inbox {
    pub peers: ring::Receiver<peer::Event<Frame>>,
    pub reads: ring::Receiver<Result<Reply, Error>>,
    pub inputs: ring::Receiver<Input>,
}

/// The thread that runs the grantor.
pub(crate) struct GrantorThread {
    grantor: Grantor,
    hub: Hub<Frame>,
    service: Service,
    endpoint: Endpoint,
    status: Arc<Status>,
    /// Tasks that were passed to the endpoint and not yet forgotten. Stopping or forgetting
    /// one needs its ranks.
    tasks: BTreeMap<Attempt, Task>,
    start: Instant,
    /// The process name in the event log; `None` if no events are written.
    events: Option<String>,
}

impl GrantorThread {
    pub fn spawn(
        grantor: Grantor,
        hub: Hub<Frame>,
        service: Service,
        endpoint: Endpoint,
        status: Arc<Status>,
        events: Option<String>,
        inbox: Inbox,
    ) -> io::Result<()> {
        let start = move || GrantorThread {
            grantor,
            hub,
            service,
            endpoint,
            status,
            tasks: BTreeMap::new(),
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
                Some(event) = inbox.peers.recv() => self.on_peer_event(event),
                Some(result) = inbox.reads.recv() => self.on_owner_read(&result),
                _ = ticks.tick() => {
                    let outputs = self.grantor.tick(self.start.elapsed());
                    self.carry_out(outputs);
                }
                Some(input) = inbox.inputs.recv() => self.on_input(input),
            }
            self.update_status();
        }
    }

    fn on_input(&mut self, input: Input) {
        if let Input::Recovered(tasks) = &input {
            for task in tasks {
                self.tasks.insert(task.attempt, task.clone());
                self.endpoint.send(Command::Follow(task.clone()));
            }
        }
        let outputs = self.grantor.handle(self.start.elapsed(), input);
        self.carry_out(outputs);
    }

    fn on_peer_event(&mut self, event: peer::Event<Frame>) {
        self.on_input(match event {
            peer::Event::Linked { link, hello, dialled } => {
                Input::Connected { link, hello, dialled }
            }
            peer::Event::Unlinked { link } => Input::Disconnected { link },
            peer::Event::Undialled { address, error } => {
                log::info!(step = "dial", peer = address.as_str(); "{error}");
                Input::DialFailed { address }
            }
            peer::Event::Frame { link, frame } => Input::Frame { link, frame },
        });
    }

    fn on_owner_read(&mut self, result: &Result<Reply, Error>) {
        let row = match result {
            Ok(Reply::Page(page)) => page.rows.iter().find(|row| row.key == OWNER_KEY),
            _ => None,
        };
        let row = row.and_then(|row| serde_json::from_str::<OwnerRow>(&row.value).ok());
        self.on_input(Input::OwnerRow(row.map(|row| (row.epoch, row.address))));
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::ReadOwner => self.read_owner(),
                Output::Dial { address } => {
                    self.hub.ask(peer::Command::Dial { address });
                }
                Output::Send { link, frame } => {
                    if !self.hub.ask(peer::Command::Send { link, frame }) {
                        // The hub's queue is full. Dropping one frame would leave the connection with a gap,
                        // so the whole connection counts as lost.
                        self.on_input(Input::Disconnected { link });
                    }
                }
                Output::Close { link, reason } => {
                    self.hub.ask(peer::Command::Close { link, reason });
                }
                Output::Run { task } => {
                    self.tasks.insert(task.attempt, task.clone());
                    self.endpoint.send(Command::Run(task));
                }
                Output::Stop { attempt, grace } => {
                    if let Some(task) = self.tasks.get(&attempt) {
                        self.endpoint.send(Command::Stop(task.clone(), grace));
                    }
                }
                Output::Forget { attempt } => {
                    if let Some(task) = self.tasks.remove(&attempt) {
                        self.endpoint.send(Command::Forget(task));
                    }
                }
                Output::Event(kind) => self.print_event(kind),
            }
        }
    }

    fn read_owner(&mut self) {
        let read = Read { prefix: OWNER_KEY.to_owned(), after: String::new(), limit: 1 };
        if !self.service.call(0, Op::Read(read)) {
            self.on_input(Input::OwnerRow(None));
        }
    }

    fn print_event(&self, kind: Kind) {
        let Some(process) = &self.events else { return };
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let event = Event { at, process: process.clone(), kind };
        if let Ok(line) = serde_json::to_string(&event) {
            println!("{line}");
        }
    }

    fn update_status(&self) {
        self.status.has_owner.store(self.grantor.has_owner(), Ordering::Relaxed);
        self.status.is_idle.store(self.grantor.is_idle(), Ordering::Relaxed);
        self.status
            .granted_accelerators
            .store(self.grantor.granted_mask().count_ones().into(), Ordering::Relaxed);
        self.status
            .configuration_version
            .store(self.grantor.configuration_version(), Ordering::Relaxed);
    }
}
