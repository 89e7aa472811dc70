//! Messages between the processes of the system, and the connections that carry
//! them.
//!
//! Frames are CBOR in binary WebSocket messages. A connection starts with mutual
//! authentication by the fleet key (`proof`), so that tasks on the same instance
//! as an agent cannot impersonate it. Frames are bounded in size; a frame that is
//! too large or malformed closes its own connection only.

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
pub use notice::{Notice, Refused, list_causes};
pub use order::Order;
pub use outcome::Outcome;
pub use peer::{Peer, Verdict};
pub use proof::Key;
pub use sent::Sent;
pub use task::{Report, Task};

/// Id of an open connection, unique within one process.
pub type LinkId = u64;
