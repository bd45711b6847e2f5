//! The identity of an upstream, which is its name together with its start time.

use std::collections::BTreeSet;

use wingshed_lib::coordination::fleet_health::{HealthReport, HealthTable};
use wingshed_lib::coordination::outlier::OutlierTable;
use wingshed_lib::coordination::silence::SilenceView;
use wingshed_lib::coordination::upstream_choice::PrefixMemory;
use wingshed_lib::coordination::upstream_load::{LoadReports, UpstreamLoad};
use wingshed_lib::coordination::upstream_seats::RingSlotTable;
use wingshed_lib::state::finding::Finding;
use wingshed_lib::state::kept_list::{load_list, store_list, StoredList};
use wingshed_lib::state::list_reading::{ListReading, UnreadEntry};
use wingshed_lib::state::prompt_part::PromptPart;
use wingshed_lib::state::rollout_order::VersionKey;
use wingshed_lib::state::upstream_list::{EntryDefect, UpstreamEntry, UpstreamList};

const READER: u32 = 9;
const PART: u64 = 77;

fn entry(name: &str, started_ms: Option<u64>) -> UpstreamEntry {
    UpstreamEntry {
        name: name.to_string(),
        service: "s".to_string(),
        address: "10.0.0.1:1".parse().unwrap(),
        zone: "z".to_string(),
        leaving: false,
        ring_slot: None,
        cold: false,
        version: VersionKey::default(),
        started_ms,
        defect: EntryDefect::None,
    }
}

fn at(address: &str, row: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry { address: address.parse().unwrap(), ..row }
}

fn leaving(row: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry { leaving: true, ..row }
}

fn defective(defect: EntryDefect, row: UpstreamEntry) -> UpstreamEntry {
    UpstreamEntry { defect, ..row }
}

/// A list after its first read.
fn list(rows: &[UpstreamEntry]) -> UpstreamList {
    let mut list = UpstreamList::default();
    list.update_from_read(rows.to_vec(), Some(1), READER, 1000);
    list
}

fn unread(name: Option<&str>, started_ms: Option<u64>) -> UnreadEntry {
    let finding = Finding { path: "$".to_string(), line: None, text: "is odd".to_string() };
    UnreadEntry { finding, name: name.map(str::to_string), started_ms, address: None }
}

fn reading(rows: &[UpstreamEntry], unread: &[UnreadEntry]) -> ListReading {
    ListReading { rows: rows.to_vec(), unread: unread.to_vec(), findings: Vec::new() }
}

/// The rows that result from a read, sorted by name.
fn resolved_rows(reading: &ListReading, known: &UpstreamList) -> Vec<UpstreamEntry> {
    let mut rows = reading.resolve(known).expect("the read has readable entries").rows;
    rows.sort_by(|a, b| a.name.cmp(&b.name));
    rows
}

#[test]
fn a_name_with_another_birth_is_another_incarnation() {
    let keys: BTreeSet<_> = [None, Some(1), Some(2)]
        .into_iter()
        .map(|started_ms| entry("i", started_ms).key())
        .collect();

    assert_eq!(keys.len(), 3);
}

#[test]
fn an_upstream_that_left_and_is_born_again_takes_work() {
    let mut known = list(&[leaving(entry("i", Some(1)))]);

    known.update_from_read(vec![entry("i", Some(2))], Some(1), READER, 2000);

    assert_eq!(known.accepting("s").count(), 1);
}

#[test]
fn an_upstream_that_left_is_not_taken_back_without_another_birth() {
    for started_ms in [None, Some(1)] {
        let mut known = list(&[leaving(entry("i", started_ms))]);

        known.update_from_read(vec![entry("i", started_ms)], Some(1), READER, 2000);

        assert_eq!(known.accepting("s").count(), 0, "started {started_ms:?}");
    }
}

