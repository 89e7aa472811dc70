//! Claims, records and hand-overs, as `site/ownership.rs`, `record.rs` and `handover.rs` of the
//! entry perform them.

use quincewheel_dispatch::Owner;
use quincewheel_dispatch::rows::{self, OWNER_KEY, Ownership};
use quincewheel_store::{Change, Changes, Commit, Expect, Put};

use super::entry::{Claim, ClaimPhase, Write};
use super::link::ToPeer;
use super::table::{Reply, Request};
use super::{Course, entry_number};

const CLAIM_TIMEOUT_MS: u64 = 1200;
const COMMIT_TIMEOUT_MS: u64 = 700;
const CALL_TIMEOUT_MS: u64 = 1000;
const PAGE_TIMEOUT_MS: u64 = 1500;
const RETRY_DELAY_MS: u64 = 200;
const RENEWAL_INTERVAL_MS: u64 = 500;
const BATCH_DELAY_MS: u64 = 20;
const CATCH_UP_LIMIT_MS: u64 = 300;
/// After a write without a reply for this long the owner knows whether it is cut off: a delay of
/// 350 ms, and a probe of 400 ms.
const CUT_OFF_DETECTION_MS: u64 = 750;

impl Course {
    pub(super) fn claim_if_due(&mut self, number: usize) {
        let now = self.now;
        retry_read_all(self, number);
        let entry = &mut self.entries[number];
        let eligible = entry.owner.is_none() && entry.claim.is_none() && !entry.closing;
        if !eligible || entry.rows_updated_at == 0 || now < entry.claim_retry_at {
            return;
        }
        entry.election.set_rank(entry.mirror.candidate_rank(&entry.name));
        let row = entry.mirror.owner.clone();
        if !entry.election.should_claim(row.as_ref(), entry.rows_updated_at, now, false) {
            return;
        }
        let grants_ended = row.as_ref().is_none_or(|(owner, _)| owner.grants_ended(&entry.name));
        let (epoch, version) = row.map_or((0, 0), |(owner, version)| (owner.epoch, version));
        let mine = Ownership {
            holder: entry.name.clone(),
            incarnation: entry.incarnation,
            epoch: epoch + 1,
            sequence: 0,
            settled: false,
        };
        let commit = owner_commit(&mine, version);
        let call = self.call(number, Request::Commit(commit), CLAIM_TIMEOUT_MS);
        let phase = ClaimPhase::Commit;
        self.entries[number].claim = Some(Claim { sent_at: now, mine, grants_ended, call, phase });
    }

    pub(super) fn on_claim_reply(&mut self, number: usize, reply: Reply) {
        let now = self.now;
        let Some(claim) = self.entries[number].claim.as_mut() else { return };
        match (&claim.phase, reply) {
            (ClaimPhase::Commit, Reply::Committed(version)) => {
                claim.phase = ClaimPhase::CatchUp { version, since: now };
                self.catch_up(number);
            }
            (ClaimPhase::Commit, _) => {
                self.entries[number].claim = None;
                self.entries[number].claim_retry_at = now + RETRY_DELAY_MS;
            }
            (ClaimPhase::CatchUp { .. }, Reply::Rows(changes)) => {
                self.apply(number, &changes, false);
                self.catch_up(number);
            }
            (&ClaimPhase::CatchUp { version, .. }, _) => self.read_all_after_claim(number, version),
            (&ClaimPhase::ReadAll { version, .. }, Reply::Rows(all)) => {
                self.finish_read_all(number, version, &all);
            }
            (&ClaimPhase::ReadAll { version, .. }, _) => {
                claim.call = 0;
                let retry_at = Some(now + RETRY_DELAY_MS);
                claim.phase = ClaimPhase::ReadAll { version, retry_at };
                if now > claim.sent_at + 2 * RENEWAL_INTERVAL_MS {
                    self.entries[number].claim = None;
                }
            }
        }
    }

    fn catch_up(&mut self, number: usize) {
        let now = self.now;
        let after = self.entries[number].mirror.version;
        let Some(claim) = &self.entries[number].claim else { return };
        let ClaimPhase::CatchUp { version, since } = claim.phase else { return };
        if after >= version {
            return self.finish_claim(number, version, after);
        }
        if after == 0 || now > since + CATCH_UP_LIMIT_MS {
            return self.read_all_after_claim(number, version);
        }
        let call = self.call(number, Request::Changes { after, hold: false }, CALL_TIMEOUT_MS);
        if let Some(claim) = self.entries[number].claim.as_mut() {
            claim.call = call;
        }
    }

    fn read_all_after_claim(&mut self, number: usize, version: u64) {
        let call = self.call(number, Request::ReadAll, PAGE_TIMEOUT_MS);
        if let Some(claim) = self.entries[number].claim.as_mut() {
            claim.call = call;
            claim.phase = ClaimPhase::ReadAll { version, retry_at: None };
        }
    }

    fn finish_read_all(&mut self, number: usize, version: u64, all: &Changes) {
        for change in &all.rows {
            self.entries[number].mirror.apply(change);
        }
        self.finish_claim(number, version, all.version);
    }

