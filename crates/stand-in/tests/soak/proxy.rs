//! Loopback proxies that disturb the connections through them.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Delays each chunk by this many milliseconds.
    Delay(u64),
    /// Forwards nothing, on open and new connections.
    Silent,
    /// Forwards nothing towards the called process, but its replies.
    OneWay,
    /// Closes connections at once.
    Reset,
    /// Closes connections and refuses new ones, as if no process listened.
    Refused,
}

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    mode: Mode,
    open: Vec<TcpStream>,
}

/// How often a blocked connection checks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often a proxy checks for new connections, and whether it has to refuse them.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(5);

impl Proxy {
    /// Starts a proxy that listens on `from` and connects to `to`.
    pub fn bind(from: &str, to: &str) -> std::io::Result<Proxy> {
        let mut listener = Some(Proxy::listen(from)?);
        let proxy = Proxy { state: Arc::default() };
        let (running, from, to) = (proxy.clone(), from.to_owned(), to.to_owned());
        thread::spawn(move || {
            loop {
                listener = match (running.mode(), listener) {
                    (Mode::Refused, _) => None,
                    (_, None) => Proxy::listen(&from).ok(),
                    (_, listener) => listener,
                };
                match listener.as_ref().map(TcpListener::accept) {
                    Some(Ok((stream, _))) => running.accept(stream, &to),
                    _ => thread::sleep(ACCEPT_INTERVAL),
                }
            }
        });
        Ok(proxy)
    }

    fn listen(address: &str) -> std::io::Result<TcpListener> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    }

    /// Changes the mode for new and open connections.
    pub fn set(&self, mode: Mode) {
        let mut state = self.state.lock().unwrap();
        state.mode = mode;
        if matches!(mode, Mode::Reset | Mode::Refused) {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    fn mode(&self) -> Mode {
        self.state.lock().unwrap().mode
    }

    fn accept(&self, client: TcpStream, to: &str) {
        if matches!(self.mode(), Mode::Reset | Mode::Refused) {
            return;
        }
        let Ok(server) = TcpStream::connect(to) else { return };
        let (Ok(up), Ok(down)) = (client.try_clone(), server.try_clone()) else { return };
        let mut state = self.state.lock().unwrap();
        state.open.extend([client.try_clone(), server.try_clone()].into_iter().flatten());
        drop(state);
        let (there, back) = (self.clone(), self.clone());
        thread::spawn(move || there.copy(client, down, true));
        thread::spawn(move || back.copy(server, up, false));
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, towards: bool) {
        let mut buffer = [0; 16 << 10];
        while let Ok(length @ 1..) = from.read(&mut buffer) {
            while self.holds(towards) {
                thread::sleep(POLL_INTERVAL);
            }
            if let Mode::Delay(ms) = self.mode() {
                thread::sleep(Duration::from_millis(ms));
            }
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }

    fn holds(&self, towards: bool) -> bool {
        match self.mode() {
            Mode::Silent => true,
            Mode::OneWay => towards,
            Mode::Pass | Mode::Delay(_) | Mode::Reset | Mode::Refused => false,
        }
    }
}
