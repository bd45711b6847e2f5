//! The leader's roster of the VMs in the fleet and of their requests in flight.
//!
//! Each VM sends the leader a renewal a few times a second, and the answer contains what
//! changed among the others: two small datagrams per exchange, regardless of the number of VMs. See
//! `docs/design/platform.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::upstream_load::UpstreamLoad;
use crate::state::ids::{Incarnation, KeeperId, UpstreamKey};

/// How often a VM renews, in milliseconds; see `docs/design/platform.md`.
pub const RENEW_MS: u64 = 300;
/// How many searches for a leader all VMs together start per second. Each search sends a query to a
/// few keepers at once, and the keepers must be able to answer all of them.
const LEADER_SEARCHES_PER_S: u64 = 2000;
/// The shortest time between two searches of one VM, in milliseconds.
const LEADER_SEARCH_MS: u64 = 50;
/// How many renewals per second a leader takes from all VMs together while upstreams are nearly full.
const OVERLOADED_RENEWALS_PER_S: u64 = 600;
/// The shortest time between two renewals of one VM while upstreams are nearly full, in milliseconds.
const OVERLOADED_RENEW_MS: u64 = 50;
/// Upstreams count as overloaded for this long after one of them was nearly full, in milliseconds.
pub const OVERLOADED_KEEP_MS: u64 = 1000;
/// The time without a renewal after which a VM leaves the roster and is no longer named to callers,
/// in milliseconds.
pub const ROW_KEEP_MS: u64 = 1300;
/// The time after which a new leader has received a renewal of every VM, in milliseconds.
pub const SETTLE_MS: u64 = 1500;

/// Returns the pause between two searches for a leader by one of `vms` VMs, in milliseconds: 50 ms up to
/// 100 VMs, and longer in larger fleets, to limit the queries to what the keepers can answer. A new
/// leader notifies the VMs in its roster.
pub fn leader_search_pause_ms(vms: usize) -> u64 {
    (vms as u64 * 1000 / LEADER_SEARCHES_PER_S).clamp(LEADER_SEARCH_MS, RENEW_MS)
}

/// Returns the pause between two renewals of a VM while upstreams are nearly full, in milliseconds.
/// Loads must be recent then, since every VM that sees the same free slot sends a request to it.
pub fn overloaded_renew_ms(vms: usize) -> u64 {
    (vms as u64 * 1000 / OVERLOADED_RENEWALS_PER_S).clamp(OVERLOADED_RENEW_MS, RENEW_MS)
}

/// How long callers cache an answer about addresses in a small fleet, in seconds; some cache it three
/// times as long. It is short, so that a stopped VM soon receives no more requests.
const FEW_TTL_S: f64 = 2.0;
/// How long callers cache an answer about addresses in a fleet of [`MANY_VMS`] or more, in seconds.
/// There one VM is a small part of an answer, and it is the requests for addresses that reach dead
/// VMs, so fewer of them are better.
const MANY_TTL_S: f64 = 5.0;
/// The number of VMs from which a fleet counts as large.
pub const MANY_VMS: usize = 30;

/// For how long a leader of a large fleet reuses the summed loads for its answers, in milliseconds.
/// Collecting them visits every upstream, and the number of answers grows with the number of VMs.
const LOADS_SHARED_MS: u64 = 50;

/// Returns for how long a leader of `vms` VMs sends the same summed loads, in milliseconds. It is 0 in a
/// small fleet, where a VM's own share is so large that the sums must contain its latest report.
pub fn loads_shared_ms(vms: usize) -> u64 {
    match vms < MANY_VMS {
        true => 0,
        false => LOADS_SHARED_MS,
    }
}

/// Returns how long callers may cache an answer about addresses in a fleet of `vms` VMs, in seconds.
pub fn addresses_ttl_s(vms: usize) -> f64 {
    match vms < MANY_VMS {
        true => FEW_TTL_S,
        false => MANY_TTL_S,
    }
}

/// The entry of one VM in the roster, as that VM reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// The VM's address as a number.
    pub id: u32,
    /// The hash of its availability zone's name.
    pub zone: u64,
    /// Whether the VM accepts requests of callers.
    pub ready: bool,
}

/// The revision of one leader's roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRevision {
    /// The leader's term; 0 for a VM that has received no roster.
    pub term: u64,
    /// The number of changes so far within the term.
    pub change: u64,
}

/// The part of the roster that a VM with an earlier revision lacks, or the whole roster.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterUpdate {
    /// The revision after this update; term 0 means that there is no update.
    #[serde(rename = "mark")]
    pub revision: RosterRevision,
    /// Whether `rows` is the whole roster instead of the changed rows.
    pub whole: bool,
    /// The rows to insert or replace.
    pub rows: Vec<RosterRow>,
    /// The VMs to remove.
    #[serde(rename = "gone")]
    pub removed: Vec<u32>,
}

/// How long VMs that left the roster are remembered, in milliseconds. There is no limit on their number:
/// after a loss of many VMs at once the others are sent those, and not the whole roster again.
const GONE_KEEP_MS: u64 = 2 * ROW_KEEP_MS;

/// A VM that left the roster, with the change that removed it.
#[derive(Clone, Copy, Debug)]
struct GoneVm {
    change: u64,
    id: u32,
    at_ms: u64,
}

/// A VM that has renewed with the leader.
#[derive(Clone, Debug)]
struct RosterVm {
    row: RosterRow,
    changed: u64,
    keeper: Option<Incarnation>,
    loads: Vec<UpstreamLoad>,
    renewed_ms: u64,
}

