//! Passes an upstream's answer on to the caller, and resumes a broken stream at another upstream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use tokio::task::spawn_local;
use tracing::info;

use super::vm_place::SendTarget;
use super::vm_relay::{AnswerBody, PieceSender};
use super::vm_reply::{AnswerContent, SendResult, StreamedBody, UsableAnswer};
use super::vm_silence::WaitResult;
use super::vm_task::{CallerTask, MIN_REMAINING_MS};
use crate::coordination::attempt_plan::{AttemptCount, RunKnowledge, SendOutcome};
use crate::coordination::body_tracker::BodyTracker;
use crate::coordination::event_splice::EventSplice;
use crate::coordination::holder_news::HolderNote;
use crate::state::body_end::{BodyEnd, BodyFraming};
use crate::state::ids::{ServiceKey, UpstreamKey};
use crate::state::stream_origin::StreamOrigin;
use crate::state::vm_figures::RequestEnd;

/// How long after its deadline a body is relayed at most, in milliseconds, so that bytes which have arrived by then
/// can complete it.
const MAX_OVERRUN_MS: u64 = 200;

/// How the relay of one upstream's body ended.
enum RelayEnd {
    /// The body is complete.
    Complete,
    /// The body broke off or ended where it can't be complete, its upstream is unresponsive, or an event is
    /// too long.
    Broken,
    /// The deadline has passed.
    TimedOut,
    /// The caller has disconnected.
    CallerLeft,
}

