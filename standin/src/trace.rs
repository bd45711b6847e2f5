//! Generates traces for both deployments. The generator is seeded, so equal options give equal bytes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_lib::coordination::fair_queue::RequestClass;
use wingshed_lib::coordination::trace::{
    Trace, TraceEvent, TraceExpectation, TraceLine, TraceRequest, TraceSetup, TraceStatus,
};

/// The kind of churn that a trace contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceCase {
    /// No churn.
    Quiet,
    /// Every 20 s an engine stops, and starts again as a new incarnation 15 s later.
    Flapping,
    /// A fifth of the engines leaves at the same time.
    FifthLeaves,
    /// One workspace sends more than ten times as many requests for a part of the time.
    Surge,
    /// The lists of the routers differ for 5 s.
    ListsDiffer,
    /// Cache events arrive 5 s late, and a tenth of them is lost.
    LateEvents,
    /// Engines flap, and cache events are late.
    FlappingLate,
}

impl TraceCase {
    /// All cases.
    pub const ALL: [TraceCase; 7] = [
        TraceCase::Quiet,
        TraceCase::Flapping,
        TraceCase::FifthLeaves,
        TraceCase::Surge,
        TraceCase::ListsDiffer,
        TraceCase::LateEvents,
        TraceCase::FlappingLate,
    ];

    /// Returns the name of the case on the command line.
    pub fn name(self) -> &'static str {
        match self {
            TraceCase::Quiet => "quiet",
            TraceCase::Flapping => "flapping",
            TraceCase::FifthLeaves => "fifth-leaves",
            TraceCase::Surge => "surge",
            TraceCase::ListsDiffer => "lists-differ",
            TraceCase::LateEvents => "late-events",
            TraceCase::FlappingLate => "flapping-late",
        }
    }

    /// Returns the case with the given name.
    pub fn named(name: &str) -> Option<TraceCase> {
        TraceCase::ALL.into_iter().find(|case| case.name() == name)
    }

    fn flaps(self) -> bool {
        matches!(self, TraceCase::Flapping | TraceCase::FlappingLate)
    }

    fn late(self) -> bool {
        matches!(self, TraceCase::LateEvents | TraceCase::FlappingLate)
    }
}

/// The deployment whose load a trace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceDeployment {
    /// Long contexts about parcels, and disputes that continue after hours.
    Hotare,
    /// Shorter drafts, and a few long digests.
    Campanario,
}

impl TraceDeployment {
    /// All deployments.
    pub const ALL: [TraceDeployment; 2] = [TraceDeployment::Hotare, TraceDeployment::Campanario];

    /// Returns the name of the deployment on the command line.
    pub fn name(self) -> &'static str {
        match self {
            TraceDeployment::Hotare => "hotare",
            TraceDeployment::Campanario => "campanario",
        }
    }

    /// Returns the deployment with the given name.
    pub fn named(name: &str) -> Option<TraceDeployment> {
        TraceDeployment::ALL.into_iter().find(|deployment| deployment.name() == name)
    }
}

/// The options from which a trace is generated.
#[derive(Clone, Copy, Debug)]
pub struct TraceOptions {
    /// The deployment whose load the trace has.
    pub deployment: TraceDeployment,
    /// The kind of churn.
    pub case: TraceCase,
    /// The length of the trace, in minutes.
    pub minutes: u64,
    /// The approximate number of requests per second.
    pub rate: f64,
    /// The load limit of an engine, as a multiple of the mean load.
    pub multiple: f64,
    /// The number of routers.
    pub routers: u32,
    /// The number of engines.
    pub engines: u32,
    /// The seed of the generator.
    pub seed: u64,
}

impl TraceOptions {
    /// The options of a trace of standard size: 12 routers, 40 engines and ten workspaces.
    pub fn standard(deployment: TraceDeployment, case: TraceCase) -> TraceOptions {
        TraceOptions {
            deployment,
            case,
            minutes: 10,
            rate: 100.0,
            multiple: 1.25,
            routers: 12,
            engines: 40,
            seed: 1,
        }
    }
}

const WORKSPACES: u32 = 10;
/// The probability that a chat continues after a turn.
const RETURN_PROBABILITY: f64 = 0.85;
const PREFILL_TOKENS_PER_MS: f64 = 8.0;
const DECODE_MS_PER_TOKEN: f64 = 25.0;

