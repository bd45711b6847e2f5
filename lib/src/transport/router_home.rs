//! Admission to the engines of a home router, and its queues.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver};

use super::router_shared::{lock, FleetInfo, HomeState, RouterShared, RouterView};
use crate::coordination::admission::{admission_bound, AdmissionRule};
use crate::coordination::fair_queue::{RequestClass, WaitingRequest};
use crate::coordination::home::AdmitRefusal;
use crate::coordination::kv_move::{choose_move, MoveChoice};
use crate::coordination::placement::{place_candidates, request_work, PlaceCandidate, BEST_RULE};
use crate::protocol::caller::CallerRequest;
use crate::protocol::peer_wire::RouteDecision;
use crate::state::ids::{ChatKey, FleetKey, UpstreamKey, WorkspaceKey};

/// An admitted request's slot on an engine, which is released when dropped.
pub(super) struct AdmittedSlot {
    shared: Arc<RouterShared>,
    /// The engine that admitted the request.
    pub(super) engine: UpstreamKey,
    fleet: FleetKey,
    workspace: WorkspaceKey,
    work: u64,
}

impl Drop for AdmittedSlot {
    fn drop(&mut self) {
        let view = self.shared.view();
        let mut home_state = lock(&self.shared.home_state);
        home_state.homes.release(self.engine, self.work, self.shared.clock.now_ms());
        home_state.shares.leave(self.fleet, self.workspace);
        home_state.outliers.end_trial(self.engine);
        admit_waiting(&self.shared, &mut home_state, self.fleet, &view);
    }
}

/// A chat request with the data that its placement uses.
#[derive(Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub(super) request: &'a CallerRequest,
    pub(super) decision: &'a RouteDecision,
    pub(super) chat: ChatKey,
    pub(super) fleet: FleetKey,
    /// The engine from which another engine imports the chat's prefix before it runs the request.
    pub(super) import_from: Option<UpstreamKey>,
}

impl PlacementRequest<'_> {
    /// Returns the length of the prompt, or 1 if it isn't known.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.request.facts.as_ref().map_or(1, |facts| facts.prompt_tokens)
    }

    /// Returns the expected length of the answer.
    pub(super) fn output_tokens(&self) -> u32 {
        let max_tokens = self.request.facts.as_ref().and_then(|facts| facts.max_tokens);
        max_tokens.unwrap_or(u32::MAX).min(self.decision.expected_output.max(1))
    }

    /// Returns the expected work of the request on an engine that has `cached_tokens` of its prompt
    /// cached.
    pub(super) fn work(&self, cached_tokens: u32) -> u64 {
        request_work(self.prompt_tokens(), self.output_tokens(), cached_tokens)
    }
}

/// Returns the key of the request's chat, or a key made of the request's id if it belongs to no
/// chat.
pub(super) fn chat_key(request: &CallerRequest) -> ChatKey {
    let name = request.chat.as_deref().unwrap_or(&request.request_id);
    ChatKey::of(&request.workspace, name)
}

/// Returns the engines to try, best first.
pub(super) fn candidates(
    shared: &RouterShared,
    view: &RouterView,
    placement: &PlacementRequest<'_>,
) -> Vec<PlaceCandidate> {
    let Some(info) = view.fleets.get(&placement.fleet) else { return Vec::new() };
    let home_state = lock(&shared.home_state);
    place_candidates(
        placement.chat,
        &shared.placement_context(&home_state, placement.fleet, info, placement.work(0)),
        &BEST_RULE,
    )
}

