//! Roll-outs on one VM: operators' calls, the leader's table, the upstreams that a request may go to, and
//! the leader's steps. The decisions are in `rollout_watch` and `rollout_lead`; this file carries them out.
//! See `docs/design/rollouts.md`.

use std::collections::BTreeSet;
use std::rc::Rc;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use tracing::info;

use super::vm_answer::{json_answer, own_answer, refusal};
use super::vm_keeper::KeeperDriver;
use super::vm_node::VmNode;
use super::vm_orders::{ANSWER_TIME, ORDER_MS};
use super::vm_relay::AnswerBody;
use crate::coordination::rollout_evidence::{RolloutArm, RouteKey, TrialOutcome};
use crate::coordination::rollout_lead::{ProposedStep, TargetStatus};
use crate::coordination::rollout_share::{sharing_vms, ExposureBound};
use crate::coordination::rollout_watch::{RolloutLane, RolloutReport, TrialTag, VersionRule};
use crate::coordination::vm_roster::overloaded_renew_ms;
use crate::protocol::vm_wire::{FleetOrder, OrderEnd, RolloutRequest, VmDatagram, VmId};
use crate::protocol::wire_adapter::RolloutCall;
use crate::state::finding::Finding;
use crate::state::fleet_record::FleetCommand;
use crate::state::rollout_order::{
    RolloutCommand, RolloutOrder, RolloutPhase, RolloutRow, RolloutTable, VersionKey,
};
use crate::state::route_table::RouteRule;
use crate::state::upstream_list::UpstreamEntry;

/// The largest body of an order, in bytes.
const MAX_BODY_BYTES: usize = 4096;

/// Serves an operator's call that starts a roll-out, in the platform's format.
pub async fn start_rollout(node: Rc<VmNode>, request: Request<Incoming>) -> Response<AnswerBody> {
    let adapter = &node.adapter;
    let read = |body: &[u8]| adapter.read_rollout(body);
    let write = |findings: &[Finding]| adapter.write_findings(findings);
    match begin_rollout(&node, request, read, write).await {
        Ok(_) => own_answer(StatusCode::OK, "{}"),
        Err(refused) => refused,
    }
}

/// Reads an order that starts a roll-out and sends it to the leader. Returns the order once the leader has
/// accepted it, else the answer to the operator. `read` and `write_findings` translate from and to the
/// format of the call.
pub(super) async fn begin_rollout(
    node: &Rc<VmNode>,
    request: Request<Incoming>,
    read: impl Fn(&[u8]) -> Result<RolloutCall, Vec<Finding>>,
    write_findings: impl Fn(&[Finding]) -> String,
) -> Result<RolloutCall, Response<AnswerBody>> {
    let arrived_ms = node.now_ms();
    let bad = |text: String| own_answer(StatusCode::BAD_REQUEST, text);
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| bad(error.to_string()))?.to_bytes();
    let call = read(&body).map_err(|findings| {
        info!(target: "control", findings = findings.len(), "refuses a roll-out");
        bad(write_findings(&findings))
    })?;
    if !node.has_service(&call.service) {
        if !node.confirm(arrived_ms, ANSWER_TIME).await {
            return Err(unconfirmed_answer());
        }
        if !node.has_service(&call.service) {
            info!(target: "control", service = call.service, "refuses a roll-out, no such service");
            return Err(bad(format!("service '{}' is not known", call.service)));
        }
    }
    let end =
        node.order_until(arrived_ms, || FleetOrder::Rollout(node.rollout_request(&call))).await;
    info!(
        target: "control", service = call.service, to = call.target,
        duration_ms = call.duration_ms, ?end, "a roll-out is requested",
    );
    match end {
        OrderEnd::Taken => Ok(call),
        OrderEnd::UnderWay => {
            Err(own_answer(StatusCode::CONFLICT, "another one of it is under way"))
        }
        OrderEnd::NotTaken => Err(unconfirmed_answer()),
    }
}

