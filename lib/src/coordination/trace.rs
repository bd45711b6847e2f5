//! Recorded traces: JSON lines of requests, of changes of engines and routers and when routers
//! receive them, and of expected outcomes.
//!
//! `docs/traces.md` documents the format. Times are milliseconds from the start of the trace and
//! never decrease. A trace contains no placements, because a replay decides them.

use serde::{Deserialize, Serialize};

use super::fair_queue::RequestClass;
use crate::state::finding::Finding;

/// The first line of a trace: the size of the system and its parameters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSetup {
    /// The number of routers, which are numbered from 0.
    pub routers: u32,
    /// The number of engines, which are numbered from 0.
    pub engines: u32,
    /// The admission bound as a multiple of the mean load. An engine at or above it admits no
    /// request.
    pub multiple: f64,
    /// The capacity of each engine's prefix cache, in tokens.
    pub cache_tokens: u64,
    /// The age of the load reports of engines, in milliseconds.
    pub report_lag_ms: u64,
    /// The delay of cache events, in milliseconds.
    pub event_lag_ms: u64,
    /// One of this many cache events is lost, or none if this is 0.
    pub event_loss_one_in: u64,
    /// The maximum time that a request waits, in milliseconds.
    pub wait_ms: u64,
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// The number of the workspace.
    pub workspace: u32,
    /// The number of the chat.
    pub chat: u64,
    /// The number of this request within its chat, from 1. From 2 on it is a returning request.
    pub turn: u32,
    /// The number of prompt tokens, including all earlier turns.
    pub prompt: u32,
    /// The number of output tokens.
    pub output: u32,
    /// The class.
    pub class: RequestClass,
    /// The time to compute the whole prompt without cache, in milliseconds.
    pub prefill_ms: u64,
    /// The time to generate the output, in milliseconds.
    pub decode_ms: u64,
}

/// The status of an engine or a router, either its actual one or the one that a router has
/// received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TraceStatus {
    /// It accepts requests.
    Live,
    /// It finishes its requests and accepts no new ones.
    Leaving,
    /// It has ended, and its cache is lost.
    Gone,
}

/// An expected outcome of a replay.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceExpectation {
    /// No request is admitted to an engine whose actual load is at or above the bound.
    NeverAboveBound,
    /// The minimum share of returning requests that find their prefix in the cache.
    ReuseAtLeast(f64),
    /// The minimum of that share relative to the best that complete information reaches under the
    /// same bound.
    ReuseOfBestAtLeast(f64),
    /// The maximum of the 99th percentile over time of the highest load divided by the mean load.
    SkewP99AtMost(f64),
    /// The maximum share of refused requests.
    RefusedAtMost(f64),
    /// The maximum of the 99th percentile of a workspace's waiting time.
    WaitP99AtMost {
        /// The number of the workspace.
        workspace: u32,
        /// The waiting time, in milliseconds.
        wait_ms: u64,
    },
    /// The latest request of a chat ran on this engine.
    Placed {
        /// The number of the chat.
        chat: u64,
        /// The number of the engine.
        engine: u32,
    },
}

/// The event of one line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// The setup, in the first line.
    Setup(TraceSetup),
    /// A request arrives.
    Request(TraceRequest),
    /// The actual status of an engine changes.
    Engine {
        /// The number of the engine.
        engine: u32,
        /// The new status.
        #[serde(rename = "standing")]
        status: TraceStatus,
    },
    /// A router receives the status of an engine.
    List {
        /// The number of the receiving router.
        router: u32,
        /// The number of the engine.
        engine: u32,
        /// The received status.
        #[serde(rename = "standing")]
        status: TraceStatus,
    },
    /// The actual status of a router changes.
    Router {
        /// The number of the router.
        router: u32,
        /// The new status.
        #[serde(rename = "standing")]
        status: TraceStatus,
    },
    /// A router receives a roster.
    Roster {
        /// The number of the receiving router.
        router: u32,
        /// The epoch of the roster.
        epoch: u64,
        /// The routers of the roster.
        routers: Vec<u32>,
    },
    /// An expected outcome.
    Expect(TraceExpectation),
}

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceLine {
    /// The time, in milliseconds from the start of the trace.
    pub at: u64,
    /// The event.
    #[serde(rename = "do")]
    pub event: TraceEvent,
}

/// A trace that was read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// The setup.
    pub setup: TraceSetup,
    /// The other events, in order of time.
    pub lines: Vec<TraceLine>,
    /// The expected outcomes.
    pub expectations: Vec<TraceExpectation>,
}

/// Reads a trace. The error has a finding for each fault.
pub fn read_trace(text: &str) -> Result<Trace, Vec<Finding>> {
    let mut findings = Vec::new();
    let mut setup: Option<TraceSetup> = None;
    let mut lines = Vec::new();
    let mut expectations = Vec::new();
    let mut last_at = 0;
    for (number, text) in text.lines().enumerate().filter(|(_, text)| !text.trim().is_empty()) {
        let mut note = |text: String| {
            let path = "$".to_string();
            findings.push(Finding { path, line: Some(number + 1), text });
        };
        let line: TraceLine = match serde_json::from_str(text) {
            Ok(line) => line,
            Err(error) => {
                note(format!("not a line of a trace: {error}"));
                continue;
            }
        };
        if line.at < last_at {
            note(format!("time falls from {last_at} to {}", line.at));
        }
        last_at = last_at.max(line.at);
        if let Some(text) = setup.as_ref().and_then(|setup| range_error(setup, &line.event)) {
            note(text);
        }
        match line.event {
            TraceEvent::Setup(_) if setup.is_some() => note("a second setup".to_string()),
            TraceEvent::Setup(first) => setup = Some(first),
            _ if setup.is_none() => note("the first line must be the setup".to_string()),
            TraceEvent::Expect(expectation) => expectations.push(expectation),
            _ => lines.push(line),
        }
    }
    match (setup, findings.is_empty()) {
        (Some(setup), true) => Ok(Trace { setup, lines, expectations }),
        (None, true) => {
            let text = "the trace is empty".to_string();
            Err(vec![Finding { path: "$".to_string(), line: None, text }])
        }
        (_, false) => Err(findings),
    }
}

/// Returns a text if an event has a router or engine that the setup doesn't have.
fn range_error(setup: &TraceSetup, event: &TraceEvent) -> Option<String> {
    let (router, engine) = match event {
        TraceEvent::Engine { engine, .. } => (0, *engine),
        TraceEvent::List { router, engine, .. } => (*router, *engine),
        TraceEvent::Router { router, .. } => (*router, 0),
        TraceEvent::Roster { router, routers, .. } => {
            (routers.iter().copied().chain([*router]).max().unwrap_or(0), 0)
        }
        _ => return None,
    };
    if router >= setup.routers {
        return Some(format!("there is no router {router}"));
    }
    (engine >= setup.engines).then(|| format!("there is no engine {engine}"))
}
