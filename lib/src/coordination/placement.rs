//! Chooses the engines that a request may go to, best first.
//!
//! The home of a chat is the home of the first engine in the chat's rendezvous order, unless
//! another router served the chat last: each reply names that router to the caller, and a router
//! that has the chat on an engine of its own serves it there.
//!
//! A returning chat goes to an engine that holds its prefix. A new chat brings most of the work,
//! because nothing of it is cached. So the placement of new chats balances the load, and keeps
//! capacity for the returning ones. New chats go to the least loaded known engine; the load of a
//! router's own engines is exact, that of the others comes as hints with each lease renewal.
//! `docs/design/placement.md` compares the rules and gives their measurements.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::coordination::admission::{admission_bound, FleetLoad};
use crate::coordination::home::HomeTable;
use crate::state::chat_memory::ChatMemory;
use crate::state::ids::{ChatKey, FleetKey, RouterId, UpstreamKey};
use crate::state::rendezvous::{rendezvous_order, rendezvous_score};
use crate::state::roster::RouterRoster;

/// The number of engines at the front of a chat's order that are considered.
pub const ORDER_LENGTH: usize = 4;

/// Where to place chats that no engine is known to hold, and chats whose holders have no capacity.
///
/// The engines along the order come last for every rule, but for `LightestOfFleet` only while no
/// hints were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshRule {
    /// Only the engines along the order, the first one first.
    OrderOnly,
    /// The first engine of the order if no engine holds the chat, then the least loaded engines of
    /// the home.
    FirstPlace,
    /// The least loaded engines of the home.
    LightestOfHome,
    /// The least loaded engines of the home that stay below the bound, then the least loaded
    /// engines of the fleet that the hints name.
    LightestOfFleet,
}

/// The placement rules in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRule {
    /// The rule for chats that no engine holds.
    pub fresh: FreshRule,
    /// Whether all holders of a chat are considered, and not only the latest.
    pub every_holder: bool,
}

/// The rules with the best results; see `docs/design/placement.md`.
pub const BEST_RULE: PlacementRule =
    PlacementRule { fresh: FreshRule::LightestOfFleet, every_holder: true };

/// A lightly loaded engine, as its home reported it a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHint {
    /// The engine.
    pub engine: UpstreamKey,
    /// Its work in flight, in tokens.
    pub work: u64,
}

/// One fleet as one router sees it: the engines that take work, and the home of each.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Engines that take new work, each with its home.
    pub engines: HashMap<UpstreamKey, RouterId>,
    keys: Vec<u64>,
}

impl FleetView {
    /// The view of `engines` under `roster`.
    pub fn new(engines: impl Iterator<Item = UpstreamKey>, roster: &RouterRoster) -> FleetView {
        let homed = engines.filter_map(|engine| Some((engine, roster.home(engine)?)));
        let engines: HashMap<UpstreamKey, RouterId> = homed.collect();
        let mut keys: Vec<u64> = engines.keys().map(|key| key.0).collect();
        keys.sort_unstable();
        FleetView { engines, keys }
    }

    /// The first [`ORDER_LENGTH`] engines of a chat's order.
    pub fn order(&self, chat: ChatKey) -> Vec<UpstreamKey> {
        let order = rendezvous_order(chat.0, self.keys.iter().copied(), ORDER_LENGTH);
        order.into_iter().map(UpstreamKey).collect()
    }

    /// The home of a chat according to its order alone.
    pub fn chat_home(&self, chat: ChatKey) -> Option<RouterId> {
        let first = self.order(chat).into_iter().next()?;
        self.engines.get(&first).copied()
    }
}

/// One engine that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlaceCandidate {
    /// The engine.
    pub engine: UpstreamKey,
    /// Its home.
    pub home: RouterId,
    /// The number of prompt tokens that it is expected to have cached.
    pub cached_tokens: u32,
}

/// The state that one router uses to place a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// The id of this router.
    pub own: RouterId,
    /// The fleet.
    pub fleet: FleetKey,
    /// The fleet's engines and their homes.
    pub view: &'a FleetView,
    /// The engines that the router is home to.
    pub homes: &'a HomeTable,
    /// Which engines hold which chats.
    pub memory: &'a ChatMemory,
    /// Lightly loaded engines of other homes.
    pub hints: &'a [EngineHint],
    /// Whether hints were received at all. If so, an empty list means that no engine has capacity.
    pub hints_known: bool,
    /// The fleet's load.
    pub load: FleetLoad,
    /// The fleet's multiple of the mean load up to which an engine is given work.
    pub multiple: f64,
    /// The request's work, in tokens, if nothing of it is cached.
    pub work: u64,
}

/// The work of a request, in tokens, on an engine that has `cached_tokens` of its prompt.
pub fn request_work(prompt_tokens: u32, output_tokens: u32, cached_tokens: u32) -> u64 {
    prompt_tokens.saturating_sub(cached_tokens) as u64 + output_tokens.max(1) as u64
}

