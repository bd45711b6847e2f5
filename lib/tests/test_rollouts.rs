//! Tests the orders of roll-outs, and which upstreams a VM may send to.

mod testutils;

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_lib::coordination::rollout_counts::{RolloutCounts, SideCount};
use wingshed_lib::coordination::rollout_evidence::{RouteKey, TrialOutcome};
use wingshed_lib::coordination::rollout_share::{sharing_vms, TrialLedger};
use wingshed_lib::coordination::rollout_watch::{RolloutLane, RolloutTracker, PROOF_VALID_MS};
use wingshed_lib::state::fleet_record::{FleetCommand, FleetRecord, RecordChange};
use wingshed_lib::state::rollout_order::{RolloutCommand, RolloutPhase, VersionKey};
use wingshed_lib::state::upstream_list::{EntryDefect, UpstreamEntry};

use testutils::rollouts::{order, step, table, BOUND, ROUTE};

fn entry(life: &str, version: &str) -> UpstreamEntry {
    UpstreamEntry {
        name: life.to_string(),
        service: "s1".to_string(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".to_string(),
        leaving: false,
        ring_slot: None,
        cold: false,
        version: VersionKey::of(version),
        started_ms: None,
        defect: EntryDefect::None,
    }
}

/// Four upstreams of each version, with the time at which each was first seen: 1,000 ms for `v1`
/// and 5,000 ms for `v2`.
fn upstreams() -> Vec<(UpstreamEntry, u64)> {
    let of = |version: &'static str, seen_ms| {
        (0..4).map(move |at| (entry(&format!("{version}-{at}"), version), seen_ms))
    };
    of("v1", 1000).chain(of("v2", 5000)).collect()
}

/// Returns the number of upstreams of each version that may get a request.
fn admitted(tracker: &RolloutTracker, lane: RolloutLane, now_ms: u64) -> (usize, usize) {
    let upstreams = upstreams();
    let seen = upstreams.iter().map(|(entry, seen_ms)| (entry, *seen_ms));
    let rule = tracker.rule("s1", lane, seen, |_| true, now_ms);
    let count = |version: &str| {
        let of = upstreams.iter().filter(|(entry, _)| entry.version == VersionKey::of(version));
        of.filter(|(entry, _)| !rule.withholds(entry)).count()
    };
    (count("v1"), count("v2"))
}

fn tracker_of(phases: &[RolloutPhase], proved_ms: u64) -> RolloutTracker {
    let mut tracker = RolloutTracker::default();
    tracker.take(table(phases), BOUND, 1);
    tracker.prove(proved_ms);
    tracker
}

#[test]
fn a_step_on_what_held_before_changes_nothing() {
    let mut record = FleetRecord::default();
    let mut apply = |command| record.apply(&FleetCommand::Rollout(command).encode()).unwrap();

    assert_eq!(apply(RolloutCommand::Start(order(1))), RecordChange::Rollout);
    assert_eq!(apply(RolloutCommand::Start(order(1))), RecordChange::Overtaken, "the same");
    assert_eq!(
        apply(RolloutCommand::Start(order(2))),
        RecordChange::Overtaken,
        "another one is running"
    );
    let rolled_back = RolloutCommand::Step(step(1, 1, RolloutPhase::RolledBack));
    assert_eq!(apply(rolled_back), RecordChange::Rollout);
    for phase in [RolloutPhase::Shift, RolloutPhase::Complete, RolloutPhase::RolledBack] {
        let late = RolloutCommand::Step(step(1, 2, phase));
        assert_eq!(apply(late), RecordChange::Overtaken, "an end is final: {phase:?}");
    }
    assert_eq!(apply(RolloutCommand::Start(order(3))), RecordChange::Overtaken, "a gap");
    assert_eq!(apply(RolloutCommand::Start(order(2))), RecordChange::Rollout);
}

#[test]
fn a_trial_is_never_complete_without_its_traffic_moved() {
    let mut table = table(&[]);

    assert!(!table.apply(RolloutCommand::Step(step(1, 1, RolloutPhase::Complete))));
    assert!(table.apply(RolloutCommand::Step(step(1, 1, RolloutPhase::Shift))));
    assert!(
        !table.apply(RolloutCommand::Step(step(1, 2, RolloutPhase::Trial))),
        "nor back to a trial"
    );
    assert!(table.apply(RolloutCommand::Step(step(1, 2, RolloutPhase::Complete))));
}

