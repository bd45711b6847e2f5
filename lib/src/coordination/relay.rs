//! The order of a stream's pieces: doubles dropped, order restored, gaps found.

use std::collections::BTreeMap;

/// How many pieces may wait for a missing one.
pub const MOST_EARLY: usize = 256;

/// What to do after a piece came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PieceStep<T> {
    /// Pass these on, in order.
    Pass(Vec<T>),
    /// A double: nothing to do.
    Drop,
    /// A piece before it is missing; wait a little, then resume after `last`.
    Gap {
        /// The last piece that was passed on.
        last: u64,
    },
    /// Too many wait: resume now.
    Overflow {
        /// The last piece that was passed on.
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

    /// The last piece that was passed on.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Whether pieces wait for a missing one.
    pub fn has_gap(&self) -> bool {
        !self.early.is_empty()
    }

    /// A piece came.
    pub fn take(&mut self, number: u64, piece: T) -> PieceStep<T> {
        if number <= self.last || self.early.contains_key(&number) {
            return PieceStep::Drop;
        }
        if number != self.last + 1 {
            self.early.insert(number, piece);
            let last = self.last;
            return match self.early.len() > MOST_EARLY {
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
