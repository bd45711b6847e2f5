//! Running a request on an engine: claim, dispatch, relay, resume, cancel.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::http_client::{CallFailure, CallTimes, OpenReply};
use super::router_claims::{claim, HeldClaim};
use super::router_home::{AdmittedSlot, HomeAsk};
use super::router_relay::{relay_stream, AnswerSink, StreamEnd};
use super::router_serve::ServeContext;
use super::router_shared::{lock, RouterShared};
use super::seen::SeenPhase;
use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::relay::PieceOrder;
use crate::coordination::retry::may_retry;
use crate::protocol::caller::{CallerError, CallerRequest, RanStatus, ResumePosition};
use crate::protocol::engine::{self, EngineHead};
use crate::state::claim_table::ClaimEnd;
use crate::state::ids::{Incarnation, UpstreamKey};

/// Between two reads of a stream; a first token may wait behind other work.
const PIECE_WAIT_MS: u64 = 30_000;
const RESUME_TRIES: u32 = 5;
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// A caller that was cut off may resume for this long before its run is cancelled.
const HANG_UP_GRACE: Duration = Duration::from_millis(2000);
const LONGEST_REFUSAL: usize = 64 << 10;
const IMPORT_MS: u64 = 3000;
/// The code of a try that an engine refused as not run.
pub(super) const REFUSED_CODE: &str = "upstream_refused";
/// The code of a try whose connection never opened: it put no load on anyone.
pub(super) const UNREACHABLE_CODE: &str = "upstream_unreachable";

/// What became of a try on one engine.
pub(super) enum RunEnd {
    /// The caller has its answer, whole or as an explicit error.
    Answered,
    /// It surely did not run there, or may be repeated, and the caller has seen nothing.
    TryElsewhere(CallerError),
}

/// One try on one engine.
struct EngineRun<'a, 'w> {
    shared: &'a Arc<RouterShared>,
    address: SocketAddr,
    engine: UpstreamKey,
    run: String,
    ask: &'a HomeAsk<'a>,
    sink: &'a mut AnswerSink<'w>,
    arrived: Instant,
    order: PieceOrder<String>,
    reader: u64,
    life: Incarnation,
}

/// Runs a request on the engine of `slot`. A run-once request is claimed first; `held` keeps
/// the claim over tries on several engines of this home.
pub(super) fn run_on_engine(
    cx: &ServeContext,
    ask: &HomeAsk<'_>,
    slot: &AdmittedSlot,
    held: &mut Option<HeldClaim>,
    sink: &mut AnswerSink<'_>,
) -> RunEnd {
    let (shared, view, arrived) = (&cx.shared, &cx.view, cx.arrived);
    let Some(sight) = view.upstreams.get(&slot.engine) else {
        return RunEnd::TryElsewhere(gone_error());
    };
    if let Some(holder) = ask.import_from {
        import_prefix(cx, ask, sight.address, holder);
    }
    if ask.decision.run_once && held.is_none() {
        match claim(shared, ask.request) {
            Ok(claim) => *held = Some(claim),
            Err(error) => {
                shared.seen.count("claims.refused");
                sink.fail(&error);
                return RunEnd::Answered;
            }
        }
    }
    sink.set_upstream(&sight.name);
    sink.set_router(Some(shared.settings.address));
    let waited = arrived.elapsed().as_micros() as u64;
    shared.seen.record(ask.decision.class, &ask.request.workspace, SeenPhase::Wait, waited);
    let mut run = EngineRun {
        shared,
        address: sight.address,
        engine: slot.engine,
        run: engine::run_id(&ask.request.workspace, &ask.request.request_id),
        ask,
        sink,
        arrived,
        order: PieceOrder::after(0),
        reader: 0,
        life: lock(&shared.desk).leaving.incarnation(slot.engine),
    };
    run.start(held)
}

/// Has the engine import the chat's KV from its holder; without it, it computes the prefix.
fn import_prefix(cx: &ServeContext, ask: &HomeAsk<'_>, address: SocketAddr, holder: UpstreamKey) {
    let Some(from) = cx.view.upstreams.get(&holder) else { return };
    let call = engine::import_call(ask.chat, from.address, ask.prompt_tokens());
    let times = CallTimes::of_ms(IMPORT_MS);
    let reply = cx.shared.client.call(address, &call, times, LONGEST_REFUSAL, "engine");
    let done = reply.is_ok_and(|reply| reply.status == 200);
    cx.shared.seen.count(if done { "kv.imported" } else { "kv.not_imported" });
}