/// Serves an operator's call for the state of a roll-out, in the platform's format.
pub async fn get_rollout(node: Rc<VmNode>, service: String) -> Response<AnswerBody> {
    if !node.confirm_orders(node.now_ms(), ANSWER_TIME).await {
        return unconfirmed_answer();
    }
    let state = node.rollouts.borrow();
    let Some(row) = state.tracker().table().row(&service) else {
        return own_answer(StatusCode::NOT_FOUND, "there was none of this service");
    };
    json_answer(node.adapter.write_rollout(row))
}

/// The answer to operators when the newest state could not be confirmed in time.
pub(super) fn unconfirmed_answer() -> Response<AnswerBody> {
    refusal(StatusCode::SERVICE_UNAVAILABLE, "not known what holds", 300)
}

impl VmNode {
    /// Whether the configuration in force has this service.
    fn has_service(&self, service: &str) -> bool {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .is_some_and(|routes| routes.table.services.iter().any(|s| s.name == service))
    }

    /// The order for the leader. It names the last roll-out that this VM has, so that an outdated one is not accepted.
    fn rollout_request(&self, call: &RolloutCall) -> RolloutRequest {
        let state = self.rollouts.borrow();
        RolloutRequest {
            service: call.service.clone(),
            target: call.target.clone(),
            duration_ms: call.duration_ms,
            last_number: state
                .tracker()
                .table()
                .row(&call.service)
                .map_or(0, |row| row.order.number),
        }
    }

    /// The command that starts a requested roll-out, as the leader. A repeat of the last order counts as accepted
    /// while it runs, and afterwards for as long as an operator may repeat it and a VM may try to send it.
    pub(super) fn rollout_command(
        &self,
        keeper: &KeeperDriver,
        request: RolloutRequest,
    ) -> Result<FleetCommand, OrderEnd> {
        let now_ms = self.now_ms();
        let repeat_ms = self.settings.borrow().bounds.ack_ms + ORDER_MS;
        let row = keeper.record.rollouts.row(&request.service);
        if let Some(row) = row {
            let elapsed_ms = self.rollouts.borrow().elapsed_ms(&request.service, now_ms);
            let recent = elapsed_ms.is_some_and(|elapsed_ms| elapsed_ms < repeat_ms);
            let same =
                row.order.target == request.target && row.order.duration_ms == request.duration_ms;
            if same && (!row.phase.is_end() || recent) {
                return Err(OrderEnd::Taken);
            }
            if !row.phase.is_end() {
                let confirmed = keeper.is_confirmed_leader(now_ms);
                return Err(if confirmed { OrderEnd::UnderWay } else { OrderEnd::NotTaken });
            }
        }
        let number = row.map_or(0, |row| row.order.number);
        if request.last_number != number {
            return Err(OrderEnd::NotTaken);
        }
        Ok(FleetCommand::Rollout(RolloutCommand::Start(RolloutOrder {
            service: request.service,
            number: number + 1,
            target: request.target,
            duration_ms: request.duration_ms,
            sharing_vms: sharing_vms(keeper.roster.rows().len(), keeper.led_ms(now_ms)),
        })))
    }

    /// The command that rolls back a running roll-out, as the leader.
    pub(super) fn roll_back_command(
        &self,
        keeper: &KeeperDriver,
        service: &str,
        number: u64,
    ) -> Result<FleetCommand, OrderEnd> {
        let row = keeper.record.rollouts.row(service).filter(|row| row.order.number == number);
        let Some(row) = row else { return Err(OrderEnd::NotTaken) };
        match row.phase {
            RolloutPhase::RolledBack => Err(OrderEnd::Taken),
            RolloutPhase::Complete => Err(OrderEnd::UnderWay),
            RolloutPhase::Trial | RolloutPhase::Shift => {
                let elapsed_ms = self.rollouts.borrow().elapsed_ms(service, self.now_ms());
                let spent_ms = elapsed_ms.unwrap_or(row.spent_ms);
                let step = row.next_step(RolloutPhase::RolledBack, spent_ms);
                Ok(FleetCommand::Rollout(RolloutCommand::Step(step)))
            }
        }
    }

    fn exposure_bound(&self) -> ExposureBound {
        let bounds = self.settings.borrow().bounds;
        ExposureBound { share: bounds.exposure_share, slack: bounds.exposure_slack }
    }

