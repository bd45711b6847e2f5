//! The interface for callers: chat clients and plain HTTP clients.
//!
//! `GET /v1/addresses` returns the routers to use; `POST /v1/chat/completions` is a chat request;
//! any other request goes to a plain service. `docs/operators/callers.md` has the table of headers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::http::{HttpCall, HttpReply};
use crate::state::claim_table::ISSUE_AHEAD_MS;

/// The path of chat requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// The path of the directory.
pub const ADDRESSES_PATH: &str = "/v1/addresses";
/// The caller's workspace.
pub const WORKSPACE_HEADER: &str = "wingshed-workspace";
/// The request id, chosen by the caller and unique in its workspace; echoed in each reply.
pub const REQUEST_ID_HEADER: &str = "wingshed-request-id";
/// When the caller issued the request, in milliseconds since 1970.
pub const ISSUED_HEADER: &str = "wingshed-issued";
/// The chat that the request belongs to.
pub const CHAT_HEADER: &str = "wingshed-chat";
/// The requested service.
pub const SERVICE_HEADER: &str = "wingshed-service";
/// `true` when the request must not run twice.
pub const RUN_ONCE_HEADER: &str = "wingshed-run-once";
/// How long the caller waits, in milliseconds.
pub const DEADLINE_HEADER: &str = "wingshed-deadline";
/// The prefix of the headers that carry labels for the policy: `wingshed-label-NAME`.
pub const LABEL_PREFIX: &str = "wingshed-label-";
/// In each reply: whether the request ran; see [`RanStatus`].
pub const RAN_HEADER: &str = "wingshed-ran";
/// In each reply: the upstream that served the request, if any.
pub const UPSTREAM_HEADER: &str = "wingshed-upstream";
/// In each reply of a chat: the router to use for the chat's next request.
pub const USE_HEADER: &str = "wingshed-use";
/// In each reply: the number of routers that the request passed after the first.
pub const HOPS_HEADER: &str = "wingshed-hops";

/// The longest name, id or label value in a header, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// Bytes of message text that count as one token in the estimated size of a prompt.
const BYTES_PER_TOKEN: usize = 4;
/// The deadline of a request that names none, in milliseconds.
pub const DEFAULT_DEADLINE_MS: u64 = 600_000;

/// Whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RanStatus {
    /// No byte of it can have reached an upstream, or the upstream reported that it did not run.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl RanStatus {
    /// The header's value.
    pub fn text(self) -> &'static str {
        match self {
            RanStatus::No => "no",
            RanStatus::Yes => "yes",
            RanStatus::Unknown => "unknown",
        }
    }

    /// Parses a header's value; a missing or other value is [`RanStatus::Unknown`].
    pub fn of(text: Option<&str>) -> RanStatus {
        match text {
            Some("no") => RanStatus::No,
            Some("yes") => RanStatus::Yes,
            _ => RanStatus::Unknown,
        }
    }
}

/// An error reply that the router itself gives, as opposed to one from the upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    /// The HTTP status.
    pub status: u16,
    /// A stable error code.
    pub code: String,
    /// The header or field that caused the error, if any.
    pub field: Option<String>,
    /// A description of the error for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RanStatus,
    /// After how many milliseconds the caller should retry.
    pub retry_after_ms: Option<u64>,
}

impl CallerError {
    /// An error for a request that did not run.
    pub fn not_run(status: u16, code: &str, message: impl Into<String>) -> CallerError {
        CallerError {
            status,
            code: code.to_string(),
            field: None,
            message: message.into(),
            ran: RanStatus::No,
            retry_after_ms: None,
        }
    }

    /// Sets the header or field that caused the error.
    pub fn at(mut self, field: &str) -> CallerError {
        self.field = Some(field.to_string());
        self
    }

    /// Sets the time after which the caller should retry, in milliseconds.
    pub fn after(mut self, retry_after_ms: u64) -> CallerError {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Sets whether the request ran.
    pub fn with_ran(mut self, ran: RanStatus) -> CallerError {
        self.ran = ran;
        self
    }

    /// The error as a JSON value.
    pub fn to_value(&self) -> Value {
        serde_json::json!({ "error": {
            "code": self.code, "field": self.field, "message": self.message,
            "ran": self.ran.text(), "retry_after_ms": self.retry_after_ms,
        }})
    }

    /// The error as an HTTP reply.
    pub fn to_reply(&self, request_id: &str) -> HttpReply {
        let reply = HttpReply::json(self.status, &self.to_value())
            .with(RAN_HEADER, self.ran.text())
            .with(REQUEST_ID_HEADER, request_id);
        match self.retry_after_ms {
            Some(after) => reply.with("retry-after", after.div_ceil(1000).max(1).to_string()),
            None => reply,
        }
    }
}

/// The position in a stream after which a caller requests to resume it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePosition {
    /// The name of the upstream that sent the stream.
    pub upstream: String,
    /// The number of the last event that the caller received.
    pub last: u64,
}

