//! The availability zones that operators have evacuated.
//!
//! Invariant: the orders of a zone are numbered without gaps, and an order is accepted only if its
//! number follows the last one. An order sent while another was accepted therefore changes nothing,
//! however late it arrives; its sender has to decide again on the current state. See
//! `docs/design/zones.md`.

use serde::{Deserialize, Serialize};

/// The last order for a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone's name.
    pub zone: String,
    /// The number of the order among those of the zone; the first is 1.
    pub number: u64,
    /// Whether the zone is evacuated, so that nothing is sent to its upstreams; `false` returns it
    /// to service.
    pub evacuated: bool,
}

/// The last order of each zone that has had one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrders {
    rows: Vec<ZoneOrder>,
}

impl ZoneOrders {
    /// The orders, in no particular order.
    pub fn rows(&self) -> &[ZoneOrder] {
        &self.rows
    }

    /// The number of orders accepted for all zones together. Of two states, the one with more
    /// orders is the later.
    pub fn accepted(&self) -> u64 {
        self.rows.iter().map(|row| row.number).sum()
    }

    /// The number of a zone's last order; 0 if it has had none.
    pub fn last_number(&self, zone: &str) -> u64 {
        self.row(zone).map_or(0, |row| row.number)
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.row(zone).is_some_and(|row| row.evacuated)
    }

    fn row(&self, zone: &str) -> Option<&ZoneOrder> {
        self.rows.iter().find(|row| row.zone == zone)
    }

    /// Applies an order; returns `false` if its number doesn't follow, since another was accepted
    /// first.
    pub fn apply(&mut self, order: ZoneOrder) -> bool {
        if order.number != self.last_number(&order.zone) + 1 {
            return false;
        }
        self.rows.retain(|row| row.zone != order.zone);
        self.rows.push(order);
        true
    }

    /// The orders for a reader that has `known` of them; `None` if the reader is up to date.
    pub fn update_since(&self, known: u64) -> Option<ZoneOrders> {
        (self.accepted() != known).then(|| self.clone())
    }

    /// Replaces the table by a later state; returns the state before, or `None` if `other` isn't
    /// later.
    pub fn take_later(&mut self, other: ZoneOrders) -> Option<ZoneOrders> {
        (other.accepted() > self.accepted()).then(|| std::mem::replace(self, other))
    }
}
