//! The keeper's one loop: it alone owns the consensus and the state machine.
//!
//! A thread writes the files, since a sync may take longer than a leader may be silent. Events that
//! come while it works are written with the next sync and only then answered: that is the group
//! commit. Nothing else in a keeper holds state.

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
    MARKS_PER_DATAGRAM,
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

/// A snapshot is taken after this many entries.
pub const COMPACT_ENTRIES: u64 = 4096;
const POLL: Duration = Duration::from_millis(10);
/// A leader whose disk works on one job for this long makes way for another, in milliseconds.
const DISK_PATIENCE_MS: u64 = 5000;
/// Events that one step takes.
const MOST_EVENTS: usize = 512;
const MARK_KEEP_MS: u64 = 10_000;
const ORDER_RETRY_MS: u64 = 1000;

/// Reads the loop's state; the flag is whether this keeper may vouch for it.
pub type LoopRead = Box<dyn FnOnce(&KeeperLoop, bool) + Send>;

/// What is asked of the loop.
pub enum KeeperEvent {
    /// A message of another keeper.
    Raft(RaftMessage),
    /// A call by a router or keeper.
    Call(KeeperCall, Sender<KeeperReply>),
    /// A router's renewal, with where to answer.
    Renew(SocketAddr, LeaseRenewal),
    /// Claims by datagram, with where to answer.
    Claims(SocketAddr, u64, Vec<ClaimRequest>, Vec<ClaimReport>),
    /// An operator's operation, already authorized.
    Operate(KeeperOperation, Sender<OperateReply>),
    /// A change of membership.
    Member(MemberChange, Sender<OperateReply>),
    /// Hand leadership over.
    Transfer(Sender<OperateReply>),
    /// Read the state; the flag is whether this keeper may vouch for it.
    Read(LoopRead),
    /// An order was sent, with its end if it has one.
    OrderSent(u64, Option<OrderState>),
    /// The weight store reported its limit.
    StoreLimit(usize),
    /// The first group has formed.
    Form(GroupMembership),
    /// End the loop.
    Stop,
}

/// The ways out of the loop: sending needs sockets that the loop does not own.
pub struct LoopOutlets {
    /// For short messages.
    pub port: DatagramPort,
    /// Sends a message that is too long for a datagram.
    pub send_long: Box<dyn Fn(KeeperId, SocketAddr, RaftMessage) + Send>,
    /// Sends an order to its upstream's address.
    pub send_order: Box<dyn Fn(OrderRecord, SocketAddr) + Send>,
    /// Counted bytes.
    pub wire: Box<dyn Fn() -> Vec<WireRow> + Send>,
}

/// What a loop starts from.
pub struct LoopStart {
    /// This keeper's number.
    pub id: KeeperId,
    /// The consensus, over what the disk held.
    pub core: RaftCore,
    /// The state machine, as of the snapshot.
    pub machine: KeeperMachine,
    /// The thread that writes the data folder.
    pub disk: LoopDisk,
    /// The life of the data folder.
    pub incarnation: Incarnation,
    /// The clock of this process.
    pub clock: NodeClock,
    /// Spreads the election timers.
    pub seed: u64,
    /// How many loads the weight store takes at once.
    pub most_loads: usize,
    /// The keepers that the settings name.
    pub named: BTreeMap<KeeperId, SocketAddr>,
}

/// A loop's ends of the channels to its disk thread.
pub struct LoopDisk {
    /// Takes jobs, which are carried out in order.
    pub jobs: Sender<DiskJob>,
    /// Reports the end of each job.
    pub reports: Receiver<DiskReport>,
}

/// Why a loop ended: a keeper that cannot write must not answer.
#[derive(Clone, Debug, PartialEq, Eq, snafu::Snafu)]
pub enum LoopFailure {
    /// The disk thread could not carry out a job.
    #[snafu(display("{text}"))]
    Disk {
        /// What it said.
        text: String,
    },
    /// The state machine cannot start from the leader's snapshot.
    #[snafu(display("the snapshot that the leader sent cannot be read: {text}"))]
    Image {
        /// What is wrong with it.
        text: String,
    },
}

