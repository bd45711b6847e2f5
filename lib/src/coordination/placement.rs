//! Where a request may go, best first.
//!
//! A chat's home is the home of the first engine in the chat's rendezvous order.
//! The home looks at what it remembers first, then at the order; among equals it
//! prefers engines that it is itself home to, since they cost no further hop.
//! See `docs/design/placement.md` for the rules weighed and what each measured.

use std::collections::HashMap;

use crate::coordination::home::HomeTable;
use crate::state::chat_memory::{ChatMemory, HolderCertainty};
use crate::state::ids::{ChatKey, FleetKey, RouterId, UpstreamKey};
use crate::state::rendezvous::rendezvous_order;
use crate::state::roster::RouterRoster;

/// How many places of a chat's order are looked at.
pub const PLACES: usize = 4;

/// Where chats go that no engine is known to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshRule {
    /// To the first place of the order.
    FirstPlace,
    /// To the least loaded engine of the home.
    LeastOfHome,
}

/// Where requests go when the best engine is at its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpillRule {
    /// First to the home's other engines, the least loaded first, then along the order.
    HomeFirst,
    /// Along the order only.
    OrderOnly,
}

/// Which rules are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementRule {
    /// For chats that nobody holds.
    pub fresh: FreshRule,
    /// For requests past the bound.
    pub spill: SpillRule,
    /// Whether more than the latest holder is looked at.
    pub every_holder: bool,
}

/// The rules that measured best; see `docs/design/placement.md`.
pub const BEST_RULE: PlacementRule =
    PlacementRule { fresh: FreshRule::FirstPlace, spill: SpillRule::HomeFirst, every_holder: true };

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

    /// The router that is home to a chat.
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
    /// Tokens of the prompt that it surely holds.
    pub cached_tokens: u32,
}

/// The work of a request on an engine that holds `cached_tokens` of its prompt.
pub fn request_work(prompt_tokens: u32, output_tokens: u32, cached_tokens: u32) -> u64 {
    prompt_tokens.saturating_sub(cached_tokens) as u64 + output_tokens.max(1) as u64
}

/// The engines that a chat's home should try, best first.
pub fn place_candidates(
    chat: ChatKey,
    fleet: FleetKey,
    own: RouterId,
    view: &FleetView,
    homes: &HomeTable,
    memory: &ChatMemory,
    rule: &PlacementRule,
) -> Vec<PlaceCandidate> {
    let order = view.order(chat);
    let mut candidates = holder_candidates(chat, view, memory, rule);
    let fresh = candidates.is_empty();
    if fresh && rule.fresh == FreshRule::FirstPlace {
        push_all(&mut candidates, order.iter().take(1).copied(), view);
    }
    if rule.spill == SpillRule::HomeFirst || (fresh && rule.fresh == FreshRule::LeastOfHome) {
        push_all(&mut candidates, own_by_load(fleet, own, view, homes), view);
    }
    push_all(&mut candidates, order.into_iter(), view);
    candidates
}

fn holder_candidates(
    chat: ChatKey,
    view: &FleetView,
    memory: &ChatMemory,
    rule: &PlacementRule,
) -> Vec<PlaceCandidate> {
    let kept = if rule.every_holder { usize::MAX } else { 1 };
    let holders = memory.holders(chat).iter().take(kept);
    let mut sure: Vec<_> =
        holders.filter_map(|holder| Some((memory.certainty(holder)?, holder))).collect();
    sure.sort_by_key(|(certainty, holder)| std::cmp::Reverse((*certainty, holder.tokens)));
    let known = sure.into_iter().filter_map(|(certainty, holder)| {
        let home = *view.engines.get(&holder.engine)?;
        let surely = certainty == HolderCertainty::Surely;
        let cached_tokens = if surely { holder.tokens } else { 0 };
        Some(PlaceCandidate { engine: holder.engine, home, cached_tokens })
    });
    known.collect()
}

fn own_by_load(
    fleet: FleetKey,
    own: RouterId,
    view: &FleetView,
    homes: &HomeTable,
) -> impl Iterator<Item = UpstreamKey> {
    let ours = homes.homed().filter(|(engine, slot)| {
        slot.fleet == fleet && !slot.closed && view.engines.get(engine) == Some(&own)
    });
    let mut ours: Vec<(u64, UpstreamKey)> =
        ours.map(|(engine, slot)| (slot.load(), engine)).collect();
    ours.sort_unstable();
    ours.into_iter().map(|(_, engine)| engine)
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
