//! Messages between routers: a request passed on to a home or to a peer with a lease.

use serde::{Deserialize, Serialize};

use super::caller::CallerRequest;
use crate::coordination::fair_queue::RequestClass;
use crate::state::ids::{RouterId, UpstreamKey};

/// The path of a passed request.
pub const FORWARD_PATH: &str = "/router/forward";
/// A request passes at most this many routers after the first.
pub const MAX_HOPS: u8 = 3;
/// The code of a home's answer that an engine has no room; the sender tries elsewhere.
pub const NO_CAPACITY_CODE: &str = "no_room";

/// What the policy decided at the entry, so that it runs once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The fleet.
    pub fleet: String,
    /// The class.
    pub class: RequestClass,
    /// How long it may wait, in milliseconds.
    pub wait_ms: u64,
    /// At most one run.
    pub run_once: bool,
    /// Output tokens to reckon with.
    pub expected_output: u32,
    /// The workspace's share.
    pub weight: u64,
}

/// Why a request is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPurpose {
    /// The receiver should serve it as if the caller had come there.
    AsEntry,
    /// The receiver is the chat's home.
    ToChatHome(RouteDecision),
    /// The receiver is home to this engine; serve it there, or say that there is no room.
    ToEngine {
        /// What was decided.
        decision: RouteDecision,
        /// The engine.
        engine: UpstreamKey,
        /// Tokens of the prompt that it should hold.
        cached_tokens: u32,
        /// The engine that holds the prefix, when it should be imported from there.
        import_from: Option<UpstreamKey>,
    },
}

/// A request on its way between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The sender.
    pub from: RouterId,
    /// Routers passed after the first.
    pub hops: u8,
    /// Why.
    pub purpose: ForwardPurpose,
    /// The caller's request, its key already checked.
    pub request: CallerRequest,
}
