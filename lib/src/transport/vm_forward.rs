//! A caller's request on its way to an upstream, and the answer on its way back.
//!
//! Invariants: what was decided by a book is decided anew before each send, so that no
//! request goes by an older version than the one in force; a request in flight is
//! counted by a guard, and dropping a send closes its connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::{request, response};
use hyper::{Request, Response, StatusCode};
use tokio::sync::mpsc::Sender;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};
use tracing::info;

use super::vm_front::{close_after, own_answer, refusal};
use super::vm_node::{BookInForce, VmNode};
use super::vm_pool::{ConnectFault, ConnectionLease};
use super::vm_relay::{AnswerBody, CutShort};
use crate::coordination::attempt_plan::{AttemptCount, NextStep, SendOutcome};
use crate::coordination::event_splice::EventSplice;
use crate::coordination::upstream_choice::{
    choose_engine, choose_plain, UpstreamCandidate, UpstreamPick,
};
use crate::protocol::wire_adapter::{CallerRequest, UpstreamAnswer, UpstreamSend};
use crate::state::ids::UpstreamKey;
use crate::state::route_book::{pick_share, RequestKind, RouteDecision, RouteRule};
use crate::state::upstream_list::UpstreamEntry;

/// At most this share of a service's upstreams is set aside on passive signs.
const ASIDE_SHARE: f64 = 0.34;
/// A plain answer up to this length is taken whole before it is passed on, so that one that
/// breaks off can still be asked for again.
const HELD_BYTES: u64 = 64 << 10;
/// When a refused caller may come back, in milliseconds.
const RETRY_MS: u64 = 400;
/// A VM that has just started holds requests until it is ready, this long at most, in
/// milliseconds: a group that was killed whole serves again 220 ms after its start, as measured
/// (docs/design/platform.md), and a caller that is refused meanwhile comes back later than that.
const WAKE_HOLD_MS: u64 = 300;
/// A VM has just started until this age, in milliseconds.
const WAKE_AGE_MS: u64 = 3000;
/// A request with less than this left isn't sent any more, in milliseconds.
const LEAST_LEFT_MS: u64 = 10;
/// An age of the contact at which this VM may no longer say that a route or key is unknown:
/// another version may be in force. In milliseconds.
const DENY_AGE_MS: u64 = 1500;
/// Fresh connections on which one send is tried when resting ones turn out closed.
const STALE_CONNECTIONS: usize = 3;

/// Counts a request in flight at an upstream.
struct FlightGuard {
    node: Rc<VmNode>,
    upstream: UpstreamKey,
}

impl FlightGuard {
    fn new(node: &Rc<VmNode>, upstream: UpstreamKey) -> FlightGuard {
        *node.in_flight.borrow_mut().entry(upstream).or_default() += 1;
        FlightGuard { node: node.clone(), upstream }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.node.in_flight.borrow_mut();
        if let Some(requests) = in_flight.get_mut(&self.upstream) {
            *requests -= 1;
            if *requests == 0 {
                in_flight.remove(&self.upstream);
            }
        }
    }
}

/// Counts a request that is being served by this VM.
struct ServingGuard(Rc<VmNode>);

impl ServingGuard {
    fn new(node: &Rc<VmNode>) -> ServingGuard {
        node.serving.set(node.serving.get() + 1);
        ServingGuard(node.clone())
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
    }
}

/// Everything that stays the same over the sends of one request.
struct CallerTask {
    node: Rc<VmNode>,
    head: request::Parts,
    body: Bytes,
    caller: CallerRequest,
    arrived: Instant,
    _serving: ServingGuard,
}

/// One send's place.
struct SendPlace {
    book: Rc<BookInForce>,
    route: usize,
    upstream: UpstreamKey,
    address: SocketAddr,
    send: UpstreamSend,
}

/// What a send brought.
enum SendResult {
    Answer(Box<GoodAnswer>),
    Bad(SendOutcome),
}

/// An answer that may be passed on.
struct GoodAnswer {
    head: response::Parts,
    body: GoodBody,
}

enum GoodBody {
    /// A short plain answer, all of it here.
    Whole(Bytes),
    /// A stream, or a long answer, that still comes.
    Coming(Box<ComingBody>),
}

struct ComingBody {
    told: UpstreamAnswer,
    body: Incoming,
    lease: ConnectionLease,
    guard: FlightGuard,
}

