//! Updates that a leader sends to the VMs of a fleet: they contain only changes, and whatever is lost
//! in transit, the VMs end up with the leader's state.

use std::net::SocketAddr;

use proptest::prelude::*;
use wingshed_lib::coordination::list_reader::{
    list_action, reader_delay_ms, reader_order, request_targets, ListAction, ListCost, ListStatus,
    NO_LIST_MS, PAGES_AT_ONCE,
};
use wingshed_lib::coordination::upstream_load::{
    positional_loads, LoadReports, LoadUpdate, UpstreamLoad,
};
use wingshed_lib::coordination::vm_roster::{
    addresses_ttl_s, leader_search_pause_ms, RosterCopy, RosterRevision, RosterRow, VmRoster,
    RENEW_MS, ROW_KEEP_MS,
};
use wingshed_lib::state::document_change::DocumentChange;
use wingshed_lib::state::ids::UpstreamKey;
use wingshed_lib::state::rollout_order::VersionKey;
use wingshed_lib::state::upstream_list::{
    EntryDefect, ListDelta, ListRevision, UpstreamEntry, UpstreamList,
};
use wingshed_lib::state::zero_runs::{pack_zeros, unpack_zeros};

fn entry(number: u16, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("life-{number}"),
        service: "engines".to_string(),
        address: SocketAddr::from(([10, 0, 0, 1], 1000 + number)),
        zone: "a".to_string(),
        leaving,
        ring_slot: Some(u64::from(number)),
        cold: false,
        version: VersionKey::default(),
        started_ms: None,
        defect: EntryDefect::None,
    }
}

fn entries(numbers: &[u16]) -> Vec<UpstreamEntry> {
    numbers.iter().map(|number| entry(*number, false)).collect()
}

/// The VM that leads in these cases, and one that reads the list without a leader.
const LEADER: u32 = 7;
const LONE: u32 = 3;

/// Makes the leader of `term` read `rows` from the platform.
fn lead(
    list: &mut UpstreamList,
    rows: Vec<UpstreamEntry>,
    term: u64,
    ms: u64,
) -> Option<ListDelta> {
    list.update_from_read(rows, Some(term), LEADER, ms)
}

fn row(id: u32, ready: bool) -> RosterRow {
    RosterRow { id, zone: 0, ready }
}

/// Returns a leader of term 1 and a VM that has received its first list.
fn leader_and_follower() -> (UpstreamList, UpstreamList) {
    let (mut leader, mut follower) = (UpstreamList::default(), UpstreamList::default());
    lead(&mut leader, entries(&[1, 2]), 1, 0).expect("a first list is a change");
    follower.take_whole(leader.revision, leader.rows(), 0);
    (leader, follower)
}

#[test]
fn a_step_tells_only_what_is_new() {
    let (mut leader, mut follower) = leader_and_follower();

    let step = lead(&mut leader, vec![entry(2, true), entry(3, false)], 1, 10).expect("update");
    let nothing = lead(&mut leader, vec![entry(2, true), entry(3, false)], 1, 20);

    assert_eq!(step.change.rows, [entry(2, true), entry(3, false)]);
    assert_eq!(step.change.removed, [entry(1, false).key()]);
    assert!(nothing.is_none(), "an unchanged list is no change");
    assert!(follower.apply_delta(step, 10));
    assert_eq!((follower.revision, follower.rows()), (leader.revision, leader.rows()));
}

#[test]
fn a_new_leader_goes_on_from_what_the_last_one_told() {
    let (_, mut heir) = leader_and_follower();
    let mut other = heir.clone();

    let step = lead(&mut heir, entries(&[1, 2]), 2, 10).expect("a new term is a change");

    assert!(step.change.is_empty(), "only the term has changed");
    assert!(other.apply_delta(step, 10));
    assert_eq!(other.revision, heir.revision);
}

