//! A small caller: asks the directory, sends a request, and reads the answer whole.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use wingshed_lib::protocol::caller::{
    RanStatus, CHAT_HEADER, CHAT_PATH, HOPS_HEADER, ISSUED_HEADER, RAN_HEADER, REQUEST_ID_HEADER,
    RUN_ONCE_HEADER, SERVICE_HEADER, UPSTREAM_HEADER, USE_HEADER, WORKSPACE_HEADER,
};
use wingshed_lib::protocol::engine::piece_text;
use wingshed_lib::protocol::http::{find_header, HttpCall};
use wingshed_lib::protocol::sse::{SseEvent, SseReader};
use wingshed_lib::transport::clock::wall_ms;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};

/// What a caller got.
#[derive(Clone, Debug, Default)]
pub struct CallerAnswer {
    /// The status; 0 when there was none.
    pub status: u16,
    /// The text of the answer, pieces joined.
    pub text: String,
    /// The body of an answer that did not stream.
    pub body: String,
    /// It ended as a whole answer.
    pub whole: bool,
    /// A stream's explicit error event.
    pub error_event: Option<String>,
    /// What the head said of running; `None` without a head.
    pub ran: Option<RanStatus>,
    /// The upstream that served it.
    pub upstream: String,
    /// Routers passed after the first.
    pub hops: u32,
    /// The router to use for the chat's next request.
    pub next: Option<SocketAddr>,
    /// The id of the last event.
    pub last_id: Option<String>,
    /// To the first piece, in microseconds.
    pub first_us: u64,
    /// Each gap between pieces, in microseconds.
    pub gaps_us: Vec<u64>,
    /// The whole time, in microseconds.
    pub whole_us: u64,
    /// Why there was no answer.
    pub failure: Option<String>,
}

impl CallerAnswer {
    /// The error code of a refusal.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or("").to_string()
    }
}

/// A chat request's parts.
#[derive(Clone, Debug)]
pub struct ChatAsk {
    /// The workspace.
    pub workspace: String,
    /// Its key.
    pub key: String,
    /// The request's id.
    pub request_id: String,
    /// The chat.
    pub chat: String,
    /// The service.
    pub service: String,
    /// The prompt's size in tokens.
    pub prompt_tokens: usize,
    /// The answer's size in pieces.
    pub max_tokens: u32,
    /// Whether to stream.
    pub stream: bool,
    /// At most one run.
    pub run_once: bool,
    /// The chat has an answer already.
    pub returning: bool,
}

/// The call of a chat.
pub fn chat_call(ask: &ChatAsk) -> HttpCall {
    let prompt = "word".repeat(ask.prompt_tokens);
    let mut messages = vec![json!({ "role": "user", "content": prompt })];
    if ask.returning {
        messages.push(json!({ "role": "assistant", "content": "so be it" }));
        messages.push(json!({ "role": "user", "content": "and then" }));
    }
    let body = json!({
        "model": "m", "stream": ask.stream, "max_tokens": ask.max_tokens, "messages": messages,
    });
    let mut call = HttpCall::post(CHAT_PATH, body.to_string().into_bytes())
        .with("authorization", format!("Bearer {}", ask.key))
        .with("content-type", "application/json")
        .with(WORKSPACE_HEADER, ask.workspace.as_str())
        .with(REQUEST_ID_HEADER, ask.request_id.as_str())
        .with(CHAT_HEADER, ask.chat.as_str())
        .with(SERVICE_HEADER, ask.service.as_str())
        .with(ISSUED_HEADER, wall_ms().to_string());
    if ask.run_once {
        call = call.with(RUN_ONCE_HEADER, "true");
    }
    call
}

/// The call of a plain request.
pub fn plain_call(
    workspace: &str,
    key: &str,
    request_id: &str,
    service: &str,
    method: &str,
    target: &str,
) -> HttpCall {
    let call = HttpCall { method: method.to_string(), ..HttpCall::get(target) };
    call.with("authorization", format!("Bearer {key}"))
        .with(WORKSPACE_HEADER, workspace)
        .with(REQUEST_ID_HEADER, request_id)
        .with(SERVICE_HEADER, service)
        .with(ISSUED_HEADER, wall_ms().to_string())
}

