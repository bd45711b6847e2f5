//! Limits how many of a VM's requests go to a version under trial.
//!
//! A deployment bounds the requests that an unsound version may get: a share of the requests to its
//! service between the order and its deadline, plus a fixed slack. The bound holds for all VMs
//! together, but no VM has the counts of the others or a complete list of them. So each VM limits
//! itself: of the `n` requests that it sent on a route since it received the order, at most
//! `floor(share*n+u)` go to the target, where `u` is drawn uniformly from 0 to 1 for each route and
//! each incarnation of the process. The mean of the sum over all VMs is `share*n` at any moment,
//! whichever VMs start, stop or are missing from a roster, and its deviation is less than half the
//! square root of the number of VMs times routes. See `docs/design/rollouts.md`.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::rollout_evidence::RouteKey;
use super::vm_roster::SETTLE_MS;

/// The fraction of the bound on the share that is used. The rest covers the deviation of the VMs'
/// draws, and requests that VMs count but that reach no upstream: in 6,000 random fleets with
/// restarts and bursts the highest count was 0.93 of the bound (a property test in
/// `test_rollouts`).
const USED_SHARE_FRACTION: f64 = 0.8;
/// The fraction of the slack that is used for the head start. A leader that receives renewals from
/// half of the VMs makes the head start twice as large.
const HEAD_START_FRACTION: f64 = 0.25;
/// The minimum number of the target's upstreams that take part in a trial.
const MIN_TRIAL_UPSTREAMS: usize = 1;

/// Returns the number of VMs that share the head start, for a leader that has led for `led_ms` and
/// received renewals from `reporting` VMs. A new leader that may not have received all renewals yet
/// gives no head start: if it counted the first VM alone, each of 63 VMs would take the whole head
/// start, together 787 requests where 50 are allowed.
pub fn sharing_vms(reporting: usize, led_ms: u64) -> u32 {
    match led_ms >= SETTLE_MS {
        true => reporting as u32,
        false => u32::MAX,
    }
}

/// The requests that a deployment allows an unsound version to get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// The share of the requests to its service, from 0 to 1.
    pub share: f64,
    /// The number of requests in addition to the share.
    pub slack: f64,
}

impl ExposureBound {
    /// Returns the fraction of a route's requests that go to the target.
    pub fn used_share(&self) -> f64 {
        (USED_SHARE_FRACTION * self.share).clamp(0.0, 1.0)
    }

    /// Returns the head start of each of `vms` VMs, in requests.
    fn head_start(&self, vms: u32) -> f64 {
        HEAD_START_FRACTION * self.slack.max(0.0) / f64::from(vms.max(1))
    }

    /// Returns the number of the target's upstreams that take part in the trial. It is chosen so
    /// that each of them is as loaded as all of them will be with the whole traffic, because some
    /// versions fail only under load.
    pub fn trial_upstream_count(&self, upstreams: usize) -> usize {
        let part = (self.used_share() * upstreams as f64).round() as usize;
        part.max(MIN_TRIAL_UPSTREAMS).min(upstreams)
    }
}

/// The number of all requests of a route, and of those to the target within the share.
#[derive(Clone, Copy, Debug, Default)]
struct RouteCount {
    all: u64,
    target: u64,
}

/// What one VM sent for one service since it received an order, by route.
#[derive(Clone, Debug)]
pub struct TrialLedger {
    bound: ExposureBound,
    seed: u64,
    head_start: f64,
    /// The number of requests of the head start that were sent.
    head_sent: u64,
    routes: HashMap<RouteKey, RouteCount>,
}

impl TrialLedger {
    /// Creates a ledger for an order. `vms` is the number of VMs that share the head start, as the
    /// leader counted them when it took the order; a VM that started later passes `None` and has no
    /// head start, however often it restarts. `seed` differs between the incarnations of a process.
    pub fn new(bound: ExposureBound, vms: Option<u32>, seed: u64) -> TrialLedger {
        let head_start =
            vms.map_or(0.0, |vms| bound.head_start(vms) + uniform_draw(seed, RouteKey(0)));
        TrialLedger { bound, seed, head_start, head_sent: 0, routes: HashMap::new() }
    }

    /// Returns the bound of the deployment.
    pub fn bound(&self) -> ExposureBound {
        self.bound
    }

    /// Returns whether the next request on this route may go to the target.
    pub fn may_send_to_target(&self, route: RouteKey) -> bool {
        self.within_share(route) || (self.head_sent + 1) as f64 <= self.head_start
    }

    /// Returns whether one more request to the target on this route stays within the share.
    fn within_share(&self, route: RouteKey) -> bool {
        let count = self.routes.get(&route).copied().unwrap_or_default();
        let allowed =
            self.bound.used_share() * (count.all + 1) as f64 + uniform_draw(self.seed, route);
        (count.target + 1) as f64 <= allowed
    }

    /// Counts a request on this route. Returns true if one more request to the target was within
    /// the share before.
    pub fn note_sent(&mut self, route: RouteKey, to_target: bool) -> bool {
        let within = self.within_share(route);
        let count = self.routes.entry(route).or_default();
        count.all += 1;
        match (to_target, within) {
            (true, true) => count.target += 1,
            (true, false) => self.head_sent += 1,
            (false, _) => {}
        }
        within
    }
}

/// Returns a uniform draw from 0 up to but excluding 1, the same for the same seed and route.
fn uniform_draw(seed: u64, route: RouteKey) -> f64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&route.0.to_le_bytes());
    (xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
}
