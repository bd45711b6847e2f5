//! Detection of unresponsive upstreams: suspicions, declarations, and their withdrawal.

use proptest::prelude::*;
use wingshed_lib::coordination::silence::{
    ConnectTimeout, SilenceTable, SilenceView, UnresponsiveRevision, CONNECT_TIMEOUT_BOUNDS_MS,
};
use wingshed_lib::state::ids::UpstreamKey;

const ENGINE: UpstreamKey = UpstreamKey(7);
const LEADER: u32 = 1;
const TERM: u64 = 3;

/// Returns a table in which VM 2 suspects the engine since `now_ms`.
fn suspected(now_ms: u64) -> SilenceTable {
    let mut table = SilenceTable::default();
    table.suspect(TERM, ENGINE, 2, now_ms);
    table
}

#[test]
fn a_doubt_that_the_leader_shares_makes_an_upstream_dark_and_one_connection_takes_it_back() {
    let mut table = suspected(1000);
    assert!(table.unresponsive().is_empty(), "the VM itself may be partitioned");
    assert_eq!(table.due_probes(1000), [ENGINE]);
    assert!(table.due_probes(1010).is_empty(), "a probe is running");

    table.note_probe(ENGINE, LEADER, false, 1120);
    assert_eq!(table.unresponsive(), [ENGINE]);
    assert!(table.due_probes(1200).is_empty(), "the last probe was too recent");
    assert_eq!(table.due_probes(1420), [ENGINE]);
    table.note_probe(ENGINE, LEADER, true, 1425);
    assert!(table.unresponsive().is_empty());
    assert!(table.due_probes(9000).is_empty(), "no VM suspects it any more");
}

#[test]
fn a_dark_upstream_stays_dark_while_it_cannot_be_reached_though_nobody_sends_to_it() {
    let mut table = suspected(1000);
    table.due_probes(1000);
    table.note_probe(ENGINE, LEADER, false, 1120);

    for round in 1..100 {
        let now_ms = 1120 + 450 * round;
        assert_eq!(table.due_probes(now_ms), [ENGINE]);
        table.note_probe(ENGINE, LEADER, false, now_ms + 120);
        assert_eq!(table.unresponsive(), [ENGINE], "round {round}");
    }
}

#[test]
fn one_that_answers_others_is_not_dark() {
    let mut table = suspected(1000);
    table.due_probes(1000);
    table.note_probe(ENGINE, LEADER, false, 1120);
    table.note_successes(ENGINE, 4, 1300);
    assert!(
        table.unresponsive().is_empty(),
        "the leader and one VM are partitioned from it, others are not"
    );

    let mut table = suspected(1000);
    table.note_successes(ENGINE, 1, 1050);
    table.due_probes(1100);
    table.note_probe(ENGINE, LEADER, false, 1400);
    assert_eq!(
        table.unresponsive(),
        [ENGINE],
        "it answered a VM just before it became unresponsive"
    );
}

#[test]
fn a_doubt_that_nobody_shares_is_forgotten() {
    let mut alone = SilenceTable::default();
    alone.suspect(TERM, ENGINE, LEADER, 1000);
    alone.due_probes(1000);
    alone.note_probe(ENGINE, LEADER, false, 1120);
    assert!(alone.unresponsive().is_empty(), "the leader alone");
    assert!(alone.due_probes(5000).is_empty());

    let mut reached = suspected(1000);
    reached.due_probes(1000);
    reached.note_probe(ENGINE, LEADER, true, 1010);
    assert!(reached.unresponsive().is_empty() && reached.due_probes(5000).is_empty());
}

#[test]
fn a_new_leader_goes_by_what_it_is_told_itself() {
    let mut table = suspected(1000);
    table.due_probes(1000);
    table.note_probe(ENGINE, LEADER, false, 1120);
    assert_eq!(table.unresponsive(), [ENGINE]);

    table.suspect(TERM + 1, UpstreamKey(8), 5, 1200);
    assert!(table.unresponsive().is_empty());
}

