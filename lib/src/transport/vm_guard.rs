//! Guards that count what is in flight, at whatever end it takes.

use std::rc::Rc;

use super::vm_node::VmNode;
use crate::state::ids::UpstreamKey;

/// Counts a request in flight at an upstream.
pub(super) struct FlightGuard {
    node: Rc<VmNode>,
    upstream: UpstreamKey,
}

impl FlightGuard {
    pub(super) fn new(node: &Rc<VmNode>, upstream: UpstreamKey) -> FlightGuard {
        *node.in_flight.borrow_mut().entry(upstream).or_default() += 1;
        FlightGuard { node: node.clone(), upstream }
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
    }
}

/// Counts a request that is being served by this VM.
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

/// Counts a connection that is open.
pub(super) struct OpenGuard(Rc<VmNode>);

impl OpenGuard {
    pub(super) fn new(node: &Rc<VmNode>) -> OpenGuard {
        node.connections.set(node.connections.get() + 1);
        OpenGuard(node.clone())
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}
