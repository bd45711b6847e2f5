//! The control thread of a router. It maintains the router's session, lease, configuration and
//! roster, and polls the engines and the VM list.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;

use super::http_client::CallTimes;
use super::router_home::admit_waiting;
use super::router_shared::{lock, RouterShared};
use super::worker_pool::WorkerPool;
use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::load_spread::rows_in_turn;
use crate::coordination::router_lease::{renewal_targets, RENEW_MS};
use crate::protocol::engine;
use crate::protocol::keeper_wire::{
    ChatNote, Datagram, KeeperCall, KeeperReply, LeaseGrant, LeaseRenewal, LEAVING_PER_DATAGRAM,
};
use crate::protocol::vm_list::{list_call, read_list, VmStatus};
use crate::state::configuration::{read_configuration, Configuration};
use crate::state::ids::{FleetKey, UpstreamKey};
use crate::state::roster::{RouterRoster, RouterSession};

/// Interval in milliseconds at which the state of each engine of this home is requested.
pub const ENGINE_POLL_MS: u64 = 2000;
/// Interval in milliseconds at which the VM list is read.
const LIST_POLL_MS: u64 = 1000;
/// The longest wait for an event before the recurring tasks are checked, in milliseconds.
const TICK_MS: u64 = 25;
/// Without a grant for this long, in milliseconds, routers send each other their loads.
const LEADERLESS_MS: u64 = 1000;
/// Interval in milliseconds at which routers send each other their loads without a leader.
const SUMS_INTERVAL_MS: u64 = 500;
/// How long a new leaving incarnation is reported to the keepers, in milliseconds.
const LEAVING_KEEP_MS: u64 = 3000;
/// The maximum number of chat notes in one datagram.
const NOTES_PER_DATAGRAM: usize = 24;
/// The maximum length in bytes of an engine's state and of the VM list.
const MAX_STATE_BYTES: usize = 4 << 20;

/// The times at which the recurring tasks are due next.
#[derive(Default)]
struct ControlSchedule {
    renew_ms: u64,
    list_ms: u64,
    sums_ms: u64,
    view_ms: u64,
    polls: std::collections::HashMap<UpstreamKey, u64>,
    joined: bool,
    turn: u64,
}

/// An event that the datagram thread sends to the control thread.
pub(super) enum ControlEvent {
    Grant(SocketAddr, LeaseGrant),
    Notice { version: u64, epoch: u64 },
    Sums(crate::state::ids::RouterId, Vec<crate::coordination::load_spread::LoadRow>),
    Leaving(Vec<LeavingIncarnation>),
    Chats(Vec<ChatNote>),
}

/// Runs the control thread until the router stops.
pub(super) fn run_control(
    shared: &Arc<RouterShared>,
    events: &crossbeam::channel::Receiver<ControlEvent>,
) {
    let pool = WorkerPool::new("poll", 16);
    let mut times = ControlSchedule::default();
    let tick = std::time::Duration::from_millis(TICK_MS);
    while !shared.stopping.load(Ordering::Relaxed) {
        if let Ok(event) = events.recv_timeout(tick) {
            handle_event(shared, event, &mut times);
            for event in events.try_iter() {
                handle_event(shared, event, &mut times);
            }
        }
        let now_ms = shared.clock.now_ms();
        if !times.joined {
            times.joined = join(shared);
        }
        if now_ms >= times.renew_ms {
            times.renew_ms = now_ms + RENEW_MS;
            send_renewal(shared, &mut times, now_ms);
        }
        report_chats(shared);
        send_sums_without_leader(shared, &mut times, now_ms);
        poll_engines(shared, &pool, &mut times, now_ms);
        poll_list(shared, &pool, &mut times, now_ms);
        if now_ms >= times.view_ms {
            times.view_ms = now_ms + RENEW_MS;
            refresh_view(shared, now_ms);
        }
    }
}