#[test]
fn a_vm_goes_by_what_it_is_told_and_what_it_met_while_that_is_fresh() {
    let mut view = SilenceView::default();
    view.take(vec![ENGINE], 1000);
    assert!(view.is_unresponsive(ENGINE, 1500));
    assert!(!view.is_unresponsive(ENGINE, 2100), "the leader's set is no longer valid");

    view.take(Vec::new(), 3000);
    view.suspect(ENGINE, 3000);
    view.suspect(ENGINE, 3010);
    assert!(view.is_unresponsive(ENGINE, 3100));
    assert_eq!(view.take_suspicions(), [ENGINE], "reported once");
    assert!(view.take_suspicions().is_empty());
    view.reached(ENGINE);
    assert!(!view.is_unresponsive(ENGINE, 3100));
}

#[test]
fn what_was_told_is_not_told_again_and_holds_on() {
    let mut view = SilenceView::default();
    assert_eq!(view.revision(), UnresponsiveRevision::of(&[]), "no set was received");
    view.take(vec![ENGINE, UpstreamKey(9)], 1000);
    assert_eq!(view.revision(), UnresponsiveRevision::of(&[ENGINE, UpstreamKey(9)]));
    assert_ne!(view.revision(), UnresponsiveRevision::of(&[ENGINE]));

    view.confirm(1900);
    assert!(view.is_unresponsive(ENGINE, 2800));
    view.take(Vec::new(), 2900);
    assert!(!view.is_unresponsive(ENGINE, 2900));
}

#[test]
fn an_upstream_that_owes_an_answer_is_tried_now_and_then() {
    let mut view = SilenceView::default();
    let probes = (0..2000).step_by(10).filter(|now_ms| view.begin_probe(ENGINE, 5000 + now_ms));
    assert_eq!(probes.count(), 4);
}

#[test]
fn patience_follows_what_connecting_takes() {
    let mut timeout = ConnectTimeout::default();
    assert_eq!(timeout.wait_ms(), CONNECT_TIMEOUT_BOUNDS_MS.1 as u64, "there are no samples yet");
    (0..50).for_each(|_| timeout.note(2.0));
    assert_eq!(timeout.wait_ms(), CONNECT_TIMEOUT_BOUNDS_MS.0 as u64);
    (0..50).for_each(|at| timeout.note(200.0 + f64::from(at % 7) * 30.0));
    assert_eq!(
        timeout.wait_ms(),
        CONNECT_TIMEOUT_BOUNDS_MS.1 as u64,
        "a congested link slows all connections"
    );
}

/// Simulates `vms` VMs that send to one engine, which is unresponsive from 1,000 to 3,000 ms. Returns when
/// it was first and last declared unresponsive.
fn play(vms: u32, sends_a_second: u64, seed: u64) -> (Option<u64>, Option<u64>) {
    let mut table = SilenceTable::default();
    let dark_at = |now_ms: u64| (1000..3000).contains(&now_ms);
    let mut probes: Vec<(u64, bool)> = Vec::new();
    let (mut first, mut last) = (None, None);
    for now_ms in (0..6000).step_by(10) {
        let declared = !table.unresponsive().is_empty();
        let sends = (now_ms * 31 + seed) % 1000 < sends_a_second * 10;
        if sends && !declared {
            let vm = 2 + (now_ms / 10 * 17 + seed) as u32 % vms;
            match dark_at(now_ms) {
                true => table.suspect(TERM, ENGINE, vm, now_ms + 120),
                false => table.note_successes(ENGINE, 1, now_ms),
            }
        }
        probes.extend(table.due_probes(now_ms).iter().map(|_| (now_ms + 120, !dark_at(now_ms))));
        let (due, later) = probes.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        probes = later;
        for (_, reached) in due as Vec<(u64, bool)> {
            table.note_probe(ENGINE, LEADER, reached, now_ms);
        }
        if !table.unresponsive().is_empty() {
            first.get_or_insert(now_ms);
            last = Some(now_ms);
        }
    }
    (first, last)
}

proptest! {
    #[test]
    fn all_know_of_a_dark_engine_within_a_second_of_sends_and_of_its_return(
        vms in 2u32..300, sends in 5u64..50, seed in 0u64..10_000,
    ) {
        let (first, last) = play(vms, sends, seed);
        let first = first.expect("some VM sends to it");
        prop_assert!((1000..2000).contains(&first), "declared at {first}");
        prop_assert!(last.is_some_and(|last| last < 3600), "until {last:?}");
    }
}