    /// Sets up the owner once the rows as of the claim are known.
    fn finish_claim(&mut self, number: usize, claimed: u64, read: u64) {
        let (now, settings) = (self.now, self.settings);
        let entry = &mut self.entries[number];
        let Some(claim) = entry.claim.take() else { return };
        let mut owner = Owner::new(settings, claim.mine.epoch, claimed, now);
        if claim.grants_ended {
            owner.predecessor_ended();
        }
        for (name, _) in entry.mirror.nodes.iter().filter(|(_, node)| !node.entry) {
            owner.add_agent(name, now);
        }
        owner.set_earlier_claims(&entry.mirror.epoch_claims);
        owner.restore_learned(&entry.mirror.learned);
        for (id, view) in &entry.mirror.jobs {
            if let Some((job, version)) = &view.job {
                owner.add_job(id, job.clone(), *version, view.progress());
                view.checkpoints.values().for_each(|part| owner.restore_checkpoints(id, part));
            }
        }
        owner.jobs_loaded(read);
        let epoch = claim.mine.epoch;
        entry.ownership = Some((claim.mine, claimed));
        entry.owner = Some(owner);
        entry.dials.clear();
        entry.last_write_at = 0;
        self.log(format!("e{number} took over, epoch {epoch}, claim {claimed}, rows {read}"));
        self.check_deposed(number);
    }

    pub(super) fn check_deposed(&mut self, number: usize) {
        let entry = &self.entries[number];
        let mine = entry.ownership.as_ref().map(|(mine, _)| mine.epoch);
        let seen = entry.mirror.owner.as_ref().map(|(owner, _)| owner.epoch);
        if let (Some(mine), Some(seen)) = (mine, seen)
            && seen > mine
        {
            self.depose(number, &format!("epoch {seen} is in force"));
        }
    }

    pub(super) fn depose(&mut self, number: usize, reason: &str) {
        let entry = &mut self.entries[number];
        let Some(owner) = entry.owner.take() else { return };
        entry.ownership = None;
        entry.unconfirmed.clear();
        let entries = std::mem::take(&mut entry.entry_links);
        self.log(format!("e{number} deposed, epoch {}: {reason}", owner.epoch()));
        for link in owner.links().into_iter().chain(entries.into_values()) {
            self.close_by_owner(link);
        }
    }

    pub(super) fn record_if_due(&mut self, number: usize) {
        let now = self.now;
        if self.entries[number].write.is_some() {
            return self.continue_write(number);
        }
        let entry = &mut self.entries[number];
        let Some(owner) = entry.owner.as_mut() else { return };
        let due = !entry.unconfirmed.is_empty()
            || owner.needs_confirmation()
            || owner.has_urgent_changes()
            || (owner.has_unrecorded() && now >= entry.last_write_at + BATCH_DELAY_MS)
            || now >= entry.last_write_at + RENEWAL_INTERVAL_MS;
        if !due {
            return;
        }
        entry.last_write_at = now;
        let batch = owner.next_batch().unwrap_or_default();
        let Some((mut mine, version)) = entry.ownership.clone() else { return };
        mine.sequence += 1;
        mine.settled = owner.is_settled();
        let mut commit = owner_commit(&mine, version);
        commit.delete.extend(batch.departed.iter().map(|name| rows::node_key(name)));
        commit.put.extend(batch.rows.iter().cloned());
        let (call, sent_at, retry_at) = (None, now, now);
        entry.write = Some(Write { batch, mine, commit, sent_at, call, retry_at, checked: false });
        self.continue_write(number);
    }

