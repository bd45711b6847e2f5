//! Where parts are kept against the order: told once, heard by all, and used as a source.

mod testutils;

use proptest::prelude::*;
use testutils::engines::candidate;
use wingshed_lib::coordination::holder_news::{
    HolderMark, HolderNote, HolderOutbox, HolderRing, NOTES_TOLD,
};
use wingshed_lib::coordination::upstream_choice::{
    choose_engine, EngineRules, PrefixMemory, UpstreamCandidate,
};
use wingshed_lib::state::ids::UpstreamKey;
use wingshed_lib::state::prompt_part::PromptPart;

const LATE: u64 = 10_000_000;

fn note(part: u64, engine: u64) -> HolderNote {
    HolderNote { part, engine: UpstreamKey(engine) }
}

fn prompt() -> Vec<PromptPart> {
    [(1, 600), (2, 9000), (3, 500)].map(|(id, tokens)| PromptPart { id, tokens }).to_vec()
}

fn pick(
    all: &[UpstreamCandidate],
    memory: &PrefixMemory,
) -> (UpstreamKey, Option<UpstreamKey>, Option<u64>) {
    let rules =
        EngineRules { moves: true, spread: usize::MAX, load_limit: 2.0, part_load: 0.0, draw: 0 };
    let pick = choose_engine(all, &prompt(), memory, &rules, LATE).unwrap();
    (pick.upstream, pick.fetch_from, pick.against_order)
}

#[test]
fn a_part_that_was_read_elsewhere_is_fetched_from_there_by_a_vm_that_never_sent_it() {
    let calm: Vec<UpstreamCandidate> = (1..=8).map(|key| candidate(key, 2)).collect();
    let (home, _, told) = pick(&calm, &PrefixMemory::default());
    assert_eq!(told, None, "every VM guesses the first of the order");

    // One VM finds the first two of the order dead, and sends the part to the third.
    let mut broken = calm.clone();
    let aside = |all: &mut Vec<UpstreamCandidate>, key| {
        all.iter_mut().filter(|c| c.key == key).for_each(|c| c.aside = true);
    };
    aside(&mut broken, home);
    let second = pick(&broken, &PrefixMemory::default()).0;
    aside(&mut broken, second);
    let (third, _, told) = pick(&broken, &PrefixMemory::default());
    assert_eq!(told, Some(2));

    // Another VM, that has never seen this prompt, serves it once the first has come back empty.
    let mut back = calm.clone();
    back.iter_mut().filter(|c| c.key == home).for_each(|c| c.first_seen_ms = LATE - 1000);
    let mut other = PrefixMemory::default();
    assert_eq!(pick(&back, &other).1, Some(second), "without news it names one that lacks it");
    other.note_told(2, third, LATE);
    assert_eq!(pick(&back, &other), (home, Some(third), None));
}

#[test]
fn a_note_is_told_once_and_again_only_when_it_is_old_or_other() {
    let mut outbox = HolderOutbox::default();
    outbox.add(note(1, 7), 1000);
    outbox.add(note(1, 7), 2000);
    outbox.add(note(1, 8), 2000);
    assert_eq!(outbox.take(), [note(1, 7), note(1, 8)]);
    assert_eq!(outbox.take(), []);

    outbox.add(note(1, 8), 60_000);
    assert_eq!(outbox.take(), [note(1, 8)]);
    (0..10_000).for_each(|part| outbox.add(note(part, 1), 70_000));
    assert_eq!(outbox.take().len(), NOTES_TOLD, "one renewal stays small");
}

#[test]
fn a_new_leader_begins_anew_and_its_marks_are_not_taken_for_the_old_ones() {
    let mut ring = HolderRing::default();
    ring.take(3, &[note(1, 7), note(2, 7)]);
    let (_, heard) = ring.news(HolderMark::default());

    let fresh = ring.take(4, &[note(5, 9)]);

    assert_eq!(fresh, [note(5, 9)]);
    let (told, mark) = ring.news(heard);
    assert_eq!((told, mark), (vec![note(5, 9)], HolderMark { term: 4, heard: 1 }));
    assert_eq!(ring.news(mark).0, []);
}

proptest! {
    #[test]
    fn whoever_listens_hears_the_newest_holder_of_each_part_that_is_remembered(
        steps in proptest::collection::vec((0_u64..4000, 0_u64..5, any::<bool>()), 1..6000),
    ) {
        let mut ring = HolderRing::default();
        let mut last = std::collections::HashMap::new();
        let mut heard = std::collections::HashMap::new();
        let mut mark = HolderMark::default();
        for (part, engine, listens) in steps {
            ring.take(1, &[note(part, engine)]);
            last.insert(part, UpstreamKey(engine));
            if listens {
                let (told, next) = ring.news(mark);
                prop_assert!(told.len() <= NOTES_TOLD && next.heard >= mark.heard);
                heard.extend(told.iter().map(|note| (note.part, note.engine)));
                mark = next;
            }
        }
        loop {
            let (told, next) = ring.news(mark);
            if told.is_empty() {
                break;
            }
            heard.extend(told.iter().map(|note| (note.part, note.engine)));
            mark = next;
        }
        let (all, _) = ring.news(HolderMark { term: 1, heard: mark.heard });
        prop_assert!(all.is_empty(), "nothing is told twice");
        let wrong = heard.iter().filter(|(part, engine)| last[part] != **engine).count();
        prop_assert_eq!(wrong, 0);
    }
}
