//! One request of a caller, and what stays the same over its sends.

use bytes::Bytes;
use hyper::http::request;

use std::cell::OnceCell;
use std::rc::Rc;

use super::vm_guard::ServingGuard;
use super::vm_node::VmNode;
use super::vm_request_record::{ConnectionRecord, RequestRecord};
use crate::protocol::wire_adapter::CallerRequest;
use crate::state::ids::RequestFingerprint;

/// A request with less than this left isn't sent any more, in milliseconds.
pub(super) const LEAST_LEFT_MS: u64 = 10;
/// When a refused caller may come back, in milliseconds, where nothing says otherwise.
pub(super) const RETRY_MS: u64 = 400;

/// Everything that stays the same over the sends of one request.
pub(super) struct CallerTask {
    pub(super) node: Rc<VmNode>,
    pub(super) head: request::Parts,
    pub(super) body: Bytes,
    pub(super) caller: CallerRequest,
    /// When it came, by the node's clock.
    pub(super) arrived_ms: u64,
    /// Decides between the services of a split route, for all sends alike.
    pub(super) draw: u64,
    pub(super) record: Rc<RequestRecord>,
    pub(super) connection: ConnectionRecord,
    /// The request by its content, once anybody asked; see [`CallerTask::mark`].
    pub(super) mark: OnceCell<RequestFingerprint>,
    pub(super) _serving: ServingGuard,
}

/// Why a request gets no send.
pub(super) enum Denial {
    NoRoutes,
    OldContact,
    NoRoute,
    NoKey,
    /// Upstreams ended under it.
    Held,
}
