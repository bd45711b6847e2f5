//! How many lines of log a process writes: bounded in all, and repeats of one cause folded.
//!
//! A line that isn't written is counted, and the count is written with the next one that is. See
//! `docs/operators/platform.md`.

use std::collections::HashMap;
use std::hash::Hash;

/// Lines a second of one place in the code, beyond which they are folded; many are repeats.
pub const LINES_A_PLACE: u32 = 20;
/// Lines a second of the whole process. At 300 bytes each they are 30 KB a second.
pub const LINES_IN_ALL: u32 = 100;
/// Counts begin anew after this long, in milliseconds.
const SPAN_MS: u64 = 1000;

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write it, and before it that so many lines were not written.
    Write {
        /// Lines of the same place that were folded.
        folded: u32,
        /// Lines of all places that were dropped.
        dropped: u32,
    },
    /// It repeats what was just said.
    Fold,
    /// The process has written too much.
    Drop,
}

#[derive(Clone, Copy, Debug, Default)]
struct PlaceCount {
    span: u64,
    written: u32,
    folded: u32,
}

/// The lines of one process; `P` names a place in its code.
#[derive(Clone, Debug)]
pub struct LineBudget<P> {
    places: HashMap<P, PlaceCount>,
    span: u64,
    written: u32,
    dropped: u32,
    unlimited: bool,
}

impl<P> Default for LineBudget<P> {
    fn default() -> LineBudget<P> {
        LineBudget { places: HashMap::new(), span: 0, written: 0, dropped: 0, unlimited: false }
    }
}

impl<P> LineBudget<P> {
    /// A budget that only counts lines that were lost.
    pub fn unlimited() -> LineBudget<P> {
        LineBudget { unlimited: true, ..LineBudget::default() }
    }
}

impl<P: Eq + Hash> LineBudget<P> {
    /// Decides on a line of `place`.
    pub fn take(&mut self, place: P, now_ms: u64) -> LineVerdict {
        if self.unlimited {
            return LineVerdict::Write { folded: 0, dropped: std::mem::take(&mut self.dropped) };
        }
        let span = now_ms / SPAN_MS;
        if span != self.span {
            (self.span, self.written) = (span, 0);
        }
        let count = self.places.entry(place).or_default();
        if span != count.span {
            (count.span, count.written) = (span, 0);
        }
        if self.written >= LINES_IN_ALL {
            self.dropped += 1;
            return LineVerdict::Drop;
        }
        if count.written >= LINES_A_PLACE {
            count.folded += 1;
            return LineVerdict::Fold;
        }
        count.written += 1;
        self.written += 1;
        let folded = std::mem::take(&mut count.folded);
        LineVerdict::Write { folded, dropped: std::mem::take(&mut self.dropped) }
    }

    /// So many lines that should have been written, or counted as missing, could not be.
    pub fn note_lost(&mut self, lines: u32) {
        self.dropped += lines;
    }
}
