//! Keepers with slow disks, on a simulated clock where a message takes one step.

use std::collections::BTreeMap;

use wingshed_lib::coordination::durable_core::{DiskJob, DurableCore, DurableOutcome};
use wingshed_lib::coordination::raft::RaftCore;
use wingshed_lib::coordination::raft_message::{RaftBody, RaftMessage, RaftOutput, RaftRole};
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogEntry, LogSnapshot, StoredState,
};

const KEEPERS: u32 = 3;
const STEP_MS: u64 = 10;
const PROPOSE_EACH_MS: u64 = 500;

/// The stored state of a group of `keepers` keepers before its first entry.
fn first_state(keepers: u32) -> StoredState {
    let address = "127.0.0.1:1".parse().unwrap();
    let member =
        |id: u32| GroupMember { incarnation: Incarnation(id.into()), address, votes: true };
    let members = (1..=keepers).map(|id| (KeeperId(id), member(id))).collect();
    let membership = GroupMembership { members };
    let snapshot = LogSnapshot { index: 0, term: 0, membership, image: Vec::new() };
    StoredState { snapshot, ..StoredState::default() }
}

fn keeper_of(keepers: u32, id: u32) -> DurableCore {
    let incarnation = Incarnation(id.into());
    let seed = 77 * u64::from(id);
    DurableCore::new(RaftCore::new(KeeperId(id), incarnation, first_state(keepers), seed, 0))
}

// Guards against ignoring the end of a write while another one waits: on a disk slower than the
// proposals, no entry would ever be acknowledged.
#[test]
fn what_is_written_counts_though_more_waits_for_the_disk() {
    let mut keeper = keeper_of(1, 1);
    let mut acknowledged = 0;
    let election = keeper.step(1000, |core, output| core.tick(1000, output));
    assert!(election.job.is_some());

    for round in 1..=20u64 {
        let now_ms = 1000 + 600 * round;
        for at_ms in [now_ms - 400, now_ms - 200] {
            let payload = EntryPayload::Command(at_ms.to_be_bytes().to_vec());
            let proposed = keeper.step(at_ms, |core, output| {
                core.propose(payload, output).unwrap();
            });
            assert!(proposed.job.is_none(), "the disk is busy");
        }
        acknowledged += keeper.note_written(now_ms).committed.len();
    }

    // Two per round and the leader's empty entry; the entries of the last job are not written yet.
    assert_eq!(acknowledged, 1 + 2 * 19);
}

struct SlowKeeper {
    durable: DurableCore,
    job: Option<(DiskJob, u64)>,
    synced: Vec<LogEntry>,
    committed: Vec<LogEntry>,
    down: bool,
}

/// Three keepers whose writes all take `write_ms`.
struct SlowGroup {
    now_ms: u64,
    write_ms: u64,
    keepers: BTreeMap<KeeperId, SlowKeeper>,
    wire: Vec<(KeeperId, RaftMessage)>,
}

impl SlowGroup {
    fn new(write_ms: u64) -> SlowGroup {
        let keeper = |id: u32| {
            let durable = keeper_of(KEEPERS, id);
            let (synced, committed) = (Vec::new(), Vec::new());
            (KeeperId(id), SlowKeeper { durable, job: None, synced, committed, down: false })
        };
        let keepers = (1..=KEEPERS).map(keeper).collect();
        SlowGroup { now_ms: 0, write_ms, keepers, wire: Vec::new() }
    }

    fn leader(&self) -> Option<KeeperId> {
        let leads =
            |keeper: &SlowKeeper| !keeper.down && keeper.durable.core.has_lease(self.now_ms);
        self.keepers.iter().find(|(_, keeper)| leads(keeper)).map(|(id, _)| *id)
    }

    fn take(&mut self, id: KeeperId, outcome: DurableOutcome) {
        let keeper = self.keepers.get_mut(&id).unwrap();
        if let Some(job) = outcome.job {
            assert!(keeper.job.is_none(), "one job runs at a time");
            keeper.job = Some((job, self.now_ms + self.write_ms));
        }
        keeper.committed.extend(outcome.committed);
        self.wire.extend(outcome.messages);
    }

    fn write_due_job(&mut self, id: KeeperId) {
        let now_ms = self.now_ms;
        let keeper = self.keepers.get_mut(&id).unwrap();
        let Some((job, _)) = keeper.job.take_if(|(_, until)| now_ms >= *until) else { return };
        if let DiskJob::Append(batch) = job {
            let from = batch.truncate_from.unwrap_or(u64::MAX);
            keeper.synced.retain(|entry| entry.index < from);
            keeper.synced.extend(batch.entries);
        }
        let outcome = keeper.durable.note_written(now_ms);
        let job_ms = keeper.durable.last_job_ms();
        keeper.durable.core.note_sync_time(job_ms);
        self.take(id, outcome);
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        let messages = std::mem::take(&mut self.wire);
        for id in self.keepers.keys().copied().collect::<Vec<_>>() {
            if self.keepers[&id].down {
                continue;
            }
            self.write_due_job(id);
            let keeper = self.keepers.get_mut(&id).unwrap();
            let mut output = RaftOutput::default();
            for (_, message) in messages.iter().filter(|(to, _)| *to == id) {
                keeper.durable.core.receive(message.clone(), now_ms, &mut output);
            }
            let leads = keeper.durable.core.role() == RaftRole::Leader;
            if leads || keeper.durable.is_idle() {
                keeper.durable.core.tick(now_ms, &mut output);
            }
            if leads && now_ms % PROPOSE_EACH_MS == 0 {
                let payload = EntryPayload::Command(now_ms.to_be_bytes().to_vec());
                keeper.durable.core.propose(payload, &mut output).unwrap();
            }
            keeper.durable.core.flush(now_ms, &mut output);
            let outcome = keeper.durable.process_output(output, now_ms);
            self.take(id, outcome);
            self.check(id);
        }
    }

