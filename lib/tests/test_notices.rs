//! Notices that upstreams give, and their effect on choices, fetches and connections.

mod testutils;

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use wingshed_lib::coordination::plain_choice::{choose_by_own_load, choose_plain};
use wingshed_lib::coordination::silence::SilenceTable;
use wingshed_lib::coordination::upstream_candidate::{
    earliest_retry, ChoiceError, UpstreamCandidate,
};
use wingshed_lib::coordination::upstream_choice::{choose_engine, PrefixMemory};
use wingshed_lib::coordination::upstream_notice::ApproachPurpose::{Request, Trial};
use wingshed_lib::coordination::upstream_notice::{
    ApproachPurpose, NoticeTable, BACKOFF_TRIAL_MS, FIRST_AVOIDED_MS, MAX_BACKOFF_MS,
};
use wingshed_lib::state::ids::UpstreamKey;
use wingshed_lib::state::prompt_part::PromptPart;
use wingshed_lib::transport::vm_pool::{ConnectFault, ConnectTarget, ConnectionPool};

use testutils::engines::{candidate, RULES};

const KEY: UpstreamKey = UpstreamKey(7);
const HOUR_MS: u64 = 3_600_000;
const DRAIN_MS: u64 = 3000;
/// The resolution of the node's clock, in milliseconds.
const STEP_MS: u64 = 1;

fn backing_off(key: u64, backoff_ms: u64) -> UpstreamCandidate {
    UpstreamCandidate { backoff_ms, ..candidate(key, 0) }
}

fn shared_prompt() -> Vec<PromptPart> {
    [(1, 800), (2, 400), (99, 10)].map(|(id, tokens)| PromptPart { id, tokens }).to_vec()
}

#[test]
fn rest_only_grows_and_ends_by_itself() {
    let mut notices = NoticeTable::default();
    notices.note_backoff(KEY, 3000, 1000);
    notices.note_backoff(KEY, 10, 1500);

    let left = [999, 1500, 3999, 4000].map(|now_ms| notices.backoff_ms(KEY, now_ms));

    assert_eq!(left, [3001, 2500, 1, 0]);
    for purpose in [Request, Trial] {
        assert!(!notices.may_approach(KEY, purpose, 3999));
        assert!(notices.may_approach(KEY, purpose, 4000));
    }
    assert_eq!(notices.backoff_ms(UpstreamKey(8), 1500), 0, "another incarnation");
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(27), ..ProptestConfig::default() })]

    /// A caller that retries after the time it was given isn't refused again and finds the
    /// upstream's back-off over, and that time is no longer than what is left of the back-off plus
    /// the uncertainty of two readings of a clock of whole milliseconds.
    #[test]
    fn a_return_as_told_is_never_too_soon(
        asked_us in 0..20_000_u64, refused_after_us in 0..8_000_000_u64, backoff_ms in 1..8_000_u64,
    ) {
        let refused_us = asked_us + refused_after_us;
        let over_us = asked_us + backoff_ms * 1000;
        let mut notices = NoticeTable::default();
        notices.note_backoff(KEY, backoff_ms, asked_us / 1000 + STEP_MS);

        let retry_ms = notices.backoff_ms(KEY, refused_us / 1000);
        let back_us = refused_us + retry_ms * 1000;

        prop_assert!(retry_ms == 0 || notices.may_approach(KEY, Request, back_us / 1000));
        prop_assert!(back_us >= over_us, "{} us too soon", over_us - back_us);
        let left_us = over_us.saturating_sub(refused_us);
        prop_assert!(retry_ms * 1000 < left_us + 2 * STEP_MS * 1000, "{retry_ms} ms of {left_us} us");
        prop_assert!(retry_ms <= backoff_ms + STEP_MS);
    }
}

#[test]
fn a_huge_rest_is_a_day() {
    let mut notices = NoticeTable::default();

    notices.note_backoff(KEY, u64::MAX, 5);

    assert_eq!(notices.backoff_ms(KEY, 5), MAX_BACKOFF_MS);
}

#[test]
fn after_a_rest_one_request_goes_first() {
    let mut notices = NoticeTable::default();
    notices.note_backoff(KEY, 1000, 0);
    assert!(!notices.is_avoided(KEY, 1000), "no request was sent yet");

    notices.note_sent(KEY, 1000);
    let during = (notices.is_avoided(KEY, 1001), notices.is_avoided(KEY, 1000 + BACKOFF_TRIAL_MS));
    notices.note_accepted(KEY, 1010);
    let accepted = notices.is_avoided(KEY, 1011);
    notices.note_sent(KEY, 1020);

    assert_eq!(
        (during, accepted),
        ((true, false), false),
        "an accepted request or the time ends the trial"
    );
    assert!(!notices.is_avoided(KEY, 1021), "it is treated like any other");
}

