//! Whether this VM reaches upstreams at all: what it observes of connections, the probes that decide, and what
//! follows when it is isolated. See `docs/design/isolation.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tracing::{info, warn};

use super::vm_node::VmNode;
use crate::coordination::upstream_reach::{SampleProbe, SAMPLE_SIZE};
use crate::state::ids::UpstreamKey;

/// The pause between two probes of an isolated VM. Each costs one packet while it is not answered.
const ISOLATED_PROBE_PAUSE: Duration = Duration::from_millis(150);

impl VmNode {
    /// Whether this VM reaches no upstream.
    pub fn is_isolated(&self) -> bool {
        self.reach.borrow().is_isolated()
    }

    /// Notes that part of an answer arrived from an upstream.
    pub(super) fn note_heard(&self) {
        self.heard_ms.set(self.now_ms());
    }

    /// Notes that a new connection to an upstream failed, or broke before anything arrived over it.
    pub(super) fn note_unreached(self: &Rc<Self>, upstream: UpstreamKey) {
        let listed = self.upstreams.borrow().entries.len();
        let probe = self.reach.borrow_mut().note_failed(upstream, listed, self.now_ms());
        if let Some(probe) = probe {
            spawn_local(self.clone().probe_sample(probe));
        }
    }

    /// Notes that an upstream was reached over a new connection.
    pub(super) fn note_reached(&self) {
        if self.reach.borrow_mut().note_reached() {
            info!(target: "reach", "reaches upstreams again");
            self.renew();
        }
    }

    /// Probes a sample of upstreams at once. If none is reached, this VM is isolated.
    async fn probe_sample(self: Rc<Self>, probe: SampleProbe) {
        let sample = self.sample(SAMPLE_SIZE);
        let probes: Vec<_> = sample
            .into_iter()
            .map(|upstream| {
                let node = self.clone();
                spawn_local(async move { node.probe_reach(upstream).await })
            })
            .collect();
        for probe in probes {
            if probe.await.unwrap_or(false) {
                return;
            }
        }
        if self.reach.borrow_mut().note_sample_failed(probe) {
            self.enter_isolation();
            self.leave_isolation_when_reached().await;
        }
    }

    /// Draws upstreams to probe, first those to which no connection failed.
    fn sample(&self, size: usize) -> Vec<UpstreamKey> {
        let upstreams = self.upstreams.borrow();
        let reach = self.reach.borrow();
        let entries = upstreams.entries.values().filter(|entry| !entry.leaving);
        let mut keys: Vec<(bool, u64, UpstreamKey)> = entries
            .map(|entry| (reach.has_failed(entry.key()), self.draw(), entry.key()))
            .collect();
        keys.sort_unstable();
        keys.into_iter().take(size).map(|(_, _, key)| key).collect()
    }

    /// Whether an upstream can be reached over a new connection.
    pub(super) async fn probe_reach(&self, upstream: UpstreamKey) -> bool {
        let address = self.upstreams.borrow().entries.get(&upstream).map(|entry| entry.address);
        let Some(address) = address else { return false };
        let probed = self.pool.probe(self.probe_target(upstream, address)).await;
        let reached = probed.unwrap_or(false);
        if reached {
            self.note_reached();
        }
        reached
    }

    /// Whether this VM heard from an upstream after `since_ms`, or reaches one other than `upstream` now.
    /// Otherwise the network of this VM may be at fault for what it observes of that upstream.
    pub(super) async fn hears_others(
        self: &Rc<Self>,
        upstream: UpstreamKey,
        since_ms: u64,
    ) -> bool {
        if self.is_isolated() {
            return false;
        }
        if self.heard_ms.get() > since_ms {
            return true;
        }
        let others = self.sample(SAMPLE_SIZE).into_iter().filter(|key| *key != upstream);
        for other in others {
            if self.probe_reach(other).await {
                return true;
            }
            self.note_unreached(other);
        }
        false
    }

    /// Takes back what this VM observed of upstreams that it couldn't reach, and tells the fleet that callers
    /// should go elsewhere.
    fn enter_isolation(&self) {
        warn!(target: "reach", "isolated: reaches no upstream, and passes requests to other VMs");
        self.counters.borrow_mut().isolations += 1;
        let reach = self.reach.borrow();
        self.outliers.borrow_mut().sweep(|upstream| !reach.has_failed(upstream));
        self.health.borrow_mut().outbox = Default::default();
        let mut silence = self.silence.borrow_mut();
        silence.view.take_suspicions();
        silence.table.sweep(|_| false);
        drop(silence);
        drop(reach);
        self.silence_changed.notify_waiters();
        self.renew();
    }

    /// Probes one upstream after the other until this VM isn't isolated any more.
    async fn leave_isolation_when_reached(self: Rc<Self>) {
        while self.is_isolated() {
            tokio::time::sleep(ISOLATED_PROBE_PAUSE).await;
            for upstream in self.sample(1) {
                self.probe_reach(upstream).await;
            }
        }
    }
}
