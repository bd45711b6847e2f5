//! One send of a caller's request to one upstream, until an answer begins or it is known that none will.
//!
//! Invariant: it fails without a trace at the upstream ([`SendOutcome::NotSent`]) or counts as sent.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tracing::info;

use super::vm_guard::{FlightGuard, HeldPlace};
use super::vm_place::SendPlace;
use super::vm_pool::UpstreamApproach;
use super::vm_reply::SendResult;
use super::vm_silence::Waited;
use super::vm_task::CallerTask;
use crate::coordination::attempt_plan::SendOutcome;
use crate::coordination::upstream_notice::ApproachPurpose;

/// Fresh connections on which one send is tried when resting ones turn out closed.
const STALE_CONNECTIONS: usize = 3;

impl CallerTask {
    /// Sends once and reads the head of the answer.
    pub(super) async fn send(&self, place: &SendPlace, deadline_ms: u64) -> SendResult {
        let service = &place.routes.table.services[place.service];
        let held = HeldPlace {
            service: service.name.clone(),
            engine: service.engine.is_some(),
            workspace: place.send.workspace.clone(),
        };
        let guard = FlightGuard::new(&self.node, place.upstream, held);
        let may_repeat = place.routes.table.routes[place.route].kind.may_repeat();
        let pool = &self.node.pool;
        let mut fresh = false;
        for _ in 0..STALE_CONNECTIONS {
            let approach = UpstreamApproach {
                upstream: place.upstream,
                address: place.address,
                purpose: ApproachPurpose::Request,
                now_ms: self.node.now_ms(),
            };
            let lease = match fresh {
                true => pool.connect(approach).await,
                false => pool.take(approach).await,
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
                        target: "upstream", life = place.send.name,
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
}
