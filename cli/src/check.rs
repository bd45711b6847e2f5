//! `wingshed check` and `wingshed policy test`: check files without a running system.

use std::path::{Path, PathBuf};

use argh::FromArgs;
use wingshed_lib::coordination::check::{check_text, read_configuration_file};
use wingshed_lib::coordination::policy_cases::{read_cases, run_cases};
use wingshed_lib::protocol::wire_adapter::WireAdapter;
use wingshed_lib::state::configuration::Configuration;
use wingshed_lib::state::finding::Finding;
use wingshed_platform::PlatformAdapter;

/// check settings and configuration files, and print every finding with its position
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckCommand {
    /// the files have the platform's format: the settings of a VM, or a configuration
    #[argh(switch)]
    platform: bool,
    /// the files to check
    #[argh(positional)]
    files: Vec<PathBuf>,
}

/// work with policies
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyCommand {
    #[argh(subcommand)]
    command: PolicyAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum PolicyAction {
    Test(PolicyTest),
}

/// run tables of test cases against the policy that each table names
#[derive(FromArgs)]
#[argh(subcommand, name = "test")]
struct PolicyTest {
    /// the case tables, in JSON
    #[argh(positional)]
    files: Vec<PathBuf>,
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

/// Returns a function that reads the files that the document at `path` names, relative to the
/// folder of the document.
fn sibling_reader(path: &Path) -> impl Fn(&str) -> Result<String, String> + '_ {
    move |name| {
        let folder = path.parent().unwrap_or(Path::new("."));
        std::fs::read_to_string(folder.join(name)).map_err(|error| error.to_string())
    }
}

/// Reads a configuration document and the files that it names. The error has a line for each
/// finding.
pub fn load_configuration(path: &Path) -> Result<Configuration, String> {
    let text = read(path)?;
    read_configuration_file(&text, &sibling_reader(path))
        .map_err(|findings| to_lines(path, &findings))
}

/// Formats findings about the file at `path`, one a line.
fn to_lines(path: &Path, findings: &[Finding]) -> String {
    let lines = findings.iter().map(|finding| format!("{}: {finding}", path.display()));
    lines.collect::<Vec<_>>().join("\n")
}

/// Checks a file in the platform's format and returns the name of its kind. A file with the key
/// `routes` is a configuration; any other file is read as settings.
fn check_platform_text(text: &str) -> Result<&'static str, Vec<Finding>> {
    let value: Option<serde_json::Value> = serde_json::from_str(text).ok();
    if value.is_some_and(|value| value.get("routes").is_some()) {
        return PlatformAdapter
            .read_document(text.as_bytes())
            .map(|_| "configuration of the platform");
    }
    wingshed_platform::read_settings(text).map(|_| "settings file of the platform")
}

/// Prints all findings of all files and returns true if there is none.
pub fn run(command: &CheckCommand) -> Result<bool, String> {
    if command.files.is_empty() {
        return Err("name at least one file".to_string());
    }
    let mut all_valid = true;
    for path in &command.files {
        let text = match read(path) {
            Ok(text) => text,
            Err(error) => {
                println!("{error}");
                all_valid = false;
                continue;
            }
        };
        let checked = match command.platform {
            true => check_platform_text(&text),
            false => check_text(&text, &sibling_reader(path)),
        };
        match checked {
            Ok(kind) => println!("{}: a good {kind}.", path.display()),
            Err(findings) => {
                println!("{}", to_lines(path, &findings));
                all_valid = false;
            }
        }
    }
    Ok(all_valid)
}

/// Runs the tables of cases and returns true if every case has the expected outcome.
pub fn policy(command: &PolicyCommand) -> Result<bool, String> {
    let PolicyAction::Test(test) = &command.command;
    let mut all_valid = true;
    for path in &test.files {
        let table = read_cases(&read(path)?).map_err(|findings| to_lines(path, &findings))?;
        let source =
            sibling_reader(path)(&table.policy).map_err(|e| format!("{}: {e}", table.policy))?;
        let outcomes =
            run_cases(&table, &source).map_err(|error| format!("{}: {error}", table.policy))?;
        for outcome in &outcomes {
            let mark = if outcome.differences.is_empty() { "ok" } else { "MISSED" };
            println!("{}: {}: {mark}", path.display(), outcome.name);
            outcome.differences.iter().for_each(|text| println!("    {text}"));
        }
        all_valid &= outcomes.iter().all(|outcome| outcome.differences.is_empty());
    }
    Ok(all_valid)
}
