//! Requests between routers: they are forwarded to the home of a chat, to the home of an engine, or
//! to a peer that has a lease.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::clock::wall_ms;
use super::http_client::{CallFailure, CallTimes, OpenReply};
use super::http_server::ResponseWriter;
use super::router_engines::{resume_for_caller, REFUSED_CODE, UNREACHABLE_CODE};
use super::router_place::{serve_at_engine, serve_at_home, EngineTarget};
use super::router_plain::MAX_ANSWER_BYTES;
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

/// The longest wait between two reads of a peer's answer, in milliseconds.
const FORWARD_READ_TIMEOUT_MS: u64 = 120_000;

/// The outcome of a forwarded request.
pub(super) enum ForwardEnd {
    /// The caller has received its answer or an explicit error.
    Answered,
    /// The peer did not accept the request, or failed before any part of the answer arrived.
    TryElsewhere(CallerError),
}

/// Makes the sealed HTTP call that forwards a request to a peer.
fn forward_call(cx: &ServeContext, request: &CallerRequest, purpose: ForwardPurpose) -> HttpCall {
    let hops = cx.hops + 1;
    let forwarded =
        ForwardRequest { from: cx.shared.id(), hops, purpose, request: request.clone() };
    let body = encode(&forwarded);
    let seal = cx.shared.maker.header(FORWARD_PATH, &body, wall_ms());
    HttpCall::post(FORWARD_PATH, body).with(SEAL_HEADER, seal)
}

/// Forwards a request and relays the answer. Another try elsewhere is safe even after bytes were
/// sent: a run-once request is claimed by the router that dispatches it, and any other may be
/// repeated.
pub(super) fn forward(
    cx: &ServeContext,
    address: SocketAddr,
    request: &CallerRequest,
    purpose: ForwardPurpose,
    sink: &mut AnswerSink<'_>,
) -> ForwardEnd {
    let mut request = request.clone();
    let spent = cx.arrived.elapsed().as_millis() as u64;
    request.deadline_ms = request.deadline_ms.saturating_sub(spent).max(1);
    let call = forward_call(cx, &request, purpose);
    let times = CallTimes {
        connect: Duration::from_millis(500),
        read: Duration::from_millis(FORWARD_READ_TIMEOUT_MS),
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
    handle_peer_reply(open, sink)
}

/// Relays a peer's stream. If the peer fails, the rest is requested directly from the engine.
fn relay_from_peer(
    cx: &ServeContext,
    request: &CallerRequest,
    open: OpenReply,
    upstream: &str,
    sink: &mut AnswerSink<'_>,
) {
    let mut order = PieceOrder::after(0);
    match relay_stream(open.body, &mut order, sink, |_| {}) {
        StreamEnd::Done | StreamEnd::CallerGone => {}
        StreamEnd::Failed(text) => {
            let message = "The engine failed before the answer was whole.";
            tracing::warn!(
                "relay: the engine of request {} failed behind a peer: {text}.",
                request.request_id
            );
            let error = CallerError::not_run(502, "upstream_failed", message);
            sink.fail(&error.with_ran(RanStatus::Unknown));
        }
        StreamEnd::Broken(text) => {
            tracing::warn!(
                "relay: the stream from a peer broke off ({text}); resumes at {upstream}."
            );
            cx.shared.metrics.count("streams.taken_over");
            let position = ResumePosition { upstream: upstream.to_string(), last: order.last() };
            resume_for_caller(cx, request, &position, sink);
        }
    }
}

/// Handles a peer's reply that is not a stream: a refusal that allows another try, or an answer
/// that is sent to the caller as a whole.
fn handle_peer_reply(open: OpenReply, sink: &mut AnswerSink<'_>) -> ForwardEnd {
    let ran = RanStatus::of(find_header(&open.headers, RAN_HEADER));
    let HttpReply { status, headers, body } = match open.whole(MAX_ANSWER_BYTES) {
        Ok(reply) => reply,
        Err(failure) => {
            let error = CallerError::not_run(502, "peer_failed", failure.to_string());
            return ForwardEnd::TryElsewhere(error.with_ran(ran));
        }
    };
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = value.pointer("/error/code").and_then(|code| code.as_str()).unwrap_or("");
    let retryable_codes =
        [NO_CAPACITY_CODE, "no_lease", "too_many_hops", REFUSED_CODE, UNREACHABLE_CODE];
    let rejected = status == 401 && code.is_empty();
    if ran == RanStatus::No && retryable_codes.contains(&code) || rejected {
        let error = CallerError::not_run(503, code, "The peer did not take the request.");
        return ForwardEnd::TryElsewhere(error.after(1000));
    }
    sink.send_reply(HttpReply { status, headers, body }, ran);
    ForwardEnd::Answered
}

/// Forwards a request to a peer that may serve it, since this router has no lease or is draining.
pub(super) fn forward_to_peer(
    cx: &ServeContext,
    request: &CallerRequest,
    sink: &mut AnswerSink<'_>,
) {
    if cx.hops >= MAX_HOPS {
        return sink.fail(&CallerError::not_run(503, "too_many_hops", "Passed on too often."));
    }
    cx.shared.metrics.count("requests.passed_on");
    for (_, address) in peers(&cx.view.roster, cx.shared.id(), &cx.shared.settings.zone) {
        match forward(cx, address, request, ForwardPurpose::AsEntry, sink) {
            ForwardEnd::Answered => return,
            ForwardEnd::TryElsewhere(error) if error.ran == RanStatus::No => {}
            ForwardEnd::TryElsewhere(error) => return sink.fail(&error),
        }
    }
    sink.fail(&no_lease_error());
}

/// Receives a request that a peer forwarded, after checking its seal.
pub(super) fn receive_forward(
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
        tracing::warn!("router: refused a forwarded request: {refusal}.");
        let _ = writer.send(&HttpReply { status: 401, ..HttpReply::default() });
        return;
    }
    let forwarded: ForwardRequest = match decode(&call.body) {
        Ok(forwarded) => forwarded,
        Err(text) => {
            let error = CallerError::not_run(400, "bad_forward", text);
            let _ = writer.send(&error.to_reply("-"));
            return;
        }
    };
    serve_forwarded(shared, forwarded, writer, arrived);
}

