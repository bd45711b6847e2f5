//! Admission control: the bound on an engine's load.
//!
//! Work is counted in tokens: uncached prompt tokens plus expected output tokens. A home admits a
//! request to an engine only while the engine's work is below `multiple * mean`, so an engine
//! exceeds the bound by at most the one request that crossed it. See `docs/design/admission.md`.

use serde::{Deserialize, Serialize};

/// The fraction of itself by which the mean may have fallen in each second since it was reported.
///
/// The value comes from measurements with `wingshed replay`; see `docs/design/admission.md`.
pub const MEAN_FALL_PER_S: f64 = 0.2;
/// The least fraction of a reported mean that is used, however old the report is.
pub const MEAN_FLOOR: f64 = 0.5;

/// The limits of a fleet for the load of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// An engine whose work is at or above this multiple of the mean is given no more work.
    pub multiple: f64,
    /// The maximum number of requests that an engine may have in flight.
    pub max_requests: u32,
}

/// The load of one fleet, as one router has received it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetLoad {
    /// Work in flight in the whole fleet, in tokens.
    pub work: u64,
    /// The number of engines that take work.
    pub engines: u32,
    /// The work of the largest request at another router, which may have ended since it was
    /// reported.
    pub largest_reported: u64,
    /// The age of the oldest part of `work`, in milliseconds.
    pub age_ms: u64,
}

/// The work below which an engine may be given a request of `work` tokens.
///
/// The request itself counts in the mean, so that an idle fleet admits its first request.
pub fn admission_bound(load: &FleetLoad, multiple: f64, work: u64) -> f64 {
    let age_s = load.age_ms as f64 / 1000.0;
    let kept = (1.0 - MEAN_FALL_PER_S * age_s).max(MEAN_FLOOR);
    // The largest reported request may have ended since, which removes all its work at once.
    let lasting = load.work.saturating_sub(load.largest_reported);
    let mean = (lasting as f64 * kept + work as f64) / load.engines.max(1) as f64;
    multiple * mean
}

/// Whether an engine with `in_flight` work may be given a request of `work` tokens.
pub fn may_admit(in_flight: u64, load: &FleetLoad, multiple: f64, work: u64) -> bool {
    (in_flight as f64) < admission_bound(load, multiple, work)
}
