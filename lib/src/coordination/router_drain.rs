//! The decision when a draining router may stop.
//!
//! Callers cache addresses for a while, so a router serves until no request has been in flight for
//! [`LINGER_MS`] after its leaving was announced. The end of a drain never depends on the keepers,
//! which may all be unreachable.

/// How long a router must have been idle before it stops, in milliseconds.
pub const LINGER_MS: u64 = 1500;
/// How long a router waits for the keepers to acknowledge that it leaves, in milliseconds. After that
/// it proceeds as if they had.
pub const LEAVE_WAIT_MS: u64 = 3000;

/// The progress of one drain.
#[derive(Clone, Copy, Debug)]
pub struct DrainWatch {
    started_ms: u64,
    max_ms: u64,
    idle_since_ms: Option<u64>,
}

/// What a drain does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStep {
    /// Continue to serve.
    Serve,
    /// Stop, even if requests are in flight.
    Stop,
}

impl DrainWatch {
    /// Creates the state of a drain that began at `now_ms` and ends after `max_ms` at the latest.
    pub fn new(now_ms: u64, max_ms: u64) -> DrainWatch {
        DrainWatch { started_ms: now_ms, max_ms, idle_since_ms: None }
    }

    /// Decides the next step. `leave_ended` is whether the attempt to notify the keepers is over,
    /// successful or not.
    pub fn step(&mut self, in_flight: usize, leave_ended: bool, now_ms: u64) -> DrainStep {
        let elapsed_ms = now_ms.saturating_sub(self.started_ms);
        let announced = leave_ended || elapsed_ms >= LEAVE_WAIT_MS;
        self.idle_since_ms = match in_flight == 0 && announced {
            true => self.idle_since_ms.or(Some(now_ms)),
            false => None,
        };
        let lingered = self.idle_since_ms.is_some_and(|since| now_ms >= since + LINGER_MS);
        match lingered || elapsed_ms >= self.max_ms {
            true => DrainStep::Stop,
            false => DrainStep::Serve,
        }
    }
}