fn handle_event(shared: &Arc<RouterShared>, event: ControlEvent, times: &mut ControlSchedule) {
    let now_ms = shared.clock.now_ms();
    match event {
        ControlEvent::Grant(from, grant) => apply_grant(shared, from, grant, times),
        ControlEvent::Notice { version, epoch } => fetch_newer(shared, version, epoch),
        ControlEvent::Sums(router, rows) => {
            let mut home_state = lock(&shared.home_state);
            home_state.peer_loads.note(router, &rows, now_ms);
            home_state.peer_loads.expire(now_ms);
            // The loads that peers report are used only while no leader grants leases.
            if now_ms > home_state.remote_load.reported_ms() + LEADERLESS_MS {
                let fleets: Vec<FleetKey> = rows.iter().map(|row| row.fleet).collect();
                let rows = home_state.peer_loads.others(shared.id(), &fleets);
                home_state.remote_load.note(&rows, now_ms.saturating_sub(SUMS_INTERVAL_MS));
            }
        }
        ControlEvent::Chats(notes) => {
            let mut home_state = lock(&shared.home_state);
            for note in notes {
                home_state.memory.note(note.chat, note.engine, note.incarnation, note.tokens);
            }
        }
        ControlEvent::Leaving(leaving) => {
            leaving.into_iter().for_each(|leaving| shared.note_leaving(leaving))
        }
    }
}

// ---- session and lease ----

/// Joins the roster, or renews the session there; returns whether a leader accepted it.
fn join(shared: &Arc<RouterShared>) -> bool {
    let session = RouterSession {
        incarnation: shared.incarnation,
        address: shared.settings.address,
        zone: shared.settings.zone.clone(),
        leaving: shared.draining.load(Ordering::Relaxed),
    };
    match shared.keepers.call_leader(&KeeperCall::Join(shared.id(), session)) {
        Ok(_) => true,
        Err(failure) => {
            tracing::warn!("router: cannot join the roster: {failure}.");
            false
        }
    }
}

/// Sends a lease renewal with this router's loads and the incarnations that recently began to
/// leave.
fn send_renewal(shared: &Arc<RouterShared>, times: &mut ControlSchedule, now_ms: u64) {
    let (version, epoch) = applied_versions(shared);
    let view = shared.view();
    let leaving = {
        let mut home_state = lock(&shared.home_state);
        home_state.recent_leaving.retain(|(_, noted_ms)| now_ms < noted_ms + LEAVING_KEEP_MS);
        home_state.notices.sweep(|upstream| view.upstreams.contains_key(&upstream), now_ms);
        home_state
            .recent_leaving
            .iter()
            .map(|(leaving, _)| *leaving)
            .take(LEAVING_PER_DATAGRAM)
            .collect()
    };
    let renewal = LeaseRenewal {
        router: shared.id(),
        incarnation: shared.incarnation,
        sent_ms: now_ms,
        version,
        epoch,
        rows: rows_in_turn(shared.load_rows(), times.turn),
        leaving,
    };
    times.turn += 1;
    let reported_ms = lock(&shared.home_state).remote_load.reported_ms();
    let keepers = shared.keepers.keepers().iter().map(|keeper| keeper.address);
    let renewal = Datagram::Renew(renewal);
    for to in renewal_targets(shared.keepers.leader(), keepers, reported_ms, now_ms) {
        shared.port.send(to, &renewal);
    }
}

/// Returns the version of the configuration and the epoch of the roster that are applied here.
fn applied_versions(shared: &RouterShared) -> (u64, u64) {
    let version = lock(&shared.lease).applied_version().unwrap_or(0);
    (version, shared.view().roster.epoch)
}

/// Applies a lease grant. A leader that does not have this router's session makes it join again.
fn apply_grant(
    shared: &Arc<RouterShared>,
    from: SocketAddr,
    grant: LeaseGrant,
    times: &mut ControlSchedule,
) {
    shared.keepers.note_leader(from);
    if !grant.known {
        times.joined = false;
        return;
    }
    lock(&shared.lease).grant(grant.sent_ms, grant.version);
    fetch_newer(shared, grant.version, grant.epoch);
    {
        let mut home_state = lock(&shared.home_state);
        home_state.remote_load.note(&grant.rows, grant.sent_ms);
        home_state.homes.settle(grant.settled_epoch);
    }
    for leaving in grant.leaving {
        shared.note_leaving(leaving);
    }
}

// ---- configuration and roster ----

/// Fetches the configuration and the roster if a keeper reported newer ones.
fn fetch_newer(shared: &Arc<RouterShared>, version: u64, epoch: u64) {
    let applied_version = lock(&shared.lease).applied_version();
    if applied_version.is_none_or(|applied| applied < version) {
        fetch_changes(shared, applied_version);
    }
    if shared.view().roster.epoch < epoch {
        if let Ok(KeeperReply::Roster(roster)) = call_any(shared, &KeeperCall::Roster) {
            apply_roster(shared, roster);
        }
    }
}

