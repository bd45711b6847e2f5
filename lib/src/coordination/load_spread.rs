//! How a router computes the load of a fleet: its own exact sum plus the sum of the other routers.
//!
//! The sum of the others comes with the answer to each lease renewal, because the leading keeper
//! receives a renewal from every router four times a second anyway. That makes two small datagrams
//! an exchange, however many routers there are. While no answer comes, routers send their sums to
//! each other. See `docs/design/load-spread.md`.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::admission::FleetLoad;
use super::placement::EngineHint;
use super::router_lease::RENEW_MS;
use crate::state::ids::{FleetKey, RouterId};

/// How long the sum of a router counts after it was last received, in milliseconds.
pub const ROW_KEEP_MS: u64 = 5000;

/// The load of one fleet at one router, or the sum over several routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadRow {
    /// The fleet.
    pub fleet: FleetKey,
    /// Work in flight, in tokens.
    pub work: u64,
    /// The number of engines that take work, as counted by the reporting router.
    pub engines: u32,
    /// The work of the reporting router's largest request, or the largest over several routers.
    pub largest: u64,
    /// The least loaded engines of the reporting router, or of several routers.
    pub lightest: Vec<EngineHint>,
}

/// The number of its least loaded engines that a router reports.
pub const HINTS_REPORTED: usize = 2;
/// The number of other routers' least loaded engines that a router is sent.
pub const HINTS_SENT: usize = 6;

impl LoadRow {
    /// A row without load.
    pub fn empty(fleet: FleetKey) -> LoadRow {
        LoadRow { fleet, work: 0, engines: 0, largest: 0, lightest: Vec::new() }
    }
}

/// The load that other routers reported.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    rows: HashMap<(RouterId, FleetKey), (LoadRow, u64)>,
}

impl LoadTable {
    /// Records the rows that `router` reported at `now_ms`; its earlier rows of other fleets stay.
    pub fn note(&mut self, router: RouterId, rows: &[LoadRow], now_ms: u64) {
        for row in rows {
            self.rows.insert((router, row.fleet), (row.clone(), now_ms));
        }
    }

    /// Removes rows that are too old to count.
    pub fn expire(&mut self, now_ms: u64) {
        self.rows.retain(|_, (_, reported_ms)| *reported_ms + ROW_KEEP_MS > now_ms);
    }

    /// The sum over all routers except `except`, one row for each of `fleets`.
    pub fn others(&self, except: RouterId, fleets: &[FleetKey]) -> Vec<LoadRow> {
        let mut sums: HashMap<FleetKey, LoadRow> = HashMap::new();
        let requested = self.rows.iter().filter(|((_, fleet), _)| fleets.contains(fleet));
        for ((router, fleet), (row, _)) in requested {
            let sum = sums.entry(*fleet).or_insert_with(|| LoadRow::empty(*fleet));
            if *router != except {
                sum.work += row.work;
                sum.largest = sum.largest.max(row.largest);
                sum.lightest.extend_from_slice(&row.lightest);
            }
            // The largest count keeps the mean low while routers have different views of the fleet.
            sum.engines = sum.engines.max(row.engines);
        }
        let mut sums: Vec<LoadRow> = sums.into_values().collect();
        sums.sort_by_key(|row| row.fleet);
        for sum in &mut sums {
            sum.lightest.sort_unstable_by_key(|hint| (hint.work, hint.engine));
            sum.lightest.truncate(HINTS_SENT);
        }
        sums
    }
}

/// The latest sum of the other routers, at one router.
#[derive(Clone, Debug, Default)]
pub struct RemoteLoad {
    rows: HashMap<FleetKey, (LoadRow, u64)>,
    reported_ms: u64,
}

/// The maximum number of rows in one exchange, so that it fits into a datagram. With more fleets
/// the rows take turns, and the mean of each fleet is older by as many renewals.
pub const ROWS_PER_EXCHANGE: usize = 6;

/// The rows that are sent in exchange number `turn`.
pub fn rows_in_turn(mut rows: Vec<LoadRow>, turn: u64) -> Vec<LoadRow> {
    if rows.len() > ROWS_PER_EXCHANGE {
        rows.sort_by_key(|row| row.fleet);
        let start = (turn as usize * ROWS_PER_EXCHANGE) % rows.len();
        rows.rotate_left(start);
        rows.truncate(ROWS_PER_EXCHANGE);
    }
    rows
}

impl RemoteLoad {
    /// Records sums that came with the answer to a renewal sent at `reported_ms`. Each router
    /// reported its part of them up to one renewal earlier.
    pub fn note(&mut self, rows: &[LoadRow], reported_ms: u64) {
        self.rows.extend(rows.iter().map(|row| (row.fleet, (row.clone(), reported_ms))));
        self.reported_ms = reported_ms;
    }

    /// When the sums were reported.
    pub fn reported_ms(&self) -> u64 {
        self.reported_ms
    }

    /// Lightly loaded engines of other homes.
    pub fn hints(&self, fleet: FleetKey) -> &[EngineHint] {
        self.rows.get(&fleet).map_or(&[], |(row, _)| &row.lightest)
    }

    /// The load of the whole fleet: this router's exact part plus the last sum of the others.
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
