//! Which step a roll-out takes next, as the leader decides from what VMs report.
//!
//! Every keeper notes when it first knew of an order, so that the next leader knows how long it
//! has run. Invariants: a step follows from the row in the log alone, so that two leaders can't take two
//! ways; the time spent is rather counted too long than too short, so that an order never outlasts what
//! its operator granted. See `docs/design/rollouts.md`.

use std::collections::{BTreeSet, HashMap};

use super::rollout_evidence::EvidenceTable;
use super::rollout_verdict::{answer_figures, has_enough_answers, VerdictState};
use super::rollout_watch::RolloutNote;
use super::vm_roster::ROW_KEEP_MS;
use crate::state::rollout_order::{RolloutPhase, RolloutRow, RolloutStep, VersionKey};

/// An end is proposed so long before the deadline, in milliseconds: the commit has to come before it,
/// also where a disk takes 50 ms a sync and a message is lost once.
const COMMIT_MS: u64 = 400;
/// A keeper that starts finds the time noted in its log; so much more may have passed since, in
/// milliseconds: what is between two notes, and its own start.
const RESTART_MS: u64 = NOTE_MS + 1000;
/// How often the time spent is noted in the log, in milliseconds.
const NOTE_MS: u64 = 2000;
/// A keeper that received an order by the log learned of it after the leader, by this much at most
/// while it is in contact, in milliseconds.
const LOG_LAG_MS: u64 = 200;
/// A new leader decides nothing but a roll-back for so long, in milliseconds: two renewals of each VM.
const HEAR_MS: u64 = 700;
/// The shortest time for moving traffic, in milliseconds: three renewals, so that each VM hears of it,
/// sends to the target alone, and reports that nothing runs elsewhere.
const LEAST_MOVE_MS: u64 = 1500;
/// Moving takes so many times as long as requests stay at an upstream in the mean: of lengths that
/// spread by a factor of e few are longer.
const MOVE_HOLDS: f64 = 4.0;

/// What the leader knows of a service's upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetStanding {
    /// Upstreams of the target that take work and aren't cold.
    pub able: usize,
    /// Upstreams of other versions that take work.
    pub others: usize,
    /// The versions of those that aren't of the target.
    pub other_versions: Vec<VersionKey>,
    /// Requests in flight at all of the service.
    pub in_flight: u32,
    /// Requests that one upstream of it runs at once; 0 where that isn't known.
    pub places: u32,
    /// How long a request stays at one, in the mean, in milliseconds.
    pub hold_ms: f64,
}

impl TargetStanding {
    /// Whether the target's upstreams can take the traffic.
    fn has_room(&self) -> bool {
        let enough_places = match self.places {
            0 => self.able * 2 >= self.others,
            places => self.able * places as usize >= self.in_flight as usize,
        };
        self.able > 0 && enough_places
    }

    /// How long before its deadline an order moves the traffic, in milliseconds.
    fn move_ms(&self, duration_ms: u64) -> u64 {
        let move_ms = (MOVE_HOLDS * self.hold_ms) as u64 + COMMIT_MS;
        move_ms.max(LEAST_MOVE_MS).min(duration_ms / 2)
    }
}

/// A step, and why it is taken.
#[derive(Clone, Debug, PartialEq)]
pub struct ProposedStep {
    /// The step.
    pub step: RolloutStep,
    /// For the log; empty when only the time is noted.
    pub why: String,
}

#[derive(Clone, Debug)]
struct VmConfirm {
    step: u64,
    in_flight: u32,
    reported_ms: u64,
}

#[derive(Clone, Debug)]
struct LedOrder {
    number: u64,
    /// When the time spent was `spent_ms`.
    at_ms: u64,
    spent_ms: u64,
    heard: HeardOrder,
}

/// What the VMs reported to the leader of this term.
#[derive(Clone, Debug, Default)]
struct HeardOrder {
    evidence: EvidenceTable,
    verdict: VerdictState,
    confirms: HashMap<u32, VmConfirm>,
}

impl LedOrder {
    fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.spent_ms + now_ms.saturating_sub(self.at_ms)
    }

    /// The evidence of a leader that has received none.
    fn unheard(&self, now_ms: u64) -> HeardOrder {
        let verdict = VerdictState::of_order(self.elapsed_ms(now_ms));
        HeardOrder { verdict, ..HeardOrder::default() }
    }

    /// Whether each of these VMs reports that it knows the last step and has nothing in flight at
    /// upstreams of other versions.
    fn all_confirm(&self, step: u64, vms: &BTreeSet<u32>, now_ms: u64) -> bool {
        vms.iter().all(|vm| {
            self.heard.confirms.get(vm).is_some_and(|confirm| {
                let fresh = confirm.reported_ms + ROW_KEEP_MS > now_ms;
                fresh && confirm.step == step && confirm.in_flight == 0
            })
        })
    }
}

/// What one keeper knows of the last order of each service.
#[derive(Clone, Debug, Default)]
pub struct RolloutLead {
    orders: HashMap<String, LedOrder>,
    /// Whether it has looked at the log before.
    looked: bool,
    term: u64,
}

