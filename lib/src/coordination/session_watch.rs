//! The leader's record of router sessions: when each router last renewed, and with which epoch and
//! version.

use std::collections::HashMap;

use super::router_lease::LEASE_MS;
use crate::state::ids::{Incarnation, RouterId};
use crate::state::roster::RouterRoster;

/// The time without a renewal after which a session lapses, in milliseconds. It is longer than any
/// lease that the router may hold.
pub const LAPSE_MS: u64 = LEASE_MS + 500;

#[derive(Clone, Copy, Debug)]
struct SessionRenewal {
    incarnation: Incarnation,
    last_renewal_ms: u64,
    epoch: u64,
    version: u64,
}

/// The renewals that one leader received in its own term.
#[derive(Clone, Debug, Default)]
pub struct SessionWatch {
    renewals: HashMap<RouterId, SessionRenewal>,
    since_ms: u64,
}

impl SessionWatch {
    /// An empty record for a leader whose term begins at `now_ms`.
    pub fn new(now_ms: u64) -> SessionWatch {
        SessionWatch { renewals: HashMap::new(), since_ms: now_ms }
    }

    /// Records a renewal.
    pub fn note_renewal(
        &mut self,
        router: RouterId,
        incarnation: Incarnation,
        epoch: u64,
        version: u64,
        now_ms: u64,
    ) {
        self.renewals.insert(
            router,
            SessionRenewal { incarnation, last_renewal_ms: now_ms, epoch, version },
        );
    }

    /// The sessions whose last renewal is at least [`LAPSE_MS`] old.
    pub fn lapsed(&self, roster: &RouterRoster, now_ms: u64) -> Vec<(RouterId, Incarnation)> {
        let silent = roster.routers.iter().filter(|(id, session)| {
            now_ms >= self.last_renewal_ms(**id, session.incarnation) + LAPSE_MS
        });
        silent.map(|(id, session)| (*id, session.incarnation)).collect()
    }

    /// The epoch that every router with a lease has certainly received. The new home of an engine
    /// may start once its epoch is settled.
    pub fn settled_epoch(&self, roster: &RouterRoster, now_ms: u64) -> u64 {
        let holders = roster.routers.iter().filter(|(id, session)| {
            now_ms < self.last_renewal_ms(**id, session.incarnation) + LAPSE_MS
        });
        let seen = holders.map(|(id, session)| {
            let renewal =
                self.renewals.get(id).filter(|renewal| renewal.incarnation == session.incarnation);
            renewal.map_or(0, |renewal| renewal.epoch)
        });
        seen.min().unwrap_or(roster.epoch)
    }

    /// The version that each router has applied, for `wingshed config wait`.
    pub fn versions(&self, roster: &RouterRoster) -> Vec<(RouterId, Option<u64>)> {
        let version = |id: &RouterId| self.renewals.get(id).map(|renewal| renewal.version);
        roster.routers.keys().map(|id| (*id, version(id))).collect()
    }

    /// When a session last renewed; the start of the term if it hasn't renewed since.
    fn last_renewal_ms(&self, id: RouterId, incarnation: Incarnation) -> u64 {
        let renewal = self.renewals.get(&id).filter(|renewal| renewal.incarnation == incarnation);
        renewal.map_or(self.since_ms, |renewal| renewal.last_renewal_ms)
    }
}