#[test]
fn a_step_in_which_one_name_is_gone_and_new_leads_to_the_new_incarnation() {
    let mut leader = list(&[leaving(entry("i", Some(1)))]);
    let mut follower = UpstreamList::default();
    follower.take_whole(leader.revision, leader.rows(), 1000);
    let delta = leader.update_from_read(vec![entry("i", Some(2))], Some(1), READER, 2000).unwrap();

    assert!(follower.apply_delta(delta, 2000));

    assert_eq!(follower.rows(), [entry("i", Some(2))]);
}

#[test]
fn steps_that_are_joined_name_the_last_of_several_incarnations() {
    let mut leader = list(&[entry("i", Some(1))]);
    let mut follower = UpstreamList::default();
    follower.take_whole(leader.revision, leader.rows(), 1000);
    leader.update_from_read(vec![entry("i", Some(2))], Some(1), READER, 2000);
    leader.update_from_read(vec![entry("i", Some(3))], Some(1), READER, 3000);

    follower.apply_delta(leader.delta_since(follower.revision).unwrap(), 3000);

    assert_eq!(follower.rows(), [entry("i", Some(3))]);
}

#[test]
fn incarnations_that_are_replaced_are_counted_and_other_newcomers_are_not() {
    let mut known = list(&[entry("a", Some(1)), entry("b", Some(1))]);

    known.update_from_read(vec![entry("a", Some(2)), entry("c", Some(2))], Some(1), READER, 2000);

    assert_eq!((known.replaced, known.last_replaced), (1, vec!["a".to_string()]));
}

#[test]
fn a_list_from_disk_keeps_births() {
    let folder = tempfile::tempdir().unwrap();
    let known = list(&[entry("i", Some(7))]);

    store_list(folder.path(), &StoredList { revision: known.revision, rows: known.rows() })
        .unwrap();

    let stored = load_list(folder.path()).unwrap().unwrap();
    assert_eq!(stored.rows, known.rows());
}

#[test]
fn a_row_that_was_kept_before_births_were_known_has_none() {
    let row = entry("i", None);
    let version = VersionKey::default();
    let stored =
        (&row.name, &row.service, row.address, &row.zone, false, row.ring_slot, false, version);

    let bytes = rmp_serde::to_vec(&stored).unwrap();

    assert_eq!(rmp_serde::from_slice::<UpstreamEntry>(&bytes).unwrap(), row);
}

#[test]
fn a_birth_that_is_read_after_a_list_from_disk_begins_anew() {
    let mut known = UpstreamList::default();
    let stored = list(&[leaving(entry("i", Some(1)))]);
    known.take_whole(stored.revision, stored.rows(), 1000);

    known.update_from_read(vec![entry("i", Some(2))], Some(2), READER, 2000);

    assert_eq!(known.accepting("s").count(), 1);
}

#[test]
fn a_restart_takes_the_seat_at_its_address_before_newcomers_do() {
    let a = at("10.0.0.1:1", entry("a", Some(1)));
    let b = at("10.0.0.2:1", entry("b", Some(1)));
    let mut table = RingSlotTable::default();
    let mut rows = vec![a, b];
    table.assign(&mut rows, &UpstreamList::default(), &BTreeSet::new(), 1000);
    let ring_slots: Vec<_> = rows.iter().map(|row| row.ring_slot).collect();
    let known = list(&rows);
    // The new upstream comes before the two restarted ones, whose ring slots are the first vacant ones.
    let mut rows = vec![
        at("10.0.0.3:1", entry("c", Some(2))),
        at("10.0.0.1:1", entry("a", Some(2))),
        at("10.0.0.2:1", entry("b", Some(2))),
    ];

    table.assign(&mut rows, &known, &BTreeSet::new(), 1500);

    assert_eq!(rows[1..].iter().map(|row| row.ring_slot).collect::<Vec<_>>(), ring_slots);
}

#[test]
fn prompts_of_an_earlier_incarnation_count_as_lost() {
    let mut memory = PrefixMemory::default();
    let prompt = [PromptPart { id: PART, tokens: 900 }, PromptPart { id: 1, tokens: 9 }];

    memory.note_sent(&prompt, entry("i", Some(1)).key(), 1000);

    assert!(!memory.holds(PART, entry("i", Some(2)).key(), 1001));
}

