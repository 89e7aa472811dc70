//! What a run's processes are, and what they are told.

use std::path::PathBuf;

use crate::hall::EVACUATE;
use crate::kind::Kind;
use crate::net::{self, Net};
use crate::world::{ENTRIES, GRACE, REVOKE};

/// Where a program is: beside this one.
pub fn program(name: &str) -> PathBuf {
    let mut folder = std::env::current_exe().unwrap();
    folder.pop();
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// A process's name.
pub fn name(index: usize) -> String {
    match index.checked_sub(ENTRIES) {
        None => format!("entry-{index}"),
        Some(agent) => format!("agent-{agent}"),
    }
}

/// The platform's settings file of a process; `list` is where machines are listed, if they are.
pub fn settings(net: Net, index: usize, host: u8, list: Option<&str>, kind: Kind) -> String {
    let name = name(index);
    let cloud = list.map(|list| format!("[cloud]\naddress = \"{list}\"\n")).unwrap_or_default();
    let evacuate = match kind.evacuates() {
        true => format!("evacuateMs = {EVACUATE}\n"),
        false => String::new(),
    };
    let listen = match index < ENTRIES {
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
         [bounds]\ngraceS = {GRACE}\nrevokeMs = {}\nmaxHoldMs = 6000\nstopTimeoutMs = 50\n\
         reclaimMs = 2700\nstatus_s = 120\n{evacuate}\
         [platform]\naddress = \"{}\"\n{cloud}",
        net.ip(host),
        net::PEERS,
        net::PEERS,
        REVOKE.as_millis(),
        net.to_table(host),
    )
}
