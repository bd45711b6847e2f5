//! Connections to upstreams, kept while both ends allow it.
//!
//! A connection serves one request at a time. Dropping a lease without finishing
//! it closes the connection at once, which is how an upstream learns that its caller
//! has left. A connection that rests is a socket and nothing else: the client and its
//! buffers, some 17 KB, are made for one request and given back after it; see
//! `docs/design/small-vms.md`.
//!
//! Invariant: nothing goes to an upstream by another way, so that what it says of itself is heeded here for
//! all of them: sends, repeats, resumed streams, looks at one that broke off, tries of silent ones. Asked
//! before a connection is opened and once more when it is up, since it may have said so meanwhile.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{timeout, Instant};

use super::vm_sockets::{is_silent, seems_silent, set_stream};
use crate::coordination::silence::ConnectPatience;
use crate::coordination::upstream_notice::{ApproachPurpose, NoticeTable};
use crate::state::connect_count::{ConnectCause, ConnectCount};
use crate::state::ids::UpstreamKey;

/// How long a resting connection is kept when the upstream doesn't say, in milliseconds.
const USUAL_REST_MS: u64 = 4000;
/// A connection is left alone this long before the upstream would close it, in milliseconds.
const REST_MARGIN_MS: u64 = 700;
/// A connection whose request has been written rests within this time after its answer.
const FINISH_TIME: Duration = Duration::from_millis(10);
/// The buffer of a connection, in bytes; the least that the library takes.
const BUFFER_BYTES: usize = 8192;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// The address refuses connections: that process has ended.
    NobodyListens,
    /// Nothing came, or nothing usable.
    NoAnswer,
    /// The upstream wants nothing of this kind from this VM now. It was left alone, and nothing is known of it.
    Unwanted,
}

/// Who is approached, where, what for, and when by the node's clock.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamApproach {
    /// The incarnation.
    pub upstream: UpstreamKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// What for.
    pub purpose: ApproachPurpose,
    /// The present time, in milliseconds.
    pub now_ms: u64,
}

struct RestingConnection {
    stream: TcpStream,
    until_ms: u64,
}

/// What a VM has, and had last, to one upstream.
#[derive(Default)]
struct UpstreamConnections {
    resting: Vec<RestingConnection>,
    in_use: u32,
    /// Why the one that ended last did so.
    ended: Option<ConnectCause>,
}

impl UpstreamConnections {
    /// Why a new one is opened now.
    fn cause(&self) -> ConnectCause {
        match (self.in_use, self.ended) {
            (0, Some(ended)) => ended,
            (0, None) => ConnectCause::First,
            _ => ConnectCause::Busy,
        }
    }

    fn pop(&mut self, now_ms: u64) -> Option<TcpStream> {
        while let Some(connection) = self.resting.pop() {
            match connection.fault(is_silent, now_ms) {
                None => return Some(connection.stream),
                ended => self.ended = ended,
            }
        }
        None
    }

    fn sweep(&mut self, now_ms: u64) {
        let mut ended = None;
        self.resting.retain(|connection| match connection.fault(seems_silent, now_ms) {
            None => true,
            fault => {
                ended = fault;
                false
            }
        });
        self.ended = ended.or(self.ended);
    }
}

impl RestingConnection {
    /// Why it can't be used, if so.
    fn fault(&self, silent: fn(&TcpStream) -> bool, now_ms: u64) -> Option<ConnectCause> {
        if self.until_ms <= now_ms {
            return Some(ConnectCause::IdleTimeout);
        }
        (!silent(&self.stream)).then_some(ConnectCause::Closed)
    }
}

/// All connections of one VM to upstreams.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    upstreams: Rc<RefCell<HashMap<UpstreamKey, UpstreamConnections>>>,
    patience: Rc<Cell<ConnectPatience>>,
    opened: Rc<RefCell<ConnectCount>>,
    notices: Rc<RefCell<NoticeTable>>,
}

/// A connection in use. Dropping it closes the connection.
pub struct ConnectionLease {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: JoinHandle<Option<TcpStream>>,
    in_use: UseGuard,
    kept: bool,
}

/// Counts a connection that is in use, or is being opened for it.
struct UseGuard {
    upstream: UpstreamKey,
    pool: ConnectionPool,
}

impl UseGuard {
    fn new(pool: &ConnectionPool, upstream: UpstreamKey) -> UseGuard {
        pool.upstreams.borrow_mut().entry(upstream).or_default().in_use += 1;
        UseGuard { upstream, pool: pool.clone() }
    }

    fn note(&self, act: impl FnOnce(&mut UpstreamConnections)) {
        if let Some(had) = self.pool.upstreams.borrow_mut().get_mut(&self.upstream) {
            act(had);
        }
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        self.note(|had| had.in_use -= 1);
    }
}

impl ConnectionPool {
    /// A resting connection to the upstream, or a new one.
    pub async fn take(&self, approach: UpstreamApproach) -> Result<ConnectionLease, ConnectFault> {
        self.check_wanted(approach)?;
        match self.pop(approach.upstream, approach.now_ms) {
            Some(stream) => {
                let in_use = UseGuard::new(self, approach.upstream);
                self.lease(approach, in_use, stream, true).await
            }
            None => self.connect(approach).await,
        }
    }

