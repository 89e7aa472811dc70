use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use actix_http::{HttpService, Request};
use actix_service::{Service, ServiceFactory};
use tokio::sync::watch;

use crate::Reply;
use crate::body;
use crate::budget::Group;
use crate::connection::Connection;
use crate::connections::Connections;
use crate::intake::Intake;
use crate::limits::{Limits, RECEIVE_BUFFER_BYTES};
use crate::listener::{Listener, Purpose};
use crate::stream::Stream;

/// A handle of a running HTTP server.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    stopped: watch::Receiver<bool>,
}

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time limit for a client to send the first head of a connection.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// For how long the rest of a refused body is read, so that the client can read the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Time limit for requests in flight when the server stops.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two looks whether requests are in flight.
const STOP_INTERVAL: Duration = Duration::from_millis(10);
/// Pause after a connection could not be accepted for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Limits of a server whose machine is not known.
const DEFAULT_LIMITS: Limits = Limits { calls: 4096, pages: 64, body_bytes: 1 << 30 };

impl Server {
    /// Listens on `address` and serves with `handler` from a new thread, for clients that behave.
    pub fn bind<F, R>(name: &str, address: &str, handler: F) -> io::Result<Server>
    where
        F: Fn(Request) -> R + Clone + Send + 'static,
        R: Future<Output = Reply> + 'static,
    {
        let listener = Listener { address, purpose: Purpose::Calls };
        Server::bind_all(name, &[listener], &Intake::new(DEFAULT_LIMITS), handler)
    }

    /// Listens on all addresses and serves with `handler` from a new thread, within the limits of
    /// `intake`.
    pub fn bind_all<F, R>(
        name: &str,
        listeners: &[Listener<'_>],
        intake: &Intake,
        handler: F,
    ) -> io::Result<Server>
    where
        F: Fn(Request) -> R + Clone + Send + 'static,
        R: Future<Output = Reply> + 'static,
    {
        let mut sockets = Vec::with_capacity(listeners.len());
        for Listener { address, purpose } in listeners {
            let max = match purpose {
                Purpose::Calls => intake.limits().calls,
                Purpose::Pages => intake.limits().pages,
            };
            sockets.push((listen(address)?, intake.budget().add_group(max)));
        }
        let (first, _) = sockets.first().ok_or(io::ErrorKind::InvalidInput)?;
        let address = first.local_addr()?;
        let (stop, stopping) = watch::channel(false);
        let (stopped_sender, stopped) = watch::channel(false);
        let intake = intake.clone();
        thread::Builder::new().name(name.to_owned()).spawn(move || {
            actix_rt::System::new().block_on(async move {
                let connections = Rc::new(Connections::new(intake));
                serve(sockets, &connections, handler, stopping).await;
                let _ = stopped_sender.send(true);
            });
        })?;
        Ok(Server { address, stop, stopped })
    }

    /// Returns the first address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting connections, waits up to 1 s for requests in flight and ends
    /// the thread.
    pub async fn stop(&self) {
        let _ = self.stop.send(true);
        // Fails if the thread has ended already.
        let _ = self.stopped.clone().wait_for(|stopped| *stopped).await;
    }
}

fn listen(address: &str) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)
        .map_err(|error| io::Error::new(error.kind(), format!("listen on {address}: {error}")))?;
    listener.set_nonblocking(true)?;
    // Accepted connections inherit it. A system that does not know the option has small buffers.
    if let Err(error) = socket2::SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
    {
        log::info!(event = "listen"; "receive buffer of {address}: {error}");
    }
    Ok(listener)
}

/// Serves until `stopping` turns true.
async fn serve<F, R>(
    sockets: Vec<(TcpListener, Group)>,
    connections: &Rc<Connections>,
    handler: F,
    mut stopping: watch::Receiver<bool>,
) where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Reply> + 'static,
{
    let service = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEADER_TIMEOUT)
        .client_disconnect_timeout(LINGER_TIME)
        .on_connect_ext(|stream: &Stream, data| {
            data.insert(stream.connection());
        })
        .h1(move |request: Request| {
            let handler = handler.clone();
            async move { Ok::<Reply, Infallible>(answer(request, handler).await) }
        });
    let Ok(service) = service.new_service(()).await else { return };
    let service = Rc::new(service);
    let watching = Rc::clone(connections);
    actix_rt::spawn(async move { watching.watch().await });
    let mut accepting = Vec::with_capacity(sockets.len());
    for (socket, group) in sockets {
        let (connections, service) = (Rc::clone(connections), Rc::clone(&service));
        let accept_all = async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(socket) else { return };
            loop {
                let Ok((tcp, peer)) = listener.accept().await else {
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                if let Some(connection) = connections.open(group) {
                    // An error ends the connection, which is all that is to be done about it.
                    actix_rt::spawn(service.call((Stream::new(tcp, connection), Some(peer))));
                }
            }
        };
        accepting.push(actix_rt::spawn(accept_all));
    }
    if stopping.wait_for(|stopping| *stopping).await.is_err() {
        // The handle was dropped: the server runs for as long as the process.
        std::future::pending::<()>().await;
    }
    accepting.iter().for_each(|task| task.abort());
    let end = tokio::time::Instant::now() + STOP_TIMEOUT;
    while connections.intake().budget().is_busy() && tokio::time::Instant::now() < end {
        tokio::time::sleep(STOP_INTERVAL).await;
    }
}

/// Answers one request, once the client has taken the reply to the one before.
async fn answer<F, R>(request: Request, handler: F) -> Reply
where
    F: Fn(Request) -> R,
    R: Future<Output = Reply>,
{
    let Some(connection) = Connection::of(&request) else { return handler(request).await };
    connection.has_sent().await;
    connection.begin(body::length(&request));
    let mut reply = handler(request).await;
    if !connection.end() {
        crate::close(&mut reply);
    }
    reply
}
