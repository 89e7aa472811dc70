//! Rows that are read over links of all kinds.

use std::cell::Cell;
use std::time::Duration;

use insta::assert_snapshot;
use quincewheel_store::{Error, Page, Read, Row, scan};
use tokio::time::{Instant, sleep, timeout};

/// A page without an answer is given up after this time.
const TIMEOUT: Duration = Duration::from_millis(2000);
/// Rows that there are.
const ROWS: usize = 400;

fn unclear() -> Error {
    Error::Unclear { step: "read", peer: "table".into(), detail: "nothing".into() }
}

fn page(read: &Read) -> Page {
    let from = read.after.parse::<usize>().map_or(0, |last| last + 1);
    let to = (from + read.limit).min(ROWS);
    let row = |number: usize| Row { key: format!("{number:04}"), version: 1, value: "v".into() };
    Page { rows: (from..to).map(row).collect(), more: to < ROWS }
}

/// Reads all rows from a table that needs so many microseconds a row, and tells how many came,
/// after how long, by how many calls.
async fn read_all(micros: u64) -> String {
    let calls = Cell::new(0);
    let began = Instant::now();
    let read = async |read: &Read| {
        calls.set(calls.get() + 1);
        let page = page(read);
        let time = Duration::from_micros(4000 + micros * page.rows.len() as u64);
        timeout(TIMEOUT, sleep(time)).await.map_err(|_| unclear())?;
        Ok((page, 7))
    };
    let rows = scan(read).await.map(|all| (all.rows.len(), all.version));
    format!("{rows:?} after {} ms, {} calls", began.elapsed().as_millis(), calls.get())
}

// Symptom: after a restart of everything no entry serves anybody. Sequence: the rows of some
// hundred jobs are read over a link that many calls share; a page takes longer than its time
// limit, and all is read anew. Cause: pages and time limits did not follow the link.
#[tokio::test(start_paused = true)]
async fn rows_come_through_a_link_of_a_hundredth() {
    let lines =
        [read_all(10).await, read_all(3000).await, read_all(30_000).await, read_all(80_000).await];
    assert_snapshot!(lines.join("\n"), @r"
    Ok((400, 7)) after 12 ms, 2 calls
    Ok((400, 7)) after 1216 ms, 4 calls
    Ok((400, 7)) after 14080 ms, 21 calls
    Ok((400, 7)) after 34080 ms, 21 calls
    ");
}

// A table that answers nothing is known to be lost after two tries.
#[tokio::test(start_paused = true)]
async fn a_silent_table_ends_it() {
    let calls = Cell::new(0);
    let read = async |_: &Read| {
        calls.set(calls.get() + 1);
        sleep(TIMEOUT).await;
        Err(unclear())
    };
    let result = scan(read).await;
    assert_eq!((result, calls.get()), (Err(unclear()), 2));
}

// A refusal is an answer: a smaller page would be refused as well.
#[tokio::test(start_paused = true)]
async fn a_refusal_ends_it_at_once() {
    let refused = || Error::Refused { step: "read", peer: "table".into(), detail: "503".into() };
    let result = scan(async |_: &Read| Err(refused())).await;
    assert_eq!(result, Err(refused()));
}