#[test]
fn a_step_from_another_state_is_not_taken() {
    type Act = fn(&mut UpstreamList);
    let cases: [(&str, Act); 3] = [
        ("it missed a delta", |list| drop(lead(list, entries(&[9]), 1, 5))),
        ("it read another list itself", |list| {
            drop(list.update_from_read(entries(&[1]), None, LONE, 5))
        }),
        ("it has received nothing yet", |list| *list = UpstreamList::default()),
    ];
    for (case, act) in cases {
        let (mut leader, mut follower) = leader_and_follower();
        act(&mut follower);
        let before = follower.rows();

        let step = lead(&mut leader, entries(&[2, 3]), 1, 10).expect("update");

        assert!(!follower.apply_delta(step, 10), "{case}");
        assert_eq!(follower.rows(), before, "{case}");
    }
}

#[test]
fn a_leader_that_read_for_itself_meanwhile_is_heard_again_at_once() {
    let (mut leader, mut follower) = leader_and_follower();
    for number in 3..9 {
        let step = lead(&mut leader, entries(&[1, number]), 1, 10).expect("update");
        assert!(follower.apply_delta(step, 10));
    }
    // It had no lease for a moment while a read was under way, so the read counts as leaderless.
    leader.update_from_read(entries(&[1]), None, LEADER, 20);

    lead(&mut leader, vec![entry(1, true)], 1, 30).expect("update");
    let taken = follower.take_whole(leader.revision, leader.rows(), 30);

    assert!(taken, "{:?} after {:?}", leader.revision, follower.revision);
    assert!(follower.rows()[0].leaving);
}

#[test]
fn an_older_whole_list_takes_nothing_back() {
    let (mut leader, mut follower) = leader_and_follower();
    let old = (leader.revision, leader.rows());
    let step = lead(&mut leader, entries(&[2, 3]), 1, 10).expect("update");
    follower.apply_delta(step, 10);

    assert!(!follower.take_whole(old.0, old.1, 20));
    assert_eq!(follower.rows(), leader.rows());
}

#[test]
fn sums_follow_what_vms_tell_and_forget() {
    let load = |upstream, requests| UpstreamLoad { upstream: UpstreamKey(upstream), requests };
    let keys = [UpstreamKey(2), UpstreamKey(4), UpstreamKey(7), UpstreamKey(9)];
    let mut roster = VmRoster::default();
    roster.note(row(1, true), None, vec![load(4, 2), load(7, 1)], 0);
    roster.note(row(2, true), None, vec![load(7, 300), load(8, 5)], 500);
    roster.note(row(1, true), None, vec![load(4, 3)], 600);

    let placed = positional_loads(&roster.loads(), keys.iter());
    roster.expire(500 + ROW_KEEP_MS);
    let later = positional_loads(&roster.loads(), keys.iter());

    assert_eq!(placed, [0, 3, 255, 0], "by position; 255 stands for all larger numbers");
    assert_eq!(later, [0, 3, 0, 0]);
    assert_eq!(roster.loads(), [load(4, 3)]);
    let mut reported = LoadReports::default();
    reported.note_positional(keys.iter(), &placed, &[load(4, 1)]);
    assert_eq!(keys.map(|key| reported.others(key)), [0, 2, 255, 0]);
}

#[test]
fn news_of_the_roster_are_the_rows_that_changed() {
    let mut roster = VmRoster::default();
    roster.note(row(1, true), None, Vec::new(), 0);
    roster.note(row(2, false), None, Vec::new(), 0);
    let mut copy = RosterCopy::default();
    let first = roster.update_since(5, copy.revision);
    copy.take(first.clone());

    roster.note(row(1, true), None, Vec::new(), ROW_KEEP_MS);
    roster.note(row(3, true), None, Vec::new(), ROW_KEEP_MS);
    roster.expire(ROW_KEEP_MS);
    let second = roster.update_since(5, copy.revision);
    copy.take(second.clone());
    copy.take(first);

    assert_eq!((second.rows, second.removed, second.whole), (vec![row(3, true)], vec![2], false));
    assert_eq!(copy.rows, [row(1, true), row(3, true)], "a late update reverts nothing");
    let none = roster.update_since(5, copy.revision);
    assert!(none.rows.is_empty() && none.removed.is_empty(), "{none:?}");
    assert!(roster.update_since(6, copy.revision).whole, "another term has other revisions");
}