/// Admits a request to an engine of this home, unless requests of its class or a more urgent one
/// wait in the queue, or the engine is at its bound.
pub(super) fn admit(
    shared: &Arc<RouterShared>,
    view: &RouterView,
    placement: &PlacementRequest<'_>,
    engine: UpstreamKey,
    cached_tokens: u32,
) -> Result<AdmittedSlot, AdmitRefusal> {
    let info = view.fleets.get(&placement.fleet).ok_or(AdmitRefusal::NotHome)?;
    let workspace = WorkspaceKey::of(&placement.request.workspace);
    let now_ms = shared.clock.now_ms();
    let mut home_state = lock(&shared.home_state);
    home_state.shares.note_request(placement.fleet, workspace, now_ms);
    let ahead = home_state
        .queues
        .get(&placement.fleet)
        .is_some_and(|queue| queue.has_waiting(placement.decision.class));
    if ahead {
        return Err(AdmitRefusal::AtBound);
    }
    let work = placement.work(cached_tokens);
    let load = shared.fleet_load(&home_state, placement.fleet, info);
    let class = placement.decision.class;
    let rule = admission_rule(&home_state, info, placement.fleet, class, workspace, now_ms);
    home_state.homes.admit(engine, work, &load, rule)?;
    home_state.shares.enter(placement.fleet, workspace);
    home_state.outliers.begin_trial(engine, now_ms);
    let shared = shared.clone();
    Ok(AdmittedSlot { shared, engine, fleet: placement.fleet, workspace, work })
}

/// Returns how much of each engine of this home a class and a workspace may use.
fn admission_rule(
    home_state: &HomeState,
    info: &FleetInfo,
    fleet: FleetKey,
    class: RequestClass,
    workspace: WorkspaceKey,
    now_ms: u64,
) -> AdmissionRule {
    let entry = &info.entry;
    let open = home_state.homes.homed().filter(|(_, slot)| slot.fleet == fleet && !slot.closed);
    let slots = open.count() as u32 * entry.requests_per_engine;
    let heavy = home_state.shares.is_heavy(fleet, workspace, slots, now_ms);
    // A workspace that uses more than its share is limited to the bound of the batch class.
    let class = if heavy { RequestClass::Batch } else { class };
    let max_requests = class.slots(entry.requests_per_engine);
    AdmissionRule { multiple: entry.multiple, max_requests }
}

/// A position in a queue of this home. Dropping it leaves the queue and releases a slot that was
/// granted but not used.
pub(super) struct QueueTicket {
    shared: Arc<RouterShared>,
    fleet: FleetKey,
    ticket: u64,
    workspace: WorkspaceKey,
    work: u64,
    granted: Receiver<UpstreamKey>,
}

impl QueueTicket {
    /// Enters the queue for any engine of this home, or for the engine `only`; returns `None` when
    /// the queue is full.
    pub(super) fn enter(
        shared: &Arc<RouterShared>,
        view: &RouterView,
        placement: &PlacementRequest<'_>,
        only: Option<PlaceCandidate>,
        wait_ms: u64,
    ) -> Option<QueueTicket> {
        let info = view.fleets.get(&placement.fleet)?;
        let ticket = shared.next_number();
        let workspace = WorkspaceKey::of(&placement.request.workspace);
        let work = placement.work(only.map_or(0, |place| place.cached_tokens));
        let (sender, granted) = bounded(1);
        let now_ms = shared.clock.now_ms();
        let mut home_state = lock(&shared.home_state);
        let waiting = WaitingRequest {
            ticket,
            workspace,
            weight: placement.decision.weight,
            class: placement.decision.class,
            work,
            since_ms: now_ms,
            until_ms: now_ms + wait_ms,
            only: only.map(|place| place.engine),
        };
        let queue = home_state.queues.entry(placement.fleet).or_default();
        if !queue.push(waiting, info.entry.queue) {
            return None;
        }
        home_state.tickets.insert(ticket, sender);
        admit_waiting(shared, &mut home_state, placement.fleet, view);
        let (shared, fleet) = (shared.clone(), placement.fleet);
        Some(QueueTicket { shared, fleet, ticket, workspace, work, granted })
    }

    /// Waits at most `max_ms` milliseconds for a slot.
    pub(super) fn wait(&self, max_ms: u64) -> Option<AdmittedSlot> {
        let engine = self.granted.recv_timeout(Duration::from_millis(max_ms)).ok()?;
        Some(self.slot(engine))
    }

