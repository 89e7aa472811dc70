//! Reads all rows of a part of the table, over links of any bandwidth.

use std::time::Duration;

use tokio::time::Instant;

use crate::error::Error;
use crate::op::{Change, Changes, Page, Read};

/// Number of rows in the first page. A row takes about 800 bytes on the wire, so the page takes
/// 0.1 s over a link of 10 Mbit/s. Three reads may share such a link.
const FIRST_PAGE_ROWS: usize = 100;
/// Maximum number of rows in a page, which is the limit of the table service.
const MAX_PAGE_ROWS: usize = 500;
/// Minimum number of rows in a page. With fewer rows, the cost of the call dominates.
const MIN_PAGE_ROWS: usize = 20;
/// A page that arrives within this time is followed by a larger one.
const FAST_PAGE: Duration = Duration::from_millis(250);
/// Factor by which the page size grows or shrinks.
const PAGE_SIZE_FACTOR: usize = 5;

/// Reads all rows with `read`, which reads one page and returns it with the table's version at
/// that time. Returns the rows as changes from an empty table.
///
/// The page size adapts to the bandwidth of the link. A page of 500 rows takes 1.6 s at 2 Mbit/s:
/// with pages of that size, a time limit of 1 s and a restart of the scan after each timeout, an
/// entry could never load the rows of a few hundred jobs and served no clients. A page without a
/// reply is requested again with fewer rows; the rows read before are kept.
pub async fn scan(
    read: impl AsyncFn(&Read) -> Result<(Page, u64), Error>,
) -> Result<Changes, Error> {
    let mut all = Changes::default();
    let mut next = Read { limit: FIRST_PAGE_ROWS, ..Read::default() };
    loop {
        let started_at = Instant::now();
        let (page, version) = match read(&next).await {
            Ok(reply) => reply,
            Err(Error::Unclear { .. }) if next.limit > MIN_PAGE_ROWS => {
                next.limit = (next.limit / PAGE_SIZE_FACTOR).max(MIN_PAGE_ROWS);
                continue;
            }
            Err(error) => return Err(error),
        };
        if started_at.elapsed() < FAST_PAGE {
            next.limit = (next.limit * PAGE_SIZE_FACTOR).min(MAX_PAGE_ROWS);
        }
        if all.version == 0 {
            // Keep the version of the first page. Later pages may include newer changes, which
            // are then delivered a second time.
            all.version = version;
        }
        next.after = page.rows.last().map(|row| row.key.clone()).unwrap_or_default();
        all.rows.extend(page.rows.into_iter().map(|row| Change {
            key: row.key,
            version: row.version,
            value: Some(row.value),
        }));
        if !page.more || next.after.is_empty() {
            return Ok(all);
        }
    }
}
