//! How many of a VM's requests go to a version under trial.
//!
//! A deployment bounds what an unsound version gets: a part of the requests that reach its service
//! between the order and its deadline, and some more. The bound is one for all VMs together, and no VM
//! knows what the others send, or even who they are. So each counts for itself: of the `n`
//! requests that it sent on a route since it knew of the order, `floor(share * n + u)` go to the
//! target, with `u` drawn evenly from 0 to 1 for each route and each life of the process. The sum over
//! VMs is `share * n` in the mean at every moment, whichever VMs start, stop or are missing from which
//! roster, and deviates by less than half the root of VMs times routes. See `docs/design/rollouts.md`.

use std::collections::HashMap;

use xxhash_rust::xxh3::xxh3_64;

use super::rollout_evidence::RouteKey;
use super::vm_roster::SETTLE_MS;

/// The part of the bound on the share that is used. The rest is for what VMs' draws deviate by, and
/// for requests that they count and that reach no upstream: of 6,000 random fleets with restarts and
/// bursts the one that sent most came to 0.93 of the bound (the property in `test_rollouts`).
const USED_OF_SHARE: f64 = 0.8;
/// The part of the requests allowed beside the share that is handed out at the start: a leader that
/// hears half of the VMs hands out twice as much.
const USED_OF_SLACK: f64 = 0.25;
/// The part of the target's upstreams that the trial goes to is never below this many.
const LEAST_TRIED: usize = 1;

/// Among how many VMs what is handed out at the start is shared, by a leader that has led for `led_ms`
/// and hears `heard` of them. One that may not have heard all yet hands out nothing: with the first
/// VM's renewal alone each of 63 VMs would take the whole part, 787 requests where 50 are allowed
/// (worked out).
pub fn sharing_vms(heard: usize, led_ms: u64) -> u32 {
    match led_ms >= SETTLE_MS {
        true => heard as u32,
        false => u32::MAX,
    }
}

/// What a deployment lets an unsound version have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBound {
    /// Of the requests that reach its service, 0 to 1.
    pub share: f64,
    /// Requests beside those.
    pub slack: f64,
}

impl ExposureBound {
    /// The part of a route's requests that go to the target.
    pub fn used_share(&self) -> f64 {
        (USED_OF_SHARE * self.share).clamp(0.0, 1.0)
    }

    /// What one of `vms` VMs may send beside the share.
    fn head_start(&self, vms: u32) -> f64 {
        USED_OF_SLACK * self.slack.max(0.0) / f64::from(vms.max(1))
    }

    /// To how many of the target's upstreams the trial goes: so many that each is as full as all will
    /// be once they have all the traffic, since some versions fail only under load.
    pub fn tried_upstreams(&self, upstreams: usize) -> usize {
        let part = (self.used_share() * upstreams as f64).round() as usize;
        part.max(LEAST_TRIED).min(upstreams)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteCount {
    all: u64,
    target: u64,
}

/// What one VM sent of one service since it knew of an order.
#[derive(Clone, Debug)]
pub struct TrialLedger {
    bound: ExposureBound,
    seed: u64,
    head_start: f64,
    head_sent: u64,
    routes: HashMap<RouteKey, RouteCount>,
}

impl TrialLedger {
    /// A ledger for an order that was taken when the leader heard `vms` VMs, which share what is handed
    /// out at the start; a VM that started later has no part of that, however often it starts. `seed`
    /// is another one in each life of a process.
    pub fn new(bound: ExposureBound, vms: Option<u32>, seed: u64) -> TrialLedger {
        let head_start =
            vms.map_or(0.0, |vms| bound.head_start(vms) + unit_draw(seed, RouteKey(0)));
        TrialLedger { bound, seed, head_start, head_sent: 0, routes: HashMap::new() }
    }

    /// What the deployment allows.
    pub fn bound(&self) -> ExposureBound {
        self.bound
    }

    /// Whether the next request on this route may go to the target.
    pub fn may_try(&self, route: RouteKey) -> bool {
        self.within_share(route) || (self.head_sent + 1) as f64 <= self.head_start
    }

    fn within_share(&self, route: RouteKey) -> bool {
        let count = self.routes.get(&route).copied().unwrap_or_default();
        let allowed =
            self.bound.used_share() * (count.all + 1) as f64 + unit_draw(self.seed, route);
        (count.target + 1) as f64 <= allowed
    }

    /// A request on this route is sent. True when one to the target was within the share.
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

/// An even draw from 0 up to 1.
fn unit_draw(seed: u64, route: RouteKey) -> f64 {
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    bytes[8..].copy_from_slice(&route.0.to_le_bytes());
    (xxh3_64(&bytes) >> 11) as f64 / (1u64 << 53) as f64
}
