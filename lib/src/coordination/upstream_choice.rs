//! Chooses the upstream that runs a request.
//!
//! For engines, the shared parts of the prompt determine a rendezvous order of engines that every
//! VM computes alike. The first engine of that order whose load is below a bound takes the request,
//! and it fetches what an earlier engine of the order has cached of the prompt.
//! [`super::plain_choice`] chooses among plain upstreams. See `docs/design/platform.md`.

use std::collections::HashMap;

use super::holder_news::MIN_REPORTED_TOKENS;
use super::plain_choice::choose_plain;
use super::upstream_candidate::{choice_error, usable, ChoiceError, UpstreamCandidate};
use crate::state::ids::UpstreamKey;
use crate::state::prompt_part::{shared_parts, PromptPart};
use crate::state::rendezvous::rendezvous_score;

/// The fraction of a deployment's load limit for one engine that a VM uses. It stays below 1
/// because the loads of other VMs are as old as one renewal.
pub const LIMIT_USED_FRACTION: f64 = 0.85;
/// Requests that a deployment allows an engine beyond the multiple of the mean load.
const LIMIT_SLACK_REQUESTS: f64 = 3.0;

/// The rules for the choice of an engine, apart from the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRules {
    /// Whether engines can import cached prompts (KV) from each other.
    pub kv_transfer: bool,
    /// How many engines, from the front of a prompt's order, may take it.
    pub max_engines: usize,
    /// The multiple of the mean load that the deployment allows one engine, in addition to
    /// [`LIMIT_SLACK_REQUESTS`].
    pub load_limit: f64,
    /// How many requests with this prompt's deepest shared part all VMs are estimated to have in
    /// flight; see [`PrefixMemory::estimated_fleet_rate`].
    pub part_load: f64,
    /// A random number that spreads a part that needs several engines over them.
    pub draw: u64,
}

impl EngineRules {
    /// The load below which an engine takes a request, given the mean load of all engines.
    fn bound(&self, mean: f64) -> f64 {
        LIMIT_USED_FRACTION * (self.load_limit * mean + LIMIT_SLACK_REQUESTS)
    }

    /// How many engines of its order a part needs: one while its requests fit into
    /// [`HOT_THRESHOLD`] times the difference between the bound and the mean, otherwise enough that
    /// each engine gets [`HOT_FILL_FRACTION`] of that difference.
    fn engines_needed(&self, mean: f64, bound: f64) -> usize {
        let spare = (bound - mean).max(1.0);
        match self.part_load <= HOT_THRESHOLD * spare {
            true => 1,
            false => (self.part_load / (HOT_FILL_FRACTION * spare)).ceil() as usize,
        }
    }
}

/// The fraction of the difference between the mean load and an engine's bound that a hot part may
/// fill at each engine. Without this limit, all VMs would send the part to one engine until its
/// reported load exceeds the bound, and then all to the next.
const HOT_FILL_FRACTION: f64 = 0.35;
/// A part is hot when its requests exceed this multiple of the difference between the mean load and
/// the bound. Below that, the loads that come with each grant suffice to spread it.
const HOT_THRESHOLD: f64 = 2.0;
/// The time constant, in milliseconds, with which the request count of a part decays: after this
/// time about a third of the count is left.
const COUNT_DECAY_MS: f64 = 2000.0;

/// How long a prompt that this VM sent to an engine is assumed to be cached there, in milliseconds.
pub const HOLDER_TTL_MS: u64 = 60_000;
/// An engine that was first seen less than this long ago, in milliseconds, may not yet have the
/// prompts that the order assigns to it.
pub const NEW_ENGINE_MS: u64 = 20_000;
/// A VM that has this many holders of a root reports no further ones. Every VM receives every note,
/// and a VM that fetches a root needs only a few holders to draw from, however many engines there
/// are.
pub const MAX_ROOT_HOLDERS_REPORTED: usize = 32;
/// The least length of the shared prompt, in tokens, for which a fetch from another engine pays
/// off.
pub const MIN_FETCH_TOKENS: u32 = 64;

