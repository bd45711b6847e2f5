//! Requests between routers: passed on to a chat's home, to an engine's home, or to a
//! peer whose lease holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::clock::wall_ms;
use super::http_client::{CallFailure, CallTimes, OpenReply};
use super::http_server::ResponseWriter;
use super::router_engines::{resume_for_caller, REFUSED_CODE, UNREACHABLE_CODE};
use super::router_place::{serve_at_engine, serve_at_home, EngineTarget};
use super::router_plain::LONGEST_ANSWER;
use super::router_relay::{relay_stream, AnswerSink, StreamEnd};
use super::router_serve::{no_lease_error, serve_entry, ServeContext};
use super::router_shared::{lock, RouterShared};
use crate::coordination::directory::peers;
use crate::coordination::relay::PieceOrder;
use crate::protocol::caller::{
    CallerError, CallerRequest, RanStatus, ResumePosition, HOPS_HEADER, RAN_HEADER,
    UPSTREAM_HEADER, USE_HEADER,
};
use crate::protocol::http::{find_header, HttpCall, HttpReply};
use crate::protocol::keeper_wire::{decode, encode};
use crate::protocol::peer_wire::{
    ForwardPurpose, ForwardRequest, FORWARD_PATH, MAX_HOPS, NO_CAPACITY_CODE,
};
use crate::protocol::seal::SEAL_HEADER;

const FORWARD_READ_MS: u64 = 120_000;

/// What became of a request that was passed on.
pub(super) enum ForwardEnd {
    /// The caller has its answer.
    Answered,
    /// The peer did not take it, or failed before anything of the answer came.
    TryElsewhere(CallerError),
}

fn forward_call(cx: &ServeContext, request: &CallerRequest, aim: ForwardPurpose) -> HttpCall {
    let hops = cx.hops + 1;
    let passed =
        ForwardRequest { from: cx.shared.id(), hops, purpose: aim, request: request.clone() };
    let body = encode(&passed);
    let seal = cx.shared.maker.header(FORWARD_PATH, &body, wall_ms());
    HttpCall::post(FORWARD_PATH, body).with(SEAL_HEADER, seal)
}

/// Passes a request on and relays the answer. Sending it again elsewhere is safe also after
/// bytes were sent: a run-once request is claimed by the router that dispatches it, and another may
/// be repeated.
pub(super) fn forward(
    cx: &ServeContext,
    address: SocketAddr,
    request: &CallerRequest,
    aim: ForwardPurpose,
    sink: &mut AnswerSink<'_>,
) -> ForwardEnd {
    let mut request = request.clone();
    let spent = cx.arrived.elapsed().as_millis() as u64;
    request.deadline_ms = request.deadline_ms.saturating_sub(spent).max(1);
    let call = forward_call(cx, &request, aim);
    let times = CallTimes {
        connect: Duration::from_millis(500),
        read: Duration::from_millis(FORWARD_READ_MS),
    };
    let open = match cx.shared.client.open(address, &call, times, "forward") {
        Ok(open) => open,
        Err(failure) => {
            let ran = match failure {
                CallFailure::NotSent { .. } => RanStatus::No,
                CallFailure::Broken { .. } => RanStatus::Unknown,
            };
            let error = CallerError::not_run(503, "peer_failed", failure.to_string());
            return ForwardEnd::TryElsewhere(error.with_ran(ran));
        }
    };
    let hops = find_header(&open.headers, HOPS_HEADER).and_then(|text| text.parse().ok());
    sink.set_hops(hops.unwrap_or(1));
    let upstream = find_header(&open.headers, UPSTREAM_HEADER).unwrap_or("").to_string();
    sink.set_upstream(&upstream);
    sink.set_router(find_header(&open.headers, USE_HEADER).and_then(|text| text.parse().ok()));
    let kind = find_header(&open.headers, "content-type").unwrap_or("");
    if open.status == 200 && kind.starts_with("text/event-stream") {
        relay_from_peer(cx, &request, open, &upstream, sink);
        return ForwardEnd::Answered;
    }
    take_peer_reply(open, sink)
}

/// Relays a peer's stream; if the peer dies, the engine is asked directly for the rest.
fn relay_from_peer(
    cx: &ServeContext,
    request: &CallerRequest,
    open: OpenReply,
    upstream: &str,
    sink: &mut AnswerSink<'_>,
) {
    let mut order = PieceOrder::after(0);
    match relay_stream(open.body, &mut order, sink, |_| {}) {
        StreamEnd::Done | StreamEnd::SinkGone => {}
        StreamEnd::Failed(text) => {
            let message = "The engine failed before the answer was whole.";
            tracing::warn!("relay: request {} failed at a peer: {text}.", request.request_id);
            let error = CallerError::not_run(502, "upstream_failed", message);
            sink.fail(&error.with_ran(RanStatus::Unknown));
        }
        StreamEnd::Broken(text) => {
            tracing::warn!("relay: a peer broke off ({text}), asking {upstream} itself.");
            cx.shared.seen.count("streams.taken_over");
            let place = ResumePosition { upstream: upstream.to_string(), last: order.last() };
            resume_for_caller(cx, request, &place, sink);
        }
    }
}

