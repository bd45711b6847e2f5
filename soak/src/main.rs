//! The program `wingshed-soak`: plays the schedules of seeds one after the other and prints the broken
//! promises.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use tokio::signal::unix::{signal, SignalKind};
use wingshed_soak::cases::cases;
use wingshed_soak::judge::compared_streams;
use wingshed_soak::ledger::{LedgerRows, RequestEnd};
use wingshed_soak::run::{play_steps, run_network, RunPlan, RunVerdict};
use wingshed_soak::schedule::{schedule, PlannedStep, RunSize, DEFAULT_SIZE, LARGE_SIZE};

/// disturbs real processes by the schedules of seeds and checks what the system promises
#[derive(FromArgs)]
struct SoakArguments {
    /// how many seeds
    #[argh(option, default = "1")]
    seeds: u64,
    /// the first seed
    #[argh(option, default = "1")]
    from: u64,
    /// more VMs, upstreams and time
    #[argh(switch)]
    large: bool,
    /// the case to play in place of seeds, or "all"
    #[argh(option)]
    case: Option<String>,
    /// the program of a VM; by default wingshed-node in the folder of this program
    #[argh(option)]
    program: Option<PathBuf>,
    /// keep the logs of sound runs too
    #[argh(switch)]
    keep: bool,
    /// where logs of failed seeds are kept
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    folder: PathBuf,
}

fn main() -> ExitCode {
    let arguments: SoakArguments = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("an event loop");
    let ended = runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt()).expect("signals");
        let mut terminate = signal(SignalKind::terminate()).expect("signals");
        tokio::select! {
            failed = play_seeds(&arguments) => Some(failed),
            _ = interrupt.recv() => None,
            _ = terminate.recv() => None,
        }
    });
    // After a signal the current run has been dropped, which ends all processes that it started.
    match ended {
        Some(0) => ExitCode::SUCCESS,
        Some(_) => ExitCode::FAILURE,
        None => {
            eprintln!("interrupted");
            ExitCode::from(130)
        }
    }
}

/// Returns the path of the program of a VM.
fn program(arguments: &SoakArguments) -> PathBuf {
    let beside = || {
        let own = std::env::current_exe().unwrap_or_default();
        own.with_file_name("wingshed-node")
    };
    arguments.program.clone().unwrap_or_else(beside)
}

/// Returns the name, the seed and the steps of each run to play.
fn planned_runs(arguments: &SoakArguments, size: RunSize) -> Vec<(String, u64, Vec<PlannedStep>)> {
    let Some(name) = &arguments.case else {
        let seeds = arguments.from..arguments.from + arguments.seeds;
        return seeds.map(|seed| (format!("seed-{seed}"), seed, schedule(seed, size))).collect();
    };
    let cases = cases().into_iter().filter(|case| name == "all" || name == case.name);
    let numbered = cases.enumerate();
    numbered.map(|(at, case)| (case.name.to_string(), at as u64, case.steps)).collect()
}

/// Plays all runs and returns how many failed.
async fn play_seeds(arguments: &SoakArguments) -> u64 {
    let size = if arguments.large { LARGE_SIZE } else { DEFAULT_SIZE };
    let (mut played, mut failed) = (0, 0);
    for (name, seed, steps) in planned_runs(arguments, size) {
        let plan = RunPlan {
            seed,
            size,
            network: run_network(1 + seed % 250),
            folder: arguments.folder.join(&name),
            program: program(arguments),
        };
        played += 1;
        match play_steps(&plan, steps).await {
            Ok(verdict) => {
                let sound = print_verdict(&name, &plan, &verdict);
                failed += u64::from(!sound);
                if sound && !arguments.keep {
                    let _ = std::fs::remove_dir_all(&plan.folder);
                }
            }
            Err(error) => {
                println!("{name}: could not be played: {error}");
                failed += 1;
            }
        }
    }
    println!("{played} runs, {failed} failed");
    failed
}

/// Counts the requests by how they ended.
fn request_ends(rows: &LedgerRows) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for request in &rows.requests {
        *counts.entry(format!("{:?}", request.end)).or_default() += 1;
    }
    let texts: Vec<String> = counts.iter().map(|(end, count)| format!("{end} {count}")).collect();
    texts.join(", ")
}

/// Counts the streams that callers resumed, and those that are compared with new ones.
fn stream_summary(rows: &LedgerRows) -> String {
    let resumed = || rows.requests.iter().filter(|request| request.resumes.is_some());
    let went_on = resumed().filter(|request| !request.event_runs.is_empty()).count();
    let (new, compared) = compared_streams(rows);
    let stopped: Vec<String> = compared
        .stopped
        .iter()
        .map(|(at_ms, vm, end)| format!("{at_ms} VM {vm} {end:?}"))
        .collect();
    format!(
        "resumed {} ({went_on} with events); compared: resumed {} of {}, new {} of {}; not resumed: [{}]",
        resumed().count(),
        compared.went_on,
        compared.tried,
        new.went_on,
        new.tried,
        stopped.join(", "),
    )
}

/// Prints the result of a run. Returns true if no promise was broken.
fn print_verdict(name: &str, plan: &RunPlan, verdict: &RunVerdict) -> bool {
    let rows = &verdict.rows;
    let whole = rows.requests.iter().filter(|request| request.end == RequestEnd::Whole);
    let (requests, runs, whole) = (rows.requests.len(), rows.runs.len(), whole.count());
    let orders = rows.orders.len();
    let acked = rows.orders.iter().filter(|order| order.acked_ms.is_some()).count();
    println!(
        "{name}: {} steps, {requests} requests ({whole} whole), {runs} runs, {orders} orders \
         ({acked} taken), {} broken",
        verdict.steps.len(),
        verdict.broken.len()
    );
    println!("  ends: {}", request_ends(rows));
    println!("  {}", stream_summary(rows));
    for row in &rows.rollouts {
        let end = row.reports.iter().rev().find(|report| report.target == row.target);
        let end = end.map_or("not reported", |report| report.state.as_str());
        let kind = if row.unsound { "unsound" } else { "sound" };
        println!("  roll-out of {} to {} ({kind}): {end}", row.service, row.target);
    }
    if verdict.broken.is_empty() {
        return true;
    }
    for step in &verdict.steps {
        println!("  {:>6} {:?}", step.at_ms, step.disturbance);
    }
    for broken in verdict.broken.iter().take(20) {
        println!("  BROKEN {}: {}", broken.promise, broken.details);
    }
    println!("  spans: {:?}", rows.spans);
    println!("  logs: {}", plan.folder.display());
    false
}
