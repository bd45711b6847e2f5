//! Carries out the disturbances of a schedule on a site.
//!
//! Each disturbance runs as a task of its own, so that they overlap. A disturbance whose target has already
//! ended does nothing.

use std::rc::Rc;
use std::time::Duration;

use wingshed_standin::partition::PartitionForm;

use crate::caller::CallerShared;
use crate::fatal_request::send_fatal;
use crate::ledger::{BrittleRow, FatalCause, OrderContent, Touched};
use crate::link::LinkMode;
use crate::operator::{invalid_document, DOCUMENT_REPEAT_MS, ZONE_REPEAT_MS};
use crate::rollouts::{mix_versions, roll_out};
use crate::schedule::Disturbance;
use crate::site::SoakSite;
use crate::upstream::UpstreamIncarnation;

/// Milliseconds after the end of an upstream before its address is given to another incarnation
/// (`reuseAfterS`).
const REUSE_AFTER_MS: u64 = 2_000;
/// Milliseconds for which an invalid configuration is sent again.
const INVALID_REPEAT_MS: u64 = 8_000;

async fn pause(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Carries out one disturbance, until it has ended and the affected VM is ready again.
pub async fn run_disturbance(site: Rc<SoakSite>, callers: Rc<CallerShared>, what: Disturbance) {
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
        Disturbance::TireUpstreams(from, count, ms, backoff_ms) => {
            reject_with_backoff(&site, from, count, ms, backoff_ms).await;
        }
        Disturbance::EndEarly(from, count, ms) => end_early(&site, from, count, ms).await,
        Disturbance::FaultyUpstream(at, ms) => faulty_upstream(&site, at, ms).await,
        Disturbance::UpstreamLink(at, mode, ms) => upstream_link(&site, at, mode, ms).await,
        Disturbance::CutOffVms(from, count, form, ms) => {
            cut_off_vms(&site, from, count, form, ms).await;
        }
        Disturbance::PeerLinks(vm, incoming, outgoing, ms) => {
            let span = site.begin_span(Touched::Vm(vm));
            site.set_peers(vm, incoming, outgoing);
            pause(ms).await;
            site.set_peers(vm, LinkMode::Open, LinkMode::Open);
            site.end_span_when_ready(vm, span).await;
        }
        Disturbance::FrontLink(vm, mode, ms) => {
            let span = site.begin_span(Touched::Front(vm));
            site.vms[vm].front.set(mode);
            pause(ms).await;
            site.vms[vm].front.set(LinkMode::Open);
            site.ledger.end_span(span);
        }
        Disturbance::ListLink(mode, ms) => {
            let span = site.begin_span(Touched::List);
            site.list_link.set(mode);
            pause(ms).await;
            site.list_link.set(LinkMode::Open);
            site.ledger.end_span(span);
        }
        Disturbance::ListEntries(ms) => {
            // No span is recorded: unreadable entries do not excuse a VM from following the other entries.
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
        Disturbance::MixVersions(service, ms, replace) => {
            mix_versions(&site, service, ms, replace).await;
        }
        Disturbance::EmptyZone(zone, ms) => empty_zone(&site, zone, ms).await,
        Disturbance::FatalRequest(number, ms) => {
            send_fatal(site, callers, (number, FatalCause::Request), ms).await;
        }
        Disturbance::FatalPart(number, ms) => {
            send_fatal(site, callers, (number, FatalCause::Part), ms).await;
        }
        Disturbance::BrittleService(service, slots, limit, ms) => {
            be_brittle(&site, service, (slots, limit), ms).await;
        }
    }
}

async fn stop_vm(site: &SoakSite, vm: usize) {
    let span = site.begin_span(Touched::PlannedVm(vm));
    if site.signal(vm, libc::SIGTERM) {
        site.wait_end(vm).await;
    }
    site.ensure_started(vm);
    site.end_span_when_ready(vm, span).await;
}

async fn kill_vm(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.begin_span(Touched::Vm(vm));
    site.signal(vm, libc::SIGKILL);
    pause(ms).await;
    site.ensure_started(vm);
    site.end_span_when_ready(vm, span).await;
}

async fn kill_all(site: &SoakSite) {
    let spans: Vec<usize> =
        (0..site.vms.len()).map(|vm| site.begin_span(Touched::Vm(vm))).collect();
    for vm in 0..site.vms.len() {
        site.signal(vm, libc::SIGKILL);
    }
    pause(200).await;
    for vm in 0..site.vms.len() {
        site.ensure_started(vm);
    }
    for (vm, span) in spans.into_iter().enumerate() {
        site.end_span_when_ready(vm, span).await;
    }
}

async fn freeze_vm(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.begin_span(Touched::Vm(vm));
    if site.signal(vm, libc::SIGSTOP) {
        site.freeze_until(vm, site.ledger.now_ms() + ms);
        pause(ms).await;
        site.signal(vm, libc::SIGCONT);
    }
    site.end_span_when_ready(vm, span).await;
}

/// Reloads changed settings, which can't be parsed if `broken`, and 500 ms later valid ones.
async fn reload_vm(site: &SoakSite, vm: usize, broken: bool) {
    let spec = &site.vms[vm].spec;
    let change = site.ledger.now_ms();
    if spec.write_settings(false, change, broken).is_ok() {
        site.signal(vm, libc::SIGHUP);
    }
    pause(500).await;
    let _ = spec.write_settings(false, change + 1, false);
    site.signal(vm, libc::SIGHUP);
}

/// Prevents a VM's files from growing for `ms` milliseconds.
async fn fail_disk(site: &SoakSite, vm: usize, ms: u64) {
    let span = site.begin_span(Touched::Vm(vm));
    site.limit_files(vm, Some(0));
    pause(ms).await;
    site.limit_files(vm, None);
    site.end_span_when_ready(vm, span).await;
}

async fn restart_upstream(site: &SoakSite, at: usize, same_id: bool, ms: u64) {
    let Some(incarnation) = site.upstreams[at].incarnation.take() else { return };
    let span = site.begin_span(Touched::Upstream(at));
    drop(incarnation);
    pause(ms).await;
    start_incarnation(site, at, same_id).await;
    site.ledger.end_span(span);
}

/// Starts the next incarnation of an upstream, unless its half of the service is no longer in use.
pub(crate) async fn start_incarnation(site: &SoakSite, at: usize, same_id: bool) {
    if !site.in_use(at) {
        return;
    }
    if let Err(error) = site.start_upstream(at, same_id).await {
        site.ledger.rows.borrow_mut().run_faults.push(format!("the soak: upstream {at}: {error}"));
    }
}

/// Lists an upstream as leaving, ends it after `ms` milliseconds, and starts another incarnation. Does
/// nothing if the upstream is already leaving or not running.
async fn leave_upstream(site: &SoakSite, at: usize, ms: u64) {
    let leaves = {
        let list = site.list.borrow();
        list.rows[at].as_ref().is_some_and(|row| row.leaving)
    };
    if leaves || site.upstreams[at].incarnation.borrow().is_none() {
        return;
    }
    let row = site.record_leaving(at);
    pause(ms).await;
    // The upstream may have crashed meanwhile, and another incarnation may have been started.
    let still = site.list.borrow().rows[at].as_ref().is_some_and(|row| row.leaving);
    if still {
        site.list.borrow_mut().rows[at] = None;
        let incarnation = site.upstreams[at].incarnation.take();
        let ended = incarnation.is_some();
        drop(incarnation);
        pause(REUSE_AFTER_MS).await;
        if ended {
            start_incarnation(site, at, false).await;
        }
    }
    let now = site.ledger.now_ms();
    site.ledger.rows.borrow_mut().leaving[row].until_ms = Some(now);
}

/// Makes an upstream announce in its answers alone that it leaves, not in the list, and restarts it after
/// `ms` milliseconds. Only the restart is recorded as a disturbance.
async fn leave_unlisted(site: &SoakSite, at: usize, ms: u64) {
    let number = match site.upstreams[at].incarnation.borrow().as_ref() {
        Some(incarnation) => {
            incarnation.leave();
            incarnation.number()
        }
        None => return,
    };
    pause(ms).await;
    let same = |incarnation: &UpstreamIncarnation| incarnation.number() == number;
    if site.upstreams[at].incarnation.borrow().as_ref().is_some_and(same) {
        restart_upstream(site, at, false, REUSE_AFTER_MS).await;
    }
}

/// Makes `count` upstreams from index `from` on refuse all requests and request back-off, for `ms`
/// milliseconds.
async fn reject_with_backoff(site: &SoakSite, from: usize, count: usize, ms: u64, backoff_ms: u64) {
    let set = |backoff_ms: u64| {
        for at in 0..count {
            let upstream = &site.upstreams[(from + at) % site.upstreams.len()];
            if let Some(incarnation) = upstream.incarnation.borrow().as_ref() {
                incarnation.set_backoff(backoff_ms);
            }
        }
    };
    set(backoff_ms);
    pause(ms).await;
    set(0);
}

async fn faulty_upstream(site: &SoakSite, at: usize, ms: u64) {
    let set = |faulty: bool| {
        if let Some(incarnation) = site.upstreams[at].incarnation.borrow().as_ref() {
            incarnation.set_faulty(faulty);
        }
    };
    let span = site.begin_span(Touched::Upstream(at));
    set(true);
    pause(ms).await;
    set(false);
    site.ledger.end_span(span);
}

/// Makes three in four answers of `count` upstreams from index `from` on break off, for `ms` milliseconds.
async fn end_early(site: &SoakSite, from: usize, count: usize, ms: u64) {
    let indices = || (0..count).map(|at| (from + at) % site.upstreams.len());
    let set = |early: bool| {
        for at in indices() {
            if let Some(incarnation) = site.upstreams[at].incarnation.borrow().as_ref() {
                incarnation.set_early(early);
            }
        }
    };
    let spans: Vec<usize> = indices().map(|at| site.begin_span(Touched::Upstream(at))).collect();
    set(true);
    pause(ms).await;
    set(false);
    spans.into_iter().for_each(|span| site.ledger.end_span(span));
}

async fn upstream_link(site: &SoakSite, at: usize, mode: LinkMode, ms: u64) {
    let set = |mode: LinkMode| {
        if let Some(incarnation) = site.upstreams[at].incarnation.borrow().as_ref() {
            incarnation.link.set(mode);
        }
    };
    let span = site.begin_span(Touched::Upstream(at));
    set(mode);
    pause(ms).await;
    set(LinkMode::Open);
    site.ledger.end_span(span);
}

/// The interval at which brittle upstreams are checked for a fall.
const FALL_CHECK_MS: u64 = 5;
/// Milliseconds after its fall at which a brittle upstream is started again.
const FALL_RESTART_MS: u64 = 1_500;

/// Makes the upstreams of a service brittle for `ms` milliseconds, and starts those again that fall over. They are
/// recorded as disturbed, and what is counted is how often they fall.
async fn be_brittle(site: &Rc<SoakSite>, service: usize, brittle: (u32, u32), ms: u64) {
    let name = format!("s{}", service + 1);
    let own = |at: &usize| site.upstreams[*at].spec.service == name;
    let indices: Vec<usize> = (0..site.upstreams.len()).filter(own).collect();
    let spans: Vec<usize> =
        indices.iter().map(|at| site.begin_span(Touched::Upstream(*at))).collect();
    let from_ms = site.ledger.now_ms();
    let mut row = BrittleRow { service: name, from_ms, upstreams: 0, falls_ms: Vec::new() };
    let mut restarts = Vec::new();
    while site.ledger.now_ms() < from_ms + ms {
        let mut running = 0;
        for at in &indices {
            let mut slot = site.upstreams[*at].incarnation.borrow_mut();
            let Some(incarnation) = slot.as_ref() else { continue };
            running += 1;
            incarnation.set_brittle(Some(brittle));
            if incarnation.is_overturned() {
                drop(slot.take());
                row.falls_ms.push(site.ledger.now_ms());
                let (site, at) = (site.clone(), *at);
                restarts.push(tokio::task::spawn_local(async move {
                    pause(FALL_RESTART_MS).await;
                    start_incarnation(&site, at, false).await;
                }));
            }
        }
        row.upstreams = row.upstreams.max(running);
        pause(FALL_CHECK_MS).await;
    }
    for at in &indices {
        if let Some(incarnation) = site.upstreams[*at].incarnation.borrow().as_ref() {
            incarnation.set_brittle(None);
        }
    }
    for restart in restarts {
        let _ = restart.await;
    }
    site.ledger.rows.borrow_mut().brittle.push(row);
    spans.into_iter().for_each(|span| site.ledger.end_span(span));
}

/// Partitions `count` VMs from index `from` on from all upstreams, for `ms` milliseconds. VMs that are
/// partitioned already are left out.
async fn cut_off_vms(site: &SoakSite, from: usize, count: usize, form: PartitionForm, ms: u64) {
    let vms = (0..count).map(|at| (from + at) % site.vms.len());
    let vms: Vec<usize> = vms.filter(|vm| !site.is_cut_off(*vm)).collect();
    let spans: Vec<usize> = vms.iter().map(|vm| site.begin_span(Touched::Partition(*vm))).collect();
    vms.iter().for_each(|vm| site.set_partition(*vm, Some(form)));
    pause(ms).await;
    vms.iter().for_each(|vm| site.set_partition(*vm, None));
    spans.into_iter().for_each(|span| site.ledger.end_span(span));
}

/// Puts the next configuration. With `revoke_key` it replaces the newest key, and callers get the new key
/// once the order has ended.
async fn put_document(site: &SoakSite, callers: &CallerShared, revoke_key: bool) {
    let row = site.operator.next_document(revoke_key);
    let key = row.keys.last().cloned();
    site.operator.order(OrderContent::Document(row), DOCUMENT_REPEAT_MS).await;
    if revoke_key {
        callers.keys.borrow_mut().extend(key);
    }
}

/// Puts an invalid configuration, and records a fault if it is acknowledged.
async fn put_invalid(site: &SoakSite) {
    let row = invalid_document(&site.operator.next_document(false));
    let version = row.version;
    if site.operator.order(OrderContent::Invalid(row), INVALID_REPEAT_MS).await {
        let fault = format!("the invalid configuration {version} was acknowledged");
        site.ledger.rows.borrow_mut().run_faults.push(fault);
    }
}

/// Evacuates a zone for `ms` milliseconds. Does nothing if it is already evacuated.
async fn empty_zone(site: &SoakSite, zone: usize, ms: u64) {
    let zone = format!("z-{zone}");
    if site.is_evacuated(&zone) {
        return;
    }
    site.operator.order(OrderContent::EmptyZone(zone.clone()), ZONE_REPEAT_MS).await;
    pause(ms).await;
    return_zone(site, &zone).await;
}

/// Ends the evacuation of a zone, with as many orders as are needed for an acknowledgement.
async fn return_zone(site: &SoakSite, zone: &str) {
    while !site.operator.order(OrderContent::ReturnZone(zone.to_string()), ZONE_REPEAT_MS).await {
        pause(100).await;
    }
}
