//! Clients that do not behave.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::payload::Payload;

/// How often a member opens another connection after its own was closed.
const MAX_REOPENINGS: u32 = 2;
/// Time limit of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two rounds over all members.
const PAUSE: Duration = Duration::from_millis(1);
/// For how long a crowd may take to send all that it is let send.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(40);

/// Many connections that send the same, and stay open until the crowd is dropped. They read
/// nothing, unless the peer closed them.
pub struct Crowd {
    stopped: Arc<AtomicBool>,
    settled: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

struct Member {
    stream: Option<TcpStream>,
    sent: usize,
    reopenings: u32,
    visits: u32,
}

impl Crowd {
    /// Starts a crowd of `size` members that connect to `address`.
    pub fn spawn(address: &str, size: usize, payload: Payload) -> Crowd {
        let address: SocketAddr = address.parse().expect("an address with a port");
        let (stopped, settled) =
            (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let (stopping, settling) = (Arc::clone(&stopped), Arc::clone(&settled));
        let thread = thread::spawn(move || {
            let mut members: Vec<Member> = (0..size)
                .map(|_| Member { stream: None, sent: 0, reopenings: 0, visits: 0 })
                .collect();
            while !stopping.load(Ordering::Relaxed) {
                let mut has_settled = true;
                for member in &mut members {
                    has_settled &= member.advance(address, &payload);
                }
                settling.store(has_settled, Ordering::Relaxed);
                thread::sleep(PAUSE);
            }
        });
        Crowd { stopped, settled, thread: Some(thread) }
    }

    /// Waits until each member has sent all or was turned away, or for a while. A server that stops
    /// reading lets no member send all.
    pub fn wait(&self) {
        let end = Instant::now() + SETTLING_TIMEOUT;
        while !self.settled.load(Ordering::Relaxed) && Instant::now() < end {
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Member {
    /// Sends what it can in one turn. Returns whether it has nothing more to do.
    fn advance(&mut self, address: SocketAddr, payload: &Payload) -> bool {
        let Some(stream) = &mut self.stream else {
            if self.reopenings > MAX_REOPENINGS {
                return true;
            }
            self.reopenings += 1;
            self.sent = 0;
            self.stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok();
            if let Some(stream) = &self.stream {
                stream.set_nonblocking(true).expect("a socket of our own");
            }
            return false;
        };
        let rest = &payload.bytes[self.sent..];
        if rest.is_empty() && self.visits < payload.visits {
            self.visits += 1;
            self.reopenings = 0;
            self.stream = None;
            return false;
        }
        if rest.is_empty() {
            if is_closed(stream) {
                self.stream = None;
            }
            return self.stream.is_some() || self.reopenings > MAX_REOPENINGS;
        }
        match stream.write(&rest[..payload.turn.min(rest.len())]) {
            Ok(count) => self.sent += count,
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(_) => self.stream = None,
        }
        false
    }
}

/// Returns whether the peer has closed or reset the connection. It is not read otherwise.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.peek(&mut [0]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Sends a request over a connection of its own and returns the status of the answer, or `None`
/// without one. The connection is closed by the peer or by a time limit.
pub fn call(address: &str, request: &[u8], timeout: Duration) -> Option<u16> {
    let address: SocketAddr = address.parse().ok()?;
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    stream.write_all(request).ok()?;
    let mut answer = [0; 64];
    let mut length = 0;
    while length < answer.len() && !answer[..length].contains(&b'\n') {
        match stream.read(&mut answer[length..]) {
            Ok(0) | Err(_) => break,
            Ok(count) => length += count,
        }
    }
    let line = String::from_utf8_lossy(&answer[..length]).into_owned();
    line.split(' ').nth(1)?.parse().ok()
}
