//! A caller for tests: requests routers' addresses, sends a request, and reads the answer to its end.

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

/// The answer to a request, as its caller received it.
#[derive(Clone, Debug, Default)]
pub struct CallerAnswer {
    /// The HTTP status; 0 if no head was received.
    pub status: u16,
    /// The generated text, joined from all pieces.
    pub text: String,
    /// The body of an answer that is not a stream.
    pub body: String,
    /// Whether the whole answer was received. Refusals and errors are never whole.
    pub whole: bool,
    /// The data of the error event with which a stream ended, if there was one.
    pub error_event: Option<String>,
    /// Whether the request ran, as reported by the head; `None` if no head was received.
    pub ran: Option<RanStatus>,
    /// The name of the upstream that served the request.
    pub upstream: String,
    /// The number of routers that the request passed after the first one.
    pub hops: u32,
    /// The router to which the next request of the chat should be sent.
    pub next: Option<SocketAddr>,
    /// The id of the last event of a stream.
    pub last_id: Option<String>,
    /// The time until the first piece, in microseconds.
    pub first_us: u64,
    /// The times between consecutive pieces, in microseconds.
    pub gaps_us: Vec<u64>,
    /// The time until the end of the answer, in microseconds.
    pub whole_us: u64,
    /// The connection error that prevented or interrupted the answer.
    pub failure: Option<String>,
}

impl CallerAnswer {
    /// Returns the error code in the body of a refusal; empty if there is none.
    pub fn code(&self) -> String {
        let value: Value = serde_json::from_str(&self.body).unwrap_or_default();
        value["error"]["code"].as_str().unwrap_or("").to_string()
    }
}

/// The parameters of a chat request.
#[derive(Clone, Debug)]
pub struct ChatRequest {
    /// The name of the workspace.
    pub workspace: String,
    /// The key of the workspace.
    pub key: String,
    /// The id of the request.
    pub request_id: String,
    /// The id of the chat.
    pub chat: String,
    /// The name of the service.
    pub service: String,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: usize,
    /// The length of the answer, in pieces.
    pub max_tokens: u32,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether the request may run at most once.
    pub run_once: bool,
    /// Whether the chat already contains an answer.
    pub returning: bool,
}

/// Builds the HTTP call of a chat request.
pub fn chat_call(request: &ChatRequest) -> HttpCall {
    let prompt = "word".repeat(request.prompt_tokens);
    let mut messages = vec![json!({ "role": "user", "content": prompt })];
    if request.returning {
        messages.push(json!({ "role": "assistant", "content": "so be it" }));
        messages.push(json!({ "role": "user", "content": "and then" }));
    }
    let body = json!({
        "model": "m", "stream": request.stream, "max_tokens": request.max_tokens, "messages": messages,
    });
    let mut call = HttpCall::post(CHAT_PATH, body.to_string().into_bytes())
        .with("authorization", format!("Bearer {}", request.key))
        .with("content-type", "application/json")
        .with(WORKSPACE_HEADER, request.workspace.as_str())
        .with(REQUEST_ID_HEADER, request.request_id.as_str())
        .with(CHAT_HEADER, request.chat.as_str())
        .with(SERVICE_HEADER, request.service.as_str())
        .with(ISSUED_HEADER, wall_ms().to_string());
    if request.run_once {
        call = call.with(RUN_ONCE_HEADER, "true");
    }
    call
}

/// Builds the HTTP call of a request to a plain upstream.
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

/// Requests the addresses to use for a chat from a router. Returns an empty list if the router does not answer.
pub fn directory(client: &HttpClient, router: SocketAddr, query: &str) -> Vec<SocketAddr> {
    let call = HttpCall::get(format!("/v1/addresses?{query}"));
    let Ok(reply) = client.call(router, &call, CallTimes::of_ms(2000), 1 << 16, "directory") else {
        return Vec::new();
    };
    let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
    addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect()
}

/// Sends a call and reads the answer to its end. If `stop_after` is set, the connection is closed after that
/// number of pieces.
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

/// A reader that fails if a body ends before its announced length. The client's reader treats that as the normal
/// end.
struct LengthReader<R> {
    inner: R,
    /// The number of bytes that are still expected; `None` if no length was announced.
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
        if record_event(event, answer) {
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
        if stop_after.is_some_and(|max| pieces >= max) {
            return;
        }
    }
}

/// Records an event in the answer. Returns true if the event is not a piece of the text.
fn record_event(event: SseEvent, answer: &mut CallerAnswer) -> bool {
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
