//! Tests what operators can explain failures from: bounded logs, metrics, and the log lines
//! collected for a request.

use std::path::Path;

use wingshed_lib::coordination::line_budget::{
    LineBudget, LineVerdict, LINES_IN_TOTAL, LINES_PER_PLACE,
};
use wingshed_lib::coordination::log_story::{
    read_log, request_story, span_story, LogLine, StoryReason,
};
use wingshed_lib::state::vm_figures::{RequestEnd, VmCounters, MAX_WORKSPACES, OTHER_WORKSPACES};
use wingshed_lib::transport::vm_metrics::METRICS;

fn count(verdicts: &[LineVerdict], matches: fn(&LineVerdict) -> bool) -> usize {
    verdicts.iter().filter(|verdict| matches(verdict)).count()
}

#[test]
fn repeats_of_one_place_are_folded_and_told_with_its_next_line() {
    let mut budget = LineBudget::default();
    let many: Vec<LineVerdict> = (0..50).map(|_| budget.take("silent", 10)).collect();
    let other = budget.take("starts", 10);

    let next = budget.take("silent", 1000);

    let written = |verdict: &LineVerdict| matches!(verdict, LineVerdict::Write { .. });
    assert_eq!(count(&many, written), LINES_PER_PLACE as usize);
    assert_eq!(count(&many, |verdict| *verdict == LineVerdict::Fold), 30);
    assert_eq!(other, LineVerdict::Write { folded: 0, dropped: 0 }, "another cause is written");
    assert_eq!(next, LineVerdict::Write { folded: 30, dropped: 0 });
}

#[test]
fn a_process_never_writes_more_than_its_bound() {
    let mut budget = LineBudget::default();
    let places = 0..LINES_IN_TOTAL * 3;
    let verdicts: Vec<LineVerdict> = places.map(|place| budget.take(place, 999)).collect();
    budget.note_lost(1);

    let next = budget.take(0, 1000);

    let written = |verdict: &LineVerdict| matches!(verdict, LineVerdict::Write { .. });
    assert_eq!(count(&verdicts, written), LINES_IN_TOTAL as usize);
    let dropped = LINES_IN_TOTAL * 2 + 1;
    assert_eq!(next, LineVerdict::Write { folded: 0, dropped });
}

#[test]
fn histograms_are_bounded_and_lose_nothing() {
    let mut figures = VmCounters::default();
    for number in 0..MAX_WORKSPACES * 2 {
        figures.note_first_byte(Some(&format!("w{number}")), 10 * number as u64);
    }
    figures.note_first_byte(None, 1_000_000);
    figures.note_end(RequestEnd::Refused);

    let rows: Vec<_> = figures.first_bytes().collect();
    assert!(rows.len() <= MAX_WORKSPACES + 1, "{}", rows.len());
    let all: u64 = rows.iter().map(|(_, histogram)| histogram.count()).sum();
    assert_eq!(all, MAX_WORKSPACES as u64 * 2 + 1);
    let (_, other) = rows.iter().find(|(name, _)| *name == OTHER_WORKSPACES).unwrap();
    assert_eq!(other.count(), MAX_WORKSPACES as u64 + 1);
    assert_eq!(*other.counts.last().unwrap(), 1, "the longest is beyond all buckets");
    assert_eq!(figures.ended(RequestEnd::Refused), 1);
}

#[test]
fn the_table_of_figures_is_the_code() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/operators/metrics.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let listed: Vec<Vec<&str>> = rows
        .map(|row| row.split('|').map(|cell| cell.trim().trim_matches('`')).collect())
        .collect();

    let code: Vec<Vec<&str>> =
        METRICS.iter().map(|(name, kind, help)| vec![*name, *kind, *help, ""]).collect();
    assert_eq!(listed, code);
}

