//! Checks a settings or configuration document: detects its kind and collects all findings.

use serde_json::Value;

use super::policy::compile_policy;
use crate::state::configuration::{
    read_configuration_with, Configuration, EntryOperation, Section,
};
use crate::state::finding::{Finding, FindingList};
use crate::state::settings::{read_keeper_settings, read_router_settings};

/// Reads a file that a document refers to. The error is a text that says why it cannot be read.
pub type FileReader<'a> = dyn Fn(&str) -> Result<String, String> + 'a;

/// Checks a document and returns its kind.
pub fn check_text(text: &str, files: &FileReader<'_>) -> Result<&'static str, Vec<Finding>> {
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    match value.get("role").and_then(Value::as_str) {
        Some("router") => read_router_settings(text).map(|_| "router's settings"),
        Some("keeper") => read_keeper_settings(text).map(|_| "keeper's settings"),
        Some(other) => {
            let mut list = FindingList::default();
            list.add("$.role", format!("`{other}` is neither router nor keeper"));
            Err(list.locate(text))
        }
        None => read_configuration_file(text, files).map(|_| "configuration"),
    }
}

/// Reads a configuration and compiles its policies. A policy may be in a file of its own, named by
/// `source_file`.
pub fn read_configuration_file(
    text: &str,
    files: &FileReader<'_>,
) -> Result<Configuration, Vec<Finding>> {
    read_configuration_with(text, |value, list| {
        let policies = value.get_mut("policies").and_then(Value::as_object_mut);
        for (name, policy) in policies.into_iter().flatten() {
            resolve_source(name, policy, files, list);
            check_policy(name, policy, list);
        }
    })
}

/// Replaces `source_file` of a policy by the file's content in `source`.
fn resolve_source(name: &str, policy: &mut Value, files: &FileReader<'_>, list: &mut FindingList) {
    let Some(entry) = policy.as_object_mut() else { return };
    let Some(file) = entry.remove("source_file") else { return };
    let path = format!("$.policies.{name}.source_file");
    let Some(file) = file.as_str() else { return list.add(&path, "must be a text") };
    match files(file) {
        Ok(source) => drop(entry.insert("source".to_string(), Value::String(source))),
        Err(error) => {
            list.add(&path, format!("cannot read `{file}`: {error}"));
            // A missing or empty source would lead to a second finding for the same fault.
            entry.insert("source".to_string(), Value::String("#{}".to_string()));
        }
    }
}

/// Adds a finding if the policy's program doesn't compile.
fn check_policy(name: &str, policy: &Value, list: &mut FindingList) {
    let Some(source) = policy.get("source").and_then(Value::as_str) else { return };
    if let Err(error) = compile_policy(source) {
        list.add(&format!("$.policies.{name}"), format!("the program does not compile: {error}"));
    }
}

/// Compiles the policies of a change, so that a policy that doesn't compile never reaches a router.
pub fn check_operations(operations: &[EntryOperation]) -> Vec<Finding> {
    let mut list = FindingList::default();
    for operation in operations {
        if let EntryOperation::Put { section: Section::Policies, name, value } = operation {
            check_policy(name, value, &mut list);
        }
    }
    list.findings
}