/// A passive sign of an upstream's health.
enum UpstreamSign {
    /// This life has ended.
    Gone,
    /// It can't be reached.
    Silent,
    /// It failed a request.
    Failure,
}

/// Why a request gets no send.
enum Denial {
    NoBook,
    OldContact,
    NoRoute,
    NoKey,
}

/// Serves one request of a caller.
pub async fn serve_caller(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let serving = ServingGuard::new(&node);
    let (head, body) = request.into_parts();
    let caller = match node.adapter.read_request(&head) {
        Ok(caller) => caller,
        Err(fault) => {
            let text = format!("not a proper request: {fault:?}");
            return close_after(own_answer(StatusCode::BAD_REQUEST, text));
        }
    };
    wake(&node, arrived).await;
    let limit = match node.book.borrow().as_ref() {
        Some(book) => book.book.limits.body_bytes,
        None => return close_after(deny(&Denial::NoBook)),
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
    let task = CallerTask { node, head, body, caller, arrived, _serving: serving };
    task.serve().await
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
        Denial::NoBook => refusal(unavailable, "no configuration is known yet", RETRY_MS),
        Denial::OldContact => refusal(unavailable, "the configuration may be old", RETRY_MS),
        Denial::NoRoute => own_answer(StatusCode::NOT_FOUND, "no such route"),
        Denial::NoKey => own_answer(StatusCode::UNAUTHORIZED, "no such key"),
    }
}

impl CallerTask {
    async fn serve(self) -> Response<AnswerBody> {
        let mut count = AttemptCount::default();
        let mut tried = Vec::new();
        let draw = self.node.draw();
        let mut noted = false;
        loop {
            let (book, route, workspace) = match self.decide() {
                Ok(decided) => decided,
                // A request that may have run can't be refused as not run any more.
                Err(_) if count.may_have_run => return self.fail(&count, "withdrawn"),
                Err(denial) => return deny(&denial),
            };
            let rule = &book.book.routes[route];
            let deadline = self.deadline(rule);
            let Some(service) = pick_share(&rule.shares, draw) else {
                return self.refuse(&count, "no service");
            };
            let service = &book.book.services[service];
            if !noted {
                noted = true;
                self.note_first(&service.name);
            }
            let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
            if left < LEAST_LEFT_MS {
                return self.time_out(&count);
            }
            if count.sent > 0 && !self.spend_repeat(&service.name) {
                return match count.give_up() {
                    NextStep::Refuse => self.refuse(&count, "no repeat left"),
                    _ => self.fail(&count, "no repeat left"),
                };
            }
            let moves = service.engine.as_ref().is_some_and(|engine| engine.moves);
            let engine = service.engine.is_some() && rule.prompt_parts;
            let Some(pick) = self.choose(&service.name, engine, moves, &tried, draw) else {
                return match count.give_up() {
                    NextStep::Refuse => self.refuse(&count, "no upstream"),
                    _ => self.fail(&count, "no upstream"),
                };
            };
            tried.push(pick.upstream);
            let Some(place) = self.place(&book, route, workspace, pick, left, None) else {
                continue;
            };
            let outcome = match self.send(&place, deadline).await {
                SendResult::Answer(answer) => {
                    let failed = answer.head.status.is_server_error();
                    let repeat = failed && {
                        let mut after = count;
                        after.note(SendOutcome::Failed);
                        let kind = rule.kind;
                        after.next(SendOutcome::Failed, kind, rule.most_upstreams)
                            == NextStep::Repeat
                    };
                    if !repeat || !self.may_spend_repeat(&service.name) {
                        return self.pass_on(place, *answer, deadline, &mut count).await;
                    }
                    SendOutcome::Failed
                }
                SendResult::Bad(outcome) => outcome,
            };
            count.note(outcome);
            match count.next(outcome, rule.kind, rule.most_upstreams) {
                NextStep::Repeat | NextStep::Elsewhere => {}
                NextStep::Refuse => return self.refuse(&count, "not run"),
                NextStep::TimeOut => return self.time_out(&count),
                NextStep::Fail | NextStep::PassOn => return self.fail(&count, "broken"),
            }
        }
    }

