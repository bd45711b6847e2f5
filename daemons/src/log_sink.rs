//! Writes log lines without waiting for the process that reads them or the disk that stores them.
//!
//! A pipe whose reader stopped blocks its writers, and so does a file on a stalled disk. Neither
//! may keep a daemon from serving or from terminating. Pipes, sockets and terminals report whether they
//! accept a line at once. Files always report that they do, so a thread writes to them from a
//! bounded queue. A line that would have to wait is dropped as a whole and never written in part.
//!
//! Files are written through the given descriptor and not through a duplicate, because a log collector may
//! replace the descriptor, or see only what is written through it.

use std::fs::{File, FileType, OpenOptions};
use std::io::{self, Write};
use std::mem::ManuallyDrop;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Sender};

/// The maximum length of a line, in bytes (`PIPE_BUF` of Linux). A pipe that is writable accepts this many bytes
/// at once; a longer line could be written in part, so it is dropped.
pub const MAX_LINE_BYTES: usize = 4096;
/// The maximum number of lines that wait to be written to a file. At their maximum length they take 1 MB.
pub const MAX_QUEUED_LINES: usize = 256;
/// The stack size of the thread that writes to a file, in bytes.
const STACK_BYTES: usize = 64 << 10;
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// An output that accepts each line as a whole or not at all.
pub struct LogSink {
    output: SinkOutput,
}

enum SinkOutput {
    Socket(RawFd),
    /// A separate open file description in non-blocking mode, so that other processes that share the pipe keep
    /// theirs in blocking mode.
    Pipe(File),
    /// A descriptor that is polled before each write. The lock keeps two threads from counting on the same free
    /// space.
    Polled(Mutex<RawFd>),
    Queue(LineQueue),
}

impl LogSink {
    /// Creates a sink for a descriptor, which must stay open as long as lines are written or queued.
    pub fn to(output: RawFd) -> LogSink {
        LogSink { output: SinkOutput::of(output) }
    }

    /// Creates a sink that queues lines and writes them from a thread of its own.
    ///
    /// # Errors
    ///
    /// Fails if the system cannot start the thread.
    pub fn queued(output: impl Write + Send + 'static) -> io::Result<LogSink> {
        Ok(LogSink { output: SinkOutput::Queue(LineQueue::start(output)?) })
    }

    /// Writes or queues a line. Returns false if that would have to wait, if it fails, or if the line is longer
    /// than [`MAX_LINE_BYTES`].
    pub fn write(&self, line: &[u8]) -> bool {
        if line.len() > MAX_LINE_BYTES {
            return false;
        }
        match &self.output {
            SinkOutput::Socket(socket) => send_nonblocking(*socket, line),
            SinkOutput::Pipe(pipe) => {
                (&mut &*pipe).write(line).is_ok_and(|sent| sent == line.len())
            }
            SinkOutput::Polled(descriptor) => {
                let output = descriptor.lock().unwrap_or_else(|poison| poison.into_inner());
                is_writable(*output) && write_to(*output, line)
            }
            SinkOutput::Queue(queue) => queue.push(line),
        }
    }

    /// Returns the number of lines that were queued but could not be written since the previous call.
    pub fn take_failed(&self) -> u32 {
        match &self.output {
            SinkOutput::Queue(queue) => queue.counts.failed.swap(0, Ordering::Relaxed),
            _ => 0,
        }
    }

    /// Waits until all queued lines are written, but no longer than `max_wait`.
    pub fn flush(&self, max_wait: Duration) {
        let SinkOutput::Queue(queue) = &self.output else { return };
        let until = Instant::now() + max_wait;
        while queue.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            std::thread::sleep(FLUSH_POLL);
        }
    }
}

