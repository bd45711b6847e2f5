//! What each disturbance of a schedule does to a site.
//!
//! Each runs as a task of its own, so that they overlap; one whose target is already gone does
//! nothing.

use std::rc::Rc;
use std::time::Duration;

use crate::caller::CallerShared;
use crate::fatal_request::send_fatal;
use crate::ledger::{OrderWhat, Touched};
use crate::link::LinkMode;
use crate::operator::{invalid_document, DOCUMENT_REPEAT_MS, ZONE_REPEAT_MS};
use crate::rollouts::roll_out;
use crate::schedule::Disturbance;
use crate::site::SoakSite;
use crate::upstream::UpstreamLife;

/// An address is not given to another life sooner (`reuseAfterS`).
const REUSE_AFTER_MS: u64 = 2_000;
/// An order that is not valid is sent again for this long.
const INVALID_REPEAT_MS: u64 = 8_000;

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Carries out one disturbance to its end.
pub async fn disturb(site: Rc<SoakSite>, callers: Rc<CallerShared>, what: Disturbance) {
    match what {
        Disturbance::StopVm(vm) => stop_vm(&site, vm).await,
        Disturbance::KillVm(vm, ms) => kill_vm(&site, vm, ms).await,
        Disturbance::KillAll => kill_all(&site).await,
        Disturbance::FreezeVm(vm, ms) => freeze_vm(&site, vm, ms).await,
        Disturbance::ReloadVm(vm, broken) => reload_vm(&site, vm, broken).await,
        Disturbance::FailDisk(vm, ms) => fail_disk(&site, vm, ms).await,
        Disturbance::RestartUpstream(at, same_id, ms) => {
            restart_upstream(&site, at, same_id, ms).await;
        }
        Disturbance::LeaveUpstream(at, ms) => leave_upstream(&site, at, ms).await,
        Disturbance::LeaveUnlisted(at, ms) => leave_unlisted(&site, at, ms).await,
        Disturbance::TireUpstreams(from, count, ms, rest_ms) => {
            tire_upstreams(&site, from, count, ms, rest_ms).await;
        }
        Disturbance::EndEarly(from, count, ms) => end_early(&site, from, count, ms).await,
        Disturbance::FaultyUpstream(at, ms) => faulty_upstream(&site, at, ms).await,
        Disturbance::UpstreamLink(at, mode, ms) => upstream_link(&site, at, mode, ms).await,
        Disturbance::PeerLinks(vm, comes, goes, ms) => {
            let span = site.disturb(Touched::Vm(vm));
            site.set_peers(vm, comes, goes);
            pause(ms).await;
            site.set_peers(vm, LinkMode::Open, LinkMode::Open);
            site.calm_when_ready(vm, span).await;
        }
        Disturbance::FrontLink(vm, mode, ms) => {
            let span = site.disturb(Touched::Front(vm));
            site.vms[vm].front.set(mode);
            pause(ms).await;
            site.vms[vm].front.set(LinkMode::Open);
            site.ledger.calm(span);
        }
        Disturbance::ListLink(mode, ms) => {
            let span = site.disturb(Touched::List);
            site.list_link.set(mode);
            pause(ms).await;
            site.list_link.set(LinkMode::Open);
            site.ledger.calm(span);
        }
        Disturbance::ListEntries(ms) => {
            // Not noted: entries that can't be read are no reason to miss the others.
            site.list.borrow_mut().unreadable = true;
            pause(ms).await;
            site.list.borrow_mut().unreadable = false;
        }
        Disturbance::PutDocument => put_document(&site, &callers, false).await,
        Disturbance::RevokeKey => put_document(&site, &callers, true).await,
        Disturbance::PutInvalid => put_invalid(&site).await,
        Disturbance::RollOut(service, duration_s, fault) => {
            roll_out(&site, service, duration_s, fault).await;
        }
        Disturbance::EmptyZone(zone, ms) => empty_zone(&site, zone, ms).await,
        Disturbance::FatalRequest(number, ms) => send_fatal(site, callers, number, ms).await,
    }
}

async fn stop_vm(site: &SoakSite, vm: usize) {
    let span = site.disturb(Touched::PlannedVm(vm));
    if site.signal(vm, libc::SIGTERM) {
        site.wait_end(vm).await;
    }
    site.ensure_started(vm);
    site.calm_when_ready(vm, span).await;
}

async fn kill_vm(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.disturb(Touched::Vm(vm));
    site.signal(vm, libc::SIGKILL);
    pause(ms).await;
    site.ensure_started(vm);
    site.calm_when_ready(vm, span).await;
}

async fn kill_all(site: &SoakSite) {
    let spans: Vec<usize> = (0..site.vms.len()).map(|vm| site.disturb(Touched::Vm(vm))).collect();
    for vm in 0..site.vms.len() {
        site.signal(vm, libc::SIGKILL);
    }
    pause(200).await;
    for vm in 0..site.vms.len() {
        site.ensure_started(vm);
    }
    for (vm, span) in spans.into_iter().enumerate() {
        site.calm_when_ready(vm, span).await;
    }
}

async fn freeze_vm(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.disturb(Touched::Vm(vm));
    if site.signal(vm, libc::SIGSTOP) {
        site.freeze_until(vm, site.ledger.now_ms() + ms);
        pause(ms).await;
        site.signal(vm, libc::SIGCONT);
    }
    site.calm_when_ready(vm, span).await;
}

async fn reload_vm(site: &SoakSite, vm: usize, broken: bool) {
    let place = &site.vms[vm].place;
    let change = site.ledger.now_ms();
    if place.write_settings(false, change, broken).is_ok() {
        site.signal(vm, libc::SIGHUP);
    }
    pause(500).await;
    let _ = place.write_settings(false, change + 1, false);
    site.signal(vm, libc::SIGHUP);
}

