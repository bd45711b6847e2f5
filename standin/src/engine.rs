//! A stand-in for a model engine, with continuous batching, a limited prefix cache, priorities, resume, cancel,
//! late and incomplete cache events, a delayed load report, KV import, and fenced orders. The pieces of an answer
//! depend only on the id of the run and their number, so that a test can compute the whole answer.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use wingshed_lib::protocol::engine::{
    CacheEvent, CACHED_HEADER, CACHE_KEY_HEADER, INCARNATION_HEADER, LEAVING_HEADER,
    PRIORITY_HEADER, READER_HEADER, RUN_HEADER,
};
use wingshed_lib::protocol::http::{HttpCall, HttpReply};
use wingshed_lib::protocol::sse::{write_event, SseEvent};
use wingshed_lib::transport::http_server::{HttpExchange, HttpServer, ResponseWriter};

use crate::address::free_address;
pub use crate::engine_make::{EngineFaults, EngineOptions};
use crate::server::serve;

/// The interval at which the batch is advanced.
const TICK: Duration = Duration::from_millis(1);
/// The interval at which a stream checks whether the engine was stopped.
const POLL: Duration = Duration::from_millis(50);
/// The time for which a finished run can still be resumed.
const KEEP_FINISHED: Duration = Duration::from_secs(20);

/// The state of one run.
#[derive(Clone, Debug, Default)]
struct EngineRun {
    /// The number of pieces of its answer.
    pieces: u64,
    /// The number of pieces that were generated.
    made: u64,
    /// The number of prompt tokens that were not cached.
    prompt: u64,
    priority: u64,
    ready_at: Option<Instant>,
    /// The time at which the next piece is generated.
    next_at: Option<Instant>,
    running: bool,
    done: bool,
    cancelled: bool,
    /// The number of streams of this run that were opened. A cancel by an older stream is ignored.
    readers: u64,
    done_at: Option<Instant>,
}

/// The state of an engine that changes while it runs.
#[derive(Debug, Default)]
struct EngineState {
    runs: HashMap<String, EngineRun>,
    waiting: Vec<String>,
    /// The number of times that each run was started on this engine.
    starts: HashMap<String, u64>,
    /// The cached tokens of each cache key, and the number of the last use.
    cache: BTreeMap<String, (u64, u64)>,
    cache_uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    next_event: u64,
    /// The time of each load report, its running and waiting runs, and the pieces that are still to be generated.
    reports: VecDeque<(Instant, u32, u32, u64)>,
    /// The fences and actions of the accepted orders.
    orders: Vec<(u64, Value)>,
    highest_fence: u64,
    max_running: usize,
}

struct EngineShared {
    options: EngineOptions,
    state: Mutex<EngineState>,
    changed: Condvar,
    leaving: AtomicBool,
    stop: AtomicBool,
    faults: EngineFaults,
}

/// A running stand-in engine.
pub struct EngineStandIn {
    shared: Arc<EngineShared>,
    server: HttpServer,
    /// The address on which it listens.
    pub address: SocketAddr,
}

/// Returns the text of piece `number` of a run.
pub fn piece_text(run: &str, number: u64) -> String {
    format!("{}.{number} ", &run[run.len().saturating_sub(6)..])
}

/// Returns the whole text of a run that has this number of pieces.
pub fn whole_text(run: &str, pieces: u64) -> String {
    (1..=pieces).map(|number| piece_text(run, number)).collect()
}

