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
use super::vm_place::SendTarget;
use super::vm_pool::ConnectionLease;
use super::vm_silence::Waited;
use super::vm_task::CallerTask;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::body_tracker::BodyTracker;
use crate::protocol::wire_adapter::UpstreamAnswer;
use crate::state::body_end::BodyFraming;

/// A plain answer up to this length is taken whole before it is passed on, so that one that
/// breaks off can still be asked for again.
const BUFFERED_BYTES: u64 = 64 << 10;

/// How long the body of a refusal may take before its connection is closed.
const REFUSAL_BODY_WAIT: Duration = Duration::from_secs(1);

/// What a send brought.
pub(super) enum SendResult {
    Answer(Box<UsableAnswer>),
    NoAnswer(SendOutcome),
}

/// An answer that may be passed on.
pub(super) struct UsableAnswer {
    pub(super) head: response::Parts,
    pub(super) body: AnswerContent,
    /// The upstream turns this VM away with it, which says nothing of its health.
    pub(super) asks_backoff: bool,
}

pub(super) enum AnswerContent {
    /// A short plain answer, all of it here.
    Whole(Bytes),
    /// A stream, or a long answer, that still comes.
    Streamed(Box<StreamedBody>),
}

pub(super) struct StreamedBody {
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
fn implies_not_run(status: StatusCode) -> bool {
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
        target: &SendTarget,
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
            return self.reject_foreign(target);
        }
        self.record_notices(target, &facts);
        if facts.not_run {
            return self.handle_refusal(target, &facts, &head, body, lease);
        }
        if own.is_none() || (head.status.is_success() && !facts.stamped) {
            return self.reject_foreign(target);
        }
        match (head.status.is_server_error(), facts.rest_ms) {
            (true, Some(_)) => target.trial.end_inconclusive(),
            (true, None) => target.trial.end_failure(),
            (false, _) => {}
        }
        let rule = &target.routes.table.routes[target.route];
        if implies_not_run(head.status) && !rule.kind.may_repeat() {
            self.note_failure(target.upstream, "a refusal that may have run");
            return SendResult::NoAnswer(SendOutcome::Broken);
        }
        let short = body.size_hint().exact().is_some_and(|length| length <= BUFFERED_BYTES);
        if rule.kind.is_stream() || !short {
            let asks_backoff = facts.rest_ms.is_some();
            let success = head.status.is_success();
            let framing = body_framing(&head, &body);
            let tracker = BodyTracker::new(framing, rule.kind.is_stream() && success);
            let streamed = StreamedBody { facts, success, tracker, body, lease, guard };
            let body = AnswerContent::Streamed(Box::new(streamed));
            return SendResult::Answer(Box::new(UsableAnswer { head, body, asks_backoff }));
        }
        self.read_whole(target, &facts, head, body, lease, deadline_ms).await
    }

    /// What came is no answer to this request.
    fn reject_foreign(&self, target: &SendTarget) -> SendResult {
        target.trial.end_failure();
        self.note_failure(target.upstream, "another answer");
        SendResult::NoAnswer(SendOutcome::Broken)
    }

    /// The upstream says that it did not run the request.
    fn handle_refusal(
        &self,
        target: &SendTarget,
        facts: &UpstreamAnswer,
        head: &response::Parts,
        body: Incoming,
        lease: ConnectionLease,
    ) -> SendResult {
        target.trial.end_inconclusive();
        match facts.other_life {
            true => self.note_gone(target.upstream, "another life listens there"),
            false => self.log_refusal(target, facts, head, lease.is_reused()),
        }
        // The head says all. The body is read for the connection's sake, which the request doesn't wait for.
        let (node, closes, idle_ms) = (self.node.clone(), facts.closes, facts.idle_ms);
        spawn_local(async move {
            let read = Limited::new(body, BUFFERED_BYTES as usize).collect();
            if matches!(timeout(REFUSAL_BODY_WAIT, read).await, Ok(Ok(_))) {
                lease.finish(closes, idle_ms, node.now_ms()).await;
            }
        });
        SendResult::NoAnswer(SendOutcome::NotRun)
    }

    /// A short plain answer, all of it before it is passed on.
    async fn read_whole(
        &self,
        target: &SendTarget,
        facts: &UpstreamAnswer,
        head: response::Parts,
        body: Incoming,
        lease: ConnectionLease,
        deadline_ms: u64,
    ) -> SendResult {
        let at = (target.upstream, target.address);
        match self.node.wait_for(at, body.collect(), deadline_ms, false).await {
            Waited::Done(Ok(body)) => {
                self.note_ran(target, true);
                lease.finish(facts.closes, facts.idle_ms, self.node.now_ms()).await;
                let (body, asks_backoff) =
                    (AnswerContent::Whole(body.to_bytes()), facts.rest_ms.is_some());
                SendResult::Answer(Box::new(UsableAnswer { head, body, asks_backoff }))
            }
            Waited::Done(Err(_)) => {
                target.trial.end_inconclusive();
                self.note_failure(target.upstream, "cut answer");
                self.check_after_break(target);
                SendResult::NoAnswer(SendOutcome::Broken)
            }
            Waited::TimedOut | Waited::Dark => {
                target.trial.end_failure();
                SendResult::NoAnswer(SendOutcome::TimedOut)
            }
        }
    }

    /// Counts an answer's first byte, and logs one that comes after its goal with what decided
    /// its way.
    pub(super) fn note_first_byte(&self, target: &SendTarget, what: &'static str) {
        let rule = &target.routes.table.routes[target.route];
        let took_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        let late = rule.goal_ms > 0 && took_ms > rule.goal_ms;
        {
            let mut figures = self.node.figures.borrow_mut();
            figures.note_first_byte(target.send.workspace.as_deref(), took_ms);
            figures.late += u64::from(late);
        }
        let own = self.node.in_flight.borrow().get(&target.upstream).copied().unwrap_or(0);
        let others = self.node.view.borrow().reports.others(target.upstream);
        let service = &target.routes.table.services[target.service];
        if let Some(engine) = &service.engine {
            self.node.with_service_capacity(&service.name, |room| {
                room.note_first_event(late, own + others, engine.slots);
            });
        }
        if !late {
            return;
        }
        info!(
            target: "request", attempt = self.caller.attempt, took_ms, goal_ms = rule.goal_ms,
            life = target.send.life, left_ms = target.send.left_ms,
            own, others, fetched = target.send.fetch_from.is_some(), "late {what}",
        );
    }
}
