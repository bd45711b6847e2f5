//! The pool of connections to upstreams, which are reused while both ends allow it.
//!
//! A connection serves one request at a time. Dropping a lease without finishing it closes the connection
//! at once, which signals to the upstream that the caller has disconnected. An idle connection is only a
//! socket: the HTTP client and its buffers, some 17 KB, are created for one request and freed after it;
//! see `docs/design/small-vms.md`.
//!
//! Invariant: every connection to an upstream comes from this pool, so that an upstream's notices (backoff,
//! leaving) are enforced here for all purposes: first sends, retries, resumed streams, checks after a
//! connection broke, and probes of upstreams that don't answer. They are checked before a connection is
//! opened and once more when it is established, since a notice may arrive in between.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{timeout, Instant};

use super::vm_sockets::{connect_from, is_quiet, seems_quiet, set_upstream_stream};
use crate::coordination::silence::ConnectTimeout;
use crate::coordination::upstream_notice::{ApproachPurpose, NoticeTable};
use crate::state::connect_count::{ConnectCause, ConnectCount};
use crate::state::ids::UpstreamKey;

/// How long an idle connection is kept if the upstream doesn't announce a limit, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4000;
/// An idle connection is no longer used from this long before the upstream would close it, in
/// milliseconds: a request sent then could meet the close.
const IDLE_MARGIN_MS: u64 = 700;
/// How long a request waits, after its answer, for its connection to become idle. A connection whose
/// request has been written in full becomes idle within this time.
const FINISH_WAIT: Duration = Duration::from_millis(10);
/// How long a probe's connection is watched for a reset.
const PROBE_QUIET: Duration = Duration::from_millis(50);
/// The buffer size of a connection, in bytes: the minimum that the HTTP library accepts.
const BUFFER_BYTES: usize = 8192;

/// Why no connection was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// The address refuses connections: nothing listens there, or something on the way rejects them.
    ConnectionRefused,
    /// The upstream didn't answer in time, or the connection failed otherwise.
    NoAnswer,
    /// The upstream's own notices rule out a connection for this purpose now, which is no evidence about its
    /// health.
    Disallowed,
}

/// An upstream to connect to, and the purpose and time of the connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectTarget {
    /// The incarnation of the upstream.
    pub upstream: UpstreamKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// The purpose, which decides which notices of the upstream apply.
    pub purpose: ApproachPurpose,
    /// The present time by the node's clock, in milliseconds.
    pub now_ms: u64,
}

/// A connection without a request, and the time until which it may be used.
struct IdleConnection {
    stream: TcpStream,
    expires_ms: u64,
}

/// This VM's connections to one upstream.
#[derive(Default)]
struct UpstreamConnections {
    idle: Vec<IdleConnection>,
    in_use: u32,
    /// Why the most recently closed connection ended.
    last_end: Option<ConnectCause>,
}

impl UpstreamConnections {
    /// The reason for opening another connection now.
    fn cause(&self) -> ConnectCause {
        match (self.in_use, self.last_end) {
            (0, Some(ended)) => ended,
            (0, None) => ConnectCause::First,
            _ => ConnectCause::Busy,
        }
    }

    fn pop(&mut self, now_ms: u64) -> Option<TcpStream> {
        while let Some(connection) = self.idle.pop() {
            match connection.fault(is_quiet, now_ms) {
                None => return Some(connection.stream),
                fault => self.last_end = fault,
            }
        }
        None
    }

    fn sweep(&mut self, now_ms: u64) {
        let mut ended = None;
        self.idle.retain(|connection| match connection.fault(seems_quiet, now_ms) {
            None => true,
            fault => {
                ended = fault;
                false
            }
        });
        self.last_end = ended.or(self.last_end);
    }
}

impl IdleConnection {
    /// Why the connection can't be used any more; `None` if it can.
    fn fault(&self, silent: fn(&TcpStream) -> bool, now_ms: u64) -> Option<ConnectCause> {
        if self.expires_ms <= now_ms {
            return Some(ConnectCause::IdleTimeout);
        }
        (!silent(&self.stream)).then_some(ConnectCause::Closed)
    }
}

/// All connections of one VM to upstreams. Clones share the same pool.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    /// The address from which connections are opened; chosen by the system if there is none.
    source: Option<Ipv4Addr>,
    /// The bytes with which both ends begin a connection, before HTTP.
    greeting: Option<&'static [u8]>,
    upstreams: Rc<RefCell<HashMap<UpstreamKey, UpstreamConnections>>>,
    connect_timeout: Rc<Cell<ConnectTimeout>>,
    opened: Rc<RefCell<ConnectCount>>,
    notices: Rc<RefCell<NoticeTable>>,
}

