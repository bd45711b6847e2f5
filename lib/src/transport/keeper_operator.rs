//! Handling of operators' calls at a keeper, and sending of fenced orders to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{bounded, Sender};
use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use super::http_client::{CallTimes, HttpClient};
use super::keeper_loop::{KeeperEvent, KeeperLoop, OperateReply};
use super::keeper_node::{read_loop, KeeperShared};
use crate::coordination::check::check_operations;
use crate::coordination::raft_message::{MemberChange, RaftRefusal};
use crate::protocol::engine;
use crate::protocol::http::{HttpCall, HttpReply};
use crate::protocol::keeper_wire::{KeeperCall, KeeperReply};
use crate::protocol::operator::{
    operator_of, MemberStep, SubmittedChange, SubmittedLeave, SubmittedOrder,
};
use crate::state::configuration::Configuration;
use crate::state::keeper_machine::{
    ChangeAnswer, ConfigChange, KeeperAnswer, KeeperOperation, OrderRecord, OrderState,
};

/// How long an operator's call waits for its operation to be committed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum time for an upstream to carry out an order, in milliseconds.
const ORDER_TIMEOUT_MS: u64 = 60_000;

/// Answers an operator's call.
pub(super) fn operator_reply(shared: &Arc<KeeperShared>, call: &HttpCall) -> HttpReply {
    let Some((configuration, leased, leader)) = read_loop(&shared.events, |keeper, leased| {
        (keeper.configuration().clone(), leased, leader_address(keeper))
    }) else {
        return failure(503, "stopped", "The keeper has stopped.");
    };
    let Some(operator) = operator_of(call, &configuration, &shared.settings.fleet_key) else {
        return failure(401, "not_an_operator", "The operator's name or key is not good.");
    };
    let path = call.path();
    if path == "/operator/status" && call.method == "GET" {
        return read(shared, |keeper| json!(keeper.status()));
    }
    if !leased {
        let text = "Another keeper leads, or none does now.";
        let body = json!({ "error": { "code": "not_leader", "message": text }, "leader": leader });
        return HttpReply::json(421, &body);
    }
    match (call.method.as_str(), path) {
        ("GET", "/operator/config") => config_reply(&configuration),
        ("GET", "/operator/history") => read(shared, |keeper| json!(keeper.machine.recent)),
        ("GET", "/operator/orders") => {
            read(shared, |keeper| json!(keeper.machine.orders.values().collect::<Vec<_>>()))
        }
        ("GET", "/operator/backup") => backup_reply(shared),
        ("POST", "/operator/changes") => change_reply(shared, call, operator),
        ("POST", "/operator/orders") => order_reply(shared, call, &configuration),
        ("POST", "/operator/leave") => leave_reply(shared, call),
        ("POST", "/operator/members") => member_reply(shared, call),
        _ => failure(404, "no_such_call", "There is no such call."),
    }
}

/// Returns the address of the leader if another keeper leads.
fn leader_address(keeper: &KeeperLoop) -> Option<SocketAddr> {
    let leader = keeper.core().leader().filter(|leader| *leader != keeper.id)?;
    keeper.core().membership().members.get(&leader).map(|member| member.address)
}

fn failure(status: u16, code: &str, message: &str) -> HttpReply {
    HttpReply::json(status, &json!({ "error": { "code": code, "message": message } }))
}

fn read(
    shared: &KeeperShared,
    read: impl FnOnce(&KeeperLoop) -> Value + Send + 'static,
) -> HttpReply {
    match read_loop(&shared.events, |keeper, _| read(keeper)) {
        Some(value) => HttpReply::json(200, &value),
        None => failure(503, "stopped", "The keeper has stopped."),
    }
}

fn config_reply(configuration: &Configuration) -> HttpReply {
    let document = configuration.to_document();
    HttpReply::json(200, &json!({ "version": configuration.version, "configuration": document }))
}

fn backup_reply(shared: &KeeperShared) -> HttpReply {
    match read_loop(&shared.events, |keeper, _| keeper.machine.to_image()) {
        Some(body) => HttpReply { status: 200, headers: vec![], body },
        None => failure(503, "stopped", "The keeper has stopped."),
    }
}

/// Reads the JSON body of a call.
fn body_of<T: DeserializeOwned>(call: &HttpCall) -> Result<T, HttpReply> {
    serde_json::from_slice(&call.body)
        .map_err(|error| failure(400, "bad_request", &format!("The body: {error}.")))
}

/// Proposes an operation and waits for its answer.
fn operate(shared: &KeeperShared, operation: KeeperOperation) -> Result<KeeperAnswer, HttpReply> {
    wait(shared, |sender| KeeperEvent::Operate(operation, sender))
}

/// Sends an event to the loop and waits for its reply.
fn wait(
    shared: &KeeperShared,
    event: impl FnOnce(Sender<OperateReply>) -> KeeperEvent,
) -> Result<KeeperAnswer, HttpReply> {
    let (sender, receiver) = bounded(1);
    let _ = shared.events.send(event(sender));
    match receiver.recv_timeout(COMMIT_TIMEOUT) {
        Ok(OperateReply::Done(answer)) => Ok(answer),
        Ok(OperateReply::Refused(refusal)) => Err(refusal_reply(&refusal)),
        Ok(OperateReply::Unsure) | Err(_) => {
            let text = "It is not known whether it was accepted; send it again with the same id.";
            Err(failure(503, "unsure", text))
        }
    }
}