/// See the module.
pub struct KeeperLoop {
    /// This keeper's number.
    pub id: KeeperId,
    durable: DurableCore,
    /// The replicated state, as far as it is applied here.
    pub machine: KeeperMachine,
    disk: LoopDisk,
    incarnation: Incarnation,
    syncs: u64,
    clock: NodeClock,
    seed: u64,
    outlets: LoopOutlets,
    waiters: HashMap<u64, (u64, Waiter)>,
    watch: SessionWatch,
    loads: LoadTable,
    marks: Vec<(LeavingIncarnation, u64)>,
    leads_term: Option<(u64, u64)>,
    lapsing: HashSet<(RouterId, Incarnation)>,
    sending: HashMap<u64, bool>,
    order_retry_ms: BTreeMap<u64, u64>,
    most_loads: usize,
    named: BTreeMap<KeeperId, SocketAddr>,
    applied: u64,
}

impl KeeperLoop {
    /// A loop over what the disk held.
    pub fn new(start: LoopStart, outlets: LoopOutlets) -> KeeperLoop {
        let LoopStart { id, core, machine, disk, incarnation, clock, seed, most_loads, named } =
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
            outlets,
            waiters: HashMap::new(),
            watch: SessionWatch::default(),
            loads: LoadTable::default(),
            marks: Vec::new(),
            leads_term: None,
            lapsing: HashSet::new(),
            sending: HashMap::new(),
            order_retry_ms: BTreeMap::new(),
            most_loads,
            named,
            applied,
        }
    }

    /// The consensus.
    pub fn core(&self) -> &RaftCore {
        &self.durable.core
    }

    /// Runs until stopped.
    ///
    /// # Errors
    ///
    /// The disk fails, or a leader sent what cannot be read.
    pub fn run(mut self, events: Receiver<KeeperEvent>) -> Result<(), LoopFailure> {
        let reports = self.disk.reports.clone();
        let mut running = true;
        while running {
            let mut output = RaftOutput::default();
            select! {
                recv(reports) -> report => self.take_report(report.ok())?,
                recv(events) -> event => match event {
                    Ok(event) => running = self.take_all(event, &events, &mut output),
                    Err(_) => running = false,
                },
                default(POLL) => {}
            }
            let now_ms = self.clock.now_ms();
            self.tick(now_ms, &mut output);
            self.lead(now_ms, &mut output);
            self.durable.core.flush(now_ms, &mut output);
            let outcome = self.durable.process_output(output, now_ms);
            self.carry_out(outcome)?;
            self.compact(now_ms)?;
        }
        self.waiters.drain().for_each(|(_, (_, waiter))| waiter.unsure());
        Ok(())
    }

    /// Enters no further term while the disk works: a vote that is not written does not count.
    fn tick(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let leads = self.durable.core.role() == RaftRole::Leader;
        if leads && self.durable.is_stuck(DISK_PATIENCE_MS, now_ms) {
            tracing::warn!("keeper: resigns, since its disk writes nothing.");
            self.durable.core.resign(now_ms);
        } else if leads || self.durable.is_idle() {
            self.durable.core.tick(now_ms, output);
        }
    }

    fn take_report(&mut self, report: Option<DiskReport>) -> Result<(), LoopFailure> {
        let now_ms = self.clock.now_ms();
        match report {
            Some(DiskReport::Done) => {
                self.syncs += 1;
                let outcome = self.durable.note_written(now_ms);
                self.durable.core.note_sync_time(self.durable.last_job_ms());
                self.carry_out(outcome)
            }
            Some(DiskReport::Failed(text)) => Err(LoopFailure::Disk { text }),
            Some(DiskReport::Opened(..) | DiskReport::ListStored) => Ok(()),
            None => Err(LoopFailure::Disk { text: "the disk thread has ended".to_string() }),
        }
    }

    // ---- events ----

    /// Takes an event and those that wait behind it; false when one of them ends the loop.
    fn take_all(
        &mut self,
        first: KeeperEvent,
        events: &Receiver<KeeperEvent>,
        output: &mut RaftOutput,
    ) -> bool {
        let mut running = self.take(first, output);
        for event in events.try_iter().take(MOST_EVENTS - 1) {
            running &= self.take(event, output);
        }
        running
    }

    fn take(&mut self, event: KeeperEvent, output: &mut RaftOutput) -> bool {
        let now_ms = self.clock.now_ms();
        match event {
            KeeperEvent::Raft(message) => self.durable.core.receive(message, now_ms, output),
            KeeperEvent::Call(call, sender) => self.take_call(call, sender, output),
            KeeperEvent::Renew(from, renewal) => self.take_renewal(from, renewal, now_ms),
            KeeperEvent::Claims(from, number, claims, reports) => {
                let waiter = Waiter::Datagram(self.outlets.port.clone(), from, number);
                self.take_claims(claims, reports, waiter, output);
            }
            KeeperEvent::Operate(operation, sender) => {
                self.propose(operation, Waiter::Operate(sender), output);
            }
            KeeperEvent::Member(change, sender) => {
                let place = self.durable.core.change_member(change, now_ms, output);
                self.wait_for(place, Waiter::Operate(sender));
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
            KeeperEvent::StoreLimit(limit) => self.most_loads = limit.max(1),
            KeeperEvent::Form(membership) => self.form(membership),
            KeeperEvent::Stop => return false,
        }
        true
    }

    fn take_call(
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
                return self.take_claims(claims, reports, Waiter::Call(sender), output);
            }
        };
        let _ = sender.send(reply);
    }

    /// Ends first, so that a claim given back can be taken in the same batch.
    fn take_claims(
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

    fn propose(&mut self, operation: KeeperOperation, waiter: Waiter, output: &mut RaftOutput) {
        let at_ms = wall_ms().max(self.machine.now_ms);
        let command = KeeperCommand { at_ms, operation };
        let payload = EntryPayload::Command(encode(&command));
        let place = self.durable.core.propose(payload, output);
        self.wait_for(place, waiter);
    }

    fn wait_for(&mut self, place: Result<(u64, u64), RaftRefusal>, waiter: Waiter) {
        match (place, waiter) {
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

    /// Who this keeper is.
    pub fn identity(&self) -> KeeperIdentity {
        let members = self.core().membership().members.iter();
        let members: BTreeMap<KeeperId, Incarnation> =
            members.map(|(id, member)| (*id, member.incarnation)).collect();
        let blank = members.is_empty();
        KeeperIdentity { id: self.id, incarnation: self.incarnation, blank, members }
    }

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

    /// The first group begins with equal snapshots on all its keepers.
    fn form(&mut self, membership: GroupMembership) {
        if !self.core().membership().members.is_empty() {
            return;
        }
        let image = KeeperMachine::default().to_image();
        let snapshot = LogSnapshot { index: 0, term: 0, membership, image };
        let now_ms = self.clock.now_ms();
        let job = self.durable.start_group(snapshot, self.seed, now_ms);
        tracing::info!("keeper: forms a group of {}.", self.core().membership().members.len());
        // Without a disk thread the loop ends with its next look at the reports.
        let _ = self.submit(job);
    }

    // ---- leading ----

    fn lead(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let leads = self.core().role() == RaftRole::Leader;
        if !leads {
            if self.leads_term.take().is_some() {
                tracing::info!("keeper: leads no more.");
                self.lapsing.clear();
                self.sending.clear();
            }
            return;
        }
        if self.leads_term.map(|(term, _)| term) != Some(self.core().term()) {
            tracing::info!("keeper: leads term {}.", self.core().term());
            self.leads_term = Some((self.core().term(), now_ms));
            self.watch = SessionWatch::new(now_ms);
            self.loads = LoadTable::default();
            self.lapsing.clear();
            self.sending.clear();
        }
        if !self.core().has_lease(now_ms) {
            return;
        }
        self.lapse_sessions(now_ms, output);
        self.send_orders(now_ms);
    }

    fn lapse_sessions(&mut self, now_ms: u64, output: &mut RaftOutput) {
        for (id, incarnation) in self.watch.lapsed(&self.machine.roster, now_ms) {
            if self.lapsing.insert((id, incarnation)) {
                tracing::warn!("keeper: router {id} lapsed.");
                let operation = KeeperOperation::Lapse(id, incarnation);
                self.propose(operation, Waiter::Detached, output);
            }
        }
    }

    fn take_renewal(&mut self, from: SocketAddr, renewal: LeaseRenewal, now_ms: u64) {
        if !self.core().has_lease(now_ms) {
            return;
        }
        let roster = &self.machine.roster;
        let session = roster.routers.get(&renewal.router);
        let known = session.is_some_and(|session| session.incarnation == renewal.incarnation);
        let (router, incarnation) = (renewal.router, renewal.incarnation);
        if known {
            self.watch.note_renewal(router, incarnation, renewal.epoch, renewal.version, now_ms);
            self.loads.note(router, &renewal.rows, now_ms);
        }
        self.loads.expire(now_ms);
        let asked: Vec<FleetKey> = renewal.rows.iter().map(|row| row.fleet).collect();
        self.marks.retain(|(_, noted_ms)| now_ms < noted_ms + MARK_KEEP_MS);
        for mark in renewal.marks {
            if !self.marks.iter().any(|(known, _)| *known == mark) {
                self.marks.push((mark, now_ms));
            }
        }
        let grant = LeaseGrant {
            sent_ms: renewal.sent_ms,
            known,
            version: self.machine.configuration.version,
            epoch: self.machine.roster.epoch,
            settled_epoch: self.watch.settled_epoch(&self.machine.roster, now_ms),
            rows: self.loads.others(router, &asked),
            marks: self.marks.iter().map(|(mark, _)| *mark).take(MARKS_PER_DATAGRAM).collect(),
        };
        self.outlets.port.send(from, &Datagram::Grant(grant));
    }

    fn send_orders(&mut self, now_ms: u64) {
        let Some((_, leads_since_ms)) = self.leads_term else { return };
        let loads_running = self.sending.values().filter(|loads| **loads).count();
        let busy = |number: u64| {
            let waits = self.order_retry_ms.get(&number).is_some_and(|until| now_ms < *until);
            self.sending.contains_key(&number) || waits
        };
        let (machine, most) = (&self.machine, self.most_loads);
        for order in orders_to_send(machine, leads_since_ms, loads_running, most, busy, now_ms) {
            let entry = self.machine.configuration.upstreams.get(&order.upstream);
            let Some(address) = entry.map(|entry| entry.address) else { continue };
            let loads = matches!(order.action, OrderAction::Load { .. });
            self.sending.insert(order.number, loads);
            (self.outlets.send_order)(order, address);
        }
    }

    fn end_order(
        &mut self,
        number: u64,
        end: Option<OrderState>,
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        self.sending.remove(&number);
        let Some(end) = end else {
            self.order_retry_ms.insert(number, now_ms + ORDER_RETRY_MS);
            return;
        };
        self.order_retry_ms.remove(&number);
        self.propose(KeeperOperation::OrderEnd(number, end), Waiter::Detached, output);
    }

    // ---- after a step ----

    fn carry_out(&mut self, outcome: DurableOutcome) -> Result<(), LoopFailure> {
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

    fn submit(&mut self, job: Option<DiskJob>) -> Result<(), LoopFailure> {
        let Some(job) = job else { return Ok(()) };
        let ended = |_| LoopFailure::Disk { text: "the disk thread has ended".to_string() };
        self.disk.jobs.send(job).map_err(ended)
    }

    fn send(&self, messages: Vec<(KeeperId, RaftMessage)>) {
        for (to, message) in messages {
            let member = self.core().membership().members.get(&to);
            // A keeper that is being brought in knows no members yet, but must answer its leader.
            let address = member.map(|member| member.address);
            let Some(address) = address.or_else(|| self.named.get(&to).copied()) else { continue };
            let datagram = Datagram::Raft(message);
            if !self.outlets.port.send(address, &datagram) {
                if let Datagram::Raft(message) = datagram {
                    (self.outlets.send_long)(to, address, message);
                }
            }
        }
    }

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
                // Every keeper skips it alike; a newer leader wrote what this one cannot read.
                tracing::error!("keeper: cannot read entry {}: {error}.", entry.index);
                KeeperAnswer::Done
            }
        }
    }

    /// Routers ask at once instead of at their next renewal.
    fn notify(&self, version: u64, epoch: u64) {
        let notice = Datagram::Notice { version, epoch };
        for session in self.machine.roster.routers.values() {
            self.outlets.port.send(session.address, &notice);
        }
    }

    fn compact(&mut self, now_ms: u64) -> Result<(), LoopFailure> {
        let enough = self.applied >= self.core().snapshot_index() + COMPACT_ENTRIES;
        if !enough || !self.durable.is_idle() {
            return Ok(());
        }
        let job = self.durable.compact(self.applied, self.machine.to_image(), now_ms);
        if job.is_some() {
            tracing::info!("keeper: takes a snapshot at {}.", self.applied);
        }
        self.submit(job)
    }

    // ---- reading ----

    /// The configuration as applied here.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.machine.configuration
    }

    /// All that a status page shows.
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
        let versions = self.watch.versions(&self.machine.roster);
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
            wire: (self.outlets.wire)(),
        }
    }
}
