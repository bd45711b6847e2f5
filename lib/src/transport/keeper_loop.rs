//! The event loop of a keeper. It alone owns the consensus and the state machine; no other part of
//! a keeper holds state.
//!
//! A separate thread writes the files, since a sync may take longer than a leader may stay silent.
//! Events that arrive during a sync are written with the next one and answered only after it, which
//! makes a group commit.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{select, Receiver, Sender};

use super::clock::{wall_ms, NodeClock};
use super::datagram::DatagramPort;
pub use super::keeper_waiter::OperateReply;
use super::keeper_waiter::Waiter;
use super::vm_disk::{DiskJob, DiskReport};
use crate::coordination::durable_core::{DurableCore, DurableOutcome};
use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::load_spread::LoadTable;
use crate::coordination::order_pace::orders_to_send;
use crate::coordination::raft::RaftCore;
use crate::coordination::raft_message::{
    MemberChange, RaftMessage, RaftOutput, RaftRefusal, RaftRole,
};
use crate::coordination::session_watch::SessionWatch;
use crate::protocol::keeper_wire::{
    decode, encode, Datagram, KeeperCall, KeeperIdentity, KeeperReply, LeaseGrant, LeaseRenewal,
    LEAVING_PER_DATAGRAM,
};
use crate::protocol::operator::{KeeperStatus, MemberStatus, RouterStatus, WireRow};
use crate::state::claim_table::{ClaimReport, ClaimRequest};
use crate::state::configuration::Configuration;
use crate::state::ids::{FleetKey, Incarnation, KeeperId, RouterId};
use crate::state::keeper_machine::{
    KeeperAnswer, KeeperCommand, KeeperMachine, KeeperOperation, OrderAction, OrderRecord,
    OrderState,
};
use crate::state::log_store::{EntryPayload, GroupMember, GroupMembership, LogEntry, LogSnapshot};

/// A snapshot of the state machine is taken after this many applied log entries.
pub const COMPACT_ENTRIES: u64 = 4096;
/// While a live member lacks entries, the log may hold this many times more before a snapshot is taken. That
/// member would need a whole snapshot otherwise, and may never get all of one while others follow it.
const KEPT_LOG_FACTOR: u64 = 4;
/// The longest wait for an event before the timers are checked.
const POLL: Duration = Duration::from_millis(10);
/// A leader resigns when its disk works on one job for longer than this, in milliseconds.
const DISK_TIMEOUT_MS: u64 = 5000;
/// The maximum number of events that one step of the loop handles.
const MAX_EVENTS_PER_STEP: usize = 512;
/// How long reported leaving upstreams are passed on to the routers, in milliseconds.
const LEAVING_KEEP_MS: u64 = 10_000;
/// The pause before an order that had no result is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 1000;

/// A function that reads the loop's state. The flag is whether this keeper has the leader's lease,
/// so that the state it reads is current.
pub type LoopRead = Box<dyn FnOnce(&KeeperLoop, bool) + Send>;

/// An event that the loop handles.
pub enum KeeperEvent {
    /// A consensus message from another keeper.
    Raft(RaftMessage),
    /// A call from a router or another keeper, with the channel for the reply.
    Call(KeeperCall, Sender<KeeperReply>),
    /// A router's lease renewal, with the address for the grant.
    Renew(SocketAddr, LeaseRenewal),
    /// Claims and reports by datagram, with the address for the answer and the number of the batch.
    Claims(SocketAddr, u64, Vec<ClaimRequest>, Vec<ClaimReport>),
    /// An operator's operation, which is already authorized.
    Operate(KeeperOperation, Sender<OperateReply>),
    /// A change of the group's membership.
    Member(MemberChange, Sender<OperateReply>),
    /// A request to hand leadership over.
    Transfer(Sender<OperateReply>),
    /// A request to read the state.
    Read(LoopRead),
    /// An order was sent; its final state is `None` when it must be sent again.
    OrderSent(u64, Option<OrderState>),
    /// The weight store reported how many loads it takes at once.
    StoreLimit(usize),
    /// All keepers of the first group are found; the group starts with this membership.
    Form(GroupMembership),
    /// A request to end the loop.
    Stop,
}

