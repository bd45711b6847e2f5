//! Options of the sockets of a VM.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tracing::debug;

/// A peer that acknowledges nothing for this long is gone: longer than any time a packet
/// waits on a lossy link, shorter than what callers wait.
const SILENT_PEER: Duration = Duration::from_millis(2500);
/// A resting connection is probed after this long.
const PROBE_AFTER: Duration = Duration::from_secs(4);
/// And then this often.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Connections that wait to be accepted; a full queue costs callers seconds.
const BACKLOG: i32 = 1024;

/// Sets what every connection needs.
pub fn set_stream(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_EVERY);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(SILENT_PEER)))
        .and_then(|()| socket.set_tcp_keepalive(&probes.with_retries(2)));
    if let Err(error) = set {
        debug!(target: "socket", "an option was not set: {error}");
    }
}

/// Listens at an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// A stream that remembers whether it broke: the server passes over a reset of a connection that
/// rests, and with it the sign that an answer may not have come to its caller.
pub struct WatchedStream {
    stream: TcpStream,
    broken: Rc<Cell<bool>>,
}

impl WatchedStream {
    /// Watches a stream; the cell tells whether it broke.
    pub fn new(stream: TcpStream) -> (WatchedStream, Rc<Cell<bool>>) {
        let broken = Rc::new(Cell::new(false));
        (WatchedStream { stream, broken: broken.clone() }, broken)
    }

    fn note<T>(&self, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(done, Poll::Ready(Err(_))) {
            self.broken.set(true);
        }
        done
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_read(context, into);
        self.note(done)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.note(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(context);
        self.note(done)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
