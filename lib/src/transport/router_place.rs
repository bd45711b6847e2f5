//! Placing a chat at its home: the candidates in order, then the queue, then a refusal.

use std::time::Duration;

use super::router_claims::HeldClaim;
use super::router_engines::{run_on_engine, RunEnd, UNREACHABLE_CODE};
use super::router_forward::{forward, ForwardEnd};
use super::router_home::{
    admit, candidates, chat_key, move_choice, AdmittedSlot, HomeAsk, QueueTicket,
};
use super::router_relay::AnswerSink;
use super::router_serve::ServeContext;
use super::router_shared::lock;
use crate::coordination::kv_move::MoveChoice;
use crate::coordination::placement::PlaceCandidate;
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus};
use crate::protocol::peer_wire::{ForwardPurpose, RouteDecision, MAX_HOPS, NO_CAPACITY_CODE};
use crate::state::claim_table::ClaimEnd;
use crate::state::ids::{FleetKey, UpstreamKey};

/// A request that found no place looks again after this, in milliseconds.
const LOOK_AGAIN_MS: u64 = 40;
/// So many engines of other homes are asked each time.
const PLACES_LOOKED_AT_AGAIN: usize = 2;

/// A request that the system gives up on is answered at once, with a time to come back.
pub(super) fn busy_error(after_ms: u64) -> CallerError {
    let text = "Every engine that may serve this is at its bound.";
    CallerError::not_run(503, "busy", text).after(after_ms)
}

/// Places a chat: the candidates in order, then the queue, then a refusal as not run.
pub(super) fn serve_at_home(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    sink: &mut AnswerSink<'_>,
) {
    let ask = HomeAsk {
        request,
        decision,
        chat: chat_key(request),
        fleet: FleetKey::of(&decision.fleet),
        import_from: None,
    };
    lock(&cx.shared.desk).retries.earn();
    let mut held: Option<HeldClaim> = None;
    let mut spent = None;
    let places = candidates(&cx.shared, &cx.view, &ask);
    let holder = places.first().filter(|place| place.cached_tokens > 0);
    let mut plan = MoveChoice::Recompute;
    for candidate in &places {
        let import = plan == MoveChoice::Import && candidate.cached_tokens == 0;
        let import_from = holder.filter(|_| import).map(|holder| holder.engine);
        let ask = HomeAsk { import_from, ..ask };
        let end = match candidate.home == cx.shared.id() {
            true => try_here(cx, &ask, candidate, &mut held, sink),
            false if held.is_some() => continue,
            false => try_there(cx, &ask, candidate, sink),
        };
        match end {
            None if holder.is_some_and(|holder| holder == candidate) => {
                plan = move_choice(&cx.shared, &cx.view, &ask, candidate);
                if wait_for_holder(cx, &ask, candidate, plan, &mut held, sink) {
                    return;
                }
            }
            None => {}
            Some(RunEnd::Answered) => return,
            Some(RunEnd::TryElsewhere(error)) => {
                // A connection that never opened multiplied no load, so it costs no retry.
                let free = error.code == UNREACHABLE_CODE;
                if !free && !lock(&cx.shared.desk).retries.spend() {
                    spent = Some(error);
                    break;
                }
                cx.shared.seen.count("requests.retried");
            }
        }
    }
    match spent {
        Some(error) => {
            // Bytes of a tried request may have been sent; the claim says what is known.
            if let Some(claim) = held {
                claim.end(claim_end_of(error.ran));
            }
            sink.fail(&error);
        }
        None => wait_and_serve(cx, &ask, &mut held, sink),
    }
}

