//! Upstreams that fail for all VMs, as the leader of a fleet detects them.

use wingshed_lib::coordination::fleet_health::{
    flags_failing, HealthOutbox, HealthReport, HealthTable, FIRST_FLAG_MS, MAX_FLAGGED_SHARE,
    REPORTS_PER_RENEWAL,
};
use wingshed_lib::state::ids::UpstreamKey;

const TERM: u64 = 3;
const BAD: UpstreamKey = UpstreamKey(7);

fn fleet(_: UpstreamKey) -> impl Iterator<Item = UpstreamKey> {
    (1..=12).map(UpstreamKey)
}

fn note(upstream: UpstreamKey, succeeded: u16, failed: u16) -> HealthReport {
    HealthReport { upstream, succeeded, failed }
}

/// A table that received these outcomes of sends to one upstream, one from each VM, 10 ms apart.
fn reported(outcomes: &[bool]) -> HealthTable {
    let mut table = HealthTable::default();
    for (at, well) in outcomes.iter().enumerate() {
        let notes = [note(BAD, u16::from(*well), u16::from(!*well))];
        table.take(TERM, &notes, fleet, 1000 + at as u64 * 10);
    }
    table
}

#[test]
fn only_one_that_fails_nearly_all_is_named() {
    let half: Vec<bool> = (0..100).map(|at| at % 2 == 0).collect();
    let now_and_then: Vec<bool> = (0..100).map(|at| at % 20 != 0).collect();
    let mostly: Vec<bool> = (0..100).map(|at| at % 5 == 0).collect();
    let cases = [
        ("all fail", vec![false; 6], true),
        ("too few failures", vec![false; 3], false),
        ("four in five fail, one is served", mostly, false),
        ("half fail", half, false),
        ("a failure now and then", now_and_then, false),
        ("all succeed", vec![true; 50], false),
    ];
    for (case, outcomes, flagged) in cases {
        let table = reported(&outcomes);

        assert_eq!(table.flagged(2200) == [BAD], flagged, "{case}");
    }
}

#[test]
fn failures_that_are_long_ago_name_nobody() {
    let mut table = HealthTable::default();
    for at in 0..20 {
        table.take(TERM, &[note(BAD, 0, 1)], fleet, 1000 + at * 2000);
    }
    assert!(table.flagged(41_000).is_empty(), "one every 2 s");
}

#[test]
fn a_name_holds_twice_as_long_each_time_until_it_serves_again() {
    let mut table = reported(&[false; 6]);
    // The fourth failure flagged it.
    let mut now_ms = 1030;
    for times in 0..3 {
        let until_ms = now_ms + (FIRST_FLAG_MS << times);
        table.take(TERM, &[note(BAD, 0, 9)], fleet, now_ms + 100);
        assert_eq!(table.flagged(until_ms - 1), [BAD], "flagged {times} times before");
        assert!(table.flagged(until_ms).is_empty(), "tried again after the flag ends");
        now_ms = until_ms + 10;
        table.take(TERM, &[note(BAD, 0, 2)], fleet, now_ms);
    }
    let tried_ms = now_ms + (FIRST_FLAG_MS << 3) + 10;

    table.take(TERM, &[note(BAD, 9, 0)], fleet, tried_ms);
    table.take(TERM, &[note(BAD, 0, 5)], fleet, tried_ms + 20_000);

    assert!(
        table.flagged(tried_ms + 20_000 + FIRST_FLAG_MS).is_empty(),
        "the time is as short as at first"
    );
}

#[test]
fn at_most_a_part_of_a_service_is_named() {
    let mut table = HealthTable::default();
    for upstream in 1..=12 {
        table.take(TERM, &[note(UpstreamKey(upstream), 0, 10)], fleet, 1000);
    }
    assert_eq!(table.flagged(1001).len(), (12.0 * MAX_FLAGGED_SHARE) as usize);
}

#[test]
fn small_fleets_name_nobody() {
    assert_eq!([3, 10, 92, 300].map(flags_failing), [false, false, true, true]);
}

#[test]
fn another_term_knows_nothing_of_earlier_ones() {
    let mut table = reported(&[false; 6]);
    table.take(TERM + 1, &[], fleet, 1100);
    assert!(table.flagged(1100).is_empty());
}

#[test]
fn a_vm_tells_each_outcome_once_in_bounded_notes() {
    let mut outbox = HealthOutbox::default();
    for upstream in 0..REPORTS_PER_RENEWAL as u64 + 5 {
        outbox.note(UpstreamKey(upstream), upstream % 2 == 0);
    }
    outbox.note(UpstreamKey(0), false);

    let (first, second, third) = (outbox.take(), outbox.take(), outbox.take());

    assert_eq!(first[0], note(UpstreamKey(0), 1, 1));
    assert_eq!((first.len(), second.len(), third.len()), (REPORTS_PER_RENEWAL, 5, 0));
}

#[test]
fn three_hundred_vms_leave_a_broken_engine_after_some_failures_in_all() {
    // Each VM by itself needs three failures in a row: 900 failed requests in all.
    let mut table = HealthTable::default();
    let (mut failed, mut vm) = (0, 0);
    for now_ms in (1000..3000).step_by(5) {
        vm = (vm + 1) % 300;
        if table.flagged(now_ms).is_empty() {
            failed += 1;
            table.take(TERM, &[note(BAD, 0, 1)], fleet, now_ms + 1);
        }
    }
    assert!(failed <= 5, "{failed} requests failed in 2 s");
}
