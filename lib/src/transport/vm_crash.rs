//! Whether an upstream has ended under a request, or only their connection broke.
//!
//! Invariant: an upstream counts as ended only where its address refuses connections; a reset,
//! an answer that is cut, or silence on the way says nothing of that. See
//! `docs/design/quarantine.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tracing::info;

use super::vm_node::VmNode;
use super::vm_place::SendPlace;
use super::vm_pool::ConnectFault;
use super::vm_task::CallerTask;
use crate::coordination::crash_outbox::SeenCrash;
use crate::state::ids::{RequestFingerprint, UpstreamKey};

/// A process that ends closes its connections and its listener one after the other, so that one which
/// is reached is looked at again after these times; it is back after seconds at the earliest. Looks at
/// one that lives cost nothing: the connection that came up first rests between them.
const LOOK_AGAIN: [Duration; 3] =
    [Duration::from_millis(10), Duration::from_millis(40), Duration::from_millis(250)];

/// A send whose connection broke.
struct BrokenSend {
    seen: SeenCrash,
    address: SocketAddr,
    life: String,
    attempt: String,
}

impl CallerTask {
    /// The request by its content; `workspace` is whose key the caller gave.
    pub(super) fn mark(&self, workspace: Option<&str>) -> RequestFingerprint {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let (method, host) = (self.head.method.as_str(), self.caller.host.as_str());
        *self.mark.get_or_init(|| RequestFingerprint::of(method, host, path, workspace, &self.body))
    }

    /// Whether upstreams ended under this request so often that it is sent nowhere. Asked before each
    /// send, by its content: it comes as a new attempt, at any VM.
    pub(super) fn is_held(&self, workspace: Option<&str>) -> bool {
        let desk = self.node.quarantine.borrow();
        desk.knows_any() && desk.is_held(self.mark(workspace))
    }

    /// Whether VMs are to report how this request fares.
    pub(super) fn is_watched(&self, workspace: Option<&str>) -> bool {
        let desk = self.node.quarantine.borrow();
        desk.knows_any() && desk.is_watched(self.mark(workspace))
    }

    /// An answer came whole, and its end was given by its framing: one that ends with its connection
    /// may have ended with its upstream.
    pub(super) fn note_ran(&self, place: &SendPlace, framed: bool) {
        if framed && self.node.quarantine.borrow().knows_any() {
            self.node.note_ran_well(self.mark(place.send.workspace.as_deref()));
        }
    }

    /// The connection of a send broke: looks whether the upstream has ended, beside the request.
    pub(super) fn look_after_break(&self, place: &SendPlace) {
        let seen = SeenCrash {
            mark: self.mark(place.send.workspace.as_deref()),
            upstream: place.upstream,
            watched: place.watched,
            ran_ms: self.node.now_ms().saturating_sub(place.sent_ms),
        };
        let broken = BrokenSend {
            seen,
            address: place.address,
            life: place.send.name.clone(),
            attempt: self.caller.attempt.clone(),
        };
        spawn_local(self.node.clone().look_after(broken));
    }
}

impl VmNode {
    async fn look_after(self: Rc<Self>, broken: BrokenSend) {
        let BrokenSend { seen, address, life, attempt } = broken;
        if !self.has_ended(seen.upstream, address).await {
            return;
        }
        self.outliers.borrow_mut().note_gone(seen.upstream);
        self.figures.borrow_mut().crashes += 1;
        self.note_ended_under(seen);
        info!(
            target: "upstream", life, attempt, request = %seen.mark, ran_ms = seen.ran_ms,
            "has ended under it",
        );
    }

    async fn has_ended(&self, upstream: UpstreamKey, address: SocketAddr) -> bool {
        if self.outliers.borrow().is_gone(upstream) {
            return true;
        }
        if let Some(fault) = self.connect_only(upstream, address).await {
            return fault == ConnectFault::NobodyListens;
        }
        for pause in LOOK_AGAIN {
            tokio::time::sleep(pause).await;
            match self.pool.take(self.trial(upstream, address)).await {
                Ok(lease) => lease.finish(false, None, self.now_ms()).await,
                Err(fault) => return fault == ConnectFault::NobodyListens,
            }
        }
        false
    }
}