/// The properties of a chat's body that routing needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatFacts {
    /// Whether the caller asks for a stream.
    pub stream: bool,
    /// The limit on output tokens, if the caller sets one.
    pub max_tokens: Option<u32>,
    /// The approximate size of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Whether the chat begins with this request, that is, no message in it is an answer.
    pub fresh: bool,
}

/// A validated request of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRequest {
    /// The workspace of the caller.
    pub workspace: String,
    /// Its id within the workspace.
    pub request_id: String,
    /// When the caller issued it, in milliseconds since 1970; required for run-once requests.
    pub issued_ms: Option<u64>,
    /// The name of its chat; without one, the request is a chat of its own.
    pub chat: Option<String>,
    /// The requested service.
    pub service: String,
    /// Whether the request must run at most once.
    pub run_once: bool,
    /// How long the caller waits, in milliseconds from the arrival of the request.
    pub deadline_ms: u64,
    /// Labels for the policy.
    pub labels: BTreeMap<String, String>,
    /// The method.
    pub method: String,
    /// The path with the query.
    pub target: String,
    /// The content type of the body.
    pub content_type: Option<String>,
    /// The body.
    #[serde(with = "serde_bytes_vec")]
    pub body: Vec<u8>,
    /// The properties of a chat; `None` for a plain request.
    pub facts: Option<ChatFacts>,
    /// The position at which to resume a stream.
    pub resume: Option<ResumePosition>,
}

/// Encodes bodies as MessagePack binary; encoded as sequences of numbers they would be twice as
/// large.
mod serde_bytes_vec {
    use serde::de::{Deserializer, Visitor};
    use serde::ser::Serializer;

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(bytes)
    }

    struct BytesVisitor;

    impl Visitor<'_> for BytesVisitor {
        type Value = Vec<u8>;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("bytes")
        }

        fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
            Ok(bytes.to_vec())
        }

        fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
            Ok(bytes)
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}

/// The API key in a call, if any.
pub fn caller_key(call: &HttpCall) -> Option<&str> {
    call.header("authorization")?.strip_prefix("Bearer ").map(str::trim)
}

/// The request id to echo in a reply to a request that has not been validated; `-` if it has no
/// valid id.
pub fn echo_id(call: &HttpCall) -> String {
    let id = call.header(REQUEST_ID_HEADER).unwrap_or("");
    match is_good_name(id) {
        true => id.to_string(),
        false => "-".to_string(),
    }
}

/// Parses and validates a caller's request. `fresh_id` becomes the id of a request that has none;
/// `wall_ms` is the current time in milliseconds since 1970.
pub fn read_request(
    call: HttpCall,
    fresh_id: &str,
    wall_ms: u64,
) -> Result<CallerRequest, CallerError> {
    let workspace = name_of(&call, WORKSPACE_HEADER)?.ok_or_else(|| {
        CallerError::not_run(401, "no_workspace", "The workspace header is missing.")
            .at(WORKSPACE_HEADER)
    })?;
    let given_id = name_of(&call, REQUEST_ID_HEADER)?;
    let run_once = flag_of(&call, RUN_ONCE_HEADER)?;
    let issued_ms = number_of(&call, ISSUED_HEADER)?;
    if run_once {
        check_run_once(given_id.is_some(), issued_ms)?;
    }
    if issued_ms.is_some_and(|issued| issued > wall_ms + ISSUE_AHEAD_MS) {
        return Err(bad(ISSUED_HEADER, "The issue time lies in the future."));
    }
    let chat_call = call.path() == CHAT_PATH;
    if chat_call && call.method != "POST" {
        return Err(CallerError::not_run(405, "bad_method", "A chat is asked for with POST."));
    }
    let facts = if chat_call { Some(read_chat(&call.body)?) } else { None };
    let default_service = if chat_call { "chat" } else { "plain" };
    Ok(CallerRequest {
        workspace,
        request_id: given_id.unwrap_or_else(|| fresh_id.to_string()),
        issued_ms,
        chat: name_of(&call, CHAT_HEADER)?,
        service: name_of(&call, SERVICE_HEADER)?.unwrap_or_else(|| default_service.to_string()),
        run_once,
        deadline_ms: number_of(&call, DEADLINE_HEADER)?.unwrap_or(DEFAULT_DEADLINE_MS),
        labels: labels_of(&call)?,
        resume: resume_of(&call)?,
        content_type: call.header("content-type").map(str::to_string),
        method: call.method,
        target: call.target,
        body: call.body,
        facts,
    })
}

