//! What the threads of a router share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};

use crossbeam::channel::Sender;

use super::clock::{wall_ms, NodeClock};
use super::datagram::DatagramPort;
use super::http_client::HttpClient;
use super::keeper_client::KeeperClient;
use super::seen::SeenTable;
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

/// Chats that one home remembers.
pub const CHATS_REMEMBERED: usize = 200_000;

/// One upstream, as a view holds it.
#[derive(Clone, Debug)]
pub struct UpstreamSight {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its fleet.
    pub fleet: FleetKey,
}

/// One fleet, as a view holds it.
#[derive(Clone, Debug)]
pub struct FleetSight {
    /// Its rules.
    pub entry: Arc<FleetEntry>,
    /// Those that take new work, with their homes.
    pub view: FleetView,
    /// All of its upstreams.
    pub members: Vec<UpstreamKey>,
}

/// All that a request needs to read, at one moment. Immutable; a newer one replaces it.
#[derive(Clone, Debug, Default)]
pub struct RouterView {
    /// The configuration.
    pub configuration: Arc<Configuration>,
    /// Its policies, compiled.
    pub policies: HashMap<String, Arc<PolicyProgram>>,
    /// The routers.
    pub roster: RouterRoster,
    /// The fleets.
    pub fleets: HashMap<FleetKey, FleetSight>,
    /// The upstreams.
    pub upstreams: HashMap<UpstreamKey, UpstreamSight>,
}

impl RouterView {
    /// The view of a configuration and a roster; `closed` is whether an upstream takes no new work.
    pub fn new(
        configuration: Arc<Configuration>,
        roster: RouterRoster,
        before: &RouterView,
        closed: impl Fn(UpstreamKey) -> bool,
    ) -> RouterView {
        let policies = compile_all(&configuration, before);
        let mut upstreams = HashMap::new();
        let mut members: HashMap<FleetKey, Vec<UpstreamKey>> = HashMap::new();
        let mut draining = std::collections::HashSet::new();
        for (name, entry) in &configuration.upstreams {
            if entry.draining {
                draining.insert(UpstreamKey::of(name));
            }
            let (key, fleet) = (UpstreamKey::of(name), FleetKey::of(&entry.fleet));
            members.entry(fleet).or_default().push(key);
            let sight = UpstreamSight { name: name.clone(), address: entry.address, fleet };
            upstreams.insert(key, sight);
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
            fleets.insert(key, FleetSight { entry: entry.clone(), view, members });
        }
        RouterView { configuration, policies, roster, fleets, upstreams }
    }
}

