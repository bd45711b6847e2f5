//! Notes of where streams began, and the versions that a list showed.

use std::collections::BTreeSet;

use proptest::prelude::*;
use wingshed_lib::coordination::stream_origins::{
    next_holders, note_holders, OriginAnswers, OriginTable, PossibleVersions, ResumeDecision,
    NOTE_COPIES,
};
use wingshed_lib::state::ids::{ServiceKey, StreamKey};
use wingshed_lib::state::rollout_order::VersionKey;
use wingshed_lib::state::stream_origin::StreamOrigin;
use wingshed_lib::state::version_history::VersionHistory;

const HORIZON_MS: u64 = 10_000;
const SERVICE: ServiceKey = ServiceKey(1);

fn origin(version: u32) -> StreamOrigin {
    StreamOrigin { service: SERVICE, version: VersionKey(version) }
}

#[test]
fn a_note_is_kept_for_the_horizon_and_dropped_after_two() {
    let mut table = OriginTable::default();
    table.note(StreamKey(1), origin(1), HORIZON_MS, 500);
    table.note(StreamKey(2), origin(1), HORIZON_MS, 500 + HORIZON_MS);
    let within = table.get(StreamKey(1));
    table.note(StreamKey(3), origin(1), HORIZON_MS, 500 + 2 * HORIZON_MS);

    assert_eq!(within, Some(origin(1)));
    assert_eq!(table.get(StreamKey(1)), None);
    assert_eq!(table.get(StreamKey(2)), Some(origin(1)));
}

#[test]
fn a_stream_keeps_its_first_origin() {
    let mut table = OriginTable::default();
    table.note(StreamKey(1), origin(1), HORIZON_MS, 0);
    table.note(StreamKey(1), origin(2), HORIZON_MS, HORIZON_MS);

    assert_eq!(table.get(StreamKey(1)), Some(origin(1)));
}

#[test]
fn the_table_of_notes_stays_bounded() {
    let mut table = OriginTable::default();
    for stream in 0..400_000 {
        table.note(StreamKey(stream), origin(1), HORIZON_MS, 0);
    }

    assert!(table.len() <= 1 << 18, "{} notes", table.len());
    assert_eq!(table.get(StreamKey(399_999)), Some(origin(1)));
}

#[test]
fn a_version_counts_for_a_while_after_it_left_the_list() {
    let mut history = VersionHistory::default();
    history.begin(1000);
    history.add(SERVICE, VersionKey(1), 1000);
    history.add(SERVICE, VersionKey(2), 5000);
    history.remove(SERVICE, VersionKey(1), 6000);

    assert!(history.had_several(SERVICE, HORIZON_MS, 6000 + HORIZON_MS - 1));
    assert!(!history.had_several(SERVICE, HORIZON_MS, 6000 + HORIZON_MS));
    assert_eq!(history.take_newly_several(), BTreeSet::from([SERVICE]));
    assert!(history.take_newly_several().is_empty());
}

#[test]
fn a_new_version_is_held_back_only_beside_an_earlier_one() {
    let mut history = VersionHistory::default();
    history.begin(1000);
    history.add(SERVICE, VersionKey(1), 1000);
    let alone = history.new_versions(SERVICE, 1000, 1500);
    history.add(SERVICE, VersionKey(2), 5000);
    let beside = history.new_versions(SERVICE, 1000, 5999);
    let later = history.new_versions(SERVICE, 1000, 6000);
    history.remove(SERVICE, VersionKey(1), 5500);
    let left_alone = history.new_versions(SERVICE, 1000, 5600);

    assert!(alone.is_empty() && later.is_empty() && left_alone.is_empty());
    assert_eq!(beside, [VersionKey(2)]);
}

proptest! {
    #[test]
    fn a_vm_that_asks_finds_a_holder_of_a_note_though_the_vm_that_began_is_gone(
        stream in any::<u64>(), count in 3u32..400, begin in any::<u32>(), ask in any::<u32>(),
    ) {
        let (begin, ask) = (begin % count, ask % count);
        prop_assume!(begin != ask);
        let vms = || (0..count).map(|vm| vm + 10);
        let holders = note_holders(StreamKey(stream), vms(), begin + 10);
        let left = vms().filter(|vm| *vm != begin + 10);

        let asked = note_holders(StreamKey(stream), left, ask + 10);
        let before = note_holders(StreamKey(stream), vms(), ask + 10);

        let finds = |asked: &[u32]| asked.iter().any(|vm| holders.contains(vm));
        let holds_itself = holders.contains(&(ask + 10));
        prop_assert!(holds_itself || finds(&asked) && finds(&before));
    }

    #[test]
    fn a_holder_that_leaves_passes_a_note_on_to_the_one_that_takes_its_place(
        stream in any::<u64>(), count in 5u32..400, begin in any::<u32>(), place in 0..NOTE_COPIES,
    ) {
        let begin = begin % count;
        let stream = StreamKey(stream);
        let holders = note_holders(stream, 0..count, begin);
        let leaves = holders[place];

        let told = next_holders(stream, 0..count, leaves);

        let after = note_holders(stream, (0..count).filter(|vm| *vm != leaves), begin);
        let has_note = |vm: &u32| holders.contains(vm) || told.contains(vm);
        prop_assert!(after.iter().all(has_note), "{:?} {:?} {:?}", holders, told, after);
    }

    /// Each VM answers or not, with or without a note, from a list with one version or several.
    #[test]
    fn a_stream_goes_on_anywhere_only_if_no_vm_can_object(
        replies in prop::collection::vec(prop::option::of((any::<bool>(), any::<bool>())), 6),
        perhaps in any::<bool>(), waits_for_all in any::<bool>(),
    ) {
        let (holders, keepers) = (vec![1, 2, 3], vec![4, 5, 6]);
        let mut answers = OriginAnswers::expect(holders, keepers, 100);
        for (vm, reply) in replies.iter().enumerate() {
            if let Some((has_note, several)) = reply {
                answers.note(vm as u32 + 1, has_note.then_some(origin(7)), *several);
            }
        }
        let given = || replies.iter().flatten();
        let has_note = given().any(|(has_note, _)| *has_note);
        let several = !perhaps || given().any(|(_, several)| *several);
        let agreeing = replies[3..].iter().flatten().count();
        let versions =
            if perhaps { PossibleVersions::OnePerhaps } else { PossibleVersions::Several };

        let decision = answers.decide(versions, waits_for_all);

        let missing = waits_for_all && replies.iter().any(Option::is_none);
        let expected = match (has_note, several) {
            (true, _) => Some(ResumeDecision::At(origin(7))),
            (false, false) => (agreeing >= 2 && !missing).then_some(ResumeDecision::Anywhere),
            (false, true) => {
                replies[..NOTE_COPIES].iter().all(Option::is_some).then_some(ResumeDecision::Unknown)
            }
        };
        prop_assert_eq!(decision, expected);
    }
}
