//! Which upstream runs a request.
//!
//! Engines: the shared part of the prompt names an order of engines that every VM
//! computes alike (rendezvous), and the first of them below a bound on its load takes
//! the request. What the first would have kept is fetched from it. Plain upstreams are in
//! [`super::plain_choice`]. See `docs/design/platform.md`.

use std::collections::HashMap;

use super::holder_news::LEAST_REPORTED_TOKENS;
use super::plain_choice::choose_plain;
use super::upstream_candidate::{no_choice, usable, ChoiceFault, UpstreamCandidate};
use crate::state::ids::UpstreamKey;
use crate::state::prompt_part::{shared_parts, PromptPart};
use crate::state::rendezvous::rendezvous_score;

/// The part of what a deployment allows an engine above the mean that is used, since loads of other
/// VMs are as old as a renewal.
pub const USED_OF_LIMIT: f64 = 0.85;
/// Requests above the multiple of the mean that a deployment allows an engine.
const LIMIT_ABOVE: f64 = 3.0;

/// What holds for a choice of an engine, beside the candidates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRules {
    /// Engines can take memory from each other.
    pub moves: bool,
    /// So many engines of a prompt's order may take it.
    pub spread: usize,
    /// The multiple of the mean load that the deployment allows one engine, beside
    /// three requests.
    pub load_limit: f64,
    /// How many requests for this prompt's deepest shared part all VMs have in flight, as far as this
    /// VM knows; see [`PrefixMemory::fleet_rate`].
    pub part_load: f64,
    /// Spreads a part that needs several engines over them.
    pub draw: u64,
}

impl EngineRules {
    /// An engine below this load takes a request, by the mean of all.
    fn bound(&self, mean: f64) -> f64 {
        USED_OF_LIMIT * (self.load_limit * mean + LIMIT_ABOVE)
    }

    /// How many engines of its order a part needs: one up to [`HOT_FROM`] times what the mean leaves
    /// below the bound, else as many as its requests fill in part.
    fn engines_needed(&self, mean: f64, bound: f64) -> usize {
        let spare = (bound - mean).max(1.0);
        match self.part_load <= HOT_FROM * spare {
            true => 1,
            false => (self.part_load / (HOT_FILL * spare)).ceil() as usize,
        }
    }
}

/// A part that many ask for at once fills so much of what the mean leaves below an engine's bound.
/// All VMs would send such a part to one engine until they hear that it is over its bound, and then
/// to the next.
const HOT_FILL: f64 = 0.35;
/// A part is hot from so many times that on. Below, the loads of a grant suffice.
const HOT_FROM: f64 = 2.0;
/// How long a VM remembers how often a part was asked for, in milliseconds: the time in which its
/// count falls to a third.
const HEAT_MS: f64 = 2000.0;

/// What this VM sent to an engine counts as kept there for this long, in milliseconds.
pub const KEPT_MS: u64 = 60_000;
/// An engine that was first seen less than this long ago may lack what its place in the
/// order says, in milliseconds.
pub const NEW_ENGINE_MS: u64 = 20_000;
/// A VM that knows so many holders of a root reports no more: every VM receives every note, and one that
/// fetches a root needs a few that it can draw from, however many engines there are.
pub const ROOT_HOLDERS_REPORTED: usize = 32;
/// Shared prompts shorter than this aren't worth a fetch, in tokens.
pub const LEAST_FETCH_TOKENS: u32 = 64;

/// The choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamPick {
    /// Where the request goes.
    pub upstream: UpstreamKey,
    /// Where that engine should fetch what is kept of the prompt.
    pub fetch_from: Option<UpstreamKey>,
    /// The deepest shared part, when no other VM would guess that this engine keeps it, and what
    /// the shared parts hold is worth reporting.
    pub against_order: Option<u64>,
    /// The first part, when this VM didn't know that the engine keeps it, and others need to know.
    pub new_root: Option<u64>,
}

impl UpstreamPick {
    /// A choice of an upstream that keeps nothing.
    pub fn plain(upstream: UpstreamKey) -> UpstreamPick {
        UpstreamPick { upstream, fetch_from: None, against_order: None, new_root: None }
    }
}

/// An engine that was sent a part, and when last.
#[derive(Clone, Copy, Debug)]
struct PartHolder {
    engine: UpstreamKey,
    sent_ms: u64,
}

impl PartHolder {
    fn is_sure(&self, now_ms: u64) -> bool {
        self.sent_ms + KEPT_MS > now_ms
    }
}

