//! How a router learns the load of a fleet: its own exact sum plus the sum of the others.
//!
//! The others' sum comes back with each lease renewal, because the keeper that
//! leads hears every router four times a second anyway: two small datagrams an
//! exchange, however many routers there are. When no answer comes, routers tell
//! their sums to each other until one does. See `docs/design/load-spread.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::admission::FleetLoad;
use crate::state::ids::{FleetKey, RouterId};

/// How long a router's sum counts after it was last heard, in milliseconds.
pub const ROW_KEEP_MS: u64 = 5000;

/// One fleet's load at one router, or summed over several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The fleet.
    pub fleet: FleetKey,
    /// Work in flight.
    pub work: u64,
    /// Engines that the teller counts as taking work.
    pub engines: u32,
}

/// What was told of the load elsewhere.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<(RouterId, FleetKey), (LoadRow, u64)>,
}

impl LoadTable {
    /// Notes what `router` told at `now_ms`; its earlier rows are replaced.
    pub fn tell(&mut self, router: RouterId, rows: &[LoadRow], now_ms: u64) {
        self.rows.retain(|(from, _), _| *from != router);
        for row in rows {
            self.rows.insert((router, row.fleet), (*row, now_ms));
        }
    }

    /// Drops rows that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|_, (_, told_ms)| *told_ms + ROW_KEEP_MS > now_ms);
    }

    /// The sum over all routers but `except`, one row a fleet.
    pub fn others(&self, except: RouterId) -> Vec<LoadRow> {
        let mut sums: HashMap<FleetKey, LoadRow> = HashMap::new();
        for ((router, fleet), (row, _)) in &self.rows {
            let sum = sums.entry(*fleet).or_insert(LoadRow { fleet: *fleet, work: 0, engines: 0 });
            if *router != except {
                sum.work += row.work;
            }
            // The largest count keeps the mean low while views of the fleet differ.
            sum.engines = sum.engines.max(row.engines);
        }
        let mut sums: Vec<LoadRow> = sums.into_values().collect();
        sums.sort_by_key(|row| row.fleet);
        sums
    }
}

/// The latest sum of the others, at one router.
#[derive(Clone, Debug, Default)]
pub struct OtherLoad {
    rows: HashMap<FleetKey, LoadRow>,
    told_ms: u64,
}

impl OtherLoad {
    /// Notes sums that were true at `told_ms` at the earliest.
    pub fn tell(&mut self, rows: &[LoadRow], told_ms: u64) {
        self.rows = rows.iter().map(|row| (row.fleet, *row)).collect();
        self.told_ms = told_ms;
    }

    /// When the sums were told.
    pub fn told_ms(&self) -> u64 {
        self.told_ms
    }

    /// The whole fleet's load: the own exact part plus the others' last sum.
    pub fn fleet_load(
        &self,
        fleet: FleetKey,
        own_work: u64,
        own_engines: u32,
        now_ms: u64,
    ) -> FleetLoad {
        let others = self.rows.get(&fleet);
        FleetLoad {
            work: own_work + others.map_or(0, |row| row.work),
            engines: own_engines.max(others.map_or(0, |row| row.engines)),
            age_ms: if others.is_some() { now_ms.saturating_sub(self.told_ms) } else { 0 },
        }
    }
}
