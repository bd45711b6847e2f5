//! What VMs have in flight at upstreams, summed by the leader and sent to all.
//!
//! A leader answers every VM a few times a second. So that its work and its bytes don't grow with the
//! product of VMs and upstreams, it sums up once for many answers, and leaves out loads that change no
//! VM's choice. See `docs/design/whole-fleet.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::{ListRevision, UpstreamList};
use crate::state::zero_runs::{pack_zeros, unpack_zeros};

/// Below this many requests in flight an upstream, in the mean, a service is nearly idle.
pub const NEARLY_IDLE_MEAN: f64 = 0.25;
/// What one VM, or all of them, have in flight at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream's life.
    pub upstream: UpstreamKey,
    /// Requests in flight.
    pub requests: u32,
}

/// Loads of these upstreams, in their order, one byte each: 255 stands for all above. Both are in the
/// order of keys.
pub fn place_loads<'a>(
    loads: &[UpstreamLoad],
    keys: impl Iterator<Item = &'a UpstreamKey>,
) -> Vec<u8> {
    let mut loads = loads.iter().peekable();
    keys.map(|key| {
        while loads.next_if(|load| load.upstream < *key).is_some() {}
        let own = loads.next_if(|load| load.upstream == *key);
        own.map_or(0, |load| u8::try_from(load.requests).unwrap_or(u8::MAX))
    })
    .collect()
}

/// A service's upstreams, and the requests that they have in flight.
#[derive(Clone, Copy, Default)]
struct ServiceLoad {
    upstreams: u32,
    requests: u32,
}

impl ServiceLoad {
    fn is_nearly_idle(self) -> bool {
        f64::from(self.requests) < NEARLY_IDLE_MEAN * f64::from(self.upstreams)
    }
}

/// The loads that change a VM's choice. Where a service's upstreams are nearly idle, one request at an
/// upstream prevents no VM from sending it another, so it is left out: what is sent grows with the
/// upstreams that are in use, not with all requests in flight.
pub fn loads_that_matter(loads: Vec<UpstreamLoad>, list: &UpstreamList) -> Vec<UpstreamLoad> {
    let service_of = |load: &UpstreamLoad| {
        let entry = list.entries.get(&load.upstream)?;
        Some(entry.service.as_str())
    };
    let mut services: BTreeMap<&str, ServiceLoad> = BTreeMap::new();
    for load in &loads {
        if let Some(service) = service_of(load) {
            services.entry(service).or_default().requests += load.requests;
        }
    }
    for entry in list.entries.values() {
        if let Some(service) = services.get_mut(entry.service.as_str()) {
            service.upstreams += 1;
        }
    }
    let is_idle = |load: &UpstreamLoad| {
        let service = service_of(load).and_then(|name| services.get(name));
        service.is_some_and(|service| service.is_nearly_idle())
    };
    loads.iter().filter(|load| load.requests > 1 || !is_idle(load)).copied().collect()
}

/// What all VMs have in flight, summed, by upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LoadNews {
    /// One byte an upstream, in the order of the list that the asker holds too: with a thousand
    /// upstreams a keyed row each is more than a link of a small VM takes.
    Placed(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The same with its zeros counted, where that is shorter.
    Runs(#[serde(with = "serde_bytes")] Vec<u8>),
    /// By key, for an asker with another state of the list.
    Keyed(Vec<UpstreamLoad>),
}

impl LoadNews {
    /// The shorter encoding of one byte an upstream.
    pub fn placed(sums: Vec<u8>) -> LoadNews {
        let runs = pack_zeros(&sums);
        match runs.len() < sums.len() {
            true => LoadNews::Runs(runs),
            false => LoadNews::Placed(sums),
        }
    }

    /// One byte for each of so many upstreams; `None` when they are given by key, or of another list.
    pub fn into_sums(self, upstreams: usize) -> Option<Vec<u8>> {
        match self {
            LoadNews::Placed(sums) => Some(sums),
            LoadNews::Runs(runs) => unpack_zeros(&runs, upstreams),
            LoadNews::Keyed(_) => None,
        }
    }
}

/// The loads that a leader sends, summed up once for the answers of a short time.
#[derive(Default)]
pub struct SharedLoads {
    list: ListRevision,
    summed_ms: Option<u64>,
    loads: Vec<UpstreamLoad>,
    placed: Option<LoadNews>,
    sums: u64,
}

impl SharedLoads {
    /// The loads for a VM that holds the state `have` of the list. What `sum_up` gives is sent for
    /// `shared_ms`.
    pub fn news(
        &mut self,
        sum_up: impl FnOnce() -> Vec<UpstreamLoad>,
        shared_ms: u64,
        list: &UpstreamList,
        have: ListRevision,
        now_ms: u64,
    ) -> LoadNews {
        let fresh = self.summed_ms.is_some_and(|summed_ms| summed_ms + shared_ms > now_ms);
        if !fresh || self.list != list.revision {
            self.loads = loads_that_matter(sum_up(), list);
            self.placed = None;
            (self.list, self.summed_ms) = (list.revision, Some(now_ms));
            self.sums += 1;
        }
        if have != list.revision {
            return LoadNews::Keyed(self.loads.clone());
        }
        let place = || LoadNews::placed(place_loads(&self.loads, list.entries.keys()));
        self.placed.get_or_insert_with(place).clone()
    }

    /// How often the loads were summed up.
    pub fn sums(&self) -> u64 {
        self.sums
    }
}

/// What a VM last received of the others' load.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    sums: HashMap<UpstreamKey, u32>,
    own_part: HashMap<UpstreamKey, u32>,
}

impl LoadReports {
    /// Notes the sums of a grant; `own_reported` is what this VM's part of them was.
    pub fn note(&mut self, sums: &[UpstreamLoad], own_reported: &[UpstreamLoad]) {
        let by_key = |rows: &[UpstreamLoad]| -> HashMap<UpstreamKey, u32> {
            rows.iter().map(|row| (row.upstream, row.requests)).collect()
        };
        self.sums = by_key(sums);
        self.own_part = by_key(own_reported);
    }

    /// Notes sums of one byte an upstream, in the order of `keys`.
    pub fn note_placed<'a>(
        &mut self,
        keys: impl Iterator<Item = &'a UpstreamKey>,
        sums: &[u8],
        own_reported: &[UpstreamLoad],
    ) {
        let rows = keys.zip(sums).filter(|(_, requests)| **requests > 0);
        let rows: Vec<UpstreamLoad> = rows
            .map(|(upstream, requests)| UpstreamLoad {
                upstream: *upstream,
                requests: u32::from(*requests),
            })
            .collect();
        self.note(&rows, own_reported);
    }

    /// What the other VMs have in flight at an upstream.
    pub fn others(&self, upstream: UpstreamKey) -> u32 {
        let sum = self.sums.get(&upstream).copied().unwrap_or(0);
        sum.saturating_sub(self.own_part(upstream))
    }

    /// The upstreams at which anything is in flight, as reported.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.sums.keys().copied()
    }

    /// What this VM had in flight at its last report.
    pub fn own_loads(&self) -> impl Iterator<Item = UpstreamLoad> + '_ {
        let rows = self.own_part.iter();
        rows.map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
    }

    /// What this VM had in flight there at its last report.
    pub fn own_part(&self, upstream: UpstreamKey) -> u32 {
        self.own_part.get(&upstream).copied().unwrap_or(0)
    }
}
