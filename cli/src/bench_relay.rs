//! Measures the latency that a router adds to a call, and the cost of streams on one router.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use wingshed_lib::protocol::engine::start_call;
use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::state::ids::ChatKey;
use wingshed_lib::transport::http_client::HttpClient;
use wingshed_standin::address::free_address;
use wingshed_standin::caller::{chat_call, directory, send, CallerAnswer, ChatRequest};
use wingshed_standin::engine::EngineOptions;
use wingshed_standin::system::{SystemOptions, SystemStandIn, FLEET_KEY};

use crate::bench_decision::percentile;
use crate::process::{cpu_seconds, rss_kb};
use crate::table::to_text;

/// The number of calls on each path.
const CALL_COUNT: usize = 400;
/// The number of pieces of an answer of these calls.
const CALL_PIECES: u32 = 24;
/// The number of pieces of an answer of `streams`.
const STREAM_PIECES: u32 = 200;
/// The time between two pieces of these answers, in milliseconds.
const STREAM_PIECE_MS: u64 = 30;

/// Routers that run as separate processes, with keepers and engines in this process.
struct BenchSite {
    system: SystemStandIn,
    routers: Vec<SocketAddr>,
    children: Vec<Child>,
    _folder: tempfile::TempDir,
}

impl Drop for BenchSite {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the path of the router's binary, which is next to that of this process.
fn router_program() -> Result<PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let program = own.with_file_name("wingshed-router");
    match program.exists() {
        true => Ok(program),
        false => Err("build the router first: cargo build --release --workspace".to_string()),
    }
}

impl BenchSite {
    fn start(routers: usize, engines: usize, engine: EngineOptions) -> Result<BenchSite, String> {
        let program = router_program()?;
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let mut options = SystemOptions::small(folder.path().to_path_buf());
        options.routers = 0;
        options.engines = engines;
        options.engine = engine;
        options.multiple = 8.0;
        let system = SystemStandIn::start(options);
        let keepers: Vec<_> = system
            .keeper_list()
            .iter()
            .map(|keeper| json!({ "id": keeper.id, "address": keeper.address.to_string() }))
            .collect();
        let mut site =
            BenchSite { system, routers: Vec::new(), children: Vec::new(), _folder: folder };
        for at in 0..routers {
            let address = free_address();
            let settings = json!({
                "role": "router", "id": at + 1, "zone": "a", "address": address.to_string(),
                "keepers": keepers, "fleet_key": FLEET_KEY,
            });
            let path = site.system.options.folder.join(format!("router-{at}.json"));
            std::fs::write(&path, settings.to_string()).map_err(|error| error.to_string())?;
            let child = Command::new(&program)
                .arg("--settings")
                .arg(&path)
                .args(["--log", "error"])
                .stderr(Stdio::inherit())
                .spawn()
                .map_err(|error| error.to_string())?;
            site.children.push(child);
            site.routers.push(address);
        }
        site.wait_serving()?;
        Ok(site)
    }

