//! Orders of availability zones: from an operator to the leader, and from the leader's grants into
//! this VM's choice of upstreams. See `docs/design/zones.md`.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tokio::sync::oneshot;
use tracing::info;

use super::vm_front::{own_answer, refusal};
use super::vm_node::VmNode;
use super::vm_relay::AnswerBody;
use crate::coordination::cold_share::{ColdSends, FleetStanding};
use crate::coordination::zone_watch::ZoneWatch;
use crate::protocol::vm_wire::{VmId, VmMessage};
use crate::state::upstream_list::UpstreamEntry;
use crate::state::zone_order::{ZoneOrder, ZoneOrders};

/// An order is tried for this long: operators go on to another VM after a second without an answer,
/// and from then on this VM must not send it any more, or it could come after a later one.
const ORDER_MS: u64 = 850;
/// How long the leader is waited for before the order is sent again.
const REPLY_TIME: Duration = Duration::from_millis(400);
/// How long an order waits before it looks for the leader again.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// An order has no body; what is longer than this is not read.
const BODY_BYTES: usize = 64;

/// What the leader answers to an order.
pub struct ZoneVerdict {
    /// Whether it was taken.
    pub taken: bool,
    /// The last orders, as the leader holds them.
    pub orders: ZoneOrders,
}

/// What a VM knows of zones, what it sent to cold upstreams, and whom it asked for what.
#[derive(Default)]
pub struct ZoneDesk {
    /// The orders.
    pub watch: ZoneWatch,
    /// What it sent to cold upstreams.
    pub cold: ColdSends,
    /// Orders that a leader elsewhere was asked to take.
    asked: HashMap<u64, oneshot::Sender<ZoneVerdict>>,
}

/// Serves an operator's order to empty a zone, or to take it back.
pub async fn order_zone(
    node: Rc<VmNode>,
    request: Request<Incoming>,
    zone: String,
    emptied: bool,
) -> Response<AnswerBody> {
    let arrived_ms = node.now_ms();
    let body = Limited::new(request.into_body(), BODY_BYTES).collect().await;
    if !body.is_ok_and(|body| body.to_bytes().is_empty()) {
        return own_answer(StatusCode::BAD_REQUEST, "an order of a zone has no body");
    }
    if !node.knows_zone(&zone) {
        info!(target: "control", zone, "refuses an order of a zone that isn't known");
        return own_answer(StatusCode::BAD_REQUEST, format!("zone '{zone}' is not known"));
    }
    while node.now_ms() < arrived_ms + ORDER_MS {
        if node.try_order(&zone, emptied).await {
            info!(target: "control", zone, emptied, "an order of a zone is taken");
            return own_answer(StatusCode::OK, "{}");
        }
        tokio::time::sleep(LOOK_AGAIN).await;
    }
    info!(target: "control", zone, emptied, "an order is not known to be taken in time");
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not known to be taken", 300)
}

impl VmNode {
    fn knows_zone(&self, zone: &str) -> bool {
        self.settings.borrow().zones.iter().any(|known| known == zone)
            || self.upstreams.borrow().entries.values().any(|entry| entry.zone == zone)
    }

    /// Asks the leader once; true when the order is surely taken.
    async fn try_order(self: &Rc<Self>, zone: &str, emptied: bool) -> bool {
        let number = self.zones.borrow().watch.orders.last_number(zone) + 1;
        let order = ZoneOrder { zone: zone.to_string(), number, emptied };
        let own = self.keeper.borrow().as_ref().and_then(|keeper| keeper.leader());
        let leader = own.map(|id| id.0).or(self.view.borrow().leader);
        let verdict = match leader {
            None => return false,
            Some(leader) if leader == self.id => {
                tokio::time::timeout(REPLY_TIME, self.order_here(order)).await.ok()
            }
            Some(leader) => self.order_at(leader, order).await,
        };
        let Some(verdict) = verdict else { return false };
        self.take_zones(verdict.orders);
        verdict.taken
    }