#[test]
fn a_vm_that_missed_more_than_is_remembered_is_told_the_whole() {
    let mut roster = VmRoster::default();
    roster.note(row(1, true), None, Vec::new(), 0);
    let mut copy = RosterCopy::default();
    copy.take(roster.update_since(5, copy.revision));
    for id in 100..300 {
        let now_ms = u64::from(id) * ROW_KEEP_MS;
        roster.expire(now_ms);
        roster.note(row(id, true), None, Vec::new(), now_ms);
    }

    let update = roster.update_since(5, copy.revision);

    assert!(update.whole);
    copy.take(update);
    assert_eq!(copy.rows, roster.rows());
}

#[test]
fn readings_of_the_list_stay_within_what_the_platform_takes() {
    // Calls per second and pages; then the pauses of the leader, of a VM without a leader, and of such
    // a VM after many refusals, in milliseconds.
    let cases = [
        ((47.0, 1), [600, 600, 6784]),
        ((47.0, 21), [638, 2234, 142_976]),
        ((260.0, 60), [600, 1153, 73_792]),
        ((0.0, 1), [1428, 5000, 320_000]),
    ];
    for ((calls_per_s, pages), pauses) in cases {
        let cost = ListCost { calls_per_s, pages };
        let leader_ms = cost.leader_pause_ms(3000, 25 * pages as u64);
        let computed = [leader_ms, cost.leaderless_pause_ms(0), cost.leaderless_pause_ms(40)];
        assert_eq!(computed, pauses, "{cost:?}");
        // If none of 300 VMs reaches another, their backoff keeps them within the limit in the end.
        let all_per_s = 300.0 * pages as f64 * 1000.0 / pauses[2] as f64;
        assert!(all_per_s <= calls_per_s.max(1.0), "{cost:?}: {all_per_s} per second");
    }
    let cost = ListCost { calls_per_s: 50.0, pages: 60 };
    let leader = [PAGES_AT_ONCE - 1, PAGES_AT_ONCE].map(|page| cost.leader_page_ms(page));
    assert_eq!(leader, [0, 28]);
    let alone = [(1, 0), (PAGES_AT_ONCE, 0), (1, 1), (1, 3), (0, 3)];
    let alone = alone.map(|(page, refusals)| cost.leaderless_page_ms(page, refusals));
    assert_eq!(alone, [0, 100, 200, 800, 0]);
}

#[test]
fn a_vm_asks_and_reads_only_when_no_leader_gives_it_a_list() {
    const STALE_MS: u64 = 1500;
    let status = |first_contact_ms, confirmed_ms, has_list| ListStatus {
        first_contact_ms,
        confirmed_ms,
        stale_ms: STALE_MS,
        has_list,
    };
    let (waits, requests, reads) = (ListAction::Wait, ListAction::Request, ListAction::Read);
    let step_ms = reader_delay_ms(1);
    let cases = [
        (
            "it has just started, and all others may have, too",
            status(None, 0, false),
            0,
            60_000,
            requests,
        ),
        ("it has just started, with a list from its disk", status(None, 0, true), 0, 60_000, waits),
        (
            "its leader may still send a list",
            status(Some(100), 300, false),
            0,
            100 + NO_LIST_MS,
            requests,
        ),
        (
            "its leader sent no list in time",
            status(Some(100), 300, false),
            0,
            101 + NO_LIST_MS,
            reads,
        ),
        ("its leader confirms the list", status(Some(100), 9000, true), 0, 9000 + STALE_MS, waits),
        (
            "its list is too old, and it is the first reader",
            status(Some(100), 9000, true),
            0,
            9001 + STALE_MS,
            reads,
        ),
        (
            "its list is too old, and another VM is the first reader",
            status(Some(100), 9000, true),
            1,
            9001 + STALE_MS,
            requests,
        ),
        (
            "the first reader sent nothing in time",
            status(Some(100), 9000, true),
            1,
            9001 + STALE_MS + step_ms,
            reads,
        ),
        (
            "its list from disk counts from the first contact",
            status(Some(100), 0, true),
            0,
            100 + STALE_MS,
            waits,
        ),
        ("its list from disk is too old", status(Some(100), 0, true), 0, 101 + STALE_MS, reads),
    ];
    for (case, status, rank, now_ms, action) in cases {
        assert_eq!(list_action(&status, now_ms, || rank), action, "{case}");
    }
}

