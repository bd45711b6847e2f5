//! Requests to plain upstreams, which serve one request with one whole answer.

use std::sync::Arc;
use std::time::Duration;

use super::http_client::{CallFailure, CallTimes};
use super::router_claims::claim;
use super::router_relay::AnswerSink;
use super::router_serve::ServeContext;
use super::router_shared::{lock, FleetInfo, HomeState, RouterShared, RouterView};
use super::seen::RequestPhase;
use crate::coordination::plain_choice::choose_by_own_load;
use crate::coordination::retry::may_retry;
use crate::coordination::upstream_candidate::{ChoiceError, UpstreamCandidate};
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus};
use crate::protocol::http::HttpReply;
use crate::protocol::peer_wire::RouteDecision;
use crate::protocol::plain;
use crate::state::claim_table::ClaimEnd;
use crate::state::ids::{FleetKey, UpstreamKey};

/// The maximum length in bytes of an answer that is sent to the caller as a whole.
pub(super) const MAX_ANSWER_BYTES: usize = 64 << 20;
/// The maximum number of upstreams that one request tries.
const MAX_TRIES: usize = 3;

/// Serves a plain request from an upstream of its fleet, with retries on other upstreams.
pub(super) fn serve_plain(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    sink: &mut AnswerSink<'_>,
) {
    let (shared, view, arrived) = (&cx.shared, &cx.view, cx.arrived);
    let Some(info) = view.fleets.get(&FleetKey::of(&decision.fleet)) else { return };
    lock(&shared.home_state).retries.earn();
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
    for attempt in 0..MAX_TRIES {
        if attempt > 0 && !lock(&shared.home_state).retries.spend() {
            break;
        }
        let upstream = match choose(shared, info, &request.request_id, &tried) {
            Ok(upstream) => upstream,
            Err(backoff_ms) => {
                last.retry_after_ms = backoff_ms.or(last.retry_after_ms);
                break;
            }
        };
        tried.push(upstream);
        match call_plain(shared, view, request, upstream, sink) {
            PlainEnd::Answered => {
                let us = arrived.elapsed().as_micros() as u64;
                shared.metrics.record(decision.class, &request.workspace, RequestPhase::Whole, us);
                if let Some(held) = held {
                    held.end(ClaimEnd::Done);
                }
                return;
            }
            PlainEnd::NotRun(text) | PlainEnd::BackingOff(text) => {
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
        shared.metrics.count("plain.retries");
    }
    if let Some(held) = held {
        held.end(end);
    }
    sink.fail(&last);
}

/// The outcome of a try on one plain upstream.
enum PlainEnd {
    Answered,
    NotRun(String),
    /// The upstream rejected the request and requested a back-off, which doesn't count against its
    /// health.
    BackingOff(String),
    Unknown(String),
}

/// Chooses an upstream and counts the request as in flight there.
///
/// The error holds the time in milliseconds until the first upstream ends its back-off, if all that
/// accept work are backing off, or else `None`.
fn choose(
    shared: &RouterShared,
    info: &FleetInfo,
    request_id: &str,
    tried: &[UpstreamKey],
) -> Result<UpstreamKey, Option<u64>> {
    let now_ms = shared.clock.now_ms();
    let mut home_state = lock(&shared.home_state);
    let candidates = candidates(&home_state, info, tried, now_ms);
    let chosen = choose_by_own_load(&candidates, UpstreamKey::of(request_id).0);
    let chosen = chosen.map_err(|error| match error {
        ChoiceError::BackingOff(backoff_ms) => Some(backoff_ms),
        ChoiceError::NoUpstream | ChoiceError::Full => None,
    })?;
    home_state.outliers.begin_trial(chosen, now_ms);
    *home_state.plain_in_flight.entry(chosen).or_default() += 1;
    Ok(chosen)
}

/// Returns the upstreams of a fleet that are neither ejected nor leaving. Their load counts only
/// this router's requests, since routers don't exchange the load of plain upstreams.
fn candidates(
    home_state: &HomeState,
    info: &FleetInfo,
    tried: &[UpstreamKey],
    now_ms: u64,
) -> Vec<UpstreamCandidate> {
    let candidate = |key: UpstreamKey| {
        let own = home_state.plain_in_flight.get(&key).copied().unwrap_or(0);
        UpstreamCandidate {
            own_load: own,
            tried: tried.contains(&key),
            backoff_ms: home_state.notices.backoff_ms(key, now_ms),
            ..UpstreamCandidate::idle(key)
        }
    };
    let staying = info.members.iter().copied().filter(|key| {
        info.view.engines.contains_key(key)
            && !home_state.leaving.is_leaving(*key)
            && !home_state.outliers.is_ejected(*key, now_ms)
    });
    staying.map(candidate).collect()
}

/// Sends a request to one upstream, and records the result for its health.
fn call_plain(
    shared: &Arc<RouterShared>,
    view: &RouterView,
    request: &CallerRequest,
    upstream: UpstreamKey,
    sink: &mut AnswerSink<'_>,
) -> PlainEnd {
    let end = match view.upstreams.get(&upstream) {
        None => PlainEnd::NotRun("it is gone".to_string()),
        Some(info) => {
            let call = plain::plain_call(request);
            let read = Duration::from_millis(request.deadline_ms.clamp(100, 120_000));
            let times = CallTimes { connect: Duration::from_millis(1000), read };
            let reply = shared.client.call(info.address, &call, times, MAX_ANSWER_BYTES, "plain");
            match reply {
                Ok(reply) if plain::was_not_run(&reply.headers) => {
                    let text = format!("status {}", reply.status);
                    match record_backoff(shared, upstream, &reply) {
                        true => PlainEnd::BackingOff(text),
                        false => PlainEnd::NotRun(text),
                    }
                }
                Ok(reply) => {
                    record_backoff(shared, upstream, &reply);
                    sink.set_upstream(&info.name);
                    sink.send_reply(reply, RanStatus::Yes);
                    PlainEnd::Answered
                }
                Err(CallFailure::NotSent { text }) => PlainEnd::NotRun(text),
                Err(CallFailure::Broken { text }) => PlainEnd::Unknown(text),
            }
        }
    };
    {
        let mut home_state = lock(&shared.home_state);
        let in_flight = home_state.plain_in_flight.entry(upstream).or_default();
        *in_flight = in_flight.saturating_sub(1);
        // Every outcome ends the trial; otherwise a refusal that doesn't count for or against its
        // health would keep the upstream ejected for good.
        home_state.outliers.end_trial(upstream);
        if matches!(end, PlainEnd::Answered) {
            home_state.outliers.note_success(upstream);
        }
    }
    if !matches!(end, PlainEnd::Answered | PlainEnd::BackingOff(_)) {
        shared.note_failure(upstream);
    }
    end
}

/// Records the back-off that an upstream requested; returns false when it requested none.
fn record_backoff(shared: &RouterShared, upstream: UpstreamKey, reply: &HttpReply) -> bool {
    let Some(backoff_ms) = plain::requested_backoff_ms(reply) else { return false };
    lock(&shared.home_state).notices.note_backoff(upstream, backoff_ms, shared.clock.next_ms());
    true
}
