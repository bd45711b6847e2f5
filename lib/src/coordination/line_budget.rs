//! Rate limits for the log of a process: per place in the code and in total.
//!
//! Lines that are not written are counted, and the counts are written with the next line. See
//! `docs/operators/platform.md`.

use std::collections::HashMap;
use std::hash::Hash;

/// The maximum number of lines per second of one place in the code. Further lines, which are mostly
/// repeats, are folded into a count.
pub const LINES_PER_PLACE: u32 = 20;
/// The maximum number of lines per second of the whole process. At 300 bytes each they are 30 KB a second.
pub const LINES_IN_TOTAL: u32 = 100;
/// The length of the interval in which lines are counted, in milliseconds.
const SPAN_MS: u64 = 1000;

/// What to do with a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineVerdict {
    /// Write the line, preceded by the counts of lines that were not written.
    Write {
        /// The number of folded lines of the same place.
        folded: u32,
        /// The number of dropped lines of all places.
        dropped: u32,
    },
    /// Count the line as a repeat, because its place has reached its limit.
    Fold,
    /// Count the line as dropped, because the process has reached its limit.
    Drop,
}

#[derive(Clone, Copy, Debug, Default)]
struct PlaceCount {
    span: u64,
    written: u32,
    folded: u32,
}

/// The line counts of one process; `P` identifies a place in its code.
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
    /// Creates a budget without limits, which only reports lost lines.
    pub fn unlimited() -> LineBudget<P> {
        LineBudget { unlimited: true, ..LineBudget::default() }
    }
}

impl<P: Eq + Hash> LineBudget<P> {
    /// Counts a line of `place` and decides whether it is written.
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
        if self.written >= LINES_IN_TOTAL {
            self.dropped += 1;
            return LineVerdict::Drop;
        }
        if count.written >= LINES_PER_PLACE {
            count.folded += 1;
            return LineVerdict::Fold;
        }
        count.written += 1;
        self.written += 1;
        let folded = std::mem::take(&mut count.folded);
        LineVerdict::Write { folded, dropped: std::mem::take(&mut self.dropped) }
    }

    /// Counts lines as dropped that could not be written in spite of their verdict.
    pub fn note_lost(&mut self, lines: u32) {
        self.dropped += lines;
    }
}