    /// What the book in force says of this request now.
    fn decide(&self) -> Result<(Rc<BookInForce>, usize, Option<usize>), Denial> {
        let now_ms = self.node.now_ms();
        let Some(book) = self.node.book.borrow().clone() else { return Err(Denial::NoBook) };
        let contact = self.node.contact.borrow();
        let sure = contact.age_ms(now_ms) < DENY_AGE_MS;
        let denied = |denial| Err(if sure { denial } else { Denial::OldContact });
        let caller = &self.caller;
        match book.book.decide(&caller.host, &caller.path, caller.key.as_deref()) {
            RouteDecision::NoRoute => denied(Denial::NoRoute),
            RouteDecision::NoKey => denied(Denial::NoKey),
            RouteDecision::Served { route, workspace } => {
                let keyed = book.book.workspaces.is_some() && !book.book.routes[route].public;
                let revoke_ms = self.node.settings.borrow().bounds.revoke_ms;
                if keyed && !contact.may_serve_keys(revoke_ms, now_ms) {
                    return Err(Denial::OldContact);
                }
                drop(contact);
                Ok((book, route, workspace))
            }
        }
    }

    fn deadline(&self, rule: &RouteRule) -> Instant {
        let wait_ms = self.caller.wait_ms.unwrap_or(rule.timeout_ms).min(rule.timeout_ms);
        self.arrived + Duration::from_millis(wait_ms)
    }

    fn note_first(&self, service: &str) {
        let (allowance, now_ms) = (self.node.allowance(), self.node.now_ms());
        let mut budgets = self.node.budgets.borrow_mut();
        budgets.entry(service.to_string()).or_default().note_first(&allowance, now_ms);
    }

    fn spend_repeat(&self, service: &str) -> bool {
        let (allowance, now_ms) = (self.node.allowance(), self.node.now_ms());
        let vms = self.node.view.borrow().roster.len();
        let mut budgets = self.node.budgets.borrow_mut();
        budgets.entry(service.to_string()).or_default().spend(&allowance, vms, now_ms)
    }

    /// Whether [`CallerTask::spend_repeat`] would succeed.
    fn may_spend_repeat(&self, service: &str) -> bool {
        let (allowance, now_ms) = (self.node.allowance(), self.node.now_ms());
        let vms = self.node.view.borrow().roster.len();
        let budgets = self.node.budgets.borrow();
        let budget = budgets.get(service).cloned();
        budget.is_some_and(|mut budget| budget.spend(&allowance, vms, now_ms))
    }

    fn choose(
        &self,
        service: &str,
        engine: bool,
        moves: bool,
        tried: &[UpstreamKey],
        draw: u64,
    ) -> Option<UpstreamPick> {
        let now_ms = self.node.now_ms();
        let candidates = self.candidates(service, tried, now_ms);
        if engine {
            let memory = self.node.prefixes.borrow();
            return choose_engine(&candidates, &self.caller.prompt, &memory, moves, now_ms);
        }
        let upstream = choose_plain(&candidates, draw)?;
        Some(UpstreamPick { upstream, fetch_from: None })
    }

    fn candidates(
        &self,
        service: &str,
        tried: &[UpstreamKey],
        now_ms: u64,
    ) -> Vec<UpstreamCandidate> {
        let node = &self.node;
        let upstreams = node.upstreams.borrow();
        let view = node.view.borrow();
        let in_flight = node.in_flight.borrow();
        let outliers = node.outliers.borrow();
        let settings = node.settings.borrow();
        let candidate = |(key, entry): (UpstreamKey, &UpstreamEntry)| UpstreamCandidate {
            key,
            load: in_flight.get(&key).copied().unwrap_or(0) + view.told.others(key),
            aside: outliers.is_aside(key, now_ms),
            tried: tried.contains(&key),
            leaving: entry.leaving,
            seat: entry.seat,
            near: entry.zone == settings.zone,
            first_seen_ms: upstreams.first_seen_ms.get(&key).copied().unwrap_or(0),
        };
        let living = upstreams.of_service(service).filter(|(key, _)| !outliers.is_gone(*key));
        living.map(candidate).collect()
    }

