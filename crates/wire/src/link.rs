use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngCore;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::error::Error;
use crate::hello::Hello;
use crate::proof::{Key, Side};

/// Largest frame, in bytes. Holds the largest payload (64 KiB) with room for
/// an inventory of several hundred attempts.
pub const MAX_FRAME: usize = 1 << 20;

/// Time for the whole handshake. A peer that connects and says nothing would
/// otherwise hold its slot for ever.
const HANDSHAKE: Duration = Duration::from_secs(2);

/// An authenticated connection to another process of the system.
pub struct Link {
    socket: WebSocketStream<TcpStream>,
    hello: Hello,
    peer: String,
}

#[derive(Deserialize, Serialize)]
struct Challenge {
    #[serde(with = "serde_bytes")]
    nonce: Vec<u8>,
}

#[derive(Deserialize, Serialize)]
struct Proof {
    #[serde(with = "serde_bytes")]
    nonce: Vec<u8>,
    #[serde(with = "serde_bytes")]
    hello: Vec<u8>,
    #[serde(with = "serde_bytes")]
    proof: Vec<u8>,
}

/// Connects to `address` and proves membership both ways.
pub async fn dial(address: &str, key: &Key, me: &Hello) -> Result<Link, Error> {
    let step = "dial";
    let handshake = async {
        let stream = TcpStream::connect(address).await.map_err(|e| socket(step, address, &e))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (socket, _) = tokio_tungstenite::client_async_with_config(url, stream, Some(limits()))
            .await
            .map_err(|e| socket_error(step, address, &e))?;
        open_dialer(socket, address, key, me).await
    };
    timeout(HANDSHAKE, handshake).await.unwrap_or_else(|_| Err(timed_out(step, address)))
}

/// Takes over a connection that another process opened.
pub async fn accept(stream: TcpStream, key: &Key, me: &Hello) -> Result<Link, Error> {
    let step = "accept";
    let peer = stream.peer_addr().map_or_else(|_| "unknown".to_owned(), |addr| addr.to_string());
    let _ = stream.set_nodelay(true);
    let handshake = async {
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(limits()))
            .await
            .map_err(|e| socket_error(step, &peer, &e))?;
        open_acceptor(socket, &peer, key, me).await
    };
    timeout(HANDSHAKE, handshake).await.unwrap_or_else(|_| Err(timed_out(step, &peer)))
}

async fn open_dialer(
    mut socket: WebSocketStream<TcpStream>,
    peer: &str,
    key: &Key,
    me: &Hello,
) -> Result<Link, Error> {
    let step = "prove membership";
    let challenge: Challenge = receive(&mut socket, step, peer).await?;
    let nonce = nonce();
    let hello = encode(me);
    let proof = key.prove(Side::Dialer, [&challenge.nonce, &nonce], &hello);
    send(&mut socket, step, peer, &Proof { nonce: nonce.clone(), hello, proof }).await?;
    let reply: Proof = receive(&mut socket, step, peer).await?;
    let nonces: [&[u8]; 2] = [&challenge.nonce, &nonce];
    if !key.check(Side::Acceptor, nonces, &reply.hello, &reply.proof) {
        return Err(Error::Stranger { step, peer: peer.to_owned() });
    }
    let hello = decode(&reply.hello, step, peer)?;
    Ok(Link { socket, hello, peer: peer.to_owned() })
}

async fn open_acceptor(
    mut socket: WebSocketStream<TcpStream>,
    peer: &str,
    key: &Key,
    me: &Hello,
) -> Result<Link, Error> {
    let step = "check membership";
    let nonce = nonce();
    send(&mut socket, step, peer, &Challenge { nonce: nonce.clone() }).await?;
    let reply: Proof = receive(&mut socket, step, peer).await?;
    let nonces: [&[u8]; 2] = [&nonce, &reply.nonce];
    if !key.check(Side::Dialer, nonces, &reply.hello, &reply.proof) {
        return Err(Error::Stranger { step, peer: peer.to_owned() });
    }
    let hello = decode(&reply.hello, step, peer)?;
    let mine = encode(me);
    let proof = key.prove(Side::Acceptor, nonces, &mine);
    send(&mut socket, step, peer, &Proof { nonce: Vec::new(), hello: mine, proof }).await?;
    Ok(Link { socket, hello, peer: peer.to_owned() })
}