/// The chosen upstream, and what follows from the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// The upstream that the request goes to.
    pub upstream: UpstreamKey,
    /// The engine from which the chosen engine should fetch the cached part of the prompt.
    pub fetch_from: Option<UpstreamKey>,
    /// The deepest shared part, if the order would lead other VMs to expect it at another engine
    /// and the shared parts are long enough to report.
    pub off_order_part: Option<u64>,
    /// The first part, if this VM had no record that the engine holds it and other VMs need further
    /// holders.
    pub new_root: Option<u64>,
}

impl UpstreamPick {
    /// The choice of an upstream that caches nothing.
    pub fn plain(upstream: UpstreamKey) -> UpstreamPick {
        UpstreamPick { upstream, fetch_from: None, off_order_part: None, new_root: None }
    }
}

/// An engine that was sent a part, and the time of the last send.
#[derive(Clone, Copy, Debug)]
struct PartHolder {
    engine: UpstreamKey,
    sent_ms: u64,
}

impl PartHolder {
    /// Whether the last send is recent enough for the part to be assumed cached.
    fn is_recent(&self, now_ms: u64) -> bool {
        self.sent_ms + HOLDER_TTL_MS > now_ms
    }
}

/// Records which parts were sent to which engine, and when.
#[derive(Clone, Debug, Default)]
pub struct PrefixMemory {
    /// The engines that were sent a part, by part.
    holders: HashMap<u64, Vec<PartHolder>>,
    /// A decaying count of this VM's requests for a deepest shared part, and the time of its last
    /// update.
    request_counts: HashMap<u64, (f64, u64)>,
    swept_ms: u64,
    /// When this VM first sent a prompt.
    since_ms: Option<u64>,
}

impl PrefixMemory {
    /// Records that a request with this prompt was sent to the engine.
    pub fn note_sent(&mut self, prompt: &[PromptPart], engine: UpstreamKey, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        for part in shared_parts(prompt) {
            self.note_reported(part.id, engine, now_ms);
        }
        if now_ms >= self.swept_ms + HOLDER_TTL_MS / 4 {
            self.swept_ms = now_ms;
            self.holders.retain(|_, holders| {
                holders.retain(|holder| holder.is_recent(now_ms));
                !holders.is_empty()
            });
            self.request_counts.retain(|_, (_, at_ms)| *at_ms + 4 * COUNT_DECAY_MS as u64 > now_ms);
        }
    }

    /// Counts a request with this prompt that reached this VM.
    pub fn note_request(&mut self, prompt: &[PromptPart], now_ms: u64) {
        let Some(deep) = shared_parts(prompt).last() else { return };
        let count = self.decayed_count(deep.id, now_ms);
        self.request_counts.insert(deep.id, (count + 1.0, now_ms));
    }

    /// Estimates how many requests a second all `vms` VMs receive for the deepest shared part of a
    /// prompt, from this VM's own requests before the latest one. With 300 VMs, each VM receives an
    /// ordinary part once in several minutes, so a second request within seconds indicates a hot
    /// part.
    pub fn estimated_fleet_rate(&self, prompt: &[PromptPart], vms: usize, now_ms: u64) -> f64 {
        let Some(deep) = shared_parts(prompt).last() else { return 0.0 };
        let earlier = (self.decayed_count(deep.id, now_ms) - 1.0).max(0.0);
        earlier * vms as f64 * 1000.0 / COUNT_DECAY_MS
    }

    /// The count of requests for a part, decayed to the present.
    fn decayed_count(&self, part: u64, now_ms: u64) -> f64 {
        let (count, at_ms) = self.request_counts.get(&part).copied().unwrap_or_default();
        count * (-(now_ms.saturating_sub(at_ms) as f64) / COUNT_DECAY_MS).exp()
    }

