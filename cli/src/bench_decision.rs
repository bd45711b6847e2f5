//! Measures the time of one placement decision, and the memory of the large tables.

use std::time::Instant;

use serde_json::json;
use wingshed_lib::coordination::admission::FleetLoad;
use wingshed_lib::coordination::home::HomeTable;
use wingshed_lib::coordination::placement::{
    place_candidates, EngineHint, FleetView, PlacementContext, BEST_RULE,
};
use wingshed_lib::coordination::policy::{compile_policy, decide_policy, PolicyFacts};
use wingshed_lib::state::chat_memory::ChatMemory;
use wingshed_lib::state::claim_table::{ClaimKey, ClaimRequest, ClaimTable};
use wingshed_lib::state::configuration::{read_configuration, Configuration};
use wingshed_lib::state::ids::{ChatKey, FleetKey, Incarnation, RouterId, UpstreamKey};
use wingshed_lib::state::roster::{RouterRoster, RouterSession};
use wingshed_standin::system::POLICY;

use crate::process::rss_kb;
use crate::table::to_text;

const FLEET: FleetKey = FleetKey(1);
/// The number of decisions that are timed for each number of engines.
const ROUNDS: usize = 20_000;

fn roster(routers: u32) -> RouterRoster {
    let session = |_| RouterSession {
        incarnation: Incarnation(1),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".to_string(),
        leaving: false,
    };
    let routers = (0..routers).map(|id| (RouterId(id), session(id))).collect();
    RouterRoster { epoch: 1, routers }
}

/// Prints the time of a decision: of the policy, of the placement, and of both.
pub fn decision() {
    let program = compile_policy(POLICY).expect("the stand-in policy compiles");
    let facts = PolicyFacts {
        workspace: "w0".to_string(),
        service: "teaser".to_string(),
        method: "POST".to_string(),
        path: "/v1/chat/completions".to_string(),
        prompt_tokens: 500,
        ..PolicyFacts::default()
    };
    let mut rows = Vec::new();
    for (engines, routers) in [(40u32, 12u32), (400, 12), (4000, 145)] {
        let roster = roster(routers);
        let keys: Vec<UpstreamKey> =
            (0..engines).map(|engine| UpstreamKey::of(&format!("engine-{engine}"))).collect();
        let view = FleetView::new(keys.iter().copied(), &roster);
        let mut homes = HomeTable::default();
        homes.settle(1);
        keys.iter().for_each(|key| {
            homes.assign(*key, FLEET, roster.home(*key) == Some(RouterId(0)), 1);
        });
        let mut memory = ChatMemory::new(100_000);
        (0..50_000).for_each(|chat| memory.note(ChatKey(chat), keys[0], Incarnation(1), 100));
        let hints: Vec<EngineHint> =
            keys.iter().take(6).map(|engine| EngineHint { engine: *engine, work: 1 }).collect();
        let load =
            FleetLoad { work: engines as u64 * 8000, engines, age_ms: 100, largest_reported: 0 };
        let mut policy_us = Vec::new();
        let mut place_us = Vec::new();
        for round in 0..ROUNDS {
            let start = Instant::now();
            let decided = decide_policy(&program, &facts);
            let middle = Instant::now();
            let context = PlacementContext {
                own: RouterId(0),
                fleet: FLEET,
                view: &view,
                homes: &homes,
                memory: &memory,
                hints: &hints,
                hints_known: true,
                load,
                multiple: 1.25,
                work: 600,
            };
            let places = place_candidates(ChatKey(round as u64 * 7), &context, &BEST_RULE);
            let end = Instant::now();
            std::hint::black_box((decided.is_ok(), places.len()));
            policy_us.push((middle - start).as_nanos() as f64 / 1000.0);
            place_us.push((end - middle).as_nanos() as f64 / 1000.0);
        }
        let both: Vec<f64> = policy_us.iter().zip(&place_us).map(|(a, b)| a + b).collect();
        rows.push(vec![
            engines.to_string(),
            format!("{:.1}", percentile(&policy_us, 0.5)),
            format!("{:.1}", percentile(&place_us, 0.5)),
            format!("{:.1}", percentile(&both, 0.5)),
            format!("{:.1}", percentile(&both, 0.99)),
        ]);
    }
    let head = ["engines", "policy p50 us", "place p50 us", "both p50 us", "both p99 us"];
    println!("{}", to_text(&head, &rows));
}

