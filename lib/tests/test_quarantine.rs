//! Which requests are refused since upstreams ended under them, without a network; the story that it is
//! for stands at the head of `platform/tests/test_quarantine.rs`.

use wingshed_lib::coordination::crash_outbox::{
    CrashNote, CrashOutbox, CrashReport, SeenCrash, CRASHES_PER_RENEWAL, CRASH_KEEP_MS,
};
use wingshed_lib::coordination::crash_table::{
    held_ms, settle_ms, CrashTable, COUNT_KEEP_MS, FIRST_HELD_MS, MOST_ENDED, MOST_HELD,
};
use wingshed_lib::state::fleet_record::{FleetCommand, FleetRecord};
use wingshed_lib::state::ids::{RequestFingerprint, UpstreamKey};
use wingshed_lib::state::quarantine::{
    QuarantineCommand, QuarantineRow, QuarantineTable, MAX_ROWS,
};

const POISON: RequestFingerprint = RequestFingerprint(7);
const START_MS: u64 = 1_000_000;
const VMS: usize = 12;

/// A leader and what is recorded; commands are taken as soon as they are proposed.
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

    fn hear(&mut self, report: &CrashReport, now_ms: u64) {
        self.table.take(self.term, report, &self.recorded, now_ms);
        self.look(now_ms);
        // The next look sees what was recorded by this one.
        self.look(now_ms);
    }

    fn look(&mut self, now_ms: u64) {
        for command in self.table.wanted(self.term, &self.recorded, VMS, now_ms) {
            self.recorded.apply(command);
            self.commands += 1;
        }
    }

    /// Upstreams end under sends of VMs that know what is recorded.
    fn ended(&mut self, mark: RequestFingerprint, upstreams: &[u64], now_ms: u64) {
        let watched = self.recorded.row(mark).is_some_and(|row| !row.quarantined);
        self.hear(&ended(mark, upstreams, watched), now_ms);
    }

    /// Three upstreams end one after the other, and nothing runs well.
    fn prove(&mut self, mark: RequestFingerprint, now_ms: u64) {
        self.ended(mark, &[1, 2], now_ms);
        self.ended(mark, &[3], now_ms);
        self.look(now_ms + settle_ms(VMS));
        assert!(self.recorded.is_quarantined(mark));
        self.look(now_ms + settle_ms(VMS));
    }
}

fn ended(mark: RequestFingerprint, upstreams: &[u64], watched: bool) -> CrashReport {
    let note = |(at, upstream): (usize, &u64)| CrashNote {
        number: at as u64 + 1,
        mark,
        upstream: UpstreamKey(*upstream),
        watched,
        ran_ms: 100,
    };
    CrashReport { ended: upstreams.iter().enumerate().map(note).collect(), well: Vec::new() }
}

fn seen(mark: RequestFingerprint, upstream: u64) -> SeenCrash {
    SeenCrash { mark, upstream: UpstreamKey(upstream), watched: false, ran_ms: 100 }
}

fn well(mark: RequestFingerprint) -> CrashReport {
    CrashReport { ended: Vec::new(), well: vec![mark] }
}

#[test]
fn the_third_upstream_that_ends_under_a_request_holds_it() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    leader.ended(POISON, &[1], START_MS);
    assert!(leader.recorded.row(POISON).is_none(), "one tells nothing");
    leader.ended(POISON, &[2], START_MS + 10);
    assert!(leader.recorded.row(POISON).is_some_and(|row| !row.quarantined), "two: it is watched");
    leader.ended(POISON, &[2, 2, 1], START_MS + 20);
    assert!(
        !leader.recorded.is_quarantined(POISON),
        "an upstream counts once, whoever tells of it"
    );
    leader.ended(POISON, &[3], START_MS + 30);
    leader.look(START_MS + 29 + settle_ms(VMS));
    assert!(!leader.recorded.is_quarantined(POISON), "VMs may still tell that it ran well");
    leader.look(START_MS + 30 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(POISON));
    assert_eq!(leader.commands, 2, "each state is recorded once");
}

#[test]
fn upstreams_that_end_together_hold_nothing_until_one_more_ends_under_a_later_send() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    leader.ended(POISON, &[1, 2, 3, 4], START_MS);
    leader.look(START_MS + 10 * settle_ms(VMS));
    assert!(
        !leader.recorded.is_quarantined(POISON),
        "a rack that was lost, and a thing that all ask for"
    );
    leader.ended(POISON, &[5], START_MS + 10_000);
    leader.look(START_MS + 10_000 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(POISON));
}

