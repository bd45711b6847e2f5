//! Which VMs are in the fleet and what they have in flight, as the leader hears it.
//!
//! Each VM renews with the leader a few times a second, and the answer lists all
//! others: two small datagrams an exchange, however many VMs there are. See
//! `docs/design/platform.md`.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::upstream_load::UpstreamLoad;
use crate::state::ids::{Incarnation, KeeperId, UpstreamKey};

/// How often a VM renews, in milliseconds; see `docs/design/platform.md`.
pub const RENEW_MS: u64 = 300;
/// Questions for a leader that keepers answer in a second, all VMs together, times the few that each
/// VM asks at once.
const SEEKS_PER_S: u64 = 2000;
/// The shortest time between two of one VM, in milliseconds.
const SEEK_MS: u64 = 50;
/// Renewals a second that a leader takes from VMs whose upstreams are nearly full, all together.
const OVERLOADED_RENEWALS_PER_S: u64 = 600;
/// The shortest time between two of them, in milliseconds.
const OVERLOADED_RENEW_MS: u64 = 50;
/// Upstreams count as overloaded for this long after one of them was nearly full, in milliseconds.
pub const OVERLOADED_KEEP_MS: u64 = 1000;
/// A VM that was not heard for this long isn't named to callers.
pub const ROW_KEEP_MS: u64 = 1300;
/// A new leader knows every VM after this long.
pub const SETTLE_MS: u64 = 1500;

/// How often a VM without a leader looks for one, in milliseconds: fewer than 100 do so every 50 ms,
/// and more keep to what the keepers can answer. A new leader notifies those that it knows.
pub fn seek_pause_ms(vms: usize) -> u64 {
    (vms as u64 * 1000 / SEEKS_PER_S).clamp(SEEK_MS, RENEW_MS)
}

/// How often a VM renews while upstreams are nearly full, in milliseconds: loads must be fresh
/// then, since every VM that takes a place for free fills it.
pub fn overloaded_renew_ms(vms: usize) -> u64 {
    (vms as u64 * 1000 / OVERLOADED_RENEWALS_PER_S).clamp(OVERLOADED_RENEW_MS, RENEW_MS)
}

/// Callers keep an answer about addresses this long, in seconds, some of them three times as long;
/// short, so that a VM that stops is soon left alone.
const FEW_TTL_S: f64 = 2.0;
/// The same in a fleet of [`MANY_VMS`] or more. There one VM is a small part of an answer, and asking
/// is what meets dead VMs.
const MANY_TTL_S: f64 = 5.0;
/// From so many VMs on a fleet is large.
pub const MANY_VMS: usize = 30;

/// A leader of a large fleet sums up loads once for all that it answers within this time, in
/// milliseconds. Summing up looks at every upstream, and the answers grow with the VMs.
const LOADS_SHARED_MS: u64 = 50;

/// For how long a leader of so many VMs sends the same loads, in milliseconds. In a small fleet a VM's
/// own part of the sums is so large that they must hold what it has just reported.
pub fn loads_shared_ms(vms: usize) -> u64 {
    match vms < MANY_VMS {
        true => 0,
        false => LOADS_SHARED_MS,
    }
}

/// How long callers may keep an answer about addresses, in seconds.
pub fn addresses_ttl_s(vms: usize) -> f64 {
    match vms < MANY_VMS {
        true => FEW_TTL_S,
        false => MANY_TTL_S,
    }
}

/// What one VM reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterRow {
    /// Its address as a number.
    pub id: u32,
    /// The hash of its availability zone's name.
    pub zone: u64,
    /// Whether callers should be sent there.
    pub ready: bool,
}

/// Names one state of the roster, as one leader keeps it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterMark {
    /// The leader's term; 0 for a VM that received none.
    pub term: u64,
    /// Rises with each change within a term.
    pub change: u64,
}

/// What a leader sends of the roster to a VM that holds an earlier state of it, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterNews {
    /// The state that this leads to; with term 0 there is no news.
    pub mark: RosterMark,
    /// The rows are all there are; otherwise those that changed.
    pub whole: bool,
    /// Rows.
    pub rows: Vec<RosterRow>,
    /// VMs that are in the roster no more.
    pub gone: Vec<u32>,
}

/// VMs that left the roster are remembered for this long, in milliseconds, however many they are: after a
/// loss of many at once every VM in contact is sent those, and not all others again.
const GONE_KEEP_MS: u64 = 2 * ROW_KEEP_MS;

/// A VM that left the roster.
#[derive(Clone, Copy, Debug)]
struct GoneVm {
    change: u64,
    id: u32,
    at_ms: u64,
}

#[derive(Clone, Debug)]
struct HeardVm {
    row: RosterRow,
    changed: u64,
    keeper: Option<Incarnation>,
    loads: Vec<UpstreamLoad>,
    heard_ms: u64,
}

