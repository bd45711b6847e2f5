//! Quarantine of requests that crash their upstreams, without a network. The failure that it guards
//! against is described in `platform/tests/test_quarantine.rs`.

use wingshed_lib::coordination::crash_outbox::{
    CrashNote, CrashOutbox, CrashReport, ObservedCrash, CRASHES_PER_RENEWAL, CRASH_KEEP_MS,
};
use wingshed_lib::coordination::crash_table::{
    quarantine_ms, settle_ms, CrashTable, COUNT_KEEP_MS, FIRST_QUARANTINE_MS, MAX_QUARANTINED,
    PART_QUARANTINE_CRASHES, QUARANTINE_CRASHES,
};
use wingshed_lib::coordination::part_completions::PartCompletions;
use wingshed_lib::coordination::quarantine_desk::{QuarantineState, ANSWER_SETTLE_MS};
use wingshed_lib::state::fleet_record::{FleetCommand, FleetRecord};
use wingshed_lib::state::ids::{RequestFingerprint, UpstreamKey};
use wingshed_lib::state::prompt_part::{leading_parts, PromptPart};
use wingshed_lib::state::quarantine::{
    QuarantineCommand, QuarantineRow, QuarantineTable, MAX_ROWS,
};

const POISON: RequestFingerprint = RequestFingerprint(7);
const START_MS: u64 = 1_000_000;
const VMS: usize = 12;

/// A leader and the recorded table; commands are recorded as soon as they are proposed.
#[derive(Default)]
struct Leader {
    term: u64,
    table: CrashTable,
    recorded: QuarantineTable,
    commands: usize,
}

impl Leader {
    fn of_term(term: u64, recorded: QuarantineTable) -> Leader {
        Leader { term, recorded, ..Leader::default() }
    }

    fn receive(&mut self, report: &CrashReport, now_ms: u64) {
        self.table.take(self.term, report, &self.recorded, now_ms);
        self.evaluate(now_ms);
        // The second evaluation sees the commands that the first one recorded.
        self.evaluate(now_ms);
    }

    fn evaluate(&mut self, now_ms: u64) {
        for command in self.table.commands_to_propose(self.term, &self.recorded, VMS, now_ms) {
            self.recorded.apply(command);
            self.commands += 1;
        }
    }

    /// Reports crashes under sends of VMs that have received the recorded table.
    fn ended(&mut self, fingerprint: RequestFingerprint, upstreams: &[u64], now_ms: u64) {
        let watched = self.recorded.row(fingerprint).is_some_and(|row| !row.quarantined);
        self.receive(&ended(fingerprint, upstreams, watched), now_ms);
    }

    /// Reports three crashes in sequence without a completion, which quarantine the request.
    fn crash_and_hold(&mut self, fingerprint: RequestFingerprint, now_ms: u64) {
        self.ended(fingerprint, &[1, 2], now_ms);
        self.ended(fingerprint, &[3], now_ms);
        self.evaluate(now_ms + settle_ms(VMS));
        assert!(self.recorded.is_quarantined(fingerprint));
        self.evaluate(now_ms + settle_ms(VMS));
    }
}

fn ended(fingerprint: RequestFingerprint, upstreams: &[u64], watched: bool) -> CrashReport {
    let note = |(at, upstream): (usize, &u64)| CrashNote {
        number: at as u64 + 1,
        fingerprint,
        upstream: UpstreamKey(*upstream),
        watched,
        ran_ms: 100,
    };
    CrashReport { ended: upstreams.iter().enumerate().map(note).collect(), completed: Vec::new() }
}

fn seen(fingerprint: RequestFingerprint, upstream: u64) -> ObservedCrash {
    ObservedCrash { fingerprint, upstream: UpstreamKey(upstream), watched: false, ran_ms: 100 }
}

fn well(fingerprint: RequestFingerprint) -> CrashReport {
    CrashReport { ended: Vec::new(), completed: vec![fingerprint] }
}