/// Simulates VMs whose leader does not answer: each requests the list and reads it in its turn, answers
/// arrive at once, and only VMs on the same side of a partition reach each other. Returns how many reads
/// there were within `until_ms` after the lists became too old, and when all VMs had a newer one.
fn play_readers(vms: u32, sides: u32, until_ms: u64) -> (usize, Option<u64>) {
    const STALE_MS: u64 = 2000;
    let ids: Vec<u32> = (1..=vms).collect();
    let order = reader_order(&ids[..5], ids.iter().copied(), 9);
    let mut confirmed_ms = vec![1000; vms as usize];
    let (mut readings, mut all_ms) = (0, None);
    for now_ms in (1000 + STALE_MS..=1000 + STALE_MS + until_ms).step_by(50) {
        for (rank, id) in order.iter().enumerate() {
            let at = (*id - 1) as usize;
            let status = ListStatus {
                first_contact_ms: Some(500),
                confirmed_ms: confirmed_ms[at],
                stale_ms: STALE_MS,
                has_list: true,
            };
            match list_action(&status, now_ms, || rank) {
                ListAction::Wait => {}
                ListAction::Read => {
                    readings += 1;
                    confirmed_ms[at] = now_ms;
                }
                ListAction::Request => {
                    let round = ((now_ms - 3000) / 250) as usize;
                    let asked =
                        request_targets(&order, *id, round, (now_ms / 50) as usize * 31 + at);
                    let reached = asked.iter().filter(|other| **other % sides == id % sides);
                    let best = reached.map(|other| confirmed_ms[(*other - 1) as usize]).max();
                    confirmed_ms[at] = confirmed_ms[at].max(best.unwrap_or(0));
                }
            }
        }
        if all_ms.is_none() && confirmed_ms.iter().all(|at_ms| *at_ms > 1000) {
            all_ms = Some(now_ms - 1000 - STALE_MS);
        }
    }
    (readings, all_ms)
}

#[test]
fn without_a_leader_a_few_read_for_all_however_many_there_are() {
    // Guards against every VM reading for itself, which would be 300 reads every 2.3 s.
    for vms in [10, 30, 300, 1000] {
        let (readings, all_ms) = play_readers(vms, 1, 8000);
        assert!(readings <= 8, "{vms} VMs: {readings} reads in 8 s");
        assert!(all_ms.is_some_and(|ms| ms <= 300), "{vms} VMs: all have one after {all_ms:?} ms");
    }
    let (readings, all_ms) = play_readers(300, 2, 8000);
    assert!(readings <= 16, "two partitions: {readings} reads in 8 s");
    assert!(all_ms.is_some_and(|ms| ms <= 1500), "two partitions: after {all_ms:?} ms");
    let (_, all_ms) = play_readers(300, 300, 8000);
    assert!(all_ms.is_some_and(|ms| ms <= 3300), "each for itself: after {all_ms:?} ms");
}

#[test]
fn a_large_fleet_asks_seldomer_and_is_asked_seldomer() {
    // VMs; the pause between searches for a leader, in milliseconds; how long addresses are cached, in
    // seconds.
    let cases =
        [(0, 50, 2.0), (10, 50, 2.0), (92, 50, 5.0), (300, 150, 5.0), (1000, RENEW_MS, 5.0)];
    for (vms, search_ms, ttl_s) in cases {
        assert_eq!(
            (leader_search_pause_ms(vms), addresses_ttl_s(vms)),
            (search_ms, ttl_s),
            "{vms} VMs"
        );
    }
}

