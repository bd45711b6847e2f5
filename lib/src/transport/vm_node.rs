//! One VM of the fleet: its tables and what drives them, on one event loop.
//!
//! Everything here runs on one thread, so tables are in cells and no borrow is held
//! over an await. Only the disk has a thread of its own. See
//! `docs/design/platform.md`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::sync::{oneshot, Notify};
use tokio::task::spawn_local;
use tracing::{error, info, warn};

use super::clock::NodeClock;
use super::vm_disk::{start_disk, DiskReport};
use super::vm_keeper::{KeeperDriver, KeeperIdentity, KeeperOutcome};
use super::vm_links::LinkTable;
use super::vm_list_desk::ListState;
use super::vm_order_desk::PendingOrders;
use super::vm_pool::ConnectionPool;
use super::vm_sockets::listen;
use super::wire_count::WireCount;
use crate::coordination::engine_room::ServiceCapacity;
use crate::coordination::fleet_health::{HealthOutbox, HealthTable};
use crate::coordination::holder_news::{HolderLog, HolderOutbox, HolderPosition};
use crate::coordination::leader_contact::LeaderContact;
use crate::coordination::outlier::OutlierTable;
use crate::coordination::plain_choice::HoldTime;
use crate::coordination::quarantine_desk::QuarantineState;
use crate::coordination::raft_message::HEARTBEAT_MS;
use crate::coordination::repeat_budget::{RepeatAllowance, RepeatBudget};
use crate::coordination::rollout_desk::RolloutState;
use crate::coordination::silence_desk::SilenceState;
use crate::coordination::upstream_choice::PrefixMemory;
use crate::coordination::upstream_load::{LoadReports, SharedLoads, UpstreamLoad};
use crate::coordination::vm_roster::{RosterCopy, RosterRow};
use crate::coordination::zone_desk::ZoneState;
use crate::protocol::vm_wire::{VmId, VmMessage};
use crate::protocol::wire_adapter::WireAdapter;
use crate::state::document_change::DocumentChange;
use crate::state::fleet_record::HeldDocument;
use crate::state::ids::{Incarnation, KeeperId, UpstreamKey};
use crate::state::packed_text::PackedText;
use crate::state::route_table::RouteTable;
use crate::state::upstream_list::{ListRevision, UpstreamList};
use crate::state::vm_figures::VmFigures;
use crate::state::vm_settings::VmSettings;

/// The loop's own pace; heartbeats are the shortest thing that it must keep.
const TICK: Duration = Duration::from_millis(HEARTBEAT_MS / 2);

/// The routes in force, and the document that they were read from.
pub struct RoutesInForce {
    /// The routes.
    pub table: RouteTable,
    /// The document, byte for byte.
    pub document: Vec<u8>,
}

/// What a VM reports of holders, has heard of them, and sends on while it leads.
#[derive(Default)]
pub struct HolderState {
    /// What it has to report.
    pub outbox: HolderOutbox,
    /// What it has heard.
    pub received: HolderPosition,
    /// What it received as the leader.
    pub log: HolderLog,
}

/// How a VM's sends went, and what was reported of all VMs' while it leads.
#[derive(Default)]
pub struct HealthState {
    /// What it has to report.
    pub outbox: HealthOutbox,
    /// What it received as the leader.
    pub table: HealthTable,
}

/// What a VM knows of the others.
#[derive(Default)]
pub struct FleetView {
    /// The leader, as far as known.
    pub leader: Option<VmId>,
    /// The keepers.
    pub keepers: Vec<VmId>,
    /// The VMs that the leader heard lately.
    pub roster: RosterCopy,
    /// When a leader answered for the first time.
    pub first_contact_ms: Option<u64>,
    /// When the leader last answered.
    pub last_contact_ms: u64,
    /// What others have in flight.
    pub reports: LoadReports,
    /// Upstreams that fail all VMs that send to them, by the last grant.
    pub failing: Vec<UpstreamKey>,
    /// What this VM reported of its own, by the time of the report.
    pub own_reported: HashMap<u64, Vec<UpstreamLoad>>,
    /// Pages of the list of upstreams, as this VM last read it.
    pub list_pages: usize,
    /// The term of the last leader that answered.
    pub term: u64,
    /// The last term in which this VM announced that it leads.
    pub announced_term: u64,
    /// How many VMs there are, by the last answer.
    pub vms: usize,
    /// When the list of upstreams should be read again, by its reader.
    pub list_due_ms: u64,
    /// When the list was last asked for, so that it isn't asked for with each grant.
    pub list_requested_ms: u64,
    /// How often the list, and the configuration, were asked for in vain.
    pub list_attempts: u32,
    pub document_attempts: u32,
}