#[test]
fn what_all_ask_for_is_not_held_when_racks_are_lost_one_after_the_other() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2, 3], START_MS);

    leader.ended(POISON, &[4, 5], START_MS + 100);
    leader.hear(&well(POISON), START_MS + 100 + settle_ms(VMS) - 1);
    leader.look(START_MS + 100 + settle_ms(VMS));

    assert_eq!(leader.recorded.rows(), [], "it ran well elsewhere meanwhile");
}

#[test]
fn where_very_many_requests_seem_at_fault_the_upstreams_are() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());

    for mark in 0..4 * MOST_HELD as u64 {
        leader.ended(RequestFingerprint(mark), &[3 * mark, 3 * mark + 1], START_MS);
        leader.ended(RequestFingerprint(mark), &[3 * mark + 2], START_MS + 10);
    }
    for step in 0..400 {
        leader.look(START_MS + step * 25);
    }

    assert_eq!(leader.recorded.quarantined_count(), MOST_HELD);
}

#[test]
fn a_command_that_is_lost_is_proposed_again_and_a_later_one_does_not_wait_for_it() {
    let mut table = CrashTable::default();
    let recorded = QuarantineTable::default();
    table.take(1, &ended(POISON, &[1, 2], false), &recorded, START_MS);
    assert_eq!(table.wanted(1, &recorded, VMS, START_MS).len(), 1, "watch it");
    assert_eq!(table.wanted(1, &recorded, VMS, START_MS + 25).len(), 0, "is under way");

    table.take(1, &ended(POISON, &[3], true), &recorded, START_MS + 50);
    let holds = table.wanted(1, &recorded, VMS, START_MS + 50 + settle_ms(VMS));
    assert!(matches!(&holds[..], [QuarantineCommand::Set(row)] if row.quarantined), "{holds:?}");

    assert_eq!(
        table.wanted(1, &recorded, VMS, START_MS + 2000),
        holds,
        "again, until it is recorded"
    );
}

#[test]
fn a_request_that_runs_well_is_cleared() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let bystander = RequestFingerprint(8);
    for round in 0..20 {
        let (at_ms, first) = (START_MS + round * 10_000, round * 2 + 1);
        leader.ended(bystander, &[first, first + 1], at_ms);
        leader.hear(&well(bystander), at_ms + 5000);
        assert!(leader.recorded.row(bystander).is_none(), "round {round}");
    }

    leader.prove(bystander, START_MS + 300_000);
}

#[test]
fn a_new_leader_hears_again_what_the_last_one_counted() {
    let mut outboxes = [CrashOutbox::default(), CrashOutbox::default()];
    let mut first = Leader::of_term(1, QuarantineTable::default());
    for (at, outbox) in outboxes.iter_mut().enumerate() {
        outbox.note_ended(seen(POISON, at as u64), START_MS);
        let report = outbox.take(START_MS);
        first.hear(&report, START_MS);
        outbox.confirm(1, 0);
        outbox.confirm(1, report.last());
        assert_eq!(outbox.take(START_MS), CrashReport::default(), "it was heard");
    }

    let mut second = Leader::of_term(2, QuarantineTable::default());
    for outbox in &mut outboxes {
        outbox.confirm(2, 0);
        second.hear(&outbox.take(START_MS + 500), START_MS + 500);
    }
    second.ended(POISON, &[9], START_MS + 600);
    second.look(START_MS + 600 + settle_ms(VMS));

    assert!(second.recorded.is_quarantined(POISON));
}

#[test]
fn crashes_are_told_until_they_are_heard_some_at_a_time_and_for_a_bounded_while() {
    let mut outbox = CrashOutbox::default();
    for at in 0..CRASHES_PER_RENEWAL as u64 + 5 {
        outbox.note_ended(seen(RequestFingerprint(at), 1), START_MS);
    }
    outbox.confirm(1, 0);

    let first = outbox.take(START_MS);
    assert_eq!(first.ended.len(), CRASHES_PER_RENEWAL);
    assert_eq!(outbox.take(START_MS), first, "the answer was lost");
    outbox.confirm(1, first.last());
    assert_eq!(outbox.take(START_MS).ended.len(), 5, "the rest");

    assert!(outbox.take(START_MS + CRASH_KEEP_MS).ended.is_empty(), "too old");
}

#[test]
fn a_hold_ends_and_one_more_upstream_begins_a_longer_one() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.prove(POISON, START_MS);
    let let_go_ms = START_MS + settle_ms(VMS) + FIRST_HELD_MS;
    leader.look(let_go_ms - 1);
    assert!(leader.recorded.is_quarantined(POISON));

    leader.look(let_go_ms);
    assert!(!leader.recorded.is_quarantined(POISON));
    leader.ended(POISON, &[4], let_go_ms + 100);

    assert!(leader.recorded.is_quarantined(POISON), "the first upstream after it");
    leader.look(let_go_ms + 100 + FIRST_HELD_MS);
    assert!(leader.recorded.is_quarantined(POISON), "for longer");
    assert!(held_ms(1) + held_ms(2) + held_ms(3) > 12 * 3_600_000, "three more in half a day");
    assert!(CRASH_KEEP_MS < held_ms(1), "what VMs tell again is older than any hold's end");
}

