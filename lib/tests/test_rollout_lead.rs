//! Roll-outs: the leader's steps, by what VMs tell.

mod testutils;

use std::collections::BTreeSet;

use wingshed_lib::coordination::rollout_evidence::{EvidenceLedger, RolloutArm, TrialOutcome};
use wingshed_lib::coordination::rollout_lead::{RolloutLead, TargetStanding};
use wingshed_lib::coordination::rollout_watch::{RolloutNote, RolloutWatch};
use wingshed_lib::state::rollout_order::{
    RolloutCommand, RolloutOrder, RolloutPhase, RolloutRow, RolloutStep, RolloutTable, VersionKey,
};

use testutils::rollouts::{order, step, table, BOUND, ROUTE};

struct LedFleet {
    lead: RolloutLead,
    table: RolloutTable,
    standing: TargetStanding,
    vms: BTreeSet<u32>,
}

impl LedFleet {
    fn new() -> LedFleet {
        let mut lead = RolloutLead::default();
        // It looked at an empty log before: it hasn't just started.
        lead.observe(&[], 900);
        let standing = TargetStanding {
            able: 4,
            others: 4,
            other_versions: vec![VersionKey::of("v1")],
            in_flight: 2,
            places: 4,
            hold_ms: 100.0,
        };
        LedFleet { lead, table: table(&[]), standing, vms: BTreeSet::from([1, 2]) }
    }

    /// Both VMs tell that they know the last step, have `in_flight` at the old upstreams, and that
    /// the target answered well.
    fn tell(&mut self, in_flight: [u32; 2], now_ms: u64) {
        self.lead.observe(self.table.rows(), now_ms);
        let row = &self.table.rows()[0];
        for (vm, base_in_flight) in [1, 2].into_iter().zip(in_flight) {
            let mut watch = RolloutWatch::default();
            watch.take(self.table.clone(), BOUND, 1);
            let sent = watch.note_sent("s1", ROUTE, row.target());
            if let Some(tag) = sent {
                assert_eq!(tag.arm, RolloutArm::Target);
                let outcome = TrialOutcome::Well { pace_ms: Some(20.0), first_ms: None };
                for _ in 0..200 {
                    watch.note_end(&tag, &outcome);
                }
            }
            let notes: Vec<RolloutNote> = watch.notes(|_, _| base_in_flight);
            self.lead.take(5, vm, 1, notes, now_ms);
        }
    }

    /// What the leader proposes, beside notes of the time; it is committed at once.
    fn step(&mut self, now_ms: u64) -> Option<RolloutPhase> {
        let rows: Vec<RolloutRow> = self.table.rows().to_vec();
        self.lead.observe(&rows, now_ms);
        let standing = self.standing.clone();
        let steps = self.lead.next_steps(&rows, &self.vms, |_| standing.clone(), 5000, now_ms);
        let proposed = steps.into_iter().next()?;
        let phase = proposed.step.phase;
        assert!(self.table.apply(RolloutCommand::Step(proposed.step)));
        (phase != rows[0].phase).then_some(phase)
    }

    /// The first change of phase from `from_ms` on, and when; VMs tell every 300 ms.
    fn next_phase(&mut self, from_ms: u64, in_flight: [u32; 2]) -> Option<(RolloutPhase, u64)> {
        (from_ms..from_ms + 60_000).step_by(50).find_map(|now_ms| {
            if now_ms % 300 < 50 {
                self.tell(in_flight, now_ms);
            }
            self.step(now_ms).map(|phase| (phase, now_ms))
        })
    }
}

#[test]
fn a_sound_version_is_complete_before_its_deadline() {
    let mut fleet = LedFleet::new();

    let (phase, moved_ms) = fleet.next_phase(1000, [3, 3]).unwrap();
    assert_eq!(phase, RolloutPhase::Shift);
    assert!((8_000..=9_600).contains(&moved_ms), "{moved_ms}: as late as it may");
    let (phase, ended_ms) = fleet.next_phase(moved_ms + 50, [0, 0]).unwrap();

    assert_eq!(phase, RolloutPhase::Complete);
    assert!(ended_ms < 1000 + 10_000 - 300, "{ended_ms}");
    assert_eq!(fleet.table.rows()[0].retired, [VersionKey::of("v1")]);
}

#[test]
fn complete_waits_for_what_runs_at_the_old_upstreams_until_the_deadline() {
    let mut fleet = LedFleet::new();
    let (_, moved_ms) = fleet.next_phase(1000, [3, 3]).unwrap();

    let (phase, ended_ms) = fleet.next_phase(moved_ms + 50, [0, 1]).unwrap();

    assert_eq!(phase, RolloutPhase::Complete);
    assert!((10_000..11_000).contains(&ended_ms), "{ended_ms}: a stream had time to end");
}