/// One VM.
pub struct VmNode {
    /// What it was given at its start, or later.
    pub settings: RefCell<VmSettings>,
    /// The platform's wire.
    pub adapter: Box<dyn WireAdapter>,
    /// Its clock.
    pub clock: NodeClock,
    /// The VM's address as a number.
    pub id: VmId,
    /// The hash of its zone's name.
    pub zone: u64,
    /// The routes in force.
    pub routes: RefCell<Option<Rc<RoutesInForce>>>,
    /// How fresh that is.
    pub contact: RefCell<LeaderContact>,
    /// Notified when the contact or the routes change.
    pub contact_changed: Notify,
    /// The upstreams.
    pub upstreams: RefCell<UpstreamList>,
    /// The other VMs.
    pub view: RefCell<FleetView>,
    /// The keeper, on a VM with a disk, once its disk is open.
    pub keeper: RefCell<Option<KeeperDriver>>,
    /// Connections to upstreams.
    pub pool: ConnectionPool,
    /// Requests in flight by upstream.
    pub in_flight: RefCell<HashMap<UpstreamKey, u32>>,
    /// What was learned of the room at each service of engines.
    pub capacities: RefCell<HashMap<String, ServiceCapacity>>,
    /// How long requests are at upstreams of each plain service.
    pub plain_holds: RefCell<HashMap<String, HoldTime>>,
    /// When an engine was last nearly full.
    pub overloaded_ms: Cell<u64>,
    /// Passive health checks.
    pub outliers: RefCell<OutlierTable>,
    /// What it has counted.
    pub counters: RefCell<VmFigures>,
    /// Where its counters are asked for.
    pub metrics_path: RefCell<String>,
    /// What this VM sent where.
    pub prefixes: RefCell<PrefixMemory>,
    /// Where parts are kept against the order: reported and heard.
    pub holders: RefCell<HolderState>,
    /// How sends went, here and elsewhere.
    pub health: RefCell<HealthState>,
    /// Zones that are emptied, and cold upstreams.
    pub zones: RefCell<ZoneState>,
    /// Orders of operators that a leader elsewhere was asked to take.
    pub orders: RefCell<PendingOrders>,
    /// Roll-outs.
    pub rollouts: RefCell<RolloutState>,
    /// Requests that end upstreams.
    pub quarantine: RefCell<QuarantineState>,
    /// Upstreams that are silent.
    pub silence: RefCell<SilenceState>,
    /// Notified when others are silent than before.
    pub silence_changed: Notify,
    /// Repeats, by service.
    pub budgets: RefCell<HashMap<String, RepeatBudget>>,
    /// The loads that it sends while it leads.
    pub shared_loads: RefCell<SharedLoads>,
    /// Links to other VMs.
    pub links: LinkTable,
    /// Bytes to and from other VMs, by kind of message.
    pub wire: Rc<WireCount>,
    /// The list of upstreams as a frame, when VMs have asked for the whole.
    pub list_frame: RefCell<Option<(ListRevision, Bytes)>>,
    /// The last step that VMs have asked for as a frame, and from which state to which it leads.
    pub delta_frame: RefCell<Option<((ListRevision, ListRevision), Bytes)>>,
    /// Who asked for the list, or for news of it, in vain.
    pub list_state: RefCell<ListState>,
    /// VMs that looked for a leader here while this VM was none, at a keeper.
    pub seekers: RefCell<BTreeSet<VmId>>,
    /// VMs that asked for a document before any was known here.
    pub document_requesters: RefCell<BTreeSet<VmId>>,
    /// The document as a frame, likewise.
    pub document_frame: RefCell<Option<(u64, Bytes)>>,
    /// Datagrams to other VMs.
    pub datagrams: UdpSocket,
    /// Puts that a leader elsewhere was asked for.
    pub pending_puts: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// Numbers for those and for random choices.
    pub draws: Cell<u64>,
    /// Requests that are being served.
    pub serving: Cell<u32>,
    /// Whether this VM was ready by its last report.
    pub reported_ready: Cell<bool>,
    /// Connections that are open at the listeners.
    pub connections: Cell<u32>,
    /// When SIGTERM came.
    pub stopping_ms: Cell<Option<u64>>,
    /// Notified when the listeners should close what rests.
    pub closing: Notify,
}

