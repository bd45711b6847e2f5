//! The server side of HTTP/1.1 for upstreams. It is written by hand, as a library does not send answers with
//! broken framing.

use std::time::Duration;

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;

use crate::answer_make::{draw_of, AnswerKind, AnswerPlan, EarlyEnd, Framing};

/// The pause before each event.
const EVENT_PAUSE: Duration = Duration::from_millis(40);
/// The pause between the two writes of a head, an event or a plain body.
const PIECE_PAUSE: Duration = Duration::from_millis(4);
/// Interval at which a connection with unread bytes is checked for its end.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A request that was read from a connection.
pub struct WireRequest {
    /// The path of the request.
    pub path: String,
    /// The body of the request.
    pub body: Vec<u8>,
    head: String,
}

impl WireRequest {
    /// Returns the value of a header; empty if there is none.
    pub fn header_value(&self, name: &str) -> &str {
        find_header(&self.head, name).unwrap_or_default()
    }
}

/// Returns the value of the first header with this name.
fn find_header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let pairs = head.split("\r\n").skip(1).filter_map(|line| line.split_once(':'));
    let mut found = pairs.filter(|(key, _)| key.trim().eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim())
}

/// The reading half of a connection.
pub struct WireReader {
    read: OwnedReadHalf,
    buffer: Vec<u8>,
}

impl WireReader {
    /// Reads the next request; none if the connection has ended or the request is malformed.
    pub async fn next(&mut self) -> Option<WireRequest> {
        let head_end = self.read_until(b"\r\n\r\n").await?;
        let head = String::from_utf8(self.take_bytes(head_end)).ok()?;
        let path = head.split(' ').nth(1)?.to_string();
        let chunked = find_header(&head, "transfer-encoding").is_some();
        let body = match find_header(&head, "content-length") {
            _ if chunked => self.read_chunks().await?,
            Some(length) => self.read_exactly(length.parse().ok()?).await?,
            None => Vec::new(),
        };
        Some(WireRequest { path, body, head })
    }

