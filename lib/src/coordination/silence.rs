//! Failure detection for unresponsive upstreams.
//!
//! A machine without power, or behind a network partition, sends nothing: a VM that connects to it, or
//! waits for an answer on an open connection, only detects that by a timeout. A VM that waited longer
//! than connections usually take suspects the upstream and reports that to the leader. The leader
//! probes the upstream itself, and declares it unresponsive when two VMs, itself included, cannot reach
//! it and no VM gets answers from it any more. It keeps probing, and withdraws the declaration as soon
//! as it reaches the upstream or other VMs get answers. The detector works by counts; the alternatives
//! are in `docs/design/silence.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::state::ids::UpstreamKey;

/// How long one VM's suspicion of an upstream counts, in milliseconds. A VM that still gets no answer
/// reports it again.
const SUSPICION_KEEP_MS: u64 = 1500;
/// How many VMs, the leader included, must fail to reach an upstream before it is declared
/// unresponsive.
const MIN_SUSPECTING_VMS: usize = 2;
/// The pause between two probes of one upstream by the leader, in milliseconds. A connection attempt
/// that is not answered costs one packet.
const PROBE_PAUSE_MS: u64 = 300;
/// The half-life of reported successful requests, in milliseconds. Reports are up to 300 ms old, and an
/// upstream that has just become unresponsive answered some requests shortly before.
const SUCCESS_HALF_LIFE_MS: f64 = 150.0;
/// The number of successful requests, weighted by age, that outweighs the suspicion of one VM.
const SUCCESSES_PER_SUSPICION: f64 = 1.0;

/// The revision of a set of unresponsive upstreams: a hash of its members. It lets the leader send the
/// set only to VMs that hold another one: by calculation, 1000 unresponsive upstreams sent to 300 VMs
/// with each answer would fill three quarters of the leader's link of 100 Mbit/s.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresponsiveRevision(u64);

impl UnresponsiveRevision {
    /// Returns the revision of a sorted set; the revision of the empty set is the default.
    pub fn of(unresponsive: &[UpstreamKey]) -> UnresponsiveRevision {
        if unresponsive.is_empty() {
            return UnresponsiveRevision::default();
        }
        let mut hash = Xxh3::new();
        unresponsive.iter().for_each(|key| hash.update(&key.0.to_le_bytes()));
        UnresponsiveRevision(hash.digest())
    }
}

/// An adaptive connect timeout, estimated from the connections that were established.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectTimeout {
    mean_ms: f64,
    deviation_ms: f64,
    samples: u32,
}

/// The number of observed connections before the estimate is used.
const MIN_SAMPLES: u32 = 8;
/// The shortest and the longest connect timeout, in milliseconds. The kernel sends a lost packet again
/// only after a second, so waiting longer gains nothing. A congested link of this VM slows all
/// connections, so the estimate follows it.
pub const CONNECT_TIMEOUT_BOUNDS_MS: (f64, f64) = (120.0, 400.0);
/// The weight of each new connection in the moving averages of time and deviation.
const TIMEOUT_WEIGHT: f64 = 0.1;
/// The number of mean deviations above the mean time that the timeout allows.
const TIMEOUT_DEVIATIONS: f64 = 6.0;

impl ConnectTimeout {
    /// Adds a connection that was established after `took_ms`.
    pub fn note(&mut self, took_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let off = took_ms - self.mean_ms;
        self.mean_ms += TIMEOUT_WEIGHT * off;
        self.deviation_ms += TIMEOUT_WEIGHT * (off.abs() - self.deviation_ms);
    }

    /// Returns the timeout for the next connection, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        let (least, most) = CONNECT_TIMEOUT_BOUNDS_MS;
        match self.samples < MIN_SAMPLES {
            true => most as u64,
            false => {
                let wait = self.mean_ms + TIMEOUT_DEVIATIONS * self.deviation_ms;
                wait.clamp(least, most) as u64
            }
        }
    }
}

/// What the leader has of one suspected upstream.
#[derive(Clone, Debug, Default)]
struct SilenceRow {
    /// The VMs that suspect the upstream, and when each last reported it.
    suspecting_vms: BTreeMap<u32, u64>,
    /// Successful requests that VMs reported, weighted by age as of `successes_ms`.
    successes: f64,
    successes_ms: u64,
    /// When the leader's last probe ended.
    probed_ms: Option<u64>,
    /// Whether the leader is probing the upstream now.
    probing: bool,
    unresponsive: bool,
}

