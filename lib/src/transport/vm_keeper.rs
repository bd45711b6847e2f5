//! A VM's part in the consensus: drives [`RaftCore`], the disk thread and the document.
//!
//! Invariants: a reply that claims something is on disk leaves only when it is; what a
//! leader sends may leave at once, since only synced entries count for itself. A leader
//! whose disk is stuck resigns. See `docs/design/platform.md`.

use std::collections::BTreeMap;

use crossbeam::channel::Sender;
use tokio::sync::oneshot;
use tracing::{error, info, warn};

use super::vm_disk::{DiskJob, DiskReport};
use crate::coordination::group_plan::{next_change, voters_wanted};
use crate::coordination::raft::RaftCore;
use crate::coordination::raft_message::{RaftBody, RaftMessage, RaftOutput, RaftRole, WAKE_MS};
use crate::coordination::vm_roster::VmRoster;
use crate::state::fleet_record::{FleetCommand, FleetRecord, HeldDocument, RecordChange, SeatRow};
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogBatch, LogEntry, StoredState,
};
use crate::state::packed_text::PackedText;

/// A job that takes longer than this makes a leader resign, in milliseconds.
const STUCK_MS: u64 = 600;
/// After a failed job everything is written anew, this often, in milliseconds.
const REWRITE_MS: u64 = 500;
/// The log is compacted when it holds this many bytes of documents or entries.
const COMPACT_BYTES: usize = 256 << 10;
const COMPACT_ENTRIES: usize = 256;
/// A group that stays smaller than wanted takes documents after this long, in milliseconds.
const SMALL_GROUP_MS: u64 = 3000;

/// What a keeper asks of its VM after a step.
#[derive(Debug, Default)]
pub struct KeeperOutcome {
    /// To send.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// The document changed.
    pub changed: bool,
    /// A roll-out began or went a step on.
    pub rollouts_changed: bool,
    /// What is known against a request is something else.
    pub quarantine_changed: bool,
}

struct PutWaiter {
    index: u64,
    term: u64,
    reply: oneshot::Sender<bool>,
}

/// One keeper.
pub struct KeeperDriver {
    id: KeeperId,
    peer_port: u16,
    wanted: usize,
    core: RaftCore,
    /// The life of its disk.
    pub incarnation: Incarnation,
    /// What is known to be committed.
    pub record: FleetRecord,
    /// The VMs that a leader hears.
    pub roster: VmRoster,
    disk: Sender<DiskJob>,
    job_since_ms: Option<u64>,
    waiting_jobs: Vec<DiskJob>,
    broken_ms: Option<u64>,
    held_back: Vec<(KeeperId, RaftMessage)>,
    waiters: Vec<PutWaiter>,
    log_bytes: usize,
    led_since_ms: Option<u64>,
    refusals: BTreeMap<&'static str, u64>,
}

/// Who a keeper is.
pub struct KeeperIdentity {
    /// Its VM.
    pub id: KeeperId,
    /// The port on which VMs speak.
    pub peer_port: u16,
    /// Losses to be survived.
    pub tolerated_losses: u32,
    /// Whether this VM forms the group when its disk is blank.
    pub founder: bool,
    /// Spreads the election timers.
    pub seed: u64,
}

impl KeeperDriver {
    /// A keeper with what its disk held.
    pub fn new(
        identity: KeeperIdentity,
        incarnation: Incarnation,
        mut stored: StoredState,
        disk: Sender<DiskJob>,
        now_ms: u64,
    ) -> KeeperDriver {
        let mut first_jobs = Vec::new();
        if stored.blank && identity.founder {
            let batch = found_group(&identity, incarnation);
            stored.hard_state = batch.hard_state.unwrap_or_default();
            stored.entries = batch.entries.clone();
            first_jobs.push(DiskJob::Append(batch));
            info!(target: "keeper", "forms the first group");
        }
        let mut record = FleetRecord::default();
        if !stored.snapshot.image.is_empty() {
            if let Err(error) = record.restore(&stored.snapshot.image) {
                error!(target: "keeper", "the snapshot cannot be read: {error}");
            }
        }
        info!(
            target: "keeper",
            term = stored.hard_state.term,
            snapshot = stored.snapshot.index,
            entries = stored.entries.len(),
            torn_bytes = stored.torn_bytes,
            life = incarnation.0,
            "starts from its disk",
        );
        let mut core = RaftCore::new(identity.id, incarnation, stored, identity.seed, now_ms);
        core.wake_soon(WAKE_MS, now_ms);
        let mut driver = KeeperDriver {
            id: identity.id,
            peer_port: identity.peer_port,
            wanted: voters_wanted(identity.tolerated_losses),
            core,
            incarnation,
            record,
            roster: VmRoster::default(),
            disk,
            job_since_ms: None,
            waiting_jobs: first_jobs,
            broken_ms: None,
            held_back: Vec::new(),
            waiters: Vec::new(),
            log_bytes: 0,
            led_since_ms: None,
            refusals: BTreeMap::new(),
        };
        driver.submit_jobs(now_ms);
        driver
    }

