//! Outlier ejection: upstreams that fail passive health checks get no requests for a while, and
//! then one trial request at a time.
//!
//! Invariant: only evidence that a process can't cause while it runs marks its incarnation as ended. A
//! refused connection is no such evidence, since a firewall or a partition may refuse it too. An upstream
//! that refuses connections gets no requests until it accepts one. See `docs/design/refusals.md`.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;

/// The number of consecutive failures that ejects an upstream.
pub const CONSECUTIVE_FAILURES: u32 = 3;
/// The duration of the first ejection, in milliseconds; it doubles with each further one.
pub const FIRST_EJECTION_MS: u64 = 2000;
/// The longest duration of an ejection, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 60_000;
/// The shortest pause between two checks of an upstream that refuses connections, in milliseconds.
pub const MIN_CHECK_PAUSE_MS: u64 = 250;
/// The longest pause between two checks of an upstream that refuses connections, in milliseconds.
pub const MAX_CHECK_PAUSE_MS: u64 = 4000;
/// The pause between two checks, as a fraction of the time for which the upstream has refused connections.
const CHECK_PAUSE_DIVISOR: u64 = 4;

/// Returns the pause before the next check of an upstream that has refused connections for `refused_ms`.
/// An upstream is used again soon after a short disruption, and one that has ended but stays on the list
/// costs few connections.
pub fn check_pause_ms(refused_ms: u64) -> u64 {
    (refused_ms / CHECK_PAUSE_DIVISOR).clamp(MIN_CHECK_PAUSE_MS, MAX_CHECK_PAUSE_MS)
}

/// What is known of an upstream that refused a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RefusalState {
    /// It has refused connections since this time, in milliseconds.
    Refusing(u64),
    /// It accepted a connection again, but has not answered since.
    HalfOpen,
}

#[derive(Clone, Debug, Default)]
struct UpstreamHealth {
    ended: bool,
    refusal: Option<RefusalState>,
    failures: u32,
    /// The number of answers that it broke off since one ended well.
    cuts: u32,
    ejections: u32,
    ejected_until_ms: u64,
    trial_running: bool,
}

/// The health of a router's upstreams, from the outcomes of its requests.
#[derive(Clone, Debug, Default)]
pub struct OutlierTable {
    health: HashMap<UpstreamKey, UpstreamHealth>,
}

impl OutlierTable {
    /// Records that a request succeeded. An upstream that refuses connections may still answer over those that
    /// are open.
    pub fn note_success(&mut self, upstream: UpstreamKey) {
        if !self.is_down(upstream) {
            self.health.remove(&upstream);
        }
    }

    /// Records that the head of a longer answer came. It shows that the upstream answers, but not
    /// whether its answers end well.
    pub fn note_begun(&mut self, upstream: UpstreamKey) {
        match self.health.get_mut(&upstream) {
            Some(health) if health.cuts > 0 => health.failures = 0,
            _ => self.note_success(upstream),
        }
    }

    /// Records that an answer broke off after its head. This failure isn't cleared by the heads of
    /// other answers.
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

    /// Records that a request failed. Ejects the upstream after enough failures, unless more than
    /// `share` of the upstreams in `fleet` would then be ejected.
    pub fn note_failure(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        let mut fleet_size = 0;
        let mut ejected = 0;
        for other in fleet {
            fleet_size += 1;
            ejected += usize::from(other != upstream && self.is_ejected(other, now_ms));
        }
        let most = (fleet_size as f64 * share).floor() as usize;
        let health = self.health.entry(upstream).or_default();
        health.failures += 1;
        health.trial_running = false;
        let was_ejected = health.ejections > 0;
        if (health.failures >= CONSECUTIVE_FAILURES || was_ejected) && ejected < most {
            let time = (FIRST_EJECTION_MS << health.ejections.min(5)).min(MAX_EJECTION_MS);
            health.ejected_until_ms = now_ms + time;
            health.ejections += 1;
            health.failures = 0;
        }
    }