/// The leader's table of all VMs.
///
/// Sums of loads are updated with each report and not computed for each answer: since every VM is
/// answered a few times a second, the latter would cost work that grows with the square of their number.
#[derive(Clone, Debug, Default)]
pub struct VmRoster {
    vms: BTreeMap<u32, RosterVm>,
    sums: BTreeMap<UpstreamKey, u32>,
    change: u64,
    gone: VecDeque<GoneVm>,
    /// The last change whose removal is no longer remembered. A VM with an older revision must be sent the
    /// whole roster.
    forgotten: u64,
}

impl VmRoster {
    /// Notes a VM's renewal: its row, the incarnation of its disk if it has one, and its requests in
    /// flight by upstream.
    pub fn note(
        &mut self,
        row: RosterRow,
        keeper: Option<Incarnation>,
        loads: Vec<UpstreamLoad>,
        now_ms: u64,
    ) {
        let before = self.vms.remove(&row.id);
        let same = before.as_ref().filter(|vm| vm.row == row).map(|vm| vm.changed);
        if let Some(vm) = before {
            self.subtract_loads(&vm.loads);
        }
        for load in &loads {
            *self.sums.entry(load.upstream).or_default() += load.requests;
        }
        let changed = same.unwrap_or_else(|| self.next_change());
        self.vms.insert(row.id, RosterVm { row, changed, keeper, loads, renewed_ms: now_ms });
    }

    /// Removes VMs without a recent renewal, and forgets VMs that left long ago.
    pub fn expire(&mut self, now_ms: u64) {
        let old = |vm: &RosterVm| vm.renewed_ms + ROW_KEEP_MS <= now_ms;
        let ids: Vec<u32> = self.vms.iter().filter(|(_, vm)| old(vm)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(vm) = self.vms.remove(&id) {
                self.subtract_loads(&vm.loads);
            }
            let change = self.next_change();
            self.gone.push_back(GoneVm { change, id, at_ms: now_ms });
        }
        while self.gone.front().is_some_and(|vm| vm.at_ms + GONE_KEEP_MS <= now_ms) {
            self.forgotten = self.gone.pop_front().map_or(self.forgotten, |vm| vm.change);
        }
    }

    /// Clears the roster when leadership ends.
    pub fn clear(&mut self) {
        *self = VmRoster::default();
    }

    /// Counts a change of the roster and returns its number.
    fn next_change(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    /// Subtracts a VM's loads from the sums.
    fn subtract_loads(&mut self, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(sum) = self.sums.get_mut(&load.upstream) {
                *sum = sum.saturating_sub(load.requests);
                if *sum == 0 {
                    self.sums.remove(&load.upstream);
                }
            }
        }
    }

    /// Returns the number of VMs in the roster.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns whether the roster is empty.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns the rows of all VMs in the roster, by address.
    pub fn rows(&self) -> Vec<RosterRow> {
        self.vms.values().map(|vm| vm.row).collect()
    }

    /// Returns the update that the leader of `term` should send to a VM with revision `have`.
    pub fn update_since(&self, term: u64, have: RosterRevision) -> RosterUpdate {
        let revision = RosterRevision { term, change: self.change };
        if have == revision {
            return RosterUpdate { revision, ..RosterUpdate::default() };
        }
        if have.term != term || have.change < self.forgotten {
            return RosterUpdate { revision, whole: true, rows: self.rows(), removed: Vec::new() };
        }
        let changed = self.vms.values().filter(|vm| vm.changed > have.change);
        let rows: Vec<RosterRow> = changed.map(|vm| vm.row).collect();
        let left = self.gone.iter().filter(|vm| vm.change > have.change).map(|vm| vm.id);
        let removed = left.filter(|id| !self.vms.contains_key(id)).collect();
        RosterUpdate { revision, whole: false, rows, removed }
    }

    /// Returns the requests in flight by upstream, summed over all VMs.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let rows = self.sums.iter();
        rows.map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
            .collect()
    }

    /// Returns the VMs with a disk, with the incarnations of the disks and the zones.
    pub fn keepers(&self) -> BTreeMap<KeeperId, (Incarnation, u64)> {
        let keepers = self.vms.values();
        keepers.filter_map(|vm| Some((KeeperId(vm.row.id), (vm.keeper?, vm.row.zone)))).collect()
    }
}

/// A VM's copy of the leader's roster.
#[derive(Clone, Debug, Default)]
pub struct RosterCopy {
    /// The revision of this copy.
    pub revision: RosterRevision,
    /// The VMs, by address.
    pub rows: Vec<RosterRow>,
}

impl RosterCopy {
    /// Applies an update if it is newer and either whole or of the same term.
    pub fn take(&mut self, update: RosterUpdate) {
        let (own, revision) = (self.revision, update.revision);
        let newer = (revision.term, revision.change) > (own.term, own.change);
        if !newer || !(update.whole || revision.term == own.term) {
            return;
        }
        if update.whole {
            self.rows = update.rows;
        } else {
            let listed: Vec<u32> = update.rows.iter().map(|row| row.id).collect();
            self.rows.retain(|row| !update.removed.contains(&row.id) && !listed.contains(&row.id));
            self.rows.extend(update.rows);
            self.rows.sort_unstable_by_key(|row| row.id);
        }
        self.revision = update.revision;
    }
}