#[test]
fn an_upstream_that_turns_its_first_request_away_rests_again() {
    let mut notices = NoticeTable::default();
    notices.note_backoff(KEY, 1000, 0);
    notices.note_sent(KEY, 1000);

    notices.note_backoff(KEY, 1000, 1005);
    let again_ms = notices.backoff_ms(KEY, 1005);
    notices.note_accepted(KEY, 1100);

    assert_eq!(again_ms, 1000);
    assert_eq!(
        notices.backoff_ms(KEY, 1100),
        905,
        "the answer to an earlier request ends no back-off"
    );
    notices.note_sent(KEY, 2005);
    assert!(notices.is_avoided(KEY, 2006));
}

#[test]
fn who_turns_requests_away_in_a_row_is_left_to_others_for_longer_each_time() {
    let mut notices = NoticeTable::default();
    let mut avoided_ms = Vec::new();

    for at in 0..5 {
        let now_ms = 10_000 * (at + 1);
        notices.note_rejected(KEY, now_ms);
        avoided_ms.push((0..9000).find(|ms| !notices.is_avoided(KEY, now_ms + ms)).unwrap());
    }
    notices.note_accepted(KEY, 70_000);
    notices.note_rejected(KEY, 70_001);

    assert_eq!(avoided_ms, [0, 1000, 2000, 4000, 4000].map(|part| part * FIRST_AVOIDED_MS / 1000));
    assert!(!notices.is_avoided(KEY, 70_001), "a single rejection has no effect");
    assert!(notices.may_approach(KEY, Request, 50_001), "it asked for no back-off");
}

#[test]
fn who_leaves_is_a_last_resort_for_a_while_from_when_it_first_said_so() {
    let mut notices = NoticeTable::default();

    let is_new = [0, 900].map(|now_ms| notices.note_leaving(KEY, DRAIN_MS, now_ms));

    assert_eq!(is_new, [true, false]);
    let last = [999, 1000].map(|now_ms| notices.is_last_resort(KEY, now_ms));
    let sent = [999, 1000].map(|now_ms| notices.may_approach(KEY, Request, now_ms));
    assert_eq!((last, sent), ([true, false], [true, false]));
    notices.note_backoff(KEY, 500, 0);
    assert!(!notices.may_approach(KEY, Request, 400), "it asked for back-off, too");
}

#[test]
fn what_was_said_outlasts_lists_that_lack_the_incarnation() {
    let mut notices = NoticeTable::default();
    notices.note_backoff(KEY, 2 * HOUR_MS, 0);
    notices.note_leaving(UpstreamKey(8), DRAIN_MS, 0);
    notices.note_leaving(UpstreamKey(9), DRAIN_MS, 2 * HOUR_MS);
    notices.sweep(|key| key.0 < 9, 0);

    notices.sweep(|_| false, HOUR_MS - 1);
    let before = (notices.backoff_ms(KEY, HOUR_MS), notices.is_leaving(UpstreamKey(8)));
    notices.sweep(|_| false, HOUR_MS);
    let after = (notices.backoff_ms(KEY, HOUR_MS), notices.is_leaving(UpstreamKey(8)));
    notices.sweep(|_| false, 2 * HOUR_MS);
    let last = (notices.backing_off(0), notices.is_leaving(UpstreamKey(9)));

    assert_eq!(before, (HOUR_MS, true));
    assert_eq!(after, (HOUR_MS, false), "only a back-off that isn't over is kept that long");
    assert_eq!(last, (0, true), "a recent notice stays, whether listed or not");
}

#[test]
fn the_earliest_return_is_told_only_where_all_that_take_work_rest() {
    let leaving = UpstreamCandidate { leaving: true, ..candidate(3, 0) };
    let withheld = UpstreamCandidate { withheld: true, ..candidate(4, 0) };
    let cases = [
        (vec![backing_off(1, 900), backing_off(2, 300), leaving, withheld], Some(300)),
        (vec![backing_off(1, 900), candidate(2, 50)], None),
        (vec![leaving, withheld], None),
        (vec![], None),
    ];
    for (candidates, backoff_ms) in cases {
        assert_eq!(earliest_retry(&candidates), backoff_ms, "{candidates:?}");
    }
}