    /// Applies the roll-outs that a leader sent.
    pub(super) fn apply_rollouts(&self, table: RolloutTable) {
        let bound = self.exposure_bound();
        let changes = self.rollouts.borrow_mut().take(table, bound);
        for row in changes {
            info!(
                target: "rollout", service = row.service, to = row.target, number = row.number,
                phase = ?row.phase, "is known",
            );
        }
    }

    /// This VM's reports to the leader on running roll-outs.
    pub(super) fn rollout_reports(&self) -> Vec<RolloutReport> {
        let state = self.rollouts.borrow();
        if !state.tracker().table().any_running() {
            return Vec::new();
        }
        let upstreams = self.upstreams.borrow();
        let in_flight = self.in_flight.borrow();
        state.tracker().reports(|service, target| {
            let others = upstreams.of_service(service).filter(|(_, row)| row.version != target);
            others.map(|(key, _)| in_flight.get(&key).copied().unwrap_or(0)).sum()
        })
    }

    /// Records a VM's reports on roll-outs, as the leader of `term`.
    pub(super) fn record_rollout_reports(
        &self,
        term: u64,
        vm: VmId,
        incarnation: u64,
        reports: Vec<RolloutReport>,
    ) {
        let now_ms = self.now_ms();
        self.rollouts.borrow_mut().take_reports(term, vm, incarnation, reports, now_ms);
    }

    /// Notes that a request is sent to an upstream. Returns a tag for [`VmNode::note_trial`] if its service is
    /// being rolled out.
    pub(super) fn note_rollout_send(
        &self,
        service: &str,
        rule: &RouteRule,
        entry: &UpstreamEntry,
        attempt: &str,
    ) -> Option<TrialTag> {
        let mut state = self.rollouts.borrow_mut();
        if !state.tracker().is_running(service) {
            return None;
        }
        let route = RouteKey::of(&rule.host, &rule.prefix);
        let tag = state.tracker_mut().note_sent(service, route, entry.version)?;
        if tag.arm == RolloutArm::Target {
            let counts = state.tracker().counts(service);
            let row = state.tracker().table().row(service)?;
            info!(
                target: "rollout", attempt, service, to = row.order.target,
                number = row.order.number, phase = ?row.phase, why = tag.reason.text(),
                life = entry.name, sent_target = counts.target.sent, sent_all = counts.sent(),
                "goes to the version that is rolled out",
            );
        }
        Some(tag)
    }

    /// Which version a request of this route goes to; `first` is whether this is its first attempt.
    pub(super) fn rollout_lane(&self, service: &str, rule: &RouteRule, first: bool) -> RolloutLane {
        let state = self.rollouts.borrow();
        if !first || !state.tracker().is_running(service) {
            return RolloutLane::Usual;
        }
        state.tracker().lane(service, RouteKey::of(&rule.host, &rule.prefix), self.now_ms())
    }

    /// Whether requests for a service may go to its old upstreams again when the new ones have no capacity.
    pub(super) fn may_fall_back(&self, service: &str) -> bool {
        self.rollouts.borrow().tracker().may_fall_back(service)
    }

    /// Which upstreams of a service get no requests of this lane because of their versions.
    pub(super) fn version_rule(&self, service: &str, lane: RolloutLane) -> VersionRule {
        let (upstreams, state) = (self.upstreams.borrow(), self.rollouts.borrow());
        let versions = upstreams.of_service(service).map(|(_, entry)| entry.version);
        if state.tracker().is_plain(service, versions) {
            return VersionRule::default();
        }
        let (zones, outliers) = (self.zones.borrow(), self.outliers.borrow());
        let seen_ms = |key| upstreams.first_seen_ms.get(&key).copied().unwrap_or(0);
        let seen = upstreams.of_service(service).map(|(key, entry)| (entry, seen_ms(key)));
        let may_get_trial = |entry: &UpstreamEntry| {
            let key = entry.key();
            let reached = !outliers.is_down(key) && !self.is_unresponsive(key);
            entry.takes_work() && reached && !zones.watch.is_evacuated(&entry.zone)
        };
        state.tracker().rule(service, lane, seen, may_get_trial, self.now_ms())
    }

