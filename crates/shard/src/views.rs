//! Operators' calls: changes of the configuration, and views.

use std::time::Duration;

use quincewheel_audit::Kind;
use quincewheel_pool::{Shape, Share};
use quincewheel_schema::v1::{DrainRow, GuaranteeRow, TeamRow};
use quincewheel_wire::{Answer, Ask, Frame, LinkId, Process, Refusal, Team, Worker};

use crate::config::{CONFIG_KEY_PREFIX, Item};
use crate::context::{Context, Waiter};
use crate::ledger::{Tag, Write};
use crate::owner::{Owner, Staged};
use crate::peer::Peer;
use crate::rows;

impl Owner {
    /// Checks a change and queues its write. It takes effect, and is answered, once it
    /// is recorded.
    pub(crate) fn change(&mut self, cx: &mut Context, waiter: Waiter, ask: Ask) {
        if self.is_store_down(cx) {
            cx.unavailable(&waiter, "the table service does not answer; nothing was changed");
            return;
        }
        if let Some(staged) = change_key(&ask).and_then(|key| self.staged.get_mut(&key)) {
            staged.conflicting.push(waiter);
            return;
        }
        let pending = self.staged.values().map(|staged| staged.item.configuration_version());
        let configuration = pending.max().unwrap_or(0).max(cx.config.version()) + 1;
        match self.check_change(cx, ask, configuration) {
            Err(refusal) => cx.refuse(&waiter, refusal),
            Ok(item) => {
                let (key, value) = (item.key(), item.value());
                let tag = Tag::Config(key.clone());
                self.ledger.put(Write { tag, key: key.clone(), value: Some(value) });
                let (conflicting, staged_at) = (Vec::new(), cx.now);
                self.staged.insert(key, Staged { item, waiter, conflicting, staged_at });
            }
        }
    }

    fn check_change(&self, cx: &Context, ask: Ask, configuration: u64) -> Result<Item, Refusal> {
        match ask {
            Ask::PutTeam { team, expected, key_digest, quota } => {
                let version =
                    self.next_version(cx, &format!("{CONFIG_KEY_PREFIX}team/{team}"), expected)?;
                Ok(Item::Team(TeamRow { team, version, key_digest, quota, configuration }))
            }
            Ask::PutGuarantee { team, expected, shares } => {
                if cx.config.team(&team).is_none() {
                    let message = format!("there is no team {team:?}; create it with PutTeam");
                    return Err(Refusal::NotFound { field: "team".to_owned(), message });
                }
                let key = format!("{CONFIG_KEY_PREFIX}guarantee/{team}");
                let version = self.next_version(cx, &key, expected)?;
                self.check_fit(&team, &shares)?;
                let shares = rows::shares_to_row(&shares);
                Ok(Item::Guarantee(GuaranteeRow { team, version, shares, configuration }))
            }
            Ask::PutDrain { worker, expected, drained } => {
                let key = format!("{CONFIG_KEY_PREFIX}drain/{worker}");
                let version = self.next_version(cx, &key, expected)?;
                Ok(Item::Drain(DrainRow { worker, version, drained, configuration }))
            }
            _ => unreachable!("only changes come here"),
        }
    }

    /// Returns the row's version after the change, or a conflict if `expected` is not
    /// the present one.
    fn next_version(&self, cx: &Context, key: &str, expected: u64) -> Result<u64, Refusal> {
        let current = cx.config.current_version(key);
        if expected != current {
            return Err(conflict(current));
        }
        Ok(current + 1)
    }

    fn check_fit(&self, team: &str, shares: &[Share]) -> Result<(), Refusal> {
        if self.staged.values().any(|staged| matches!(staged.item, Item::Guarantee(_))) {
            // Two guarantees that each fit alone may not fit together.
            return Err(Refusal::Unavailable {
                message: "another guarantee is being recorded".to_owned(),
                retry_after: Duration::from_millis(200),
            });
        }
        let Some(unfit) = self.pool.unsatisfiable_share(team, shares) else { return Ok(()) };
        Err(Refusal::Unfit {
            message: format!(
                "the guaranteed shapes do not all fit with the failure reserve: of {} only {} fit \
                 beside the other teams' guarantees and the shares listed before",
                describe(&unfit.shape),
                unfit.count
            ),
        })
    }

