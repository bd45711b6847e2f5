//! Upstreams that are silent: found by few VMs, known to all.
//!
//! A machine without power, or behind a cut, says nothing: a VM that connects to it, or waits for it on
//! an open connection, learns that only by waiting. A VM that waited longer than connecting takes
//! there doubts the upstream and reports to the leader; the leader tries by itself, and calls the upstream
//! dark when two VMs, itself included, cannot reach it and no VM is answered by it any more. It tries
//! again and again, and takes the name back as soon as it reaches it or others are answered. A failure
//! detector by counts, after two ways that were weighed: see `docs/design/silence.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::state::ids::UpstreamKey;

/// A doubt counts for this long, in milliseconds: a VM that goes on meeting silence doubts again.
const DOUBT_KEEP_MS: u64 = 1500;
/// VMs that must fail to reach an upstream, the leader included.
const DOUBTERS: usize = 2;
/// The leader tries an upstream again after this long, in milliseconds; a connection that no process
/// answers costs a packet.
const TRY_AGAIN_MS: u64 = 300;
/// A report of answered sends counts half after this long, in milliseconds: reports are
/// up to 300 ms old, and one that has just gone dark has answered some a moment ago.
const HEARD_HALF_LIFE_MS: f64 = 150.0;
/// Of the sends reported to go well so many, weighted by age, outweigh one VM's doubt.
const HEARD_A_DOUBT: f64 = 1.0;

/// Names a set of dark upstreams. Worked out, not measured: with a thousand of them dark, 300 VMs that were
/// sent all of them with each answer would fill a leader's link of 100 Mbit/s by three quarters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DarkMark(u64);

impl DarkMark {
    /// The mark of a set, in order; that of the empty one is the default.
    pub fn of(dark: &[UpstreamKey]) -> DarkMark {
        if dark.is_empty() {
            return DarkMark::default();
        }
        let mut hash = Xxh3::new();
        dark.iter().for_each(|key| hash.update(&key.0.to_le_bytes()));
        DarkMark(hash.digest())
    }
}

/// How long to wait for a connection, as learned from those that came up.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectPatience {
    mean_ms: f64,
    deviation_ms: f64,
    seen: u32,
}

/// Connections seen before what was learned is trusted.
const LEAST_SEEN: u32 = 8;
/// The shortest and the longest wait, in milliseconds. A lost packet is sent again after a second, so
/// that waiting for it gains nothing; a full link of our own shows in all connections.
pub const PATIENCE_MS: (f64, f64) = (120.0, 400.0);
/// How fast it is learned, by connection, and how many deviations above the mean are waited for.
const PATIENCE_WEIGHT: f64 = 0.1;
const PATIENCE_DEVIATIONS: f64 = 6.0;

impl ConnectPatience {
    /// A connection came up after this long.
    pub fn note(&mut self, took_ms: f64) {
        self.seen = self.seen.saturating_add(1);
        let off = took_ms - self.mean_ms;
        self.mean_ms += PATIENCE_WEIGHT * off;
        self.deviation_ms += PATIENCE_WEIGHT * (off.abs() - self.deviation_ms);
    }

