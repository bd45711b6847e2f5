//! Execution of a request on an engine: claim, dispatch, relay of the answer, resume and cancel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::http_client::{CallFailure, CallTimes, OpenReply};
use super::router_claims::{claim, HeldClaim};
use super::router_home::{AdmittedSlot, PlacementRequest};
use super::router_relay::{relay_stream, AnswerSink, StreamEnd};
use super::router_serve::ServeContext;
use super::router_shared::{lock, RouterShared};
use super::seen::RequestPhase;
use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::relay::PieceOrder;
use crate::coordination::retry::may_retry;
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus, ResumePosition};
use crate::protocol::engine::{self, EngineHead};
use crate::state::claim_table::ClaimEnd;
use crate::state::ids::{Incarnation, UpstreamKey};

/// The longest wait between two reads of a stream, in milliseconds. It is long because the first
/// token may wait behind other work of the engine.
const PIECE_TIMEOUT_MS: u64 = 30_000;
/// The maximum number of attempts in a row to resume a stream that broke off.
const MAX_RESUMES: u32 = 5;
/// The pause before an attempt to resume; within one break it grows with the number of attempts.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// How long a caller that was disconnected may resume before its run is cancelled.
const RESUME_GRACE: Duration = Duration::from_millis(2000);
/// The maximum length in bytes of an engine's refusal, which is read whole.
const MAX_REFUSAL_BYTES: usize = 64 << 10;
/// The maximum time for the import of a KV prefix, in milliseconds.
const IMPORT_TIMEOUT_MS: u64 = 3000;
/// The error code of a try that an engine refused without running the request.
pub(super) const REFUSED_CODE: &str = "upstream_refused";
/// The error code of a try whose connection never opened, so that it added no load to the engine.
pub(super) const UNREACHABLE_CODE: &str = "upstream_unreachable";

/// The outcome of a try on one engine.
pub(super) enum RunEnd {
    /// The caller has received its answer or an explicit error, or is gone.
    Answered,
    /// The request did not run on the engine or may be repeated, and the caller has received
    /// nothing.
    TryElsewhere(CallerError),
}

/// One try of a request on one engine.
struct EngineRun<'a, 'w> {
    shared: &'a Arc<RouterShared>,
    address: SocketAddr,
    engine: UpstreamKey,
    run: String,
    placement: &'a PlacementRequest<'a>,
    sink: &'a mut AnswerSink<'w>,
    arrived: Instant,
    order: PieceOrder<String>,
    reader: u64,
    incarnation: Incarnation,
}