#[test]
fn the_third_upstream_that_ends_under_a_request_holds_it() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    leader.ended(POISON, &[1], START_MS);
    assert!(leader.recorded.row(POISON).is_none(), "one crash is not enough");
    leader.ended(POISON, &[2], START_MS + 10);
    assert!(
        leader.recorded.row(POISON).is_some_and(|row| !row.quarantined),
        "two crashes: it is watched"
    );
    leader.ended(POISON, &[2, 2, 1], START_MS + 20);
    assert!(
        !leader.recorded.is_quarantined(POISON),
        "an upstream counts once, regardless of the reporting VM"
    );
    leader.ended(POISON, &[3], START_MS + 30);
    leader.evaluate(START_MS + 29 + settle_ms(VMS));
    assert!(!leader.recorded.is_quarantined(POISON), "VMs may still report a completion");
    leader.evaluate(START_MS + 30 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(POISON));
    assert_eq!(leader.commands, 2, "each state is recorded once");
}

#[test]
fn upstreams_that_end_together_hold_nothing_until_one_more_ends_under_a_later_send() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    leader.ended(POISON, &[1, 2, 3, 4], START_MS);
    leader.evaluate(START_MS + 10 * settle_ms(VMS));
    assert!(
        !leader.recorded.is_quarantined(POISON),
        "it may be a popular request on a rack that was lost"
    );
    leader.ended(POISON, &[5], START_MS + 10_000);
    leader.evaluate(START_MS + 10_000 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(POISON));
}

#[test]
fn what_all_ask_for_is_not_held_when_racks_are_lost_one_after_the_other() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2, 3], START_MS);

    leader.ended(POISON, &[4, 5], START_MS + 100);
    leader.receive(&well(POISON), START_MS + 100 + settle_ms(VMS) - 1);
    leader.evaluate(START_MS + 100 + settle_ms(VMS));

    assert_eq!(leader.recorded.rows(), [], "it completed elsewhere meanwhile");
}

#[test]
fn where_very_many_requests_seem_at_fault_the_upstreams_are() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    for fingerprint in 0..4 * MAX_QUARANTINED as u64 {
        leader.ended(
            RequestFingerprint(fingerprint),
            &[3 * fingerprint, 3 * fingerprint + 1],
            START_MS,
        );
        leader.ended(RequestFingerprint(fingerprint), &[3 * fingerprint + 2], START_MS + 10);
    }
    for step in 0..400 {
        leader.evaluate(START_MS + step * 25);
    }

    assert_eq!(leader.recorded.quarantined_count(), MAX_QUARANTINED);
}

#[test]
fn a_command_that_is_lost_is_proposed_again_and_a_later_one_does_not_wait_for_it() {
    let mut table = CrashTable::default();
    let recorded = QuarantineTable::default();
    table.take(1, &ended(POISON, &[1, 2], false), &recorded, START_MS);
    assert_eq!(
        table.commands_to_propose(1, &recorded, VMS, START_MS).len(),
        1,
        "a command to watch it"
    );
    assert_eq!(
        table.commands_to_propose(1, &recorded, VMS, START_MS + 25).len(),
        0,
        "the command is under way"
    );

    table.take(1, &ended(POISON, &[3], true), &recorded, START_MS + 50);
    let holds = table.commands_to_propose(1, &recorded, VMS, START_MS + 50 + settle_ms(VMS));
    assert!(matches!(&holds[..], [QuarantineCommand::Set(row)] if row.quarantined), "{holds:?}");

    assert_eq!(
        table.commands_to_propose(1, &recorded, VMS, START_MS + 2000),
        holds,
        "proposed again until it is recorded"
    );
}

#[test]
fn a_request_that_runs_well_is_cleared() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let bystander = RequestFingerprint(8);
    for round in 0..20 {
        let (at_ms, first) = (START_MS + round * 10_000, round * 2 + 1);
        leader.ended(bystander, &[first, first + 1], at_ms);
        leader.receive(&well(bystander), at_ms + 5000);
        assert!(leader.recorded.row(bystander).is_none(), "round {round}");
    }

    leader.crash_and_hold(bystander, START_MS + 300_000);
}

