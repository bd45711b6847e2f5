//! Upstreams that fail are set aside on passive health checks, and tried again gently.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// Failures in a row that set an upstream aside.
pub const FAILURES_IN_A_ROW: u32 = 3;
/// The first time aside, in milliseconds; it doubles with each further time.
pub const FIRST_ASIDE_MS: u64 = 2000;
/// The longest time aside, in milliseconds.
pub const LONGEST_ASIDE_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct UpstreamHealth {
    gone: bool,
    failures: u32,
    /// Answers that it broke off since one that ended well.
    cuts: u32,
    times_aside: u32,
    aside_until_ms: u64,
    trial_running: bool,
}

/// What one router has seen of its upstreams.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    health: HashMap<UpstreamKey, UpstreamHealth>,
}

impl OutlierTable {
    /// A request succeeded.
    pub fn note_success(&mut self, upstream: UpstreamKey) {
        if !self.is_gone(upstream) {
            self.health.remove(&upstream);
        }
    }

    /// The head of an answer came that goes on: it answers, but whether its answers end well is open.
    pub fn note_begun(&mut self, upstream: UpstreamKey) {
        match self.health.get_mut(&upstream) {
            Some(health) if health.cuts > 0 => health.failures = 0,
            _ => self.note_success(upstream),
        }
    }

    /// An answer broke off after its head: a failure, of which the heads of others say nothing.
    pub fn note_cut(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        let health = self.health.entry(upstream).or_default();
        health.cuts += 1;
        health.failures = health.failures.max(health.cuts - 1);
        self.note_failure(upstream, fleet, share, now_ms);
    }

    /// A request failed; sets the upstream aside after enough failures, unless so many of the
    /// `fleet_size` upstreams are aside already that `share` would be passed.
    pub fn note_failure(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        let mut fleet_size = 0;
        let mut aside = 0;
        for other in fleet {
            fleet_size += 1;
            aside += usize::from(other != upstream && self.is_aside(other, now_ms));
        }
        let most = (fleet_size as f64 * share).floor() as usize;
        let health = self.health.entry(upstream).or_default();
        health.failures += 1;
        health.trial_running = false;
        let was_aside = health.times_aside > 0;
        if (health.failures >= FAILURES_IN_A_ROW || was_aside) && aside < most {
            let time = (FIRST_ASIDE_MS << health.times_aside.min(5)).min(LONGEST_ASIDE_MS);
            health.aside_until_ms = now_ms + time;
            health.times_aside += 1;
            health.failures = 0;
        }
    }

    /// Nothing listens at the upstream: one report is enough to set it aside.
    pub fn note_dead(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        self.health.entry(upstream).or_default().failures = FAILURES_IN_A_ROW;
        self.note_failure(upstream, fleet, share, now_ms);
    }

    /// This life of the upstream has ended; a restart has another key.
    pub fn note_gone(&mut self, upstream: UpstreamKey) {
        self.health.entry(upstream).or_default().gone = true;
    }

    /// Whether this life of the upstream has ended.
    pub fn is_gone(&self, upstream: UpstreamKey) -> bool {
        self.health.get(&upstream).is_some_and(|health| health.gone)
    }

    /// The upstreams of which anything is known; all others are well.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.health.keys().copied()
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.health.retain(|upstream, _| known(*upstream));
    }

    /// Whether the upstream is set aside now.
    pub fn is_aside(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.health.get(&upstream).is_some_and(|health| {
            health.gone
                || health.times_aside > 0
                    && (now_ms < health.aside_until_ms || health.trial_running)
        })
    }

    /// After its time aside, lets one request through as a trial; more only once that has ended.
    pub fn begin_trial(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(health) = self.health.get_mut(&upstream) {
            if health.times_aside > 0 && now_ms >= health.aside_until_ms {
                health.trial_running = true;
            }
        }
    }

    /// A request to the upstream has ended, however it did: another trial may follow. What it
    /// shows of the upstream's health is noted apart, and that may be nothing.
    pub fn end_trial(&mut self, upstream: UpstreamKey) {
        if let Some(health) = self.health.get_mut(&upstream) {
            health.trial_running = false;
        }
    }
}
