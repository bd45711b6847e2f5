//! One VM of the fleet: its tables and the tasks that work on them, on one event loop.
//!
//! All of it runs on one thread, so tables are in cells and no borrow is held across an await. Only
//! the disk has a thread of its own. See
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
use super::vm_origin_state::OriginState;
use super::vm_pool::ConnectionPool;
use super::vm_sockets::listen;
use super::wire_count::WireCount;
use crate::coordination::brittle_service::BrittleService;
use crate::coordination::engine_room::ServiceCapacity;
use crate::coordination::fleet_health::{HealthOutbox, HealthTable};
use crate::coordination::holder_news::{HolderLog, HolderOutbox, HolderPosition};
use crate::coordination::leader_contact::LeaderContact;
use crate::coordination::outlier::OutlierTable;
use crate::coordination::part_completions::PartCompletions;
use crate::coordination::plain_choice::HoldTime;
use crate::coordination::quarantine_desk::QuarantineState;
use crate::coordination::raft_message::HEARTBEAT_MS;
use crate::coordination::repeat_budget::{RepeatAllowance, RepeatBudget};
use crate::coordination::rollout_desk::RolloutState;
use crate::coordination::silence_desk::SilenceState;
use crate::coordination::stream_origins::resume_horizon_ms;
use crate::coordination::upstream_choice::PrefixMemory;
use crate::coordination::upstream_load::{LoadReports, SharedLoads, UpstreamLoad};
use crate::coordination::upstream_reach::UpstreamReach;
use crate::coordination::vm_roster::{RosterCopy, RosterRow};
use crate::coordination::zone_desk::ZoneState;
use crate::protocol::peer_relay::RELAY_PREFACE;
use crate::protocol::vm_wire::{VmId, VmMessage};
use crate::protocol::wire_adapter::WireAdapter;
use crate::state::document_change::DocumentChange;
use crate::state::fleet_record::VersionedDocument;
use crate::state::ids::{Incarnation, KeeperId, UpstreamKey};
use crate::state::packed_text::PackedText;
use crate::state::route_table::RouteTable;
use crate::state::upstream_list::{ListRevision, UpstreamList};
use crate::state::vm_figures::VmCounters;
use crate::state::vm_settings::VmSettings;

/// How often the keeper's timers are checked. Heartbeats are the shortest interval that it has to keep,
/// so it is half of theirs.
const TICK: Duration = Duration::from_millis(HEARTBEAT_MS / 2);

/// The routes in force and the document that they were parsed from.
pub struct RoutesInForce {
    /// The parsed routes.
    pub table: RouteTable,
    /// The document as it was committed, byte for byte.
    pub document: Vec<u8>,
    /// How long after its begin a stream may still be resumed, in milliseconds.
    pub stream_horizon_ms: u64,
}

/// Notes on which engines hold which prompt parts: those to report, those received, and, at the leader,
/// those to pass on.
#[derive(Default)]
pub struct HolderState {
    /// Notes of this VM that the leader doesn't have yet.
    pub outbox: HolderOutbox,
    /// The position in the leader's log up to which this VM has received notes.
    pub received: HolderPosition,
    /// Notes that all VMs reported, while this VM leads.
    pub log: HolderLog,
}

/// The outcomes of sends: those to report and, at the leader, those that all VMs reported.
#[derive(Default)]
pub struct HealthState {
    /// Outcomes of this VM's sends that the leader doesn't have yet.
    pub outbox: HealthOutbox,
    /// Outcomes that all VMs reported, while this VM leads.
    pub table: HealthTable,
}