/// The functions by which the loop sends messages, since it owns no sockets.
pub struct LoopOutputs {
    /// The port for messages that fit into a datagram.
    pub port: DatagramPort,
    /// Sends a message that is too long for a datagram.
    pub send_long: Box<dyn Fn(KeeperId, SocketAddr, RaftMessage) + Send>,
    /// Sends an order to its upstream's address.
    pub send_order: Box<dyn Fn(OrderRecord, SocketAddr) + Send>,
    /// Reads the counted bytes on the wire.
    pub wire: Box<dyn Fn() -> Vec<WireRow> + Send>,
}

/// The initial state and resources of a loop.
pub struct LoopStart {
    /// This keeper's number.
    pub id: KeeperId,
    /// The consensus, restored from disk.
    pub core: RaftCore,
    /// The state machine, as of the snapshot.
    pub machine: KeeperMachine,
    /// The thread that writes the data folder.
    pub disk: LoopDisk,
    /// The incarnation of the data folder.
    pub incarnation: Incarnation,
    /// The clock of this process.
    pub clock: NodeClock,
    /// The seed that spreads the election timers.
    pub seed: u64,
    /// The maximum number of loads that the weight store takes at once.
    pub max_loads: usize,
    /// The addresses of the keepers in the settings.
    pub configured: BTreeMap<KeeperId, SocketAddr>,
}

/// A loop's ends of the channels to its disk thread.
pub struct LoopDisk {
    /// The channel to the disk thread, which runs the jobs in order.
    pub jobs: Sender<DiskJob>,
    /// The channel on which the disk thread reports the end of each job.
    pub reports: Receiver<DiskReport>,
}

/// The failure that ended a loop: a keeper that cannot write must not answer.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum LoopFailure {
    /// The disk thread could not carry out a job.
    #[snafu(display("{text}"))]
    Disk {
        /// The error of the disk thread.
        text: String,
    },
    /// The state machine cannot start from the leader's snapshot.
    #[snafu(display("the snapshot that the leader sent cannot be read: {text}"))]
    Image {
        /// Why the snapshot cannot be read.
        text: String,
    },
}

/// The event loop of a keeper with its consensus and its state machine.
pub struct KeeperLoop {
    /// This keeper's number.
    pub id: KeeperId,
    durable: DurableCore,
    /// The replicated state, up to the last entry applied here.
    pub machine: KeeperMachine,
    disk: LoopDisk,
    incarnation: Incarnation,
    syncs: u64,
    clock: NodeClock,
    seed: u64,
    outputs: LoopOutputs,
    waiters: HashMap<u64, (u64, Waiter)>,
    sessions: SessionWatch,
    loads: LoadTable,
    leaving_marks: Vec<(LeavingIncarnation, u64)>,
    leading_since: Option<(u64, u64)>,
    lapsing: HashSet<(RouterId, Incarnation)>,
    orders_in_flight: HashMap<u64, bool>,
    order_retry_ms: BTreeMap<u64, u64>,
    max_loads: usize,
    configured: BTreeMap<KeeperId, SocketAddr>,
    applied: u64,
}

impl KeeperLoop {
    /// Makes a loop that continues from the state on disk.
    pub fn new(start: LoopStart, outputs: LoopOutputs) -> KeeperLoop {
        let LoopStart { id, core, machine, disk, incarnation, clock, seed, max_loads, configured } =
            start;
        let applied = core.snapshot_index();
        KeeperLoop {
            id,
            durable: DurableCore::new(core),
            machine,
            disk,
            incarnation,
            syncs: 0,
            clock,
            seed,
            outputs,
            waiters: HashMap::new(),
            sessions: SessionWatch::default(),
            loads: LoadTable::default(),
            leaving_marks: Vec::new(),
            leading_since: None,
            lapsing: HashSet::new(),
            orders_in_flight: HashMap::new(),
            order_retry_ms: BTreeMap::new(),
            max_loads,
            configured,
            applied,
        }
    }

