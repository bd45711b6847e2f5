//! Checks the answer to a send: whether it belongs to this request, whether the request ran, and how its
//! body is delivered.
//!
//! Invariant: nothing in an answer is used before it is certain that it answers this request.

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
use super::vm_silence::WaitResult;
use super::vm_task::CallerTask;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::body_tracker::BodyTracker;
use crate::protocol::wire_adapter::UpstreamAnswer;
use crate::state::body_end::BodyFraming;

/// The maximum length, in bytes, of a plain answer that is received in full before it is passed on. If
/// such an answer breaks off, the request can still be retried.
const BUFFERED_BYTES: u64 = 64 << 10;

/// How long reading the body of a refusal may take. After that its connection is closed and not reused.
const REFUSAL_BODY_WAIT: Duration = Duration::from_secs(1);

/// The result of a send.
pub(super) enum SendResult {
    /// An answer that may be passed on.
    Answer(Box<UsableAnswer>),
    /// No answer that may be passed on, and what is known of the send.
    NoAnswer(SendOutcome),
}

/// An upstream's answer that may be passed on to the caller.
pub(super) struct UsableAnswer {
    pub(super) head: response::Parts,
    pub(super) body: AnswerContent,
    /// Whether the upstream requests a backoff with this answer, which says nothing about its health.
    pub(super) asks_backoff: bool,
}

/// The body of a [`UsableAnswer`].
pub(super) enum AnswerContent {
    /// A short plain answer that was received in full.
    Whole(Bytes),
    /// A stream or a long answer whose body is still being received.
    Streamed(Box<StreamedBody>),
}

/// A body that is still being received, with the connection that it arrives on.
pub(super) struct StreamedBody {
    pub(super) facts: UpstreamAnswer,
    /// Whether the status is a success.
    pub(super) success: bool,
    pub(super) tracker: BodyTracker,
    pub(super) body: Incoming,
    pub(super) lease: ConnectionLease,
    pub(super) guard: FlightGuard,
}

/// What delimits the body. If the last transfer coding isn't chunked, that is the end of the connection.
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

/// Whether callers conclude from the status that the request has not run.
fn implies_not_run(status: StatusCode) -> bool {
    let statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    statuses.contains(&status)
}

impl CallerTask {
    /// Checks the head of an answer: that it answers this request, what the upstream announces in it, and
    /// whether the request ran. Then starts or completes reading its body.
    pub(super) async fn check_answer(
        &self,
        target: &SendTarget,
        answer: Response<Incoming>,
        lease: ConnectionLease,
        guard: FlightGuard,
        deadline_ms: u64,
    ) -> SendResult {
        self.node.note_heard();
        let (head, body) = answer.into_parts();
        let facts = self.node.adapter.read_answer(&head);
        let matches_attempt =
            facts.attempt.as_deref().map(|attempt| attempt == self.caller.attempt);
        // This includes refusals: this request may be running while the answer to another one is read in its
        // place.
        if matches_attempt == Some(false) {
            return self.reject_foreign(target);
        }
        self.record_notices(target, &facts);
        if !facts.other_incarnation {
            self.node.note_answered(target.upstream, target.sent_ms);
        }
        if facts.not_run {
            return self.handle_refusal(target, &facts, &head, body, lease);
        }
        if matches_attempt.is_none() || (head.status.is_success() && !facts.stamped) {
            return self.reject_foreign(target);
        }
        match (head.status.is_server_error(), facts.backoff_ms) {
            (true, Some(_)) => target.trial.end_inconclusive(),
            (true, None) => target.trial.end_failure(),
            (false, _) => {}
        }
        let rule = &target.routes.table.routes[target.route];
        if implies_not_run(head.status) && !rule.kind.may_repeat() {
            self.note_failure(target.upstream, "refusal status, but the request may have run");
            return SendResult::NoAnswer(SendOutcome::Broken);
        }
        let short = body.size_hint().exact().is_some_and(|length| length <= BUFFERED_BYTES);
        if rule.kind.is_stream() || !short {
            let asks_backoff = facts.backoff_ms.is_some();
            let success = head.status.is_success();
            let framing = body_framing(&head, &body);
            let tracker = BodyTracker::new(framing, rule.kind.is_stream() && success);
            let streamed = StreamedBody { facts, success, tracker, body, lease, guard };
            let body = AnswerContent::Streamed(Box::new(streamed));
            return SendResult::Answer(Box::new(UsableAnswer { head, body, asks_backoff }));
        }
        self.read_whole(target, &facts, head, body, lease, deadline_ms).await
    }

