//! Reads all rows of a part, however thin the link.

use std::time::Duration;

use tokio::time::Instant;

use crate::error::Error;
use crate::op::{Change, Changes, Page, Read};

/// Rows in the first page. A row is some 800 bytes on its way: 0.1 s on the thinnest link that
/// a machine of today has to itself, 10 Mbit/s shared by three reads.
const FIRST: usize = 100;
/// Most rows in a page; the most that the table gives.
const MOST: usize = 500;
/// Fewest rows in a page. Fewer cost a call for next to nothing.
const LEAST: usize = 20;
/// A page that came within this time is followed by a larger one.
const QUICK: Duration = Duration::from_millis(250);
/// How much larger or smaller the next page is.
const STEP: usize = 5;

/// Reads all rows, as changes from nothing, by a closure that reads one page and tells as of
/// which version.
///
/// Pages follow the link. One of 500 rows takes 1.6 s at 2 Mbit/s: read with a time limit of a
/// second and begun anew after it, rows of a few hundred jobs never came through, and an entry
/// that had started knew of none and served nobody. A page without an answer is asked for
/// again, smaller; what was read before stays.
pub async fn scan(
    read: impl AsyncFn(&Read) -> Result<(Page, u64), Error>,
) -> Result<Changes, Error> {
    let mut all = Changes::default();
    let mut next = Read { limit: FIRST, ..Read::default() };
    loop {
        let began = Instant::now();
        let (page, version) = match read(&next).await {
            Ok(answer) => answer,
            Err(Error::Unclear { .. }) if next.limit > LEAST => {
                next.limit = (next.limit / STEP).max(LEAST);
                continue;
            }
            Err(error) => return Err(error),
        };
        if began.elapsed() < QUICK {
            next.limit = (next.limit * STEP).min(MOST);
        }
        if all.version == 0 {
            // Later pages may be newer; what changed meanwhile comes again.
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
