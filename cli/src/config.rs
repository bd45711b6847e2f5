//! `wingshed config`: what is in force, and changes to it.

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

/// print what applying a file would change
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct ConfigDiff {
    /// the document
    #[argh(positional)]
    file: PathBuf,
}

/// make a document the configuration in force
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ConfigApply {
    /// the document
    #[argh(positional)]
    file: PathBuf,
    /// the change's id; the same id sent again gets the first answer again
    #[argh(option)]
    id: Option<String>,
    /// the version that the change builds on; by default the one in force
    #[argh(option)]
    base: Option<u64>,
}

/// wait until a version is in force on every router
#[derive(FromArgs)]
#[argh(subcommand, name = "wait")]
struct ConfigWait {
    /// the version; by default the one in force
    #[argh(option)]
    version: Option<u64>,
    /// how many seconds to wait
    #[argh(option, default = "10")]
    seconds: u64,
}

/// print who changed what and when
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct ConfigHistory {}

/// make a new version that holds what an earlier one held
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
struct ConfigRollback {
    /// the version to go back to
    #[argh(positional)]
    version: u64,
}

/// Runs a command of `wingshed config`.
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

/// The configuration in force.
pub fn in_force(connection: &Connection) -> Result<Configuration, String> {
    let value = connection.json("GET", "/operator/config", None)?;
    let version = value["version"].as_u64().unwrap_or(0);
    let read = read_configuration(&value["configuration"].to_string());
    let read = read.map_err(|findings| format!("{findings:?}"))?;
    Ok(Configuration { version, ..read })
}

fn print_diff(connection: &Connection, file: &Path) -> Result<bool, String> {
    let target = load_configuration(file)?;
    let current = in_force(connection)?;
    let operations = current.operations_to(&target);
    println!("In force: version {}. {} differences.", current.version, operations.len());
    operations.iter().for_each(|operation| println!("{}", to_line(operation)));
    Ok(true)
}

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
    let current = in_force(connection)?;
    let operations = current.operations_to(&target);
    if operations.is_empty() && apply.id.is_none() {
        println!("Version {} is what the file holds.", current.version);
        return Ok(true);
    }
    let base = apply.base.unwrap_or(current.version);
    submit(connection, apply.id.clone(), base, &operations)
}

/// Submits a change. After a lost answer it is sent again with the same id.
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
                "Conflict: version {current} is in force; `{winner}` by {winner_operator} won."
            );
            println!("Hint: look at `wingshed config diff`, then apply again.");
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
        None => in_force(connection)?.version,
    };
    let until = Instant::now() + Duration::from_secs(seconds);
    loop {
        let status = leader_status(connection)?;
        let routers = status["routers"].as_array().cloned().unwrap_or_default();
        let behind: Vec<String> = routers
            .iter()
            .filter(|router| router["version"].as_u64().unwrap_or(0) < version)
            .map(|router| router["id"].to_string())
            .collect();
        if behind.is_empty() {
            println!("Version {version} is in force on all {} routers.", routers.len());
            return Ok(true);
        }
        if Instant::now() >= until {
            println!("Version {version} is not yet in force on routers {}.", behind.join(", "));
            return Ok(false);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// The status of the keeper that leads.
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

/// A rollback is a new, higher version: versions never fall. The earlier state is rebuilt from
/// the changes since, so it reaches back as far as `history` does.
fn roll_back(connection: &Connection, version: u64) -> Result<bool, String> {
    let current = in_force(connection)?;
    let records = history(connection)?;
    let oldest = records.first().map_or(u64::MAX, |record| record.version);
    if oldest > 1 || version > current.version {
        return Err(format!("version {version} cannot be rebuilt from the history kept"));
    }
    let mut target = Configuration::default();
    for record in records.iter().filter(|record| record.version <= version) {
        let next = target.apply(record.version, &record.change.operations);
        target = next.map_err(|findings| format!("{findings:?}"))?;
    }
    submit(connection, None, current.version, &current.operations_to(&target))
}