/// Runs a request on the engine of `slot`. A run-once request is claimed first; `held` keeps the
/// claim across tries on several engines of this home.
pub(super) fn run_on_engine(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    slot: &AdmittedSlot,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> RunEnd {
    let (shared, view, arrived) = (&cx.shared, &cx.view, cx.arrived);
    let Some(info) = view.upstreams.get(&slot.engine) else {
        return RunEnd::TryElsewhere(removed_error());
    };
    if let Some(holder) = placement.import_from {
        import_prefix(cx, placement, info.address, holder);
    }
    if placement.decision.run_once && held.is_none() {
        match claim(shared, placement.request) {
            Ok(claim) => *held = Some(claim),
            Err(error) => {
                shared.metrics.count("claims.refused");
                sink.fail(&error);
                return RunEnd::Answered;
            }
        }
    }
    sink.set_upstream(&info.name);
    sink.set_router(Some(shared.settings.address));
    let waited = arrived.elapsed().as_micros() as u64;
    shared.metrics.record(
        placement.decision.class,
        &placement.request.workspace,
        RequestPhase::Wait,
        waited,
    );
    let mut run = EngineRun {
        shared,
        address: info.address,
        engine: slot.engine,
        run: engine::run_id(&placement.request.workspace, &placement.request.request_id),
        placement,
        sink,
        arrived,
        order: PieceOrder::after(0),
        reader: 0,
        incarnation: lock(&shared.home_state).leaving.incarnation(slot.engine),
    };
    run.start(held)
}

/// Requests the engine to import the chat's KV prefix from its holder. If the import fails, the
/// engine computes the prefix itself.
fn import_prefix(
    cx: &ServeContext,
    placement: &PlacementRequest<'_>,
    address: SocketAddr,
    holder: UpstreamKey,
) {
    let Some(from) = cx.view.upstreams.get(&holder) else { return };
    let call = engine::import_call(placement.chat, from.address, placement.prompt_tokens());
    let times = CallTimes::of_ms(IMPORT_TIMEOUT_MS);
    let reply = cx.shared.client.call(address, &call, times, MAX_REFUSAL_BYTES, "engine");
    let done = reply.is_ok_and(|reply| reply.status == 200);
    cx.shared.metrics.count(if done { "kv.imported" } else { "kv.not_imported" });
}

fn removed_error() -> CallerError {
    CallerError::not_run(503, "no_upstream", "The engine is not in the configuration any more.")
}

impl EngineRun<'_, '_> {
    /// Sends the request to the engine and handles its reply to the end.
    fn start(&mut self, held: &mut Option<HeldClaim>) -> RunEnd {
        let request = self.placement.request;
        let priority = self.placement.decision.class.priority();
        let call = engine::start_call(&self.run, priority, self.placement.chat, &request.body);
        let times = CallTimes {
            connect: Duration::from_millis(1000),
            read: Duration::from_millis(PIECE_TIMEOUT_MS),
        };
        match self.shared.client.open(self.address, &call, times, "engine") {
            Ok(reply) if reply.status == 200 => self.relay_to_end(reply, held),
            Ok(reply) => self.handle_refusal(reply, held),
            Err(CallFailure::NotSent { text }) => {
                self.note_failure();
                let error = self.not_run(&text);
                RunEnd::TryElsewhere(CallerError { code: UNREACHABLE_CODE.to_string(), ..error })
            }
            Err(CallFailure::Broken { text }) => {
                self.note_failure();
                self.after_break(text, held)
            }
        }
    }

    /// Handles a reply other than 200, which means that the engine did not run the request.
    fn handle_refusal(&mut self, reply: OpenReply, held: &mut Option<HeldClaim>) -> RunEnd {
        let head = engine::read_head(&reply.headers);
        self.note_head(&head);
        if reply.status >= 500 || reply.status == 429 {
            if !head.leaving {
                self.note_failure();
            }
            return RunEnd::TryElsewhere(self.not_run(&format!("status {}", reply.status)));
        }
        let answer = match reply.whole(MAX_REFUSAL_BYTES) {
            Ok(answer) => answer,
            // The status alone states that the request did not run.
            Err(failure) => {
                self.note_failure();
                return RunEnd::TryElsewhere(self.not_run(&failure.to_string()));
            }
        };
        self.sink.send_reply(answer, RanStatus::No);
        end_claim(held, ClaimEnd::NotDispatched);
        RunEnd::Answered
    }

    /// Relays the stream to its end and resumes it when it breaks off.
    fn relay_to_end(&mut self, reply: OpenReply, held: &mut Option<HeldClaim>) -> RunEnd {
        let mut reply = reply;
        let mut tries = 0;
        loop {
            let head = engine::read_head(&reply.headers);
            self.note_head(&head);
            self.reader = head.reader;
            if tries == 0 {
                self.note_chat(&head);
            }
            let before = self.order.last();
            match self.relay(reply) {
                StreamEnd::Done => {
                    self.finish();
                    end_claim(held, ClaimEnd::Done);
                    return RunEnd::Answered;
                }
                StreamEnd::CallerGone => {
                    self.cancel_after_grace();
                    end_claim(held, ClaimEnd::Unknown);
                    return RunEnd::Answered;
                }
                StreamEnd::Failed(text) => return self.give_up(&text, held),
                StreamEnd::Broken(text) => {
                    if self.order.last() > before {
                        tries = 0;
                    }
                    match self.resume(&mut tries) {
                        Some(next) => reply = next,
                        None => return self.after_break(text, held),
                    }
                }
            }
        }
    }

    /// Relays one stream to the caller and records the times of its pieces.
    fn relay(&mut self, reply: OpenReply) -> StreamEnd {
        let (metrics, class) = (&self.shared.metrics, self.placement.decision.class);
        let workspace = &self.placement.request.workspace;
        let mut last: Option<Instant> = None;
        let arrived = self.arrived;
        relay_stream(reply.body, &mut self.order, self.sink, |number| {
            let now = Instant::now();
            if number == 1 {
                let us = now.duration_since(arrived).as_micros() as u64;
                metrics.record(class, workspace, RequestPhase::FirstToken, us);
            } else if let Some(last) = last {
                let us = now.duration_since(last).as_micros() as u64;
                metrics.record(class, workspace, RequestPhase::BetweenTokens, us);
            }
            last = Some(now);
        })
    }

    /// Resumes the run after the last piece that was sent to the caller.
    fn resume(&mut self, tries: &mut u32) -> Option<OpenReply> {
        let call = engine::resume_call(&self.run, self.order.last());
        let times = CallTimes::of_ms(PIECE_TIMEOUT_MS);
        while *tries < MAX_RESUMES {
            *tries += 1;
            self.shared.metrics.count("streams.resumed");
            match self.shared.client.open(self.address, &call, times, "engine") {
                Ok(reply) if reply.status == 200 => return Some(reply),
                Ok(_) | Err(CallFailure::NotSent { .. }) => return None,
                Err(CallFailure::Broken { .. }) => std::thread::sleep(RESUME_PAUSE * *tries),
            }
        }
        None
    }

    /// Handles a run that broke off and could not be resumed so far. Another engine may be tried
    /// when this engine reports that it never ran the request, or when the request is repeatable
    /// and the caller has received nothing.
    fn after_break(&mut self, text: String, held: &mut Option<HeldClaim>) -> RunEnd {
        let call = engine::resume_call(&self.run, self.order.last());
        let times = CallTimes::of_ms(PIECE_TIMEOUT_MS);
        let reopened = self.shared.client.open(self.address, &call, times, "engine");
        if let Ok(reply) = reopened {
            let head = engine::read_head(&reply.headers);
            if reply.status == 200 {
                return self.relay_to_end(reply, held);
            }
            // Only the incarnation that the request was sent to can rule out that it ran it.
            let same_incarnation =
                self.incarnation != Incarnation(0) && head.incarnation == self.incarnation;
            if reply.status == 404 && same_incarnation && self.order.last() == 0 {
                return RunEnd::TryElsewhere(self.not_run(&text));
            }
        }
        self.note_failure();
        let repeatable = !self.placement.decision.run_once;
        if may_retry(true, repeatable, self.sink.has_begun()) {
            self.sink.discard_text();
            return RunEnd::TryElsewhere(self.not_run(&text).with_ran(RanStatus::Unknown));
        }
        self.give_up(&text, held)
    }

    /// Fails the request with an explicit error after its run broke off for good.
    fn give_up(&mut self, text: &str, held: &mut Option<HeldClaim>) -> RunEnd {
        tracing::warn!(
            "relay: request {} failed before its answer was complete: {text}.",
            self.placement.request.request_id
        );
        let message = "The engine failed before the answer was whole.";
        let error = CallerError::not_run(502, "upstream_failed", message);
        self.sink.fail(&error.with_ran(RanStatus::Unknown));
        end_claim(held, ClaimEnd::Unknown);
        RunEnd::Answered
    }

    /// Returns the error for a request that the engine did not run.
    fn not_run(&self, text: &str) -> CallerError {
        let message = format!("The engine did not take the request ({text}).");
        CallerError::not_run(503, REFUSED_CODE, message).after(1000)
    }

    /// Records the incarnation and the leaving state that the head of an engine's reply reports.
    fn note_head(&mut self, head: &EngineHead) {
        if head.incarnation != Incarnation(0) {
            self.incarnation = head.incarnation;
            self.shared.note_incarnation(self.engine, head.incarnation);
        }
        if head.leaving {
            let leaving =
                LeavingIncarnation { upstream: self.engine, incarnation: head.incarnation };
            self.shared.note_leaving(leaving);
        }
    }

    /// Records that this engine holds the chat's prefix now.
    fn note_chat(&self, head: &EngineHead) {
        let tokens = self.placement.prompt_tokens() + self.placement.output_tokens();
        self.shared.note_chat(
            self.placement.fleet,
            self.placement.chat,
            self.engine,
            self.incarnation,
            tokens,
        );
        let reused = head.cached_tokens > 0;
        self.shared.metrics.count(if reused { "cache.reused" } else { "cache.cold" });
    }

    fn note_failure(&self) {
        self.shared.note_failure(self.engine);
    }

    /// Records a complete answer.
    fn finish(&self) {
        lock(&self.shared.home_state).outliers.note_success(self.engine);
        let us = self.arrived.elapsed().as_micros() as u64;
        let (class, workspace) = (self.placement.decision.class, &self.placement.request.workspace);
        self.shared.metrics.record(class, workspace, RequestPhase::Whole, us);
    }

    /// Cancels the run of a caller that is gone, after the time in which it may resume. The run
    /// keeps its slot on the engine during that time, since it continues there.
    fn cancel_after_grace(&self) {
        self.shared.metrics.count("callers.gone");
        std::thread::sleep(RESUME_GRACE);
        let call = engine::cancel_call(&self.run, self.reader);
        let times = CallTimes::of_ms(2000);
        let _ = self.shared.client.call(self.address, &call, times, 1024, "engine");
    }
}

/// Ends the claim that is held, if there is one.
fn end_claim(held: &mut Option<HeldClaim>, end: ClaimEnd) {
    if let Some(claim) = held.take() {
        claim.end(end);
    }
}

impl RouterShared {
    /// Records a failure of an upstream as a passive health check, which may eject the upstream.
    pub(super) fn note_failure(&self, upstream: UpstreamKey) {
        let view = self.view();
        let Some(info) = view.upstreams.get(&upstream) else { return };
        let Some(fleet) = view.fleets.get(&info.fleet) else { return };
        let now_ms = self.clock.now_ms();
        let max_share = fleet.entry.max_ejected_share;
        let ejected = {
            let mut home_state = lock(&self.home_state);
            let was = home_state.outliers.is_ejected(upstream, now_ms);
            home_state.outliers.note_failure(
                upstream,
                fleet.members.iter().copied(),
                max_share,
                now_ms,
            );
            !was && home_state.outliers.is_ejected(upstream, now_ms)
        };
        if ejected {
            tracing::warn!("router: ejects upstream {}.", info.name);
            self.metrics.count("upstreams.set_aside");
            self.update_view(None, None);
        }
    }
}

/// Resumes a stream for a caller that was disconnected. Any router can do this.
pub(super) fn resume_for_caller(
    cx: &ServeContext,
    request: &CallerRequest,
    position: &ResumePosition,
    sink: &mut AnswerSink<'_>,
) {
    let (shared, view) = (&cx.shared, cx.shared.view());
    let key = UpstreamKey::of(&position.upstream);
    let Some(info) = view.upstreams.get(&key) else {
        let text = "There is no such upstream any more.";
        let error = CallerError::not_run(409, "cannot_resume", text).at("last-event-id");
        return sink.fail(&error.with_ran(RanStatus::Unknown));
    };
    sink.set_upstream(&info.name);
    let run = engine::run_id(&request.workspace, &request.request_id);
    let mut order = PieceOrder::after(position.last);
    let mut text = "the engine does not have the run".to_string();
    for _ in 0..MAX_RESUMES {
        let call = engine::resume_call(&run, order.last());
        let times = CallTimes::of_ms(PIECE_TIMEOUT_MS);
        match shared.client.open(info.address, &call, times, "engine") {
            Ok(reply) if reply.status == 200 => {
                match relay_stream(reply.body, &mut order, sink, |_| {}) {
                    StreamEnd::Done | StreamEnd::CallerGone => return,
                    StreamEnd::Failed(why) => {
                        text = why;
                        break;
                    }
                    StreamEnd::Broken(why) => text = why,
                }
            }
            Ok(_) => break,
            Err(failure) => text = failure.to_string(),
        }
        std::thread::sleep(RESUME_PAUSE);
    }
    let message = format!("The stream cannot be resumed: {text}.");
    let error = CallerError::not_run(409, "cannot_resume", message).at("last-event-id");
    sink.fail(&error.with_ran(RanStatus::Unknown));
}
