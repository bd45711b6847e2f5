//! Relay of answers: pieces from an engine or a peer router are sent in order to one caller.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::http_server::ResponseWriter;
use crate::coordination::relay::{PieceOrder, PieceStep};
use crate::protocol::caller::{
    event_id, whole_answer, CallerError, RanStatus, HOPS_HEADER, RAN_HEADER, REQUEST_ID_HEADER,
    UPSTREAM_HEADER, USE_HEADER,
};
use crate::protocol::engine::{piece_text, read_piece, EnginePiece};
use crate::protocol::http::HttpReply;
use crate::protocol::sse::{write_event, SseEvent, SseReader};

/// How long a missing piece is awaited before the stream is resumed.
const GAP_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum length in bytes of a line of a stream; the rest of a longer line is read as another
/// line.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// The caller has closed its connection or does not read from it.
#[derive(Debug)]
pub(super) struct CallerGone;

/// The destination of an answer: a stream, or a whole answer that is sent at its end.
pub(super) struct AnswerSink<'a> {
    writer: &'a mut ResponseWriter,
    stream: bool,
    request_id: String,
    hops: u8,
    upstream: String,
    router: Option<SocketAddr>,
    text: String,
    begun: bool,
}

impl<'a> AnswerSink<'a> {
    pub(super) fn new(
        writer: &'a mut ResponseWriter,
        stream: bool,
        request_id: &str,
        hops: u8,
    ) -> AnswerSink<'a> {
        let (request_id, upstream) = (request_id.to_string(), String::new());
        AnswerSink {
            writer,
            stream,
            request_id,
            hops,
            upstream,
            router: None,
            text: String::new(),
            begun: false,
        }
    }

    /// Sets the name of the upstream that serves the request.
    pub(super) fn set_upstream(&mut self, name: &str) {
        self.upstream = name.to_string();
    }

    /// Sets the router to which the chat's next request should be sent.
    pub(super) fn set_router(&mut self, router: Option<SocketAddr>) {
        self.router = router;
    }

    /// Sets the number of routers that the request passed.
    pub(super) fn set_hops(&mut self, hops: u8) {
        self.hops = hops;
    }

    /// Returns whether the caller may have received a part of the answer.
    pub(super) fn has_begun(&self) -> bool {
        self.begun
    }

    /// Discards the collected text of an answer that will be produced again by another engine.
    pub(super) fn discard_text(&mut self) {
        self.text.clear();
    }

    /// Returns the headers that each answer has.
    fn headers(&self, ran: RanStatus, kind: &str) -> Vec<(String, String)> {
        let mut headers = vec![
            ("content-type".to_string(), kind.to_string()),
            (REQUEST_ID_HEADER.to_string(), self.request_id.clone()),
            (RAN_HEADER.to_string(), ran.text().to_string()),
            (HOPS_HEADER.to_string(), self.hops.to_string()),
        ];
        if let Some(router) = self.router {
            headers.push((USE_HEADER.to_string(), router.to_string()));
        }
        if !self.upstream.is_empty() {
            headers.push((UPSTREAM_HEADER.to_string(), self.upstream.clone()));
        }
        headers
    }

    /// Sends the head of a stream, unless it was sent before.
    fn begin(&mut self) -> Result<(), CallerGone> {
        if self.begun {
            return Ok(());
        }
        self.begun = true;
        let headers = self.headers(RanStatus::Yes, "text/event-stream");
        self.writer.begin(200, &headers).map_err(|_| CallerGone)
    }

    /// Sends a piece at once, or collects it for the whole answer.
    pub(super) fn send_piece(&mut self, number: u64, data: &str) -> Result<(), CallerGone> {
        if !self.stream {
            self.text.push_str(&piece_text(data));
            return Ok(());
        }
        self.begin()?;
        let id = Some(event_id(&self.upstream, number));
        let event = SseEvent { id, event: None, data: data.to_string() };
        self.writer.chunk(&write_event(&event)).map_err(|_| CallerGone)
    }

    /// Completes the answer after piece `last`.
    pub(super) fn end(&mut self, last: u64) -> Result<(), CallerGone> {
        if !self.stream {
            let body = whole_answer(&self.request_id, &self.upstream, &self.text, "stop");
            let mut reply = HttpReply::json(200, &body);
            reply.headers = self.headers(RanStatus::Yes, "application/json");
            self.begun = true;
            return self.writer.send(&reply).map_err(|_| CallerGone);
        }
        self.begin()?;
        let id = Some(event_id(&self.upstream, last + 1));
        let event = SseEvent { id, event: None, data: "[DONE]".to_string() };
        self.writer.chunk(&write_event(&event)).map_err(|_| CallerGone)?;
        self.writer.finish().map_err(|_| CallerGone)
    }

    /// Ends an answer that cannot be completed with an explicit error, never with a clean end.
    pub(super) fn fail(&mut self, error: &CallerError) {
        if self.stream && self.begun {
            let data = error.to_value().to_string();
            let event = SseEvent { id: None, event: Some("error".to_string()), data };
            let _ = self.writer.chunk(&write_event(&event));
            let _ = self.writer.finish();
            return;
        }
        if self.begun {
            return;
        }
        self.begun = true;
        let mut reply = error.to_reply(&self.request_id);
        reply.headers.push((HOPS_HEADER.to_string(), self.hops.to_string()));
        if !self.upstream.is_empty() && error.ran != RanStatus::No {
            reply.headers.push((UPSTREAM_HEADER.to_string(), self.upstream.clone()));
        }
        let _ = self.writer.send(&reply);
    }

    /// Sends an upstream's whole reply to the caller, with its status, its body and some of its
    /// headers.
    pub(super) fn send_reply(&mut self, mut reply: HttpReply, ran: RanStatus) {
        self.begun = true;
        let kind = reply.header("content-type").unwrap_or("application/octet-stream").to_string();
        let kept = ["retry-after", "location", "etag", "cache-control", "content-encoding"];
        let own = std::mem::take(&mut reply.headers);
        reply.headers = self.headers(ran, &kind);
        reply.headers.extend(own.into_iter().filter(|(name, _)| kept.contains(&name.as_str())));
        let _ = self.writer.send(&reply);
    }
}

