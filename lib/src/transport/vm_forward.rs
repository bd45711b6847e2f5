//! Serves a caller's request: reads it, sends it to upstreams until one answers, and returns the answer.
//!
//! Invariants: the routing decision is repeated before each send, so that no request is routed by an older
//! configuration than the one in force. A guard counts each request in flight, and dropping a send
//! closes its connection.

use std::cell::{Cell, OnceCell};
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
use super::vm_request_record::{CallerWatch, ConnectionRecord, RequestRecord};
use super::vm_task::{CallerTask, Denial, DEFAULT_RETRY_MS, MIN_REMAINING_MS};
use crate::coordination::attempt_plan::{AttemptCount, NextStep, RunKnowledge, SendOutcome};
use crate::coordination::crash_table::FIRST_QUARANTINE_MS;
use crate::coordination::engine_room::CapacityRequest;
use crate::coordination::repeat_budget::{RepeatAllowance, RepeatBudget};
use crate::coordination::stream_origins::ResumeDecision;
use crate::coordination::upstream_candidate::ChoiceError;
use crate::protocol::peer_relay::RelayNote;
use crate::state::route_table::{RequestKind, RouteDecision, RouteRule, ServiceEntry};
use crate::state::vm_figures::RequestEnd;

/// The maximum time for which a VM that has just started holds a request until it is ready, in
/// milliseconds. A group of VMs that was killed as a whole serves again 220 ms after its start
/// (docs/design/platform.md); a caller that is refused in the meantime retries later than that.
const STARTUP_WAIT_MS: u64 = 300;
/// The age up to which a VM counts as just started, in milliseconds.
const STARTUP_AGE_MS: u64 = 3000;
/// The contact age from which this VM no longer rejects a route or key as unknown, in milliseconds:
/// another version of the configuration, which has it, may be in force by then.
const DENIAL_MAX_AGE_MS: u64 = 1500;

