//! `wingshed status`, `drain`, `keeper` and `orders`: requests to the keepers.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::{json, Value};
use wingshed_lib::protocol::http::HttpCall;
use wingshed_lib::state::configuration::Section;
use wingshed_lib::state::keeper_machine::put;
use wingshed_lib::state::settings::read_keeper_settings;
use wingshed_lib::transport::clock::wall_ms;
use wingshed_lib::transport::http_client::{CallTimes, HttpClient};
use wingshed_lib::transport::keeper_node::restore_backup;

use crate::config::{current_configuration, leader_status, submit};
use crate::operator_client::{message_of, read_connection, Connection};
use crate::table::to_text;

/// The default path of the connection file.
fn default_connect() -> PathBuf {
    PathBuf::from("connect.json")
}

/// print the status of keepers, routers and their engines
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// the connection file: keepers, operator, key
    #[argh(option, default = "default_connect()")]
    connect: PathBuf,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// take a router or an upstream out of service without interrupting requests
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {
    /// the connection file: keepers, operator, key
    #[argh(option, default = "default_connect()")]
    connect: PathBuf,
    /// what to drain: router or upstream
    #[argh(positional)]
    kind: String,
    /// the router's number or the upstream's name
    #[argh(positional)]
    name: String,
    /// return a drained upstream to service
    #[argh(switch)]
    undo: bool,
}

/// replace, back up and restore keepers, and transfer their leadership
#[derive(FromArgs)]
#[argh(subcommand, name = "keeper")]
pub struct KeeperCommand {
    /// the connection file: keepers, operator, key
    #[argh(option, default = "default_connect()")]
    connect: PathBuf,
    #[argh(subcommand)]
    command: KeeperAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum KeeperAction {
    Replace(KeeperReplace),
    Transfer(KeeperTransfer),
    Backup(KeeperBackup),
    Restore(KeeperRestore),
}

/// replace a lost keeper by a new one
#[derive(FromArgs)]
#[argh(subcommand, name = "replace")]
struct KeeperReplace {
    /// the lost keeper's number
    #[argh(positional)]
    lost: u32,
    /// the new keeper's number, which may be that of the lost one
    #[argh(positional)]
    new: u32,
    /// the address of the new keeper
    #[argh(positional)]
    address: SocketAddr,
    /// how many seconds to wait at most until it has caught up
    #[argh(option, default = "60")]
    seconds: u64,
}

/// transfer leadership to another keeper, before a planned stop of the leader
#[derive(FromArgs)]
#[argh(subcommand, name = "transfer")]
struct KeeperTransfer {}

/// write the whole replicated state to a file
#[derive(FromArgs)]
#[argh(subcommand, name = "backup")]
struct KeeperBackup {
    /// the file to write
    #[argh(positional)]
    file: PathBuf,
}

/// give fenced orders to engines, or list them
#[derive(FromArgs)]
#[argh(subcommand, name = "orders")]
pub struct OrdersCommand {
    /// the connection file: keepers, operator, key
    #[argh(option, default = "default_connect()")]
    connect: PathBuf,
    /// the name of the upstream; without it, the orders are listed
    #[argh(option)]
    upstream: Option<String>,
    /// the model, adapter or version to load
    #[argh(option)]
    load: Option<String>,
    /// the model, adapter or version to unload
    #[argh(option)]
    unload: Option<String>,
    /// the role to change to
    #[argh(option)]
    role: Option<String>,
    /// the id of the order; an id that was already sent names the same order
    #[argh(option)]
    id: Option<String>,
}

/// write a backup into a keeper's empty data folder, before that keeper is started
#[derive(FromArgs)]
#[argh(subcommand, name = "restore")]
struct KeeperRestore {
    /// the keeper's settings
    #[argh(option)]
    settings: PathBuf,
    /// the backup
    #[argh(positional)]
    file: PathBuf,
}

/// Writes a backup into the data folder that the settings name.
fn restore(restore: &KeeperRestore) -> Result<bool, String> {
    let with_path =
        |error: &dyn std::fmt::Display| format!("{}: {error}", restore.settings.display());
    let text = std::fs::read_to_string(&restore.settings).map_err(|error| with_path(&error))?;
    let settings = read_keeper_settings(&text).map_err(|findings| {
        let lines = findings.iter().map(|finding| with_path(finding));
        lines.collect::<Vec<_>>().join("\n")
    })?;
    let image = std::fs::read(&restore.file)
        .map_err(|error| format!("{}: {error}", restore.file.display()))?;
    restore_backup(&settings, &image).map_err(|error| error.to_string())?;
    println!("Keeper {} has the backup. Start it, then add the other keepers.", settings.id);
    Ok(true)
}

/// Requests the status of a router. Returns null if the router doesn't answer.
fn router_status(address: &str) -> Value {
    let Ok(address) = address.parse() else { return Value::Null };
    let call = HttpCall::get("/status");
    let times = CallTimes::of_ms(2000);
    let reply = HttpClient::default().call(address, &call, times, 16 << 20, "status");
    reply.ok().and_then(|reply| serde_json::from_slice(&reply.body).ok()).unwrap_or_default()
}

/// Prints the status of the keepers, the routers and their histograms.
pub fn status(command: &StatusCommand) -> Result<bool, String> {
    let connection = read_connection(&command.connect)?;
    let keepers = leader_status(&connection)?;
    let listed = keepers["routers"].as_array().cloned().unwrap_or_default();
    let routers: Vec<Value> = listed
        .iter()
        .map(|router| router_status(router["address"].as_str().unwrap_or("")))
        .collect();
    if command.json {
        println!("{}", json!({ "keepers": keepers, "routers": routers }));
        return Ok(true);
    }
    print_keepers(&keepers);
    print_routers(&listed, &routers);
    print_histograms(&routers);
    Ok(true)
}

/// Formats a value as a cell of a table.
fn text_of(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_string(),
        other => other.to_string(),
    }
}

