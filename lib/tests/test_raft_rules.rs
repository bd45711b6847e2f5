//! Single rules of the consensus, each tested by the shortest exchange that depends on it. The
//! seeded mixes of `test_raft` rarely reach most of these cases.

use wingshed_lib::coordination::raft::RaftCore;
use wingshed_lib::coordination::raft_message::{
    MemberChange, RaftBody, RaftMessage, RaftOutput, RaftRole, ELECTION_MS,
};
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, HardState, LogEntry, LogSnapshot, StoredState,
};

const NOW: u64 = 10_000;

fn stored(term: u64, entries: &[(u64, u64)]) -> StoredState {
    let member = |id: u32| {
        let address = "127.0.0.1:1".parse().unwrap();
        (KeeperId(id), GroupMember { incarnation: Incarnation(id as u64), address, votes: true })
    };
    let membership = GroupMembership { members: (1..=3).map(member).collect() };
    let entry = |(index, term): &(u64, u64)| LogEntry {
        index: *index,
        term: *term,
        payload: EntryPayload::Command(vec![*index as u8]),
    };
    StoredState {
        hard_state: HardState { term, voted_for: None },
        snapshot: LogSnapshot { membership, ..LogSnapshot::default() },
        entries: entries.iter().map(entry).collect(),
        ..StoredState::default()
    }
}

fn core(term: u64, entries: &[(u64, u64)]) -> RaftCore {
    RaftCore::new(KeeperId(1), Incarnation(1), stored(term, entries), 3, NOW)
}

fn message(from: u32, term: u64, body: RaftBody) -> RaftMessage {
    RaftMessage { from: KeeperId(from), incarnation: Incarnation(from as u64), term, body }
}

fn receive(core: &mut RaftCore, now_ms: u64, message: RaftMessage) -> RaftOutput {
    let mut output = RaftOutput::default();
    core.receive(message, now_ms, &mut output);
    output
}

fn held(index: u64, sent_ms: u64) -> RaftBody {
    RaftBody::AppendReply { matched: true, index, sent_ms, snapshot_offset: 0 }
}

/// Returns keeper 1 as leader of the term after `term`, with its first entry synced, and the time.
fn leader(term: u64, entries: &[(u64, u64)]) -> (RaftCore, u64) {
    let mut core = core(term, entries);
    let now_ms = NOW + 2 * ELECTION_MS;
    let mut output = RaftOutput::default();
    core.tick(now_ms, &mut output);
    receive(
        &mut core,
        now_ms,
        message(2, term + 1, RaftBody::VoteReply { pre: true, granted: true }),
    );
    receive(
        &mut core,
        now_ms,
        message(2, term + 1, RaftBody::VoteReply { pre: false, granted: true }),
    );
    assert_eq!(core.role(), RaftRole::Leader);
    core.note_synced(&mut output);
    (core, now_ms)
}

#[test]
fn entries_of_earlier_terms_are_not_committed_by_counting() {
    let (mut core, now_ms) = leader(3, &[(1, 1), (2, 2)]);

    receive(&mut core, now_ms, message(2, 4, held(2, now_ms)));
    let before = core.commit();
    receive(&mut core, now_ms, message(2, 4, held(3, now_ms)));

    assert_eq!((before, core.commit()), (0, 3));
}

#[test]
fn what_is_not_synced_here_does_not_count_towards_a_quorum() {
    let (mut core, now_ms) = leader(0, &[]);
    receive(&mut core, now_ms, message(2, 1, held(1, now_ms)));
    let mut output = RaftOutput::default();
    core.propose(EntryPayload::Command(vec![9]), &mut output).unwrap();

    receive(&mut core, now_ms, message(2, 1, held(2, now_ms)));
    let before = core.commit();
    core.note_synced(&mut output);

    assert_eq!((before, core.commit()), (1, 2));
}

#[test]
fn a_leader_that_was_heard_lately_is_defended_unless_it_hands_over() {
    let heartbeat = RaftBody::Append {
        prev_index: 0,
        prev_term: 0,
        entries: Vec::new(),
        commit: 0,
        sent_ms: 1,
    };
    let vote = |pre, transfer| RaftBody::Vote { pre, transfer, last_index: 5, last_term: 5 };
    let rows = [(100, true, false, false), (100, false, false, false), (100, false, true, true)];
    let late = (ELECTION_MS + 1, false, false, true);

    for (after_ms, pre, transfer, expected) in rows.into_iter().chain([late]) {
        let mut core = core(1, &[]);
        receive(&mut core, NOW, message(2, 1, heartbeat.clone()));
        let output = receive(&mut core, NOW + after_ms, message(3, 2, vote(pre, transfer)));

        let granted = output.messages.iter().any(|(to, reply)| {
            *to == KeeperId(3) && matches!(reply.body, RaftBody::VoteReply { granted: true, .. })
        });
        assert_eq!(granted, expected, "after {after_ms} ms, pre {pre}, transfer {transfer}");
    }
}

#[test]
fn votes_and_answers_of_another_life_do_not_count() {
    let mut core = core(0, &[]);
    let now_ms = NOW + 2 * ELECTION_MS;
    core.tick(now_ms, &mut RaftOutput::default());
    let body = RaftBody::VoteReply { pre: true, granted: true };
    let other_incarnation = RaftMessage { incarnation: Incarnation(77), ..message(2, 1, body) };

    receive(&mut core, now_ms, other_incarnation);
    assert_eq!(core.role(), RaftRole::PreCandidate);

    let (mut core, now_ms) = leader(0, &[]);
    let other_incarnation =
        RaftMessage { incarnation: Incarnation(77), ..message(2, 1, held(1, now_ms)) };
    receive(&mut core, now_ms, other_incarnation);
    assert_eq!(core.commit(), 0);
}

#[test]
fn what_a_lost_life_held_is_not_held_by_its_successor() {
    let (mut core, now_ms) = leader(0, &[]);
    receive(&mut core, now_ms, message(2, 1, held(1, now_ms)));
    receive(&mut core, now_ms, message(3, 1, held(1, now_ms)));
    let mut output = RaftOutput::default();
    core.change_member(MemberChange::Remove(KeeperId(3)), now_ms, &mut output).unwrap();
    core.note_synced(&mut output);
    receive(&mut core, now_ms, message(2, 1, held(2, now_ms)));
    let address = "127.0.0.1:1".parse().unwrap();

    let add = MemberChange::AddLearner(KeeperId(3), Incarnation(33), address);
    core.change_member(add, now_ms, &mut output).unwrap();

    assert_eq!(core.member_match(KeeperId(3)), Some(0));
    assert_eq!(core.member_match(KeeperId(2)), Some(2));
}

#[test]
fn a_leader_is_not_removed_before_it_hands_over() {
    let (mut core, now_ms) = leader(0, &[]);
    receive(&mut core, now_ms, message(2, 1, held(1, now_ms)));

    let refused =
        core.change_member(MemberChange::Remove(KeeperId(1)), now_ms, &mut RaftOutput::default());

    assert!(refused.is_err());
}
