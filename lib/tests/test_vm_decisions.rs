//! Tests of a VM's decisions that are pure functions, mostly as tables of cases.

mod testutils;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use testutils::engines::{candidate, prompt, RULES};
use wingshed_lib::coordination::attempt_plan::{
    AttemptCount, NextStep, SendOutcome, MAX_UNREACHED,
};
use wingshed_lib::coordination::event_splice::EventSplice;
use wingshed_lib::coordination::group_plan::required_voters;
use wingshed_lib::coordination::leader_contact::{
    LeaderContact, APPLY_MARGIN_MS, REVOKE_MARGIN_MS,
};
use wingshed_lib::coordination::outlier::OutlierTable;
use wingshed_lib::coordination::plain_choice::choose_plain;
use wingshed_lib::coordination::repeat_budget::{RepeatAllowance, RepeatBudget};
use wingshed_lib::coordination::upstream_candidate::{ChoiceError, UpstreamCandidate};
use wingshed_lib::coordination::upstream_choice::{
    choose_engine, EngineRules, PrefixMemory, NEW_ENGINE_MS,
};
use wingshed_lib::coordination::upstream_load::{LoadReports, UpstreamLoad};
use wingshed_lib::coordination::upstream_seats::{
    waiting_services, RingSlotTable, VACANCY_WAIT_MS,
};
use wingshed_lib::coordination::vm_roster::{RosterRow, VmRoster};
use wingshed_lib::state::fleet_record::{
    FleetCommand, FleetRecord, RecordChange, RingSlotRow, VersionedDocument,
};
use wingshed_lib::state::ids::{Incarnation, KeeperId, UpstreamKey};
use wingshed_lib::state::packed_text::PackedText;
use wingshed_lib::state::prompt_part::PromptPart;
use wingshed_lib::state::rollout_order::VersionKey;
use wingshed_lib::state::route_table::{pick_share, RequestKind, ServiceShare};
use wingshed_lib::state::upstream_list::{EntryDefect, UpstreamEntry, UpstreamList};

const LATE: u64 = 10 * NEW_ENGINE_MS;
/// A limit on engines that leaves none out.
const ALL: usize = usize::MAX;

#[test]
fn next_steps_keep_the_promise_of_not_run() {
    use NextStep::*;
    use RequestKind as Kind;
    use SendOutcome::*;
    let cases = [
        (NotRun, Kind::Once, 1, Refuse),
        (NotRun, Kind::Once, 2, Repeat),
        (Broken, Kind::Once, 3, Fail),
        (Broken, Kind::Stream, 3, Fail),
        (Broken, Kind::Repeatable, 2, Repeat),
        (Broken, Kind::Repeatable, 1, Fail),
        (Broken, Kind::ResumableStream, 2, Repeat),
        (Failed, Kind::Repeatable, 2, Repeat),
        (Failed, Kind::Once, 2, PassOn),
        (Failed, Kind::ResumableStream, 2, PassOn),
        (TimedOut, Kind::Repeatable, 2, TimeOut),
        (NotSent, Kind::Once, 1, Elsewhere),
    ];
    for (outcome, kind, most, expected) in cases {
        let mut count = AttemptCount::default();
        count.note(outcome);
        assert_eq!(count.next(outcome, kind, most), expected, "{outcome:?} {kind:?} {most}");
    }

    let mut count = AttemptCount::default();
    count.note(Broken);
    count.note(NotRun);
    let next = count.next(NotRun, Kind::Repeatable, 2);
    assert_eq!(next, Fail, "an earlier attempt may have run, so the request isn't refused");

    let mut count = AttemptCount::default();
    for _ in 0..MAX_UNREACHED {
        count.note(NotSent);
    }
    assert_eq!(count.next(NotSent, Kind::Once, 1), Refuse);
}

