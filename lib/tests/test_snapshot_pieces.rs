//! Snapshots that a leader sends in pieces, while either end, the connection or the snapshot changes.

use std::collections::VecDeque;

use proptest::prelude::*;
use wingshed_lib::coordination::durable_core::{DurableCore, DurableOutcome};
use wingshed_lib::coordination::raft::RaftCore;
use wingshed_lib::coordination::raft_message::{
    RaftBody, RaftMessage, RaftOutput, RaftRole, HEARTBEAT_MS, SNAPSHOT_PIECE_BYTES,
};
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogSnapshot, StoredState,
};

/// The size of each snapshot, in bytes: four pieces.
const IMAGE_BYTES: usize = 3 * SNAPSHOT_PIECE_BYTES + 1000;
/// The member that lags.
const LAGGING: usize = 2;
/// The maximum number of messages to and from one member while no time passes and nothing is proposed: each
/// piece and its reply, each retry of entries, and a few of the messages that were under way.
const MAX_MESSAGES: usize = 64;

fn stored() -> StoredState {
    let member = |id: u32| {
        let address = "127.0.0.1:1".parse().unwrap();
        (KeeperId(id), GroupMember { incarnation: Incarnation(id as u64), address, votes: true })
    };
    let membership = GroupMembership { members: (1..=3).map(member).collect() };
    let snapshot = LogSnapshot { membership, ..LogSnapshot::default() };
    StoredState { snapshot, ..StoredState::default() }
}

fn core(id: u32, stored: StoredState, now_ms: u64) -> RaftCore {
    RaftCore::new(KeeperId(id), Incarnation(id as u64), stored, id as u64, now_ms)
}

/// One call of a member's core, with the present time.
type CoreStep = Box<dyn FnOnce(&mut RaftCore, u64, &mut RaftOutput)>;

/// A call that receives this message.
fn receive(message: RaftMessage) -> CoreStep {
    Box::new(move |core, now_ms, output| core.receive(message, now_ms, output))
}

/// A group of three whose first two members are always connected, and whose third one lags.
struct SnapshotGroup {
    cores: Vec<RaftCore>,
    now_ms: u64,
    /// Messages from and to the third member; those between the others are delivered at once.
    wire: VecDeque<(usize, RaftMessage)>,
}

impl SnapshotGroup {
    /// Creates a group in which the first member leads and the third one lacks a compacted entry.
    fn start() -> SnapshotGroup {
        let cores = (1..=3).map(|id| core(id, stored(), 1)).collect();
        let mut group = SnapshotGroup { cores, now_ms: 1000, wire: VecDeque::new() };
        while group.cores[0].role() != RaftRole::Leader {
            group.now_ms += 10;
            group.tick_core(0);
            group.wire.clear();
        }
        group.replace_snapshot();
        group.wire.clear();
        group
    }

    fn act(&mut self, at: usize, act: CoreStep) {
        let core = &mut self.cores[at];
        let mut output = RaftOutput::default();
        act(core, self.now_ms, &mut output);
        core.flush(self.now_ms, &mut output);
        core.note_synced(&mut output);
        for (to, message) in output.messages {
            let to = to.0 as usize - 1;
            match to == LAGGING || at == LAGGING {
                true => self.wire.push_back((to, message)),
                false => self.act(to, receive(message)),
            }
        }
    }

    fn tick_core(&mut self, at: usize) {
        self.act(at, Box::new(|core, now_ms, output| core.tick(now_ms, output)));
    }