/// Serves a forwarded request for the purpose for which the peer sent it.
fn serve_forwarded(
    shared: &Arc<RouterShared>,
    forwarded: ForwardRequest,
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    let ForwardRequest { hops, purpose, mut request, .. } = forwarded;
    // Between routers an answer is always a stream, so that the sender can detect whether it
    // is complete.
    if let Some(facts) = &mut request.facts {
        facts.stream = true;
    }
    // The lease is checked before the view is read, so that the view is at least as new as the
    // version that the lease covers.
    let leased = shared.is_leased();
    let cx = ServeContext { shared: shared.clone(), view: shared.view(), arrived, hops };
    let mut sink = AnswerSink::new(writer, true, &request.request_id, hops);
    if hops > MAX_HOPS {
        return sink.fail(&CallerError::not_run(503, "too_many_hops", "Passed on too often."));
    }
    // A draining router with a lease continues to serve as a home until its peers use other homes.
    if !leased {
        return sink.fail(&no_lease_error());
    }
    match purpose {
        ForwardPurpose::AsEntry => serve_entry(&cx, &request, &mut sink),
        ForwardPurpose::ToChatHome(decision) => serve_at_home(&cx, &request, &decision, &mut sink),
        ForwardPurpose::ToEngine { decision, engine, cached_tokens, import_from } => {
            let target = EngineTarget { engine, cached_tokens, import_from };
            serve_at_engine(&cx, &request, &decision, target, &mut sink);
        }
    }
}