/// The outcome of relaying a stream.
#[derive(Debug)]
pub(super) enum StreamEnd {
    /// The stream was relayed to its end.
    Done,
    /// The stream was cut or lacks a piece; it can be resumed after the last piece that was
    /// relayed.
    Broken(String),
    /// The sender reported a failure.
    Failed(String),
    /// The caller has closed its connection or does not read from it.
    CallerGone,
}

/// Reads a stream to its end and sends its pieces to the caller. `on_piece` is called with the
/// number of each piece.
pub(super) fn relay_stream(
    body: impl Read,
    order: &mut PieceOrder<String>,
    sink: &mut AnswerSink<'_>,
    mut on_piece: impl FnMut(u64),
) -> StreamEnd {
    let mut reader = BufReader::with_capacity(16 << 10, body);
    let mut events = SseReader::default();
    let mut gap_since: Option<Instant> = None;
    loop {
        let event = match next_event(&mut reader, &mut events) {
            Ok(Some(event)) => event,
            Ok(None) => return StreamEnd::Broken("the stream was cut".to_string()),
            Err(error) => return StreamEnd::Broken(error.to_string()),
        };
        match read_piece(&strip_upstream_name(event)) {
            None => continue,
            Some(EnginePiece::Failed(text)) => return StreamEnd::Failed(text),
            Some(EnginePiece::End(number)) if number == order.last() + 1 => {
                return match sink.end(order.last()) {
                    Ok(()) => StreamEnd::Done,
                    Err(CallerGone) => StreamEnd::CallerGone,
                };
            }
            Some(EnginePiece::End(_)) => {
                return StreamEnd::Broken("a piece is missing at the end".to_string());
            }
            Some(EnginePiece::Data(number, data)) => match order.take(number, data) {
                PieceStep::Drop => {}
                PieceStep::Overflow { .. } => {
                    return StreamEnd::Broken("a piece is missing".to_string());
                }
                PieceStep::Gap { .. } => {
                    let since = *gap_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= GAP_TIMEOUT {
                        return StreamEnd::Broken("a piece is missing".to_string());
                    }
                }
                PieceStep::Pass(ready) => {
                    gap_since = order.has_gap().then(Instant::now);
                    let first = order.last() + 1 - ready.len() as u64;
                    for (number, data) in (first..).zip(&ready) {
                        on_piece(number);
                        if sink.send_piece(number, data).is_err() {
                            return StreamEnd::CallerGone;
                        }
                    }
                }
            },
        }
    }
}

/// Reads the next event of a stream; returns `None` at the end of the body.
fn next_event(
    reader: &mut impl BufRead,
    events: &mut SseReader,
) -> std::io::Result<Option<SseEvent>> {
    let mut line = String::new();
    loop {
        line.clear();
        let read = reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line)?;
        if read == 0 {
            return Ok(None);
        }
        if let Some(event) = events.take_line(line.trim_end_matches(['\r', '\n'])) {
            return Ok(Some(event));
        }
    }
}

/// Removes the upstream's name from an event's id. Routers add the name to the id, engines send the
/// number alone.
fn strip_upstream_name(mut event: SseEvent) -> SseEvent {
    if let Some(id) = &mut event.id {
        if let Some(at) = id.find('@') {
            id.truncate(at);
        }
    }
    event
}
