//! The state of a caller's connection, shared by its stream, its requests and their answers.
//!
//! Invariant: a connection is idle only when a whole answer has been sent to its caller, no other
//! request is being served, and nothing waits to be written. See `docs/design/small-vms.md`.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::vm_relay::{AnswerBody, CutShort};

#[derive(Default)]
struct ActivityCells {
    serving: Cell<bool>,
    answered: Cell<bool>,
    unwritten: Cell<bool>,
    broken: Cell<bool>,
    /// Whether an answer is incomplete whose end is marked only by the end of the connection.
    open_ended: Cell<bool>,
}

/// The state of one connection.
#[derive(Clone, Default)]
pub struct ConnectionActivity(Rc<ActivityCells>);

impl ConnectionActivity {
    /// Notes that the server starts on the connection again. It is idle only after the next answer.
    pub fn begin_serving(&self) {
        self.0.answered.set(false);
    }

    /// Notes that a request has arrived.
    pub fn note_request(&self) {
        self.0.serving.set(true);
    }

    /// Whether the connection is idle: the last request is answered and nothing is left to write.
    pub fn is_idle(&self) -> bool {
        self.0.answered.get() && !self.0.serving.get() && !self.0.unwritten.get()
    }

    /// Whether the stream failed. The HTTP server ignores a reset of an idle connection, though it is a sign
    /// that the caller may not have received its answer.
    pub fn is_broken(&self) -> bool {
        self.0.broken.get()
    }

    /// Notes that the answer to the last request is delimited by the end of the connection. Until its body has
    /// ended, the connection is reset when it ends, so that a partial answer doesn't look complete.
    pub fn note_open_ended(&self) {
        self.0.open_ended.set(true);
    }

    /// Wraps the body of the answer to the last request, to note its end.
    pub fn watch_body(&self, body: AnswerBody) -> WatchedBody {
        WatchedBody { body, activity: self.clone() }
    }

    /// Notes a failed operation of the stream, and returns its result unchanged.
    fn note<T>(&self, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(done, Poll::Ready(Err(_))) {
            self.0.broken.set(true);
        }
        done
    }
}

/// An answer's body that updates the connection's state when it ends or is dropped.
pub struct WatchedBody {
    body: AnswerBody,
    activity: ConnectionActivity,
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.activity.0.serving.set(false);
        self.activity.0.answered.set(true);
        self.activity.0.unwritten.set(true);
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        let frame = Pin::new(&mut self.body).poll_frame(context);
        if matches!(frame, Poll::Ready(None)) {
            self.activity.0.open_ended.set(false);
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's stream that updates the connection's state, with bytes that were read ahead of their use.
pub struct WatchedStream {
    stream: TcpStream,
    activity: ConnectionActivity,
    ahead: Bytes,
    /// Whether the socket is set to be reset when it is closed.
    resets: bool,
}

impl WatchedStream {
    /// Wraps a stream whose reads and writes update `activity`.
    pub fn new(stream: TcpStream, activity: ConnectionActivity) -> WatchedStream {
        WatchedStream { stream, activity, ahead: Bytes::new(), resets: false }
    }

    /// Puts back bytes that were read ahead. Empty ones are replaced, since they may still keep alive the buffer
    /// that they were cut from.
    pub fn put_back(&mut self, ahead: Bytes) {
        self.ahead = if ahead.is_empty() { Bytes::new() } else { ahead };
    }

    /// Sets the socket to be reset on close, also at the end of the process, as long as a plain close would mark
    /// an incomplete answer as complete.
    fn set_reset(&mut self) {
        let resets = self.activity.0.open_ended.get();
        if resets != self.resets {
            let linger = resets.then_some(Duration::ZERO);
            self.resets = SockRef::from(&self.stream).set_linger(linger).is_ok() && resets;
        }
    }

    /// Returns once there is something to read or the stream has ended.
    pub async fn wait(&self) {
        if self.ahead.is_empty() {
            // The system reports a reset only once; later reads see the end of the stream.
            let seen = self.stream.peek(&mut [0]).await;
            let _ = self.activity.note(Poll::Ready(seen));
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        into: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.ahead.is_empty() {
            let length = self.ahead.len().min(into.remaining());
            into.put_slice(&self.ahead[..length]);
            let rest = self.ahead.split_off(length);
            self.put_back(rest);
            return Poll::Ready(Ok(()));
        }
        let done = Pin::new(&mut self.stream).poll_read(context, into);
        self.activity.note(done)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.activity.0.unwritten.set(true);
        self.set_reset();
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.activity.note(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.activity.0.unwritten.set(true);
        self.set_reset();
        let done = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.activity.note(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes its stream only after it has written all that it has, so nothing is unwritten then.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(context);
        if done.is_ready() {
            self.activity.0.unwritten.set(false);
        }
        self.activity.note(done)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_reset();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
