//! Where a request may go, best first.
//!
//! A chat's home is the home of the first engine in the chat's rendezvous order, unless
//! another router served it last: each reply names that router to the caller, and
//! a router that holds a chat on an engine of its own serves it there.
//!
//! A returning chat goes to an engine that holds its prefix. A fresh one carries most of
//! the work, since nothing of it is cached; so fresh chats are what levels the load, and
//! what keeps room for those that return. They go to the lightest engine that is known:
//! the own ones exactly, the others by the hints that come with each lease renewal.
//! See `docs/design/placement.md` for the rules weighed and what each measured.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::coordination::admission::{admission_bound, FleetLoad};
use crate::coordination::home::HomeTable;
use crate::state::chat_memory::ChatMemory;
use crate::state::ids::{ChatKey, FleetKey, RouterId, UpstreamKey};
use crate::state::rendezvous::{rendezvous_order, rendezvous_score};
use crate::state::roster::RouterRoster;

/// How many places of a chat's order are looked at.
pub const PLACES: usize = 4;

/// Where chats go that no engine is known to hold, and those whose holders have no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshRule {
    /// To the first place of the order, then along the order.
    OrderOnly,
    /// To the first place of the order, then to the lightest engine of the home.
    FirstPlace,
    /// To the lightest engine of the home.
    LightestOfHome,
    /// To the lightest engine of the home while that is below the mean, else to the lightest
    /// engines of the fleet that the hints name.
    LightestOfFleet,
}

/// Which rules are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRule {
    /// For chats that no engine holds.
    pub fresh: FreshRule,
    /// Whether more than the latest holder is looked at.
    pub every_holder: bool,
}

/// The rules that measured best; see `docs/design/placement.md`.
pub const BEST_RULE: PlacementRule =
    PlacementRule { fresh: FreshRule::LightestOfFleet, every_holder: true };

/// A lightly loaded engine, as its home reported it a moment ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineHint {
    /// The engine.
    pub engine: UpstreamKey,
    /// Its work in flight.
    pub work: u64,
}

/// One fleet as one router sees it: who takes work, and who is home to each.
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

    /// The first places of a chat's order.
    pub fn order(&self, chat: ChatKey) -> Vec<UpstreamKey> {
        let order = rendezvous_order(chat.0, self.keys.iter().copied(), PLACES);
        order.into_iter().map(UpstreamKey).collect()
    }

    /// The router that is home to a chat by its order alone.
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
    /// Tokens of the prompt that it is expected to hold.
    pub cached_tokens: u32,
}

/// What one router knows when it places a request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementKnowledge<'a> {
    /// The router.
    pub own: RouterId,
    /// The fleet.
    pub fleet: FleetKey,
    /// The fleet's engines and their homes.
    pub view: &'a FleetView,
    /// The engines that the router is home to.
    pub homes: &'a HomeTable,
    /// Who holds what.
    pub memory: &'a ChatMemory,
    /// Light engines of other homes.
    pub hints: &'a [EngineHint],
    /// Whether hints were received at all; then none means that no engine has room.
    pub hints_known: bool,
    /// The fleet's load.
    pub load: FleetLoad,
    /// The fleet's multiple.
    pub multiple: f64,
    /// The request's work where nothing of it is cached.
    pub work: u64,
}

/// The work of a request on an engine that holds `cached_tokens` of its prompt.
pub fn request_work(prompt_tokens: u32, output_tokens: u32, cached_tokens: u32) -> u64 {
    prompt_tokens.saturating_sub(cached_tokens) as u64 + output_tokens.max(1) as u64
}

/// The engines that a router should try for a chat, best first.
pub fn place_candidates(
    chat: ChatKey,
    known: &PlacementKnowledge<'_>,
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
    // Places along the order whose load is not known are asked only when nothing is known.
    if rule.fresh != FreshRule::LightestOfFleet || !known.hints_known {
        push_all(&mut candidates, order.into_iter(), known.view);
    }
    candidates
}

/// Whether this router knows an engine of its own that holds the chat, surely or perhaps.
pub fn holds_chat(chat: ChatKey, known: &PlacementKnowledge<'_>) -> bool {
    known.memory.holders(chat).iter().any(|holder| {
        known.view.engines.get(&holder.engine) == Some(&known.own)
            && known.memory.certainty(holder).is_some()
    })
}

fn holder_candidates(
    chat: ChatKey,
    known: &PlacementKnowledge<'_>,
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

/// Own engines that stay below the bound with this request in, then hinted ones that do, then
/// all of them, the lightest first.
///
/// An engine that a fresh chat fills to its bound would have no room for the chats that it
/// holds, until something ends there.
fn push_lightest(
    chat: ChatKey,
    candidates: &mut Vec<PlaceCandidate>,
    known: &PlacementKnowledge<'_>,
) {
    let bound = admission_bound(&known.load, known.multiple, known.work);
    let stays_below = |work: u64| ((work + known.work) as f64) < bound;
    let own: Vec<(u64, UpstreamKey)> = own_lightest(known).collect();
    let roomy = own.iter().filter(|(work, _)| stays_below(*work)).map(|(_, key)| *key);
    push_all(candidates, roomy, known.view);
    // Each chat takes the hints in an order of its own: hints are a moment old, and all
    // routers have the same ones, so the very lightest would be met by all at once.
    let hinted = known.hints.iter().filter(|hint| stays_below(hint.work));
    let mut hinted: Vec<UpstreamKey> = hinted.map(|hint| hint.engine).collect();
    hinted.sort_by_key(|engine| std::cmp::Reverse(rendezvous_score(chat.0, engine.0)));
    push_all(candidates, hinted.into_iter(), known.view);
    // An engine that was at its bound a moment ago is not asked: under a surge that would be
    // most of them, for each request anew.
    let admits = known.hints.iter().filter(|hint| (hint.work as f64) < bound);
    let mut rest: Vec<(u64, UpstreamKey)> =
        admits.map(|hint| (hint.work, hint.engine)).chain(own).collect();
    rest.sort_unstable();
    push_all(candidates, rest.into_iter().map(|(_, key)| key), known.view);
}

fn own_lightest(known: &PlacementKnowledge<'_>) -> impl Iterator<Item = (u64, UpstreamKey)> {
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
