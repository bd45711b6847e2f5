//! `wingshed trace` and `wingshed replay`: make traces and replay them through the decision code.

use std::path::PathBuf;
use std::time::Instant;

use argh::FromArgs;
use serde_json::{json, Value};
use wingshed_lib::coordination::placement::{FreshRule, PlacementRule, BEST_RULE};
use wingshed_lib::coordination::replay::{replay, ReplayRule};
use wingshed_lib::coordination::replay_outcome::ReplayOutcome;
use wingshed_lib::coordination::trace::{read_trace, Trace};
use wingshed_lib::state::configuration::{KvRates, NO_IMPORT_RATES};
use wingshed_standin::trace::{make_trace, write_trace, TraceCase, TraceDeployment, TraceOptions};

use crate::table::to_text;

/// make a trace of a load and of leaving and returning engines, reproducible by its seed
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct TraceCommand {
    /// the deployment: hotare or campanario
    #[argh(option, default = "String::from(\"hotare\")")]
    deployment: String,
    /// the case: quiet, flapping, fifth-leaves, surge, lists-differ, late-events or flapping-late
    #[argh(option, default = "String::from(\"quiet\")")]
    case: String,
    /// the length of the trace, in minutes
    #[argh(option, default = "10")]
    minutes: u64,
    /// the approximate number of requests per second
    #[argh(option, default = "100.0")]
    rate: f64,
    /// the multiple of the mean load that bounds the load of an engine
    #[argh(option, default = "1.25")]
    multiple: f64,
    /// the number of routers
    #[argh(option, default = "12")]
    routers: u32,
    /// the number of engines
    #[argh(option, default = "40")]
    engines: u32,
    /// the seed of the trace
    #[argh(option, default = "1")]
    seed: u64,
    /// the file to write
    #[argh(positional)]
    out: PathBuf,
}

/// replay a trace through the decision code, and check the outcomes that the trace expects
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayCommand {
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// also replay the baselines and the variants of the placement rule
    #[argh(switch)]
    all: bool,
    /// the seed of the random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// the trace
    #[argh(positional)]
    trace: PathBuf,
}

/// Reads a trace file. The error has a line for each finding.
pub fn load_trace(path: &PathBuf) -> Result<Trace, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    read_trace(&text).map_err(|findings| {
        let lines = findings.iter().map(|finding| format!("{}: {finding}", path.display()));
        lines.collect::<Vec<_>>().join("\n")
    })
}

/// Generates a trace and writes it to a file.
pub fn make_file(command: &TraceCommand) -> Result<bool, String> {
    let deployment = TraceDeployment::named(&command.deployment)
        .ok_or_else(|| format!("there is no deployment `{}`", command.deployment))?;
    let case = TraceCase::named(&command.case)
        .ok_or_else(|| format!("there is no case `{}`", command.case))?;
    let options = TraceOptions {
        deployment,
        case,
        minutes: command.minutes,
        rate: command.rate,
        multiple: command.multiple,
        routers: command.routers,
        engines: command.engines,
        seed: command.seed,
    };
    let trace = make_trace(&options);
    std::fs::write(&command.out, write_trace(&trace)).map_err(|error| error.to_string())?;
    println!("{}: {} lines.", command.out.display(), trace.lines.len() + 1);
    Ok(true)
}

/// Returns the placement rules to replay, with their names: the rule in use and the best reuse that
/// is possible, and with `all` the other baselines and variants. The rules that "cannot be built"
/// use knowledge that no router has.
pub fn rules(all: bool) -> Vec<(&'static str, ReplayRule)> {
    let mut rules = vec![
        ("home, best rule", ReplayRule::Home(BEST_RULE, Some(NO_IMPORT_RATES))),
        ("exact reuse (cannot be built)", ReplayRule::ExactReuse),
    ];
    if all {
        let fresh =
            |fresh| ReplayRule::Home(PlacementRule { fresh, ..BEST_RULE }, Some(NO_IMPORT_RATES));
        let imports = KvRates { import_per_ms: 40.0, ..NO_IMPORT_RATES };
        let last = PlacementRule { every_holder: false, ..BEST_RULE };
        rules.extend([
            ("home, with KV imports", ReplayRule::Home(BEST_RULE, Some(imports))),
            ("home, no wait for the holder", ReplayRule::Home(BEST_RULE, None)),
            ("home, last holder only", ReplayRule::Home(last, Some(NO_IMPORT_RATES))),
            ("home, fresh to the home's lightest", fresh(FreshRule::LightestOfHome)),
            ("home, fresh by hash, spill at home", fresh(FreshRule::FirstPlace)),
            ("home, fresh by hash, spill by order", fresh(FreshRule::OrderOnly)),
            ("exact skew (cannot be built)", ReplayRule::ExactSkew),
            ("alone, bounded hash", ReplayRule::BoundedAlone),
            ("alone, least reported", ReplayRule::LeastReported),
            ("random", ReplayRule::Random),
        ]);
    }
    rules
}