    /// Records the outcome of a send as evidence for its version, and renews at once if the leader needs it soon.
    pub(super) fn note_trial(&self, tag: &TrialTag, outcome: &TrialOutcome) {
        let now_ms = self.now_ms();
        let pause_ms = overloaded_renew_ms(self.view.borrow().roster.rows.len());
        let renew_soon = self.rollouts.borrow_mut().note_end(tag, outcome, pause_ms, now_ms);
        if renew_soon {
            self.renew();
        }
    }

    /// Proposes the steps that follow from the evidence, as the leader. Other keepers only note which roll-outs run.
    pub(super) fn propose_rollout_steps(&self) {
        let now_ms = self.now_ms();
        let proposals = {
            let keeper = self.keeper.borrow();
            let Some(keeper) = keeper.as_ref() else { return };
            let rows = keeper.record.rollouts.rows();
            let mut state = self.rollouts.borrow_mut();
            if !state.look(rows, now_ms) || !keeper.is_confirmed_leader(now_ms) {
                return;
            }
            let vms: BTreeSet<u32> = keeper.roster.rows().iter().map(|row| row.id).collect();
            let led_ms = keeper.led_ms(now_ms);
            let status = |row: &RolloutRow| self.target_status(keeper, row);
            state.next_steps(rows, &vms, status, led_ms, now_ms)
        };
        for proposal in proposals {
            self.propose_step(proposal);
        }
    }

    /// Logs a step and proposes it.
    fn propose_step(&self, proposal: ProposedStep) {
        let ProposedStep { step, why } = proposal;
        if !why.is_empty() {
            info!(
                target: "rollout", service = step.service, number = step.number,
                phase = ?step.phase, spent_ms = step.spent_ms, "decides: {why}",
            );
        }
        let command = FleetCommand::Rollout(RolloutCommand::Step(step));
        // The log shows whether it is accepted; if not, the step is proposed again.
        self.step_keeper(|keeper, now_ms| keeper.order(command, now_ms).1);
    }

    /// The state of a roll-out's target that the decision on its next step needs.
    fn target_status(&self, keeper: &KeeperDriver, row: &RolloutRow) -> TargetStatus {
        let (service, target) = (row.order.service.as_str(), row.target());
        let upstreams = self.upstreams.borrow();
        let zones = self.zones.borrow();
        let now_ms = self.now_ms();
        let silence = self.silence.borrow();
        let mut status = TargetStatus {
            slots: self.engine_slots(service).unwrap_or(0),
            hold_ms: self.mean_hold_ms(service),
            ..TargetStatus::default()
        };
        for (key, entry) in upstreams.accepting(service) {
            let available = !entry.cold
                && !zones.watch.is_evacuated(&entry.zone)
                && !silence.view.is_unresponsive(key, now_ms);
            match entry.version == target {
                true => status.available += usize::from(available),
                false => status.others += 1,
            }
        }
        let others = upstreams.of_service(service).map(|(_, entry)| entry.version);
        let others: BTreeSet<VersionKey> = others.filter(|version| *version != target).collect();
        status.other_versions = others.into_iter().collect();
        let of_service = |key| upstreams.entries.get(key).is_some_and(|row| row.service == service);
        let loads = keeper.roster.loads();
        let loads = loads.iter().filter(|load| of_service(&load.upstream));
        status.in_flight = loads.map(|load| load.requests).sum();
        status
    }

    /// How long a request takes at this service, on average, in milliseconds.
    fn mean_hold_ms(&self, service: &str) -> f64 {
        match self.engine_slots(service) {
            Some(_) => self.with_service_capacity(service, |capacity| capacity.hold_ms()),
            None => self.plain_holds.borrow().get(service).map_or(0.0, |hold| hold.mean_ms()),
        }
    }

    /// Sends the roll-outs to all VMs as soon as one began or changed its phase, as the leader. A VM that misses
    /// the datagram gets them with its next grant.
    pub(super) fn send_rollouts(&self) {
        let now_ms = self.now_ms();
        let (term, table) = match &*self.keeper.borrow() {
            Some(keeper) if keeper.is_confirmed_leader(now_ms) => {
                (keeper.term(), keeper.record.rollouts.clone())
            }
            _ => return,
        };
        self.apply_rollouts(table.clone());
        self.send_to_others(&VmDatagram::Rollouts { term, table });
    }
}
