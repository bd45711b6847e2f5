//! HTTP server based on `hyper`'s HTTP/1 over blocking sockets, with one thread for each
//! connection.
//!
//! `tiny_http` doesn't fit: its pool hands a burst of connections to the few threads that were idle
//! a moment before, so a request may wait behind silent or long ones, and any accept error ends its
//! loop. See `docs/house-style.md` for the figures, and `lib/tests/test_http_server.rs` for a test
//! of each fault.
//!
//! The thread of a connection reads the request and writes the answer, and a worker runs the
//! handler. A short queue of parts connects them, so that a slow caller blocks the handler instead
//! of filling memory. A future in this module waits for the next bytes of the socket, for which
//! [`drive_connection`] polls, or for that queue or a write, which block the thread.

use std::future::Future;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::io::AsRawFd;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll, Wake};
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{bounded, Receiver, Sender};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::service::service_fn;
use hyper::{Request, Response};

use crate::protocol::http::{HttpCall, HttpReply};
use crate::transport::worker_pool::WorkerPool;

/// How often the accept loop checks whether it should stop.
const ACCEPT_POLL: Duration = Duration::from_millis(100);
/// The pause after an accept error, such as running out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The number of connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// The maximum number of parts of an answer that wait for a slow caller.
const MAX_BUFFERED_PARTS: usize = 32;
/// How many connections may be open beyond the limit of requests in flight, for idle connections.
const MAX_IDLE_CONNECTIONS: usize = 512;
/// The minimum size of a connection's read buffer in bytes, below which `hyper` panics.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// The limits beyond which a server refuses requests.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// The maximum number of requests handled at once.
    pub in_flight: usize,
    /// The maximum length of a body, in bytes.
    pub body_bytes: usize,
    /// The maximum length of the target and all headers, in bytes.
    pub header_bytes: usize,
    /// The longest silence of a connection, and the longest wait for a caller that doesn't read.
    pub read_timeout: Duration,
}

/// The reason why a request was refused before a handler received it.
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

/// A request and the writer for its answer.
pub struct HttpExchange {
    /// The request.
    pub call: HttpCall,
    /// The caller's address, if known.
    pub peer: Option<SocketAddr>,
    /// The writer for the answer.
    pub writer: ResponseWriter,
}

/// A part of an answer that a handler hands to the thread of the connection.
enum ResponsePart {
    Whole(HttpReply),
    Begin(u16, Vec<(String, String)>),
    Chunk(Vec<u8>),
    Finish,
}

/// Writes one answer, either whole or as a stream. If it is dropped before the end of the answer,
/// the connection closes without a clean end, so that the caller detects the cut.
pub struct ResponseWriter {
    parts: Sender<ResponsePart>,
}

impl ResponseWriter {
    fn send_part(&mut self, part: ResponsePart) -> io::Result<()> {
        self.parts.send(part).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Sends a whole answer.
    pub fn send(&mut self, reply: &HttpReply) -> io::Result<()> {
        self.send_part(ResponsePart::Whole(reply.clone()))
    }

    /// Sends the head of a stream.
    pub fn begin(&mut self, status: u16, headers: &[(String, String)]) -> io::Result<()> {
        self.send_part(ResponsePart::Begin(status, headers.to_vec()))
    }

    /// Sends a chunk at once. Blocks while the caller doesn't read.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        match bytes.is_empty() {
            true => Ok(()),
            false => self.send_part(ResponsePart::Chunk(bytes.to_vec())),
        }
    }

    /// Ends a stream cleanly.
    pub fn finish(&mut self) -> io::Result<()> {
        self.send_part(ResponsePart::Finish)
    }
}

/// The function that handles a request.
pub type ExchangeHandler = Arc<dyn Fn(HttpExchange) + Send + Sync>;
/// The function that makes the answer to a refused request.
pub type RefusalReply = Arc<dyn Fn(ServerRefusal) -> HttpReply + Send + Sync>;

/// A running server.
pub struct HttpServer {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    /// The address on which the server listens.
    pub address: SocketAddr,
}

/// Opens a listening socket at `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // Makes `accept` return regularly, so that the accept loop can check whether to stop.
    socket.set_read_timeout(Some(ACCEPT_POLL))?;
    Ok(socket.into())
}

impl HttpServer {
    /// Starts serving on a socket from [`listen`].
    pub fn start(
        listener: TcpListener,
        limits: ServerLimits,
        handler: ExchangeHandler,
        refusal: RefusalReply,
    ) -> io::Result<HttpServer> {
        let address = listener.local_addr()?;
        let stop = Arc::new(AtomicBool::new(false));
        let accept = Arc::new(AcceptLoop {
            connections: WorkerPool::new("connection", limits.in_flight + MAX_IDLE_CONNECTIONS),
            handlers: WorkerPool::new("request", limits.in_flight),
            limits,
            handler,
            refusal,
            stop: stop.clone(),
        });
        let thread = std::thread::Builder::new()
            .name("accept".to_string())
            .spawn(move || accept.run(&listener))?;
        Ok(HttpServer { stop, thread: Some(thread), address })
    }