fn gone_error() -> CallerError {
    CallerError::not_run(503, "no_upstream", "The engine is not in the configuration any more.")
}

impl EngineRun<'_, '_> {
    fn start(&mut self, held: &mut Option<HeldClaim>) -> RunEnd {
        let request = self.ask.request;
        let priority = self.ask.decision.class.priority();
        let call = engine::start_call(&self.run, priority, self.ask.chat, &request.body);
        let times = CallTimes {
            connect: Duration::from_millis(1000),
            read: Duration::from_millis(PIECE_WAIT_MS),
        };
        match self.shared.client.open(self.address, &call, times, "engine") {
            Ok(reply) if reply.status == 200 => self.follow(reply, held),
            Ok(reply) => self.refused(reply, held),
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

    /// An engine's refusal is its word that the request did not run.
    fn refused(&mut self, reply: OpenReply, held: &mut Option<HeldClaim>) -> RunEnd {
        let head = engine::read_head(&reply.headers);
        self.note_head(&head);
        if reply.status >= 500 || reply.status == 429 {
            if !head.leaving {
                self.note_failure();
            }
            return RunEnd::TryElsewhere(self.not_run(&format!("status {}", reply.status)));
        }
        let answer = match reply.whole(LONGEST_REFUSAL) {
            Ok(answer) => answer,
            // Its head has said that the request did not run.
            Err(failure) => {
                self.note_failure();
                return RunEnd::TryElsewhere(self.not_run(&failure.to_string()));
            }
        };
        self.sink.pass(answer, RanStatus::No);
        end_claim(held, ClaimEnd::NotDispatched);
        RunEnd::Answered
    }

    /// Reads the stream to its end, resuming it where it breaks.
    fn follow(&mut self, reply: OpenReply, held: &mut Option<HeldClaim>) -> RunEnd {
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
                StreamEnd::SinkGone => {
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

    fn relay(&mut self, reply: OpenReply) -> StreamEnd {
        let (seen, class) = (&self.shared.seen, self.ask.decision.class);
        let workspace = &self.ask.request.workspace;
        let mut last: Option<Instant> = None;
        let arrived = self.arrived;
        relay_stream(reply.body, &mut self.order, self.sink, |number| {
            let now = Instant::now();
            if number == 1 {
                let us = now.duration_since(arrived).as_micros() as u64;
                seen.record(class, workspace, SeenPhase::FirstToken, us);
            } else if let Some(last) = last {
                let us = now.duration_since(last).as_micros() as u64;
                seen.record(class, workspace, SeenPhase::BetweenTokens, us);
            }
            last = Some(now);
        })
    }

    /// Takes the run up again after the last piece that was passed on.
    fn resume(&mut self, tries: &mut u32) -> Option<OpenReply> {
        let call = engine::resume_call(&self.run, self.order.last());
        let times = CallTimes::of_ms(PIECE_WAIT_MS);
        while *tries < RESUME_TRIES {
            *tries += 1;
            self.shared.seen.count("streams.resumed");
            match self.shared.client.open(self.address, &call, times, "engine") {
                Ok(reply) if reply.status == 200 => return Some(reply),
                Ok(_) | Err(CallFailure::NotSent { .. }) => return None,
                Err(CallFailure::Broken { .. }) => std::thread::sleep(RESUME_PAUSE * *tries),
            }
        }
        None
    }

    /// The run broke and could not be resumed so far. It may be tried elsewhere when the engine
    /// says that it never ran, or when it is repeatable and the caller has seen nothing.
    fn after_break(&mut self, text: String, held: &mut Option<HeldClaim>) -> RunEnd {
        let call = engine::resume_call(&self.run, self.order.last());
        let times = CallTimes::of_ms(PIECE_WAIT_MS);
        let asked = self.shared.client.open(self.address, &call, times, "engine");
        if let Ok(reply) = asked {
            let head = engine::read_head(&reply.headers);
            if reply.status == 200 {
                return self.follow(reply, held);
            }
            // Only the same life can know that it never had the run.
            let same_life = self.life != Incarnation(0) && head.incarnation == self.life;
            if reply.status == 404 && same_life && self.order.last() == 0 {
                return RunEnd::TryElsewhere(self.not_run(&text));
            }
        }
        self.note_failure();
        let repeatable = !self.ask.decision.run_once;
        if may_retry(true, repeatable, self.sink.has_begun()) {
            self.sink.forget_text();
            return RunEnd::TryElsewhere(self.not_run(&text).with_ran(RanStatus::Unknown));
        }
        self.give_up(&text, held)
    }

    fn give_up(&mut self, text: &str, held: &mut Option<HeldClaim>) -> RunEnd {
        tracing::warn!("relay: request {} broke: {text}.", self.ask.request.request_id);
        let message = "The engine failed before the answer was whole.";
        let error = CallerError::not_run(502, "upstream_failed", message);
        self.sink.fail(&error.with_ran(RanStatus::Unknown));
        end_claim(held, ClaimEnd::Unknown);
        RunEnd::Answered
    }

    fn not_run(&self, text: &str) -> CallerError {
        let message = format!("The engine did not take the request ({text}).");
        CallerError::not_run(503, REFUSED_CODE, message).after(1000)
    }

    fn note_head(&mut self, head: &EngineHead) {
        if head.incarnation != Incarnation(0) {
            self.life = head.incarnation;
            self.shared.note_incarnation(self.engine, head.incarnation);
        }
        if head.leaving {
            let mark = LeavingIncarnation { upstream: self.engine, incarnation: head.incarnation };
            self.shared.note_leaving(mark);
        }
    }

    fn note_chat(&self, head: &EngineHead) {
        let tokens = self.ask.prompt_tokens() + self.ask.output_tokens();
        self.shared.note_chat(self.ask.fleet, self.ask.chat, self.engine, self.life, tokens);
        let reused = head.cached_tokens > 0;
        self.shared.seen.count(if reused { "cache.reused" } else { "cache.cold" });
    }

    fn note_failure(&self) {
        self.shared.note_failure(self.engine);
    }

    fn finish(&self) {
        lock(&self.shared.desk).outliers.note_success(self.engine);
        let us = self.arrived.elapsed().as_micros() as u64;
        let (class, workspace) = (self.ask.decision.class, &self.ask.request.workspace);
        self.shared.seen.record(class, workspace, SeenPhase::Whole, us);
    }

    /// The place on the engine is kept meanwhile: the run goes on there.
    fn cancel_after_grace(&self) {
        self.shared.seen.count("callers.gone");
        std::thread::sleep(HANG_UP_GRACE);
        let call = engine::cancel_call(&self.run, self.reader);
        let times = CallTimes::of_ms(2000);
        let _ = self.shared.client.call(self.address, &call, times, 1024, "engine");
    }
}

fn end_claim(held: &mut Option<HeldClaim>, end: ClaimEnd) {
    if let Some(claim) = held.take() {
        claim.end(end);
    }
}

impl RouterShared {
    /// A failure counts against an upstream as a passive health check.
    pub(super) fn note_failure(&self, upstream: UpstreamKey) {
        let view = self.view();
        let Some(sight) = view.upstreams.get(&upstream) else { return };
        let Some(fleet) = view.fleets.get(&sight.fleet) else { return };
        let now_ms = self.clock.now_ms();
        let share = fleet.entry.max_ejected_share;
        let aside = {
            let mut desk = lock(&self.desk);
            let was = desk.outliers.is_ejected(upstream, now_ms);
            desk.outliers.note_failure(upstream, fleet.members.iter().copied(), share, now_ms);
            !was && desk.outliers.is_ejected(upstream, now_ms)
        };
        if aside {
            tracing::warn!("router: sets {} aside.", sight.name);
            self.seen.count("upstreams.set_aside");
            self.renew_view(None, None);
        }
    }
}

/// Takes a stream up again for a caller that was cut off, at any router.
pub(super) fn resume_for_caller(
    cx: &ServeContext,
    request: &CallerRequest,
    place: &ResumePosition,
    sink: &mut AnswerSink<'_>,
) {
    let (shared, view) = (&cx.shared, cx.shared.view());
    let key = UpstreamKey::of(&place.upstream);
    let Some(sight) = view.upstreams.get(&key) else {
        let text = "There is no such upstream any more.";
        let error = CallerError::not_run(409, "cannot_resume", text).at("last-event-id");
        return sink.fail(&error.with_ran(RanStatus::Unknown));
    };
    sink.set_upstream(&sight.name);
    let run = engine::run_id(&request.workspace, &request.request_id);
    let mut order = PieceOrder::after(place.last);
    let mut text = "the engine does not have the run".to_string();
    for _ in 0..RESUME_TRIES {
        let call = engine::resume_call(&run, order.last());
        let times = CallTimes::of_ms(PIECE_WAIT_MS);
        match shared.client.open(sight.address, &call, times, "engine") {
            Ok(reply) if reply.status == 200 => {
                match relay_stream(reply.body, &mut order, sink, |_| {}) {
                    StreamEnd::Done | StreamEnd::SinkGone => return,
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
