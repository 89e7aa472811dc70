//! What the system's own processes say to one another, and how.
//!
//! Frames are CBOR in binary WebSocket messages. A connection opens with a
//! mutual proof of membership (`proof`), so that tasks that run beside an
//! agent cannot speak for it. Frames are bounded in size; a frame that is too
//! large or not well-formed closes its connection and no other.

mod answer;
mod ask;
mod attempt;
mod digest;
mod error;
mod frame;
mod hello;
mod job;
mod link;
mod notice;
mod order;
mod outcome;
mod peer;
mod proof;
mod sent;
mod task;

pub use answer::{Answer, Process, Refusal, Team, Worker};
pub use ask::Ask;
pub use attempt::Attempt;
pub use digest::sha256;
pub use error::Error;
pub use frame::{Frame, Inventory, Member, Phase};
pub use hello::{Hello, Role};
pub use job::Job;
pub use link::{Link, MAX_FRAME, accept, dial};
pub use notice::{Notice, Refused, list_starts};
pub use order::Order;
pub use outcome::Outcome;
pub use peer::{Peer, Verdict};
pub use proof::Key;
pub use sent::Sent;
pub use task::{Report, Task};

/// Names an open connection within one process.
pub type LinkId = u64;
