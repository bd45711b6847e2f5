//! A router's control thread: its session, lease, configuration, roster, engines, VM list.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::http_client::CallTimes;
use super::router_home::pump;
use super::router_shared::{lock, RouterShared};
use super::worker_pool::WorkerPool;
use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::load_spread::rows_in_turn;
use crate::coordination::router_lease::{renewal_targets, RENEW_MS};
use crate::protocol::engine;
use crate::protocol::keeper_wire::{
    ChatNote, Datagram, KeeperCall, KeeperReply, LeaseGrant, LeaseRenewal, MARKS_PER_DATAGRAM,
};
use crate::protocol::vm_list::{list_call, read_list, VmStatus};
use crate::state::configuration::{read_configuration, Configuration};
use crate::state::ids::{FleetKey, UpstreamKey};
use crate::state::roster::{RouterRoster, RouterSession};

/// Each engine of this home is asked for its state this often, in milliseconds.
pub const POLL_ENGINE_MS: u64 = 2000;
const POLL_LIST_MS: u64 = 1000;
const TICK_MS: u64 = 25;
/// Without a grant for this long, routers send each other their loads.
const ALONE_MS: u64 = 1000;
const SUMS_MS: u64 = 500;
const NEWS_KEEP_MS: u64 = 3000;
const NOTES_PER_DATAGRAM: usize = 24;
const LONGEST_STATE: usize = 4 << 20;

/// When each recurring task is due next.
#[derive(Default)]
struct ControlTimes {
    renew_ms: u64,
    list_ms: u64,
    sums_ms: u64,
    view_ms: u64,
    polls: std::collections::HashMap<UpstreamKey, u64>,
    joined: bool,
    turn: u64,
}

/// What the datagram thread sends to the control thread.
pub(super) enum ControlEvent {
    Grant(SocketAddr, LeaseGrant),
    Notice { version: u64, epoch: u64 },
    Sums(crate::state::ids::RouterId, Vec<crate::coordination::load_spread::LoadRow>),
    Marks(Vec<LeavingIncarnation>),
    Chats(Vec<ChatNote>),
}

/// Runs until the router stops.
pub(super) fn run_control(
    shared: &Arc<RouterShared>,
    events: &crossbeam::channel::Receiver<ControlEvent>,
) {
    let pool = WorkerPool::new("poll", 16);
    let mut times = ControlTimes::default();
    let tick = std::time::Duration::from_millis(TICK_MS);
    while !shared.stopping.load(Ordering::Relaxed) {
        if let Ok(event) = events.recv_timeout(tick) {
            take_event(shared, event, &mut times);
            for event in events.try_iter() {
                take_event(shared, event, &mut times);
            }
        }
        let now_ms = shared.clock.now_ms();
        if !times.joined {
            times.joined = join(shared);
        }
        if now_ms >= times.renew_ms {
            times.renew_ms = now_ms + RENEW_MS;
            renew(shared, &mut times, now_ms);
        }
        report_chats(shared);
        send_sums_when_alone(shared, &mut times, now_ms);
        poll_engines(shared, &pool, &mut times, now_ms);
        poll_list(shared, &pool, &mut times, now_ms);
        if now_ms >= times.view_ms {
            times.view_ms = now_ms + RENEW_MS;
            refresh(shared, now_ms);
        }
    }
}

fn take_event(shared: &Arc<RouterShared>, event: ControlEvent, times: &mut ControlTimes) {
    let now_ms = shared.clock.now_ms();
    match event {
        ControlEvent::Grant(from, grant) => take_grant(shared, from, grant, times),
        ControlEvent::Notice { version, epoch } => fetch_newer(shared, version, epoch),
        ControlEvent::Sums(router, rows) => {
            let mut desk = lock(&shared.desk);
            desk.peer_loads.note(router, &rows, now_ms);
            desk.peer_loads.expire(now_ms);
            // Sums of peers count only while no keeper sums up.
            if now_ms > desk.others.reported_ms() + ALONE_MS {
                let fleets: Vec<FleetKey> = rows.iter().map(|row| row.fleet).collect();
                let rows = desk.peer_loads.others(shared.id(), &fleets);
                desk.others.note(&rows, now_ms.saturating_sub(SUMS_MS));
            }
        }
        ControlEvent::Chats(notes) => {
            let mut desk = lock(&shared.desk);
            for note in notes {
                desk.memory.note(note.chat, note.engine, note.incarnation, note.tokens);
            }
        }
        ControlEvent::Marks(marks) => marks.into_iter().for_each(|mark| shared.note_leaving(mark)),
    }
}

