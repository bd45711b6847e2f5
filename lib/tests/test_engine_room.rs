//! Capacity of engines: which requests are admitted or refused, and when a refused caller retries.

use proptest::prelude::*;
use wingshed_lib::coordination::engine_room::{
    CapacityRequest, ReportedLoad, ServiceCapacity, MIN_USED_FRACTION, RESERVED_FRACTION,
    RETRY_AFTER_RANGE_MS, WAIT_FRACTION,
};

const SLOTS: u32 = 48;
const GOAL_MS: u64 = 400;
const WAIT_MS: u64 = 10_000;

fn request(rank: u8, workspace: &str) -> CapacityRequest<'_> {
    CapacityRequest { rank, workspace: Some(workspace), goal_ms: GOAL_MS, wait_ms: WAIT_MS }
}

/// A service whose requests hold their slots for `hold_ms` milliseconds.
fn learned_capacity(hold_ms: u64) -> ServiceCapacity {
    let mut capacity = ServiceCapacity::default();
    for _ in 0..200 {
        capacity.note_request(&request(1, "a"), 1000);
        capacity.note_admitted(&request(1, "a"));
        capacity.enter(Some("a"));
        capacity.leave(Some("a"), hold_ms);
    }
    capacity
}

#[test]
fn what_waits_at_an_engine_is_bounded_by_the_goal_of_answers() {
    let (quick, slow) = (learned_capacity(200), learned_capacity(4000));

    let [quick, slow] = [quick, slow].map(|capacity| capacity.bound(SLOTS, &request(1, "a")));

    let variance = f64::from(SLOTS).sqrt();
    let waiting = |hold_ms: f64| f64::from(SLOTS) * WAIT_FRACTION * GOAL_MS as f64 / hold_ms;
    assert!((quick - (f64::from(SLOTS) + variance + waiting(200.0))).abs() < 1.0, "{quick}");
    assert!((slow - (f64::from(SLOTS) + variance + waiting(4000.0))).abs() < 1.0, "{slow}");
}

#[test]
fn late_answers_of_busy_engines_lower_the_places_that_are_used_and_others_do_not() {
    let mut capacity = learned_capacity(1000);
    let before = capacity.bound(SLOTS, &request(1, "a"));

    (0..500).for_each(|_| capacity.note_first_event(true, 2, SLOTS));
    assert_eq!(
        capacity.bound(SLOTS, &request(1, "a")),
        before,
        "late answers of an idle engine change nothing"
    );

    (0..500).for_each(|_| capacity.note_first_event(true, SLOTS, SLOTS));
    assert!(
        (capacity.used_fraction() - MIN_USED_FRACTION).abs() < 1e-9,
        "and never below the minimum"
    );
    assert!(capacity.bound(SLOTS, &request(1, "a")) < before);

    (0..500).for_each(|_| capacity.note_first_event(false, SLOTS, SLOTS));
    assert!((capacity.used_fraction() - 1.0).abs() < 1e-9, "the fraction recovers");
}

#[test]
fn a_kind_that_is_served_more_often_than_a_more_urgent_one_leaves_it_places() {
    let mut capacity = ServiceCapacity::default();
    for turn in 0..100 {
        capacity.note_request(&request(0, "a"), 1000);
        capacity.note_request(&request(2, "a"), 1000);
        capacity.note_admitted(&request(2, "a"));
        if turn % 2 == 0 {
            capacity.note_admitted(&request(0, "a"));
        }
    }

    let urgent = capacity.bound(SLOTS, &request(0, "a"));
    let ahead = capacity.bound(SLOTS, &request(2, "a"));

    assert!((urgent - ahead - RESERVED_FRACTION * f64::from(SLOTS)).abs() < 1e-9);
}

#[test]
fn a_workspace_beyond_twice_its_share_leaves_places_to_others_and_one_alone_may_fill_all() {
    let mut capacity = learned_capacity(1000);
    (0..30).for_each(|_| capacity.enter(Some("surging")));
    let alone = capacity.bound(SLOTS, &request(1, "surging"));
    ["b", "c", "d"].iter().for_each(|name| capacity.enter(Some(name)));

    let surging = capacity.bound(SLOTS, &request(1, "surging"));

    assert_eq!(alone, capacity.bound(SLOTS, &request(1, "b")));
    assert!((alone - surging - RESERVED_FRACTION * f64::from(SLOTS)).abs() < 1e-9);
}

