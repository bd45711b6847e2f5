//! Operators' calls that put and get the configuration. Orders for zones are in `vm_zones`, those for
//! roll-outs in `vm_rollouts`. Calls that the platform's adapter doesn't recognize go to `vm_fleet_calls`.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tracing::info;

use super::vm_answer::{json_answer, own_answer, refusal};
use super::vm_fleet_calls::serve_fleet_call;
use super::vm_node::VmNode;
use super::vm_orders::ANSWER_TIME;
use super::vm_relay::AnswerBody;
use super::vm_rollouts::{get_rollout, start_rollout};
use super::vm_zones::order_zone;
use crate::protocol::vm_wire::VmMessage;
use crate::protocol::wire_adapter::ControlCall;
use crate::state::packed_text::PackedText;

/// The largest document that is read, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;
/// The pause before a put looks for the leader again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Serves one call at the operators' address.
pub async fn serve_operator(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    match node.adapter.control_call(request.method(), request.uri()) {
        ControlCall::Put => put_document(&node, request).await,
        ControlCall::Get => get_document(&node).await,
        ControlCall::Zone { zone, evacuate } => order_zone(node, request, zone, evacuate).await,
        ControlCall::StartRollout => start_rollout(node, request).await,
        ControlCall::GetRollout { service } => get_rollout(node, service).await,
        ControlCall::Malformed(fault) => own_answer(StatusCode::BAD_REQUEST, fault),
        ControlCall::Unknown => serve_fleet_call(node, request).await,
    }
}

/// Checks a document and returns once it is committed, or after [`ANSWER_TIME`] without a confirmation.
async fn put_document(node: &Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let body = match Limited::new(request.into_body(), MAX_DOCUMENT_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return own_answer(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let version = match node.adapter.read_document(&body) {
        Ok(routes) => routes.version,
        Err(findings) => {
            info!(target: "control", findings = findings.len(), "refuses a document");
            return own_answer(StatusCode::BAD_REQUEST, node.adapter.write_findings(&findings));
        }
    };
    let committed =
        tokio::time::timeout(ANSWER_TIME, node.replicate(version, PackedText::pack(&body))).await;
    match committed {
        Ok(()) => own_answer(StatusCode::OK, "{}"),
        Err(_) => {
            info!(target: "control", version, "a document was not confirmed as committed in time");
            refusal(StatusCode::SERVICE_UNAVAILABLE, "not known to be committed", 300)
        }
    }
}

/// Returns the document in force, once it is confirmed as the newest one.
async fn get_document(node: &Rc<VmNode>) -> Response<AnswerBody> {
    let since_ms = node.now_ms();
    if !node.confirm(since_ms, ANSWER_TIME).await {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "not sure to hold the newest", 300);
    }
    let Some(routes) = node.routes.borrow().clone() else {
        return refusal(StatusCode::SERVICE_UNAVAILABLE, "there is none yet", 300);
    };
    json_answer(routes.document.clone())
}

impl VmNode {
    /// Returns once a document of this version, or of a higher one, is committed.
    async fn replicate(self: &Rc<Self>, version: u64, document: PackedText) {
        loop {
            // A document is in force only after it was committed.
            if self.contact.borrow().applied() >= version {
                return;
            }
            if self.put_at_leader(version, &document).await {
                return;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Proposes a document at the leader. Returns true once it is committed, false if that isn't confirmed.
    async fn put_at_leader(self: &Rc<Self>, version: u64, document: &PackedText) -> bool {
        let now_ms = self.now_ms();
        let own = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let leads = own.is_some_and(|id| id.0 == self.id);
        if leads {
            return self.put_here(version, document).await;
        }
        let Some(leader) = own.map(|id| id.0).or(self.view.borrow().leader) else { return false };
        if leader == self.id {
            return false;
        }
        let (sender, receiver) = oneshot::channel();
        let number = self.draw() ^ now_ms;
        self.pending_puts.borrow_mut().insert(number, sender);
        let message = VmMessage::Put { number, document: document.clone(), version };
        self.links.send(leader, &message);
        let answer = tokio::time::timeout(ANSWER_TIME / 2, receiver).await;
        self.pending_puts.borrow_mut().remove(&number);
        matches!(answer, Ok(Ok(true)))
    }
}