/// Returns a quantile of unsorted values, or 0 if there are none.
pub fn percentile(values: &[f64], quantile: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = ((sorted.len() as f64 - 1.0) * quantile).round().max(0.0) as usize;
    sorted.get(at).copied().unwrap_or(0.0)
}

/// Prints the memory of each large table, in total and per entry.
pub fn memory() {
    let mut rows = Vec::new();
    let mut add = |name: &str, count: u64, before: u64| {
        let kb = rss_kb(std::process::id()).saturating_sub(before);
        let each = kb as f64 * 1024.0 / count as f64;
        rows.push(vec![
            name.to_string(),
            count.to_string(),
            format!("{:.1}", kb as f64 / 1024.0),
            format!("{each:.0}"),
        ]);
    };
    let now = || rss_kb(std::process::id());

    let before = now();
    let mut memory = ChatMemory::new(2_000_000);
    let engine = |chat: u64| UpstreamKey(chat % 40);
    (0..1_000_000).for_each(|chat| memory.note(ChatKey(chat), engine(chat), Incarnation(1), 100));
    add("chats remembered by a home", 1_000_000, before);

    let before = now();
    let mut claims = ClaimTable::default();
    for number in 0..1_000_000u64 {
        let request = ClaimRequest {
            key: ClaimKey(number as u128 * 0x9e37_79b9_7f4a_7c15),
            holder: RouterId(1),
            incarnation: Incarnation(1),
            attempt: number,
            issued_ms: 1_000_000_000 + number,
        };
        claims.claim(request, 1_000_000_000 + number);
    }
    add("claims kept by a keeper", 1_000_000, before);

    let before = now();
    let configuration = make_configuration(48_000, 11_000);
    let peak = now();
    // SAFETY: `malloc_trim` only returns freed memory to the system.
    unsafe { libc::malloc_trim(0) };
    add("workspaces and servers configured", 59_000, before);
    let started = Instant::now();
    let next = configuration.apply(
        configuration.version + 1,
        &[wingshed_lib::state::keeper_machine::put(
            wingshed_lib::state::configuration::Section::Workspaces,
            "w7",
            json!({ "key_hash": "00".repeat(32), "policy": "main" }),
        )],
    );
    let apply_ms = started.elapsed().as_secs_f64() * 1000.0;
    let head = ["table", "entries", "MB", "bytes each"];
    println!("{}", to_text(&head, &rows));
    println!("Reading that configuration needed up to {} MB more.", (peak - now()) / 1024);
    println!("A change of one workspace was applied in {apply_ms:.1} ms ({}).", next.is_ok());
    std::hint::black_box((memory.len(), claims.len()));
}

/// Makes a configuration with these numbers of workspaces and of upstreams.
pub fn make_configuration(workspaces: usize, servers: usize) -> Configuration {
    let mut workspace_entries = serde_json::Map::new();
    for number in 0..workspaces {
        let entry = json!({ "key_hash": "00".repeat(32), "policy": "main" });
        workspace_entries.insert(format!("w{number}"), entry);
    }
    let mut upstream_entries = serde_json::Map::new();
    for number in 0..servers {
        let address = format!("10.{}.{}.{}:80", number >> 16, (number >> 8) & 255, number & 255);
        upstream_entries.insert(
            format!("engine-{number}"),
            json!({ "fleet": "engines", "address": address, "zone": "a" }),
        );
    }
    let document = json!({
        "fleets": { "engines": { "kind": "engine" } },
        "upstreams": upstream_entries, "workspaces": workspace_entries,
        "policies": { "main": { "source": POLICY } },
    });
    read_configuration(&document.to_string()).expect("the document is valid")
}
