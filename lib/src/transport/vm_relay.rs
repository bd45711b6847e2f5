//! The body of an answer on its way to the caller.
//!
//! Invariant: an answer that comes piece by piece is complete only if its relay says so. However a relay ends
//! otherwise, its caller gets an answer that is cut.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// Pieces that wait for a caller that doesn't read; then the upstream is held up.
const MAX_BUFFERED_PIECES: usize = 16;

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
    /// It comes piece by piece.
    Pieces(PieceReceiver),
}

enum AnswerPiece {
    Data(Bytes),
    End,
}

/// The relay's side of an answer that comes piece by piece. Dropping it cuts the answer.
pub struct PieceSender(Sender<AnswerPiece>);

impl PieceSender {
    /// Passes a piece on; false once the caller has left.
    pub async fn send(&self, data: Bytes) -> bool {
        self.0.send(AnswerPiece::Data(data)).await.is_ok()
    }

    /// The answer is complete.
    pub async fn complete(self) {
        let _ = self.0.send(AnswerPiece::End).await;
    }

    /// Returns once the caller has left.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// The caller's side of an answer that comes piece by piece.
pub struct PieceReceiver {
    pieces: Receiver<AnswerPiece>,
    ended: bool,
}

impl PieceReceiver {
    fn poll_piece(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutShort>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let piece = ready!(self.pieces.poll_recv(context));
        self.ended = !matches!(piece, Some(AnswerPiece::Data(_)));
        Poll::Ready(match piece {
            Some(AnswerPiece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(AnswerPiece::End) => None,
            None => Some(Err(CutShort)),
        })
    }
}

impl AnswerBody {
    /// A body that is here.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// A body that comes piece by piece.
    pub fn pieces() -> (PieceSender, AnswerBody) {
        let (sender, pieces) = channel(MAX_BUFFERED_PIECES);
        (PieceSender(sender), AnswerBody::Pieces(PieceReceiver { pieces, ended: false }))
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
            AnswerBody::Pieces(receiver) => receiver.poll_piece(context),
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
