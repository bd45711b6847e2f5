//! `wingshed rollout` and `wingshed zone`: orders of operators to the VMs.

use std::time::{Duration, Instant};

use argh::FromArgs;
use wingshed_lib::protocol::fleet_calls::{
    RolloutRequestBody, RolloutView, ZoneView, ROLLOUTS_PATH, ZONES_PATH,
};
use wingshed_lib::protocol::wire_adapter::LONGEST_GRANT_S;

use crate::table::to_text;
use crate::vm_client::{path_part, VmClient};

/// How often a roll-out that is waited for is asked about.
const LOOK_AGAIN: Duration = Duration::from_millis(500);
/// A roll-out ends by its deadline; it is waited for this much longer than it was granted, in seconds:
/// a leader that was lost counts the time from its start, and VMs may not answer for a while.
const WAIT_MARGIN_S: f64 = 30.0;

/// move a service's traffic to upstreams of another version, on trial first
#[derive(FromArgs)]
#[argh(subcommand, name = "rollout")]
pub struct RolloutCommand {
    #[argh(subcommand)]
    command: RolloutAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum RolloutAction {
    Start(RolloutStart),
    Status(RolloutStatus),
    Abort(RolloutAbort),
    List(RolloutList),
}

/// begin a roll-out
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct RolloutStart {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// how many seconds it may take
    #[argh(option)]
    seconds: f64,
    /// wait until it has ended; fails when it was rolled back
    #[argh(switch)]
    wait: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the service
    #[argh(positional)]
    service: String,
    /// the version that its traffic is to be moved to
    #[argh(positional)]
    version: String,
}

/// tell how far a service's last roll-out has come
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct RolloutStatus {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the service
    #[argh(positional)]
    service: String,
}

/// roll a running roll-out back
#[derive(FromArgs)]
#[argh(subcommand, name = "abort")]
struct RolloutAbort {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the service
    #[argh(positional)]
    service: String,
}

/// list the last roll-out of each service
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct RolloutList {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// empty an availability zone of requests, or take it back
#[derive(FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct ZoneCommand {
    #[argh(subcommand)]
    command: ZoneAction,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ZoneAction {
    Evacuate(ZoneEvacuate),
    Return(ZoneReturn),
    List(ZoneList),
}

/// send nothing more to a zone's upstreams
#[derive(FromArgs)]
#[argh(subcommand, name = "evacuate")]
struct ZoneEvacuate {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// take an emptied zone back
#[derive(FromArgs)]
#[argh(subcommand, name = "return")]
struct ZoneReturn {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the zone
    #[argh(positional)]
    zone: String,
}

/// list the zones
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct ZoneList {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Runs a command of `wingshed rollout`.
pub fn rollout(command: &RolloutCommand) -> Result<bool, String> {
    match &command.command {
        RolloutAction::Start(start) => start_rollout(start),
        RolloutAction::Status(status) => {
            let view = rollout_view(&VmClient::new(&status.at)?, &status.service)?;
            print_rollouts(&[view], status.json)
        }
        RolloutAction::Abort(abort) => {
            let path = rollout_path(&abort.service);
            let view = VmClient::new(&abort.at)?.call("DELETE", &path, b"")?.json()?;
            print_rollouts(&[view], abort.json)
        }
        RolloutAction::List(list) => {
            let reply = VmClient::new(&list.at)?.call("GET", ROLLOUTS_PATH, b"")?;
            print_rollouts(&reply.json::<Vec<RolloutView>>()?, list.json)
        }
    }
}

fn rollout_path(service: &str) -> String {
    format!("{ROLLOUTS_PATH}/{}", path_part(service))
}

fn rollout_view(client: &VmClient, service: &str) -> Result<RolloutView, String> {
    client.call("GET", &rollout_path(service), b"")?.json()
}

fn start_rollout(start: &RolloutStart) -> Result<bool, String> {
    let client = VmClient::new(&start.at)?;
    let body = RolloutRequestBody {
        service: start.service.clone(),
        version: start.version.clone(),
        seconds: start.seconds,
    };
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    let began: RolloutView = client.call("POST", ROLLOUTS_PATH, &body)?.json()?;
    if !start.wait {
        return print_rollouts(&[began], start.json);
    }
    let end = wait_end(&client, began)?;
    let complete = end.is_complete();
    print_rollouts(&[end], start.json)?;
    if !complete {
        eprintln!("wingshed: it was rolled back; a VM's log of `rollout`, \"decides\", says why");
    }
    Ok(complete)
}

/// Asks until the order has ended; says each change of its phase.
fn wait_end(client: &VmClient, began: RolloutView) -> Result<RolloutView, String> {
    // Whatever a VM answers, no order is waited for longer than one may be granted.
    let wait_s = began.granted_s.clamp(0.0, LONGEST_GRANT_S) + WAIT_MARGIN_S;
    let until = Instant::now() + Duration::from_secs_f64(wait_s);
    let mut view = began;
    while !view.is_end() {
        eprintln!("wingshed: order {} is in phase {}", view.number, view.phase);
        view = next_phase(client, &view, until)?;
    }
    Ok(view)
}

fn next_phase(
    client: &VmClient,
    known: &RolloutView,
    until: Instant,
) -> Result<RolloutView, String> {
    loop {
        std::thread::sleep(LOOK_AGAIN);
        let late = Instant::now() >= until;
        match rollout_view(client, &known.service) {
            Ok(view) if view.number != known.number => {
                return Err(format!(
                    "order {} has ended, and order {} began; its end isn't known any more",
                    known.number, view.number
                ));
            }
            Ok(view) if view.phase != known.phase => return Ok(view),
            Ok(view) if late => {
                return Err(format!("order {} is still in phase {}", view.number, view.phase));
            }
            Err(text) if late => return Err(text),
            // VMs that can't answer now may answer later.
            Ok(_) | Err(_) => {}
        }
    }
}

fn print_rollouts(views: &[RolloutView], json: bool) -> Result<bool, String> {
    if json {
        println!("{}", serde_json::to_string_pretty(views).map_err(|error| error.to_string())?);
        return Ok(true);
    }
    let head =
        ["service", "number", "version", "phase", "granted s", "spent s", "to target", "all sent"];
    let row = |view: &RolloutView| {
        vec![
            view.service.clone(),
            view.number.to_string(),
            view.version.clone(),
            view.phase.clone(),
            format!("{:.1}", view.granted_s),
            format!("{:.1}", view.spent_s),
            view.sent_target.to_string(),
            view.sent_all.to_string(),
        ]
    };
    println!("{}", to_text(&head, &views.iter().map(row).collect::<Vec<_>>()));
    Ok(true)
}

/// Runs a command of `wingshed zone`.
pub fn zone(command: &ZoneCommand) -> Result<bool, String> {
    match &command.command {
        ZoneAction::Evacuate(order) => order_zone(&order.at, &order.zone, true, order.json),
        ZoneAction::Return(order) => order_zone(&order.at, &order.zone, false, order.json),
        ZoneAction::List(list) => {
            let views = zone_views(&VmClient::new(&list.at)?)?;
            print_zones(&views, list.json)
        }
    }
}

fn order_zone(at: &[String], zone: &str, emptied: bool, json: bool) -> Result<bool, String> {
    let client = VmClient::new(at)?;
    let verb = if emptied { "empty" } else { "return" };
    let path = format!("{ZONES_PATH}/{}/{verb}", path_part(zone));
    let reply = client.call("POST", &path, b"")?;
    if reply.status != 200 {
        return Err(reply.refusal());
    }
    let mut views = zone_views(&client)?;
    views.retain(|view| view.zone == zone);
    print_zones(&views, json)
}

fn zone_views(client: &VmClient) -> Result<Vec<ZoneView>, String> {
    client.call("GET", ZONES_PATH, b"")?.json()
}

fn print_zones(views: &[ZoneView], json: bool) -> Result<bool, String> {
    if json {
        println!("{}", serde_json::to_string_pretty(views).map_err(|error| error.to_string())?);
        return Ok(true);
    }
    let row = |view: &ZoneView| {
        let emptied = if view.evacuated { "yes" } else { "no" };
        vec![view.zone.clone(), emptied.to_string(), view.number.to_string()]
    };
    let rows: Vec<Vec<String>> = views.iter().map(row).collect();
    println!("{}", to_text(&["zone", "emptied", "orders"], &rows));
    Ok(true)
}