// ---- session and lease ----

fn join(shared: &Arc<RouterShared>) -> bool {
    let session = RouterSession {
        incarnation: shared.incarnation,
        address: shared.settings.address,
        zone: shared.settings.zone.clone(),
        leaving: shared.draining.load(Ordering::Relaxed),
    };
    match shared.keepers.ask_leader(&KeeperCall::Join(shared.id(), session)) {
        Ok(_) => true,
        Err(failure) => {
            tracing::warn!("router: cannot join: {failure}.");
            false
        }
    }
}

fn renew(shared: &Arc<RouterShared>, times: &mut ControlTimes, now_ms: u64) {
    let (version, epoch) = applied(shared);
    let view = shared.view();
    let marks = {
        let mut desk = lock(&shared.desk);
        desk.news.retain(|(_, noted_ms)| now_ms < noted_ms + NEWS_KEEP_MS);
        desk.notices.sweep(|upstream| view.upstreams.contains_key(&upstream), now_ms);
        desk.news.iter().map(|(mark, _)| *mark).take(MARKS_PER_DATAGRAM).collect()
    };
    let renewal = LeaseRenewal {
        router: shared.id(),
        incarnation: shared.incarnation,
        sent_ms: now_ms,
        version,
        epoch,
        rows: rows_in_turn(shared.load_rows(), times.turn),
        marks,
    };
    times.turn += 1;
    let reported_ms = lock(&shared.desk).others.reported_ms();
    let keepers = shared.keepers.keepers().iter().map(|keeper| keeper.address);
    let renewal = Datagram::Renew(renewal);
    for to in renewal_targets(shared.keepers.leader(), keepers, reported_ms, now_ms) {
        shared.port.send(to, &renewal);
    }
}

fn applied(shared: &RouterShared) -> (u64, u64) {
    let version = lock(&shared.lease).applied_version().unwrap_or(0);
    (version, shared.view().roster.epoch)
}

fn take_grant(
    shared: &Arc<RouterShared>,
    from: SocketAddr,
    grant: LeaseGrant,
    times: &mut ControlTimes,
) {
    shared.keepers.note_leader(from);
    if !grant.known {
        times.joined = false;
        return;
    }
    lock(&shared.lease).grant(grant.sent_ms, grant.version);
    fetch_newer(shared, grant.version, grant.epoch);
    {
        let mut desk = lock(&shared.desk);
        desk.others.note(&grant.rows, grant.sent_ms);
        desk.homes.settle(grant.settled_epoch);
    }
    for mark in grant.marks {
        shared.note_leaving(mark);
    }
}

// ---- what is in force ----

fn fetch_newer(shared: &Arc<RouterShared>, version: u64, epoch: u64) {
    let applied_version = lock(&shared.lease).applied_version();
    if applied_version.is_none_or(|applied| applied < version) {
        fetch_changes(shared, applied_version);
    }
    if shared.view().roster.epoch < epoch {
        if let Ok(KeeperReply::Roster(roster)) = ask_any(shared, &KeeperCall::Roster) {
            apply_roster(shared, roster);
        }
    }
}

/// The leader first; any keeper will do, since versions only rise.
fn ask_any(shared: &RouterShared, call: &KeeperCall) -> Result<KeeperReply, ()> {
    let leader = shared.keepers.leader();
    let others = shared.keepers.keepers().iter().map(|keeper| keeper.address);
    let mut all = std::iter::once(leader).chain(others.filter(|address| *address != leader));
    all.find_map(|address| shared.keepers.ask(address, call).ok()).ok_or(())
}