impl SilenceRow {
    /// Drops expired suspicions and discounts the successes by their age.
    fn discount(&mut self, now_ms: u64) {
        self.suspecting_vms.retain(|_, at_ms| *at_ms + SUSPICION_KEEP_MS > now_ms);
        let age_ms = now_ms.saturating_sub(self.successes_ms) as f64;
        self.successes *= 0.5f64.powf(age_ms / SUCCESS_HALF_LIFE_MS);
        self.successes_ms = now_ms;
    }

    /// Decides anew whether the upstream is unresponsive.
    fn decide(&mut self, now_ms: u64) {
        self.discount(now_ms);
        let suspecting_vms = self.suspecting_vms.len();
        let answered = self.successes >= SUCCESSES_PER_SUSPICION * suspecting_vms as f64;
        self.unresponsive = suspecting_vms >= MIN_SUSPECTING_VMS && !answered;
    }
}

/// The leader's table of suspected and unresponsive upstreams.
#[derive(Clone, Debug, Default)]
pub struct SilenceTable {
    term: u64,
    rows: BTreeMap<UpstreamKey, SilenceRow>,
}

impl SilenceTable {
    /// Notes that VM `vm` reported to the leader of `term` that it suspects an upstream.
    pub fn suspect(&mut self, term: u64, upstream: UpstreamKey, vm: u32, now_ms: u64) {
        self.begin_term(term);
        let row = self.rows.entry(upstream).or_default();
        row.suspecting_vms.insert(vm, now_ms);
        row.decide(now_ms);
    }

    /// Notes that a VM reported a number of successful requests to an upstream.
    pub fn note_successes(&mut self, upstream: UpstreamKey, sends: u16, now_ms: u64) {
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.discount(now_ms);
            row.successes += f64::from(sends);
            row.decide(now_ms);
        }
    }

    /// Returns the upstreams that the leader should probe now, and notes that their probes run.
    pub fn due_probes(&mut self, now_ms: u64) -> Vec<UpstreamKey> {
        let due = |row: &SilenceRow| {
            !row.probing
                && row.probed_ms.is_none_or(|probed_ms| probed_ms + PROBE_PAUSE_MS <= now_ms)
        };
        let rows = self.rows.iter_mut().filter(|(_, row)| due(row));
        rows.map(|(upstream, row)| {
            row.probing = true;
            *upstream
        })
        .collect()
    }

    /// Notes the result of a probe by the leader, which is VM `leader`.
    pub fn note_probe(&mut self, upstream: UpstreamKey, leader: u32, reached: bool, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        (row.probing, row.probed_ms) = (false, Some(now_ms));
        match reached {
            true => drop(self.rows.remove(&upstream)),
            false => {
                // VMs send nothing to an unresponsive upstream and so report no new failures. Their
                // suspicions are renewed while the leader cannot reach it either.
                if row.unresponsive {
                    row.suspecting_vms.values_mut().for_each(|at_ms| *at_ms = now_ms);
                }
                row.suspecting_vms.insert(leader, now_ms);
                row.decide(now_ms);
                if row.suspecting_vms.len() < MIN_SUSPECTING_VMS {
                    self.rows.remove(&upstream);
                }
            }
        }
    }

    /// Notes that the leader skipped a probe because the upstream requested a pause from it. The
    /// suspicions of other VMs expire as usual.
    pub fn note_probe_skipped(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        (row.probing, row.probed_ms) = (false, Some(now_ms));
        row.decide(now_ms);
        if row.suspecting_vms.is_empty() {
            self.rows.remove(&upstream);
        }
    }

    /// Returns the unresponsive upstreams, sorted.
    pub fn unresponsive(&self) -> Vec<UpstreamKey> {
        let unresponsive = self.rows.iter().filter(|(_, row)| row.unresponsive);
        unresponsive.map(|(upstream, _)| *upstream).collect()
    }

    /// Removes upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.rows.retain(|upstream, _| known(*upstream));
    }

    /// Clears the table when a new term begins. VMs that still get no answer report again.
    fn begin_term(&mut self, term: u64) {
        if term != self.term {
            *self = SilenceTable { term, ..SilenceTable::default() };
        }
    }
}