    /// Discards an answer that doesn't belong to this request, and counts it as a failure of the upstream.
    fn reject_foreign(&self, target: &SendTarget) -> SendResult {
        target.trial.end_failure();
        self.note_failure(target.upstream, "answer to another request");
        SendResult::NoAnswer(SendOutcome::Broken)
    }

    /// Handles an answer that states that the upstream did not run the request.
    fn handle_refusal(
        &self,
        target: &SendTarget,
        facts: &UpstreamAnswer,
        head: &response::Parts,
        body: Incoming,
        lease: ConnectionLease,
    ) -> SendResult {
        target.trial.end_inconclusive();
        match facts.other_incarnation {
            true => self.note_ended(target.upstream, "another life listens there"),
            false => self.log_refusal(target, facts, head, lease.is_reused()),
        }
        // Only the head matters to the request. The body is read in the background so that the connection can
        // be reused.
        let (node, closes, idle_ms) = (self.node.clone(), facts.closes, facts.idle_ms);
        spawn_local(async move {
            let read = Limited::new(body, BUFFERED_BYTES as usize).collect();
            if matches!(timeout(REFUSAL_BODY_WAIT, read).await, Ok(Ok(_))) {
                lease.finish(closes, idle_ms, node.now_ms()).await;
            }
        });
        SendResult::NoAnswer(SendOutcome::NotRun)
    }

    /// Receives a short plain answer in full before it is passed on.
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
            WaitResult::Done(Ok(body)) => {
                self.note_ran(target, true, head.status.is_success());
                lease.finish(facts.closes, facts.idle_ms, self.node.now_ms()).await;
                let (body, asks_backoff) =
                    (AnswerContent::Whole(body.to_bytes()), facts.backoff_ms.is_some());
                SendResult::Answer(Box::new(UsableAnswer { head, body, asks_backoff }))
            }
            WaitResult::Done(Err(_)) => {
                target.trial.end_inconclusive();
                self.note_failure(target.upstream, "cut answer");
                self.check_after_break(target);
                SendResult::NoAnswer(SendOutcome::Broken)
            }
            WaitResult::TimedOut | WaitResult::Unresponsive => {
                target.trial.end_failure();
                SendResult::NoAnswer(SendOutcome::TimedOut)
            }
        }
    }

    /// Counts the time to an answer's first byte. If it exceeds the route's goal, logs what the choice of
    /// the upstream was based on.
    pub(super) fn note_first_byte(&self, target: &SendTarget, what: &'static str) {
        let rule = &target.routes.table.routes[target.route];
        let took_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        let late = rule.goal_ms > 0 && took_ms > rule.goal_ms;
        {
            let mut figures = self.node.counters.borrow_mut();
            figures.note_first_byte(target.send.workspace.as_deref(), took_ms);
            figures.late += u64::from(late);
        }
        let own = self.node.in_flight.borrow().get(&target.upstream).copied().unwrap_or(0);
        let others = self.node.view.borrow().reports.others(target.upstream);
        let service = &target.routes.table.services[target.service];
        if let Some(engine) = &service.engine {
            self.node.with_service_capacity(&service.name, |capacity| {
                capacity.note_first_event(late, own + others, engine.slots);
            });
        }
        if !late {
            return;
        }
        info!(
            target: "request", attempt = self.caller.attempt, took_ms, goal_ms = rule.goal_ms,
            life = target.send.name, left_ms = target.send.left_ms,
            own, others, fetched = target.send.fetch_from.is_some(), "late {what}",
        );
    }
}