    /// Checks that applied entries are on the keeper's disk, and that no two keepers apply different
    /// entries.
    fn check(&self, id: KeeperId) {
        let keeper = &self.keepers[&id];
        for (applied, synced) in keeper.committed.iter().zip(&keeper.synced) {
            assert_eq!(applied, synced);
        }
        assert!(keeper.committed.len() <= keeper.synced.len());
        for other in self.keepers.values() {
            for (one, two) in keeper.committed.iter().zip(&other.committed) {
                assert_eq!(one, two);
            }
        }
    }

    fn run(&mut self, ms: u64) {
        let until = self.now_ms + ms;
        while self.now_ms < until {
            self.step();
        }
    }

    fn committed(&self) -> usize {
        self.keepers.values().map(|keeper| keeper.committed.len()).max().unwrap()
    }
}

const WRITES_MS: [u64; 6] = [0, 100, 300, 600, 1000, 2000];

// Guards against keepers that block on a sync: they send no heartbeats for its duration, and a group
// with syncs of 0.1 s would have no leader.
#[test]
fn keepers_with_slow_disks_have_a_leader_and_commit() {
    for write_ms in WRITES_MS {
        let mut group = SlowGroup::new(write_ms);

        group.run(40_000);
        let (leader, before) = (group.leader(), group.committed());
        group.run(40_000);

        assert!(leader.is_some(), "no leader with writes of {write_ms} ms");
        assert_eq!(group.leader(), leader, "the leader changed with writes of {write_ms} ms");
        let proposed = (40_000 / PROPOSE_EACH_MS) as usize;
        let late = (write_ms / PROPOSE_EACH_MS) as usize + 2;
        let committed = group.committed() - before;
        assert!(committed + late >= proposed, "{committed} of {proposed}, {write_ms} ms a write");
    }
}

#[test]
fn a_leader_on_a_slow_disk_that_dies_is_replaced_and_nothing_that_it_committed_is_lost() {
    for write_ms in WRITES_MS {
        let mut group = SlowGroup::new(write_ms);
        group.run(40_000);
        let first = group.leader().expect("a leader");
        let acknowledged = group.keepers[&first].committed.clone();

        group.keepers.get_mut(&first).unwrap().down = true;
        group.run(60_000);

        let second = group.leader().unwrap_or_else(|| panic!("no leader, {write_ms} ms a write"));
        assert_ne!(second, first);
        let kept = &group.keepers[&second].committed;
        assert_eq!(kept[..acknowledged.len()], acknowledged[..]);
        assert!(kept.len() > acknowledged.len() + 10, "{write_ms} ms a write");
    }
}

#[test]
fn a_vote_leaves_only_after_it_is_on_disk() {
    let mut group = SlowGroup::new(1000);
    let keeper = group.keepers.get_mut(&KeeperId(1)).unwrap();

    // Both others grant the pre-vote, so the keeper enters a term and must write its own vote first.
    let pre_vote = keeper.durable.step(2000, |core, output| core.tick(2000, output));
    let granted = pre_vote.messages.iter().map(|(to, message)| {
        let body = RaftBody::VoteReply { pre: true, granted: true };
        RaftMessage { from: *to, incarnation: Incarnation(to.0.into()), body, ..message.clone() }
    });
    let granted: Vec<RaftMessage> = granted.collect();
    let election = keeper.durable.step(2010, |core, output| {
        granted.into_iter().for_each(|message| core.receive(message, 2010, output));
    });
    let written = keeper.durable.note_written(3010);

    assert!(election.job.is_some() && election.messages.is_empty(), "{:?}", election.messages);
    assert_eq!(written.messages.len(), 2, "{:?}", written.messages);
}

fn vote(from: u32, term: u64) -> RaftMessage {
    let body = RaftBody::Vote { pre: false, transfer: false, last_index: 0, last_term: 0 };
    RaftMessage { from: KeeperId(from), incarnation: Incarnation(from.into()), term, body }
}

// Guards against losing a vote when the group is formed: a second candidate of the same term would
// be granted a vote, too.
#[test]
fn a_keeper_votes_once_in_a_term_though_it_joins_its_first_group_in_it() {
    let blank = RaftCore::new(KeeperId(1), Incarnation(1), StoredState::default(), 77, 0);
    let mut keeper = DurableCore::new(blank);
    let granted = |messages: &[(KeeperId, RaftMessage)]| {
        messages.iter().any(|(_, m)| matches!(m.body, RaftBody::VoteReply { granted: true, .. }))
    };

    keeper.step(10, |core, output| core.receive(vote(2, 1), 10, output));
    let first = keeper.note_written(20);
    keeper.start_group(first_state(3).snapshot, 77, 30);
    keeper.note_written(40);
    keeper.step(50, |core, output| core.receive(vote(3, 1), 50, output));
    let second = keeper.note_written(60);

    assert!(granted(&first.messages));
    assert!(!granted(&second.messages), "a second vote in one term");
}
