//! Findings: all faults of a document, each with its location, collected and reported together, so
//! that an operator can correct a file in one pass.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;

use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// One fault of a document and its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The JSON path, such as `$.limits.in_flight`.
    pub path: String,
    /// The line of that path in the document's text, from 1; `None` until it is located.
    pub line: Option<usize>,
    /// A sentence that describes the fault.
    pub text: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(f, "line {line}: {}: {}", self.path, self.text),
            None => write!(f, "{}: {}", self.path, self.text),
        }
    }
}

/// The findings that are collected while a document is read.
#[derive(Debug, Default)]
pub struct FindingList {
    /// The findings in the order in which they were found.
    pub findings: Vec<Finding>,
}

impl FindingList {
    /// Adds a finding at `path`.
    pub fn add(&mut self, path: &str, text: impl Into<String>) {
        let finding = Finding { path: path.to_string(), line: None, text: text.into() };
        self.findings.push(finding);
    }

    /// Adds the line numbers from the document's text and sorts the findings by line.
    pub fn locate(mut self, text: &str) -> Vec<Finding> {
        let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
        let root = parsed.ok().and_then(|result| result.value);
        for finding in &mut self.findings {
            if finding.line.is_none() {
                finding.line = root.as_ref().map(|root| line_of(text, root, &finding.path));
            }
        }
        self.findings.sort_by_key(|finding| finding.line);
        self.findings
    }
}

/// Parses a document as strict JSON with an object as its root; a syntax error is a finding.
pub fn parse_document(text: &str, list: &mut FindingList) -> Option<Value> {
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(error) => {
            list.add("$", format!("not JSON: {error}"));
            list.findings.last_mut()?.line = Some(error.line());
            return None;
        }
    };
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
    if let Some(root) = parsed.ok().and_then(|result| result.value) {
        report_duplicate_keys(&root, "$", list);
    }
    if !value.is_object() {
        list.add("$", "the document must be an object");
        return None;
    }
    Some(value)
}

/// Reports duplicate keys. `serde_json` silently keeps the last one of equal keys, so that an
/// operator would not notice.
fn report_duplicate_keys(value: &ast::Value, path: &str, list: &mut FindingList) {
    match value {
        ast::Value::Object(object) => {
            let mut seen = BTreeSet::new();
            for property in &object.properties {
                let child = format!("{path}.{}", property.name.as_str());
                if !seen.insert(property.name.as_str()) {
                    list.add(&child, "this key stands twice");
                }
                report_duplicate_keys(&property.value, &child, list);
            }
        }
        ast::Value::Array(array) => {
            for (at, element) in array.elements.iter().enumerate() {
                report_duplicate_keys(element, &format!("{path}[{at}]"), list);
            }
        }
        _ => {}
    }
}

/// The line of `path`, or of its longest prefix that exists in the document.
fn line_of(text: &str, root: &ast::Value, path: &str) -> usize {
    let mut start = root.start();
    let mut value = root;
    for step in path.trim_start_matches('$').split(['.', '[']).filter(|step| !step.is_empty()) {
        let next = match value {
            ast::Value::Object(object) => {
                let found = object.properties.iter().rfind(|prop| prop.name.as_str() == step);
                found.map(|property| (property.start(), &property.value))
            }
            ast::Value::Array(array) => {
                let at = step.trim_end_matches(']').parse::<usize>().ok();
                let found = at.and_then(|at| array.elements.get(at));
                found.map(|element| (element.start(), element))
            }
            _ => None,
        };
        let Some((next_start, next_value)) = next else { break };
        start = next_start;
        value = next_value;
    }
    text[..start].bytes().filter(|byte| *byte == b'\n').count() + 1
}

/// Reads a JSON object field by field and collects its faults.
///
/// Each getter returns a usable value even after a finding, so that reading continues and all
/// findings are reported together. [`ObjectReader::finish`] has to be called at the end.
pub struct ObjectReader<'a> {
    path: String,
    map: &'a Map<String, Value>,
    seen: BTreeSet<String>,
}

