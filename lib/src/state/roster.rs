//! The roster: the routers of the system, from which the home router of each engine is computed.
//!
//! The keepers replicate it, and its epoch rises by one with each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{Incarnation, RouterId, UpstreamKey};
use super::rendezvous::rendezvous_first;

/// The session of a router in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterSession {
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The address on which callers and peers reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is draining, so that no caller is sent there and it is home to no engine.
    pub leaving: bool,
}

/// All routers at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterRoster {
    /// Rises with each change of the roster.
    pub epoch: u64,
    /// The routers by number.
    pub routers: BTreeMap<RouterId, RouterSession>,
}

impl RouterRoster {
    /// The home router of an upstream, which is the same at all routers with this epoch.
    pub fn home(&self, upstream: UpstreamKey) -> Option<RouterId> {
        let staying = self.routers.iter().filter(|(_, session)| !session.leaving);
        let numbers = staying.map(|(id, _)| id.0 as u64);
        rendezvous_first(upstream.0, numbers).map(|id| RouterId(id as u32))
    }

    /// Adds a router or replaces its earlier incarnation; returns the incarnation that was
    /// replaced.
    pub fn join(&mut self, id: RouterId, session: RouterSession) -> Option<Incarnation> {
        if self.routers.get(&id) == Some(&session) {
            return None;
        }
        self.epoch += 1;
        let before = self.routers.insert(id, session.clone());
        before.map(|before| before.incarnation).filter(|earlier| *earlier != session.incarnation)
    }

    /// Removes an incarnation of a router; returns `false` if the router has another one.
    pub fn lapse(&mut self, id: RouterId, incarnation: Incarnation) -> bool {
        let current = self.routers.get(&id).is_some_and(|s| s.incarnation == incarnation);
        if current {
            self.routers.remove(&id);
            self.epoch += 1;
        }
        current
    }

    /// Marks an incarnation of a router as leaving, which is final for that incarnation.
    pub fn leave(&mut self, id: RouterId, incarnation: Incarnation) -> bool {
        let Some(session) = self.routers.get_mut(&id) else { return false };
        if session.incarnation != incarnation || session.leaving {
            return false;
        }
        session.leaving = true;
        self.epoch += 1;
        true
    }
}
