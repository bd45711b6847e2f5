//! HTTP in, by `tiny_http`, with what it lacks added around it.
//!
//! - One accept error ends `tiny_http`'s accept loop, so a new `Server` is opened on
//!   the same socket.
//! - It sets no time-outs. On Linux an accepted socket inherits those of its
//!   listening socket, so they are set there; a quiet listening socket then reports an
//!   accept error as well, which the first point covers.
//! - `respond` holds a stream back until its end, so answers are written by
//!   `into_writer`, head and chunks by hand, flushed each.
//!
//! See `docs/house-style.md`, and `lib/tests/test_http_server.rs` for each as a test.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::protocol::http::{HttpCall, HttpReply};
use crate::transport::worker_pool::WorkerPool;

const POLL: Duration = Duration::from_millis(50);
const REOPEN_PAUSE: Duration = Duration::from_millis(20);
const BACKLOG: i32 = 1024;

/// What a server refuses beyond.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Requests handled at once.
    pub in_flight: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Bytes of all headers.
    pub header_bytes: usize,
    /// Longest silence of a connection, and longest wait for a caller that does not read.
    pub read_timeout: Duration,
}

/// Why a request was refused before a handler saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerRefusal {
    /// All workers are busy.
    Busy,
    /// The body is too long.
    BodyTooLong,
    /// The headers are too long.
    HeadersTooLong,
    /// The body ended early or stalled.
    BodyBroken,
}

/// One request with the way to answer it.
pub struct HttpExchange {
    /// The request.
    pub call: HttpCall,
    /// The caller's address, if known.
    pub peer: Option<SocketAddr>,
    /// The answer's writer.
    pub writer: ResponseWriter,
}

/// Writes one answer: whole, or as a stream.
pub struct ResponseWriter {
    out: Box<dyn Write + Send>,
    head_only: bool,
    streaming: bool,
}

impl ResponseWriter {
    /// Sends a whole answer.
    pub fn send(&mut self, reply: &HttpReply) -> io::Result<()> {
        let mut bytes = head_bytes(reply.status, &reply.headers);
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", reply.body.len()).as_bytes());
        if !self.head_only {
            bytes.extend_from_slice(&reply.body);
        }
        self.out.write_all(&bytes)?;
        self.out.flush()
    }

    /// Sends the head of a stream.
    pub fn begin(&mut self, status: u16, headers: &[(String, String)]) -> io::Result<()> {
        let mut bytes = head_bytes(status, headers);
        bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
        self.streaming = true;
        self.out.write_all(&bytes)?;
        self.out.flush()
    }

    /// Sends a chunk at once.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(b"\r\n");
        self.out.write_all(&chunk)?;
        self.out.flush()
    }

    /// Ends a stream cleanly. A stream that is dropped without this ends visibly cut.
    pub fn finish(&mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }

    /// Whether a stream's head was sent.
    pub fn is_streaming(&self) -> bool {
        self.streaming
    }
}

fn head_bytes(status: u16, headers: &[(String, String)]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        head.push_str(name);
        head.push_str(": ");
        head.extend(value.chars().filter(|c| !c.is_control()));
        head.push_str("\r\n");
    }
    // A kept connection would stay with the `Server` that accepted it, which may be closed.
    head.push_str("connection: close\r\n");
    head.into_bytes()
}