    fn slot(&self, engine: UpstreamKey) -> AdmittedSlot {
        AdmittedSlot {
            shared: self.shared.clone(),
            engine,
            fleet: self.fleet,
            workspace: self.workspace,
            work: self.work,
        }
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let mut home_state = lock(&self.shared.home_state);
        home_state.tickets.remove(&self.ticket);
        if let Some(queue) = home_state.queues.get_mut(&self.fleet) {
            queue.remove(self.ticket);
        }
        drop(home_state);
        // A slot that was granted just as the wait ended is released.
        drop(self.granted.try_recv().ok().map(|engine| self.slot(engine)));
    }
}

/// Chooses between waiting for the holder of a prefix, importing the prefix from it and recomputing
/// it, when the holder is an engine of this home at its bound.
pub(super) fn holder_choice(
    shared: &RouterShared,
    view: &RouterView,
    placement: &PlacementRequest<'_>,
    holder: &PlaceCandidate,
) -> MoveChoice {
    let Some(info) = view.fleets.get(&placement.fleet) else { return MoveChoice::Recompute };
    let work = placement.work(holder.cached_tokens);
    let home_state = lock(&shared.home_state);
    // If other requests wait already, the time until the holder is free cannot be estimated.
    let ahead = home_state
        .queues
        .get(&placement.fleet)
        .is_some_and(|queue| queue.has_waiting(placement.decision.class));
    let context = shared.placement_context(&home_state, placement.fleet, info, work);
    let bound = admission_bound(&context.load, context.multiple, work);
    let holder_state = context.homes.engine_state(holder.engine);
    let holder_state = holder_state.filter(|_| holder.home == shared.id() && !ahead);
    let wait = holder_state.and_then(|slot| slot.wait_ms(bound));
    let cached = holder.cached_tokens.min(placement.prompt_tokens());
    choose_move(&info.entry.rates, cached, wait)
}

/// Admits waiting requests of a fleet's queue to the slots that have become free.
pub(super) fn admit_waiting(
    shared: &RouterShared,
    home_state: &mut HomeState,
    fleet: FleetKey,
    view: &RouterView,
) {
    let Some(info) = view.fleets.get(&fleet) else { return };
    let Some(mut queue) = home_state.queues.remove(&fleet) else { return };
    let now_ms = shared.clock.now_ms();
    for expired in queue.expire(now_ms) {
        home_state.tickets.remove(&expired.ticket);
    }
    loop {
        let load = shared.fleet_load(home_state, fleet, info);
        let mut granted = None;
        let popped = queue.pop(now_ms, |waiting| {
            let (class, workspace) = (waiting.class, waiting.workspace);
            let rule = admission_rule(home_state, info, fleet, class, workspace, now_ms);
            let open = home_state.homes.homed().filter(|(engine, slot)| {
                slot.fleet == fleet
                    && !slot.closed
                    && waiting.only.is_none_or(|only| only == *engine)
            });
            let mut open: Vec<_> = open.map(|(engine, slot)| (slot.load(), engine)).collect();
            open.sort_unstable();
            granted = open
                .into_iter()
                .map(|(_, engine)| engine)
                .find(|engine| home_state.homes.admit(*engine, waiting.work, &load, rule).is_ok());
            granted.is_some()
        });
        let (Some(waiting), Some(engine)) = (popped, granted) else { break };
        home_state.shares.enter(fleet, waiting.workspace);
        let sender = home_state.tickets.remove(&waiting.ticket);
        if sender.is_none_or(|sender| sender.send(engine).is_err()) {
            home_state.homes.release(engine, waiting.work, now_ms);
            home_state.shares.leave(fleet, waiting.workspace);
        }
    }
    if !queue.is_empty() {
        home_state.queues.insert(fleet, queue);
    }
}
