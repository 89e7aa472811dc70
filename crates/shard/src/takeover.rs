//! A new owner learns what is so: first the rows, then the agents' inventories.

use std::time::Duration;

use quincewheel_schema::v1::JobRow;
use quincewheel_store::{Error, Op, Read, Reply, Row};
use quincewheel_wire::{Attempt, Frame, Inventory, Job, LinkId, Member, Outcome, Phase as Held};
use quincewheel_wire::{Report, Task};

use crate::config::{self, Item};
use crate::context::Context;
use crate::member::{Agent, Lag, Peer};
use crate::owner::Owner;
use crate::record::{Part, Phase, Record, Step, Stored, Try};
use crate::rows;

/// How far the rows are read.
pub(crate) struct Load {
    /// Prefixes still to read, the present one last.
    prefixes: Vec<&'static str>,
    after: String,
    id: Option<u64>,
    at: Duration,
    version: u64,
}

/// Rows in one read.
const PAGE: usize = 1000;
/// Pause after a read that failed, so that a table that comes back is not
/// met by a storm.
const RETRY: Duration = Duration::from_millis(500);

impl Load {
    pub fn start() -> Load {
        Load {
            prefixes: vec![rows::JOBS, config::PREFIX],
            after: String::new(),
            id: None,
            at: Duration::ZERO,
            version: 0,
        }
    }

    pub fn finished(&self) -> bool {
        self.prefixes.is_empty()
    }
}

impl Owner {
    pub(crate) fn load_next(&mut self, cx: &mut Context) {
        let Some(prefix) = self.load.prefixes.last() else { return };
        let read =
            Read { prefix: (*prefix).to_owned(), after: self.load.after.clone(), limit: PAGE };
        self.load.id = Some(cx.store(Op::Read(read)));
        self.load.at = cx.now;
    }

    pub(crate) fn load_tick(&mut self, cx: &mut Context) {
        let waited = cx.now.saturating_sub(self.load.at);
        let lapsed = self.load.id.is_some() && waited >= Duration::from_secs(4);
        let due = self.load.id.is_none() && waited >= RETRY;
        if !self.load.finished() && (lapsed || due) {
            self.load_next(cx);
        }
    }