    /// Stops accepting connections and waits until the accept loop has ended.
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

/// The loop that accepts connections, with what the threads of connections share.
struct AcceptLoop {
    connections: WorkerPool,
    handlers: WorkerPool,
    limits: ServerLimits,
    handler: ExchangeHandler,
    refusal: RefusalReply,
    stop: Arc<AtomicBool>,
}

impl AcceptLoop {
    fn run(self: &Arc<Self>, listener: &TcpListener) {
        while !self.stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, peer)) => self.start_connection(stream, peer),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    tracing::warn!("http: cannot accept: {error}.");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    /// Sets the timeouts of a connection and starts serving it on a worker.
    fn start_connection(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let timeout = Some(self.limits.read_timeout);
        let prepared = stream
            .set_read_timeout(timeout)
            .and_then(|()| stream.set_write_timeout(timeout))
            .and_then(|()| stream.set_nodelay(true));
        if prepared.is_err() {
            return;
        }
        let this = self.clone();
        // If no worker is free, the connection is closed. No request of the caller has been read by
        // then, so none has run.
        let _ = self.connections.run(Box::new(move || this.serve(stream, peer)));
    }

    /// Serves the requests of one connection until it ends.
    fn serve(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let Ok(socket_handle) = stream.try_clone() else { return };
        let socket_handle = Arc::new(socket_handle);
        let (this, socket) = (self.clone(), socket_handle.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (this, socket) = (this.clone(), socket.clone());
            async move {
                let is_http_10 = request.version() == hyper::Version::HTTP_10;
                let response = this.answer(request, peer).await?;
                if is_http_10 && response.body().parts.is_some() {
                    reset_unless_shut(&socket)?;
                }
                Ok::<_, io::Error>(response)
            }
        });
        let buffer = (self.limits.header_bytes * 2).max(MIN_READ_BUFFER_BYTES);
        let connection = hyper::server::conn::http1::Builder::new()
            .max_buf_size(buffer)
            .serve_connection(BlockingStream(stream), service);
        drive_connection(connection, &socket_handle, self.limits.read_timeout);
    }

    /// Reads a request, runs its handler on a worker, and returns the start of the answer.
    async fn answer(
        self: &Arc<Self>,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> io::Result<Response<PartBody>> {
        let call = match self.read(request).await {
            Ok(call) => call,
            Err(refusal) => return Ok(whole_response((self.refusal)(refusal))),
        };
        let (sender, parts) = bounded(MAX_BUFFERED_PARTS);
        let exchange =
            HttpExchange { call, peer: Some(peer), writer: ResponseWriter { parts: sender } };
        let handler = self.handler.clone();
        if self.handlers.run(Box::new(move || handler(exchange))).is_err() {
            return Ok(whole_response((self.refusal)(ServerRefusal::Busy)));
        }
        match parts.recv() {
            Ok(ResponsePart::Whole(reply)) => Ok(whole_response(reply)),
            Ok(ResponsePart::Begin(status, headers)) => {
                Ok(response(status, &headers, PartBody::stream(parts)))
            }
            // The handler ended without an answer, so the connection is cut.
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

    /// Reads a whole request within the limits.
    async fn read(&self, request: Request<Incoming>) -> Result<HttpCall, ServerRefusal> {
        let (head, body) = request.into_parts();
        let headers: Vec<(String, String)> = head
            .headers
            .iter()
            .map(|(name, value)| {
                let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
                (name.as_str().to_string(), value)
            })
            .collect();
        let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_string();
        let pairs = headers.iter().map(|(name, value)| name.len() + value.len());
        if pairs.sum::<usize>() + target.len() > self.limits.header_bytes {
            return Err(ServerRefusal::HeadersTooLong);
        }
        let most = self.limits.body_bytes;
        if body.size_hint().exact().is_some_and(|length| length > most as u64) {
            return Err(ServerRefusal::BodyTooLong);
        }
        let collected = Limited::new(body, most).collect().await;
        let body =
            collected.map_err(|error| match error.is::<http_body_util::LengthLimitError>() {
                true => ServerRefusal::BodyTooLong,
                false => ServerRefusal::BodyBroken,
            })?;
        let method = head.method.as_str().to_string();
        Ok(HttpCall { method, target, headers, body: body.to_bytes().to_vec() })
    }
}

fn whole_response(reply: HttpReply) -> Response<PartBody> {
    let body = PartBody { whole: Some(Bytes::from(reply.body)), parts: None, flushed: false };
    response(reply.status, &reply.headers, body)
}

/// Makes a response. Headers that are invalid in HTTP are left out: they come from upstreams, which
/// may send anything, since all other names are checked before.
fn response(status: u16, headers: &[(String, String)], body: PartBody) -> Response<PartBody> {
    let mut builder = Response::builder().status(status);
    for (name, value) in headers {
        let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
        let value = hyper::header::HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            builder = builder.header(name, value);
        }
    }
    builder.body(body).unwrap_or_else(|_| Response::new(PartBody::default()))
}

/// The body of an answer: either whole, or parts as the handler produces them.
#[derive(Default)]
struct PartBody {
    whole: Option<Bytes>,
    parts: Option<Receiver<ResponsePart>>,
    flushed: bool,
}

impl PartBody {
    fn stream(parts: Receiver<ResponsePart>) -> PartBody {
        PartBody { whole: None, parts: Some(parts), flushed: false }
    }
}

impl Body for PartBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(whole) = self.whole.take() {
            return Poll::Ready(Some(Ok(Frame::data(whole))));
        }
        let Some(parts) = self.parts.clone() else { return Poll::Ready(None) };
        let part = match parts.try_recv() {
            Ok(part) => Ok(part),
            // `hyper` flushes the parts that it has only when the body is pending. So the body
            // returns pending once when the queue is empty, and blocks when it is polled again.
            Err(_) if !self.flushed => {
                self.flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            Err(_) => parts.recv(),
        };
        self.flushed = false;
        match part {
            Ok(ResponsePart::Chunk(bytes)) => {
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(bytes)))))
            }
            Ok(ResponsePart::Finish) => {
                self.parts = None;
                Poll::Ready(None)
            }
            _ => Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.whole.is_none() && self.parts.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match (&self.whole, &self.parts) {
            (Some(whole), _) => SizeHint::with_exact(whole.len() as u64),
            (None, None) => SizeHint::with_exact(0),
            (None, Some(_)) => SizeHint::default(),
        }
    }
}