    fn place(
        &self,
        book: &Rc<BookInForce>,
        route: usize,
        workspace: Option<usize>,
        pick: UpstreamPick,
        left_ms: u64,
        resume_after: Option<String>,
    ) -> Option<SendPlace> {
        let rule = &book.book.routes[route];
        let upstreams = self.node.upstreams.borrow();
        let entry = upstreams.entries.get(&pick.upstream)?;
        let source = pick.fetch_from.and_then(|key| upstreams.entries.get(&key));
        let workspace = workspace.and_then(|at| book.book.workspace(at));
        let rank = workspace.map_or(0, |workspace| workspace.priority);
        let engine_priority = rule.prompt_parts.then(|| engine_rank(rank, rule.priority));
        let send = UpstreamSend {
            life: entry.life.clone(),
            left_ms,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            engine_priority,
            fetch_from: source.map(|entry| entry.address),
            resume_after,
        };
        let address = entry.address;
        Some(SendPlace { book: book.clone(), route, upstream: pick.upstream, address, send })
    }

    /// Sends once and reads the head of the answer.
    async fn send(&self, place: &SendPlace, deadline: Instant) -> SendResult {
        let guard = FlightGuard::new(&self.node, place.upstream);
        let mut fresh = false;
        for _ in 0..STALE_CONNECTIONS {
            let lease = match fresh {
                true => self.node.pool.connect(place.upstream, place.address).await,
                false => {
                    let now_ms = self.node.now_ms();
                    self.node.pool.take(place.upstream, place.address, now_ms).await
                }
            };
            let mut lease = match lease {
                Ok(lease) => lease,
                Err(fault) => {
                    self.note_fault(place.upstream, fault);
                    return SendResult::Bad(SendOutcome::NotSent);
                }
            };
            fresh = true;
            let request = self.upstream_request(place);
            let sent = lease.sender().try_send_request(request);
            match timeout_at(deadline, sent).await {
                Ok(Ok(answer)) => {
                    return self.check_answer(place, answer, lease, guard, deadline).await
                }
                Ok(Err(mut error)) => {
                    if error.take_message().is_some() {
                        continue;
                    }
                    self.note_failure(place.upstream, "broken");
                    return SendResult::Bad(SendOutcome::Broken);
                }
                Err(_) => {
                    self.note_failure(place.upstream, "silent");
                    return SendResult::Bad(SendOutcome::TimedOut);
                }
            }
        }
        SendResult::Bad(SendOutcome::NotSent)
    }

    fn upstream_request(&self, place: &SendPlace) -> Request<Full<Bytes>> {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = self.node.adapter.write_send(&self.head, &place.send);
        request
    }

    async fn check_answer(
        &self,
        place: &SendPlace,
        answer: Response<Incoming>,
        lease: ConnectionLease,
        guard: FlightGuard,
        deadline: Instant,
    ) -> SendResult {
        let (head, body) = answer.into_parts();
        let told = self.node.adapter.read_answer(&head);
        if told.not_run {
            if told.other_life {
                self.note_sign(place.upstream, UpstreamSign::Gone, "another life listens there");
            }
            let read = Limited::new(body, HELD_BYTES as usize).collect().await;
            if read.is_ok() {
                lease.finish(told.closes, told.idle_ms, self.node.now_ms()).await;
            }
            return SendResult::Bad(SendOutcome::NotRun);
        }
        let own = told.attempt.as_deref() == Some(self.caller.attempt.as_str());
        if !own || (head.status.is_success() && !told.stamped) {
            self.note_failure(place.upstream, "another answer");
            return SendResult::Bad(SendOutcome::Broken);
        }
        let rule = &place.book.book.routes[place.route];
        let short = body.size_hint().exact().is_some_and(|length| length <= HELD_BYTES);
        if rule.kind.is_stream() || !short {
            let body = GoodBody::Coming(Box::new(ComingBody { told, body, lease, guard }));
            return SendResult::Answer(Box::new(GoodAnswer { head, body }));
        }
        match timeout_at(deadline, body.collect()).await {
            Ok(Ok(body)) => {
                lease.finish(told.closes, told.idle_ms, self.node.now_ms()).await;
                let body = GoodBody::Whole(body.to_bytes());
                SendResult::Answer(Box::new(GoodAnswer { head, body }))
            }
            Ok(Err(_)) => {
                self.note_failure(place.upstream, "cut answer");
                SendResult::Bad(SendOutcome::Broken)
            }
            Err(_) => SendResult::Bad(SendOutcome::TimedOut),
        }
    }

