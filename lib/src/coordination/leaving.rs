//! The incarnations of upstreams that are leaving.
//!
//! Leaving is permanent for an incarnation: the first router that learns of it publishes it,
//! and an outdated list cannot revert it. Only a new incarnation of the same upstream can
//! receive requests again. See `docs/design/leaving.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, UpstreamKey};

/// A leaving incarnation of an upstream, as routers send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingIncarnation {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The incarnation that leaves.
    pub incarnation: Incarnation,
}

/// All leaving incarnations that one router has been notified of.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    leaving: HashMap<UpstreamKey, Incarnation>,
    current: HashMap<UpstreamKey, Incarnation>,
}

impl LeavingTable {
    /// Notes a leaving incarnation. Returns true if it is new and should be sent to the other routers.
    pub fn note_leaving(&mut self, leaving: LeavingIncarnation) -> bool {
        let known = self.leaving.get(&leaving.upstream).copied();
        if known.is_some_and(|known| known >= leaving.incarnation) {
            return false;
        }
        self.leaving.insert(leaving.upstream, leaving.incarnation);
        true
    }

    /// Notes the incarnation that an upstream reported.
    pub fn note_incarnation(&mut self, upstream: UpstreamKey, incarnation: Incarnation) {
        let latest = self.current.entry(upstream).or_insert(incarnation);
        *latest = (*latest).max(incarnation);
    }

    /// Returns the latest known incarnation of an upstream.
    pub fn incarnation(&self, upstream: UpstreamKey) -> Incarnation {
        self.current.get(&upstream).copied().unwrap_or_default()
    }

    /// Returns whether the latest known incarnation of an upstream is leaving.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        let leaving = self.leaving.get(&upstream);
        leaving.is_some_and(|leaving| *leaving >= self.incarnation(upstream))
    }

    /// Returns all leaving incarnations, to be sent to a router that requests them.
    pub fn all(&self) -> Vec<LeavingIncarnation> {
        let all = self.leaving.iter();
        all.map(|(upstream, incarnation)| LeavingIncarnation {
            upstream: *upstream,
            incarnation: *incarnation,
        })
        .collect()
    }
}
