use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::Connection;

/// A TCP stream that fails once its connection is to be closed.
pub(crate) struct Stream {
    tcp: TcpStream,
    connection: Rc<Connection>,
}

impl Stream {
    pub fn new(tcp: TcpStream, connection: Rc<Connection>) -> Stream {
        Stream { tcp, connection }
    }

    pub fn connection(&self) -> Rc<Connection> {
        Rc::clone(&self.connection)
    }

    fn check(&self) -> io::Result<()> {
        match self.connection.is_closed() {
            true => Err(io::ErrorKind::ConnectionAborted.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check()?;
        self.connection.set_task(context);
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(context, buffer))?;
        self.connection.on_received(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let sent = ready!(Pin::new(&mut self.tcp).poll_write(context, bytes))?;
        self.connection.on_sent(sent, sent == bytes.len());
        Poll::Ready(Ok(sent))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check()?;
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connection.others().remove(self.connection.id());
    }
}
