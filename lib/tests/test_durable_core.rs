//! Keepers over slow disks, with time passed in and messages that take a step.

use wingshed_lib::coordination::durable_core::DurableCore;
use wingshed_lib::coordination::raft::RaftCore;
use wingshed_lib::state::ids::{Incarnation, KeeperId};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogSnapshot, StoredState,
};

/// What the disks of a group of so many keepers hold before its first entry.
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
    let life = Incarnation(id.into());
    let seed = 77 * u64::from(id);
    DurableCore::new(RaftCore::new(KeeperId(id), life, first_state(keepers), seed, 0))
}

// The end of a write counted for nothing while another one waited: on a disk slower than the proposals, nothing was
// ever acknowledged.
#[test]
fn what_is_written_counts_though_more_waits_for_the_disk() {
    let mut keeper = keeper_of(1, 1);
    let mut acknowledged = 0;
    let stands = keeper.step(1000, |core, output| core.tick(1000, output));
    assert!(stands.job.is_some());

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

    // Two a round and the leader's own; what the last job holds is on its way.
    assert_eq!(acknowledged, 1 + 2 * 19);
}
