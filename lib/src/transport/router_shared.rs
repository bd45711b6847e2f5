//! The state that the threads of a router share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use crossbeam::channel::Sender;

use super::clock::{wall_ms, NodeClock};
use super::datagram::DatagramPort;
use super::http_client::HttpClient;
use super::keeper_client::KeeperClient;
use super::seen::RouterMetrics;
use crate::coordination::admission::FleetLoad;
use crate::coordination::claim_batch::ClaimBatch;
use crate::coordination::fair_queue::{FairQueue, RequestClass};
use crate::coordination::home::HomeTable;
use crate::coordination::leaving::{LeavingIncarnation, LeavingTable};
use crate::coordination::load_spread::{LoadRow, LoadTable, RemoteLoad};
use crate::coordination::outlier::OutlierTable;
use crate::coordination::placement::{FleetView, PlacementContext};
use crate::coordination::policy::{compile_policy, PolicyProgram};
use crate::coordination::retry::RetryBudget;
use crate::coordination::router_lease::RouterLease;
use crate::coordination::upstream_notice::NoticeTable;
use crate::coordination::workspace_limit::LimitTable;
use crate::coordination::workspace_share::ShareTable;
use crate::protocol::keeper_wire::ChatNote;
use crate::protocol::seal::{SealChecker, SealMaker};
use crate::state::chat_memory::ChatMemory;
use crate::state::claim_table::ClaimAnswer;
use crate::state::configuration::{Configuration, FleetEntry, FleetKind};
use crate::state::ids::{ChatKey, FleetKey, Incarnation, RouterId, UpstreamKey};
use crate::state::roster::RouterRoster;
use crate::state::settings::RouterSettings;

/// The maximum number of chats whose engines one home remembers.
pub const MAX_REMEMBERED_CHATS: usize = 200_000;

/// The data of one upstream in a view.
#[derive(Clone, Debug)]
pub struct UpstreamInfo {
    /// The upstream's name.
    pub name: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The fleet that it belongs to.
    pub fleet: FleetKey,
}

/// The data of one fleet in a view.
#[derive(Clone, Debug)]
pub struct FleetInfo {
    /// The fleet's rules in the configuration.
    pub entry: Arc<FleetEntry>,
    /// The upstreams that accept new work, with their homes.
    pub view: FleetView,
    /// All upstreams of the fleet.
    pub members: Vec<UpstreamKey>,
}

/// An immutable snapshot of the data that requests read. A newer view replaces it.
#[derive(Clone, Debug, Default)]
pub struct RouterView {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The compiled policies of the configuration, by name.
    pub policies: HashMap<String, Arc<PolicyProgram>>,
    /// The roster of routers.
    pub roster: RouterRoster,
    /// The fleets by key.
    pub fleets: HashMap<FleetKey, FleetInfo>,
    /// The upstreams by key.
    pub upstreams: HashMap<UpstreamKey, UpstreamInfo>,
}

impl RouterView {
    /// Makes the view of a configuration and a roster. `closed` returns whether an upstream accepts
    /// no new work.
    pub fn new(
        configuration: Arc<Configuration>,
        roster: RouterRoster,
        before: &RouterView,
        closed: impl Fn(UpstreamKey) -> bool,
    ) -> RouterView {
        let policies = compile_policies(&configuration, before);
        let mut upstreams = HashMap::new();
        let mut members: HashMap<FleetKey, Vec<UpstreamKey>> = HashMap::new();
        let mut draining = std::collections::HashSet::new();
        for (name, entry) in &configuration.upstreams {
            if entry.draining {
                draining.insert(UpstreamKey::of(name));
            }
            let (key, fleet) = (UpstreamKey::of(name), FleetKey::of(&entry.fleet));
            members.entry(fleet).or_default().push(key);
            let info = UpstreamInfo { name: name.clone(), address: entry.address, fleet };
            upstreams.insert(key, info);
        }
        let mut fleets = HashMap::new();
        for (name, entry) in &configuration.fleets {
            let key = FleetKey::of(name);
            let members = members.remove(&key).unwrap_or_default();
            let open = members
                .iter()
                .copied()
                .filter(|upstream| !closed(*upstream) && !draining.contains(upstream));
            let view = FleetView::new(open, &roster);
            fleets.insert(key, FleetInfo { entry: entry.clone(), view, members });
        }
        RouterView { configuration, policies, roster, fleets, upstreams }
    }
}