fn lock(shared: &EngineShared) -> MutexGuard<'_, EngineState> {
    shared.state.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl EngineStandIn {
    /// Starts an engine on a free port.
    pub fn start(options: EngineOptions) -> EngineStandIn {
        EngineStandIn::start_at(free_address(), options)
    }

    /// Starts an engine at a given address, such as that of an engine which was killed.
    pub fn start_at(address: SocketAddr, options: EngineOptions) -> EngineStandIn {
        let shared = Arc::new(EngineShared {
            options,
            state: Mutex::default(),
            changed: Condvar::new(),
            leaving: AtomicBool::new(false),
            stop: AtomicBool::new(false),
            faults: EngineFaults::default(),
        });
        let handler = shared.clone();
        let server = serve(address, 4000, move |exchange| handle(&handler, exchange));
        let batch = shared.clone();
        std::thread::spawn(move || run_batch(&batch));
        EngineStandIn { shared, server, address }
    }

    /// Returns the faults of this engine, which can be switched while it runs.
    pub fn faults(&self) -> &EngineFaults {
        &self.shared.faults
    }

    /// Makes the engine report from now on that it is leaving, and refuse new runs.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Returns the number of times that each run was started on this engine.
    pub fn starts(&self) -> HashMap<String, u64> {
        lock(&self.shared).starts.clone()
    }

    /// Returns the number of runs that have not ended.
    pub fn open_runs(&self) -> usize {
        lock(&self.shared).runs.values().filter(|run| !run.done).count()
    }

    /// Returns the number of runs that were cancelled.
    pub fn cancelled_runs(&self) -> usize {
        lock(&self.shared).runs.values().filter(|run| run.cancelled).count()
    }

    /// Returns the orders that the engine accepted, with their fences.
    pub fn orders(&self) -> Vec<(u64, Value)> {
        lock(&self.shared).orders.clone()
    }

    /// Stops the engine abruptly: it closes every connection and no longer listens.
    pub fn kill(mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
        self.server.stop();
    }
}

impl Drop for EngineStandIn {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }
}

// ---- the batch ----

fn run_batch(shared: &EngineShared) {
    while !shared.stop.load(Ordering::Relaxed) {
        std::thread::sleep(TICK);
        let now = Instant::now();
        let mut state = lock(shared);
        start_waiting(shared, &mut state, now);
        if generate_pieces(shared, &mut state, now) {
            shared.changed.notify_all();
        }
        remove_finished(&mut state, now);
        record_load(shared, &mut state, now);
    }
}

fn start_waiting(shared: &EngineShared, state: &mut EngineState, now: Instant) {
    let running = state.runs.values().filter(|run| run.running).count();
    let free_slots = shared.options.slots.saturating_sub(running);
    if free_slots == 0 || state.waiting.is_empty() {
        return;
    }
    let mut waiting = std::mem::take(&mut state.waiting);
    // The sort is stable, so runs of equal priority stay in the order of their arrival.
    waiting.sort_by_key(|id| std::cmp::Reverse(state.runs.get(id).map_or(0, |run| run.priority)));
    for id in waiting.drain(..free_slots.min(waiting.len())) {
        let Some(run) = state.runs.get_mut(&id) else { continue };
        run.running = !run.cancelled;
        let prefill = Duration::from_millis(run.prompt / shared.options.prefill_per_ms.max(1));
        run.ready_at = Some(now + prefill);
        run.next_at = Some(now + prefill);
    }
    state.waiting = waiting;
    let running = state.runs.values().filter(|run| run.running).count();
    state.max_running = state.max_running.max(running);
}

fn generate_pieces(shared: &EngineShared, state: &mut EngineState, now: Instant) -> bool {
    let step = shared.options.piece_ms + shared.faults.slow_ms.load(Ordering::Relaxed);
    let step = Duration::from_millis(step);
    let mut made = false;
    for run in state.runs.values_mut().filter(|run| run.running) {
        while run.running && run.next_at.is_some_and(|at| at <= now) {
            run.made += 1;
            run.next_at = run.next_at.map(|at| at + step);
            run.done = run.made >= run.pieces;
            run.done_at = run.done.then_some(now);
            run.running = !run.done;
            made = true;
            if step.is_zero() && !run.running {
                break;
            }
        }
    }
    made
}

/// Removes the runs that finished [`KEEP_FINISHED`] ago.
fn remove_finished(state: &mut EngineState, now: Instant) {
    state.runs.retain(|_, run| run.done_at.is_none_or(|at| now < at + KEEP_FINISHED));
}

/// Adds a load report, and removes those that are older than the one to be reported after the lag.
fn record_load(shared: &EngineShared, state: &mut EngineState, now: Instant) {
    let running = state.runs.values().filter(|run| run.running).count() as u32;
    let waiting = state.waiting.len() as u32;
    let open = state.runs.values().filter(|run| !run.done);
    let work = open.map(|run| run.pieces - run.made).sum();
    state.reports.push_back((now, running, waiting, work));
    let lag = Duration::from_millis(shared.options.report_lag_ms);
    while state.reports.get(1).is_some_and(|(at, ..)| *at + lag <= now) {
        state.reports.pop_front();
    }
}