/// What a VM has received about the other VMs and the leader.
#[derive(Default)]
pub struct FleetView {
    /// The leader, if one is known.
    pub leader: Option<VmId>,
    /// The members of the consensus group.
    pub keepers: Vec<VmId>,
    /// The VMs that renewed with the leader lately.
    pub roster: RosterCopy,
    /// When a leader first answered.
    pub first_contact_ms: Option<u64>,
    /// When the leader last answered.
    pub last_contact_ms: u64,
    /// What the other VMs have in flight.
    pub reports: LoadReports,
    /// Upstreams that fail for all VMs that send to them, by the last grant.
    pub failing: Vec<UpstreamKey>,
    /// What this VM reported of its own load, by the time of the report.
    pub own_reported: HashMap<u64, Vec<UpstreamLoad>>,
    /// The number of pages when this VM last read the list of upstreams.
    pub list_pages: usize,
    /// The term of the last leader that answered.
    pub term: u64,
    /// The last term in which this VM announced itself as the leader.
    pub announced_term: u64,
    /// The number of VMs by the last answer.
    pub vms: usize,
    /// When the list of upstreams is to be read again, if this VM reads it.
    pub list_due_ms: u64,
    /// When the list was last requested, so that not every grant leads to a request.
    pub list_requested_ms: u64,
    /// Requests for the list since it last arrived.
    pub list_attempts: u32,
    /// Requests for the configuration since it last arrived.
    pub document_attempts: u32,
}

/// The state of one VM.
pub struct VmNode {
    /// The settings; some of them may be replaced while the VM runs.
    pub settings: RefCell<VmSettings>,
    /// Translates between the platform's formats and the fleet's own types.
    pub adapter: Box<dyn WireAdapter>,
    /// The source of all times.
    pub clock: NodeClock,
    /// The VM's address as a number.
    pub id: VmId,
    /// The hash of its zone's name.
    pub zone: u64,
    /// The routes in force, once there are any.
    pub routes: RefCell<Option<Rc<RoutesInForce>>>,
    /// When the configuration in force was last confirmed as the newest one.
    pub contact: RefCell<LeaderContact>,
    /// Notified when `contact`, `routes` or the list of upstreams change.
    pub contact_changed: Notify,
    /// The list of upstreams.
    pub upstreams: RefCell<UpstreamList>,
    /// The other VMs and the leader.
    pub view: RefCell<FleetView>,
    /// This VM's member of the consensus group, if it has a disk and the disk is open.
    pub keeper: RefCell<Option<KeeperDriver>>,
    /// Connections to upstreams and to the platform's list.
    pub pool: ConnectionPool,
    /// Relay connections to other VMs, each under its [`VmId`] in place of an upstream's key.
    pub peer_pool: ConnectionPool,
    /// Whether this VM reaches upstreams at all.
    pub reach: RefCell<UpstreamReach>,
    /// When an upstream last sent part of an answer.
    pub heard_ms: Cell<u64>,
    /// Requests in flight by upstream.
    pub in_flight: RefCell<HashMap<UpstreamKey, u32>>,
    /// The capacity measured at each service of engines.
    pub capacities: RefCell<HashMap<String, ServiceCapacity>>,
    /// How long requests take at the upstreams of each service without engines.
    pub plain_holds: RefCell<HashMap<String, HoldTime>>,
    /// Services whose upstreams announced that they are brittle.
    pub brittle: RefCell<HashMap<String, BrittleService>>,
    /// When an engine was last nearly full.
    pub overloaded_ms: Cell<u64>,
    /// Passive health checks of upstreams.
    pub outliers: RefCell<OutlierTable>,
    /// Counters for the metrics.
    pub counters: RefCell<VmCounters>,
    /// The path at which metrics are served.
    pub metrics_path: RefCell<String>,
    /// Which prompt parts are cached at which engines, by this VM's sends and by others' reports.
    pub prefixes: RefCell<PrefixMemory>,
    /// Notes on engines that hold parts outside the usual order.
    pub holders: RefCell<HolderState>,
    /// Outcomes of sends, here and at other VMs.
    pub health: RefCell<HealthState>,
    /// Evacuated zones and cold upstreams.
    pub zones: RefCell<ZoneState>,
    /// Operators' orders that were sent to a leader on another VM and not answered yet.
    pub orders: RefCell<PendingOrders>,
    /// Roll-outs.
    pub rollouts: RefCell<RolloutState>,
    /// Prompt parts in requests that completed here lately.
    pub part_completions: RefCell<PartCompletions>,
    /// Requests that crash the upstreams that run them.
    pub quarantine: RefCell<QuarantineState>,
    /// Where streams began.
    pub origins: RefCell<OriginState>,
    /// Upstreams that don't answer.
    pub silence: RefCell<SilenceState>,
    /// Notified when the set of unresponsive or suspected upstreams changes.
    pub silence_changed: Notify,
    /// How many requests may still be sent a second time, by service.
    pub budgets: RefCell<HashMap<String, RepeatBudget>>,
    /// The sums of all VMs' loads that it sends while it leads.
    pub shared_loads: RefCell<SharedLoads>,
    /// TCP links to other VMs.
    pub links: LinkTable,
    /// Bytes to and from other VMs, by kind of message.
    pub wire: Rc<WireCount>,
    /// The list of upstreams as an encoded frame, once a VM has requested the whole list.
    pub list_frame: RefCell<Option<(ListRevision, Bytes)>>,
    /// The last requested delta of the list as an encoded frame, with the two revisions that it lies between.
    pub delta_frame: RefCell<Option<((ListRevision, ListRevision), Bytes)>>,
    /// VMs that wait for a newer list, and this VM's own requests and copies of the list.
    pub list_state: RefCell<ListState>,
    /// VMs that sent a renewal to this keeper while it did not lead.
    pub seekers: RefCell<BTreeSet<VmId>>,
    /// VMs that requested the document before this VM had one.
    pub document_requesters: RefCell<BTreeSet<VmId>>,
    /// The document as an encoded frame, by its version, once a VM has requested it.
    pub document_frame: RefCell<Option<(u64, Bytes)>>,
    /// The socket for datagrams between VMs.
    pub datagrams: UdpSocket,
    /// Puts that were sent to a leader on another VM and not answered yet, by number.
    pub pending_puts: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    /// The state of the random number generator.
    pub draws: Cell<u64>,
    /// Requests being served.
    pub serving: Cell<u32>,
    /// Whether this VM was ready by its last report.
    pub reported_ready: Cell<bool>,
    /// Connections that callers have open.
    pub connections: Cell<u32>,
    /// When SIGTERM was received.
    pub stopping_ms: Cell<Option<u64>>,
    /// Notified when the listeners are to close idle connections.
    pub closing: Notify,
}

