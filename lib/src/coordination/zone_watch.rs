//! The zones to which one VM sends no requests, and the upstreams that may be cold after a zone's return.
//!
//! Orders are sent with the leader's grants, and the last received ones stay in effect without a grant:
//! a VM without contact to a leader does not report itself ready, and if it receives requests
//! nevertheless, it sends none to a zone that was evacuated by its last orders. See `docs/design/zones.md`.

use std::collections::BTreeMap;

use crate::state::zone_order::ZoneOrders;

/// The orders as one VM received them.
#[derive(Clone, Debug, Default)]
pub struct ZoneWatch {
    /// The last order of each zone.
    pub orders: ZoneOrders,
    /// When this VM received the order that takes a zone back into use.
    returned_ms: BTreeMap<String, u64>,
}

/// A change of one zone that a VM received, for its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: String,
    /// Whether the zone is evacuated now.
    pub evacuated: bool,
}

impl ZoneWatch {
    /// Applies received orders unless they are older than the known ones. Returns the zones that they
    /// evacuate or take back into use.
    pub fn take(&mut self, orders: ZoneOrders, now_ms: u64) -> Vec<ZoneChange> {
        let Some(before) = self.orders.take_later(orders) else { return Vec::new() };
        let other = |zone: &str, evacuated| before.is_evacuated(zone) != evacuated;
        let rows = self.orders.rows().iter();
        let changes: Vec<ZoneChange> = rows
            .filter(|row| other(&row.zone, row.evacuated))
            .map(|row| ZoneChange { zone: row.zone.clone(), evacuated: row.evacuated })
            .collect();
        for change in &changes {
            match change.evacuated {
                true => drop(self.returned_ms.remove(&change.zone)),
                false => drop(self.returned_ms.insert(change.zone.clone(), now_ms)),
            }
        }
        changes
    }

    /// Returns whether any zone is evacuated.
    pub fn any_evacuated(&self) -> bool {
        self.orders.rows().iter().any(|row| row.evacuated)
    }

    /// Returns whether a zone is evacuated, so that its upstreams get no requests.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.orders.is_evacuated(zone)
    }

    /// Returns whether a zone returned so recently that its upstreams may be cold without being listed as
    /// cold. The VM's list is known to have been the platform's at `confirmed_ms`, and may have been outdated
    /// by `lag_ms` then.
    pub fn may_be_cold(&self, zone: &str, confirmed_ms: u64, lag_ms: u64) -> bool {
        self.returned_ms.get(zone).is_some_and(|returned_ms| confirmed_ms < returned_ms + lag_ms)
    }
}
