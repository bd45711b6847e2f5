//! Connections to upstreams, kept while both ends allow it.
//!
//! A connection serves one request at a time. Whoever drops a lease without finishing
//! it closes the connection at once, which is how an upstream learns that its caller
//! has left.

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
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, Instant};

use super::vm_sockets::set_stream;
use crate::coordination::silence::ConnectPatience;
use crate::state::ids::UpstreamKey;

/// How long a resting connection is kept when the upstream doesn't say, in milliseconds.
const USUAL_REST_MS: u64 = 4000;
/// A connection is left alone this long before the upstream would close it, in milliseconds.
const REST_MARGIN_MS: u64 = 700;
/// The buffer of a connection, in bytes; the least that the library takes.
const BUFFER_BYTES: usize = 8192;

/// Why there is no connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFault {
    /// The address answers that nobody listens there: that process has ended.
    NobodyListens,
    /// Nothing came, or nothing usable.
    NoAnswer,
}

struct RestingConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until_ms: u64,
}

/// All resting connections of one VM.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    resting: Rc<RefCell<HashMap<UpstreamKey, Vec<RestingConnection>>>>,
    patience: Rc<Cell<ConnectPatience>>,
}

/// A connection in use. Dropping it closes the connection.
pub struct ConnectionLease {
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    upstream: UpstreamKey,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// A resting connection to the upstream, or a new one.
    pub async fn take(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
        now_ms: u64,
    ) -> Result<ConnectionLease, ConnectFault> {
        if let Some(lease) = self.take_resting(upstream, now_ms) {
            return Ok(lease);
        }
        self.connect(upstream, address).await
    }

    fn take_resting(&self, upstream: UpstreamKey, now_ms: u64) -> Option<ConnectionLease> {
        let mut resting = self.resting.borrow_mut();
        let connections = resting.get_mut(&upstream)?;
        while let Some(connection) = connections.pop() {
            let usable = connection.sender.is_ready() && connection.until_ms > now_ms;
            if usable {
                return Some(ConnectionLease {
                    sender: Some(connection.sender),
                    task: connection.task,
                    upstream,
                    pool: self.clone(),
                });
            }
            connection.task.abort();
        }
        None
    }

    /// A new connection to the upstream. One that isn't up after some times what connecting takes is
    /// given up: nothing was sent, so another upstream can still be asked.
    pub async fn connect(
        &self,
        upstream: UpstreamKey,
        address: SocketAddr,
    ) -> Result<ConnectionLease, ConnectFault> {
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
        let mut builder = http1::Builder::new();
        builder.max_buf_size(BUFFER_BYTES);
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|_| ConnectFault::NoAnswer)?;
        let task = spawn_local(async move {
            // What goes wrong on a connection is told to whoever waits for its answer.
            let _ = connection.await;
        });
        let task = task.abort_handle();
        let pool = self.clone();
        Ok(ConnectionLease { sender: Some(sender), task, upstream, pool })
    }

    /// Closes what has rested for long enough, and what belongs to upstreams that are gone.
    pub fn sweep(&self, known: impl Fn(UpstreamKey) -> bool, now_ms: u64) {
        self.resting.borrow_mut().retain(|upstream, connections| {
            let keep = known(*upstream);
            connections.retain(|connection| {
                let usable = keep && connection.until_ms > now_ms && !connection.sender.is_closed();
                if !usable {
                    connection.task.abort();
                }
                usable
            });
            !connections.is_empty()
        });
    }
}

impl ConnectionLease {
    /// The connection, to send a request over.
    pub fn sender(&mut self) -> &mut SendRequest<Full<Bytes>> {
        self.sender.as_mut().expect("a lease holds its connection until it is finished")
    }

    /// The whole answer came: the connection may rest for `idle_ms`, or is closed.
    pub async fn finish(mut self, closes: bool, idle_ms: Option<u64>, now_ms: u64) {
        let Some(mut sender) = self.sender.take() else { return };
        // The connection's task must see the end of the answer before it can be used again.
        if closes || sender.ready().await.is_err() {
            self.task.abort();
            return;
        }
        let rest_ms = idle_ms.unwrap_or(USUAL_REST_MS).saturating_sub(REST_MARGIN_MS);
        let connection =
            RestingConnection { sender, task: self.task.clone(), until_ms: now_ms + rest_ms };
        self.pool.resting.borrow_mut().entry(self.upstream).or_default().push(connection);
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}
