//! Upstreams that fail are set aside on passive signs, and tried again gently.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// Failures in a row that set an upstream aside.
pub const FAILURES_IN_A_ROW: u32 = 3;
/// The first time aside, in milliseconds; it doubles with each further time.
pub const FIRST_ASIDE_MS: u64 = 2000;
/// The longest time aside, in milliseconds.
pub const LONGEST_ASIDE_MS: u64 = 60_000;

#[derive(Clone, Debug, Default)]
struct UpstreamSigns {
    gone: bool,
    failures: u32,
    times_aside: u32,
    aside_until_ms: u64,
    trial_running: bool,
}

/// What one router has seen of its upstreams.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    signs: HashMap<UpstreamKey, UpstreamSigns>,
}

impl OutlierTable {
    /// A request succeeded.
    pub fn note_success(&mut self, upstream: UpstreamKey) {
        if !self.is_gone(upstream) {
            self.signs.remove(&upstream);
        }
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
        let signs = self.signs.entry(upstream).or_default();
        signs.failures += 1;
        signs.trial_running = false;
        let was_aside = signs.times_aside > 0;
        if (signs.failures >= FAILURES_IN_A_ROW || was_aside) && aside < most {
            let time = (FIRST_ASIDE_MS << signs.times_aside.min(5)).min(LONGEST_ASIDE_MS);
            signs.aside_until_ms = now_ms + time;
            signs.times_aside += 1;
            signs.failures = 0;
        }
    }

    /// Nothing listens at the upstream: one sign is enough to set it aside.
    pub fn note_dead(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        self.signs.entry(upstream).or_default().failures = FAILURES_IN_A_ROW;
        self.note_failure(upstream, fleet, share, now_ms);
    }

    /// This life of the upstream has ended; a restart has another key.
    pub fn note_gone(&mut self, upstream: UpstreamKey) {
        self.signs.entry(upstream).or_default().gone = true;
    }

    /// Whether this life of the upstream has ended.
    pub fn is_gone(&self, upstream: UpstreamKey) -> bool {
        self.signs.get(&upstream).is_some_and(|signs| signs.gone)
    }

    /// Forgets upstreams that are not `known` any more.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.signs.retain(|upstream, _| known(*upstream));
    }

    /// Whether the upstream is set aside now.
    pub fn is_aside(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.signs.get(&upstream).is_some_and(|signs| {
            signs.gone
                || signs.times_aside > 0 && (now_ms < signs.aside_until_ms || signs.trial_running)
        })
    }

    /// After its time aside, lets one request through as a trial; more only once that succeeds.
    pub fn begin_trial(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(signs) = self.signs.get_mut(&upstream) {
            if signs.times_aside > 0 && now_ms >= signs.aside_until_ms {
                signs.trial_running = true;
            }
        }
    }
}