impl VmNode {
    /// Binds the peer port and makes the tables.
    pub async fn bind(
        settings: VmSettings,
        adapter: Box<dyn WireAdapter>,
        seed: u64,
    ) -> std::io::Result<Rc<VmNode>> {
        let id = VmId::from(settings.ip);
        let peer = SocketAddr::from((settings.ip, settings.peer_port));
        let datagrams = UdpSocket::bind(peer).await?;
        let zone = xxhash_rust::xxh3::xxh3_64(settings.zone.as_bytes());
        let wire = Rc::new(WireCount::default());
        let links = LinkTable::new(id, settings.peer_port, wire.clone());
        Ok(Rc::new(VmNode {
            settings: RefCell::new(settings),
            adapter,
            clock: NodeClock::default(),
            id,
            zone,
            routes: RefCell::default(),
            contact: RefCell::default(),
            contact_changed: Notify::new(),
            upstreams: RefCell::default(),
            view: RefCell::default(),
            keeper: RefCell::default(),
            pool: ConnectionPool::default(),
            in_flight: RefCell::default(),
            capacities: RefCell::default(),
            plain_holds: RefCell::default(),
            overloaded_ms: Cell::new(0),
            outliers: RefCell::default(),
            counters: RefCell::default(),
            metrics_path: RefCell::default(),
            prefixes: RefCell::default(),
            holders: RefCell::default(),
            health: RefCell::default(),
            zones: RefCell::default(),
            orders: RefCell::default(),
            rollouts: RefCell::new(RolloutState::new(seed)),
            quarantine: RefCell::default(),
            silence: RefCell::default(),
            silence_changed: Notify::new(),
            budgets: RefCell::default(),
            shared_loads: RefCell::default(),
            links,
            wire,
            list_frame: RefCell::default(),
            delta_frame: RefCell::default(),
            list_state: RefCell::default(),
            seekers: RefCell::default(),
            document_requesters: RefCell::default(),
            document_frame: RefCell::default(),
            datagrams,
            pending_puts: RefCell::default(),
            draws: Cell::new(seed | 1),
            serving: Cell::new(0),
            reported_ready: Cell::new(false),
            connections: Cell::new(0),
            stopping_ms: Cell::new(None),
            closing: Notify::new(),
        }))
    }

    /// Milliseconds of the steady clock.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// A random number.
    pub fn draw(&self) -> u64 {
        let mut draw = self.draws.get();
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        self.draws.set(draw);
        draw
    }

    /// What the fleet may repeat.
    pub fn allowance(&self) -> RepeatAllowance {
        let bounds = self.settings.borrow().bounds;
        RepeatAllowance {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window_ms: bounds.repeat_window_ms,
        }
    }

    /// Whether this VM surely leads.
    pub(super) fn leads(&self, now_ms: u64) -> bool {
        self.keeper.borrow().as_ref().is_some_and(|keeper| keeper.is_confirmed_leader(now_ms))
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let (bounds, now_ms) = (self.settings.borrow().bounds, self.now_ms());
        let contact = self.contact.borrow();
        self.stopping_ms.get().is_none()
            && self.routes.borrow().is_some()
            && contact.may_serve_keys(bounds.revoke_ms, now_ms)
            && !contact.is_behind(bounds.apply_ms, now_ms)
    }

    /// What others should know of this VM.
    pub fn own_row(&self) -> RosterRow {
        let ready = self.is_ready();
        self.reported_ready.set(ready);
        RosterRow { id: self.id, zone: self.zone, ready }
    }

    /// Renews at once when this VM has become ready, or is so no more: callers wait
    /// for it after a restart of everything.
    pub fn renew_if_changed(&self) {
        if self.is_ready() != self.reported_ready.get() {
            self.renew();
        }
    }

    /// What this VM has in flight.
    pub fn own_loads(&self) -> Vec<UpstreamLoad> {
        let in_flight = self.in_flight.borrow();
        let loads = in_flight.iter().filter(|(_, requests)| **requests > 0);
        loads
            .map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
            .collect()
    }

    /// Puts a committed document in force, unless it is older than what is.
    pub fn apply_document(&self, version: u64, document: &[u8]) {
        if version <= self.contact.borrow().applied() {
            return;
        }
        match self.adapter.read_document(document) {
            Ok(table) => {
                info!(target: "routes", version, routes = table.routes.len(), "in force");
                let in_force = RoutesInForce { table, document: document.to_vec() };
                *self.routes.borrow_mut() = Some(Rc::new(in_force));
                self.contact.borrow_mut().note_applied(version);
                self.view.borrow_mut().document_attempts = 0;
                self.contact_changed.notify_waiters();
                self.renew_if_changed();
            }
            // Every document was checked before it was proposed.
            Err(findings) => error!(target: "routes", version, "cannot be read: {findings:?}"),
        }
    }

