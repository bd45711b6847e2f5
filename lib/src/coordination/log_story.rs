//! Collects the log lines that explain one request or a span of time, out of the logs of several
//! VMs.
//!
//! The state on which a VM based a decision is in the last lines of its parts before the request.
//! The state of the same upstream on other VMs is in their lines of the same time. See
//! `docs/OPERATIONS.md`.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value;

/// Lines of at most this long before a request may be related to it, in seconds.
const BEFORE_S: f64 = 3.0;
/// Lines of at most this long after a request may still show its cause, in seconds.
const AFTER_S: f64 = 0.5;
/// The maximum number of lines for each reason other than the request itself. More would hide the
/// request's own lines.
const MAX_NEARBY_LINES: usize = 12;
/// The parts (log targets) whose last line shows the state on which a VM bases decisions.
const STATE_PARTS: [&str; 5] = ["node", "routes", "contact", "list", "keeper"];

/// One parsed log line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// The time in seconds: of the line's prefix if it has one, else since 1970.
    pub at_s: f64,
    /// The VM that wrote the line.
    pub vm: String,
    /// The part of the VM, from the log target.
    pub part: String,
    /// The message.
    pub message: String,
    /// The other fields.
    pub fields: BTreeMap<String, Value>,
}

/// The reason why a line is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoryReason {
    /// The line has the request's attempt.
    Request,
    /// The last line of a part before the request: the state on which the VM based its decision.
    #[serde(rename = "belief")]
    VmState,
    /// The line is from the same VM, shortly before or after the request.
    SameVm,
    /// The line is about another request to the same upstream.
    SameUpstream,
    /// The line lies in the requested span of time.
    Span,
}

/// A line and the reason why it is listed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoryLine {
    /// The reason.
    pub reason: StoryReason,
    /// The line.
    #[serde(flatten)]
    pub line: LogLine,
}

/// Reads the log of one VM and returns its lines and the number of lines that could not be parsed,
/// which are skipped. `vm` is the VM's name unless the lines have a prefix that contains it.
pub fn read_log(vm: &str, text: &str) -> (Vec<LogLine>, usize) {
    let mut lines = Vec::new();
    let mut unparsed = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match read_line(vm, line) {
            Some(line) => lines.push(line),
            None => unparsed += 1,
        }
    }
    (lines, unparsed)
}

fn read_line(vm: &str, line: &str) -> Option<LogLine> {
    let json_start = line.find('{')?;
    let mut fields: BTreeMap<String, Value> =
        serde_json::from_str(line[json_start..].trim()).ok()?;
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (part, message) = (take("target")?, take("message").unwrap_or_default());
    let timestamp = take("timestamp");
    let mut prefix = line[..json_start].split_whitespace();
    let prefix_s = prefix.next().and_then(|word| word.parse().ok());
    let at_s = prefix_s.or_else(|| read_time(&timestamp?))?;
    let vm = prefix.next().filter(|_| prefix_s.is_some()).unwrap_or(vm).to_string();
    Some(LogLine { at_s, vm, part, message, fields })
}

/// Parses a time like `2026-12-02T15:14:55.250Z` into seconds since 1970.
fn read_time(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|word| word.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.splitn(3, ':').map(|word| word.parse::<f64>().ok());
    let (hours, minutes, seconds) = (time.next()??, time.next()??, time.next()??);
    // Computes the days by a calendar whose year begins in March (Howard Hinnant,
    // "days_from_civil").
    let year = if month <= 2 { year - 1 } else { year };
    let (era, month_from_march) = (year.div_euclid(400), (month + 9) % 12);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = era * 146_097 + day_of_era - 719_468;
    Some(days as f64 * 86_400.0 + hours * 3600.0 + minutes * 60.0 + seconds)
}