    /// Records that another VM sent this part to the engine.
    pub fn note_reported(&mut self, part: u64, engine: UpstreamKey, now_ms: u64) {
        let holders = self.holders.entry(part).or_default();
        match holders.iter_mut().find(|holder| holder.engine == engine) {
            Some(holder) => holder.sent_ms = now_ms,
            None => holders.push(PartHolder { engine, sent_ms: now_ms }),
        }
    }

    /// Whether the engine was sent this part within [`HOLDER_TTL_MS`].
    pub fn holds(&self, part: u64, engine: UpstreamKey, now_ms: u64) -> bool {
        self.holders_of(part, now_ms).any(|holder| holder == engine)
    }

    /// The engines that were sent this part within [`HOLDER_TTL_MS`].
    fn holders_of(&self, part: u64, now_ms: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        let holders = self.holders.get(&part).into_iter().flatten();
        holders.filter(move |holder| holder.is_recent(now_ms)).map(|holder| holder.engine)
    }
}

/// Chooses the engine for a prompt.
pub fn choose_engine(
    candidates: &[UpstreamCandidate],
    prompt: &[PromptPart],
    memory: &PrefixMemory,
    rules: &EngineRules,
    now_ms: u64,
) -> Result<UpstreamPick, ChoiceError> {
    let kv_transfer = rules.kv_transfer;
    let shared = shared_parts(prompt);
    let (Some(root), Some(deep)) = (shared.first(), shared.last()) else {
        let upstream = choose_plain(candidates, usize::MAX, now_ms)?;
        return Ok(UpstreamPick::plain(upstream));
    };
    let usable = usable(candidates);
    let order = engine_order(&usable, deep.id);
    let staying = || order.iter().filter(|candidate| !candidate.leaving);
    let taking = || staying().filter(|candidate| candidate.takes_work());
    let total: u32 = staying().map(|candidate| candidate.load).sum();
    let mean = (total + 1) as f64 / staying().count().max(1) as f64;
    let bound = rules.bound(mean);
    let used = taking().count() as f64 / staying().count().max(1) as f64;
    let bound = bound_with_withheld(bound, mean, used);
    let with_capacity = || taking().take(rules.max_engines).filter(|candidate| !candidate.full);
    let needed = rules.engines_needed(mean, bound).min(with_capacity().count());
    let first = (rules.draw % needed.max(1) as u64) as usize;
    let below = |candidate: &&&UpstreamCandidate| f64::from(candidate.load) < bound;
    let pick = with_capacity().skip(first).find(below).or_else(|| with_capacity().find(below));
    let pick = pick.or_else(|| with_capacity().min_by_key(|candidate| candidate.load));
    let pick = pick.ok_or_else(|| choice_error(taking().count(), candidates))?;

    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    let mut source = None;
    if kv_transfer && tokens >= MIN_FETCH_TOKENS && !memory.holds(deep.id, pick.key, now_ms) {
        source = likely_holder(&order, deep.id, memory, now_ms).filter(|key| *key != pick.key);
        if source.is_none() && root.tokens >= MIN_FETCH_TOKENS {
            // No other engine is expected to hold the deep part, but one may hold the root.
            let root_known = memory.holds(root.id, pick.key, now_ms);
            source = if root_known {
                None
            } else {
                root_source(&usable, root.id, memory, rules.draw, now_ms)
            };
        }
    }
    let fetch_from = source.filter(|key| *key != pick.key);
    // Other VMs may not have ejected the engines that this VM has, so the expected holder is
    // computed over all candidates.
    let all = || candidates.iter().filter(|candidate| !candidate.leaving);
    let rank = |c: &&UpstreamCandidate| c.ring_slot.map(|slot| rendezvous_score(deep.id, slot));
    let guessed = || all().max_by_key(rank).map(|candidate| candidate.key);
    let reports = kv_transfer && tokens >= MIN_REPORTED_TOKENS && guessed() != Some(pick.key);
    let off_order_part = reports.then_some(deep.id);
    let reports_root = kv_transfer && root.tokens >= MIN_REPORTED_TOKENS && root.id != deep.id;
    let is_unreported = || {
        let known = root_holders(&usable, root.id, memory, now_ms);
        known.len() < MAX_ROOT_HOLDERS_REPORTED && !known.contains(&pick.key)
    };
    let new_root = (reports_root && is_unreported()).then_some(root.id);
    Ok(UpstreamPick { upstream: pick.key, fetch_from, off_order_part, new_root })
}

