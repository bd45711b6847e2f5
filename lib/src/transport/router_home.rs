//! Admission and the queue at a home.

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Receiver};

use super::router_shared::{lock, FleetSight, HomeDesk, RouterShared, RouterView};
use crate::coordination::admission::{admission_bound, AdmissionRule};
use crate::coordination::fair_queue::{RequestClass, WaitingRequest};
use crate::coordination::home::AdmitRefusal;
use crate::coordination::kv_move::{choose_move, MoveChoice};
use crate::coordination::placement::{place_candidates, request_work, PlaceCandidate, BEST_RULE};
use crate::protocol::caller::CallerRequest;
use crate::protocol::peer_wire::RouteDecision;
use crate::state::ids::{ChatKey, FleetKey, UpstreamKey, WorkspaceKey};

/// A place on an engine, given back when dropped.
pub(super) struct AdmittedSlot {
    shared: Arc<RouterShared>,
    /// The engine.
    pub(super) engine: UpstreamKey,
    fleet: FleetKey,
    workspace: WorkspaceKey,
    work: u64,
}

impl Drop for AdmittedSlot {
    fn drop(&mut self) {
        let view = self.shared.view();
        let mut desk = lock(&self.shared.desk);
        desk.homes.release(self.engine, self.work, self.shared.clock.now_ms());
        desk.shares.leave(self.fleet, self.workspace);
        desk.outliers.end_trial(self.engine);
        pump(&self.shared, &mut desk, self.fleet, &view);
    }
}

/// What a request brings to a home.
#[derive(Clone, Copy)]
pub(super) struct HomeAsk<'a> {
    pub(super) request: &'a CallerRequest,
    pub(super) decision: &'a RouteDecision,
    pub(super) chat: ChatKey,
    pub(super) fleet: FleetKey,
    /// The engine to import the prefix from, before it runs elsewhere.
    pub(super) import_from: Option<UpstreamKey>,
}

impl HomeAsk<'_> {
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.request.facts.as_ref().map_or(1, |facts| facts.prompt_tokens)
    }

    pub(super) fn output_tokens(&self) -> u32 {
        let asked = self.request.facts.as_ref().and_then(|facts| facts.max_tokens);
        asked.unwrap_or(u32::MAX).min(self.decision.expected_output.max(1))
    }

    pub(super) fn work(&self, cached_tokens: u32) -> u64 {
        request_work(self.prompt_tokens(), self.output_tokens(), cached_tokens)
    }
}

/// The chat's key: its name, or the request's own when it belongs to none.
pub(super) fn chat_key(request: &CallerRequest) -> ChatKey {
    let name = request.chat.as_deref().unwrap_or(&request.request_id);
    ChatKey::of(&request.workspace, name)
}

/// The engines to try, best first.
pub(super) fn candidates(
    shared: &RouterShared,
    view: &RouterView,
    ask: &HomeAsk<'_>,
) -> Vec<PlaceCandidate> {
    let Some(sight) = view.fleets.get(&ask.fleet) else { return Vec::new() };
    let desk = lock(&shared.desk);
    place_candidates(ask.chat, &shared.known(&desk, ask.fleet, sight, ask.work(0)), &BEST_RULE)
}

/// Admits a request to an engine of this home, or says why not.
pub(super) fn admit(
    shared: &Arc<RouterShared>,
    view: &RouterView,
    ask: &HomeAsk<'_>,
    engine: UpstreamKey,
    cached_tokens: u32,
) -> Result<AdmittedSlot, AdmitRefusal> {
    let sight = view.fleets.get(&ask.fleet).ok_or(AdmitRefusal::NotHome)?;
    let workspace = WorkspaceKey::of(&ask.request.workspace);
    let now_ms = shared.clock.now_ms();
    let mut desk = lock(&shared.desk);
    desk.shares.note_request(ask.fleet, workspace, now_ms);
    let ahead =
        desk.queues.get(&ask.fleet).is_some_and(|queue| queue.has_waiting(ask.decision.class));
    if ahead {
        return Err(AdmitRefusal::AtBound);
    }
    let work = ask.work(cached_tokens);
    let load = shared.fleet_load(&desk, ask.fleet, sight);
    let class = ask.decision.class;
    let rule = admission_rule(&desk, sight, ask.fleet, class, workspace, now_ms);
    desk.homes.admit(engine, work, &load, rule)?;
    desk.shares.enter(ask.fleet, workspace);
    desk.outliers.begin_trial(engine, now_ms);
    let shared = shared.clone();
    Ok(AdmittedSlot { shared, engine, fleet: ask.fleet, workspace, work })
}

/// What a class and a workspace may fill of each engine of this home.
fn admission_rule(
    desk: &HomeDesk,
    sight: &FleetSight,
    fleet: FleetKey,
    class: RequestClass,
    workspace: WorkspaceKey,
    now_ms: u64,
) -> AdmissionRule {
    let entry = &sight.entry;
    let open = desk.homes.homed().filter(|(_, slot)| slot.fleet == fleet && !slot.closed);
    let places = open.count() as u32 * entry.requests_per_engine;
    let heavy = desk.shares.is_heavy(fleet, workspace, places, now_ms);
    // A heavy workspace is held to what the batch class may fill.
    let class = if heavy { RequestClass::Batch } else { class };
    let max_requests = class.slots(entry.requests_per_engine);
    AdmissionRule { multiple: entry.multiple, max_requests }
}

