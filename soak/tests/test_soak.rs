//! Short schedules over the built program, and the schedule itself.

use std::path::{Path, PathBuf};

use wingshed_soak::run::{play_steps, run_network, RunPlan};
use wingshed_soak::schedule::{schedule, SHORT_SIZE, USUAL_SIZE};

/// `cargo test --workspace` builds it beside the tests, for the tests of its own crate.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    let program = folder.join("wingshed-node");
    assert!(program.exists(), "build it first: cargo build -p wingshed-daemons");
    program
}

/// A folder in memory where there is one: beside a build, syncs of a disk took up to 9 s (by the logs
/// of three runs at once), and keepers whose disk takes nothing for so long serve nobody.
fn folder() -> tempfile::TempDir {
    let memory = Path::new("/dev/shm");
    match memory.is_dir() {
        true => tempfile::tempdir_in(memory),
        false => tempfile::tempdir(),
    }
    .unwrap()
}

/// What broke in a short run of a seed.
fn broken(seed: u64) -> Vec<String> {
    let folder = folder();
    let plan = RunPlan {
        seed,
        size: SHORT_SIZE,
        network: run_network(seed),
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