#[test]
fn complete_waits_for_a_vm_that_has_not_told_that_it_moved() {
    let mut fleet = LedFleet::new();
    let (_, moved_ms) = fleet.next_phase(1000, [3, 3]).unwrap();
    fleet.vms.insert(3);

    let (_, ended_ms) = fleet.next_phase(moved_ms + 50, [0, 0]).unwrap();

    assert!(ended_ms >= 10_000, "{ended_ms}");
}

#[test]
fn a_target_without_room_is_rolled_back_at_the_deadline() {
    let mut fleet = LedFleet::new();
    fleet.standing.able = 0;

    let (phase, ended_ms) = fleet.next_phase(1000, [3, 3]).unwrap();

    assert_eq!(phase, RolloutPhase::RolledBack);
    assert!((10_000..11_000).contains(&ended_ms), "{ended_ms}");
}

/// What both VMs tell of a quiet service with so many answers of the old version in a tenth of a
/// second.
struct QuietService {
    ledger: EvidenceLedger,
    base: u32,
    /// In how many tenths of a second the target answers once.
    target_each: u64,
    /// Each how manieth of its answers is bad; 0 for none.
    bad_each: u32,
    answered: u32,
}

impl QuietService {
    fn answer(&mut self, tenth: u64) {
        let well = TrialOutcome::Well { pace_ms: Some(20.0), first_ms: None };
        (0..self.base).for_each(|_| self.ledger.note(ROUTE, RolloutArm::Base, &well));
        if tenth % self.target_each == 0 {
            self.answered += 1;
            let bad = self.bad_each > 0 && self.answered % self.bad_each == 0;
            let outcome = if bad { TrialOutcome::Bad } else { well };
            self.ledger.note(ROUTE, RolloutArm::Target, &outcome);
        }
    }

    /// How an order of 10 s leaves its trial.
    fn trial_end(self) -> RolloutPhase {
        self.trial_end_taken_over(0)
    }

    /// The same with a leader that hears of it first after so many tenths of a second.
    fn trial_end_taken_over(mut self, first_heard: u64) -> RolloutPhase {
        let mut fleet = LedFleet::new();
        for tenth in 0..100 {
            self.answer(tenth);
            let now_ms = 1000 + 100 * tenth;
            if tenth < first_heard {
                fleet.lead.observe(fleet.table.rows(), now_ms);
                continue;
            }
            let note = |step| RolloutNote {
                service: VersionKey::of("s1"),
                number: 1,
                step,
                base_in_flight: 1,
                rows: self.ledger.rows(),
            };
            fleet.lead.observe(fleet.table.rows(), now_ms);
            let notes = vec![note(fleet.table.rows()[0].step)];
            fleet.lead.take(5, 1, 1, notes, now_ms);
            if let Some(phase) = fleet.step(now_ms) {
                return phase;
            }
        }
        RolloutPhase::Trial
    }
}

/// The story: a version that failed three answers of ten was rolled out for a service with ten
/// requests a second. It was called complete, its old upstreams ended, and each caller met the
/// failures from then on. The cause: what shows a version unsound at any moment of an order must be
/// rare in a sound one, so it takes more answers than such a service gives; and without that
/// traffic was moved, which can't be taken back. The evidence: the log of such an order said
/// "nothing shows that it is unsound" when it was moved, and so ends the play below with four of
/// sixteen answers bad.
#[test]
fn a_quiet_service_is_not_moved_to_what_fails_many_of_few_answers() {
    let quiet = |bad_each| QuietService {
        ledger: EvidenceLedger::new(1),
        base: 1,
        target_each: 5,
        bad_each,
        answered: 0,
    };

    assert_eq!(quiet(4).trial_end(), RolloutPhase::RolledBack, "a quarter");
    assert_eq!(quiet(3).trial_end(), RolloutPhase::RolledBack, "a third");
    assert_eq!(quiet(0).trial_end(), RolloutPhase::Shift, "sound");
    assert_eq!(quiet(16).trial_end(), RolloutPhase::Shift, "one failure is chance");
}

/// All VMs were killed in the middle of a trial, and with them what they had counted: the few
/// answers after that say nothing of a version that fails three of ten.
#[test]
fn a_version_that_hardly_answered_since_all_was_lost_is_not_moved_to() {
    let few = QuietService {
        ledger: EvidenceLedger::new(1),
        base: 1,
        target_each: 20,
        bad_each: 0,
        answered: 0,
    };

    assert_eq!(few.trial_end(), RolloutPhase::RolledBack);
}