    fn check_wanted(&self, approach: UpstreamApproach) -> Result<(), ConnectFault> {
        let UpstreamApproach { upstream, purpose, now_ms, .. } = approach;
        match self.notices.borrow().may_approach(upstream, purpose, now_ms) {
            true => Ok(()),
            false => Err(ConnectFault::Unwanted),
        }
    }

    async fn lease(
        &self,
        approach: UpstreamApproach,
        in_use: UseGuard,
        stream: TcpStream,
        kept: bool,
    ) -> Result<ConnectionLease, ConnectFault> {
        let lease = lease(in_use, stream, kept).await?;
        self.check_wanted(approach)?;
        Ok(lease)
    }

    fn pop(&self, upstream: UpstreamKey, now_ms: u64) -> Option<TcpStream> {
        self.upstreams.borrow_mut().get_mut(&upstream)?.pop(now_ms)
    }

    /// A new connection to the upstream. One that isn't up after some times what connecting takes is
    /// given up: nothing was sent, so another upstream can still be asked.
    pub async fn connect(
        &self,
        approach: UpstreamApproach,
    ) -> Result<ConnectionLease, ConnectFault> {
        self.check_wanted(approach)?;
        let UpstreamApproach { upstream, address, .. } = approach;
        let cause =
            self.upstreams.borrow().get(&upstream).map_or(ConnectCause::First, |had| had.cause());
        let in_use = UseGuard::new(self, upstream);
        let wait = Duration::from_millis(self.patience.get().wait_ms());
        let began = Instant::now();
        let stream = match timeout(wait, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return Err(ConnectFault::NobodyListens)
            }
            Ok(Err(_)) | Err(_) => return Err(ConnectFault::NoAnswer),
        };
        let mut patience = self.patience.get();
        patience.note(began.elapsed().as_secs_f64() * 1000.0);
        self.patience.set(patience);
        set_stream(&stream);
        self.opened.borrow_mut().note(cause);
        self.lease(approach, in_use, stream, false).await
    }

    /// Closes what has rested for long enough, and what belongs to upstreams that are gone.
    pub fn sweep(&self, known: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        self.upstreams.borrow_mut().retain(|upstream, connections| {
            connections.sweep(now_ms);
            if !known(*upstream) {
                connections.resting.clear();
            }
            known(*upstream) || connections.in_use > 0
        });
    }

    /// What upstreams have said of themselves.
    pub fn notices(&self) -> &RefCell<NoticeTable> {
        &self.notices
    }

    /// How many connections rest.
    pub fn resting(&self) -> usize {
        self.upstreams.borrow().values().map(|connections| connections.resting.len()).sum()
    }

    /// How many connections were opened, by cause.
    pub fn opened(&self) -> ConnectCount {
        *self.opened.borrow()
    }
}

async fn lease(
    in_use: UseGuard,
    stream: TcpStream,
    kept: bool,
) -> Result<ConnectionLease, ConnectFault> {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(BUFFER_BYTES);
    let (sender, connection) =
        builder.handshake(TokioIo::new(stream)).await.map_err(|_| ConnectFault::NoAnswer)?;
    let task = spawn_local(async move {
        // What goes wrong on a connection is reported to the request that waits for its answer. Bytes beyond
        // the answer belong to no request.
        let parts = connection.without_shutdown().await.ok()?;
        parts.read_buf.is_empty().then(|| parts.io.into_inner())
    });
    Ok(ConnectionLease { sender: Some(sender), task, in_use, kept })
}

impl ConnectionLease {
    /// The connection, to send a request over.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        self.sender.as_mut().expect("a lease holds its connection until it is finished")
    }

    /// Whether it served requests before.
    pub fn is_kept(&self) -> bool {
        self.kept
    }

    /// The whole answer came: the connection may rest for `idle_ms`, or is closed. An upstream may answer
    /// before it has read the request; then the connection rests once it has, if that is within the same time.
    pub async fn finish(mut self, closes: bool, idle_ms: Option<u64>, now_ms: u64) {
        // Without its sender the connection's task ends once it has seen the end of the answer and has
        // written the request.
        drop(self.sender.take());
        let rest_ms = idle_ms.unwrap_or(USUAL_REST_MS).saturating_sub(REST_MARGIN_MS);
        let until_ms = now_ms + rest_ms;
        if closes {
            return self.rest(None, until_ms);
        }
        match timeout(FINISH_TIME, &mut self.task).await {
            Ok(ended) => self.rest(ended.ok().flatten(), until_ms),
            Err(_) => {
                spawn_local(async move {
                    let ended = timeout(Duration::from_millis(rest_ms), &mut self.task).await;
                    self.rest(ended.ok().and_then(|ended| ended.ok().flatten()), until_ms);
                });
            }
        }
    }

    fn rest(&self, stream: Option<TcpStream>, until_ms: u64) {
        self.in_use.note(|had| match stream {
            Some(stream) => had.resting.push(RestingConnection { stream, until_ms }),
            None => had.ended = Some(ConnectCause::Closed),
        });
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.task.abort();
        if self.sender.is_some() {
            self.in_use.note(|had| had.ended = Some(ConnectCause::Cut));
        }
    }
}
