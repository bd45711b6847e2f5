//! An answer that comes piece by piece, and a stream that is taken up at another upstream.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::header::CONTENT_LENGTH;
use hyper::Response;
use tokio::task::spawn_local;
use tracing::info;

use super::vm_place::SendPlace;
use super::vm_relay::{AnswerBody, PieceSender};
use super::vm_reply::{ComingBody, GoodAnswer, GoodBody, SendResult};
use super::vm_silence::Waited;
use super::vm_task::{CallerTask, LEAST_LEFT_MS};
use crate::coordination::attempt_plan::{AttemptCount, RunKnowledge, SendOutcome};
use crate::coordination::body_tracker::BodyTracker;
use crate::coordination::event_splice::EventSplice;
use crate::coordination::holder_news::HolderNote;
use crate::state::body_end::{BodyEnd, BodyFraming};
use crate::state::ids::UpstreamKey;
use crate::state::route_table::{pick_share, RequestKind};
use crate::state::vm_figures::RequestEnd;

enum RunEnd {
    Complete,
    Broken,
    TimedOut,
    CallerLeft,
}

impl CallerTask {
    /// Passes an upstream's answer on.
    pub(super) async fn pass_on(
        self,
        place: SendPlace,
        answer: GoodAnswer,
        deadline_ms: u64,
        count: &mut AttemptCount,
    ) -> Response<AnswerBody> {
        let rule = &place.routes.table.routes[place.route];
        if answer.head.status.is_success() {
            self.node.outliers.borrow_mut().note_begun(place.upstream);
            if !self.caller.prompt.is_empty() {
                let now_ms = self.node.now_ms();
                let mut prefixes = self.node.prefixes.borrow_mut();
                prefixes.note_sent(&self.caller.prompt, place.upstream, now_ms);
                for part in place.against_order.into_iter().chain(place.new_root) {
                    let note = HolderNote { part, engine: place.upstream };
                    self.node.holders.borrow_mut().outbox.add(note, now_ms);
                }
            }
        }
        let ended = matches!(answer.body, GoodBody::Whole(_)) || !answer.head.status.is_success();
        if ended && !answer.asks_rest {
            self.note_outcome(place.upstream, answer.head.status.is_success());
        }
        self.node.figures.borrow_mut().note_end(match answer.head.status.is_server_error() {
            true => RequestEnd::UpstreamFailed,
            false => RequestEnd::Answered,
        });
        if !rule.kind.is_stream() {
            self.note_first_byte(&place, "head");
        }
        let GoodAnswer { head, body, .. } = answer;
        let headers = self.node.adapter.write_answer(&head);
        let respond = |body, headers| {
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            response
        };
        let coming = match body {
            GoodBody::Whole(bytes) => {
                if head.status.is_success() {
                    place.trial.end_well();
                    self.node.outliers.borrow_mut().note_success(place.upstream);
                }
                self.connection.note_answer(&self.caller.attempt, self.node.now_ms());
                return respond(AnswerBody::whole(bytes), headers);
            }
            GoodBody::Coming(coming) => coming,
        };
        let (pieces, body) = AnswerBody::pieces();
        let mut response = respond(body, headers);
        let resumable = rule.kind == RequestKind::ResumableStream && response.status().is_success();
        // A length beside another framing isn't that of the body, and one of a stream would make it complete inside an event.
        let is_stream = rule.kind.is_stream() && response.status().is_success();
        if is_stream || coming.tracker.framing() != BodyFraming::Length {
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        count.note(SendOutcome::Failed);
        let count = *count;
        spawn_local(self.relay(place, coming, deadline_ms, pieces, resumable, count));
        response
    }

    /// Relays a stream, taking it up elsewhere when it breaks and may be resumed.
    async fn relay(
        self,
        place: SendPlace,
        coming: Box<ComingBody>,
        deadline_ms: u64,
        pieces: PieceSender,
        resumable: bool,
        mut count: AttemptCount,
    ) {
        let mut splice = resumable.then(|| EventSplice::after(self.caller.last_event.clone()));
        self.record.note(RunKnowledge::Begun);
        let mut tried = vec![place.upstream];
        let mut next = Some((place, coming));
        while let Some((place, coming)) = next.take() {
            match self.relay_run(&place, *coming, deadline_ms, &pieces, splice.as_mut()).await {
                RunEnd::Complete => {
                    self.connection.note_answer(&self.caller.attempt, self.node.now_ms());
                    return pieces.complete().await;
                }
                RunEnd::CallerLeft => return self.record.log_left(),
                RunEnd::TimedOut => {
                    place.trial.end_bad();
                    info!(
                        target: "request", attempt = self.caller.attempt,
                        "a stream is cut, since its time is over",
                    );
                    break;
                }
                RunEnd::Broken => {
                    place.trial.end_unsaid();
                    self.note_cut(place.upstream, "cut stream");
                    self.look_after_break(&place);
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
        self.node.figures.borrow_mut().cut += 1;
        info!(target: "request", attempt = self.caller.attempt, "a stream is cut short");
    }

    async fn resume(
        &self,
        after: Option<String>,
        deadline_ms: u64,
        tried: &mut Vec<UpstreamKey>,
        count: &mut AttemptCount,
    ) -> Option<(SendPlace, Box<ComingBody>)> {
        loop {
            let (routes, route, workspace) = self.decide().ok()?;
            let rule = &routes.table.routes[route];
            if rule.kind != RequestKind::ResumableStream {
                return None;
            }
            let service = pick_share(&rule.shares, self.draw)?;
            let entry = &routes.table.services[service];
            let left = deadline_ms.saturating_sub(self.node.now_ms());
            if count.sent >= rule.max_upstreams || left < LEAST_LEFT_MS {
                return None;
            }
            // What was begun goes on whatever room there is.
            let pick = self.choose(entry, rule, None, tried).ok()?;
            if !self.spend_repeat(&entry.name) {
                return None;
            }
            tried.push(pick.upstream);
            let at = (route, service);
            let place = self.place(&routes, at, workspace, pick, left, after.clone())?;
            match self.send(&place, deadline_ms).await {
                SendResult::Answer(answer) => {
                    count.note(SendOutcome::Failed);
                    if let (true, GoodBody::Coming(coming)) =
                        (answer.head.status.is_success(), answer.body)
                    {
                        let attempt = &self.caller.attempt;
                        self.node.figures.borrow_mut().resumed += 1;
                        info!(target: "request", attempt, "a stream is resumed");
                        return Some((place, coming));
                    }
                }
                SendResult::Bad(outcome) => count.note(outcome),
            }
        }
    }

    async fn relay_run(
        &self,
        place: &SendPlace,
        coming: ComingBody,
        deadline_ms: u64,
        pieces: &PieceSender,
        mut splice: Option<&mut EventSplice>,
    ) -> RunEnd {
        let ComingBody { facts, success, mut tracker, mut body, lease, guard } = coming;
        let _guard = guard;
        let at = (place.upstream, place.address);
        let may_leave = splice.is_some();
        let mut first = true;
        loop {
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return RunEnd::CallerLeft,
                frame = self.node.wait_for(at, body.frame(), deadline_ms, may_leave) => frame,
            };
            let data = match frame {
                Waited::TimedOut => return RunEnd::TimedOut,
                Waited::Dark => return RunEnd::Broken,
                Waited::Done(Some(Err(error))) => {
                    self.log_broken_body(place, &tracker, &error);
                    return RunEnd::Broken;
                }
                Waited::Done(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Waited::Done(None) => break,
            };
            if std::mem::take(&mut first) {
                self.note_first_byte(place, "first piece");
            }
            place.trial.note_piece(tracker.note_bytes(&data));
            let data = match splice.as_mut() {
                Some(splice) => Bytes::from(splice.feed(&data)),
                None => data,
            };
            if !data.is_empty() && !pieces.send(data).await {
                return RunEnd::CallerLeft;
            }
            if splice.as_ref().is_some_and(|splice| splice.is_overlong()) {
                return RunEnd::Broken;
            }
        }
        self.note_body_end(place, &tracker);
        let is_owing = splice.as_ref().is_some_and(|splice| splice.owes_event());
        if is_owing || !tracker.is_whole() {
            return RunEnd::Broken;
        }
        if let Some(splice) = splice {
            let rest = splice.finish();
            if !rest.is_empty() && !pieces.send(Bytes::from(rest)).await {
                return RunEnd::CallerLeft;
            }
        }
        if success {
            place.trial.end_well();
            self.node.outliers.borrow_mut().note_success(place.upstream);
            self.note_outcome(place.upstream, true);
        }
        self.note_ran(place, tracker.framing() != BodyFraming::Connection);
        let closes = facts.closes || tracker.framing() == BodyFraming::Connection;
        lease.finish(closes, facts.idle_ms, self.node.now_ms()).await;
        RunEnd::Complete
    }

    /// Counts where a body stopped that its framing calls complete.
    fn note_body_end(&self, place: &SendPlace, tracker: &BodyTracker) {
        let (framing, end) = (tracker.framing(), tracker.end());
        self.node.figures.borrow_mut().note_body_end(framing, end);
        if end != BodyEnd::Boundary {
            info!(
                target: "upstream", life = place.send.name, attempt = self.caller.attempt,
                framing = framing.name(), end = end.name(), "stream ended",
            );
        }
    }

    fn log_broken_body(&self, place: &SendPlace, tracker: &BodyTracker, error: &hyper::Error) {
        info!(
            target: "upstream", life = place.send.name, attempt = self.caller.attempt,
            framing = tracker.framing().name(), end = tracker.end().name(), %error, "stream broke off",
        );
    }
}
