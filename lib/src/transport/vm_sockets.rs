//! Options of the sockets of a VM.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::task::{Context, Waker};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
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

/// Whether a stream on which nothing is due is open and silent: its end or bytes that were not requested
/// for make it unusable.
pub fn is_silent(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// The same as far as the event loop has heard, without a call to the system while it is silent.
pub fn seems_silent(stream: &TcpStream) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    stream.poll_read_ready(&mut context).is_pending() || is_silent(stream)
}