/// Replays a trace and prints the outcome of each rule. Returns true if the first rule meets all
/// expectations of the trace.
pub fn run(command: &ReplayCommand) -> Result<bool, String> {
    let trace = load_trace(&command.trace)?;
    let mut rows = Vec::new();
    let mut values = Vec::new();
    let mut outcomes = Vec::new();
    for (name, rule) in rules(command.all) {
        let started = Instant::now();
        let outcome = replay(&trace, rule, command.seed);
        let us = started.elapsed().as_micros() as f64 / outcome.requests.max(1) as f64;
        outcomes.push((name, outcome, us));
    }
    let best = outcomes.iter().find(|(name, ..)| name.starts_with("exact reuse"));
    let best_reuse = best.map_or(1.0, |(_, outcome, _)| outcome.reuse());
    for (name, outcome, us) in &outcomes {
        rows.push(to_row(name, outcome, best_reuse, *us));
        values.push(to_value(name, outcome, best_reuse));
    }
    let missed = outcomes[0].1.check(&trace.expectations, best_reuse);
    if command.json {
        println!("{}", json!({ "rules": values, "missed": missed }));
    } else {
        println!("{}", to_text(&HEAD, &rows));
        missed.iter().for_each(|text| println!("{text}"));
    }
    Ok(missed.is_empty())
}

const HEAD: [&str; 11] = [
    "rule",
    "reuse",
    "of best",
    "skew p50",
    "p99",
    "above bound",
    "refused",
    "queued",
    "hops",
    "first token p50/p99 ms",
    "us/request",
];

/// Formats the outcome of a rule as a row of the table. `best` is the best possible reuse, and `us`
/// the time per request, in microseconds.
fn to_row(name: &str, outcome: &ReplayOutcome, best: f64, us: f64) -> Vec<String> {
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    let tokens = &outcome.first_token_ms;
    vec![
        name.to_string(),
        percent(outcome.reuse_with_imports()),
        percent(outcome.reuse_with_imports() / best.max(1e-9)),
        format!("{:.3}", outcome.skew(0.5)),
        format!("{:.3}", outcome.skew(0.99)),
        outcome.above_bound.to_string(),
        percent(outcome.refused_share()),
        outcome.queued.to_string(),
        percent(outcome.hop_share()),
        format!("{}/{}", tokens.value_at_quantile(0.5), tokens.value_at_quantile(0.99)),
        format!("{us:.1}"),
    ]
}

fn to_value(name: &str, outcome: &ReplayOutcome, best: f64) -> Value {
    json!({
        "rule": name, "requests": outcome.requests, "returning": outcome.returning,
        "reuse": outcome.reuse(), "reuse_with_imports": outcome.reuse_with_imports(),
        "reuse_of_best": outcome.reuse() / best.max(1e-9),
        "skew_p50": outcome.skew(0.5), "skew_p99": outcome.skew(0.99),
        "admissions": outcome.admissions, "above_bound": outcome.above_bound,
        "worst_over": outcome.worst_over, "refused": outcome.refused, "queued": outcome.queued,
        "missed_elsewhere": outcome.missed_elsewhere, "missed_at_bound": outcome.missed_at_bound,
        "cut": outcome.cut, "hops": outcome.hops, "remote_tries": outcome.remote_tries,
        "imports": outcome.imports, "holder_waits": outcome.holder_waits, "exchanges": outcome.exchanges,
        "first_token_p50_ms": outcome.first_token_ms.value_at_quantile(0.5),
        "first_token_p99_ms": outcome.first_token_ms.value_at_quantile(0.99),
        "wait_p99_ms": outcome.workspaces().iter().map(|w| outcome.wait_ms(*w, 0.99)).collect::<Vec<_>>(),
    })
}
