//! Recovery of a new owner: first from the stored rows, then from the agents'
//! inventories.

use std::time::Duration;

use quincewheel_schema::v1::JobRow;
use quincewheel_store::{Error, Op, Read, Reply, Row};
use quincewheel_wire::{
    Attempt, Frame, Inventory, Job, LinkId, Member, Outcome, Phase as HeldPhase,
};
use quincewheel_wire::{Report, Task};

use crate::config::{self, Item};
use crate::context::Context;
use crate::owner::Owner;
use crate::peer::{Agent, ConfigTracker, Peer};
use crate::record::{AttemptState, MemberState, Phase, Record, RowState, Step};
use crate::rows;

/// Progress of reading the stored rows.
pub(crate) struct Load {
    /// Prefixes still to read, the current one last.
    prefixes: Vec<&'static str>,
    after: String,
    read_id: Option<u64>,
    read_at: Duration,
    version: u64,
}

/// Rows per read.
const PAGE_ROWS: usize = 1000;
/// Delay after a failed read, so that owners do not flood a table that recovers.
const READ_RETRY_DELAY: Duration = Duration::from_millis(500);

impl Load {
    pub fn new() -> Load {
        Load {
            prefixes: vec![rows::JOB_KEY_PREFIX, config::CONFIG_KEY_PREFIX],
            after: String::new(),
            read_id: None,
            read_at: Duration::ZERO,
            version: 0,
        }
    }

    pub fn is_finished(&self) -> bool {
        self.prefixes.is_empty()
    }
}

impl Owner {
    pub(crate) fn read_next_page(&mut self, cx: &mut Context) {
        let Some(prefix) = self.load.prefixes.last() else { return };
        let read =
            Read { prefix: (*prefix).to_owned(), after: self.load.after.clone(), limit: PAGE_ROWS };
        self.load.read_id = Some(cx.store(Op::Read(read)));
        self.load.read_at = cx.now;
    }

    pub(crate) fn tick_load(&mut self, cx: &mut Context) {
        let waited = cx.now.saturating_sub(self.load.read_at);
        let timed_out = self.load.read_id.is_some() && waited >= Duration::from_secs(4);
        let due = self.load.read_id.is_none() && waited >= READ_RETRY_DELAY;
        if !self.load.is_finished() && (timed_out || due) {
            self.read_next_page(cx);
        }
    }

    /// Handles the reply to a read of rows. Returns false if the reply belongs to
    /// another call.
    pub(crate) fn on_load_reply(
        &mut self,
        cx: &mut Context,
        id: u64,
        result: &Result<Reply, Error>,
    ) -> bool {
        if self.load.is_finished() || self.load.read_id != Some(id) {
            return false;
        }
        self.load.read_id = None;
        self.load.read_at = cx.now;
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
        if self.load.is_finished() {
            self.activate(cx)
        } else {
            self.read_next_page(cx)
        }
        true
    }

