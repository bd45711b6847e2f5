//! Tables of cases for a policy: facts in, decision out.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::policy::{compile_policy, decide_policy, PolicyDecision, PolicyError, PolicyFacts};
use crate::state::finding::Finding;

/// A table of cases.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyTable {
    /// The policy's file, beside the table.
    pub policy: String,
    /// The cases.
    pub cases: Vec<PolicyCase>,
}

/// One case.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyCase {
    /// What it shows.
    pub name: String,
    /// The request.
    #[serde(default)]
    pub facts: CaseFacts,
    /// What must come of it.
    pub expect: CaseExpectation,
}

/// The facts of a case; what is absent is empty.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CaseFacts {
    workspace: String,
    service: String,
    method: String,
    path: String,
    labels: BTreeMap<String, String>,
    prompt_tokens: u32,
}

/// The expected decision; what is absent is not compared.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CaseExpectation {
    fleet: Option<String>,
    class: Option<String>,
    wait_ms: Option<u64>,
    run_once: Option<bool>,
    expected_output: Option<u32>,
    /// The policy must fail, with this in its message.
    error: Option<String>,
}

/// What came of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseOutcome {
    /// The case's name.
    pub name: String,
    /// What did not come out; empty when all did.
    pub missed: Vec<String>,
}

/// Reads a table.
pub fn read_cases(text: &str) -> Result<PolicyTable, Vec<Finding>> {
    serde_json::from_str(text).map_err(|error| {
        let line = Some(error.line());
        vec![Finding { path: "$".to_string(), line, text: error.to_string() }]
    })
}

/// Runs a table against the policy's source.
pub fn run_cases(table: &PolicyTable, source: &str) -> Result<Vec<CaseOutcome>, PolicyError> {
    let program = compile_policy(source)?;
    let run = |case: &PolicyCase| {
        let facts = PolicyFacts {
            workspace: case.facts.workspace.clone(),
            service: case.facts.service.clone(),
            method: case.facts.method.clone(),
            path: case.facts.path.clone(),
            labels: case.facts.labels.clone(),
            prompt_tokens: case.facts.prompt_tokens,
        };
        let missed = compare(&case.expect, decide_policy(&program, &facts));
        CaseOutcome { name: case.name.clone(), missed }
    };
    Ok(table.cases.iter().map(run).collect())
}

fn compare(
    expected: &CaseExpectation,
    decided: Result<PolicyDecision, PolicyError>,
) -> Vec<String> {
    let decision = match (decided, &expected.error) {
        (Ok(decision), None) => decision,
        (Err(error), Some(text)) if error.to_string().contains(text) => return Vec::new(),
        (Err(error), _) => return vec![format!("it failed: {error}")],
        (Ok(_), Some(text)) => return vec![format!("it should have failed with `{text}`")],
    };
    let mut missed = Vec::new();
    let class = decision.class.name().to_string();
    compare_one("fleet", expected.fleet.as_ref(), &decision.fleet, &mut missed);
    compare_one("class", expected.class.as_ref(), &class, &mut missed);
    compare_one("wait_ms", expected.wait_ms.as_ref(), &decision.wait_ms, &mut missed);
    compare_one("run_once", expected.run_once.as_ref(), &decision.run_once, &mut missed);
    let output = &decision.expected_output;
    compare_one("expected_output", expected.expected_output.as_ref(), output, &mut missed);
    missed
}

fn compare_one<T: PartialEq + std::fmt::Debug>(
    name: &str,
    expected: Option<&T>,
    found: &T,
    missed: &mut Vec<String>,
) {
    if let Some(expected) = expected.filter(|expected| *expected != found) {
        missed.push(format!("{name} is {found:?}, expected {expected:?}"));
    }
}
