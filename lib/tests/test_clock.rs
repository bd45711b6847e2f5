//! The clock that a VM uses after it was suspended.
//!
//! `CLOCK_MONOTONIC`, and so every `Instant`, stands still while a VM is suspended. A leader that used
//! it would assume after the suspension that it still leads, and a VM that had confirmed its
//! configuration just before would accept keys that were revoked meanwhile. A test can't suspend its
//! machine, so these tests check that the node's clock counts up from its start, and that no code
//! that makes decisions reads another clock.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::time::Duration;

use wingshed_lib::transport::clock::NodeClock;

/// Files that use `Instant` only to measure or to wait: if the clock stands still with the VM, a
/// timer in them fires late, but no decision depends on it.
const MEASURING: [&str; 9] = [
    "clock.rs",
    "router_engines.rs",
    "router_node.rs",
    "router_relay.rs",
    "router_serve.rs",
    "vm_forward.rs",
    "vm_pool.rs",
    "vm_silence.rs",
    "vm_trial.rs",
];

#[test]
fn nothing_that_decides_reads_a_clock_that_stands_still() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut reading = BTreeSet::new();
    for layer in ["state", "coordination", "protocol", "transport"] {
        for entry in fs::read_dir(source.join(layer)).unwrap().flatten() {
            let text = fs::read_to_string(entry.path()).unwrap();
            if text.contains("Instant::now") {
                reading.insert(entry.file_name().into_string().unwrap());
            }
        }
    }

    let known: BTreeSet<String> = MEASURING.iter().map(|name| name.to_string()).collect();
    assert_eq!(reading, known);
}

#[test]
fn the_clock_counts_on_from_its_start() {
    let clock = NodeClock::default();
    let (first_ms, age_ms) = (clock.now_ms(), clock.age_ms());

    std::thread::sleep(Duration::from_millis(5));

    assert!(clock.now_ms() >= first_ms + 5);
    assert!(clock.age_ms() >= age_ms + 5);
    assert!(first_ms > age_ms, "no time of the clock is 0");
}

#[test]
fn no_event_of_the_past_is_later_than_the_next_step() {
    let clock = NodeClock::default();

    for _ in 0..10_000 {
        let (before_ms, next_ms) = (clock.now_ms(), clock.next_ms());

        assert!(next_ms > before_ms);
    }
}