/// The engines that a router should try for a chat, best first.
pub fn place_candidates(
    chat: ChatKey,
    known: &PlacementContext<'_>,
    rule: &PlacementRule,
) -> Vec<PlaceCandidate> {
    let order = known.view.order(chat);
    let mut candidates = holder_candidates(chat, known, rule);
    let first = order.iter().take(1).copied();
    match rule.fresh {
        FreshRule::OrderOnly => {}
        FreshRule::FirstPlace => {
            if candidates.is_empty() {
                push_all(&mut candidates, first, known.view);
            }
            push_all(&mut candidates, own_lightest(known).map(|(_, key)| key), known.view);
        }
        FreshRule::LightestOfHome => {
            push_all(&mut candidates, own_lightest(known).map(|(_, key)| key), known.view);
        }
        FreshRule::LightestOfFleet => push_lightest(chat, &mut candidates, known),
    }
    // Engines along the order whose load is unknown are tried only while no hints were received.
    if rule.fresh != FreshRule::LightestOfFleet || !known.hints_known {
        push_all(&mut candidates, order.into_iter(), known.view);
    }
    candidates
}

/// Whether one of this router's own engines certainly or possibly holds the chat.
pub fn holds_chat(chat: ChatKey, known: &PlacementContext<'_>) -> bool {
    known.memory.holders(chat).iter().any(|holder| {
        known.view.engines.get(&holder.engine) == Some(&known.own)
            && known.memory.certainty(holder).is_some()
    })
}

/// The engines that are known to hold the chat, the most certain and longest prefix first.
fn holder_candidates(
    chat: ChatKey,
    known: &PlacementContext<'_>,
    rule: &PlacementRule,
) -> Vec<PlaceCandidate> {
    let memory = known.memory;
    let kept = if rule.every_holder { usize::MAX } else { 1 };
    let holders = memory.holders(chat).iter().take(kept);
    let mut sure: Vec<_> =
        holders.filter_map(|holder| Some((memory.certainty(holder)?, holder))).collect();
    sure.sort_by_key(|(certainty, holder)| std::cmp::Reverse((*certainty, holder.tokens)));
    let placed = sure.into_iter().filter_map(|(_, holder)| {
        let home = *known.view.engines.get(&holder.engine)?;
        let cached_tokens = memory.expected_tokens(holder);
        Some(PlaceCandidate { engine: holder.engine, home, cached_tokens })
    });
    placed.collect()
}

/// Adds the router's own engines that stay below the bound with this request, then hinted engines
/// that do, then its other own engines and the other hinted engines below the bound, the least
/// loaded first.
///
/// An engine that a new chat fills to its bound would have no capacity for the chats that it holds
/// until a request ends there.
fn push_lightest(
    chat: ChatKey,
    candidates: &mut Vec<PlaceCandidate>,
    known: &PlacementContext<'_>,
) {
    let bound = admission_bound(&known.load, known.multiple, known.work);
    let stays_below = |work: u64| ((work + known.work) as f64) < bound;
    let own: Vec<(u64, UpstreamKey)> = own_lightest(known).collect();
    let with_capacity = own.iter().filter(|(work, _)| stays_below(*work)).map(|(_, key)| *key);
    push_all(candidates, with_capacity, known.view);
    // Each chat tries the hinted engines in an order of its own. Hints are a moment old, and all
    // routers have the same ones, so otherwise all routers would choose the least loaded engine at
    // once.
    let hinted = known.hints.iter().filter(|hint| stays_below(hint.work));
    let mut hinted: Vec<UpstreamKey> = hinted.map(|hint| hint.engine).collect();
    hinted.sort_by_key(|engine| std::cmp::Reverse(rendezvous_score(chat.0, engine.0)));
    push_all(candidates, hinted.into_iter(), known.view);
    // An engine that was at its bound a moment ago is not tried. In a surge that applies to most
    // engines, and each request would try them again.
    let admits = known.hints.iter().filter(|hint| (hint.work as f64) < bound);
    let mut rest: Vec<(u64, UpstreamKey)> =
        admits.map(|hint| (hint.work, hint.engine)).chain(own).collect();
    rest.sort_unstable();
    push_all(candidates, rest.into_iter().map(|(_, key)| key), known.view);
}

/// The router's own open engines with their loads, the least loaded first.
fn own_lightest(known: &PlacementContext<'_>) -> impl Iterator<Item = (u64, UpstreamKey)> {
    let ours = known.homes.homed().filter(|(engine, slot)| {
        slot.fleet == known.fleet
            && !slot.closed
            && known.view.engines.get(engine) == Some(&known.own)
    });
    let mut ours: Vec<(u64, UpstreamKey)> =
        ours.map(|(engine, slot)| (slot.load(), engine)).collect();
    ours.sort_unstable();
    ours.into_iter()
}

/// Appends the engines that have a home and aren't among the candidates yet.
fn push_all(
    candidates: &mut Vec<PlaceCandidate>,
    engines: impl Iterator<Item = UpstreamKey>,
    view: &FleetView,
) {
    for engine in engines {
        let known = candidates.iter().any(|candidate| candidate.engine == engine);
        if let (false, Some(home)) = (known, view.engines.get(&engine)) {
            candidates.push(PlaceCandidate { engine, home: *home, cached_tokens: 0 });
        }
    }
}
