//! Policies: short `rhai` programs that say what becomes of a request.
//!
//! A program sees the request's facts as constants (`workspace`, `service`,
//! `method`, `path`, `labels`, `prompt_tokens`) and ends in a map with at least
//! `fleet`. It is compiled once per version and runs within fixed limits; one that
//! fails or runs too long refuses that request as not run. See `docs/policies.md`.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use rhai::{Dynamic, Engine, Map, Scope, AST};
use snafu::Snafu;

use super::fair_queue::RequestClass;

/// A program may run this many operations.
pub const MOST_OPERATIONS: u64 = 20_000;

/// The facts of a request that a policy may look at.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyFacts {
    /// The workspace's name.
    pub workspace: String,
    /// The service asked for.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// Labels that the caller gave.
    pub labels: BTreeMap<String, String>,
    /// The prompt's size in tokens, about.
    pub prompt_tokens: u32,
}

/// What a policy decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyDecision {
    /// The fleet that serves it.
    pub fleet: String,
    /// Its class.
    pub class: RequestClass,
    /// How long it may wait in a queue, in milliseconds.
    pub wait_ms: u64,
    /// It must run at most once.
    pub run_once: bool,
    /// Output tokens to reckon with when the request does not say.
    pub expected_output: u32,
}

/// A policy that cannot be compiled or failed to decide.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {text}"))]
pub struct PolicyError {
    /// The line, from 1; 0 when no line is to blame.
    pub line: usize,
    /// What is wrong.
    pub text: String,
}

/// A compiled policy.
#[derive(Clone, Debug)]
pub struct PolicyProgram {
    ast: AST,
}

fn engine() -> &'static Engine {
    static ENGINE: OnceLock<Engine> = OnceLock::new();
    ENGINE.get_or_init(|| {
        let mut engine = Engine::new();
        engine.set_max_operations(MOST_OPERATIONS);
        engine.set_max_expr_depths(64, 32);
        engine.set_max_call_levels(16);
        engine.set_max_string_size(16 << 10);
        engine.set_max_array_size(1000);
        engine.set_max_map_size(100);
        engine.on_print(|_| {});
        engine.on_debug(|_, _, _| {});
        engine
    })
}

/// Compiles a program; an error names its line.
pub fn compile_policy(source: &str) -> Result<PolicyProgram, PolicyError> {
    match engine().compile(source) {
        Ok(ast) => Ok(PolicyProgram { ast }),
        Err(error) => Err(PolicyError {
            line: error.position().line().unwrap_or(0),
            text: error.err_type().to_string(),
        }),
    }
}

/// Runs a program on a request's facts.
pub fn decide_policy(
    program: &PolicyProgram,
    facts: &PolicyFacts,
) -> Result<PolicyDecision, PolicyError> {
    let mut scope = Scope::new();
    scope.push_constant("workspace", facts.workspace.clone());
    scope.push_constant("service", facts.service.clone());
    scope.push_constant("method", facts.method.clone());
    scope.push_constant("path", facts.path.clone());
    scope.push_constant("prompt_tokens", facts.prompt_tokens as i64);
    let mut labels = Map::new();
    for (name, value) in &facts.labels {
        labels.insert(name.as_str().into(), Dynamic::from(value.clone()));
    }
    scope.push_constant("labels", labels);
    let result = engine().eval_ast_with_scope::<Dynamic>(&mut scope, &program.ast);
    let value = result.map_err(|error| PolicyError {
        line: error.position().line().unwrap_or(0),
        text: plain_text(&error),
    })?;
    let map = value.try_cast::<Map>().ok_or_else(|| PolicyError {
        line: 0,
        text: "the program must end in a map, such as #{ fleet: \"engines\" }".to_string(),
    })?;
    read_decision(&map)
}

fn plain_text(error: &rhai::EvalAltResult) -> String {
    match error {
        rhai::EvalAltResult::ErrorTooManyOperations(_) => {
            format!("ran more than {MOST_OPERATIONS} operations")
        }
        other => other.to_string(),
    }
}

fn read_decision(map: &Map) -> Result<PolicyDecision, PolicyError> {
    let mut decision = PolicyDecision {
        fleet: String::new(),
        class: RequestClass::Normal,
        wait_ms: 2000,
        run_once: false,
        expected_output: 256,
    };
    for (key, value) in map {
        let good = match key.as_str() {
            "fleet" => set(&mut decision.fleet, value.clone().into_string().ok()),
            "class" => {
                let name = value.clone().into_string().ok();
                set(&mut decision.class, name.and_then(|name| RequestClass::named(&name)))
            }
            "wait_ms" => set(&mut decision.wait_ms, whole(value, 86_400_000)),
            "run_once" => set(&mut decision.run_once, value.as_bool().ok()),
            "expected_output" => {
                set(&mut decision.expected_output, whole(value, 1 << 20).map(|n| n as u32))
            }
            _ => return Err(bad(format!("`{key}` is not a part of a decision"))),
        };
        if !good {
            return Err(bad(format!("`{value}` does not do as `{key}`")));
        }
    }
    match decision.fleet.is_empty() {
        true => Err(bad("the decision names no fleet".to_string())),
        false => Ok(decision),
    }
}

fn set<T>(place: &mut T, value: Option<T>) -> bool {
    match value {
        Some(value) => {
            *place = value;
            true
        }
        None => false,
    }
}

fn whole(value: &Dynamic, most: u64) -> Option<u64> {
    let number = value.as_int().ok()?;
    u64::try_from(number).ok().filter(|number| *number <= most)
}

fn bad(text: String) -> PolicyError {
    PolicyError { line: 0, text }
}
