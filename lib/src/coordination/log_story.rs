//! The story of one request, or of a span of time, out of the logs of several VMs.
//!
//! What a VM believed when it decided stands in the last lines of its parts before the request;
//! what others saw of the same upstream stands in their lines of the same time. Nothing else is
//! needed to see who knew what. See `docs/OPERATIONS.md`.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;
use serde_json::Value;

/// What happened this long before a request may have to do with it, in seconds.
const BEFORE_S: f64 = 3.0;
/// What happened this long after it may still show its cause, in seconds.
const AFTER_S: f64 = 0.5;
/// Lines of one kind beside the request's own; more would bury it.
const MOST_BESIDE: usize = 12;
/// Parts whose last line shows what a VM believes.
const BELIEFS: [&str; 5] = ["node", "routes", "contact", "list", "keeper"];

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// Seconds: of the prefix if the line has one, else since 1970.
    pub at_s: f64,
    /// The VM that wrote it.
    pub vm: String,
    /// The part.
    pub part: String,
    /// What it says.
    pub message: String,
    /// Its fields.
    pub fields: BTreeMap<String, Value>,
}

/// Why a line is in a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StoryReason {
    /// It names the request.
    Request,
    /// The last line of a part before the request: what the VM believed.
    Belief,
    /// It happened to the same VM meanwhile.
    SameVm,
    /// Another request met the same upstream.
    SameUpstream,
    /// It lies in the span that was asked for.
    Span,
}

/// A line and why it is listed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoryLine {
    /// Why.
    pub reason: StoryReason,
    /// The line.
    #[serde(flatten)]
    pub line: LogLine,
}

/// Reads the lines of one VM's log; `vm` is its name unless the lines have a prefix that says so.
/// Lines that are no log lines are passed over, and counted.
pub fn read_log(vm: &str, text: &str) -> (Vec<LogLine>, usize) {
    let mut lines = Vec::new();
    let mut other = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match read_line(vm, line) {
            Some(line) => lines.push(line),
            None => other += 1,
        }
    }
    (lines, other)
}

fn read_line(vm: &str, line: &str) -> Option<LogLine> {
    let begin = line.find('{')?;
    let mut fields: BTreeMap<String, Value> = serde_json::from_str(line[begin..].trim()).ok()?;
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    let (part, message) = (take("target")?, take("message").unwrap_or_default());
    let stamp = take("timestamp");
    let mut prefix = line[..begin].split_whitespace();
    let prefix_s = prefix.next().and_then(|word| word.parse().ok());
    let at_s = prefix_s.or_else(|| read_time(&stamp?))?;
    let vm = prefix.next().filter(|_| prefix_s.is_some()).unwrap_or(vm).to_string();
    Some(LogLine { at_s, vm, part, message, fields })
}

/// Seconds since 1970 of a time like `2026-12-02T15:14:55.250Z`.
fn read_time(text: &str) -> Option<f64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|word| word.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.splitn(3, ':').map(|word| word.parse::<f64>().ok());
    let (hours, minutes, seconds) = (time.next()??, time.next()??, time.next()??);
    // Days by the calendar whose year begins in March (Howard Hinnant, "days_from_civil").
    let year = if month <= 2 { year - 1 } else { year };
    let (era, month_from_march) = (year.div_euclid(400), (month + 9) % 12);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * month_from_march + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    let days = era * 146_097 + day_of_era - 719_468;
    Some(days as f64 * 86_400.0 + hours * 3600.0 + minutes * 60.0 + seconds)
}

/// The story of one request by the name of its attempt; empty when no line names it.
pub fn request_story(lines: &[LogLine], attempt: &str) -> Vec<StoryLine> {
    let own = |line: &&LogLine| line.fields.get("attempt").is_some_and(|name| name == attempt);
    let own_lines: Vec<&LogLine> = lines.iter().filter(own).collect();
    let times = || own_lines.iter().map(|line| line.at_s);
    let Some(first_s) = times().min_by(f64::total_cmp) else { return Vec::new() };
    let last_s = times().max_by(f64::total_cmp).unwrap_or(first_s);
    let vms: BTreeSet<&str> = own_lines.iter().map(|line| line.vm.as_str()).collect();
    let lives: Vec<&Value> = own_lines.iter().filter_map(|line| line.fields.get("life")).collect();

    let mut story = Vec::new();
    let mut add = |reason, found: Vec<&LogLine>| {
        story.extend(found.into_iter().map(|line| StoryLine { reason, line: line.clone() }));
    };
    for vm in &vms {
        add(StoryReason::Belief, beliefs(lines, vm, first_s));
        add(StoryReason::Belief, rollout_beliefs(lines, vm, &own_lines, first_s));
    }
    let near = |line: &&LogLine| {
        // What was sent to a version under trial for other requests would bury this one: 12 lines of
        // 31 in the story of a request of a trial of four VMs.
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
        |line: &&LogLine| line.fields.get("life").is_some_and(|life| lives.contains(&life));
    let beside = lines.iter().filter(near).filter(same_upstream);
    add(StoryReason::SameUpstream, nearest(beside.collect(), first_s));
    add(StoryReason::Request, own_lines);
    in_order(story)
}

/// Everything that the VMs said between two times.
pub fn span_story(lines: &[LogLine], from_s: f64, to_s: f64) -> Vec<StoryLine> {
    let inside = lines.iter().filter(|line| line.at_s >= from_s && line.at_s <= to_s);
    let listed = inside.map(|line| StoryLine { reason: StoryReason::Span, line: line.clone() });
    in_order(listed.collect())
}

/// The last line of each part that shows a belief, before a time and outside what is near it.
fn beliefs<'a>(lines: &'a [LogLine], vm: &str, before_s: f64) -> Vec<&'a LogLine> {
    let last = |part: &&str| {
        let own = lines.iter().filter(|line| line.vm == vm && line.part == **part);
        let before = own.filter(|line| line.at_s < before_s - BEFORE_S);
        before.max_by(|a, b| a.at_s.total_cmp(&b.at_s))
    };
    BELIEFS.iter().filter_map(last).collect()
}

/// What a VM knew of the roll-outs that a request belonged to: the last line of each before a time.
fn rollout_beliefs<'a>(
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
            let news = line.part == "rollout" && !line.fields.contains_key("attempt");
            news && line.vm == vm && line.fields.get("service") == Some(&service)
        });
        let before = orders.filter(|line| line.at_s <= before_s);
        before.max_by(|a, b| a.at_s.total_cmp(&b.at_s))
    };
    services.into_iter().filter_map(last).collect()
}

fn nearest(mut lines: Vec<&LogLine>, to_s: f64) -> Vec<&LogLine> {
    lines.sort_by(|a, b| (a.at_s - to_s).abs().total_cmp(&(b.at_s - to_s).abs()));
    lines.truncate(MOST_BESIDE);
    lines
}

/// By time; a line with two reasons is listed for the first of them.
fn in_order(mut story: Vec<StoryLine>) -> Vec<StoryLine> {
    story.sort_by(|a, b| a.line.at_s.total_cmp(&b.line.at_s));
    let mut listed: Vec<StoryLine> = Vec::new();
    for line in story {
        if !listed.iter().rev().take(MOST_BESIDE).any(|other| other.line == line.line) {
            listed.push(line);
        }
    }
    listed
}
