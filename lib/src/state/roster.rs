//! The roster: which routers are in the system, and which of them is home to an engine.
//!
//! It is replicated by the keepers and rises by one epoch with each change.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{Incarnation, RouterId, UpstreamKey};
use super::rendezvous::rendezvous_first;

/// One router's place in the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterSession {
    /// The life of the process.
    pub incarnation: Incarnation,
    /// Where callers and peers reach it.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It is draining: no caller is sent there, and it is home to nothing.
    pub leaving: bool,
}

/// All routers, at one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterRoster {
    /// Rises with each change of the roster.
    pub epoch: u64,
    /// The routers by number.
    pub routers: BTreeMap<RouterId, RouterSession>,
}

impl RouterRoster {
    /// The home of an upstream: one router for all who hold this epoch.
    pub fn home(&self, upstream: UpstreamKey) -> Option<RouterId> {
        let staying = self.routers.iter().filter(|(_, session)| !session.leaving);
        let numbers = staying.map(|(id, _)| id.0 as u64);
        rendezvous_first(upstream.0, numbers).map(|id| RouterId(id as u32))
    }

    /// Adds a router or replaces its earlier life; returns the life that was lost by it.
    pub fn join(&mut self, id: RouterId, session: RouterSession) -> Option<Incarnation> {
        if self.routers.get(&id) == Some(&session) {
            return None;
        }
        self.epoch += 1;
        let before = self.routers.insert(id, session.clone());
        before.map(|before| before.incarnation).filter(|life| *life != session.incarnation)
    }

    /// Removes a life of a router; another life of the same router stays.
    pub fn lapse(&mut self, id: RouterId, incarnation: Incarnation) -> bool {
        let current = self.routers.get(&id).is_some_and(|s| s.incarnation == incarnation);
        if current {
            self.routers.remove(&id);
            self.epoch += 1;
        }
        current
    }

    /// Marks a life of a router as leaving; there is no way back for that life.
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
