//! A stand-in for the platform's table and its protocol, with fault injection.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use quincewheel_http::{Body, Reply, Request, Server};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::net::Net;

/// A fault of the table.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TableFault {
    #[default]
    None,
    /// Refuses every call.
    Refusing,
    /// Replies to no call, and performs none.
    Unresponsive,
    /// Takes this many milliseconds for each call.
    Slow(u64),
    /// Performs writes and loses every other reply.
    RepliesLost,
    /// Loses every other reply and performs that write a second later.
    RepliesLostWritesDelayed,
}

/// Rows, and the changes to them.
#[derive(Default)]
pub struct Table {
    /// By table, part and key.
    rows: BTreeMap<(String, String, String), (u64, String)>,
    changes: VecDeque<(u64, String, String, Option<String>)>,
    version: u64,
    /// Changes up to this version are compacted.
    forgotten: u64,
    pub fault: TableFault,
    writes: u64,
    /// Transactions that were refused as not allowed.
    pub refused: u64,
    /// Replaces addresses in rows that are read by those of proxies.
    net: Option<Net>,
}

#[derive(Deserialize)]
struct NamedRow {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
    #[serde(default)]
    ver: u64,
    #[serde(default)]
    value: String,
}

#[derive(Deserialize)]
struct Transaction {
    #[serde(default)]
    expected: Vec<NamedRow>,
    #[serde(default, rename = "setKeys")]
    set: Vec<NamedRow>,
    #[serde(default)]
    delete: Vec<NamedRow>,
    #[serde(default)]
    across: bool,
}

impl Transaction {
    /// Returns whether the platform's table would take it: its rows are in one part, or it is marked as
    /// crossing parts, and neither a row nor the whole is too large.
    fn is_allowed(&self, bytes: usize) -> bool {
        let entries = self.expected.len() + self.set.len() + self.delete.len();
        let row_bytes =
            |row: &NamedRow| STANDARD.decode(&row.value).map_or(usize::MAX, |v| v.len());
        let fits = bytes <= MAX_TRANSACTION_BYTES
            && entries <= MAX_TRANSACTION_ENTRIES
            && self.set.iter().all(|row| row_bytes(row) <= MAX_ROW_BYTES);
        fits && self.is_in_one_part()
    }

    fn is_in_one_part(&self) -> bool {
        let mut named = self.expected.iter().chain(&self.set).chain(&self.delete);
        let first = named.next().map(|named| named.part.as_str());
        self.across || named.all(|named| Some(named.part.as_str()) == first)
    }
}

/// Maximum number of rows in one reply.
const MAX_PAGE_ROWS: usize = 500;
/// Maximum size of the values in one reply, in bytes; one row is always returned.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Maximum size of a row's value, in bytes.
const MAX_ROW_BYTES: usize = 65_536;
/// Maximum number of rows that a transaction names.
const MAX_TRANSACTION_ENTRIES: usize = 100;
/// Maximum size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// Maximum number of changes in the history.
const MAX_CHANGES: usize = 20_000;
/// How often a call that waits for a change checks for one.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a call without a reply is held open.
const HOLD_TIME: Duration = Duration::from_secs(20);

impl Table {
    pub fn open(net: Net) -> Table {
        Table { net: Some(net), ..Table::default() }
    }

    /// Writes a row as an operator.
    pub fn put(&mut self, table: &str, key: &str, value: &str) {
        self.version += 1;
        self.set((table, "", key), Some(STANDARD.encode(value)));
    }

    /// Deletes a row as an operator.
    pub fn remove(&mut self, table: &str, key: &str) {
        self.version += 1;
        self.set((table, "", key), None);
    }