// A new leader took what VMs had counted in the whole trial for what showed in a moment, and moved
// a service to a version with 21 of 58 answers bad.
#[test]
fn a_leader_that_takes_over_late_in_a_trial_does_not_move_to_what_failed_in_all_of_it() {
    let trial = |bad_each| QuietService {
        ledger: EvidenceLedger::new(1),
        base: 8,
        target_each: 1,
        bad_each,
        answered: 0,
    };

    assert_eq!(trial(3).trial_end_taken_over(75), RolloutPhase::RolledBack, "a third");
    assert_eq!(trial(5).trial_end_taken_over(75), RolloutPhase::RolledBack, "a fifth");
    assert_eq!(trial(0).trial_end_taken_over(75), RolloutPhase::Shift, "sound");
    assert_eq!(trial(50).trial_end_taken_over(75), RolloutPhase::Shift, "one failure is chance");
}

#[test]
fn a_new_leader_counts_the_time_rather_too_long_than_too_short() {
    let mut follower = RolloutLead::default();
    follower.observe(&[], 0);
    let started = table(&[]);

    follower.observe(started.rows(), 1000);
    let elapsed_ms = follower.elapsed_ms("s1", 4000).unwrap();
    assert!((3000..3500).contains(&elapsed_ms), "{elapsed_ms}");

    let mut restarted = RolloutLead::default();
    let mut noted = started.clone();
    let note = RolloutStep { spent_ms: 2000, ..step(1, 1, RolloutPhase::Trial) };
    assert!(noted.apply(RolloutCommand::Step(note)));
    restarted.observe(noted.rows(), 500);
    let elapsed_ms = restarted.elapsed_ms("s1", 500).unwrap();
    assert!(elapsed_ms >= 2000 + 2000, "{elapsed_ms}: the next note may have been lost");
}

#[test]
fn a_new_leader_ends_nothing_before_it_heard_the_vms() {
    let mut fleet = LedFleet::new();
    fleet.lead.observe(fleet.table.rows(), 1000);
    let rows = fleet.table.rows().to_vec();
    let standing = fleet.standing.clone();

    let steps = fleet.lead.next_steps(&rows, &fleet.vms, |_| standing.clone(), 100, 10_900);

    let ends = steps.iter().filter(|proposed| proposed.step.phase != RolloutPhase::Trial);
    assert_eq!(ends.count(), 0, "it only notes the time");
}

#[test]
fn what_a_vm_told_an_earlier_leader_is_told_the_next_one_whole() {
    let mut watch = RolloutWatch::default();
    watch.take(table(&[]), BOUND, 1);
    let tag = watch.note_sent("s1", ROUTE, VersionKey::of("v2")).unwrap();

    for _ in 0..3 {
        watch.note_end(&tag, &TrialOutcome::Bad);
    }
    let (first, second) = (watch.notes(|_, _| 0), watch.notes(|_, _| 0));

    assert_eq!(first, second, "what was told once is told again");
    assert_eq!(second[0].rows[0].target.bad, 3);
}

#[test]
fn of_two_services_rolled_out_at_once_the_unsound_one_alone_is_rolled_back() {
    let mut both = table(&[]);
    let second = RolloutOrder { service: "s2".to_string(), ..order(1) };
    assert!(both.apply(RolloutCommand::Start(second)));
    let (mut lead, mut watch) = (RolloutLead::default(), RolloutWatch::default());
    lead.observe(&[], 900);
    watch.take(both.clone(), BOUND, 1);
    let well = TrialOutcome::Well { pace_ms: Some(20.0), first_ms: None };
    let standing = TargetStanding { able: 4, others: 4, ..TargetStanding::default() };
    let mut ended = Vec::new();

    for now_ms in (1000..6000).step_by(300) {
        for (service, of_target) in [("s1", TrialOutcome::Bad), ("s2", well)] {
            for (version, outcome, times) in [("v1", well, 10), ("v2", of_target, 3)] {
                let tag = watch.note_sent(service, ROUTE, VersionKey::of(version)).unwrap();
                for _ in 0..times {
                    watch.note_end(&tag, &outcome);
                }
            }
        }
        lead.observe(both.rows(), now_ms);
        lead.take(5, 1, 1, watch.notes(|_, _| 0), now_ms);
        let vms = BTreeSet::from([1]);
        let steps = lead.next_steps(both.rows(), &vms, |_| standing.clone(), 5000, now_ms);
        for proposed in steps.into_iter().filter(|proposed| proposed.step.phase.is_end()) {
            ended.push((proposed.step.service.clone(), proposed.step.phase));
            assert!(both.apply(RolloutCommand::Step(proposed.step)));
        }
    }

    assert_eq!(ended, [("s1".to_string(), RolloutPhase::RolledBack)]);
}