    /// Passes an upstream's answer on.
    async fn pass_on(
        self,
        place: SendPlace,
        answer: GoodAnswer,
        deadline: Instant,
        count: &mut AttemptCount,
    ) -> Response<AnswerBody> {
        let rule = &place.book.book.routes[place.route];
        if answer.head.status.is_success() {
            self.node.outliers.borrow_mut().note_success(place.upstream);
            if !self.caller.prompt.is_empty() {
                let now_ms = self.node.now_ms();
                let mut prefixes = self.node.prefixes.borrow_mut();
                prefixes.note_sent(&self.caller.prompt, place.upstream, now_ms);
            }
        }
        self.note_late(&place, "head");
        let GoodAnswer { head, body } = answer;
        let headers = self.node.adapter.write_answer(&head);
        let respond = |body, headers| {
            let mut response = Response::new(body);
            *response.status_mut() = head.status;
            *response.headers_mut() = headers;
            response
        };
        let coming = match body {
            GoodBody::Whole(bytes) => return respond(AnswerBody::whole(bytes), headers),
            GoodBody::Coming(coming) => coming,
        };
        let (pieces, body) = AnswerBody::pieces();
        let mut response = respond(body, headers);
        let resumable = rule.kind == RequestKind::ResumableStream && response.status().is_success();
        if resumable {
            response.headers_mut().remove(CONTENT_LENGTH);
        }
        count.note(SendOutcome::Failed);
        let count = *count;
        spawn_local(self.relay(place, coming, deadline, pieces, resumable, count));
        response
    }

    /// Relays a stream, taking it up elsewhere when it breaks and may be resumed.
    async fn relay(
        self,
        place: SendPlace,
        coming: Box<ComingBody>,
        deadline: Instant,
        pieces: Sender<Result<Bytes, CutShort>>,
        resumable: bool,
        mut count: AttemptCount,
    ) {
        let mut splice = resumable.then(|| EventSplice::after(self.caller.last_event.clone()));
        let mut tried = vec![place.upstream];
        let mut next = Some((place, coming));
        while let Some((place, coming)) = next.take() {
            match self.relay_run(&place, *coming, deadline, &pieces, splice.as_mut()).await {
                RunEnd::Complete | RunEnd::CallerLeft => return,
                RunEnd::TimedOut => {
                    info!(
                        target: "request", attempt = self.caller.attempt,
                        "a stream is cut, since its time is over",
                    );
                    break;
                }
                RunEnd::Broken => {
                    self.note_failure(place.upstream, "cut stream");
                    let Some(splice) = splice.as_mut() else { break };
                    splice.begin_run();
                    let after = splice.last_id().map(str::to_string);
                    next = self.resume(after, deadline, &mut tried, &mut count).await;
                }
            }
        }
        info!(target: "request", attempt = self.caller.attempt, "a stream is cut short");
        let _ = pieces.send(Err(CutShort)).await;
    }

