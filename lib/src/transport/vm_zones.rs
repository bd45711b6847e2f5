//! Orders that evacuate availability zones or return them: how operators give them, and how they affect
//! this VM's choice of upstreams. See `docs/design/zones.md`.

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

/// The most bytes that are read of an order's body, which should be empty.
const MAX_BODY_BYTES: usize = 64;

/// Serves an operator's order to evacuate a zone, or to return it to service.
pub async fn order_zone(
    node: Rc<VmNode>,
    request: Request<Incoming>,
    zone: String,
    evacuate: bool,
) -> Response<AnswerBody> {
    let arrived_ms = node.now_ms();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    if !body.is_ok_and(|body| body.to_bytes().is_empty()) {
        return own_answer(StatusCode::BAD_REQUEST, "an order of a zone has no body");
    }
    if !node.has_zone(&zone) {
        info!(target: "control", zone, "refuses an order for an unknown zone");
        return own_answer(StatusCode::BAD_REQUEST, format!("zone '{zone}' is not known"));
    }
    let order = || {
        let number = node.zones.borrow().watch.orders.last_number(&zone) + 1;
        FleetOrder::Zone(ZoneOrder { zone: zone.clone(), number, evacuated: evacuate })
    };
    if node.order_until(arrived_ms, order).await == OrderEnd::Taken {
        info!(target: "control", zone, emptied = evacuate, "an order for a zone is accepted");
        return own_answer(StatusCode::OK, "{}");
    }
    info!(target: "control", zone, emptied = evacuate, "an order was not confirmed as accepted in time");
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not known to be taken", 300)
}

impl VmNode {
    /// Whether a zone is in the settings or has an upstream.
    fn has_zone(&self, zone: &str) -> bool {
        self.settings.borrow().zones.iter().any(|known| known == zone)
            || self.upstreams.borrow().entries.values().any(|entry| entry.zone == zone)
    }

    /// The names of all zones in the settings, of upstreams, and of orders.
    pub(super) fn known_zones(&self) -> BTreeSet<String> {
        let mut zones: BTreeSet<String> = self.settings.borrow().zones.iter().cloned().collect();
        let upstreams = self.upstreams.borrow();
        zones.extend(upstreams.entries.values().map(|entry| entry.zone.clone()));
        let state = self.zones.borrow();
        zones.extend(state.watch.orders.rows().iter().map(|row| row.zone.clone()));
        zones
    }

    /// Applies the zones' orders that a leader sent.
    pub(super) fn apply_zone_orders(&self, orders: ZoneOrders) {
        let changes = self.zones.borrow_mut().watch.take(orders, self.now_ms());
        for change in changes {
            match change.evacuated {
                true => info!(target: "zones", zone = change.zone, "gets nothing more"),
                false => info!(target: "zones", zone = change.zone, "is taken back"),
            }
        }
    }

    /// Whether this VM sends nothing new to an upstream that isn't leaving: its zone is evacuated, or
    /// it is cold and this VM has used up its share of the upstream's limit. `cold_per_s` is that limit,
    /// in requests a second at a cold upstream of the service; 0 for none.
    pub(super) fn is_withheld(&self, entry: &UpstreamEntry, cold_per_s: f64) -> bool {
        let state = self.zones.borrow();
        if state.watch.is_evacuated(&entry.zone) {
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
        !state.cold.may_send(entry.key(), cold_per_s, &fleet, self.now_ms())
    }

    /// Whether an upstream is cold or may be, and has a limit on requests while it is.
    fn is_cold(&self, entry: &UpstreamEntry, cold_per_s: f64) -> bool {
        if cold_per_s <= 0.0 {
            return false;
        }
        let lag_ms = self.settings.borrow().list.lag_ms;
        let news_ms = self.upstreams.borrow().confirmed_ms;
        entry.cold || self.zones.borrow().watch.may_be_cold(&entry.zone, news_ms, lag_ms)
    }

    /// Counts a request that is about to be sent to an upstream, if the upstream is cold.
    pub(super) fn note_send(&self, entry: &UpstreamEntry, cold_per_s: f64) {
        if self.is_cold(entry, cold_per_s) {
            let now_ms = self.now_ms();
            self.zones.borrow_mut().cold.note(entry.key(), now_ms);
        }
    }
}