// ---- the cache ----

/// Returns the number of prompt tokens that are cached under `key`, and stores `tokens` under it. The entries that
/// were unused for the longest time are evicted if the cache is full.
fn cache_lookup(
    shared: &EngineShared,
    state: &mut EngineState,
    key: &str,
    tokens: u64,
    prompt: u64,
) -> u64 {
    state.cache_uses += 1;
    let held = state.cache.get(key).map_or(0, |(held, _)| *held);
    let cached = held.min(prompt);
    state.cache.insert(key.to_string(), (tokens.max(held), state.cache_uses));
    push_event(shared, state, key, tokens.max(held));
    while state.cache.values().map(|(held, _)| held).sum::<u64>() > shared.options.cache_tokens {
        let oldest = state.cache.iter().min_by_key(|(_, (_, used))| *used);
        let Some(oldest) = oldest.map(|(key, _)| key.clone()) else { break };
        state.cache.remove(&oldest);
        push_event(shared, state, &oldest, 0);
    }
    cached
}

fn push_event(shared: &EngineShared, state: &mut EngineState, key: &str, tokens: u64) {
    state.next_event += 1;
    let every = shared.options.event_gap_every;
    if every > 0 && state.next_event % every == 0 {
        return;
    }
    let event =
        CacheEvent { number: state.next_event, cache_key: key.to_string(), tokens: tokens as u32 };
    state.events.push_back((Instant::now(), event));
    if state.events.len() > 10_000 {
        state.events.pop_front();
    }
}

// ---- HTTP ----

fn handle(shared: &Arc<EngineShared>, mut exchange: HttpExchange) {
    if shared.stop.load(Ordering::Relaxed) {
        return;
    }
    let path = exchange.call.path().to_string();
    let call = exchange.call;
    let writer = &mut exchange.writer;
    let reply = match (call.method.as_str(), path.as_str()) {
        ("POST", "/v1/chat/completions") => return start(shared, &call, writer),
        ("GET", "/v1/state") => state_reply(shared, &call),
        ("POST", "/v1/kv/import") => import_reply(shared, &call),
        ("POST", "/v1/orders") => order_reply(shared, &call),
        (method, path) if path.starts_with("/v1/runs/") => {
            let rest = &path["/v1/runs/".len()..];
            match (method, rest.strip_suffix("/cancel")) {
                ("GET", None) => return resume(shared, rest, &call, writer),
                ("POST", Some(run)) => cancel_reply(shared, run, &call),
                _ => HttpReply { status: 404, ..HttpReply::default() },
            }
        }
        _ => HttpReply { status: 404, ..HttpReply::default() },
    };
    let _ = writer.send(&own_headers(shared, reply));
}

fn own_headers(shared: &EngineShared, reply: HttpReply) -> HttpReply {
    let leaving = shared.leaving.load(Ordering::Relaxed);
    reply
        .with(INCARNATION_HEADER, reported_incarnation(shared).to_string())
        .with(LEAVING_HEADER, leaving.to_string())
}

fn reported_incarnation(shared: &EngineShared) -> u64 {
    match shared.faults.reported_incarnation.load(Ordering::Relaxed) {
        0 => shared.options.incarnation,
        reported => reported,
    }
}

fn start(shared: &Arc<EngineShared>, call: &HttpCall, writer: &mut ResponseWriter) {
    let refuse = shared.faults.refuse_status.load(Ordering::Relaxed) as u16;
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let known_shape = body.get("messages").is_some_and(Value::is_array);
    let status = match (refuse, shared.leaving.load(Ordering::Relaxed), known_shape) {
        (0, false, true) => 0,
        (0, true, _) => 503,
        (0, _, false) => 400,
        (status, ..) => status,
    };
    if status != 0 {
        let reply = HttpReply::json(status, &json!({ "error": "not run" }));
        let _ = writer.send(&own_headers(shared, reply));
        return;
    }
    let id = call.header(RUN_HEADER).unwrap_or("anonymous").to_string();
    let cached = {
        let mut state = lock(shared);
        begin_run(shared, &mut state, &id, call, &body)
    };
    if shared.faults.cut_before_head.load(Ordering::Relaxed) {
        return;
    }
    stream(shared, &id, 0, cached, true, writer);
}

