//! Handling of a caller's request at its entry router: it is read, authenticated, limited and
//! decided, and forwarded to its home.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

use subtle::ConstantTimeEq;

use super::clock::wall_ms;
use super::http_server::{HttpExchange, ResponseWriter};
use super::router_engines::resume_for_caller;
use super::router_forward::{forward, forward_to_peer, receive_forward, ForwardEnd};
use super::router_home::chat_key;
use super::router_place::{busy_error, serve_at_home};
use super::router_plain::serve_plain;
use super::router_relay::AnswerSink;
use super::router_shared::{lock, RouterShared, RouterView};
use super::router_status::{directory_reply, status_reply};
use crate::coordination::placement::holds_chat;
use crate::coordination::policy::{decide_policy, PolicyFacts};
use crate::coordination::workspace_limit::LimitRefusal;
use crate::protocol::caller::{
    caller_key, echo_id, read_request, CallerError, CallerRequest, ADDRESSES_PATH, ISSUED_HEADER,
    SERVICE_HEADER, WORKSPACE_HEADER,
};
use crate::protocol::http::HttpCall;
use crate::protocol::peer_wire::{ForwardPurpose, RouteDecision, FORWARD_PATH};
use crate::state::configuration::{hash_key, FleetKind, WorkspaceEntry};
use crate::state::ids::{ChatKey, FleetKey, RouterId, WorkspaceKey};

/// The context that the steps of serving one request share.
pub(super) struct ServeContext {
    /// The state of this router.
    pub(super) shared: Arc<RouterShared>,
    /// The view at the time when the request arrived.
    pub(super) view: Arc<RouterView>,
    /// When the request arrived.
    pub(super) arrived: Instant,
    /// The number of routers that the request passed before this one.
    pub(super) hops: u8,
}

impl ServeContext {
    /// Returns the same context with the current view.
    pub(super) fn renewed(&self) -> ServeContext {
        let (shared, view) = (self.shared.clone(), self.shared.view());
        ServeContext { shared, view, arrived: self.arrived, hops: self.hops }
    }
}

/// Counts a request as no longer in flight when dropped.
struct InFlightGuard<'a>(&'a RouterShared);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Handles one HTTP exchange.
pub(super) fn serve(shared: &Arc<RouterShared>, exchange: HttpExchange) {
    shared.in_flight.fetch_add(1, Ordering::Relaxed);
    let _count = InFlightGuard(shared);
    let arrived = Instant::now();
    let HttpExchange { call, mut writer, .. } = exchange;
    match call.path() {
        FORWARD_PATH => receive_forward(shared, &call, &mut writer, arrived),
        "/status" => drop(writer.send(&status_reply(shared))),
        ADDRESSES_PATH => drop(writer.send(&directory_reply(shared, &call))),
        _ => serve_caller(shared, call, &mut writer, arrived),
    }
}

/// Serves a request from a caller, or forwards it to a peer if this router may not serve.
fn serve_caller(
    shared: &Arc<RouterShared>,
    call: HttpCall,
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    shared.metrics.count("requests");
    // The lease is checked before the view is read, so that the view is at least as new as the
    // version that the lease covers.
    let leased = shared.is_leased();
    let serves = leased && !shared.draining.load(Ordering::Relaxed);
    let view = shared.view();
    let echo = echo_id(&call);
    match read_caller(shared, &view, leased, call) {
        Err(error) => {
            shared.metrics.count("requests.refused");
            let _ = writer.send(&error.to_reply(&echo));
        }
        Ok(request) => {
            let stream = request.facts.as_ref().is_none_or(|facts| facts.stream);
            let mut sink = AnswerSink::new(writer, stream, &request.request_id, 0);
            let cx = ServeContext { shared: shared.clone(), view, arrived, hops: 0 };
            match serves {
                true => serve_entry(&cx, &request, &mut sink),
                false => forward_to_peer(&cx, &request, &mut sink),
            }
        }
    }
}

/// Reads a request and checks its key. An unknown key is refused with a final error only while the
/// lease proves that no newer configuration contains it.
fn read_caller(
    shared: &RouterShared,
    view: &RouterView,
    leased: bool,
    call: HttpCall,
) -> Result<CallerRequest, CallerError> {
    let key_hash = caller_key(&call).map(hash_key);
    let fresh_id = format!("{:x}-{:x}", shared.incarnation.0, shared.next_number());
    let request = read_request(call, &fresh_id, wall_ms())?;
    // A router that has never read a configuration has no workspaces to check against.
    if lock(&shared.lease).applied_version().is_none() {
        return Err(no_lease_error());
    }
    match check_key(view, &request.workspace, key_hash.as_deref()) {
        Err(_) if !leased => Err(no_lease_error()),
        checked => checked.map(|()| request),
    }
}

/// Checks the key of a workspace in constant time.
fn check_key(
    view: &RouterView,
    workspace: &str,
    key_hash: Option<&str>,
) -> Result<(), CallerError> {
    let entry = view.configuration.workspaces.get(workspace);
    // The key of an unknown workspace is compared too, so that the time doesn't reveal whether the
    // workspace exists.
    let expected = entry.map_or("0".repeat(64), |entry| entry.key_hash.clone());
    let presented = key_hash.unwrap_or("");
    let matches_key = bool::from(presented.as_bytes().ct_eq(expected.as_bytes()));
    match matches_key && entry.is_some() {
        true => Ok(()),
        false => {
            let text = "The workspace or its key is not known.";
            Err(CallerError::not_run(401, "bad_key", text).at("authorization"))
        }
    }
}

/// The error of a router whose lease has lapsed.
pub(super) fn no_lease_error() -> CallerError {
    let text = "This router cannot vouch for what is in force now.";
    CallerError::not_run(503, "no_lease", text).after(1000)
}

