//! Writes lines of a log without waiting for the process that reads or the disk that stores them.
//!
//! A pipe whose reader stopped blocks its writers, and so does a file on a stalled disk. Neither
//! may stop a daemon from serving or from ending. Pipes, sockets and terminals report whether they
//! accept a line at once. Files always report that they do, so a thread writes to them from a
//! bounded queue. Lines that would wait are dropped, never written in part.
//!
//! Files are written through the descriptor that was given, not a duplicate: collectors may replace
//! it or see only what is written through it.

use std::fs::{File, FileType, OpenOptions};
use std::io::{self, Write};
use std::mem::ManuallyDrop;
use std::os::fd::{FromRawFd, RawFd};
use std::os::unix::fs::{FileTypeExt, OpenOptionsExt};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crossbeam::channel::{bounded, Sender};

/// A pipe that accepts anything accepts this many bytes whole (`PIPE_BUF` of Linux).
pub const LONGEST_LINE: usize = 4096;
/// Lines that wait for a file. At the longest they take 1 MB.
pub const QUEUED_LINES: usize = 256;
const STACK_BYTES: usize = 64 << 10;
const FLUSH_POLL: Duration = Duration::from_millis(2);

/// An output for whole lines.
pub struct LogSink {
    output: SinkOutput,
}

enum SinkOutput {
    Socket(RawFd),
    /// A description of its own, so that other processes with the same pipe keep theirs blocking.
    Pipe(File),
    /// Asked before each write. The lock keeps two threads from claiming the same room.
    Polled(Mutex<RawFd>),
    Queue(LineQueue),
}

impl LogSink {
    /// A sink for a descriptor that stays open as long as lines are written or queued.
    pub fn to(output: RawFd) -> LogSink {
        LogSink { output: SinkOutput::of(output) }
    }

    /// A sink whose lines are written by a thread.
    ///
    /// # Errors
    ///
    /// The system has no room for the thread.
    pub fn queued(output: impl Write + Send + 'static) -> io::Result<LogSink> {
        Ok(LogSink { output: SinkOutput::Queue(LineQueue::start(output)?) })
    }

    /// Writes or queues a line; false when that would wait or fails.
    pub fn write(&self, line: &[u8]) -> bool {
        if line.len() > LONGEST_LINE {
            return false;
        }
        match &self.output {
            SinkOutput::Socket(socket) => send_now(*socket, line),
            SinkOutput::Pipe(pipe) => {
                (&mut &*pipe).write(line).is_ok_and(|sent| sent == line.len())
            }
            SinkOutput::Polled(place) => {
                let output = place.lock().unwrap_or_else(|poison| poison.into_inner());
                accepts_now(*output) && write_to(*output, line)
            }
            SinkOutput::Queue(queue) => queue.push(line),
        }
    }

    /// Lines that were queued and could not be written since this was last asked.
    pub fn take_failed(&self) -> u32 {
        match &self.output {
            SinkOutput::Queue(queue) => queue.counts.failed.swap(0, Ordering::Relaxed),
            _ => 0,
        }
    }

    /// Waits until all queued lines are written, but no longer than `most`.
    pub fn flush(&self, most: Duration) {
        let SinkOutput::Queue(queue) = &self.output else { return };
        let until = Instant::now() + most;
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
        let Ok(kind) = kind_of(output) else { return polled() };
        if kind.is_file() {
            let queue = LineQueue::start(KeptDescriptor(output));
            return queue.map_or_else(|_| polled(), SinkOutput::Queue);
        }
        match kind.is_fifo().then(|| reopen_nonblocking(output)) {
            Some(Ok(pipe)) => SinkOutput::Pipe(pipe),
            _ => polled(),
        }
    }
}

/// A descriptor that stays open and is not closed here.
struct KeptDescriptor(RawFd);

impl Write for KeptDescriptor {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        borrowed(self.0).write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn borrowed(output: RawFd) -> ManuallyDrop<File> {
    // SAFETY: the caller of `LogSink::to` keeps the descriptor open, and this does not close it.
    ManuallyDrop::new(unsafe { File::from_raw_fd(output) })
}

fn kind_of(output: RawFd) -> io::Result<FileType> {
    Ok(borrowed(output).metadata()?.file_type())
}

fn reopen_nonblocking(pipe: RawFd) -> io::Result<File> {
    let path = format!("/proc/self/fd/{pipe}");
    OpenOptions::new().write(true).custom_flags(libc::O_NONBLOCK).open(path)
}

fn send_now(socket: RawFd, line: &[u8]) -> bool {
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

/// Whether the descriptor accepts [`LONGEST_LINE`] bytes now. Sockets cannot be asked this.
fn accepts_now(output: RawFd) -> bool {
    let mut poll = libc::pollfd { fd: output, events: libc::POLLOUT, revents: 0 };
    // SAFETY: one valid entry, and no waiting.
    let ready = unsafe { libc::poll(&mut poll, 1, 0) };
    ready == 1 && poll.revents & libc::POLLOUT != 0
}

fn is_socket(output: RawFd) -> bool {
    let mut kind = 0i32;
    let mut length = size_of::<i32>() as libc::socklen_t;
    let place: *mut i32 = &mut kind;
    // SAFETY: the place is valid for the length that is passed.
    let asked = unsafe {
        libc::getsockopt(output, libc::SOL_SOCKET, libc::SO_TYPE, place.cast(), &mut length)
    };
    asked == 0
}

/// Lines on their way to a thread that may block.
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
        let (lines, queued) = bounded::<Vec<u8>>(QUEUED_LINES);
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