/// Calls the leader first and then the other keepers. Any keeper may answer, since versions only
/// increase.
fn call_any(shared: &RouterShared, call: &KeeperCall) -> Result<KeeperReply, ()> {
    let leader = shared.keepers.leader();
    let others = shared.keepers.keepers().iter().map(|keeper| keeper.address);
    let mut all = std::iter::once(leader).chain(others.filter(|address| *address != leader));
    all.find_map(|address| shared.keepers.call(address, call).ok()).ok_or(())
}

/// Fetches the changes of the configuration after version `applied` and applies them.
fn fetch_changes(shared: &Arc<RouterShared>, applied: Option<u64>) {
    let Ok(reply) = call_any(shared, &KeeperCall::Changes(applied.unwrap_or(0))) else { return };
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
    // The view is replaced before the lease records the version, since requests rely on the view
    // once the lease covers the version.
    let current = lock(&shared.lease).applied_version();
    if current.is_some_and(|current| current >= version) {
        return;
    }
    shared.update_view(Some(configuration), None);
    lock(&shared.lease).apply(version);
    tracing::info!("router: applied configuration version {version}.");
}

fn apply_roster(shared: &Arc<RouterShared>, roster: RouterRoster) {
    let epoch = roster.epoch;
    shared.update_view(None, Some(roster));
    tracing::info!("router: applied roster epoch {epoch}.");
}

/// Applies the changes that only depend on time: ejections that end, queued requests that can be
/// admitted or expire, and expired shares and limits.
fn refresh_view(shared: &Arc<RouterShared>, now_ms: u64) {
    let view = shared.view();
    let stale = {
        let home_state = lock(&shared.home_state);
        view.fleets.values().any(|info| {
            info.members.iter().any(|upstream| {
                let open = info.view.engines.contains_key(upstream);
                let closed = home_state.leaving.is_leaving(*upstream)
                    || home_state.outliers.is_ejected(*upstream, now_ms);
                open == closed
            })
        })
    };
    if stale {
        shared.update_view(None, None);
    }
    let view = shared.view();
    let mut home_state = lock(&shared.home_state);
    let waiting: Vec<FleetKey> = home_state.queues.keys().copied().collect();
    for fleet in waiting {
        admit_waiting(shared, &mut home_state, fleet, &view);
    }
    home_state.shares.expire(now_ms);
    drop(home_state);
    lock(&shared.limits).expire(now_ms);
}

/// Reports to the homes of chats which engines hold the chats, with many notes in one datagram.
fn report_chats(shared: &Arc<RouterShared>) {
    let notes = std::mem::take(&mut lock(&shared.home_state).chat_notes);
    let view = shared.view();
    for (home, notes) in notes {
        let Some(session) = view.roster.routers.get(&home) else { continue };
        for notes in notes.chunks(NOTES_PER_DATAGRAM) {
            shared.port.send(session.address, &Datagram::Chats(notes.to_vec()));
        }
    }
}

// ---- without a leader ----

/// Sends the loads and leaving incarnations to the other routers while no leader grants leases.
fn send_sums_without_leader(shared: &Arc<RouterShared>, times: &mut ControlSchedule, now_ms: u64) {
    let lease_fresh = now_ms < lock(&shared.home_state).remote_load.reported_ms() + LEADERLESS_MS;
    if lease_fresh || now_ms < times.sums_ms {
        return;
    }
    times.sums_ms = now_ms + SUMS_INTERVAL_MS;
    let view = shared.view();
    let leaving: Vec<LeavingIncarnation> =
        lock(&shared.home_state).leaving.all().into_iter().take(LEAVING_PER_DATAGRAM).collect();
    let rows = rows_in_turn(shared.load_rows(), times.turn);
    let sums = Datagram::Sums { router: shared.id(), rows, leaving };
    for (id, session) in &view.roster.routers {
        if *id != shared.id() {
            shared.port.send(session.address, &sums);
        }
    }
}

// ---- engines and the VM list ----