/// The unresponsive upstreams as one VM sees them: its own failed attempts and the leader's
/// published set.
#[derive(Clone, Debug, Default)]
pub struct SilenceView {
    published: Vec<UpstreamKey>,
    published_ms: u64,
    own_ms: BTreeMap<UpstreamKey, u64>,
    /// Suspected upstreams that are not reported to the leader yet.
    suspicions: Vec<UpstreamKey>,
    probed_ms: BTreeMap<UpstreamKey, u64>,
}

/// How long a set that the leader published is valid, in milliseconds. The leader confirms it every
/// 300 ms.
const PUBLISHED_KEEP_MS: u64 = 1000;
/// How long a failed attempt of this VM marks an upstream as unresponsive, in milliseconds.
const OWN_KEEP_MS: u64 = 1000;
/// The shortest time between two probes by one VM of an upstream from which it awaits an answer, in
/// milliseconds.
const OWN_PROBE_MS: u64 = 500;

impl SilenceView {
    /// Returns the revision of the set that the leader published last.
    pub fn revision(&self) -> UnresponsiveRevision {
        UnresponsiveRevision::of(&self.published)
    }

    /// Notes that the leader confirmed the set that it published last.
    pub fn confirm(&mut self, now_ms: u64) {
        self.published_ms = now_ms;
    }

    /// Takes the set of unresponsive upstreams that the leader published. Returns whether it differs
    /// from the previous one.
    pub fn take(&mut self, unresponsive: Vec<UpstreamKey>, now_ms: u64) -> bool {
        self.published_ms = now_ms;
        let other = self.published != unresponsive;
        self.published = unresponsive;
        other
    }

    /// Notes that this VM could not reach an upstream, for reasons that may lie with this VM, so that it
    /// isn't reported.
    pub fn avoid(&mut self, upstream: UpstreamKey, now_ms: u64) {
        self.own_ms.insert(upstream, now_ms);
    }

    /// Notes that this VM could not reach an upstream.
    pub fn suspect(&mut self, upstream: UpstreamKey, now_ms: u64) {
        self.avoid(upstream, now_ms);
        if !self.suspicions.contains(&upstream) {
            self.suspicions.push(upstream);
        }
    }

    /// Notes that this VM reached an upstream.
    pub fn reached(&mut self, upstream: UpstreamKey) {
        self.own_ms.remove(&upstream);
        self.suspicions.retain(|suspected| *suspected != upstream);
    }

    /// Returns the suspected upstreams to report to the leader, and clears them.
    pub fn take_suspicions(&mut self) -> Vec<UpstreamKey> {
        std::mem::take(&mut self.suspicions)
    }

    /// Returns the set that the leader published, or nothing once it is no longer valid.
    pub fn published(&self, now_ms: u64) -> &[UpstreamKey] {
        match self.published_ms + PUBLISHED_KEEP_MS > now_ms {
            true => &self.published,
            false => &[],
        }
    }

    /// Returns the upstreams that are unresponsive by the leader's set or this VM's own attempts. An
    /// upstream may occur twice.
    pub fn unresponsive(&self, now_ms: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        let own = self.own_ms.iter().filter(move |(_, at_ms)| **at_ms + OWN_KEEP_MS > now_ms);
        self.published(now_ms).iter().copied().chain(own.map(|(key, _)| *key))
    }

    /// Returns whether an upstream is unresponsive as far as this VM can determine.
    pub fn is_unresponsive(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.unresponsive(now_ms).any(|unresponsive| unresponsive == upstream)
    }

    /// Returns whether to probe an upstream that does not answer now, and notes that it is probed.
    pub fn begin_probe(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let probed = self.probed_ms.get(&upstream);
        let again = probed.is_none_or(|probed_ms| probed_ms + OWN_PROBE_MS <= now_ms);
        if again {
            self.probed_ms.insert(upstream, now_ms);
        }
        again
    }

    /// Removes upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.own_ms.retain(|upstream, _| known(*upstream));
        self.probed_ms.retain(|upstream, _| known(*upstream));
        self.suspicions.retain(|upstream| known(*upstream));
    }
}