#[test]
fn rollouts_are_in_snapshots_and_no_older_snapshot_takes_them_back() {
    let mut record = FleetRecord::default();
    let older = record.image();
    let command = FleetCommand::Rollout(RolloutCommand::Start(order(1)));
    record.apply(&command.encode()).unwrap();
    let image = record.image();

    record.restore(&older).unwrap();
    assert_eq!(record.rollouts, table(&[]));
    let mut other = FleetRecord::default();
    other.restore(&image).unwrap();
    assert_eq!(other.rollouts, record.rollouts);
}

#[test]
fn each_phase_sends_where_it_should() {
    use RolloutPhase::{Complete, RolledBack, Shift};
    let now_ms = 9000;
    let usual =
        |phases: &[RolloutPhase]| admitted(&tracker_of(phases, now_ms), RolloutLane::Usual, now_ms);

    assert_eq!(usual(&[]), (4, 0), "a trial's usual requests");
    assert_eq!(admitted(&tracker_of(&[], now_ms), RolloutLane::Trial, now_ms), (0, 1));
    assert_eq!(usual(&[Shift]), (0, 4));
    assert_eq!(admitted(&tracker_of(&[Shift], now_ms), RolloutLane::Fallback, now_ms), (4, 0));
    assert_eq!(usual(&[Shift, Complete]), (0, 4));
    assert_eq!(usual(&[RolledBack]), (4, 0));
    assert_eq!(usual(&[Shift, RolledBack]), (4, 0));
}

#[test]
fn a_vm_that_hears_nobody_stops_the_trial_by_itself() {
    let tracker = tracker_of(&[], 9000);

    assert_eq!(tracker.lane("s1", ROUTE, 9000 + PROOF_VALID_MS), RolloutLane::Usual);
    let shift = tracker_of(&[RolloutPhase::Shift], 9000);
    let (of_base, of_target) = admitted(&shift, RolloutLane::Usual, 9000 + PROOF_VALID_MS);
    assert_eq!((of_base, of_target), (4, 0), "it may be rolled back by now");
}

#[test]
fn a_version_that_is_new_waits_for_the_next_proof() {
    let mut tracker = RolloutTracker::default();
    assert_eq!(admitted(&tracker, RolloutLane::Usual, 6000), (0, 0), "no proof since its start");

    tracker.prove(4900);
    assert_eq!(
        admitted(&tracker, RolloutLane::Usual, 6000),
        (4, 0),
        "its order may not have arrived yet"
    );
    tracker.prove(5000);
    assert_eq!(admitted(&tracker, RolloutLane::Usual, 6000), (4, 4), "a release without an order");
}

#[test]
fn one_version_alone_needs_no_proof() {
    let tracker = RolloutTracker::default();
    let upstreams = upstreams();
    let of_base = upstreams[..4].iter().map(|(entry, seen_ms)| (entry, *seen_ms));

    let rule = tracker.rule("s1", RolloutLane::Usual, of_base, |_| true, 2000);

    assert!(upstreams[..4].iter().all(|(entry, _)| !rule.withholds(entry)));
}

#[test]
fn an_entry_without_a_readable_version_is_never_of_the_target() {
    let tracker = tracker_of(&[], 9000);
    let unknown = entry("i-9", "");
    let upstreams = upstreams();
    let seen = upstreams.iter().map(|(entry, seen_ms)| (entry, *seen_ms));

    let rule = tracker.rule("s1", RolloutLane::Trial, seen.chain([(&unknown, 1)]), |_| true, 9000);

    assert!(rule.withholds(&unknown));
}

#[test]
fn a_trial_goes_to_upstreams_that_can_take_part() {
    let tracker = tracker_of(&[], 9000);
    let upstreams = upstreams();
    for able in 4..8 {
        let seen = upstreams.iter().map(|(entry, seen_ms)| (entry, *seen_ms));
        let life = &upstreams[able].0.name;
        let rule = tracker.rule("s1", RolloutLane::Trial, seen, |entry| entry.name == *life, 9000);
        let admitted_entries = upstreams.iter().filter(|(entry, _)| !rule.withholds(entry));
        let lives: Vec<&str> = admitted_entries.map(|(entry, _)| entry.name.as_str()).collect();
        assert_eq!(lives, [life.as_str()], "the others' zones are emptied");
    }
}

