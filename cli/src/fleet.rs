//! `wingshed rollout` and `wingshed zone`: operators' requests to the VMs.

use std::time::{Duration, Instant};

use argh::FromArgs;
use wingshed_lib::protocol::fleet_calls::{
    RolloutRequestBody, RolloutView, ZoneView, ROLLOUTS_PATH, ZONES_PATH,
};
use wingshed_lib::protocol::wire_adapter::LONGEST_GRANT_S;

use crate::table::to_text;
use crate::vm_client::{path_part, VmClient};

/// The pause between requests for the status of a roll-out that the command waits for.
const POLL_PAUSE: Duration = Duration::from_millis(500);
/// How much longer than its granted time the command waits for a roll-out, in seconds. A roll-out
/// ends by its deadline, but after the loss of a leader the next one counts the time from its own
/// start, and VMs may not answer for a while.
const WAIT_MARGIN_S: f64 = 30.0;

/// move a service's traffic to upstreams of another version, after a trial
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

/// start a roll-out
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
struct RolloutStart {
    /// a VM's control address, HOST:PORT; several are tried in turn
    #[argh(option)]
    at: Vec<String>,
    /// how many seconds it may take
    #[argh(option)]
    seconds: f64,
    /// wait until it has ended, and fail if it was rolled back
    #[argh(switch)]
    wait: bool,
    /// print JSON
    #[argh(switch)]
    json: bool,
    /// the service
    #[argh(positional)]
    service: String,
    /// the version to move its traffic to
    #[argh(positional)]
    version: String,
}

/// print the progress of a service's last roll-out
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

/// abort a running roll-out and roll it back
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

/// evacuate availability zones and return them to service
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

/// stop sending requests to a zone's upstreams
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

/// return an evacuated zone to service
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

/// Runs a subcommand of `wingshed rollout`.
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

/// Starts a roll-out and prints it, after its end if the command waits. Returns false if it was
/// rolled back.
fn start_rollout(start: &RolloutStart) -> Result<bool, String> {
    let client = VmClient::new(&start.at)?;
    let body = RolloutRequestBody {
        service: start.service.clone(),
        version: start.version.clone(),
        seconds: start.seconds,
    };
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    let started: RolloutView = client.call("POST", ROLLOUTS_PATH, &body)?.json()?;
    if !start.wait {
        return print_rollouts(&[started], start.json);
    }
    let end = wait_end(&client, started)?;
    let complete = end.is_complete();
    print_rollouts(&[end], start.json)?;
    if !complete {
        eprintln!("wingshed: it was rolled back; a VM's log of `rollout`, \"decides\", says why");
    }
    Ok(complete)
}

/// Waits until the roll-out has ended, and prints each phase that it reaches.
fn wait_end(client: &VmClient, started: RolloutView) -> Result<RolloutView, String> {
    // Limits the time to the longest that can be granted, whatever a VM answers.
    let wait_s = started.granted_s.clamp(0.0, LONGEST_GRANT_S) + WAIT_MARGIN_S;
    let until = Instant::now() + Duration::from_secs_f64(wait_s);
    let mut view = started;
    while !view.is_end() {
        eprintln!("wingshed: order {} is in phase {}", view.number, view.phase);
        view = next_phase(client, &view, until)?;
    }
    Ok(view)
}

/// Requests the status until the phase differs from that in `previous`. Fails if another roll-out
/// of the service has started, or if there is no change at `until`.
fn next_phase(
    client: &VmClient,
    previous: &RolloutView,
    until: Instant,
) -> Result<RolloutView, String> {
    loop {
        std::thread::sleep(POLL_PAUSE);
        let timed_out = Instant::now() >= until;
        match rollout_view(client, &previous.service) {
            Ok(view) if view.number != previous.number => {
                return Err(format!(
                    "order {} has ended and order {} has started; the result of the first is no longer \
                     available",
                    previous.number, view.number
                ));
            }
            Ok(view) if view.phase != previous.phase => return Ok(view),
            Ok(view) if timed_out => {
                return Err(format!("order {} is still in phase {}", view.number, view.phase));
            }
            Err(text) if timed_out => return Err(text),
            // VMs that can't answer now may be able to later.
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

/// Runs a subcommand of `wingshed zone`.
pub fn zone(command: &ZoneCommand) -> Result<bool, String> {
    match &command.command {
        ZoneAction::Evacuate(order) => set_zone(&order.at, &order.zone, true, order.json),
        ZoneAction::Return(order) => set_zone(&order.at, &order.zone, false, order.json),
        ZoneAction::List(list) => {
            let views = zone_views(&VmClient::new(&list.at)?)?;
            print_zones(&views, list.json)
        }
    }
}

/// Evacuates a zone or returns it to service, then prints its state.
fn set_zone(at: &[String], zone: &str, evacuate: bool, json: bool) -> Result<bool, String> {
    let client = VmClient::new(at)?;
    let verb = if evacuate { "empty" } else { "return" };
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
        let evacuated = if view.evacuated { "yes" } else { "no" };
        vec![view.zone.clone(), evacuated.to_string(), view.number.to_string()]
    };
    let rows: Vec<Vec<String>> = views.iter().map(row).collect();
    println!("{}", to_text(&["zone", "emptied", "orders"], &rows));
    Ok(true)
}
