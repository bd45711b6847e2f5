//! One send of a caller's request to one upstream: the head, the answer's head,
//! and what it tells of the upstream's health.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Request, Response};
use tracing::info;

use super::vm_guard::{FlightGuard, HeldPlace};
use super::vm_node::BookInForce;
use super::vm_pool::{ConnectFault, ConnectionLease};
use super::vm_silence::Waited;
use super::vm_task::CallerTask;
use super::vm_trial::TrialGuard;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::upstream_choice::UpstreamPick;
use crate::coordination::upstream_notice::ApproachPurpose;
use crate::protocol::wire_adapter::{UpstreamAnswer, UpstreamSend};
use crate::state::ids::UpstreamKey;
use crate::state::prompt_part::shared_parts;

/// At most this share of a service's upstreams is set aside on passive health checks.
const ASIDE_SHARE: f64 = 0.34;
/// A plain answer up to this length is taken whole before it is passed on, so that one that
/// breaks off can still be asked for again.
const HELD_BYTES: u64 = 64 << 10;
/// Fresh connections on which one send is tried when resting ones turn out closed.
const STALE_CONNECTIONS: usize = 3;

/// One send's place.
pub(super) struct SendPlace {
    pub(super) book: Rc<BookInForce>,
    pub(super) route: usize,
    pub(super) service: usize,
    pub(super) upstream: UpstreamKey,
    pub(super) address: SocketAddr,
    pub(super) send: UpstreamSend,
    /// Whether VMs were to tell how this request fares when it was sent here.
    pub(super) watched: bool,
    /// When it was placed, by the node's clock.
    pub(super) sent_ms: u64,
    /// See [`UpstreamPick::against_order`].
    pub(super) against_order: Option<u64>,
    /// See [`UpstreamPick::new_root`].
    pub(super) new_root: Option<u64>,
    /// What the send tells of the upstream's version.
    pub(super) trial: TrialGuard,
}

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
    pub(super) told: UpstreamAnswer,
    /// Whether its end is told by its framing, not by the end of the connection.
    pub(super) framed: bool,
    pub(super) body: Incoming,
    pub(super) lease: ConnectionLease,
    pub(super) guard: FlightGuard,
}

/// What a send tells against an upstream.
enum HealthFault {
    /// This life has ended.
    Gone,
    /// It can't be reached.
    Silent,
    /// It failed a request.
    Failure,
}

impl CallerTask {
    pub(super) fn place(
        &self,
        book: &Rc<BookInForce>,
        (route, service): (usize, usize),
        workspace: Option<usize>,
        pick: UpstreamPick,
        left_ms: u64,
        resume_after: Option<String>,
    ) -> Option<SendPlace> {
        let rule = &book.book.routes[route];
        let upstreams = self.node.upstreams.borrow();
        let entry = upstreams.entries.get(&pick.upstream)?;
        self.node.note_send(entry, book.book.services[service].cold_per_s);
        self.node.pool.notices().borrow_mut().note_sent(pick.upstream, self.node.now_ms());
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
        let name = &book.book.services[service].name;
        let tag = self.node.note_rollout_send(name, rule, entry, &self.caller.attempt);
        let held = tag.is_some() && self.is_held_at(pick.upstream);
        let stream = rule.kind.is_stream();
        Some(SendPlace {
            book: book.clone(),
            route,
            service,
            upstream: pick.upstream,
            address: entry.address,
            watched: self.is_watched(send.workspace.as_deref()),
            sent_ms: self.node.now_ms(),
            send,
            against_order: pick.against_order,
            new_root: pick.new_root,
            trial: TrialGuard::new(self.node.clone(), tag, stream, !entry.cold, held),
        })
    }

    /// Whether an engine surely held the shared parts of the prompt lately; true where there are none.
    fn is_held_at(&self, engine: UpstreamKey) -> bool {
        let Some(deep) = shared_parts(&self.caller.prompt).last() else { return true };
        self.node.prefixes.borrow().holds(deep.id, engine, self.node.now_ms())
    }