    /// Waits until each router has completed a request.
    fn wait_serving(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(20);
        for router in &self.routers {
            loop {
                let request = bench_request("probe", "probe", 1, true);
                if send(&self.system.client, *router, &chat_call(&request), None).whole {
                    break;
                }
                if Instant::now() > until {
                    return Err("a router does not serve".to_string());
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        Ok(())
    }
}

fn bench_request(id: &str, chat: &str, max_tokens: u32, returning: bool) -> ChatRequest {
    ChatRequest {
        workspace: "w0".to_string(),
        key: "k0".to_string(),
        request_id: id.to_string(),
        chat: chat.to_string(),
        service: "chat".to_string(),
        prompt_tokens: 50,
        max_tokens,
        stream: true,
        run_once: false,
        returning,
    }
}

/// Prints the latency of calls that go directly to an engine, through one router, and through two
/// routers, the second of which is the home of the chat.
pub fn relay() -> Result<(), String> {
    let engine =
        EngineOptions { piece_ms: 4, prefill_per_ms: 1_000_000, ..EngineOptions::default() };
    let site = BenchSite::start(2, 4, engine)?;
    let client = HttpClient::default();
    let direct = site.system.engines[0].as_ref().map(|engine| engine.address);
    let direct = direct.ok_or("no engine runs")?;
    let mut answers: [Vec<CallerAnswer>; 3] = Default::default();
    for number in 0..CALL_COUNT {
        let request =
            bench_request(&format!("b{number}"), &format!("c{number}"), CALL_PIECES, true);
        let call = chat_call(&request);
        let direct_call = direct_chat(number, &call);
        answers[0].push(send(&client, direct, &direct_call, None));
        let query = format!("workspace=w0&chat=c{number}&service=chat");
        let home = directory(&client, site.routers[0], &query)[0];
        let other = site.routers.iter().find(|router| **router != home).ok_or("one router")?;
        // The call through two routers goes first. The home then remembers the chat, so that the
        // call to the home alone stays there.
        answers[2].push(send(&client, *other, &call, None));
        let again = chat_call(&ChatRequest { request_id: format!("a{number}"), ..request });
        answers[1].push(send(&client, home, &again, None));
    }
    let mut rows = Vec::new();
    for (name, answers) in
        ["direct to the engine", "one router", "entry and home"].iter().zip(&answers)
    {
        rows.push(relay_row(name, answers));
    }
    let head = [
        "way",
        "whole",
        "hops",
        "first p50 us",
        "p99",
        "piece p50 us",
        "p99",
        "whole p50 us",
        "p99",
    ];
    println!("{}", to_text(&head, &rows));
    Ok(())
}

fn direct_chat(number: usize, call: &HttpCall) -> HttpCall {
    start_call(&format!("direct-{number}"), 1, ChatKey(number as u64), &call.body)
}

fn relay_row(name: &str, answers: &[CallerAnswer]) -> Vec<String> {
    let whole: Vec<&CallerAnswer> = answers.iter().filter(|answer| answer.whole).collect();
    let first: Vec<f64> = whole.iter().map(|answer| answer.first_us as f64).collect();
    let gaps: Vec<f64> =
        whole.iter().flat_map(|answer| answer.gaps_us.iter().map(|us| *us as f64)).collect();
    let total: Vec<f64> = whole.iter().map(|answer| answer.whole_us as f64).collect();
    let hops = whole.iter().filter(|answer| answer.hops > 0).count();
    let mut row = vec![name.to_string(), whole.len().to_string(), hops.to_string()];
    for values in [&first, &gaps, &total] {
        row.push(format!("{:.0}", percentile(values, 0.5)));
        row.push(format!("{:.0}", percentile(values, 0.99)));
    }
    row
}

/// Prints the throughput, processor time and memory of one router at 500, 1,000 and 2,000 streams.
pub fn streams() -> Result<(), String> {
    let engine = EngineOptions {
        piece_ms: STREAM_PIECE_MS,
        prefill_per_ms: 1_000_000,
        slots: 4000,
        ..EngineOptions::default()
    };
    let site = BenchSite::start(1, 8, engine)?;
    let pid = site.children[0].id();
    let idle_kb = rss_kb(pid);
    let mut rows = Vec::new();
    for streams in [500usize, 1000, 2000] {
        let cpu = cpu_seconds(pid);
        let started = Instant::now();
        let peak = std::sync::atomic::AtomicU64::new(0);
        let answers: Vec<CallerAnswer> = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..streams)
                .map(|number| {
                    let site = &site;
                    std::thread::Builder::new()
                        .stack_size(128 << 10)
                        .spawn_scoped(scope, move || {
                            std::thread::sleep(Duration::from_micros(500 * number as u64));
                            let id = format!("s{streams}-{number}");
                            let request = bench_request(&id, &id, STREAM_PIECES, false);
                            let call = chat_call(&request);
                            send(&HttpClient::default(), site.routers[0], &call, None)
                        })
                        .expect("a thread can be started")
                })
                .collect();
            for _ in 0..30 {
                std::thread::sleep(Duration::from_millis(200));
                peak.fetch_max(rss_kb(pid), std::sync::atomic::Ordering::Relaxed);
            }
            threads.into_iter().filter_map(|thread| thread.join().ok()).collect()
        });
        let seconds = started.elapsed().as_secs_f64();
        let cores = (cpu_seconds(pid) - cpu) / seconds;
        let whole = answers.iter().filter(|answer| answer.whole).count();
        let gaps: Vec<f64> = answers
            .iter()
            .flat_map(|answer| answer.gaps_us.iter().map(|us| *us as f64 / 1000.0))
            .collect();
        let late = gaps.iter().filter(|ms| **ms > 45.0).count() as f64 / gaps.len().max(1) as f64;
        let nominal = streams as f64 * 1000.0 / STREAM_PIECE_MS as f64;
        let mean_s =
            percentile(&answers.iter().map(|a| a.whole_us as f64 / 1e6).collect::<Vec<_>>(), 0.5);
        let rate = streams as f64 * STREAM_PIECES as f64 / mean_s;
        let kb = peak.load(std::sync::atomic::Ordering::Relaxed);
        rows.push(vec![
            streams.to_string(),
            whole.to_string(),
            format!("{nominal:.0}"),
            format!("{rate:.0}"),
            format!("{cores:.2}"),
            format!("{:.1}", kb as f64 / 1024.0),
            format!("{:.1}", (kb.saturating_sub(idle_kb)) as f64 / streams as f64),
            format!("{:.1}", percentile(&gaps, 0.99)),
            format!("{:.3}%", late * 100.0),
        ]);
    }
    let head = [
        "streams",
        "whole",
        "pieces/s due",
        "pieces/s while open",
        "cores",
        "MB",
        "KB/stream",
        "gap p99 ms",
        "gaps > 45 ms",
    ];
    println!("Idle: {:.1} MB.", idle_kb as f64 / 1024.0);
    println!("{}", to_text(&head, &rows));
    Ok(())
}
