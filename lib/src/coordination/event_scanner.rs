//! Finds the ends of the events of a stream, however its bytes are split.
//!
//! Lines end in LF, CRLF or CR, and a blank line ends an event. If the lines of a stream end in
//! CRLF, an event isn't complete before the LF of its blank line.

/// Scans one stream of events byte by byte. Comments are no part of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventScanner {
    /// Part of an event was received, but not its blank line.
    inside: bool,
    /// The present line has bytes.
    in_line: bool,
    in_comment: bool,
    after_cr: bool,
    /// A CR ended a blank line, and its LF is expected.
    blank_cr: bool,
    /// The last line that ended did so in CRLF.
    crlf: bool,
    events: u64,
}

impl EventScanner {
    /// Scans `bytes` from `at` on, up to the end of a blank line, and returns that position; `None`
    /// if the bytes have no further blank line.
    pub fn next_end(&mut self, bytes: &[u8], mut at: usize) -> Option<usize> {
        while at < bytes.len() {
            if self.blank_cr && bytes[at] != b'\n' {
                // The CR stood alone, so the event ended before this byte.
                self.after_cr = false;
                self.crlf = false;
                return Some(self.complete(at));
            }
            let ends = self.take(bytes[at]);
            at += 1;
            if ends {
                return Some(self.complete(at));
            }
        }
        None
    }

    /// Whether the stream is inside an event here. The CRLF of the blank line belongs to the event.
    pub fn is_inside(&self) -> bool {
        self.inside
    }

    /// The number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn complete(&mut self, at: usize) -> usize {
        self.events += u64::from(self.inside);
        self.inside = false;
        self.blank_cr = false;
        at
    }

    /// Takes one byte, and returns whether it ends a blank line.
    fn take(&mut self, byte: u8) -> bool {
        let after_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
        if after_cr {
            self.crlf = byte == b'\n';
        }
        match byte {
            b'\n' if after_cr => self.blank_cr,
            b'\n' => {
                self.crlf = false;
                !std::mem::take(&mut self.in_line)
            }
            b'\r' if std::mem::take(&mut self.in_line) => false,
            b'\r' => {
                self.blank_cr = self.crlf;
                !self.crlf
            }
            _ => {
                if !std::mem::replace(&mut self.in_line, true) {
                    self.in_comment = byte == b':';
                }
                self.inside |= !self.in_comment;
                false
            }
        }
    }
}
