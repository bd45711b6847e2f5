//! The leader's watch over router sessions: who renewed when, at which epoch and version.

use std::collections::HashMap;

use super::router_lease::LEASE_MS;
use crate::state::ids::{Incarnation, RouterId};
use crate::state::roster::RouterRoster;

/// A session lapses when nothing was heard for this long: longer than any lease it may hold.
pub const LAPSE_MS: u64 = LEASE_MS + 500;

#[derive(Clone, Copy, Debug)]
struct SessionMark {
    incarnation: Incarnation,
    heard_ms: u64,
    epoch: u64,
    version: u64,
}

/// What one leader has heard in its own term.
#[derive(Clone, Debug, Default)]
pub struct SessionWatch {
    marks: HashMap<RouterId, SessionMark>,
    since_ms: u64,
}

impl SessionWatch {
    /// A watch that begins with a leader's term at `now_ms`.
    pub fn new(now_ms: u64) -> SessionWatch {
        SessionWatch { marks: HashMap::new(), since_ms: now_ms }
    }

    /// A renewal came.
    pub fn hear(
        &mut self,
        router: RouterId,
        incarnation: Incarnation,
        epoch: u64,
        version: u64,
        now_ms: u64,
    ) {
        self.marks.insert(router, SessionMark { incarnation, heard_ms: now_ms, epoch, version });
    }

    /// Sessions that nothing was heard of for too long.
    pub fn lapsed(&self, roster: &RouterRoster, now_ms: u64) -> Vec<(RouterId, Incarnation)> {
        let silent = roster
            .routers
            .iter()
            .filter(|(id, session)| now_ms >= self.heard_ms(**id, session.incarnation) + LAPSE_MS);
        silent.map(|(id, session)| (*id, session.incarnation)).collect()
    }

    /// The epoch that every router with a lease has surely seen: an engine's new home may
    /// begin once its epoch is settled.
    pub fn settled_epoch(&self, roster: &RouterRoster, now_ms: u64) -> u64 {
        let holders = roster
            .routers
            .iter()
            .filter(|(id, session)| now_ms < self.heard_ms(**id, session.incarnation) + LAPSE_MS);
        let seen = holders.map(|(id, session)| {
            let mark = self.marks.get(id).filter(|mark| mark.incarnation == session.incarnation);
            mark.map_or(0, |mark| mark.epoch)
        });
        seen.min().unwrap_or(roster.epoch)
    }

    /// Each router's applied version, for `wingshed config wait`.
    pub fn versions(&self, roster: &RouterRoster) -> Vec<(RouterId, Option<u64>)> {
        let version = |id: &RouterId| self.marks.get(id).map(|mark| mark.version);
        roster.routers.keys().map(|id| (*id, version(id))).collect()
    }

    fn heard_ms(&self, id: RouterId, incarnation: Incarnation) -> u64 {
        let mark = self.marks.get(&id).filter(|mark| mark.incarnation == incarnation);
        mark.map_or(self.since_ms, |mark| mark.heard_ms)
    }
}
