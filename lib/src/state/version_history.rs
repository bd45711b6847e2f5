//! Which software versions the upstreams of each service have and had, as the list showed them to
//! one VM.
//!
//! A version that has left the list still counts for a while, since a stream that began there may
//! be resumed later. See `docs/design/stream-versions.md`.

use std::collections::{BTreeMap, BTreeSet};

use super::ids::ServiceKey;
use super::rollout_order::VersionKey;

/// How long a version that has left the list is remembered, in milliseconds.
const LEFT_KEEP_MS: u64 = 24 * 3_600_000;

/// The time in which a service has upstreams of one version.
#[derive(Clone, Copy, Debug)]
struct VersionSpan {
    /// Upstreams that the list shows now.
    upstreams: u32,
    /// When the first one was listed.
    first_ms: u64,
    /// When the last one left the list; of no meaning while `upstreams` isn't 0.
    left_ms: u64,
}

impl VersionSpan {
    fn was_listed_within(&self, within_ms: u64, now_ms: u64) -> bool {
        self.upstreams > 0 || self.left_ms + within_ms > now_ms
    }
}

/// The versions of all services. Times are in milliseconds of the VM's steady clock.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    spans: BTreeMap<(ServiceKey, VersionKey), VersionSpan>,
    /// When the first list was applied.
    since_ms: Option<u64>,
    newly_several: BTreeSet<ServiceKey>,
}

impl VersionHistory {
    /// Notes that a list is applied.
    pub fn begin(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        self.spans.retain(|_, span| span.was_listed_within(LEFT_KEEP_MS, now_ms));
    }

    /// Notes that an upstream of this version is listed.
    pub fn add(&mut self, service: ServiceKey, version: VersionKey, now_ms: u64) {
        if let Some(span) = self.spans.get_mut(&(service, version)) {
            span.upstreams += 1;
            return;
        }
        if self.of_service(service).next().is_some() {
            self.newly_several.insert(service);
        }
        let span = VersionSpan { upstreams: 1, first_ms: now_ms, left_ms: 0 };
        self.spans.insert((service, version), span);
    }

    /// Notes that an upstream of this version is listed no longer.
    pub fn remove(&mut self, service: ServiceKey, version: VersionKey, now_ms: u64) {
        if let Some(span) = self.spans.get_mut(&(service, version)) {
            span.upstreams = span.upstreams.saturating_sub(1);
            span.left_ms = now_ms;
        }
    }

    /// The services that got a version beside an earlier one since the last call.
    pub fn take_newly_several(&mut self) -> BTreeSet<ServiceKey> {
        std::mem::take(&mut self.newly_several)
    }

    /// The versions that a service had within the last `within_ms` milliseconds.
    pub fn within(
        &self,
        service: ServiceKey,
        within_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = VersionKey> + '_ {
        let spans = self.of_service(service);
        spans
            .filter(move |(_, span)| span.was_listed_within(within_ms, now_ms))
            .map(|(version, _)| version)
    }

    /// Whether a service had several versions within the last `within_ms` milliseconds.
    pub fn had_several(&self, service: ServiceKey, within_ms: u64, now_ms: u64) -> bool {
        self.within(service, within_ms, now_ms).nth(1).is_some()
    }

    /// Whether this history reaches back `within_ms` milliseconds.
    pub fn covers(&self, within_ms: u64, now_ms: u64) -> bool {
        self.since_ms.is_some_and(|since_ms| since_ms + within_ms <= now_ms)
    }

    /// The versions of a service that were first listed less than `hold_ms` milliseconds ago, beside
    /// one that was listed before.
    pub fn new_versions(&self, service: ServiceKey, hold_ms: u64, now_ms: u64) -> Vec<VersionKey> {
        let is_new = |span: &VersionSpan| {
            span.first_ms + hold_ms > now_ms && Some(span.first_ms) > self.since_ms
        };
        let listed = || self.of_service(service).filter(|(_, span)| span.upstreams > 0);
        if listed().all(|(_, span)| is_new(&span)) {
            return Vec::new();
        }
        listed().filter(|(_, span)| is_new(span)).map(|(version, _)| version).collect()
    }

    fn of_service(
        &self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (VersionKey, VersionSpan)> + '_ {
        let all = (service, VersionKey(0))..=(service, VersionKey(u32::MAX));
        self.spans.range(all).map(|((_, version), span)| (*version, *span))
    }
}