    /// Takes the answer to a read of rows. False if it was for another call.
    pub(crate) fn on_load(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> bool {
        if self.load.finished() || self.load.id != Some(id) {
            return false;
        }
        self.load.id = None;
        self.load.at = cx.now;
        let Ok(Reply::Page(page)) = result else { return true };
        for row in &page.rows {
            self.load_row(cx, row);
        }
        match page.rows.last() {
            Some(last) if page.more => self.load.after = last.key.clone(),
            _ => {
                self.load.after.clear();
                self.load.prefixes.pop();
            }
        }
        if self.load.finished() {
            self.activate(cx)
        } else {
            self.load_next(cx)
        }
        true
    }

    fn load_row(&mut self, cx: &mut Context, row: &Row) {
        if let Some(item) = Item::parse(&row.key, &row.value) {
            self.load.version = self.load.version.max(item.configuration());
            cx.config.apply(&item);
        } else if row.key.starts_with(rows::JOBS) {
            match serde_json::from_str::<JobRow>(&row.value) {
                Ok(row) => self.load_job(cx, &row),
                Err(error) => {
                    log::error!(step = "load", job = row.key.as_str(); "unreadable row: {error}");
                }
            }
        }
    }

    fn load_job(&mut self, cx: &mut Context, row: &JobRow) {
        let (job, outcome) = rows::job_from_row(row);
        let id = self.next_job;
        self.next_job += 1;
        let attempt = Attempt(row.attempt);
        let (phase, stored) = match outcome {
            Outcome::Queued => (Phase::Queued, Stored::Queued),
            Outcome::Started => {
                let order = row.members.clone();
                let current = Try::new(attempt, Step::Started, cx.now, order);
                (Phase::Tried(current), Stored::Started)
            }
            outcome => {
                (Phase::Final { outcome, at: cx.now, recorded: true, told: true }, Stored::Final)
            }
        };
        if row.attempt != 0 {
            self.attempts.insert(attempt, id);
        }
        // Whether Go was said is not known; that it may have been is.
        let started = u32::from(stored == Stored::Started);
        let record = Record {
            id,
            arrived: cx.now,
            until: cx.now + job.deadline,
            phase,
            attempts: row.attempts + started,
            avoid: Vec::new(),
            stored: Some(stored),
            waiters: Vec::new(),
            last: (row.attempt != 0).then(|| (attempt, row.members.clone())),
            job,
        };
        self.keys.insert(record.key(), id);
        self.jobs.insert(id, record);
    }

    /// All rows are read: this owner can decide.
    fn activate(&mut self, cx: &mut Context) {
        self.active_since = cx.now;
        let version = self.load.version;
        cx.event(quincewheel_audit::Kind::Recorded { version });
        if cx.config.reach(version) {
            cx.event(quincewheel_audit::Kind::Applied { version });
        }
        for row in cx.config.teams() {
            self.pool.put_team(&row.team, row.quota);
        }
        for row in cx.config.guarantees() {
            self.pool.put_shares(&row.team, rows::shares_from_row(&row.shares));
        }
        let queued = self.jobs.values().filter(|record| matches!(record.phase, Phase::Queued));
        let queued: Vec<_> = queued.map(|record| record.id).collect();
        for id in queued {
            self.enqueue(id);
        }
        let links: Vec<LinkId> = self.peers.keys().copied().collect();
        for link in links {
            self.configure(cx, link);
        }
        self.dirty = true;
    }

    /// An agent tells who it is and all that it holds.
    pub(crate) fn announced(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        member: Member,
        latest: Attempt,
        inventory: Vec<Inventory>,
    ) {
        let worker = member.worker.clone();
        let fresh = self.link_of(&worker) != Some(link);
        if fresh {
            self.relink(cx, link, &worker);
        }
        self.pool.put_worker(
            &worker,
            &member.zone,
            &member.rack,
            member.accelerators,
            member.slots,
        );
        let before = self.agents.get(&worker);
        let agent = Agent {
            link: Some(link),
            heard: cx.now,
            lag: Lag::default(),
            pause: before.map_or(Duration::ZERO, |agent| agent.pause),
            quarantined: before.and_then(|agent| agent.quarantined),
            member,
        };
        self.agents.insert(worker.clone(), agent);
        self.refresh_condition(cx, &worker);
        let held: Vec<Attempt> = inventory.iter().map(|item| item.task.attempt).collect();
        for item in inventory {
            self.reconcile(cx, link, &worker, item);
        }
        for attempt in self.live_at(&worker) {
            // On a connection that was there before, an announcement may have
            // been overtaken by a later attempt's prepare and go.
            let known = fresh || attempt <= latest;
            if known && !held.contains(&attempt) {
                let reason = format!("worker {worker} came back without it");
                self.end_part(cx, attempt, &worker, Report::Lost { reason });
            }
        }
        if fresh {
            self.configure(cx, link);
        }
        self.dirty = true;
    }

    /// Notes an agent's new connection and drops an older one.
    fn relink(&mut self, cx: &mut Context, link: LinkId, worker: &str) {
        if let Some(old) = self.link_of(worker) {
            self.peers.remove(&old);
            cx.close(old, "replaced by a newer connection");
        }
        self.peers.insert(link, Peer::Agent { worker: worker.to_owned() });
    }

    /// Squares one attempt that an agent holds with what is known here.
    fn reconcile(&mut self, cx: &mut Context, link: LinkId, worker: &str, item: Inventory) {
        let attempt = item.task.attempt;
        if !self.attempts.contains_key(&attempt) && !self.adopt(cx, &item) {
            match item.phase {
                Held::Ended(_) => {
                    cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt });
                }
                _ => self.send_stop(cx, worker, attempt, Duration::ZERO),
            }
            return;
        }
        let id = self.attempts[&attempt];
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else {
            match item.phase {
                Held::Ended(report) => self.ended(cx, link, attempt, report),
                _ => self.send_stop(cx, worker, attempt, Duration::ZERO),
            }
            return;
        };
        let stopping = current.stopping.is_some();
        let part = current.parts.entry(worker.to_owned()).or_insert(Part::Unknown);
        if let Held::Ended(report) = item.phase {
            self.end_part(cx, attempt, worker, report);
            return;
        }
        *part = if item.phase == Held::Running { Part::Running } else { Part::Prepared };
        if item.phase == Held::Running && current.step != Step::Started {
            current.step = Step::Started;
            record.attempts += 1;
        }
        if record.job.payload.is_empty() {
            record.job.payload = item.task.payload.clone();
        }
        let (team, shape) = (record.job.team.clone(), record.job.shape);
        let restartable = record.job.idempotent;
        for (_, mask) in &item.task.ranks {
            self.pool.adopt(id, &team, shape, restartable, (worker, *mask), cx.now);
        }
        if stopping {
            self.send_stop(cx, worker, attempt, Duration::ZERO);
        } else {
            self.advance(cx, attempt);
        }
    }

    /// Takes an attempt of an earlier owner over that has no row because it
    /// needs none. False if it must not go on.
    fn adopt(&mut self, cx: &mut Context, item: &Inventory) -> bool {
        let task = &item.task;
        if !task.idempotent || item.phase == Held::Prepared {
            return false;
        }
        if matches!(&item.phase, Held::Ended(report) if !matches!(report, Report::Done { .. })) {
            return false;
        }
        let key = (task.team.clone(), task.request.clone());
        let id = match self.keys.get(&key) {
            Some(id) if matches!(self.jobs[id].phase, Phase::Queued) => {
                self.pool.withdraw(*id);
                *id
            }
            // It was started anew here, or its outcome is known.
            Some(_) => return false,
            None => self.adopted_record(cx, task),
        };
        let record = self.jobs.get_mut(&id).expect("found or made above");
        if record.job.digest != task.digest {
            return false;
        }
        record.attempts += 1;
        let current = Try::adopted(task, cx.now);
        record.last = Some((task.attempt, current.order.clone()));
        record.phase = Phase::Tried(current);
        self.attempts.insert(task.attempt, id);
        true
    }

    fn adopted_record(&mut self, cx: &Context, task: &Task) -> u64 {
        let id = self.next_job;
        self.next_job += 1;
        let job = Job {
            team: task.team.clone(),
            request: task.request.clone(),
            idempotent: true,
            shape: task.shape,
            urgent: false,
            deadline: task.deadline,
            run: Duration::ZERO,
            payload: task.payload.clone(),
            digest: task.digest.clone(),
            wait: true,
            again: true,
            first: false,
        };
        let record = Record {
            id,
            arrived: cx.now,
            until: cx.now + task.deadline,
            phase: Phase::Queued,
            attempts: 0,
            avoid: Vec::new(),
            stored: None,
            waiters: Vec::new(),
            last: None,
            job,
        };
        self.keys.insert(record.key(), id);
        self.jobs.insert(id, record);
        id
    }

    /// Members that have not been heard since the takeover, or since the
    /// attempt was made, hold nothing any more that can be counted on.
    pub(crate) fn check_unheard(&mut self, cx: &mut Context) {
        let mut gone: Vec<(Attempt, String)> = Vec::new();
        for current in self.jobs.values().filter_map(|record| record.attempt()) {
            let since = current.since.max(self.active_since);
            if cx.now.saturating_sub(since) < cx.settings.worker_lost_after {
                continue;
            }
            for (worker, part) in &current.parts {
                if part.live() && !self.agents.contains_key(worker) {
                    gone.push((current.attempt, worker.clone()));
                }
            }
        }
        for (attempt, worker) in gone {
            let reason = format!("worker {worker} was not heard after a change of owner");
            self.end_part(cx, attempt, &worker, Report::Lost { reason });
        }
    }
}
