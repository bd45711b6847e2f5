//! Which VM may send how much to an upstream that is cold.
//!
//! A cold upstream bears a few requests a second from all VMs together, and falls over above that.
//! Each VM decides alone, by a roster that may be a second old, so the shares are such that their
//! sum keeps the bound whichever VMs are missing from which roster: `members` VMs, named by a rendezvous
//! order, send `each` requests in any second, and `members` x `each` is at most what the upstream
//! bears. Should the fleet be cut into two halves that each name their own members, the sum is
//! twice that, where deployments allow one and a half times it and five more. A VM that has just
//! started, or hears no leader, sends nothing: it may not know what it sent before, or whom the
//! others name. Weighed against grants by the leader, a share of the rate for every VM, and a
//! correction after refusals; see `docs/design/zones.md`.

use std::collections::{HashMap, VecDeque};

use super::vm_roster::{RosterRow, ROW_KEEP_MS, SETTLE_MS};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;

/// The span over which sends are counted, in milliseconds: the second of the rate, and a little for
/// a send whose connection takes a while to come up.
const SPAN_MS: u64 = 1050;

/// What a VM knows of the fleet when it asks for a share.
#[derive(Clone, Copy, Debug)]
pub struct FleetStanding<'a> {
    /// This VM.
    pub id: u32,
    /// The VMs of the roster.
    pub vms: &'a [RosterRow],
    /// When a leader answered for the first time since this VM started.
    pub first_heard_ms: Option<u64>,
    /// When the leader last answered.
    pub heard_ms: u64,
}

impl FleetStanding<'_> {
    /// Whether the roster is one that the others go by, too.
    fn is_settled(&self, now_ms: u64) -> bool {
        let settled = |first_ms: u64| first_ms + 2 * SETTLE_MS <= now_ms;
        self.first_heard_ms.is_some_and(settled) && self.heard_ms + ROW_KEEP_MS > now_ms
    }
}

/// How the rate of one cold upstream is shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPlan {
    /// VMs that may send to it.
    pub members: usize,
    /// Requests that each of them may send in any second.
    pub each: usize,
}

/// Shares `per_s` requests a second among `vms` VMs; a rate below one a second gives none.
pub fn cold_plan(per_s: f64, vms: usize) -> ColdPlan {
    let rate = per_s.max(0.0).floor() as usize;
    let each = (rate / vms.max(1)).max(1);
    ColdPlan { members: (rate / each).min(vms), each }
}

/// What one VM sent to cold upstreams lately.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    sent_ms: HashMap<UpstreamKey, VecDeque<u64>>,
}

impl ColdSends {
    /// Whether this VM may send a request to a cold upstream that bears `per_s` a second.
    pub fn may_send(
        &self,
        upstream: UpstreamKey,
        per_s: f64,
        fleet: &FleetStanding,
        now_ms: u64,
    ) -> bool {
        if !fleet.is_settled(now_ms) {
            return false;
        }
        let plan = cold_plan(per_s, fleet.vms.len());
        let rank = |id: u32| (rendezvous_score(upstream.0, u64::from(id)), id);
        let own = rank(fleet.id);
        let ahead = fleet.vms.iter().filter(|vm| rank(vm.id) > own).count();
        let recent = self
            .sent_ms
            .get(&upstream)
            .map_or(0, |sent| sent.iter().filter(|sent_ms| **sent_ms + SPAN_MS > now_ms).count());
        ahead < plan.members && recent < plan.each
    }

    /// A request goes to a cold upstream.
    pub fn note(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let sent = self.sent_ms.entry(upstream).or_default();
        while sent.front().is_some_and(|sent_ms| sent_ms + SPAN_MS <= now_ms) {
            sent.pop_front();
        }
        sent.push_back(now_ms);
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.sent_ms.retain(|upstream, _| known(*upstream));
    }
}
