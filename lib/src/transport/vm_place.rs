//! Prepares one send: its upstream and address, and the fields that are written into its head.

use std::net::SocketAddr;
use std::rc::Rc;

use super::vm_node::RoutesInForce;
use super::vm_task::CallerTask;
use super::vm_trial::TrialGuard;
use crate::coordination::upstream_choice::UpstreamPick;
use crate::protocol::wire_adapter::UpstreamSend;
use crate::state::ids::{RequestFingerprint, UpstreamKey};
use crate::state::prompt_part::shared_parts;
use crate::state::rollout_order::VersionKey;

/// The upstream of one send, with what was decided for the send.
pub(super) struct SendTarget {
    /// The configuration that the send was routed by.
    pub(super) routes: Rc<RoutesInForce>,
    /// The index of its route there.
    pub(super) route: usize,
    /// The index of its service there.
    pub(super) service: usize,
    pub(super) upstream: UpstreamKey,
    pub(super) address: SocketAddr,
    /// The software version of the upstream.
    pub(super) version: VersionKey,
    pub(super) send: UpstreamSend,
    /// What of this request, at the time of the send, VMs were asked to report the end of; see
    /// [`CallerTask::watched`].
    pub(super) watched: Vec<RequestFingerprint>,
    /// When the send was prepared, by the node's clock, in milliseconds.
    pub(super) sent_ms: u64,
    /// See [`UpstreamPick::off_order_part`].
    pub(super) off_order_part: Option<u64>,
    /// See [`UpstreamPick::new_root`].
    pub(super) new_root: Option<u64>,
    /// Reports the outcome as evidence about the upstream's version.
    pub(super) trial: TrialGuard,
}

impl CallerTask {
    /// Prepares a send to the chosen upstream and counts it; `None` if the upstream is no longer on the list.
    /// `resume_after` is the id of the last event of a stream that is resumed.
    pub(super) fn place(
        &self,
        routes: &Rc<RoutesInForce>,
        (route, service): (usize, usize),
        workspace: Option<usize>,
        pick: UpstreamPick,
        left_ms: u64,
        resume_after: Option<String>,
    ) -> Option<SendTarget> {
        let rule = &routes.table.routes[route];
        let upstreams = self.node.upstreams.borrow();
        let entry = upstreams.entries.get(&pick.upstream)?;
        self.node.note_send(entry, routes.table.services[service].cold_per_s);
        self.node.pool.notices().borrow_mut().note_sent(pick.upstream, self.node.now_ms());
        let source = pick.fetch_from.and_then(|key| upstreams.entries.get(&key));
        let workspace = workspace.and_then(|at| routes.table.workspace(at));
        let workspace_priority = workspace.map_or(0, |workspace| workspace.priority);
        let engine_priority =
            rule.prompt_parts.then(|| engine_priority(workspace_priority, rule.priority));
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
        let cached = tag.is_some() && self.has_cached_prompt(pick.upstream);
        let stream = rule.kind.is_stream();
        Some(SendTarget {
            routes: routes.clone(),
            route,
            service,
            upstream: pick.upstream,
            address: entry.address,
            version: entry.version,
            watched: self.watched(send.workspace.as_deref()),
            sent_ms: self.node.now_ms(),
            send,
            off_order_part: pick.off_order_part,
            new_root: pick.new_root,
            trial: TrialGuard::new(self.node.clone(), tag, stream, !entry.cold, cached),
        })
    }

    /// Whether this VM recorded that the engine recently cached the shared parts of the prompt; true if the
    /// prompt has none.
    fn has_cached_prompt(&self, engine: UpstreamKey) -> bool {
        let Some(deepest) = shared_parts(&self.caller.prompt).last() else { return true };
        self.node.prefixes.borrow().holds(deepest.id, engine, self.node.now_ms())
    }
}

/// The priority at an engine, 0 to 9: the workspace's priority outranks the route's.
fn engine_priority(workspace: u8, route: u8) -> u8 {
    (workspace.min(2) * 3 + route.min(2)).min(9)
}
