//! Determines whether an upstream's process ended while it ran a request, or only the connection broke.
//!
//! Invariant: an upstream counts as ended only if its address refuses connections while this VM reaches other
//! upstreams. A reset, a truncated answer or a missing answer is no evidence of that. See
//! `docs/design/quarantine.md`.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tracing::info;

use super::vm_node::VmNode;
use super::vm_place::SendTarget;
use super::vm_pool::ConnectFault;
use super::vm_task::CallerTask;
use crate::coordination::crash_outbox::ObservedCrash;
use crate::state::ids::{RequestFingerprint, UpstreamKey};

/// The delays after which an upstream that still accepts connections is checked again. A process that ends
/// closes its connections and its listener one after the other, so that the first check may come too early. A
/// restarted process listens again after seconds at the earliest. Checking a live upstream is cheap, since
/// the connection of the first check stays idle in the pool in between.
const RECHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(10), Duration::from_millis(40), Duration::from_millis(250)];

/// A send whose connection broke, for the check whether its upstream has ended.
struct BrokenSend {
    seen: ObservedCrash,
    address: SocketAddr,
    name: String,
    attempt: String,
}

impl CallerTask {
    /// The hash of the request's content, by which it is quarantined; `workspace` is the one whose key the
    /// caller sent.
    pub(super) fn fingerprint(&self, workspace: Option<&str>) -> RequestFingerprint {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let (method, host) = (self.head.method.as_str(), self.caller.host.as_str());
        *self
            .fingerprint
            .get_or_init(|| RequestFingerprint::of(method, host, path, workspace, &self.body))
    }

    /// Whether the request is quarantined: upstreams ended so often while running it that it is no longer
    /// sent. This is checked before each send and by content, since the request may come as a new attempt
    /// and at any VM.
    pub(super) fn is_quarantined(&self, workspace: Option<&str>) -> bool {
        let quarantine = self.node.quarantine.borrow();
        quarantine.has_any() && quarantine.is_quarantined(self.fingerprint(workspace))
    }

    /// Whether VMs are asked to report how this request ends.
    pub(super) fn is_watched(&self, workspace: Option<&str>) -> bool {
        let quarantine = self.node.quarantine.borrow();
        quarantine.has_any() && quarantine.is_watched(self.fingerprint(workspace))
    }

    /// Notes that the request was answered in full. That is certain only if the body was `framed`: a body that
    /// is delimited by the end of its connection may have been truncated by the end of the upstream.
    pub(super) fn note_ran(&self, target: &SendTarget, framed: bool) {
        if framed && self.node.quarantine.borrow().has_any() {
            self.node.report_completed(self.fingerprint(target.send.workspace.as_deref()));
        }
    }

    /// Starts a check in the background whether the upstream has ended, after the connection of a send broke.
    pub(super) fn check_after_break(&self, target: &SendTarget) {
        let seen = ObservedCrash {
            fingerprint: self.fingerprint(target.send.workspace.as_deref()),
            upstream: target.upstream,
            watched: target.watched,
            ran_ms: self.node.now_ms().saturating_sub(target.sent_ms),
        };
        let broken = BrokenSend {
            seen,
            address: target.address,
            name: target.send.name.clone(),
            attempt: self.caller.attempt.clone(),
        };
        spawn_local(self.node.clone().confirm_crash(broken));
    }
}

impl VmNode {
    /// Reports a crash to the leader if the upstream of the broken send has ended.
    async fn confirm_crash(self: Rc<Self>, broken: BrokenSend) {
        let BrokenSend { seen, address, name, attempt } = broken;
        let broke_ms = self.now_ms();
        if !self.has_ended(seen.upstream, address).await
            || !self.hears_others(seen.upstream, broke_ms).await
        {
            return;
        }
        self.outliers.borrow_mut().note_ended(seen.upstream);
        self.counters.borrow_mut().crashes += 1;
        self.report_crash(seen);
        info!(
            target: "upstream", life = name, attempt, request = %seen.fingerprint, ran_ms = seen.ran_ms,
            "upstream ended while running the request",
        );
    }

    /// Whether the upstream's address refuses connections, now or at one of the later checks.
    async fn has_ended(self: &Rc<Self>, upstream: UpstreamKey, address: SocketAddr) -> bool {
        if self.outliers.borrow().has_ended(upstream) {
            return true;
        }
        if let Some(fault) = self.connect_only(upstream, address).await {
            return fault == ConnectFault::ConnectionRefused;
        }
        for delay in RECHECK_DELAYS {
            tokio::time::sleep(delay).await;
            match self.pool.take(self.probe_target(upstream, address)).await {
                Ok(lease) => lease.finish(false, None, self.now_ms()).await,
                Err(fault) => return fault == ConnectFault::ConnectionRefused,
            }
        }
        false
    }
}