impl VmNode {
    /// Binds the socket for datagrams and creates a VM with empty tables.
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
        let pool = ConnectionPool::from_source(settings.ip);
        let peer_pool = ConnectionPool::from_source(settings.ip).with_greeting(&RELAY_PREFACE);
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
            pool,
            peer_pool,
            reach: RefCell::default(),
            heard_ms: Cell::new(0),
            in_flight: RefCell::default(),
            capacities: RefCell::default(),
            plain_holds: RefCell::default(),
            brittle: RefCell::default(),
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
            part_completions: RefCell::default(),
            quarantine: RefCell::default(),
            origins: RefCell::default(),
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

    /// The current time of [`NodeClock`], in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Returns a random number (xorshift).
    pub fn draw(&self) -> u64 {
        let mut draw = self.draws.get();
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        self.draws.set(draw);
        draw
    }

    /// The fleet's limit on requests that are sent a second time.
    pub fn allowance(&self) -> RepeatAllowance {
        let bounds = self.settings.borrow().bounds;
        RepeatAllowance {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window_ms: bounds.repeat_window_ms,
        }
    }

    /// Whether this VM is certain to be the leader now.
    pub(super) fn leads(&self, now_ms: u64) -> bool {
        self.keeper.borrow().as_ref().is_some_and(|keeper| keeper.is_confirmed_leader(now_ms))
    }