    /// Sends a write that is due, and hands over if the table answers other entries only.
    fn continue_write(&mut self, number: usize) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let Some(write) = entry.write.as_mut() else { return };
        if write.call.is_some() {
            let overdue = !write.checked && now >= write.sent_at + CUT_OFF_DETECTION_MS;
            if overdue {
                write.checked = true;
                self.hand_over_if_cut_off(number);
            }
            return;
        }
        if entry.owner.is_none() {
            entry.write = None;
            return;
        }
        if now < write.retry_at {
            return;
        }
        let commit = write.commit.clone();
        let call = self.call(number, Request::Commit(commit), COMMIT_TIMEOUT_MS);
        if let Some(write) = self.entries[number].write.as_mut() {
            write.call = Some(call);
            write.sent_at = now;
        }
    }

    pub(super) fn on_write_reply(&mut self, number: usize, reply: Reply) {
        let now = self.now;
        let entry = &mut self.entries[number];
        let Some(write) = entry.write.as_mut() else { return };
        write.call = None;
        write.retry_at = now + RETRY_DELAY_MS;
        match reply {
            Reply::Committed(version) => {
                let Some(write) = entry.write.take() else { return };
                let owner = entry.owner.as_mut();
                if let Some(owner) = owner.filter(|owner| owner.epoch() == write.mine.epoch) {
                    owner.renew_ownership(write.sent_at);
                }
                self.on_written(number, &write, version);
            }
            Reply::Conflict => {
                let call = self.call(number, Request::ReadOwner, COMMIT_TIMEOUT_MS);
                if let Some(write) = self.entries[number].write.as_mut() {
                    write.call = Some(call);
                }
            }
            Reply::Rows(all) => {
                let found = owner_row(&all).unwrap_or_default();
                if found.0 == write.mine {
                    let Some(write) = entry.write.take() else { return };
                    return self.on_written(number, &write, found.1);
                }
                entry.write = None;
                self.depose(number, &format!("epoch {} is in force", found.0.epoch));
            }
            _ => {
                if !write.checked {
                    self.hand_over_if_cut_off(number);
                }
            }
        }
    }

    fn on_written(&mut self, number: usize, write: &Write, version: u64) {
        let entry = &mut self.entries[number];
        let Some(owner) = entry.owner.as_mut() else { return };
        if owner.epoch() != write.mine.epoch {
            return;
        }
        entry.ownership = Some((write.mine.clone(), version));
        owner.confirm_ownership(write.sent_at);
        owner.on_recorded(&write.batch, true);
        for name in write.batch.departed.iter().filter(|name| owner.is_dismissed(name)) {
            entry.mirror.remove_node(name, version);
        }
        for (id, progress) in &write.batch.jobs {
            if let Some(view) = entry.mirror.jobs.get_mut(id) {
                view.update_progress(progress.clone(), version);
            }
        }
        for id in entry.unconfirmed.confirm(version) {
            self.add_job(number, &id);
        }
        self.tick_owner(number);
    }

    /// Whether the table would answer the entry now.
    fn reaches_table(&self, number: usize) -> bool {
        let trouble = &self.troubles[number];
        self.now >= trouble.cut_until.max(trouble.refuses_until).max(self.silent_until)
    }

    fn hand_over_if_cut_off(&mut self, number: usize) {
        if self.reaches_table(number) {
            return;
        }
        let now = self.now;
        let entry = &self.entries[number];
        let reaches = |name: &String| {
            let other = entry_number(name);
            self.entries[other].is_up(now)
                && !self.is_cut(number, name)
                && self.reaches_table(other)
        };
        let Some(link) = entry.entry_links.iter().find(|(name, _)| reaches(name)) else { return };
        let link = *link.1;
        let Some((mine, version)) = entry.ownership.clone() else { return };
        let value = serde_json::to_string(&vacated(mine)).expect("rows are plain data");
        if let Some(link) = self.links.iter_mut().find(|known| known.id == link) {
            link.send_to_peer(ToPeer::HandOver { value, version }, now + 3);
        }
        self.depose(number, "the table answers other entries only");
    }

    /// Shuts an entry's process down: it hands over, and ends.
    pub fn shut_down(&mut self, number: usize) {
        self.entries[number].closing = true;
        let Some((mine, version)) = self.entries[number].ownership.clone() else { return };
        self.depose(number, "shutting down");
        let commit = owner_commit(&vacated(mine), version);
        self.call(number, Request::Commit(commit), CLAIM_TIMEOUT_MS);
    }

    /// Writes, on behalf of the previous owner, that there is no owner.
    pub(super) fn on_hand_over(&mut self, number: usize, value: &str, version: u64) {
        let Ok(mine) = serde_json::from_str::<Ownership>(value) else { return };
        let row = self.entries[number].mirror.owner.clone();
        let current = row.filter(|(owner, _)| owner.epoch == mine.epoch);
        let version = current.map_or(version, |(_, latest)| latest.max(version));
        let commit = owner_commit(&vacated(mine), version);
        let call = self.call(number, Request::Commit(commit.clone()), CLAIM_TIMEOUT_MS);
        self.hand_overs.insert(call, commit);
    }

    pub(super) fn claim_next(&mut self, number: usize, commit: &Commit, version: u64) {
        let entry = &mut self.entries[number];
        for row in &commit.put {
            let value = Some(row.value.clone());
            entry.mirror.apply(&Change { key: row.key.clone(), version, value });
        }
        entry.election.on_handover(version);
    }
}

fn retry_read_all(course: &mut Course, number: usize) {
    let Some(claim) = &course.entries[number].claim else { return };
    if let ClaimPhase::ReadAll { version, retry_at: Some(at) } = claim.phase
        && course.now >= at
    {
        course.read_all_after_claim(number, version);
    }
}

fn vacated(mut mine: Ownership) -> Ownership {
    mine.holder = String::new();
    mine.sequence += 1;
    mine
}

fn owner_commit(mine: &Ownership, version: u64) -> Commit {
    let value = serde_json::to_string(mine).expect("rows are plain data");
    Commit {
        expect: vec![Expect { key: OWNER_KEY.to_owned(), version }],
        put: vec![Put { key: OWNER_KEY.to_owned(), value }],
        delete: Vec::new(),
    }
}

fn owner_row(all: &Changes) -> Option<(Ownership, u64)> {
    let row = all.rows.iter().find(|row| row.key == OWNER_KEY)?;
    let owner = serde_json::from_str(row.value.as_ref()?).ok()?;
    Some((owner, row.version))
}
