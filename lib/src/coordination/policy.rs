//! Policies: short `rhai` programs that choose the fleet for a request and how it is handled.
//!
//! A program gets the request's facts as constants (`workspace`, `service`, `method`, `path`,
//! `labels`, `prompt_tokens`) and ends in a map with at least `fleet`. It is compiled once per
//! version and runs within fixed limits; if it fails or exceeds them, the request is refused as not
//! run. See `docs/policies.md`.

use std::collections::BTreeMap;
use std::sync::OnceLock;

use rhai::{Dynamic, Engine, Map, Scope, AST};
use snafu::Snafu;

use super::fair_queue::RequestClass;

/// The maximum number of operations that a program may run for one request.
pub const MAX_OPERATIONS: u64 = 20_000;

/// The facts of a request that a policy can read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyFacts {
    /// The workspace's name.
    pub workspace: String,
    /// The requested service.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// The path without its query.
    pub path: String,
    /// The labels that the caller set.
    pub labels: BTreeMap<String, String>,
    /// The approximate size of the prompt, in tokens.
    pub prompt_tokens: u32,
}

/// The decision of a policy on one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyDecision {
    /// The fleet that serves the request.
    pub fleet: String,
    /// The class of the request.
    pub class: RequestClass,
    /// The maximum time in a queue, in milliseconds.
    pub wait_ms: u64,
    /// Whether the request must run at most once.
    pub run_once: bool,
    /// The number of output tokens to assume if the request doesn't state a maximum.
    pub expected_output: u32,
}

/// The error of a policy that cannot be compiled or failed to decide.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("line {line}: {text}"))]
pub struct PolicyError {
    /// The line number from 1, or 0 if the error isn't at a line.
    pub line: usize,
    /// The error message.
    pub text: String,
}

/// A compiled policy.
#[derive(Clone, Debug)]
pub struct PolicyProgram {
    ast: AST,
}

/// Returns the script engine with its limits, which all programs share.
fn engine() -> &'static Engine {
    static ENGINE: OnceLock<Engine> = OnceLock::new();
    ENGINE.get_or_init(|| {
        let mut engine = Engine::new();
        engine.set_max_operations(MAX_OPERATIONS);
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

/// Compiles a program. The error has the line number.
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
        text: error_text(&error),
    })?;
    let map = value.try_cast::<Map>().ok_or_else(|| PolicyError {
        line: 0,
        text: "the program must end in a map, such as #{ fleet: \"engines\" }".to_string(),
    })?;
    read_decision(&map)
}

fn error_text(error: &rhai::EvalAltResult) -> String {
    match error {
        rhai::EvalAltResult::ErrorTooManyOperations(_) => {
            format!("ran more than {MAX_OPERATIONS} operations")
        }
        other => other.to_string(),
    }
}

/// Reads a decision from the map that a program returned. Absent parts get their defaults.
fn read_decision(map: &Map) -> Result<PolicyDecision, PolicyError> {
    let mut decision = PolicyDecision {
        fleet: String::new(),
        class: RequestClass::Normal,
        wait_ms: 2000,
        run_once: false,
        expected_output: 256,
    };
    for (key, value) in map {
        let valid = match key.as_str() {
            "fleet" => set(&mut decision.fleet, value.clone().into_string().ok()),
            "class" => {
                let name = value.clone().into_string().ok();
                set(&mut decision.class, name.and_then(|name| RequestClass::named(&name)))
            }
            "wait_ms" => set(&mut decision.wait_ms, bounded_int(value, 86_400_000)),
            "run_once" => set(&mut decision.run_once, value.as_bool().ok()),
            "expected_output" => {
                set(&mut decision.expected_output, bounded_int(value, 1 << 20).map(|n| n as u32))
            }
            _ => return Err(decision_error(format!("`{key}` is not a part of a decision"))),
        };
        if !valid {
            return Err(decision_error(format!("`{value}` does not do as `{key}`")));
        }
    }
    match decision.fleet.is_empty() {
        true => Err(decision_error("the decision names no fleet".to_string())),
        false => Ok(decision),
    }
}

/// Sets `target` if there is a value, and returns whether there was.
fn set<T>(target: &mut T, value: Option<T>) -> bool {
    match value {
        Some(value) => {
            *target = value;
            true
        }
        None => false,
    }
}

/// Returns the integer value if it is from 0 to `max`.
fn bounded_int(value: &Dynamic, max: u64) -> Option<u64> {
    let number = value.as_int().ok()?;
    u64::try_from(number).ok().filter(|number| *number <= max)
}

fn decision_error(text: String) -> PolicyError {
    PolicyError { line: 0, text }
}