    fn load_row(&mut self, cx: &mut Context, row: &Row) {
        if let Some(item) = Item::parse(&row.key, &row.value) {
            self.load.version = self.load.version.max(item.configuration_version());
            cx.config.apply(&item);
        } else if row.key.starts_with(rows::JOB_KEY_PREFIX) {
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
        let id = self.next_job_id;
        self.next_job_id += 1;
        let attempt = Attempt(row.attempt);
        let (phase, row_state) = match outcome {
            Outcome::Queued => (Phase::Queued, RowState::Queued),
            Outcome::Started => {
                let workers_by_rank = row.members.clone();
                let current = AttemptState::new(attempt, Step::Started, cx.now, workers_by_rank);
                (Phase::Attempted(current), RowState::Started)
            }
            outcome => (
                Phase::Final { outcome, ended_at: cx.now, recorded: true, reportable: true },
                RowState::Final,
            ),
        };
        if row.attempt != 0 {
            self.jobs_by_attempt.insert(attempt, id);
        }
        // Whether Go was sent is not known, so the start counts as an attempt.
        let started = u32::from(row_state == RowState::Started);
        let record = Record {
            id,
            arrived_at: cx.now,
            expires_at: cx.now + job.deadline,
            phase,
            attempts: row.attempts + started,
            avoided_workers: Vec::new(),
            row_state: Some(row_state),
            waiters: Vec::new(),
            last_attempt: (row.attempt != 0).then(|| (attempt, row.members.clone())),
            job,
        };
        self.jobs_by_request.insert(record.key(), id);
        self.jobs.insert(id, record);
    }

    /// Starts deciding: all rows have been read.
    fn activate(&mut self, cx: &mut Context) {
        self.activated_at = cx.now;
        let version = self.load.version;
        cx.event(quincewheel_audit::Kind::Recorded { version });
        if cx.config.advance_to(version) {
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
            self.send_configuration(cx, link);
        }
        self.dirty = true;
    }

    /// Handles an agent's description of itself and its inventory.
    pub(crate) fn on_announced(
        &mut self,
        cx: &mut Context,
        link: LinkId,
        member: Member,
        latest: Attempt,
        inventory: Vec<Inventory>,
    ) {
        let worker = member.worker.clone();
        let is_new_link = self.link_of(&worker) != Some(link);
        if is_new_link {
            self.replace_link(cx, link, &worker);
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
            last_seen: cx.now,
            config_tracker: ConfigTracker::default(),
            backoff_until: before.map_or(Duration::ZERO, |agent| agent.backoff_until),
            quarantined_at: before.and_then(|agent| agent.quarantined_at),
            member,
        };
        self.agents.insert(worker.clone(), agent);
        self.refresh_condition(cx, &worker);
        let held_attempts: Vec<Attempt> = inventory.iter().map(|item| item.task.attempt).collect();
        for item in inventory {
            self.reconcile(cx, link, &worker, item);
        }
        for attempt in self.live_attempts(&worker) {
            // On a connection that already existed, the announcement may be older than a later
            // attempt's Prepare and Go.
            let is_current = is_new_link || attempt <= latest;
            if is_current && !held_attempts.contains(&attempt) {
                let reason = format!("worker {worker} came back without it");
                self.record_member_end(cx, attempt, &worker, Report::Lost { reason });
            }
        }
        if is_new_link {
            self.send_configuration(cx, link);
        }
        self.dirty = true;
    }

    /// Registers an agent's new connection and closes an older one.
    fn replace_link(&mut self, cx: &mut Context, link: LinkId, worker: &str) {
        if let Some(old) = self.link_of(worker) {
            self.peers.remove(&old);
            cx.close(old, "replaced by a newer connection");
        }
        self.peers.insert(link, Peer::Agent { worker: worker.to_owned() });
    }

    /// Reconciles one attempt in an agent's inventory with the owner's records.
    fn reconcile(&mut self, cx: &mut Context, link: LinkId, worker: &str, item: Inventory) {
        let attempt = item.task.attempt;
        if !self.jobs_by_attempt.contains_key(&attempt) && !self.adopt(cx, &item) {
            match item.phase {
                HeldPhase::Ended(_) => {
                    cx.send(link, Frame::Forget { epoch: self.row.epoch, attempt });
                }
                _ => self.send_stop(cx, worker, attempt, Duration::ZERO),
            }
            return;
        }
        let id = self.jobs_by_attempt[&attempt];
        let record = self.jobs.get_mut(&id).expect("attempts name records");
        let Some(current) = record.attempt_mut().filter(|t| t.attempt == attempt) else {
            match item.phase {
                HeldPhase::Ended(report) => self.on_ended(cx, link, attempt, report),
                _ => self.send_stop(cx, worker, attempt, Duration::ZERO),
            }
            return;
        };
        let is_stopping = current.stop_reason.is_some();
        let state = current.members.entry(worker.to_owned()).or_insert(MemberState::Unknown);
        if let HeldPhase::Ended(report) = item.phase {
            self.record_member_end(cx, attempt, worker, report);
            return;
        }
        *state = if item.phase == HeldPhase::Running {
            MemberState::Running
        } else {
            MemberState::Prepared
        };
        if item.phase == HeldPhase::Running && current.step != Step::Started {
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
        if is_stopping {
            self.send_stop(cx, worker, attempt, Duration::ZERO);
        } else {
            self.advance(cx, attempt);
        }
    }

    /// Adopts an attempt of an earlier owner that has no row because its job needs
    /// none. Returns false if the attempt must not go on.
    fn adopt(&mut self, cx: &mut Context, item: &Inventory) -> bool {
        let task = &item.task;
        if !task.idempotent || item.phase == HeldPhase::Prepared {
            return false;
        }
        if matches!(&item.phase, HeldPhase::Ended(report) if !matches!(report, Report::Done { .. }))
        {
            return false;
        }
        let key = (task.team.clone(), task.request.clone());
        let id = match self.jobs_by_request.get(&key) {
            Some(id) if matches!(self.jobs[id].phase, Phase::Queued) => {
                self.pool.withdraw(*id);
                *id
            }
            // The job was started again here, or its outcome is known.
            Some(_) => return false,
            None => self.add_adopted_job(cx, task),
        };
        let record = self.jobs.get_mut(&id).expect("found or made above");
        if record.job.digest != task.digest {
            return false;
        }
        record.attempts += 1;
        let current = AttemptState::adopted(task, cx.now);
        record.last_attempt = Some((task.attempt, current.workers_by_rank.clone()));
        record.phase = Phase::Attempted(current);
        self.jobs_by_attempt.insert(task.attempt, id);
        true
    }

    fn add_adopted_job(&mut self, cx: &Context, task: &Task) -> u64 {
        let id = self.next_job_id;
        self.next_job_id += 1;
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
            arrived_at: cx.now,
            expires_at: cx.now + task.deadline,
            phase: Phase::Queued,
            attempts: 0,
            avoided_workers: Vec::new(),
            row_state: None,
            waiters: Vec::new(),
            last_attempt: None,
            job,
        };
        self.jobs_by_request.insert(record.key(), id);
        self.jobs.insert(id, record);
        id
    }

    /// Ends the parts of members that have not connected for `worker_lost_after` since
    /// the takeover, or since the attempt was created: they count as lost.
    pub(crate) fn check_unreachable_members(&mut self, cx: &mut Context) {
        let mut lost: Vec<(Attempt, String)> = Vec::new();
        for current in self.jobs.values().filter_map(|record| record.attempt()) {
            let unreachable_since = current.updated_at.max(self.activated_at);
            if cx.now.saturating_sub(unreachable_since) < cx.settings.worker_lost_after {
                continue;
            }
            for (worker, state) in &current.members {
                if state.is_live() && !self.agents.contains_key(worker) {
                    lost.push((current.attempt, worker.clone()));
                }
            }
        }
        for (attempt, worker) in lost {
            let reason = format!("worker {worker} was not heard after a change of owner");
            self.record_member_end(cx, attempt, &worker, Report::Lost { reason });
        }
    }
}