    /// The same for a packed document.
    fn apply_packed(&self, version: u64, document: &PackedText) {
        if version <= self.contact.borrow().applied() {
            return;
        }
        match document.unpack() {
            Ok(document) => self.apply_document(version, &document),
            Err(error) => error!(target: "routes", version, "cannot be unpacked: {error}"),
        }
    }

    /// Sends what a keeper's step asks for and applies what it committed.
    pub fn carry_out(&self, outcome: KeeperOutcome) {
        for (to, message) in outcome.messages {
            self.links.send(to.0, &VmMessage::Raft(message));
        }
        if outcome.rollouts_changed {
            self.send_rollouts();
        }
        if outcome.quarantine_changed {
            self.publish_quarantine();
        }
        if !outcome.changed {
            return;
        }
        let now_ms = self.now_ms();
        let (held, vouches) = match &*self.keeper.borrow() {
            Some(keeper) => (keeper.record.document.clone(), keeper.is_confirmed_leader(now_ms)),
            None => return,
        };
        let before = self.routes.borrow().clone();
        self.apply_packed(held.version, &held.text);
        for asker in std::mem::take(&mut *self.document_requesters.borrow_mut()) {
            self.answer_document_request(asker);
        }
        if vouches {
            self.send_document(before.as_deref(), held);
        }
    }

    /// Sends a new document to the VMs that are no keepers, against the one before if there was
    /// one; keepers hear of it by the consensus itself.
    fn send_document(&self, before: Option<&RoutesInForce>, held: HeldDocument) {
        let view = self.view.borrow();
        let others = view.roster.rows.iter().map(|row| row.id);
        let others = others.filter(|id| *id != self.id && !view.keepers.contains(id));
        let routes = self.routes.borrow().clone();
        let after = routes.filter(|routes| routes.table.version == held.version);
        let change = before.zip(after).map(|(before, after)| {
            let change = DocumentChange::between(&before.document, &after.document);
            (before.table.version, change)
        });
        let packed = held.text.packed_bytes();
        let small = change.filter(|(_, change)| change.new_bytes() * 2 < packed);
        let message = match small {
            Some((before, change)) => {
                VmMessage::DocumentChange { before, version: held.version, change }
            }
            None => VmMessage::Document { version: held.version, document: held.text },
        };
        self.links.send_all(others, &message);
    }

    /// Takes a document that is encoded against an earlier one; asks for the whole if that isn't
    /// the one in force here.
    fn apply_document_change(
        &self,
        from: VmId,
        before: u64,
        version: u64,
        change: &DocumentChange,
    ) {
        if version <= self.contact.borrow().applied() {
            return;
        }
        let routes = self.routes.borrow().clone().filter(|routes| routes.table.version == before);
        match routes.and_then(|routes| change.apply(&routes.document)) {
            Some(document) => self.apply_document(version, &document),
            None => self.request_document(from),
        }
    }

    /// Takes a step of the keeper, if there is one, and carries it out.
    pub fn step_keeper(&self, act: impl FnOnce(&mut KeeperDriver, u64) -> KeeperOutcome) {
        let now_ms = self.now_ms();
        let outcome = self.keeper.borrow_mut().as_mut().map(|keeper| act(keeper, now_ms));
        if let Some(outcome) = outcome {
            self.carry_out(outcome);
        }
    }

    /// A message came over a link.
    pub fn handle_message(self: &Rc<Self>, from: VmId, message: VmMessage) {
        match message {
            VmMessage::Raft(message) => {
                self.step_keeper(|keeper, now_ms| keeper.receive(message, now_ms));
            }
            VmMessage::Put { number, document, version } => {
                let node = self.clone();
                spawn_local(async move {
                    let committed = node.put_here(version, &document).await;
                    let reply = VmMessage::PutReply { number, committed };
                    node.links.send(from, &reply);
                });
            }
            VmMessage::PutReply { number, committed } => {
                if let Some(asker) = self.pending_puts.borrow_mut().remove(&number) {
                    let _ = asker.send(committed);
                }
            }
            VmMessage::Order { question, order } => {
                spawn_local(self.clone().answer_order(from, question, order));
            }
            VmMessage::OrderReply { question, verdict } => {
                self.receive_order_reply(question, verdict);
            }
            VmMessage::WantDocument => self.answer_document_request(from),
            VmMessage::Document { version, document } => self.apply_packed(version, &document),
            VmMessage::DocumentChange { before, version, change } => {
                self.apply_document_change(from, before, version, &change);
            }
            VmMessage::WantList { have } => self.answer_list_request(from, have),
            VmMessage::ListDelta(step) => self.apply_list_delta(from, step),
            VmMessage::List { mark, rows } => self.apply_list(mark, rows),
        }
    }