    /// Lets time pass at the leader.
    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        self.tick_core(0);
    }

    /// Commits an entry, and replaces the leader's log by a snapshot that holds it.
    fn replace_snapshot(&mut self) {
        let payload = EntryPayload::Command(vec![7; 100]);
        self.act(0, Box::new(|core, _, output| drop(core.propose(payload, output))));
        let commit = self.cores[0].commit();
        let image = (0..IMAGE_BYTES).map(|at| (at as u64 * commit) as u8).collect();
        self.cores[0].compact(commit, image);
    }

    /// Delivers the message at this position of the wire.
    fn deliver(&mut self, at: usize) {
        let Some((to, message)) = self.wire.remove(at) else { return };
        self.act(to, receive(message));
    }

    /// Starts the lagging member again from its disk.
    fn restart_lagging(&mut self) {
        let old = &self.cores[LAGGING];
        let stored = StoredState {
            hard_state: old.hard_state(),
            snapshot: old.snapshot().clone(),
            entries: old.entries().to_vec(),
            ..StoredState::default()
        };
        self.cores[LAGGING] = core(3, stored, self.now_ms);
    }

    /// Delivers everything while no time passes. Returns how many messages that took.
    fn settle(&mut self) -> usize {
        let mut delivered = 0;
        while !self.wire.is_empty() && delivered <= MAX_MESSAGES {
            self.deliver(0);
            delivered += 1;
        }
        delivered
    }

    fn lagging_has_all(&self) -> bool {
        self.cores[LAGGING].commit() == self.cores[0].commit()
    }

    /// Lets time pass without losses until the lagging member has everything.
    fn catch_up(&mut self) {
        for _ in 0..100 {
            self.pass(HEARTBEAT_MS);
            let delivered = self.settle();
            assert!(delivered <= MAX_MESSAGES, "messages are exchanged without progress");
            if self.lagging_has_all() {
                return;
            }
        }
        panic!("the member doesn't catch up");
    }
}

// Guards against a snapshot that was continued at the position reached in the one before, endlessly.
#[test]
fn a_snapshot_that_is_replaced_between_two_pieces_is_sent_from_its_start() {
    let mut group = SnapshotGroup::start();
    group.pass(HEARTBEAT_MS);
    (0..4).for_each(|_| group.deliver(0));

    group.replace_snapshot();

    group.catch_up();
}

// Guards against an endless exchange with a member that lost the pieces it had.
#[test]
fn a_member_that_restarts_between_two_pieces_gets_the_snapshot_again() {
    let mut group = SnapshotGroup::start();
    group.pass(HEARTBEAT_MS);
    (0..4).for_each(|_| group.deliver(0));

    group.restart_lagging();

    group.catch_up();
}

// Guards against links that are filled with copies of one piece while its reply is under way.
#[test]
fn a_piece_whose_reply_is_under_way_is_not_sent_with_each_heartbeat() {
    let mut group = SnapshotGroup::start();

    (0..4).for_each(|_| group.pass(HEARTBEAT_MS));

    let bytes = |message: &RaftMessage| match &message.body {
        RaftBody::Piece { bytes, .. } => bytes.len(),
        _ => 0,
    };
    let sent: usize = group.wire.iter().map(|(_, message)| bytes(message)).sum();
    assert_eq!((group.wire.len(), sent), (4, SNAPSHOT_PIECE_BYTES));
}

// Guards against images that are joined from the pieces of two leaders.
#[test]
fn pieces_of_two_leaders_are_not_joined() {
    let mut lagging = core(3, stored(), 1);
    let piece = |from: u32, term, offset: u64, byte| {
        let membership = stored().snapshot.membership;
        let (index, last_term, total, bytes) = (9, 1, 200, vec![byte; 100]);
        let body =
            RaftBody::Piece { index, last_term, membership, offset, total, bytes, sent_ms: 5 };
        RaftMessage { from: KeeperId(from), incarnation: Incarnation(from as u64), term, body }
    };
    let mut output = RaftOutput::default();

    lagging.receive(piece(1, 2, 0, 1), 1000, &mut output);
    lagging.receive(piece(2, 3, 100, 2), 1001, &mut output);
    let joined = output.install.is_some();
    lagging.receive(piece(2, 3, 0, 2), 1002, &mut output);
    lagging.receive(piece(2, 3, 100, 2), 1003, &mut output);

    assert!(!joined);
    assert_eq!(output.install.unwrap().image, vec![2; 200]);
}

