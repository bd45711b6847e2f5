//! A caller's request on its way to an upstream, and the answer on its way back.
//!
//! Invariants: what was decided by one route table is decided anew before each send, so that no
//! request goes by an older version than the one in force; a request in flight is
//! counted by a guard, and dropping a send closes its connection.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};
use tracing::info;

use super::vm_answer::{close_after, own_answer, refusal};
use super::vm_guard::ServingGuard;
use super::vm_node::{RoutesInForce, VmNode};
use super::vm_relay::AnswerBody;
use super::vm_reply::SendResult;
use super::vm_request_record::{ConnectionRecord, RecordWatch, RequestRecord};
use super::vm_task::{CallerTask, Denial, LEAST_LEFT_MS, RETRY_MS};
use crate::coordination::attempt_plan::{AttemptCount, NextStep, RunKnowledge, SendOutcome};
use crate::coordination::crash_table::FIRST_HELD_MS;
use crate::coordination::engine_room::RoomRequest;
use crate::coordination::repeat_budget::{RepeatAllowance, RepeatBudget};
use crate::coordination::upstream_candidate::ChoiceFault;
use crate::state::route_table::{pick_share, RequestKind, RouteDecision, RouteRule, ServiceEntry};
use crate::state::vm_figures::RequestEnd;

/// A VM that has just started holds requests until it is ready, this long at most, in
/// milliseconds: a group that was killed whole serves again 220 ms after its start, as measured
/// (docs/design/platform.md), and a caller that is refused meanwhile comes back later than that.
const WAKE_HOLD_MS: u64 = 300;
/// A VM has just started until this age, in milliseconds.
const WAKE_AGE_MS: u64 = 3000;
/// An age of the contact at which this VM may no longer say that a route or key is unknown:
/// another version may be in force. In milliseconds.
const DENY_AGE_MS: u64 = 1500;

/// Serves one request of a caller.
pub async fn serve_caller(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (arrived, arrived_ms) = (Instant::now(), node.now_ms());
    let serving = ServingGuard::new(&node);
    let (mut head, body) = request.into_parts();
    let connection = head.extensions.remove::<ConnectionRecord>().unwrap_or_default();
    connection.note_request();
    let caller = match node.adapter.read_request(&head) {
        Ok(caller) => caller,
        Err(fault) => {
            let text = format!("not a proper request: {fault:?}");
            node.figures.borrow_mut().note_end(RequestEnd::Denied);
            return close_after(own_answer(StatusCode::BAD_REQUEST, text));
        }
    };
    wake(&node, arrived).await;
    let limit = match node.routes.borrow().as_ref() {
        Some(routes) => routes.table.limits.body_bytes,
        None => return close_after(deny(&Denial::NoRoutes)),
    };
    if body.size_hint().lower() > limit as u64 {
        return close_after(own_answer(StatusCode::PAYLOAD_TOO_LARGE, ""));
    }
    let patience = Duration::from_millis(caller.wait_ms.unwrap_or(60_000));
    let body = match timeout_at(arrived + patience, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return close_after(own_answer(StatusCode::PAYLOAD_TOO_LARGE, ""));
        }
        Ok(Err(_)) => {
            return close_after(own_answer(StatusCode::BAD_REQUEST, "the body broke off"))
        }
        Err(_) => return close_after(own_answer(StatusCode::REQUEST_TIMEOUT, "")),
    };
    let draw = node.draw();
    let record = RequestRecord::new(&node, &caller.attempt);
    let watch = RecordWatch(record.clone());
    let task = CallerTask {
        node,
        head,
        body,
        caller,
        arrived_ms,
        draw,
        record,
        connection,
        mark: OnceCell::new(),
        _serving: serving,
    };
    let answer = match task.must_end() {
        true => task.serve_to_its_end().await,
        false => task.serve().await,
    };
    watch.0.note_answered();
    answer
}