/// The leader's table of all VMs.
///
/// Sums are kept as VMs report, not made for each answer: with answers to every VM a few times a second
/// the latter grows with the square of their number.
#[derive(Clone, Debug, Default)]
pub struct VmRoster {
    heard: BTreeMap<u32, HeardVm>,
    sums: BTreeMap<UpstreamKey, u32>,
    change: u64,
    gone: VecDeque<GoneVm>,
    /// Who holds a state older than this has missed a VM that left and is forgotten by now.
    forgotten: u64,
}

impl VmRoster {
    /// Notes what a VM reported of itself.
    pub fn note(
        &mut self,
        row: RosterRow,
        keeper: Option<Incarnation>,
        loads: Vec<UpstreamLoad>,
        now_ms: u64,
    ) {
        let before = self.heard.remove(&row.id);
        let same = before.as_ref().filter(|vm| vm.row == row).map(|vm| vm.changed);
        if let Some(vm) = before {
            self.take_off(&vm.loads);
        }
        for load in &loads {
            *self.sums.entry(load.upstream).or_default() += load.requests;
        }
        let changed = same.unwrap_or_else(|| self.next_change());
        self.heard.insert(row.id, HeardVm { row, changed, keeper, loads, heard_ms: now_ms });
    }

    /// Forgets what is too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        let old = |vm: &HeardVm| vm.heard_ms + ROW_KEEP_MS <= now_ms;
        let ids: Vec<u32> =
            self.heard.iter().filter(|(_, vm)| old(vm)).map(|(id, _)| *id).collect();
        for id in ids {
            if let Some(vm) = self.heard.remove(&id) {
                self.take_off(&vm.loads);
            }
            let change = self.next_change();
            self.gone.push_back(GoneVm { change, id, at_ms: now_ms });
        }
        while self.gone.front().is_some_and(|vm| vm.at_ms + GONE_KEEP_MS <= now_ms) {
            self.forgotten = self.gone.pop_front().map_or(self.forgotten, |vm| vm.change);
        }
    }

    /// Forgets everything, when leadership ends.
    pub fn clear(&mut self) {
        *self = VmRoster::default();
    }

    fn next_change(&mut self) -> u64 {
        self.change += 1;
        self.change
    }

    fn take_off(&mut self, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(sum) = self.sums.get_mut(&load.upstream) {
                *sum = sum.saturating_sub(load.requests);
                if *sum == 0 {
                    self.sums.remove(&load.upstream);
                }
            }
        }
    }

    /// How many VMs were heard lately.
    pub fn len(&self) -> usize {
        self.heard.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.heard.is_empty()
    }

    /// The VMs heard lately.
    pub fn rows(&self) -> Vec<RosterRow> {
        self.heard.values().map(|vm| vm.row).collect()
    }

    /// What the leader of `term` should send to a VM that holds `have`.
    pub fn news(&self, term: u64, have: RosterMark) -> RosterNews {
        let mark = RosterMark { term, change: self.change };
        if have == mark {
            return RosterNews { mark, ..RosterNews::default() };
        }
        if have.term != term || have.change < self.forgotten {
            return RosterNews { mark, whole: true, rows: self.rows(), gone: Vec::new() };
        }
        let changed = self.heard.values().filter(|vm| vm.changed > have.change);
        let rows: Vec<RosterRow> = changed.map(|vm| vm.row).collect();
        let left = self.gone.iter().filter(|vm| vm.change > have.change).map(|vm| vm.id);
        let gone = left.filter(|id| !self.heard.contains_key(id)).collect();
        RosterNews { mark, whole: false, rows, gone }
    }

    /// The sum of what all VMs have in flight.
    pub fn loads(&self) -> Vec<UpstreamLoad> {
        let rows = self.sums.iter();
        rows.map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
            .collect()
    }

    /// The VMs with a disk, the lives of their disks and their zones.
    pub fn keepers(&self) -> BTreeMap<KeeperId, (Incarnation, u64)> {
        let keepers = self.heard.values();
        keepers.filter_map(|vm| Some((KeeperId(vm.row.id), (vm.keeper?, vm.row.zone)))).collect()
    }
}

/// The roster as one VM received it.
#[derive(Clone, Debug, Default)]
pub struct RosterCopy {
    /// Which state of it this is.
    pub mark: RosterMark,
    /// The VMs, by address.
    pub rows: Vec<RosterRow>,
}

impl RosterCopy {
    /// Takes news that lead from the state that is here, or that are whole.
    pub fn take(&mut self, news: RosterNews) {
        let (own, mark) = (self.mark, news.mark);
        let newer = (mark.term, mark.change) > (own.term, own.change);
        if !newer || !(news.whole || mark.term == own.term) {
            return;
        }
        if news.whole {
            self.rows = news.rows;
        } else {
            let listed: Vec<u32> = news.rows.iter().map(|row| row.id).collect();
            self.rows.retain(|row| !news.gone.contains(&row.id) && !listed.contains(&row.id));
            self.rows.extend(news.rows);
            self.rows.sort_unstable_by_key(|row| row.id);
        }
        self.mark = news.mark;
    }
}