    /// The leader, as far as known.
    pub fn leader(&self) -> Option<KeeperId> {
        self.core.leader()
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.core.term()
    }

    /// The members of the group.
    pub fn members(&self) -> Vec<KeeperId> {
        self.core.membership().members.keys().copied().collect()
    }

    /// How many members vote.
    pub fn voters(&self) -> usize {
        self.core.membership().members.values().filter(|member| member.votes).count()
    }

    /// Whether this keeper surely leads and has applied all that is committed.
    pub fn may_vouch(&self, now_ms: u64) -> bool {
        self.core.has_lease(now_ms) && self.core.has_applied_all()
    }

    /// How long it has led, in milliseconds.
    pub fn led_ms(&self, now_ms: u64) -> u64 {
        self.led_since_ms.map_or(0, |since| now_ms.saturating_sub(since))
    }

    /// Time passes.
    pub fn tick(&mut self, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        if self.broken_ms.is_some_and(|broken| now_ms >= broken + REWRITE_MS) {
            self.rewrite(now_ms);
        }
        let stuck = self.job_since_ms.is_some_and(|since| now_ms >= since + STUCK_MS);
        if stuck || self.broken_ms.is_some() {
            // It must neither stand for election nor lead: it can't hold what it would take.
            if self.core.role() == RaftRole::Leader {
                warn!(target: "keeper", stuck, "resigns, since its disk takes nothing");
                self.core.resign(now_ms);
                self.note_role(now_ms);
            }
            return outcome;
        }
        self.step(now_ms, &mut outcome, |core, output| core.tick(now_ms, output));
        if self.may_vouch(now_ms) {
            self.lead_on(now_ms, &mut outcome);
        }
        self.compact(now_ms);
        outcome
    }

    /// A message of another keeper came.
    pub fn receive(&mut self, message: RaftMessage, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        self.step(now_ms, &mut outcome, |core, output| core.receive(message, now_ms, output));
        outcome
    }

    /// The disk thread reports the end of its job.
    pub fn note_disk(&mut self, report: DiskReport, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        self.job_since_ms = None;
        if let DiskReport::Failed(error) = report {
            warn!(target: "disk", "a write failed, all is to be written anew: {error}");
            self.broken_ms = Some(now_ms);
            self.waiting_jobs.clear();
            return outcome;
        }
        if self.broken_ms.is_some() {
            return outcome;
        }
        if !self.waiting_jobs.is_empty() {
            self.submit_jobs(now_ms);
            return outcome;
        }
        outcome.messages.append(&mut self.held_back);
        self.step(now_ms, &mut outcome, |core, output| core.note_synced(output));
        self.step(now_ms, &mut outcome, |core, output| core.flush(now_ms, output));
        outcome
    }

    /// Proposes a document; the receiver tells whether it is committed.
    pub fn put(
        &mut self,
        version: u64,
        document: &PackedText,
        now_ms: u64,
    ) -> (oneshot::Receiver<bool>, KeeperOutcome) {
        let mut outcome = KeeperOutcome::default();
        if version <= self.record.document.version {
            let (reply, receiver) = oneshot::channel();
            let _ = reply.send(true);
            return (receiver, outcome);
        }
        let document = HeldDocument { version, text: document.clone() };
        let receiver = self.propose(FleetCommand::Document(document), &mut outcome, now_ms);
        (receiver, outcome)
    }

    /// Proposes an order of a zone or a roll-out; the receiver tells whether it was taken. Each
    /// order is proposed, also one that asks for what already holds: only its place in the log tells
    /// whether another one goes before it.
    pub fn order(
        &mut self,
        command: FleetCommand,
        now_ms: u64,
    ) -> (oneshot::Receiver<bool>, KeeperOutcome) {
        let mut outcome = KeeperOutcome::default();
        let receiver = self.propose(command, &mut outcome, now_ms);
        (receiver, outcome)
    }

