//! The state of roll-outs on one VM: its copy of the orders with its counts, and the decisions of
//! its keeper while that leads.

use std::collections::BTreeSet;

use super::rollout_evidence::TrialOutcome;
use super::rollout_lead::{ProposedStep, RolloutController, TargetStatus};
use super::rollout_share::ExposureBound;
use super::rollout_watch::{PhaseChange, RolloutReport, RolloutTracker, TrialTag};
use crate::state::rollout_order::{RolloutRow, RolloutStep, RolloutTable};

/// How often the leader evaluates the evidence, in milliseconds.
const EVALUATE_MS: u64 = 50;
/// A step that isn't committed after this time is proposed again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 500;

/// The roll-out state of a VM and of its keeper.
pub struct RolloutState {
    incarnation: u64,
    tracker: RolloutTracker,
    controller: RolloutController,
    observed_ms: u64,
    /// The step of each service that was proposed last, with the time of the proposal in
    /// milliseconds.
    proposed: Vec<(RolloutStep, u64)>,
    renewed_ms: u64,
}

impl RolloutState {
    /// Creates the state of a process. `seed` identifies the incarnation of the process and differs
    /// between incarnations.
    pub fn new(seed: u64) -> RolloutState {
        RolloutState {
            incarnation: seed,
            tracker: RolloutTracker::default(),
            controller: RolloutController::default(),
            observed_ms: 0,
            proposed: Vec::new(),
            renewed_ms: 0,
        }
    }

    /// Returns the incarnation of the process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the orders and counts of the VM.
    pub fn tracker(&self) -> &RolloutTracker {
        &self.tracker
    }

    /// Returns the orders and counts of the VM for updates.
    pub fn tracker_mut(&mut self) -> &mut RolloutTracker {
        &mut self.tracker
    }

    /// Takes the orders that a leader sent, and returns the changes of phases.
    pub fn take(&mut self, table: RolloutTable, bound: ExposureBound) -> Vec<PhaseChange> {
        self.tracker.take(table, bound, self.incarnation)
    }

    /// Takes the reports of one incarnation of a VM to the leader of `term`.
    pub fn take_reports(
        &mut self,
        term: u64,
        vm: u32,
        incarnation: u64,
        reports: Vec<RolloutReport>,
        now_ms: u64,
    ) {
        self.controller.take(term, vm, incarnation, reports, now_ms);
    }

    /// Counts the outcome of a request. Returns true if the leader should get a report at once: the
    /// target failed, and there was no extra report within the last `pause_ms`.
    pub fn note_end(
        &mut self,
        tag: &TrialTag,
        outcome: &TrialOutcome,
        pause_ms: u64,
        now_ms: u64,
    ) -> bool {
        let soon = self.tracker.note_end(tag, outcome) && self.renewed_ms + pause_ms <= now_ms;
        if soon {
            self.renewed_ms = now_ms;
        }
        soon
    }

    /// Returns how long ago the last order of a service was taken, in milliseconds.
    pub fn elapsed_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        self.controller.elapsed_ms(service, now_ms)
    }

    /// Notes the orders in a keeper's record. It is called with an empty record too, because an
    /// order that is found at the first call counts as older than this process. Returns true if a
    /// leader should evaluate the evidence now.
    pub fn look(&mut self, rows: &[RolloutRow], now_ms: u64) -> bool {
        let due = self.observed_ms + EVALUATE_MS <= now_ms;
        if due {
            self.observed_ms = now_ms;
            self.controller.observe(rows, now_ms);
        }
        due && !rows.is_empty()
    }

    /// Returns the steps to propose now, without those that were proposed recently; see
    /// [`RolloutController::next_steps`].
    pub fn next_steps(
        &mut self,
        rows: &[RolloutRow],
        vms: &BTreeSet<u32>,
        status: impl Fn(&RolloutRow) -> TargetStatus,
        led_ms: u64,
        now_ms: u64,
    ) -> Vec<ProposedStep> {
        let mut steps = self.controller.next_steps(rows, vms, status, led_ms, now_ms);
        steps.retain(|proposed| !self.is_proposed(&proposed.step, now_ms));
        for proposed in &steps {
            self.proposed.retain(|(known, _)| known.service != proposed.step.service);
            self.proposed.push((proposed.step.clone(), now_ms));
        }
        steps
    }

    fn is_proposed(&self, step: &RolloutStep, now_ms: u64) -> bool {
        self.proposed.iter().any(|(known, at_ms)| {
            let same = (&known.service, known.number, known.step, known.phase)
                == (&step.service, step.number, step.step, step.phase);
            same && at_ms + PROPOSE_AGAIN_MS > now_ms
        })
    }
}
