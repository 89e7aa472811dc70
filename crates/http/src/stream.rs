use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::connection::Connection;

/// A TCP stream that is read and written only as its connection allows.
pub(crate) struct Stream {
    tcp: TcpStream,
    connection: Rc<Connection>,
    /// Whether the last read brought bytes. The HTTP library reads until there is nothing left, and
    /// decodes all of it at once; the pause makes it decode each part before the next is read.
    has_read: bool,
}

impl Stream {
    pub fn new(tcp: TcpStream, connection: Rc<Connection>) -> Stream {
        Stream { tcp, connection, has_read: false }
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
        let readable = match self.connection.readable(context) {
            Ok(bytes) => bytes.min(buffer.remaining()),
            Err(limit) => {
                self.connection.others().intake().turn_away(limit);
                self.connection.close();
                return Poll::Ready(self.check());
            }
        };
        if std::mem::take(&mut self.has_read) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if readable == 0 {
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(readable));
        ready!(Pin::new(&mut self.tcp).poll_read(context, &mut part))?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        self.has_read = bytes > 0;
        self.connection.on_received(bytes);
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
