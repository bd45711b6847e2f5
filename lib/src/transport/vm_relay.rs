//! The body of an answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Pieces that wait for a caller that doesn't read; then the upstream is held up.
const PIECES_WAITING: usize = 16;

/// Why an answer ends early: its connection must be cut, so that it can't look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CutShort;

impl std::fmt::Display for CutShort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "the answer was cut short")
    }
}

impl std::error::Error for CutShort {}

/// The body of an answer.
pub enum AnswerBody {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It comes piece by piece; the channel's end without an error is its end.
    Pieces(Receiver<Result<Bytes, CutShort>>),
}

impl AnswerBody {
    /// A body that is here.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// A body that comes piece by piece.
    pub fn pieces() -> (Sender<Result<Bytes, CutShort>>, AnswerBody) {
        let (sender, receiver) = channel(PIECES_WAITING);
        (sender, AnswerBody::Pieces(receiver))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = CutShort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        match &mut *self {
            AnswerBody::Whole(bytes) => {
                let piece = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(piece.map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(receiver) => {
                receiver.poll_recv(context).map(|piece| piece.map(|p| p.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
        }
    }
}
