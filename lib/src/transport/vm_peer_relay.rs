//! Passes requests of callers to another VM while this one is isolated, and serves those of other VMs.
//!
//! Invariants: a request is passed on once; the VM that receives it decides by its own tables, which are never
//! older than what the sender has served by. A refusal of that VM is a promise like one of this VM.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::info;

use super::vm_answer::{close_after, own_answer, refusal};
use super::vm_connection::serve_connection;
use super::vm_forward::serve_caller;
use super::vm_node::VmNode;
use super::vm_pool::{ConnectTarget, ConnectionLease};
use super::vm_relay::{AnswerBody, PieceSender};
use super::vm_task::{CallerTask, DEFAULT_RETRY_MS};
use crate::coordination::attempt_plan::{AttemptCount, RunKnowledge, SendOutcome};
use crate::coordination::upstream_notice::ApproachPurpose;
use crate::protocol::peer_relay::{RelayNote, RelayReply, RELAY_HEADER};
use crate::protocol::vm_wire::{vm_address, VmId};
use crate::state::ids::UpstreamKey;
use crate::state::vm_figures::RequestEnd;

/// The maximum number of VMs that are asked to take a request.
const MAX_PEERS: usize = 3;
/// The maximum number of connections to one VM that a request is tried on; the first may be a closed one.
const MAX_CONNECTION_TRIES: usize = 2;
/// How long a VM waits for the configuration by which the sender has served, before it declines.
const VERSION_WAIT: Duration = Duration::from_millis(300);
/// How long an answer is waited for if the caller states no limit, in milliseconds.
const DEFAULT_WAIT_MS: u64 = 600_000;
/// How much longer than its caller an answer is waited for, in milliseconds. The receiving VM answers when the
/// caller's time ends.
const ANSWER_SLACK_MS: u64 = 200;

/// How long to wait for another VM's answer to a request with this deadline.
fn answer_wait(deadline_ms: u64, now_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now_ms) + ANSWER_SLACK_MS)
}

/// The answer of another VM, with the connection that its body arrives on.
struct PeerAnswer {
    head: response::Parts,
    body: Incoming,
    lease: ConnectionLease,
}

/// The result of passing a request to one VM.
enum PeerResult {
    /// The VM served the request.
    Answer(Box<PeerAnswer>),
    /// The VM did nothing with the request, or wasn't reached.
    Declined,
    /// The connection broke, so that the request may have run.
    Broken,
    /// The time of the request ended.
    TimedOut,
}

impl CallerTask {
    /// Passes the request to another VM. `None` if no VM takes it, so that nothing was sent.
    pub(super) async fn relay_to_peer(
        &self,
        count: &mut AttemptCount,
    ) -> Option<Response<AnswerBody>> {
        let deadline_ms = self.arrived_ms + self.caller.wait_ms.unwrap_or(DEFAULT_WAIT_MS);
        for peer in self.node.relay_peers() {
            self.record.note(RunKnowledge::Unknown);
            match self.send_to_peer(peer, count, deadline_ms).await {
                PeerResult::Answer(answer) => {
                    return Some(self.forward_peer_answer(peer, *answer, deadline_ms))
                }
                PeerResult::Declined => self.record.note(count.knowledge()),
                PeerResult::Broken => {
                    count.note(SendOutcome::Broken);
                    return Some(self.fail(count, "the VM that served it broke off"));
                }
                PeerResult::TimedOut => {
                    count.note(SendOutcome::TimedOut);
                    return Some(self.time_out(count));
                }
            }
        }
        None
    }

    async fn send_to_peer(&self, peer: VmId, count: &AttemptCount, deadline_ms: u64) -> PeerResult {
        let node = &self.node;
        let target = ConnectTarget {
            upstream: UpstreamKey(u64::from(peer)),
            address: (vm_address(peer), node.settings.borrow().peer_port).into(),
            purpose: ApproachPurpose::Request,
            now_ms: node.now_ms(),
        };
        for _ in 0..MAX_CONNECTION_TRIES {
            let Ok(mut lease) = node.peer_pool.take(target).await else {
                return PeerResult::Declined;
            };
            let left_ms = deadline_ms.saturating_sub(node.now_ms());
            let wait = answer_wait(deadline_ms, node.now_ms());
            let sent = lease.sender().try_send_request(self.peer_request(count, left_ms));
            match timeout(wait, sent).await {
                Ok(Ok(answer)) => return self.read_peer_answer(answer, lease).await,
                Ok(Err(mut error)) => {
                    if error.take_message().is_none() {
                        return PeerResult::Broken;
                    }
                }
                Err(_) => return PeerResult::TimedOut,
            }
        }
        PeerResult::Declined
    }