/// A connection in use. Dropping it closes the connection.
pub struct ConnectionLease {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: JoinHandle<Option<TcpStream>>,
    in_use: InUseGuard,
    reused: bool,
}

/// Counts a connection as in use while it is being opened or serves a request.
struct InUseGuard {
    upstream: UpstreamKey,
    pool: ConnectionPool,
}

impl InUseGuard {
    fn new(pool: &ConnectionPool, upstream: UpstreamKey) -> InUseGuard {
        pool.upstreams.borrow_mut().entry(upstream).or_default().in_use += 1;
        InUseGuard { upstream, pool: pool.clone() }
    }

    fn note(&self, act: impl FnOnce(&mut UpstreamConnections)) {
        if let Some(connections) = self.pool.upstreams.borrow_mut().get_mut(&self.upstream) {
            act(connections);
        }
    }
}

impl Drop for InUseGuard {
    fn drop(&mut self) {
        self.note(|connections| connections.in_use -= 1);
    }
}

impl ConnectionPool {
    /// Creates a pool that opens connections from the address `source`, so that upstreams see a VM with
    /// several addresses under the one that the fleet uses.
    pub fn from_source(source: Ipv4Addr) -> ConnectionPool {
        ConnectionPool { source: Some(source), ..ConnectionPool::default() }
    }

    /// Makes connections begin with these bytes in both directions.
    pub fn with_greeting(self, greeting: &'static [u8]) -> ConnectionPool {
        ConnectionPool { greeting: Some(greeting), ..self }
    }

    /// Returns an idle connection to the upstream, or opens a new one.
    pub async fn take(&self, destination: ConnectTarget) -> Result<ConnectionLease, ConnectFault> {
        self.check_allowed(destination)?;
        match self.pop(destination.upstream, destination.now_ms) {
            Some(stream) => {
                let in_use = InUseGuard::new(self, destination.upstream);
                self.lease(destination, in_use, stream, true).await
            }
            None => self.connect(destination).await,
        }
    }

    fn check_allowed(&self, destination: ConnectTarget) -> Result<(), ConnectFault> {
        let ConnectTarget { upstream, purpose, now_ms, .. } = destination;
        match self.notices.borrow().may_approach(upstream, purpose, now_ms) {
            true => Ok(()),
            false => Err(ConnectFault::Disallowed),
        }
    }

    async fn lease(
        &self,
        destination: ConnectTarget,
        in_use: InUseGuard,
        stream: TcpStream,
        reused: bool,
    ) -> Result<ConnectionLease, ConnectFault> {
        let lease = lease(in_use, stream, reused).await?;
        self.check_allowed(destination)?;
        Ok(lease)
    }

    fn pop(&self, upstream: UpstreamKey, now_ms: u64) -> Option<TcpStream> {
        self.upstreams.borrow_mut().get_mut(&upstream)?.pop(now_ms)
    }

    /// Opens a new connection to the upstream.
    pub async fn connect(
        &self,
        destination: ConnectTarget,
    ) -> Result<ConnectionLease, ConnectFault> {
        let (in_use, stream) = self.open(destination).await?;
        self.lease(destination, in_use, stream, false).await
    }

    /// Opens a new connection and keeps it as an idle one. Returns whether it is still open after
    /// [`PROBE_QUIET`]: a connection may be accepted on the way to an upstream that can't be reached, and be
    /// reset then.
    pub async fn probe(&self, destination: ConnectTarget) -> Result<bool, ConnectFault> {
        let (in_use, stream) = self.open(destination).await?;
        tokio::time::sleep(PROBE_QUIET).await;
        let open = is_quiet(&stream);
        if open {
            let expires_ms = destination.now_ms + DEFAULT_IDLE_MS - IDLE_MARGIN_MS;
            in_use.note(|connections| connections.idle.push(IdleConnection { stream, expires_ms }));
        }
        Ok(open)
    }