fn refusal_reply(refusal: &RaftRefusal) -> HttpReply {
    let (status, code, text) = match refusal {
        RaftRefusal::NotLeader(_) => (421, "not_leader", "Another keeper leads."),
        RaftRefusal::HandingOver => (421, "not_leader", "Leadership is being handed over."),
        RaftRefusal::ChangePending => {
            (409, "change_pending", "A change of membership is still under way.")
        }
        RaftRefusal::WouldLoseQuorum => {
            (409, "would_lose_quorum", "Too few of the keepers left would be alive.")
        }
        RaftRefusal::NotCaughtUp => {
            (409, "not_caught_up", "The keeper does not hold the log yet; try again.")
        }
        RaftRefusal::Leads => {
            (409, "leads", "It leads; hand leadership over first (`wingshed keeper transfer`).")
        }
        RaftRefusal::NoSuchMember => (404, "no_such_member", "It is not such a member."),
    };
    failure(status, code, text)
}

/// Checks a change of the configuration and proposes it.
fn change_reply(shared: &KeeperShared, call: &HttpCall, operator: String) -> HttpReply {
    let submitted: SubmittedChange = match body_of(call) {
        Ok(submitted) => submitted,
        Err(reply) => return reply,
    };
    if submitted.id.is_empty() || submitted.operations.is_empty() {
        return failure(400, "bad_request", "A change needs an id and at least one operation.");
    }
    let findings = check_operations(&submitted.operations);
    if !findings.is_empty() {
        return HttpReply::json(400, &ChangeAnswer::Invalid { findings });
    }
    let SubmittedChange { id, base, operations } = submitted;
    let change = ConfigChange { id, base, operator, operations };
    match operate(shared, KeeperOperation::Change(change)) {
        Ok(KeeperAnswer::Change(answer)) => {
            let status = match answer {
                ChangeAnswer::Accepted { .. } => 200,
                ChangeAnswer::Conflict { .. } => 409,
                ChangeAnswer::Invalid { .. } => 400,
            };
            HttpReply::json(status, &answer)
        }
        Ok(_) => failure(500, "mixed_up", "The answer is of another kind."),
        Err(reply) => reply,
    }
}

/// Proposes an order to an upstream.
fn order_reply(shared: &KeeperShared, call: &HttpCall, configuration: &Configuration) -> HttpReply {
    let submitted: SubmittedOrder = match body_of(call) {
        Ok(submitted) => submitted,
        Err(reply) => return reply,
    };
    if !configuration.upstreams.contains_key(&submitted.upstream) {
        return failure(404, "no_such_upstream", "There is no such upstream.");
    }
    let SubmittedOrder { id, upstream, action } = submitted;
    match operate(shared, KeeperOperation::Order { id, upstream, action }) {
        Ok(KeeperAnswer::Order(number)) => HttpReply::json(200, &json!({ "number": number })),
        Ok(_) => failure(500, "mixed_up", "The answer is of another kind."),
        Err(reply) => reply,
    }
}

/// Orders a router to leave: it drains and ends, after which its VM may be removed.
fn leave_reply(shared: &KeeperShared, call: &HttpCall) -> HttpReply {
    let submitted: SubmittedLeave = match body_of(call) {
        Ok(submitted) => submitted,
        Err(reply) => return reply,
    };
    let id = submitted.router;
    let session = read_loop(&shared.events, move |keeper, _| {
        keeper.machine.roster.routers.get(&id).map(|session| session.incarnation)
    });
    match session.flatten() {
        Some(incarnation) => to_reply(operate(shared, KeeperOperation::Leave(id, incarnation))),
        None => failure(404, "no_such_router", "There is no such router in the roster."),
    }
}

/// Carries out one step of a change of the group's members.
fn member_reply(shared: &KeeperShared, call: &HttpCall) -> HttpReply {
    let step: MemberStep = match body_of(call) {
        Ok(step) => step,
        Err(reply) => return reply,
    };
    let change = match step {
        MemberStep::Transfer => return to_reply(wait(shared, KeeperEvent::Transfer)),
        MemberStep::Promote { id } => MemberChange::Promote(id),
        MemberStep::Remove { id } => MemberChange::Remove(id),
        MemberStep::Add { id, address } => {
            let reply = shared.client.call(address, &KeeperCall::Identity);
            let Ok(KeeperReply::Identity(identity)) = reply else {
                return failure(502, "no_answer", "No keeper answers at that address.");
            };
            if identity.id != id {
                return failure(409, "other_keeper", "Another keeper answers at that address.");
            }
            MemberChange::AddLearner(id, identity.incarnation, address)
        }
    };
    to_reply(wait(shared, |sender| KeeperEvent::Member(change, sender)))
}

fn to_reply(result: Result<KeeperAnswer, HttpReply>) -> HttpReply {
    match result {
        Ok(_) => HttpReply::json(200, &json!({ "done": true })),
        Err(reply) => reply,
    }
}

/// Sends an order to an upstream and returns its final state, or `None` when it must be sent again.
pub(super) fn send_order(
    http: &HttpClient,
    order: &OrderRecord,
    address: SocketAddr,
) -> Option<OrderState> {
    let call = engine::order_call(order.fence, &order.action);
    match http.call(address, &call, CallTimes::of_ms(ORDER_TIMEOUT_MS), 64 << 10, "order") {
        Ok(reply) if reply.status == 200 => Some(OrderState::Done),
        Ok(reply) if reply.status < 500 => {
            tracing::warn!(
                "orders: the upstream refused order {} with status {}.",
                order.number,
                reply.status
            );
            Some(OrderState::Refused)
        }
        Ok(_) | Err(_) => None,
    }
}