/// Unchanged policies are not compiled again.
fn compile_all(
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

/// Who waits for a claim's answer.
pub(super) struct ClaimWaiters {
    /// What is to be sent.
    pub(super) batch: ClaimBatch,
    /// By the caller's handle.
    pub(super) waiting: HashMap<u64, Sender<Option<ClaimAnswer>>>,
    /// Batches that were sent by datagram, by number.
    pub(super) batches: HashMap<u64, Sender<Option<Vec<ClaimAnswer>>>>,
}

/// The tables of a home, behind one lock because one decision reads most of them.
#[derive(Debug)]
pub(super) struct HomeDesk {
    pub(super) homes: HomeTable,
    pub(super) memory: ChatMemory,
    pub(super) queues: HashMap<FleetKey, FairQueue>,
    pub(super) tickets: HashMap<u64, Sender<UpstreamKey>>,
    pub(super) others: RemoteLoad,
    pub(super) peer_loads: LoadTable,
    pub(super) outliers: OutlierTable,
    pub(super) leaving: LeavingTable,
    pub(super) notices: NoticeTable,
    pub(super) news: Vec<(LeavingIncarnation, u64)>,
    pub(super) notes: HashMap<RouterId, Vec<ChatNote>>,
    pub(super) events_seen: HashMap<UpstreamKey, u64>,
    pub(super) plain_in_flight: HashMap<UpstreamKey, u32>,
    pub(super) retries: RetryBudget,
    pub(super) shares: ShareTable,
}

/// What all threads of a router reach.
///
/// Lock order, where a thread must hold two: `view`, then `desk`, then `limits`. The
/// locks of `lease`, `claims`, `checker` and `seen` are never held with another.
pub struct RouterShared {
    /// Its settings.
    pub settings: RouterSettings,
    /// This life.
    pub incarnation: Incarnation,
    /// Its monotonic clock.
    pub clock: NodeClock,
    pub(super) client: HttpClient,
    pub(super) maker: Arc<SealMaker>,
    pub(super) checker: Arc<Mutex<SealChecker>>,
    pub(super) keepers: KeeperClient,
    pub(super) port: DatagramPort,
    /// Histograms and counters.
    pub seen: SeenTable,
    view: RwLock<Arc<RouterView>>,
    pub(super) lease: Mutex<RouterLease>,
    pub(super) desk: Mutex<HomeDesk>,
    pub(super) limits: Mutex<LimitTable>,
    pub(super) claims: Mutex<ClaimWaiters>,
    pub(super) claims_ready: std::sync::Condvar,
    next_number: AtomicU64,
    /// Requests in flight.
    pub(super) in_flight: AtomicUsize,
    /// The router drains.
    pub(super) draining: AtomicBool,
    /// The router stops.
    pub(super) stopping: AtomicBool,
}

/// Takes a lock, also when a thread panicked with it: the tables are whole between steps.
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
            // A later life has a higher number, as long as the VM's clock does not fall back
            // by more than its restart takes.
            incarnation: Incarnation(wall_ms()),
            clock: NodeClock::default(),
            client,
            maker,
            checker: Arc::new(Mutex::new(checker)),
            keepers,
            port,
            seen: SeenTable::new(settings.statsd),
            view: RwLock::default(),
            lease: Mutex::default(),
            desk: Mutex::new(HomeDesk {
                homes: HomeTable::default(),
                memory: ChatMemory::new(CHATS_REMEMBERED),
                queues: HashMap::new(),
                tickets: HashMap::new(),
                others: RemoteLoad::default(),
                peer_loads: LoadTable::default(),
                outliers: OutlierTable::default(),
                leaving: LeavingTable::default(),
                notices: NoticeTable::default(),
                news: Vec::new(),
                notes: HashMap::new(),
                events_seen: HashMap::new(),
                plain_in_flight: HashMap::new(),
                retries: RetryBudget::default(),
                shares: ShareTable::default(),
            }),
            limits: Mutex::default(),
            claims: Mutex::new(ClaimWaiters {
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

    /// This router's number.
    pub fn id(&self) -> RouterId {
        self.settings.id
    }

    /// The view in force.
    pub fn view(&self) -> Arc<RouterView> {
        self.view.read().unwrap_or_else(|poison| poison.into_inner()).clone()
    }

    /// A number that is unique in this life.
    pub(super) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether the lease proves that what is applied here is in force.
    pub(super) fn is_leased(&self) -> bool {
        lock(&self.lease).may_serve(self.clock.now_ms())
    }

    /// Whether new work may be taken here.
    pub fn may_serve(&self) -> bool {
        self.is_leased() && !self.draining.load(Ordering::Relaxed)
    }

    /// Replaces the view after a change of configuration, roster or leaving lives.
    pub(super) fn renew_view(
        &self,
        configuration: Option<Arc<Configuration>>,
        roster: Option<RouterRoster>,
    ) {
        let mut place = self.view.write().unwrap_or_else(|poison| poison.into_inner());
        let before = place.clone();
        let configuration = configuration.unwrap_or_else(|| before.configuration.clone());
        let roster = roster.filter(|new| new.epoch > before.roster.epoch);
        let roster = roster.unwrap_or_else(|| before.roster.clone());
        let mut desk = lock(&self.desk);
        let now_ms = self.clock.now_ms();
        let closed = |upstream| {
            desk.leaving.is_leaving(upstream) || desk.outliers.is_ejected(upstream, now_ms)
        };
        let view = RouterView::new(configuration, roster, &before, closed);
        assign_homes(&mut desk, &view, self.settings.id);
        *place = Arc::new(view);
    }

    /// The load of a fleet, as known here and now.
    pub(super) fn fleet_load(
        &self,
        desk: &HomeDesk,
        fleet: FleetKey,
        sight: &FleetSight,
    ) -> FleetLoad {
        let own_work = desk.homes.fleet_work(fleet);
        let engines = sight.view.engines.len() as u32;
        desk.others.fleet_load(fleet, own_work, engines, self.clock.now_ms())
    }

    /// This router's rows for the load exchange.
    pub(super) fn load_rows(&self) -> Vec<LoadRow> {
        let view = self.view();
        let desk = lock(&self.desk);
        let engines = view.fleets.iter().filter(|(_, s)| s.entry.kind == FleetKind::Engine);
        let row = |(fleet, sight): (&FleetKey, &FleetSight)| {
            let queue = desk.queues.get(fleet);
            let waiting = queue.is_some_and(|queue| queue.has_waiting(RequestClass::Batch));
            let most = sight.entry.requests_per_engine;
            desk.homes.load_row(*fleet, sight.view.engines.len() as u32, most, waiting)
        };
        engines.map(row).collect()
    }

    /// What a placement in this fleet may go by.
    pub(super) fn known<'a>(
        &self,
        desk: &'a HomeDesk,
        fleet: FleetKey,
        sight: &'a FleetSight,
        work: u64,
    ) -> PlacementContext<'a> {
        PlacementContext {
            own: self.settings.id,
            fleet,
            view: &sight.view,
            homes: &desk.homes,
            memory: &desk.memory,
            hints: desk.others.hints(fleet),
            hints_known: desk.others.reported_ms() > 0,
            load: self.fleet_load(desk, fleet, sight),
            multiple: sight.entry.multiple,
            work,
        }
    }

    /// Notes where a chat went, here and for the chat's home.
    pub(super) fn note_chat(
        &self,
        fleet: FleetKey,
        chat: ChatKey,
        engine: UpstreamKey,
        life: Incarnation,
        tokens: u32,
    ) {
        let view = self.view();
        let home = view.fleets.get(&fleet).and_then(|sight| sight.view.chat_home(chat));
        let mut desk = lock(&self.desk);
        let known = desk.memory.holders(chat).iter().any(|holder| holder.engine == engine);
        desk.memory.note(chat, engine, life, tokens);
        // The chat's home is notified once for each engine; it need not know of each turn.
        if let Some(home) = home.filter(|home| *home != self.settings.id && !known) {
            desk.notes.entry(home).or_default().push(ChatNote {
                chat,
                engine,
                incarnation: life,
                tokens,
            });
        }
    }

    /// Notes a life that leaves; news is sent to the others, and closes it here at once.
    pub(super) fn note_leaving(&self, mark: LeavingIncarnation) {
        let news = {
            let mut desk = lock(&self.desk);
            let news = desk.leaving.note_leaving(mark);
            if news {
                desk.news.push((mark, self.clock.now_ms()));
                desk.homes.close(mark.upstream, true);
            }
            news
        };
        if news {
            self.renew_view(None, None);
            if let Some(sight) = self.view().upstreams.get(&mark.upstream) {
                tracing::info!("router: {} leaves.", sight.name);
            }
        }
    }

    /// Notes the life that an upstream reported; a new life opens it again.
    pub(super) fn note_incarnation(&self, upstream: UpstreamKey, life: Incarnation) {
        let opened = {
            let mut desk = lock(&self.desk);
            let was_leaving = desk.leaving.is_leaving(upstream);
            if desk.leaving.incarnation(upstream) < life {
                desk.memory.set_incarnation(upstream, life);
                desk.events_seen.remove(&upstream);
                desk.notices.forget(upstream);
            }
            desk.leaving.note_incarnation(upstream, life);
            was_leaving && !desk.leaving.is_leaving(upstream)
        };
        if opened {
            self.renew_view(None, None);
        }
    }
}

fn assign_homes(desk: &mut HomeDesk, view: &RouterView, own: RouterId) {
    let epoch = view.roster.epoch;
    for (fleet, sight) in &view.fleets {
        if sight.entry.kind != FleetKind::Engine {
            continue;
        }
        for engine in &sight.members {
            let home = view.roster.home(*engine) == Some(own);
            desk.homes.assign(*engine, *fleet, home, epoch);
            desk.homes.close(*engine, !sight.view.engines.contains_key(engine));
        }
    }
}

impl RouterShared {
    /// Bytes on the wire by kind.
    pub fn wire_rows(&self) -> Vec<crate::protocol::operator::WireRow> {
        self.client.wire.rows()
    }
}
