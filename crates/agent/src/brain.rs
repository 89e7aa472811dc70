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

/// Key of the ownership row.
const OWNER: &str = "owner";
/// Time between looks at what has become due.
const TICK: Duration = Duration::from_millis(100);

/// What other threads may know of the grantor.
#[derive(Debug, Default)]
pub(crate) struct Status {
    pub attached: AtomicBool,
    pub empty: AtomicBool,
    pub granted: AtomicU64,
    pub configuration: AtomicU64,
}

/// The receiving ends of all rings into the brain.
pub(crate) struct Inbox {
    pub peers: ring::Receiver<peer::Event<Frame>>,
    pub stored: ring::Receiver<Result<Reply, Error>>,
    pub inputs: ring::Receiver<Input>,
}

/// The thread that runs the grantor.
pub(crate) struct Brain {
    grantor: Grantor,
    hub: Hub<Frame>,
    service: Service,
    endpoint: Endpoint,
    status: Arc<Status>,
    /// Tasks given to the endpoint, to be able to halt and drop them.
    tasks: BTreeMap<Attempt, Task>,
    start: Instant,
    events: Option<String>,
}

impl Brain {
    pub fn spawn(
        grantor: Grantor,
        hub: Hub<Frame>,
        service: Service,
        endpoint: Endpoint,
        status: Arc<Status>,
        events: Option<String>,
        inbox: Inbox,
    ) -> io::Result<()> {
        let start = move || Brain {
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
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                Some(event) = inbox.peers.recv() => self.peer(event),
                Some(result) = inbox.stored.recv() => self.stored(&result),
                _ = ticks.tick() => {
                    let outputs = self.grantor.tick(self.start.elapsed());
                    self.carry_out(outputs);
                }
                Some(input) = inbox.inputs.recv() => self.input(input),
            }
            self.publish();
        }
    }

    fn input(&mut self, input: Input) {
        if let Input::Recovered(tasks) = &input {
            for task in tasks {
                self.tasks.insert(task.attempt, task.clone());
                self.endpoint.ask(Command::Follow(task.clone()));
            }
        }
        let outputs = self.grantor.handle(self.start.elapsed(), input);
        self.carry_out(outputs);
    }

    fn peer(&mut self, event: peer::Event<Frame>) {
        self.input(match event {
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

    fn stored(&mut self, result: &Result<Reply, Error>) {
        let row = match result {
            Ok(Reply::Page(page)) => page.rows.iter().find(|row| row.key == OWNER),
            _ => None,
        };
        let row = row.and_then(|row| serde_json::from_str::<OwnerRow>(&row.value).ok());
        self.input(Input::OwnerRow(row.map(|row| (row.epoch, row.address))));
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
                        // Frames must not be lost in the middle of a connection.
                        self.input(Input::Disconnected { link });
                    }
                }
                Output::Close { link, reason } => {
                    self.hub.ask(peer::Command::Close { link, reason });
                }
                Output::Run { task } => {
                    self.tasks.insert(task.attempt, task.clone());
                    self.endpoint.ask(Command::Run(task));
                }
                Output::Stop { attempt, grace } => {
                    if let Some(task) = self.tasks.get(&attempt) {
                        self.endpoint.ask(Command::Halt(task.clone(), grace));
                    }
                }
                Output::Forget { attempt } => {
                    if let Some(task) = self.tasks.remove(&attempt) {
                        self.endpoint.ask(Command::Drop(task));
                    }
                }
                Output::Event(kind) => self.write_event(kind),
            }
        }
    }

    fn read_owner(&mut self) {
        let read = Read { prefix: OWNER.to_owned(), after: String::new(), limit: 1 };
        if !self.service.call(0, Op::Read(read)) {
            self.input(Input::OwnerRow(None));
        }
    }

    fn write_event(&self, kind: Kind) {
        let Some(process) = &self.events else { return };
        let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let event = Event { at, process: process.clone(), kind };
        if let Ok(line) = serde_json::to_string(&event) {
            println!("{line}");
        }
    }

    fn publish(&self) {
        self.status.attached.store(self.grantor.has_owner(), Ordering::Relaxed);
        self.status.empty.store(self.grantor.is_idle(), Ordering::Relaxed);
        self.status
            .granted
            .store(self.grantor.granted_mask().count_ones().into(), Ordering::Relaxed);
        self.status.configuration.store(self.grantor.configuration_version(), Ordering::Relaxed);
    }
}
