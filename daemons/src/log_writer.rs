//! Where a VM's log goes: standard output, bounded, and never waited for.
//!
//! A pipe that its reader doesn't empty holds a writer up, and with it the one event loop of a VM.
//! So a line is written only when the system says that it is taken at once; lines that aren't are
//! counted, and the count is told with the next line.

use std::io::Write;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tracing::callsite::Identifier;
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;
use wingshed_lib::coordination::line_budget::{LineBudget, LineVerdict};

/// A pipe that can take something can take this many bytes whole (`PIPE_BUF` of Linux); a longer
/// line is lost.
pub const LONGEST_LINE: usize = 4096;

/// Makes a writer for each line.
#[derive(Clone)]
pub struct LogWriter {
    budget: Arc<Mutex<LineBudget<Identifier>>>,
    started: Instant,
    output: RawFd,
    socket: bool,
}

impl LogWriter {
    /// Writes to standard output.
    pub fn stdout() -> LogWriter {
        LogWriter::to(std::io::stdout().as_raw_fd())
    }

    /// Writes to a descriptor that stays open.
    pub fn to(output: RawFd) -> LogWriter {
        let socket = is_socket(output);
        LogWriter { budget: Arc::default(), started: Instant::now(), output, socket }
    }

    fn verdict(&self, place: Identifier) -> LineVerdict {
        let now_ms = self.started.elapsed().as_millis() as u64;
        self.budget().take(place, now_ms)
    }

    fn budget(&self) -> MutexGuard<'_, LineBudget<Identifier>> {
        self.budget.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    /// Writes what fits without waiting; false when it didn't.
    fn write_now(&self, bytes: &[u8]) -> bool {
        if bytes.len() > LONGEST_LINE {
            return false;
        }
        let (start, length) = (bytes.as_ptr().cast(), bytes.len());
        let written = if self.socket {
            let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
            // SAFETY: the buffer is valid for its length.
            unsafe { libc::send(self.output, start, length, flags) }
        } else if takes_now(self.output) {
            // SAFETY: the buffer is valid for its length.
            unsafe { libc::write(self.output, start, length) }
        } else {
            return false;
        };
        written == length as isize
    }
}

/// Whether the descriptor takes [`LONGEST_LINE`] bytes now; of a socket this can't be asked.
fn takes_now(output: RawFd) -> bool {
    let mut poll = libc::pollfd { fd: output, events: libc::POLLOUT, revents: 0 };
    // SAFETY: one valid entry, and no waiting.
    let ready = unsafe { libc::poll(&mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}

fn is_socket(output: RawFd) -> bool {
    let mut kind = 0i32;
    let mut length = size_of::<i32>() as libc::socklen_t;
    let place: *mut i32 = &mut kind;
    // SAFETY: the place is valid for the length that is told.
    let asked = unsafe {
        libc::getsockopt(output, libc::SOL_SOCKET, libc::SO_TYPE, place.cast(), &mut length)
    };
    asked == 0
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogLine;

    fn make_writer(&'a self) -> LogLine {
        let verdict = LineVerdict::Write { folded: 0, dropped: 0 };
        LogLine { writer: self.clone(), verdict, bytes: Vec::new() }
    }

    fn make_writer_for(&'a self, about: &Metadata<'_>) -> LogLine {
        let verdict = self.verdict(about.callsite());
        LogLine { writer: self.clone(), verdict, bytes: Vec::new() }
    }
}

/// One line on its way.
pub struct LogLine {
    writer: LogWriter,
    verdict: LineVerdict,
    bytes: Vec<u8>,
}

impl Write for LogLine {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if let LineVerdict::Write { .. } = self.verdict {
            self.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for LogLine {
    fn drop(&mut self) {
        let LineVerdict::Write { folded, dropped } = self.verdict else { return };
        let mut bytes = Vec::new();
        if folded + dropped > 0 {
            let text = format!(
                "{{\"level\":\"WARN\",\"target\":\"log\",\"message\":\"lines are missing\",\
                 \"like_the_next\":{folded},\"others\":{dropped}}}\n"
            );
            bytes.extend_from_slice(text.as_bytes());
        }
        bytes.extend_from_slice(&self.bytes);
        if !self.writer.write_now(&bytes) {
            self.writer.budget().note_lost(1 + folded + dropped);
        }
    }
}