#[test]
fn events_of_two_runs_join_without_gap_or_double() {
    let mut splice = EventSplice::after(None);
    let mut answer = splice.feed(b"id: 1\ndata: a\n\nid: 2\nda");
    answer.extend(splice.feed(b"ta: b\n\nid: 3\ndata: c"));
    assert_eq!(splice.last_id(), Some("2"));

    splice.begin_run();
    answer.extend(splice.feed(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n: end"));
    answer.extend(splice.finish());

    let expected = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n: end";
    assert_eq!(String::from_utf8(answer).unwrap(), String::from_utf8(expected.to_vec()).unwrap());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn any_cut_of_any_run_gives_each_event_once(
        cuts in proptest::collection::vec(0usize..400, 1..4), step in 1usize..40, crlf: bool,
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let event = |id: usize| format!("id: {id}{end}data: {}{end}{end}", "x".repeat(id));
        let whole: String = (1..=12).map(event).collect();
        let mut splice = EventSplice::after(None);
        let mut answer = Vec::new();
        for cut in cuts {
            let after: usize = splice.last_id().map_or(0, |id| id.parse().unwrap());
            let run: String = (after + 1..=12).map(event).collect();
            for piece in run.as_bytes()[..cut.min(run.len())].chunks(step) {
                answer.extend(splice.feed(piece));
            }
            splice.begin_run();
        }
        let after: usize = splice.last_id().map_or(0, |id| id.parse().unwrap());
        let run: String = (after + 1..=12).map(event).collect();
        answer.extend(splice.feed(run.as_bytes()));
        prop_assert_eq!(String::from_utf8(answer).unwrap(), whole);
    }

    #[test]
    fn repeats_of_all_vms_stay_below_the_allowance(
        steps in proptest::collection::vec((0u64..200, 0usize..4, any::<bool>()), 1..400),
    ) {
        let allowance = RepeatAllowance { ratio: 0.2, slack: 20.0, window_ms: 10_000 };
        let mut budgets = vec![RepeatBudget::default(); 4];
        let (mut now_ms, mut firsts, mut repeats) = (0, Vec::new(), Vec::new());
        for (pause, vm, first) in steps {
            now_ms += pause;
            if first {
                budgets[vm].note_first(&allowance, now_ms);
                firsts.push(now_ms);
            } else if budgets[vm].spend(&allowance, 4, now_ms) {
                repeats.push(now_ms);
            }
            let lately = |times: &[u64]| {
                times.iter().filter(|at| **at + allowance.window_ms > now_ms).count() as f64
            };
            let allowed = allowance.ratio * lately(&firsts) + allowance.slack;
            prop_assert!(lately(&repeats) <= allowed);
        }
    }
}

#[test]
fn a_grant_counts_once_its_version_is_in_force() {
    let mut contact = LeaderContact::default();
    contact.note_grant(1000, 3);
    assert!(!contact.may_serve_keys(5000, 1001), "version 3 is not in force yet");

    contact.note_applied(3);
    assert!(contact.may_serve_keys(5000, 1000 + 5000 - REVOKE_MARGIN_MS - 1));
    assert!(!contact.may_serve_keys(5000, 1000 + 5000 - REVOKE_MARGIN_MS));

    contact.note_grant(2000, 4);
    assert_eq!(contact.confirmed_ms(), 1000, "a newer version is known, so version 3 is outdated");
    contact.note_applied(2);
    assert_eq!(contact.applied(), 3, "the applied version never decreases");
}

#[test]
fn a_vm_that_knows_of_a_newer_version_stops_in_time() {
    const APPLY_MS: u64 = 3000;
    const LAST_MS: u64 = 1000 + APPLY_MS - APPLY_MARGIN_MS;
    let mut contact = LeaderContact::default();
    contact.note_applied(3);
    contact.note_grant(1000, 3);
    assert!(!contact.is_behind(APPLY_MS, 60_000), "no newer version is known");

    contact.note_grant(1500, 4);

    assert!(!contact.is_behind(APPLY_MS, LAST_MS - 1), "all VMs may still lack version 4");
    assert!(
        contact.is_behind(APPLY_MS, LAST_MS),
        "version 3 was certainly the newest at 1000 ms only"
    );
    contact.note_applied(4);
    assert!(!contact.is_behind(APPLY_MS, LAST_MS), "version 4 is applied");
    assert_eq!(contact.confirmed_ms(), 1500);
}

#[test]
fn the_same_part_goes_to_the_same_engine_and_spills_when_that_is_full() {
    let memory = PrefixMemory::default();
    let calm: Vec<UpstreamCandidate> = (1..=6).map(|key| candidate(key, 2)).collect();
    let first = choose_engine(&calm, &prompt(), &memory, &RULES, LATE).unwrap();
    for shift in 1..5 {
        let mut other_order = calm.clone();
        other_order.rotate_left(shift);
        let again = choose_engine(&other_order, &prompt(), &memory, &RULES, LATE).unwrap();
        assert_eq!(again.upstream, first.upstream, "every VM computes the same order");
    }

    let full = |c: &UpstreamCandidate| UpstreamCandidate {
        load: if c.key == first.upstream { 40 } else { 2 },
        ..*c
    };
    let busy: Vec<UpstreamCandidate> = calm.iter().map(full).collect();
    let spill = choose_engine(&busy, &prompt(), &memory, &RULES, LATE).unwrap();
    assert_ne!(spill.upstream, first.upstream);
    assert_eq!(spill.fetch_from, Some(first.upstream));
    let fixed = EngineRules { kv_transfer: false, ..RULES };
    let alone = choose_engine(&busy, &prompt(), &memory, &fixed, LATE).unwrap();
    assert_eq!(alone.fetch_from, None, "no fetch if engines can't import from each other");
}

#[test]
fn engines_that_came_one_after_the_other_before_the_first_prompt_are_no_newcomers() {
    let mut memory = PrefixMemory::default();
    let mut all: Vec<UpstreamCandidate> = (1..=6).map(|key| candidate(key, 2)).collect();
    for (candidate, came) in all.iter_mut().zip(1..) {
        candidate.first_seen_ms = LATE + 700 * came;
    }
    let now_ms = LATE + 8000;
    let other = [PromptPart { id: 77, tokens: 100 }, PromptPart { id: 78, tokens: 100 }];
    memory.note_sent(&other, UpstreamKey(1), LATE + 6000);
    let choose =
        |all: &[UpstreamCandidate]| choose_engine(all, &prompt(), &memory, &RULES, now_ms).unwrap();
    let home = choose(&all).upstream;
    for candidate in all.iter_mut().filter(|candidate| candidate.key == home) {
        candidate.load = 40;
    }

    let spill = choose(&all);

    assert_ne!(spill.upstream, home);
    assert_eq!(spill.fetch_from, Some(home), "the first of the order holds it");
}

#[test]
fn a_prompt_is_refused_when_the_engines_of_its_spread_have_no_room() {
    let memory = PrefixMemory::default();
    let calm: Vec<UpstreamCandidate> = (1..=6).map(|key| candidate(key, 2)).collect();
    let choose = |all: &[UpstreamCandidate], max_engines| {
        let rules = EngineRules { max_engines, ..RULES };
        choose_engine(all, &prompt(), &memory, &rules, LATE).map(|pick| pick.upstream)
    };
    let mut busy = calm.clone();
    let mut taken = Vec::new();

    for _ in 0..3 {
        let next = choose(&busy, 3).unwrap();
        taken.push(next);
        for candidate in busy.iter_mut().filter(|candidate| candidate.key == next) {
            candidate.full = true;
        }
    }

    assert_eq!(choose(&busy, 3), Err(ChoiceError::Full), "the first three of its order are full");
    assert!(!taken.contains(&choose(&busy, ALL).unwrap()), "the fourth has capacity");
    for candidate in &mut busy {
        candidate.full = true;
    }
    assert_eq!(choose(&busy, ALL), Err(ChoiceError::Full));
    assert_eq!(choose(&[], ALL), Err(ChoiceError::NoUpstream));
}

#[test]
fn no_engine_is_sent_more_than_the_deployment_allows_whatever_it_allows() {
    let memory = PrefixMemory::default();
    for load_limit in [1.0, 1.5, 2.0, 4.0] {
        let rules = EngineRules { load_limit, ..RULES };
        let mut all: Vec<UpstreamCandidate> = (1..=8).map(|key| candidate(key, 4)).collect();
        for _ in 0..400 {
            let pick = choose_engine(&all, &prompt(), &memory, &rules, LATE).unwrap().upstream;
            let mean = all.iter().map(|c| f64::from(c.load)).sum::<f64>() / all.len() as f64;
            let engine = all.iter_mut().find(|candidate| candidate.key == pick).unwrap();
            let load = f64::from(engine.load);
            assert!(load < load_limit * mean + 3.0, "{load} at a mean of {mean}, {load_limit}");
            engine.load += 1;
        }
        let most = all.iter().map(|candidate| candidate.load).max().unwrap();
        let least = all.iter().map(|candidate| candidate.load).min().unwrap();
        assert!(
            load_limit == 1.0 || most > least,
            "{load_limit}: the order is used as far as it may"
        );
    }
}

#[test]
fn what_a_leaving_engine_keeps_is_fetched_by_the_heir_of_its_seat() {
    let memory = PrefixMemory::default();
    let calm: Vec<UpstreamCandidate> = (1..=6).map(|key| candidate(key, 2)).collect();
    let first = choose_engine(&calm, &prompt(), &memory, &RULES, LATE).unwrap().upstream;
    let mut release = calm.clone();
    for candidate in &mut release {
        candidate.leaving = candidate.key == first;
    }
    let successor = UpstreamCandidate {
        key: UpstreamKey(99),
        ring_slot: Some(first.0),
        first_seen_ms: LATE - 1000,
        ..candidate(99, 0)
    };
    release.push(successor);

    let pick = choose_engine(&release, &prompt(), &memory, &RULES, LATE).unwrap();

    assert_eq!(pick.upstream, successor.key);
    assert_eq!(pick.fetch_from, Some(first));
}

#[test]
fn upstreams_set_aside_are_used_only_when_nothing_else_is_left() {
    let mut all = vec![candidate(1, 9), candidate(2, 0), candidate(3, 1)];
    all[1].ejected = true;
    assert_eq!(choose_plain(&all, usize::MAX, 5), Ok(UpstreamKey(3)));
    all[0].tried = true;
    all[2].tried = true;
    assert_eq!(
        choose_plain(&all, usize::MAX, 5),
        Ok(UpstreamKey(2)),
        "an ejected upstream is better than none"
    );
    all[1].leaving = true;
    assert_eq!(
        choose_plain(&all, usize::MAX, 5),
        Err(ChoiceError::NoUpstream),
        "a leaving upstream takes no request"
    );
}

#[test]
fn one_sign_of_death_sets_aside_but_never_too_many() {
    let mut outliers = OutlierTable::default();
    let fleet = || (1..=4).map(UpstreamKey);
    for dead in 1..=4 {
        outliers.note_dead(UpstreamKey(dead), fleet(), 0.5, 1000);
    }
    let ejected = fleet().filter(|key| outliers.is_ejected(*key, 1001)).count();
    assert_eq!(ejected, 2);
}

fn entry(life: &str, address: &str, leaving: bool) -> UpstreamEntry {
    UpstreamEntry {
        name: life.to_string(),
        service: "s".to_string(),
        address: address.parse::<SocketAddr>().unwrap(),
        zone: "z".to_string(),
        leaving,
        ring_slot: None,
        cold: false,
        version: VersionKey::default(),
        started_ms: None,
        defect: EntryDefect::None,
    }
}

fn slot_of(list: &UpstreamList, life: &str) -> Option<u64> {
    list.entries.get(&UpstreamKey::of(life)).and_then(|entry| entry.ring_slot)
}

fn take(table: &mut RingSlotTable, list: &mut UpstreamList, rows: &[UpstreamEntry], now_ms: u64) {
    let mut rows = rows.to_vec();
    table.assign(&mut rows, list, &BTreeSet::new(), now_ms);
    list.update_from_read(rows, None, 9, now_ms);
}

#[test]
fn a_life_that_replaces_another_takes_its_seat() {
    let (mut table, mut list) = (RingSlotTable::default(), UpstreamList::default());
    let (a, b) = (entry("a", "10.0.0.1:1", false), entry("b", "10.0.0.2:1", false));
    take(&mut table, &mut list, &[a.clone(), b.clone()], 1000);
    let (slot_a, slot_b) = (slot_of(&list, "a").unwrap(), slot_of(&list, "b").unwrap());

    // In a release the new upstream starts first, and then the old one leaves.
    let c = entry("c", "10.0.0.3:1", false);
    take(&mut table, &mut list, &[a.clone(), b.clone(), c.clone()], 2000);
    assert_eq!(slot_of(&list, "c"), None, "it waits for an upstream that it may replace");
    let leaving = UpstreamEntry { leaving: true, ..a };
    take(&mut table, &mut list, &[leaving, b.clone(), c.clone()], 2600);
    assert_eq!(slot_of(&list, "c"), Some(slot_a));
    assert_eq!(slot_of(&list, "a"), Some(slot_a), "the leaving upstream keeps its slot too");

    // A restart at the same address, while another ring slot is vacant too.
    take(&mut table, &mut list, std::slice::from_ref(&c), 4000);
    let again = entry("b2", "10.0.0.2:1", false);
    take(&mut table, &mut list, &[c.clone(), again], 5000);
    assert_eq!(slot_of(&list, "b2"), Some(slot_b));

    // A further upstream gets a ring slot of its own after a wait.
    let more = entry("d", "10.0.0.4:1", false);
    let rows = [c, entry("b2", "10.0.0.2:1", false), more];
    take(&mut table, &mut list, &rows, 6000);
    take(&mut table, &mut list, &rows, 6000 + VACANCY_WAIT_MS);
    let slot_d = slot_of(&list, "d").unwrap();
    assert!(slot_d != slot_a && slot_d != slot_b);

    // Another leader that received the rows has the same ring slots.
    let mut successor = RingSlotTable::of(&table.rows());
    let mut fresh = UpstreamList::default();
    take(&mut successor, &mut fresh, &rows, 9000);
    assert_eq!(slot_of(&fresh, "c"), Some(slot_a));
}

#[test]
fn new_engines_wait_for_a_vacant_seat_while_the_others_have_room() {
    let (mut table, mut list) = (RingSlotTable::default(), UpstreamList::default());
    let (a, b) = (entry("a", "10.0.0.1:1", false), entry("b", "10.0.0.2:1", false));
    let c = entry("c", "10.0.0.3:1", false);
    take(&mut table, &mut list, &[a.clone(), b.clone()], 1000);
    let slot_a = slot_of(&list, "a").unwrap();
    let waiting = BTreeSet::from(["s".to_string()]);
    let mut take_while_waiting = |list: &mut UpstreamList, rows: &[UpstreamEntry], now_ms: u64| {
        let mut rows = rows.to_vec();
        table.assign(&mut rows, list, &waiting, now_ms);
        list.update_from_read(rows, None, 9, now_ms);
    };

    take_while_waiting(&mut list, &[a.clone(), b.clone(), c.clone()], 2000);
    take_while_waiting(&mut list, &[a.clone(), b.clone(), c.clone()], 2000 + 10 * VACANCY_WAIT_MS);
    assert_eq!(slot_of(&list, "c"), None, "cached prompts stay where they are");
    take_while_waiting(&mut list, &[b.clone(), c.clone()], 2000 + 11 * VACANCY_WAIT_MS);
    assert_eq!(slot_of(&list, "c"), Some(slot_a), "it replaces a removed engine at once");

    let d = entry("d", "10.0.0.4:1", false);
    take(&mut table, &mut list, &[b.clone(), c.clone(), d.clone()], 40_000);
    take(&mut table, &mut list, &[b, c, d], 40_000 + VACANCY_WAIT_MS);
    assert!(slot_of(&list, "d").is_some(), "once slots are in use it gets its own");
}

#[test]
fn engines_are_in_use_from_a_quarter_of_their_places_on() {
    let (mut table, mut list) = (RingSlotTable::default(), UpstreamList::default());
    let rows = [entry("a", "10.0.0.1:1", false), entry("b", "10.0.0.2:1", false)];
    take(&mut table, &mut list, &rows, 1000);
    let load = |life: &str, requests| UpstreamLoad { upstream: UpstreamKey::of(life), requests };
    // Requests at both engines, slots of one engine, and whether new engines wait.
    let cases = [
        ("nothing is cached yet", (0, 0), Some(8), false),
        ("three of sixteen slots", (3, 0), Some(8), true),
        ("four of sixteen", (3, 1), Some(8), false),
        ("all of one", (8, 0), Some(8), false),
        ("no engines", (1, 0), None, false),
    ];
    for (case, (at_a, at_b), places, waits) in cases {
        let loads = [load("a", at_a), load("b", at_b)];

        let waiting = waiting_services(&list, &loads, |_| places);

        assert_eq!(waiting.contains("s"), waits, "{case}");
    }
}

#[test]
fn thousands_of_lives_have_seats_of_their_own_and_heirs_take_them() {
    const MANY: u16 = 3000;
    let address = |at: u16| format!("10.0.{}.{}:1", at / 250, at % 250);
    let lives = |name: &str| -> Vec<UpstreamEntry> {
        (0..MANY).map(|at| entry(&format!("{name}{at}"), &address(at), false)).collect()
    };
    let (mut table, mut list) = (RingSlotTable::default(), UpstreamList::default());

    take(&mut table, &mut list, &lives("a"), 1000);
    let before = table.rows();
    take(&mut table, &mut list, &lives("b"), 2000);
    let after = table.rows();

    assert_eq!(before.len(), usize::from(MANY), "each has one slot, none has two");
    let places = |rows: &[RingSlotRow]| -> Vec<(u64, SocketAddr)> {
        rows.iter().map(|row| (row.ring_slot, row.address)).collect()
    };
    assert_eq!(places(&after), places(&before), "each restart keeps its slot");
    assert!(after.iter().zip(&before).all(|(new, old)| new.holder != old.holder));
}

#[test]
fn leaving_is_sticky_for_a_life() {
    let mut list = UpstreamList::default();
    assert!(list.update_from_read(vec![entry("a", "10.0.0.1:1", true)], None, 9, 1).is_some());
    assert!(
        list.update_from_read(vec![entry("a", "10.0.0.1:1", false)], None, 9, 2).is_none(),
        "a list that lags"
    );
    assert_eq!(list.accepting("s").count(), 0);
    list.update_from_read(vec![entry("a2", "10.0.0.1:1", false)], None, 9, 3);
    assert_eq!(list.accepting("s").count(), 1);
}

#[test]
fn the_highest_version_holds_whatever_comes_later() {
    let mut record = FleetRecord::default();
    let put = |version, text: &str| {
        let text = PackedText::pack(text.as_bytes());
        FleetCommand::Document(VersionedDocument { version, text }).encode()
    };
    use RecordChange::{Document, Other};
    let steps = [(3, "c", Document), (2, "b", Other), (3, "other", Other), (9, "d", Document)];
    for (version, text, changes) in steps {
        assert_eq!(record.apply(&put(version, text)), Ok(changes), "{version}");
    }
    let text = record.document.text.unpack().unwrap();
    assert_eq!((record.document.version, text.as_slice()), (9, &b"d"[..]));

    let image = record.image();
    let mut newer = FleetRecord::default();
    newer.apply(&put(12, "e")).unwrap();
    assert_eq!(newer.restore(&image), Ok(false), "an image never takes a document back");
    assert_eq!(newer.document.version, 12);
    assert!(newer.apply(b"no command").is_err());
}

#[test]
fn the_roster_forgets_and_sums() {
    let row = |id| RosterRow { id, zone: 1, ready: true };
    let load = |requests| vec![UpstreamLoad { upstream: UpstreamKey(7), requests }];
    let mut roster = VmRoster::default();
    roster.note(row(1), Some(Incarnation(5)), load(2), 1000);
    roster.note(row(2), None, load(3), 1500);
    assert_eq!(roster.loads(), load(5));
    assert_eq!(roster.keepers().into_keys().collect::<Vec<_>>(), [KeeperId(1)]);

    let mut reports = LoadReports::default();
    reports.note(&roster.loads(), &load(2));
    assert_eq!(reports.others(UpstreamKey(7)), 3);

    roster.expire(2400);
    assert_eq!(roster.rows(), [row(2)]);
}

#[test]
fn groups_are_odd_and_survive_what_is_to_be_borne() {
    for (losses, voters) in [(0, 3), (1, 3), (2, 5), (3, 7)] {
        assert_eq!(required_voters(losses), voters);
    }
}

#[test]
fn shares_follow_their_weights() {
    let share =
        |service, weight| ServiceShare { service: Some(service), name: String::new(), weight };
    let shares = [share(0, 90.0), share(1, 0.0), share(2, 10.0)];
    let mut counts = [0; 3];
    for at in 0..1000u64 {
        let draw = at.wrapping_mul(u64::MAX / 1000);
        counts[pick_share(&shares, draw).unwrap()] += 1;
    }
    assert!((880..920).contains(&counts[0]) && counts[1] == 0, "{counts:?}");
}
