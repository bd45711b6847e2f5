//! The two clocks of a node. Decisions take their time as an argument; it comes from here.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time starts here, so that "never" can be 0 in tables.
const START_MS: u64 = 1_000_000;

/// A node's clocks.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
}

impl Default for NodeClock {
    fn default() -> NodeClock {
        NodeClock { start: Instant::now() }
    }
}

impl NodeClock {
    /// Milliseconds that never fall; comparable within this process only.
    pub fn now_ms(&self) -> u64 {
        START_MS + self.age_ms()
    }

    /// Milliseconds since this process made the clock.
    pub fn age_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Milliseconds since 1970, by the VM's clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
