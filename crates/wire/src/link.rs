use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rand::RngCore;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::{Role as WebSocketRole, WebSocketConfig};

use crate::error::Error;
use crate::hello::Hello;
use crate::proof::{Key, Side};

/// Maximum size of a frame, in bytes. It fits the largest payload (64 KiB) and an
/// inventory of several hundred attempts.
pub const MAX_FRAME: usize = 1 << 20;

/// Maximum size of a frame of the handshake, in bytes. Anyone who connects may send one.
const MAX_HANDSHAKE_FRAME: usize = 4 << 10;

/// Time limit for the whole handshake. Without it, a peer that connects and sends
/// nothing would occupy a connection slot indefinitely.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Connects to `address` and authenticates both sides.
///
/// Fails if the handshake does not complete within 2 s or the peer does not prove
/// that it has the fleet key.
pub async fn dial(address: &str, key: &Key, me: &Hello) -> Result<Link, Error> {
    let step = "dial";
    let handshake = async {
        let stream = TcpStream::connect(address).await.map_err(|e| io_error(step, address, &e))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (socket, _) = tokio_tungstenite::client_async_with_config(
            url,
            stream,
            Some(websocket_config(MAX_FRAME)),
        )
        .await
        .map_err(|e| socket_error(step, address, &e))?;
        authenticate_dialer(socket, address, key, me).await
    };
    timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or_else(|_| Err(timed_out(step, address)))
}

/// Authenticates both sides of an incoming connection.
///
/// Fails as [`dial`] does.
pub async fn accept(stream: TcpStream, key: &Key, me: &Hello) -> Result<Link, Error> {
    let step = "accept";
    let peer = stream.peer_addr().map_or_else(|_| "unknown".to_owned(), |addr| addr.to_string());
    let _ = stream.set_nodelay(true);
    let handshake = async {
        let config = websocket_config(MAX_HANDSHAKE_FRAME);
        let socket = tokio_tungstenite::accept_async_with_config(stream, Some(config))
            .await
            .map_err(|e| socket_error(step, &peer, &e))?;
        authenticate_acceptor(socket, &peer, key, me).await
    };
    timeout(HANDSHAKE_TIMEOUT, handshake).await.unwrap_or_else(|_| Err(timed_out(step, &peer)))
}

async fn authenticate_dialer(
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

async fn authenticate_acceptor(
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
    // The dialer sends nothing more before it has the proof, so that nothing is left unread here.
    let config = Some(websocket_config(MAX_FRAME));
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, WebSocketRole::Server, config).await;
    let own_hello = encode(me);
    let proof = key.prove(Side::Acceptor, nonces, &own_hello);
    send(&mut socket, step, peer, &Proof { nonce: Vec::new(), hello: own_hello, proof }).await?;
    Ok(Link { socket, hello, peer: peer.to_owned() })
}

impl Link {
    /// Returns the identity of the peer.
    pub fn hello(&self) -> &Hello {
        &self.hello
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Splits the connection into its sending and receiving halves.
    pub fn split(self) -> (Sender, Receiver) {
        let (sink, stream) = self.socket.split();
        (Sender { sink, peer: self.peer.clone() }, Receiver { stream, peer: self.peer })
    }
}

/// The sending half of a [`Link`].
pub struct Sender {
    sink: futures_util::stream::SplitSink<WebSocketStream<TcpStream>, Message>,
    peer: String,
}

impl Sender {
    /// Sends a frame and returns its encoded size in bytes.
    pub async fn send<F: Serialize>(&mut self, frame: &F) -> Result<usize, Error> {
        let bytes = encode(frame);
        let size = bytes.len();
        let message = Message::binary(bytes);
        self.sink.send(message).await.map_err(|e| socket_error("send", &self.peer, &e))?;
        Ok(size)
    }

    /// Closes the connection with a WebSocket close message.
    pub async fn close(&mut self) {
        let _ = self.sink.close().await;
    }
}

/// The receiving half of a [`Link`].
pub struct Receiver {
    stream: futures_util::stream::SplitStream<WebSocketStream<TcpStream>>,
    peer: String,
}

impl Receiver {
    /// Waits for the next frame and returns it with its encoded size in bytes.
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

fn websocket_config(max_frame: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(max_frame))
        .max_frame_size(Some(max_frame))
        // The default buffers take 128 KiB per connection. With 500 agents that
        // exceeds the 32 MB that a daemon may use.
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

fn io_error(step: &'static str, peer: &str, error: &std::io::Error) -> Error {
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