    /// Puts a recorded change in force, first here and then at the peers.
    pub(crate) fn on_config_recorded(&mut self, cx: &mut Context, key: &str) {
        let Some(staged) = self.staged.remove(key) else { return };
        let version = staged.item.configuration_version();
        let after = cx.config.version();
        cx.config.apply(&staged.item);
        cx.config.advance_to(version);
        cx.event(Kind::Recorded { version });
        cx.event(Kind::Applied { version });
        match &staged.item {
            Item::Team(row) => self.pool.put_team(&row.team, row.quota),
            Item::Guarantee(row) => {
                self.pool.put_shares(&row.team, rows::shares_from_row(&row.shares));
            }
            Item::Drain(row) => self.refresh_condition(cx, &row.worker),
        }
        self.dirty = true;
        let epoch = self.row.epoch;
        let value = staged.item.value();
        let links: Vec<LinkId> = self.peers.keys().copied().collect();
        for link in links {
            let is_concerned = match (&self.peers[&link], &staged.item) {
                (Peer::Entry { .. }, _) => true,
                (Peer::Agent { worker }, Item::Drain(row)) => row.worker == *worker,
                (Peer::Agent { .. }, _) => false,
            };
            let rows =
                if is_concerned { vec![(key.to_owned(), value.clone())] } else { Vec::new() };
            cx.send(link, Frame::Configure { epoch, after, version, rows });
        }
        let answer = Answer::Changed { version: staged.item.version(), configuration: version };
        cx.answer(&staged.waiter, answer);
        for waiter in &staged.conflicting {
            cx.refuse(waiter, conflict(staged.item.version()));
        }
    }

    /// While the table is down: withdraws changes that are not in flight and answers
    /// the callers of the others that the result is unknown.
    pub(crate) fn abandon_changes(&mut self, cx: &mut Context) {
        let keys: Vec<String> = self.staged.keys().cloned().collect();
        for key in keys {
            if self.ledger.withdraw(&Tag::Config(key.clone())) {
                let Some(staged) = self.staged.remove(&key) else { continue };
                let text = "the table service does not answer; nothing was changed";
                for waiter in staged.conflicting.iter().chain([&staged.waiter]) {
                    cx.unavailable(waiter, text);
                }
                continue;
            }
            let staged = self.staged.get_mut(&key).expect("listed above");
            if cx.now.saturating_sub(staged.staged_at) >= cx.settings.store_down_after {
                let text = "the table service did not answer whether the change is recorded; \
                            read the version before trying again";
                cx.unavailable(&staged.waiter, text);
                for waiter in std::mem::take(&mut staged.conflicting) {
                    cx.unavailable(&waiter, text);
                }
            }
        }
    }

    pub(crate) fn pool_view(&self, cx: &Context) -> Answer {
        let workers = self.pool.workers().map(|worker| Worker {
            worker: worker.worker.to_owned(),
            zone: worker.zone.to_owned(),
            rack: worker.rack.to_owned(),
            accelerators: worker.accelerators,
            free: worker.free,
            condition: worker.condition.name().to_owned(),
            tasks: worker.tasks,
        });
        let teams = self.pool.teams().into_iter().map(|team| Team {
            team: team.team.to_owned(),
            version: cx.config.team(team.team).map_or(0, |row| row.version),
            quota: team.quota,
            guarantee_version: cx.config.guarantee(team.team).map_or(0, |row| row.version),
            shares: team.shares.to_vec(),
            held: team.held,
            queued: team.queued,
            fits: team.guarantee_fits,
        });
        Answer::Pool {
            epoch: self.row.epoch,
            owner: self.row.holder.clone(),
            store: !self.is_store_down(cx),
            workers: workers.collect(),
            teams: teams.collect(),
        }
    }

    pub(crate) fn configuration_view(&self, cx: &Context) -> Answer {
        let own = cx.config.version();
        let mut processes =
            vec![Process { name: cx.settings.name.clone(), configuration: own, entry: true }];
        for peer in self.peers.values() {
            processes.push(match peer {
                Peer::Entry { name, config_tracker, .. } => Process {
                    name: name.clone(),
                    configuration: config_tracker.version,
                    entry: true,
                },
                Peer::Agent { worker } => Process {
                    name: worker.clone(),
                    configuration: self
                        .agents
                        .get(worker)
                        .map_or(0, |agent| agent.config_tracker.version),
                    entry: false,
                },
            });
        }
        processes.sort();
        Answer::Configuration { recorded: cx.config.version(), processes }
    }
}

/// Returns the key of the row that a call changes.
fn change_key(ask: &Ask) -> Option<String> {
    match ask {
        Ask::PutTeam { team, .. } => Some(format!("{CONFIG_KEY_PREFIX}team/{team}")),
        Ask::PutGuarantee { team, .. } => Some(format!("{CONFIG_KEY_PREFIX}guarantee/{team}")),
        Ask::PutDrain { worker, .. } => Some(format!("{CONFIG_KEY_PREFIX}drain/{worker}")),
        _ => None,
    }
}

fn conflict(current: u64) -> Refusal {
    Refusal::Conflict {
        field: "expected_version".to_owned(),
        message: format!("the version in force is {current}; read it and decide anew"),
        current,
    }
}

fn describe(shape: &Shape) -> String {
    format!(
        "{} task(s) with {} adjacent accelerator(s) each, adjacency {:?}",
        shape.tasks,
        shape.cell_size(),
        shape.adjacency
    )
}