#[test]
fn late_news_takes_nothing_back() {
    let mut tracker = tracker_of(&[RolloutPhase::RolledBack], 9000);

    assert_eq!(tracker.take(table(&[]), BOUND, 1), Vec::new());

    assert_eq!(admitted(&tracker, RolloutLane::Usual, 9000), (4, 0));
    assert!(!tracker.is_running("s1"));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    /// Under uneven traffic, restarts and a wrong count of VMs, the number of requests that all VMs
    /// sent to the target is within the bound at every moment.
    #[test]
    fn the_exposure_is_within_its_bound_at_every_moment(
        seed in any::<u64>(), vms in 1usize..300, routes in 1u32..12, restarts in 0usize..60,
        counted in 1u32..300, rate in 20.0f64..1000.0,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let counted = counted.max(vms as u32 / 2);
        let first = |rng: &mut StdRng| TrialLedger::new(BOUND, Some(counted), rng.gen());
        let mut ledgers: Vec<TrialLedger> = (0..vms).map(|_| first(&mut rng)).collect();
        let (mut all, mut target) = (0u64, 0u64);
        let requests = (rate * 12.0) as usize;
        for at in 0..requests {
            if at % (requests / (restarts + 1) + 1) == 0 && at > 0 {
                let vm = rng.gen_range(0..vms);
                ledgers[vm] = TrialLedger::new(BOUND, None, rng.gen());
            }
            // A few VMs get most requests, with a skew that varies over time.
            let vm = rng.gen_range(0..vms).min(rng.gen_range(0..vms + at % 7));
            let route = RouteKey(rng.gen_range(0..routes).min(rng.gen_range(0..routes)));
            let to_target = ledgers[vm].may_send_to_target(route);
            ledgers[vm].note_sent(route, to_target);
            all += 1;
            target += u64::from(to_target);
            let most = BOUND.share * all as f64 + BOUND.slack;
            prop_assert!(target as f64 <= most, "{target} of {all}");
        }
    }
}

#[test]
fn a_leader_that_may_not_have_heard_all_hands_nothing_out_at_the_start() {
    let sent = |vms: u32| -> u64 {
        let ledgers = (0..63).map(|seed| TrialLedger::new(BOUND, Some(vms), seed));
        let sent_to_target = |mut ledger: TrialLedger| {
            let next = |_| {
                let to_target = ledger.may_send_to_target(ROUTE);
                ledger.note_sent(ROUTE, to_target);
                u64::from(to_target)
            };
            (0..20).map(next).sum::<u64>()
        };
        ledgers.map(sent_to_target).sum()
    };

    assert_eq!(sharing_vms(63, 5000), 63);
    let most = BOUND.share * (63.0 * 20.0) + BOUND.slack;
    assert!(sent(sharing_vms(1, 100)) as f64 <= most);
    assert!(sent(1) as f64 > most, "the first renewal alone does not count the fleet");
}

#[test]
fn counts_for_operators_stay_after_the_end_and_begin_anew_with_the_next_order() {
    let mut tracker = tracker_of(&[], 0);
    let route = ROUTE;
    let (target, base) = (VersionKey::of("v2"), VersionKey::of("v1"));
    let tag = tracker.note_sent("s1", route, target).expect("it runs");
    tracker.note_sent("s1", route, base);
    tracker.note_end(&tag, &TrialOutcome::Failure);
    let mut orders = table(&[RolloutPhase::RolledBack]);
    tracker.take(orders.clone(), BOUND, 1);
    let after_end = tracker.counts("s1");

    assert!(orders.apply(RolloutCommand::Start(order(2))));
    assert!(orders.apply(RolloutCommand::Step(step(2, 1, RolloutPhase::RolledBack))));
    tracker.take(orders, BOUND, 1);

    let expected = RolloutCounts {
        target: SideCount { sent: 1, bad: 1 },
        base: SideCount { sent: 1, bad: 0 },
    };
    assert_eq!(after_end, expected);
    assert_eq!(
        tracker.counts("s1"),
        RolloutCounts::default(),
        "the next order was received after its end"
    );
}