#[test]
fn nobody_that_rests_is_chosen_whatever_its_load() {
    let mixed = [backing_off(1, 1), candidate(2, 40), backing_off(3, 5000)];
    let all = [backing_off(1, 40), backing_off(2, 30)];
    let tried = [backing_off(1, 40), UpstreamCandidate { tried: true, ..candidate(2, 0) }];
    let memory = PrefixMemory::default();

    for draw in 0..20 {
        let picks = [choose_plain(&mixed, usize::MAX, draw), choose_by_own_load(&mixed, draw)];
        assert_eq!(picks, [Ok(UpstreamKey(2)); 2]);
    }
    let engine = |candidates: &[UpstreamCandidate]| {
        choose_engine(candidates, &shared_prompt(), &memory, &RULES, 1).map(|pick| pick.upstream)
    };
    assert_eq!(engine(&mixed), Ok(UpstreamKey(2)));
    let refusals = [engine(&all), choose_plain(&all, usize::MAX, 1), choose_by_own_load(&all, 1)];
    assert_eq!(refusals, [Err(ChoiceError::BackingOff(30)); 3]);
    assert_eq!(engine(&tried), Err(ChoiceError::NoUpstream), "another attempt may go to it");
}

#[test]
fn nothing_is_fetched_from_an_engine_that_rests() {
    let mut memory = PrefixMemory::default();
    let prompt = shared_prompt();
    let available: Vec<UpstreamCandidate> = (1..=6).map(|key| candidate(key, 0)).collect();
    let best = choose_engine(&available, &prompt, &memory, &RULES, 1).unwrap().upstream;
    memory.note_sent(&prompt, best, 1);
    let with_backoff = |backoff_ms: u64| -> Vec<UpstreamCandidate> {
        let backoff = |c: &UpstreamCandidate| if c.key == best { backoff_ms } else { 0 };
        available.iter().map(|c| UpstreamCandidate { backoff_ms: backoff(c), ..*c }).collect()
    };
    let busy: Vec<UpstreamCandidate> =
        with_backoff(0).iter().map(|c| UpstreamCandidate { full: c.key == best, ..*c }).collect();

    let with_full = choose_engine(&busy, &prompt, &memory, &RULES, 2).unwrap();
    let with_backing_off = choose_engine(&with_backoff(500), &prompt, &memory, &RULES, 2).unwrap();

    assert_eq!(with_full.fetch_from, Some(best));
    assert_ne!(with_backing_off.upstream, best);
    assert_ne!(with_backing_off.fetch_from, Some(best), "a fetch is work for it, too");
}

#[test]
fn a_leader_that_is_asked_for_rest_calls_nobody_reached() {
    let mut table = SilenceTable::default();
    table.suspect(1, KEY, 10, 0);
    table.suspect(1, KEY, 11, 10);
    assert_eq!(table.due_probes(20), [KEY]);

    table.note_probe_skipped(KEY, 30);
    let early = table.unresponsive();
    table.note_probe_skipped(KEY, 5000);

    assert_eq!(early, [KEY], "two VMs suspect it");
    assert_eq!(table.unresponsive(), [], "no VM suspects it any more");
}

fn run_local(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, test);
}

fn approach(address: SocketAddr, purpose: ApproachPurpose, now_ms: u64) -> ConnectTarget {
    ConnectTarget { upstream: KEY, address, purpose, now_ms }
}

async fn listening() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

#[test]
fn no_connection_is_opened_or_taken_to_an_upstream_that_rests() {
    run_local(async {
        let (listener, address) = listening().await;
        let pool = ConnectionPool::default();
        let Ok(kept) = pool.connect(approach(address, Request, 0)).await else {
            panic!("no back-off was asked for yet")
        };
        let accepted = listener.accept().await.unwrap();
        kept.finish(false, None, 0).await;
        pool.notices().borrow_mut().note_backoff(KEY, 1000, 0);

        let refused = [
            pool.take(approach(address, Request, 10)).await.err(),
            pool.connect(approach(address, Request, 10)).await.err(),
        ];
        let more = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;

        assert_eq!(refused, [Some(ConnectFault::Disallowed); 2]);
        assert!(more.is_err(), "no connection is opened");
        assert!(pool.take(approach(address, Request, 1000)).await.is_ok(), "the back-off is over");
        drop(accepted);
    });
}

#[test]
fn who_leaves_is_sent_nothing_and_may_be_tried() {
    run_local(async {
        let (_listener, address) = listening().await;
        let pool = ConnectionPool::default();
        pool.notices().borrow_mut().note_leaving(KEY, DRAIN_MS, 0);

        let sent = pool.connect(approach(address, Request, DRAIN_MS)).await.err();
        let tried = pool.connect(approach(address, Trial, DRAIN_MS)).await.err();

        assert_eq!((sent, tried), (Some(ConnectFault::Disallowed), None));
    });
}

#[test]
fn a_connection_that_comes_up_after_rest_was_asked_for_carries_nothing() {
    run_local(async {
        let (_listener, address) = listening().await;
        let pool = ConnectionPool::default();
        let asks = async { pool.notices().borrow_mut().note_backoff(KEY, 1000, 5) };

        // The connection isn't open when it is first polled.
        let (connected, ()) = tokio::join!(pool.connect(approach(address, Request, 0)), asks);

        assert_eq!(connected.err(), Some(ConnectFault::Disallowed));
    });
}
