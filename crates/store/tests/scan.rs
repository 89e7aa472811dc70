//! Scans over links of different bandwidths.

use std::cell::Cell;
use std::time::Duration;

use insta::assert_snapshot;
use quincewheel_store::{Error, Page, Read, Row, scan};
use tokio::time::{Instant, sleep, timeout};

/// Time limit for reading one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Number of rows in the table.
const TABLE_ROWS: usize = 400;

fn unclear() -> Error {
    Error::Unclear { step: "read", peer: "table".into(), detail: "nothing".into() }
}

fn page(read: &Read) -> Page {
    let from = read.after.parse::<usize>().map_or(0, |last| last + 1);
    let to = (from + read.limit).min(TABLE_ROWS);
    let row = |number: usize| Row { key: format!("{number:04}"), version: 1, value: "v".into() };
    Page { rows: (from..to).map(row).collect(), more: to < TABLE_ROWS }
}

/// Reads all rows from a table that takes `micros_per_row` to send a row. Returns the number of
/// rows read, the time and the number of calls, as text.
async fn read_all(micros_per_row: u64) -> String {
    let calls = Cell::new(0);
    let started_at = Instant::now();
    let read = async |read: &Read| {
        calls.set(calls.get() + 1);
        let page = page(read);
        let time = Duration::from_micros(4000 + micros_per_row * page.rows.len() as u64);
        timeout(PAGE_TIMEOUT, sleep(time)).await.map_err(|_| unclear())?;
        Ok((page, 7))
    };
    let rows = scan(read).await.map(|all| (all.rows.len(), all.version));
    format!("{rows:?} after {} ms, {} calls", started_at.elapsed().as_millis(), calls.get())
}

// Guards against entries that never serve clients after a restart of all processes: the rows of a
// few hundred jobs are read over a link that many calls share, and a page takes longer than its
// time limit. With a fixed page size, the scan would restart from the beginning each time.
#[tokio::test(start_paused = true)]
async fn page_size_adapts_to_a_slow_link() {
    let lines =
        [read_all(10).await, read_all(3000).await, read_all(30_000).await, read_all(80_000).await];
    assert_snapshot!(lines.join("\n"), @r"
    Ok((400, 7)) after 12 ms, 2 calls
    Ok((400, 7)) after 1216 ms, 4 calls
    Ok((400, 7)) after 14080 ms, 21 calls
    Ok((400, 7)) after 34080 ms, 21 calls
    ");
}

// A table that does not reply is reported as unclear after two attempts.
#[tokio::test(start_paused = true)]
async fn an_unresponsive_table_ends_the_scan() {
    let calls = Cell::new(0);
    let read = async |_: &Read| {
        calls.set(calls.get() + 1);
        sleep(PAGE_TIMEOUT).await;
        Err(unclear())
    };
    let result = scan(read).await;
    assert_eq!((result, calls.get()), (Err(unclear()), 2));
}

// A refusal is not retried, as a smaller page would be refused as well.
#[tokio::test(start_paused = true)]
async fn a_refusal_ends_the_scan_at_once() {
    let refused = || Error::Refused { step: "read", peer: "table".into(), detail: "503".into() };
    let result = scan(async |_: &Read| Err(refused())).await;
    assert_eq!(result, Err(refused()));
}