fn fetch_changes(shared: &Arc<RouterShared>, applied: Option<u64>) {
    let Ok(reply) = ask_any(shared, &KeeperCall::Changes(applied.unwrap_or(0))) else { return };
    let mut configuration = shared.view().configuration.clone();
    match reply {
        KeeperReply::Changes(records) => {
            for record in records {
                if record.version != configuration.version + 1 {
                    continue;
                }
                match configuration.apply(record.version, &record.change.operations) {
                    Ok(next) => configuration = Arc::new(next),
                    Err(findings) => {
                        tracing::error!("router: version {}: {findings:?}.", record.version);
                        return;
                    }
                }
            }
        }
        KeeperReply::Whole { version, document } => match read_configuration(&document) {
            Ok(whole) => configuration = Arc::new(Configuration { version, ..whole }),
            Err(findings) => {
                tracing::error!("router: version {version}: {findings:?}.");
                return;
            }
        },
        _ => return,
    }
    apply_configuration(shared, configuration);
}

fn apply_configuration(shared: &Arc<RouterShared>, configuration: Arc<Configuration>) {
    let version = configuration.version;
    // The view first: once the lease says that a version is applied, requests rely on it.
    let current = lock(&shared.lease).applied_version();
    if current.is_some_and(|current| current >= version) {
        return;
    }
    shared.renew_view(Some(configuration), None);
    lock(&shared.lease).apply(version);
    tracing::info!("router: version {version} is in force.");
}

fn apply_roster(shared: &Arc<RouterShared>, roster: RouterRoster) {
    let epoch = roster.epoch;
    shared.renew_view(None, Some(roster));
    tracing::info!("router: roster epoch {epoch}.");
}

/// Upstreams come back from being set aside, and queues move on, as time passes.
fn refresh(shared: &Arc<RouterShared>, now_ms: u64) {
    let view = shared.view();
    let stale = {
        let desk = lock(&shared.desk);
        view.fleets.values().any(|sight| {
            sight.members.iter().any(|upstream| {
                let open = sight.view.engines.contains_key(upstream);
                let closed = desk.leaving.is_leaving(*upstream)
                    || desk.outliers.is_ejected(*upstream, now_ms);
                open == closed
            })
        })
    };
    if stale {
        shared.renew_view(None, None);
    }
    let view = shared.view();
    let mut desk = lock(&shared.desk);
    let waiting: Vec<FleetKey> = desk.queues.keys().copied().collect();
    for fleet in waiting {
        pump(shared, &mut desk, fleet, &view);
    }
    desk.shares.expire(now_ms);
    drop(desk);
    lock(&shared.limits).expire(now_ms);
}

/// Chats that went elsewhere are reported to their homes, many in one datagram.
fn report_chats(shared: &Arc<RouterShared>) {
    let notes = std::mem::take(&mut lock(&shared.desk).notes);
    let view = shared.view();
    for (home, notes) in notes {
        let Some(session) = view.roster.routers.get(&home) else { continue };
        for notes in notes.chunks(NOTES_PER_DATAGRAM) {
            shared.port.send(session.address, &Datagram::Chats(notes.to_vec()));
        }
    }
}

// ---- while no keeper leads ----

fn send_sums_when_alone(shared: &Arc<RouterShared>, times: &mut ControlTimes, now_ms: u64) {
    let lease_fresh = now_ms < lock(&shared.desk).others.reported_ms() + ALONE_MS;
    if lease_fresh || now_ms < times.sums_ms {
        return;
    }
    times.sums_ms = now_ms + SUMS_MS;
    let view = shared.view();
    let marks: Vec<LeavingIncarnation> =
        lock(&shared.desk).leaving.all().into_iter().take(MARKS_PER_DATAGRAM).collect();
    let rows = rows_in_turn(shared.load_rows(), times.turn);
    let sums = Datagram::Sums { router: shared.id(), rows, marks };
    for (id, session) in &view.roster.routers {
        if *id != shared.id() {
            shared.port.send(session.address, &sums);
        }
    }
}

// ---- engines and the VM list ----

