//! The bound on an engine's load, as a rule of admission.
//!
//! Work is counted in tokens: uncached prompt tokens plus expected output tokens.
//! A home admits to an engine only while the engine's work is below
//! `multiple * mean`, so an engine is above the bound by at most the one request
//! that crossed it. See `docs/design/admission.md`.

use serde::{Deserialize, Serialize};

/// By how much of itself the mean may have fallen in one second since it was reported.
///
/// Taken from `wingshed replay`: see `docs/design/admission.md` for the measurement.
pub const MEAN_FALL_PER_S: f64 = 0.2;
/// However old the mean is, at least this share of it is counted on.
pub const MEAN_FLOOR: f64 = 0.5;

/// What a fleet's rules say of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRule {
    /// No engine is given work at or above this multiple of the mean.
    pub multiple: f64,
    /// Nor more requests at once than this.
    pub most_requests: u32,
}

/// The load of one fleet, as one router knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetLoad {
    /// Work in flight over the whole fleet.
    pub work: u64,
    /// Engines that take work.
    pub engines: u32,
    /// The largest request elsewhere, which may have ended since it was reported.
    pub largest_reported: u64,
    /// The age of the oldest part of `work`, in milliseconds.
    pub age_ms: u64,
}

/// The work that an engine must be below to be given `work` more.
///
/// The request itself counts in the mean, so that an idle fleet takes a first request.
pub fn admission_bound(load: &FleetLoad, multiple: f64, work: u64) -> f64 {
    let age_s = load.age_ms as f64 / 1000.0;
    let kept = (1.0 - MEAN_FALL_PER_S * age_s).max(MEAN_FLOOR);
    // A large request may have ended since, all at once.
    let lasting = load.work.saturating_sub(load.largest_reported);
    let mean = (lasting as f64 * kept + work as f64) / load.engines.max(1) as f64;
    multiple * mean
}

/// Whether an engine with `in_flight` work may be given `work` more.
pub fn may_admit(in_flight: u64, load: &FleetLoad, multiple: f64, work: u64) -> bool {
    (in_flight as f64) < admission_bound(load, multiple, work)
}
