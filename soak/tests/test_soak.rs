//! Plays short schedules against the built program, and checks that schedules are reproducible.

use std::path::{Path, PathBuf};

use wingshed_soak::judge::compared_streams;
use wingshed_soak::link::LinkMode;
use wingshed_soak::run::{play_steps, run_network, RunPlan, RunVerdict};
use wingshed_soak::schedule::{schedule, Disturbance, PlannedStep, DEFAULT_SIZE, SHORT_SIZE};

/// Returns the path of the program of a VM, which `cargo test --workspace` builds next to the tests.
fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folder = own.parent().and_then(|deps| deps.parent()).unwrap();
    let program = folder.join("wingshed-node");
    assert!(program.exists(), "build it first: cargo build -p wingshed-daemons");
    program
}

/// Creates a folder, in memory if possible. While a build runs at the same time, a sync to disk takes up to 9
/// s, and keepers whose disk is stuck for that long do not serve.
fn folder() -> tempfile::TempDir {
    let memory = Path::new("/dev/shm");
    match memory.is_dir() {
        true => tempfile::tempdir_in(memory),
        false => tempfile::tempdir(),
    }
    .unwrap()
}

/// Plays the short schedule of a seed and returns the broken promises.
fn broken(seed: u64) -> Vec<String> {
    broken_by(&played(seed, schedule(seed, SHORT_SIZE)))
}

/// Plays these steps and returns the verdict.
fn played(seed: u64, steps: Vec<PlannedStep>) -> RunVerdict {
    let folder = folder();
    let plan = RunPlan {
        seed,
        size: SHORT_SIZE,
        network: run_network(seed),
        folder: folder.path().join("run"),
        program: program(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let verdict = runtime.block_on(play_steps(&plan, steps)).unwrap();
    assert!(!verdict.rows.requests.is_empty(), "no requests were sent");
    verdict
}

/// Returns the broken promises of a verdict as text.
fn broken_by(verdict: &RunVerdict) -> Vec<String> {
    verdict.broken.iter().map(|broken| format!("{}: {}", broken.promise, broken.details)).collect()
}

#[test]
fn the_same_seed_gives_the_same_schedule() {
    assert_eq!(schedule(11, DEFAULT_SIZE), schedule(11, DEFAULT_SIZE));
}

#[test]
fn a_seed_of_planned_work_breaks_no_promise() {
    assert_eq!(broken(4), Vec::<String>::new());
}

#[test]
fn a_seed_of_all_kinds_breaks_no_promise() {
    assert_eq!(broken(3), Vec::<String>::new());
}

#[test]
fn a_request_that_ends_upstreams_is_refused_also_after_all_vms_were_killed() {
    let step = |at_ms, disturbance| PlannedStep { at_ms, disturbance };
    let verdict = played(
        91,
        vec![
            step(500, Disturbance::FatalRequest(1, 4_000)),
            step(6_000, Disturbance::KillAll),
            step(11_000, Disturbance::FatalRequest(1, 6_000)),
        ],
    );

    assert!(verdict.rows.fatal[0].ended_ms.len() >= 3, "{:?}", verdict.rows.fatal);
    assert_eq!(broken_by(&verdict), Vec::<String>::new());
}

#[test]
fn answers_that_break_off_are_never_complete() {
    let disturbance = Disturbance::EndEarly(0, 4, 6_000);
    let verdict = played(93, vec![PlannedStep { at_ms: 500, disturbance }]);

    let broken_off = verdict.rows.runs.iter().filter(|run| run.make.early.is_some()).count();
    assert!(broken_off > 50, "answers that broke off: {broken_off}");
    assert_eq!(broken_by(&verdict), Vec::<String>::new());
}

#[test]
fn upstreams_that_ask_for_rest_or_leave_unlisted_are_heeded() {
    let step = |at_ms, disturbance| PlannedStep { at_ms, disturbance };
    let verdict = played(
        92,
        vec![
            step(500, Disturbance::TireUpstreams(0, 2, 5_000, 2_500)),
            step(1_000, Disturbance::LeaveUnlisted(3, 6_000)),
            step(9_000, Disturbance::TireUpstreams(0, 4, 2_000, 1_500)),
        ],
    );

    let refused = verdict.rows.arrivals.iter().filter(|row| row.rest_ms > 0).count();
    assert!(refused > 3, "refusals with back-off: {refused}");
    assert!(verdict.rows.runs.iter().any(|run| run.leaving), "no answer announced leaving");
    assert_eq!(broken_by(&verdict), Vec::<String>::new());
}

#[test]
fn streams_of_two_versions_are_resumed_at_their_own_also_after_a_vm_was_killed() {
    let step = |at_ms, disturbance| PlannedStep { at_ms, disturbance };
    let cut = |at: u64| {
        let disturbance = Disturbance::FrontLink(at as usize % 3, LinkMode::Reset, 40);
        step(2_500 + 250 * at, disturbance)
    };
    let mut steps = vec![step(300, Disturbance::MixVersions(0, 9_000, true))];
    steps.extend((0..24).map(cut));
    steps.insert(12, step(5_100, Disturbance::KillVm(1, 500)));
    let verdict = played(94, steps);

    let (_, resumed) = compared_streams(&verdict.rows);
    assert!(resumed.tried >= 12, "resumed: {resumed:?}");
    assert_eq!(broken_by(&verdict), Vec::<String>::new());
}
