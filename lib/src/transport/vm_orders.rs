//! Operators' orders on their way to the leader, and its verdicts.
//!
//! After a second without an answer, an operator sends its order to another VM. So the first VM stops trying
//! after [`ORDER_MS`] by its monotonic clock, which also counts time in which the VM was suspended: an order
//! that it sent later could take effect after the operator's next one. See `docs/design/zones.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::vm_node::VmNode;
use crate::protocol::vm_wire::{FleetOrder, OrderEnd, OrderVerdict, VmId, VmMessage};
use crate::state::fleet_record::FleetCommand;

/// For how long a VM tries to have an order accepted, in milliseconds. Operators turn to another VM after
/// a second without an answer; an order that this VM sent after that could take effect after a later one.
pub(super) const ORDER_MS: u64 = 850;
/// [`ORDER_MS`] as a duration: the timeout of all else that an answer to an operator waits for.
pub(super) const ANSWER_TIME: Duration = Duration::from_millis(ORDER_MS);
/// The timeout of the leader's verdict, after which the order is sent again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// The pause before an order that wasn't accepted is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

impl VmNode {
    /// Sends an order to the leader until the leader decides on it; `order` makes it anew for each attempt from
    /// the current state. Returns [`OrderEnd::NotTaken`] if there is no decision in time.
    pub(super) async fn order_until(
        self: &Rc<Self>,
        arrived_ms: u64,
        order: impl Fn() -> FleetOrder,
    ) -> OrderEnd {
        while self.now_ms() < arrived_ms + ORDER_MS {
            match self.try_order(order()).await {
                OrderEnd::NotTaken => tokio::time::sleep(RETRY_PAUSE).await,
                end => return end,
            }
        }
        OrderEnd::NotTaken
    }

    /// Sends an order to the leader once and returns its verdict.
    async fn try_order(self: &Rc<Self>, order: FleetOrder) -> OrderEnd {
        let own = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let leader = own.map(|id| id.0).or(self.view.borrow().leader);
        let verdict = match leader {
            None => return OrderEnd::NotTaken,
            Some(leader) if leader == self.id => {
                tokio::time::timeout(REPLY_TIMEOUT, self.order_here(order)).await.ok()
            }
            Some(leader) => self.order_at(leader, order).await,
        };
        let Some(verdict) = verdict else { return OrderEnd::NotTaken };
        self.apply_zone_orders(verdict.zones);
        self.apply_rollouts(verdict.rollouts);
        verdict.end
    }

    /// Sends an order to a leader on another VM and waits for its verdict.
    async fn order_at(&self, leader: VmId, order: FleetOrder) -> Option<OrderVerdict> {
        let (sender, receiver) = oneshot::channel();
        let number = self.draw() ^ self.now_ms();
        self.orders.borrow_mut().pending.insert(number, sender);
        self.links.send(leader, &VmMessage::Order { number, order });
        let verdict = tokio::time::timeout(REPLY_TIMEOUT, receiver).await;
        self.orders.borrow_mut().pending.remove(&number);
        verdict.ok()?.ok()
    }

    /// Proposes an order at this VM's keeper and returns the verdict.
    async fn order_here(&self, order: FleetOrder) -> OrderVerdict {
        let command = match self.command_of(order) {
            Ok(command) => command,
            Err(end) => return self.verdict_of(end),
        };
        let now_ms = self.now_ms();
        let proposed =
            self.keeper.borrow_mut().as_mut().map(|keeper| keeper.order(command, now_ms));
        let accepted = match proposed {
            Some((receiver, outcome)) => {
                self.carry_out(outcome);
                receiver.await.unwrap_or(false)
            }
            None => false,
        };
        self.verdict_of(if accepted { OrderEnd::Taken } else { OrderEnd::NotTaken })
    }

    /// The command that carries out an order, or the verdict if there is nothing to propose.
    fn command_of(&self, order: FleetOrder) -> Result<FleetCommand, OrderEnd> {
        let keeper = self.keeper.borrow();
        let Some(keeper) = keeper.as_ref() else { return Err(OrderEnd::NotTaken) };
        match order {
            FleetOrder::Zone(order) => {
                let after = keeper.record.zones.last_number(&order.zone);
                match order.number == after + 1 {
                    true => Ok(FleetCommand::Zone(order)),
                    false => Err(OrderEnd::NotTaken),
                }
            }
            FleetOrder::Rollout(request) => self.rollout_command(keeper, request),
            FleetOrder::RollBack { service, number } => {
                self.roll_back_command(keeper, &service, number)
            }
        }
    }

    /// A verdict with the orders that this VM's keeper has committed.
    fn verdict_of(&self, end: OrderEnd) -> OrderVerdict {
        let keeper = self.keeper.borrow();
        match keeper.as_ref() {
            Some(keeper) => OrderVerdict {
                end,
                zones: keeper.record.zones.clone(),
                rollouts: keeper.record.rollouts.clone(),
            },
            None => OrderVerdict { end, ..OrderVerdict::default() },
        }
    }

    /// Decides on an order that another VM sent, and replies.
    pub(super) async fn answer_order(self: Rc<Self>, from: VmId, number: u64, order: FleetOrder) {
        let verdict = self.order_here(order).await;
        self.links.send(from, &VmMessage::OrderReply { number, verdict });
    }

    /// Passes on the verdict on an order that this VM sent to the leader.
    pub(super) fn receive_order_reply(&self, number: u64, verdict: OrderVerdict) {
        if let Some(waiter) = self.orders.borrow_mut().pending.remove(&number) {
            // The operator may have given up by now.
            let _ = waiter.send(verdict);
        }
    }
}
