//! Many frames at once on one connection.

use std::time::Duration;

use insta::assert_snapshot;
use quincewheel_peer::{Command, Event, Hub};
use quincewheel_ring as ring;
use quincewheel_wire::{Hello, Key, LinkId, Role};
use tokio::time::timeout;

/// Frames of a burst: more than a connection may leave unread for long.
const FRAMES: u64 = 5000;
/// Time within which everything arrives on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

fn hello(name: &str) -> Hello {
    Hello { role: Role::Agent, name: name.into(), incarnation: 1 }
}

fn key() -> Key {
    Key::new(b"a key for tests")
}

struct Peer {
    hub: Hub<u64>,
    events: ring::Receiver<Event<u64>>,
}

fn open(name: &str) -> Peer {
    let (sender, events) = ring::open(64);
    let hub =
        Hub::bind("127.0.0.1:0", key(), hello(name), sender, |event| event).expect("it binds");
    Peer { hub, events }
}

impl Peer {
    /// Dials an address and returns the connection.
    async fn dial(&self, address: String) -> LinkId {
        assert!(self.hub.ask(Command::Dial { address }));
        match self.events.recv().await {
            Some(Event::Connected { link, .. }) => link,
            event => panic!("not connected: {event:?}"),
        }
    }

    /// Sends a burst, and waits where the hub is busy.
    async fn send_burst(&self, link: LinkId) {
        for frame in 0..FRAMES {
            let mut command = Command::Send { link, frame };
            while let Err(returned) = self.hub.try_ask(command) {
                command = returned;
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
    }
}

// Guards against a connection that is closed for a burst of orders, and again after each reconnect, when
// the same orders are sent again: thousands of small tasks never started on one worker.
#[actix_rt::test]
async fn a_burst_of_frames_arrives_in_order() {
    let (from, to) = (open("from"), open("to"));
    let link = from.dial(to.hub.address().to_string()).await;
    from.send_burst(link).await;
    let received = async {
        let mut next = 0;
        while next < FRAMES {
            match to.events.recv().await {
                Some(Event::Frame { frame, .. }) if frame == next => next += 1,
                Some(Event::Connected { .. }) => {}
                event => return format!("{next} frames, then {event:?}"),
            }
        }
        format!("{next} frames")
    };
    assert_snapshot!(timeout(PATIENCE, received).await.expect("all arrive"), @"5000 frames");
}

// Guards against memory that fills up for a peer that reads nothing.
#[actix_rt::test]
async fn a_peer_that_takes_no_frames_loses_its_connection() {
    let from = open("from");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("it binds");
    let address = listener.local_addr().expect("it is bound").to_string();
    let idle = actix_rt::spawn(async move {
        let (stream, _) = listener.accept().await.expect("it dials");
        let link = quincewheel_wire::accept(stream, &key(), &hello("idle")).await;
        // Holds the connection without reading.
        tokio::time::sleep(PATIENCE).await;
        drop(link);
    });
    let link = from.dial(address).await;
    let closed = async {
        loop {
            from.send_burst(link).await;
            if let Some(Event::Disconnected { .. }) = from.events.try_recv() {
                return "closed";
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert_snapshot!(timeout(PATIENCE, closed).await.unwrap_or("open"), @"closed");
    idle.abort();
}
