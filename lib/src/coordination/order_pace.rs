//! The choice of the fenced orders that a leader may send now.
//!
//! An order is in the log before it is sent, so that a new leader finds it. The fence
//! rises with the term: an engine that checks fences refuses an old leader's order.
//! For an engine that does not, a new leader first waits until the old leader's lease has
//! expired.
//! See `docs/design/orders.md`.

use crate::coordination::raft_message::LEASE_MS;
use crate::state::configuration::Configuration;
use crate::state::keeper_machine::{KeeperMachine, OrderAction, OrderRecord, OrderState};

/// Returns whether the engines of an upstream's fleet check fences themselves.
fn checks_fence(configuration: &Configuration, upstream: &str) -> bool {
    let fleet = configuration.upstreams.get(upstream).map(|entry| &entry.fleet);
    let entry = fleet.and_then(|fleet| configuration.fleets.get(fleet));
    entry.is_some_and(|entry| entry.checks_fence)
}

/// Returns the orders to send now, in the order of their fences.
///
/// `leads_since_ms` is when this leader's term began; `loads_running` is the number of loads that
/// it has sent and that have not ended; `most_loads` is the weight store's limit on concurrent
/// loads. `in_flight` returns whether an order is being sent already.
pub fn orders_to_send(
    machine: &KeeperMachine,
    leads_since_ms: u64,
    loads_running: usize,
    most_loads: usize,
    in_flight: impl Fn(u64) -> bool,
    now_ms: u64,
) -> Vec<OrderRecord> {
    let waited_out = now_ms >= leads_since_ms + LEASE_MS;
    let mut capacity = most_loads.saturating_sub(loads_running);
    let mut chosen: Vec<OrderRecord> = Vec::new();
    let pending = machine.orders.values().filter(|order| order.state == OrderState::Pending);
    let mut busy: Vec<&str> = Vec::new();
    for order in pending {
        // Each upstream gets one order at a time, so that its orders arrive in the log's order.
        let first = !busy.contains(&order.upstream.as_str());
        busy.push(&order.upstream);
        let safe = waited_out || checks_fence(&machine.configuration, &order.upstream);
        if !first || !safe || in_flight(order.number) {
            continue;
        }
        let loads = matches!(order.action, OrderAction::Load { .. });
        if loads && capacity == 0 {
            continue;
        }
        capacity -= usize::from(loads);
        chosen.push(order.clone());
    }
    chosen
}