    /// How long the next one is waited for, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        let (least, most) = PATIENCE_MS;
        match self.seen < LEAST_SEEN {
            true => most as u64,
            false => {
                let wait = self.mean_ms + PATIENCE_DEVIATIONS * self.deviation_ms;
                wait.clamp(least, most) as u64
            }
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SilenceRow {
    /// Who doubts, and when they last did.
    doubters: BTreeMap<u32, u64>,
    /// Sends that went well since by others' reports, weighted by age.
    heard: f64,
    heard_ms: u64,
    /// When the leader last tried, and whether it is at it.
    tried_ms: Option<u64>,
    trying: bool,
    dark: bool,
}

impl SilenceRow {
    fn age(&mut self, now_ms: u64) {
        self.doubters.retain(|_, at_ms| *at_ms + DOUBT_KEEP_MS > now_ms);
        let age_ms = now_ms.saturating_sub(self.heard_ms) as f64;
        self.heard *= 0.5f64.powf(age_ms / HEARD_HALF_LIFE_MS);
        self.heard_ms = now_ms;
    }

    fn decide(&mut self, now_ms: u64) {
        self.age(now_ms);
        let doubters = self.doubters.len();
        let answered = self.heard >= HEARD_A_DOUBT * doubters as f64;
        self.dark = doubters >= DOUBTERS && !answered;
    }
}

/// What a leader knows of silent upstreams.
#[derive(Clone, Debug, Default)]
pub struct SilenceTable {
    term: u64,
    rows: BTreeMap<UpstreamKey, SilenceRow>,
}

impl SilenceTable {
    /// VM `vm` doubts an upstream, as reported to the leader of `term`.
    pub fn doubt(&mut self, term: u64, upstream: UpstreamKey, vm: u32, now_ms: u64) {
        self.begin_term(term);
        let row = self.rows.entry(upstream).or_default();
        row.doubters.insert(vm, now_ms);
        row.decide(now_ms);
    }

    /// Some sends to an upstream went well, as a VM reports.
    pub fn heard(&mut self, upstream: UpstreamKey, sends: u16, now_ms: u64) {
        if let Some(row) = self.rows.get_mut(&upstream) {
            row.age(now_ms);
            row.heard += f64::from(sends);
            row.decide(now_ms);
        }
    }

    /// The upstreams that the leader should try now; it is at them from now on.
    pub fn due(&mut self, now_ms: u64) -> Vec<UpstreamKey> {
        let due = |row: &SilenceRow| {
            !row.trying && row.tried_ms.is_none_or(|tried_ms| tried_ms + TRY_AGAIN_MS <= now_ms)
        };
        let rows = self.rows.iter_mut().filter(|(_, row)| due(row));
        rows.map(|(upstream, row)| {
            row.trying = true;
            *upstream
        })
        .collect()
    }

    /// The leader, which is VM `leader`, has tried.
    pub fn tried(&mut self, upstream: UpstreamKey, leader: u32, reached: bool, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        (row.trying, row.tried_ms) = (false, Some(now_ms));
        match reached {
            true => drop(self.rows.remove(&upstream)),
            false => {
                // While the leader can't reach it, those that leave it alone have no more to report.
                if row.dark {
                    row.doubters.values_mut().for_each(|at_ms| *at_ms = now_ms);
                }
                row.doubters.insert(leader, now_ms);
                row.decide(now_ms);
                if row.doubters.len() < DOUBTERS {
                    self.rows.remove(&upstream);
                }
            }
        }
    }

    /// The leader didn't try: the upstream wants rest from it. Others' doubts stand for as long as they do.
    pub fn left_alone(&mut self, upstream: UpstreamKey, now_ms: u64) {
        let Some(row) = self.rows.get_mut(&upstream) else { return };
        (row.trying, row.tried_ms) = (false, Some(now_ms));
        row.decide(now_ms);
        if row.doubters.is_empty() {
            self.rows.remove(&upstream);
        }
    }

    /// The upstreams that are dark, in order.
    pub fn dark(&self) -> Vec<UpstreamKey> {
        let dark = self.rows.iter().filter(|(_, row)| row.dark);
        dark.map(|(upstream, _)| *upstream).collect()
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.rows.retain(|upstream, _| known(*upstream));
    }

    fn begin_term(&mut self, term: u64) {
        if term != self.term {
            *self = SilenceTable { term, ..SilenceTable::default() };
        }
    }
}

/// What one VM knows of silent upstreams: by itself, and as the leader published it.
#[derive(Clone, Debug, Default)]
pub struct SilenceView {
    published: Vec<UpstreamKey>,
    published_ms: u64,
    own_ms: BTreeMap<UpstreamKey, u64>,
    /// Doubts to report to the leader.
    doubts: Vec<UpstreamKey>,
    tried_ms: BTreeMap<UpstreamKey, u64>,
}

/// What the leader published holds for this long, in milliseconds: it repeats it every 300.
const PUBLISHED_KEEP_MS: u64 = 1000;
/// What this VM found by itself holds for this long, in milliseconds.
const OWN_KEEP_MS: u64 = 1000;
/// A VM tries an upstream from which an answer is waited for at most this often, in milliseconds.
const OWN_TRY_MS: u64 = 500;

impl SilenceView {
    /// Which dark upstreams the leader published last.
    pub fn mark(&self) -> DarkMark {
        DarkMark::of(&self.published)
    }

    /// The leader confirms that what it published last still holds.
    pub fn confirm(&mut self, now_ms: u64) {
        self.published_ms = now_ms;
    }

    /// The leader published which upstreams are dark; true when others are than before.
    pub fn take(&mut self, dark: Vec<UpstreamKey>, now_ms: u64) -> bool {
        self.published_ms = now_ms;
        let other = self.published != dark;
        self.published = dark;
        other
    }

    /// This VM could not reach an upstream.
    pub fn doubt(&mut self, upstream: UpstreamKey, now_ms: u64) {
        self.own_ms.insert(upstream, now_ms);
        if !self.doubts.contains(&upstream) {
            self.doubts.push(upstream);
        }
    }

    /// This VM has reached an upstream.
    pub fn reached(&mut self, upstream: UpstreamKey) {
        self.own_ms.remove(&upstream);
        self.doubts.retain(|doubted| *doubted != upstream);
    }

    /// The doubts to report.
    pub fn take_doubts(&mut self) -> Vec<UpstreamKey> {
        std::mem::take(&mut self.doubts)
    }

    /// What the leader published, while that holds.
    pub fn published(&self, now_ms: u64) -> &[UpstreamKey] {
        match self.published_ms + PUBLISHED_KEEP_MS > now_ms {
            true => &self.published,
            false => &[],
        }
    }

    /// The upstreams that are dark, as far as this VM knows; some of them twice.
    pub fn dark(&self, now_ms: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        let own = self.own_ms.iter().filter(move |(_, at_ms)| **at_ms + OWN_KEEP_MS > now_ms);
        self.published(now_ms).iter().copied().chain(own.map(|(key, _)| *key))
    }

    /// Whether an upstream is dark, as far as this VM knows.
    pub fn is_dark(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.dark(now_ms).any(|dark| dark == upstream)
    }

    /// Whether to try now if an upstream that doesn't answer can be reached; notes that it is.
    pub fn begin_try(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        let tried = self.tried_ms.get(&upstream);
        let again = tried.is_none_or(|tried_ms| tried_ms + OWN_TRY_MS <= now_ms);
        if again {
            self.tried_ms.insert(upstream, now_ms);
        }
        again
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.own_ms.retain(|upstream, _| known(*upstream));
        self.tried_ms.retain(|upstream, _| known(*upstream));
        self.doubts.retain(|upstream| known(*upstream));
    }
}
