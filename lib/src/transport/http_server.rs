//! HTTP in: `hyper`'s HTTP/1 over blocking sockets, a thread a connection.
//!
//! `tiny_http` was used first and did not fit: its pool hands a burst of connections to
//! the few threads that were idle a moment ago, so a good request may wait behind silent
//! or long ones, and each accept error ends its loop. See `docs/house-style.md` for the
//! figures, and `lib/tests/test_http_server.rs` for each finding as a test.
//!
//! A connection's thread reads the request and writes the answer; a worker runs the
//! handler. Between them is a short queue of parts, so that a slow caller holds back the
//! handler instead of filling memory. A future here waits for the socket's next bytes, which
//! [`drive_connection`] does, or for that queue and for room to write, which simply block.

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

/// How often the accept loop looks whether it should stop.
const ACCEPT_POLL: Duration = Duration::from_millis(100);
/// After an accept error, such as running out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
const BACKLOG: i32 = 1024;
/// Parts of an answer that may wait for a slow caller.
const MAX_BUFFERED_PARTS: usize = 32;
/// Idle connections may be this many more than requests in flight.
const MAX_IDLE_CONNECTIONS: usize = 512;
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// What a server refuses beyond.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Requests handled at once.
    pub in_flight: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// Bytes of all headers.
    pub header_bytes: usize,
    /// Longest silence_limit of a connection, and longest wait for a caller that does not read.
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

enum ResponsePart {
    Whole(HttpReply),
    Begin(u16, Vec<(String, String)>),
    Chunk(Vec<u8>),
    Finish,
}

/// Writes one answer: whole, or as a stream. One that is dropped before its end is cut
/// visibly: the connection closes without a clean end.
pub struct ResponseWriter {
    parts: Sender<ResponsePart>,
}

impl ResponseWriter {
    fn part(&mut self, part: ResponsePart) -> io::Result<()> {
        self.parts.send(part).map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    /// Sends a whole answer.
    pub fn send(&mut self, reply: &HttpReply) -> io::Result<()> {
        self.part(ResponsePart::Whole(reply.clone()))
    }

    /// Sends the head of a stream.
    pub fn begin(&mut self, status: u16, headers: &[(String, String)]) -> io::Result<()> {
        self.part(ResponsePart::Begin(status, headers.to_vec()))
    }

    /// Sends a chunk at once; waits while the caller does not read.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        match bytes.is_empty() {
            true => Ok(()),
            false => self.part(ResponsePart::Chunk(bytes.to_vec())),
        }
    }

    /// Ends a stream cleanly.
    pub fn finish(&mut self) -> io::Result<()> {
        self.part(ResponsePart::Finish)
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

/// A listening socket at `address`.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // Lets `accept` return now and then, to see whether to stop.
    socket.set_read_timeout(Some(ACCEPT_POLL))?;
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

    /// Accepts no further connection and waits until the accept loop is over.
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
                Ok((stream, peer)) => self.take(stream, peer),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => {
                    tracing::warn!("http: cannot accept: {error}.");
                    std::thread::sleep(ACCEPT_PAUSE);
                }
            }
        }
    }

    fn take(self: &Arc<Self>, stream: TcpStream, peer: SocketAddr) {
        let timeout = Some(self.limits.read_timeout);
        let prepared = stream
            .set_read_timeout(timeout)
            .and_then(|()| stream.set_write_timeout(timeout))
            .and_then(|()| stream.set_nodelay(true));
        if prepared.is_err() {
            return;
        }
        let this = self.clone();
        // Without a thread for it, the connection is closed; the caller has sent nothing yet
        // that could have run.
        let _ = self.connections.run(Box::new(move || this.serve(stream, peer)));
    }

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
            // A handler that ends without an answer cuts the connection.
            _ => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }

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

/// A header that HTTP cannot carry is left out: it came from a name that was checked before,
/// or from an upstream that may say anything.
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

/// An answer's body: whole, or parts as the handler makes them.
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
            // What was handed over is only flushed when the body has nothing more for now; so
            // it says so once, and waits when it is asked again.
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

#[derive(Default)]
struct WakeFlag(AtomicBool);

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Polls a connection to its end. When it waits and nothing woke it, it waits for bytes; a
/// caller that stays silent for too long is given up.
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

/// Without chunks or a length the end of the connection ends an answer, so it's reset wherever it isn't shut after
/// the last byte, also by the end of this process.
fn reset_unless_shut(socket: &TcpStream) -> io::Result<()> {
    socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO))
}

fn wait_readable(socket: &TcpStream, most: Duration) -> bool {
    let mut wanted = libc::pollfd { fd: socket.as_raw_fd(), events: libc::POLLIN, revents: 0 };
    // SAFETY: one descriptor, open for as long as `socket` lives.
    unsafe { libc::poll(&mut wanted, 1, most.as_millis() as i32) > 0 }
}

/// A socket whose writes block, up to their time-out; reads take what is there.
struct BlockingStream(TcpStream);

impl hyper::rt::Read for BlockingStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut buffer: hyper::rt::ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; 16 << 10];
        let most = buffer.remaining().min(bytes.len());
        // SAFETY: the buffer is ours and as long as said; the descriptor is open.
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

/// A socket's time-out shows as "would block", which must not look like "ask again".
fn timed_out(error: io::Error) -> io::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock => io::ErrorKind::TimedOut.into(),
        _ => error,
    }
}
