//! Requests to plain upstreams.

use std::sync::Arc;
use std::time::Duration;

use super::http_client::{CallFailure, CallTimes};
use super::router_claims::claim;
use super::router_relay::AnswerSink;
use super::router_serve::ServeContext;
use super::router_shared::{lock, FleetSight, HomeDesk, RouterShared, RouterView};
use super::seen::SeenPhase;
use crate::coordination::plain_choice::choose_by_own_load;
use crate::coordination::retry::may_retry;
use crate::coordination::upstream_candidate::{ChoiceError, UpstreamCandidate};
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus};
use crate::protocol::http::HttpReply;
use crate::protocol::peer_wire::RouteDecision;
use crate::protocol::plain;
use crate::state::claim_table::ClaimEnd;
use crate::state::ids::{FleetKey, UpstreamKey};

/// The longest answer that is passed on whole, in bytes.
pub(super) const LONGEST_ANSWER: usize = 64 << 20;
const TRIES: usize = 3;

/// Serves a plain request from one of its fleet.
pub(super) fn serve_plain(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    sink: &mut AnswerSink<'_>,
) {
    let (shared, view, arrived) = (&cx.shared, &cx.view, cx.arrived);
    let Some(sight) = view.fleets.get(&FleetKey::of(&decision.fleet)) else { return };
    lock(&shared.desk).retries.earn();
    let held = if decision.run_once {
        match claim(shared, request) {
            Ok(held) => Some(held),
            Err(error) => return sink.fail(&error),
        }
    } else {
        None
    };
    let repeatable = plain::is_repeatable(&request.method) && !decision.run_once;
    let mut tried = Vec::new();
    let mut last = CallerError::not_run(503, "no_upstream", "No upstream takes work now.");
    let mut end = ClaimEnd::NotDispatched;
    for attempt in 0..TRIES {
        if attempt > 0 && !lock(&shared.desk).retries.spend() {
            break;
        }
        let upstream = match choose(shared, sight, &request.request_id, &tried) {
            Ok(upstream) => upstream,
            Err(rest_ms) => {
                last.retry_after_ms = rest_ms.or(last.retry_after_ms);
                break;
            }
        };
        tried.push(upstream);
        match call_plain(shared, view, request, upstream, sink) {
            PlainEnd::Answered => {
                let us = arrived.elapsed().as_micros() as u64;
                shared.seen.record(decision.class, &request.workspace, SeenPhase::Whole, us);
                if let Some(held) = held {
                    held.end(ClaimEnd::Done);
                }
                return;
            }
            PlainEnd::NotRun(text) | PlainEnd::Resting(text) => {
                let message = format!("The upstream did not take the request ({text}).");
                last = CallerError::not_run(503, "upstream_refused", message).after(1000);
            }
            PlainEnd::Unknown(text) => {
                let message = format!("The upstream failed before its answer was whole ({text}).");
                let error = CallerError::not_run(502, "upstream_failed", message);
                last = error.with_ran(RanStatus::Unknown);
                end = ClaimEnd::Unknown;
                if !may_retry(true, repeatable, false) {
                    break;
                }
            }
        }
        shared.seen.count("plain.retries");
    }
    if let Some(held) = held {
        held.end(end);
    }
    sink.fail(&last);
}

enum PlainEnd {
    Answered,
    NotRun(String),
    /// It turned the request away and asks for rest, which says nothing of its health.
    Resting(String),
    Unknown(String),
}

/// Chooses an upstream and counts the request there. Where there is none since all that take work rest, how long
/// the first of them does, in milliseconds.
fn choose(
    shared: &RouterShared,
    sight: &FleetSight,
    request_id: &str,
    tried: &[UpstreamKey],
) -> Result<UpstreamKey, Option<u64>> {
    let now_ms = shared.clock.now_ms();
    let mut desk = lock(&shared.desk);
    let candidates = candidates(&desk, sight, tried, now_ms);
    let chosen = choose_by_own_load(&candidates, UpstreamKey::of(request_id).0);
    let chosen = chosen.map_err(|fault| match fault {
        ChoiceError::BackingOff(rest_ms) => Some(rest_ms),
        ChoiceError::NoUpstream | ChoiceError::Full => None,
    })?;
    desk.outliers.begin_trial(chosen, now_ms);
    *desk.plain_in_flight.entry(chosen).or_default() += 1;
    Ok(chosen)
}

/// The upstreams that aren't set aside, as this router knows them: it receives no other router's requests.
fn candidates(
    desk: &HomeDesk,
    sight: &FleetSight,
    tried: &[UpstreamKey],
    now_ms: u64,
) -> Vec<UpstreamCandidate> {
    let candidate = |key: UpstreamKey| {
        let own = desk.plain_in_flight.get(&key).copied().unwrap_or(0);
        UpstreamCandidate {
            own_load: own,
            tried: tried.contains(&key),
            backoff_ms: desk.notices.backoff_ms(key, now_ms),
            ..UpstreamCandidate::idle(key)
        }
    };
    let staying = sight.members.iter().copied().filter(|key| {
        sight.view.engines.contains_key(key)
            && !desk.leaving.is_leaving(*key)
            && !desk.outliers.is_ejected(*key, now_ms)
    });
    staying.map(candidate).collect()
}

fn call_plain(
    shared: &Arc<RouterShared>,
    view: &RouterView,
    request: &CallerRequest,
    upstream: UpstreamKey,
    sink: &mut AnswerSink<'_>,
) -> PlainEnd {
    let end = match view.upstreams.get(&upstream) {
        None => PlainEnd::NotRun("it is gone".to_string()),
        Some(sight) => {
            let call = plain::plain_call(request);
            let read = Duration::from_millis(request.deadline_ms.clamp(100, 120_000));
            let times = CallTimes { connect: Duration::from_millis(1000), read };
            let reply = shared.client.call(sight.address, &call, times, LONGEST_ANSWER, "plain");
            match reply {
                Ok(reply) if plain::was_not_run(&reply.headers) => {
                    let text = format!("status {}", reply.status);
                    match hear_rest(shared, upstream, &reply) {
                        true => PlainEnd::Resting(text),
                        false => PlainEnd::NotRun(text),
                    }
                }
                Ok(reply) => {
                    hear_rest(shared, upstream, &reply);
                    sink.set_upstream(&sight.name);
                    sink.pass(reply, RanStatus::Yes);
                    PlainEnd::Answered
                }
                Err(CallFailure::NotSent { text }) => PlainEnd::NotRun(text),
                Err(CallFailure::Broken { text }) => PlainEnd::Unknown(text),
            }
        }
    };
    {
        let mut desk = lock(&shared.desk);
        let in_flight = desk.plain_in_flight.entry(upstream).or_default();
        *in_flight = in_flight.saturating_sub(1);
        // Whatever the end, or a refusal that says nothing of its health would keep it aside for good.
        desk.outliers.end_trial(upstream);
        if matches!(end, PlainEnd::Answered) {
            desk.outliers.note_success(upstream);
        }
    }
    if !matches!(end, PlainEnd::Answered | PlainEnd::Resting(_)) {
        shared.note_failure(upstream);
    }
    end
}

/// Notes the rest that an upstream asks for; false where it doesn't.
fn hear_rest(shared: &RouterShared, upstream: UpstreamKey, reply: &HttpReply) -> bool {
    let Some(rest_ms) = plain::requested_backoff_ms(reply) else { return false };
    lock(&shared.desk).notices.note_backoff(upstream, rest_ms, shared.clock.next_ms());
    true
}