    /// Returns the consensus.
    pub fn core(&self) -> &RaftCore {
        &self.durable.core
    }

    /// Runs until stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk fails or the leader sent a snapshot that cannot be read.
    pub fn run(mut self, events: Receiver<KeeperEvent>) -> Result<(), LoopFailure> {
        let reports = self.disk.reports.clone();
        let mut running = true;
        while running {
            let mut output = RaftOutput::default();
            select! {
                recv(reports) -> report => self.handle_disk_report(report.ok())?,
                recv(events) -> event => match event {
                    Ok(event) => running = self.handle_events(event, &events, &mut output),
                    Err(_) => running = false,
                },
                default(POLL) => {}
            }
            let now_ms = self.clock.now_ms();
            self.tick(now_ms, &mut output);
            self.run_leader_tasks(now_ms, &mut output);
            self.durable.core.flush(now_ms, &mut output);
            let outcome = self.durable.process_output(output, now_ms);
            self.process_outcome(outcome)?;
            self.compact(now_ms)?;
        }
        self.waiters.drain().for_each(|(_, (_, waiter))| waiter.unsure());
        Ok(())
    }

    /// Advances the consensus timers. While a job is on the disk, a follower starts no new term,
    /// since a vote doesn't count until it is written.
    fn tick(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let leads = self.durable.core.role() == RaftRole::Leader;
        if leads && self.durable.is_stuck(DISK_TIMEOUT_MS, now_ms) {
            tracing::warn!("keeper: resigns as leader because its disk does not complete a write.");
            self.durable.core.resign(now_ms);
        } else if leads || self.durable.is_idle() {
            self.durable.core.tick(now_ms, output);
        }
    }

    /// Handles the end of a disk job: messages and answers that depended on it are released.
    fn handle_disk_report(&mut self, report: Option<DiskReport>) -> Result<(), LoopFailure> {
        let now_ms = self.clock.now_ms();
        match report {
            Some(DiskReport::Done) => {
                self.syncs += 1;
                let outcome = self.durable.note_written(now_ms);
                self.durable.core.note_sync_time(self.durable.last_job_ms());
                self.process_outcome(outcome)
            }
            Some(DiskReport::Failed(text)) => Err(LoopFailure::Disk { text }),
            Some(DiskReport::Opened(..) | DiskReport::ListStored) => Ok(()),
            None => Err(LoopFailure::Disk { text: "the disk thread has ended".to_string() }),
        }
    }

    // ---- events ----

    /// Handles an event and the events queued behind it; returns false when one of them ends the
    /// loop.
    fn handle_events(
        &mut self,
        first: KeeperEvent,
        events: &Receiver<KeeperEvent>,
        output: &mut RaftOutput,
    ) -> bool {
        let mut running = self.handle_event(first, output);
        for event in events.try_iter().take(MAX_EVENTS_PER_STEP - 1) {
            running &= self.handle_event(event, output);
        }
        running
    }

