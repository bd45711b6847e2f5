//! Guards that count requests and connections, and stop counting them when they are dropped.

use std::rc::Rc;

use super::vm_node::VmNode;
use crate::state::ids::UpstreamKey;

/// Counts a request in flight at an upstream, and the slot that it occupies there.
pub(super) struct FlightGuard {
    node: Rc<VmNode>,
    upstream: UpstreamKey,
    slot: HeldSlot,
    began_ms: u64,
}

/// The service and workspace for which a request occupies a slot.
pub(super) struct HeldSlot {
    pub(super) service: String,
    /// Whether the service's upstreams are engines.
    pub(super) engine: bool,
    pub(super) workspace: Option<String>,
}

impl FlightGuard {
    pub(super) fn new(node: &Rc<VmNode>, upstream: UpstreamKey, slot: HeldSlot) -> FlightGuard {
        *node.in_flight.borrow_mut().entry(upstream).or_default() += 1;
        if slot.engine {
            node.with_service_capacity(&slot.service, |capacity| {
                capacity.enter(slot.workspace.as_deref())
            });
        }
        FlightGuard { node: node.clone(), upstream, slot, began_ms: node.now_ms() }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.node.in_flight.borrow_mut();
        if let Some(requests) = in_flight.get_mut(&self.upstream) {
            *requests -= 1;
            if *requests == 0 {
                in_flight.remove(&self.upstream);
            }
        }
        let slot = &self.slot;
        let held_ms = self.node.now_ms().saturating_sub(self.began_ms);
        if slot.engine {
            let workspace = slot.workspace.as_deref();
            self.node.with_service_capacity(&slot.service, |capacity| {
                capacity.leave(workspace, held_ms)
            });
        } else {
            let mut holds = self.node.plain_holds.borrow_mut();
            holds.entry(slot.service.clone()).or_default().note(held_ms);
        }
    }
}

/// Counts a request that this VM is serving.
pub(super) struct ServingGuard(Rc<VmNode>);

impl ServingGuard {
    pub(super) fn new(node: &Rc<VmNode>) -> ServingGuard {
        node.serving.set(node.serving.get() + 1);
        ServingGuard(node.clone())
    }
}

impl Drop for ServingGuard {
    fn drop(&mut self) {
        self.0.serving.set(self.0.serving.get() - 1);
    }
}

/// Counts an open connection at one of the VM's listeners.
pub(super) struct ConnectionGuard(Rc<VmNode>);

impl ConnectionGuard {
    pub(super) fn new(node: &Rc<VmNode>) -> ConnectionGuard {
        node.connections.set(node.connections.get() + 1);
        ConnectionGuard(node.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
