//! Puts the pieces of a stream in order: drops duplicates, restores the order and detects gaps.

use std::collections::BTreeMap;

/// The maximum number of pieces that may wait for a missing one.
pub const MAX_EARLY_PIECES: usize = 256;

/// What to do after a piece was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceStep<T> {
    /// Pass these pieces on, in order.
    Pass(Vec<T>),
    /// Drop the piece, which is a duplicate.
    Drop,
    /// A piece before this one is missing. Wait a little, then resume the stream after `last`.
    Gap {
        /// The number of the last piece that was passed on.
        last: u64,
    },
    /// Too many pieces wait for a missing one. Resume the stream after `last` now.
    Overflow {
        /// The number of the last piece that was passed on.
        last: u64,
    },
}

/// The pieces of one stream, numbered from 1.
#[derive(Clone, Debug)]
pub struct PieceOrder<T> {
    last: u64,
    early: BTreeMap<u64, T>,
}

impl<T> PieceOrder<T> {
    /// A stream of which everything up to `last` was passed on.
    pub fn after(last: u64) -> PieceOrder<T> {
        PieceOrder { last, early: BTreeMap::new() }
    }

    /// The number of the last piece that was passed on.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether pieces wait for a missing one.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// Takes a received piece.
    pub fn take(&mut self, number: u64, piece: T) -> PieceStep<T> {
        if number <= self.last || self.early.contains_key(&number) {
            return PieceStep::Drop;
        }
        if number != self.last + 1 {
            self.early.insert(number, piece);
            let last = self.last;
            return match self.early.len() > MAX_EARLY_PIECES {
                true => PieceStep::Overflow { last },
                false => PieceStep::Gap { last },
            };
        }
        self.last = number;
        let mut ready = vec![piece];
        while let Some(next) = self.early.remove(&(self.last + 1)) {
            self.last += 1;
            ready.push(next);
        }
        PieceStep::Pass(ready)
    }
}