/// Which parts this VM sent to which engine, and when.
#[derive(Clone, Debug, Default)]
pub struct PrefixMemory {
    /// Which engines were sent a part.
    holders: HashMap<u64, Vec<PartHolder>>,
    /// How often the deepest shared parts were asked for here lately, and when last.
    heat: HashMap<u64, (f64, u64)>,
    swept_ms: u64,
    /// When this VM first sent a prompt.
    since_ms: Option<u64>,
}

impl PrefixMemory {
    /// A request with this prompt was sent to the engine.
    pub fn note_sent(&mut self, prompt: &[PromptPart], engine: UpstreamKey, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
        for part in shared_parts(prompt) {
            self.note_reported(part.id, engine, now_ms);
        }
        if now_ms >= self.swept_ms + KEPT_MS / 4 {
            self.swept_ms = now_ms;
            self.holders.retain(|_, holders| {
                holders.retain(|holder| holder.is_sure(now_ms));
                !holders.is_empty()
            });
            self.heat.retain(|_, (_, at_ms)| *at_ms + 4 * HEAT_MS as u64 > now_ms);
        }
    }

    /// A request with this prompt came.
    pub fn note_asked(&mut self, prompt: &[PromptPart], now_ms: u64) {
        let Some(deep) = shared_parts(prompt).last() else { return };
        let count = self.heat_of(deep.id, now_ms);
        self.heat.insert(deep.id, (count + 1.0, now_ms));
    }

    /// How often a second all of `vms` VMs are asked for the deepest shared part of a prompt, as this
    /// one would guess from its own requests before the one that just came. Each of 300 VMs sees an
    /// ordinary part once in minutes, so that a second time within seconds shows a hot one.
    pub fn fleet_rate(&self, prompt: &[PromptPart], vms: usize, now_ms: u64) -> f64 {
        let Some(deep) = shared_parts(prompt).last() else { return 0.0 };
        let earlier = (self.heat_of(deep.id, now_ms) - 1.0).max(0.0);
        earlier * vms as f64 * 1000.0 / HEAT_MS
    }

    fn heat_of(&self, part: u64, now_ms: u64) -> f64 {
        let (count, at_ms) = self.heat.get(&part).copied().unwrap_or_default();
        count * (-(now_ms.saturating_sub(at_ms) as f64) / HEAT_MS).exp()
    }

    /// Another VM sent this part to the engine.
    pub fn note_reported(&mut self, part: u64, engine: UpstreamKey, now_ms: u64) {
        let holders = self.holders.entry(part).or_default();
        match holders.iter_mut().find(|holder| holder.engine == engine) {
            Some(holder) => holder.sent_ms = now_ms,
            None => holders.push(PartHolder { engine, sent_ms: now_ms }),
        }
    }

    /// Whether the engine surely had this part lately.
    pub fn holds(&self, part: u64, engine: UpstreamKey, now_ms: u64) -> bool {
        self.holders_of(part, now_ms).any(|holder| holder == engine)
    }

    /// The engines that surely had this part lately.
    fn holders_of(&self, part: u64, now_ms: u64) -> impl Iterator<Item = UpstreamKey> + '_ {
        let holders = self.holders.get(&part).into_iter().flatten();
        holders.filter(move |holder| holder.is_sure(now_ms)).map(|holder| holder.engine)
    }
}

/// The engine for a prompt.
pub fn choose_engine(
    candidates: &[UpstreamCandidate],
    prompt: &[PromptPart],
    memory: &PrefixMemory,
    rules: &EngineRules,
    now_ms: u64,
) -> Result<UpstreamPick, ChoiceFault> {
    let moves = rules.moves;
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
    let bound = bound_beside_withheld(bound, mean, used);
    let with_room = || taking().take(rules.spread).filter(|candidate| !candidate.full);
    let needed = rules.engines_needed(mean, bound).min(with_room().count());
    let first = (rules.draw % needed.max(1) as u64) as usize;
    let below = |candidate: &&&UpstreamCandidate| f64::from(candidate.load) < bound;
    let pick = with_room().skip(first).find(below).or_else(|| with_room().find(below));
    let pick = pick.or_else(|| with_room().min_by_key(|candidate| candidate.load));
    let pick = pick.ok_or_else(|| no_choice(taking().count(), candidates))?;

    let tokens: u32 = shared.iter().map(|part| part.tokens).sum();
    let mut source = None;
    if moves && tokens >= LEAST_FETCH_TOKENS && !memory.holds(deep.id, pick.key, now_ms) {
        source = holder(&order, deep.id, memory, now_ms).filter(|key| *key != pick.key);
        if source.is_none() && root.tokens >= LEAST_FETCH_TOKENS {
            // It is the first to read the deep part; the root may be had elsewhere.
            let root_known = memory.holds(root.id, pick.key, now_ms);
            source = if root_known {
                None
            } else {
                root_source(&usable, root.id, memory, rules.draw, now_ms)
            };
        }
    }
    let fetch_from = source.filter(|key| *key != pick.key);
    // Others may not have set aside what this VM has.
    let all = || candidates.iter().filter(|candidate| !candidate.leaving);
    let rank = |c: &&UpstreamCandidate| c.seat.map(|seat| rendezvous_score(deep.id, seat));
    let guessed = || all().max_by_key(rank).map(|candidate| candidate.key);
    let reports = moves && tokens >= LEAST_REPORTED_TOKENS && guessed() != Some(pick.key);
    let against_order = reports.then_some(deep.id);
    let news = moves && root.tokens >= LEAST_REPORTED_TOKENS && root.id != deep.id;
    let is_news = || {
        let known = root_holders(&usable, root.id, memory, now_ms);
        known.len() < ROOT_HOLDERS_REPORTED && !known.contains(&pick.key)
    };
    let new_root = (news && is_news()).then_some(root.id);
    Ok(UpstreamPick { upstream: pick.key, fetch_from, against_order, new_root })
}