    /// Gives a VM the newest document. A keeper that has just started may not know yet what is
    /// committed; it answers as soon as it does.
    fn answer_document_request(&self, to: VmId) {
        let keeper = self.keeper.borrow();
        let Some(held) = keeper.as_ref().map(|keeper| &keeper.record.document) else { return };
        if held.version == 0 {
            self.document_requesters.borrow_mut().insert(to);
            return;
        }
        self.links.send_shared(to, "document", held.version, &self.document_frame, || {
            let (version, document) = (held.version, held.text.clone());
            VmMessage::Document { version, document }
        });
    }

    /// Proposes a document here; true when it is committed.
    pub async fn put_here(&self, version: u64, document: &PackedText) -> bool {
        let now_ms = self.now_ms();
        let put =
            self.keeper.borrow_mut().as_mut().map(|keeper| keeper.put(version, document, now_ms));
        let Some((receiver, outcome)) = put else { return false };
        self.carry_out(outcome);
        receiver.await.unwrap_or(false)
    }

    fn start_keeper(self: &Rc<Self>) -> std::io::Result<()> {
        let settings = self.settings.borrow();
        let Some(folder) = settings.data_folder.clone() else { return Ok(()) };
        let id = KeeperId(self.id);
        let founder = settings.first_start && settings.seeds.first() == Some(&settings.ip);
        let identity = KeeperIdentity {
            id,
            peer_port: settings.peer_port,
            tolerated_losses: settings.tolerated_losses,
            founder,
            seed: self.draw(),
        };
        let (reports, receiver) = unbounded_channel();
        let jobs = start_disk(folder, id, Incarnation(self.draw()), reports)?;
        spawn_local(self.clone().drive_disk(identity, jobs, receiver));
        Ok(())
    }

    async fn drive_disk(
        self: Rc<Self>,
        identity: KeeperIdentity,
        jobs: crossbeam::channel::Sender<super::vm_disk::DiskJob>,
        mut reports: UnboundedReceiver<DiskReport>,
    ) {
        let Some(DiskReport::Opened(life, stored, kept)) = reports.recv().await else { return };
        if let Some(kept) = kept {
            info!(target: "list", upstreams = kept.rows.len(), "is used as it was kept on disk");
            self.apply_list(kept.mark, kept.rows);
        }
        self.list_state.borrow_mut().disk = Some(jobs.clone());
        let keeper = KeeperDriver::new(identity, life, *stored, jobs, self.now_ms());
        *self.keeper.borrow_mut() = Some(keeper);
        while let Some(report) = reports.recv().await {
            match report {
                DiskReport::ListKept => self.list_state.borrow_mut().note_kept(),
                report => self.step_keeper(|keeper, now_ms| keeper.note_disk(report, now_ms)),
            }
        }
        warn!(target: "disk", "the disk thread has ended");
    }

    /// Starts everything that runs beside the listeners.
    pub fn start(self: &Rc<Self>) -> std::io::Result<()> {
        let settings = self.settings.borrow().clone();
        let peer = SocketAddr::from((settings.ip, settings.peer_port));
        let listener = listen(peer)?;
        let node = self.clone();
        let take = Rc::new(move |from, message| node.handle_message(from, message));
        spawn_local(self.links.clone().accept(listener, take));
        spawn_local(self.clone().receive_datagrams());
        self.start_keeper()?;
        spawn_local(self.clone().tick_keeper());
        if settings.data_folder.is_some() {
            spawn_local(self.clone().watch_silence());
        }
        spawn_local(self.clone().run_renewals());
        spawn_local(self.clone().run_list_reader());
        info!(
            target: "node",
            name = settings.name, zone = settings.zone, first = settings.first_start,
            keeper = settings.data_folder.is_some(), "starts",
        );
        Ok(())
    }

    async fn tick_keeper(self: Rc<Self>) {
        if self.settings.borrow().data_folder.is_none() {
            return;
        }
        loop {
            tokio::time::sleep(TICK).await;
            self.step_keeper(KeeperDriver::tick);
            self.announce_leadership(self.now_ms());
            self.propose_rollout_steps();
            self.propose_quarantine();
        }
    }
}
