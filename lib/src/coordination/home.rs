//! The home of an engine: the one router that admits work to it.
//!
//! Because every request to an engine passes through its home, the home has the engine's exact work
//! in flight at any time, without probes. While routers have different epochs of the roster, the
//! new home of an engine waits until every router with a lease has received the epoch, so two
//! routers never admit to one engine at the same time. See `docs/design/homes.md`.

use std::collections::{BTreeMap, HashMap};

use super::admission::{may_admit, AdmissionRule, FleetLoad};
use super::load_spread::{LoadRow, HINTS_REPORTED};
use super::placement::EngineHint;
use crate::state::ids::{FleetKey, Incarnation, UpstreamKey};

/// How long the work of an earlier home counts after a take-over, in milliseconds.
pub const FOREIGN_WORK_TTL_MS: u64 = 60_000;
/// The least span over which ended work is averaged, in milliseconds.
const DRAIN_SPAN_MS: u64 = 1000;
/// The first epoch of the roster, in which no engine has had an earlier home.
const FIRST_EPOCH: u64 = 1;

/// The state of one engine at its home.
#[derive(Clone, Debug, Default)]
pub struct HomedEngine {
    /// The fleet of the engine.
    pub fleet: FleetKey,
    /// The engine's incarnation, once reported.
    pub incarnation: Incarnation,
    /// The number of requests that this router has in flight at the engine.
    pub requests: u32,
    /// The work of those requests, in tokens.
    pub work: u64,
    /// Work that an earlier home may still have in flight at the engine; it only falls.
    pub foreign_work: u64,
    /// When the engine first reported after this router took it over.
    pub taken_over_ms: Option<u64>,
    /// The roster epoch at which this router became its home; `None` while it is not.
    pub home_since_epoch: Option<u64>,
    /// Whether the engine gets no new work, because it is leaving or ejected.
    pub closed: bool,
    /// Work that ends at the engine in a millisecond, as a moving average.
    pub drain_per_ms: f64,
    released_ms: u64,
    released_work: u64,
}

impl HomedEngine {
    /// Averages over spans of at least [`DRAIN_SPAN_MS`], because the work that ends in a shorter
    /// span is either nothing or a whole request.
    fn note_release(&mut self, work: u64, now_ms: u64) {
        self.released_work += work;
        let span = now_ms.saturating_sub(self.released_ms);
        if self.released_ms == 0 || span >= DRAIN_SPAN_MS {
            let rate = self.released_work as f64 / span.max(1) as f64;
            let first = self.released_ms == 0;
            self.drain_per_ms = if first { 0.0 } else { 0.7 * self.drain_per_ms + 0.3 * rate };
            self.released_ms = now_ms;
            self.released_work = 0;
        }
    }

    /// The expected time until the load falls to `bound`, in milliseconds; `None` while no rate is
    /// known.
    pub fn wait_ms(&self, bound: f64) -> Option<f64> {
        let over = (self.load() as f64 - bound).max(0.0);
        (self.drain_per_ms > 0.0).then(|| over / self.drain_per_ms)
    }

    /// All work that counts against the bound.
    pub fn load(&self) -> u64 {
        self.work + self.foreign_work
    }
}

/// Why a home does not admit a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmitRefusal {
    /// This router is not the engine's home, or its epoch isn't settled yet.
    NotHome,
    /// The engine takes no new work.
    Closed,
    /// The engine is at its bound.
    AtBound,
}

/// The engines of one router.
#[derive(Clone, Debug, Default)]
pub struct HomeTable {
    engines: HashMap<UpstreamKey, HomedEngine>,
    settled_epoch: u64,
    sizes: BTreeMap<(FleetKey, u64), u32>,
}

impl HomeTable {
    /// Records that every router with a lease has received this epoch of the roster.
    pub fn settle(&mut self, epoch: u64) {
        self.settled_epoch = self.settled_epoch.max(epoch);
    }

    /// Sets whether this router is home to an engine in the roster of `epoch`.
    pub fn assign(&mut self, engine: UpstreamKey, fleet: FleetKey, home: bool, epoch: u64) {
        if !home && !self.engines.contains_key(&engine) {
            return;
        }
        let state = self.engines.entry(engine).or_default();
        state.fleet = fleet;
        if !home {
            state.home_since_epoch = None;
            state.taken_over_ms = None;
        } else if state.home_since_epoch.is_none() {
            state.home_since_epoch = Some(epoch);
        }
        if state.home_since_epoch.is_none() && state.requests == 0 {
            self.engines.remove(&engine);
        }
    }

    /// Whether this router may admit to the engine now.
    pub fn is_home(&self, engine: UpstreamKey) -> bool {
        let state = self.engines.get(&engine);
        state.and_then(|state| state.home_since_epoch).is_some_and(|e| e <= self.settled_epoch)
    }

