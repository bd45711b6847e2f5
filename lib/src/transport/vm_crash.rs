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
use crate::state::prompt_part::leading_parts;

/// The delays after which an upstream that still accepts connections is checked again. A process that ends
/// closes its connections and its listener one after the other, so that the first check may come too early. A
/// restarted process listens again after seconds at the earliest. Checking a live upstream is cheap, since
/// the connection of the first check stays idle in the pool in between.
const RECHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(10), Duration::from_millis(40), Duration::from_millis(250)];

/// A send whose connection broke, for the check whether its upstream has ended.
struct BrokenSend {
    upstream: UpstreamKey,
    /// The crash as one of the request, and of each part of its prompt before the last.
    seen: Vec<ObservedCrash>,
    /// The ids of these parts.
    parts: Vec<u64>,
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
        quarantine.has_any()
            && (quarantine.is_quarantined(self.fingerprint(workspace))
                || self.part_fingerprints().any(|part| quarantine.is_quarantined(part)))
    }

    /// The fingerprints of the parts of the prompt before the last.
    fn part_fingerprints(&self) -> impl Iterator<Item = RequestFingerprint> + '_ {
        let parts = leading_parts(&self.caller.prompt).iter();
        parts.map(|part| RequestFingerprint::of_part(part.id))
    }

    /// The fingerprints of the request and of the parts of its prompt whose ends VMs are asked to report.
    pub(super) fn watched(&self, workspace: Option<&str>) -> Vec<RequestFingerprint> {
        let quarantine = self.node.quarantine.borrow();
        if !quarantine.has_any() {
            return Vec::new();
        }
        let all = std::iter::once(self.fingerprint(workspace)).chain(self.part_fingerprints());
        all.filter(|fingerprint| quarantine.is_watched(*fingerprint)).collect()
    }

    /// Notes that the request was answered in full. That is certain only if the body was `framed`: a body that
    /// is delimited by the end of its connection may have been truncated by the end of the upstream. A failure
    /// says nothing about the parts of the prompt, of which it may hold no output.
    pub(super) fn note_ran(&self, target: &SendTarget, framed: bool, success: bool) {
        if !framed {
            return;
        }
        if success {
            let now_ms = self.node.now_ms();
            let mut completions = self.node.part_completions.borrow_mut();
            for part in leading_parts(&self.caller.prompt) {
                completions.note_completed(part.id, now_ms);
            }
        }
        if self.node.quarantine.borrow().has_any() {
            self.node.report_completed(self.fingerprint(target.send.workspace.as_deref()));
            if success {
                self.part_fingerprints().for_each(|part| self.node.report_completed(part));
            }
        }
    }

    /// Starts a check in the background whether the upstream has ended, after the connection of a send broke.
    pub(super) fn check_after_break(&self, target: &SendTarget) {
        let ran_ms = self.node.now_ms().saturating_sub(target.sent_ms);
        let observed = |fingerprint| ObservedCrash {
            fingerprint,
            upstream: target.upstream,
            watched: target.watched.contains(&fingerprint),
            ran_ms,
        };
        let request = self.fingerprint(target.send.workspace.as_deref());
        let broken = BrokenSend {
            upstream: target.upstream,
            seen: std::iter::once(request).chain(self.part_fingerprints()).map(observed).collect(),
            parts: leading_parts(&self.caller.prompt).iter().map(|part| part.id).collect(),
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
        let BrokenSend { upstream, seen, parts, address, name, attempt } = broken;
        let broke_ms = self.now_ms();
        if !self.has_ended(upstream, address).await || !self.hears_others(upstream, broke_ms).await
        {
            return;
        }
        self.note_refused(upstream);
        self.counters.borrow_mut().crashes += 1;
        let Some((request, of_parts)) = seen.split_first() else { return };
        info!(
            target: "upstream", life = name, attempt, request = %request.fingerprint,
            ran_ms = request.ran_ms, ?parts, "upstream ended while running the request",
        );
        self.report_crash(*request);
        for (crash, part) in of_parts.iter().zip(parts) {
            let reports = self.part_completions.borrow_mut().note_crash(part, self.now_ms());
            if reports {
                self.report_crash(*crash);
            }
        }
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