async fn fail_disk(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.disturb(Touched::Vm(vm));
    site.limit_files(vm, Some(0));
    pause(ms).await;
    site.limit_files(vm, None);
    site.calm_when_ready(vm, span).await;
}

async fn restart_upstream(site: &SoakSite, at: usize, same_id: bool, ms: u64) {
    let Some(life) = site.upstreams[at].life.take() else { return };
    let span = site.disturb(Touched::Upstream(at));
    drop(life);
    pause(ms).await;
    start_life(site, at, same_id).await;
    site.ledger.calm(span);
}

pub(crate) async fn start_life(site: &SoakSite, at: usize, same_id: bool) {
    if !site.in_use(at) {
        return;
    }
    if let Err(error) = site.start_upstream(at, same_id).await {
        site.ledger.rows.borrow_mut().seen.push(format!("the soak: upstream {at}: {error}"));
    }
}

async fn leave_upstream(site: &SoakSite, at: usize, ms: u64) {
    let leaves = {
        let list = site.list.borrow();
        list.rows[at].as_ref().is_some_and(|row| row.leaving)
    };
    if leaves || site.upstreams[at].life.borrow().is_none() {
        return;
    }
    let row = site.show_leaving(at);
    pause(ms).await;
    // It may have crashed meanwhile, and another life may have come.
    let still = site.list.borrow().rows[at].as_ref().is_some_and(|row| row.leaving);
    if still {
        site.list.borrow_mut().rows[at] = None;
        let life = site.upstreams[at].life.take();
        let ended = life.is_some();
        drop(life);
        pause(REUSE_AFTER_MS).await;
        if ended {
            start_life(site, at, false).await;
        }
    }
    let now = site.ledger.now_ms();
    site.ledger.rows.borrow_mut().leaving[row].until_ms = Some(now);
}

/// Says nothing to the list, so that VMs know of it by answers alone; the restart that ends it is a
/// disturbance like any other.
async fn leave_unlisted(site: &SoakSite, at: usize, ms: u64) {
    let number = match site.upstreams[at].life.borrow().as_ref() {
        Some(life) => {
            life.leave();
            life.number()
        }
        None => return,
    };
    pause(ms).await;
    let same = |life: &UpstreamLife| life.number() == number;
    if site.upstreams[at].life.borrow().as_ref().is_some_and(same) {
        restart_upstream(site, at, false, REUSE_AFTER_MS).await;
    }
}

async fn tire_upstreams(site: &SoakSite, from: usize, count: usize, ms: u64, rest_ms: u64) {
    let set = |rest_ms: u64| {
        for at in 0..count {
            let upstream = &site.upstreams[(from + at) % site.upstreams.len()];
            if let Some(life) = upstream.life.borrow().as_ref() {
                life.set_rest(rest_ms);
            }
        }
    };
    set(rest_ms);
    pause(ms).await;
    set(0);
}

async fn faulty_upstream(site: &SoakSite, at: usize, ms: u64) {
    let set = |faulty: bool| {
        if let Some(life) = site.upstreams[at].life.borrow().as_ref() {
            life.set_faulty(faulty);
        }
    };
    let span = site.disturb(Touched::Upstream(at));
    set(true);
    pause(ms).await;
    set(false);
    site.ledger.calm(span);
}

async fn end_early(site: &SoakSite, from: usize, count: usize, ms: u64) {
    let places = || (0..count).map(|at| (from + at) % site.upstreams.len());
    let set = |early: bool| {
        for at in places() {
            if let Some(life) = site.upstreams[at].life.borrow().as_ref() {
                life.set_early(early);
            }
        }
    };
    let spans: Vec<usize> = places().map(|at| site.disturb(Touched::Upstream(at))).collect();
    set(true);
    pause(ms).await;
    set(false);
    spans.into_iter().for_each(|span| site.ledger.calm(span));
}

async fn upstream_link(site: &SoakSite, at: usize, mode: LinkMode, ms: u64) {
    let set = |mode: LinkMode| {
        if let Some(life) = site.upstreams[at].life.borrow().as_ref() {
            life.link.set(mode);
        }
    };
    let span = site.disturb(Touched::Upstream(at));
    set(mode);
    pause(ms).await;
    set(LinkMode::Open);
    site.ledger.calm(span);
}

async fn put_document(site: &SoakSite, callers: &CallerShared, take_key: bool) {
    let row = site.operator.next_document(take_key);
    let key = row.keys.last().cloned();
    site.operator.order(OrderWhat::Document(row), DOCUMENT_REPEAT_MS).await;
    if take_key {
        callers.keys.borrow_mut().extend(key);
    }
}

async fn put_invalid(site: &SoakSite) {
    let row = invalid_document(&site.operator.next_document(false));
    let version = row.version;
    if site.operator.order(OrderWhat::Invalid(row), INVALID_REPEAT_MS).await {
        let seen = format!("the invalid configuration {version} was acknowledged");
        site.ledger.rows.borrow_mut().seen.push(seen);
    }
}

async fn empty_zone(site: &SoakSite, zone: usize, ms: u64) {
    let zone = format!("z-{zone}");
    if site.is_emptied(&zone) {
        return;
    }
    site.operator.order(OrderWhat::EmptyZone(zone.clone()), ZONE_REPEAT_MS).await;
    pause(ms).await;
    return_zone(site, &zone).await;
}

/// Takes a zone back, with as many orders as it needs.
async fn return_zone(site: &SoakSite, zone: &str) {
    while !site.operator.order(OrderWhat::ReturnZone(zone.to_string()), ZONE_REPEAT_MS).await {
        pause(100).await;
    }
}
