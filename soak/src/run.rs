//! Plays one run: starts the site and callers, plays the schedule, waits for recovery, and judges the ledger.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, JoinHandle, LocalSet};

use crate::caller::{CallerShared, SoakCaller};
use crate::judge::{judge, BrokenPromise};
use crate::ledger::{LedgerRows, OrderContent, RequestEnd, RequestKind};
use crate::operator::DOCUMENT_REPEAT_MS;
use crate::rollouts::record_state;
use crate::schedule::{schedule, PlannedStep, RunSize};
use crate::site::SoakSite;
use crate::steps::run_disturbance;

/// Milliseconds after the end of the last disturbance within which all VMs must serve again (`recoverS`).
const MAX_RECOVERY_MS: u64 = 15_000;
/// Milliseconds for which callers continue after recovery, so that effects that appear late are recorded.
const LOAD_AFTER_MS: u64 = 2_000;
/// Milliseconds within which all VMs must serve after the first start.
const MAX_START_MS: u64 = 20_000;
/// Milliseconds after the start of the last disturbance within which all of them must end.
const MAX_STEPS_MS: u64 = 60_000;
/// Number of requests that must succeed before a VM counts as serving.
const PROBES: usize = 8;
/// One in this many callers of a VM uses HTTP/1.0.
const HTTP10_INTERVAL: usize = 4;

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The seed of all draws.
    pub seed: u64,
    /// The size of the site and the duration of its disturbances.
    pub size: RunSize,
    /// The first three parts of the loopback addresses of the run, such as `127.20.7`.
    pub network: String,
    /// The folder of settings, logs and disks. An existing one is deleted first.
    pub folder: PathBuf,
    /// The path of the program of a VM.
    pub program: PathBuf,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct RunVerdict {
    /// The schedule that was played.
    pub steps: Vec<PlannedStep>,
    /// All rows of the ledger.
    pub rows: LedgerRows,
    /// The broken promises.
    pub broken: Vec<BrokenPromise>,
}

/// Plays the schedule of the seed in `plan`.
pub async fn play(plan: &RunPlan) -> std::io::Result<RunVerdict> {
    play_steps(plan, schedule(plan.seed, plan.size)).await
}

/// Plays these steps. All that the run started ends with it, also when its future is dropped early.
pub async fn play_steps(plan: &RunPlan, steps: Vec<PlannedStep>) -> std::io::Result<RunVerdict> {
    LocalSet::new().run_until(play_local(plan, steps)).await
}

async fn play_local(plan: &RunPlan, steps: Vec<PlannedStep>) -> std::io::Result<RunVerdict> {
    recreate_folder(&plan.folder)?;
    let site = SoakSite::start(plan).await?;
    let shared = Rc::new(CallerShared {
        ledger: site.ledger.clone(),
        keys: RefCell::new(vec!["steady".to_string(), "key-0".to_string()]),
        active: Cell::new(true),
    });
    let first = OrderContent::Document(site.operator.next_document(false));
    site.operator.order(first, DOCUMENT_REPEAT_MS).await;
    wait_until_serving(&site, &shared, MAX_START_MS, "start").await;
    let callers = start_callers(&site, &shared, plan);
    let tasks = start_steps(&site, &shared, &steps).await;
    join_steps(&site, tasks).await;
    wait_until_serving(&site, &shared, MAX_RECOVERY_MS, "recovery").await;
    tokio::time::sleep(Duration::from_millis(LOAD_AFTER_MS)).await;
    shared.active.set(false);
    for caller in callers {
        let _ = caller.await;
    }
    let rollouts = site.ledger.rows.borrow().rollouts.len();
    for row in 0..rollouts {
        for vm in 0..site.vms.len() {
            record_state(&site, vm, row).await;
        }
    }
    site.note_unexpected_ends();
    let rows = site.ledger.rows.borrow().clone();
    let broken = judge(&rows);
    Ok(RunVerdict { steps, rows, broken })
}

fn recreate_folder(folder: &Path) -> std::io::Result<()> {
    if folder.exists() {
        std::fs::remove_dir_all(folder)?;
    }
    std::fs::create_dir_all(folder)
}