const LOG: &str = r#"
  -9.5000 vm-a {"timestamp":"2026-01-01T00:00:00.5Z","level":"INFO","message":"in force","version":3,"target":"routes"}
  -1.0000 vm-a {"timestamp":"2026-01-01T00:00:09Z","level":"INFO","message":"in force","version":4,"target":"routes"}
   4.0000 vm-b {"timestamp":"2026-01-01T00:00:14Z","level":"INFO","message":"broken","life":"i-1","attempt":"x2","target":"upstream"}
   4.5000 vm-a {"timestamp":"2026-01-01T00:00:14.5Z","level":"INFO","message":"renewed","leader":"10.0.0.1","target":"contact"}
   5.0000 vm-a {"timestamp":"2026-01-01T00:00:15Z","level":"INFO","message":"broken","life":"i-1","attempt":"x1","target":"upstream"}
   5.0010 vm-a {"timestamp":"2026-01-01T00:00:15.001Z","level":"INFO","message":"failed: broken","sent":1,"attempt":"x1","target":"request"}
   9.0000 vm-b {"timestamp":"2026-01-01T00:00:19Z","level":"INFO","message":"broken","life":"i-1","attempt":"x3","target":"upstream"}
what a bench prints beside it
"#;

fn log() -> Vec<LogLine> {
    let (lines, other) = read_log("file", LOG);
    assert_eq!((lines.len(), other), (7, 1));
    lines
}

#[test]
fn the_story_of_a_request_names_beliefs_and_what_others_saw() {
    let story = request_story(&log(), "x1");

    let listed: Vec<(StoryReason, f64)> =
        story.iter().map(|listed| (listed.reason, listed.line.at_s)).collect();
    let expected = [
        (StoryReason::VmState, -1.0),
        (StoryReason::SameUpstream, 4.0),
        (StoryReason::SameVm, 4.5),
        (StoryReason::Request, 5.0),
        (StoryReason::Request, 5.001),
    ];
    assert_eq!(listed, expected);
    assert!(request_story(&log(), "x9").is_empty(), "no line has it");
}

const TRIAL_LOG: &str = r#"
   1.0000 vm-a {"message":"is known","service":"s1","to":"v2","number":3,"phase":"Trial","target":"rollout"}
   1.1000 vm-a {"message":"is known","service":"s2","to":"v9","number":1,"phase":"Trial","target":"rollout"}
   8.9000 vm-a {"message":"goes to the version that is rolled out","attempt":"x2","service":"s1","to":"v2","number":3,"phase":"Trial","why":"w","life":"i-9","target":"rollout"}
   9.0000 vm-a {"message":"goes to the version that is rolled out","attempt":"x1","service":"s1","to":"v2","number":3,"phase":"Trial","why":"w","life":"i-9","target":"rollout"}
   9.2000 vm-a {"message":"is known","service":"s1","to":"v2","number":3,"phase":"RolledBack","target":"rollout"}
"#;

#[test]
fn the_story_of_a_request_of_a_trial_names_its_order_and_no_other_request() {
    let (lines, other) = read_log("file", TRIAL_LOG);
    assert_eq!(other, 0);

    let story = request_story(&lines, "x1");

    let listed: Vec<(StoryReason, f64)> =
        story.iter().map(|listed| (listed.reason, listed.line.at_s)).collect();
    let expected =
        [(StoryReason::VmState, 1.0), (StoryReason::Request, 9.0), (StoryReason::SameVm, 9.2)];
    assert_eq!(listed, expected, "the order's lines and its outcome, without those of x2 and s2");
}

#[test]
fn a_span_tells_all_lines_in_order_whatever_file_they_came_from() {
    let mut lines = log();
    lines.reverse();

    let story = span_story(&lines, 4.0, 5.0);

    let times: Vec<f64> = story.iter().map(|listed| listed.line.at_s).collect();
    assert_eq!(times, [4.0, 4.5, 5.0]);
}

#[test]
fn lines_without_a_prefix_are_timed_by_their_stamp_and_named_by_their_file() {
    let text = r#"{"timestamp":"2026-12-02T15:14:55.250Z","message":"starts","target":"node"}"#;

    let (lines, other) = read_log("vm-c", text);

    assert_eq!(other, 0);
    assert_eq!((lines[0].vm.as_str(), lines[0].at_s), ("vm-c", 1_796_224_495.25));
    for bad in ["", "{}", "{\"message\":\"x\"}", "{\"target\":\"node\",\"timestamp\":\"soon\"}"] {
        assert!(read_log("vm-c", bad).0.is_empty(), "{bad}");
    }
}