fn reason(status: u16) -> &'static str {
    match status {
        200..=299 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// What handles requests.
pub type ExchangeHandler = Arc<dyn Fn(HttpExchange) + Send + Sync>;
/// What words a refusal.
pub type RefusalReply = Arc<dyn Fn(ServerRefusal) -> HttpReply + Send + Sync>;

/// A running server.
pub struct HttpServer {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A listening socket at `address`, with the given time-outs for what it accepts.
pub fn listen(address: SocketAddr, read_timeout: Duration) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_read_timeout(Some(read_timeout))?;
    socket.set_write_timeout(Some(read_timeout))?;
    socket.set_nodelay(true)?;
    Ok(socket.into())
}

impl HttpServer {
    /// Serves on a socket from [`listen`] until stopped.
    pub fn start(
        listener: TcpListener,
        limits: ServerLimits,
        handler: ExchangeHandler,
        refusal: RefusalReply,
    ) -> io::Result<HttpServer> {
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let accept = AcceptLoop {
            pool: WorkerPool::new("request", limits.in_flight),
            limits,
            handler,
            refusal,
            stop: stop.clone(),
        };
        let thread = std::thread::Builder::new()
            .name("accept".to_string())
            .spawn(move || accept.run(listener))?;
        Ok(HttpServer { stop, thread: Some(thread), address })
    }

    /// Takes no further request and waits until the accept loop is over.
    pub fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

#[derive(Clone)]
struct AcceptLoop {
    pool: WorkerPool,
    limits: ServerLimits,
    handler: ExchangeHandler,
    refusal: RefusalReply,
    stop: Arc<AtomicBool>,
}

impl AcceptLoop {
    /// Opens one `Server` after another on the socket, whenever one stops accepting.
    fn run(self, listener: TcpListener) {
        while !self.stop.load(Ordering::Relaxed) {
            let server = listener.try_clone().map_err(|error| error.to_string()).and_then(|copy| {
                tiny_http::Server::from_listener(copy, None).map_err(|error| error.to_string())
            });
            match server {
                Ok(server) => self.serve_until_error(server),
                Err(error) => tracing::warn!("http: cannot open the server: {error}."),
            }
            std::thread::sleep(REOPEN_PAUSE);
        }
    }

    fn serve_until_error(&self, server: tiny_http::Server) {
        while !self.stop.load(Ordering::Relaxed) {
            match server.recv_timeout(POLL) {
                Ok(Some(request)) => self.dispatch(request),
                Ok(None) => {}
                Err(error) => {
                    if error.kind() != io::ErrorKind::WouldBlock {
                        tracing::warn!("http: accepting stopped, opening anew: {error}.");
                    }
                    self.drain(server);
                    return;
                }
            }
        }
    }

    /// Connections that a closed `Server` accepted may still bring their one request.
    fn drain(&self, server: tiny_http::Server) {
        let this = self.clone();
        let until = Instant::now() + 3 * self.limits.read_timeout;
        let drain = move || {
            while Instant::now() < until && !this.stop.load(Ordering::Relaxed) {
                if let Ok(Some(request)) = server.recv_timeout(POLL) {
                    this.dispatch(request);
                }
            }
        };
        let _ = std::thread::Builder::new().name("accept-drain".to_string()).spawn(drain);
    }

    fn dispatch(&self, request: tiny_http::Request) {
        let slot = Arc::new(std::sync::Mutex::new(Some(request)));
        let job_slot = slot.clone();
        let this = self.clone();
        let job = move || {
            let request = job_slot.lock().unwrap_or_else(|poison| poison.into_inner()).take();
            if let Some(request) = request {
                this.handle(request);
            }
        };
        if self.pool.run(Box::new(job)).is_err() {
            let request = slot.lock().unwrap_or_else(|poison| poison.into_inner()).take();
            if let Some(request) = request {
                self.refuse(request, ServerRefusal::Busy);
            }
        }
    }

    fn handle(&self, mut request: tiny_http::Request) {
        let headers = headers_of(&request);
        let header_bytes: usize =
            headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        if header_bytes + request.url().len() > self.limits.header_bytes {
            return self.refuse(request, ServerRefusal::HeadersTooLong);
        }
        if request.body_length().is_some_and(|length| length > self.limits.body_bytes) {
            return self.refuse(request, ServerRefusal::BodyTooLong);
        }
        let mut body = Vec::new();
        let most = self.limits.body_bytes as u64 + 1;
        let read = request.as_reader().take(most).read_to_end(&mut body);
        if body.len() > self.limits.body_bytes {
            return self.refuse(request, ServerRefusal::BodyTooLong);
        }
        let expected = request.body_length();
        if read.is_err() || expected.is_some_and(|length| length != body.len()) {
            return self.refuse(request, ServerRefusal::BodyBroken);
        }
        let call = HttpCall {
            method: request.method().as_str().to_string(),
            target: request.url().to_string(),
            headers,
            body,
        };
        let peer = request.remote_addr().copied();
        let head_only = call.method == "HEAD";
        let writer = ResponseWriter { out: request.into_writer(), head_only, streaming: false };
        (self.handler)(HttpExchange { call, peer, writer });
    }

    fn refuse(&self, request: tiny_http::Request, refusal: ServerRefusal) {
        let reply = (self.refusal)(refusal);
        let out = request.into_writer();
        let mut writer = ResponseWriter { out, head_only: false, streaming: false };
        let _ = writer.send(&reply);
    }
}

fn headers_of(request: &tiny_http::Request) -> Vec<(String, String)> {
    let headers = request.headers().iter();
    let pair = |header: &tiny_http::Header| {
        let name = header.field.as_str().as_str().to_ascii_lowercase();
        (name, header.value.as_str().to_string())
    };
    headers.map(pair).collect()
}
