//! Sends a caller's request to one upstream and waits until an answer begins or the send has failed.
//!
//! Invariant: a failed send either never reached the upstream ([`SendOutcome::NotSent`]) or counts as sent.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::sync::Notify;
use tracing::info;

use super::vm_guard::{FlightGuard, HeldSlot};
use super::vm_place::SendTarget;
use super::vm_pool::ConnectTarget;
use super::vm_reply::SendResult;
use super::vm_silence::WaitResult;
use super::vm_task::CallerTask;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::upstream_notice::ApproachPurpose;

/// The maximum number of connections that one send is tried on. The first may be an idle one that turns out
/// to be closed; the others are new.
const MAX_CONNECTION_TRIES: usize = 3;

/// The maximum number of informational (1xx) heads before an answer. Upstreams send a few at most.
const MAX_INFORMATIONAL_HEADS: u32 = 16;

/// Notices when an upstream sends too many informational heads in place of an answer.
struct InformationalLimit {
    exceeded: Arc<Notify>,
}

impl InformationalLimit {
    /// Counts the informational heads that answer this request.
    fn of(request: &mut Request<Full<Bytes>>) -> InformationalLimit {
        let exceeded = Arc::new(Notify::new());
        let (notify, heads) = (exceeded.clone(), AtomicU32::new(0));
        hyper::ext::on_informational(request, move |_| {
            if heads.fetch_add(1, Ordering::Relaxed) == MAX_INFORMATIONAL_HEADS {
                notify.notify_one();
            }
        });
        InformationalLimit { exceeded }
    }

    /// Completes once there were too many.
    async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

impl CallerTask {
    /// Sends once and reads the head of the answer.
    pub(super) async fn send(&self, target: &SendTarget, deadline_ms: u64) -> SendResult {
        let service = &target.routes.table.services[target.service];
        let held = HeldSlot {
            service: service.name.clone(),
            engine: service.engine.is_some(),
            workspace: target.send.workspace.clone(),
        };
        let guard = FlightGuard::new(&self.node, target.upstream, held);
        let may_repeat = target.routes.table.routes[target.route].kind.may_repeat();
        let pool = &self.node.pool;
        let mut fresh = false;
        for _ in 0..MAX_CONNECTION_TRIES {
            let destination = ConnectTarget {
                upstream: target.upstream,
                address: target.address,
                purpose: ApproachPurpose::Request,
                now_ms: self.node.now_ms(),
            };
            let lease = match fresh {
                true => pool.connect(destination).await,
                false => pool.take(destination).await,
            };
            let mut lease = match lease {
                Ok(lease) => lease,
                Err(fault) => {
                    target.trial.end_inconclusive();
                    self.node.note_connect(target.upstream, Some(fault));
                    self.note_connect_fault(target.upstream, fault);
                    return SendResult::NoAnswer(SendOutcome::NotSent);
                }
            };
            fresh = true;
            let mut request = self.upstream_request(target);
            let informational = InformationalLimit::of(&mut request);
            let sent = lease.sender().try_send_request(request);
            let sent = async {
                tokio::select! {
                    biased;
                    answer = sent => Some(answer),
                    () = informational.exceeded() => None,
                }
            };
            let at = (target.upstream, target.address);
            match self.node.wait_for(at, sent, deadline_ms, may_repeat).await {
                WaitResult::Done(None) => {
                    target.trial.end_failure();
                    self.note_failure(target.upstream, "informational heads without an answer");
                    return SendResult::NoAnswer(SendOutcome::Broken);
                }
                WaitResult::Done(Some(Ok(answer))) => {
                    if !lease.is_reused() {
                        self.node.note_reached();
                    }
                    return self.check_answer(target, answer, lease, guard, deadline_ms).await;
                }
                WaitResult::Done(Some(Err(mut error))) => {
                    if error.take_message().is_some() {
                        continue;
                    }
                    target.trial.end_inconclusive();
                    if !lease.is_reused() {
                        self.node.note_unreached(target.upstream);
                    }
                    self.note_failure(target.upstream, "broken");
                    self.check_after_break(target);
                    return SendResult::NoAnswer(SendOutcome::Broken);
                }
                WaitResult::Unresponsive => {
                    target.trial.end_inconclusive();
                    info!(
                        target: "upstream", life = target.send.name,
                        attempt = self.caller.attempt, "upstream unresponsive; no longer waiting for its answer",
                    );
                    return SendResult::NoAnswer(SendOutcome::Broken);
                }
                WaitResult::TimedOut => {
                    target.trial.end_failure();
                    self.note_failure(target.upstream, "silent");
                    return SendResult::NoAnswer(SendOutcome::TimedOut);
                }
            }
        }
        target.trial.end_inconclusive();
        SendResult::NoAnswer(SendOutcome::NotSent)
    }

    /// Builds the request as it is sent to the upstream.
    fn upstream_request(&self, target: &SendTarget) -> Request<Full<Bytes>> {
        let path = self.head.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        *request.headers_mut() = self.node.adapter.write_send(&self.head, &target.send);
        request
    }
}
