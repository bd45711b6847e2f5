//! Roll-outs: starts upstreams of a new version next to the old ones, orders the roll-out, and follows it to
//! its end.

use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::task::spawn_local;

use crate::http::call_once;
use crate::ledger::{RollOutReport, RollOutRow};
use crate::schedule::VersionFault;
use crate::site::SoakSite;

/// Milliseconds for which the order of a roll-out may be sent again (`ackMs`).
const REPEAT_MS: u64 = 5_000;
/// Pause between two requests for the state of a roll-out.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// How long the operator waits for the answer of one VM before it turns to the next.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// How long upstreams of a version that was rolled back stay listed as leaving before they end.
const DRAIN_WAIT: Duration = Duration::from_millis(5_000);
/// How long an upstream stays listed as leaving before it ends, where nothing but its age is at fault: the time
/// within which VMs may still send to it, and the longest stream.
const RETIRE_WAIT: Duration = Duration::from_millis(6_000);
/// How many incarnations of one upstream are retired at most.
const MAX_RETIREMENTS: usize = 4;
/// Pause between the starts, and between the departures, of the upstreams of one version.
const VERSION_GAP: Duration = Duration::from_millis(400);
/// Milliseconds after the deadline of a roll-out for which its end is awaited. An end that no VM reports
/// within them is left to the judge.
const END_WAIT_MS: u64 = 20_000;

/// The state that is recorded when a VM reports that the service had no roll-out.
pub const UNKNOWN: &str = "unknown";

/// Requests the state and the target version of a service's roll-out from a VM; none if it gives no usable
/// answer.
pub async fn fetch_state(site: &SoakSite, vm: usize, service: &str) -> Option<(String, String)> {
    let control = site.vms[vm].spec.control();
    let path = format!("/rollouts/{service}/get");
    let (status, text) = call_once(control, "GET", &path, "", ANSWER_WAIT).await?;
    if status == 404 {
        return Some((UNKNOWN.to_string(), String::new()));
    }
    if status != 200 {
        return None;
    }
    let value: Value = serde_json::from_str(&text).ok()?;
    let text_of = |name: &str| value[name].as_str().map(str::to_string);
    Some((text_of("state")?, text_of("targetVersion")?))
}

/// Records what a VM reports of the roll-out in ledger row `row`. Returns whether that roll-out has ended;
/// none if the VM did not report.
pub async fn record_state(site: &SoakSite, vm: usize, row: usize) -> Option<bool> {
    let (service, target) = {
        let rows = site.ledger.rows.borrow();
        (rows.rollouts[row].service.clone(), rows.rollouts[row].target.clone())
    };
    let (state, version) = fetch_state(site, vm, &service).await?;
    let ended = version == target && state != "running" && state != UNKNOWN;
    let at_ms = site.ledger.now_ms();
    if ended || site.ledger.rows.borrow().rollouts[row].acked_ms.is_some() {
        let end = RollOutReport { vm, at_ms, state, target: version };
        site.ledger.rows.borrow_mut().rollouts[row].reports.push(end);
    }
    Some(ended)
}

