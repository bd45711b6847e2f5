//! The interface to a platform's protocol, and the typed messages on this side of it.
//!
//! An adapter implements names, formats and calls, and makes no decisions. Everything that a VM
//! exchanges in a platform's protocol passes through [`WireAdapter`]; see
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

/// The content of the head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's identifier of this attempt.
    pub attempt: String,
    /// The host, in lower case and without a port.
    pub host: String,
    /// The path without its query.
    pub path: String,
    /// The caller's API key.
    pub key: Option<String>,
    /// How long the caller waits, in milliseconds.
    pub wait_ms: Option<u64>,
    /// The parts of its prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The most output tokens that the caller requests.
    pub max_output: u32,
    /// The caller's estimate of the number of output tokens.
    pub expected_output: Option<u32>,
    /// The id of the last event of the stream that the caller has received.
    pub last_event: Option<String>,
    /// The identifier of the caller's attempt that brought the first event of the stream that the
    /// caller resumes; empty if the caller names none that can be read.
    pub resumes: Option<String>,
}

impl CallerRequest {
    /// Whether the caller resumes a stream of which it has received events.
    pub fn resumes_stream(&self) -> bool {
        self.last_event.is_some() || self.resumes.is_some()
    }
}

/// The reason why the head of a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The request names no host, or several.
    Host,
    /// The request has two framings of its body.
    Framing,
    /// The request has no identifier of the attempt, or one that cannot be forwarded.
    Attempt,
    /// A number or the list of prompt parts cannot be parsed.
    Value,
}

/// The values that a VM adds to a request when it sends it to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamSend {
    /// The name of the upstream that the request is for; another upstream at the address must not
    /// run it.
    pub name: String,
    /// How long the upstream may work on it, in milliseconds.
    pub left_ms: u64,
    /// The workspace that the caller's key belongs to.
    pub workspace: Option<String>,
    /// The priority at an engine, from 0 to 9.
    pub engine_priority: Option<u8>,
    /// The address of the engine from which to fetch cached parts of the prompt first.
    pub fetch_from: Option<SocketAddr>,
    /// The event after which the stream is resumed; `None` keeps the caller's value.
    pub resume_after: Option<String>,
}

/// The load of an upstream at the time of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}

/// The content of the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// The identifier of the attempt that it answers.
    pub attempt: Option<String>,
    /// Whether the answer carries the upstream's stamp, which shows that the upstream itself made
    /// it.
    pub stamped: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether another incarnation than the request was for listens at the address.
    pub other_incarnation: bool,
    /// The load of the upstream.
    pub load: Option<LoadReport>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
    /// How long the connection may stay idle, in milliseconds.
    pub idle_ms: Option<u64>,
    /// How many requests per second the upstream may reject before it falls over, if it says so.
    pub brittle: Option<u32>,
    /// How long the upstream requests this VM not to send anything, in milliseconds.
    pub backoff_ms: Option<u64>,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

/// A page of the list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPage {
    /// The entries of the page.
    pub reading: ListReading,
    /// The name of the next page, if any.
    pub next: Option<String>,
}

/// A call of an operator in the platform's protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Submits a configuration.
    Put,
    /// Returns the newest configuration.
    Get,
    /// Evacuates a zone or returns it to service.
    Zone {
        /// The zone's name.
        zone: String,
        /// Whether to evacuate the zone; `false` returns it to service.
        evacuate: bool,
    },
    /// Begins the roll-out that the body describes.
    StartRollout,
    /// Returns the progress of the last roll-out of a service.
    GetRollout {
        /// The service's name.
        service: String,
    },
    /// An invalid call to one of these paths; the text says what is wrong.
    Malformed(String),
    /// Any other call.
    Unknown,
}

/// A roll-out that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutCall {
    /// The service's name.
    pub service: String,
    /// The name of the version that the traffic moves to.
    pub target: String,
    /// How long the roll-out may take, in milliseconds.
    pub duration_ms: u64,
}

/// The longest time that a roll-out may take, in seconds: one day.
pub const LONGEST_GRANT_S: f64 = 86_400.0;

/// The time that a roll-out may take, in milliseconds; `None` if it is not above 0 or too long.
pub fn granted_ms(seconds: f64) -> Option<u64> {
    let granted = seconds > 0.0 && seconds <= LONGEST_GRANT_S;
    granted.then(|| ((seconds * 1000.0) as u64).max(1))
}

/// Converts between a platform's protocol and the types of this crate.
pub trait WireAdapter {
    /// Parses the head of a caller's request.
    fn read_request(&self, head: &request::Parts) -> Result<CallerRequest, HeadError>;
    /// The headers with which a caller's request is sent to an upstream.
    fn write_send(&self, head: &request::Parts, send: &UpstreamSend) -> HeaderMap;
    /// The headers with which a caller's request is passed to another VM; `wait_ms` is how long its caller
    /// still waits.
    fn write_relay(&self, head: &request::Parts, wait_ms: Option<u64>) -> HeaderMap;
    /// Parses the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> UpstreamAnswer;
    /// The headers with which an upstream's answer is returned to the caller.
    fn write_answer(&self, head: &response::Parts) -> HeaderMap;
    /// Parses a configuration; returns all findings if it is invalid.
    fn read_document(&self, bytes: &[u8]) -> Result<RouteTable, Vec<Finding>>;
    /// The target of the call for a page of the list of upstreams; `None` is the first page.
    fn list_call(&self, page: Option<&str>) -> String;
    /// Parses a page of the list of upstreams.
    fn read_list(&self, bytes: &[u8]) -> Result<UpstreamPage, String>;
    /// Parses a call to the operators' address.
    fn control_call(&self, method: &Method, uri: &Uri) -> ControlCall;
    /// Parses the body of [`ControlCall::StartRollout`]; returns all findings if it is invalid.
    fn read_rollout(&self, bytes: &[u8]) -> Result<RolloutCall, Vec<Finding>>;
    /// The answer to [`ControlCall::GetRollout`].
    fn write_rollout(&self, row: &RolloutRow) -> String;
    /// The zone of a caller that requests router addresses; `None` for any other call.
    fn address_call(&self, method: &Method, uri: &Uri) -> Option<String>;
    /// The answer to a request for addresses.
    fn write_addresses(&self, addresses: &[SocketAddr], ttl_s: f64) -> String;
    /// Whether a call is the platform's check if this VM is ready.
    fn ready_call(&self, method: &Method, uri: &Uri) -> bool;
    /// The body of a refusal that lists the findings of a configuration.
    fn write_findings(&self, findings: &[Finding]) -> String;
}
