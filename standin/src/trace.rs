//! Makes traces for both deployments: seeded, so that a name and a seed give equal bytes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use wingshed_lib::coordination::fair_queue::RequestClass;
use wingshed_lib::coordination::trace::{
    Trace, TraceEvent, TraceExpectation, TraceLine, TraceRequest, TraceSetup, TraceStatus,
};

/// The churn of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceCase {
    /// None.
    Quiet,
    /// Every 20 s an engine goes, and comes back as a new life 15 s later.
    Flapping,
    /// A fifth of the engines leaves at once.
    FifthLeaves,
    /// One workspace asks ten times as much for a while.
    Surge,
    /// The routers' lists differ for 5 s.
    ListsDiffer,
    /// Cache events come 5 s late, and a tenth of them is lost.
    LateEvents,
    /// Flapping, and late events.
    FlappingLate,
}

impl TraceCase {
    /// Every case.
    pub const ALL: [TraceCase; 7] = [
        TraceCase::Quiet,
        TraceCase::Flapping,
        TraceCase::FifthLeaves,
        TraceCase::Surge,
        TraceCase::ListsDiffer,
        TraceCase::LateEvents,
        TraceCase::FlappingLate,
    ];

    /// Its name on the command line.
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

    /// The case of this name.
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

/// Whose load a trace has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TraceDeployment {
    /// Long parcel contexts, disputes that return after hours.
    Hotare,
    /// Shorter drafts, with long digests among them.
    Campanario,
}

impl TraceDeployment {
    /// Both.
    pub const ALL: [TraceDeployment; 2] = [TraceDeployment::Hotare, TraceDeployment::Campanario];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            TraceDeployment::Hotare => "hotare",
            TraceDeployment::Campanario => "campanario",
        }
    }

    /// The deployment of this name.
    pub fn named(name: &str) -> Option<TraceDeployment> {
        TraceDeployment::ALL.into_iter().find(|deployment| deployment.name() == name)
    }
}

/// What a trace is made from.
#[derive(Clone, Copy, Debug)]
pub struct TraceMake {
    /// Whose load.
    pub deployment: TraceDeployment,
    /// The churn.
    pub case: TraceCase,
    /// How long, in minutes.
    pub minutes: u64,
    /// Requests a second, about.
    pub rate: f64,
    /// The multiple of the bound.
    pub multiple: f64,
    /// Routers.
    pub routers: u32,
    /// Engines.
    pub engines: u32,
    /// The seed.
    pub seed: u64,
}