fn start_callers(
    site: &SoakSite,
    shared: &Rc<CallerShared>,
    plan: &RunPlan,
) -> Vec<JoinHandle<()>> {
    let mut callers = Vec::new();
    for vm in &site.vms {
        for at in 0..plan.size.callers {
            let seed = plan.seed ^ ((vm.spec.index as u64 + 1) << 32) ^ ((at as u64 + 1) << 48);
            let caller = SoakCaller::new(shared.clone(), vm.spec.clone(), seed);
            let others = site.vms.iter().map(|vm| vm.spec.clone()).collect();
            let caller = caller.http10(at % HTTP10_INTERVAL == 0).resuming_at(others);
            callers.push(spawn_local(caller.run()));
        }
    }
    callers
}

/// Starts each step at its time, and reads the configuration back from a VM after each. Returns the running
/// steps.
async fn start_steps(
    site: &Rc<SoakSite>,
    shared: &Rc<CallerShared>,
    steps: &[PlannedStep],
) -> Vec<JoinHandle<()>> {
    let started_ms = site.ledger.now_ms();
    let mut tasks = Vec::new();
    for step in steps {
        let wait = (started_ms + step.at_ms).saturating_sub(site.ledger.now_ms());
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let task = run_disturbance(site.clone(), shared.clone(), step.disturbance.clone());
        tasks.push(spawn_local(task));
        let vm = tasks.len() % site.vms.len();
        let site = site.clone();
        spawn_local(async move { site.operator.read(vm).await });
    }
    tasks
}

/// Waits for the end of all steps, at most [`MAX_STEPS_MS`].
async fn join_steps(site: &SoakSite, tasks: Vec<JoinHandle<()>>) {
    let all = async {
        for task in tasks {
            if task.await.is_err_and(|error| error.is_panic()) {
                site.ledger
                    .rows
                    .borrow_mut()
                    .run_faults
                    .push("the soak: a step panicked".to_string());
            }
        }
    };
    if tokio::time::timeout(Duration::from_millis(MAX_STEPS_MS), all).await.is_err() {
        let fault =
            "a VM was not ready again, or an order was not accepted, after 60 s".to_string();
        site.ledger.rows.borrow_mut().run_faults.push(fault);
    }
}

/// Waits until each VM is ready, serves, and returns the newest acknowledged configuration. Records a fault
/// for each VM that takes longer than `max_ms`; `when` names the wait in that message.
async fn wait_until_serving(site: &SoakSite, shared: &Rc<CallerShared>, max_ms: u64, when: &str) {
    let from_ms = site.ledger.now_ms();
    for vm in 0..site.vms.len() {
        loop {
            let fault = serving_fault(site, shared, vm).await;
            let Some(fault) = fault else { break };
            let took = site.ledger.now_ms() - from_ms;
            if took > max_ms {
                let fault = format!("{when}: VM {vm} after {took} ms: {fault}");
                site.ledger.rows.borrow_mut().run_faults.push(fault);
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Describes why a VM does not serve; none if it does.
async fn serving_fault(site: &SoakSite, shared: &Rc<CallerShared>, vm: usize) -> Option<String> {
    if !site.is_ready(vm).await {
        return Some("is not ready".to_string());
    }
    let Some(version) = site.operator.read(vm).await else {
        return Some("the configuration cannot be read back".to_string());
    };
    let acked = site.newest_acked();
    if version < acked {
        return Some(format!("version {version} is read back, {acked} was acknowledged"));
    }
    let seed = site.ledger.now_ms() ^ ((vm as u64) << 56);
    let caller = SoakCaller::new(shared.clone(), site.vms[vm].spec.clone(), seed);
    let mut caller = caller.with_steady_key();
    for at in 0..PROBES {
        let (route, kind) =
            if at % 2 == 0 { ("safe", RequestKind::Safe) } else { ("once", RequestKind::Once) };
        let end = caller.request(route, kind).await;
        if end != RequestEnd::Whole {
            return Some(format!("probe {at} of {PROBES}: {end:?}"));
        }
    }
    None
}

/// Returns the loopback network of one run of this process. It lies above `127.20` to `127.219`, which the
/// tests of the platform use, since a soak next to such a test could take the address of its list.
pub fn run_network(run: u64) -> String {
    format!("127.{}.{run}", 220 + std::process::id() % 30)
}
