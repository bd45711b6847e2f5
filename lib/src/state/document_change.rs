//! What is new in a document against an earlier one, so that a small change of a large
//! configuration travels small.
//!
//! A document is cut after each closing brace, whatever it means: an entry of a list is then a
//! piece of its own, and one that stays is found again wherever it has moved to. Both ends are
//! held to a hash of the whole. See `docs/design/fleet-news.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A piece of the new document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentPiece {
    /// These bytes of the earlier document.
    Kept {
        /// Where they begin.
        from: usize,
        /// How many.
        length: usize,
    },
    /// Bytes of its own.
    New(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A document, encoded against an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// The hash of the earlier document.
    pub before_hash: u64,
    /// The hash of the new one.
    pub after_hash: u64,
    /// The new one's pieces, in order.
    pub pieces: Vec<DocumentPiece>,
}

impl DocumentChange {
    /// Encodes `after` against `before`.
    pub fn between(before: &[u8], after: &[u8]) -> DocumentChange {
        let known: HashMap<&[u8], usize> = cut(before).map(|(from, piece)| (piece, from)).collect();
        let mut pieces = Vec::new();
        for (_, piece) in cut(after) {
            if let Some(DocumentPiece::Kept { from, length }) = pieces.last_mut() {
                // Short pieces stand in many places, so the next one in line goes first.
                if before[*from + *length..].starts_with(piece) {
                    *length += piece.len();
                    continue;
                }
            }
            match (known.get(piece).copied(), pieces.last_mut()) {
                (Some(from), _) => pieces.push(DocumentPiece::Kept { from, length: piece.len() }),
                (None, Some(DocumentPiece::New(bytes))) => bytes.extend_from_slice(piece),
                (None, _) => pieces.push(DocumentPiece::New(piece.to_vec())),
            }
        }
        DocumentChange { before_hash: xxh3_64(before), after_hash: xxh3_64(after), pieces }
    }

    /// The bytes that aren't in the earlier document: the cost of sending it.
    pub fn new_bytes(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| match piece {
            DocumentPiece::Kept { .. } => 0,
            DocumentPiece::New(bytes) => bytes.len(),
        });
        lengths.sum()
    }

    /// The new document; `None` when `before` isn't the one that this was encoded against.
    pub fn apply(&self, before: &[u8]) -> Option<Vec<u8>> {
        if xxh3_64(before) != self.before_hash {
            return None;
        }
        let mut after = Vec::new();
        for piece in &self.pieces {
            match piece {
                DocumentPiece::Kept { from, length } => {
                    after.extend_from_slice(before.get(*from..from.checked_add(*length)?)?);
                }
                DocumentPiece::New(bytes) => after.extend_from_slice(bytes),
            }
        }
        (xxh3_64(&after) == self.after_hash).then_some(after)
    }
}

/// The pieces of a document and where they begin.
fn cut(document: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut from = 0;
    document.split_inclusive(|byte| *byte == b'}').map(move |piece| {
        let begin = from;
        from += piece.len();
        (begin, piece)
    })
}
