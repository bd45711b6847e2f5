//! The directory and the status page of a router.

use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::router_serve::no_lease_error;
use super::router_shared::{lock, RouterShared, RouterView};
use crate::coordination::directory::{addresses, AddressRequest};
use crate::coordination::policy::{decide_policy, PolicyFacts};
use crate::protocol::caller::CHAT_PATH;
use crate::protocol::http::{HttpCall, HttpReply};
use crate::state::ids::{ChatKey, FleetKey};

/// Answers a directory request with the router addresses to use for a chat.
pub(super) fn directory_reply(shared: &Arc<RouterShared>, call: &HttpCall) -> HttpReply {
    let view = shared.view();
    if view.roster.routers.is_empty() {
        return no_lease_error().to_reply("-");
    }
    let workspace = call.query("workspace").unwrap_or_default();
    let chat = call.query("chat").filter(|chat| !chat.is_empty());
    let service = call.query("service").unwrap_or_else(|| "chat".to_string());
    let fleet = directory_fleet(&view, &workspace, &service);
    let info = fleet.and_then(|fleet| view.fleets.get(&fleet));
    let chat = chat.map(|chat| ChatKey::of(&workspace, &chat));
    let hints = match fleet {
        Some(fleet) => lock(&shared.home_state).remote_load.hints(fleet).to_vec(),
        None => Vec::new(),
    };
    let spread = shared.next_number();
    let request = AddressRequest { chat, zone: &shared.settings.zone, spread, hints: &hints };
    let answer = addresses(&view.roster, info.map(|info| &info.view), &request);
    let keep = format!("max-age={}", answer.keep_seconds);
    HttpReply::json(200, &answer).with("cache-control", keep)
}

/// Returns the fleet that the workspace's policy chooses for a chat request to a service, without
/// labels or a prompt.
fn directory_fleet(view: &RouterView, workspace: &str, service: &str) -> Option<FleetKey> {
    let entry = view.configuration.workspaces.get(workspace)?;
    let program = view.policies.get(&entry.policy)?;
    let facts = PolicyFacts {
        workspace: workspace.to_string(),
        service: service.to_string(),
        method: "POST".to_string(),
        path: CHAT_PATH.to_string(),
        ..PolicyFacts::default()
    };
    let decision = decide_policy(program, &facts).ok()?;
    Some(FleetKey::of(&decision.fleet))
}

/// Answers a request for the status page.
pub(super) fn status_reply(shared: &Arc<RouterShared>) -> HttpReply {
    let view = shared.view();
    let now_ms = shared.clock.now_ms();
    let (held, may_serve, version) = {
        let lease = lock(&shared.lease);
        (lease.is_held(now_ms), lease.may_serve(now_ms), lease.applied_version())
    };
    let home_state = lock(&shared.home_state);
    let engines: Vec<_> = home_state
        .homes
        .homed()
        .map(|(engine, slot)| {
            let name = view.upstreams.get(&engine).map_or("?", |info| &info.name);
            serde_json::json!({
                "upstream": name, "requests": slot.requests, "work": slot.load(),
                "closed": slot.closed, "admits": home_state.homes.is_home(engine),
            })
        })
        .collect();
    let fleets: Vec<_> = view
        .configuration
        .fleets
        .keys()
        .filter_map(|name| {
            let key = FleetKey::of(name);
            let load = shared.fleet_load(&home_state, key, view.fleets.get(&key)?);
            Some(serde_json::json!({
                "fleet": name, "work": load.work, "engines": load.engines, "age_ms": load.age_ms,
            }))
        })
        .collect();
    let chats = home_state.memory.len();
    drop(home_state);
    let body = serde_json::json!({
        "router": shared.id(), "zone": shared.settings.zone, "lease_held": held,
        "serves": may_serve && !shared.draining.load(Ordering::Relaxed),
        "draining": shared.draining.load(Ordering::Relaxed),
        "version": version, "epoch": view.roster.epoch,
        "in_flight": shared.in_flight.load(Ordering::Relaxed), "chats": chats,
        "engines": engines, "fleets": fleets, "counters": shared.metrics.counters(),
        "histograms": shared.metrics.rows(), "wire": shared.client.wire.rows(),
    });
    HttpReply::json(200, &body)
}