/// What happens next in a random schedule.
#[derive(Clone, Debug)]
enum Event {
    Deliver(usize),
    Lose(usize),
    Double(usize),
    Pass(u64),
    Replace,
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0usize..3).prop_map(Event::Deliver),
        1 => (0usize..3).prop_map(Event::Lose),
        1 => (0usize..3).prop_map(Event::Double),
        3 => (1u64..300).prop_map(Event::Pass),
        2 => Just(Event::Replace),
        1 => Just(Event::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    // Guards against two members that answer each other at once although neither gets any further.
    #[test]
    fn no_exchange_repeats_without_progress(events in prop::collection::vec(event(), 1..60)) {
        let mut group = SnapshotGroup::start();
        for event in events {
            match event {
                Event::Deliver(at) => group.deliver(at),
                Event::Lose(at) => drop(group.wire.remove(at)),
                Event::Double(at) => {
                    let copy = group.wire.get(at).cloned();
                    group.wire.extend(copy);
                }
                Event::Pass(ms) => group.pass(ms),
                Event::Replace => group.replace_snapshot(),
                Event::Restart => group.restart_lagging(),
            }
            let under_way = group.wire.len();
            prop_assert!(under_way <= MAX_MESSAGES, "{} messages are under way", under_way);
        }
        let delivered = group.settle();
        prop_assert!(delivered <= MAX_MESSAGES, "messages are exchanged without progress");
        group.catch_up();
    }
}

/// A follower with its disk, whose acknowledgements are observed.
struct DiskFollower {
    durable: DurableCore,
    acknowledged: Option<u64>,
}

impl DiskFollower {
    fn note(&mut self, outcome: DurableOutcome) -> bool {
        let acked = outcome.messages.iter().filter_map(|(_, message)| match &message.body {
            RaftBody::AppendReply { matched: true, index, .. } => Some(*index),
            _ => None,
        });
        self.acknowledged = self.acknowledged.max(acked.max());
        outcome.job.is_some()
    }
}

// Guards against a leader that counts on a snapshot which a crash of the member has undone: it never sends
// entries from before what was acknowledged.
#[test]
fn a_snapshot_is_acknowledged_only_once_it_is_on_disk() {
    let durable = DurableCore::new(core(3, stored(), 1));
    let mut follower = DiskFollower { durable, acknowledged: None };
    let body = RaftBody::Piece {
        index: 9,
        last_term: 1,
        membership: stored().snapshot.membership,
        offset: 0,
        total: 100,
        bytes: vec![7; 100],
        sent_ms: 5,
    };
    let message = RaftMessage { from: KeeperId(1), incarnation: Incarnation(1), term: 2, body };

    let step = follower.durable.step(1000, |core, output| core.receive(message, 1000, output));
    let writes = follower.note(step);
    let before = follower.acknowledged;
    let mut running = writes;
    while running {
        let step = follower.durable.note_written(1001);
        running = follower.note(step);
    }

    assert!(writes, "the snapshot is written");
    assert_eq!((before, follower.acknowledged), (None, Some(9)));
}

// Guards against compacting the log under a member that is catching up, which then needs a snapshot again and
// again while changes come faster than one is carried.
#[test]
fn a_member_that_answers_and_lacks_entries_counts_as_behind_until_it_has_them() {
    let mut group = SnapshotGroup::start();
    let silent = group.cores[0].has_live_member_behind(group.now_ms);
    group.pass(HEARTBEAT_MS);
    (0..2).for_each(|_| group.deliver(0));

    let catching_up = group.cores[0].has_live_member_behind(group.now_ms);
    group.catch_up();

    let caught_up = group.cores[0].has_live_member_behind(group.now_ms);
    assert_eq!((silent, catching_up, caught_up), (false, true, false));
}
