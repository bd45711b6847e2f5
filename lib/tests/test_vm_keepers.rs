//! The keepers of a fleet under seeded fault schedules; see `testutils::keeper_bench`.

mod testutils;

use testutils::keeper_bench::{KeeperBench, KeeperFaults};

/// The number of steps with faults in one schedule, 25 ms each.
const STEPS: u64 = 1200;
/// The number of steps within which a group must recover once the faults end: twelve seconds.
const RECOVERY_STEPS: u64 = 480;

/// The number of seeds per fault mix in CI; `WINGSHED_SEEDS` sets another one for manual runs.
fn seeds() -> u64 {
    std::env::var("WINGSHED_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(12)
}

fn play(name: &str, faults: KeeperFaults) {
    for seed in 0..seeds() {
        let mut bench = KeeperBench::new(3, faults, seed);
        bench.calm(RECOVERY_STEPS);
        let before = bench.acknowledged;
        assert!(before > 0, "{name}, seed {seed}: no document was acknowledged by a new group");

        bench.run(STEPS);
        bench.calm(RECOVERY_STEPS);

        let held = bench.leased_version();
        assert!(
            held.is_some_and(|held| held >= bench.acknowledged),
            "{name}, seed {seed}: recovered with {held:?}, acknowledged {}",
            bench.acknowledged
        );
        assert!(
            bench.acknowledged > before,
            "{name}, seed {seed}: no document was acknowledged after the faults"
        );
    }
}

#[test]
fn calm_groups_form_and_take_documents() {
    play("calm", KeeperFaults::default());
}

#[test]
fn lossy_and_doubled_messages_lose_nothing() {
    play("lossy", KeeperFaults { lose: 800, double: 500, ..KeeperFaults::default() });
}

#[test]
fn killed_processes_and_lost_power_lose_nothing() {
    play("kill", KeeperFaults { kill: 40, power: 40, lose: 100, ..KeeperFaults::default() });
}

#[test]
fn power_lost_everywhere_loses_nothing() {
    play("power all", KeeperFaults { power_all: 40, power: 20, ..KeeperFaults::default() });
}

#[test]
fn orders_of_zones_outlive_kills_lost_power_and_wiped_disks() {
    let orders = KeeperFaults { orders: 2500, lose: 100, ..KeeperFaults::default() };
    play("orders, kill", KeeperFaults { kill: 40, power: 40, cut: 20, ..orders });
    play("orders, power all", KeeperFaults { power_all: 40, ..orders });
    play("orders, wipe", KeeperFaults { wipe: 60, stall: 20, freeze: 20, ..orders });
}

#[test]
fn rollouts_outlive_kills_lost_power_and_wiped_disks_and_end_once() {
    let rollouts = KeeperFaults { rollouts: 2500, lose: 100, ..KeeperFaults::default() };
    play("rollouts, kill", KeeperFaults { kill: 40, power: 40, cut: 20, ..rollouts });
    play("rollouts, power all", KeeperFaults { power_all: 40, ..rollouts });
    play("rollouts, wipe", KeeperFaults { wipe: 60, stall: 20, freeze: 20, ..rollouts });
}

#[test]
fn a_wiped_disk_joins_as_a_new_member() {
    play("wipe", KeeperFaults { wipe: 60, power_all: 10, lose: 50, ..KeeperFaults::default() });
}

#[test]
fn a_replaced_keeper_is_taken_in() {
    play("replace", KeeperFaults { replace: 60, kill: 10, lose: 50, ..KeeperFaults::default() });
}

#[test]
fn stalled_and_full_disks_stop_no_group() {
    play("disk", KeeperFaults { stall: 40, full: 40, kill: 10, ..KeeperFaults::default() });
}

#[test]
fn cut_and_frozen_keepers_never_vouch_for_what_is_old() {
    play("cut", KeeperFaults { cut: 40, freeze: 40, lose: 50, ..KeeperFaults::default() });
}

#[test]
fn everything_at_once_loses_nothing() {
    let faults = KeeperFaults {
        lose: 200,
        double: 100,
        kill: 15,
        power: 15,
        power_all: 8,
        wipe: 25,
        stall: 15,
        full: 15,
        cut: 15,
        freeze: 15,
        replace: 15,
        ..KeeperFaults::default()
    };
    play("all", faults);
}

#[test]
fn a_lost_disk_loses_nothing_while_all_others_lose_power() {
    for seed in 0..5 * seeds() {
        let mut bench = KeeperBench::new(3, KeeperFaults::default(), seed);
        bench.calm(RECOVERY_STEPS);
        // A varying number of steps after an acknowledgement, when not every disk holds the document.
        bench.run(seed % 7);
        let acknowledged = bench.acknowledged;

        bench.lose_all_and_wipe(seed as usize % 3);
        bench.calm(RECOVERY_STEPS);

        assert!(
            bench.leased_version() >= Some(acknowledged),
            "seed {seed}: {acknowledged} is lost"
        );
    }
}

#[test]
fn two_that_return_at_once_agree_on_a_leader_at_once() {
    for seed in 0..5 * seeds() {
        let mut bench = KeeperBench::new(3, KeeperFaults::default(), seed);
        bench.calm(RECOVERY_STEPS);
        bench.step_ms = 1;
        bench.lose_all_and_wipe(seed as usize % 3);

        let led_ms = bench.steps_until_led(2000);

        // Two of three votes are needed and the third disk is lost, so if both keepers vote for
        // themselves, the election takes another round.
        assert!(led_ms <= 250, "seed {seed}: a leader after {led_ms} ms");
    }
}
