use std::collections::BTreeMap;

use quincewheel_schema::v1::{DrainRow, GuaranteeRow, TeamRow};

/// The configuration in force at this process. A row replaces only one of a lower
/// configuration version, so that a late or duplicated message cannot restore an
/// earlier configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    version: u64,
    teams: BTreeMap<String, TeamRow>,
    guarantees: BTreeMap<String, GuaranteeRow>,
    drains: BTreeMap<String, DrainRow>,
}

/// Key prefix of all configuration rows.
pub(crate) const CONFIG_KEY_PREFIX: &str = "conf/";

/// One configuration row, by kind.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Item {
    Team(TeamRow),
    Guarantee(GuaranteeRow),
    Drain(DrainRow),
}

impl Item {
    /// Parses a stored row. Returns `None` for other kinds of keys, such as those of
    /// later releases, and for unreadable values.
    pub fn parse(key: &str, value: &str) -> Option<Item> {
        let (kind, _) = key.strip_prefix(CONFIG_KEY_PREFIX)?.split_once('/')?;
        match kind {
            "team" => serde_json::from_str(value).ok().map(Item::Team),
            "guarantee" => serde_json::from_str(value).ok().map(Item::Guarantee),
            "drain" => serde_json::from_str(value).ok().map(Item::Drain),
            _ => None,
        }
    }

    pub fn key(&self) -> String {
        match self {
            Item::Team(row) => format!("{CONFIG_KEY_PREFIX}team/{}", row.team),
            Item::Guarantee(row) => format!("{CONFIG_KEY_PREFIX}guarantee/{}", row.team),
            Item::Drain(row) => format!("{CONFIG_KEY_PREFIX}drain/{}", row.worker),
        }
    }

    pub fn value(&self) -> String {
        let value = match self {
            Item::Team(row) => serde_json::to_string(row),
            Item::Guarantee(row) => serde_json::to_string(row),
            Item::Drain(row) => serde_json::to_string(row),
        };
        value.expect("rows are plain data")
    }

    pub fn configuration_version(&self) -> u64 {
        match self {
            Item::Team(row) => row.configuration,
            Item::Guarantee(row) => row.configuration,
            Item::Drain(row) => row.configuration,
        }
    }

    /// The row's own version.
    pub fn version(&self) -> u64 {
        match self {
            Item::Team(row) => row.version,
            Item::Guarantee(row) => row.version,
            Item::Drain(row) => row.version,
        }
    }
}

impl Config {
    /// The version in force; 0 before any configuration was received.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The team's row.
    pub fn team(&self, team: &str) -> Option<&TeamRow> {
        self.teams.get(team)
    }

    /// The team's guarantee.
    pub fn guarantee(&self, team: &str) -> Option<&GuaranteeRow> {
        self.guarantees.get(team)
    }

    /// Returns true if an operator drained the worker.
    pub fn is_drained(&self, worker: &str) -> bool {
        self.drains.get(worker).is_some_and(|row| row.drained)
    }

    pub(crate) fn current_version(&self, key: &str) -> u64 {
        let name = key.rsplit('/').next().unwrap_or_default();
        let (kind, _) =
            key.strip_prefix(CONFIG_KEY_PREFIX).and_then(|k| k.split_once('/')).unwrap_or(("", ""));
        match kind {
            "team" => self.teams.get(name).map_or(0, |row| row.version),
            "guarantee" => self.guarantees.get(name).map_or(0, |row| row.version),
            _ => self.drains.get(name).map_or(0, |row| row.version),
        }
    }

    /// Puts a row in force unless a newer one is. Returns true if it did.
    pub(crate) fn apply(&mut self, item: &Item) -> bool {
        let version = item.configuration_version();
        let before = match item {
            Item::Team(row) => self.teams.get(&row.team).map(|old| old.configuration),
            Item::Guarantee(row) => self.guarantees.get(&row.team).map(|old| old.configuration),
            Item::Drain(row) => self.drains.get(&row.worker).map(|old| old.configuration),
        };
        if before.is_some_and(|before| before >= version) {
            return false;
        }
        match item {
            Item::Team(row) => drop(self.teams.insert(row.team.clone(), row.clone())),
            Item::Guarantee(row) => drop(self.guarantees.insert(row.team.clone(), row.clone())),
            Item::Drain(row) => drop(self.drains.insert(row.worker.clone(), row.clone())),
        }
        true
    }

    /// Marks all rows up to `version` as in force. Returns true if the version grew.
    pub(crate) fn advance_to(&mut self, version: u64) -> bool {
        let before = self.version;
        self.version = self.version.max(version);
        self.version != before
    }

    /// All rows, for a process that connects.
    pub(crate) fn rows(&self) -> Vec<(String, String)> {
        let teams = self.teams.values().cloned().map(Item::Team);
        let guarantees = self.guarantees.values().cloned().map(Item::Guarantee);
        let drains = self.drains.values().cloned().map(Item::Drain);
        let all = teams.chain(guarantees).chain(drains);
        all.map(|item| (item.key(), item.value())).collect()
    }

    /// The worker's drain row.
    pub(crate) fn drain_row(&self, worker: &str) -> Option<(String, String)> {
        let item = Item::Drain(self.drains.get(worker)?.clone());
        Some((item.key(), item.value()))
    }

    pub(crate) fn teams(&self) -> impl Iterator<Item = &TeamRow> {
        self.teams.values()
    }

    pub(crate) fn guarantees(&self) -> impl Iterator<Item = &GuaranteeRow> {
        self.guarantees.values()
    }
}