/// Asks a router for the addresses to use for a chat.
pub fn directory(client: &HttpClient, router: SocketAddr, query: &str) -> Vec<SocketAddr> {
    let call = HttpCall::get(format!("/v1/addresses?{query}"));
    let Ok(reply) = client.call(router, &call, CallTimes::of_ms(2000), 1 << 16, "directory") else {
        return Vec::new();
    };
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
    addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect()
}

/// Sends a call and reads the answer to its end. `stop_after` hangs up after so many pieces.
pub fn send(
    client: &HttpClient,
    router: SocketAddr,
    call: &HttpCall,
    stop_after: Option<usize>,
) -> CallerAnswer {
    let started = Instant::now();
    let mut answer = CallerAnswer::default();
    let times =
        CallTimes { connect: Duration::from_millis(2000), read: Duration::from_millis(60_000) };
    let open = match client.open(router, call, times, "caller") {
        Ok(open) => open,
        Err(failure) => {
            answer.failure = Some(failure.to_string());
            return answer;
        }
    };
    answer.status = open.status;
    answer.ran = Some(RanStatus::of(find_header(&open.headers, RAN_HEADER)));
    answer.upstream = find_header(&open.headers, UPSTREAM_HEADER).unwrap_or("").to_string();
    let hops = find_header(&open.headers, HOPS_HEADER).and_then(|text| text.parse().ok());
    answer.hops = hops.unwrap_or(0);
    answer.next = find_header(&open.headers, USE_HEADER).and_then(|text| text.parse().ok());
    let length = find_header(&open.headers, "content-length").and_then(|text| text.parse().ok());
    let body = LengthReader { inner: open.body, left: length };
    let kind = find_header(&open.headers, "content-type").unwrap_or("").to_string();
    if kind.starts_with("text/event-stream") {
        read_stream(body, started, stop_after, &mut answer);
    } else {
        read_whole(body, &mut answer);
    }
    answer.whole_us = started.elapsed().as_micros() as u64;
    answer
}

/// A body that fails when it ends short of its length, which the client's own reader takes for its end.
struct LengthReader<R> {
    inner: R,
    /// What is to come; none without a length.
    left: Option<u64>,
}

impl<R: Read> Read for LengthReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let count = self.inner.read(buffer)?;
        let short = count == 0 && !buffer.is_empty() && self.left.is_some_and(|left| left > 0);
        if short {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
        }
        self.left = self.left.map(|left| left.saturating_sub(count as u64));
        Ok(count)
    }
}

fn read_whole(mut body: impl Read, answer: &mut CallerAnswer) {
    match body.read_to_string(&mut answer.body) {
        Ok(_) => answer.whole = answer.status == 200,
        Err(error) => answer.failure = Some(error.to_string()),
    }
    let value: Value = serde_json::from_str(&answer.body).unwrap_or_default();
    if let Some(text) = value.pointer("/choices/0/message/content").and_then(Value::as_str) {
        answer.text = text.to_string();
    }
}

fn read_stream(
    body: impl Read,
    started: Instant,
    stop_after: Option<usize>,
    answer: &mut CallerAnswer,
) {
    let mut reader = BufReader::new(body);
    let mut events = SseReader::default();
    let mut line = String::new();
    let mut last = started;
    let mut pieces = 0;
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) => {
                answer.whole = false;
                answer.failure = Some(error.to_string());
                return;
            }
        }
        let Some(event) = events.take_line(line.trim_end_matches(['\r', '\n'])) else { continue };
        if take_event(event, answer) {
            continue;
        }
        pieces += 1;
        let now = Instant::now();
        let us = now.duration_since(last).as_micros() as u64;
        last = now;
        match pieces {
            1 => answer.first_us = us,
            _ => answer.gaps_us.push(us),
        }
        if stop_after.is_some_and(|most| pieces >= most) {
            return;
        }
    }
}

/// True for an event that is not a piece.
fn take_event(event: SseEvent, answer: &mut CallerAnswer) -> bool {
    if event.event.as_deref() == Some("error") {
        answer.error_event = Some(event.data);
        return true;
    }
    answer.last_id = event.id;
    if event.data == "[DONE]" {
        answer.whole = true;
        return true;
    }
    answer.text.push_str(&piece_text(&event.data));
    false
}