fn check_run_once(has_id: bool, issued_ms: Option<u64>) -> Result<(), CallerError> {
    if !has_id {
        return Err(bad(REQUEST_ID_HEADER, "A run-once request must carry its id."));
    }
    if issued_ms.is_none() {
        return Err(bad(ISSUED_HEADER, "A run-once request must carry its issue time."));
    }
    Ok(())
}

fn read_chat(body: &[u8]) -> Result<ChatFacts, CallerError> {
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| bad("body", &format!("The body is not JSON: {error}.")))?;
    let messages = value.get("messages").and_then(Value::as_array);
    let messages = messages.ok_or_else(|| bad("messages", "A chat needs an array of messages."))?;
    if messages.is_empty() {
        return Err(bad("messages", "A chat needs at least one message."));
    }
    let mut characters = 0;
    let mut fresh = true;
    for (at, message) in messages.iter().enumerate() {
        let content = message.get("content").and_then(Value::as_str);
        let Some(content) = content.filter(|_| message.get("role").is_some_and(Value::is_string))
        else {
            let field = format!("messages[{at}]");
            return Err(bad(&field, "A message needs a role and a content, both texts."));
        };
        characters += content.len();
        fresh &= message.get("role").and_then(Value::as_str) != Some("assistant");
    }
    let stream = match value.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("stream", "`stream` must be true or false.")),
    };
    let max_tokens = match value.get("max_tokens") {
        None | Some(Value::Null) => None,
        Some(number) => match number.as_u64().filter(|n| (1..=1 << 20).contains(n)) {
            Some(number) => Some(number as u32),
            None => return Err(bad("max_tokens", "`max_tokens` must be from 1 to 1048576.")),
        },
    };
    let prompt_tokens = (characters / BYTES_PER_TOKEN).max(1) as u32;
    Ok(ChatFacts { stream, max_tokens, prompt_tokens, fresh })
}

fn bad(field: &str, message: &str) -> CallerError {
    CallerError::not_run(400, "bad_request", message).at(field)
}

fn is_good_name(text: &str) -> bool {
    let plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(plain)
}

fn name_of(call: &HttpCall, header: &str) -> Result<Option<String>, CallerError> {
    match call.header(header) {
        None => Ok(None),
        Some(text) if is_good_name(text) => Ok(Some(text.to_string())),
        Some(_) => Err(bad(header, "Must be 1 to 128 visible ASCII characters.")),
    }
}

fn number_of(call: &HttpCall, header: &str) -> Result<Option<u64>, CallerError> {
    let Some(text) = call.header(header) else { return Ok(None) };
    let number = text.parse::<u64>().ok().filter(|number| *number < 1 << 50);
    number.map(Some).ok_or_else(|| bad(header, "Must be a whole number of milliseconds."))
}

fn flag_of(call: &HttpCall, header: &str) -> Result<bool, CallerError> {
    match call.header(header) {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad(header, "Must be true or false.")),
    }
}

fn labels_of(call: &HttpCall) -> Result<BTreeMap<String, String>, CallerError> {
    let mut labels = BTreeMap::new();
    for (name, value) in &call.headers {
        let Some(label) = name.strip_prefix(LABEL_PREFIX) else { continue };
        if !is_good_name(value) {
            return Err(bad(name, "Must be 1 to 128 visible ASCII characters."));
        }
        labels.insert(label.to_string(), value.clone());
    }
    Ok(labels)
}

/// The id of an event in a stream. It names the upstream, so that any router can resume the stream
/// without shared state.
pub fn event_id(upstream: &str, number: u64) -> String {
    format!("{number}@{upstream}")
}

fn resume_of(call: &HttpCall) -> Result<Option<ResumePosition>, CallerError> {
    let Some(text) = call.header("last-event-id") else { return Ok(None) };
    let place = text.split_once('@').and_then(|(number, upstream)| {
        let last = number.parse().ok()?;
        Some(ResumePosition { upstream: upstream.to_string(), last })
    });
    place.map(Some).ok_or_else(|| bad("last-event-id", "This is not the id of one of our events."))
}

/// The body of the answer to a chat request that did not ask for a stream.
pub fn whole_answer(request_id: &str, model: &str, content: &str, finish: &str) -> Value {
    serde_json::json!({
        "id": request_id, "object": "chat.completion", "model": model,
        "choices": [{
            "index": 0, "finish_reason": finish,
            "message": { "role": "assistant", "content": content },
        }],
    })
}
