//! What a platform's adapter translates, and the typed forms on this side of it.
//!
//! An adapter holds names, formats and calls and decides nothing. Everything that a
//! VM knows of a platform's wire passes through [`WireAdapter`]; see
//! `docs/design/platform.md`.

use std::net::SocketAddr;

use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Method, Uri};

use crate::state::finding::Finding;
use crate::state::list_reading::ListReading;
use crate::state::prompt_part::PromptPart;
use crate::state::rollout_order::RolloutRow;
use crate::state::route_table::RouteTable;

/// What the head of a caller's request holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's name for this attempt.
    pub attempt: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path without its query.
    pub path: String,
    /// The caller's key.
    pub key: Option<String>,
    /// How long the caller will wait, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The parts of its prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The most tokens that it asks for.
    pub max_output: u32,
    /// The caller's guess of the tokens out.
    pub expected_output: Option<u32>,
    /// The last event that the caller has seen of this stream.
    pub last_event: Option<String>,
}

/// Why a head is not a proper request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// It names no host, or several.
    Host,
    /// It frames its body in two ways.
    Framing,
    /// It carries no name for the attempt, or one that cannot be passed on.
    Attempt,
    /// A number or the list of parts cannot be read.
    Value,
}

/// What a VM adds to a request that it sends to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSend {
    /// The life that the request is for; another must not run it.
    pub name: String,
    /// How long the upstream may work on it, in milliseconds.
    pub left_ms: u64,
    /// The workspace whose key the caller gave.
    pub workspace: Option<String>,
    /// The rank at an engine, 0 to 9.
    pub engine_priority: Option<u8>,
    /// Where the engine should first take what is kept there of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// Go on after this event; `None` leaves what the caller said.
    pub resume_after: Option<String>,
}

/// What an upstream's load was when it answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// What the head of an upstream's answer holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// The attempt that it answers.
    pub attempt: Option<String>,
    /// Whether the upstream vouches for it.
    pub stamped: bool,
    /// The upstream says that it did not run the request.
    pub not_run: bool,
    /// Another life listens there than the request was for.
    pub other_incarnation: bool,
    /// Its load.
    pub load: Option<LoadReport>,
    /// The connection ends with this answer.
    pub closes: bool,
    /// How long the connection may rest, in milliseconds.
    pub idle_ms: Option<u64>,
    /// The upstream turns this VM away and wants nothing from it for so long, in milliseconds.
    pub backoff_ms: Option<u64>,
    /// The upstream leaves.
    pub leaving: bool,
}

/// A page of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPage {
    /// What it lists.
    pub reading: ListReading,
    /// The name of the page that follows.
    pub next: Option<String>,
}

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Take a configuration.
    Put,
    /// Give the newest.
    Get,
    /// Send nothing more to a zone's upstreams, or take the zone back.
    Zone {
        /// The zone's name.
        zone: String,
        /// Whether it is emptied.
        evacuate: bool,
    },
    /// Begin a roll-out; the body says which.
    StartRollout,
    /// Return how far the last roll-out of a service has come.
    GetRollout {
        /// The service's name.
        service: String,
    },
    /// It is none of these, but meant as one; the text says what is wrong.
    Malformed(String),
    /// None of these.
    Unknown,
}

/// A roll-out that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutCall {
    /// The service's name.
    pub service: String,
    /// The name of the version that its traffic is to be moved to.
    pub target: String,
    /// How long that may take, in milliseconds.
    pub duration_ms: u64,
}

/// The longest that a roll-out may be granted, in seconds: a day.
pub const LONGEST_GRANT_S: f64 = 86_400.0;

/// The time that a roll-out is granted, in milliseconds; `None` for one that can't be granted.
pub fn granted_ms(seconds: f64) -> Option<u64> {
    let granted = seconds > 0.0 && seconds <= LONGEST_GRANT_S;
    granted.then(|| ((seconds * 1000.0) as u64).max(1))
}

/// A platform's wire, in this project's types.
pub trait WireAdapter {
    /// Reads the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, HeadError>;
    /// The headers under which a caller's request goes to an upstream.
    fn write_send(&self, head: &request::Parts, send: &UpstreamSend) -> HeaderMap;
    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> UpstreamAnswer;
    /// The headers under which an upstream's answer goes back to the caller.
    fn write_answer(&self, head: &response::Parts) -> HeaderMap;
    /// Reads a configuration; all findings in one go.
    fn read_document(&self, bytes: &[u8]) -> Result<RouteTable, Vec<Finding>>;
    /// The call for a page of the list of upstreams.
    fn list_call(&self, page: Option<&str>) -> String;
    /// Reads a page of the list of upstreams.
    fn read_list(&self, bytes: &[u8]) -> Result<UpstreamPage, String>;
    /// What a call to the operator's address asks.
    fn control_call(&self, method: &Method, uri: &Uri) -> ControlCall;
    /// Reads the body of [`ControlCall::StartRollout`]; all findings in one go.
    fn read_rollout(&self, bytes: &[u8]) -> Result<RolloutCall, Vec<Finding>>;
    /// How far a roll-out has come, as the answer to [`ControlCall::GetRollout`].
    fn write_rollout(&self, row: &RolloutRow) -> String;
    /// The zone of a caller that asks for addresses; `None` when it asks something else.
    fn address_call(&self, method: &Method, uri: &Uri) -> Option<String>;
    /// The answer to it.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl_s: f64) -> String;
    /// Whether the platform asks if this VM is ready.
    fn ready_call(&self, method: &Method, uri: &Uri) -> bool;
    /// What is wrong with a configuration, as the body of a refusal.
    fn write_findings(&self, findings: &[Finding]) -> String;
}