/// A place in this home's queue. Dropping it gives the place up, and a slot that came too late.
pub(super) struct QueueTicket {
    shared: Arc<RouterShared>,
    fleet: FleetKey,
    ticket: u64,
    workspace: WorkspaceKey,
    work: u64,
    given: Receiver<UpstreamKey>,
}

impl QueueTicket {
    /// Queues for one of this home's engines, or for a certain one; `None` when the queue is
    /// full.
    pub(super) fn enter(
        shared: &Arc<RouterShared>,
        view: &RouterView,
        ask: &HomeAsk<'_>,
        only: Option<PlaceCandidate>,
        wait_ms: u64,
    ) -> Option<QueueTicket> {
        let sight = view.fleets.get(&ask.fleet)?;
        let ticket = shared.next_number();
        let workspace = WorkspaceKey::of(&ask.request.workspace);
        let work = ask.work(only.map_or(0, |place| place.cached_tokens));
        let (sender, given) = bounded(1);
        let now_ms = shared.clock.now_ms();
        let mut desk = lock(&shared.desk);
        let waiting = WaitingRequest {
            ticket,
            workspace,
            weight: ask.decision.weight,
            class: ask.decision.class,
            work,
            since_ms: now_ms,
            until_ms: now_ms + wait_ms,
            only: only.map(|place| place.engine),
        };
        let queue = desk.queues.entry(ask.fleet).or_default();
        if !queue.push(waiting, sight.entry.queue) {
            return None;
        }
        desk.tickets.insert(ticket, sender);
        pump(shared, &mut desk, ask.fleet, view);
        let (shared, fleet) = (shared.clone(), ask.fleet);
        Some(QueueTicket { shared, fleet, ticket, workspace, work, given })
    }

    /// Waits for a slot.
    pub(super) fn wait(&self, most_ms: u64) -> Option<AdmittedSlot> {
        let engine = self.given.recv_timeout(Duration::from_millis(most_ms)).ok()?;
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
        let mut desk = lock(&self.shared.desk);
        desk.tickets.remove(&self.ticket);
        if let Some(queue) = desk.queues.get_mut(&self.fleet) {
            queue.remove(self.ticket);
        }
        drop(desk);
        // A slot that came in the moment that the wait ended is given back.
        drop(self.given.try_recv().ok().map(|engine| self.slot(engine)));
    }
}

/// What to do about a prefix whose holder, an engine of this home, is at its bound.
pub(super) fn move_choice(
    shared: &RouterShared,
    view: &RouterView,
    ask: &HomeAsk<'_>,
    holder: &PlaceCandidate,
) -> MoveChoice {
    let Some(sight) = view.fleets.get(&ask.fleet) else { return MoveChoice::Recompute };
    let work = ask.work(holder.cached_tokens);
    let desk = lock(&shared.desk);
    // Behind others that wait already, how long the holder will be busy isn't known.
    let ahead =
        desk.queues.get(&ask.fleet).is_some_and(|queue| queue.has_waiting(ask.decision.class));
    let known = shared.known(&desk, ask.fleet, sight, work);
    let bound = admission_bound(&known.load, known.multiple, work);
    let own = known.homes.engine_state(holder.engine);
    let own = own.filter(|_| holder.home == shared.id() && !ahead);
    let wait = own.and_then(|slot| slot.wait_ms(bound));
    let cached = holder.cached_tokens.min(ask.prompt_tokens());
    choose_move(&sight.entry.rates, cached, wait)
}

/// Gives waiting requests the places that have come free.
pub(super) fn pump(shared: &RouterShared, desk: &mut HomeDesk, fleet: FleetKey, view: &RouterView) {
    let Some(sight) = view.fleets.get(&fleet) else { return };
    let Some(mut queue) = desk.queues.remove(&fleet) else { return };
    let now_ms = shared.clock.now_ms();
    for over in queue.expire(now_ms) {
        desk.tickets.remove(&over.ticket);
    }
    loop {
        let load = shared.fleet_load(desk, fleet, sight);
        let mut given = None;
        let popped = queue.pop(now_ms, |waiting| {
            let (class, workspace) = (waiting.class, waiting.workspace);
            let rule = admission_rule(desk, sight, fleet, class, workspace, now_ms);
            let open = desk.homes.homed().filter(|(engine, slot)| {
                slot.fleet == fleet
                    && !slot.closed
                    && waiting.only.is_none_or(|only| only == *engine)
            });
            let mut open: Vec<_> = open.map(|(engine, slot)| (slot.load(), engine)).collect();
            open.sort_unstable();
            given = open
                .into_iter()
                .map(|(_, engine)| engine)
                .find(|engine| desk.homes.admit(*engine, waiting.work, &load, rule).is_ok());
            given.is_some()
        });
        let (Some(waiting), Some(engine)) = (popped, given) else { break };
        desk.shares.enter(fleet, waiting.workspace);
        let sender = desk.tickets.remove(&waiting.ticket);
        if sender.is_none_or(|sender| sender.send(engine).is_err()) {
            desk.homes.release(engine, waiting.work, now_ms);
            desk.shares.leave(fleet, waiting.workspace);
        }
    }
    if !queue.is_empty() {
        desk.queues.insert(fleet, queue);
    }
}
