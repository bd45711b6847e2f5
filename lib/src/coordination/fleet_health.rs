//! Which upstreams fail all VMs that send to them, by the outcomes of all VMs together.
//!
//! A VM sets an upstream aside after some failures in a row. Where 300 VMs share 240 engines, each
//! sends to one of them every minute or so, and an engine that breaks every request is never set
//! aside: each VM must be failed by each such engine first. So VMs report to the leader with their renewals
//! how their sends went, well or not, and the leader names with its answers those that failed nearly
//! all of them. Invariants: one that serves some is never named, however often it fails, since what it
//! keeps is worth more than what it loses; at most a part of a service is named; a name holds for a
//! while and then has to be earned anew. See `docs/design/fleet-news.md`.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use super::vm_roster::MANY_VMS;
use crate::state::ids::UpstreamKey;

/// Notes that one VM sends with one renewal, some 12 bytes each; the rest waits for the next.
pub const REPORTS_PER_RENEWAL: usize = 64;
/// So many failures, weighted by age, are needed: four within half a second or so.
pub const LEAST_FAILED: f64 = 3.5;
/// And so many of one that was named before and has served nothing since: each time its name ends all
/// VMs try it at once.
pub const LEAST_FAILED_AGAIN: f64 = 1.5;
/// And so few that went well, as a part of those.
pub const WELL_BORNE: f64 = 0.1;
/// A report counts half after this long, in milliseconds.
const HALF_LIFE_MS: f64 = 1000.0;
/// How long the first name holds, in milliseconds; twice as long each further time.
pub const FIRST_NAMED_MS: u64 = 2000;
/// The most doublings.
const MOST_DOUBLINGS: u32 = 4;
/// At most this part of a service's upstreams is named at once.
pub const NAMED_SHARE: f64 = 0.34;

/// Whether a leader of so many VMs names upstreams. In a small fleet each VM meets a broken one often
/// enough to set it aside by itself, so that a name only sends elsewhere what it keeps. Three weak days of
/// a site of 10 VMs showed no difference beyond what plays differ by.
pub fn names_failing(vms: usize) -> bool {
    vms >= MANY_VMS
}

/// How a VM's sends to one upstream went since its last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Sends that were answered with success, to their end.
    pub well: u16,
    /// Sends that broke, were answered with a failure, or not at all.
    pub failed: u16,
}

/// What a VM has to report.
#[derive(Clone, Debug, Default)]
pub struct HealthOutbox {
    counts: BTreeMap<UpstreamKey, (u16, u16)>,
}

impl HealthOutbox {
    /// A send ended.
    pub fn note(&mut self, upstream: UpstreamKey, went_well: bool) {
        let (well, failed) = self.counts.entry(upstream).or_default();
        let count = if went_well { well } else { failed };
        *count = count.saturating_add(1);
    }

    /// The notes for the next renewal.
    pub fn take(&mut self) -> Vec<HealthReport> {
        let mut notes = Vec::new();
        while notes.len() < REPORTS_PER_RENEWAL {
            let Some((upstream, (well, failed))) = self.counts.pop_first() else { break };
            notes.push(HealthReport { upstream, well, failed });
        }
        notes
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct HealthRow {
    well: f64,
    failed: f64,
    at_ms: u64,
    named_until_ms: u64,
    times: u32,
}

impl HealthRow {
    fn age(&mut self, now_ms: u64) {
        let weight = 0.5f64.powf(now_ms.saturating_sub(self.at_ms) as f64 / HALF_LIFE_MS);
        (self.well, self.failed, self.at_ms) = (self.well * weight, self.failed * weight, now_ms);
    }
}

/// What was reported to a leader.
#[derive(Clone, Debug, Default)]
pub struct HealthTable {
    term: u64,
    rows: HashMap<UpstreamKey, HealthRow>,
}

impl HealthTable {
    /// Takes what a VM reported to the leader of `term`; `fleet` gives the upstreams of the service of one.
    /// Returns those that are named by it.
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
            if row.named_until_ms > now_ms {
                // Sent before it was named.
                continue;
            }
            row.age(now_ms);
            row.well += f64::from(note.well);
            row.failed += f64::from(note.failed);
            if row.well >= LEAST_FAILED && row.well > row.failed {
                row.times = 0;
            }
            let least = if row.times > 0 { LEAST_FAILED_AGAIN } else { LEAST_FAILED };
            let fails = row.failed >= least && row.well <= WELL_BORNE * row.failed;
            if fails && self.name(note.upstream, fleet(note.upstream), now_ms) {
                fresh.push(note.upstream);
            }
        }
        fresh
    }

    /// Names one, unless too many of its service are named; true when it did.
    fn name(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        now_ms: u64,
    ) -> bool {
        let (mut all, mut named) = (0, 0);
        for other in fleet {
            all += 1;
            named += usize::from(self.is_named(other, now_ms));
        }
        if named + 1 > (f64::from(all) * NAMED_SHARE) as usize {
            return false;
        }
        let row = self.rows.entry(upstream).or_default();
        row.named_until_ms = now_ms + (FIRST_NAMED_MS << row.times.min(MOST_DOUBLINGS));
        row.times += 1;
        (row.well, row.failed) = (0.0, 0.0);
        true
    }

    fn is_named(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.rows.get(&upstream).is_some_and(|row| row.named_until_ms > now_ms)
    }

    /// Those that are named now.
    pub fn named(&self, now_ms: u64) -> Vec<UpstreamKey> {
        let rows = self.rows.iter().filter(|(_, row)| row.named_until_ms > now_ms);
        rows.map(|(upstream, _)| *upstream).collect()
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.rows.retain(|upstream, _| known(*upstream));
    }
}