    /// Connects to the upstream. The attempt is abandoned after a multiple of the usual connect time: nothing
    /// was sent yet, so the request can still go to another upstream.
    async fn open(
        &self,
        destination: ConnectTarget,
    ) -> Result<(InUseGuard, TcpStream), ConnectFault> {
        self.check_allowed(destination)?;
        let ConnectTarget { upstream, address, .. } = destination;
        let cause = self
            .upstreams
            .borrow()
            .get(&upstream)
            .map_or(ConnectCause::First, |connections| connections.cause());
        let in_use = InUseGuard::new(self, upstream);
        let wait = Duration::from_millis(self.connect_timeout.get().wait_ms());
        let began = Instant::now();
        let connected = async {
            let mut stream = connect_from(self.source, address).await?;
            self.greet(&mut stream).await?;
            Ok(stream)
        };
        let stream = match timeout(wait, connected).await {
            Ok(Ok(stream)) => stream,
            Ok(Err::<_, std::io::Error>(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::ConnectionRefused)
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectFault::NoAnswer),
        };
        let mut connect_timeout = self.connect_timeout.get();
        connect_timeout.note(began.elapsed().as_secs_f64() * 1000.0);
        self.connect_timeout.set(connect_timeout);
        set_upstream_stream(&stream);
        self.opened.borrow_mut().note(cause);
        Ok((in_use, stream))
    }

    /// Sends the greeting of this pool's connections, if they have one, and reads it back.
    async fn greet(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let Some(greeting) = self.greeting else { return Ok(()) };
        stream.write_all(greeting).await?;
        let mut reply = vec![0; greeting.len()];
        stream.read_exact(&mut reply).await?;
        match reply == greeting {
            true => Ok(()),
            false => Err(ErrorKind::InvalidData.into()),
        }
    }

    /// Closes idle connections that have expired, and all idle connections to upstreams that are not
    /// `known` any more.
    pub fn sweep(&self, known: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        self.upstreams.borrow_mut().retain(|upstream, connections| {
            connections.sweep(now_ms);
            if !known(*upstream) {
                connections.idle.clear();
            }
            known(*upstream) || connections.in_use > 0
        });
    }

    /// The notices that upstreams sent in their answers.
    pub fn notices(&self) -> &RefCell<NoticeTable> {
        &self.notices
    }

    /// The number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.upstreams.borrow().values().map(|connections| connections.idle.len()).sum()
    }

    /// The number of connections opened, by cause.
    pub fn opened(&self) -> ConnectCount {
        *self.opened.borrow()
    }
}

/// Starts the HTTP client on a connected socket.
async fn lease(
    in_use: InUseGuard,
    stream: TcpStream,
    reused: bool,
) -> Result<ConnectionLease, ConnectFault> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(|_| ConnectFault::NoAnswer)?;
    let task = spawn_local(async move {
        // Errors of the connection are reported to the request that waits for its answer. If bytes follow the
        // answer, the connection is not reused: they belong to no request.
        let parts = connection.without_shutdown().await.ok()?;
        parts.read_buf.is_empty().then(|| parts.io.into_inner())
    });
    Ok(ConnectionLease { sender: Some(sender), task, in_use, reused })
}

impl ConnectionLease {
    /// The sending half of the connection.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        self.sender.as_mut().expect("a lease holds its connection until it is finished")
    }

    /// Whether the connection served requests before this lease.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Ends the lease after the whole answer was received: the connection is closed, or kept idle for
    /// `idle_ms`. An upstream may answer before it has read the whole request; the connection then
    /// becomes idle once the request is written, if that happens within the same time.
    pub async fn finish(mut self, closes: bool, idle_ms: Option<u64>, now_ms: u64) {
        // Once its sender is dropped, the connection's task ends when the answer has been read and the request
        // has been written.
        drop(self.sender.take());
        let idle_for_ms = idle_ms.unwrap_or(DEFAULT_IDLE_MS).saturating_sub(IDLE_MARGIN_MS);
        let expires_ms = now_ms + idle_for_ms;
        if closes {
            return self.keep(None, expires_ms);
        }
        match timeout(FINISH_WAIT, &mut self.task).await {
            Ok(ended) => self.keep(ended.ok().flatten(), expires_ms),
            Err(_) => {
                spawn_local(async move {
                    let ended = timeout(Duration::from_millis(idle_for_ms), &mut self.task).await;
                    self.keep(ended.ok().and_then(|ended| ended.ok().flatten()), expires_ms);
                });
            }
        }
    }

    /// Adds the connection to the idle ones, or notes that it was closed.
    fn keep(&self, stream: Option<TcpStream>, expires_ms: u64) {
        self.in_use.note(|connections| match stream {
            Some(stream) => connections.idle.push(IdleConnection { stream, expires_ms }),
            None => connections.last_end = Some(ConnectCause::Closed),
        });
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.task.abort();
        if self.sender.is_some() {
            self.in_use.note(|connections| connections.last_end = Some(ConnectCause::Cut));
        }
    }
}