/// Lowers the bound when only the fraction `used` of the engines that count in the mean gets
/// requests. The mean of those engines is higher, so more of them are close below the bound, and
/// what all VMs send there before they receive each other's loads would exceed the deployment's
/// limit.
fn bound_with_withheld(bound: f64, mean: f64, used: f64) -> f64 {
    if used <= 0.0 {
        return bound;
    }
    let used_mean = mean / used;
    used_mean + (bound - used_mean).max(0.0) * used
}

/// All engines with a ring slot, the best for this part first, then those without one. Of two
/// incarnations with the same slot, the one that isn't leaving comes first.
fn engine_order<'a>(usable: &[&'a UpstreamCandidate], part: u64) -> Vec<&'a UpstreamCandidate> {
    let mut order = usable.to_vec();
    order.sort_by_cached_key(|candidate| {
        let rank = candidate.ring_slot.map(|slot| rendezvous_score(part, slot));
        (std::cmp::Reverse(rank), candidate.leaving, candidate.key)
    });
    order
}

/// The engine that probably holds a part: one to which it was sent, or else the first of the order
/// that has been there long enough to have received it.
fn likely_holder(
    order: &[&UpstreamCandidate],
    part: u64,
    memory: &PrefixMemory,
    now_ms: u64,
) -> Option<UpstreamKey> {
    // A fetch is work too, so an engine that asked for back-off isn't used as a source.
    let mut available = order.iter().filter(|candidate| candidate.backoff_ms == 0);
    let known = available.find(|candidate| memory.holds(part, candidate.key, now_ms));
    // Engines that were there before the first prompt don't count as new, however late they came:
    // when everything starts, engines join the list one after the other.
    let oldest = order.iter().map(|candidate| candidate.first_seen_ms).min()?;
    let since_ms = memory.since_ms.unwrap_or(oldest + NEW_ENGINE_MS / 20);
    let new = |candidate: &UpstreamCandidate| {
        candidate.first_seen_ms + NEW_ENGINE_MS > now_ms && candidate.first_seen_ms > since_ms
    };
    let has_slot =
        |candidate: &UpstreamCandidate| candidate.ring_slot.is_some() && candidate.backoff_ms == 0;
    let expected = || order.iter().find(|candidate| has_slot(candidate) && !new(candidate));
    known.or_else(expected).map(|candidate| candidate.key)
}

/// The engine from which to fetch a root: a random one of those to which it was sent lately,
/// because an engine sends one part after the other; if there are none, the probable holder. While
/// a fleet starts, the engine that the order names usually doesn't have the root yet.
fn root_source(
    usable: &[&UpstreamCandidate],
    root: u64,
    memory: &PrefixMemory,
    draw: u64,
    now_ms: u64,
) -> Option<UpstreamKey> {
    let holders = root_holders(usable, root, memory, now_ms);
    match holders.len() {
        0 => likely_holder(&engine_order(usable, root), root, memory, now_ms),
        count => Some(holders[(draw >> 7) as usize % count]),
    }
}

/// The engines that were sent a root lately, without those that asked for back-off.
fn root_holders(
    usable: &[&UpstreamCandidate],
    root: u64,
    memory: &PrefixMemory,
    now_ms: u64,
) -> Vec<UpstreamKey> {
    let mut known: Vec<UpstreamKey> = memory.holders_of(root, now_ms).collect();
    known.sort_unstable();
    let available = usable.iter().filter(|candidate| candidate.backoff_ms == 0);
    available
        .map(|candidate| candidate.key)
        .filter(|key| known.binary_search(key).is_ok())
        .collect()
}