/// Waits a little for a VM that has just started to become ready.
async fn wake(node: &VmNode, arrived: Instant) {
    let until = arrived + Duration::from_millis(WAKE_HOLD_MS);
    loop {
        let changed = node.contact_changed.notified();
        let ready = node.is_ready() && !node.upstreams.borrow().entries.is_empty();
        let waking = node.clock.age_ms() < WAKE_AGE_MS && node.stopping_ms.get().is_none();
        if ready || !waking || timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

fn deny(denial: &Denial) -> Response<AnswerBody> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match denial {
        Denial::NoRoutes => refusal(unavailable, "no configuration is known yet", RETRY_MS),
        Denial::OldContact => refusal(unavailable, "the configuration may be old", RETRY_MS),
        Denial::NoRoute => own_answer(StatusCode::NOT_FOUND, "no such route"),
        Denial::NoKey => own_answer(StatusCode::UNAUTHORIZED, "no such key"),
        Denial::Held => refusal(unavailable, "upstreams ended under this request", FIRST_HELD_MS),
    }
}

impl CallerTask {
    /// Whether the request is brought to its end although its caller leaves: it may run once, and a
    /// run that is cut leaves unknown whether it took effect. Streams are not: an engine
    /// would generate for no reader.
    fn must_end(&self) -> bool {
        match self.decide() {
            Ok((routes, route, _)) => routes.table.routes[route].kind == RequestKind::Once,
            Err(_) => false,
        }
    }

    /// Serves apart from the caller's connection, and logs the end if that is gone by then.
    async fn serve_to_its_end(self) -> Response<AnswerBody> {
        let (sender, receiver) = oneshot::channel();
        let record = self.record.clone();
        spawn_local(async move {
            let answer = self.serve().await;
            let status = answer.status().as_u16();
            if sender.send(answer).is_err() {
                record.log_ended(status);
            }
        });
        receiver.await.unwrap_or_else(|_| own_answer(StatusCode::BAD_GATEWAY, "given up"))
    }

    async fn serve(self) -> Response<AnswerBody> {
        let mut count = AttemptCount::default();
        let mut tried = Vec::new();
        let draw = self.draw;
        let mut noted = false;
        loop {
            let (routes, route, workspace) = match self.decide() {
                Ok(decided) => decided,
                // A request that may have run can't be refused as not run any more.
                Err(_) if count.may_have_run => return self.fail(&count, "withdrawn"),
                Err(denial) => return self.deny(&denial),
            };
            let rule = &routes.table.routes[route];
            let deadline_ms = self.deadline_ms(rule);
            let Some(service) = pick_share(&rule.shares, draw) else {
                return self.refuse(&count, "no service");
            };
            let at = (route, service);
            let service = &routes.table.services[service];
            let named = workspace.and_then(|at| routes.table.workspace(at));
            let room = service.engine.as_ref().map(|_| RoomRequest {
                rank: rule.priority,
                workspace: named.map(|workspace| workspace.name.as_str()),
                goal_ms: rule.goal_ms,
                wait_ms: self.caller.wait_ms.unwrap_or(rule.timeout_ms),
            });
            let first = !std::mem::replace(&mut noted, true);
            if first {
                self.note_asked(&service.name, room.as_ref());
            }
            let left = deadline_ms.saturating_sub(self.node.now_ms());
            if left < LEAST_LEFT_MS {
                return self.time_out(&count);
            }
            // Where it has run it is at its end; where it hasn't, no answer would reach its caller.
            if self.record.has_left() {
                return self.refuse(&count, "its caller left");
            }
            let pick = match self.choose(service, rule, room.as_ref(), &tried) {
                Ok(pick) => pick,
                Err(fault) => return self.refuse_unplaced(&count, &service.name, fault),
            };
            if count.sent > 0 && !self.spend_repeat(&service.name) {
                return match count.give_up() {
                    NextStep::Refuse => self.refuse_not_run(&count, service, "no repeat left"),
                    _ => self.fail(&count, "no repeat left"),
                };
            }
            if let (true, Some(room)) = (first, &room) {
                self.node.with_room(&service.name, |known| known.note_taken(room));
            }
            tried.push(pick.upstream);
            let Some(place) = self.place(&routes, at, workspace, pick, left, None) else {
                continue;
            };
            if count.sent > 0 {
                self.node.figures.borrow_mut().repeats += 1;
            }
            self.record.note(RunKnowledge::Unknown);
            let outcome = match self.send(&place, deadline_ms).await {
                SendResult::Answer(answer) => {
                    self.record.note(RunKnowledge::Ran);
                    let failed = answer.head.status.is_server_error();
                    // Without an upstream left for a repeat its caller gets the upstream's own failure, not ours.
                    let repeats = failed
                        && count.repeats_failure(rule.kind, rule.max_upstreams)
                        && self.may_spend_repeat(&service.name)
                        && self.choose(service, rule, room.as_ref(), &tried).is_ok();
                    if !repeats {
                        return self.pass_on(place, *answer, deadline_ms, &mut count).await;
                    }
                    SendOutcome::Failed
                }
                SendResult::Bad(outcome) => outcome,
            };
            count.note(outcome);
            self.record.note(count.knowledge());
            match count.next(outcome, rule.kind, rule.max_upstreams) {
                NextStep::Repeat | NextStep::Elsewhere => {}
                NextStep::Refuse => return self.refuse_not_run(&count, service, "not run"),
                NextStep::TimeOut => return self.time_out(&count),
                NextStep::Fail | NextStep::PassOn => return self.fail(&count, "broken"),
            }
        }
    }

    /// What the routes in force say of this request now.
    pub(super) fn decide(&self) -> Result<(Rc<RoutesInForce>, usize, Option<usize>), Denial> {
        let now_ms = self.node.now_ms();
        let Some(routes) = self.node.routes.borrow().clone() else { return Err(Denial::NoRoutes) };
        let contact = self.node.contact.borrow();
        let bounds = self.node.settings.borrow().bounds;
        if contact.is_behind(bounds.apply_ms, now_ms) {
            return Err(Denial::OldContact);
        }
        let sure = contact.age_ms(now_ms) < DENY_AGE_MS;
        let denied = |denial| Err(if sure { denial } else { Denial::OldContact });
        let caller = &self.caller;
        match routes.table.decide(&caller.host, &caller.path, caller.key.as_deref()) {
            RouteDecision::NoRoute => denied(Denial::NoRoute),
            RouteDecision::NoKey => denied(Denial::NoKey),
            RouteDecision::Served { route, workspace } => {
                let keyed = routes.table.workspaces.is_some() && !routes.table.routes[route].public;
                if keyed && !contact.may_serve_keys(bounds.revoke_ms, now_ms) {
                    return Err(Denial::OldContact);
                }
                drop(contact);
                let name = workspace.and_then(|at| routes.table.workspace(at));
                match self.is_held(name.map(|workspace| workspace.name.as_str())) {
                    true => Err(Denial::Held),
                    false => Ok((routes, route, workspace)),
                }
            }
        }
    }

    fn deadline_ms(&self, rule: &RouteRule) -> u64 {
        let wait_ms = self.caller.wait_ms.unwrap_or(rule.timeout_ms).min(rule.timeout_ms);
        self.arrived_ms + wait_ms
    }

    /// It asks its service for the first time.
    fn note_asked(&self, service: &str, room: Option<&RoomRequest>) {
        let (allowance, now_ms) = (self.node.allowance(), self.node.now_ms());
        let mut budgets = self.node.budgets.borrow_mut();
        budgets.entry(service.to_string()).or_default().note_first(&allowance, now_ms);
        if let Some(room) = room {
            self.node.prefixes.borrow_mut().note_asked(&self.caller.prompt, now_ms);
            self.node.with_room(service, |known| known.note_asked(room, now_ms));
        }
    }

    pub(super) fn spend_repeat(&self, service: &str) -> bool {
        self.ask_budget(service, RepeatBudget::spend)
    }

    /// Whether [`CallerTask::spend_repeat`] would succeed.
    fn may_spend_repeat(&self, service: &str) -> bool {
        self.ask_budget(service, RepeatBudget::may_spend)
    }

    fn ask_budget(
        &self,
        service: &str,
        ask: fn(&mut RepeatBudget, &RepeatAllowance, usize, u64) -> bool,
    ) -> bool {
        let vms = self.node.view.borrow().roster.rows.len();
        let mut budgets = self.node.budgets.borrow_mut();
        let budget = budgets.entry(service.to_string()).or_default();
        ask(budget, &self.node.allowance(), vms, self.node.now_ms())
    }

    fn note_end(&self, end: RequestEnd) {
        self.node.figures.borrow_mut().note_end(end);
    }

    fn deny(&self, denial: &Denial) -> Response<AnswerBody> {
        self.note_end(match denial {
            Denial::NoRoutes | Denial::OldContact | Denial::Held => RequestEnd::Refused,
            Denial::NoRoute | Denial::NoKey => RequestEnd::Denied,
        });
        deny(denial)
    }

    fn refuse(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        self.refuse_until(count, why, RETRY_MS)
    }

    fn refuse_until(&self, count: &AttemptCount, why: &str, retry_ms: u64) -> Response<AnswerBody> {
        self.note_end(RequestEnd::Refused);
        let attempt = &self.caller.attempt;
        info!(target: "request", attempt, sent = count.sent, retry_ms, "refused: {why}");
        refusal(StatusCode::SERVICE_UNAVAILABLE, why, retry_ms)
    }

    /// It was sent, and no upstream ran it.
    fn refuse_not_run(
        &self,
        count: &AttemptCount,
        service: &ServiceEntry,
        why: &str,
    ) -> Response<AnswerBody> {
        self.refuse_until(count, why, self.return_ms(service))
    }

    /// No upstream was chosen.
    fn refuse_unplaced(
        &self,
        count: &AttemptCount,
        service: &str,
        fault: ChoiceFault,
    ) -> Response<AnswerBody> {
        let why = match fault {
            ChoiceFault::NoUpstream => "no upstream",
            ChoiceFault::Full => "no room",
            ChoiceFault::Resting(_) => "all upstreams rest",
        };
        if count.may_have_run {
            return self.fail(count, why);
        }
        let retry_ms = match fault {
            ChoiceFault::NoUpstream => RETRY_MS,
            ChoiceFault::Resting(rest_ms) => rest_ms,
            ChoiceFault::Full => {
                self.node.with_room(service, |room| room.return_ms(self.node.now_ms()))
            }
        };
        self.refuse_until(count, why, retry_ms)
    }

    fn fail(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        self.note_end(RequestEnd::Failed);
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "failed: {why}");
        own_answer(StatusCode::BAD_GATEWAY, why.to_string())
    }

    fn time_out(&self, count: &AttemptCount) -> Response<AnswerBody> {
        self.note_end(RequestEnd::TimedOut);
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "time is over");
        match count.may_have_run {
            true => own_answer(StatusCode::GATEWAY_TIMEOUT, "its time is over"),
            false => refusal(StatusCode::SERVICE_UNAVAILABLE, "its time is over", RETRY_MS),
        }
    }
}