impl RolloutLead {
    /// Notes which orders run, on every keeper, often.
    pub fn observe(&mut self, rows: &[RolloutRow], now_ms: u64) {
        let lag_ms = if self.looked { LOG_LAG_MS } else { RESTART_MS };
        self.looked = true;
        self.orders.retain(|service, order| {
            let own = |row: &&RolloutRow| row.order.service == *service;
            rows.iter().find(own).is_some_and(|row| row.order.number == order.number)
        });
        for row in rows {
            let begun = || LedOrder {
                number: row.order.number,
                at_ms: now_ms,
                spent_ms: row.spent_ms + lag_ms,
                heard: HeardOrder::default(),
            };
            let order = self.orders.entry(row.order.service.clone()).or_insert_with(begun);
            if order.elapsed_ms(now_ms) < row.spent_ms {
                (order.at_ms, order.spent_ms) = (now_ms, row.spent_ms);
            }
        }
    }

    /// How long ago the last order of a service was taken, in milliseconds, whether it runs or not.
    pub fn elapsed_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        self.orders.get(service).map(|order| order.elapsed_ms(now_ms))
    }

    /// Takes what a life of a VM reports to the leader of `term`.
    pub fn take(&mut self, term: u64, vm: u32, life: u64, notes: Vec<RolloutNote>, now_ms: u64) {
        if term != self.term {
            self.term = term;
            self.orders.values_mut().for_each(|order| order.heard = order.unheard(now_ms));
        }
        for note in notes {
            let named = self.orders.iter_mut();
            let found = named
                .map(|(service, order)| (VersionKey::of(service), order))
                .find(|(key, order)| *key == note.service && order.number == note.number);
            let Some((_, order)) = found else { continue };
            let confirm =
                VmConfirm { step: note.step, in_flight: note.base_in_flight, reported_ms: now_ms };
            order.heard.confirms.insert(vm, confirm);
            order.heard.evidence.take(vm, life, note.rows);
        }
    }

    /// The steps to propose now, as a leader that has led for `led_ms` and hears `vms`.
    pub fn next_steps(
        &mut self,
        rows: &[RolloutRow],
        vms: &BTreeSet<u32>,
        standing: impl Fn(&RolloutRow) -> TargetStanding,
        led_ms: u64,
        now_ms: u64,
    ) -> Vec<ProposedStep> {
        let running = rows.iter().filter(|row| !row.phase.is_end());
        let mut steps = Vec::new();
        for row in running {
            let Some(order) = self.orders.get_mut(&row.order.service) else { continue };
            let standing = standing(row);
            steps.extend(next_step(row, order, vms, &standing, led_ms, now_ms));
        }
        steps
    }
}

fn next_step(
    row: &RolloutRow,
    order: &mut LedOrder,
    vms: &BTreeSet<u32>,
    standing: &TargetStanding,
    led_ms: u64,
    now_ms: u64,
) -> Option<ProposedStep> {
    let elapsed_ms = order.elapsed_ms(now_ms);
    let left_ms = row.order.duration_ms.saturating_sub(elapsed_ms);
    let sums = order.heard.evidence.sums();
    let to =
        |phase, why: String| Some(ProposedStep { step: row.next_step(phase, elapsed_ms), why });
    if let Some(finding) = order.heard.verdict.judge(&sums, now_ms) {
        return to(RolloutPhase::RolledBack, format!("it {finding}"));
    }
    let heard = led_ms >= HEAR_MS;
    let late = left_ms <= COMMIT_MS;
    match row.phase {
        RolloutPhase::Trial => {
            let due = left_ms <= standing.move_ms(row.order.duration_ms);
            let asked = sums.iter().any(|row| row.all() > 0);
            let shown = has_enough_answers(&sums) || !asked;
            if due && heard && shown && standing.has_room() && !late {
                if let Some(finding) = order.heard.verdict.likely_unsound(&sums) {
                    return to(RolloutPhase::RolledBack, format!("it rather {finding}"));
                }
                let figures = answer_figures(&sums);
                let why = format!("nothing shows that it is unsound: {figures}");
                return to(RolloutPhase::Shift, why);
            }
            if late && heard {
                let why = if standing.has_room() { "it answered too little" } else { "no room" };
                return to(RolloutPhase::RolledBack, format!("{why} by the deadline"));
            }
        }
        RolloutPhase::Shift => {
            let confirmed = heard && order.all_confirm(row.step, vms, now_ms);
            if confirmed || late {
                let why = if confirmed { "all VMs have moved" } else { "the deadline is near" };
                let mut step = row.next_step(RolloutPhase::Complete, elapsed_ms);
                step.retired = standing.other_versions.clone();
                return Some(ProposedStep { step, why: why.to_string() });
            }
        }
        RolloutPhase::Complete | RolloutPhase::RolledBack => return None,
    }
    let due = elapsed_ms >= row.spent_ms + NOTE_MS;
    due.then(|| ProposedStep { step: row.next_step(row.phase, elapsed_ms), why: String::new() })
}
