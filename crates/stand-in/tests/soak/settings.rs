//! Programs, names and settings files of a run's processes.

use std::path::PathBuf;

use crate::deployment::{REVOCATION_DEADLINE, SHUTDOWN_GRACE_S};
use crate::fleet::EVACUATION_DEADLINE_MS;
use crate::kind::Kind;
use crate::net::{self, Net};
use crate::size::Size;

/// What the machine of each process gives it.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: u64,
}

/// Returns the path of a program, in the folder of the test binary.
pub fn program(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Returns the name of a process.
pub fn name(index: usize, size: Size) -> String {
    match index.checked_sub(size.entries) {
        None => format!("entry-{index}"),
        Some(agent) => format!("agent-{agent}"),
    }
}

/// Returns the settings file of a process. `machine_list` is the address of the platform's list
/// of machines, if there is one.
pub fn settings(
    net: Net,
    index: usize,
    host: u8,
    machine_list: Option<&str>,
    kind: Kind,
    size: Size,
    machine: Option<Machine>,
) -> String {
    let name = name(index, size);
    let cloud = machine_list
        .map(|machine_list| format!("[cloud]\naddress = \"{machine_list}\"\n"))
        .unwrap_or_default();
    let limits = machine
        .map(|Machine { memory_mb, max_fds }| {
            format!("[limits]\nmemoryMb = {memory_mb}\nmaxFds = {max_fds}\n")
        })
        .unwrap_or_default();
    let evacuate = match kind.evacuates() {
        true => format!("evacuateMs = {EVACUATION_DEADLINE_MS}\n"),
        false => String::new(),
    };
    let listen = match index < size.entries {
        true => format!(
            "front = \"{}\"\nready = \"{}\"",
            net.own(host, net::CLIENTS),
            net.own(host, net::READY)
        ),
        false => format!("control = \"{}\"", net.own(host, net::REPORTS)),
    };
    format!(
        "node = \"{name}\"\nip = \"{}\"\nzone = \"z\"\nportRange = [{}, {}]\n\
         [listen]\n{listen}\n\
         [bounds]\ngraceS = {SHUTDOWN_GRACE_S}\nrevokeMs = {}\nmaxHoldMs = 6000\nstopTimeoutMs = 50\n\
         reclaimMs = 2700\nstatus_s = 120\n{evacuate}{limits}\
         [platform]\naddress = \"{}\"\n{cloud}",
        net.ip(host),
        net::PEERS,
        net::PEERS,
        REVOCATION_DEADLINE.as_millis(),
        net.to_table(host),
    )
}
