//! Measures the keepers: claims per second, the time until a change is in force, and the time of a
//! restart.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use wingshed_lib::coordination::raft_message::RaftRole;
use wingshed_lib::protocol::keeper_wire::{encode, KeeperCall, KeeperReply};
use wingshed_lib::protocol::seal::SealMaker;
use wingshed_lib::state::claim_table::{ClaimAnswer, ClaimKey, ClaimRequest};
use wingshed_lib::state::configuration::Section;
use wingshed_lib::state::ids::{Incarnation, KeeperId, RouterId};
use wingshed_lib::state::keeper_machine::{put, ConfigChange, KeeperCommand, KeeperOperation};
use wingshed_lib::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, HardState, LogBatch, LogEntry, LogSnapshot,
    LogStore,
};
use wingshed_lib::state::settings::{KeeperAddress, KeeperSettings};
use wingshed_lib::transport::clock::wall_ms;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};
use wingshed_lib::transport::keeper_client::KeeperClient;
use wingshed_lib::transport::keeper_node::KeeperNode;
use wingshed_standin::address::free_address;
use wingshed_standin::system::{SystemOptions, SystemStandIn, FLEET_KEY};

use crate::bench_decision::percentile;
use crate::table::to_text;

/// How long claims are sent for each row.
const RUN_TIME: Duration = Duration::from_secs(3);
/// The number of changes whose time until in force is measured.
const CHANGES: usize = 60;
/// The number of changes in the log from which a keeper restarts.
const RESTART_CHANGES: u64 = 10_000;

/// Keepers in this process, in a temporary folder.
struct KeeperGroup {
    nodes: Vec<KeeperNode>,
    list: Vec<KeeperAddress>,
    _folder: tempfile::TempDir,
}

fn settings(id: u32, list: &[KeeperAddress], folder: &Path) -> KeeperSettings {
    KeeperSettings {
        id: KeeperId(id),
        zone: "a".to_string(),
        address: list[id as usize - 1].address,
        keepers: list.to_vec(),
        join: false,
        data_folder: folder.join(format!("keeper-{id}")),
        fleet_key: FLEET_KEY.to_string(),
        weight_store: None,
        weight_loads: 2,
    }
}

impl KeeperGroup {
    /// Starts the keepers and waits until one of them is the confirmed leader.
    fn start(size: u32) -> Result<KeeperGroup, String> {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let list: Vec<KeeperAddress> = (1..=size)
            .map(|id| KeeperAddress { id: KeeperId(id), address: free_address() })
            .collect();
        let mut nodes = Vec::new();
        for id in 1..=size {
            let settings = settings(id, &list, folder.path());
            let node = KeeperNode::start(settings);
            nodes.push(node.map_err(|error| error.to_string())?);
        }
        let group = KeeperGroup { nodes, list, _folder: folder };
        let until = Instant::now() + Duration::from_secs(10);
        while !group.nodes.iter().any(|node| node.read(|_, confirmed| confirmed) == Some(true)) {
            if Instant::now() > until {
                return Err("no keeper leads".to_string());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(group)
    }

    fn client(&self) -> KeeperClient {
        let maker = Arc::new(SealMaker::new(FLEET_KEY, random_number()));
        KeeperClient::new(self.list.clone(), maker, HttpClient::default(), CallTimes::of_ms(5000))
    }

    /// Returns the number of disk syncs of the leader.
    fn syncs(&self) -> u64 {
        let statuses = self.nodes.iter().filter_map(|node| node.read(|keeper, _| keeper.status()));
        let leader = statuses.into_iter().find(|status| status.role == RaftRole::Leader);
        leader.map_or(0, |status| status.syncs)
    }
}

/// Returns a random number from the random state of the standard library's hash maps.
fn random_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

/// Runs callers that each send calls of `size` claims one after another. Returns the granted claims
/// per second, the times of the calls in milliseconds, and the leader's disk syncs per second.
fn claims_run(group: &KeeperGroup, callers: u64, size: u64) -> (f64, Vec<f64>, f64) {
    let next = AtomicU64::new(1);
    let granted = AtomicU64::new(0);
    let syncs = group.syncs();
    let started = Instant::now();
    let times: Vec<f64> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|_| {
                let (client, next, granted) = (group.client(), &next, &granted);
                scope.spawn(move || {
                    let mut times = Vec::new();
                    while started.elapsed() < RUN_TIME {
                        let first = next.fetch_add(size, Ordering::Relaxed);
                        let claims = (first..first + size).map(|number| ClaimRequest {
                            key: ClaimKey(((random_number() as u128) << 64) | number as u128),
                            holder: RouterId(1),
                            incarnation: Incarnation(1),
                            attempt: number,
                            issued_ms: wall_ms(),
                        });
                        let call = KeeperCall::Claims(claims.collect(), Vec::new());
                        let asked = Instant::now();
                        if let Ok(KeeperReply::Claims(answers)) = client.call_leader(&call) {
                            let good = answers.iter().filter(|a| **a == ClaimAnswer::Granted);
                            granted.fetch_add(good.count() as u64, Ordering::Relaxed);
                            times.push(asked.elapsed().as_secs_f64() * 1000.0);
                        }
                    }
                    times
                })
            })
            .collect();
        threads.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
    });
    let seconds = started.elapsed().as_secs_f64();
    let rate = granted.load(Ordering::Relaxed) as f64 / seconds;
    (rate, times, (group.syncs() - syncs) as f64 / seconds)
}

/// Prints all measurements of keepers.
pub fn keeper() -> Result<(), String> {
    claims()?;
    change_times()?;
    restart()
}