    async fn order_at(&self, leader: VmId, order: ZoneOrder) -> Option<ZoneVerdict> {
        let (sender, receiver) = oneshot::channel();
        let question = self.draw() ^ self.now_ms();
        self.zones.borrow_mut().asked.insert(question, sender);
        self.links.send(leader, &VmMessage::ZoneOrder { question, order });
        let verdict = tokio::time::timeout(REPLY_TIME, receiver).await;
        self.zones.borrow_mut().asked.remove(&question);
        verdict.ok()?.ok()
    }

    /// Proposes an order here, as the leader.
    async fn order_here(&self, order: ZoneOrder) -> ZoneVerdict {
        let now_ms = self.now_ms();
        let proposed = match self.keeper.borrow_mut().as_mut() {
            Some(keeper) => {
                let after = keeper.record.zones.last_number(&order.zone);
                let fits = order.number == after + 1;
                fits.then(|| keeper.order_zone(order, now_ms))
            }
            None => None,
        };
        let taken = match proposed {
            Some((receiver, outcome)) => {
                self.carry_out(outcome);
                receiver.await.unwrap_or(false)
            }
            None => false,
        };
        let keeper = self.keeper.borrow();
        let orders = keeper.as_ref().map(|keeper| keeper.record.zones.clone());
        ZoneVerdict { taken, orders: orders.unwrap_or_default() }
    }

    /// Another VM asks this one to take an order.
    pub(super) async fn answer_order(self: Rc<Self>, from: VmId, question: u64, order: ZoneOrder) {
        let ZoneVerdict { taken, orders } = self.order_here(order).await;
        self.links.send(from, &VmMessage::ZoneReply { question, taken, orders });
    }

    /// The leader answers.
    pub(super) fn take_order_reply(&self, question: u64, verdict: ZoneVerdict) {
        if let Some(asker) = self.zones.borrow_mut().asked.remove(&question) {
            // Whoever asked may have given up by now.
            let _ = asker.send(verdict);
        }
    }

    /// Takes the last orders of zones as a leader told them.
    pub(super) fn take_zones(&self, orders: ZoneOrders) {
        let changes = self.zones.borrow_mut().watch.take(orders, self.now_ms());
        for change in changes {
            match change.emptied {
                true => info!(target: "zones", zone = change.zone, "gets nothing more"),
                false => info!(target: "zones", zone = change.zone, "is taken back"),
            }
        }
    }

    /// Whether this VM sends nothing new to an upstream, though it doesn't leave: its zone is
    /// emptied, or it is cold and this VM's share of what it bears is used up. `cold_per_s` is what
    /// a cold upstream of its service bears; 0 where a deployment sets no bound.
    pub(super) fn is_withheld(&self, entry: &UpstreamEntry, cold_per_s: f64) -> bool {
        let desk = self.zones.borrow();
        if desk.watch.is_emptied(&entry.zone) {
            return true;
        }
        if !self.is_cold(entry, cold_per_s) {
            return false;
        }
        let view = self.view.borrow();
        let fleet = FleetStanding {
            id: self.id,
            vms: &view.roster.rows,
            first_heard_ms: view.first_heard_ms,
            heard_ms: view.heard_ms,
        };
        !desk.cold.may_send(entry.key(), cold_per_s, &fleet, self.now_ms())
    }

    fn is_cold(&self, entry: &UpstreamEntry, cold_per_s: f64) -> bool {
        if cold_per_s <= 0.0 {
            return false;
        }
        let lag_ms = self.settings.borrow().list.lag_ms;
        let news_ms = self.upstreams.borrow().news_ms;
        entry.cold || self.zones.borrow().watch.may_be_cold(&entry.zone, news_ms, lag_ms)
    }

    /// A request is about to go to an upstream; counts it if that is cold.
    pub(super) fn note_send(&self, entry: &UpstreamEntry, cold_per_s: f64) {
        if self.is_cold(entry, cold_per_s) {
            let now_ms = self.now_ms();
            self.zones.borrow_mut().cold.note(entry.key(), now_ms);
        }
    }
}
