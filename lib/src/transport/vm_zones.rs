//! Orders of availability zones: from an operator, and from the leader's grants into this VM's choice
//! of upstreams. See `docs/design/zones.md`.

use std::collections::BTreeSet;
use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tracing::info;

use super::vm_answer::{own_answer, refusal};
use super::vm_node::VmNode;
use super::vm_relay::AnswerBody;
use crate::coordination::cold_share::FleetStatus;
use crate::protocol::vm_wire::{FleetOrder, OrderEnd};
use crate::state::upstream_list::UpstreamEntry;
use crate::state::zone_order::{ZoneOrder, ZoneOrders};

/// An order has no body; what is longer than this is not read.
const BODY_BYTES: usize = 64;

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
    let order = || {
        let number = node.zones.borrow().watch.orders.last_number(&zone) + 1;
        FleetOrder::Zone(ZoneOrder { zone: zone.clone(), number, emptied })
    };
    if node.order_until(arrived_ms, order).await == OrderEnd::Taken {
        info!(target: "control", zone, emptied, "an order of a zone is taken");
        return own_answer(StatusCode::OK, "{}");
    }
    info!(target: "control", zone, emptied, "an order is not known to be taken in time");
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not known to be taken", 300)
}

impl VmNode {
    fn knows_zone(&self, zone: &str) -> bool {
        self.settings.borrow().zones.iter().any(|known| known == zone)
            || self.upstreams.borrow().entries.values().any(|entry| entry.zone == zone)
    }

    /// All zones that this VM knows, by name: of its settings, of upstreams, and those that ever got
    /// an order.
    pub(super) fn known_zones(&self) -> BTreeSet<String> {
        let mut zones: BTreeSet<String> = self.settings.borrow().zones.iter().cloned().collect();
        let upstreams = self.upstreams.borrow();
        zones.extend(upstreams.entries.values().map(|entry| entry.zone.clone()));
        let desk = self.zones.borrow();
        zones.extend(desk.watch.orders.rows().iter().map(|row| row.zone.clone()));
        zones
    }

    /// Takes the last orders of zones as a leader sent them.
    pub(super) fn apply_zone_orders(&self, orders: ZoneOrders) {
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
        let fleet = FleetStatus {
            id: self.id,
            vms: &view.roster.rows,
            first_contact_ms: view.first_contact_ms,
            last_contact_ms: view.last_contact_ms,
        };
        !desk.cold.may_send(entry.key(), cold_per_s, &fleet, self.now_ms())
    }

    fn is_cold(&self, entry: &UpstreamEntry, cold_per_s: f64) -> bool {
        if cold_per_s <= 0.0 {
            return false;
        }
        let lag_ms = self.settings.borrow().list.lag_ms;
        let news_ms = self.upstreams.borrow().confirmed_ms;
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
