//! The thread that manages the connections to other processes of the system.
//!
//! It accepts and dials connections, authenticates them, and moves frames between
//! sockets and rings. Received frames wait for space in the ring, so that a slow
//! receiver in this process applies back-pressure to its peers. Frames to send have
//! a bounded queue per connection; a connection whose queue is full is closed, so
//! that a slow peer cannot block this process or grow its memory.

mod handshakes;
mod hub;
mod traffic;

pub use hub::{Command, Event, Hub};
pub use traffic::Traffic;