/// Waits for the holder when that is the cheapest; true when the request was answered there.
fn wait_for_holder(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    holder: &PlaceCandidate,
    plan: MoveChoice,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> bool {
    let MoveChoice::Wait(patience_ms) = plan else { return false };
    cx.shared.seen.count("requests.waited_for_holder");
    let view = &cx.view;
    let ticket = QueueTicket::enter(&cx.shared, view, ask, Some(*holder), patience_ms);
    let slot = ticket.and_then(|ticket| ticket.wait(patience_ms));
    let end = slot.map(|slot| run_on_engine(cx, ask, &slot, held, sink));
    matches!(end, Some(RunEnd::Answered))
}

fn claim_end_of(ran: RanStatus) -> ClaimEnd {
    match ran {
        RanStatus::No => ClaimEnd::NotDispatched,
        RanStatus::Yes => ClaimEnd::Done,
        RanStatus::Unknown => ClaimEnd::Unknown,
    }
}

/// `None` when the engine has no room.
fn try_here(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    candidate: &PlaceCandidate,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> Option<RunEnd> {
    let slot = admit(&cx.shared, &cx.view, ask, candidate.engine, candidate.cached_tokens).ok()?;
    Some(run_on_engine(cx, ask, &slot, held, sink))
}

/// Asks the engine's own home; `None` when it has no room.
fn try_there(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    candidate: &PlaceCandidate,
    sink: &mut AnswerSink<'_>,
) -> Option<RunEnd> {
    let session = cx.view.roster.routers.get(&candidate.home)?;
    if cx.hops >= MAX_HOPS {
        return None;
    }
    cx.shared.seen.count("requests.spilled");
    let aim = ForwardPurpose::ToEngine {
        decision: ask.decision.clone(),
        engine: candidate.engine,
        cached_tokens: candidate.cached_tokens,
        import_from: ask.import_from,
    };
    match forward(cx, session.address, ask.request, aim, sink) {
        ForwardEnd::Answered => {
            let tokens = ask.prompt_tokens() + ask.output_tokens();
            let life = lock(&cx.shared.desk).leaving.incarnation(candidate.engine);
            cx.shared.note_chat(ask.fleet, ask.chat, candidate.engine, life, tokens);
            Some(RunEnd::Answered)
        }
        ForwardEnd::TryElsewhere(error) if error.code == NO_CAPACITY_CODE => None,
        ForwardEnd::TryElsewhere(error) => Some(RunEnd::TryElsewhere(error)),
    }
}

/// No engine has room: queues at this home, and meanwhile looks again elsewhere now and then, since
/// engines of other homes grow light and homes and leases move; until the policy's wait is over.
fn wait_and_serve(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) {
    cx.shared.seen.count("requests.queued");
    let wait_ms = ask.decision.wait_ms;
    let left_ms = || wait_ms.saturating_sub(cx.arrived.elapsed().as_millis() as u64);
    let ticket = QueueTicket::enter(&cx.shared, &cx.view, ask, None, left_ms());
    while left_ms() > 0 {
        let slice_ms = left_ms().min(LOOK_AGAIN_MS);
        match &ticket {
            Some(ticket) => {
                if let Some(slot) = ticket.wait(slice_ms) {
                    return serve_on_slot(&cx.renewed(), ask, &slot, held, sink);
                }
            }
            // The queue here is full; elsewhere there may be room.
            None => std::thread::sleep(Duration::from_millis(slice_ms)),
        }
        if held.is_none() && serve_elsewhere(&cx.renewed(), ask, sink) {
            return;
        }
    }
    refuse_busy(cx, held, sink, 500 + wait_ms / 4);
}

/// Tries the engines of other homes; true when the request was answered.
fn serve_elsewhere(cx: &ServeContext, ask: &HomeAsk<'_>, sink: &mut AnswerSink<'_>) -> bool {
    let places = candidates(&cx.shared, &cx.view, ask);
    let others = places.iter().filter(|place| place.home != cx.shared.id());
    for place in others.take(PLACES_LOOKED_AT_AGAIN) {
        match try_there(cx, ask, place, sink) {
            Some(RunEnd::Answered) => return true,
            Some(RunEnd::TryElsewhere(error)) if error.ran != RanStatus::No => {
                sink.fail(&error);
                return true;
            }
            _ => {}
        }
    }
    false
}

/// What was tried before did not run, or may be repeated: a claim is given back.
fn refuse_busy(
    cx: &ServeContext,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
    retry_after_ms: u64,
) {
    cx.shared.seen.count("requests.busy");
    if let Some(claim) = held.take() {
        claim.end(claim_end_of(RanStatus::No));
    }
    sink.fail(&busy_error(retry_after_ms));
}

/// The last try: what it does not answer is refused.
fn serve_on_slot(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    slot: &AdmittedSlot,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) {
    match run_on_engine(cx, ask, slot, held, sink) {
        RunEnd::Answered => {}
        RunEnd::TryElsewhere(error) => {
            if let Some(claim) = held.take() {
                claim.end(claim_end_of(error.ran));
            }
            sink.fail(&error);
        }
    }
}

/// The engine that a peer chose.
pub(super) struct EngineTarget {
    pub(super) engine: UpstreamKey,
    pub(super) cached_tokens: u32,
    pub(super) import_from: Option<UpstreamKey>,
}

/// Serves on one engine of this home, or says that there is no room.
pub(super) fn serve_at_engine(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    target: EngineTarget,
    sink: &mut AnswerSink<'_>,
) {
    let fleet = FleetKey::of(&decision.fleet);
    let import_from = target.import_from;
    let ask = HomeAsk { request, decision, chat: chat_key(request), fleet, import_from };
    let no_room = CallerError::not_run(503, NO_CAPACITY_CODE, "The engine has no room.");
    let slot = admit(&cx.shared, &cx.view, &ask, target.engine, target.cached_tokens);
    let Ok(slot) = slot else { return sink.fail(&no_room) };
    serve_on_slot(cx, &ask, &slot, &mut None, sink);
}