/// The bound for engines that are a part `used` of those which count in the mean. Their own mean is
/// higher, and so many of them stand close below the bound, where what all VMs send before they hear
/// of each other carries them over the deployment's limit.
fn bound_beside_withheld(bound: f64, mean: f64, used: f64) -> f64 {
    if used <= 0.0 {
        return bound;
    }
    let used_mean = mean / used;
    used_mean + (bound - used_mean).max(0.0) * used
}

/// All engines with a seat, the best for this part first; then those without one. Of two
/// lives with one seat the one that stays goes first.
fn engine_order<'a>(usable: &[&'a UpstreamCandidate], part: u64) -> Vec<&'a UpstreamCandidate> {
    let mut order = usable.to_vec();
    order.sort_by_cached_key(|candidate| {
        let rank = candidate.seat.map(|seat| rendezvous_score(part, seat));
        (std::cmp::Reverse(rank), candidate.leaving, candidate.key)
    });
    order
}

/// Who likely keeps a part: an engine that this VM sent it to, or the first of the order
/// that was there long enough to have been sent it.
fn holder(
    order: &[&UpstreamCandidate],
    part: u64,
    memory: &PrefixMemory,
    now_ms: u64,
) -> Option<UpstreamKey> {
    // A fetch is work, too: who rests is left alone by it.
    let mut awake = order.iter().filter(|candidate| candidate.rest_ms == 0);
    let known = awake.find(|candidate| memory.holds(part, candidate.key, now_ms));
    // Engines that were there before the first prompt are not new, however lately they came: they
    // come to the list one after the other when everything starts.
    let oldest = order.iter().map(|candidate| candidate.first_seen_ms).min()?;
    let since_ms = memory.since_ms.unwrap_or(oldest + NEW_ENGINE_MS / 20);
    let new = |candidate: &UpstreamCandidate| {
        candidate.first_seen_ms + NEW_ENGINE_MS > now_ms && candidate.first_seen_ms > since_ms
    };
    let seated = |candidate: &UpstreamCandidate| candidate.seat.is_some() && candidate.rest_ms == 0;
    let expected = || order.iter().find(|candidate| seated(candidate) && !new(candidate));
    known.or_else(expected).map(|candidate| candidate.key)
}

/// Where a root may be had: one of the engines that surely keep it, drawn, since each engine hands
/// out one part after the other; without any, the one that likely keeps it. While a fleet starts, the one
/// that the order names mostly keeps no root yet.
fn root_source(
    usable: &[&UpstreamCandidate],
    root: u64,
    memory: &PrefixMemory,
    draw: u64,
    now_ms: u64,
) -> Option<UpstreamKey> {
    let holders = root_holders(usable, root, memory, now_ms);
    match holders.len() {
        0 => holder(&engine_order(usable, root), root, memory, now_ms),
        count => Some(holders[(draw >> 7) as usize % count]),
    }
}

/// The engines that surely keep a root and may be asked for it.
fn root_holders(
    usable: &[&UpstreamCandidate],
    root: u64,
    memory: &PrefixMemory,
    now_ms: u64,
) -> Vec<UpstreamKey> {
    let mut known: Vec<UpstreamKey> = memory.holders_of(root, now_ms).collect();
    known.sort_unstable();
    let awake = usable.iter().filter(|candidate| candidate.rest_ms == 0);
    awake.map(|candidate| candidate.key).filter(|key| known.binary_search(key).is_ok()).collect()
}
