//! One run: a site, callers, the schedule of its seed, recovery, and the verdict.

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

/// After the last disturbance everything serves again within this (`recoverS`).
const MAX_RECOVERY_MS: u64 = 15_000;
/// Load goes on for this long beyond recovery, so that what returned late shows.
const LOAD_AFTER_MS: u64 = 2_000;
/// A first start takes no longer.
const MAX_START_MS: u64 = 20_000;
/// All disturbances end within this after the last one came.
const MAX_STEPS_MS: u64 = 60_000;
/// Requests that show whether a VM serves.
const PROBES: usize = 8;
/// Callers of a VM for each one that speaks HTTP/1.0.
const HTTP10_INTERVAL: usize = 4;

/// A run's seed, size and places.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// The size.
    pub size: RunSize,
    /// The network, as `127.20.7`.
    pub network: String,
    /// Where settings, logs and disks are.
    pub folder: PathBuf,
    /// The program of a VM.
    pub program: PathBuf,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct RunVerdict {
    /// The schedule that was played.
    pub steps: Vec<PlannedStep>,
    /// All rows.
    pub rows: LedgerRows,
    /// Promises that were broken.
    pub broken: Vec<BrokenPromise>,
}

/// Plays a seed's schedule.
pub async fn play(plan: &RunPlan) -> std::io::Result<RunVerdict> {
    play_steps(plan, schedule(plan.seed, plan.size)).await
}

/// Plays these steps. Whatever the run started ends with it, also when it is given up.
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
            let caller = caller.http10(at % HTTP10_INTERVAL == 0);
            callers.push(spawn_local(caller.run()));
        }
    }
    callers
}

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
        let seen = "a VM was not ready again, or an order not taken, after 60 s".to_string();
        site.ledger.rows.borrow_mut().run_faults.push(seen);
    }
}

/// Waits until each VM is ready, serves, and reads back the newest configuration.
async fn wait_until_serving(site: &SoakSite, shared: &Rc<CallerShared>, max_ms: u64, when: &str) {
    let from_ms = site.ledger.now_ms();
    for vm in 0..site.vms.len() {
        loop {
            let fault = serving_fault(site, shared, vm).await;
            let Some(fault) = fault else { break };
            let took = site.ledger.now_ms() - from_ms;
            if took > max_ms {
                let seen = format!("{when}: VM {vm} after {took} ms: {fault}");
                site.ledger.rows.borrow_mut().run_faults.push(seen);
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

async fn serving_fault(site: &SoakSite, shared: &Rc<CallerShared>, vm: usize) -> Option<String> {
    if !site.is_ready(vm).await {
        return Some("is not ready".to_string());
    }
    let Some(version) = site.operator.read(vm).await else {
        return Some("the configuration can't be read back".to_string());
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

/// A network on loopback for one run of this process. The tests of the platform use `127.20` to
/// `127.219`; a soak beside them took the address of one's list.
pub fn run_network(run: u64) -> String {
    format!("127.{}.{run}", 220 + std::process::id() % 30)
}
