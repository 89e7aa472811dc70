//! Connections between the processes of a test, and their faults.

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_wire::{Frame, Hello, LinkId, Role};
use rand::Rng;

use super::cluster::{Cluster, FRAME_DELAY, Process, process_name};
use super::delivery::Delivery;
use super::ms;
use super::secs;

impl Cluster {
    pub(super) fn send(&mut self, from: Process, link: LinkId, frame: Frame) {
        let Some(&(a, b)) = self.links.get(&link) else { return };
        let to = if a == from { b } else { a };
        self.print_trace(&format!("{from:?} to {to:?}"), &frame);
        if self.partitions.contains(&(from, to)) || self.dropped_frames.contains(frame.name()) {
            return;
        }
        let mut copies = 1;
        let mut delay =
            FRAME_DELAY + self.delayed_frames.get(frame.name()).copied().unwrap_or_default();
        if let Some(after) = self.duplicated_frames.get(frame.name()).copied() {
            let delivery = receive(to, link, frame.clone());
            self.push(delay + after, to, delivery, None);
        }
        if self.disorder_percent > 0 {
            copies += u32::from(self.rng.random_range(0..100) < self.disorder_percent);
            if self.rng.random_range(0..100) < self.disorder_percent {
                delay += ms(self.rng.random_range(0..400));
            }
        }
        for copy in 0..copies {
            let delivery = receive(to, link, frame.clone());
            self.push(delay + ms(300) * copy, to, delivery, Some(link));
        }
    }

    pub(super) fn print_trace(&self, what: &str, detail: &impl std::fmt::Debug) {
        let Some(word) = &self.trace else { return };
        let text = format!("{detail:?}");
        if text.contains(word.as_str()) {
            eprintln!("TRACE {:?} {what} {}", self.now, &text[..text.len().min(400)]);
        }
    }

    pub(super) fn dial(&mut self, from: Process, address: &str) {
        let to = process_at(address);
        let reached = self.is_alive(to)
            && !self.frozen.contains_key(&to)
            && !self.partitions.contains(&(from, to))
            && !self.partitions.contains(&(to, from));
        if !reached {
            let address = address.to_owned();
            let delivery = match from {
                Process::Entry(_) => Delivery::Entry(shard::Input::DialFailed { address }),
                Process::Agent(_) => Delivery::Agent(grant::Input::DialFailed { address }),
            };
            self.push(secs(1), from, delivery, None);
            return;
        }
        self.next_id += 1;
        let link = self.next_id;
        self.links.insert(link, (from, to));
        self.notify_connected(from, to, link, address.to_owned());
        self.notify_connected(to, from, link, String::new());
    }

    pub(super) fn notify_connected(
        &mut self,
        at: Process,
        other: Process,
        link: LinkId,
        dialled: String,
    ) {
        let role = match other {
            Process::Entry(_) => Role::Entry,
            Process::Agent(_) => Role::Agent,
        };
        let hello = Hello { role, name: process_name(other), incarnation: self.incarnation(other) };
        let delivery = match at {
            Process::Entry(_) => Delivery::Entry(shard::Input::Connected { link, hello, dialled }),
            Process::Agent(_) => Delivery::Agent(grant::Input::Connected { link, hello, dialled }),
        };
        self.push(FRAME_DELAY, at, delivery, Some(link));
    }

    pub(super) fn close(&mut self, link: LinkId, by: Option<Process>) {
        let Some((a, b)) = self.links.remove(&link) else { return };
        for end in [a, b] {
            if by == Some(end) && !self.is_alive(end) {
                continue;
            }
            let delivery = match end {
                Process::Entry(_) => Delivery::Entry(shard::Input::Disconnected { link }),
                Process::Agent(_) => Delivery::Agent(grant::Input::Disconnected { link }),
            };
            self.push(FRAME_DELAY, end, delivery, None);
        }
    }

    pub(super) fn links_of(&self, process: Process) -> Vec<LinkId> {
        let own = self.links.iter().filter(|(_, (a, b))| *a == process || *b == process);
        own.map(|(link, _)| *link).collect()
    }
}

fn receive(to: Process, link: LinkId, frame: Frame) -> Delivery {
    match to {
        Process::Entry(_) => Delivery::Entry(shard::Input::Frame { link, frame }),
        Process::Agent(_) => Delivery::Agent(grant::Input::Frame { link, frame }),
    }
}

fn process_at(address: &str) -> Process {
    let index = address[1..].parse().expect("made by address()");
    if address.starts_with('e') { Process::Entry(index) } else { Process::Agent(index) }
}
