//! The thread that keeps the connections to the system's other processes.
//!
//! It accepts and dials, proves membership, and moves frames between sockets
//! and rings. What comes in waits for room in the ring, so that a slow reader
//! slows its peers; what goes out has a bounded queue per connection, and a
//! connection whose queue is full is closed, so that one slow peer cannot make
//! this process grow or wait.

mod hub;
mod traffic;

pub use hub::{Command, Event, Hub};
pub use traffic::Traffic;