/// Begins a run and returns the number of its prompt tokens that were cached. If the run exists already, the
/// request joins it, so that a start that is sent twice runs once.
fn begin_run(
    shared: &EngineShared,
    state: &mut EngineState,
    id: &str,
    call: &HttpCall,
    body: &Value,
) -> u64 {
    if state.runs.get(id).is_some_and(|run| !run.cancelled) {
        return 0;
    }
    let characters: usize = body["messages"].as_array().map_or(0, |messages| {
        messages.iter().map(|m| m["content"].as_str().map_or(0, str::len)).sum()
    });
    let prompt = (characters as u64 / 4).max(1);
    let pieces = body["max_tokens"].as_u64().unwrap_or(16).clamp(1, 100_000);
    let key = call.header(CACHE_KEY_HEADER).unwrap_or(id).to_string();
    let cached = cache_lookup(shared, state, &key, prompt + pieces, prompt);
    let priority = call.header(PRIORITY_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
    let run = EngineRun { pieces, prompt: prompt - cached, priority, ..EngineRun::default() };
    state.runs.insert(id.to_string(), run);
    state.waiting.push(id.to_string());
    *state.starts.entry(id.to_string()).or_default() += 1;
    cached
}

fn resume(shared: &Arc<EngineShared>, id: &str, call: &HttpCall, writer: &mut ResponseWriter) {
    let after = call.query("after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let known = !shared.faults.forget_runs.load(Ordering::Relaxed)
        && lock(shared).runs.get(id).is_some_and(|run| !run.cancelled);
    if !known {
        let reply = HttpReply { status: 404, ..HttpReply::default() };
        let _ = writer.send(&own_headers(shared, reply));
        return;
    }
    stream(shared, id, after, 0, false, writer);
}

fn stream(
    shared: &Arc<EngineShared>,
    id: &str,
    after: u64,
    cached: u64,
    first_reading: bool,
    writer: &mut ResponseWriter,
) {
    let reader = {
        let mut state = lock(shared);
        let Some(run) = state.runs.get_mut(id) else { return };
        run.readers += 1;
        run.readers
    };
    let head = own_headers(shared, HttpReply::default())
        .with("content-type", "text/event-stream")
        .with(READER_HEADER, reader.to_string())
        .with(CACHED_HEADER, cached.to_string());
    if writer.begin(200, &head.headers).is_err() {
        return;
    }
    let mut sent = after;
    loop {
        let (made, pieces, done, cancelled) = {
            let mut state = lock(shared);
            loop {
                let Some(run) = state.runs.get(id) else { return };
                if run.made > sent || run.done || run.cancelled {
                    break (run.made, run.pieces, run.done, run.cancelled);
                }
                if shared.stop.load(Ordering::Relaxed) {
                    return;
                }
                let waited = shared.changed.wait_timeout(state, POLL);
                state = waited.unwrap_or_else(|poison| poison.into_inner()).0;
            }
        };
        if shared.stop.load(Ordering::Relaxed) {
            return;
        }
        if cancelled {
            let _ = write_error(writer, "the run was cancelled");
            return;
        }
        if !send_pieces(shared, id, &mut sent, made, first_reading, writer) {
            return;
        }
        if done && sent >= pieces {
            let end = numbered_event(pieces + 1, "[DONE]".to_string());
            let _ = writer.chunk(&end).and_then(|()| writer.finish());
            return;
        }
    }
}

/// Sends the pieces up to number `made`. Returns false if a fault ended the stream or the reader closed it.
fn send_pieces(
    shared: &EngineShared,
    id: &str,
    sent: &mut u64,
    made: u64,
    first_reading: bool,
    writer: &mut ResponseWriter,
) -> bool {
    let every = |fault: &AtomicU64, number: u64| {
        let every = fault.load(Ordering::Relaxed);
        every > 0 && number % every == 0
    };
    let faults = &shared.faults;
    let mut held: Option<Vec<u8>> = None;
    while *sent < made {
        *sent += 1;
        let number = *sent;
        let text = piece_text(id, number);
        let data = json!({ "choices": [{ "index": 0, "delta": { "content": text } }] });
        let bytes = numbered_event(number, data.to_string());
        if first_reading && every(&faults.lose_every, number) {
            continue;
        }
        if held.is_none() && every(&faults.swap_every, number) && number < made {
            held = Some(bytes);
            continue;
        }
        let doubled = every(&faults.double_every, number);
        let mut out = bytes.clone();
        if doubled {
            out.extend_from_slice(&bytes);
        }
        out.extend(held.take().into_iter().flatten());
        if writer.chunk(&out).is_err() {
            return false;
        }
        let fail_after = faults.fail_after.load(Ordering::Relaxed);
        if fail_after > 0 && number >= fail_after {
            let _ = write_error(writer, "out of memory");
            return false;
        }
        let cut_after = faults.cut_after.load(Ordering::Relaxed);
        if first_reading && cut_after > 0 && number >= cut_after {
            return false;
        }
    }
    match held {
        Some(bytes) => writer.chunk(&bytes).is_ok(),
        None => true,
    }
}

fn numbered_event(number: u64, data: String) -> Vec<u8> {
    write_event(&SseEvent { id: Some(number.to_string()), event: None, data })
}

fn write_error(writer: &mut ResponseWriter, text: &str) -> std::io::Result<()> {
    let event = SseEvent { id: None, event: Some("error".to_string()), data: text.to_string() };
    writer.chunk(&write_event(&event))?;
    writer.finish()
}

fn cancel_reply(shared: &EngineShared, id: &str, call: &HttpCall) -> HttpReply {
    let reader: u64 = call.header(READER_HEADER).and_then(|t| t.parse().ok()).unwrap_or(0);
    let mut state = lock(shared);
    let Some(run) = state.runs.get_mut(id) else {
        return HttpReply { status: 404, ..HttpReply::default() };
    };
    if run.readers <= reader && !run.done {
        run.cancelled = true;
        run.done = true;
        run.running = false;
        shared.changed.notify_all();
    }
    HttpReply::json(200, &json!({ "cancelled": run.cancelled }))
}

fn state_reply(shared: &EngineShared, call: &HttpCall) -> HttpReply {
    let after: u64 = call.query("events_after").and_then(|t| t.parse().ok()).unwrap_or(0);
    let state = lock(shared);
    let lag = Duration::from_millis(shared.options.event_lag_ms);
    let visible = state.events.iter().filter(|(at, _)| at.elapsed() >= lag);
    let events: Vec<&CacheEvent> =
        visible.map(|(_, event)| event).filter(|event| event.number > after).collect();
    let latest = events.last().map_or(after, |event| event.number);
    let (_, running, waiting, work) =
        state.reports.front().copied().unwrap_or((Instant::now(), 0, 0, 0));
    HttpReply::json(
        200,
        &json!({
            "incarnation": shared.options.incarnation,
            "leaving": shared.leaving.load(Ordering::Relaxed),
            "running": running, "waiting": waiting, "work": work,
            "events": events, "latest_event": latest,
        }),
    )
}

fn import_reply(shared: &EngineShared, call: &HttpCall) -> HttpReply {
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let (Some(key), Some(tokens)) = (body["cache_key"].as_str(), body["tokens"].as_u64()) else {
        return HttpReply { status: 400, ..HttpReply::default() };
    };
    let mut state = lock(shared);
    cache_lookup(shared, &mut state, key, tokens, 0);
    HttpReply::json(200, &json!({ "imported": tokens }))
}

fn order_reply(shared: &EngineShared, call: &HttpCall) -> HttpReply {
    let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
    let Some(fence) = body["fence"].as_u64() else {
        return HttpReply { status: 400, ..HttpReply::default() };
    };
    let mut state = lock(shared);
    if fence < state.highest_fence {
        return HttpReply::json(409, &json!({ "highest": state.highest_fence }));
    }
    // An order with the fence of the previous one is the same order sent again.
    if fence > state.highest_fence {
        state.highest_fence = fence;
        state.orders.push((fence, body["action"].clone()));
    }
    HttpReply::json(200, &json!({ "done": true }))
}
