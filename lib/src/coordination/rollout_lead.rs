//! Decides the next step of a roll-out on the leader, from the reports of the VMs.
//!
//! Every keeper notes when it received an order, so that the next leader can derive how long the
//! order has run. Invariants: a step follows from the row in the log alone, so two leaders can't
//! take different steps from the same row; the elapsed time is overestimated rather than
//! underestimated, so an order never runs longer than its operator allowed. See
//! `docs/design/rollouts.md`.

use std::collections::{BTreeSet, HashMap};

use super::rollout_evidence::EvidenceTable;
use super::rollout_verdict::{answer_figures, has_enough_answers, VerdictState};
use super::rollout_watch::RolloutReport;
use super::vm_roster::ROW_KEEP_MS;
use crate::state::rollout_order::{RolloutPhase, RolloutRow, RolloutStep, VersionKey};

/// How long before the deadline the end of an order is proposed, in milliseconds. The step has to
/// be committed before the deadline, even if a disk takes 50 ms per sync and one message is lost.
const COMMIT_MARGIN_MS: u64 = 400;
/// What a restarted keeper adds to the elapsed time that it reads from its log, in milliseconds:
/// the interval between two records of the time, and its own start.
const RESTART_LAG_MS: u64 = RECORD_TIME_MS + 1000;
/// How often the elapsed time is recorded in the log, in milliseconds.
const RECORD_TIME_MS: u64 = 2000;
/// How much later than the leader a keeper in contact receives an order through the log, at most,
/// in milliseconds.
const LOG_LAG_MS: u64 = 200;
/// How long a new leader neither moves traffic nor ends an order, unless it finds the target
/// unsound, in milliseconds: two renewals of each VM. Earlier it lacks the reports of some VMs.
const COLLECT_MS: u64 = 700;
/// The minimum time for moving the traffic, in milliseconds: three renewals, in which each VM
/// receives the step, sends to the target only, and reports that nothing is left in flight
/// elsewhere.
const MIN_MOVE_MS: u64 = 1500;
/// The time for moving the traffic, as a multiple of the mean time that a request stays at an
/// upstream. If durations spread by a factor of e, few requests take longer.
const MOVE_HOLD_FACTOR: f64 = 4.0;

/// The state of a service's upstreams as far as the leader has it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStatus {
    /// The number of the target's upstreams that take work and have finished their cold start.
    pub available: usize,
    /// The number of upstreams of other versions that take work.
    pub others: usize,
    /// The other versions that the service's upstreams have.
    pub other_versions: Vec<VersionKey>,
    /// The number of requests in flight at all upstreams of the service.
    pub in_flight: u32,
    /// The number of requests that one upstream runs at once, or 0 if unknown.
    pub slots: u32,
    /// The mean time that a request stays at an upstream, in milliseconds.
    pub hold_ms: f64,
}

impl TargetStatus {
    /// Returns whether the target's upstreams can take all traffic of the service.
    fn has_capacity(&self) -> bool {
        let enough_slots = match self.slots {
            0 => self.available * 2 >= self.others,
            slots => self.available * slots as usize >= self.in_flight as usize,
        };
        self.available > 0 && enough_slots
    }

    /// Returns how long before its deadline an order starts to move the traffic, in milliseconds.
    fn move_ms(&self, duration_ms: u64) -> u64 {
        let move_ms = (MOVE_HOLD_FACTOR * self.hold_ms) as u64 + COMMIT_MARGIN_MS;
        move_ms.max(MIN_MOVE_MS).min(duration_ms / 2)
    }
}

/// A step to propose, with its reason.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedStep {
    /// The step.
    pub step: RolloutStep,
    /// The reason, for the log. Empty if the step only records the elapsed time.
    pub why: String,
}

/// One VM's last report on its progress with an order.
#[derive(Clone, Debug)]
struct VmConfirmation {
    step: u64,
    in_flight: u32,
    reported_ms: u64,
}

/// A keeper's state of one order.
#[derive(Clone, Debug)]
struct OrderState {
    number: u64,
    /// The time at which `spent_ms` was the elapsed time of the order, in milliseconds.
    at_ms: u64,
    spent_ms: u64,
    reports: OrderReports,
}

/// The reports of the VMs to the leader of the current term, on one order.
#[derive(Clone, Debug, Default)]
struct OrderReports {
    evidence: EvidenceTable,
    verdict: VerdictState,
    confirmations: HashMap<u32, VmConfirmation>,
}

impl OrderState {
    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.spent_ms + now_ms.saturating_sub(self.at_ms)
    }

    /// Returns the empty reports of a leader that takes over now.
    fn fresh_reports(&self, now_ms: u64) -> OrderReports {
        let verdict = VerdictState::of_order(self.elapsed_ms(now_ms));
        OrderReports { verdict, ..OrderReports::default() }
    }

    /// Returns whether each of these VMs recently reported that it has the last step and no request
    /// in flight at upstreams of other versions.
    fn all_confirm(&self, step: u64, vms: &BTreeSet<u32>, now_ms: u64) -> bool {
        vms.iter().all(|vm| {
            self.reports.confirmations.get(vm).is_some_and(|confirmation| {
                let fresh = confirmation.reported_ms + ROW_KEEP_MS > now_ms;
                fresh && confirmation.step == step && confirmation.in_flight == 0
            })
        })
    }
}

/// One keeper's state of the last order of each service, from which it proposes steps while it
/// leads.
#[derive(Clone, Debug, Default)]
pub struct RolloutController {
    orders: HashMap<String, OrderState>,
    /// Whether the log was read before. An order found at the first reading was taken before the
    /// start of this process.
    has_observed: bool,
    term: u64,
}