    /// Handles one event; returns false when it ends the loop.
    fn handle_event(&mut self, event: KeeperEvent, output: &mut RaftOutput) -> bool {
        let now_ms = self.clock.now_ms();
        match event {
            KeeperEvent::Raft(message) => self.durable.core.receive(message, now_ms, output),
            KeeperEvent::Call(call, sender) => self.handle_call(call, sender, output),
            KeeperEvent::Renew(from, renewal) => self.handle_renewal(from, renewal, now_ms),
            KeeperEvent::Claims(from, number, claims, reports) => {
                let waiter = Waiter::Datagram(self.outputs.port.clone(), from, number);
                self.propose_claims(claims, reports, waiter, output);
            }
            KeeperEvent::Operate(operation, sender) => {
                self.propose(operation, Waiter::Operate(sender), output);
            }
            KeeperEvent::Member(change, sender) => {
                let position = self.durable.core.change_member(change, now_ms, output);
                self.add_waiter(position, Waiter::Operate(sender));
            }
            KeeperEvent::Transfer(sender) => {
                let reply = match self.durable.core.transfer(None, now_ms, output) {
                    Ok(_) => OperateReply::Done(KeeperAnswer::Done),
                    Err(refusal) => OperateReply::Refused(refusal),
                };
                let _ = sender.send(reply);
            }
            KeeperEvent::Read(read) => read(self, self.core().has_lease(now_ms)),
            KeeperEvent::OrderSent(number, end) => self.end_order(number, end, now_ms, output),
            KeeperEvent::StoreLimit(limit) => self.max_loads = limit.max(1),
            KeeperEvent::Form(membership) => self.form(membership),
            KeeperEvent::Stop => return false,
        }
        true
    }

    /// Answers a call, or proposes the operation that it requests.
    fn handle_call(
        &mut self,
        call: KeeperCall,
        sender: Sender<KeeperReply>,
        output: &mut RaftOutput,
    ) {
        let reply = match call {
            KeeperCall::Identity => KeeperReply::Identity(self.identity()),
            KeeperCall::Changes(after) => self.changes_after(after),
            KeeperCall::Roster => KeeperReply::Roster(self.machine.roster.clone()),
            KeeperCall::Join(id, session) => {
                let operation = KeeperOperation::Join(id, session);
                return self.propose(operation, Waiter::Call(sender), output);
            }
            KeeperCall::Leave(id, incarnation) => {
                let operation = KeeperOperation::Leave(id, incarnation);
                return self.propose(operation, Waiter::Call(sender), output);
            }
            KeeperCall::Claims(claims, reports) => {
                return self.propose_claims(claims, reports, Waiter::Call(sender), output);
            }
        };
        let _ = sender.send(reply);
    }

    /// Proposes the reports before the claims, so that a released claim can be granted again in the
    /// same batch.
    fn propose_claims(
        &mut self,
        claims: Vec<ClaimRequest>,
        reports: Vec<ClaimReport>,
        waiter: Waiter,
        output: &mut RaftOutput,
    ) {
        if !reports.is_empty() {
            let operation = KeeperOperation::Report(reports);
            self.propose(operation, Waiter::Detached, output);
        }
        self.propose(KeeperOperation::Claim(claims), waiter, output);
    }

    /// Proposes an operation for the log; `waiter` is answered when it is committed.
    fn propose(&mut self, operation: KeeperOperation, waiter: Waiter, output: &mut RaftOutput) {
        let at_ms = wall_ms().max(self.machine.now_ms);
        let command = KeeperCommand { at_ms, operation };
        let payload = EntryPayload::Command(encode(&command));
        let position = self.durable.core.propose(payload, output);
        self.add_waiter(position, waiter);
    }

    /// Registers a waiter for a proposed entry, or answers it at once when the proposal was
    /// refused.
    fn add_waiter(&mut self, position: Result<(u64, u64), RaftRefusal>, waiter: Waiter) {
        match (position, waiter) {
            (Ok((index, term)), waiter) => {
                if let Some((_, earlier)) = self.waiters.insert(index, (term, waiter)) {
                    earlier.unsure();
                }
            }
            (Err(refusal), Waiter::Operate(sender)) => {
                let _ = sender.send(OperateReply::Refused(refusal));
            }
            (Err(_), Waiter::Detached) => {}
            (Err(_), Waiter::Datagram(port, from, number)) => {
                port.send(from, &Datagram::ClaimAnswers { number, answers: None });
            }
            (Err(_), Waiter::Call(sender)) => {
                let hint = self.core().leader().filter(|leader| *leader != self.id);
                let _ = sender.send(KeeperReply::NotLeader(hint));
            }
        }
    }

