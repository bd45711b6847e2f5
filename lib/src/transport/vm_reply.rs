//! What came back of a send: whose answer it is, whether the request ran, and its body.
//!
//! Invariant: nothing is believed of an answer before it is known to be the one to this request.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use hyper::{Response, StatusCode};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::info;

use super::vm_guard::FlightGuard;
use super::vm_place::SendPlace;
use super::vm_pool::ConnectionLease;
use super::vm_silence::Waited;
use super::vm_task::CallerTask;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::body_tracker::BodyTracker;
use crate::protocol::wire_adapter::UpstreamAnswer;
use crate::state::body_end::BodyFraming;

/// A plain answer up to this length is taken whole before it is passed on, so that one that
/// breaks off can still be asked for again.
const HELD_BYTES: u64 = 64 << 10;

/// How long the body of a refusal may take before its connection is closed.
const REFUSAL_BODY_WAIT: Duration = Duration::from_secs(1);

/// What a send brought.
pub(super) enum SendResult {
    Answer(Box<GoodAnswer>),
    Bad(SendOutcome),
}

/// An answer that may be passed on.
pub(super) struct GoodAnswer {
    pub(super) head: response::Parts,
    pub(super) body: GoodBody,
    /// The upstream turns this VM away with it, which says nothing of its health.
    pub(super) asks_rest: bool,
}

pub(super) enum GoodBody {
    /// A short plain answer, all of it here.
    Whole(Bytes),
    /// A stream, or a long answer, that still comes.
    Coming(Box<ComingBody>),
}

pub(super) struct ComingBody {
    pub(super) facts: UpstreamAnswer,
    /// The status is one of success.
    pub(super) success: bool,
    pub(super) tracker: BodyTracker,
    pub(super) body: Incoming,
    pub(super) lease: ConnectionLease,
    pub(super) guard: FlightGuard,
}

/// What delimits the body. A transfer coding other than chunked leaves that to the connection's end.
fn body_framing(head: &response::Parts, body: &Incoming) -> BodyFraming {
    let codings = head.headers.get_all(TRANSFER_ENCODING).into_iter().next_back();
    let last = codings.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    let is_chunked = last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"));
    match (body.size_hint().exact(), is_chunked) {
        (Some(_), _) => BodyFraming::Length,
        (None, true) => BodyFraming::Chunked,
        (None, false) => BodyFraming::Connection,
    }
}

/// Whether callers take the status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    let promises = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    promises.contains(&status)
}

impl CallerTask {
    /// Whose answer it is, what it says of its upstream, and whether the request ran.
    pub(super) async fn check_answer(
        &self,
        place: &SendPlace,
        answer: Response<Incoming>,
        lease: ConnectionLease,
        guard: FlightGuard,
        deadline_ms: u64,
    ) -> SendResult {
        let (head, body) = answer.into_parts();
        let facts = self.node.adapter.read_answer(&head);
        let own = facts.attempt.as_deref().map(|attempt| attempt == self.caller.attempt);
        // Also where it is a refusal: this request may run while another's answer is read in its place.
        if own == Some(false) {
            return self.take_foreign(place);
        }
        self.hear_notices(place, &facts);
        if facts.not_run {
            return self.take_refusal(place, &facts, &head, body, lease);
        }
        if own.is_none() || (head.status.is_success() && !facts.stamped) {
            return self.take_foreign(place);
        }
        match (head.status.is_server_error(), facts.backoff_ms) {
            (true, Some(_)) => place.trial.end_unsaid(),
            (true, None) => place.trial.end_bad(),
            (false, _) => {}
        }
        let rule = &place.routes.table.routes[place.route];
        if promises_not_run(head.status) && !rule.kind.may_repeat() {
            self.note_failure(place.upstream, "a refusal that may have run");
            return SendResult::Bad(SendOutcome::Broken);
        }
        let short = body.size_hint().exact().is_some_and(|length| length <= HELD_BYTES);
        if rule.kind.is_stream() || !short {
            let asks_rest = facts.backoff_ms.is_some();
            let success = head.status.is_success();
            let framing = body_framing(&head, &body);
            let tracker = BodyTracker::new(framing, rule.kind.is_stream() && success);
            let coming = ComingBody { facts, success, tracker, body, lease, guard };
            let body = GoodBody::Coming(Box::new(coming));
            return SendResult::Answer(Box::new(GoodAnswer { head, body, asks_rest }));
        }
        self.take_whole(place, &facts, head, body, lease, deadline_ms).await
    }

