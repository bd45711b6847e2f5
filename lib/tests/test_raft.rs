//! The consensus under faults: a table of fault mixes, each run with seeded message orders.
//!
//! `WINGSHED_RAFT_CASES` sets the number of seeds per row, for longer manual runs.

mod testutils;

use testutils::raft_bench::{RaftBench, RaftFaults};
use wingshed_lib::coordination::raft_message::RaftRole;

const STEPS: usize = 4000;

fn cases() -> u64 {
    std::env::var("WINGSHED_RAFT_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(12)
}

fn run(size: u32, spare: u32, faults: RaftFaults) {
    for seed in 0..cases() {
        let mut bench = RaftBench::new(size, spare, faults, seed);
        for _ in 0..STEPS {
            bench.step();
        }
        bench.settle();
        bench.check_acknowledged();
        assert!(!bench.acknowledged.is_empty(), "seed {seed}: nothing was ever committed");
    }
}

macro_rules! fault_rows {
    ($($name:ident: $size:expr, $spare:expr, $faults:expr;)*) => {
        $(
            #[test]
            fn $name() {
                run($size, $spare, $faults);
            }
        )*
    };
}

const NONE: RaftFaults = RaftFaults {
    lose: 0,
    double: 0,
    crash: 0,
    cut: 0,
    slow_sync: 0,
    compact: 0,
    transfer: 0,
    member: 0,
    lose_disk: 0,
};

fault_rows! {
    no_fault: 3, 0, NONE;
    messages_lost: 3, 0, RaftFaults { lose: 200, ..NONE };
    messages_doubled: 3, 0, RaftFaults { double: 200, ..NONE };
    syncs_slow: 3, 0, RaftFaults { slow_sync: 500, ..NONE };
    crashes_with_the_unsynced_tail_gone: 3, 0, RaftFaults { crash: 5, slow_sync: 500, ..NONE };
    a_keeper_cut_off_in_silence: 3, 0, RaftFaults { cut: 3, ..NONE };
    snapshots_and_lagging_followers: 3, 0, RaftFaults { compact: 20, cut: 3, crash: 2, ..NONE };
    leadership_handed_over: 3, 0, RaftFaults { transfer: 5, lose: 50, ..NONE };
    five_keepers_two_faults_at_once: 5, 0, RaftFaults { crash: 8, cut: 5, lose: 100, ..NONE };
    members_come_and_go: 3, 2, RaftFaults { member: 10, lose: 50, compact: 10, ..NONE };
    disks_lost_and_lives_replaced: 3, 1, RaftFaults {
        lose_disk: 3, member: 40, compact: 5, crash: 2, ..NONE
    };
    everything_at_once: 5, 2, RaftFaults {
        lose: 100, double: 100, crash: 4, cut: 3, slow_sync: 300, compact: 10, transfer: 3,
        member: 6, lose_disk: 1,
    };
}

#[test]
fn a_lone_leader_that_hears_nobody_steps_down() {
    let mut bench = RaftBench::new(3, 0, NONE, 7);
    bench.settle();
    let leader = bench
        .peers
        .iter()
        .position(|peer| peer.core.as_ref().is_some_and(|core| core.role() == RaftRole::Leader))
        .unwrap();
    let core = bench.peers[leader].core.as_mut().unwrap();

    let mut output = Default::default();
    core.tick(bench.now_ms + 10_000, &mut output);

    assert!(!core.has_lease(bench.now_ms + 10_000));
    assert_eq!(core.role(), RaftRole::Follower);
}