#[test]
fn loads_of_an_earlier_incarnation_are_not_those_of_the_next() {
    let mut received = LoadReports::default();

    received.note(&[UpstreamLoad { upstream: entry("i", Some(1)).key(), requests: 5 }], &[]);

    assert_eq!(received.others(entry("i", Some(2)).key()), 0);
}

#[test]
fn an_incarnation_that_ended_sets_nobody_aside_that_is_born_again() {
    let mut outliers = OutlierTable::default();

    outliers.note_ended(entry("i", Some(1)).key());

    assert!(!outliers.is_ejected(entry("i", Some(2)).key(), 1000));
}

#[test]
fn a_silence_of_an_earlier_incarnation_is_not_that_of_the_next() {
    let mut view = SilenceView::default();

    view.take(vec![entry("i", Some(1)).key()], 1000);

    assert!(!view.is_unresponsive(entry("i", Some(2)).key(), 1001));
}

#[test]
fn a_vm_with_an_older_list_tells_nothing_against_the_new_incarnation() {
    let others = ["a", "b", "c", "d"].map(|name| entry(name, None));
    let known = list(&[&others[..], &[entry("i", Some(2))]].concat());
    let fleet = |_| known.accepting("s").map(|(key, _)| key).collect::<Vec<_>>().into_iter();
    let named = |started_ms| {
        let mut table = HealthTable::default();
        let upstream = entry("i", Some(started_ms)).key();
        table.take(1, &[HealthReport { upstream, succeeded: 0, failed: 50 }], fleet, 1000);
        table.flagged(1001).contains(&entry("i", Some(2)).key())
    };

    assert_eq!((named(1), named(2)), (false, true));
}

#[test]
fn two_vms_that_know_different_incarnations_agree_on_the_newer_list() {
    let mut newer = list(&[entry("i", Some(1))]);
    let mut older = newer.clone();
    newer.update_from_read(vec![entry("i", Some(2))], Some(1), READER, 2000);

    assert!(!newer.take_whole(older.revision, older.rows(), 2100), "the older list is refused");
    older.take_whole(newer.revision, newer.rows(), 2100);

    assert_eq!(older.rows(), newer.rows());
}

#[test]
fn of_two_entries_of_one_name_the_later_born_holds() {
    let (early, late) = (entry("i", Some(1)), entry("i", Some(2)));
    for rows in [[late.clone(), early.clone()], [early, late.clone()]] {
        let received = reading(&rows, &[]).resolve(&UpstreamList::default()).unwrap();

        assert_eq!(
            (received.rows, received.duplicates),
            (vec![late.clone()], vec!["i".to_string()])
        );
    }
}

#[test]
fn a_reading_of_which_nothing_can_be_read_is_no_news() {
    let known = list(&[entry("i", Some(1))]);

    assert_eq!(reading(&[], &[unread(None, None)]).resolve(&known), None);
}

#[test]
fn a_reading_without_entries_says_that_there_are_none() {
    let known = list(&[entry("i", Some(1))]);

    assert_eq!(resolved_rows(&reading(&[], &[]), &known), []);
}

#[test]
fn a_known_upstream_whose_entry_cannot_be_read_stays_and_gets_no_new_work() {
    let (a, b) = (entry("a", Some(1)), entry("b", Some(1)));
    let known = list(&[a.clone(), b.clone()]);

    let rows =
        resolved_rows(&reading(std::slice::from_ref(&b), &[unread(Some("a"), None)]), &known);

    assert_eq!(rows, [defective(EntryDefect::Unread, a), b]);
}