/// Starts a request for the state of each engine of this home that is due.
fn poll_engines(
    shared: &Arc<RouterShared>,
    pool: &WorkerPool,
    times: &mut ControlSchedule,
    now_ms: u64,
) {
    let homed: Vec<UpstreamKey> =
        lock(&shared.home_state).homes.homed().map(|(engine, _)| engine).collect();
    times.polls.retain(|engine, _| homed.contains(engine));
    for engine in homed {
        let due = times.polls.entry(engine).or_insert(now_ms);
        if now_ms < *due {
            continue;
        }
        *due = now_ms + ENGINE_POLL_MS;
        let shared = shared.clone();
        // The pool is full when engines don't respond; this engine is polled again at its next
        // turn.
        let _ = pool.run(Box::new(move || poll_engine(&shared, engine)));
    }
}

/// Requests the state of an engine, and records its incarnation, its load and its cache events.
fn poll_engine(shared: &Arc<RouterShared>, engine: UpstreamKey) {
    let view = shared.view();
    let Some(info) = view.upstreams.get(&engine) else { return };
    let last_event = lock(&shared.home_state).events_seen.get(&engine).copied().unwrap_or(0);
    let call = engine::state_call(last_event);
    let times = CallTimes::of_ms(1000);
    let reply = shared.client.call(info.address, &call, times, MAX_STATE_BYTES, "engine-state");
    let state = match reply {
        Ok(reply) if reply.status == 200 => engine::read_state(&reply.body),
        Ok(reply) => Err(format!("status {}", reply.status)),
        Err(failure) => Err(failure.to_string()),
    };
    let state = match state {
        Ok(state) => state,
        Err(text) => {
            tracing::debug!("router: cannot read the state of {}: {text}.", info.name);
            return shared.note_failure(engine);
        }
    };
    let incarnation = crate::state::ids::Incarnation(state.incarnation);
    shared.note_incarnation(engine, incarnation);
    if state.leaving {
        shared.note_leaving(LeavingIncarnation { upstream: engine, incarnation });
    }
    let mut home_state = lock(&shared.home_state);
    if home_state.outliers.is_ejected(engine, shared.clock.now_ms()) {
        home_state.outliers.note_success(engine);
    }
    home_state.homes.report(engine, incarnation, state.work, shared.clock.now_ms());
    apply_cache_events(&mut home_state, engine, incarnation, last_event, &state);
}

/// Applies an engine's cache events to the chat memory. A gap in the event numbers makes the
/// entries of the engine uncertain.
fn apply_cache_events(
    home_state: &mut super::router_shared::HomeState,
    engine: UpstreamKey,
    incarnation: crate::state::ids::Incarnation,
    last_event: u64,
    state: &engine::EngineState,
) {
    let mut next = last_event + 1;
    for event in &state.events {
        if event.number < next {
            continue;
        }
        if event.number > next {
            home_state.memory.note_gap(engine);
        }
        next = event.number + 1;
        let Some(chat) = event.chat() else { continue };
        match event.tokens {
            0 => home_state.memory.drop_holder(chat, engine),
            tokens => home_state.memory.note(chat, engine, incarnation, tokens),
        }
    }
    if state.latest_event >= next {
        home_state.memory.note_gap(engine);
        next = state.latest_event + 1;
    }
    home_state.events_seen.insert(engine, next - 1);
}

fn poll_list(
    shared: &Arc<RouterShared>,
    pool: &WorkerPool,
    times: &mut ControlSchedule,
    now_ms: u64,
) {
    let Some(address) = shared.settings.vm_list else { return };
    if now_ms < times.list_ms {
        return;
    }
    times.list_ms = now_ms + LIST_POLL_MS;
    let shared = shared.clone();
    let _ = pool.run(Box::new(move || read_vm_list(&shared, address)));
}

/// Reads the VM list and records the upstreams that it lists as leaving.
fn read_vm_list(shared: &Arc<RouterShared>, address: SocketAddr) {
    let times = CallTimes::of_ms(1000);
    let reply = shared.client.call(address, &list_call(), times, MAX_STATE_BYTES, "vm-list");
    let Ok((entries, left_out)) = reply.map_err(|e| e.to_string()).and_then(|r| read_list(&r.body))
    else {
        return;
    };
    if left_out > 0 {
        tracing::warn!("router: ignored {left_out} malformed entries of the VM list.");
    }
    let view = shared.view();
    for entry in entries.iter().filter(|entry| entry.state == VmStatus::Leaving) {
        let found = view.upstreams.iter().find(|(_, info)| info.address == entry.address);
        if let Some((key, _)) = found {
            let incarnation = lock(&shared.home_state).leaving.incarnation(*key);
            shared.note_leaving(LeavingIncarnation { upstream: *key, incarnation });
        }
    }
}