    /// Sends once and reads the head of the answer.
    pub(super) async fn send(&self, place: &SendPlace, deadline_ms: u64) -> SendResult {
        let service = &place.book.book.services[place.service];
        let held = HeldPlace {
            service: service.name.clone(),
            engine: service.engine.is_some(),
            workspace: place.send.workspace.clone(),
        };
        let guard = FlightGuard::new(&self.node, place.upstream, held);
        let may_repeat = place.book.book.routes[place.route].kind.may_repeat();
        let (pool, purpose) = (&self.node.pool, ApproachPurpose::Request);
        let mut fresh = false;
        for _ in 0..STALE_CONNECTIONS {
            let now_ms = self.node.now_ms();
            let lease = match fresh {
                true => pool.connect(place.upstream, place.address, purpose, now_ms).await,
                false => pool.take(place.upstream, place.address, purpose, now_ms).await,
            };
            let mut lease = match lease {
                Ok(lease) => lease,
                Err(fault) => {
                    place.trial.end_unsaid();
                    self.node.note_connect(place.upstream, Some(fault));
                    self.note_fault(place.upstream, fault);
                    return SendResult::Bad(SendOutcome::NotSent);
                }
            };
            fresh = true;
            let request = self.upstream_request(place);
            let sent = lease.sender().try_send_request(request);
            let at = (place.upstream, place.address);
            match self.node.wait_for(at, sent, deadline_ms, may_repeat).await {
                Waited::Done(Ok(answer)) => {
                    return self.check_answer(place, answer, lease, guard, deadline_ms).await
                }
                Waited::Done(Err(mut error)) => {
                    if error.take_message().is_some() {
                        continue;
                    }
                    place.trial.end_unsaid();
                    self.note_failure(place.upstream, "broken");
                    self.look_after_break(place);
                    return SendResult::Bad(SendOutcome::Broken);
                }
                Waited::Dark => {
                    place.trial.end_unsaid();
                    info!(
                        target: "upstream", life = place.send.life,
                        attempt = self.caller.attempt, "is dark, is not waited for",
                    );
                    return SendResult::Bad(SendOutcome::Broken);
                }
                Waited::TimedOut => {
                    place.trial.end_bad();
                    self.note_failure(place.upstream, "silent");
                    return SendResult::Bad(SendOutcome::TimedOut);
                }
            }
        }
        place.trial.end_unsaid();
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
        deadline_ms: u64,
    ) -> SendResult {
        let (head, body) = answer.into_parts();
        let told = self.node.adapter.read_answer(&head);
        let own = told.attempt.as_deref().map(|attempt| attempt == self.caller.attempt);
        if own == Some(false) {
            // Also a refusal: this request may run while another's answer is read in its place.
            place.trial.end_bad();
            self.note_failure(place.upstream, "another answer");
            return SendResult::Bad(SendOutcome::Broken);
        }
        self.hear_notices(place, &told);
        if told.not_run {
            place.trial.end_unsaid();
            if told.other_life {
                self.note_health_fault(
                    place.upstream,
                    HealthFault::Gone,
                    "another life listens there",
                );
            } else {
                self.log_turned_away(place, &told, &head, lease.is_kept());
            }
            let read = Limited::new(body, HELD_BYTES as usize).collect().await;
            if read.is_ok() {
                lease.finish(told.closes, told.idle_ms, self.node.now_ms()).await;
            }
            return SendResult::Bad(SendOutcome::NotRun);
        }
        if own.is_none() || (head.status.is_success() && !told.stamped) {
            place.trial.end_bad();
            self.note_failure(place.upstream, "another answer");
            return SendResult::Bad(SendOutcome::Broken);
        }
        let asks_rest = told.rest_ms.is_some();
        match head.status.is_server_error() {
            true if asks_rest => place.trial.end_unsaid(),
            true => place.trial.end_bad(),
            false => {}
        }
        let rule = &place.book.book.routes[place.route];
        let short = body.size_hint().exact().is_some_and(|length| length <= HELD_BYTES);
        if rule.kind.is_stream() || !short {
            let framed = head.headers.contains_key(CONTENT_LENGTH)
                || head.headers.contains_key(TRANSFER_ENCODING);
            let body = GoodBody::Coming(Box::new(ComingBody { told, framed, body, lease, guard }));
            return SendResult::Answer(Box::new(GoodAnswer { head, body, asks_rest }));
        }
        let at = (place.upstream, place.address);
        match self.node.wait_for(at, body.collect(), deadline_ms, false).await {
            Waited::Done(Ok(body)) => {
                self.note_ran(place, true);
                lease.finish(told.closes, told.idle_ms, self.node.now_ms()).await;
                let body = GoodBody::Whole(body.to_bytes());
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
        let rule = &place.book.book.routes[place.route];
        let took_ms = self.node.now_ms().saturating_sub(self.arrived_ms);
        let late = rule.goal_ms > 0 && took_ms > rule.goal_ms;
        {
            let mut figures = self.node.figures.borrow_mut();
            figures.note_first_byte(place.send.workspace.as_deref(), took_ms);
            figures.late += u64::from(late);
        }
        let own = self.node.in_flight.borrow().get(&place.upstream).copied().unwrap_or(0);
        let others = self.node.view.borrow().told.others(place.upstream);
        let service = &place.book.book.services[place.service];
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
            life = place.send.life, left_ms = place.send.left_ms,
            own, others, fetched = place.send.fetch_from.is_some(), "late {what}",
        );
    }

    fn note_fault(&self, upstream: UpstreamKey, fault: ConnectFault) {
        match fault {
            ConnectFault::NobodyListens => {
                self.note_health_fault(upstream, HealthFault::Gone, "nobody listens there");
            }
            ConnectFault::NoAnswer => {
                self.note_health_fault(upstream, HealthFault::Silent, "cannot be reached");
            }
            ConnectFault::Unwanted => {}
        }
    }

    /// Notes how a send went, for the leader.
    pub(super) fn note_outcome(&self, upstream: UpstreamKey, went_well: bool) {
        self.node.health.borrow_mut().outbox.note(upstream, went_well);
    }

    pub(super) fn note_failure(&self, upstream: UpstreamKey, what: &'static str) {
        self.note_health_fault(upstream, HealthFault::Failure, what);
    }

    fn note_health_fault(&self, upstream: UpstreamKey, fault: HealthFault, what: &'static str) {
        let now_ms = self.node.now_ms();
        let upstreams = self.node.upstreams.borrow();
        let Some(entry) = upstreams.entries.get(&upstream) else { return };
        let fleet = upstreams.taking(&entry.service).map(|(key, _)| key);
        self.node.figures.borrow_mut().signs += 1;
        let mut outliers = self.node.outliers.borrow_mut();
        match fault {
            HealthFault::Gone => outliers.note_gone(upstream),
            HealthFault::Silent => outliers.note_dead(upstream, fleet, ASIDE_SHARE, now_ms),
            HealthFault::Failure => outliers.note_failure(upstream, fleet, ASIDE_SHARE, now_ms),
        }
        self.note_outcome(upstream, false);
        info!(
            target: "upstream", life = entry.life, attempt = self.caller.attempt,
            aside = outliers.is_aside(upstream, now_ms), "{what}",
        );
    }
}

/// The rank at an engine, 0 to 9: a workspace's rank goes before the route's.
fn engine_rank(workspace: u8, route: u8) -> u8 {
    (workspace.min(2) * 3 + route.min(2)).min(9)
}
