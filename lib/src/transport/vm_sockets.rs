//! The options that a VM sets on its sockets.

use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::{Ipv4Addr, SocketAddr};
use std::task::{Context, Waker};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tracing::debug;

/// A connection whose peer acknowledges nothing for this long is closed. That is longer than
/// retransmissions on a lossy link take, and shorter than callers wait.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2500);
/// How an idle connection is probed (TCP keepalive).
///
/// With [`UNACKNOWLEDGED_TIMEOUT`] set, Linux ignores the number of probes: it gives up at the first timer after
/// that time if any probe is unanswered (tcp(7), `TCP_USER_TIMEOUT`).
#[derive(Clone, Copy, Debug)]
struct ProbeTimes {
    after: Duration,
    every: Duration,
}

/// For connections of callers and other VMs, of which many rest for long.
const DEFAULT_PROBES: ProbeTimes =
    ProbeTimes { after: Duration::from_secs(4), every: Duration::from_secs(1) };
/// For connections to upstreams, which may be silent for a second and go on. Three probes fall into the time
/// after which Linux gives up, so that one of them is answered.
const UPSTREAM_PROBES: ProbeTimes =
    ProbeTimes { after: Duration::from_millis(1200), every: Duration::from_millis(600) };
/// The most connections that wait to be accepted. A connection that finds the queue full is delayed by
/// seconds.
const BACKLOG: i32 = 1024;

/// Sets the options of a connection of a caller or of another VM.
pub fn set_stream(stream: &TcpStream) {
    set_options(stream, DEFAULT_PROBES);
}

/// Sets the options of a connection to an upstream.
pub fn set_upstream_stream(stream: &TcpStream) {
    set_options(stream, UPSTREAM_PROBES);
}

fn set_options(stream: &TcpStream, probes: ProbeTimes) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(probes.after).with_interval(probes.every);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = set {
        debug!(target: "socket", "an option was not set: {error}");
    }
}

/// Opens a listener at an address.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Connects to `address`, from the address `source` if there is one.
pub async fn connect_from(
    source: Option<Ipv4Addr>,
    address: SocketAddr,
) -> std::io::Result<TcpStream> {
    let Some(source) = source.filter(|_| address.is_ipv4()) else {
        return TcpStream::connect(address).await;
    };
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((source, 0)))?;
    socket.connect(address).await
}

/// Whether an idle stream is open and has nothing to read. One that has ended, or has received bytes that
/// weren't requested, can't be used for a request.
pub fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Like [`is_quiet`], but decided from the event loop's last readiness report, without a system call while
/// there is nothing to read. An event that the loop hasn't reported yet is missed.
pub fn seems_quiet(stream: &TcpStream) -> bool {
    let mut context = Context::from_waker(Waker::noop());
    stream.poll_read_ready(&mut context).is_pending() || is_quiet(stream)
}
