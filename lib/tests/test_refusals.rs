//! What a VM concludes from refused connections.

use wingshed_lib::coordination::outlier::{
    check_pause_ms, OutlierTable, MAX_CHECK_PAUSE_MS, MIN_CHECK_PAUSE_MS,
};
use wingshed_lib::state::ids::UpstreamKey;

const UPSTREAM: UpstreamKey = UpstreamKey(7);
const NOW_MS: u64 = 50_000;
/// How many checks an ended upstream may get within ten seconds.
const MAX_CHECKS_IN_TEN_SECONDS: usize = 20;

/// The times of the checks of an upstream within `refused_ms` since it refused a connection.
fn check_times(refused_ms: u64) -> Vec<u64> {
    let next = |at_ms: &u64| Some(at_ms + check_pause_ms(*at_ms));
    let times = std::iter::successors(Some(check_pause_ms(0)), next);
    times.take_while(|at_ms| *at_ms <= refused_ms).collect()
}

#[test]
fn an_upstream_is_checked_within_a_quarter_of_the_time_for_which_it_refused() {
    for refused_ms in (0..60_000).step_by(37) {
        let last_ms = check_times(refused_ms).last().copied().unwrap_or(0);

        let next_ms = last_ms + check_pause_ms(last_ms);

        let limit_ms = (refused_ms / 4).clamp(MIN_CHECK_PAUSE_MS, MAX_CHECK_PAUSE_MS);
        assert!(next_ms - refused_ms <= limit_ms, "refused for {refused_ms} ms");
    }
}

#[test]
fn an_ended_upstream_gets_few_checks() {
    let in_ten_seconds = check_times(10_000).len();
    let in_an_hour = check_times(3_600_000).len();

    assert!(in_ten_seconds <= MAX_CHECKS_IN_TEN_SECONDS, "{in_ten_seconds}");
    let after_an_hour = MAX_CHECKS_IN_TEN_SECONDS + (3_600_000 / MAX_CHECK_PAUSE_MS) as usize;
    assert!(in_an_hour <= after_an_hour, "{in_an_hour}");
}

// Guards against a refused connection that counted as the end of a process for as long as that was listed.
#[test]
fn a_refusal_lasts_until_a_connection_is_accepted() {
    let mut table = OutlierTable::default();

    let first = table.note_refused(UPSTREAM, NOW_MS);
    let again = table.note_refused(UPSTREAM, NOW_MS + 1);
    // An answer over an open connection doesn't show that new ones are accepted.
    table.note_success(UPSTREAM);
    let refusing = (table.is_down(UPSTREAM), table.is_ejected(UPSTREAM, NOW_MS + 2));
    table.note_accepted(UPSTREAM);
    let accepted = (table.is_down(UPSTREAM), table.is_ejected(UPSTREAM, NOW_MS + 3));

    assert_eq!((first, again), (true, false));
    assert_eq!((refusing, accepted), ((true, true), (false, false)));
}

#[test]
fn an_upstream_that_accepts_connections_again_is_half_open_until_it_answers() {
    let mut table = OutlierTable::default();
    table.note_refused(UPSTREAM, NOW_MS);

    table.note_answered(UPSTREAM);
    table.note_accepted(UPSTREAM);
    let before = table.is_half_open(UPSTREAM);
    table.note_answered(UPSTREAM);

    assert_eq!((before, table.is_half_open(UPSTREAM)), (true, false));
    assert!(!table.is_down(UPSTREAM));
}

#[test]
fn an_incarnation_that_has_ended_stays_so() {
    let mut table = OutlierTable::default();
    table.note_refused(UPSTREAM, NOW_MS);

    table.note_ended(UPSTREAM);
    table.note_accepted(UPSTREAM);
    table.note_success(UPSTREAM);
    let refused = table.note_refused(UPSTREAM, NOW_MS + 1);

    assert!(table.has_ended(UPSTREAM) && table.is_down(UPSTREAM));
    assert_eq!((refused, table.refusing_since_ms(UPSTREAM)), (false, None));
}