impl<'a> ObjectReader<'a> {
    /// A reader of `value` at `path`; a value that is not an object is reported and read as an
    /// empty one.
    pub fn new(path: &str, value: &'a Value, list: &mut FindingList) -> ObjectReader<'a> {
        static EMPTY: std::sync::OnceLock<Map<String, Value>> = std::sync::OnceLock::new();
        let map = value.as_object().unwrap_or_else(|| {
            list.add(path, "must be an object");
            EMPTY.get_or_init(Map::new)
        });
        ObjectReader { path: path.to_string(), map, seen: BTreeSet::new() }
    }

    /// The JSON path of a field.
    pub fn path_of(&self, key: &str) -> String {
        format!("{}.{key}", self.path)
    }

    /// The raw value of a field; the key then counts as known.
    pub fn value(&mut self, key: &str) -> Option<&'a Value> {
        self.seen.insert(key.to_string());
        self.map.get(key)
    }

    /// A string that is required and must not be empty.
    pub fn text(&mut self, key: &str, list: &mut FindingList) -> String {
        let path = self.path_of(key);
        match self.value(key).map(Value::as_str) {
            Some(Some("")) => list.add(&path, "must not be empty"),
            Some(Some(text)) => return text.to_string(),
            Some(None) => list.add(&path, "must be a text"),
            None => list.add(&path, "is missing"),
        }
        String::new()
    }

    /// An optional string.
    pub fn optional_text(&mut self, key: &str, list: &mut FindingList) -> Option<String> {
        self.value(key)?;
        Some(self.text(key, list))
    }

    /// A whole number within `range`. An absent one gives `default`, or a finding if there is no
    /// default.
    pub fn number(
        &mut self,
        key: &str,
        default: Option<u64>,
        range: std::ops::RangeInclusive<u64>,
        list: &mut FindingList,
    ) -> u64 {
        let path = self.path_of(key);
        let fallback = default.unwrap_or(*range.start());
        let Some(value) = self.value(key) else {
            if default.is_none() {
                list.add(&path, "is missing");
            }
            return fallback;
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let text =
                    format!("must be a whole number from {} to {}", range.start(), range.end());
                list.add(&path, text);
                fallback
            }
        }
    }

    /// A number within `range`; an absent one gives `default`.
    pub fn ratio(
        &mut self,
        key: &str,
        default: f64,
        range: std::ops::RangeInclusive<f64>,
        list: &mut FindingList,
    ) -> f64 {
        let path = self.path_of(key);
        let Some(value) = self.value(key) else { return default };
        match value.as_f64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                list.add(
                    &path,
                    format!("must be a number from {} to {}", range.start(), range.end()),
                );
                default
            }
        }
    }

    /// A boolean; an absent one gives `default`.
    pub fn flag(&mut self, key: &str, default: bool, list: &mut FindingList) -> bool {
        let path = self.path_of(key);
        let Some(value) = self.value(key) else { return default };
        value.as_bool().unwrap_or_else(|| {
            list.add(&path, "must be true or false");
            default
        })
    }

    /// An IP address with a port. Host names are refused, since the platform assigns IP addresses
    /// only.
    pub fn address(&mut self, key: &str, list: &mut FindingList) -> SocketAddr {
        let path = self.path_of(key);
        let text = self.text(key, list);
        parse_address(&path, &text, list)
    }

    /// The elements of an array with their paths; an absent array is empty.
    pub fn array(&mut self, key: &str, list: &mut FindingList) -> Vec<(String, &'a Value)> {
        let path = self.path_of(key);
        let Some(value) = self.value(key) else { return Vec::new() };
        let Some(elements) = value.as_array() else {
            list.add(&path, "must be an array");
            return Vec::new();
        };
        let place = |(at, element)| (format!("{path}[{at}]"), element);
        elements.iter().enumerate().map(place).collect()
    }

    /// Reports all keys that no getter has read.
    pub fn finish(self, list: &mut FindingList) {
        for key in self.map.keys().filter(|key| !self.seen.contains(*key)) {
            list.add(&self.path_of(key), "unknown key");
        }
    }
}

/// Parses an IP address with a port; adds a finding and returns an unusable address if it is
/// invalid.
pub fn parse_address(path: &str, text: &str, list: &mut FindingList) -> SocketAddr {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => return address,
        Ok(_) => list.add(path, "the port must not be 0"),
        Err(_) if text.is_empty() => {}
        Err(_) => list.add(path, format!("`{text}` is not an IP number and port")),
    }
    SocketAddr::from(([0, 0, 0, 0], 0))
}