    /// Returns the number and incarnation of this keeper and the members of its group.
    pub fn identity(&self) -> KeeperIdentity {
        let members = self.core().membership().members.iter();
        let members: BTreeMap<KeeperId, Incarnation> =
            members.map(|(id, member)| (*id, member.incarnation)).collect();
        let blank = members.is_empty();
        KeeperIdentity { id: self.id, incarnation: self.incarnation, blank, members }
    }

    /// Returns the changes of the configuration after version `after`, or the whole document when
    /// some of them are no longer kept.
    fn changes_after(&self, after: u64) -> KeeperReply {
        let configuration = &self.machine.configuration;
        let first_kept = self.machine.recent.front().map_or(u64::MAX, |record| record.version);
        if after < configuration.version && first_kept > after + 1 {
            let document = configuration.to_document().to_string();
            return KeeperReply::Whole { version: configuration.version, document };
        }
        let newer = self.machine.recent.iter().filter(|record| record.version > after);
        KeeperReply::Changes(newer.cloned().collect())
    }

    /// Starts the first group. All of its keepers start from the same empty snapshot.
    fn form(&mut self, membership: GroupMembership) {
        if !self.core().membership().members.is_empty() {
            return;
        }
        let image = KeeperMachine::default().to_image();
        let snapshot = LogSnapshot { index: 0, term: 0, membership, image };
        let now_ms = self.clock.now_ms();
        let job = self.durable.start_group(snapshot, self.seed, now_ms);
        tracing::info!(
            "keeper: starts a group of {} keepers.",
            self.core().membership().members.len()
        );
        // If the disk thread has ended, the loop ends when it next reads the reports.
        let _ = self.submit(job);
    }

    // ---- tasks of the leader ----

    /// Tracks gain and loss of leadership and runs the tasks of a leader that has a lease.
    fn run_leader_tasks(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let leads = self.core().role() == RaftRole::Leader;
        if !leads {
            if self.leading_since.take().is_some() {
                tracing::info!("keeper: no longer leads.");
                self.lapsing.clear();
                self.orders_in_flight.clear();
            }
            return;
        }
        if self.leading_since.map(|(term, _)| term) != Some(self.core().term()) {
            tracing::info!("keeper: leads term {}.", self.core().term());
            self.leading_since = Some((self.core().term(), now_ms));
            self.sessions = SessionWatch::new(now_ms);
            self.loads = LoadTable::default();
            self.lapsing.clear();
            self.orders_in_flight.clear();
        }
        if !self.core().has_lease(now_ms) {
            return;
        }
        self.lapse_sessions(now_ms, output);
        self.send_orders(now_ms);
    }

    /// Proposes to end the sessions of routers whose renewals have stopped.
    fn lapse_sessions(&mut self, now_ms: u64, output: &mut RaftOutput) {
        for (id, incarnation) in self.sessions.lapsed(&self.machine.roster, now_ms) {
            if self.lapsing.insert((id, incarnation)) {
                tracing::warn!("keeper: the session of router {id} lapsed.");
                let operation = KeeperOperation::Lapse(id, incarnation);
                self.propose(operation, Waiter::Detached, output);
            }
        }
    }