    /// Returns the value of a row in the main part of a table.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let (_, value) = self.rows.get(&(table.to_owned(), String::new(), key.to_owned()))?;
        String::from_utf8(STANDARD.decode(value).ok()?).ok()
    }

    /// Drops the history of changes.
    pub fn compact(&mut self) {
        self.changes.clear();
        self.forgotten = self.version;
    }

    fn set(&mut self, (table, part, key): (&str, &str, &str), value: Option<String>) {
        let row = (table.to_owned(), part.to_owned(), key.to_owned());
        let version = self.version;
        match &value {
            Some(value) => _ = self.rows.insert(row, (version, value.clone())),
            None => _ = self.rows.remove(&row),
        }
        self.changes.push_back((version, table.to_owned(), key.to_owned(), value));
        if self.changes.len() > MAX_CHANGES
            && let Some((version, ..)) = self.changes.pop_front()
        {
            self.forgotten = version;
        }
    }

    fn commit(&mut self, transaction: &Transaction, bytes: usize) -> (u16, Value) {
        let holds = |named: &NamedRow| {
            let row = self.rows.get(&(named.table.clone(), named.part.clone(), named.key.clone()));
            row.map_or(0, |(version, _)| *version) == named.ver
        };
        if !transaction.is_allowed(bytes) {
            self.refused += 1;
            return (400, json!({}));
        }
        if !transaction.expected.iter().all(holds) {
            return (412, json!({ "rows": [], "ver": self.version }));
        }
        self.version += 1;
        for named in &transaction.set {
            self.set((&named.table, &named.part, &named.key), Some(named.value.clone()));
        }
        for named in &transaction.delete {
            self.set((&named.table, &named.part, &named.key), None);
        }
        (200, json!({ "ver": self.version, "nowMs": 0 }))
    }

    fn read(&self, query: &BTreeMap<String, String>) -> Value {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let (from, to) = (text("from"), text("to"));
        let limit = query.get("limit").and_then(|text| text.parse().ok());
        let limit = limit.unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
        let mut bytes = 0;
        let inside = |key: &str| key >= from.as_str() && (to.is_empty() || key < to.as_str());
        let mut found: Vec<Value> = self
            .rows
            .iter()
            .filter(|((known, within, key), _)| *known == table && *within == part && inside(key))
            .take(limit + 1)
            .take_while(|((_, _, key), (_, value))| {
                let first = bytes == 0;
                bytes += key.len() + value.len();
                first || bytes <= MAX_PAGE_BYTES
            })
            .map(|((_, _, key), (version, value))| self.row(key, *version, Some(value)))
            .collect();
        let more = found.len() > limit || bytes > MAX_PAGE_BYTES;
        found.truncate(limit);
        json!({ "rows": found, "hasMore": more, "ver": self.version, "nowMs": 0 })
    }

    fn row(&self, key: &str, version: u64, value: Option<&String>) -> Value {
        let Some(value) = value else {
            return json!({ "key": key, "ver": version, "deleted": true });
        };
        let plain = STANDARD.decode(value).ok().and_then(|bytes| String::from_utf8(bytes).ok());
        let value_read = match (plain, self.net) {
            (Some(text), Some(net)) if key.starts_with("node/") => {
                STANDARD.encode(net.proxied(&text))
            }
            _ => value.clone(),
        };
        json!({ "key": key, "ver": version, "value": value_read })
    }

    /// Returns the changes after a version; `None` if they are compacted.
    fn feed(&self, table: &str, after: u64) -> Option<Vec<Value>> {
        if after < self.forgotten {
            return None;
        }
        let first = self.changes.partition_point(|(version, ..)| *version <= after);
        let new = self.changes.range(first..).filter(|(_, known, ..)| known == table);
        Some(new.map(|(version, _, key, value)| self.row(key, *version, value.as_ref())).collect())
    }
}

/// Serves the table.
pub fn serve(address: &str, table: Arc<Mutex<Table>>) -> std::io::Result<Server> {
    Server::bind("table", address, move |request| answer(request, Arc::clone(&table)))
}

async fn answer(mut request: Request, table: Arc<Mutex<Table>>) -> Reply {
    let path = request.path().to_owned();
    let query = parse(request.uri().query().unwrap_or_default());
    let Body::Whole(body) = quincewheel_http::read(&mut request, 1 << 20).await else {
        return reply(400, &json!({}));
    };
    let fault = table.lock().unwrap().fault;
    match fault {
        TableFault::Refusing => return reply(503, &json!({})),
        TableFault::Unresponsive => {
            tokio::time::sleep(HOLD_TIME).await;
            return reply(503, &json!({}));
        }
        TableFault::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
        TableFault::None | TableFault::RepliesLost | TableFault::RepliesLostWritesDelayed => {}
    }
    match path.as_str() {
        "/v1/rows-tx" => write(&body, &table, fault).await,
        "/v1/rows-get" => reply(200, &table.lock().unwrap().read(&query)),
        "/v1/rows-feed" => feed(&query, &table).await,
        _ => reply(404, &json!({})),
    }
}

async fn write(body: &[u8], table: &Mutex<Table>, fault: TableFault) -> Reply {
    let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
        return reply(400, &json!({}));
    };
    let lost = {
        let mut table = table.lock().unwrap();
        table.writes += 1;
        table.writes.is_multiple_of(2)
            && matches!(fault, TableFault::RepliesLost | TableFault::RepliesLostWritesDelayed)
    };
    if lost && fault == TableFault::RepliesLostWritesDelayed {
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let (status, value_read) = table.lock().unwrap().commit(&transaction, body.len());
    if lost {
        tokio::time::sleep(HOLD_TIME).await;
    }
    reply(status, &value_read)
}

async fn feed(query: &BTreeMap<String, String>, table: &Mutex<Table>) -> Reply {
    let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0u64);
    let name = query.get("table").cloned().unwrap_or_default();
    let mut waited = Duration::ZERO;
    loop {
        {
            let table = table.lock().unwrap();
            match table.feed(&name, number("after")) {
                None => return reply(410, &json!({})),
                Some(rows) if !rows.is_empty() || waited.as_millis() as u64 >= number("waitMs") => {
                    return reply(200, &json!({ "rows": rows, "ver": table.version, "nowMs": 0 }));
                }
                Some(_) => {}
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        waited += POLL_INTERVAL;
    }
}

fn reply(status: u16, body: &Value) -> Reply {
    quincewheel_http::reply(status, "application/json", body.to_string())
}

fn parse(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.replace("%2F", "/"))).collect()
}
