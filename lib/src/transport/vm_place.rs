//! Where one send goes, and under which names.

use std::net::SocketAddr;
use std::rc::Rc;

use super::vm_node::RoutesInForce;
use super::vm_task::CallerTask;
use super::vm_trial::TrialGuard;
use crate::coordination::upstream_choice::UpstreamPick;
use crate::protocol::wire_adapter::UpstreamSend;
use crate::state::ids::UpstreamKey;
use crate::state::prompt_part::shared_parts;

/// One send's place.
pub(super) struct SendPlace {
    pub(super) routes: Rc<RoutesInForce>,
    pub(super) route: usize,
    pub(super) service: usize,
    pub(super) upstream: UpstreamKey,
    pub(super) address: SocketAddr,
    pub(super) send: UpstreamSend,
    /// Whether VMs were to report how this request fares when it was sent here.
    pub(super) watched: bool,
    /// When it was placed, by the node's clock.
    pub(super) sent_ms: u64,
    /// See [`UpstreamPick::against_order`].
    pub(super) against_order: Option<u64>,
    /// See [`UpstreamPick::new_root`].
    pub(super) new_root: Option<u64>,
    /// What the send shows of the upstream's version.
    pub(super) trial: TrialGuard,
}

impl CallerTask {
    pub(super) fn place(
        &self,
        routes: &Rc<RoutesInForce>,
        (route, service): (usize, usize),
        workspace: Option<usize>,
        pick: UpstreamPick,
        left_ms: u64,
        resume_after: Option<String>,
    ) -> Option<SendPlace> {
        let rule = &routes.table.routes[route];
        let upstreams = self.node.upstreams.borrow();
        let entry = upstreams.entries.get(&pick.upstream)?;
        self.node.note_send(entry, routes.table.services[service].cold_per_s);
        self.node.pool.notices().borrow_mut().note_sent(pick.upstream, self.node.now_ms());
        let source = pick.fetch_from.and_then(|key| upstreams.entries.get(&key));
        let workspace = workspace.and_then(|at| routes.table.workspace(at));
        let rank = workspace.map_or(0, |workspace| workspace.priority);
        let engine_priority = rule.prompt_parts.then(|| engine_rank(rank, rule.priority));
        let send = UpstreamSend {
            name: entry.name.clone(),
            left_ms,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            engine_priority,
            fetch_from: source.map(|entry| entry.address),
            resume_after,
        };
        let name = &routes.table.services[service].name;
        let tag = self.node.note_rollout_send(name, rule, entry, &self.caller.attempt);
        let held = tag.is_some() && self.is_held_at(pick.upstream);
        let stream = rule.kind.is_stream();
        Some(SendPlace {
            routes: routes.clone(),
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
}

/// The rank at an engine, 0 to 9: a workspace's rank goes before the route's.
fn engine_rank(workspace: u8, route: u8) -> u8 {
    (workspace.min(2) * 3 + route.min(2)).min(9)
}
