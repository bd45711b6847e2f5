//! Detects that this VM is isolated: that its own network, and not the upstreams, is at fault.
//!
//! A connection that fails says nothing about which end is at fault. When new connections to several upstreams
//! fail and none succeeds in between, the VM probes a sample of other upstreams. If it reaches none of them
//! either, it is isolated: it passes requests to other VMs, and what it observes is no evidence against
//! upstreams. Answers on connections that were open before don't count, since those may live on while new
//! ones fail. See `docs/design/isolation.md`.

use std::collections::BTreeMap;

use crate::state::ids::UpstreamKey;

/// How long a failed connection counts, in milliseconds.
const FAILURE_KEEP_MS: u64 = 3000;
/// The number of upstreams to which connections must fail before a sample is probed.
const MIN_FAILED: usize = 2;
/// The number of upstreams in a sample.
pub const SAMPLE_SIZE: usize = 3;
/// The shortest time between the starts of two samples, in milliseconds. It bounds the connections that are
/// opened for probes while upstreams keep ending.
const SAMPLE_PAUSE_MS: u64 = 500;

/// A probe of a sample that is under way. Its result is void if an upstream was reached in the meantime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SampleProbe {
    epoch: u64,
}

/// Which upstreams this VM failed to reach since it last reached one.
#[derive(Clone, Debug, Default)]
pub struct UpstreamReach {
    failed: BTreeMap<UpstreamKey, u64>,
    sampled_ms: Option<u64>,
    /// The number of times that an upstream was reached after failures.
    epoch: u64,
    isolated: bool,
}

impl UpstreamReach {
    /// Notes that a new connection to an upstream failed. Returns a probe if a sample of the `listed` upstreams
    /// is to be probed now.
    pub fn note_failed(
        &mut self,
        upstream: UpstreamKey,
        listed: usize,
        now_ms: u64,
    ) -> Option<SampleProbe> {
        self.failed.retain(|_, at_ms| *at_ms + FAILURE_KEEP_MS > now_ms);
        self.failed.insert(upstream, now_ms);
        let pausing = self.sampled_ms.is_some_and(|at_ms| at_ms + SAMPLE_PAUSE_MS > now_ms);
        if self.isolated || pausing || self.failed.len() < MIN_FAILED.min(listed) {
            return None;
        }
        self.sampled_ms = Some(now_ms);
        Some(SampleProbe { epoch: self.epoch })
    }

    /// Notes that a new connection to an upstream carried an answer or stayed open. Returns whether this VM
    /// was isolated until now.
    pub fn note_reached(&mut self) -> bool {
        self.epoch += 1;
        self.failed.clear();
        std::mem::take(&mut self.isolated)
    }

    /// Notes that none of a sample was reached. Returns whether this VM is isolated because of it.
    pub fn note_sample_failed(&mut self, probe: SampleProbe) -> bool {
        if self.isolated || probe.epoch != self.epoch {
            return false;
        }
        self.isolated = true;
        true
    }

    /// Whether this VM reaches no upstream.
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Whether a connection to this upstream failed since any was reached.
    pub fn has_failed(&self, upstream: UpstreamKey) -> bool {
        self.failed.contains_key(&upstream)
    }
}