/// Takes a peer's refusal, or an answer that it passes on whole.
fn take_peer_reply(open: OpenReply, sink: &mut AnswerSink<'_>) -> ForwardEnd {
    let ran = RanStatus::of(find_header(&open.headers, RAN_HEADER));
    let HttpReply { status, headers, body } = match open.whole(LONGEST_ANSWER) {
        Ok(reply) => reply,
        Err(failure) => {
            let error = CallerError::not_run(502, "peer_failed", failure.to_string());
            return ForwardEnd::TryElsewhere(error.with_ran(ran));
        }
    };
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = value.pointer("/error/code").and_then(|code| code.as_str()).unwrap_or("");
    let elsewhere = [NO_CAPACITY_CODE, "no_lease", "too_many_hops", REFUSED_CODE, UNREACHABLE_CODE];
    let not_taken = status == 401 && code.is_empty();
    if ran == RanStatus::No && elsewhere.contains(&code) || not_taken {
        let error = CallerError::not_run(503, code, "The peer did not take the request.");
        return ForwardEnd::TryElsewhere(error.after(1000));
    }
    sink.pass(HttpReply { status, headers, body }, ran);
    ForwardEnd::Answered
}

/// A router without a lease, or draining, passes callers on to one that may serve.
pub(super) fn pass_to_peer(cx: &ServeContext, request: &CallerRequest, sink: &mut AnswerSink<'_>) {
    if cx.hops >= MAX_HOPS {
        return sink.fail(&CallerError::not_run(503, "too_many_hops", "Passed on too often."));
    }
    cx.shared.seen.count("requests.passed_on");
    for (_, address) in peers(&cx.view.roster, cx.shared.id(), &cx.shared.settings.zone) {
        match forward(cx, address, request, ForwardPurpose::AsEntry, sink) {
            ForwardEnd::Answered => return,
            ForwardEnd::TryElsewhere(error) if error.ran == RanStatus::No => {}
            ForwardEnd::TryElsewhere(error) => return sink.fail(&error),
        }
    }
    sink.fail(&no_lease_error());
}

/// A request that a peer passed on.
pub(super) fn take_forward(
    shared: &Arc<RouterShared>,
    call: &HttpCall,
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    let checked = lock(&shared.checker).check_header(
        call.header(SEAL_HEADER),
        FORWARD_PATH,
        &call.body,
        wall_ms(),
    );
    if let Err(refusal) = checked {
        tracing::warn!("router: refused a passed request: {refusal}.");
        let _ = writer.send(&HttpReply { status: 401, ..HttpReply::default() });
        return;
    }
    let passed: ForwardRequest = match decode(&call.body) {
        Ok(passed) => passed,
        Err(text) => {
            let error = CallerError::not_run(400, "bad_forward", text);
            let _ = writer.send(&error.to_reply("-"));
            return;
        }
    };
    serve_passed(shared, passed, writer, arrived);
}

fn serve_passed(
    shared: &Arc<RouterShared>,
    passed: ForwardRequest,
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    let ForwardRequest { hops, purpose: aim, mut request, .. } = passed;
    // Between routers an answer always streams, so that the sender sees what is whole.
    if let Some(facts) = &mut request.facts {
        facts.stream = true;
    }
    // The lease first: the view that is read after it holds all that the lease vouches for.
    let leased = shared.is_leased();
    let cx = ServeContext { shared: shared.clone(), view: shared.view(), arrived, hops };
    let mut sink = AnswerSink::new(writer, true, &request.request_id, hops);
    if hops > MAX_HOPS {
        return sink.fail(&CallerError::not_run(503, "too_many_hops", "Passed on too often."));
    }
    // A draining router goes on serving as a home until its peers have turned elsewhere.
    if !leased {
        return sink.fail(&no_lease_error());
    }
    match aim {
        ForwardPurpose::AsEntry => serve_entry(&cx, &request, &mut sink),
        ForwardPurpose::ToChatHome(decision) => serve_at_home(&cx, &request, &decision, &mut sink),
        ForwardPurpose::ToEngine { decision, engine, cached_tokens, import_from } => {
            let target = EngineTarget { engine, cached_tokens, import_from };
            serve_at_engine(&cx, &request, &decision, target, &mut sink);
        }
    }
}
