//! Orders of operators on their way to the leader, and what it answers.
//!
//! The operator's next VM is asked after a second without an answer. So the VM that was asked first
//! tries for [`ORDER_MS`] by its own steady clock, also when it stood still meanwhile: an order that
//! it sent later could follow the operator's next one. See `docs/design/zones.md`.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::vm_node::VmNode;
use crate::protocol::vm_wire::{FleetOrder, OrderEnd, OrderVerdict, VmId, VmMessage};
use crate::state::fleet_record::FleetCommand;

/// An order is tried for this long: operators go on to another VM after a second without an answer,
/// and from then on this VM must not send it any more, or it could come after a later one.
pub(super) const ORDER_MS: u64 = 850;
/// The same as a time, for what an answer to an operator waits for.
pub(super) const ANSWER_TIME: Duration = Duration::from_millis(ORDER_MS);
/// How long the leader is waited for before the order is sent again.
const REPLY_TIME: Duration = Duration::from_millis(400);
/// How long an order waits before it looks for the leader again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

impl VmNode {
    /// Asks the leader to take an order until it says what became of it; `order` makes it from what is
    /// known by then. Returns [`OrderEnd::NotTaken`] when that isn't known in time.
    pub(super) async fn order_until(
        self: &Rc<Self>,
        arrived_ms: u64,
        order: impl Fn() -> FleetOrder,
    ) -> OrderEnd {
        while self.now_ms() < arrived_ms + ORDER_MS {
            match self.try_order(order()).await {
                OrderEnd::NotTaken => tokio::time::sleep(LOOK_AGAIN).await,
                end => return end,
            }
        }
        OrderEnd::NotTaken
    }

    /// Asks the leader once.
    async fn try_order(self: &Rc<Self>, order: FleetOrder) -> OrderEnd {
        let own = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let leader = own.map(|id| id.0).or(self.view.borrow().leader);
        let verdict = match leader {
            None => return OrderEnd::NotTaken,
            Some(leader) if leader == self.id => {
                tokio::time::timeout(REPLY_TIME, self.order_here(order)).await.ok()
            }
            Some(leader) => self.order_at(leader, order).await,
        };
        let Some(verdict) = verdict else { return OrderEnd::NotTaken };
        self.apply_zone_orders(verdict.zones);
        self.apply_rollouts(verdict.rollouts);
        verdict.end
    }

    async fn order_at(&self, leader: VmId, order: FleetOrder) -> Option<OrderVerdict> {
        let (sender, receiver) = oneshot::channel();
        let question = self.draw() ^ self.now_ms();
        self.orders.borrow_mut().asked.insert(question, sender);
        self.links.send(leader, &VmMessage::Order { question, order });
        let verdict = tokio::time::timeout(REPLY_TIME, receiver).await;
        self.orders.borrow_mut().asked.remove(&question);
        verdict.ok()?.ok()
    }

    /// Takes an order here, as the leader.
    async fn order_here(&self, order: FleetOrder) -> OrderVerdict {
        let command = match self.command_of(order) {
            Ok(command) => command,
            Err(end) => return self.order_verdict(end),
        };
        let now_ms = self.now_ms();
        let proposed =
            self.keeper.borrow_mut().as_mut().map(|keeper| keeper.order(command, now_ms));
        let taken = match proposed {
            Some((receiver, outcome)) => {
                self.carry_out(outcome);
                receiver.await.unwrap_or(false)
            }
            None => false,
        };
        self.order_verdict(if taken { OrderEnd::Taken } else { OrderEnd::NotTaken })
    }

    /// The command that an order asks for; what became of it, when there is none to propose.
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
            FleetOrder::Rollout(wish) => self.rollout_command(keeper, wish),
            FleetOrder::RollBack { service, number } => {
                self.roll_back_command(keeper, &service, number)
            }
        }
    }

    fn order_verdict(&self, end: OrderEnd) -> OrderVerdict {
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

    /// Another VM asks this one to take an order.
    pub(super) async fn answer_order(self: Rc<Self>, from: VmId, question: u64, order: FleetOrder) {
        let verdict = self.order_here(order).await;
        self.links.send(from, &VmMessage::OrderReply { question, verdict });
    }

    /// The leader answers.
    pub(super) fn receive_order_reply(&self, question: u64, verdict: OrderVerdict) {
        if let Some(asker) = self.orders.borrow_mut().asked.remove(&question) {
            // The operator may have given up by now.
            let _ = asker.send(verdict);
        }
    }
}
