//! Writes a daemon's log lines to a [`LogSink`], within the limits of a [`LineBudget`].
//!
//! Lines that were not written are counted, and the count is written before the next line.

use std::io::Write;
use std::os::fd::{AsRawFd, RawFd};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use tracing::callsite::Identifier;
use tracing::Metadata;
use tracing_subscriber::fmt::MakeWriter;
use wingshed_lib::coordination::line_budget::{LineBudget, LineVerdict};

use crate::log_sink::LogSink;
pub use crate::log_sink::MAX_LINE_BYTES;

/// The maximum time that a terminating daemon waits for its last lines to be written. Without a limit a stalled
/// disk would keep it from terminating.
const FLUSH_WAIT: Duration = Duration::from_secs(1);

/// The format of the note that reports missing lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStyle {
    /// As a JSON object.
    Json,
    /// As text.
    Text,
}

/// Creates the writer of each log line, and shares the sink and the line budget among them.
#[derive(Clone)]
pub struct LogWriter {
    budget: Arc<Mutex<LineBudget<Identifier>>>,
    started: Instant,
    sink: Arc<LogSink>,
    style: LogStyle,
}

impl LogWriter {
    /// Creates a writer of JSON lines to standard output, within the limits of [`LineBudget`].
    pub fn stdout() -> LogWriter {
        LogWriter::to(std::io::stdout().as_raw_fd())
    }

    /// Creates a writer to standard error without limits on the number of lines.
    pub fn stderr(style: LogStyle) -> LogWriter {
        let budget = LineBudget::unlimited();
        LogWriter { style, ..LogWriter::with(budget, std::io::stderr().as_raw_fd()) }
    }

    /// Creates a writer of JSON lines to a descriptor, which must stay open, within the limits of [`LineBudget`].
    pub fn to(output: RawFd) -> LogWriter {
        LogWriter::with(LineBudget::default(), output)
    }

    fn with(budget: LineBudget<Identifier>, output: RawFd) -> LogWriter {
        let (budget, sink) = (Arc::new(Mutex::new(budget)), Arc::new(LogSink::to(output)));
        LogWriter { budget, started: Instant::now(), sink, style: LogStyle::Json }
    }

    /// Writes a line that is not a log event, such as the reason why the process terminates.
    pub fn write_line(&self, text: &str) {
        self.sink.write(format!("{text}\n").as_bytes());
    }

    /// Waits until queued lines are written, at most for a second. Call this before the process terminates.
    pub fn flush(&self) {
        self.sink.flush(FLUSH_WAIT);
    }

    /// Installs a panic hook that logs panics. The default hook would write to standard error and could block.
    pub fn log_panics() {
        std::panic::set_hook(Box::new(|panic| tracing::error!("{panic}")));
    }

    /// Decides whether a line of this place in the code is written, and adds failed writes to the lost lines.
    fn verdict(&self, place: Identifier) -> LineVerdict {
        let now_ms = self.started.elapsed().as_millis() as u64;
        let failed = self.sink.take_failed();
        let mut budget = self.budget();
        budget.note_lost(failed);
        budget.take(place, now_ms)
    }

    fn budget(&self) -> MutexGuard<'_, LineBudget<Identifier>> {
        self.budget.lock().unwrap_or_else(|poison| poison.into_inner())
    }

    fn missing_lines_note(&self, folded: u32, dropped: u32) -> String {
        match self.style {
            LogStyle::Json => format!(
                "{{\"level\":\"WARN\",\"target\":\"log\",\"message\":\"lines are missing\",\
                 \"like_the_next\":{folded},\"others\":{dropped}}}\n"
            ),
            LogStyle::Text => format!("WARN log: {} lines are missing.\n", folded + dropped),
        }
    }
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

/// The writer of one log line, which it collects and passes to the sink when it is dropped.
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
            bytes.extend_from_slice(self.writer.missing_lines_note(folded, dropped).as_bytes());
        }
        bytes.extend_from_slice(&self.bytes);
        if !self.writer.sink.write(&bytes) {
            self.writer.budget().note_lost(1 + folded + dropped);
        }
    }
}