#[test]
fn a_new_leader_hears_again_what_the_last_one_counted() {
    let mut outboxes = [CrashOutbox::default(), CrashOutbox::default()];
    let mut first = Leader::of_term(1, QuarantineTable::default());
    for (at, outbox) in outboxes.iter_mut().enumerate() {
        outbox.note_crash(seen(POISON, at as u64), START_MS);
        let report = outbox.take(START_MS);
        first.receive(&report, START_MS);
        outbox.confirm(1, 0);
        outbox.confirm(1, report.last());
        assert_eq!(outbox.take(START_MS), CrashReport::default(), "the report was confirmed");
    }

    let mut second = Leader::of_term(2, QuarantineTable::default());
    for outbox in &mut outboxes {
        outbox.confirm(2, 0);
        second.receive(&outbox.take(START_MS + 500), START_MS + 500);
    }
    second.ended(POISON, &[9], START_MS + 600);
    second.evaluate(START_MS + 600 + settle_ms(VMS));

    assert!(second.recorded.is_quarantined(POISON));
}

#[test]
fn crashes_are_told_until_they_are_heard_some_at_a_time_and_for_a_bounded_while() {
    let mut outbox = CrashOutbox::default();
    for at in 0..CRASHES_PER_RENEWAL as u64 + 5 {
        outbox.note_crash(seen(RequestFingerprint(at), 1), START_MS);
    }
    outbox.confirm(1, 0);

    let first = outbox.take(START_MS);
    assert_eq!(first.ended.len(), CRASHES_PER_RENEWAL);
    assert_eq!(outbox.take(START_MS), first, "the answer was lost");
    outbox.confirm(1, first.last());
    assert_eq!(outbox.take(START_MS).ended.len(), 5, "the remaining crashes");

    assert!(outbox.take(START_MS + CRASH_KEEP_MS).ended.is_empty(), "the crashes are too old");
}

#[test]
fn a_hold_ends_and_one_more_upstream_begins_a_longer_one() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.crash_and_hold(POISON, START_MS);
    let released_ms = START_MS + settle_ms(VMS) + FIRST_QUARANTINE_MS;
    leader.evaluate(released_ms - 1);
    assert!(leader.recorded.is_quarantined(POISON));

    leader.evaluate(released_ms);
    assert!(!leader.recorded.is_quarantined(POISON));
    leader.ended(POISON, &[4], released_ms + 100);

    assert!(leader.recorded.is_quarantined(POISON), "the first crash after the release");
    leader.evaluate(released_ms + 100 + FIRST_QUARANTINE_MS);
    assert!(leader.recorded.is_quarantined(POISON), "the second quarantine is longer");
    assert!(
        quarantine_ms(1) + quarantine_ms(2) + quarantine_ms(3) > 12 * 3_600_000,
        "three more crashes in half a day"
    );
    assert!(
        CRASH_KEEP_MS < quarantine_ms(1),
        "crashes are no longer reported when a quarantine ends"
    );
}

#[test]
fn a_hold_is_never_shorter_by_a_change_of_leaders() {
    let mut first = Leader::of_term(1, QuarantineTable::default());
    first.crash_and_hold(POISON, START_MS);

    let mut second = Leader::of_term(2, first.recorded);
    second.evaluate(START_MS + 5000);
    second.evaluate(START_MS + settle_ms(VMS) + FIRST_QUARANTINE_MS);
    assert!(second.recorded.is_quarantined(POISON));

    second.evaluate(START_MS + 5000 + FIRST_QUARANTINE_MS);
    assert!(!second.recorded.is_quarantined(POISON));
}

#[test]
fn what_is_watched_is_forgotten_when_nothing_more_is_heard_of_it() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2], START_MS);

    leader.evaluate(START_MS + COUNT_KEEP_MS);

    assert_eq!(leader.recorded.rows(), []);
}

#[test]
fn many_requests_that_are_watched_neither_push_each_other_out_nor_fill_the_log() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let many = 4 * MAX_ROWS as u64;
    for fingerprint in 0..many {
        leader.ended(RequestFingerprint(fingerprint), &[1, 2], START_MS);
    }
    for step in 0..400 {
        leader.evaluate(START_MS + step * 25);
    }
    assert_eq!((leader.recorded.rows().len(), leader.commands), (MAX_ROWS, MAX_ROWS));

    leader.ended(RequestFingerprint(0), &[3], START_MS + 10_000);
    leader.evaluate(START_MS + 10_000 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(RequestFingerprint(0)));
    assert_eq!(leader.recorded.rows().len(), MAX_ROWS);
}

