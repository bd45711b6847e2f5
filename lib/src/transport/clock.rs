//! The two clocks of a node. Decisions take their time as an argument; it comes from here.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic time starts here, so that "never" can be 0 in tables.
const START_MS: u64 = 1_000_000;
/// The step of the clock, in milliseconds: a moment may be nearly this much later than it is read.
pub const CLOCK_STEP_MS: u64 = 1;

/// A node's clocks.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Duration,
}

impl Default for NodeClock {
    fn default() -> NodeClock {
        NodeClock { start: since_boot() }
    }
}

impl NodeClock {
    /// Milliseconds that never fall; comparable within this process only. The time in which the VM was
    /// suspended is counted, so that a lease, a proof or a deadline is as old after it as it is for
    /// everybody else.
    pub fn now_ms(&self) -> u64 {
        START_MS + self.age_ms()
    }

    /// The step after the present one, by the same clock: nothing that has happened yet is later. A span that
    /// somebody else bounds from an event of a moment ago counts from it, lest it end up to a step too soon.
    pub fn next_ms(&self) -> u64 {
        self.now_ms() + CLOCK_STEP_MS
    }

    /// Milliseconds since this process made the clock, likewise.
    pub fn age_ms(&self) -> u64 {
        since_boot().saturating_sub(self.start).as_millis() as u64
    }
}

/// The time since the VM's start, suspensions included: `CLOCK_BOOTTIME` of Linux. [`Instant`] reads
/// `CLOCK_MONOTONIC`, which stands still meanwhile.
fn since_boot() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a timespec of this frame, which the call fills and doesn't keep.
    let read = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    match read {
        0 => Duration::new(time.tv_sec as u64, time.tv_nsec as u32),
        _ => since_first_asked(),
    }
}

/// What a system without that clock has.
fn since_first_asked() -> Duration {
    static FIRST: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Milliseconds since 1970, by the VM's clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