#[test]
fn readers_are_keepers_first_and_every_vm_orders_them_alike() {
    let order = reader_order(&[4, 9], [9, 3, 1, 2, 4].into_iter(), 5);
    let shuffled = reader_order(&[9, 4], [1, 2, 3, 4, 9].into_iter(), 5);

    assert_eq!(order, shuffled);
    assert_eq!(order.len(), 5, "each once: {order:?}");
    assert!(order[..2].contains(&4) && order[..2].contains(&9), "{order:?}");
    assert!(request_targets(&order, order[0], 0, 0).iter().all(|id| *id != order[0]));
    assert!(request_targets(&[4], 4, 0, 0).is_empty(), "no other VM is known");
}

#[test]
fn what_a_lone_reader_found_unchanged_stays_what_the_leader_told() {
    let (mut leader, mut follower) = leader_and_follower();

    let step = follower.update_from_read(entries(&[1, 2]), None, LONE, 500);

    assert!(step.is_none(), "the list is unchanged, so that no whole list is needed later");
    assert_eq!((follower.revision, follower.confirmed_ms), (leader.revision, 500));
    let step = lead(&mut leader, entries(&[1, 3]), 1, 900).expect("update");
    assert!(follower.apply_delta(step, 900));
}

#[test]
fn a_leaders_older_list_does_not_replace_what_was_read_without_it() {
    let (mut leader, mut follower) = leader_and_follower();
    let sent = (leader.revision, leader.rows());
    follower.update_from_read(vec![entry(1, true), entry(2, false)], None, LONE, 500);

    assert!(!follower.take_whole(sent.0, sent.1, 600), "the leader's list is older");
    exchange_revisions(&mut leader, &mut follower, 700);

    let leaves = leader.rows().iter().any(|row| row.leaving);
    assert!(leaves, "the leader takes over the newer list");
    let step = lead(&mut leader, entries(&[2]), 1, 900).expect("update");
    assert!(follower.apply_delta(step, 900), "the leader continues from the newer list");
}

#[test]
fn two_that_read_without_a_leader_end_alike() {
    let (mut one, mut other) = leader_and_follower();
    one.update_from_read(entries(&[1, 5]), None, 11, 500);
    other.update_from_read(entries(&[1, 6]), None, 12, 500);
    assert_ne!(one.revision, other.revision);

    exchange_revisions(&mut one, &mut other, 600);

    assert_eq!((one.revision, one.rows()), (other.revision, other.rows()));
}

#[test]
fn only_who_holds_the_same_state_learns_its_age() {
    let (mut leader, mut follower) = leader_and_follower();
    leader.update_from_read(entries(&[1, 2]), Some(1), LEADER, 400);

    follower.confirm(leader.revision, 400);
    follower.confirm(leader.revision, 300);
    follower.confirm(ListRevision { term: 9, change: 9, reader: 9 }, 800);

    assert_eq!(follower.confirmed_ms, 400);
}

#[test]
fn a_leaving_upstream_is_known_in_time_whether_or_not_a_leader_tells() {
    // Calls per second, pages, and the allowed time in milliseconds.
    let cases =
        [(50.0, 1, 3000), (47.0, 1, 3000), (360.0, 3, 4000), (50.0, 8, 4000), (320.0, 8, 5000)];
    // The duration of one call without load, and of one exchange between two VMs.
    let (call_ms, exchange_ms) = (25, RENEW_MS + 25);
    for (calls_per_s, pages, drain_ms) in cases {
        let cost = ListCost { calls_per_s, pages };
        let pages = pages as u64;
        let stale_ms = cost.stale_ms(drain_ms);

        let reading_ms = pages * call_ms;
        let pause_ms = cost.leader_pause_ms(drain_ms, reading_ms);
        let sent_ms = pause_ms + 2 * reading_ms + exchange_ms;
        // The first reader is gone, the second reads, and another VM requests the list from it.
        let alone_ms = stale_ms + reader_delay_ms(1) + reading_ms + exchange_ms;

        assert!(sent_ms < stale_ms, "{cost:?}: a list that the leader sends never becomes stale");
        assert!(alone_ms + 500 < drain_ms, "{cost:?}: {alone_ms} ms without a leader");
    }
    let long = ListCost { calls_per_s: 47.0, pages: 60 };
    assert!(long.stale_ms(3000) > long.leader_pause_ms(3000, 2000), "a leader can read as often");
}