    /// Reads a chunked body up to its last chunk.
    async fn read_chunks(&mut self) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = self.read_until(b"\r\n").await?;
            let line = String::from_utf8(self.take_bytes(end)).ok()?;
            let length = usize::from_str_radix(line.trim(), 16).ok()?;
            let chunk = self.read_exactly(length + 2).await?;
            if length == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }

    async fn read_more(&mut self) -> Option<()> {
        let count = self.read.read_buf(&mut self.buffer).await.ok()?;
        (count > 0).then_some(())
    }

    /// Reads until the buffer contains `mark`. Returns the position after it.
    async fn read_until(&mut self, mark: &[u8]) -> Option<usize> {
        loop {
            if let Some(at) = self.buffer.windows(mark.len()).position(|bytes| bytes == mark) {
                return Some(at + mark.len());
            }
            self.read_more().await?;
        }
    }

    async fn read_exactly(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        Some(self.take_bytes(length))
    }

    fn take_bytes(&mut self, length: usize) -> Vec<u8> {
        self.buffer.drain(..length).collect()
    }

    /// Waits until the other side has ended the connection, and leaves unread bytes in place.
    pub async fn wait_for_close(&mut self) {
        let mut byte = [0; 1];
        while matches!(self.read.peek(&mut byte).await, Ok(1..)) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// An answer that is being sent.
#[derive(Clone, Copy, Debug)]
pub struct PartialAnswer {
    /// The plan of the answer.
    pub plan: AnswerPlan,
    /// Bytes after the head that were written to the connection; none until the whole head was.
    pub sent: Option<usize>,
}

/// The writing half of a connection.
pub struct WireWriter {
    write: OwnedWriteHalf,
    /// The answer that is being sent, if there is one.
    pub partial: Option<PartialAnswer>,
}

/// Splits a connection into its reading and its writing half.
pub fn split(stream: TcpStream) -> (WireReader, WireWriter) {
    let _ = stream.set_nodelay(true);
    let (read, write) = stream.into_split();
    (WireReader { read, buffer: Vec::new() }, WireWriter { write, partial: None })
}

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterAnswer {
    /// It stays open for the next request.
    Kept,
    /// It is closed cleanly.
    Closed,
    /// It is reset.
    Reset,
}

impl WireWriter {
    /// Sends an answer without a body.
    pub async fn send_short(&mut self, status: u16, headers: &str) -> std::io::Result<()> {
        let text = format!("HTTP/1.1 {status} S\r\n{headers}content-length: 0\r\n\r\n");
        self.write.write_all(text.as_bytes()).await
    }

    /// Sends an answer as planned. The head and each piece of the body are written in two parts, split at a
    /// random position.
    pub async fn send(
        &mut self,
        plan: AnswerPlan,
        attempt: &str,
        headers: &str,
    ) -> std::io::Result<AfterAnswer> {
        self.partial = Some(PartialAnswer { plan, sent: None });
        let pieces = plan.pieces(attempt);
        let whole: usize = pieces.iter().map(Vec::len).sum();
        let framed_early = plan.early.is_some_and(|early| early.end == EarlyEnd::Framed);
        let body_length = plan.early.map_or(whole, |early| early.sent);
        let framing = match plan.framing {
            Framing::Length => {
                format!("content-length: {}\r\n", if framed_early { body_length } else { whole })
            }
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_string(),
            Framing::Connection => String::new(),
        };
        let head = format!("HTTP/1.1 {} S\r\n{headers}{framing}\r\n", plan.status());
        let mut random = draw_of(plan.splits);
        self.write_split(head.as_bytes(), random.gen_range(0..head.len())).await?;
        self.partial = Some(PartialAnswer { plan, sent: Some(0) });
        let mut left = body_length;
        for piece in pieces {
            if left == 0 {
                break;
            }
            if matches!(plan.kind, AnswerKind::Stream(_)) {
                tokio::time::sleep(EVENT_PAUSE).await;
            }
            let count = piece.len().min(left);
            // The last chunk of a body that breaks off is either cut short, or a whole chunk of the shorter
            // length.
            let cut_short = !framed_early && random.gen();
            let bytes = framed(plan.framing, &piece, count, cut_short);
            self.write_split(&bytes, random.gen_range(0..bytes.len())).await?;
            left -= count;
        }
        let is_ended = plan.early.is_none() || framed_early;
        if is_ended && plan.framing == Framing::Chunked {
            self.write.write_all(b"0\r\n\r\n").await?;
        }
        Ok(match plan.early.map(|early| early.end) {
            Some(EarlyEnd::Reset) => {
                // A reset right after a write would discard the bytes that are not delivered yet.
                tokio::time::sleep(EVENT_PAUSE).await;
                AfterAnswer::Reset
            }
            Some(EarlyEnd::Close) => AfterAnswer::Closed,
            _ if plan.framing == Framing::Connection => AfterAnswer::Closed,
            _ => AfterAnswer::Kept,
        })
    }

    async fn write_split(&mut self, bytes: &[u8], at: usize) -> std::io::Result<()> {
        let (begin, end) = bytes.split_at(at);
        self.write_counted(begin).await?;
        tokio::time::sleep(PIECE_PAUSE).await;
        self.write_counted(end).await
    }

    async fn write_counted(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.write.write_all(bytes).await?;
        if let Some(partial) = &mut self.partial {
            partial.sent = partial.sent.map(|sent| sent + bytes.len());
        }
        Ok(())
    }

    /// Resets the connection once the reading half is dropped too.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.write.as_ref());
        let _ = socket.set_linger(Some(Duration::ZERO));
        self.write.forget();
    }
}

/// Frames the first `count` bytes of a piece. With `cut_short` a chunk states the length of the whole piece,
/// so that it is cut short.
fn framed(framing: Framing, piece: &[u8], count: usize, cut_short: bool) -> Vec<u8> {
    let sent = &piece[..count];
    match framing {
        Framing::Length | Framing::Connection => sent.to_vec(),
        Framing::Chunked if cut_short && count < piece.len() => {
            [format!("{:x}\r\n", piece.len()).as_bytes(), sent].concat()
        }
        Framing::Chunked => [format!("{count:x}\r\n").as_bytes(), sent, b"\r\n"].concat(),
    }
}