#[test]
fn a_hold_is_never_shorter_by_a_change_of_leaders() {
    let mut first = Leader::of_term(1, QuarantineTable::default());
    first.prove(POISON, START_MS);

    let mut second = Leader::of_term(2, first.recorded);
    second.look(START_MS + 5000);
    second.look(START_MS + settle_ms(VMS) + FIRST_HELD_MS);
    assert!(second.recorded.is_quarantined(POISON));

    second.look(START_MS + 5000 + FIRST_HELD_MS);
    assert!(!second.recorded.is_quarantined(POISON));
}

#[test]
fn what_is_watched_is_forgotten_when_nothing_more_is_heard_of_it() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    leader.ended(POISON, &[1, 2], START_MS);

    leader.look(START_MS + COUNT_KEEP_MS);

    assert_eq!(leader.recorded.rows(), []);
}

#[test]
fn many_requests_that_are_watched_neither_push_each_other_out_nor_fill_the_log() {
    let mut leader = Leader::of_term(1, QuarantineTable::default());
    let many = 4 * MAX_ROWS as u64;
    for mark in 0..many {
        leader.ended(RequestFingerprint(mark), &[1, 2], START_MS);
    }
    for step in 0..400 {
        leader.look(START_MS + step * 25);
    }
    assert_eq!((leader.recorded.rows().len(), leader.commands), (MAX_ROWS, MAX_ROWS));

    leader.ended(RequestFingerprint(0), &[3], START_MS + 10_000);
    leader.look(START_MS + 10_000 + settle_ms(VMS));

    assert!(leader.recorded.is_quarantined(RequestFingerprint(0)));
    assert_eq!(leader.recorded.rows().len(), MAX_ROWS);
}

#[test]
fn what_is_held_outlives_its_leader_in_the_log_and_in_an_image() {
    let ended = (1..=MOST_ENDED as u64).map(UpstreamKey).collect();
    let row = QuarantineRow { fingerprint: POISON, ended, quarantined: true, times: 1 };
    let command = FleetCommand::Quarantine(QuarantineCommand::Set(row)).encode();
    let mut record = FleetRecord::default();
    record.apply(&command).unwrap();
    let changes = record.quarantine.changes();
    record.apply(&command).unwrap();
    assert_eq!(record.quarantine.changes(), changes, "one that comes twice changes nothing");

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
    let mark = of("POST", "/x/1", Some("w"), "body");

    assert_eq!(of("POST", "/x/1", Some("w"), "body"), mark);
    for (what, other) in [
        ("method", of("PUT", "/x/1", Some("w"), "body")),
        ("path", of("POST", "/x/2", Some("w"), "body")),
        ("caller", of("POST", "/x/1", Some("v"), "body")),
        ("no caller", of("POST", "/x/1", None, "body")),
        ("body", of("POST", "/x/1", Some("w"), "bodies")),
        ("parts that run together", of("POST", "/x/1w", Some(""), "body")),
    ] {
        assert_ne!(other, mark, "{what}");
    }
}

/// A stream that many ask for runs on each upstream, for longer than these live beside a request that
/// ends them: it never runs well in time. The soak showed it as refused, 50 ms after the other.
#[test]
fn what_always_runs_beside_a_request_at_fault_is_not_held_for_it() {
    let stream = RequestFingerprint(8);
    for stream_first in [true, false] {
        let mut leader = Leader::of_term(1, QuarantineTable::default());
        for (at, upstream) in (1..=6).enumerate() {
            if leader.recorded.is_quarantined(POISON) {
                // Nothing ends upstreams any more.
                break;
            }
            let at_ms = START_MS + at as u64 * 500;
            let mut report = CrashReport::default();
            for (mark, ran_ms) in [(stream, 900), (POISON, 80)] {
                let watched = leader.recorded.row(mark).is_some_and(|row| !row.quarantined);
                let upstream = UpstreamKey(upstream);
                report.ended.push(CrashNote { number: 1, mark, upstream, watched, ran_ms });
            }
            if !stream_first {
                report.ended.reverse();
            }
            leader.hear(&report, at_ms);
            leader.look(at_ms + settle_ms(VMS));
            leader.look(at_ms + 499);
        }

        assert!(leader.recorded.is_quarantined(POISON));
        assert!(!leader.recorded.is_quarantined(stream), "stream first: {stream_first}");
    }
}
