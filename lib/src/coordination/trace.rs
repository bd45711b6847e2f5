//! Recorded traces: JSON lines of requests, views, churn, and the outcomes they state.
//!
//! `docs/traces.md` documents the format. Times are milliseconds from the trace's
//! start and never fall. A trace carries no placements: those are what a replay decides.

use serde::{Deserialize, Serialize};

use super::fair_queue::RequestClass;
use crate::state::finding::Finding;

/// The first line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceSetup {
    /// Routers, numbered from 0.
    pub routers: u32,
    /// Engines, numbered from 0.
    pub engines: u32,
    /// No engine is admitted to at or above this multiple of the mean.
    pub multiple: f64,
    /// Tokens that each engine's prefix cache holds.
    pub cache_tokens: u64,
    /// Engines' load reports are this old.
    pub report_lag_ms: u64,
    /// Cache events arrive this late.
    pub event_lag_ms: u64,
    /// Of so many cache events, one is lost; 0 loses none.
    pub event_loss_one_in: u64,
    /// Requests wait this long at the most.
    pub wait_ms: u64,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// The workspace.
    pub workspace: u32,
    /// The chat.
    pub chat: u64,
    /// The chat's how manieth request, from 1; from 2 on it returns.
    pub turn: u32,
    /// Prompt tokens, all turns before included.
    pub prompt: u32,
    /// Output tokens.
    pub output: u32,
    /// The class.
    pub class: RequestClass,
    /// Time to compute the whole prompt.
    pub prefill_ms: u64,
    /// Time to generate the output.
    pub decode_ms: u64,
}

/// How a VM stands in somebody's view, or in truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TraceStanding {
    /// It takes work.
    Live,
    /// It finishes what it has.
    Leaving,
    /// It is gone, with its cache.
    Gone,
}

/// What a trace may state of its outcome.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceExpectation {
    /// No admission at or above the bound, by the true loads.
    NeverAboveBound,
    /// The share of returning requests that found their prefix.
    ReuseAtLeast(f64),
    /// That share, of the best that exact knowledge reaches under the same bound.
    ReuseOfBestAtLeast(f64),
    /// The 99th percentile over time of the largest load over the mean.
    SkewP99AtMost(f64),
    /// The share of requests refused.
    RefusedAtMost(f64),
    /// A workspace's 99th percentile of the wait, in milliseconds.
    WaitP99AtMost {
        /// The workspace.
        workspace: u32,
        /// The wait.
        wait_ms: u64,
    },
    /// A chat's latest request went to this engine.
    Placed {
        /// The chat.
        chat: u64,
        /// The engine.
        engine: u32,
    },
}

/// What happens at one line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceEvent {
    /// The first line.
    Setup(TraceSetup),
    /// A request comes.
    Request(TraceRequest),
    /// An engine changes, in truth.
    Engine {
        /// Which.
        engine: u32,
        /// To what.
        standing: TraceStanding,
    },
    /// A router learns of an engine's standing.
    List {
        /// Who learns.
        router: u32,
        /// Of which engine.
        engine: u32,
        /// What.
        standing: TraceStanding,
    },
    /// A router joins or is gone, in truth.
    Router {
        /// Which.
        router: u32,
        /// To what.
        standing: TraceStanding,
    },
    /// A router learns of a roster.
    Roster {
        /// Who learns.
        router: u32,
        /// The epoch.
        epoch: u64,
        /// The routers in it.
        routers: Vec<u32>,
    },
    /// What must come out.
    Expect(TraceExpectation),
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceLine {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    #[serde(rename = "do")]
    pub event: TraceEvent,
}

/// A trace, read and checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Its first line.
    pub setup: TraceSetup,
    /// The others, in order.
    pub lines: Vec<TraceLine>,
    /// The outcomes that it states.
    pub expectations: Vec<TraceExpectation>,
}

/// Reads a trace, or says all that is wrong with it.
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
        if let Some(text) = setup.as_ref().and_then(|setup| out_of_range(setup, &line.event)) {
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

fn out_of_range(setup: &TraceSetup, event: &TraceEvent) -> Option<String> {
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
