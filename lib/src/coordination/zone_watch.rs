//! Which zones one VM leaves alone, and which upstreams it takes for cold after a zone came back.
//!
//! Orders are sent with the leader's grants. Without a grant, the last one received holds: a VM
//! that hears no leader doesn't say that it is ready, and one that is asked all the same sends
//! nothing to a zone that was emptied as far as it knows. See `docs/design/zones.md`.

use std::collections::BTreeMap;

use crate::state::zone_order::ZoneOrders;

/// The orders as one VM received them.
#[derive(Clone, Debug, Default)]
pub struct ZoneWatch {
    /// The last order of each zone.
    pub orders: ZoneOrders,
    /// When this VM learned that a zone is taken back.
    taken_back_ms: BTreeMap<String, u64>,
}

/// What a VM received of one zone, for its log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneChange {
    /// The zone.
    pub zone: String,
    /// Whether it is emptied now.
    pub emptied: bool,
}

impl ZoneWatch {
    /// Takes received orders, unless they are older than what is known; returns the zones that are
    /// emptied or taken back by it.
    pub fn take(&mut self, orders: ZoneOrders, now_ms: u64) -> Vec<ZoneChange> {
        let Some(before) = self.orders.take_later(orders) else { return Vec::new() };
        let other = |zone: &str, emptied| before.is_evacuated(zone) != emptied;
        let rows = self.orders.rows().iter();
        let changes: Vec<ZoneChange> = rows
            .filter(|row| other(&row.zone, row.evacuated))
            .map(|row| ZoneChange { zone: row.zone.clone(), emptied: row.evacuated })
            .collect();
        for change in &changes {
            match change.emptied {
                true => drop(self.taken_back_ms.remove(&change.zone)),
                false => drop(self.taken_back_ms.insert(change.zone.clone(), now_ms)),
            }
        }
        changes
    }

    /// Whether any zone is emptied.
    pub fn any_emptied(&self) -> bool {
        self.orders.rows().iter().any(|row| row.evacuated)
    }

    /// Whether nothing is sent to a zone's upstreams.
    pub fn is_emptied(&self, zone: &str) -> bool {
        self.orders.is_evacuated(zone)
    }

    /// Whether a zone came back so lately that its upstreams may be cold without the list's saying
    /// so: the list was surely the platform's at `news_ms`, and may have lagged by `lag_ms` then.
    pub fn may_be_cold(&self, zone: &str, news_ms: u64, lag_ms: u64) -> bool {
        self.taken_back_ms.get(zone).is_some_and(|back_ms| news_ms < back_ms + lag_ms)
    }
}
