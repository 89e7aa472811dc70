//! Connections between the processes of a test, and what goes wrong on them.

use quincewheel_grant as grant;
use quincewheel_shard as shard;
use quincewheel_wire::{Frame, Hello, LinkId, Role};
use rand::Rng;

use super::delivery::Delivery;
use super::ms;
use super::secs;
use super::world::{DELAY, Who, World, label};

impl World {
    pub(super) fn send(&mut self, from: Who, link: LinkId, frame: Frame) {
        let Some(&(a, b)) = self.links.get(&link) else { return };
        let to = if a == from { b } else { a };
        self.print(&format!("{from:?} to {to:?}"), &frame);
        if self.cuts.contains(&(from, to)) || self.lost.contains(frame.name()) {
            return;
        }
        let mut copies = 1;
        let mut delay = DELAY + self.late.get(frame.name()).copied().unwrap_or_default();
        if let Some(after) = self.twice.get(frame.name()).copied() {
            let delivery = receive(to, link, frame.clone());
            self.push(delay + after, to, delivery, None);
        }
        if self.mess > 0 {
            copies += u32::from(self.rng.random_range(0..100) < self.mess);
            if self.rng.random_range(0..100) < self.mess {
                delay += ms(self.rng.random_range(0..400));
            }
        }
        for copy in 0..copies {
            let delivery = receive(to, link, frame.clone());
            self.push(delay + ms(300) * copy, to, delivery, Some(link));
        }
    }

    pub(super) fn print(&self, what: &str, detail: &impl std::fmt::Debug) {
        let Some(word) = &self.trace else { return };
        let text = format!("{detail:?}");
        if text.contains(word.as_str()) {
            eprintln!("TRACE {:?} {what} {}", self.now, &text[..text.len().min(400)]);
        }
    }

    pub(super) fn dial(&mut self, from: Who, address: &str) {
        let to = who(address);
        let reached = self.alive(to)
            && !self.frozen.contains_key(&to)
            && !self.cuts.contains(&(from, to))
            && !self.cuts.contains(&(to, from));
        if !reached {
            let address = address.to_owned();
            let delivery = match from {
                Who::Entry(_) => Delivery::Entry(shard::Input::Undialled { address }),
                Who::Agent(_) => Delivery::Agent(grant::Input::DialFailed { address }),
            };
            self.push(secs(1), from, delivery, None);
            return;
        }
        self.next += 1;
        let link = self.next;
        self.links.insert(link, (from, to));
        self.linked(from, to, link, address.to_owned());
        self.linked(to, from, link, String::new());
    }

    pub(super) fn linked(&mut self, at: Who, other: Who, link: LinkId, dialled: String) {
        let role = match other {
            Who::Entry(_) => Role::Entry,
            Who::Agent(_) => Role::Agent,
        };
        let hello = Hello { role, name: label(other), incarnation: self.incarnation(other) };
        let delivery = match at {
            Who::Entry(_) => Delivery::Entry(shard::Input::Linked { link, hello, dialled }),
            Who::Agent(_) => Delivery::Agent(grant::Input::Connected { link, hello, dialled }),
        };
        self.push(DELAY, at, delivery, Some(link));
    }

    pub(super) fn close(&mut self, link: LinkId, by: Option<Who>) {
        let Some((a, b)) = self.links.remove(&link) else { return };
        for end in [a, b] {
            if by == Some(end) && !self.alive(end) {
                continue;
            }
            let delivery = match end {
                Who::Entry(_) => Delivery::Entry(shard::Input::Unlinked { link }),
                Who::Agent(_) => Delivery::Agent(grant::Input::Disconnected { link }),
            };
            self.push(DELAY, end, delivery, None);
        }
    }

    pub(super) fn links_of(&self, who: Who) -> Vec<LinkId> {
        let own = self.links.iter().filter(|(_, (a, b))| *a == who || *b == who);
        own.map(|(link, _)| *link).collect()
    }
}

fn receive(to: Who, link: LinkId, frame: Frame) -> Delivery {
    match to {
        Who::Entry(_) => Delivery::Entry(shard::Input::Frame { link, frame }),
        Who::Agent(_) => Delivery::Agent(grant::Input::Frame { link, frame }),
    }
}

fn who(address: &str) -> Who {
    let at = address[1..].parse().expect("made by address()");
    if address.starts_with('e') { Who::Entry(at) } else { Who::Agent(at) }
}