#[test]
fn a_known_upstream_without_a_readable_name_is_found_by_its_address() {
    let a = at("10.0.0.5:1", entry("a", Some(1)));
    let b = entry("b", Some(1));
    let known = list(&[a.clone(), b.clone()]);
    let nameless = UnreadEntry { address: Some(a.address), ..unread(None, None) };

    let rows = resolved_rows(&reading(std::slice::from_ref(&b), &[nameless]), &known);

    assert_eq!(rows, [defective(EntryDefect::Unread, a), b]);
}

#[test]
fn known_upstreams_go_on_when_nobody_else_of_their_service_can_be_read() {
    let a = entry("a", Some(1));
    let other = UpstreamEntry { service: "other".to_string(), ..entry("b", Some(1)) };
    let known = list(&[a.clone(), other.clone()]);

    let rows =
        resolved_rows(&reading(std::slice::from_ref(&other), &[unread(Some("a"), None)]), &known);

    assert_eq!(rows, [a, other]);
}

#[test]
fn one_that_leaves_goes_on_leaving_when_nothing_can_be_read() {
    let a = leaving(entry("a", Some(1)));
    let other = UpstreamEntry { service: "other".to_string(), ..entry("b", Some(1)) };
    let mut known = list(&[a, other.clone()]);
    let rows = resolved_rows(&reading(&[other], &[unread(Some("a"), None)]), &known);

    known.update_from_read(rows, Some(1), READER, 2000);

    assert_eq!(known.accepting("s").count(), 0);
}

#[test]
fn an_unread_entry_with_another_birth_ends_the_known_incarnation() {
    let b = entry("b", Some(1));
    let known = list(&[entry("a", Some(1)), b.clone()]);

    let rows =
        resolved_rows(&reading(std::slice::from_ref(&b), &[unread(Some("a"), Some(2))]), &known);

    assert_eq!(rows, [b]);
}

#[test]
fn an_entry_that_can_be_read_holds_beside_one_of_its_name_that_cannot() {
    let a = entry("a", Some(1));
    let known = list(std::slice::from_ref(&a));

    let rows =
        resolved_rows(&reading(std::slice::from_ref(&a), &[unread(Some("a"), None)]), &known);

    assert_eq!(rows, [a]);
}

#[test]
fn an_unread_entry_of_an_unknown_name_adds_nobody() {
    let b = entry("b", Some(1));
    let known = list(std::slice::from_ref(&b));

    let rows =
        resolved_rows(&reading(std::slice::from_ref(&b), &[unread(Some("new"), None)]), &known);

    assert_eq!(rows, [b]);
}

#[test]
fn a_doubt_ends_with_the_next_entry_that_is_read() {
    for defect in [EntryDefect::State, EntryDefect::Unread] {
        let mut known = list(&[defective(defect, entry("i", Some(1)))]);
        let before = known.accepting("s").count();

        known.update_from_read(vec![entry("i", Some(1))], Some(1), READER, 2000);

        assert_eq!((before, known.accepting("s").count()), (0, 1), "{defect:?} is not sticky");
    }
}

#[test]
fn one_in_doubt_keeps_its_seat() {
    let mut table = RingSlotTable::default();
    let mut rows = vec![entry("a", Some(1))];
    table.assign(&mut rows, &UpstreamList::default(), &BTreeSet::new(), 1000);
    let (ring_slot, known) = (rows[0].ring_slot, list(&rows));
    let mut rows = vec![
        at("10.0.0.9:1", entry("b", Some(2))),
        defective(EntryDefect::Unread, entry("a", Some(1))),
    ];

    table.assign(&mut rows, &known, &BTreeSet::new(), 90_000);

    assert_eq!((rows[1].ring_slot, rows[0].ring_slot == ring_slot), (ring_slot, false));
}

#[test]
fn one_in_doubt_that_has_no_seat_gets_none() {
    let mut table = RingSlotTable::default();
    let mut rows = vec![defective(EntryDefect::State, entry("a", Some(1)))];

    table.assign(&mut rows, &UpstreamList::default(), &BTreeSet::new(), 1000);

    assert_eq!(rows[0].ring_slot, None);
}