/// Compiles the policies of a configuration, and reuses the programs of unchanged ones.
fn compile_policies(
    configuration: &Configuration,
    before: &RouterView,
) -> HashMap<String, Arc<PolicyProgram>> {
    let mut policies = HashMap::new();
    for (name, entry) in &configuration.policies {
        let unchanged = before.configuration.policies.get(name) == Some(entry);
        if let Some(program) = before.policies.get(name).filter(|_| unchanged) {
            policies.insert(name.clone(), program.clone());
            continue;
        }
        match compile_policy(&entry.source) {
            Ok(program) => drop(policies.insert(name.clone(), Arc::new(program))),
            Err(error) => tracing::error!("router: policy {name} does not compile: {error}."),
        }
    }
    policies
}

/// The claims that are still to be sent and the threads that wait for answers.
pub(super) struct PendingClaims {
    /// The claims and reports that are still to be sent.
    pub(super) batch: ClaimBatch,
    /// The threads that wait for the answer to a claim, by attempt number.
    pub(super) waiting: HashMap<u64, Sender<Option<ClaimAnswer>>>,
    /// The threads that wait for the answers to a batch sent by datagram, by batch number.
    pub(super) batches: HashMap<u64, Sender<Option<Vec<ClaimAnswer>>>>,
}

/// The tables of a home. They share one lock, because one decision reads most of them.
#[derive(Debug)]
pub(super) struct HomeState {
    pub(super) homes: HomeTable,
    pub(super) memory: ChatMemory,
    pub(super) queues: HashMap<FleetKey, FairQueue>,
    pub(super) tickets: HashMap<u64, Sender<UpstreamKey>>,
    pub(super) remote_load: RemoteLoad,
    pub(super) peer_loads: LoadTable,
    pub(super) outliers: OutlierTable,
    pub(super) leaving: LeavingTable,
    pub(super) notices: NoticeTable,
    pub(super) recent_leaving: Vec<(LeavingIncarnation, u64)>,
    pub(super) chat_notes: HashMap<RouterId, Vec<ChatNote>>,
    pub(super) events_seen: HashMap<UpstreamKey, u64>,
    pub(super) plain_in_flight: HashMap<UpstreamKey, u32>,
    pub(super) retries: RetryBudget,
    pub(super) shares: ShareTable,
}

/// The state that all threads of a router share.
///
/// Lock order, where a thread must hold two: `view`, then `home_state`, then `limits`. The
/// locks of `lease`, `claims`, `checker` and `metrics` are never held with another.
pub struct RouterShared {
    /// The router's settings.
    pub settings: RouterSettings,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The monotonic clock of this process.
    pub clock: NodeClock,
    pub(super) client: HttpClient,
    pub(super) maker: Arc<SealMaker>,
    pub(super) checker: Arc<Mutex<SealChecker>>,
    pub(super) keepers: KeeperClient,
    pub(super) port: DatagramPort,
    /// Histograms and counters.
    pub metrics: RouterMetrics,
    view: RwLock<Arc<RouterView>>,
    pub(super) lease: Mutex<RouterLease>,
    pub(super) home_state: Mutex<HomeState>,
    pub(super) limits: Mutex<LimitTable>,
    pub(super) claims: Mutex<PendingClaims>,
    pub(super) claims_ready: std::sync::Condvar,
    next_number: AtomicU64,
    /// The number of requests in flight.
    pub(super) in_flight: AtomicUsize,
    /// Whether the router is draining.
    pub(super) draining: AtomicBool,
    /// Whether the router is stopping.
    pub(super) stopping: AtomicBool,
}

/// Takes a lock even if a thread panicked while holding it, since the tables are consistent between
/// steps.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poison| poison.into_inner())
}