impl SinkOutput {
    fn of(output: RawFd) -> SinkOutput {
        if is_socket(output) {
            return SinkOutput::Socket(output);
        }
        let polled = || SinkOutput::Polled(Mutex::new(output));
        let Ok(kind) = file_type(output) else { return polled() };
        if kind.is_file() {
            let queue = LineQueue::start(BorrowedDescriptor(output));
            return queue.map_or_else(|_| polled(), SinkOutput::Queue);
        }
        match kind.is_fifo().then(|| reopen_nonblocking(output)) {
            Some(Ok(pipe)) => SinkOutput::Pipe(pipe),
            _ => polled(),
        }
    }
}

/// Writes to a descriptor that belongs to the caller of [`LogSink::to`] and is not closed here.
struct BorrowedDescriptor(RawFd);

impl Write for BorrowedDescriptor {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        borrowed_file(self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn borrowed_file(output: RawFd) -> ManuallyDrop<File> {
    // SAFETY: the caller of `LogSink::to` keeps the descriptor open, and `ManuallyDrop` does not close it.
    ManuallyDrop::new(unsafe { File::from_raw_fd(output) })
}

fn file_type(output: RawFd) -> io::Result<FileType> {
    Ok(borrowed_file(output).metadata()?.file_type())
}

/// Opens a pipe again, which creates an open file description of its own.
fn reopen_nonblocking(pipe: RawFd) -> io::Result<File> {
    let path = format!("/proc/self/fd/{pipe}");
    OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(path)
}

fn send_nonblocking(socket: RawFd, line: &[u8]) -> bool {
    let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
    // SAFETY: the buffer is valid for its length.
    let sent = unsafe { libc::send(socket, line.as_ptr().cast(), line.len(), flags) };
    sent == line.len() as isize
}

fn write_to(output: RawFd, line: &[u8]) -> bool {
    // SAFETY: the buffer is valid for its length.
    let written = unsafe { libc::write(output, line.as_ptr().cast(), line.len()) };
    written == line.len() as isize
}

/// Returns whether the descriptor accepts [`MAX_LINE_BYTES`] bytes without blocking. For a socket `poll` does not
/// guarantee that.
fn is_writable(output: RawFd) -> bool {
    let mut poll = libc::pollfd { fd: output, events: libc::POLLOUT, revents: 0 };
    // SAFETY: the pointer is valid for the one entry that is passed. The timeout of 0 keeps the call from blocking.
    let ready = unsafe { libc::poll(&mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}

/// Returns whether the descriptor is a socket: only sockets have the option `SO_TYPE`.
fn is_socket(output: RawFd) -> bool {
    let mut kind = 0i32;
    let mut length = size_of::<i32>() as libc::socklen_t;
    let option: *mut i32 = &mut kind;
    // SAFETY: the pointer is valid for the length that is passed.
    let result = unsafe {
        libc::getsockopt(output, libc::SOL_SOCKET, libc::SO_TYPE, option.cast(), &mut length)
    };
    result == 0
}

/// A bounded queue of lines for a thread that may block while it writes them.
struct LineQueue {
    lines: Sender<Vec<u8>>,
    counts: Arc<QueueCounts>,
}

#[derive(Default)]
struct QueueCounts {
    waiting: AtomicUsize,
    failed: AtomicU32,
}

impl LineQueue {
    fn start(mut output: impl Write + Send + 'static) -> io::Result<LineQueue> {
        let (lines, queued) = bounded::<Vec<u8>>(MAX_QUEUED_LINES);
        let counts = Arc::new(QueueCounts::default());
        let written = counts.clone();
        let run = move || {
            for line in queued {
                if output.write_all(&line).is_err() {
                    written.failed.fetch_add(1, Ordering::Relaxed);
                }
                written.waiting.fetch_sub(1, Ordering::Release);
            }
        };
        std::thread::Builder::new().name("log".to_string()).stack_size(STACK_BYTES).spawn(run)?;
        Ok(LineQueue { lines, counts })
    }

    fn push(&self, line: &[u8]) -> bool {
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        let queued = self.lines.try_send(line.to_vec()).is_ok();
        if !queued {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
        }
        queued
    }
}