/// Returns the lines that explain a request, given its attempt; empty if no line has it.
pub fn request_story(lines: &[LogLine], attempt: &str) -> Vec<StoryLine> {
    let own = |line: &&LogLine| line.fields.get("attempt").is_some_and(|name| name == attempt);
    let own_lines: Vec<&LogLine> = lines.iter().filter(own).collect();
    let times = || own_lines.iter().map(|line| line.at_s);
    let Some(first_s) = times().min_by(f64::total_cmp) else { return Vec::new() };
    let last_s = times().max_by(f64::total_cmp).unwrap_or(first_s);
    let vms: BTreeSet<&str> = own_lines.iter().map(|line| line.vm.as_str()).collect();
    let names: Vec<&Value> = own_lines.iter().filter_map(|line| line.fields.get("life")).collect();

    let mut story = Vec::new();
    let mut add = |reason, found: Vec<&LogLine>| {
        story.extend(found.into_iter().map(|line| StoryLine { reason, line: line.clone() }));
    };
    for vm in &vms {
        add(StoryReason::VmState, state_lines(lines, vm, first_s));
        add(StoryReason::VmState, rollout_state_lines(lines, vm, &own_lines, first_s));
    }
    let near = |line: &&LogLine| {
        // Lines about other requests to a version under trial would hide this request's lines: they
        // were 12 of 31 lines for a request of a trial with four VMs.
        let of_another = line.part == "rollout" && line.fields.contains_key("attempt");
        let beside = line.at_s >= first_s - BEFORE_S && line.at_s <= last_s + AFTER_S;
        beside && !of_another && !own(line)
    };
    let same_vm = |line: &&LogLine| {
        let part = line.part.as_str();
        vms.contains(line.vm.as_str()) && part != "request" && part != "upstream"
    };
    let beside = lines.iter().filter(near).filter(same_vm);
    add(StoryReason::SameVm, nearest(beside.collect(), first_s));
    let same_upstream =
        |line: &&LogLine| line.fields.get("life").is_some_and(|name| names.contains(&name));
    let beside = lines.iter().filter(near).filter(same_upstream);
    add(StoryReason::SameUpstream, nearest(beside.collect(), first_s));
    add(StoryReason::Request, own_lines);
    in_order(story)
}

/// Returns all lines between two times.
pub fn span_story(lines: &[LogLine], from_s: f64, to_s: f64) -> Vec<StoryLine> {
    let inside = lines.iter().filter(|line| line.at_s >= from_s && line.at_s <= to_s);
    let listed = inside.map(|line| StoryLine { reason: StoryReason::Span, line: line.clone() });
    in_order(listed.collect())
}

/// Returns the last line of each of [`STATE_PARTS`] that is too old to be listed as near
/// `before_s`.
fn state_lines<'a>(lines: &'a [LogLine], vm: &str, before_s: f64) -> Vec<&'a LogLine> {
    let last = |part: &&str| {
        let own = lines.iter().filter(|line| line.vm == vm && line.part == **part);
        let before = own.filter(|line| line.at_s < before_s - BEFORE_S);
        before.max_by(|a, b| a.at_s.total_cmp(&b.at_s))
    };
    STATE_PARTS.iter().filter_map(last).collect()
}

/// Returns the state that a VM had of the roll-outs of a request's services: the last line of each
/// service up to `before_s`.
fn rollout_state_lines<'a>(
    lines: &'a [LogLine],
    vm: &str,
    own_lines: &[&LogLine],
    before_s: f64,
) -> Vec<&'a LogLine> {
    let of_rollout = |line: &&&LogLine| line.part == "rollout" && line.vm == vm;
    let service = |line: &&LogLine| line.fields.get("service").cloned();
    let services = own_lines.iter().filter(of_rollout).filter_map(service);
    let mut services: Vec<Value> = services.collect();
    services.dedup();
    let last = |service: Value| {
        let orders = lines.iter().filter(|line| {
            let order_changes = line.part == "rollout" && !line.fields.contains_key("attempt");
            order_changes && line.vm == vm && line.fields.get("service") == Some(&service)
        });
        let before = orders.filter(|line| line.at_s <= before_s);
        before.max_by(|a, b| a.at_s.total_cmp(&b.at_s))
    };
    services.into_iter().filter_map(last).collect()
}

/// Returns the lines closest in time to `to_s`, [`MAX_NEARBY_LINES`] at most.
fn nearest(mut lines: Vec<&LogLine>, to_s: f64) -> Vec<&LogLine> {
    lines.sort_by(|a, b| (a.at_s - to_s).abs().total_cmp(&(b.at_s - to_s).abs()));
    lines.truncate(MAX_NEARBY_LINES);
    lines
}

/// Sorts the lines by time and lists a line with two reasons once, with the first of them.
fn in_order(mut story: Vec<StoryLine>) -> Vec<StoryLine> {
    story.sort_by(|a, b| a.line.at_s.total_cmp(&b.line.at_s));
    let mut listed: Vec<StoryLine> = Vec::new();
    for line in story {
        if !listed.iter().rev().take(MAX_NEARBY_LINES).any(|other| other.line == line.line) {
            listed.push(line);
        }
    }
    listed
}