#[test]
fn an_answer_that_can_only_be_late_leaves_the_last_places_to_those_in_time() {
    let capacity = learned_capacity(1000);
    let retried = CapacityRequest { wait_ms: WAIT_MS - GOAL_MS, ..request(1, "a") };
    let long_wait = CapacityRequest { wait_ms: 3 * WAIT_MS, ..request(1, "a") };

    let fresh = capacity.bound(SLOTS, &request(1, "a"));

    assert!(capacity.bound(SLOTS, &retried) < fresh);
    assert_eq!(capacity.bound(SLOTS, &long_wait), fresh);
}

#[test]
fn refused_callers_come_back_one_after_the_other_as_places_come_free() {
    let mut capacity = learned_capacity(1000);
    (0..20).for_each(|_| capacity.enter(None));

    let retries: Vec<u64> = (0..50).map(|_| capacity.next_retry_ms(5000)).collect();

    assert_eq!(retries[0], 500, "a slot becomes free each 50 ms, and one in ten is for retries");
    assert!(retries.windows(2).all(|pair| pair[1] == pair[0] + 500), "{retries:?}");
    (0..200).for_each(|_| assert!(capacity.next_retry_ms(5000) <= RETRY_AFTER_RANGE_MS.1));
    (0..980).for_each(|_| capacity.enter(None));
    assert_eq!(
        capacity.next_retry_ms(100_000),
        RETRY_AFTER_RANGE_MS.0,
        "the promised slots are in the past"
    );
}

#[test]
fn what_this_vm_sent_since_the_news_counts_for_the_others_too_and_what_ended_does_not() {
    let grown =
        ReportedLoad { reported: 180, own: 24, own_reported: 20, vms: 10, engines: 18, age_ms: 0 };
    let fallen = ReportedLoad { own: 20, own_reported: 24, ..grown };

    assert!((grown.mean() - (10.0 + 4.0 * 9.0 / 18.0)).abs() < 1e-9);
    assert!((fallen.mean() - 10.0).abs() < 1e-9);
    assert_eq!(ReportedLoad::default().mean(), 0.0, "no load is reported yet");
    let few = ReportedLoad { reported: 8, own: 8, own_reported: 2, vms: 40, engines: 4, age_ms: 0 };
    assert!((few.mean() - 5.0).abs() < 1e-9, "a random change at one VM is no overload of all");
}

#[test]
fn a_vm_that_lost_its_leader_refuses_nothing_by_loads_that_were_told_long_ago() {
    let overload =
        ReportedLoad { reported: 900, own: 90, own_reported: 90, vms: 10, engines: 18, age_ms: 0 };
    let ages =
        [300, 1000, 1001, 60_000].map(|age_ms| ReportedLoad { age_ms, ..overload }.is_fresh());

    assert_eq!(ages, [true, true, false, false]);
}

proptest! {
    #[test]
    fn the_bound_leaves_an_idle_engine_open_and_never_passes_what_can_be_served(
        holds in proptest::collection::vec(0_u64..100_000, 0..50),
        late in proptest::collection::vec(any::<bool>(), 0..200),
        places in 1_u32..300,
        goal_ms in 0_u64..5000,
    ) {
        let mut capacity = ServiceCapacity::default();
        let asking = CapacityRequest { goal_ms, ..request(1, "a") };
        for hold_ms in &holds {
            capacity.note_request(&asking, 1000);
            capacity.enter(None);
            capacity.leave(None, *hold_ms);
        }
        late.iter().for_each(|late| capacity.note_first_event(*late, places, places));

        let bound = capacity.bound(places, &asking);

        let held = f64::from(places);
        let most = held
            + held.sqrt()
            + held * WAIT_FRACTION * goal_ms as f64 / capacity.hold_ms().max(1.0);
        prop_assert!(bound >= 1.0 && bound <= most.max(1.0) + 1e-6, "{bound} of {most}");
        prop_assert!(
            capacity.used_fraction() >= MIN_USED_FRACTION && capacity.used_fraction() <= 1.0
        );
    }
}
