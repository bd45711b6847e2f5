//! Tables of test cases for a policy. A case has the facts of a request and the expected decision.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::policy::{compile_policy, decide_policy, PolicyDecision, PolicyError, PolicyFacts};
use crate::state::finding::Finding;

/// A table of test cases for one policy.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyTable {
    /// The policy's file name, relative to the table.
    pub policy: String,
    /// The cases.
    pub cases: Vec<PolicyCase>,
}

/// One test case.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyCase {
    /// The name of the case.
    pub name: String,
    /// The facts of the request.
    #[serde(default)]
    pub facts: CaseFacts,
    /// The expected decision.
    pub expect: CaseExpectation,
}

/// The facts of a case. An absent fact is empty.
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

/// The expected decision. An absent part isn't compared.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CaseExpectation {
    fleet: Option<String>,
    class: Option<String>,
    wait_ms: Option<u64>,
    run_once: Option<bool>,
    expected_output: Option<u32>,
    /// If set, the policy must fail with an error message that contains this text.
    error: Option<String>,
}

/// The result of a case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseOutcome {
    /// The case's name.
    pub name: String,
    /// The differences from the expected decision; empty if the case passed.
    pub differences: Vec<String>,
}

/// Parses a table of cases.
pub fn read_cases(text: &str) -> Result<PolicyTable, Vec<Finding>> {
    serde_json::from_str(text).map_err(|error| {
        let line = Some(error.line());
        vec![Finding { path: "$".to_string(), line, text: error.to_string() }]
    })
}

/// Runs all cases of a table against the policy's source.
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
        let differences = compare(&case.expect, decide_policy(&program, &facts));
        CaseOutcome { name: case.name.clone(), differences }
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
    let mut differences = Vec::new();
    let class = decision.class.name().to_string();
    compare_part("fleet", expected.fleet.as_ref(), &decision.fleet, &mut differences);
    compare_part("class", expected.class.as_ref(), &class, &mut differences);
    compare_part("wait_ms", expected.wait_ms.as_ref(), &decision.wait_ms, &mut differences);
    compare_part("run_once", expected.run_once.as_ref(), &decision.run_once, &mut differences);
    let output = &decision.expected_output;
    compare_part("expected_output", expected.expected_output.as_ref(), output, &mut differences);
    differences
}

fn compare_part<T: PartialEq + std::fmt::Debug>(
    name: &str,
    expected: Option<&T>,
    found: &T,
    differences: &mut Vec<String>,
) {
    if let Some(expected) = expected.filter(|expected| *expected != found) {
        differences.push(format!("{name} is {found:?}, expected {expected:?}"));
    }
}
