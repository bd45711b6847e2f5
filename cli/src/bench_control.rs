//! Measures control traffic, as the transport counts it, for growing numbers of routers and
//! engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wingshed_lib::protocol::operator::WireRow;
use wingshed_standin::caller::{chat_call, send, ChatRequest};
use wingshed_standin::system::{SystemOptions, SystemStandIn};

use crate::process::thread_seconds;
use crate::table::to_text;

/// How long traffic is counted for each number of routers.
const RUN_TIME: Duration = Duration::from_secs(4);
/// The kinds of traffic that are requests and answers. All other kinds are control traffic.
const DATA_KINDS: [&str; 4] = ["engine", "plain", "forward", "caller"];

/// Prints the bytes per second and router, and the largest kinds.
pub fn control() -> Result<(), String> {
    let mut rows = Vec::new();
    for (routers, engines, loaded) in [
        (3, 40, false),
        (6, 40, false),
        (12, 40, false),
        (12, 40, true),
        (24, 40, false),
        (48, 40, false),
        (48, 160, false),
        (96, 40, false),
    ] {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let mut options = SystemOptions::small(folder.path().to_path_buf());
        options.keepers = 3;
        options.routers = routers;
        options.engines = engines;
        let system = SystemStandIn::start(options);
        std::thread::sleep(Duration::from_millis(1500));
        let before = sum_wire(&system);
        let threads = thread_seconds();
        let started = Instant::now();
        let requests = if loaded { run_load(&system) } else { 0 };
        std::thread::sleep(RUN_TIME.saturating_sub(started.elapsed()));
        let seconds = started.elapsed().as_secs_f64();
        let after = sum_wire(&system);
        let spent = thread_seconds();
        let rate = |at: usize| {
            let total: u64 = after
                .iter()
                .map(|(kind, row)| row[at] - before.get(kind).map_or(0, |row| row[at]))
                .sum();
            total as f64 / seconds / routers as f64
        };
        let cpu = |name: &str| {
            let used = spent.get(name).unwrap_or(&0.0) - threads.get(name).unwrap_or(&0.0);
            used / seconds
        };
        let mut kinds: Vec<(f64, &String)> = after
            .iter()
            .map(|(kind, row)| {
                let earlier = before.get(kind).copied().unwrap_or_default();
                let bytes = (row[0] - earlier[0]) + (row[1] - earlier[1]);
                (bytes as f64 / seconds / routers as f64, kind)
            })
            .filter(|(bytes, _)| *bytes > 20.0)
            .collect();
        kinds.sort_by(|a, b| b.0.total_cmp(&a.0));
        let kinds: Vec<String> =
            kinds.iter().take(5).map(|(bytes, kind)| format!("{kind} {bytes:.0}")).collect();
        rows.push(vec![
            routers.to_string(),
            engines.to_string(),
            format!("{:.0}", requests as f64 / seconds),
            format!("{:.0}", rate(0)),
            format!("{:.0}", rate(1)),
            format!("{:.2}%", 100.0 * (cpu("control") + cpu("poll")) / routers as f64),
            format!("{:.2}%", 100.0 * cpu("keeper-loop")),
            kinds.join(", "),
        ]);
    }
    let head = [
        "routers",
        "engines",
        "requests/s",
        "sent B/s",
        "received B/s",
        "control core/router",
        "keeper loops, all 3",
        "largest kinds, both ways",
    ];
    println!("Control bytes for each router, including an estimate of packet headers.");
    println!("{}", to_text(&head, &rows));
    Ok(())
}

/// Returns the control bytes that all routers sent and received, by kind.
fn sum_wire(system: &SystemStandIn) -> BTreeMap<String, [u64; 2]> {
    let mut sums: BTreeMap<String, [u64; 2]> = BTreeMap::new();
    let routers = system.routers.iter().flatten();
    for row in routers.flat_map(|router| router.shared().wire_rows()) {
        let WireRow { kind, sent_bytes, received_bytes, .. } = row;
        if !DATA_KINDS.contains(&kind.as_str()) {
            let sum = sums.entry(kind).or_default();
            sum[0] += sent_bytes;
            sum[1] += received_bytes;
        }
    }
    sums
}

/// Sends requests from 24 callers for [`RUN_TIME`], a tenth of them run-once, and returns their
/// number.
fn run_load(system: &SystemStandIn) -> usize {
    let routers = system.router_addresses();
    let until = Instant::now() + RUN_TIME;
    std::thread::scope(|scope| {
        let callers: Vec<_> = (0..24usize)
            .map(|caller| {
                let routers = &routers;
                scope.spawn(move || {
                    let mut sent = 0;
                    let mut router = routers[caller % routers.len()];
                    while Instant::now() < until {
                        let service = if sent % 10 == 9 { "alert" } else { "chat" };
                        let chat = format!("c{caller}-{}", sent % 7);
                        let request = ChatRequest {
                            workspace: "w0".to_string(),
                            key: "k0".to_string(),
                            request_id: format!("r{caller}-{sent}"),
                            chat,
                            service: service.to_string(),
                            prompt_tokens: 100,
                            max_tokens: 16,
                            stream: true,
                            run_once: false,
                            returning: sent >= 7,
                        };
                        let answer = send(&system.client, router, &chat_call(&request), None);
                        router = answer.next.unwrap_or(router);
                        sent += 1;
                    }
                    sent
                })
            })
            .collect();
        callers.into_iter().filter_map(|caller| caller.join().ok()).sum()
    })
}