/// Returns a row for each value, with a cell for each key.
fn rows_of(values: &[Value], keys: &[&str]) -> Vec<Vec<String>> {
    values.iter().map(|value| keys.iter().map(|key| text_of(&value[key])).collect()).collect()
}

fn print_keepers(keepers: &Value) {
    println!(
        "Keepers: leader {}, term {}, commit {}, version {}, epoch {}, {} claims.",
        keepers["leader"],
        keepers["term"],
        keepers["commit"],
        keepers["version"],
        keepers["epoch"],
        keepers["claims"]
    );
    let members = keepers["members"].as_array().cloned().unwrap_or_default();
    let head = ["id", "address", "votes", "held", "age_ms"];
    println!("{}\n", to_text(&head, &rows_of(&members, &head)));
}

fn print_routers(listed: &[Value], routers: &[Value]) {
    let mut rows = Vec::new();
    for (entry, status) in listed.iter().zip(routers) {
        let mut row: Vec<String> =
            ["id", "address", "zone", "leaving", "version"].map(|key| text_of(&entry[key])).into();
        row.extend(["serves", "in_flight", "chats"].map(|key| text_of(&status[key])));
        let engines = status["engines"].as_array().map_or(0, Vec::len);
        row.push(engines.to_string());
        let reused = status["counters"]["cache.reused"].as_u64().unwrap_or(0);
        let cold = status["counters"]["cache.cold"].as_u64().unwrap_or(0);
        row.push(format!("{reused}/{}", reused + cold));
        rows.push(row);
    }
    let head = [
        "router",
        "address",
        "zone",
        "leaving",
        "version",
        "serves",
        "in flight",
        "chats",
        "engines",
        "reused",
    ];
    println!("{}\n", to_text(&head, &rows));
}

fn print_histograms(routers: &[Value]) {
    let mut all = Vec::new();
    for status in routers {
        for row in status["histograms"].as_array().into_iter().flatten() {
            let mut row = row.clone();
            row["router"] = status["router"].clone();
            all.push(row);
        }
    }
    let keys =
        ["router", "class", "workspace", "phase", "count", "p50_us", "p95_us", "p99_us", "max_us"];
    println!("{}", to_text(&keys, &rows_of(&all, &keys)));
}

/// Drains a router or an upstream.
pub fn drain(command: &DrainCommand) -> Result<bool, String> {
    let connection = read_connection(&command.connect)?;
    match command.kind.as_str() {
        "router" => {
            let router: u32 = command.name.parse().map_err(|_| "a router is named by number")?;
            connection.json("POST", "/operator/leave", Some(&json!({ "router": router })))?;
            println!("Router {router} leaves the directory, and stops after its last request.");
            Ok(true)
        }
        "upstream" => {
            let current = current_configuration(&connection)?;
            let entry = current.value_of(Section::Upstreams, &command.name);
            let mut entry = entry.ok_or_else(|| format!("no upstream `{}`", command.name))?;
            entry["draining"] = json!(!command.undo);
            let operations = [put(Section::Upstreams, &command.name, entry)];
            submit(&connection, None, current.version, &operations)
        }
        other => Err(format!("`{other}` is neither router nor upstream")),
    }
}

