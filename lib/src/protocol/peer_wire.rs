//! Messages between routers: requests that are forwarded to a home router or to a peer with a
//! lease.

use serde::{Deserialize, Serialize};

use super::caller::CallerRequest;
use crate::coordination::fair_queue::RequestClass;
use crate::state::ids::{RouterId, UpstreamKey};

/// The path of forwarded requests.
pub const FORWARD_PATH: &str = "/router/forward";
/// The most routers that a request passes after the first; it is refused beyond that, so that it
/// can't circulate.
pub const MAX_HOPS: u8 = 3;
/// The error code with which a home router answers that an engine has no capacity; the sender then
/// tries another engine.
pub const NO_CAPACITY_CODE: &str = "no_room";

/// The policy's decision at the first router, forwarded so that the policy runs only once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteDecision {
    /// The name of the fleet.
    pub fleet: String,
    /// The class of the request.
    pub class: RequestClass,
    /// How long it may wait, in milliseconds.
    pub wait_ms: u64,
    /// Whether the request must run at most once.
    pub run_once: bool,
    /// The expected number of output tokens.
    pub expected_output: u32,
    /// The weight of the workspace.
    pub weight: u64,
}

/// The purpose for which a request is forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPurpose {
    /// The receiver should handle the request as if it came from the caller.
    AsEntry,
    /// The receiver is the home router of the chat.
    ToChatHome(RouteDecision),
    /// The receiver is the home router of this engine, and should run the request there or answer
    /// that the engine has no capacity.
    ToEngine {
        /// The decision of the policy.
        decision: RouteDecision,
        /// The engine.
        engine: UpstreamKey,
        /// The number of prompt tokens that the engine should have in its cache.
        cached_tokens: u32,
        /// The engine from which to import the KV cache of the prompt, if any.
        import_from: Option<UpstreamKey>,
    },
}

/// A request that is forwarded between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The sender.
    pub from: RouterId,
    /// The number of routers passed after the first.
    pub hops: u8,
    /// The purpose of forwarding it.
    pub purpose: ForwardPurpose,
    /// The caller's request, whose key has already been checked.
    pub request: CallerRequest,
}