/// A waker that sets a flag, by which [`drive_connection`] detects that it must poll again.
#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Polls a connection to its end. While the connection is pending and wasn't woken, waits for bytes
/// from the caller; drops the connection of a caller that sends nothing for `silence_limit`.
fn drive_connection(connection: impl Future, socket: &TcpStream, silence_limit: Duration) {
    let flag = Arc::new(WakeFlag::default());
    let waker = flag.clone().into();
    let mut context = Context::from_waker(&waker);
    let mut connection = std::pin::pin!(connection);
    while connection.as_mut().poll(&mut context).is_pending() {
        let woken = flag.0.swap(false, Ordering::Relaxed);
        if !woken && !wait_readable(socket, silence_limit) {
            return;
        }
    }
}

/// Makes the connection end by a reset unless it is shut down after the last byte, even if this
/// process ends. Without chunks or a length, a clean end of the connection would mark the answer as
/// complete.
fn reset_unless_shut(socket: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

/// Waits at most `most` until the socket is readable; returns whether it is.
fn wait_readable(socket: &TcpStream, most: Duration) -> bool {
    let mut wanted = libc::pollfd { fd: socket.as_raw_fd(), events: libc::POLLIN, revents: 0 };
    // SAFETY: the array has one descriptor, which is open as long as `socket` lives.
    unsafe { libc::poll(&mut wanted, 1, most.as_millis() as i32) > 0 }
}

/// A socket whose writes block up to their timeout, and whose reads return the bytes that are
/// available.
struct BlockingStream(TcpStream);

impl hyper::rt::Read for BlockingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 16 << 10];
        let most = buffer.remaining().min(bytes.len());
        // SAFETY: the buffer is a local array of at least `most` bytes, and the descriptor is open.
        let length = unsafe {
            let start = bytes.as_mut_ptr().cast();
            libc::recv(self.0.as_raw_fd(), start, most, libc::MSG_DONTWAIT)
        };
        match usize::try_from(length) {
            Ok(length) => {
                buffer.put_slice(&bytes[..length]);
                Poll::Ready(Ok(()))
            }
            Err(_) => match io::Error::last_os_error() {
                error if error.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
                error => Poll::Ready(Err(error)),
            },
        }
    }
}

impl hyper::rt::Write for BlockingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(self.0.write(bytes).map_err(timed_out))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shut = socket2::SockRef::from(&self.0).set_linger(None);
        Poll::Ready(shut.and_then(|()| self.0.shutdown(std::net::Shutdown::Write)))
    }
}

/// Maps the timeout of a socket, which is reported as `WouldBlock`, to `TimedOut`, so that the
/// write isn't tried again.
fn timed_out(error: io::Error) -> io::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => error,
    }
}