/// Serves one request of a caller, from reading its body to the answer.
pub async fn serve_caller(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (arrived, arrived_ms) = (Instant::now(), node.now_ms());
    let serving = ServingGuard::new(&node);
    let (mut head, body) = request.into_parts();
    let connection = head.extensions.remove::<ConnectionRecord>().unwrap_or_default();
    connection.note_request();
    let relayed = head.extensions.remove::<RelayNote>();
    let caller = match node.adapter.read_request(&head) {
        Ok(caller) => caller,
        Err(fault) => {
            let text = format!("not a proper request: {fault:?}");
            node.counters.borrow_mut().note_end(RequestEnd::Denied);
            return close_after(own_answer(StatusCode::BAD_REQUEST, text));
        }
    };
    wait_until_ready(&node, arrived).await;
    let limit = match node.routes.borrow().as_ref() {
        Some(routes) => routes.table.limits.body_bytes,
        None => return close_after(deny(&Denial::NoConfiguration)),
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
    let watch = CallerWatch(record.clone());
    let task = CallerTask {
        node,
        head,
        body,
        caller,
        arrived_ms,
        draw,
        record,
        connection,
        origin: Cell::default(),
        origin_noted: Cell::default(),
        fingerprint: OnceCell::new(),
        relayed,
        _serving: serving,
    };
    let answer = match task.must_complete() {
        true => task.serve_detached().await,
        false => task.serve().await,
    };
    watch.0.note_answered();
    answer
}

/// Waits up to [`STARTUP_WAIT_MS`] for a VM that has just started to become ready.
async fn wait_until_ready(node: &VmNode, arrived: Instant) {
    let until = arrived + Duration::from_millis(STARTUP_WAIT_MS);
    loop {
        let changed = node.contact_changed.notified();
        let ready = node.is_ready() && !node.upstreams.borrow().entries.is_empty();
        let starting = node.clock.age_ms() < STARTUP_AGE_MS && node.stopping_ms.get().is_none();
        if ready || !starting || timeout_at(until, changed).await.is_err() {
            return;
        }
    }
}

/// The answer to a request that is not sent to any upstream because of the configuration or the quarantine.
fn deny(denial: &Denial) -> Response<AnswerBody> {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match denial {
        Denial::NoConfiguration => {
            refusal(unavailable, "no configuration is known yet", DEFAULT_RETRY_MS)
        }
        Denial::StaleConfiguration => {
            refusal(unavailable, "the configuration may be old", DEFAULT_RETRY_MS)
        }
        Denial::NoRoute => own_answer(StatusCode::NOT_FOUND, "no such route"),
        Denial::NoKey => own_answer(StatusCode::UNAUTHORIZED, "no such key"),
        Denial::Quarantined => {
            refusal(unavailable, "upstreams ended under this request", FIRST_QUARANTINE_MS)
        }
    }
}

impl CallerTask {
    /// Whether the request is completed even if its caller disconnects. This holds for requests that may
    /// run only once, since a canceled run leaves open whether it took effect. Streams are canceled:
    /// an engine would otherwise generate output that is never read.
    fn must_complete(&self) -> bool {
        match self.decide() {
            Ok((routes, route, _)) => routes.table.routes[route].kind == RequestKind::Once,
            Err(_) => false,
        }
    }

    /// Serves in a task of its own that outlives the caller's connection, and logs how the request ended if
    /// the connection has closed by then.
    async fn serve_detached(self) -> Response<AnswerBody> {
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

    /// Sends the request until an upstream's answer can be passed on or no further send is allowed.
    async fn serve(self) -> Response<AnswerBody> {
        let mut count = self.count_before();
        let mut tried = Vec::new();
        let mut first_noted = count.sent > 0;
        let mut origin_sought = false;
        loop {
            if self.node.is_isolated() {
                return self.serve_while_isolated(&mut count).await;
            }
            let (routes, route, workspace) = match self.decide() {
                Ok(decided) => decided,
                // A refusal would state that the request has not run, which is no longer certain.
                Err(_) if count.may_have_run => return self.fail(&count, "withdrawn"),
                Err(denial) => return self.deny(&denial),
            };
            let rule = &routes.table.routes[route];
            let deadline_ms = self.deadline_ms(rule);
            let resumes = rule.kind.is_stream() && self.caller.resumes_stream();
            if resumes && !std::mem::replace(&mut origin_sought, true) {
                match self.find_origin(rule).await {
                    ResumeDecision::Anywhere => {}
                    ResumeDecision::At(origin) => self.origin.set(Some(origin)),
                    decision => return self.refuse_to_resume(&count, decision),
                }
                continue;
            }
            let Some(service) = self.choose_service(rule) else {
                return match self.origin.get() {
                    Some(_) => self.refuse_for_good(&count, "its service is no longer routed to"),
                    None => self.refuse(&count, "no service"),
                };
            };
            let at = (route, service);
            let service = &routes.table.services[service];
            let named = workspace.and_then(|at| routes.table.workspace(at));
            let demand = service.engine.as_ref().map(|_| CapacityRequest {
                rank: rule.priority,
                workspace: named.map(|workspace| workspace.name.as_str()),
                goal_ms: rule.goal_ms,
                wait_ms: self.caller.wait_ms.unwrap_or(rule.timeout_ms),
            });
            let first = !std::mem::replace(&mut first_noted, true);
            if first {
                self.note_first_request(&service.name, demand.as_ref());
            }
            let left = deadline_ms.saturating_sub(self.node.now_ms());
            if left < MIN_REMAINING_MS {
                return self.time_out(&count);
            }
            // Once the caller has disconnected nothing more is sent: a request that has run is complete, and
            // the answer to another send would reach no caller.
            if self.record.has_left() {
                return self.refuse(&count, "its caller left");
            }
            let pick = match self.choose(service, rule, demand.as_ref(), &tried) {
                Ok(pick) => pick,
                Err(fault) => return self.refuse_unassigned(&count, &service.name, fault),
            };
            if count.sent > 0 && !self.spend_repeat(&service.name) {
                return match count.give_up() {
                    NextStep::Refuse => self.refuse_not_run(&count, service, "no repeat left"),
                    _ => self.fail(&count, "no repeat left"),
                };
            }
            if let (true, Some(demand)) = (first, &demand) {
                self.node.with_service_capacity(&service.name, |capacity| {
                    capacity.note_admitted(demand)
                });
            }
            tried.push(pick.upstream);
            let Some(target) = self.place(&routes, at, workspace, pick, left, None) else {
                continue;
            };
            if count.sent > 0 {
                self.node.counters.borrow_mut().repeats += 1;
            }
            if self.caller.resumes_stream() {
                self.node.counters.borrow_mut().resumed_by_callers += 1;
                info!(
                    target: "request", attempt = self.caller.attempt,
                    resumes = self.caller.resumes, after = self.caller.last_event,
                    life = target.send.name, version = %target.version, "stream resumed by its caller",
                );
            }
            self.record.note(RunKnowledge::Unknown);
            let outcome = match self.send(&target, deadline_ms).await {
                SendResult::Answer(answer) => {
                    self.record.note(RunKnowledge::Ran);
                    let failed = answer.head.status.is_server_error();
                    // If no upstream is left for a retry, the caller gets the upstream's own error answer
                    // instead of one of this VM.
                    let repeats = failed
                        && count.repeats_failure(rule.kind, rule.max_upstreams)
                        && self.may_spend_repeat(&service.name)
                        && self.choose(service, rule, demand.as_ref(), &tried).is_ok();
                    if !repeats {
                        return self.forward_answer(target, *answer, deadline_ms, &mut count).await;
                    }
                    SendOutcome::Failed
                }
                SendResult::NoAnswer(outcome) => outcome,
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

    /// The attempts that another VM made before it passed the request on.
    fn count_before(&self) -> AttemptCount {
        self.relayed.map_or(AttemptCount::default(), |note| AttemptCount {
            sent: note.sent,
            may_have_run: note.may_have_run,
            ..AttemptCount::default()
        })
    }

    /// Passes the request to another VM, since this one reaches no upstream. A request that came from another
    /// VM is refused, so that none goes round in circles.
    async fn serve_while_isolated(&self, count: &mut AttemptCount) -> Response<AnswerBody> {
        if self.relayed.is_none() && !self.record.has_left() {
            if let Some(answer) = self.relay_to_peer(count).await {
                return answer;
            }
        }
        match count.give_up() {
            NextStep::Refuse => self.refuse(count, "reaches no upstream"),
            _ => self.fail(count, "reaches no upstream"),
        }
    }

    /// Routes the request by the configuration in force: the configuration, the index of the route, and the
    /// index of the workspace whose key the caller sent.
    pub(super) fn decide(&self) -> Result<(Rc<RoutesInForce>, usize, Option<usize>), Denial> {
        let now_ms = self.node.now_ms();
        let Some(routes) = self.node.routes.borrow().clone() else {
            return Err(Denial::NoConfiguration);
        };
        let contact = self.node.contact.borrow();
        let bounds = self.node.settings.borrow().bounds;
        let outdated = contact.applied() < contact.served();
        if outdated || contact.is_behind(bounds.apply_ms, now_ms) {
            return Err(Denial::StaleConfiguration);
        }
        let sure = contact.age_ms(now_ms) < DENIAL_MAX_AGE_MS;
        let denied = |denial| Err(if sure { denial } else { Denial::StaleConfiguration });
        let caller = &self.caller;
        match routes.table.decide(&caller.host, &caller.path, caller.key.as_deref()) {
            RouteDecision::NoRoute => denied(Denial::NoRoute),
            RouteDecision::NoKey => denied(Denial::NoKey),
            RouteDecision::Served { route, workspace } => {
                let keyed = routes.table.workspaces.is_some() && !routes.table.routes[route].public;
                if keyed && !contact.may_serve_keys(bounds.revoke_ms, now_ms) {
                    return Err(Denial::StaleConfiguration);
                }
                drop(contact);
                let name = workspace.and_then(|at| routes.table.workspace(at));
                match self.is_quarantined(name.map(|workspace| workspace.name.as_str())) {
                    true => Err(Denial::Quarantined),
                    false => Ok((routes, route, workspace)),
                }
            }
        }
    }

    /// The deadline by the node's clock: the caller's own limit, but no later than the route's.
    fn deadline_ms(&self, rule: &RouteRule) -> u64 {
        let wait_ms = self.caller.wait_ms.unwrap_or(rule.timeout_ms).min(rule.timeout_ms);
        self.arrived_ms + wait_ms
    }

    /// Counts the request for the retry budget of its service and, for engines, in the prefix rates and the
    /// capacity estimate. Called before its first send.
    fn note_first_request(&self, service: &str, demand: Option<&CapacityRequest>) {
        let (allowance, now_ms) = (self.node.allowance(), self.node.now_ms());
        let mut budgets = self.node.budgets.borrow_mut();
        budgets.entry(service.to_string()).or_default().note_first(&allowance, now_ms);
        if let Some(demand) = demand {
            self.node.prefixes.borrow_mut().note_request(&self.caller.prompt, now_ms);
            self.node
                .with_service_capacity(service, |capacity| capacity.note_request(demand, now_ms));
        }
    }

    /// Takes one retry from the service's retry budget; false if none is left.
    pub(super) fn spend_repeat(&self, service: &str) -> bool {
        self.use_budget(service, RepeatBudget::spend)
    }

    /// Whether [`CallerTask::spend_repeat`] would succeed.
    fn may_spend_repeat(&self, service: &str) -> bool {
        self.use_budget(service, RepeatBudget::may_spend)
    }

    fn use_budget(
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
        self.node.counters.borrow_mut().note_end(end);
    }

    fn deny(&self, denial: &Denial) -> Response<AnswerBody> {
        self.note_end(match denial {
            Denial::NoConfiguration | Denial::StaleConfiguration | Denial::Quarantined => {
                RequestEnd::Refused
            }
            Denial::NoRoute | Denial::NoKey => RequestEnd::Denied,
        });
        deny(denial)
    }

    /// Answers that the request has not run, with the default time to retry.
    fn refuse(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        self.refuse_with_retry(count, why, DEFAULT_RETRY_MS)
    }

    /// Answers that the request has not run and may be retried after `retry_ms`.
    fn refuse_with_retry(
        &self,
        count: &AttemptCount,
        why: &str,
        retry_ms: u64,
    ) -> Response<AnswerBody> {
        self.note_end(RequestEnd::Refused);
        let attempt = &self.caller.attempt;
        info!(target: "request", attempt, sent = count.sent, retry_ms, "refused: {why}");
        refusal(StatusCode::SERVICE_UNAVAILABLE, why, retry_ms)
    }

    /// Refuses to resume a stream whose origin is unknown.
    fn refuse_to_resume(
        &self,
        count: &AttemptCount,
        decision: ResumeDecision,
    ) -> Response<AnswerBody> {
        match decision {
            ResumeDecision::Unanswered if !count.may_have_run => {
                self.node.counters.borrow_mut().resume_refused += 1;
                self.refuse(count, "where its stream began isn't known now")
            }
            _ => self.refuse_for_good(count, "where its stream began isn't known"),
        }
    }

    /// Answers that a stream can't be resumed, now or later: without a time to retry.
    fn refuse_for_good(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        if count.may_have_run {
            return self.fail(count, why);
        }
        self.note_end(RequestEnd::Refused);
        self.node.counters.borrow_mut().resume_refused += 1;
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "refused for good: {why}");
        own_answer(StatusCode::SERVICE_UNAVAILABLE, why.to_string())
    }

    /// Whether listed upstreams take work, but none of the version at which the stream began.
    fn has_no_version_left(&self, service: &str) -> bool {
        let Some(origin) = self.origin.get() else { return false };
        let upstreams = self.node.upstreams.borrow();
        let mut accepting = upstreams.accepting(service).map(|(_, entry)| entry.version).peekable();
        accepting.peek().is_some() && accepting.all(|version| version != origin.version)
    }

    /// Refuses a request that was sent and that no upstream ran.
    fn refuse_not_run(
        &self,
        count: &AttemptCount,
        service: &ServiceEntry,
        why: &str,
    ) -> Response<AnswerBody> {
        self.refuse_with_retry(count, why, self.earliest_retry_ms(service))
    }

    /// Refuses a request for which no upstream could be chosen, or fails it if it may have run.
    fn refuse_unassigned(
        &self,
        count: &AttemptCount,
        service: &str,
        fault: ChoiceError,
    ) -> Response<AnswerBody> {
        let why = match fault {
            ChoiceError::NoUpstream => "no upstream",
            ChoiceError::Full => "no room",
            ChoiceError::BackingOff(_) => "all upstreams rest",
        };
        if count.may_have_run {
            return self.fail(count, why);
        }
        if fault == ChoiceError::NoUpstream && self.has_no_version_left(service) {
            return self.refuse_for_good(count, "no upstream of its version is left");
        }
        let retry_ms = match fault {
            ChoiceError::NoUpstream => DEFAULT_RETRY_MS,
            ChoiceError::BackingOff(rest_ms) => rest_ms,
            ChoiceError::Full => self.node.with_service_capacity(service, |capacity| {
                capacity.next_retry_ms(self.node.now_ms())
            }),
        };
        self.refuse_with_retry(count, why, retry_ms)
    }

    /// Answers with an error that doesn't state whether the request has run.
    pub(super) fn fail(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        self.note_end(RequestEnd::Failed);
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "failed: {why}");
        own_answer(StatusCode::BAD_GATEWAY, why.to_string())
    }

    /// Answers that the deadline has passed: as a refusal if the request certainly has not run.
    pub(super) fn time_out(&self, count: &AttemptCount) -> Response<AnswerBody> {
        self.note_end(RequestEnd::TimedOut);
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "deadline exceeded");
        match count.may_have_run {
            true => own_answer(StatusCode::GATEWAY_TIMEOUT, "its time is over"),
            false => refusal(StatusCode::SERVICE_UNAVAILABLE, "its time is over", DEFAULT_RETRY_MS),
        }
    }
}