    /// What came is no answer to this request.
    fn take_foreign(&self, place: &SendPlace) -> SendResult {
        place.trial.end_bad();
        self.note_failure(place.upstream, "another answer");
        SendResult::Bad(SendOutcome::Broken)
    }

    /// The upstream says that it did not run the request.
    fn take_refusal(
        &self,
        place: &SendPlace,
        facts: &UpstreamAnswer,
        head: &response::Parts,
        body: Incoming,
        lease: ConnectionLease,
    ) -> SendResult {
        place.trial.end_unsaid();
        match facts.other_incarnation {
            true => self.note_gone(place.upstream, "another life listens there"),
            false => self.log_turned_away(place, facts, head, lease.is_kept()),
        }
        // The head says all. The body is read for the connection's sake, which the request doesn't wait for.
        let (node, closes, idle_ms) = (self.node.clone(), facts.closes, facts.idle_ms);
        spawn_local(async move {
            let read = Limited::new(body, HELD_BYTES as usize).collect();
            if matches!(timeout(REFUSAL_BODY_WAIT, read).await, Ok(Ok(_))) {
                lease.finish(closes, idle_ms, node.now_ms()).await;
            }
        });
        SendResult::Bad(SendOutcome::NotRun)
    }

    /// A short plain answer, all of it before it is passed on.
    async fn take_whole(
        &self,
        place: &SendPlace,
        facts: &UpstreamAnswer,
        head: response::Parts,
        body: Incoming,
        lease: ConnectionLease,
        deadline_ms: u64,
    ) -> SendResult {
        let at = (place.upstream, place.address);
        match self.node.wait_for(at, body.collect(), deadline_ms, false).await {
            Waited::Done(Ok(body)) => {
                self.note_ran(place, true);
                lease.finish(facts.closes, facts.idle_ms, self.node.now_ms()).await;
                let (body, asks_rest) =
                    (GoodBody::Whole(body.to_bytes()), facts.backoff_ms.is_some());
                SendResult::Answer(Box::new(GoodAnswer { head, body, asks_rest }))
            }
            Waited::Done(Err(_)) => {
                place.trial.end_unsaid();
                self.note_failure(place.upstream, "cut answer");
                self.look_after_break(place);
                SendResult::Bad(SendOutcome::Broken)
            }
            Waited::TimedOut | Waited::Dark => {
                place.trial.end_bad();
                SendResult::Bad(SendOutcome::TimedOut)
            }
        }
    }

    /// Counts an answer's first byte, and logs one that comes after its goal with what decided
    /// its way.
    pub(super) fn note_first_byte(&self, place: &SendPlace, what: &'static str) {
        let rule = &place.routes.table.routes[place.route];
        let took_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        let late = rule.goal_ms > 0 && took_ms > rule.goal_ms;
        {
            let mut figures = self.node.figures.borrow_mut();
            figures.note_first_byte(place.send.workspace.as_deref(), took_ms);
            figures.late += u64::from(late);
        }
        let own = self.node.in_flight.borrow().get(&place.upstream).copied().unwrap_or(0);
        let others = self.node.view.borrow().reports.others(place.upstream);
        let service = &place.routes.table.services[place.service];
        if let Some(engine) = &service.engine {
            self.node.with_room(&service.name, |room| {
                room.note_first_event(late, own + others, engine.slots);
            });
        }
        if !late {
            return;
        }
        info!(
            target: "request", attempt = self.caller.attempt, took_ms, goal_ms = rule.goal_ms,
            life = place.send.name, left_ms = place.send.left_ms,
            own, others, fetched = place.send.fetch_from.is_some(), "late {what}",
        );
    }
}
