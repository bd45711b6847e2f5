//! The monotonic clock and the wall clock of a node. Code that decides gets the time as an argument, read
//! here.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The value of the monotonic clock when the VM booted, in milliseconds. It is above 0, so that tables can use
/// 0 for "never".
const START_MS: u64 = 1_000_000;
/// The resolution of the clock, in milliseconds: the actual time may be later by nearly this much than the
/// value that is read.
pub const CLOCK_STEP_MS: u64 = 1;

/// A node's monotonic clock.
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
    /// The monotonic time in milliseconds since the VM booted. It includes time in which the VM was suspended, so
    /// that a lease, a proof or a deadline ages on this VM as it does on the others.
    pub fn now_ms(&self) -> u64 {
        START_MS + since_boot().as_millis() as u64
    }

    /// Whether a time that another VM echoes was read by this process. An answer to an earlier process of this
    /// VM may arrive late.
    pub fn is_own_time(&self, time_ms: u64) -> bool {
        let started_ms = START_MS + self.start.as_millis() as u64;
        (started_ms..=self.now_ms()).contains(&time_ms)
    }

    /// [`NodeClock::now_ms`] plus one step of the clock: no event that has happened yet is later. A span that
    /// another process measures from an event of just now is counted from here, since it could otherwise end
    /// too early by up to one step.
    pub fn next_ms(&self) -> u64 {
        self.now_ms() + CLOCK_STEP_MS
    }

    /// Milliseconds since this clock was created, including time in which the VM was suspended.
    pub fn age_ms(&self) -> u64 {
        since_boot().saturating_sub(self.start).as_millis() as u64
    }
}

/// The time since the VM booted, suspensions included: `CLOCK_BOOTTIME` of Linux. [`Instant`] reads
/// `CLOCK_MONOTONIC`, which stands still while the VM is suspended.
fn since_boot() -> Duration {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: `time` is a timespec of this frame, which the call fills and doesn't keep.
    let read = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    match read {
        0 => Duration::new(time.tv_sec as u64, time.tv_nsec as u32),
        _ => since_first_call(),
    }
}

/// The time since the first call, for a system without `CLOCK_BOOTTIME`.
fn since_first_call() -> Duration {
    static FIRST: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Milliseconds since 1970, by the VM's clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