/// A chat and its length so far.
struct ChatTurn {
    chat: u64,
    workspace: u32,
    turn: u32,
    /// The tokens of all previous prompts and answers, without digests.
    context: u32,
}

/// Generates a trace.
pub fn make_trace(options: &TraceOptions) -> Trace {
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut lines = requests(options, &mut rng);
    lines.extend(churn(options, &mut rng));
    lines.sort_by_key(|line| line.at);
    let cache_tokens = match options.deployment {
        TraceDeployment::Hotare => 1_300_000,
        TraceDeployment::Campanario => 500_000,
    };
    let setup = TraceSetup {
        routers: options.routers,
        engines: options.engines,
        multiple: options.multiple,
        cache_tokens,
        report_lag_ms: 1000,
        event_lag_ms: if options.case.late() { 5000 } else { 500 },
        event_loss_one_in: if options.case.late() { 10 } else { 0 },
        wait_ms: 5000,
    };
    Trace { setup, lines, expectations: expectations(options) }
}

/// Returns a trace as JSON lines: the setup, the events, and the expectations.
pub fn write_trace(trace: &Trace) -> String {
    let first = TraceLine { at: 0, event: TraceEvent::Setup(trace.setup.clone()) };
    let last_at = trace.lines.last().map_or(0, |line| line.at);
    let expects = trace.expectations.iter().map(|expectation| TraceLine {
        at: last_at,
        event: TraceEvent::Expect(expectation.clone()),
    });
    let all = std::iter::once(first).chain(trace.lines.iter().cloned()).chain(expects);
    let texts = all.map(|line| serde_json::to_string(&line).unwrap_or_default());
    texts.collect::<Vec<_>>().join("\n") + "\n"
}

fn expectations(options: &TraceOptions) -> Vec<TraceExpectation> {
    let quiet = options.case == TraceCase::Quiet;
    vec![
        TraceExpectation::NeverAboveBound,
        TraceExpectation::ReuseOfBestAtLeast(if quiet { 0.97 } else { 0.90 }),
        TraceExpectation::RefusedAtMost(0.01),
    ]
}

// ---- requests ----

fn requests(options: &TraceOptions, rng: &mut StdRng) -> Vec<TraceLine> {
    let end_ms = options.minutes * 60_000;
    let new_chat_rate = options.rate * (1.0 - RETURN_PROBABILITY) * 1.15;
    let mut lines = Vec::new();
    let mut due: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut chats: Vec<ChatTurn> = Vec::new();
    let mut next_new_chat = 0.0;
    loop {
        let next_due = due.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let at = next_due.min(next_new_chat as u64);
        if at >= end_ms {
            return lines;
        }
        let index = if next_due <= next_new_chat as u64 {
            due.pop().map_or(0, |Reverse((_, index))| index)
        } else {
            let surging = options.case == TraceCase::Surge && at > end_ms / 3 && at < end_ms / 2;
            let rate = if surging { new_chat_rate * 1.9 } else { new_chat_rate };
            next_new_chat += exponential(rng, 1000.0 / rate);
            chats.push(new_chat(chats.len() as u64, surging, rng));
            chats.len() as u64 - 1
        };
        let request = next_turn(options, &mut chats[index as usize], rng);
        if rng.gen_bool(RETURN_PROBABILITY) {
            due.push(Reverse((at + pause_ms(rng, &request), index)));
        }
        lines.push(TraceLine { at, event: TraceEvent::Request(request) });
    }
}

/// Starts a chat. The workspaces have unequal shares; the first one has nearly half of the chats. During a
/// surge, workspace 3 starts about half of all new chats, instead of a fifteenth.
fn new_chat(chat: u64, surging: bool, rng: &mut StdRng) -> ChatTurn {
    let uneven = (rng.gen::<f64>().powi(3) * WORKSPACES as f64) as u32;
    let workspace = if surging && rng.gen_bool(0.47) { 3 } else { uneven.min(WORKSPACES - 1) };
    ChatTurn { chat, workspace, turn: 0, context: 0 }
}

