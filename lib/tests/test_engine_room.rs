//! Room at engines: who is taken, who is refused, and when a refused caller comes back.

use proptest::prelude::*;
use wingshed_lib::coordination::engine_room::{
    CapacityRequest, ReportedLoad, ServiceCapacity, MIN_USED_FRACTION, RESERVED_FRACTION,
    RETRY_AFTER_RANGE_MS, WAIT_FRACTION,
};

const PLACES: u32 = 48;
const GOAL_MS: u64 = 400;
const WAIT_MS: u64 = 10_000;

fn request(rank: u8, workspace: &str) -> CapacityRequest<'_> {
    CapacityRequest { rank, workspace: Some(workspace), goal_ms: GOAL_MS, wait_ms: WAIT_MS }
}

/// A service whose requests hold their places for this long.
fn learned_room(hold_ms: u64) -> ServiceCapacity {
    let mut room = ServiceCapacity::default();
    for _ in 0..200 {
        room.note_request(&request(1, "a"), 1000);
        room.note_admitted(&request(1, "a"));
        room.enter(Some("a"));
        room.leave(Some("a"), hold_ms);
    }
    room
}

#[test]
fn what_waits_at_an_engine_is_bounded_by_the_goal_of_answers() {
    let (quick, slow) = (learned_room(200), learned_room(4000));

    let [quick, slow] = [quick, slow].map(|room| room.bound(PLACES, &request(1, "a")));

    let chance = f64::from(PLACES).sqrt();
    let waiting = |hold_ms: f64| f64::from(PLACES) * WAIT_FRACTION * GOAL_MS as f64 / hold_ms;
    assert!((quick - (f64::from(PLACES) + chance + waiting(200.0))).abs() < 1.0, "{quick}");
    assert!((slow - (f64::from(PLACES) + chance + waiting(4000.0))).abs() < 1.0, "{slow}");
}

#[test]
fn late_answers_of_busy_engines_lower_the_places_that_are_used_and_others_do_not() {
    let mut room = learned_room(1000);
    let before = room.bound(PLACES, &request(1, "a"));

    (0..500).for_each(|_| room.note_first_event(true, 2, PLACES));
    assert_eq!(room.bound(PLACES, &request(1, "a")), before, "an idle engine's lateness");

    (0..500).for_each(|_| room.note_first_event(true, PLACES, PLACES));
    assert!((room.used_fraction() - MIN_USED_FRACTION).abs() < 1e-9, "and never below that");
    assert!(room.bound(PLACES, &request(1, "a")) < before);

    (0..500).for_each(|_| room.note_first_event(false, PLACES, PLACES));
    assert!((room.used_fraction() - 1.0).abs() < 1e-9, "it comes back");
}

#[test]
fn a_kind_that_is_served_more_often_than_a_more_urgent_one_leaves_it_places() {
    let mut room = ServiceCapacity::default();
    for turn in 0..100 {
        room.note_request(&request(0, "a"), 1000);
        room.note_request(&request(2, "a"), 1000);
        room.note_admitted(&request(2, "a"));
        if turn % 2 == 0 {
            room.note_admitted(&request(0, "a"));
        }
    }

    let urgent = room.bound(PLACES, &request(0, "a"));
    let ahead = room.bound(PLACES, &request(2, "a"));

    assert!((urgent - ahead - RESERVED_FRACTION * f64::from(PLACES)).abs() < 1e-9);
}

#[test]
fn a_workspace_beyond_twice_its_share_leaves_places_to_others_and_one_alone_may_fill_all() {
    let mut room = learned_room(1000);
    (0..30).for_each(|_| room.enter(Some("surging")));
    let alone = room.bound(PLACES, &request(1, "surging"));
    ["b", "c", "d"].iter().for_each(|name| room.enter(Some(name)));

    let surging = room.bound(PLACES, &request(1, "surging"));

    assert_eq!(alone, room.bound(PLACES, &request(1, "b")));
    assert!((alone - surging - RESERVED_FRACTION * f64::from(PLACES)).abs() < 1e-9);
}

#[test]
fn an_answer_that_can_only_be_late_leaves_the_last_places_to_those_in_time() {
    let room = learned_room(1000);
    let came_back = CapacityRequest { wait_ms: WAIT_MS - GOAL_MS, ..request(1, "a") };
    let patient = CapacityRequest { wait_ms: 3 * WAIT_MS, ..request(1, "a") };

    let fresh = room.bound(PLACES, &request(1, "a"));

    assert!(room.bound(PLACES, &came_back) < fresh);
    assert_eq!(room.bound(PLACES, &patient), fresh);
}

#[test]
fn refused_callers_come_back_one_after_the_other_as_places_come_free() {
    let mut room = learned_room(1000);
    (0..20).for_each(|_| room.enter(None));

    let told: Vec<u64> = (0..50).map(|_| room.next_retry_ms(5000)).collect();

    assert_eq!(told[0], 500, "a place each 50 ms, one in ten for those who come back");
    assert!(told.windows(2).all(|pair| pair[1] == pair[0] + 500), "{told:?}");
    (0..200).for_each(|_| assert!(room.next_retry_ms(5000) <= RETRY_AFTER_RANGE_MS.1));
    (0..980).for_each(|_| room.enter(None));
    assert_eq!(room.next_retry_ms(100_000), RETRY_AFTER_RANGE_MS.0, "the backlog has passed");
}

#[test]
fn what_this_vm_sent_since_the_news_counts_for_the_others_too_and_what_ended_does_not() {
    let grown =
        ReportedLoad { reported: 180, own: 24, own_reported: 20, vms: 10, engines: 18, age_ms: 0 };
    let fallen = ReportedLoad { own: 20, own_reported: 24, ..grown };

    assert!((grown.mean() - (10.0 + 4.0 * 9.0 / 18.0)).abs() < 1e-9);
    assert!((fallen.mean() - 10.0).abs() < 1e-9);
    assert_eq!(ReportedLoad::default().mean(), 0.0, "nothing is known yet");
    let few = ReportedLoad { reported: 8, own: 8, own_reported: 2, vms: 40, engines: 4, age_ms: 0 };
    assert!((few.mean() - 5.0).abs() < 1e-9, "chance at one VM is no crowd at all of them");
}

#[test]
fn a_vm_that_lost_its_leader_refuses_nothing_by_loads_that_were_told_long_ago() {
    let crowd =
        ReportedLoad { reported: 900, own: 90, own_reported: 90, vms: 10, engines: 18, age_ms: 0 };
    let ages = [300, 1000, 1001, 60_000].map(|age_ms| ReportedLoad { age_ms, ..crowd }.is_fresh());

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
        let mut room = ServiceCapacity::default();
        let asking = CapacityRequest { goal_ms, ..request(1, "a") };
        for hold_ms in &holds {
            room.note_request(&asking, 1000);
            room.enter(None);
            room.leave(None, *hold_ms);
        }
        late.iter().for_each(|late| room.note_first_event(*late, places, places));

        let bound = room.bound(places, &asking);

        let held = f64::from(places);
        let most = held + held.sqrt() + held * WAIT_FRACTION * goal_ms as f64 / room.hold_ms().max(1.0);
        prop_assert!(bound >= 1.0 && bound <= most.max(1.0) + 1e-6, "{bound} of {most}");
        prop_assert!(room.used_fraction() >= MIN_USED_FRACTION && room.used_fraction() <= 1.0);
    }
}