    async fn resume(
        &self,
        after: Option<String>,
        deadline: Instant,
        tried: &mut Vec<UpstreamKey>,
        count: &mut AttemptCount,
    ) -> Option<(SendPlace, Box<ComingBody>)> {
        loop {
            let (book, route, workspace) = self.decide().ok()?;
            let rule = &book.book.routes[route];
            let service = pick_share(&rule.shares, self.node.draw())?;
            let service = &book.book.services[service];
            let left = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
            let spent = count.sent >= rule.most_upstreams || left < LEAST_LEFT_MS;
            if spent || !self.spend_repeat(&service.name) {
                return None;
            }
            let moves = service.engine.as_ref().is_some_and(|engine| engine.moves);
            let pick = self.choose(&service.name, true, moves, tried, self.node.draw())?;
            tried.push(pick.upstream);
            let place = self.place(&book, route, workspace, pick, left, after.clone())?;
            match self.send(&place, deadline).await {
                SendResult::Answer(answer) => {
                    count.note(SendOutcome::Failed);
                    if let (true, GoodBody::Coming(coming)) =
                        (answer.head.status.is_success(), answer.body)
                    {
                        let attempt = &self.caller.attempt;
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
        deadline: Instant,
        pieces: &Sender<Result<Bytes, CutShort>>,
        mut splice: Option<&mut EventSplice>,
    ) -> RunEnd {
        let ComingBody { told, mut body, lease, guard } = coming;
        let _guard = guard;
        let mut first = true;
        loop {
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return RunEnd::CallerLeft,
                frame = timeout_at(deadline, body.frame()) => frame,
            };
            let data = match frame {
                Err(_) => return RunEnd::TimedOut,
                Ok(Some(Err(_))) => return RunEnd::Broken,
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(None) => break,
            };
            if std::mem::take(&mut first) {
                self.note_late(place, "first piece");
            }
            let data = match splice.as_mut() {
                Some(splice) => Bytes::from(splice.feed(&data)),
                None => data,
            };
            if !data.is_empty() && pieces.send(Ok(data)).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
        if let Some(splice) = splice {
            let rest = splice.finish();
            if !rest.is_empty() && pieces.send(Ok(Bytes::from(rest))).await.is_err() {
                return RunEnd::CallerLeft;
            }
        }
        self.node.outliers.borrow_mut().note_success(place.upstream);
        lease.finish(told.closes, told.idle_ms, self.node.now_ms()).await;
        RunEnd::Complete
    }

    /// Logs an answer that comes after its goal, with what decided its way.
    fn note_late(&self, place: &SendPlace, what: &'static str) {
        let rule = &place.book.book.routes[place.route];
        let took_ms = self.arrived.elapsed().as_millis() as u64;
        if rule.goal_ms == 0 || took_ms <= rule.goal_ms {
            return;
        }
        let in_flight = self.node.in_flight.borrow().get(&place.upstream).copied();
        info!(
            target: "request", attempt = self.caller.attempt, took_ms, goal_ms = rule.goal_ms,
            life = place.send.life, left_ms = place.send.left_ms,
            own = in_flight.unwrap_or(0),
            others = self.node.view.borrow().told.others(place.upstream),
            fetched = place.send.fetch_from.is_some(), "late {what}",
        );
    }

    fn note_fault(&self, upstream: UpstreamKey, fault: ConnectFault) {
        match fault {
            ConnectFault::NobodyListens => {
                self.note_sign(upstream, UpstreamSign::Gone, "nobody listens there");
            }
            ConnectFault::NoAnswer => {
                self.note_sign(upstream, UpstreamSign::Silent, "cannot be reached");
            }
        }
    }

    fn note_failure(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_sign(upstream, UpstreamSign::Failure, what);
    }

    fn note_sign(&self, upstream: UpstreamKey, sign: UpstreamSign, what: &'static str) {
        let now_ms = self.node.now_ms();
        let upstreams = self.node.upstreams.borrow();
        let Some(entry) = upstreams.entries.get(&upstream) else { return };
        let fleet = upstreams.taking(&entry.service).map(|(key, _)| key);
        let mut outliers = self.node.outliers.borrow_mut();
        match sign {
            UpstreamSign::Gone => outliers.note_gone(upstream),
            UpstreamSign::Silent => outliers.note_dead(upstream, fleet, ASIDE_SHARE, now_ms),
            UpstreamSign::Failure => outliers.note_failure(upstream, fleet, ASIDE_SHARE, now_ms),
        }
        info!(
            target: "upstream", life = entry.life, attempt = self.caller.attempt,
            aside = outliers.is_aside(upstream, now_ms), "{what}",
        );
    }

    fn refuse(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "refused: {why}");
        refusal(StatusCode::SERVICE_UNAVAILABLE, why, RETRY_MS)
    }

    fn fail(&self, count: &AttemptCount, why: &str) -> Response<AnswerBody> {
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "failed: {why}");
        own_answer(StatusCode::BAD_GATEWAY, why.to_string())
    }

    fn time_out(&self, count: &AttemptCount) -> Response<AnswerBody> {
        info!(target: "request", attempt = self.caller.attempt, sent = count.sent, "time is over");
        match count.may_have_run {
            true => own_answer(StatusCode::GATEWAY_TIMEOUT, "its time is over"),
            false => refusal(StatusCode::SERVICE_UNAVAILABLE, "its time is over", RETRY_MS),
        }
    }
}

enum RunEnd {
    Complete,
    Broken,
    TimedOut,
    CallerLeft,
}

/// The rank at an engine, 0 to 9: a workspace's rank goes before the route's.
fn engine_rank(workspace: u8, route: u8) -> u8 {
    (workspace.min(2) * 3 + route.min(2)).min(9)
}
