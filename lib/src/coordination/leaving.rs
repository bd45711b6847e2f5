//! Which lives of which VMs are leaving.
//!
//! Leaving is sticky for a life: the first VM to know publishes it, and no list
//! that lags can take it back. Only a new life of the same upstream opens it again.
//! See `docs/design/leaving.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, UpstreamKey};

/// One life that is leaving, as routers send it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeavingMark {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The life that leaves.
    pub incarnation: Incarnation,
}

/// All leaving lives that one router knows.
#[derive(Clone, Debug, Default)]
pub struct LeavingTable {
    leaving: HashMap<UpstreamKey, Incarnation>,
    lives: HashMap<UpstreamKey, Incarnation>,
}

impl LeavingTable {
    /// Notes a leaving life; true when it is news, which should be sent to the others.
    pub fn note_leaving(&mut self, mark: LeavingMark) -> bool {
        let known = self.leaving.get(&mark.upstream).copied();
        if known.is_some_and(|known| known >= mark.incarnation) {
            return false;
        }
        self.leaving.insert(mark.upstream, mark.incarnation);
        true
    }

    /// Notes the life that an upstream reported.
    pub fn note_life(&mut self, upstream: UpstreamKey, incarnation: Incarnation) {
        let life = self.lives.entry(upstream).or_insert(incarnation);
        *life = (*life).max(incarnation);
    }

    /// The latest known life of an upstream.
    pub fn life(&self, upstream: UpstreamKey) -> Incarnation {
        self.lives.get(&upstream).copied().unwrap_or_default()
    }

    /// Whether the upstream's latest known life is leaving.
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        let leaving = self.leaving.get(&upstream);
        leaving.is_some_and(|leaving| *leaving >= self.life(upstream))
    }

    /// All marks, as sent to a router that asks.
    pub fn marks(&self) -> Vec<LeavingMark> {
        let marks = self.leaving.iter();
        marks
            .map(|(upstream, life)| LeavingMark { upstream: *upstream, incarnation: *life })
            .collect()
    }
}