/// Serves a request whose key is checked, on a router whose lease holds.
pub(super) fn serve_entry(cx: &ServeContext, request: &CallerRequest, sink: &mut AnswerSink<'_>) {
    let Some(workspace) = cx.view.configuration.workspaces.get(&request.workspace) else {
        return sink.fail(&CallerError::not_run(401, "bad_key", "The workspace is not known."));
    };
    if let Some(position) = &request.resume {
        return resume_for_caller(cx, request, position, sink);
    }
    let key = WorkspaceKey::of(&request.workspace);
    let routers = cx.view.roster.routers.len();
    let entered = lock(&cx.shared.limits).enter(key, workspace, routers, cx.shared.clock.now_ms());
    if let Err(refusal) = entered {
        cx.shared.metrics.count("requests.limited");
        return sink.fail(&limit_error(refusal));
    }
    match decide(&cx.view, request, workspace) {
        Err(error) => {
            cx.shared.metrics.count("requests.refused");
            sink.fail(&error);
        }
        Ok(decision) => serve_decided(cx, request, &decision, sink),
    }
    lock(&cx.shared.limits).leave(key);
}

fn limit_error(refusal: LimitRefusal) -> CallerError {
    let (text, after) = match refusal {
        LimitRefusal::Rate(after) => ("The workspace's rate is used up.", after),
        LimitRefusal::InFlight => ("The workspace has too many requests in flight.", 1000),
    };
    CallerError::not_run(429, "over_limit", text).at(WORKSPACE_HEADER).after(after)
}

/// Decides how to route a request by running the workspace's policy.
fn decide(
    view: &RouterView,
    request: &CallerRequest,
    workspace: &WorkspaceEntry,
) -> Result<RouteDecision, CallerError> {
    let refuse = |text: String| CallerError::not_run(503, "policy_failed", text);
    let program = view.policies.get(&workspace.policy);
    let program = program
        .ok_or_else(|| refuse(format!("The policy `{}` does not compile.", workspace.policy)))?;
    let facts = PolicyFacts {
        workspace: request.workspace.clone(),
        service: request.service.clone(),
        method: request.method.clone(),
        path: request.target.split('?').next().unwrap_or("").to_string(),
        labels: request.labels.clone(),
        prompt_tokens: request.facts.as_ref().map_or(0, |facts| facts.prompt_tokens),
    };
    let decision = decide_policy(program, &facts)
        .map_err(|error| refuse(format!("The policy `{}` failed at {error}.", workspace.policy)))?;
    let info = view.fleets.get(&FleetKey::of(&decision.fleet)).ok_or_else(|| {
        refuse(format!("The policy names the fleet `{}`, which is not there.", decision.fleet))
    })?;
    let wants_engine = request.facts.is_some();
    if wants_engine != (info.entry.kind == FleetKind::Engine) {
        let text = "The service is of another kind than the request.";
        return Err(CallerError::not_run(400, "bad_service", text).at(SERVICE_HEADER));
    }
    let run_once = decision.run_once || request.run_once;
    if run_once && request.issued_ms.is_none() {
        let text = "The policy makes this run-once, so it must carry its id and issue time.";
        return Err(CallerError::not_run(400, "bad_request", text).at(ISSUED_HEADER));
    }
    Ok(RouteDecision {
        fleet: decision.fleet,
        class: decision.class,
        wait_ms: decision.wait_ms.min(request.deadline_ms),
        run_once,
        expected_output: decision.expected_output,
        weight: workspace.weight,
    })
}

/// Returns whether this router is home to an open engine of the fleet.
fn is_home_of(cx: &ServeContext, fleet: FleetKey) -> bool {
    let home_state = lock(&cx.shared.home_state);
    let mut homed = home_state.homes.homed();
    homed.any(|(_, slot)| slot.fleet == fleet && !slot.closed)
}

/// Returns the router that should place a chat: this one if one of its engines holds the chat,
/// otherwise the chat's home.
fn next_home(cx: &ServeContext, fleet: FleetKey, chat: ChatKey) -> Option<RouterId> {
    let info = cx.view.fleets.get(&fleet)?;
    let home_state = lock(&cx.shared.home_state);
    match holds_chat(chat, &cx.shared.placement_context(&home_state, fleet, info, 0)) {
        true => Some(cx.shared.id()),
        false => info.view.chat_home(chat),
    }
}

/// Serves a request whose route is decided: a plain request from here, a chat request at its home.
fn serve_decided(
    cx: &ServeContext,
    request: &CallerRequest,
    decision: &RouteDecision,
    sink: &mut AnswerSink<'_>,
) {
    if request.facts.is_none() {
        return serve_plain(cx, request, decision, sink);
    }
    let chat = chat_key(request);
    let fleet = FleetKey::of(&decision.fleet);
    let fresh = request.facts.as_ref().is_some_and(|facts| facts.fresh);
    // A router that is home to no engine of the fleet has no queue, so it forwards new chats too.
    let home = if fresh && is_home_of(cx, fleet) { None } else { next_home(cx, fleet, chat) };
    let session = home.filter(|home| *home != cx.shared.id());
    let session = session.and_then(|home| cx.view.roster.routers.get(&home));
    if let Some(session) = session {
        cx.shared.metrics.count("requests.hopped");
        let aim = ForwardPurpose::ToChatHome(decision.clone());
        match forward(cx, session.address, request, aim, sink) {
            ForwardEnd::Answered => return,
            // The home is unreachable or has no lease, so this router places the chat instead.
            ForwardEnd::TryElsewhere(_) => {
                if !lock(&cx.shared.home_state).retries.spend() {
                    return sink.fail(&busy_error(1000));
                }
            }
        }
    }
    serve_at_home(cx, request, decision, sink);
}
