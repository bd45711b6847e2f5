//! What one VM holds of roll-outs: what it knows, and what its keeper decides while it leads.

use std::collections::BTreeSet;

use super::rollout_evidence::TrialOutcome;
use super::rollout_lead::{ProposedStep, RolloutLead, TargetStanding};
use super::rollout_share::ExposureBound;
use super::rollout_watch::{RolloutNews, RolloutNote, RolloutWatch, TrialTag};
use crate::state::rollout_order::{RolloutRow, RolloutStep, RolloutTable};

/// How often the leader looks at the evidence, in milliseconds.
const LOOK_MS: u64 = 50;
/// A step that isn't committed after this long is proposed again, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 500;

/// What a VM knows of roll-outs, and what its keeper decides while it leads.
pub struct RolloutDesk {
    life: u64,
    watch: RolloutWatch,
    lead: RolloutLead,
    looked_ms: u64,
    /// Of each service the step that was proposed last, and when.
    proposed: Vec<(RolloutStep, u64)>,
    renewed_ms: u64,
}

impl RolloutDesk {
    /// A desk of a process; `seed` is another one in each of its lives.
    pub fn new(seed: u64) -> RolloutDesk {
        RolloutDesk {
            life: seed,
            watch: RolloutWatch::default(),
            lead: RolloutLead::default(),
            looked_ms: 0,
            proposed: Vec::new(),
            renewed_ms: 0,
        }
    }

    /// This life of the process.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// What the VM knows.
    pub fn watch(&self) -> &RolloutWatch {
        &self.watch
    }

    /// The same, to note sends and their ends.
    pub fn watch_mut(&mut self) -> &mut RolloutWatch {
        &mut self.watch
    }

    /// Takes the orders as a leader sent them; returns what is new.
    pub fn take(&mut self, table: RolloutTable, bound: ExposureBound) -> Vec<RolloutNews> {
        self.watch.take(table, bound, self.life)
    }

    /// Takes what a life of a VM reports to the leader of `term`.
    pub fn take_notes(
        &mut self,
        term: u64,
        vm: u32,
        life: u64,
        notes: Vec<RolloutNote>,
        now_ms: u64,
    ) {
        self.lead.take(term, vm, life, notes, now_ms);
    }

    /// A send has ended. True when the leader should be notified at once: something is bad, and it
    /// wasn't notified within `pause_ms`.
    pub fn note_end(
        &mut self,
        tag: &TrialTag,
        outcome: &TrialOutcome,
        pause_ms: u64,
        now_ms: u64,
    ) -> bool {
        let soon = self.watch.note_end(tag, outcome) && self.renewed_ms + pause_ms <= now_ms;
        if soon {
            self.renewed_ms = now_ms;
        }
        soon
    }

    /// How long ago the last order of a service was taken, in milliseconds.
    pub fn elapsed_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        self.lead.elapsed_ms(service, now_ms)
    }

    /// Notes what a keeper's record holds, also while that is nothing: an order that is there at the
    /// first look is one of before. True when a leader should look at the evidence now.
    pub fn look(&mut self, rows: &[RolloutRow], now_ms: u64) -> bool {
        let due = self.looked_ms + LOOK_MS <= now_ms;
        if due {
            self.looked_ms = now_ms;
            self.lead.observe(rows, now_ms);
        }
        due && !rows.is_empty()
    }

    /// The steps to propose now, but for one that is on its way to the log already; see
    /// [`RolloutLead::next_steps`].
    pub fn next_steps(
        &mut self,
        rows: &[RolloutRow],
        vms: &BTreeSet<u32>,
        standing: impl Fn(&RolloutRow) -> TargetStanding,
        led_ms: u64,
        now_ms: u64,
    ) -> Vec<ProposedStep> {
        let mut steps = self.lead.next_steps(rows, vms, standing, led_ms, now_ms);
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
