//! The requests that VMs have in flight at upstreams, summed up by the leader and sent to all VMs.
//!
//! A leader answers every VM a few times a second. To keep its work and traffic from growing with
//! the product of VMs and upstreams, it computes one sum for many answers and leaves out loads that
//! change no VM's choice. See `docs/design/whole-fleet.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::state::ids::UpstreamKey;
use crate::state::upstream_list::{ListRevision, UpstreamList};
use crate::state::zero_runs::{pack_zeros, unpack_zeros};

/// A service whose mean number of requests in flight at an upstream is below this is nearly idle.
pub const NEARLY_IDLE_MEAN: f64 = 0.25;
/// The requests that one VM, or all of them, have in flight at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The upstream's incarnation.
    pub upstream: UpstreamKey,
    /// The number of requests in flight.
    pub requests: u32,
}

/// The load of each upstream in `keys`, one byte each, in the order of `keys`; 255 stands for all
/// higher loads. Both inputs are sorted by key.
pub fn positional_loads<'a>(
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

/// The number of a service's upstreams, and of the requests that they have in flight.
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

/// The loads that can change a VM's choice. If a service's upstreams are nearly idle, one request
/// at an upstream keeps no VM from sending it another, so that load is left out. The size of the
/// message then grows with the number of upstreams in use and not with the number of requests in
/// flight.
pub fn relevant_loads(loads: Vec<UpstreamLoad>, list: &UpstreamList) -> Vec<UpstreamLoad> {
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

/// The requests that all VMs have in flight, summed by upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LoadUpdate {
    /// One byte for each upstream, in the order of the list, which the receiver has too. With a
    /// thousand upstreams, a row with a key for each would exceed what the link of a small VM
    /// takes.
    Placed(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The bytes of `Placed` with runs of zeros encoded by their length, if that is shorter.
    Runs(#[serde(with = "serde_bytes")] Vec<u8>),
    /// Loads by key, for a receiver that has another revision of the list.
    Keyed(Vec<UpstreamLoad>),
}

impl LoadUpdate {
    /// The shorter encoding of one byte for each upstream.
    pub fn positional(sums: Vec<u8>) -> LoadUpdate {
        let runs = pack_zeros(&sums);
        match runs.len() < sums.len() {
            true => LoadUpdate::Runs(runs),
            false => LoadUpdate::Placed(sums),
        }
    }

    /// One byte for each of `upstreams`; `None` if the loads are given by key or belong to another
    /// list.
    pub fn into_sums(self, upstreams: usize) -> Option<Vec<u8>> {
        match self {
            LoadUpdate::Placed(sums) => Some(sums),
            LoadUpdate::Runs(runs) => unpack_zeros(&runs, upstreams),
            LoadUpdate::Keyed(_) => None,
        }
    }
}

/// The loads that a leader sends, summed up once for all answers within a short time.
#[derive(Default)]
pub struct SharedLoads {
    list: ListRevision,
    summed_ms: Option<u64>,
    loads: Vec<UpstreamLoad>,
    positional: Option<LoadUpdate>,
    sums: u64,
}

impl SharedLoads {
    /// The loads for a VM that has the revision `have` of the list. The result of `sum_up` is
    /// reused for `shared_ms` milliseconds.
    pub fn update(
        &mut self,
        sum_up: impl FnOnce() -> Vec<UpstreamLoad>,
        shared_ms: u64,
        list: &UpstreamList,
        have: ListRevision,
        now_ms: u64,
    ) -> LoadUpdate {
        let fresh = self.summed_ms.is_some_and(|summed_ms| summed_ms + shared_ms > now_ms);
        if !fresh || self.list != list.revision {
            self.loads = relevant_loads(sum_up(), list);
            self.positional = None;
            (self.list, self.summed_ms) = (list.revision, Some(now_ms));
            self.sums += 1;
        }
        if have != list.revision {
            return LoadUpdate::Keyed(self.loads.clone());
        }
        let place = || LoadUpdate::positional(positional_loads(&self.loads, list.entries.keys()));
        self.positional.get_or_insert_with(place).clone()
    }

    /// The number of times that the loads were summed up.
    pub fn sums(&self) -> u64 {
        self.sums
    }
}

/// The load of the other VMs, as last received.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    sums: HashMap<UpstreamKey, u32>,
    own_reported: HashMap<UpstreamKey, u32>,
}

impl LoadReports {
    /// Records the sums of a grant; `own_reported` is the part of them that this VM reported.
    pub fn note(&mut self, sums: &[UpstreamLoad], own_reported: &[UpstreamLoad]) {
        let by_key = |rows: &[UpstreamLoad]| -> HashMap<UpstreamKey, u32> {
            rows.iter().map(|row| (row.upstream, row.requests)).collect()
        };
        self.sums = by_key(sums);
        self.own_reported = by_key(own_reported);
    }

    /// Records sums of one byte for each upstream, in the order of `keys`.
    pub fn note_positional<'a>(
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

    /// The number of requests that the other VMs have in flight at an upstream.
    pub fn others(&self, upstream: UpstreamKey) -> u32 {
        let sum = self.sums.get(&upstream).copied().unwrap_or(0);
        sum.saturating_sub(self.own_reported(upstream))
    }

    /// The upstreams at which any requests are reported to be in flight.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.sums.keys().copied()
    }

    /// The requests that this VM had in flight at its last report, by upstream.
    pub fn own_loads(&self) -> impl Iterator<Item = UpstreamLoad> + '_ {
        let rows = self.own_reported.iter();
        rows.map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
    }

    /// The number of requests that this VM had in flight at an upstream at its last report.
    pub fn own_reported(&self, upstream: UpstreamKey) -> u32 {
        self.own_reported.get(&upstream).copied().unwrap_or(0)
    }
}
