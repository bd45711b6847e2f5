//! Upstreams that refuse connections: when they are used again.
//!
//! Invariant: an upstream that refuses connections gets no request, so that its checks cost callers nothing. A
//! check only connects and runs nothing at the upstream. See `docs/design/refusals.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::sleep;
use tracing::info;

use super::vm_node::VmNode;
use crate::coordination::outlier::check_pause_ms;
use crate::state::ids::UpstreamKey;

impl VmNode {
    /// Stops sending to an upstream that refused a connection, and checks in the background when it accepts them
    /// again.
    pub(super) fn note_refused(self: &Rc<Self>, upstream: UpstreamKey) {
        let now_ms = self.now_ms();
        if self.outliers.borrow_mut().note_refused(upstream, now_ms) {
            spawn_local(self.clone().check_until_accepted(upstream, now_ms));
        }
    }

    /// Checks an upstream that has refused connections since `since_ms` until it accepts one, is no longer
    /// listed, or is known to have ended.
    async fn check_until_accepted(self: Rc<Self>, upstream: UpstreamKey, since_ms: u64) {
        loop {
            let refused_ms = self.now_ms().saturating_sub(since_ms);
            sleep(Duration::from_millis(check_pause_ms(refused_ms))).await;
            if self.outliers.borrow().refusing_since_ms(upstream) != Some(since_ms) {
                return;
            }
            if self.probe_reach(upstream).await {
                return self.note_accepted(upstream, since_ms);
            }
        }
    }

    /// Records that an upstream that refused connections accepted one. If another upstream is listed at its
    /// address, that one accepted it, and the earlier one has ended.
    fn note_accepted(&self, upstream: UpstreamKey, since_ms: u64) {
        let upstreams = self.upstreams.borrow();
        let Some(entry) = upstreams.entries.get(&upstream) else { return };
        let replaced = upstreams
            .entries
            .values()
            .any(|other| other.address == entry.address && other.key() != upstream);
        let mut outliers = self.outliers.borrow_mut();
        match replaced {
            true => outliers.note_ended(upstream),
            false => outliers.note_accepted(upstream),
        }
        let refused_ms = self.now_ms().saturating_sub(since_ms);
        info!(
            target: "upstream", life = entry.name, refused_ms, replaced,
            "its address accepts connections again",
        );
    }
}