    /// The request as it is passed to another VM.
    fn peer_request(&self, count: &AttemptCount, left_ms: u64) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        let wait_ms = self.caller.wait_ms.map(|_| left_ms);
        let note = RelayNote {
            version: self.node.contact.borrow().served(),
            sent: count.sent,
            may_have_run: count.may_have_run,
        };
        *request.headers_mut() = self.node.adapter.write_relay(&self.head, wait_ms);
        request.headers_mut().insert(RELAY_HEADER, note.to_value());
        request
    }

    async fn read_peer_answer(
        &self,
        answer: Response<Incoming>,
        lease: ConnectionLease,
    ) -> PeerResult {
        let (mut head, body) = answer.into_parts();
        let reply = head.headers.remove(RELAY_HEADER);
        match reply.and_then(|value| RelayReply::from_value(&value)) {
            Some(RelayReply::Served(version)) => {
                self.node.contact.borrow_mut().note_served(version);
                PeerResult::Answer(Box::new(PeerAnswer { head, body, lease }))
            }
            Some(RelayReply::Declined) => PeerResult::Declined,
            None => PeerResult::Broken,
        }
    }

    /// Returns the other VM's answer for the caller, and starts a task that relays its body.
    fn forward_peer_answer(
        &self,
        peer: VmId,
        answer: PeerAnswer,
        deadline_ms: u64,
    ) -> Response<AnswerBody> {
        let PeerAnswer { head, body, lease } = answer;
        self.node.counters.borrow_mut().relayed += 1;
        self.node.counters.borrow_mut().note_end(match head.status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => RequestEnd::Refused,
            status if status.is_server_error() => RequestEnd::Failed,
            _ => RequestEnd::Answered,
        });
        info!(
            target: "request", attempt = self.caller.attempt, peer = %vm_address(peer),
            status = head.status.as_u16(), "served through another VM",
        );
        self.record.note(RunKnowledge::Begun);
        let (pieces, answer_body) = AnswerBody::pieces();
        let mut response = Response::new(answer_body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.node.adapter.write_answer(&head);
        let relay = PeerBodyRelay {
            node: self.node.clone(),
            closes: self.node.adapter.read_answer(&head).closes,
            deadline_ms,
            attempt: self.caller.attempt.clone(),
            body,
            lease,
        };
        let (connection, record) = (self.connection.clone(), self.record.clone());
        spawn_local(async move {
            let (node, attempt) = (relay.node.clone(), relay.attempt.clone());
            match relay.run(pieces).await {
                PeerBodyEnd::Complete => connection.note_answer(&attempt, node.now_ms()),
                PeerBodyEnd::CallerLeft => record.log_left(),
                PeerBodyEnd::Broken => {
                    node.counters.borrow_mut().cut += 1;
                    info!(target: "request", attempt, "stream cut short");
                }
            }
        });
        response
    }
}

/// How the relay of another VM's answer ended.
enum PeerBodyEnd {
    Complete,
    CallerLeft,
    Broken,
}

/// The relay of the body of another VM's answer.
struct PeerBodyRelay {
    node: Rc<VmNode>,
    closes: bool,
    deadline_ms: u64,
    attempt: String,
    body: Incoming,
    lease: ConnectionLease,
}

impl PeerBodyRelay {
    async fn run(self, pieces: PieceSender) -> PeerBodyEnd {
        let PeerBodyRelay { node, closes, deadline_ms, mut body, lease, .. } = self;
        loop {
            let frame = tokio::select! {
                biased;
                () = pieces.closed() => return PeerBodyEnd::CallerLeft,
                frame = timeout(answer_wait(deadline_ms, node.now_ms()), body.frame()) => frame,
            };
            let Ok(frame) = frame else { return PeerBodyEnd::Broken };
            match frame {
                None => break,
                Some(Err(_)) => return PeerBodyEnd::Broken,
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if !pieces.send(data).await {
                        return PeerBodyEnd::CallerLeft;
                    }
                }
            }
        }
        lease.finish(closes, None, node.now_ms()).await;
        pieces.complete().await;
        PeerBodyEnd::Complete
    }
}

impl VmNode {
    /// The VMs to which a request may be passed, in the order in which to try them.
    fn relay_peers(&self) -> Vec<VmId> {
        let view = self.view.borrow();
        let ready = view.roster.rows.iter().filter(|row| row.ready && row.id != self.id);
        let mut peers: Vec<VmId> = ready.map(|row| row.id).collect();
        let start = self.draw() as usize % peers.len().max(1);
        peers.rotate_left(start);
        peers.truncate(MAX_PEERS);
        peers
    }

    /// Serves a relay connection of another VM.
    pub(super) fn serve_relay_connection(self: &Rc<Self>, stream: TcpStream) {
        spawn_local(serve_connection(self.clone(), stream, serve_relayed));
    }

    /// Waits until this VM routes by at least this version. Returns false if it doesn't in time.
    async fn wait_for_version(&self, version: u64) -> bool {
        let routes_by_version = || self.contact.borrow().applied() >= version;
        self.wait_for_contact(VERSION_WAIT, routes_by_version).await
    }
}

/// Serves a request that another VM passed on.
async fn serve_relayed(node: Rc<VmNode>, mut request: Request<Incoming>) -> Response<AnswerBody> {
    let note = request.headers_mut().remove(RELAY_HEADER);
    let Some(note) = note.and_then(|value| RelayNote::from_value(&value)) else {
        return close_after(own_answer(StatusCode::BAD_REQUEST, "no relay note"));
    };
    let declines = node.is_isolated() || !node.wait_for_version(note.version).await;
    let (mut answer, reply) = match declines {
        true => {
            let unavailable = StatusCode::SERVICE_UNAVAILABLE;
            let answer = refusal(unavailable, "takes no requests of other VMs", DEFAULT_RETRY_MS);
            (answer, RelayReply::Declined)
        }
        false => {
            request.extensions_mut().insert(note);
            let answer = serve_caller(node.clone(), request).await;
            (answer, RelayReply::Served(node.contact.borrow().applied()))
        }
    };
    answer.headers_mut().insert(RELAY_HEADER, reply.to_value());
    answer
}
