//! The state of a caller's request that is shared by all of its sends.

use bytes::Bytes;
use hyper::http::request;

use std::cell::{Cell, OnceCell};
use std::rc::Rc;

use super::vm_guard::ServingGuard;
use super::vm_node::VmNode;
use super::vm_request_record::{ConnectionRecord, RequestRecord};
use crate::protocol::peer_relay::RelayNote;
use crate::protocol::wire_adapter::CallerRequest;
use crate::state::ids::RequestFingerprint;
use crate::state::stream_origin::StreamOrigin;

/// The minimum time left before the deadline at which a request is still sent, in milliseconds.
pub(super) const MIN_REMAINING_MS: u64 = 10;
/// The time after which a refused caller may retry, in milliseconds, unless a longer wait is known.
pub(super) const DEFAULT_RETRY_MS: u64 = 400;

/// One request of a caller, with everything that stays the same over its sends.
pub(super) struct CallerTask {
    pub(super) node: Rc<VmNode>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    /// When the request arrived, by the node's clock, in milliseconds.
    pub(super) arrived_ms: u64,
    /// A random number that selects among the services of a split route, and is the same for all sends.
    pub(super) draw: u64,
    pub(super) record: Rc<RequestRecord>,
    pub(super) connection: ConnectionRecord,
    /// Where its stream began, once it has. Only upstreams of that version may continue it.
    pub(super) origin: Cell<Option<StreamOrigin>>,
    /// Whether the origin of its stream was noted for later attempts.
    pub(super) origin_noted: Cell<bool>,
    /// The hash of the request's content, computed on first use; see [`CallerTask::fingerprint`].
    pub(super) fingerprint: OnceCell<RequestFingerprint>,
    /// What another VM told of the request when it passed it on, if one did.
    pub(super) relayed: Option<RelayNote>,
    pub(super) _serving: ServingGuard,
}

/// Why a request is not sent to any upstream.
pub(super) enum Denial {
    /// This VM has no configuration yet.
    NoConfiguration,
    /// The configuration in force may be outdated.
    StaleConfiguration,
    /// No route matches the request.
    NoRoute,
    /// The key is missing or unknown.
    NoKey,
    /// The request is quarantined, since upstreams ended while running it.
    Quarantined,
}
