//! The time at which a draining router stops, on a simulated clock.

use wingshed_lib::coordination::router_drain::{DrainStep, DrainWatch, LEAVE_WAIT_MS, LINGER_MS};

const MOST_MS: u64 = 30_000;
const BEGAN_MS: u64 = 7_000;

/// Returns when a drain stops, in milliseconds since its start, evaluated every 20 ms.
fn stops_after(in_flight: impl Fn(u64) -> usize, leave_ended: impl Fn(u64) -> bool) -> u64 {
    let mut watch = DrainWatch::new(BEGAN_MS, MOST_MS);
    (0..=MOST_MS)
        .step_by(20)
        .find(|at| watch.step(in_flight(*at), leave_ended(*at), BEGAN_MS + at) == DrainStep::Stop)
        .unwrap()
}

#[test]
fn an_idle_router_lingers_for_callers_that_kept_its_address() {
    assert_eq!(stops_after(|_| 0, |_| true), LINGER_MS);
}

#[test]
fn the_linger_counts_from_the_last_request() {
    let late = |at| usize::from(at < 4000 || (5000..5200).contains(&at));

    assert_eq!(stops_after(late, |_| true), 5200 + LINGER_MS);
}

#[test]
fn the_linger_counts_from_when_peers_could_know() {
    assert_eq!(stops_after(|_| 0, |at| at >= 1000), 1000 + LINGER_MS);
}

// Guards against a stop that waits for each of several unreachable keepers in turn.
#[test]
fn keepers_that_never_answer_hold_a_drain_up_for_a_bounded_time() {
    assert_eq!(stops_after(|_| 0, |_| false), LEAVE_WAIT_MS + LINGER_MS);
}

#[test]
fn a_request_that_never_ends_holds_a_drain_up_for_its_limit() {
    assert_eq!(stops_after(|_| 1, |_| true), MOST_MS);
}

#[test]
fn streams_and_silent_keepers_are_waited_for_at_the_same_time() {
    assert_eq!(stops_after(|at| usize::from(at < 6000), |_| false), 6000 + LINGER_MS);
}
