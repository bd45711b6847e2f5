//! Which upstream runs a request.
//!
//! Engines: the shared part of the prompt names an order of engines that every VM
//! computes alike (rendezvous), and the first of them below a bound on its load takes
//! the request. What the first would have kept is fetched from it. Plain upstreams:
//! the least loaded of those in reach. See `docs/design/platform.md`.

use std::collections::HashMap;

use crate::state::ids::UpstreamKey;
use crate::state::prompt_part::{shared_parts, PromptPart};
use crate::state::rendezvous::rendezvous_score;

/// An engine takes a request while it has fewer than this multiple of the mean in flight,
/// and [`LOAD_ABOVE`] more.
pub const LOAD_MULTIPLE: f64 = 1.5;
/// See [`LOAD_MULTIPLE`]; in requests.
pub const LOAD_ABOVE: f64 = 2.0;
/// What this VM sent to an engine counts as kept there for this long, in milliseconds.
pub const KEPT_MS: u64 = 60_000;
/// An engine that was first seen less than this long ago may lack what its place in the
/// order says, in milliseconds.
pub const NEW_ENGINE_MS: u64 = 20_000;
/// Shared prompts shorter than this aren't worth a fetch, in tokens.
pub const LEAST_FETCH_TOKENS: u32 = 64;

/// One upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Its life.
    pub key: UpstreamKey,
    /// Requests in flight from all VMs, as far as known.
    pub load: u32,
    /// Set aside on passive signs.
    pub aside: bool,
    /// The request was sent there before.
    pub tried: bool,
    /// In this VM's zone.
    pub near: bool,
    /// When it was first seen, in milliseconds.
    pub first_seen_ms: u64,
}

/// The choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// Where the request goes.
    pub upstream: UpstreamKey,
    /// Where that engine should fetch what is kept of the prompt.
    pub fetch_from: Option<UpstreamKey>,
}

/// Which parts this VM sent to which engine, and when.
#[derive(Clone, Debug, Default)]
pub struct PrefixMemory {
    sent: HashMap<(u64, UpstreamKey), u64>,
    swept_ms: u64,
}

impl PrefixMemory {
    /// A request with this prompt was sent to the engine.
    pub fn note_sent(&mut self, prompt: &[PromptPart], engine: UpstreamKey, now_ms: u64) {
        for part in shared_parts(prompt) {
            self.sent.insert((part.id, engine), now_ms);
        }
        if now_ms >= self.swept_ms + KEPT_MS / 4 {
            self.swept_ms = now_ms;
            self.sent.retain(|_, sent_ms| *sent_ms + KEPT_MS > now_ms);
        }
    }

    /// Whether the engine surely had this part lately.
    pub fn holds(&self, part: u64, engine: UpstreamKey, now_ms: u64) -> bool {
        let sent_ms = self.sent.get(&(part, engine));
        sent_ms.is_some_and(|sent_ms| sent_ms + KEPT_MS > now_ms)
    }
}

/// The engine for a prompt.
pub fn choose_engine(
    candidates: &[UpstreamCandidate],
    prompt: &[PromptPart],
    memory: &PrefixMemory,
    moves: bool,
    now_ms: u64,
) -> Option<UpstreamPick> {
    let Some(deep) = shared_parts(prompt).last() else {
        let upstream = choose_plain(candidates, now_ms)?;
        return Some(UpstreamPick { upstream, fetch_from: None });
    };
    let usable = usable(candidates);
    let total: u32 = usable.iter().map(|candidate| candidate.load).sum();
    let mean = (total + 1) as f64 / usable.len().max(1) as f64;
    let bound = LOAD_MULTIPLE * mean + LOAD_ABOVE;

    let mut order = usable.clone();
    order.sort_by_key(|candidate| {
        std::cmp::Reverse((rendezvous_score(deep.id, candidate.key.0), candidate.key))
    });
    let below = order.iter().find(|candidate| (candidate.load as f64) < bound);
    let pick = below.or_else(|| order.iter().min_by_key(|candidate| candidate.load))?;

    let kept = memory.holds(deep.id, pick.key, now_ms);
    let tokens: u32 = shared_parts(prompt).iter().map(|part| part.tokens).sum();
    let worth = moves && !kept && tokens >= LEAST_FETCH_TOKENS;
    let source = worth.then(|| fetch_source(&order, pick, now_ms)).flatten();
    Some(UpstreamPick { upstream: pick.key, fetch_from: source })
}

/// Who likely keeps what `pick` lacks: the first of the order, or, when that is new, the next.
fn fetch_source(
    order: &[&UpstreamCandidate],
    pick: &UpstreamCandidate,
    now_ms: u64,
) -> Option<UpstreamKey> {
    let new = |candidate: &UpstreamCandidate| candidate.first_seen_ms + NEW_ENGINE_MS > now_ms;
    let oldest = order.iter().map(|candidate| candidate.first_seen_ms).min()?;
    let newer = |candidate: &UpstreamCandidate| {
        new(candidate) && candidate.first_seen_ms > oldest + NEW_ENGINE_MS / 20
    };
    let first = order.first()?;
    if first.key != pick.key {
        return Some(first.key);
    }
    let holder = order.iter().find(|candidate| candidate.key != pick.key && !newer(candidate));
    newer(pick).then(|| holder.map(|holder| holder.key)).flatten()
}

/// The least loaded upstream; the near ones among equals, and `draw` among those.
pub fn choose_plain(candidates: &[UpstreamCandidate], draw: u64) -> Option<UpstreamKey> {
    let usable = usable(candidates);
    let best = usable.iter().min_by_key(|candidate| {
        (candidate.load, !candidate.near, rendezvous_score(draw, candidate.key.0))
    });
    best.map(|candidate| candidate.key)
}

/// Those not set aside, or all when all are; never one that was tried.
fn usable(candidates: &[UpstreamCandidate]) -> Vec<&UpstreamCandidate> {
    let fresh: Vec<&UpstreamCandidate> =
        candidates.iter().filter(|candidate| !candidate.tried).collect();
    match fresh.iter().any(|candidate| !candidate.aside) {
        true => fresh.into_iter().filter(|candidate| !candidate.aside).collect(),
        false => fresh,
    }
}