    /// Whether callers are sent to this VM: it is ready, and it isn't isolated.
    pub fn is_advertised(&self) -> bool {
        self.is_ready() && !self.is_isolated()
    }

    /// Whether this VM may get new callers: it isn't stopping, has routes, and its contact with the leader is
    /// fresh enough.
    pub fn is_ready(&self) -> bool {
        let (bounds, now_ms) = (self.settings.borrow().bounds, self.now_ms());
        let contact = self.contact.borrow();
        self.stopping_ms.get().is_none()
            && self.routes.borrow().is_some()
            && contact.may_serve_keys(bounds.revoke_ms, now_ms)
            && !contact.is_behind(bounds.apply_ms, now_ms)
    }

    /// This VM's row of the roster. Remembers the readiness that it reports.
    pub fn own_row(&self) -> RosterRow {
        let ready = self.is_advertised();
        self.reported_ready.set(ready);
        RosterRow { id: self.id, zone: self.zone, ready }
    }

    /// Renews at once when this VM's readiness has changed: after a restart of the whole fleet, callers wait
    /// for the first VMs that are ready.
    pub fn renew_if_changed(&self) {
        if self.is_advertised() != self.reported_ready.get() {
            self.renew();
        }
    }

    /// The requests that this VM has in flight, by upstream.
    pub fn own_loads(&self) -> Vec<UpstreamLoad> {
        let in_flight = self.in_flight.borrow();
        let loads = in_flight.iter().filter(|(_, requests)| **requests > 0);
        loads
            .map(|(upstream, requests)| UpstreamLoad { upstream: *upstream, requests: *requests })
            .collect()
    }

    /// Puts a committed document in force, unless a version as new is in force already.
    pub fn apply_document(&self, version: u64, document: &[u8]) {
        if version <= self.contact.borrow().applied() {
            return;
        }
        match self.adapter.read_document(document) {
            Ok(table) => {
                info!(target: "routes", version, routes = table.routes.len(), "in force");
                let in_force = RoutesInForce {
                    stream_horizon_ms: resume_horizon_ms(table.longest_resumable_ms()),
                    table,
                    document: document.to_vec(),
                };
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

    /// Unpacks a committed document and puts it in force, unless a version as new is in force already.
    fn apply_packed(&self, version: u64, document: &PackedText) {
        if version <= self.contact.borrow().applied() {
            return;
        }
        match document.unpack() {
            Ok(document) => self.apply_document(version, &document),
            Err(error) => error!(target: "routes", version, "cannot be unpacked: {error}"),
        }
    }

    /// Sends the messages of a keeper's step and applies what the step committed.
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
        let (held, leads) = match &*self.keeper.borrow() {
            Some(keeper) => (keeper.record.document.clone(), keeper.is_confirmed_leader(now_ms)),
            None => return,
        };
        let before = self.routes.borrow().clone();
        self.apply_packed(held.version, &held.text);
        for requester in std::mem::take(&mut *self.document_requesters.borrow_mut()) {
            self.answer_document_request(requester);
        }
        if leads {
            self.send_document(before.as_deref(), held);
        }
    }

    /// Sends a new document to the VMs outside the consensus group, as a change against the one before where
    /// that is less than half as long. Keepers receive it by the consensus itself.
    fn send_document(&self, before: Option<&RoutesInForce>, held: VersionedDocument) {
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

    /// Applies a document that is encoded as a change against an earlier one. Requests the whole document if
    /// that earlier one isn't in force here.
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

    /// Runs one step of the keeper, if this VM has one, and carries out its outcome.
    pub fn step_keeper(&self, act: impl FnOnce(&mut KeeperDriver, u64) -> KeeperOutcome) {
        let now_ms = self.now_ms();
        let outcome = self.keeper.borrow_mut().as_mut().map(|keeper| act(keeper, now_ms));
        if let Some(outcome) = outcome {
            self.carry_out(outcome);
        }
    }

    /// Handles a message that arrived over a link.
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
                if let Some(waiter) = self.pending_puts.borrow_mut().remove(&number) {
                    let _ = waiter.send(committed);
                }
            }
            VmMessage::Order { number, order } => {
                spawn_local(self.clone().answer_order(from, number, order));
            }
            VmMessage::OrderReply { number, verdict } => {
                self.receive_order_reply(number, verdict);
            }
            VmMessage::WantDocument => self.answer_document_request(from),
            VmMessage::Document { version, document } => self.apply_packed(version, &document),
            VmMessage::DocumentChange { before, version, change } => {
                self.apply_document_change(from, before, version, &change);
            }
            VmMessage::WantList { have } => self.answer_list_request(from, have),
            VmMessage::ListDelta(step) => self.apply_list_delta(from, step),
            VmMessage::List { revision, rows } => self.apply_list(revision, rows),
        }
    }

