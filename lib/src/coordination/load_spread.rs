//! How a router learns the load of a fleet: its own exact sum plus the sum of the others.
//!
//! The others' sum comes back with each lease renewal, because the keeper that
//! leads hears every router four times a second anyway: two small datagrams an
//! exchange, however many routers there are. When no answer comes, routers send
//! their sums to each other until one does. See `docs/design/load-spread.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::admission::FleetLoad;
use super::placement::EngineHint;
use super::router_lease::RENEW_MS;
use crate::state::ids::{FleetKey, RouterId};

/// How long a router's sum counts after it was last heard, in milliseconds.
pub const ROW_KEEP_MS: u64 = 5000;

/// One fleet's load at one router, or summed over several.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The fleet.
    pub fleet: FleetKey,
    /// Work in flight.
    pub work: u64,
    /// Engines that the teller counts as taking work.
    pub engines: u32,
    /// The teller's largest request, or the largest of several tellers.
    pub largest: u64,
    /// The teller's lightest engines, or the lightest of several tellers.
    pub lightest: Vec<EngineHint>,
}

/// How many light engines a router reports.
pub const HINTS_REPORTED: usize = 2;
/// How many light engines of others a router is sent.
pub const HINTS_GIVEN: usize = 6;

impl LoadRow {
    /// A row of no load.
    pub fn empty(fleet: FleetKey) -> LoadRow {
        LoadRow { fleet, work: 0, engines: 0, largest: 0, lightest: Vec::new() }
    }
}

/// What was reported of the load elsewhere.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<(RouterId, FleetKey), (LoadRow, u64)>,
}

impl LoadTable {
    /// Notes what `router` reported at `now_ms` of some fleets; its earlier rows of others stay.
    pub fn note(&mut self, router: RouterId, rows: &[LoadRow], now_ms: u64) {
        for row in rows {
            self.rows.insert((router, row.fleet), (row.clone(), now_ms));
        }
    }

    /// Drops rows that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|_, (_, reported_ms)| *reported_ms + ROW_KEEP_MS > now_ms);
    }

    /// The sum over all routers but `except`, one row for each of `fleets`.
    pub fn others(&self, except: RouterId, fleets: &[FleetKey]) -> Vec<LoadRow> {
        let mut sums: HashMap<FleetKey, LoadRow> = HashMap::new();
        let asked = self.rows.iter().filter(|((_, fleet), _)| fleets.contains(fleet));
        for ((router, fleet), (row, _)) in asked {
            let sum = sums.entry(*fleet).or_insert_with(|| LoadRow::empty(*fleet));
            if *router != except {
                sum.work += row.work;
                sum.largest = sum.largest.max(row.largest);
                sum.lightest.extend_from_slice(&row.lightest);
            }
            // The largest count keeps the mean low while views of the fleet differ.
            sum.engines = sum.engines.max(row.engines);
        }
        let mut sums: Vec<LoadRow> = sums.into_values().collect();
        sums.sort_by_key(|row| row.fleet);
        for sum in &mut sums {
            sum.lightest.sort_unstable_by_key(|hint| (hint.work, hint.engine));
            sum.lightest.truncate(HINTS_GIVEN);
        }
        sums
    }
}

/// The latest sum of the others, at one router.
#[derive(Clone, Debug, Default)]
pub struct OtherLoad {
    rows: HashMap<FleetKey, (LoadRow, u64)>,
    reported_ms: u64,
}

/// Rows in one exchange, so that it fits a datagram. With more fleets they take turns, and
/// each one's mean is older by as many renewals.
pub const ROWS_PER_EXCHANGE: usize = 6;

/// The rows whose turn it is at the exchange of number `turn`.
pub fn rows_in_turn(mut rows: Vec<LoadRow>, turn: u64) -> Vec<LoadRow> {
    if rows.len() > ROWS_PER_EXCHANGE {
        rows.sort_by_key(|row| row.fleet);
        let start = (turn as usize * ROWS_PER_EXCHANGE) % rows.len();
        rows.rotate_left(start);
        rows.truncate(ROWS_PER_EXCHANGE);
    }
    rows
}

impl OtherLoad {
    /// Notes sums that came with the answer to a renewal sent at `reported_ms`; each router's part
    /// of them was reported up to one renewal earlier.
    pub fn note(&mut self, rows: &[LoadRow], reported_ms: u64) {
        self.rows.extend(rows.iter().map(|row| (row.fleet, (row.clone(), reported_ms))));
        self.reported_ms = reported_ms;
    }

    /// When the sums were reported.
    pub fn reported_ms(&self) -> u64 {
        self.reported_ms
    }

    /// Light engines of other homes.
    pub fn hints(&self, fleet: FleetKey) -> &[EngineHint] {
        self.rows.get(&fleet).map_or(&[], |(row, _)| &row.lightest)
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
            work: own_work + others.map_or(0, |(row, _)| row.work),
            engines: own_engines.max(others.map_or(0, |(row, _)| row.engines)),
            largest_reported: others.map_or(0, |(row, _)| row.largest),
            age_ms: match others {
                Some((_, reported_ms)) => now_ms.saturating_sub(*reported_ms) + RENEW_MS,
                None => 0,
            },
        }
    }
}
