//! Roll-outs: a new version's upstreams beside the old ones, the order, and its end.

use std::time::Duration;

use serde_json::{json, Value};

use crate::http::call_once;
use crate::ledger::{RollOutReport, RollOutRow};
use crate::schedule::VersionFault;
use crate::site::SoakSite;

/// Orders may be sent again for this long (`ackMs`).
const REPEAT_MS: u64 = 5_000;
/// How often an operator requests for the state.
const POLL_PAUSE: Duration = Duration::from_millis(200);
/// A VM that has not answered by then is left for the next.
const ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Upstreams of a version that was rolled back end so long after.
const DRAIN_WAIT: Duration = Duration::from_millis(5_000);
/// An end that nobody reports within this time after the deadline is not waited for, in milliseconds.
const END_WAIT_MS: u64 = 20_000;

/// What stands for the state of a roll-out that a VM says there never was.
pub const UNKNOWN: &str = "unknown";

/// The state of a service's roll-out, as a VM reports it.
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

/// Notes what a VM reports of the newest roll-out of a service; true when it has ended.
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

/// Plays one roll-out to its end.
pub async fn roll_out(site: &SoakSite, service: usize, duration_s: u64, fault: VersionFault) {
    let Some((old, fresh)) = site.begin_rollout(service) else { return };
    let target = site.next_version();
    for at in &fresh {
        if let Err(error) = site.start_version(*at, &target, fault).await {
            site.ledger.rows.borrow_mut().run_faults.push(format!("the soak: {error}"));
        }
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let row = order(site, service, duration_s, &target, fault != VersionFault::None).await;
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
    // Complete: the old ones end at once. Rolled back: the new ones leave first.
    let gone = if completed { old } else { fresh };
    if !completed {
        gone.iter().for_each(|at| site.mark_leaving(*at));
        tokio::time::sleep(DRAIN_WAIT).await;
    }
    gone.iter().for_each(|at| site.end_upstream(*at));
    site.end_rollout(service, completed);
}

async fn order(
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
        // A 409 to an order that is repeated says that it is under way.
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

/// Sends an order that was taken once more, to another VM: it is never refused.
async fn repeat_order(site: &SoakSite, vm: usize, body: &str) {
    let control = site.vms[vm % site.vms.len()].spec.control();
    let answer = call_once(control, "POST", "/rollouts/start", body, ANSWER_WAIT).await;
    if let Some((status @ (400..=407 | 410..=428 | 430..=499), text)) = answer {
        let seen = format!("a repeated roll-out {body} was refused with {status}: {text}");
        site.ledger.rows.borrow_mut().run_faults.push(seen);
    }
}