fn poll_engines(
    shared: &Arc<RouterShared>,
    pool: &WorkerPool,
    times: &mut ControlTimes,
    now_ms: u64,
) {
    let homed: Vec<UpstreamKey> =
        lock(&shared.desk).homes.homed().map(|(engine, _)| engine).collect();
    times.polls.retain(|engine, _| homed.contains(engine));
    for engine in homed {
        let due = times.polls.entry(engine).or_insert(now_ms);
        if now_ms < *due {
            continue;
        }
        *due = now_ms + POLL_ENGINE_MS;
        let shared = shared.clone();
        // A full pool means that engines hang; this one is asked at its next turn.
        let _ = pool.run(Box::new(move || poll_engine(&shared, engine)));
    }
}

fn poll_engine(shared: &Arc<RouterShared>, engine: UpstreamKey) {
    let view = shared.view();
    let Some(sight) = view.upstreams.get(&engine) else { return };
    let seen = lock(&shared.desk).events_seen.get(&engine).copied().unwrap_or(0);
    let call = engine::state_call(seen);
    let times = CallTimes::of_ms(1000);
    let reply = shared.client.call(sight.address, &call, times, LONGEST_STATE, "engine-state");
    let state = match reply {
        Ok(reply) if reply.status == 200 => engine::read_state(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(failure) => Err(failure.to_string()),
    };
    let state = match state {
        Ok(state) => state,
        Err(text) => {
            tracing::debug!("router: cannot read the state of {}: {text}.", sight.name);
            return shared.note_failure(engine);
        }
    };
    let life = crate::state::ids::Incarnation(state.incarnation);
    shared.note_incarnation(engine, life);
    if state.leaving {
        shared.note_leaving(LeavingIncarnation { upstream: engine, incarnation: life });
    }
    let mut desk = lock(&shared.desk);
    if desk.outliers.is_ejected(engine, shared.clock.now_ms()) {
        desk.outliers.note_success(engine);
    }
    desk.homes.report(engine, life, state.work, shared.clock.now_ms());
    take_cache_events(&mut desk, engine, life, seen, &state);
}

/// A jump in the numbers turns what is known of the engine into "perhaps".
fn take_cache_events(
    desk: &mut super::router_shared::HomeDesk,
    engine: UpstreamKey,
    life: crate::state::ids::Incarnation,
    seen: u64,
    state: &engine::EngineState,
) {
    let mut next = seen + 1;
    for event in &state.events {
        if event.number < next {
            continue;
        }
        if event.number > next {
            desk.memory.note_gap(engine);
        }
        next = event.number + 1;
        let Some(chat) = event.chat() else { continue };
        match event.tokens {
            0 => desk.memory.drop_holder(chat, engine),
            tokens => desk.memory.note(chat, engine, life, tokens),
        }
    }
    if state.latest_event >= next {
        desk.memory.note_gap(engine);
        next = state.latest_event + 1;
    }
    desk.events_seen.insert(engine, next - 1);
}

fn poll_list(shared: &Arc<RouterShared>, pool: &WorkerPool, times: &mut ControlTimes, now_ms: u64) {
    let Some(address) = shared.settings.vm_list else { return };
    if now_ms < times.list_ms {
        return;
    }
    times.list_ms = now_ms + POLL_LIST_MS;
    let shared = shared.clone();
    let _ = pool.run(Box::new(move || read_vm_list(&shared, address)));
}

fn read_vm_list(shared: &Arc<RouterShared>, address: SocketAddr) {
    let times = CallTimes::of_ms(1000);
    let reply = shared.client.call(address, &list_call(), times, LONGEST_STATE, "vm-list");
    let Ok((entries, left_out)) = reply.map_err(|e| e.to_string()).and_then(|r| read_list(&r.body))
    else {
        return;
    };
    if left_out > 0 {
        tracing::warn!("router: left out {left_out} malformed entries of the VM list.");
    }
    let view = shared.view();
    for entry in entries.iter().filter(|entry| entry.state == VmStatus::Leaving) {
        let found = view.upstreams.iter().find(|(_, sight)| sight.address == entry.address);
        if let Some((key, _)) = found {
            let incarnation = lock(&shared.desk).leaving.incarnation(*key);
            shared.note_leaving(LeavingIncarnation { upstream: *key, incarnation });
        }
    }
}