impl RouterShared {
    pub(super) fn new(
        settings: RouterSettings,
        client: HttpClient,
        maker: Arc<SealMaker>,
        keepers: KeeperClient,
        port: DatagramPort,
    ) -> RouterShared {
        let checker = SealChecker::new(&settings.fleet_key, wall_ms());
        RouterShared {
            // A later incarnation has a higher number, unless the VM's clock is set back by more
            // than the time that the restart takes.
            incarnation: Incarnation(wall_ms()),
            clock: NodeClock::default(),
            client,
            maker,
            checker: Arc::new(Mutex::new(checker)),
            keepers,
            port,
            metrics: RouterMetrics::new(settings.statsd),
            view: RwLock::default(),
            lease: Mutex::default(),
            home_state: Mutex::new(HomeState {
                homes: HomeTable::default(),
                memory: ChatMemory::new(MAX_REMEMBERED_CHATS),
                queues: HashMap::new(),
                tickets: HashMap::new(),
                remote_load: RemoteLoad::default(),
                peer_loads: LoadTable::default(),
                outliers: OutlierTable::default(),
                leaving: LeavingTable::default(),
                notices: NoticeTable::default(),
                recent_leaving: Vec::new(),
                chat_notes: HashMap::new(),
                events_seen: HashMap::new(),
                plain_in_flight: HashMap::new(),
                retries: RetryBudget::default(),
                shares: ShareTable::default(),
            }),
            limits: Mutex::default(),
            claims: Mutex::new(PendingClaims {
                batch: ClaimBatch::default(),
                waiting: HashMap::new(),
                batches: HashMap::new(),
            }),
            claims_ready: std::sync::Condvar::new(),
            next_number: AtomicU64::new(1),
            in_flight: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            settings,
        }
    }

    /// Returns the number of this router.
    pub fn id(&self) -> RouterId {
        self.settings.id
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<RouterView> {
        self.view.read().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// Returns a number that is unique in this incarnation.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether the lease proves that the configuration applied here is in force.
    pub(super) fn is_leased(&self) -> bool {
        lock(&self.lease).may_serve(self.clock.now_ms())
    }

    /// Returns whether this router may accept new requests.
    pub fn may_serve(&self) -> bool {
        self.is_leased() && !self.draining.load(Ordering::Relaxed)
    }

    /// Replaces the view after a change of the configuration, the roster, or the leaving or ejected
    /// upstreams.
    pub(super) fn update_view(
        &self,
        configuration: Option<Arc<Configuration>>,
        roster: Option<RouterRoster>,
    ) {
        let mut current = self.view.write().unwrap_or_else(|poison| poison.into_inner());
        let before = current.clone();
        let configuration = configuration.unwrap_or_else(|| before.configuration.clone());
        let roster = roster.filter(|new| new.epoch > before.roster.epoch);
        let roster = roster.unwrap_or_else(|| before.roster.clone());
        let mut home_state = lock(&self.home_state);
        let now_ms = self.clock.now_ms();
        let closed = |upstream| {
            home_state.leaving.is_leaving(upstream)
                || home_state.outliers.is_ejected(upstream, now_ms)
        };
        let view = RouterView::new(configuration, roster, &before, closed);
        assign_homes(&mut home_state, &view, self.settings.id);
        *current = Arc::new(view);
    }

    /// Returns the load of a fleet from this router's own work and the last report of the other
    /// routers.
    pub(super) fn fleet_load(
        &self,
        home_state: &HomeState,
        fleet: FleetKey,
        info: &FleetInfo,
    ) -> FleetLoad {
        let own_work = home_state.homes.fleet_work(fleet);
        let engines = info.view.engines.len() as u32;
        home_state.remote_load.fleet_load(fleet, own_work, engines, self.clock.now_ms())
    }

    /// Returns the rows that this router sends in the exchange of loads.
    pub(super) fn load_rows(&self) -> Vec<LoadRow> {
        let view = self.view();
        let home_state = lock(&self.home_state);
        let engines = view.fleets.iter().filter(|(_, s)| s.entry.kind == FleetKind::Engine);
        let row = |(fleet, info): (&FleetKey, &FleetInfo)| {
            let queue = home_state.queues.get(fleet);
            let waiting = queue.is_some_and(|queue| queue.has_waiting(RequestClass::Batch));
            let most = info.entry.requests_per_engine;
            home_state.homes.load_row(*fleet, info.view.engines.len() as u32, most, waiting)
        };
        engines.map(row).collect()
    }

    /// Returns the data for placing `work` in a fleet.
    pub(super) fn placement_context<'a>(
        &self,
        home_state: &'a HomeState,
        fleet: FleetKey,
        info: &'a FleetInfo,
        work: u64,
    ) -> PlacementContext<'a> {
        PlacementContext {
            own: self.settings.id,
            fleet,
            view: &info.view,
            homes: &home_state.homes,
            memory: &home_state.memory,
            hints: home_state.remote_load.hints(fleet),
            hints_known: home_state.remote_load.reported_ms() > 0,
            load: self.fleet_load(home_state, fleet, info),
            multiple: info.entry.multiple,
            work,
        }
    }

