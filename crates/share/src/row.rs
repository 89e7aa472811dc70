use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::usage::{MIN_USAGE, Usage};

/// The row in which usage outlives an owner.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub(crate) struct Row {
    /// Time of day up to which usage is counted, in milliseconds since 1970.
    at: u64,
    /// Usage by pool and team, in thousandths of the pool.
    pools: BTreeMap<String, BTreeMap<String, u64>>,
}

/// Longest row, in bytes. A row may have 64 KiB; names are counted without escapes.
const MAX_ROW_BYTES: usize = 48 * 1024;
/// Bytes that an entry takes besides its name: quotes, colon, comma and up to four digits.
const ENTRY_BYTES: usize = 8;
/// Highest usage that is read, in thousandths. Usage is at most the whole pool.
const MAX_USAGE: u64 = 1000;

impl From<Usage> for Row {
    /// Leaves out usage that changes no level, and the lowest where the row would be too long.
    fn from(usage: Usage) -> Row {
        let mut entries = Vec::new();
        for (pool, teams) in usage.pools {
            let teams = teams.into_iter().filter(|(_, usage)| *usage >= MIN_USAGE);
            entries.extend(teams.map(|(team, usage)| (usage, pool.clone(), team)));
        }
        entries.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut row = Row { at: usage.counted_until, ..Row::default() };
        let mut bytes = 0;
        for (usage, pool, team) in entries {
            let pool_bytes =
                if row.pools.contains_key(&pool) { 0 } else { pool.len() + ENTRY_BYTES };
            bytes += pool_bytes + team.len() + ENTRY_BYTES;
            if bytes > MAX_ROW_BYTES {
                break;
            }
            row.pools.entry(pool).or_default().insert(team, (usage * 1000.0).round() as u64);
        }
        row
    }
}

impl From<Row> for Usage {
    fn from(row: Row) -> Usage {
        let usage = |thousandths: u64| thousandths.min(MAX_USAGE) as f64 / 1000.0;
        let teams = |teams: BTreeMap<String, u64>| {
            teams.into_iter().map(|(team, thousandths)| (team, usage(thousandths))).collect()
        };
        let pools = row.pools.into_iter().map(|(pool, by_team)| (pool, teams(by_team)));
        Usage { counted_until: row.at, pools: pools.collect() }
    }
}
