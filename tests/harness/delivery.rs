//! Delivers inputs to the processes of a test and carries out their outputs.

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_store::Op;
use quincewheel_wire::LinkId;

use super::cluster::{ANY_INCARNATION, Cluster, FRAME_DELAY, Process, TICK_INTERVAL};
use super::endpoint::pass_to_grantor;

/// An input to a process.
pub(super) enum Delivery {
    Entry(shard::Input),
    Agent(grant::Input),
    /// A call from the process to the table.
    Table(u64, Op),
    Tick,
}

/// A scheduled delivery.
pub(super) struct Pending {
    pub(super) to: Process,
    pub(super) incarnation: u64,
    pub(super) delivery: Delivery,
    /// The connection that must still be open on delivery.
    pub(super) link: Option<LinkId>,
}

impl Cluster {
    /// Delivers an input. It is buffered if the process is frozen, and dropped if
    /// the process has ended or restarted or the connection has closed.
    pub(super) fn deliver(&mut self, pending: Pending) {
        if let Some(buffer) = self.frozen.get_mut(&pending.to) {
            buffer.push(pending);
            return;
        }
        if !matches!(pending.delivery, Delivery::Tick) {
            self.deliveries += 1;
            let step = self.deliveries;
            let due: Vec<Process> = self
                .traps
                .iter()
                .filter(|(at, _)| *at == step)
                .map(|(_, process)| *process)
                .collect();
            for process in due {
                match process {
                    Process::Agent(index) if self.traps_remove_workers => self.remove_worker(index),
                    _ => self.kill(process),
                }
            }
        }
        if let Delivery::Table(id, op) = pending.delivery {
            self.serve_table(pending.to, pending.incarnation, id, &op);
            return;
        }
        if let (Process::Agent(index), Delivery::Agent(input @ grant::Input::RankEnded { .. })) =
            (pending.to, &pending.delivery)
            && self.workers[index].grantor.is_none()
        {
            self.workers[index].undelivered_ends.push(input.clone());
            return;
        }
        let stale = pending.incarnation != self.incarnation(pending.to);
        if !self.is_alive(pending.to) || (stale && pending.incarnation != ANY_INCARNATION) {
            return;
        }
        if pending.link.is_some_and(|link| !self.links.contains_key(&link)) {
            return;
        }
        match pending.to {
            Process::Entry(index) => self.handle_at_entry(index, pending.delivery),
            Process::Agent(index) => self.handle_at_agent(index, pending.delivery),
        }
    }

    pub(super) fn handle_at_entry(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let node = self.entries[index].node.as_mut().expect("checked by the caller");
        match delivery {
            Delivery::Entry(input) => node.handle(now, input),
            _ => {
                node.tick(now);
                self.push(TICK_INTERVAL, Process::Entry(index), Delivery::Tick, None);
            }
        }
        let node = self.entries[index].node.as_mut().expect("checked by the caller");
        for output in node.flush(now) {
            self.on_entry_output(index, output);
        }
    }

    fn on_entry_output(&mut self, index: usize, output: shard::Output) {
        let me = Process::Entry(index);
        match output {
            shard::Output::Answer { call, answer } => {
                self.answers.insert(call, (self.now, answer));
            }
            shard::Output::Send { link, frame } => self.send(me, link, frame),
            shard::Output::Dial { address } => self.dial(me, &address),
            shard::Output::Close { link, .. } => self.close(link, Some(me)),
            shard::Output::Store { id, op } => {
                self.push(FRAME_DELAY, me, Delivery::Table(id, op), None);
            }
            shard::Output::Event(kind) => {
                let name = format!("entry-{index}.{}", self.entries[index].incarnation);
                self.record_event(&name, kind);
            }
        }
    }

    fn handle_at_agent(&mut self, index: usize, delivery: Delivery) {
        let now = self.now;
        let grantor = self.workers[index].grantor.as_mut().expect("checked by the caller");
        let outputs = match delivery {
            Delivery::Agent(input) => {
                if let grant::Input::RankEnded { attempt, .. } = &input {
                    let task = self.workers[index].tasks.get(attempt);
                    if task.is_none() {
                        return;
                    }
                }
                pass_to_grantor(&mut self.workers[index], now, input)
            }
            _ => {
                let outputs = grantor.tick(now);
                self.push(TICK_INTERVAL, Process::Agent(index), Delivery::Tick, None);
                outputs
            }
        };
        for output in outputs {
            self.on_agent_output(index, output);
        }
    }

    fn on_agent_output(&mut self, index: usize, output: grant::Output) {
        let me = Process::Agent(index);
        match output {
            grant::Output::ReadOwner => {
                let read = quincewheel_store::Read {
                    prefix: "owner".to_owned(),
                    after: String::new(),
                    limit: 1,
                };
                self.push(FRAME_DELAY, me, Delivery::Table(0, Op::Read(read)), None);
            }
            grant::Output::Dial { address } => self.dial(me, &address),
            grant::Output::Send { link, frame } => self.send(me, link, frame),
            grant::Output::Close { link, .. } => self.close(link, Some(me)),
            grant::Output::Run { task } => self.run_task(index, task),
            grant::Output::Stop { attempt, grace } => self.stop_task(index, attempt, grace),
            grant::Output::Forget { .. } => {}
            grant::Output::Event(kind) => {
                let name = format!("worker-{index}.{}", self.workers[index].incarnation);
                self.record_event(&name, kind);
            }
        }
    }
}
