//! Memory and descriptors of a process.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Pause between two samples.
const PAUSE: Duration = Duration::from_millis(50);
/// State of a listening socket in the kernel's table of connections.
const LISTENING: &str = "0A";

/// Samples a process until it is dropped.
pub struct Watch {
    id: u32,
    peaks: Arc<Peaks>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct Peaks {
    stopped: AtomicBool,
    /// Resident bytes and those that its connections hold unread.
    memory: AtomicU64,
    descriptors: AtomicU64,
}

impl Watch {
    /// Starts to watch the process `id`, which listens on an IP address of its own, `ip`.
    pub fn spawn(id: u32, ip: &str) -> Watch {
        let peaks = Arc::new(Peaks::default());
        let (sampled, ip) = (Arc::clone(&peaks), kernel_address(ip));
        let thread = thread::spawn(move || {
            while !sampled.stopped.load(Ordering::Relaxed) {
                let memory = status_bytes(id, "VmRSS:") + unread_bytes(&ip);
                sampled.memory.fetch_max(memory, Ordering::Relaxed);
                sampled.descriptors.fetch_max(descriptors(id), Ordering::Relaxed);
                thread::sleep(PAUSE);
            }
        });
        Watch { id, peaks, thread: Some(thread) }
    }

    /// Returns the most memory that was seen, in MB.
    pub fn memory_mb(&self) -> u64 {
        let resident = status_bytes(self.id, "VmHWM:");
        self.peaks.memory.load(Ordering::Relaxed).max(resident) / 1_000_000
    }

    /// Returns the most open descriptors that were seen.
    pub fn descriptors(&self) -> u64 {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.peaks.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Returns an IP address as the kernel's table of connections writes it.
fn kernel_address(ip: &str) -> String {
    let ip: std::net::Ipv4Addr = ip.parse().expect("an IP address");
    format!("{:08X}:", u32::from_le_bytes(ip.octets()))
}

fn status_bytes(id: u32, field: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with(field));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn descriptors(id: u32) -> u64 {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |folder| folder.count() as u64)
}

/// Returns the bytes that the kernel holds for connections that were made to this address.
fn unread_bytes(address: &str) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, _, state, queues) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let is_open = local.starts_with(address) && state != LISTENING;
        is_open.then(|| u64::from_str_radix(queues.split(':').nth(1)?, 16).ok()).flatten()
    };
    table.lines().skip(1).filter_map(unread).sum()
}