impl RolloutController {
    /// Notes which orders there are and since when. Every keeper calls this frequently.
    pub fn observe(&mut self, rows: &[RolloutRow], now_ms: u64) {
        let lag_ms = if self.has_observed { LOG_LAG_MS } else { RESTART_LAG_MS };
        self.has_observed = true;
        self.orders.retain(|service, order| {
            let own = |row: &&RolloutRow| row.order.service == *service;
            rows.iter().find(own).is_some_and(|row| row.order.number == order.number)
        });
        for row in rows {
            let begun = || OrderState {
                number: row.order.number,
                at_ms: now_ms,
                spent_ms: row.spent_ms + lag_ms,
                reports: OrderReports::default(),
            };
            let order = self.orders.entry(row.order.service.clone()).or_insert_with(begun);
            if order.elapsed_ms(now_ms) < row.spent_ms {
                (order.at_ms, order.spent_ms) = (now_ms, row.spent_ms);
            }
        }
    }

    /// Returns how long ago the last order of a service was taken, in milliseconds, whether it
    /// still runs or not.
    pub fn elapsed_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        self.orders.get(service).map(|order| order.elapsed_ms(now_ms))
    }

    /// Adds the reports of one incarnation of a VM to the leader of `term`. With a new term all
    /// earlier reports are dropped.
    pub fn take(
        &mut self,
        term: u64,
        vm: u32,
        incarnation: u64,
        reports: Vec<RolloutReport>,
        now_ms: u64,
    ) {
        if term != self.term {
            self.term = term;
            self.orders.values_mut().for_each(|order| order.reports = order.fresh_reports(now_ms));
        }
        for report in reports {
            let orders = self.orders.iter_mut();
            let found = orders
                .map(|(service, order)| (VersionKey::of(service), order))
                .find(|(key, order)| *key == report.service && order.number == report.number);
            let Some((_, order)) = found else { continue };
            let confirmation = VmConfirmation {
                step: report.step,
                in_flight: report.base_in_flight,
                reported_ms: now_ms,
            };
            order.reports.confirmations.insert(vm, confirmation);
            order.reports.evidence.take(vm, incarnation, report.rows);
        }
    }

    /// Returns the steps to propose now. `led_ms` is how long this keeper has led, `vms` the VMs
    /// that it receives renewals from, and `status` returns the state of an order's upstreams.
    pub fn next_steps(
        &mut self,
        rows: &[RolloutRow],
        vms: &BTreeSet<u32>,
        status: impl Fn(&RolloutRow) -> TargetStatus,
        led_ms: u64,
        now_ms: u64,
    ) -> Vec<ProposedStep> {
        let running = rows.iter().filter(|row| !row.phase.is_end());
        let mut steps = Vec::new();
        for row in running {
            let Some(order) = self.orders.get_mut(&row.order.service) else { continue };
            let status = status(row);
            steps.extend(next_step(row, order, vms, &status, led_ms, now_ms));
        }
        steps
    }
}

/// Decides the next step of one order, or returns `None` if there is nothing to change or record.
fn next_step(
    row: &RolloutRow,
    order: &mut OrderState,
    vms: &BTreeSet<u32>,
    status: &TargetStatus,
    led_ms: u64,
    now_ms: u64,
) -> Option<ProposedStep> {
    let elapsed_ms = order.elapsed_ms(now_ms);
    let left_ms = row.order.duration_ms.saturating_sub(elapsed_ms);
    let sums = order.reports.evidence.sums();
    let to =
        |phase, why: String| Some(ProposedStep { step: row.next_step(phase, elapsed_ms), why });
    if let Some(finding) = order.reports.verdict.judge(&sums, now_ms) {
        return to(RolloutPhase::RolledBack, format!("it {finding}"));
    }
    let collected = led_ms >= COLLECT_MS;
    let late = left_ms <= COMMIT_MARGIN_MS;
    match row.phase {
        RolloutPhase::Trial => {
            let due = left_ms <= status.move_ms(row.order.duration_ms);
            let has_requests = sums.iter().any(|row| row.all() > 0);
            let is_conclusive = has_enough_answers(&sums) || !has_requests;
            if due && collected && is_conclusive && status.has_capacity() && !late {
                if let Some(finding) = order.reports.verdict.likely_unsound(&sums) {
                    return to(
                        RolloutPhase::RolledBack,
                        format!("it is likely unsound: it {finding}"),
                    );
                }
                let figures = answer_figures(&sums);
                let why = format!("nothing shows that it is unsound: {figures}");
                return to(RolloutPhase::Shift, why);
            }
            if late && collected {
                let why =
                    if status.has_capacity() { "too few answers of the target" } else { "no room" };
                return to(RolloutPhase::RolledBack, format!("{why} by the deadline"));
            }
        }
        RolloutPhase::Shift => {
            let confirmed = collected && order.all_confirm(row.step, vms, now_ms);
            if confirmed || late {
                let why = if confirmed {
                    "all VMs have moved their traffic"
                } else {
                    "the deadline is near"
                };
                let mut step = row.next_step(RolloutPhase::Complete, elapsed_ms);
                step.retired = status.other_versions.clone();
                return Some(ProposedStep { step, why: why.to_string() });
            }
        }
        RolloutPhase::Complete | RolloutPhase::RolledBack => return None,
    }
    let due = elapsed_ms >= row.spent_ms + RECORD_TIME_MS;
    due.then(|| ProposedStep { step: row.next_step(row.phase, elapsed_ms), why: String::new() })
}
