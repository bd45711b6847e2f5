//! The home of an engine: the one router that admits work to it.
//!
//! Because every request to an engine passes its home, the home knows the
//! engine's work in flight exactly and at once, with no probe. While routers hold
//! different epochs of the roster, an engine's new home waits until every router
//! with a lease has seen the epoch: at no time do two routers admit to one engine.
//! See `docs/design/homes.md`.

use std::collections::HashMap;

use super::admission::{may_admit, FleetLoad};
use crate::state::ids::{FleetKey, Incarnation, UpstreamKey};

/// One engine at its home.
#[derive(Clone, Debug, Default)]
pub struct HomeSlot {
    /// Its fleet.
    pub fleet: FleetKey,
    /// Its life, once it has told it.
    pub incarnation: Incarnation,
    /// Requests that this router has in flight there.
    pub requests: u32,
    /// Their work.
    pub work: u64,
    /// Work that others have in flight there, as the engine last reported beyond ours.
    pub foreign_work: u64,
    /// The roster epoch at which this router became its home; `None` while it is not.
    pub home_since_epoch: Option<u64>,
    /// No new work: the engine leaves, or is set aside.
    pub closed: bool,
}

impl HomeSlot {
    /// All work that counts against the bound.
    pub fn load(&self) -> u64 {
        self.work + self.foreign_work
    }
}

/// Why a home does not admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// This router is not the engine's home, or not yet.
    NotHome,
    /// The engine takes no new work.
    Closed,
    /// The engine is at its bound.
    AtBound,
}

/// The engines of one router.
#[derive(Clone, Debug, Default)]
pub struct HomeTable {
    slots: HashMap<UpstreamKey, HomeSlot>,
    settled_epoch: u64,
}

impl HomeTable {
    /// Every router with a lease has seen this epoch of the roster.
    pub fn settle(&mut self, epoch: u64) {
        self.settled_epoch = self.settled_epoch.max(epoch);
    }

    /// Sets whether this router is home to an engine in the roster of `epoch`.
    pub fn assign(&mut self, engine: UpstreamKey, fleet: FleetKey, home: bool, epoch: u64) {
        if !home && !self.slots.contains_key(&engine) {
            return;
        }
        let slot = self.slots.entry(engine).or_default();
        slot.fleet = fleet;
        if !home {
            slot.home_since_epoch = None;
        } else if slot.home_since_epoch.is_none() {
            slot.home_since_epoch = Some(epoch);
        }
        if slot.home_since_epoch.is_none() && slot.requests == 0 {
            self.slots.remove(&engine);
        }
    }

    /// Whether this router admits to the engine now.
    pub fn is_home(&self, engine: UpstreamKey) -> bool {
        let slot = self.slots.get(&engine);
        slot.and_then(|slot| slot.home_since_epoch).is_some_and(|e| e <= self.settled_epoch)
    }

    /// Admits `work` to the engine, or says why not.
    pub fn admit(
        &mut self,
        engine: UpstreamKey,
        work: u64,
        load: &FleetLoad,
        multiple: f64,
    ) -> Result<(), AdmitRefusal> {
        if !self.is_home(engine) {
            return Err(AdmitRefusal::NotHome);
        }
        let slot = self.slots.get_mut(&engine).ok_or(AdmitRefusal::NotHome)?;
        if slot.closed {
            return Err(AdmitRefusal::Closed);
        }
        if !may_admit(slot.load(), load, multiple, work) {
            return Err(AdmitRefusal::AtBound);
        }
        slot.requests += 1;
        slot.work += work;
        Ok(())
    }

    /// Counts work on an engine without asking the bound, for what is already running there
    /// (a resumed stream).
    pub fn add(&mut self, engine: UpstreamKey, fleet: FleetKey, work: u64) {
        let slot = self.slots.entry(engine).or_default();
        slot.fleet = fleet;
        slot.requests += 1;
        slot.work += work;
    }

    /// A request ended.
    pub fn release(&mut self, engine: UpstreamKey, work: u64) {
        let Some(slot) = self.slots.get_mut(&engine) else { return };
        slot.requests = slot.requests.saturating_sub(1);
        slot.work = slot.work.saturating_sub(work);
        if slot.requests == 0 && slot.home_since_epoch.is_none() {
            self.slots.remove(&engine);
        }
    }

    /// The engine reported its work; what is beyond ours was admitted by an earlier home.
    pub fn report(&mut self, engine: UpstreamKey, incarnation: Incarnation, reported_work: u64) {
        let Some(slot) = self.slots.get_mut(&engine) else { return };
        slot.incarnation = incarnation;
        slot.foreign_work = reported_work.saturating_sub(slot.work);
    }

    /// Opens or closes an engine to new work.
    pub fn close(&mut self, engine: UpstreamKey, closed: bool) {
        if let Some(slot) = self.slots.get_mut(&engine) {
            slot.closed = closed;
        }
    }

    /// One engine's slot.
    pub fn slot(&self, engine: UpstreamKey) -> Option<&HomeSlot> {
        self.slots.get(&engine)
    }

    /// The engines that this router is home to, settled or not.
    pub fn homed(&self) -> impl Iterator<Item = (UpstreamKey, &HomeSlot)> {
        let slots = self.slots.iter();
        slots.filter(|(_, slot)| slot.home_since_epoch.is_some()).map(|(key, slot)| (*key, slot))
    }

    /// The work in flight by this router over a fleet.
    pub fn fleet_work(&self, fleet: FleetKey) -> u64 {
        let slots = self.slots.values().filter(|slot| slot.fleet == fleet);
        slots.map(|slot| slot.load()).sum()
    }

    /// Requests in flight by this router over all fleets.
    pub fn requests(&self) -> u32 {
        self.slots.values().map(|slot| slot.requests).sum()
    }
}
