//! The engines' interface: chats as server-sent events with numbered pieces, runs
//! that can be resumed and cancelled, state with cache events, KV moves, orders.
//!
//! `docs/interfaces/engine.md` gives the wire. Every run has an id that the router
//! chooses, so that resuming and cancelling need no answer first.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;

use super::http::{find_header, HttpCall};
use super::sse::SseEvent;
use crate::state::ids::{ChatKey, Incarnation};
use crate::state::keeper_machine::OrderAction;

/// The run's id.
pub const RUN_HEADER: &str = "x-run-id";
/// Higher goes first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The chat, as the key of the prefix cache.
pub const CACHE_KEY_HEADER: &str = "x-cache-key";
/// The engine's life.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// `true` when the engine leaves.
pub const LEAVING_HEADER: &str = "x-leaving";
/// Rises with each reader of a run; a cancel by an earlier reader is ignored.
pub const READER_HEADER: &str = "x-reader";
/// Prompt tokens that the engine found in its cache.
pub const CACHED_HEADER: &str = "x-cached-tokens";

/// A run's id from the caller's request: unguessable by other workspaces, equal on all routers.
pub fn run_id(workspace: &str, request_id: &str) -> String {
    format!("{:032x}", crate::state::claim_table::ClaimKey::of(workspace, request_id).0)
}

/// Starts a run.
pub fn start_call(run: &str, priority: u8, chat: ChatKey, body: &[u8]) -> HttpCall {
    HttpCall::post("/v1/chat/completions", streamed_body(body))
        .with(RUN_HEADER, run)
        .with(PRIORITY_HEADER, priority.to_string())
        .with(CACHE_KEY_HEADER, format!("{:x}", chat.0))
        .with("content-type", "application/json")
}

/// Engines are always asked for a stream: only numbered pieces show that an answer is whole.
fn streamed_body(body: &[u8]) -> Vec<u8> {
    let Ok(Value::Object(mut chat)) = serde_json::from_slice(body) else { return body.to_vec() };
    chat.insert("stream".to_string(), Value::Bool(true));
    serde_json::to_vec(&chat).unwrap_or_else(|_| body.to_vec())
}

/// Reads on in a run after a piece.
pub fn resume_call(run: &str, after: u64) -> HttpCall {
    HttpCall::get(format!("/v1/runs/{run}?after={after}"))
}

/// Cancels a run, unless a later reader has taken it up.
pub fn cancel_call(run: &str, reader: u64) -> HttpCall {
    HttpCall::post(format!("/v1/runs/{run}/cancel"), Vec::new())
        .with(READER_HEADER, reader.to_string())
}

/// Asks for state and the cache events after a number.
pub fn state_call(events_after: u64) -> HttpCall {
    HttpCall::get(format!("/v1/state?events_after={events_after}"))
}

/// Has an engine import a chat's KV from another.
pub fn import_call(chat: ChatKey, from: SocketAddr, tokens: u32) -> HttpCall {
    let body = serde_json::json!({
        "cache_key": format!("{:x}", chat.0), "from": from.to_string(), "tokens": tokens,
    });
    HttpCall::post("/v1/kv/import", body.to_string().into_bytes())
        .with("content-type", "application/json")
}

/// Sends a fenced order.
pub fn order_call(fence: u64, action: &OrderAction) -> HttpCall {
    let body = serde_json::json!({ "fence": fence, "action": action });
    HttpCall::post("/v1/orders", body.to_string().into_bytes())
        .with("content-type", "application/json")
}

/// What the head of an engine's answer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineHead {
    /// The engine's life.
    pub incarnation: Incarnation,
    /// It leaves.
    pub leaving: bool,
    /// This reader's number.
    pub reader: u64,
    /// Prompt tokens found in its cache.
    pub cached_tokens: u32,
}

/// Reads the head of an engine's answer; what is absent or malformed reads as zero.
pub fn read_head(headers: &[(String, String)]) -> EngineHead {
    let number = |name| find_header(headers, name).and_then(|text| text.parse::<u64>().ok());
    EngineHead {
        incarnation: Incarnation(number(INCARNATION_HEADER).unwrap_or(0)),
        leaving: find_header(headers, LEAVING_HEADER) == Some("true"),
        reader: number(READER_HEADER).unwrap_or(0),
        cached_tokens: number(CACHED_HEADER).unwrap_or(0).min(u32::MAX as u64) as u32,
    }
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EnginePiece {
    /// A piece with its number and its data, to be passed on as it is.
    Data(u64, String),
    /// The end, with the number after the last piece.
    End(u64),
    /// The engine says that the run failed.
    Failed(String),
}

/// Reads an event of an engine's stream; `None` for what is not a piece.
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

/// The text that a piece's data adds to the answer.
pub fn piece_text(data: &str) -> String {
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    let content = value.pointer("/choices/0/delta/content").and_then(Value::as_str);
    content.unwrap_or("").to_string()
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one; a jump means that events were lost.
    pub number: u64,
    /// The chat, in hex.
    pub cache_key: String,
    /// Tokens held from now on; 0 when dropped.
    pub tokens: u32,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Its life.
    pub incarnation: u64,
    /// It leaves.
    pub leaving: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Work in flight, in tokens.
    pub work: u64,
    /// The events asked for, as far as they were kept.
    pub events: Vec<CacheEvent>,
    /// The number of the latest event.
    pub latest_event: u64,
}

/// Reads an engine's state, or says what is wrong with it.
pub fn read_state(body: &[u8]) -> Result<EngineState, String> {
    serde_json::from_slice(body).map_err(|error| error.to_string())
}

impl CacheEvent {
    /// The chat's key, if the event's is well formed.
    pub fn chat(&self) -> Option<ChatKey> {
        u64::from_str_radix(&self.cache_key, 16).ok().map(ChatKey)
    }
}