/// Plays one roll-out to its end. Does nothing while another one of the service is under way.
pub async fn roll_out(site: &SoakSite, service: usize, duration_s: u64, fault: VersionFault) {
    let Some((old_upstreams, new_upstreams)) = site.begin_rollout(service) else { return };
    let target = site.next_version();
    for at in &new_upstreams {
        if let Err(error) = site.start_version(*at, &target, fault).await {
            site.ledger.rows.borrow_mut().run_faults.push(format!("the soak: {error}"));
        }
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let row = send_order(site, service, duration_s, &target, fault != VersionFault::None).await;
    let deadline_ms = site.ledger.now_ms() + duration_s * 1_000;
    let mut vm = 0;
    let mut completed = false;
    while site.ledger.now_ms() < deadline_ms + END_WAIT_MS {
        vm = (vm + 1) % site.vms.len();
        if record_state(site, vm, row).await == Some(true) {
            let rows = site.ledger.rows.borrow();
            completed = rows.rollouts[row].reports.iter().any(|report| report.state == "complete");
            break;
        }
        tokio::time::sleep(POLL_PAUSE).await;
    }
    // After completion the old upstreams end at once. After a roll-back the new ones are listed as leaving
    // first.
    let retired = if completed { old_upstreams } else { new_upstreams };
    if !completed {
        retired.iter().for_each(|at| site.mark_leaving(*at));
        tokio::time::sleep(DRAIN_WAIT).await;
    }
    retired.iter().for_each(|at| site.end_upstream(*at));
    site.end_rollout(service, completed);
}

/// Sends the order until a VM accepts it or [`REPEAT_MS`] is over. Returns the index of its ledger row.
async fn send_order(
    site: &SoakSite,
    service: usize,
    duration_s: u64,
    target: &str,
    unsound: bool,
) -> usize {
    let service = format!("s{}", service + 1);
    let sent_ms = site.ledger.now_ms();
    let row = {
        let rows = &mut site.ledger.rows.borrow_mut().rollouts;
        rows.push(RollOutRow {
            service: service.clone(),
            target: target.to_string(),
            unsound,
            sent_ms,
            duration_ms: duration_s * 1_000,
            acked_ms: None,
            reports: Vec::new(),
        });
        rows.len() - 1
    };
    let body = json!({"service": service, "targetVersion": target, "durationS": duration_s});
    let mut vm = 0;
    while site.ledger.now_ms() < sent_ms + REPEAT_MS {
        vm = (vm + 1) % site.vms.len();
        let control = site.vms[vm].spec.control();
        let body = body.to_string();
        let answer = call_once(control, "POST", "/rollouts/start", &body, ANSWER_WAIT).await;
        // An earlier send of this order may have been accepted without an answer; the VM then returns 409,
        // since the roll-out is under way.
        if matches!(answer, Some((200..=299 | 409, _))) {
            let now = site.ledger.now_ms();
            site.ledger.rows.borrow_mut().rollouts[row].acked_ms = Some(now);
            repeat_order(site, vm + 1, &body).await;
            break;
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    row
}

/// Sends an accepted order once more, to another VM, which must not refuse it.
async fn repeat_order(site: &SoakSite, vm: usize, body: &str) {
    let control = site.vms[vm % site.vms.len()].spec.control();
    let answer = call_once(control, "POST", "/rollouts/start", body, ANSWER_WAIT).await;
    if let Some((status @ (400..=407 | 410..=428 | 430..=499), text)) = answer {
        let fault = format!("a repeated roll-out {body} was refused with {status}: {text}");
        site.ledger.rows.borrow_mut().run_faults.push(fault);
    }
}

/// Starts upstreams of another version beside those of a service, without an order. After `ms` milliseconds those of
/// one version leave and end, one after the other: the earlier ones if `replace` is set. Does nothing while a
/// roll-out of the service is under way.
pub async fn mix_versions(site: &Rc<SoakSite>, service: usize, ms: u64, replace: bool) {
    let Some((old_upstreams, new_upstreams)) = site.begin_rollout(service) else { return };
    let version = site.next_version();
    for at in &new_upstreams {
        if let Err(error) = site.start_version(*at, &version, VersionFault::None).await {
            site.ledger.rows.borrow_mut().run_faults.push(format!("the soak: {error}"));
        }
        tokio::time::sleep(VERSION_GAP).await;
    }
    tokio::time::sleep(Duration::from_millis(ms)).await;
    let retired = if replace { old_upstreams } else { new_upstreams };
    let mut ends = Vec::new();
    for at in retired {
        let site = site.clone();
        ends.push(spawn_local(async move { retire(&site, at).await }));
        tokio::time::sleep(VERSION_GAP).await;
    }
    for end in ends {
        let _ = end.await;
    }
    site.end_rollout(service, replace);
}

/// Lists an upstream as leaving, and ends it once it has had time to finish. Another disturbance may start it
/// again meanwhile; then the next incarnation leaves too.
async fn retire(site: &SoakSite, at: usize) {
    for _ in 0..MAX_RETIREMENTS {
        let row =
            site.upstreams[at].incarnation.borrow().is_some().then(|| site.record_leaving(at));
        tokio::time::sleep(RETIRE_WAIT).await;
        let left = site.list.borrow().rows[at].as_ref().is_none_or(|row| row.leaving);
        if left {
            site.end_upstream(at);
        }
        if let Some(row) = row {
            let now_ms = site.ledger.now_ms();
            site.ledger.rows.borrow_mut().leaving[row].until_ms = Some(now_ms);
        }
        if left {
            return;
        }
    }
}