/// Runs a subcommand of `wingshed keeper`.
pub fn keeper(command: &KeeperCommand) -> Result<bool, String> {
    if let KeeperAction::Restore(command) = &command.command {
        return restore(command);
    }
    let connection = read_connection(&command.connect)?;
    match &command.command {
        KeeperAction::Restore(_) => Ok(true),
        KeeperAction::Transfer(_) => {
            connection.json("POST", "/operator/members", Some(&json!({ "step": "transfer" })))?;
            println!("The leader is transferring its leadership.");
            Ok(true)
        }
        KeeperAction::Backup(backup) => {
            let reply = connection.call("GET", "/operator/backup", None)?;
            if reply.status != 200 {
                return Err(message_of(&reply));
            }
            std::fs::write(&backup.file, &reply.body).map_err(|error| error.to_string())?;
            println!("{}: {} bytes.", backup.file.display(), reply.body.len());
            Ok(true)
        }
        KeeperAction::Replace(replace) => replace_keeper(&connection, replace),
    }
}

/// Adds the new keeper as a learner, removes the lost one, and promotes the new one to a voter once
/// it has the log. Each step is retried until the time is over. Safe to run again after an
/// interruption.
fn replace_keeper(connection: &Connection, replace: &KeeperReplace) -> Result<bool, String> {
    let until = Instant::now() + Duration::from_secs(replace.seconds);
    let remove = json!({ "step": "remove", "id": replace.lost });
    let add = json!({ "step": "add", "id": replace.new, "address": replace.address });
    let promote = json!({ "step": "promote", "id": replace.new });
    let same_number = replace.lost == replace.new;
    if same_number {
        // Removed first, because the lost incarnation must not count as a member beside the new
        // one, which has the same number.
        change_members(connection, "remove the lost incarnation", &remove, until)?;
    }
    change_members(connection, "add the new keeper", &add, until)?;
    if !same_number {
        change_members(connection, "remove the lost keeper", &remove, until)?;
    }
    change_members(connection, "promote the new keeper to a voter", &promote, until)?;
    println!("Keeper {} votes in place of {}.", replace.new, replace.lost);
    Ok(true)
}

/// Makes one change of the membership. Retries while the keepers answer 409, which means that
/// they can't make the change in their present state.
fn change_members(
    connection: &Connection,
    what: &str,
    body: &Value,
    until: Instant,
) -> Result<(), String> {
    loop {
        match connection.json("POST", "/operator/members", Some(body)) {
            Ok(_) => {
                println!("Done: {what}.");
                return Ok(());
            }
            // A repeated run finds the lost keeper already removed.
            Err(error) if error.contains("404") && body["step"] == "remove" => return Ok(()),
            Err(error) if error.contains("409") && Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(200));
            }
            Err(error) => return Err(format!("cannot {what}: {error}")),
        }
    }
}

/// Gives an order to an upstream, or lists all orders if no upstream is named.
pub fn orders(command: &OrdersCommand) -> Result<bool, String> {
    let connection = read_connection(&command.connect)?;
    let Some(upstream) = &command.upstream else {
        let orders = connection.json("GET", "/operator/orders", None)?;
        let orders = orders.as_array().cloned().unwrap_or_default();
        let head = ["number", "id", "upstream", "action", "fence", "state"];
        println!("{}", to_text(&head, &rows_of(&orders, &head)));
        return Ok(true);
    };
    let action = match (&command.load, &command.unload, &command.role) {
        (Some(artifact), None, None) => json!({ "do": "load", "artifact": artifact }),
        (None, Some(artifact), None) => json!({ "do": "unload", "artifact": artifact }),
        (None, None, Some(role)) => json!({ "do": "role", "role": role }),
        _ => return Err("give one of --load, --unload and --role".to_string()),
    };
    let id = command.id.clone();
    let id = id.unwrap_or_else(|| format!("cli-{}-{}", wall_ms(), std::process::id()));
    let order = json!({ "id": id, "upstream": upstream, "action": action });
    let value = connection.json("POST", "/operator/orders", Some(&order))?;
    println!("Order {} is committed.", value["number"]);
    Ok(true)
}