impl Link {
    /// Who is at the other end.
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// The other end's address.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Splits the connection into its two directions.
    pub fn split(self) -> (Sender, Receiver) {
        let (sink, stream) = self.socket.split();
        (Sender { sink, peer: self.peer.clone() }, Receiver { stream, peer: self.peer })
    }
}

/// The sending direction of a [`Link`].
pub struct Sender {
    sink: futures_util::stream::SplitSink<WebSocketStream<TcpStream>, Message>,
    peer: String,
}

impl Sender {
    /// Sends one frame and returns its size in bytes.
    pub async fn send<F: Serialize>(&mut self, frame: &F) -> Result<usize, Error> {
        let bytes = encode(frame);
        let size = bytes.len();
        let message = Message::binary(bytes);
        self.sink.send(message).await.map_err(|e| socket_error("send", &self.peer, &e))?;
        Ok(size)
    }

    /// Closes the connection in an orderly way.
    pub async fn close(&mut self) {
        let _ = self.sink.close().await;
    }
}

/// The receiving direction of a [`Link`].
pub struct Receiver {
    stream: futures_util::stream::SplitStream<WebSocketStream<TcpStream>>,
    peer: String,
}

impl Receiver {
    /// Waits for the next frame and returns it with its size in bytes.
    pub async fn next<F: DeserializeOwned>(&mut self) -> Result<(F, usize), Error> {
        let step = "receive";
        loop {
            let message = match self.stream.next().await {
                None => return Err(Error::Closed { peer: self.peer.clone() }),
                Some(message) => message.map_err(|e| socket_error(step, &self.peer, &e))?,
            };
            match message {
                Message::Binary(bytes) => {
                    return Ok((decode(&bytes, step, &self.peer)?, bytes.len()));
                }
                Message::Close(_) => return Err(Error::Closed { peer: self.peer.clone() }),
                Message::Ping(_) | Message::Pong(_) => {}
                Message::Text(_) | Message::Frame(_) => {
                    let detail = "not a binary message".to_owned();
                    return Err(Error::Malformed { step, peer: self.peer.clone(), detail });
                }
            }
        }
    }
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME))
        .max_frame_size(Some(MAX_FRAME))
        // The defaults keep 128 KiB a connection, which at 500 agents would
        // exceed the 32 MB that a daemon may use.
        .read_buffer_size(4 << 10)
        .write_buffer_size(4 << 10)
}

fn nonce() -> Vec<u8> {
    let mut nonce = vec![0; 32];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("frames have no unserializable parts");
    bytes
}

fn decode<T: DeserializeOwned>(bytes: &[u8], step: &'static str, peer: &str) -> Result<T, Error> {
    ciborium::from_reader(bytes).map_err(|error| Error::Malformed {
        step,
        peer: peer.to_owned(),
        detail: error.to_string(),
    })
}

async fn send<T: Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    step: &'static str,
    peer: &str,
    value: &T,
) -> Result<(), Error> {
    let message = Message::binary(encode(value));
    socket.send(message).await.map_err(|e| socket_error(step, peer, &e))
}

async fn receive<T: DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
    step: &'static str,
    peer: &str,
) -> Result<T, Error> {
    match socket.next().await {
        Some(Ok(Message::Binary(bytes))) => decode(&bytes, step, peer),
        Some(Err(error)) => Err(socket_error(step, peer, &error)),
        _ => Err(Error::Closed { peer: peer.to_owned() }),
    }
}

fn socket(step: &'static str, peer: &str, error: &std::io::Error) -> Error {
    Error::Socket { step, peer: peer.to_owned(), detail: error.to_string() }
}

fn socket_error(
    step: &'static str,
    peer: &str,
    error: &tokio_tungstenite::tungstenite::Error,
) -> Error {
    Error::Socket { step, peer: peer.to_owned(), detail: error.to_string() }
}

fn timed_out(step: &'static str, peer: &str) -> Error {
    Error::Timeout { step, peer: peer.to_owned() }
}