    /// Admits a request of `work` tokens to the engine, or returns why not.
    pub fn admit(
        &mut self,
        engine: UpstreamKey,
        work: u64,
        load: &FleetLoad,
        rule: AdmissionRule,
    ) -> Result<(), AdmitRefusal> {
        if !self.is_home(engine) {
            return Err(AdmitRefusal::NotHome);
        }
        let state = self.engines.get_mut(&engine).ok_or(AdmitRefusal::NotHome)?;
        if state.closed {
            return Err(AdmitRefusal::Closed);
        }
        let full = state.requests >= rule.max_requests;
        if full || !may_admit(state.load(), load, rule.multiple, work) {
            return Err(AdmitRefusal::AtBound);
        }
        state.requests += 1;
        state.work += work;
        *self.sizes.entry((state.fleet, work)).or_default() += 1;
        Ok(())
    }

    /// Records that a request of `work` tokens ended at the engine.
    pub fn release(&mut self, engine: UpstreamKey, work: u64, now_ms: u64) {
        let Some(state) = self.engines.get_mut(&engine) else { return };
        state.note_release(work, now_ms);
        if let Some(count) = self.sizes.get_mut(&(state.fleet, work)) {
            *count -= 1;
            if *count == 0 {
                self.sizes.remove(&(state.fleet, work));
            }
        }
        state.requests = state.requests.saturating_sub(1);
        state.work = state.work.saturating_sub(work);
        if state.requests == 0 && state.home_since_epoch.is_none() {
            self.engines.remove(&engine);
        }
    }

    /// Records the work that the engine reported. The first report after a take-over includes what
    /// an earlier home left in flight. From then on that work only falls, and it counts as ended
    /// after [`FOREIGN_WORK_TTL_MS`]. A report lags, so it is never compared with the router's
    /// present work.
    pub fn report(
        &mut self,
        engine: UpstreamKey,
        incarnation: Incarnation,
        reported_work: u64,
        now_ms: u64,
    ) {
        let Some(state) = self.engines.get_mut(&engine) else { return };
        let same_incarnation = state.incarnation == incarnation;
        state.incarnation = incarnation;
        match state.taken_over_ms {
            None => {
                state.taken_over_ms = Some(now_ms);
                let inherited = state.home_since_epoch.is_some_and(|epoch| epoch > FIRST_EPOCH);
                state.foreign_work = if inherited { reported_work } else { 0 };
            }
            Some(since) if same_incarnation && now_ms < since + FOREIGN_WORK_TTL_MS => {
                state.foreign_work = state.foreign_work.min(reported_work);
            }
            Some(_) => state.foreign_work = 0,
        }
    }

    /// Opens an engine to new work or closes it.
    pub fn close(&mut self, engine: UpstreamKey, closed: bool) {
        if let Some(state) = self.engines.get_mut(&engine) {
            state.closed = closed;
        }
    }

    /// The state of one engine.
    pub fn engine_state(&self, engine: UpstreamKey) -> Option<&HomedEngine> {
        self.engines.get(&engine)
    }

    /// The engines that this router is home to, whether or not their epoch is settled.
    pub fn homed(&self) -> impl Iterator<Item = (UpstreamKey, &HomedEngine)> {
        let engines = self.engines.iter();
        engines
            .filter(|(_, state)| state.home_since_epoch.is_some())
            .map(|(key, state)| (*key, state))
    }

    /// The work that this router has in flight at the engines of a fleet that take new work.
    ///
    /// The mean is taken over those engines alone. The work of a failed engine is gone from the
    /// true mean at once, while its requests may be counted here until their callers give up.
    pub fn fleet_work(&self, fleet: FleetKey) -> u64 {
        // Foreign work is counted by the router that admitted it. Counting it here too would raise
        // the mean, and with it the bound.
        let engines = self.engines.values().filter(|state| state.fleet == fleet && !state.closed);
        engines.map(|state| state.work).sum()
    }

    /// The work of the largest request that this router has in flight in a fleet.
    fn largest_of(&self, fleet: FleetKey) -> u64 {
        let sizes = self.sizes.range((fleet, 0)..=(fleet, u64::MAX));
        sizes.last().map_or(0, |((_, work), _)| *work)
    }

    /// This router's row of the load exchange: its work, and its least loaded engines that have
    /// fewer than `max_requests` in flight. It names no engines while requests wait here, since
    /// those go first.
    pub fn load_row(
        &self,
        fleet: FleetKey,
        engines: u32,
        max_requests: u32,
        waiting: bool,
    ) -> LoadRow {
        let open = self.homed().filter(|(_, state)| {
            state.fleet == fleet && !state.closed && state.requests < max_requests && !waiting
        });
        let mut lightest: Vec<EngineHint> =
            open.map(|(engine, state)| EngineHint { engine, work: state.load() }).collect();
        lightest.sort_unstable_by_key(|hint| (hint.work, hint.engine));
        lightest.truncate(HINTS_REPORTED);
        let largest = self.largest_of(fleet);
        LoadRow { fleet, work: self.fleet_work(fleet), engines, largest, lightest }
    }

    /// The number of requests that this router has in flight in all fleets.
    pub fn requests(&self) -> u32 {
        self.engines.values().map(|state| state.requests).sum()
    }
}