    /// Records a router's renewal and answers it with a grant, if this keeper has the leader's
    /// lease.
    fn handle_renewal(&mut self, from: SocketAddr, renewal: LeaseRenewal, now_ms: u64) {
        if !self.core().has_lease(now_ms) {
            return;
        }
        let roster = &self.machine.roster;
        let session = roster.routers.get(&renewal.router);
        let known = session.is_some_and(|session| session.incarnation == renewal.incarnation);
        let (router, incarnation) = (renewal.router, renewal.incarnation);
        if known {
            self.sessions.note_renewal(router, incarnation, renewal.epoch, renewal.version, now_ms);
            self.loads.note(router, &renewal.rows, now_ms);
        }
        self.loads.expire(now_ms);
        let fleets: Vec<FleetKey> = renewal.rows.iter().map(|row| row.fleet).collect();
        self.leaving_marks.retain(|(_, noted_ms)| now_ms < noted_ms + LEAVING_KEEP_MS);
        for leaving in renewal.leaving {
            if !self.leaving_marks.iter().any(|(known, _)| *known == leaving) {
                self.leaving_marks.push((leaving, now_ms));
            }
        }
        let grant = LeaseGrant {
            sent_ms: renewal.sent_ms,
            known,
            version: self.machine.configuration.version,
            epoch: self.machine.roster.epoch,
            settled_epoch: self.sessions.settled_epoch(&self.machine.roster, now_ms),
            rows: self.loads.others(router, &fleets),
            leaving: self
                .leaving_marks
                .iter()
                .map(|(leaving, _)| *leaving)
                .take(LEAVING_PER_DATAGRAM)
                .collect(),
        };
        self.outputs.port.send(from, &Datagram::Grant(grant));
    }

    /// Sends the orders that are due to their upstreams.
    fn send_orders(&mut self, now_ms: u64) {
        let Some((_, leads_since_ms)) = self.leading_since else { return };
        let loads_running = self.orders_in_flight.values().filter(|loads| **loads).count();
        let busy = |number: u64| {
            let waits = self.order_retry_ms.get(&number).is_some_and(|until| now_ms < *until);
            self.orders_in_flight.contains_key(&number) || waits
        };
        let (machine, max_loads) = (&self.machine, self.max_loads);
        for order in orders_to_send(machine, leads_since_ms, loads_running, max_loads, busy, now_ms)
        {
            let entry = self.machine.configuration.upstreams.get(&order.upstream);
            let Some(address) = entry.map(|entry| entry.address) else { continue };
            let loads = matches!(order.action, OrderAction::Load { .. });
            self.orders_in_flight.insert(order.number, loads);
            (self.outputs.send_order)(order, address);
        }
    }

    /// Proposes the final state of an order that was sent, or plans to send it again.
    fn end_order(
        &mut self,
        number: u64,
        end: Option<OrderState>,
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        self.orders_in_flight.remove(&number);
        let Some(end) = end else {
            self.order_retry_ms.insert(number, now_ms + ORDER_RETRY_MS);
            return;
        };
        self.order_retry_ms.remove(&number);
        self.propose(KeeperOperation::OrderEnd(number, end), Waiter::Detached, output);
    }

    // ---- results of a step ----

    /// Installs a snapshot, starts the next disk job, sends messages and applies committed entries.
    fn process_outcome(&mut self, outcome: DurableOutcome) -> Result<(), LoopFailure> {
        if let Some(snapshot) = outcome.installed {
            let machine = KeeperMachine::from_image(&snapshot.image);
            self.machine = machine.map_err(|text| LoopFailure::Image { text })?;
            self.applied = snapshot.index;
        }
        self.submit(outcome.job)?;
        self.send(outcome.messages);
        self.apply(outcome.committed);
        Ok(())
    }

    /// Hands a job to the disk thread.
    fn submit(&mut self, job: Option<DiskJob>) -> Result<(), LoopFailure> {
        let Some(job) = job else { return Ok(()) };
        let ended = |_| LoopFailure::Disk { text: "the disk thread has ended".to_string() };
        self.disk.jobs.send(job).map_err(ended)
    }

    /// Sends consensus messages, by datagram where they fit.
    fn send(&self, messages: Vec<(KeeperId, RaftMessage)>) {
        for (to, message) in messages {
            let member = self.core().membership().members.get(&to);
            // A keeper that joins the group has no members yet, but must answer its leader.
            let address = member.map(|member| member.address);
            let Some(address) = address.or_else(|| self.configured.get(&to).copied()) else {
                continue;
            };
            let datagram = Datagram::Raft(message);
            if !self.outputs.port.send(address, &datagram) {
                if let Datagram::Raft(message) = datagram {
                    (self.outputs.send_long)(to, address, message);
                }
            }
        }
    }