    fn propose(
        &mut self,
        command: FleetCommand,
        outcome: &mut KeeperOutcome,
        now_ms: u64,
    ) -> oneshot::Receiver<bool> {
        let (reply, receiver) = oneshot::channel();
        let small = self.voters() < self.wanted && self.led_ms(now_ms) < SMALL_GROUP_MS;
        if small || self.core.role() != RaftRole::Leader {
            let _ = reply.send(false);
            return receiver;
        }
        let payload = EntryPayload::Command(command.encode());
        let mut place = None;
        self.step(now_ms, outcome, |core, output| {
            place = core.propose(payload, output).ok();
            core.flush(now_ms, output);
        });
        match place {
            Some((index, term)) => self.waiters.push(PutWaiter { index, term, reply }),
            None => drop(reply.send(false)),
        }
        receiver
    }

    /// Records the seats, if this keeper leads; what isn't committed is recorded with the next
    /// change.
    pub fn record_seats(&mut self, seats: Vec<SeatRow>, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        let payload = EntryPayload::Command(FleetCommand::Seats(seats).encode());
        self.step(now_ms, &mut outcome, |core, output| {
            if let Err(refusal) = core.propose(payload, output) {
                info!(target: "keeper", "seats are not recorded: {refusal:?}");
            }
            core.flush(now_ms, output);
        });
        outcome
    }

    /// Hands leadership over before a planned stop.
    pub fn hand_over(&mut self, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        self.step(now_ms, &mut outcome, |core, output| match core.transfer(None, now_ms, output) {
            Ok(to) => info!(target: "keeper", to = to.0, "hands leadership over"),
            Err(refusal) => info!(target: "keeper", "does not hand over: {refusal:?}"),
        });
        outcome
    }

    fn lead_on(&mut self, now_ms: u64, outcome: &mut KeeperOutcome) {
        self.roster.expire(now_ms);
        let known = self.roster.keepers();
        let change = next_change(&self.core, self.id, &known, self.wanted, self.peer_port, now_ms);
        let Some(change) = change else { return };
        let text = format!("{change:?}");
        let mut refused = None;
        self.step(now_ms, outcome, |core, output| {
            refused = core.change_member(change, now_ms, output).err();
            core.flush(now_ms, output);
        });
        match refused {
            None => info!(target: "keeper", "changes the group: {text}"),
            Some(_) => *self.refusals.entry("change").or_default() += 1,
        }
    }

    fn step(
        &mut self,
        now_ms: u64,
        outcome: &mut KeeperOutcome,
        act: impl FnOnce(&mut RaftCore, &mut RaftOutput),
    ) {
        let mut output = RaftOutput::default();
        act(&mut self.core, &mut output);
        if let Some(snapshot) = output.install.take() {
            match self.record.restore(&snapshot.image) {
                Ok(changed) => outcome.changed |= changed,
                Err(error) => error!(target: "keeper", "a snapshot cannot be read: {error}"),
            }
            let entries = self.core.entries().to_vec();
            let job = DiskJob::Install(Box::new(snapshot), self.core.hard_state(), entries);
            self.queue_job(job);
        }
        if !output.batch.is_empty() {
            self.queue_job(DiskJob::Append(std::mem::take(&mut output.batch)));
        }
        self.submit_jobs(now_ms);
        for (to, message) in output.messages.drain(..) {
            match self.must_wait(&message) {
                true => self.held_back.push((to, message)),
                false => outcome.messages.push((to, message)),
            }
        }
        for entry in output.committed.drain(..) {
            let change = self.apply(&entry);
            outcome.changed |= change == RecordChange::Document;
            outcome.rollouts_changed |= change == RecordChange::Rollout;
            outcome.quarantine_changed |= change == RecordChange::Quarantine;
        }
        self.note_role(now_ms);
    }

    /// Replies claim what is on disk, so they wait for it; so does a vote for itself.
    fn must_wait(&self, message: &RaftMessage) -> bool {
        let unsynced = self.job_since_ms.is_some()
            || !self.waiting_jobs.is_empty()
            || self.broken_ms.is_some();
        let claims = match &message.body {
            RaftBody::VoteReply { pre, granted } => !pre && *granted,
            RaftBody::Vote { pre, .. } => !pre,
            RaftBody::AppendReply { matched, index, .. } => {
                *matched && *index > self.core.synced_index()
            }
            RaftBody::Append { .. } | RaftBody::Piece { .. } | RaftBody::StandNow => false,
        };
        unsynced && claims
    }