#[test]
fn what_is_held_outlives_its_leader_in_the_log_and_in_an_image() {
    let ended = (1..=QUARANTINE_CRASHES as u64).map(UpstreamKey).collect();
    let row = QuarantineRow { fingerprint: POISON, ended, quarantined: true, times: 1 };
    let command = FleetCommand::Quarantine(QuarantineCommand::Set(row)).encode();
    let mut record = FleetRecord::default();
    record.apply(&command).unwrap();
    let changes = record.quarantine.changes();
    record.apply(&command).unwrap();
    assert_eq!(record.quarantine.changes(), changes, "a repeated command changes nothing");

    let mut restored = FleetRecord::default();
    restored.restore(&record.image()).unwrap();

    assert!(restored.quarantine.is_quarantined(POISON));
    assert_eq!(restored.quarantine.update_since(changes), None);
}

#[test]
fn a_request_is_known_by_its_content_and_its_caller_alone() {
    let of = |method, path, workspace, body: &str| {
        RequestFingerprint::of(method, "a.example", path, workspace, body.as_bytes())
    };
    let fingerprint = of("POST", "/x/1", Some("w"), "body");

    assert_eq!(of("POST", "/x/1", Some("w"), "body"), fingerprint);
    for (what, other) in [
        ("method", of("PUT", "/x/1", Some("w"), "body")),
        ("path", of("POST", "/x/2", Some("w"), "body")),
        ("caller", of("POST", "/x/1", Some("v"), "body")),
        ("no caller", of("POST", "/x/1", None, "body")),
        ("body", of("POST", "/x/1", Some("w"), "bodies")),
        ("path and workspace joined differently", of("POST", "/x/1w", Some(""), "body")),
    ] {
        assert_ne!(other, fingerprint, "{what}");
    }
}

/// Guards against the quarantine of a harmless stream: one that many callers request runs on every
/// upstream that crashes, and never completes because they crash before its end.
#[test]
fn what_always_runs_beside_a_request_at_fault_is_not_held_for_it() {
    let stream = RequestFingerprint(8);
    for stream_first in [true, false] {
        let mut leader = Leader::of_term(1, QuarantineTable::default());
        for (at, upstream) in (1..=6).enumerate() {
            if leader.recorded.is_quarantined(POISON) {
                // No upstream crashes any more.
                break;
            }
            let at_ms = START_MS + at as u64 * 500;
            let mut report = CrashReport::default();
            for (fingerprint, ran_ms) in [(stream, 900), (POISON, 80)] {
                let watched = leader.recorded.row(fingerprint).is_some_and(|row| !row.quarantined);
                let upstream = UpstreamKey(upstream);
                report.ended.push(CrashNote { number: 1, fingerprint, upstream, watched, ran_ms });
            }
            if !stream_first {
                report.ended.reverse();
            }
            leader.receive(&report, at_ms);
            leader.evaluate(at_ms + settle_ms(VMS));
            leader.evaluate(at_ms + 499);
        }

        assert!(leader.recorded.is_quarantined(POISON));
        assert!(!leader.recorded.is_quarantined(stream), "stream first: {stream_first}");
    }
}

#[test]
fn a_part_of_prompts_is_held_at_the_fourth_upstream_and_its_requests_are_not_blamed_for_them() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let part = RequestFingerprint::of_part(0xbad);
    for upstream in 1..=PART_QUARANTINE_CRASHES as u64 {
        assert!(!leader.recorded.is_quarantined(part), "{} crashes", upstream - 1);
        let now_ms = START_MS + 1000 * upstream;
        leader.ended(RequestFingerprint(upstream), &[upstream], now_ms);
        leader.ended(part, &[upstream], now_ms);
        leader.evaluate(now_ms + settle_ms(VMS));
    }

    assert!(leader.recorded.is_quarantined(part));
    assert_eq!(leader.recorded.quarantined_count(), 1);
}

#[test]
fn a_part_that_completes_in_another_request_is_not_held() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let part = RequestFingerprint::of_part(0x50);
    for upstream in 1..=20 {
        let now_ms = START_MS + 1000 * upstream;
        leader.ended(part, &[upstream], now_ms);
        if upstream % 3 == 0 {
            leader.receive(&well(part), now_ms + 10);
        }
        leader.evaluate(now_ms + settle_ms(VMS));
    }

    assert!(!leader.recorded.is_quarantined(part));
}

