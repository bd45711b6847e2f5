//! The difference between two versions of a document, so that a small change of a large
//! configuration is sent in few bytes.
//!
//! A document is split after each closing brace, without parsing it. An entry of a list is then a
//! piece of its own, and an unchanged entry is recognised even if it moved. Hashes of both
//! documents are checked when a change is applied. See `docs/design/fleet-news.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A piece of the new document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DocumentPiece {
    /// A range of bytes of the earlier document.
    Kept {
        /// The offset at which it begins.
        from: usize,
        /// The number of bytes.
        length: usize,
    },
    /// Bytes that are not copied from the earlier document.
    New(#[serde(with = "serde_bytes")] Vec<u8>),
}

/// A document, encoded as a difference from an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentChange {
    /// The hash of the earlier document.
    pub before_hash: u64,
    /// The hash of the new one.
    pub after_hash: u64,
    /// The pieces of the new document, in order.
    pub pieces: Vec<DocumentPiece>,
}

impl DocumentChange {
    /// Encodes `after` as a difference from `before`.
    pub fn between(before: &[u8], after: &[u8]) -> DocumentChange {
        let known: HashMap<&[u8], usize> =
            split_pieces(before).map(|(from, piece)| (piece, from)).collect();
        let mut pieces = Vec::new();
        for (_, piece) in split_pieces(after) {
            if let Some(DocumentPiece::Kept { from, length }) = pieces.last_mut() {
                // A short piece occurs in many places, so the continuation of the last one is
                // preferred.
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

    /// The number of bytes that are not copied from the earlier document, which is the cost of
    /// sending.
    pub fn new_bytes(&self) -> usize {
        let lengths = self.pieces.iter().map(|piece| match piece {
            DocumentPiece::Kept { .. } => 0,
            DocumentPiece::New(bytes) => bytes.len(),
        });
        lengths.sum()
    }

    /// Reconstructs the new document; `None` if `before` isn't the document that this was encoded
    /// against.
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

/// The pieces of a document with their offsets.
fn split_pieces(document: &[u8]) -> impl Iterator<Item = (usize, &[u8])> {
    let mut from = 0;
    document.split_inclusive(|byte| *byte == b'}').map(move |piece| {
        let begin = from;
        from += piece.len();
        (begin, piece)
    })
}
