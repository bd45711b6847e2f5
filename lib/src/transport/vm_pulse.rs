//! What a caller's connection is at: shared by its stream, its requests and their answers.
//!
//! Invariant: a connection is at rest only when a whole answer has left for its caller, no other
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
struct PulseCells {
    serving: Cell<bool>,
    answered: Cell<bool>,
    unwritten: Cell<bool>,
    broken: Cell<bool>,
    /// The end of the connection would complete an answer that isn't complete.
    open_ended: Cell<bool>,
}

/// The state of one connection.
#[derive(Clone, Default)]
pub struct ConnectionPulse(Rc<PulseCells>);

impl ConnectionPulse {
    /// The connection is read anew: it can only rest once it has answered.
    pub fn begin_run(&self) {
        self.0.answered.set(false);
    }

    /// A request came.
    pub fn begin_request(&self) {
        self.0.serving.set(true);
    }

    /// Whether nothing of an answered request is left to be done.
    pub fn is_at_rest(&self) -> bool {
        self.0.answered.get() && !self.0.serving.get() && !self.0.unwritten.get()
    }

    /// Whether the stream broke: the server passes over a reset of a connection that rests, and with
    /// it the sign that an answer may not have come to its caller.
    pub fn is_broken(&self) -> bool {
        self.0.broken.get()
    }

    /// The answer to the request that came last is delimited by the end of the connection: until its body has
    /// ended, whatever ends the connection resets it.
    pub fn note_open_ended(&self) {
        self.0.open_ended.set(true);
    }

    /// The body of the answer to the request that came last; its end is noted.
    pub fn watch_body(&self, body: AnswerBody) -> WatchedBody {
        WatchedBody { body, pulse: self.clone() }
    }

    fn note<T>(&self, done: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if matches!(done, Poll::Ready(Err(_))) {
            self.0.broken.set(true);
        }
        done
    }
}

/// An answer's body that notes when it has been handed over.
pub struct WatchedBody {
    body: AnswerBody,
    pulse: ConnectionPulse,
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.pulse.0.serving.set(false);
        self.pulse.0.answered.set(true);
        self.pulse.0.unwritten.set(true);
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
            self.pulse.0.open_ended.set(false);
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

/// A caller's stream, and what was read of it without being used.
pub struct WatchedStream {
    stream: TcpStream,
    pulse: ConnectionPulse,
    ahead: Bytes,
    /// Closing the stream resets it.
    resets: bool,
}

impl WatchedStream {
    /// Watches a stream.
    pub fn new(stream: TcpStream, pulse: ConnectionPulse) -> WatchedStream {
        WatchedStream { stream, pulse, ahead: Bytes::new(), resets: false }
    }

    /// Gives back what was read ahead. Empty bytes may still hold the buffer that they were cut from.
    pub fn put_back(&mut self, ahead: Bytes) {
        self.ahead = if ahead.is_empty() { Bytes::new() } else { ahead };
    }

    /// The system resets the stream at whatever closes it, the end of the process included, as long as that would
    /// complete an answer.
    fn set_reset(&mut self) {
        let resets = self.pulse.0.open_ended.get();
        if resets != self.resets {
            let linger = resets.then_some(Duration::ZERO);
            self.resets = SockRef::from(&self.stream).set_linger(linger).is_ok() && resets;
        }
    }

    /// Returns once there is something to read, or the stream has ended.
    pub async fn wait(&self) {
        if self.ahead.is_empty() {
            // A reset is reported once: later reads see the end of the stream alone.
            let seen = self.stream.peek(&mut [0]).await;
            let _ = self.pulse.note(Poll::Ready(seen));
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
        self.pulse.note(done)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.pulse.0.unwritten.set(true);
        self.set_reset();
        let done = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.pulse.note(done)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.pulse.0.unwritten.set(true);
        self.set_reset();
        let done = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.pulse.note(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The server flushes its stream only when it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = Pin::new(&mut self.stream).poll_flush(context);
        if done.is_ready() {
            self.pulse.0.unwritten.set(false);
        }
        self.pulse.note(done)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.set_reset();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