    /// Sends the newest document to a VM that requested it. A keeper that has just started may have none
    /// committed yet; it answers as soon as it has one.
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

    /// Proposes a document at this VM's keeper. Returns true once it is committed, false if it isn't accepted.
    pub async fn put_here(&self, version: u64, document: &PackedText) -> bool {
        let now_ms = self.now_ms();
        let put =
            self.keeper.borrow_mut().as_mut().map(|keeper| keeper.put(version, document, now_ms));
        let Some((receiver, outcome)) = put else { return false };
        self.carry_out(outcome);
        receiver.await.unwrap_or(false)
    }

    /// Starts the disk thread and the keeper, on a VM that has a data folder.
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

    /// Creates the keeper once the disk is open, then passes the disk's reports to it until the disk thread ends.
    async fn drive_disk(
        self: Rc<Self>,
        identity: KeeperIdentity,
        jobs: crossbeam::channel::Sender<super::vm_disk::DiskJob>,
        mut reports: UnboundedReceiver<DiskReport>,
    ) {
        let Some(DiskReport::Opened(incarnation, stored, list)) = reports.recv().await else {
            return;
        };
        if let Some(list) = list {
            info!(target: "list", upstreams = list.rows.len(), "the list stored on disk is used");
            self.apply_list(list.revision, list.rows);
        }
        self.list_state.borrow_mut().disk = Some(jobs.clone());
        let keeper = KeeperDriver::new(identity, incarnation, *stored, jobs, self.now_ms());
        *self.keeper.borrow_mut() = Some(keeper);
        while let Some(report) = reports.recv().await {
            match report {
                DiskReport::ListStored => self.list_state.borrow_mut().note_stored(),
                report => self.step_keeper(|keeper, now_ms| keeper.note_disk(report, now_ms)),
            }
        }
        warn!(target: "disk", "the disk thread has ended");
    }

    /// Starts all tasks except the listeners for callers and operators.
    pub fn start(self: &Rc<Self>) -> std::io::Result<()> {
        let settings = self.settings.borrow().clone();
        let peer = SocketAddr::from((settings.ip, settings.peer_port));
        let listener = listen(peer)?;
        let node = self.clone();
        let handle = Rc::new(move |from, message| node.handle_message(from, message));
        let node = self.clone();
        let relay = Rc::new(move |stream| node.serve_relay_connection(stream));
        spawn_local(self.links.clone().accept(listener, handle, relay));
        spawn_local(self.clone().receive_datagrams());
        self.start_keeper()?;
        spawn_local(self.clone().tick_keeper());
        if settings.data_folder.is_some() {
            spawn_local(self.clone().watch_silence());
        }
        spawn_local(self.clone().run_renewals());
        spawn_local(self.clone().run_list_reader());
        spawn_local(self.clone().send_queued_notes());
        info!(
            target: "node",
            name = settings.name, zone = settings.zone, first = settings.first_start,
            keeper = settings.data_folder.is_some(), "starts",
        );
        Ok(())
    }

    /// Runs the keeper's timers and the periodic work of a leader in a loop, on a VM with a keeper.
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