impl CallerTask {
    /// Returns the answer for the caller, and starts a task that relays its body if that is still being
    /// received.
    pub(super) async fn forward_answer(
        self,
        target: SendTarget,
        answer: UsableAnswer,
        deadline_ms: u64,
        count: &mut AttemptCount,
    ) -> Response<AnswerBody> {
        let rule = &target.routes.table.routes[target.route];
        if answer.head.status.is_success() {
            self.node.outliers.borrow_mut().note_begun(target.upstream);
            if !self.caller.prompt.is_empty() {
                let now_ms = self.node.now_ms();
                let mut prefixes = self.node.prefixes.borrow_mut();
                prefixes.note_sent(&self.caller.prompt, target.upstream, now_ms);
                for part in target.off_order_part.into_iter().chain(target.new_root) {
                    let note = HolderNote { part, engine: target.upstream };
                    self.node.holders.borrow_mut().outbox.add(note, now_ms);
                }
            }
        }
        let ended =
            matches!(answer.body, AnswerContent::Whole(_)) || !answer.head.status.is_success();
        if ended && !answer.asks_backoff {
            self.note_outcome(target.upstream, answer.head.status.is_success());
        }
        self.node.counters.borrow_mut().note_end(match answer.head.status.is_server_error() {
            true => RequestEnd::UpstreamFailed,
            false => RequestEnd::Answered,
        });
        if !rule.kind.is_stream() {
            self.note_first_byte(&target, "head");
        }
        let UsableAnswer { head, body, .. } = answer;
        let headers = self.node.adapter.write_answer(&head);
        let respond = |body, headers| {
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            response
        };
        let streamed = match body {
            AnswerContent::Whole(bytes) => {
                if head.status.is_success() {
                    target.trial.end_success();
                    self.node.outliers.borrow_mut().note_success(target.upstream);
                }
                self.connection.note_answer(&self.caller.attempt, self.node.now_ms());
                return respond(AnswerBody::whole(bytes), headers);
            }
            AnswerContent::Streamed(streamed) => streamed,
        };
        let (pieces, body) = AnswerBody::pieces();
        let mut response = respond(body, headers);
        let resumable = rule.kind.may_be_resumed() && response.status().is_success();
        // A content-length next to another framing isn't the length of the body. In a stream it would let the
        // answer look complete in the middle of an event.
        let is_stream = rule.kind.is_stream() && response.status().is_success();
        if is_stream || streamed.tracker.framing() != BodyFraming::Length {
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        count.note(SendOutcome::Failed);
        let count = *count;
        spawn_local(self.relay(target, streamed, deadline_ms, pieces, resumable, count));
        response
    }

    /// Relays a body to the caller. A resumable stream that breaks is continued at another upstream.
    async fn relay(
        self,
        target: SendTarget,
        streamed: Box<StreamedBody>,
        deadline_ms: u64,
        pieces: PieceSender,
        resumable: bool,
        mut count: AttemptCount,
    ) {
        let mut splice = resumable.then(|| EventSplice::after(self.caller.last_event.clone()));
        self.record.note(RunKnowledge::Begun);
        let mut tried = vec![target.upstream];
        let mut next = Some((target, streamed));
        while let Some((target, streamed)) = next.take() {
            match self.relay_body(&target, *streamed, deadline_ms, &pieces, splice.as_mut()).await {
                RelayEnd::Complete => {
                    self.connection.note_answer(&self.caller.attempt, self.node.now_ms());
                    return pieces.complete().await;
                }
                RelayEnd::CallerLeft => return self.record.log_left(),
                RelayEnd::TimedOut => {
                    target.trial.end_failure();
                    info!(
                        target: "request", attempt = self.caller.attempt,
                        "stream cut: deadline exceeded",
                    );
                    break;
                }
                RelayEnd::Broken => {
                    target.trial.end_inconclusive();
                    info!(
                        target: "request", attempt = self.caller.attempt,
                        life = target.send.name, version = %target.version, "stream interrupted",
                    );
                    self.note_cut(target.upstream, "cut stream");
                    self.check_after_break(&target);
                    let Some(splice) = splice.as_mut().filter(|splice| splice.is_resumable())
                    else {
                        break;
                    };
                    splice.begin_run();
                    let after = splice.last_id().map(str::to_string);
                    next = self.resume(after, deadline_ms, &mut tried, &mut count).await;
                }
            }
        }
        self.node.counters.borrow_mut().cut += 1;
        info!(target: "request", attempt = self.caller.attempt, "stream cut short");
    }

    /// Sends the request to another upstream, to continue the stream after the event `after`; `None` if no
    /// upstream, time or retry is left, this VM is isolated, or the route doesn't allow it any more.
    async fn resume(
        &self,
        after: Option<String>,
        deadline_ms: u64,
        tried: &mut Vec<UpstreamKey>,
        count: &mut AttemptCount,
    ) -> Option<(SendTarget, Box<StreamedBody>)> {
        loop {
            if self.node.is_isolated() {
                return None;
            }
            let (routes, route, workspace) = self.decide().ok()?;
            let rule = &routes.table.routes[route];
            if !rule.kind.may_be_resumed() {
                return None;
            }
            let service = self.choose_service(rule)?;
            let entry = &routes.table.services[service];
            let left = deadline_ms.saturating_sub(self.node.now_ms());
            if count.sent >= rule.max_upstreams || left < MIN_REMAINING_MS {
                return None;
            }
            // A stream that has begun is resumed regardless of the capacity that is left.
            let pick = self.choose(entry, rule, None, tried).ok()?;
            if !self.spend_repeat(&entry.name) {
                return None;
            }
            tried.push(pick.upstream);
            let at = (route, service);
            let target = self.place(&routes, at, workspace, pick, left, after.clone())?;
            match self.send(&target, deadline_ms).await {
                SendResult::Answer(answer) => {
                    count.note(SendOutcome::Failed);
                    if let (true, AnswerContent::Streamed(streamed)) =
                        (answer.head.status.is_success(), answer.body)
                    {
                        self.node.counters.borrow_mut().resumed += 1;
                        info!(
                            target: "request", attempt = self.caller.attempt,
                            life = target.send.name, version = %target.version, "stream resumed",
                        );
                        return Some((target, streamed));
                    }
                }
                SendResult::NoAnswer(outcome) => count.note(outcome),
            }
        }
    }

    /// Counts a body that didn't end before the deadline as a fault of its upstream, unless it is a stream that
    /// brought events.
    fn note_unfinished(&self, target: &SendTarget, tracker: &BodyTracker) {
        if !tracker.is_between_events() {
            self.note_cut(target.upstream, "answer without an end");
        }
    }

    /// Relays the body of one upstream's answer until it ends, breaks off or is abandoned.
    async fn relay_body(
        &self,
        target: &SendTarget,
        streamed: StreamedBody,
        deadline_ms: u64,
        pieces: &PieceSender,
        mut splice: Option<&mut EventSplice>,
    ) -> RelayEnd {
        let StreamedBody { facts, success, mut tracker, mut body, lease, guard } = streamed;
        let _guard = guard;
        let at = (target.upstream, target.address);
        let may_leave = splice.is_some();
        let mut first = true;
        loop {
            // A body that always has more bytes ready would never let the wait below time out.
            if self.node.now_ms() > deadline_ms + MAX_OVERRUN_MS {
                self.note_unfinished(target, &tracker);
                return RelayEnd::TimedOut;
            }
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return RelayEnd::CallerLeft,
                frame = self.node.wait_for(at, body.frame(), deadline_ms, may_leave) => frame,
            };
            let data = match frame {
                WaitResult::TimedOut => {
                    self.note_unfinished(target, &tracker);
                    return RelayEnd::TimedOut;
                }
                WaitResult::Unresponsive => return RelayEnd::Broken,
                WaitResult::Done(Some(Err(error))) => {
                    self.log_broken_body(target, &tracker, &error);
                    return RelayEnd::Broken;
                }
                WaitResult::Done(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                WaitResult::Done(None) => break,
            };
            self.node.note_heard();
            if std::mem::take(&mut first) {
                self.note_first_byte(target, "first piece");
            }
            target.trial.note_piece(tracker.note_bytes(&data));
            let data = match splice.as_mut() {
                Some(splice) => Bytes::from(splice.feed(&data)),
                None => data,
            };
            if splice.is_some() && !data.is_empty() {
                self.note_origin_at(target);
            }
            if !data.is_empty() && !pieces.send(data).await {
                return RelayEnd::CallerLeft;
            }
            if tracker.is_overlong() {
                info!(
                    target: "upstream", life = target.send.name, attempt = self.caller.attempt,
                    "event without an end",
                );
                return RelayEnd::Broken;
            }
        }
        self.note_body_end(target, &tracker);
        let misses_event = splice.as_ref().is_some_and(|splice| splice.misses_event());
        if misses_event || !tracker.is_whole() {
            return RelayEnd::Broken;
        }
        if let Some(splice) = splice {
            let rest = splice.finish();
            if !rest.is_empty() {
                self.note_origin_at(target);
            }
            if !rest.is_empty() && !pieces.send(Bytes::from(rest)).await {
                return RelayEnd::CallerLeft;
            }
        }
        if success {
            target.trial.end_success();
            self.node.outliers.borrow_mut().note_success(target.upstream);
            self.note_outcome(target.upstream, true);
        }
        self.note_ran(target, tracker.framing() != BodyFraming::Connection, success);
        let closes = facts.closes || tracker.framing() == BodyFraming::Connection;
        lease.finish(closes, facts.idle_ms, self.node.now_ms()).await;
        RelayEnd::Complete
    }

    /// Notes where the stream began, before its first bytes are passed on.
    fn note_origin_at(&self, target: &SendTarget) {
        let service = &target.routes.table.services[target.service];
        let origin =
            StreamOrigin { service: ServiceKey::of(&service.name), version: target.version };
        self.note_origin(&target.routes.table.routes[target.route], origin);
    }

    /// Counts where a body ended that is complete by its framing, and logs an end outside an event boundary.
    fn note_body_end(&self, target: &SendTarget, tracker: &BodyTracker) {
        let (framing, end) = (tracker.framing(), tracker.end());
        self.node.counters.borrow_mut().note_body_end(framing, end);
        if end != BodyEnd::Boundary {
            info!(
                target: "upstream", life = target.send.name, attempt = self.caller.attempt,
                framing = framing.name(), end = end.name(), "stream ended",
            );
        }
    }

    /// Logs a body that its connection broke off.
    fn log_broken_body(&self, target: &SendTarget, tracker: &BodyTracker, error: &hyper::Error) {
        info!(
            target: "upstream", life = target.send.name, attempt = self.caller.attempt,
            framing = tracker.framing().name(), end = tracker.end().name(), %error, "stream broke off",
        );
    }
}
