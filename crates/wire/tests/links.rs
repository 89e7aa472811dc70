//! Connections between the system's own processes: who gets in, and what
//! closes a connection.

use futures_util::{SinkExt, StreamExt};
use quincewheel_wire::{Attempt, Error, Frame, Hello, Key, MAX_FRAME, Role, accept, dial};
use tokio::net::{TcpListener, TcpStream};
use tokio_tungstenite::tungstenite::{Bytes, Message};
use tokio_tungstenite::{MaybeTlsStream, WebSocketStream, connect_async};

const SECRET: &[u8] = b"the fleet's key";

fn hello(name: &str) -> Hello {
    Hello { role: Role::Agent, name: name.to_owned(), incarnation: 1 }
}

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    (listener, address)
}

async fn accept_one(listener: &TcpListener) -> Result<quincewheel_wire::Link, Error> {
    let (stream, _) = listener.accept().await.unwrap();
    accept(stream, &Key::new(SECRET), &hello("acceptor")).await
}

fn kind(error: &Error) -> &'static str {
    match error {
        Error::Socket { .. } => "socket",
        Error::Stranger { .. } => "stranger",
        Error::Malformed { .. } => "malformed",
        Error::Timeout { .. } => "timeout",
        Error::Closed { .. } => "closed",
    }
}

#[tokio::test]
async fn members_prove_each_other() {
    let (listener, address) = listen().await;
    let key = Key::new(SECRET);
    let me = hello("dialer");
    let (accepted, dialled) = tokio::join!(accept_one(&listener), dial(&address, &key, &me));
    let (accepted, dialled) = (accepted.unwrap(), dialled.unwrap());
    assert_eq!(
        (accepted.hello().name.as_str(), dialled.hello().name.as_str()),
        ("dialer", "acceptor")
    );
    let (mut sender, _keep) = dialled.split();
    let (_keep_too, mut receiver) = accepted.split();
    let frame = Frame::Prepared { attempt: Attempt::new(3, 4) };
    sender.send(&frame).await.unwrap();
    assert_eq!(receiver.next::<Frame>().await.unwrap().0, frame);
}

/// Symptom: a task that runs beside an agent speaks for it. Sequence: it dials
/// an entry with a wrong key, or takes an entry's place towards an agent.
/// Cause: membership is believed instead of proved.
#[tokio::test]
async fn a_stranger_is_refused_on_both_sides() {
    let (listener, address) = listen().await;
    let wrong = Key::new(b"a guess");
    let me = hello("stranger");
    let (accepted, dialled) = tokio::join!(accept_one(&listener), dial(&address, &wrong, &me));
    assert_eq!(kind(&accepted.err().unwrap()), "stranger");
    assert!(dialled.is_err(), "the acceptor proves nothing to a stranger");
}

type Raw = WebSocketStream<MaybeTlsStream<TcpStream>>;

async fn raw(address: &str) -> (Raw, Bytes) {
    let (mut socket, _) = connect_async(format!("ws://{address}/")).await.unwrap();
    let challenge = socket.next().await.unwrap().unwrap().into_data();
    (socket, challenge)
}

/// Symptom: a recorded proof opens a new connection. Sequence: somebody reads a
/// member's proof off the wire and sends it again. Cause: the proof does not
/// depend on a fresh challenge.
#[tokio::test]
async fn a_replayed_proof_is_refused() {
    // A relay between a real member and the acceptor records the proof.
    let (listener, address) = listen().await;
    let (relay, relay_address) = listen().await;
    let recorded = async {
        let (stream, _) = relay.accept().await.unwrap();
        let mut member = tokio_tungstenite::accept_async(stream).await.unwrap();
        let (mut acceptor, challenge) = raw(&address).await;
        member.send(Message::Binary(challenge)).await.unwrap();
        let proof = member.next().await.unwrap().unwrap();
        acceptor.send(proof.clone()).await.unwrap();
        let reply = acceptor.next().await.unwrap().unwrap();
        member.send(reply).await.unwrap();
        proof
    };
    let key = Key::new(SECRET);
    let me = hello("dialer");
    let (proof, accepted, dialled) =
        tokio::join!(recorded, accept_one(&listener), dial(&relay_address, &key, &me));
    assert!(accepted.is_ok() && dialled.is_ok(), "the recording itself succeeds");
    let replay = async {
        let (mut socket, _) = raw(&address).await;
        socket.send(proof).await.unwrap();
        socket
    };
    let (accepted, _socket) = tokio::join!(accept_one(&listener), replay);
    assert_eq!(kind(&accepted.err().unwrap()), "stranger");
}

/// Symptom: one bad frame stops an entry. Sequence: garbage, text, or a frame
/// beyond the limit comes over one connection. Cause: it is trusted to be
/// well-formed, or read whole before its size is known.
#[tokio::test]
async fn a_bad_frame_closes_its_connection_only() {
    let mut kinds = Vec::new();
    for bad in ["garbage", "text", "oversized", "unproved"] {
        let (listener, address) = listen().await;
        let key = Key::new(SECRET);
        let me = hello("good");
        let (good_in, good) = tokio::join!(accept_one(&listener), dial(&address, &key, &me));
        let (mut good, _keep) = good.unwrap().split();
        let (_keep_too, mut good_in) = good_in.unwrap().split();
        let (relay, relay_address) = listen().await;
        let misbehave = async {
            let (stream, _) = relay.accept().await.unwrap();
            let mut member = tokio_tungstenite::accept_async(stream).await.unwrap();
            let (mut acceptor, challenge) = raw(&address).await;
            if bad == "unproved" {
                acceptor.send(Message::Binary(vec![0xff; 40].into())).await.unwrap();
                return;
            }
            member.send(Message::Binary(challenge)).await.unwrap();
            acceptor.send(member.next().await.unwrap().unwrap()).await.unwrap();
            member.send(acceptor.next().await.unwrap().unwrap()).await.unwrap();
            let message = match bad {
                "garbage" => Message::Binary(vec![0xff; 100].into()),
                "text" => Message::Text("hello".into()),
                _ => Message::Binary(vec![0; MAX_FRAME + 1].into()),
            };
            // The acceptor may close while the large frame is still being sent.
            let _ = acceptor.send(message).await;
            let _ = acceptor.next().await;
        };
        let serve = async {
            match accept_one(&listener).await {
                Ok(link) => link.split().1.next::<Frame>().await.err().map(|error| kind(&error)),
                Err(error) => Some(kind(&error)),
            }
        };
        let dialler = dial(&relay_address, &key, &me);
        let (kind, (), _dialled) = tokio::join!(serve, misbehave, dialler);
        kinds.push(format!("{bad}: {}", kind.unwrap_or("accepted")));
        let frame = Frame::Leaving { leaving: true };
        good.send(&frame).await.unwrap();
        assert_eq!(good_in.next::<Frame>().await.unwrap().0, frame, "the good one goes on");
    }
    insta::assert_snapshot!(kinds.join("\n"), @r"
    garbage: malformed
    text: malformed
    oversized: socket
    unproved: malformed
    ");
}
