//! Client of the platform: its transactional table service and object store.
//!
//! [`Op`] and [`Reply`] are what the rest of the product speaks; [`Table`] and
//! [`Objects`] carry them over HTTP. A commit takes effect only if every
//! expected version still holds, which is all that the product needs of
//! transactions: the owner's row fences, the rest goes along.

mod error;
mod objects;
mod op;
mod scan;
mod service;
mod table;

pub use error::Error;
pub use objects::Objects;
pub use op::{Change, Changes, Commit, Expect, Op, Page, Put, Read, Reply, Row};
pub use scan::scan;
pub use service::Service;
pub use table::Table;