    fn queue_job(&mut self, job: DiskJob) {
        if self.broken_ms.is_some() {
            // Everything is written anew anyway.
            return;
        }
        match (self.waiting_jobs.last_mut(), job) {
            (Some(DiskJob::Append(before)), DiskJob::Append(batch)) => merge_batch(before, batch),
            (_, job) => self.waiting_jobs.push(job),
        }
    }

    fn submit_jobs(&mut self, now_ms: u64) {
        if self.job_since_ms.is_some() || self.waiting_jobs.is_empty() {
            return;
        }
        let job = self.waiting_jobs.remove(0);
        if self.disk.send(job).is_err() {
            warn!(target: "disk", "the disk thread is gone");
            self.broken_ms = Some(now_ms);
            return;
        }
        self.job_since_ms = Some(now_ms);
    }

    fn rewrite(&mut self, now_ms: u64) {
        self.broken_ms = None;
        self.waiting_jobs.clear();
        let snapshot = Box::new(self.core.snapshot().clone());
        let entries = self.core.entries().to_vec();
        self.queue_job(DiskJob::Install(snapshot, self.core.hard_state(), entries));
        self.submit_jobs(now_ms);
    }

    fn apply(&mut self, entry: &LogEntry) -> RecordChange {
        let mut change = RecordChange::Other;
        if let EntryPayload::Command(command) = &entry.payload {
            self.log_bytes += command.len();
            // A new leader's first entry is empty.
            if !command.is_empty() {
                match self.record.apply(command) {
                    Ok(applied) => change = applied,
                    Err(error) => error!(target: "keeper", "a command cannot be read: {error}"),
                }
            }
        }
        let (done, waiting) =
            std::mem::take(&mut self.waiters).into_iter().partition(|w| w.index <= entry.index);
        self.waiters = waiting;
        for waiter in done {
            let own = waiter.index == entry.index && waiter.term == entry.term;
            let _ = waiter.reply.send(own && change != RecordChange::Overtaken);
        }
        change
    }

    fn note_role(&mut self, now_ms: u64) {
        let leads = self.core.role() == RaftRole::Leader;
        if leads && self.led_since_ms.is_none() {
            info!(target: "keeper", term = self.core.term(), "leads");
            self.led_since_ms = Some(now_ms);
            self.roster.clear();
        } else if !leads && self.led_since_ms.take().is_some() {
            info!(target: "keeper", term = self.core.term(), "leads no more");
            self.roster.clear();
            for waiter in self.waiters.drain(..) {
                let _ = waiter.reply.send(false);
            }
        }
    }

    fn compact(&mut self, now_ms: u64) {
        let large = self.log_bytes > COMPACT_BYTES || self.core.entries().len() > COMPACT_ENTRIES;
        if !large || !self.core.has_applied_all() || self.job_since_ms.is_some() {
            return;
        }
        let image = self.record.image();
        let commit = self.core.commit();
        let Some(snapshot) = self.core.compact(commit, image) else { return };
        let snapshot = Box::new(snapshot.clone());
        let entries = self.core.entries().to_vec();
        self.log_bytes = 0;
        self.queue_job(DiskJob::Install(snapshot, self.core.hard_state(), entries));
        self.submit_jobs(now_ms);
    }
}

/// The first entry of the first group: its founder alone; the others join it.
fn found_group(identity: &KeeperIdentity, incarnation: Incarnation) -> LogBatch {
    let address = std::net::Ipv4Addr::from(identity.id.0);
    let address = std::net::SocketAddr::from((address, identity.peer_port));
    let member = GroupMember { incarnation, address, votes: true };
    let members = BTreeMap::from([(identity.id, member)]);
    let payload = EntryPayload::Membership(GroupMembership { members });
    LogBatch {
        hard_state: Some(crate::state::log_store::HardState { term: 1, voted_for: None }),
        truncate_from: None,
        entries: vec![LogEntry { index: 1, term: 1, payload }],
    }
}

fn merge_batch(before: &mut LogBatch, batch: LogBatch) {
    if batch.hard_state.is_some() {
        before.hard_state = batch.hard_state;
    }
    if let Some(from) = batch.truncate_from {
        before.entries.retain(|entry| entry.index < from);
        before.truncate_from = Some(before.truncate_from.map_or(from, |other| other.min(from)));
    }
    before.entries.extend(batch.entries);
}