    /// Applies committed entries and answers the callers that wait for them.
    fn apply(&mut self, committed: Vec<LogEntry>) {
        let before = (self.machine.configuration.version, self.machine.roster.epoch);
        for entry in committed {
            self.applied = entry.index;
            let answer = self.apply_entry(&entry);
            match self.waiters.remove(&entry.index) {
                Some((term, waiter)) if term == entry.term => waiter.answer(answer),
                Some((_, waiter)) => waiter.unsure(),
                None => {}
            }
        }
        if self.core().role() != RaftRole::Leader {
            self.waiters.drain().for_each(|(_, (_, waiter))| waiter.unsure());
        }
        let after = (self.machine.configuration.version, self.machine.roster.epoch);
        if before != after && self.core().role() == RaftRole::Leader {
            self.notify(after.0, after.1);
        }
    }

    fn apply_entry(&mut self, entry: &LogEntry) -> KeeperAnswer {
        let EntryPayload::Command(bytes) = &entry.payload else { return KeeperAnswer::Done };
        if bytes.is_empty() {
            return KeeperAnswer::Done;
        }
        match decode::<KeeperCommand>(bytes) {
            Ok(command) => self.machine.apply(&command, entry.term, entry.index),
            Err(error) => {
                // A newer leader wrote an entry that this version cannot read. All keepers of this
                // version skip it.
                tracing::error!("keeper: cannot read entry {}: {error}.", entry.index);
                KeeperAnswer::Done
            }
        }
    }

    /// Notifies the routers of a new configuration or roster, so that they fetch it at once instead
    /// of at their next renewal.
    fn notify(&self, version: u64, epoch: u64) {
        let notice = Datagram::Notice { version, epoch };
        for session in self.machine.roster.routers.values() {
            self.outputs.port.send(session.address, &notice);
        }
    }

    /// Takes a snapshot if enough entries were applied since the last one and the disk is idle.
    fn compact(&mut self, now_ms: u64) -> Result<(), LoopFailure> {
        let max_entries = match self.core().has_live_member_behind(now_ms) {
            true => KEPT_LOG_FACTOR * COMPACT_ENTRIES,
            false => COMPACT_ENTRIES,
        };
        let enough = self.applied >= self.core().snapshot_index() + max_entries;
        if !enough || !self.durable.is_idle() {
            return Ok(());
        }
        let job = self.durable.compact(self.applied, self.machine.to_image(), now_ms);
        if job.is_some() {
            tracing::info!("keeper: takes a snapshot at entry {}.", self.applied);
        }
        self.submit(job)
    }

    // ---- reading ----

    /// Returns the configuration as applied here.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.machine.configuration
    }

    /// Returns the state that the status page shows.
    pub fn status(&self) -> KeeperStatus {
        let now_ms = self.clock.now_ms();
        let members = self.core().membership().members.iter();
        let to_status = |(id, member): (&KeeperId, &GroupMember)| MemberStatus {
            id: *id,
            incarnation: member.incarnation,
            address: member.address,
            votes: member.votes,
            held: self.core().member_match(*id),
            age_ms: self.core().member_age_ms(*id, now_ms),
        };
        let versions = self.sessions.versions(&self.machine.roster);
        let routers = versions.into_iter().filter_map(|(id, version)| {
            let session = self.machine.roster.routers.get(&id)?;
            let (address, zone) = (session.address, session.zone.clone());
            Some(RouterStatus { id, address, zone, leaving: session.leaving, version })
        });
        KeeperStatus {
            id: self.id,
            role: self.core().role(),
            leader: self.core().leader(),
            term: self.core().term(),
            commit: self.core().commit(),
            last: self.core().last_index(),
            members: members.map(to_status).collect(),
            version: self.machine.configuration.version,
            epoch: self.machine.roster.epoch,
            routers: routers.collect(),
            claims: self.machine.claims.len(),
            syncs: self.syncs,
            wire: (self.outputs.wire)(),
        }
    }
}
