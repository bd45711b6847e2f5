//! Which availability zones operators have emptied of requests.
//!
//! Invariant: the orders of a zone are numbered without a gap, and an order is taken only if it
//! carries the number after the last one. So an order that was on its way while another was taken
//! changes nothing, however late it comes; its sender looks at what holds and decides anew.
//! See `docs/design/zones.md`.

use serde::{Deserialize, Serialize};

/// The last order that a zone got.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// The zone's name.
    pub zone: String,
    /// The order's place among those of the zone; the first is 1.
    pub number: u64,
    /// Whether nothing more is to be sent to the zone's upstreams; `false` takes the zone back.
    pub emptied: bool,
}

/// The last order of each zone that ever got one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrders {
    rows: Vec<ZoneOrder>,
}

impl ZoneOrders {
    /// The orders, in no particular order.
    pub fn rows(&self) -> &[ZoneOrder] {
        &self.rows
    }

    /// How many orders were taken, for all zones together: the later of two states has more.
    pub fn taken(&self) -> u64 {
        self.rows.iter().map(|row| row.number).sum()
    }

    /// The number of a zone's last order; 0 when it never got one.
    pub fn last_number(&self, zone: &str) -> u64 {
        self.row(zone).map_or(0, |row| row.number)
    }

    /// Whether nothing may be sent to a zone's upstreams.
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.row(zone).is_some_and(|row| row.emptied)
    }

    fn row(&self, zone: &str) -> Option<&ZoneOrder> {
        self.rows.iter().find(|row| row.zone == zone)
    }

    /// Takes an order; false when another was taken first.
    pub fn take(&mut self, order: ZoneOrder) -> bool {
        if order.number != self.last_number(&order.zone) + 1 {
            return false;
        }
        self.rows.retain(|row| row.zone != order.zone);
        self.rows.push(order);
        true
    }

    /// The orders, for a reader that holds `known` of them; `None` when that is all.
    pub fn news(&self, known: u64) -> Option<ZoneOrders> {
        (self.taken() != known).then(|| self.clone())
    }

    /// Takes a later state of all zones; returns the one before, when there was something to take.
    pub fn take_later(&mut self, other: ZoneOrders) -> Option<ZoneOrders> {
        (other.taken() > self.taken()).then(|| std::mem::replace(self, other))
    }
}
