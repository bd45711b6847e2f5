//! `wingshed config`: prints and changes the configuration in force.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::{json, Value};
use wingshed_lib::state::configuration::{read_configuration, Configuration, EntryOperation};
use wingshed_lib::state::keeper_machine::{ChangeAnswer, ChangeRecord};
use wingshed_lib::transport::clock::wall_ms;

use crate::check::load_configuration;
use crate::operator_client::{message_of, read_connection, Connection};
use crate::table::to_text;

/// read and change the configuration in force
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    /// the connection file: keepers, operator, key
    #[argh(option, default = "PathBuf::from(\"connect.json\")")]
    connect: PathBuf,
    #[argh(subcommand)]
    command: ConfigAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigAction {
    Get(ConfigGet),
    Diff(ConfigDiff),
    Apply(ConfigApply),
    Wait(ConfigWait),
    History(ConfigHistory),
    Rollback(ConfigRollback),
}

/// print the configuration in force
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
struct ConfigGet {}

/// print the differences between the configuration in force and a document
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct ConfigDiff {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// change the configuration in force to that of a document
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ConfigApply {
    /// the document
    #[argh(positional)]
    file: PathBuf,
    /// the id of the change; if it was already submitted, the first answer is returned again
    #[argh(option)]
    id: Option<String>,
    /// the version that the change is based on; by default the one in force
    #[argh(option)]
    base: Option<u64>,
}

/// wait until a version is in force on every router
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct ConfigWait {
    /// the version to wait for; by default the one in force
    #[argh(option)]
    version: Option<u64>,
    /// how many seconds to wait at most
    #[argh(option, default = "10")]
    seconds: u64,
}

/// print the changes with their time and operator
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct ConfigHistory {}

/// make a new version with the contents of an earlier one
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct ConfigRollback {
    /// the version to go back to
    #[argh(positional)]
    version: u64,
}

/// Runs a subcommand of `wingshed config`.
pub fn run(command: &ConfigCommand) -> Result<bool, String> {
    let connection = read_connection(&command.connect)?;
    match &command.command {
        ConfigAction::Get(_) => {
            let value = connection.json("GET", "/operator/config", None)?;
            println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
            Ok(true)
        }
        ConfigAction::Diff(diff) => print_diff(&connection, &diff.file),
        ConfigAction::Apply(apply) => apply_file(&connection, apply),
        ConfigAction::Wait(wait) => wait_version(&connection, wait.version, wait.seconds),
        ConfigAction::History(_) => print_history(&connection),
        ConfigAction::Rollback(back) => roll_back(&connection, back.version),
    }
}

/// Returns the configuration in force, with its version.
pub fn current_configuration(connection: &Connection) -> Result<Configuration, String> {
    let value = connection.json("GET", "/operator/config", None)?;
    let version = value["version"].as_u64().unwrap_or(0);
    let read = read_configuration(&value["configuration"].to_string());
    let read = read.map_err(|findings| format!("{findings:?}"))?;
    Ok(Configuration { version, ..read })
}

fn print_diff(connection: &Connection, file: &Path) -> Result<bool, String> {
    let target = load_configuration(file)?;
    let current = current_configuration(connection)?;
    let operations = current.operations_to(&target);
    println!("In force: version {}. {} differences.", current.version, operations.len());
    operations.iter().for_each(|operation| println!("{}", to_line(operation)));
    Ok(true)
}

/// Formats one operation of a change as a line.
fn to_line(operation: &EntryOperation) -> String {
    match operation {
        EntryOperation::Put { section, name, value } => {
            format!("put    {}.{name} = {value}", section.name())
        }
        EntryOperation::Remove { section, name } => format!("remove {}.{name}", section.name()),
    }
}

fn apply_file(connection: &Connection, apply: &ConfigApply) -> Result<bool, String> {
    let target = load_configuration(&apply.file)?;
    let current = current_configuration(connection)?;
    let operations = current.operations_to(&target);
    if operations.is_empty() && apply.id.is_none() {
        println!("No change: version {} is the same as the file.", current.version);
        return Ok(true);
    }
    let base = apply.base.unwrap_or(current.version);
    submit(connection, apply.id.clone(), base, &operations)
}

/// Submits a change and prints the answer. Returns false if it was rejected. If an answer is lost,
/// [`Connection::call`] sends the change again with the same id, so it is applied once.
pub fn submit(
    connection: &Connection,
    id: Option<String>,
    base: u64,
    operations: &[EntryOperation],
) -> Result<bool, String> {
    let id = id.unwrap_or_else(|| format!("cli-{}-{}", wall_ms(), std::process::id()));
    let change = json!({ "id": id, "base": base, "operations": operations });
    let reply = connection.call("POST", "/operator/changes", Some(&change))?;
    match serde_json::from_slice::<ChangeAnswer>(&reply.body) {
        Ok(ChangeAnswer::Accepted { version }) => {
            println!("Accepted as version {version} (change {id}).");
            Ok(true)
        }
        Ok(ChangeAnswer::Conflict { current, winner, winner_operator }) => {
            println!(
                "Conflict: version {current} is in force; change `{winner}` by {winner_operator} \
                 was accepted first."
            );
            println!("Hint: see `wingshed config diff`, then apply again.");
            Ok(false)
        }
        Ok(ChangeAnswer::Invalid { findings }) => {
            findings.iter().for_each(|finding| println!("{finding}"));
            Ok(false)
        }
        Err(_) => Err(message_of(&reply)),
    }
}

fn wait_version(
    connection: &Connection,
    version: Option<u64>,
    seconds: u64,
) -> Result<bool, String> {
    let version = match version {
        Some(version) => version,
        None => current_configuration(connection)?.version,
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let status = leader_status(connection)?;
        let routers = status["routers"].as_array().cloned().unwrap_or_default();
        let outdated: Vec<String> = routers
            .iter()
            .filter(|router| router["version"].as_u64().unwrap_or(0) < version)
            .map(|router| router["id"].to_string())
            .collect();
        if outdated.is_empty() {
            println!("Version {version} is in force on all {} routers.", routers.len());
            return Ok(true);
        }
        if Instant::now() >= until {
            println!("Version {version} is not yet in force on routers {}.", outdated.join(", "));
            return Ok(false);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Returns the status that the leader of the keepers reports.
pub fn leader_status(connection: &Connection) -> Result<Value, String> {
    let mut last = "no keeper answered".to_string();
    for address in &connection.keepers {
        match connection.call_at(*address, "GET", "/operator/status", None) {
            Ok(reply) if reply.status == 200 => {
                let value: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
                if value["role"] == "Leader" {
                    return Ok(value);
                }
                last = "no keeper leads".to_string();
            }
            Ok(reply) => last = message_of(&reply),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Returns the changes that the keepers have kept, oldest first.
fn history(connection: &Connection) -> Result<Vec<ChangeRecord>, String> {
    let value = connection.json("GET", "/operator/history", None)?;
    serde_json::from_value(value).map_err(|error| error.to_string())
}

fn print_history(connection: &Connection) -> Result<bool, String> {
    let rows: Vec<Vec<String>> = history(connection)?
        .iter()
        .map(|record| {
            let first = record.change.operations.first().map(to_line).unwrap_or_default();
            let first: String = first.chars().take(60).collect();
            vec![
                record.version.to_string(),
                record.at_ms.to_string(),
                record.change.operator.clone(),
                record.change.id.clone(),
                record.change.operations.len().to_string(),
                first,
            ]
        })
        .collect();
    let head = ["version", "at (ms since 1970)", "operator", "change", "operations", "first"];
    println!("{}", to_text(&head, &rows));
    Ok(true)
}

/// Submits a change that restores the contents of an earlier version. It becomes a new, higher
/// version, because versions never decrease. The earlier contents are rebuilt by applying the
/// history from its first change, so it fails if the history doesn't begin with version 1.
fn roll_back(connection: &Connection, version: u64) -> Result<bool, String> {
    let current = current_configuration(connection)?;
    let records = history(connection)?;
    let oldest = records.first().map_or(u64::MAX, |record| record.version);
    if oldest > 1 || version > current.version {
        return Err(format!(
            "version {version} cannot be rebuilt from the history that the keepers have"
        ));
    }
    let mut target = Configuration::default();
    for record in records.iter().filter(|record| record.version <= version) {
        let next = target.apply(record.version, &record.change.operations);
        target = next.map_err(|findings| format!("{findings:?}"))?;
    }
    submit(connection, None, current.version, &current.operations_to(&target))
}
