//! How a VM spares the upstreams of a brittle service.
//!
//! A brittle upstream announces how many requests it may turn away per second for want of room; at one more it
//! falls over, with all that it runs. Its room is shared by all VMs, and each knows the others' requests only
//! from reports. So each VM keeps to its share of the rejections, and limits its requests in flight at each
//! upstream by what the upstream accepted from it before.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// How long an announcement counts, in milliseconds. Every answer of a brittle upstream repeats it.
const ANNOUNCED_KEEP_MS: u64 = 3000;
/// The part of the announced limit that VMs use, since their rejections aren't spread evenly.
const LIMIT_USED_FRACTION: f64 = 0.5;
/// The longest time for which a VM sends an upstream nothing after a rejection, in milliseconds.
const MAX_HOLD_MS: f64 = 5000.0;
/// The requests in flight from one VM that an upstream gets before it has accepted or rejected any.
const FIRST_LIMIT: f64 = 2.0;
/// The factor on the requests in flight after a rejection.
const BACKOFF_FACTOR: f64 = 0.5;

/// What a VM allows itself at one upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamAllowance {
    in_flight: f64,
    held_until_ms: u64,
}

impl Default for UpstreamAllowance {
    fn default() -> UpstreamAllowance {
        UpstreamAllowance { in_flight: FIRST_LIMIT, held_until_ms: 0 }
    }
}

/// One VM's view of a service whose upstreams may be brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleService {
    limit_per_s: u32,
    announced_ms: Option<u64>,
    upstreams: HashMap<UpstreamKey, UpstreamAllowance>,
}

impl BrittleService {
    /// Notes that an upstream announced how many requests per second it may reject.
    pub fn note_announced(&mut self, limit_per_s: u32, now_ms: u64) {
        self.limit_per_s = limit_per_s;
        self.announced_ms = Some(now_ms);
    }

    /// Whether the service's upstreams are brittle now.
    pub fn is_brittle(&self, now_ms: u64) -> bool {
        self.announced_ms.is_some_and(|at_ms| at_ms + ANNOUNCED_KEEP_MS > now_ms)
    }

    /// Notes that an upstream accepted a request while this VM had `own_load` in flight there.
    pub fn note_accepted(&mut self, upstream: UpstreamKey, own_load: u32, now_ms: u64) {
        if !self.is_brittle(now_ms) {
            return self.upstreams.clear();
        }
        let allowance = self.upstreams.entry(upstream).or_default();
        if f64::from(own_load) + 1.0 > allowance.in_flight {
            allowance.in_flight += 1.0 / allowance.in_flight;
        }
    }

    /// Notes that an upstream rejected a request of this VM, one of `vms`, for want of room.
    pub fn note_rejected(&mut self, upstream: UpstreamKey, vms: usize, now_ms: u64) {
        if !self.is_brittle(now_ms) {
            return;
        }
        let share_per_s = LIMIT_USED_FRACTION * f64::from(self.limit_per_s) / vms.max(1) as f64;
        let hold_ms = (1000.0 / share_per_s.max(f64::EPSILON)).min(MAX_HOLD_MS) as u64;
        let allowance = self.upstreams.entry(upstream).or_default();
        allowance.in_flight = (BACKOFF_FACTOR * allowance.in_flight).max(1.0);
        allowance.held_until_ms = allowance.held_until_ms.max(now_ms + hold_ms);
    }

    /// For how long this VM sends an upstream nothing, in milliseconds.
    pub fn hold_ms(&self, upstream: UpstreamKey, now_ms: u64) -> u64 {
        let allowance = self.upstreams.get(&upstream).filter(|_| self.is_brittle(now_ms));
        allowance.map_or(0, |allowance| allowance.held_until_ms.saturating_sub(now_ms))
    }

    /// Whether an upstream has no room for another request: of this VM, which has `own_load` in flight there,
    /// or of all VMs, which have `load`, if it runs at most `slots` at a time.
    pub fn is_full(
        &self,
        upstream: UpstreamKey,
        (own_load, load): (u32, u32),
        slots: Option<u32>,
        now_ms: u64,
    ) -> bool {
        if !self.is_brittle(now_ms) {
            return false;
        }
        let allowance = self.upstreams.get(&upstream).copied().unwrap_or_default();
        f64::from(own_load) + 1.0 > allowance.in_flight || slots.is_some_and(|slots| load >= slots)
    }

    /// Removes upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.upstreams.retain(|upstream, _| known(*upstream));
    }
}
