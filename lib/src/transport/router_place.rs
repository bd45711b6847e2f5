//! Placement of a chat request at its home router.
//!
//! The home tries the candidate engines in order, then queues the request, and finally refuses it.

use std::time::Duration;

use super::router_claims::HeldClaim;
use super::router_engines::{run_on_engine, RunEnd, UNREACHABLE_CODE};
use super::router_forward::{forward, ForwardEnd};
use super::router_home::{
    admit, candidates, chat_key, holder_choice, AdmittedSlot, PlacementRequest, QueueTicket,
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

/// Interval in milliseconds at which a request that no engine admitted tries the engines of other
/// homes again while it waits in the queue.
const RETRY_ELSEWHERE_MS: u64 = 40;
/// The maximum number of engines of other homes that are tried at each of these intervals.
const MAX_REMOTE_RETRIES: usize = 2;

/// Returns the error for a request that no engine can take now; the caller may retry after
/// `after_ms`.
pub(super) fn busy_error(after_ms: u64) -> CallerError {
    let text = "Every engine that may serve this is at its bound.";
    CallerError::not_run(503, "busy", text).after(after_ms)
}

/// Serves a chat request from its home: tries the candidate engines in order, then waits in the
/// queue, and refuses the request as not run when the policy's wait has passed.
pub(super) fn serve_at_home(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    sink: &mut AnswerSink<'_>,
) {
    let placement = PlacementRequest {
        request,
        decision,
        chat: chat_key(request),
        fleet: FleetKey::of(&decision.fleet),
        import_from: None,
    };
    lock(&cx.shared.home_state).retries.earn();
    let mut held: Option<HeldClaim> = None;
    let mut spent = None;
    let ranked = candidates(&cx.shared, &cx.view, &placement);
    let holder = ranked.first().filter(|candidate| candidate.cached_tokens > 0);
    let mut plan = MoveChoice::Recompute;
    for candidate in &ranked {
        let import = plan == MoveChoice::Import && candidate.cached_tokens == 0;
        let import_from = holder.filter(|_| import).map(|holder| holder.engine);
        let placement = PlacementRequest { import_from, ..placement };
        let end = match candidate.home == cx.shared.id() {
            true => try_local(cx, &placement, candidate, &mut held, sink),
            false if held.is_some() => continue,
            false => try_remote(cx, &placement, candidate, sink),
        };
        match end {
            None if holder.is_some_and(|holder| holder == candidate) => {
                plan = holder_choice(&cx.shared, &cx.view, &placement, candidate);
                if wait_for_holder(cx, &placement, candidate, plan, &mut held, sink) {
                    return;
                }
            }
            None => {}
            Some(RunEnd::Answered) => return,
            Some(RunEnd::TryElsewhere(error)) => {
                // A try whose connection never opened added no load, so it isn't charged to the
                // retry budget.
                let free = error.code == UNREACHABLE_CODE;
                if !free && !lock(&cx.shared.home_state).retries.spend() {
                    spent = Some(error);
                    break;
                }
                cx.shared.metrics.count("requests.retried");
            }
        }
    }
    match spent {
        Some(error) => {
            // Bytes of the last try may have been sent, so the claim ends with the status of that
            // try.
            if let Some(claim) = held {
                claim.end(claim_end_of(error.ran));
            }
            sink.fail(&error);
        }
        None => wait_and_serve(cx, &placement, &mut held, sink),
    }
}

/// Waits for the engine that holds the chat's prefix if `plan` is to wait; returns whether the
/// request was answered there.
fn wait_for_holder(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    holder: &PlaceCandidate,
    plan: MoveChoice,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> bool {
    let MoveChoice::Wait(max_wait_ms) = plan else { return false };
    cx.shared.metrics.count("requests.waited_for_holder");
    let view = &cx.view;
    let ticket = QueueTicket::enter(&cx.shared, view, placement, Some(*holder), max_wait_ms);
    let slot = ticket.and_then(|ticket| ticket.wait(max_wait_ms));
    let end = slot.map(|slot| run_on_engine(cx, placement, &slot, held, sink));
    matches!(end, Some(RunEnd::Answered))
}

/// Returns how a claim ends when the last try has this status.
fn claim_end_of(ran: RanStatus) -> ClaimEnd {
    match ran {
        RanStatus::No => ClaimEnd::NotDispatched,
        RanStatus::Yes => ClaimEnd::Done,
        RanStatus::Unknown => ClaimEnd::Unknown,
    }
}

/// Tries an engine of this home; returns `None` when the engine has no free capacity.
fn try_local(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    candidate: &PlaceCandidate,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> Option<RunEnd> {
    let slot =
        admit(&cx.shared, &cx.view, placement, candidate.engine, candidate.cached_tokens).ok()?;
    Some(run_on_engine(cx, placement, &slot, held, sink))
}

/// Forwards the request to the home of the engine; returns `None` when the engine has no free
/// capacity or the request cannot be forwarded.
fn try_remote(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    candidate: &PlaceCandidate,
    sink: &mut AnswerSink<'_>,
) -> Option<RunEnd> {
    let session = cx.view.roster.routers.get(&candidate.home)?;
    if cx.hops >= MAX_HOPS {
        return None;
    }
    cx.shared.metrics.count("requests.spilled");
    let purpose = ForwardPurpose::ToEngine {
        decision: placement.decision.clone(),
        engine: candidate.engine,
        cached_tokens: candidate.cached_tokens,
        import_from: placement.import_from,
    };
    match forward(cx, session.address, placement.request, purpose, sink) {
        ForwardEnd::Answered => {
            let tokens = placement.prompt_tokens() + placement.output_tokens();
            let incarnation = lock(&cx.shared.home_state).leaving.incarnation(candidate.engine);
            cx.shared.note_chat(
                placement.fleet,
                placement.chat,
                candidate.engine,
                incarnation,
                tokens,
            );
            Some(RunEnd::Answered)
        }
        ForwardEnd::TryElsewhere(error) if error.code == NO_CAPACITY_CODE => None,
        ForwardEnd::TryElsewhere(error) => Some(RunEnd::TryElsewhere(error)),
    }
}

/// Queues the request at this home until the policy's wait is over, then refuses it.
///
/// Every `RETRY_ELSEWHERE_MS` it also tries engines of other homes, since their load, the homes and
/// the leases may have changed in the meantime.
fn wait_and_serve(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) {
    cx.shared.metrics.count("requests.queued");
    let wait_ms = placement.decision.wait_ms;
    let left_ms = || wait_ms.saturating_sub(cx.arrived.elapsed().as_millis() as u64);
    let ticket = QueueTicket::enter(&cx.shared, &cx.view, placement, None, left_ms());
    while left_ms() > 0 {
        let slice_ms = left_ms().min(RETRY_ELSEWHERE_MS);
        match &ticket {
            Some(ticket) => {
                if let Some(slot) = ticket.wait(slice_ms) {
                    return serve_on_slot(&cx.renewed(), placement, &slot, held, sink);
                }
            }
            // The queue of this home is full, but an engine of another home may become free.
            None => std::thread::sleep(Duration::from_millis(slice_ms)),
        }
        if held.is_none() && serve_on_remote_engine(&cx.renewed(), placement, sink) {
            return;
        }
    }
    refuse_busy(cx, held, sink, 500 + wait_ms / 4);
}

/// Tries the best engines of other homes; returns whether the caller has received its
/// answer or an error.
fn serve_on_remote_engine(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    sink: &mut AnswerSink<'_>,
) -> bool {
    let ranked = candidates(&cx.shared, &cx.view, placement);
    let others = ranked.iter().filter(|candidate| candidate.home != cx.shared.id());
    for candidate in others.take(MAX_REMOTE_RETRIES) {
        match try_remote(cx, placement, candidate, sink) {
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

/// Refuses the request as busy. Earlier tries did not run it, or it may be repeated, so a held
/// claim is released as not dispatched.
fn refuse_busy(
    cx: &ServeContext,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
    retry_after_ms: u64,
) {
    cx.shared.metrics.count("requests.busy");
    if let Some(claim) = held.take() {
        claim.end(claim_end_of(RanStatus::No));
    }
    sink.fail(&busy_error(retry_after_ms));
}

/// Runs the request on an admitted slot as the last try: a failure is reported to the caller.
fn serve_on_slot(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    slot: &AdmittedSlot,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) {
    match run_on_engine(cx, placement, slot, held, sink) {
        RunEnd::Answered => {}
        RunEnd::TryElsewhere(error) => {
            if let Some(claim) = held.take() {
                claim.end(claim_end_of(error.ran));
            }
            sink.fail(&error);
        }
    }
}

/// The engine that a peer router chose for a forwarded request.
pub(super) struct EngineTarget {
    pub(super) engine: UpstreamKey,
    pub(super) cached_tokens: u32,
    pub(super) import_from: Option<UpstreamKey>,
}

/// Serves a forwarded request on one engine of this home, or refuses it when the engine has no free
/// capacity.
pub(super) fn serve_at_engine(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    target: EngineTarget,
    sink: &mut AnswerSink<'_>,
) {
    let fleet = FleetKey::of(&decision.fleet);
    let import_from = target.import_from;
    let placement =
        PlacementRequest { request, decision, chat: chat_key(request), fleet, import_from };
    let no_capacity = CallerError::not_run(503, NO_CAPACITY_CODE, "The engine has no room.");
    let slot = admit(&cx.shared, &cx.view, &placement, target.engine, target.cached_tokens);
    let Ok(slot) = slot else { return sink.fail(&no_capacity) };
    serve_on_slot(cx, &placement, &slot, &mut None, sink);
}
