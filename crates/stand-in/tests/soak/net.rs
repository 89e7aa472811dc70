//! Loopback addresses: one for each process, and one for each proxy before it.

use std::sync::atomic::{AtomicU32, Ordering};

/// The addresses of one run. Runs side by side differ in the second and third
/// byte, so that no port is ever shared.
#[derive(Clone, Copy, Debug)]
pub struct Net {
    first: u8,
    second: u8,
}

/// Number of address blocks; each run takes one.
pub const BLOCKS: u32 = 250 * 80;
/// Blocks reserved for each process id.
const BLOCKS_PER_PROCESS: u32 = 64;

static RUN_COUNT: AtomicU32 = AtomicU32::new(0);

/// Ports that all processes use, each on its own address.
pub const PEERS: u16 = 7400;
pub const CLIENTS: u16 = 7401;
pub const READY: u16 = 7402;
pub const REPORTS: u16 = 7403;
pub const WORKER: u16 = 7404;
pub const TABLE: u16 = 7405;
pub const MACHINES: u16 = 7406;

impl Net {
    /// Returns the next block. Another process may use it: process ids that differ
    /// by a multiple of 625 start at the same one, and servers of earlier runs stay
    /// until their process ends.
    pub fn next() -> Net {
        let id =
            std::process::id() * BLOCKS_PER_PROCESS + RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        // 127.0 and 127.1 are left to others; the third byte leaves room for
        // the proxies'.
        Net { first: 2 + (id / 80 % 250) as u8, second: 3 * (id % 80) as u8 }
    }

    /// Returns the address at which a process listens.
    pub fn own(self, host: u8, port: u16) -> String {
        format!("127.{}.{}.{host}:{port}", self.first, self.second)
    }

    /// Returns the address of a process without a port.
    pub fn ip(self, host: u8) -> String {
        format!("127.{}.{}.{host}", self.first, self.second)
    }

    /// Returns the address of the proxy to a process's peer port.
    pub fn before(self, host: u8) -> String {
        format!("127.{}.{}.{host}:{PEERS}", self.first, self.second + 1)
    }

    /// Returns the address of the proxy from an agent to its worker.
    pub fn to_worker(self, host: u8) -> String {
        format!("127.{}.{}.{host}:{WORKER}", self.first, self.second + 1)
    }

    /// Returns the address of the proxy from a process to the table.
    pub fn to_table(self, host: u8) -> String {
        format!("127.{}.{}.{host}:{TABLE}", self.first, self.second + 2)
    }

    /// Replaces the address that a process announces by the address of its proxy.
    pub fn proxied(self, text: &str) -> String {
        let own = format!("127.{}.{}.", self.first, self.second);
        text.replace(&own, &format!("127.{}.{}.", self.first, self.second + 1))
    }
}
