//! Limits what each VM may send to a cold upstream.
//!
//! A cold upstream can take a few requests a second from all VMs together, and breaks down above
//! that. Each VM decides alone, by a roster that may be a second old. The shares are therefore
//! chosen so that their sum stays within the bound whichever VMs are missing from whichever roster:
//! `members` VMs, the first of a rendezvous order, each send at most `each` requests in any second,
//! and `members` x `each` is at most the rate of the upstream. If the fleet is partitioned into two
//! halves that each choose their own members, the sum is twice that, where deployments allow one
//! and a half times the rate plus five. A VM that has just started, or has no contact with a
//! leader, sends nothing, because it may not have a record of what it sent before, or of the
//! members that the other VMs have. `docs/design/zones.md` compares this with grants by the leader,
//! a share of the rate for every VM, and a correction after refusals.

use std::collections::{HashMap, VecDeque};

use super::vm_roster::{RosterRow, ROW_KEEP_MS, SETTLE_MS};
use crate::state::ids::UpstreamKey;
use crate::state::rendezvous::rendezvous_score;

/// The window in which sends are counted, in milliseconds: the second to which the rate applies,
/// plus a margin for a send whose connection takes a while to open.
const COUNT_WINDOW_MS: u64 = 1050;

/// The fleet as a VM sees it when it checks its share.
#[derive(Clone, Copy, Debug)]
pub struct FleetStatus<'a> {
    /// The id of this VM.
    pub id: u32,
    /// The VMs of the roster.
    pub vms: &'a [RosterRow],
    /// When a leader answered for the first time since this VM started.
    pub first_contact_ms: Option<u64>,
    /// When the leader last answered.
    pub last_contact_ms: u64,
}

impl FleetStatus<'_> {
    /// Whether the other VMs have had time to receive the same roster.
    fn is_settled(&self, now_ms: u64) -> bool {
        let settled = |first_ms: u64| first_ms + 2 * SETTLE_MS <= now_ms;
        self.first_contact_ms.is_some_and(settled) && self.last_contact_ms + ROW_KEEP_MS > now_ms
    }
}

/// How the rate of one cold upstream is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdPlan {
    /// The number of VMs that may send to it.
    pub members: usize,
    /// The number of requests that each of them may send in any second.
    pub each: usize,
}

/// Divides `per_s` requests a second among `vms` VMs. A rate below one a second allows none.
pub fn cold_plan(per_s: f64, vms: usize) -> ColdPlan {
    let rate = per_s.max(0.0).floor() as usize;
    let each = (rate / vms.max(1)).max(1);
    ColdPlan { members: (rate / each).min(vms), each }
}

/// The recent sends of one VM to cold upstreams.
#[derive(Clone, Debug, Default)]
pub struct ColdSends {
    sent_ms: HashMap<UpstreamKey, VecDeque<u64>>,
}

impl ColdSends {
    /// Whether this VM may send a request to a cold upstream that can take `per_s` requests a
    /// second.
    pub fn may_send(
        &self,
        upstream: UpstreamKey,
        per_s: f64,
        fleet: &FleetStatus,
        now_ms: u64,
    ) -> bool {
        if !fleet.is_settled(now_ms) {
            return false;
        }
        let plan = cold_plan(per_s, fleet.vms.len());
        let rank = |id: u32| (rendezvous_score(upstream.0, u64::from(id)), id);
        let own = rank(fleet.id);
        let ahead = fleet.vms.iter().filter(|vm| rank(vm.id) > own).count();
        let recent = self.sent_ms.get(&upstream).map_or(0, |sent| {
            sent.iter().filter(|sent_ms| **sent_ms + COUNT_WINDOW_MS > now_ms).count()
        });
        ahead < plan.members && recent < plan.each
    }

    /// Records that a request is sent to a cold upstream.
    pub fn note(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let sent = self.sent_ms.entry(upstream).or_default();
        while sent.front().is_some_and(|sent_ms| sent_ms + COUNT_WINDOW_MS <= now_ms) {
            sent.pop_front();
        }
        sent.push_back(now_ms);
    }

    /// Removes the upstreams for which `known` returns false.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.sent_ms.retain(|upstream, _| known(*upstream));
    }
}
