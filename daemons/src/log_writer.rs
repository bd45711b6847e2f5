//! Formats a daemon's log for [`LogSink`] and reports the lines that are missing from it.
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
pub use crate::log_sink::LONGEST_LINE;

/// A daemon that ends waits this long for its last lines. The disk may have stalled.
const FLUSH_WAIT: Duration = Duration::from_secs(1);

/// How the count of missing lines is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogStyle {
    /// As a JSON object.
    Json,
    /// As text.
    Text,
}

/// Makes a writer for each line.
#[derive(Clone)]
pub struct LogWriter {
    budget: Arc<Mutex<LineBudget<Identifier>>>,
    started: Instant,
    sink: Arc<LogSink>,
    style: LogStyle,
}

impl LogWriter {
    /// Writes JSON lines to standard output, within the limits of [`LineBudget`].
    pub fn stdout() -> LogWriter {
        LogWriter::to(std::io::stdout().as_raw_fd())
    }

    /// Writes to standard error, without a limit on how many lines there may be.
    pub fn stderr(style: LogStyle) -> LogWriter {
        let budget = LineBudget::unlimited();
        LogWriter { style, ..LogWriter::with(budget, std::io::stderr().as_raw_fd()) }
    }

    /// Writes JSON lines to a descriptor that stays open, within the limits of [`LineBudget`].
    pub fn to(output: RawFd) -> LogWriter {
        LogWriter::with(LineBudget::default(), output)
    }

    fn with(budget: LineBudget<Identifier>, output: RawFd) -> LogWriter {
        let (budget, sink) = (Arc::new(Mutex::new(budget)), Arc::new(LogSink::to(output)));
        LogWriter { budget, started: Instant::now(), sink, style: LogStyle::Json }
    }

    /// Writes a line that is no log event, such as why the process ends.
    pub fn write_line(&self, text: &str) {
        self.sink.write(format!("{text}\n").as_bytes());
    }

    /// Waits for queued lines, for a bounded time. To be called before the process ends.
    pub fn flush(&self) {
        self.sink.flush(FLUSH_WAIT);
    }

    /// Logs panics. The default hook writes to standard error and waits for it.
    pub fn log_panics() {
        std::panic::set_hook(Box::new(|panic| tracing::error!("{panic}")));
    }

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

    fn missing_note(&self, folded: u32, dropped: u32) -> String {
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
            bytes.extend_from_slice(self.writer.missing_note(folded, dropped).as_bytes());
        }
        bytes.extend_from_slice(&self.bytes);
        if !self.writer.sink.write(&bytes) {
            self.writer.budget().note_lost(1 + folded + dropped);
        }
    }
}
