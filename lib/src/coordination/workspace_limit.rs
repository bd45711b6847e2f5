//! Limits the request rate and the requests in flight of each workspace at one router.

use std::collections::HashMap;

use crate::state::configuration::WorkspaceEntry;
use crate::state::ids::WorkspaceKey;

/// The multiple of its equal share of a workspace's limit that a router may use. It is above 1
/// because a workspace's chats do not spread evenly over the routers.
pub const SHARE_HEADROOM: f64 = 2.0;

#[derive(Clone, Debug, Default)]
struct WorkspaceUse {
    tokens: f64,
    filled_ms: u64,
    in_flight: u64,
}

/// Why a workspace's request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitRefusal {
    /// Too many requests a second; the caller should retry after this many milliseconds.
    Rate(u64),
    /// Too many requests in flight.
    InFlight,
}

/// What each workspace uses of its limits at one router.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    uses: HashMap<WorkspaceKey, WorkspaceUse>,
}

impl LimitTable {
    /// Admits one request of a workspace; `routers` is the number of routers in the system.
    pub fn enter(
        &mut self,
        key: WorkspaceKey,
        entry: &WorkspaceEntry,
        routers: usize,
        now_ms: u64,
    ) -> Result<(), LimitRefusal> {
        let share = (SHARE_HEADROOM / routers.max(1) as f64).min(1.0);
        let rate = (entry.rate as f64 * share).max(1.0);
        let most = (entry.in_flight as f64 * share).ceil().max(1.0) as u64;
        let fresh = WorkspaceUse { tokens: rate, filled_ms: now_ms, in_flight: 0 };
        let used = self.uses.entry(key).or_insert(fresh);
        let earned = now_ms.saturating_sub(used.filled_ms) as f64 * rate / 1000.0;
        used.tokens = (used.tokens + earned).min(rate);
        used.filled_ms = now_ms;
        if used.in_flight >= most {
            return Err(LimitRefusal::InFlight);
        }
        if used.tokens < 1.0 {
            let wait = (1.0 - used.tokens) * 1000.0 / rate;
            return Err(LimitRefusal::Rate(wait.ceil() as u64));
        }
        used.tokens -= 1.0;
        used.in_flight += 1;
        Ok(())
    }

    /// Records that a request ended.
    pub fn leave(&mut self, key: WorkspaceKey) {
        if let Some(used) = self.uses.get_mut(&key) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }

    /// Removes workspaces that are idle and whose token bucket is full again.
    pub fn expire(&mut self, now_ms: u64) {
        const IDLE_MS: u64 = 10_000;
        self.uses.retain(|_, used| used.in_flight > 0 || now_ms < used.filled_ms + IDLE_MS);
    }
}