fn claims() -> Result<(), String> {
    let group = KeeperGroup::start(3)?;
    let mut rows = Vec::new();
    for (callers, size) in [(1, 1), (16, 1), (256, 1), (4, 128)] {
        let (rate, times, syncs) = claims_run(&group, callers, size);
        rows.push(vec![
            callers.to_string(),
            size.to_string(),
            format!("{rate:.0}"),
            format!("{:.2}", percentile(&times, 0.5)),
            format!("{:.2}", percentile(&times, 0.99)),
            format!("{syncs:.0}"),
        ]);
    }
    let head = ["callers", "claims a call", "claims/s", "p50 ms", "p99 ms", "syncs/s"];
    println!("{}\n", to_text(&head, &rows));
    Ok(())
}

/// Measures on 12 routers how long it takes until a change is accepted, and from then until it is
/// in force on all of them.
fn change_times() -> Result<(), String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let mut options = SystemOptions::small(folder.path().to_path_buf());
    options.keepers = 3;
    options.routers = 12;
    options.engines = 40;
    let system = SystemStandIn::start(options);
    let (mut version, _) = system.current().ok_or("no keeper leads")?;
    let mut accepted_ms = Vec::new();
    let mut force_ms = Vec::new();
    for number in 0..CHANGES {
        let entry = json!({ "key_hash": "00".repeat(32), "policy": "main" });
        let put = json!({ "Put": { "section": "workspaces", "name": format!("n{number}"), "value": entry } });
        let change = json!({ "id": format!("c{number}"), "base": version, "operations": [put] });
        let started = Instant::now();
        let reply = system.operate("POST", "/operator/changes", Some(&change));
        if reply.map(|reply| reply.status) != Some(200) {
            return Err("a change was refused".to_string());
        }
        accepted_ms.push(started.elapsed().as_secs_f64() * 1000.0);
        let accepted = Instant::now();
        version += 1;
        let behind = || {
            let routers = system.routers.iter().flatten();
            routers.map(|r| r.shared().view().configuration.version).min().unwrap_or(0) < version
        };
        while behind() && accepted.elapsed() < Duration::from_secs(5) {
            std::thread::sleep(Duration::from_micros(200));
        }
        force_ms.push(accepted.elapsed().as_secs_f64() * 1000.0);
    }
    println!(
        "Changes on 12 routers: accepted p50 {:.1} ms, p99 {:.1} ms; in force everywhere after \
         p50 {:.1} ms, p99 {:.1} ms.\n",
        percentile(&accepted_ms, 0.5),
        percentile(&accepted_ms, 0.99),
        percentile(&force_ms, 0.5),
        percentile(&force_ms, 0.99)
    );
    Ok(())
}

/// Writes a keeper's folder whose log has [`RESTART_CHANGES`] changes, with no snapshot of them.
fn write_log(folder: &Path, address: std::net::SocketAddr) -> Result<(), String> {
    let text = |error: wingshed_lib::state::log_store::StoreError| error.to_string();
    let keeper_incarnation = Incarnation(7);
    let (mut store, _) = LogStore::open(folder, KeeperId(1), keeper_incarnation).map_err(text)?;
    let member = GroupMember { incarnation: keeper_incarnation, address, votes: true };
    let membership = GroupMembership { members: [(KeeperId(1), member)].into() };
    let snapshot = LogSnapshot { index: 0, term: 0, membership, image: Vec::new() };
    let hard_state = HardState { term: 1, voted_for: None };
    store.install(&snapshot, hard_state, &[]).map_err(text)?;
    let entry = json!({ "key_hash": "00".repeat(32), "policy": "main" });
    let mut entries = Vec::new();
    for index in 1..=RESTART_CHANGES {
        let mut operations =
            vec![put(Section::Workspaces, &format!("w{}", index % 500), entry.clone())];
        if index == 1 {
            operations.push(put(Section::Policies, "main", json!({ "source": "#{}" })));
        }
        let change = ConfigChange {
            id: format!("c{index}"),
            base: index - 1,
            operator: "ana".to_string(),
            operations,
        };
        let command =
            KeeperCommand { at_ms: wall_ms(), operation: KeeperOperation::Change(change) };
        let payload = EntryPayload::Command(encode(&command));
        entries.push(LogEntry { index, term: 1, payload });
        if entries.len() == 100 {
            let batch = LogBatch { entries: std::mem::take(&mut entries), ..LogBatch::default() };
            store.append(&batch).map_err(text)?;
        }
    }
    Ok(())
}

/// Measures how long a restarted keeper needs until it serves the last change, first from the log
/// alone, then from a snapshot and the log after it.
fn restart() -> Result<(), String> {
    let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
    let list = [KeeperAddress { id: KeeperId(1), address: free_address() }];
    let settings = settings(1, &list, folder.path());
    write_log(&settings.data_folder, list[0].address)?;
    for name in ["from the log alone", "from a snapshot and the log after it"] {
        let started = Instant::now();
        let node = KeeperNode::start(settings.clone()).map_err(|error| error.to_string())?;
        let version = |node: &KeeperNode| {
            node.read(|keeper, confirmed| confirmed.then(|| keeper.configuration().version))
                .flatten()
        };
        while version(&node) != Some(RESTART_CHANGES) {
            if started.elapsed() > Duration::from_secs(60) {
                return Err("the keeper did not restart".to_string());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        println!(
            "Restart after {RESTART_CHANGES} changes, {name}: {:.0} ms until it confirms the \
             configuration in force (a single keeper waits for no election).",
            started.elapsed().as_secs_f64() * 1000.0
        );
        node.stop_now();
    }
    Ok(())
}