    /// Records that an engine holds a chat, in this router's memory and for the chat's home.
    pub(super) fn note_chat(
        &self,
        fleet: FleetKey,
        chat: ChatKey,
        engine: UpstreamKey,
        incarnation: Incarnation,
        tokens: u32,
    ) {
        let view = self.view();
        let home = view.fleets.get(&fleet).and_then(|info| info.view.chat_home(chat));
        let mut home_state = lock(&self.home_state);
        let noted = home_state.memory.holders(chat).iter().any(|holder| holder.engine == engine);
        home_state.memory.note(chat, engine, incarnation, tokens);
        // The chat's home is notified only once for each engine, not on each turn of the chat.
        if let Some(home) = home.filter(|home| *home != self.settings.id && !noted) {
            home_state.chat_notes.entry(home).or_default().push(ChatNote {
                chat,
                engine,
                incarnation,
                tokens,
            });
        }
    }

    /// Records that an incarnation of an upstream is leaving. A new report closes the upstream here
    /// at once and is sent to the other routers.
    pub(super) fn note_leaving(&self, leaving: LeavingIncarnation) {
        let is_new = {
            let mut home_state = lock(&self.home_state);
            let is_new = home_state.leaving.note_leaving(leaving);
            if is_new {
                home_state.recent_leaving.push((leaving, self.clock.now_ms()));
                home_state.homes.close(leaving.upstream, true);
            }
            is_new
        };
        if is_new {
            self.update_view(None, None);
            if let Some(info) = self.view().upstreams.get(&leaving.upstream) {
                tracing::info!("router: {} leaves.", info.name);
            }
        }
    }

    /// Records the incarnation that an upstream reported. A new incarnation ends the leaving state
    /// of the earlier one.
    pub(super) fn note_incarnation(&self, upstream: UpstreamKey, incarnation: Incarnation) {
        let opened = {
            let mut home_state = lock(&self.home_state);
            let was_leaving = home_state.leaving.is_leaving(upstream);
            if home_state.leaving.incarnation(upstream) < incarnation {
                home_state.memory.set_incarnation(upstream, incarnation);
                home_state.events_seen.remove(&upstream);
                home_state.notices.forget(upstream);
            }
            home_state.leaving.note_incarnation(upstream, incarnation);
            was_leaving && !home_state.leaving.is_leaving(upstream)
        };
        if opened {
            self.update_view(None, None);
        }
    }
}

/// Updates which engines this router is home to, and which of them are closed.
fn assign_homes(home_state: &mut HomeState, view: &RouterView, own: RouterId) {
    let epoch = view.roster.epoch;
    for (fleet, info) in &view.fleets {
        if info.entry.kind != FleetKind::Engine {
            continue;
        }
        for engine in &info.members {
            let home = view.roster.home(*engine) == Some(own);
            home_state.homes.assign(*engine, *fleet, home, epoch);
            home_state.homes.close(*engine, !info.view.engines.contains_key(engine));
        }
    }
}

impl RouterShared {
    /// Returns the counted messages and bytes on the wire by kind.
    pub fn wire_rows(&self) -> Vec<crate::protocol::operator::WireRow> {
        self.client.wire.rows()
    }
}
