//! Clients of the platform's transactional table service and object store.
//!
//! [`Op`] and [`Reply`] are the calls and replies of the table service; [`Table`]
//! performs them over HTTP, and [`Objects`] accesses the object store. A commit
//! takes effect only if every row has its expected version. Expecting the version
//! of the owner's row is enough to fence off a previous owner's writes.

mod error;
mod limits;
mod objects;
mod op;
mod scan;
mod service;
mod table;

pub use error::Error;
pub use limits::{Excess, Limits, Size, entry_bytes};
pub use objects::Objects;
pub use op::{Change, Changes, Commit, Expect, Op, Page, Put, Read, Reply, Row};
pub use scan::scan;
pub use service::Service;
pub use table::Table;
