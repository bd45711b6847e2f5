//! Which VMs are in the fleet and what they have in flight, as the leader hears it.
//!
//! Each VM renews with the leader a few times a second, and the answer tells it of all
//! others: two small datagrams an exchange, however many VMs there are. See
//! `docs/design/platform.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, KeeperId, UpstreamKey};

/// How often a VM renews, in milliseconds; see `docs/design/platform.md`.
pub const RENEW_MS: u64 = 300;
/// A VM that was not heard for this long isn't told of to callers.
pub const ROW_KEEP_MS: u64 = 1300;
/// A new leader knows every VM after this long.
pub const SETTLE_MS: u64 = 1500;

/// What one VM tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Its address as a number.
    pub id: u32,
    /// The hash of its availability zone's name.
    pub zone: u64,
    /// Whether callers should be sent there.
    pub ready: bool,
}

/// What one VM, or all of them, have in flight at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream's life.
    pub upstream: UpstreamKey,
    /// Requests in flight.
    pub requests: u32,
}

#[derive(Clone, Debug)]
struct HeardVm {
    row: RosterRow,
    keeper: Option<Incarnation>,
    loads: Vec<UpstreamLoad>,
    heard_ms: u64,
}

/// The leader's table of all VMs.
#[derive(Clone, Debug, Default)]
pub struct VmRoster {
    heard: BTreeMap<u32, HeardVm>,
}

impl VmRoster {
    /// Notes what a VM told of itself.
    pub fn note(
        &mut self,
        row: RosterRow,
        keeper: Option<Incarnation>,
        loads: Vec<UpstreamLoad>,
        now_ms: u64,
    ) {
        self.heard.insert(row.id, HeardVm { row, keeper, loads, heard_ms: now_ms });
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.heard.retain(|_, vm| vm.heard_ms + ROW_KEEP_MS > now_ms);
    }

    /// Forgets everything, when leadership ends.
    pub fn clear(&mut self) {
        self.heard.clear();
    }

    /// The VMs heard lately.
    pub fn rows(&self) -> Vec<RosterRow> {
        self.heard.values().map(|vm| vm.row).collect()
    }

    /// The sum of what all VMs have in flight.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let mut sums: BTreeMap<UpstreamKey, u32> = BTreeMap::new();
        for load in self.heard.values().flat_map(|vm| &vm.loads) {
            *sums.entry(load.upstream).or_default() += load.requests;
        }
        let rows = sums.into_iter();
        rows.map(|(upstream, requests)| UpstreamLoad { upstream, requests }).collect()
    }

    /// The VMs with a disk, the lives of their disks and their zones.
    pub fn keepers(&self) -> BTreeMap<KeeperId, (Incarnation, u64)> {
        let keepers = self.heard.values();
        keepers.filter_map(|vm| Some((KeeperId(vm.row.id), (vm.keeper?, vm.row.zone)))).collect()
    }
}

/// What a VM was last told of the others' load.
#[derive(Clone, Debug, Default)]
pub struct ToldLoad {
    sums: HashMap<UpstreamKey, u32>,
    own_part: HashMap<UpstreamKey, u32>,
}

impl ToldLoad {
    /// Notes the sums of a grant; `own_told` is what this VM's part of them was.
    pub fn tell(&mut self, sums: &[UpstreamLoad], own_told: &[UpstreamLoad]) {
        let by_key = |rows: &[UpstreamLoad]| -> HashMap<UpstreamKey, u32> {
            rows.iter().map(|row| (row.upstream, row.requests)).collect()
        };
        self.sums = by_key(sums);
        self.own_part = by_key(own_told);
    }

    /// What the other VMs have in flight at an upstream.
    pub fn others(&self, upstream: UpstreamKey) -> u32 {
        let sum = self.sums.get(&upstream).copied().unwrap_or(0);
        sum.saturating_sub(self.own_part.get(&upstream).copied().unwrap_or(0))
    }
}
