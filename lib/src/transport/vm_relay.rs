//! The body of an answer to a caller.
//!
//! Invariant: an answer that is relayed in pieces is complete only if its relay calls
//! [`PieceSender::complete`]. If the relay ends in any other way, the caller's connection is cut.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc::{channel, Receiver, Sender};

/// The maximum number of pieces buffered for a caller that doesn't read. Beyond it the relay stops reading
/// from the upstream.
const MAX_BUFFERED_PIECES: usize = 16;

/// The error of an answer that ends early. It makes the server cut the connection, so that the answer can't
/// look complete.
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
    /// A body that is available in full; `None` once it was written.
    Whole(Option<Bytes>),
    /// A body that is relayed in pieces.
    Pieces(PieceReceiver),
}

/// A message from the relay to the caller's side.
enum AnswerPiece {
    Data(Bytes),
    End,
}

/// The relay's side of an answer that is relayed in pieces. Dropping it cuts the answer.
pub struct PieceSender(Sender<AnswerPiece>);

impl PieceSender {
    /// Passes a piece on; false once the caller has disconnected.
    pub async fn send(&self, data: Bytes) -> bool {
        self.0.send(AnswerPiece::Data(data)).await.is_ok()
    }

    /// Marks the answer as complete.
    pub async fn complete(self) {
        let _ = self.0.send(AnswerPiece::End).await;
    }

    /// Returns once the caller has disconnected.
    pub async fn closed(&self) {
        self.0.closed().await;
    }
}

/// The caller's side of an answer that is relayed in pieces.
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
    /// Creates a body that is available in full.
    pub fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Some(bytes.into()))
    }

    /// Creates a body that is relayed in pieces, and the sender of its pieces.
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
