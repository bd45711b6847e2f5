//! Serves the product's own operators' interface: paths and formats are in `fleet_calls`, orders are
//! handled by `vm_rollouts` and `vm_zones`. A query is answered only after the leader has confirmed the
//! state that this VM holds.

use std::rc::Rc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use tracing::info;

use super::vm_answer::{json_answer, own_answer};
use super::vm_node::VmNode;
use super::vm_orders::ANSWER_TIME;
use super::vm_relay::AnswerBody;
use super::vm_rollouts::{begin_rollout, unconfirmed_answer};
use super::vm_zones::order_zone;
use crate::protocol::fleet_calls::{
    read_fleet_call, read_start, write_findings, FleetCall, RolloutView, ZoneView,
};
use crate::protocol::vm_wire::{FleetOrder, OrderEnd};

/// Serves a call that the platform's adapter doesn't recognize.
pub async fn serve_fleet_call(
    node: Rc<VmNode>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match read_fleet_call(request.method().as_str(), request.uri().path()) {
        FleetCall::ListRollouts => list_rollouts(&node).await,
        FleetCall::StartRollout => start(&node, request).await,
        FleetCall::GetRollout { service } => get(&node, &service).await,
        FleetCall::AbortRollout { service } => abort(&node, service).await,
        FleetCall::ListZones => list_zones(&node).await,
        FleetCall::Zone { zone, evacuate } => order_zone(node, request, zone, evacuate).await,
        FleetCall::Malformed(fault) => own_answer(StatusCode::BAD_REQUEST, fault),
        FleetCall::Unknown => own_answer(StatusCode::NOT_FOUND, ""),
    }
}

async fn start(node: &Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    match begin_rollout(node, request, read_start, write_findings).await {
        Ok(call) => row_answer(node, &call.service),
        Err(refused) => refused,
    }
}

async fn get(node: &Rc<VmNode>, service: &str) -> Response<AnswerBody> {
    match node.confirm_orders(node.now_ms(), ANSWER_TIME).await {
        true => row_answer(node, service),
        false => unconfirmed_answer(),
    }
}

/// Rolls back the service's last roll-out as of the operator's call, never a later one.
async fn abort(node: &Rc<VmNode>, service: String) -> Response<AnswerBody> {
    let arrived_ms = node.now_ms();
    if !node.confirm_orders(arrived_ms, ANSWER_TIME).await {
        return unconfirmed_answer();
    }
    let Some(number) = node.last_rollout(&service) else { return row_answer(node, &service) };
    let order = || FleetOrder::RollBack { service: service.clone(), number };
    let end = node.order_until(arrived_ms, order).await;
    info!(target: "control", service, number, ?end, "a roll-back is requested");
    match end {
        OrderEnd::Taken => row_answer(node, &service),
        OrderEnd::UnderWay => own_answer(StatusCode::CONFLICT, "it is complete"),
        OrderEnd::NotTaken => unconfirmed_answer(),
    }
}

async fn list_rollouts(node: &Rc<VmNode>) -> Response<AnswerBody> {
    if !node.confirm_orders(node.now_ms(), ANSWER_TIME).await {
        return unconfirmed_answer();
    }
    let state = node.rollouts.borrow();
    let tracker = state.tracker();
    let rows = tracker.table().rows().iter();
    let mut views: Vec<RolloutView> =
        rows.map(|row| RolloutView::new(row, &tracker.counts(&row.order.service))).collect();
    views.sort_by(|one, other| one.service.cmp(&other.service));
    value_answer(&views)
}

async fn list_zones(node: &Rc<VmNode>) -> Response<AnswerBody> {
    if !node.confirm_orders(node.now_ms(), ANSWER_TIME).await {
        return unconfirmed_answer();
    }
    let zones = node.known_zones();
    let state = node.zones.borrow();
    let orders = &state.watch.orders;
    let view = |zone: String| ZoneView {
        evacuated: orders.is_evacuated(&zone),
        number: orders.last_number(&zone),
        zone,
    };
    value_answer(&zones.into_iter().map(view).collect::<Vec<_>>())
}

/// An answer with the state of a service's last roll-out.
fn row_answer(node: &Rc<VmNode>, service: &str) -> Response<AnswerBody> {
    let state = node.rollouts.borrow();
    match state.tracker().table().row(service) {
        Some(row) => value_answer(&RolloutView::new(row, &state.tracker().counts(service))),
        None => own_answer(StatusCode::NOT_FOUND, "there was none of this service"),
    }
}

/// An answer with a value as JSON.
fn value_answer(value: &impl Serialize) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(body) => json_answer(body),
        Err(_) => own_answer(StatusCode::INTERNAL_SERVER_ERROR, "cannot be written"),
    }
}

impl VmNode {
    /// The number of a service's last roll-out.
    fn last_rollout(&self, service: &str) -> Option<u64> {
        let state = self.rollouts.borrow();
        state.tracker().table().row(service).map(|row| row.order.number)
    }
}