impl TraceMake {
    /// Today's size: 12 routers, 40 engines, ten workspaces.
    pub fn today(deployment: TraceDeployment, case: TraceCase) -> TraceMake {
        TraceMake {
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
const RETURN_CHANCE: f64 = 0.85;
const PREFILL_TOKENS_A_MS: f64 = 8.0;
const DECODE_MS_A_TOKEN: f64 = 25.0;

struct ChatTurn {
    chat: u64,
    workspace: u32,
    turn: u32,
    context: u32,
}

/// Makes a trace.
pub fn make_trace(make: &TraceMake) -> Trace {
    let mut rng = StdRng::seed_from_u64(make.seed);
    let mut lines = requests(make, &mut rng);
    lines.extend(churn(make, &mut rng));
    lines.sort_by_key(|line| line.at);
    let cache_tokens = match make.deployment {
        TraceDeployment::Hotare => 1_300_000,
        TraceDeployment::Campanario => 500_000,
    };
    let setup = TraceSetup {
        routers: make.routers,
        engines: make.engines,
        multiple: make.multiple,
        cache_tokens,
        report_lag_ms: 1000,
        event_lag_ms: if make.case.late() { 5000 } else { 500 },
        event_loss_one_in: if make.case.late() { 10 } else { 0 },
        wait_ms: 5000,
    };
    Trace { setup, lines, expectations: expectations(make) }
}

/// A trace as JSON lines.
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

fn expectations(make: &TraceMake) -> Vec<TraceExpectation> {
    let quiet = make.case == TraceCase::Quiet;
    vec![
        TraceExpectation::NeverAboveBound,
        TraceExpectation::ReuseOfBestAtLeast(if quiet { 0.97 } else { 0.90 }),
        TraceExpectation::RefusedAtMost(0.01),
    ]
}

// ---- requests ----

fn requests(make: &TraceMake, rng: &mut StdRng) -> Vec<TraceLine> {
    let end_ms = make.minutes * 60_000;
    let fresh_rate = make.rate * (1.0 - RETURN_CHANCE) * 1.15;
    let mut lines = Vec::new();
    let mut due: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let mut chats: Vec<ChatTurn> = Vec::new();
    let mut next_fresh = 0.0;
    loop {
        let next_due = due.peek().map_or(u64::MAX, |Reverse((at, _))| *at);
        let at = next_due.min(next_fresh as u64);
        if at >= end_ms {
            return lines;
        }
        let index = if next_due <= next_fresh as u64 {
            due.pop().map_or(0, |Reverse((_, index))| index)
        } else {
            let surging = make.case == TraceCase::Surge && at > end_ms / 3 && at < end_ms / 2;
            let rate = if surging { fresh_rate * 1.9 } else { fresh_rate };
            next_fresh += exponential(rng, 1000.0 / rate);
            chats.push(fresh_chat(chats.len() as u64, surging, rng));
            chats.len() as u64 - 1
        };
        let request = one_turn(make, &mut chats[index as usize], rng);
        if rng.gen_bool(RETURN_CHANCE) {
            due.push(Reverse((at + pause_ms(rng, &request), index)));
        }
        lines.push(TraceLine { at, event: TraceEvent::Request(request) });
    }
}

/// Workspaces are uneven: the first has about a third. In a surge, workspace 3 asks for
/// nearly half of all fresh chats, ten times its share.
fn fresh_chat(chat: u64, surging: bool, rng: &mut StdRng) -> ChatTurn {
    let uneven = (rng.gen::<f64>().powi(3) * WORKSPACES as f64) as u32;
    let workspace = if surging && rng.gen_bool(0.47) { 3 } else { uneven.min(WORKSPACES - 1) };
    ChatTurn { chat, workspace, turn: 0, context: 0 }
}

fn one_turn(make: &TraceMake, chat: &mut ChatTurn, rng: &mut StdRng) -> TraceRequest {
    chat.turn += 1;
    let digest = make.deployment == TraceDeployment::Campanario && rng.gen_bool(0.01);
    let question = match (make.deployment, chat.turn, digest) {
        (_, _, true) => rng.gen_range(8_000..16_000),
        (TraceDeployment::Hotare, 1, _) => rng.gen_range(2_500..7_000),
        (TraceDeployment::Campanario, 1, _) => rng.gen_range(500..2_000),
        _ => rng.gen_range(20..200),
    };
    let output = rng.gen_range(100..450);
    let prompt = chat.context + question;
    // A digest is a reading of its own and does not stay in the chat.
    if !digest {
        chat.context = prompt + output;
    }
    let class = match (make.deployment, digest, rng.gen_range(0..10)) {
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
        prefill_ms: (prompt as f64 / PREFILL_TOKENS_A_MS) as u64,
        decode_ms: (output as f64 * DECODE_MS_A_TOKEN) as u64,
    }
}

/// Most return within minutes, some after a long pause.
fn pause_ms(rng: &mut StdRng, request: &TraceRequest) -> u64 {
    let mean = if rng.gen_bool(0.85) { 90_000.0 } else { 900_000.0 };
    request.prefill_ms + request.decode_ms + 2000 + exponential(rng, mean) as u64
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.gen::<f64>()).ln()
}

// ---- churn ----

fn churn(make: &TraceMake, rng: &mut StdRng) -> Vec<TraceLine> {
    let end_ms = make.minutes * 60_000;
    let mut lines = Vec::new();
    if make.case.flaps() {
        let mut at = 20_000;
        while at + 20_000 < end_ms {
            let engine = rng.gen_range(0..make.engines);
            flap(make, engine, at, rng, &mut lines);
            at += 20_000;
        }
    }
    if make.case == TraceCase::FifthLeaves {
        for engine in 0..make.engines / 5 {
            change(make, engine, TraceStatus::Leaving, end_ms / 2, 2500, rng, &mut lines);
            change(make, engine, TraceStatus::Gone, end_ms / 2 + 40_000, 2500, rng, &mut lines);
        }
    }
    if make.case == TraceCase::ListsDiffer {
        lists_differ(make, end_ms / 2, rng, &mut lines);
    }
    lines
}

/// The engine changes in truth; each router learns of it some time later.
fn change(
    make: &TraceMake,
    engine: u32,
    standing: TraceStatus,
    at: u64,
    learn_ms: u64,
    rng: &mut StdRng,
    lines: &mut Vec<TraceLine>,
) {
    lines.push(TraceLine { at, event: TraceEvent::Engine { engine, status: standing } });
    for router in 0..make.routers {
        let learned = at + 1 + rng.gen_range(0..learn_ms);
        lines.push(TraceLine {
            at: learned,
            event: TraceEvent::List { router, engine, status: standing },
        });
    }
}

fn flap(make: &TraceMake, engine: u32, at: u64, rng: &mut StdRng, lines: &mut Vec<TraceLine>) {
    change(make, engine, TraceStatus::Gone, at, 1000, rng, lines);
    change(make, engine, TraceStatus::Live, at + 15_000, 1000, rng, lines);
}

/// A router is gone; the others learn of it, and of four leaving engines, over 5 s.
fn lists_differ(make: &TraceMake, at: u64, rng: &mut StdRng, lines: &mut Vec<TraceLine>) {
    let gone = make.routers - 1;
    let routers: Vec<u32> = (0..gone).collect();
    lines.push(TraceLine {
        at,
        event: TraceEvent::Router { router: gone, status: TraceStatus::Gone },
    });
    for router in 0..gone {
        let learned = at + 1 + rng.gen_range(0..5000);
        lines.push(TraceLine {
            at: learned,
            event: TraceEvent::Roster { router, epoch: 2, routers: routers.clone() },
        });
    }
    for engine in 0..4 {
        change(make, engine, TraceStatus::Leaving, at, 5000, rng, lines);
    }
}