#[test]
fn a_long_list_is_read_as_seldom_as_the_bound_allows() {
    // Pages; the allowed time, the duration of a read, and the pause, in milliseconds.
    let cases = [
        (1, 3000, 25, 600),
        (3, 4000, 60, 600),
        (9, 4000, 100, 675),
        (50, 5000, 300, 1300),
        (100, 5000, 600, 700),
        (100, 5000, 4000, 600),
        (1, 60_000, 25, 600),
        (100, 60_000, 25, 2000),
    ];
    for (pages, drain_ms, reading_ms, pause_ms) in cases {
        let cost = ListCost { calls_per_s: 320.0, pages };

        assert_eq!(cost.leader_pause_ms(drain_ms, reading_ms), pause_ms, "{cost:?}");
    }
}

fn document(version: u32, routes: &[u16]) -> Vec<u8> {
    let routes: Vec<String> =
        routes.iter().map(|route| format!("{{\"name\":\"r{route}\",\"on\":{{}}}}")).collect();
    format!("{{\"version\":{version},\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

#[test]
fn a_small_change_of_a_large_document_is_small() {
    let routes: Vec<u16> = (0..1000).collect();
    let mut other = routes.clone();
    other[500] = 5000;
    let (before, after) = (document(1, &routes), document(2, &other));

    let change = DocumentChange::between(&before, &after);

    assert!(change.new_bytes() < 100, "{} new bytes", change.new_bytes());
    assert!(change.pieces.len() < 10, "{} pieces", change.pieces.len());
    assert_eq!(change.apply(&before), Some(after));
    assert_eq!(change.apply(&document(3, &routes)), None, "another document");
}

#[derive(Clone, Debug)]
enum Happening {
    /// The leader reads this list; the flag is whether the follower receives the delta.
    Read(Vec<u16>, bool),
    /// A new term begins.
    NewTerm,
    /// The follower reads a list without a leader.
    Alone(Vec<u16>),
    /// The leader reads a list while it has no lease, and then again as the leader.
    LeaderAlone(Vec<u16>),
    /// The last lost delta arrives late.
    Late,
    /// The two VMs exchange their revisions.
    Exchange,
}

fn happenings() -> impl Strategy<Value = Vec<Happening>> {
    let numbers = || proptest::collection::vec(0u16..12, 0..8);
    let one = prop_oneof![
        6 => (numbers(), any::<bool>()).prop_map(|(list, received)| Happening::Read(list, received)),
        1 => Just(Happening::NewTerm),
        1 => numbers().prop_map(Happening::Alone),
        1 => numbers().prop_map(Happening::LeaderAlone),
        1 => Just(Happening::Late),
        2 => Just(Happening::Exchange),
    ];
    proptest::collection::vec(one, 0..60)
}

/// Exchanges the revisions of two VMs; the one with the lower revision takes the other's list.
fn exchange_revisions(one: &mut UpstreamList, other: &mut UpstreamList, now_ms: u64) {
    one.note_revision(other.revision);
    other.note_revision(one.revision);
    let (from, to) = if one.revision > other.revision { (one, other) } else { (other, one) };
    match from.delta_since(to.revision) {
        Some(step) => to.apply_delta(step, now_ms),
        None => to.take_whole(from.revision, from.rows(), now_ms),
    };
}

#[test]
fn loads_of_many_upstreams_are_told_by_those_in_use() {
    let mut sums = vec![0; 3000];
    (0..300).for_each(|at| sums[at * 10 + at % 7] = 1 + (at % 4) as u8);

    let packed = LoadUpdate::positional(sums.clone());

    // Guards against one byte per upstream, which would be 3,000 bytes.
    let LoadUpdate::Runs(runs) = packed else { panic!("{packed:?}") };
    assert_eq!(runs.len(), 600);
    assert_eq!(unpack_zeros(&runs, 3000), Some(sums));
    let busy = vec![2; 250];
    assert!(
        matches!(LoadUpdate::positional(busy.clone()), LoadUpdate::Placed(packed) if packed == busy)
    );
}

#[test]
fn runs_that_fit_no_list_are_no_loads() {
    assert_eq!(unpack_zeros(&[3, 1], 3), None, "longer than the list");
    assert_eq!(unpack_zeros(&[3], 9), None, "half a pair");
    assert_eq!(unpack_zeros(&[], 2), Some(vec![0, 0]));
}

proptest! {
    #[test]
    fn any_loads_come_back_from_their_runs(
        sums in proptest::collection::vec(prop_oneof![9 => Just(0u8), 1 => any::<u8>()], 0..2000),
    ) {
        prop_assert_eq!(unpack_zeros(&pack_zeros(&sums), sums.len()), Some(sums));
    }

    #[test]
    fn whatever_is_lost_one_question_ends_with_what_the_leader_holds(
        happenings in happenings(),
    ) {
        let (mut leader, mut follower) = leader_and_follower();
        let (mut term, mut lost): (u64, Option<ListDelta>) = (1, None);
        for (at, happening) in happenings.into_iter().enumerate() {
            let now_ms = at as u64;
            match happening {
                Happening::Read(list, received) => match lead(&mut leader, entries(&list), term, now_ms) {
                    Some(step) if received => {
                        follower.apply_delta(step, now_ms);
                    }
                    step => lost = step.or(lost),
                },
                Happening::NewTerm => {
                    term += 1;
                    let rows = leader.rows();
                    lead(&mut leader, rows, term, now_ms);
                }
                Happening::Alone(list) => {
                    follower.update_from_read(entries(&list), None, LONE, now_ms);
                }
                Happening::LeaderAlone(list) => {
                    leader.update_from_read(entries(&list), None, LEADER, now_ms);
                    lead(&mut leader, entries(&list), term, now_ms);
                }
                Happening::Late => {
                    lost.take().map(|step| follower.apply_delta(step, now_ms));
                }
                Happening::Exchange => exchange_revisions(&mut leader, &mut follower, now_ms),
            }
            if follower.revision == leader.revision {
                prop_assert_eq!(follower.rows(), leader.rows());
            }
        }
        exchange_revisions(&mut leader, &mut follower, 1000);
        prop_assert_eq!((follower.revision, follower.rows()), (leader.revision, leader.rows()));
    }

    #[test]
    fn copies_of_the_roster_end_alike_whatever_is_lost_or_late(
        events in proptest::collection::vec((0u32..6, any::<bool>(), 0u8..4), 0..80),
    ) {
        let (mut roster, mut copy) = (VmRoster::default(), RosterCopy::default());
        let mut late = None;
        for (at, (id, ready, fate)) in events.into_iter().enumerate() {
            let now_ms = at as u64 * ROW_KEEP_MS / 4;
            roster.note(row(id, ready), None, Vec::new(), now_ms);
            roster.expire(now_ms);
            let update = roster.update_since(3, copy.revision);
            match fate {
                0 => copy.take(update),
                1 => late = Some(update),
                2 => drop(late.take().map(|update| copy.take(update))),
                _ => {}
            }
        }
        copy.take(roster.update_since(3, copy.revision));
        prop_assert_eq!(copy.rows, roster.rows());
        prop_assert!(copy.revision != RosterRevision::default() || roster.rows().is_empty());
    }

    #[test]
    fn any_document_comes_back_from_its_change(
        before in proptest::collection::vec(prop_oneof![Just(b'}'), Just(b'{'), any::<u8>()], 0..80),
        after in proptest::collection::vec(prop_oneof![Just(b'}'), Just(b'{'), any::<u8>()], 0..80),
    ) {
        let change = DocumentChange::between(&before, &after);
        prop_assert_eq!(change.apply(&before), Some(after));
    }
}
