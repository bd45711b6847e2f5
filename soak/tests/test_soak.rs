//! Short schedules over the built program, and the schedule itself.

use std::path::PathBuf;

use wingshed_soak::run::{play_steps, RunPlan};
use wingshed_soak::schedule::{schedule, SHORT_SIZE, USUAL_SIZE};

/// `cargo test --workspace` builds it beside the tests, for the tests of its own crate.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    let program = folder.join("wingshed-node");
    assert!(program.exists(), "build it first: cargo build -p wingshed-daemons");
    program
}

/// What broke in a short run of a seed.
fn broken(seed: u64) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let plan = RunPlan {
        seed,
        size: SHORT_SIZE,
        network: format!("127.{}.{seed}", 20 + std::process::id() % 80),
        folder: folder.path().join("run"),
        program: program(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let played = runtime.block_on(play_steps(&plan, schedule(seed, SHORT_SIZE)));
    let verdict = played.unwrap();
    assert!(!verdict.rows.asks.is_empty(), "nobody asked anything");
    verdict.broken.iter().map(|broken| format!("{}: {}", broken.promise, broken.seen)).collect()
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    assert_eq!(schedule(11, USUAL_SIZE), schedule(11, USUAL_SIZE));
}

#[test]
fn a_seed_of_planned_work_breaks_no_promise() {
    assert_eq!(broken(4), Vec::<String>::new());
}

#[test]
fn a_seed_of_all_kinds_breaks_no_promise() {
    assert_eq!(broken(3), Vec::<String>::new());
}