fn next_turn(options: &TraceOptions, chat: &mut ChatTurn, rng: &mut StdRng) -> TraceRequest {
    chat.turn += 1;
    let digest = options.deployment == TraceDeployment::Campanario && rng.gen_bool(0.01);
    let question = match (options.deployment, chat.turn, digest) {
        (_, _, true) => rng.gen_range(8_000..16_000),
        (TraceDeployment::Hotare, 1, _) => rng.gen_range(2_500..7_000),
        (TraceDeployment::Campanario, 1, _) => rng.gen_range(500..2_000),
        _ => rng.gen_range(20..200),
    };
    let output = rng.gen_range(100..450);
    let prompt = chat.context + question;
    // A digest is a separate prompt and does not become part of the chat's context.
    if !digest {
        chat.context = prompt + output;
    }
    let class = match (options.deployment, digest, rng.gen_range(0..10)) {
        (_, true, _) => RequestClass::Batch,
        (TraceDeployment::Campanario, _, 0..=2) => RequestClass::Live,
        _ => RequestClass::Normal,
    };
    TraceRequest {
        workspace: chat.workspace,
        chat: chat.chat,
        turn: chat.turn,
        prompt,
        output,
        class,
        prefill_ms: (prompt as f64 / PREFILL_TOKENS_PER_MS) as u64,
        decode_ms: (output as f64 * DECODE_MS_PER_TOKEN) as u64,
    }
}

/// Returns the time between the start of a request and the next turn of its chat. Most chats continue within
/// minutes, some after a long pause.
fn pause_ms(rng: &mut StdRng, request: &TraceRequest) -> u64 {
    let mean = if rng.gen_bool(0.85) { 90_000.0 } else { 900_000.0 };
    request.prefill_ms + request.decode_ms + 2000 + exponential(rng, mean) as u64
}

/// Draws from an exponential distribution.
fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.gen::<f64>()).ln()
}

// ---- churn ----

fn churn(options: &TraceOptions, rng: &mut StdRng) -> Vec<TraceLine> {
    let end_ms = options.minutes * 60_000;
    let mut lines = Vec::new();
    if options.case.flaps() {
        let mut at = 20_000;
        while at + 20_000 < end_ms {
            let engine = rng.gen_range(0..options.engines);
            flap(options, engine, at, rng, &mut lines);
            at += 20_000;
        }
    }
    if options.case == TraceCase::FifthLeaves {
        for engine in 0..options.engines / 5 {
            change_status(options, engine, TraceStatus::Leaving, end_ms / 2, 2500, rng, &mut lines);
            change_status(
                options,
                engine,
                TraceStatus::Gone,
                end_ms / 2 + 40_000,
                2500,
                rng,
                &mut lines,
            );
        }
    }
    if options.case == TraceCase::ListsDiffer {
        lists_differ(options, end_ms / 2, rng, &mut lines);
    }
    lines
}

/// Changes the status of an engine. Each router's list shows the change after a random delay of up to
/// `max_delay_ms`.
fn change_status(
    options: &TraceOptions,
    engine: u32,
    status: TraceStatus,
    at: u64,
    max_delay_ms: u64,
    rng: &mut StdRng,
    lines: &mut Vec<TraceLine>,
) {
    lines.push(TraceLine { at, event: TraceEvent::Engine { engine, status } });
    for router in 0..options.routers {
        let shown_at = at + 1 + rng.gen_range(0..max_delay_ms);
        lines.push(TraceLine { at: shown_at, event: TraceEvent::List { router, engine, status } });
    }
}

fn flap(
    options: &TraceOptions,
    engine: u32,
    at: u64,
    rng: &mut StdRng,
    lines: &mut Vec<TraceLine>,
) {
    change_status(options, engine, TraceStatus::Gone, at, 1000, rng, lines);
    change_status(options, engine, TraceStatus::Live, at + 15_000, 1000, rng, lines);
}

/// Stops one router and lets four engines leave. The other routers' rosters and lists show that after random
/// delays of up to 5 s.
fn lists_differ(options: &TraceOptions, at: u64, rng: &mut StdRng, lines: &mut Vec<TraceLine>) {
    let gone = options.routers - 1;
    let routers: Vec<u32> = (0..gone).collect();
    lines.push(TraceLine {
        at,
        event: TraceEvent::Router { router: gone, status: TraceStatus::Gone },
    });
    for router in 0..gone {
        let shown_at = at + 1 + rng.gen_range(0..5000);
        lines.push(TraceLine {
            at: shown_at,
            event: TraceEvent::Roster { router, epoch: 2, routers: routers.clone() },
        });
    }
    for engine in 0..4 {
        change_status(options, engine, TraceStatus::Leaving, at, 5000, rng, lines);
    }
}
