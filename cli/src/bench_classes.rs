//! Measures how digests, surges and slow engines affect the latency of teasers and quiet
//! workspaces.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use wingshed_standin::caller::{chat_call, send, CallerAnswer, ChatRequest};
use wingshed_standin::engine::EngineOptions;
use wingshed_standin::system::{SystemOptions, SystemStandIn};

use crate::bench_decision::percentile;
use crate::table::to_text;

/// How long the watched callers run.
const RUN_TIME: Duration = Duration::from_secs(10);
/// The number of callers whose latency is measured.
const WATCHED_CALLERS: usize = 12;
/// The number of callers that make the disturbing load.
const OTHER_CALLERS: usize = 60;
/// The delay that a slow engine adds to each piece, in milliseconds.
const SLOW_MS: u64 = 20;

/// The requests of one kind of caller, and the pause between them.
#[derive(Clone, Copy)]
struct CallerKind {
    workspace: usize,
    service: &'static str,
    prompt_tokens: usize,
    max_tokens: u32,
    pause: Duration,
}

const TEASER: CallerKind = CallerKind {
    workspace: 0,
    service: "teaser",
    prompt_tokens: 200,
    max_tokens: 40,
    pause: Duration::from_millis(200),
};
const DIGEST: CallerKind = CallerKind {
    workspace: 1,
    service: "digest",
    prompt_tokens: 6000,
    max_tokens: 120,
    pause: Duration::ZERO,
};
const NORMAL: CallerKind = CallerKind { service: "chat", ..TEASER };
const SURGE: CallerKind = CallerKind { workspace: 2, pause: Duration::ZERO, ..NORMAL };

/// Prints the time to the first token and the gaps between pieces of the watched callers, with and
/// without each disturbance.
pub fn classes() -> Result<(), String> {
    let rows: [(&str, CallerKind, Option<CallerKind>, bool); 6] = [
        ("teasers alone", TEASER, None, false),
        ("teasers beside digests", TEASER, Some(DIGEST), false),
        ("a quiet workspace alone", NORMAL, None, false),
        ("a quiet workspace beside a surge", NORMAL, Some(SURGE), false),
        ("teasers, half the engines slow", TEASER, None, true),
        ("teasers beside digests, half the engines slow", TEASER, Some(DIGEST), true),
    ];
    let mut table = Vec::new();
    for (name, watched, other, slow) in rows {
        let folder = tempfile::tempdir().map_err(|error| error.to_string())?;
        let mut options = SystemOptions::small(folder.path().to_path_buf());
        options.engine = EngineOptions {
            slots: 8,
            piece_ms: 20,
            prefill_per_ms: 40,
            ..EngineOptions::default()
        };
        options.requests_per_engine = options.engine.slots as u32;
        let system = SystemStandIn::start(options);
        if slow {
            for engine in system.engines.iter().flatten().step_by(2) {
                engine.faults().slow_ms.store(SLOW_MS, Ordering::Relaxed);
            }
        }
        let (answers, others) = run_callers(&system, watched, other);
        table.push(to_row(name, &answers, &others));
    }
    let head = [
        "run",
        "answers",
        "refused",
        "first p50 ms",
        "p95",
        "p99",
        "gap p50 ms",
        "p99",
        "others answered",
        "refused",
    ];
    println!("{}", to_text(&head, &table));
    Ok(())
}

/// Runs the other callers, if any, and half a second later the watched callers. Returns the answers
/// of the watched and of the other callers.
fn run_callers(
    system: &SystemStandIn,
    watched: CallerKind,
    other: Option<CallerKind>,
) -> (Vec<CallerAnswer>, Vec<CallerAnswer>) {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let spawn = |kind: CallerKind, count: usize, name: &'static str| {
            let stop = &stop;
            let start = move |caller| {
                scope.spawn(move || call_until(system, kind, &format!("{name}{caller}"), stop))
            };
            (0..count).map(start).collect::<Vec<_>>()
        };
        let others = other.map_or(Vec::new(), |kind| spawn(kind, OTHER_CALLERS, "o"));
        std::thread::sleep(Duration::from_millis(500));
        let watched = spawn(watched, WATCHED_CALLERS, "w");
        std::thread::sleep(RUN_TIME);
        stop.store(true, Ordering::Relaxed);
        let join = |threads: Vec<std::thread::ScopedJoinHandle<'_, Vec<CallerAnswer>>>| {
            threads.into_iter().filter_map(|thread| thread.join().ok()).flatten().collect()
        };
        (join(watched), join(others))
    })
}

/// Sends requests one after another until `stop` is set, and returns their answers.
fn call_until(
    system: &SystemStandIn,
    kind: CallerKind,
    caller: &str,
    stop: &AtomicBool,
) -> Vec<CallerAnswer> {
    let routers = system.router_addresses();
    let mut answers = Vec::new();
    let mut router = routers[caller.len() % routers.len()];
    while !stop.load(Ordering::Relaxed) {
        let number = answers.len();
        let request = ChatRequest {
            workspace: format!("w{}", kind.workspace),
            key: format!("k{}", kind.workspace),
            request_id: format!("{caller}-{number}"),
            chat: format!("{caller}-{}", number % 3),
            service: kind.service.to_string(),
            prompt_tokens: kind.prompt_tokens,
            max_tokens: kind.max_tokens,
            stream: true,
            run_once: false,
            returning: number >= 3,
        };
        let answer = send(&system.client, router, &chat_call(&request), None);
        router = answer.next.unwrap_or(routers[number % routers.len()]);
        answers.push(answer);
        let until = Instant::now() + kind.pause;
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    answers
}

fn to_row(name: &str, answers: &[CallerAnswer], others: &[CallerAnswer]) -> Vec<String> {
    let whole: Vec<&CallerAnswer> = answers.iter().filter(|answer| answer.whole).collect();
    let first: Vec<f64> = whole.iter().map(|answer| answer.first_us as f64 / 1000.0).collect();
    let gaps: Vec<f64> =
        whole.iter().flat_map(|a| a.gaps_us.iter().map(|us| *us as f64 / 1000.0)).collect();
    let others_whole = others.iter().filter(|answer| answer.whole).count();
    vec![
        name.to_string(),
        whole.len().to_string(),
        (answers.len() - whole.len()).to_string(),
        format!("{:.1}", percentile(&first, 0.5)),
        format!("{:.1}", percentile(&first, 0.95)),
        format!("{:.1}", percentile(&first, 0.99)),
        format!("{:.1}", percentile(&gaps, 0.5)),
        format!("{:.1}", percentile(&gaps, 0.99)),
        others_whole.to_string(),
        (others.len() - others_whole).to_string(),
    ]
}
