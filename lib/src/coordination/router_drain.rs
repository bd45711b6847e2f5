//! When a draining router may stop.
//!
//! Callers keep an address for a while, so a router serves until nothing has been in flight for
//! [`LINGER_MS`] since its peers could know that it leaves. It never depends on the keepers: they
//! may all be unreachable.

/// How long a router stays idle before it stops, in milliseconds.
pub const LINGER_MS: u64 = 1500;
/// After this long without an answer of the keepers the router drains as if it had one, in
/// milliseconds.
pub const LEAVE_WAIT_MS: u64 = 3000;

/// The progress of one drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainWatch {
    started_ms: u64,
    most_ms: u64,
    idle_since_ms: Option<u64>,
}

/// What a drain does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Goes on serving.
    Serve,
    /// Stops, whatever is in flight.
    Stop,
}

impl DrainWatch {
    /// A drain that began at `now_ms` and takes `most_ms` at the longest.
    pub fn new(now_ms: u64, most_ms: u64) -> DrainWatch {
        DrainWatch { started_ms: now_ms, most_ms, idle_since_ms: None }
    }

    /// Decides by the requests in flight and by whether the keepers were notified, or cannot be.
    pub fn step(&mut self, in_flight: usize, leave_ended: bool, now_ms: u64) -> DrainStep {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        let announced = leave_ended || elapsed_ms >= LEAVE_WAIT_MS;
        self.idle_since_ms = match in_flight == 0 && announced {
            true => self.idle_since_ms.or(Some(now_ms)),
            false => None,
        };
        let lingered = self.idle_since_ms.is_some_and(|since| now_ms >= since + LINGER_MS);
        match lingered || elapsed_ms >= self.most_ms {
            true => DrainStep::Stop,
            false => DrainStep::Serve,
        }
    }
}
