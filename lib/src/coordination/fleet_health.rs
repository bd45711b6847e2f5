//! Detects upstreams that fail for all VMs, from the outcomes of all VMs together.
//!
//! A VM ejects an upstream after several failures in a row. Where 300 VMs share 240 engines, each
//! VM sends to an engine once a minute or so, and an engine that breaks every request is not
//! ejected until each VM has failed there several times. So VMs report the outcomes of their sends
//! to the leader with their renewals, and the leader's answers name the upstreams that failed
//! nearly all of them. Invariants: an upstream that serves some requests is never flagged, however
//! often it fails, because what it has cached is worth more than what it loses; at most a fraction
//! of a service is flagged; a flag lasts for a while, and then new failures are needed. See
//! `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::vm_roster::MANY_VMS;
use crate::state::ids::UpstreamKey;

/// The maximum number of reports in one renewal of a VM, about 12 bytes each; the rest is sent with
/// the next one.
pub const REPORTS_PER_RENEWAL: usize = 64;
/// The number of failures, weighted by age, from which an upstream is flagged: for instance four
/// within half a second.
pub const MIN_FAILURES: f64 = 3.5;
/// The number of failures, weighted by age, for an upstream that was flagged before and has served
/// nothing since. It is lower because all VMs try the upstream at once each time its flag ends.
pub const MIN_REPEAT_FAILURES: f64 = 1.5;
/// The maximum number of successes of a flagged upstream, as a fraction of its failures.
pub const MAX_SUCCESS_RATIO: f64 = 0.1;
/// The half-life of a report's weight, in milliseconds.
const HALF_LIFE_MS: f64 = 1000.0;
/// How long the first flag lasts, in milliseconds; the time doubles with each further one.
pub const FIRST_FLAG_MS: u64 = 2000;
/// The maximum number of times that the duration of a flag doubles.
const MAX_DOUBLINGS: u32 = 4;
/// The maximum fraction of a service's upstreams that is flagged at once.
pub const MAX_FLAGGED_SHARE: f64 = 0.34;

/// Whether a leader of `vms` VMs flags failing upstreams. In a small fleet each VM sends to a
/// broken upstream often enough to eject it by itself, so a flag would only move the prompts that
/// the upstream has cached. On three weak days of a site of 10 VMs it makes no difference beyond
/// the variation between runs.
pub fn flags_failing(vms: usize) -> bool {
    vms >= MANY_VMS
}

/// The outcomes of a VM's sends to one upstream since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The number of sends whose answer was successful and complete.
    #[serde(rename = "well")]
    pub succeeded: u16,
    /// The number of sends that broke, got a failure for an answer, or got no answer.
    pub failed: u16,
}

/// The outcomes that a VM has yet to report.
#[derive(Clone, Debug, Default)]
pub struct HealthOutbox {
    counts: BTreeMap<UpstreamKey, (u16, u16)>,
}

impl HealthOutbox {
    /// Records that a send ended.
    pub fn note(&mut self, upstream: UpstreamKey, went_well: bool) {
        let (succeeded, failed) = self.counts.entry(upstream).or_default();
        let count = if went_well { succeeded } else { failed };
        *count = count.saturating_add(1);
    }

    /// Removes and returns the reports for the next renewal.
    pub fn take(&mut self) -> Vec<HealthReport> {
        let mut notes = Vec::new();
        while notes.len() < REPORTS_PER_RENEWAL {
            let Some((upstream, (succeeded, failed))) = self.counts.pop_first() else { break };
            notes.push(HealthReport { upstream, succeeded, failed });
        }
        notes
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct HealthRow {
    succeeded: f64,
    failed: f64,
    at_ms: u64,
    flagged_until_ms: u64,
    flags: u32,
}

impl HealthRow {
    fn age(&mut self, now_ms: u64) {
        let weight = 0.5f64.powf(now_ms.saturating_sub(self.at_ms) as f64 / HALF_LIFE_MS);
        (self.succeeded, self.failed, self.at_ms) =
            (self.succeeded * weight, self.failed * weight, now_ms);
    }
}

/// The outcomes that were reported to a leader.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    term: u64,
    rows: HashMap<UpstreamKey, HealthRow>,
}

impl HealthTable {
    /// Adds what a VM reported to the leader of `term`, and returns the upstreams that are flagged
    /// as failing because of it. `fleet` gives the upstreams of the same service as an upstream.
    pub fn take<F: Iterator<Item = UpstreamKey>>(
        &mut self,
        term: u64,
        notes: &[HealthReport],
        fleet: impl Fn(UpstreamKey) -> F,
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        if term != self.term {
            *self = HealthTable { term, ..HealthTable::default() };
        }
        let mut fresh = Vec::new();
        for note in notes {
            let row = self.rows.entry(note.upstream).or_default();
            if row.flagged_until_ms > now_ms {
                // The request was sent before the upstream was flagged.
                continue;
            }
            row.age(now_ms);
            row.succeeded += f64::from(note.succeeded);
            row.failed += f64::from(note.failed);
            if row.succeeded >= MIN_FAILURES && row.succeeded > row.failed {
                row.flags = 0;
            }
            let least = if row.flags > 0 { MIN_REPEAT_FAILURES } else { MIN_FAILURES };
            let fails = row.failed >= least && row.succeeded <= MAX_SUCCESS_RATIO * row.failed;
            if fails && self.flag(note.upstream, fleet(note.upstream), now_ms) {
                fresh.push(note.upstream);
            }
        }
        fresh
    }

    /// Flags an upstream as failing, unless too many of its service are flagged; returns whether it
    /// did.
    fn flag(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        now_ms: u64,
    ) -> bool {
        let (mut all, mut flagged) = (0, 0);
        for other in fleet {
            all += 1;
            flagged += usize::from(self.is_flagged(other, now_ms));
        }
        if flagged + 1 > (f64::from(all) * MAX_FLAGGED_SHARE) as usize {
            return false;
        }
        let row = self.rows.entry(upstream).or_default();
        row.flagged_until_ms = now_ms + (FIRST_FLAG_MS << row.flags.min(MAX_DOUBLINGS));
        row.flags += 1;
        (row.succeeded, row.failed) = (0.0, 0.0);
        true
    }

    fn is_flagged(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.rows.get(&upstream).is_some_and(|row| row.flagged_until_ms > now_ms)
    }

    /// The upstreams that are flagged as failing now.
    pub fn flagged(&self, now_ms: u64) -> Vec<UpstreamKey> {
        let rows = self.rows.iter().filter(|(_, row)| row.flagged_until_ms > now_ms);
        rows.map(|(upstream, _)| *upstream).collect()
    }

    /// Removes the upstreams for which `known` returns false.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.rows.retain(|upstream, _| known(*upstream));
    }
}
