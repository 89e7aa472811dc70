//! What reaches the processes of a test, and what they want done then.

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_store::Op;
use quincewheel_wire::LinkId;

use super::endpoint::grantor_handle;
use super::world::{ANY, DELAY, TICK, Who, World};

/// What comes to a process.
pub(super) enum Delivery {
    Entry(shard::Input),
    Agent(grant::Input),
    /// A call arrives at the table.
    Table(u64, Op),
    Tick,
}

/// A delivery on its way.
pub(super) struct Pending {
    pub(super) to: Who,
    pub(super) incarnation: u64,
    pub(super) delivery: Delivery,
    /// The connection that must still be there.
    pub(super) link: Option<LinkId>,
}

impl World {
    /// Hands over what is due, unless its process cannot take it any more.
    pub(super) fn deliver(&mut self, pending: Pending) {
        if let Some(buffer) = self.frozen.get_mut(&pending.to) {
            buffer.push(pending);
            return;
        }
        if !matches!(pending.delivery, Delivery::Tick) {
            self.steps += 1;
            let step = self.steps;
            let due: Vec<Who> =
                self.traps.iter().filter(|(at, _)| *at == step).map(|(_, who)| *who).collect();
            for who in due {
                match who {
                    Who::Agent(at) if self.vanishing => self.vanish(at),
                    _ => self.kill(who),
                }
            }
        }
        if let Delivery::Table(id, op) = pending.delivery {
            self.serve_table(pending.to, pending.incarnation, id, &op);
            return;
        }
        if let (Who::Agent(at), Delivery::Agent(input @ grant::Input::RankEnded { .. })) =
            (pending.to, &pending.delivery)
            && self.workers[at].grantor.is_none()
        {
            self.workers[at].missed.push(input.clone());
            return;
        }
        let stale = pending.incarnation != self.incarnation(pending.to);
        if !self.alive(pending.to) || (stale && pending.incarnation != ANY) {
            return;
        }
        if pending.link.is_some_and(|link| !self.links.contains_key(&link)) {
            return;
        }
        match pending.to {
            Who::Entry(at) => self.run_entry(at, pending.delivery),
            Who::Agent(at) => self.run_agent(at, pending.delivery),
        }
    }

    pub(super) fn run_entry(&mut self, at: usize, delivery: Delivery) {
        let now = self.now;
        let node = self.entries[at].node.as_mut().expect("checked by the caller");
        match delivery {
            Delivery::Entry(input) => node.handle(now, input),
            _ => {
                node.tick(now);
                self.push(TICK, Who::Entry(at), Delivery::Tick, None);
            }
        }
        let node = self.entries[at].node.as_mut().expect("checked by the caller");
        for output in node.flush(now) {
            self.entry_output(at, output);
        }
    }

    fn entry_output(&mut self, at: usize, output: shard::Output) {
        let me = Who::Entry(at);
        match output {
            shard::Output::Answer { call, answer } => {
                self.answers.insert(call, (self.now, answer));
            }
            shard::Output::Send { link, frame } => self.send(me, link, frame),
            shard::Output::Dial { address } => self.dial(me, &address),
            shard::Output::Close { link, .. } => self.close(link, Some(me)),
            shard::Output::Store { id, op } => {
                self.push(DELAY, me, Delivery::Table(id, op), None);
            }
            shard::Output::Event(kind) => {
                let name = format!("entry-{at}.{}", self.entries[at].incarnation);
                self.note(&name, kind);
            }
        }
    }

    fn run_agent(&mut self, at: usize, delivery: Delivery) {
        let now = self.now;
        let grantor = self.workers[at].grantor.as_mut().expect("checked by the caller");
        let outputs = match delivery {
            Delivery::Agent(input) => {
                if let grant::Input::RankEnded { attempt, .. } = &input {
                    let task = self.workers[at].tasks.get(attempt);
                    if task.is_none() {
                        return;
                    }
                }
                grantor_handle(&mut self.workers[at], now, input)
            }
            _ => {
                let outputs = grantor.tick(now);
                self.push(TICK, Who::Agent(at), Delivery::Tick, None);
                outputs
            }
        };
        for output in outputs {
            self.agent_output(at, output);
        }
    }

    fn agent_output(&mut self, at: usize, output: grant::Output) {
        let me = Who::Agent(at);
        match output {
            grant::Output::ReadOwner => {
                let read = quincewheel_store::Read {
                    prefix: "owner".to_owned(),
                    after: String::new(),
                    limit: 1,
                };
                self.push(DELAY, me, Delivery::Table(0, Op::Read(read)), None);
            }
            grant::Output::Dial { address } => self.dial(me, &address),
            grant::Output::Send { link, frame } => self.send(me, link, frame),
            grant::Output::Close { link, .. } => self.close(link, Some(me)),
            grant::Output::Run { task } => self.run_task(at, task),
            grant::Output::Stop { attempt, grace } => self.halt_task(at, attempt, grace),
            grant::Output::Forget { .. } => {}
            grant::Output::Event(kind) => {
                let name = format!("worker-{at}.{}", self.workers[at].incarnation);
                self.note(&name, kind);
            }
        }
    }
}
