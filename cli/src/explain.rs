//! `wingshed explain`: selects the log lines that explain a request or a span of time.

use std::path::PathBuf;

use argh::FromArgs;
use wingshed_lib::coordination::log_story::{
    read_log, request_story, span_story, LogLine, StoryLine, StoryReason,
};

/// print the lines of the logs of several VMs that explain a request or a span of time
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the id of the request's attempt
    #[argh(option)]
    attempt: Option<String>,
    /// the start of a span, in seconds, as at the start of the log lines or since 1970
    #[argh(option)]
    from: Option<f64>,
    /// the end of the span, in the same seconds
    #[argh(option)]
    to: Option<f64>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the logs: a file for each VM, or one file whose lines begin with a time and a VM
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

/// Prints the selected lines and returns true if there are any.
pub fn run(command: &ExplainCommand) -> Result<bool, String> {
    let lines = read_logs(&command.logs)?;
    let story = match (&command.attempt, command.from, command.to) {
        (Some(attempt), None, None) => request_story(&lines, attempt),
        (None, Some(from), Some(to)) if from <= to => span_story(&lines, from, to),
        _ => return Err("name an --attempt, or a span by --from and --to".to_string()),
    };
    if command.json {
        let text = serde_json::to_string_pretty(&story).map_err(|error| error.to_string())?;
        println!("{text}");
    } else {
        story.iter().for_each(|line| println!("{}", format_line(line)));
    }
    if story.is_empty() {
        eprintln!(
            "wingshed: none of {} lines tells of it; a request that went as it should leaves none",
            lines.len()
        );
    }
    Ok(!story.is_empty())
}

/// Reads the lines of all files. The stem of a file's name is the name of its VM, unless the lines
/// name one.
fn read_logs(paths: &[PathBuf]) -> Result<Vec<LogLine>, String> {
    if paths.is_empty() {
        return Err("name at least one log file".to_string());
    }
    let mut all = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(path)
            .map_err(|error| format!("{}: {error}", path.display()))?;
        let vm = path.file_stem().map_or_else(String::new, |name| name.to_string_lossy().into());
        let (lines, other) = read_log(&vm, &text);
        if other > 0 {
            eprintln!("wingshed: {}: {other} lines are no log lines, passed over", path.display());
        }
        all.extend(lines);
    }
    Ok(all)
}

/// Formats one line: the reason why it was selected, then time, VM, log target, message and fields.
fn format_line(story: &StoryLine) -> String {
    let mark = match story.reason {
        StoryReason::Request => "*",
        StoryReason::VmState => "believed",
        StoryReason::SameVm => "same VM",
        StoryReason::SameUpstream => "same upstream",
        StoryReason::Span => "",
    };
    let line = &story.line;
    let fields = line.fields.iter().filter(|(name, _)| *name != "level");
    let fields: Vec<String> = fields
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let text = format!(
        "{mark:13} {:12.4} {:16} {:8} {}  {}",
        line.at_s,
        line.vm,
        line.part,
        line.message,
        fields.join(" ")
    );
    text.trim_end().to_string()
}
