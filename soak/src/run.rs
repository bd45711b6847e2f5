//! One run: a site, callers, the schedule of its seed, recovery, and the verdict.

use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, JoinHandle, LocalSet};

use crate::caller::{CallerShared, SoakCaller};
use crate::judge::{judge, BrokenPromise};
use crate::ledger::{AskEnd, AskKind, LedgerRows, OrderWhat};
use crate::operator::DOCUMENT_REPEAT_MS;
use crate::rollouts::note_state;
use crate::schedule::{schedule, PlannedStep, RunSize};
use crate::site::SoakSite;
use crate::steps::disturb;

/// After the last disturbance everything serves again within this (`recoverS`).
const RECOVER_MS: u64 = 15_000;
/// Load goes on for this long beyond recovery, so that what returned late shows.
const AFTER_MS: u64 = 2_000;
/// A first start takes no longer.
const START_MS: u64 = 20_000;
/// All disturbances end within this after the last one came.
const STEPS_MS: u64 = 60_000;
/// Requests that show whether a VM serves.
const PROBES: usize = 8;
/// Callers of a VM for each one that speaks HTTP/1.0.
const EACH_OLD: usize = 4;

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
    fresh_folder(&plan.folder)?;
    let site = SoakSite::start(plan).await?;
    let shared = Rc::new(CallerShared {
        ledger: site.ledger.clone(),
        keys: RefCell::new(vec!["steady".to_string(), "key-0".to_string()]),
        asking: Cell::new(true),
    });
    let first = OrderWhat::Document(site.operator.next_document(false));
    site.operator.order(first, DOCUMENT_REPEAT_MS).await;
    wait_served(&site, &shared, START_MS, "start").await;
    let callers = start_callers(&site, &shared, plan);
    let tasks = play_all(&site, &shared, &steps).await;
    join_steps(&site, tasks).await;
    wait_served(&site, &shared, RECOVER_MS, "recovery").await;
    tokio::time::sleep(Duration::from_millis(AFTER_MS)).await;
    shared.asking.set(false);
    for caller in callers {
        let _ = caller.await;
    }
    let rollouts = site.ledger.rows.borrow().rollouts.len();
    for row in 0..rollouts {
        for vm in 0..site.vms.len() {
            note_state(&site, vm, row).await;
        }
    }
    site.note_ends();
    let rows = site.ledger.rows.borrow().clone();
    let broken = judge(&rows);
    Ok(RunVerdict { steps, rows, broken })
}

fn fresh_folder(folder: &Path) -> std::io::Result<()> {
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
            let seed = plan.seed ^ ((vm.place.index as u64 + 1) << 32) ^ ((at as u64 + 1) << 48);
            let caller = SoakCaller::new(shared.clone(), vm.place.clone(), seed);
            let caller = caller.old(at % EACH_OLD == 0);
            callers.push(spawn_local(caller.ask_on()));
        }
    }
    callers
}

async fn play_all(
    site: &Rc<SoakSite>,
    shared: &Rc<CallerShared>,
    steps: &[PlannedStep],
) -> Vec<JoinHandle<()>> {
    let started_ms = site.ledger.now_ms();
    let mut tasks = Vec::new();
    for step in steps {
        let wait = (started_ms + step.at_ms).saturating_sub(site.ledger.now_ms());
        tokio::time::sleep(Duration::from_millis(wait)).await;
        let task = disturb(site.clone(), shared.clone(), step.disturbance.clone());
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
                site.ledger.rows.borrow_mut().seen.push("the soak: a step panicked".to_string());
            }
        }
    };
    if tokio::time::timeout(Duration::from_millis(STEPS_MS), all).await.is_err() {
        let seen = "a VM was not ready again, or an order not taken, after 60 s".to_string();
        site.ledger.rows.borrow_mut().seen.push(seen);
    }
}

/// Waits until each VM is ready, serves, and reads back the newest configuration.
async fn wait_served(site: &SoakSite, shared: &Rc<CallerShared>, most_ms: u64, when: &str) {
    let from_ms = site.ledger.now_ms();
    for vm in 0..site.vms.len() {
        loop {
            let fault = serving_fault(site, shared, vm).await;
            let Some(fault) = fault else { break };
            let took = site.ledger.now_ms() - from_ms;
            if took > most_ms {
                let seen = format!("{when}: VM {vm} after {took} ms: {fault}");
                site.ledger.rows.borrow_mut().seen.push(seen);
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
    let caller = SoakCaller::new(shared.clone(), site.vms[vm].place.clone(), seed);
    let mut caller = caller.steady();
    for at in 0..PROBES {
        let (route, kind) =
            if at % 2 == 0 { ("safe", AskKind::Safe) } else { ("once", AskKind::Once) };
        let end = caller.ask(route, kind).await;
        if end != AskEnd::Whole {
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
