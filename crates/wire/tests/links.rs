//! Connections between processes of the system: authentication, and the errors
//! that close a connection.

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

fn error_kind(error: &Error) -> &'static str {
    match error {
        Error::Socket { .. } => "socket",
        Error::Stranger { .. } => "stranger",
        Error::Malformed { .. } => "malformed",
        Error::Timeout { .. } => "timeout",
        Error::Closed { .. } => "closed",
    }
}

#[tokio::test]
async fn members_authenticate_each_other() {
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

/// Guards against a task on the same instance impersonating its agent: it dials an
/// entry with a wrong key, or poses as an entry towards an agent.
#[tokio::test]
async fn a_wrong_key_is_rejected_on_both_sides() {
    let (listener, address) = listen().await;
    let wrong = Key::new(b"a guess");
    let me = hello("stranger");
    let (accepted, dialled) = tokio::join!(accept_one(&listener), dial(&address, &wrong, &me));
    assert_eq!(error_kind(&accepted.err().unwrap()), "stranger");
    assert!(dialled.is_err(), "the acceptor sends no proof to an unauthenticated peer");
}

type RawSocket = WebSocketStream<MaybeTlsStream<TcpStream>>;

async fn connect_raw(address: &str) -> (RawSocket, Bytes) {
    let (mut socket, _) = connect_async(format!("ws://{address}/")).await.unwrap();
    let challenge = socket.next().await.unwrap().unwrap().into_data();
    (socket, challenge)
}

/// Guards against a replay: an attacker records a member's proof from the network
/// and sends it on a new connection, which succeeds if the proof does not depend on
/// a fresh challenge.
#[tokio::test]
async fn a_replayed_proof_is_rejected() {
    // A relay between a real member and the acceptor records the proof.
    let (listener, address) = listen().await;
    let (relay, relay_address) = listen().await;
    let recorded = async {
        let (stream, _) = relay.accept().await.unwrap();
        let mut member = tokio_tungstenite::accept_async(stream).await.unwrap();
        let (mut acceptor, challenge) = connect_raw(&address).await;
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
        let (mut socket, _) = connect_raw(&address).await;
        socket.send(proof).await.unwrap();
        socket
    };
    let (accepted, _socket) = tokio::join!(accept_one(&listener), replay);
    assert_eq!(error_kind(&accepted.err().unwrap()), "stranger");
}

/// Guards against one invalid frame stopping an entry: garbage, text or an oversized
/// frame arrives on a connection and is decoded without checks, or read whole before
/// its size is checked.
#[tokio::test]
async fn an_invalid_frame_closes_only_its_own_connection() {
    let mut kinds = Vec::new();
    for bad in ["garbage", "text", "oversized", "unproved"] {
        let (listener, address) = listen().await;
        let key = Key::new(SECRET);
        let me = hello("good");
        let (valid_receiver, valid_sender) =
            tokio::join!(accept_one(&listener), dial(&address, &key, &me));
        let (mut valid_sender, _keep) = valid_sender.unwrap().split();
        let (_keep_too, mut valid_receiver) = valid_receiver.unwrap().split();
        let (relay, relay_address) = listen().await;
        let send_invalid = async {
            let (stream, _) = relay.accept().await.unwrap();
            let mut member = tokio_tungstenite::accept_async(stream).await.unwrap();
            let (mut acceptor, challenge) = connect_raw(&address).await;
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
                Ok(link) => {
                    link.split().1.next::<Frame>().await.err().map(|error| error_kind(&error))
                }
                Err(error) => Some(error_kind(&error)),
            }
        };
        let dialler = dial(&relay_address, &key, &me);
        let (kind, (), _dialled) = tokio::join!(serve, send_invalid, dialler);
        kinds.push(format!("{bad}: {}", kind.unwrap_or("accepted")));
        let frame = Frame::Leaving { leaving: true };
        valid_sender.send(&frame).await.unwrap();
        assert_eq!(
            valid_receiver.next::<Frame>().await.unwrap().0,
            frame,
            "the valid connection stays open"
        );
    }
    insta::assert_snapshot!(kinds.join("\n"), @r"
    garbage: malformed
    text: malformed
    oversized: socket
    unproved: malformed
    ");
}
