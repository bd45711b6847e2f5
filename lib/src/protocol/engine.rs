//! The interface of the engines: chats as server-sent events with numbered pieces, runs that can be
//! resumed and cancelled, state with cache events, KV cache transfers, and orders.
//!
//! `docs/interfaces/engine.md` describes the protocol. The router chooses the id of each run, so
//! that it can resume or cancel a run whose answer has not arrived.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

use super::http::{find_header, HttpCall};
use super::sse::SseEvent;
use crate::state::ids::{ChatKey, Incarnation};
use crate::state::keeper_machine::OrderAction;

/// The id of the run.
pub const RUN_HEADER: &str = "x-run-id";
/// The priority of the run; a higher one is served first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The key of the chat, which identifies it in the prefix cache.
pub const CACHE_KEY_HEADER: &str = "x-cache-key";
/// The incarnation of the engine.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// `true` if the engine is leaving.
pub const LEAVING_HEADER: &str = "x-leaving";
/// The number of the reader, which rises with each reader of a run. A cancellation by an earlier
/// reader is ignored.
pub const READER_HEADER: &str = "x-reader";
/// The number of prompt tokens that the engine found in its cache.
pub const CACHED_HEADER: &str = "x-cached-tokens";

/// The id of a caller's run: unguessable for other workspaces, and equal at all routers.
pub fn run_id(workspace: &str, request_id: &str) -> String {
    format!("{:032x}", crate::state::claim_table::ClaimKey::of(workspace, request_id).0)
}

/// A call that starts a run.
pub fn start_call(run: &str, priority: u8, chat: ChatKey, body: &[u8]) -> HttpCall {
    HttpCall::post("/v1/chat/completions", streamed_body(body))
        .with(RUN_HEADER, run)
        .with(PRIORITY_HEADER, priority.to_string())
        .with(CACHE_KEY_HEADER, format!("{:x}", chat.0))
        .with("content-type", "application/json")
}

/// Sets `stream` in the body of a chat. Engines are always asked for a stream, since only numbered
/// pieces show that an answer is complete.
fn streamed_body(body: &[u8]) -> Vec<u8> {
    let Ok(Value::Object(mut chat)) = serde_json::from_slice(body) else { return body.to_vec() };
    chat.insert("stream".to_string(), Value::Bool(true));
    serde_json::to_vec(&chat).unwrap_or_else(|_| body.to_vec())
}

/// A call that resumes reading a run after a piece.
pub fn resume_call(run: &str, after: u64) -> HttpCall {
    HttpCall::get(format!("/v1/runs/{run}?after={after}"))
}

/// A call that cancels a run, unless a later reader has resumed it.
pub fn cancel_call(run: &str, reader: u64) -> HttpCall {
    HttpCall::post(format!("/v1/runs/{run}/cancel"), Vec::new())
        .with(READER_HEADER, reader.to_string())
}

/// A call for the engine's state and the cache events after a number.
pub fn state_call(events_after: u64) -> HttpCall {
    HttpCall::get(format!("/v1/state?events_after={events_after}"))
}

/// A call that makes an engine import a chat's KV cache from another one.
pub fn import_call(chat: ChatKey, from: SocketAddr, tokens: u32) -> HttpCall {
    let body = serde_json::json!({
        "cache_key": format!("{:x}", chat.0), "from": from.to_string(), "tokens": tokens,
    });
    HttpCall::post("/v1/kv/import", body.to_string().into_bytes())
        .with("content-type", "application/json")
}

/// A call that sends an order with its fencing token.
pub fn order_call(fence: u64, action: &OrderAction) -> HttpCall {
    let body = serde_json::json!({ "fence": fence, "action": action });
    HttpCall::post("/v1/orders", body.to_string().into_bytes())
        .with("content-type", "application/json")
}

/// The headers of an engine's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineHead {
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The number assigned to this reader of the run.
    pub reader: u64,
    /// The number of prompt tokens found in the cache.
    pub cached_tokens: u32,
}

/// Parses the headers of an engine's answer; an absent or malformed value is read as zero.
pub fn read_head(headers: &[(String, String)]) -> EngineHead {
    let number = |name| find_header(headers, name).and_then(|text| text.parse::<u64>().ok());
    EngineHead {
        incarnation: Incarnation(number(INCARNATION_HEADER).unwrap_or(0)),
        leaving: find_header(headers, LEAVING_HEADER) == Some("true"),
        reader: number(READER_HEADER).unwrap_or(0),
        cached_tokens: number(CACHED_HEADER).unwrap_or(0).min(u32::MAX as u64) as u32,
    }
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnginePiece {
    /// The number and data of a piece; the data is forwarded unchanged.
    Data(u64, String),
    /// The end of the answer, with the number after the last piece.
    End(u64),
    /// The error with which the run failed.
    Failed(String),
}

/// Parses an event of an engine's stream; `None` if it isn't a piece.
pub fn read_piece(event: &SseEvent) -> Option<EnginePiece> {
    if event.event.as_deref() == Some("error") {
        return Some(EnginePiece::Failed(event.data.clone()));
    }
    let number = event.id.as_deref()?.parse().ok().filter(|number| *number > 0)?;
    match event.data.as_str() {
        "[DONE]" => Some(EnginePiece::End(number)),
        data => Some(EnginePiece::Data(number, data.to_string())),
    }
}

/// The text that a piece appends to the answer.
pub fn piece_text(data: &str) -> String {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let content = value.pointer("/choices/0/delta/content").and_then(Value::as_str);
    content.unwrap_or("").to_string()
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with each event; a gap means that events were lost.
    pub number: u64,
    /// The key of the chat, in hex.
    pub cache_key: String,
    /// The number of tokens of the chat that are cached from now on; 0 if it was dropped.
    pub tokens: u32,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The work in flight, in tokens.
    pub work: u64,
    /// The requested events, as far as the engine still has them.
    pub events: Vec<CacheEvent>,
    /// The number of the latest event.
    pub latest_event: u64,
}

/// Parses an engine's state; the error text says what is wrong with it.
pub fn read_state(body: &[u8]) -> Result<EngineState, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

impl CacheEvent {
    /// The key of the chat; `None` if it is malformed.
    pub fn chat(&self) -> Option<ChatKey> {
        u64::from_str_radix(&self.cache_key, 16).ok().map(ChatKey)
    }
}