#[test]
fn fingerprints_of_parts_are_told_from_those_of_requests() {
    for number in 0..2000u64 {
        let body = number.to_le_bytes();
        assert!(!RequestFingerprint::of("POST", "a", "/x", None, &body).is_part());
        assert!(RequestFingerprint::of_part(number).is_part());
    }
}

#[test]
fn the_last_part_of_a_prompt_is_no_suspect() {
    let parts = [1, 2, 3].map(|id| PromptPart { id, tokens: 100 });

    assert_eq!(leading_parts(&parts), &parts[..2]);
    assert_eq!(leading_parts(&parts[..1]), []);
    assert_eq!(leading_parts(&[]), []);
}

#[test]
fn the_first_crash_of_a_part_that_has_just_completed_is_not_reported() {
    let mut completions = PartCompletions::default();
    completions.note_completed(7, START_MS);

    assert!(completions.note_crash(8, START_MS + 1), "it never completed");
    assert!(!completions.note_crash(7, START_MS + 1));
    assert!(completions.note_crash(7, START_MS + 2), "the second since");
    completions.note_completed(7, START_MS + 3);
    assert!(!completions.note_crash(7, START_MS + 4));
    completions.note_completed(7, START_MS + 5);
    assert!(completions.note_crash(7, START_MS + 60_000), "long after");
}

// Guards against sound requests that stay quarantined for crashes which never happened.
#[test]
fn a_request_is_released_once_an_upstream_of_its_crashes_answers() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.crash_and_hold(POISON, START_MS);

    leader.table.withdraw(1, &[UpstreamKey(2)]);
    leader.evaluate(START_MS + 1000);

    let row = leader.recorded.row(POISON).unwrap();
    assert_eq!((row.quarantined, row.times), (false, 0));
    assert_eq!(row.ended, [UpstreamKey(1), UpstreamKey(3)]);
}

#[test]
fn a_request_that_ends_upstreams_is_quarantined_again_after_a_withdrawn_crash() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.crash_and_hold(POISON, START_MS);
    leader.table.withdraw(1, &[UpstreamKey(2)]);
    leader.evaluate(START_MS + 1000);

    leader.ended(POISON, &[4], START_MS + 2000);
    leader.evaluate(START_MS + 2000 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(POISON));
}

#[test]
fn a_request_with_enough_other_crashes_stays_quarantined() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2], START_MS);
    leader.ended(POISON, &[3, 4], START_MS);
    leader.evaluate(START_MS + settle_ms(VMS));

    leader.table.withdraw(1, &[UpstreamKey(1)]);
    leader.evaluate(START_MS + 1000);

    let row = leader.recorded.row(POISON).unwrap();
    assert_eq!((row.quarantined, row.times), (true, 1));
    assert_eq!(row.ended, [2, 3, 4].map(UpstreamKey));
}

#[test]
fn a_watched_request_is_forgotten_with_its_last_crash() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2], START_MS);

    leader.table.withdraw(1, &[UpstreamKey(1), UpstreamKey(2)]);
    leader.evaluate(START_MS + 1000);
    leader.ended(POISON, &[3], START_MS + 2000);

    assert!(leader.recorded.row(POISON).is_none());
}

#[test]
fn an_answer_counts_only_if_its_request_was_sent_after_the_crash_was_recorded() {
    let mut table = QuarantineTable::default();
    let ended = vec![UpstreamKey(1), UpstreamKey(2)];
    table.apply(QuarantineCommand::Set(QuarantineRow {
        fingerprint: POISON,
        ended,
        quarantined: false,
        times: 0,
    }));
    let mut state = QuarantineState::default();
    state.take(table, START_MS);

    state.note_answered(UpstreamKey(1), START_MS - 1, START_MS + 10);
    state.note_answered(UpstreamKey(2), START_MS + 1, START_MS + 20);

    let at = |now_ms| state.wrongly_crashed(|_| true, now_ms);
    assert_eq!(at(START_MS + 19 + ANSWER_SETTLE_MS), []);
    assert_eq!(at(START_MS + 20 + ANSWER_SETTLE_MS), [UpstreamKey(2)]);
    let unlisted = state.wrongly_crashed(|_| false, START_MS + 20 + ANSWER_SETTLE_MS);
    assert_eq!(unlisted, [], "it was replaced by another incarnation");
}