    /// Records that nothing listens at the upstream: one such report is enough to eject it.
    pub fn note_dead(
        &mut self,
        upstream: UpstreamKey,
        fleet: impl Iterator<Item = UpstreamKey>,
        share: f64,
        now_ms: u64,
    ) {
        self.health.entry(upstream).or_default().failures = CONSECUTIVE_FAILURES;
        self.note_failure(upstream, fleet, share, now_ms);
    }

    /// Records that this incarnation of the upstream has ended; after a restart it has another key.
    pub fn note_ended(&mut self, upstream: UpstreamKey) {
        let health = self.health.entry(upstream).or_default();
        health.ended = true;
        health.refusal = None;
    }

    /// Whether this incarnation of the upstream has ended.
    pub fn has_ended(&self, upstream: UpstreamKey) -> bool {
        self.health.get(&upstream).is_some_and(|health| health.ended)
    }

    /// Records that the upstream refused a connection. Returns whether it accepted them before; the caller
    /// then has to check when it does so again.
    pub fn note_refused(&mut self, upstream: UpstreamKey, now_ms: u64) -> bool {
        if self.is_down(upstream) {
            return false;
        }
        self.health.entry(upstream).or_default().refusal = Some(RefusalState::Refusing(now_ms));
        true
    }

    /// Since when the upstream has refused connections, in milliseconds; `None` if it doesn't.
    pub fn refusing_since_ms(&self, upstream: UpstreamKey) -> Option<u64> {
        match self.health.get(&upstream)?.refusal? {
            RefusalState::Refusing(since_ms) => Some(since_ms),
            RefusalState::HalfOpen => None,
        }
    }

    /// Records that an upstream that refused connections accepted one. Until it answers, it gets one request
    /// at a time: another process may listen at its address.
    pub fn note_accepted(&mut self, upstream: UpstreamKey) {
        if self.refusing_since_ms(upstream).is_some() {
            self.health.entry(upstream).or_default().refusal = Some(RefusalState::HalfOpen);
        }
    }

    /// Records that this incarnation of the upstream answered a request, with whatever status.
    pub fn note_answered(&mut self, upstream: UpstreamKey) {
        if let Some(health) = self.health.get_mut(&upstream) {
            health.refusal = health.refusal.filter(|state| *state != RefusalState::HalfOpen);
        }
    }

    /// Whether the upstream accepted a connection after refusing some, and has not answered since.
    pub fn is_half_open(&self, upstream: UpstreamKey) -> bool {
        let state = self.health.get(&upstream).and_then(|health| health.refusal);
        state == Some(RefusalState::HalfOpen)
    }

    /// Whether the upstream has ended or refuses connections, so that no request can be sent to it.
    pub fn is_down(&self, upstream: UpstreamKey) -> bool {
        self.has_ended(upstream) || self.refusing_since_ms(upstream).is_some()
    }

    /// The upstreams with a record; all others are healthy.
    pub fn known(&self) -> impl Iterator<Item = UpstreamKey> + '_ {
        self.health.keys().copied()
    }

    /// Removes the upstreams for which `known` returns false.
    pub fn sweep(&mut self, known: impl Fn(UpstreamKey) -> bool) {
        self.health.retain(|upstream, _| known(*upstream));
    }

    /// Whether the upstream is ejected now.
    pub fn is_ejected(&self, upstream: UpstreamKey, now_ms: u64) -> bool {
        self.is_down(upstream)
            || self.health.get(&upstream).is_some_and(|health| {
                health.ejections > 0 && (now_ms < health.ejected_until_ms || health.trial_running)
            })
    }

    /// After the end of an ejection, lets one request through as a trial, and more only once that
    /// has ended.
    pub fn begin_trial(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if let Some(health) = self.health.get_mut(&upstream) {
            if health.ejections > 0 && now_ms >= health.ejected_until_ms {
                health.trial_running = true;
            }
        }
    }

    /// Records that a request to the upstream ended in any way, so that another trial may follow.
    /// The outcome is recorded separately, if it shows anything about the upstream's health.
    pub fn end_trial(&mut self, upstream: UpstreamKey) {
        if let Some(health) = self.health.get_mut(&upstream) {
            health.trial_running = false;
        }
    }
}
