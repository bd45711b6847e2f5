//! One keeper, a member of the consensus group: drives [`RaftCore`] and the disk thread, and applies
//! what is committed to the [`FleetRecord`].
//!
//! Invariants: a reply that acknowledges something as on disk is sent only once it is. Messages of a leader
//! may be sent at once, since it counts itself only for entries that are synced. A leader whose disk is
//! stuck resigns. See `docs/design/platform.md`.

use std::collections::BTreeMap;

use crossbeam::channel::Sender;
use tokio::sync::oneshot;
use tracing::{error, info, warn};

use super::vm_disk::{DiskJob, DiskReport};
use crate::coordination::durable_core::{DurableCore, DurableOutcome};
use crate::coordination::group_plan::{next_change, required_voters};
use crate::coordination::raft::RaftCore;
use crate::coordination::raft_message::{RaftMessage, RaftOutput, RaftRole, STARTUP_ELECTION_MS};
use crate::coordination::vm_roster::VmRoster;
use crate::state::fleet_record::{
    FleetCommand, FleetRecord, RecordChange, RingSlotRow, VersionedDocument,
};
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, LogBatch, LogEntry, StoredState,
};
use crate::state::packed_text::PackedText;

/// A leader whose disk job takes longer than this resigns, in milliseconds.
const DISK_STUCK_MS: u64 = 600;
/// The pause between a failed disk job and the attempt to rewrite everything, in milliseconds.
const REWRITE_PAUSE_MS: u64 = 500;
/// The log is compacted once it holds more bytes of commands than this.
const COMPACT_BYTES: usize = 256 << 10;
/// The log is compacted once it holds more entries than this.
const COMPACT_ENTRIES: usize = 256;
/// While a live member lacks entries, the log may hold this many times more before it is compacted. That
/// member would need a whole snapshot otherwise, and may never get all of one while others follow it.
const KEPT_LOG_FACTOR: usize = 4;
/// A leader whose group has too few voters accepts no commands until it has led for this long, in
/// milliseconds, since more voters may still join.
const SMALL_GROUP_MS: u64 = 3000;

/// What the VM has to do after a step of its keeper.
#[derive(Debug, Default)]
pub struct KeeperOutcome {
    /// Messages to send to other keepers.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// Whether the document changed.
    pub changed: bool,
    /// Whether a roll-out began or changed its phase.
    pub rollouts_changed: bool,
    /// Whether the quarantine table changed.
    pub quarantine_changed: bool,
}

/// A proposal that waits until its entry is committed or replaced.
struct ProposalWaiter {
    index: u64,
    term: u64,
    reply: oneshot::Sender<bool>,
}

/// The state of one keeper.
pub struct KeeperDriver {
    id: KeeperId,
    peer_port: u16,
    required_voters: usize,
    durable: DurableCore,
    /// The incarnation of its disk; a disk whose files were lost has another one.
    pub incarnation: Incarnation,
    /// The result of all committed commands.
    pub record: FleetRecord,
    /// The VMs that renew with this keeper while it leads.
    pub roster: VmRoster,
    disk: Sender<DiskJob>,
    waiters: Vec<ProposalWaiter>,
    log_bytes: usize,
    led_since_ms: Option<u64>,
    refusals: BTreeMap<&'static str, u64>,
}

/// What a keeper is started with.
pub struct KeeperIdentity {
    /// The id of its VM.
    pub id: KeeperId,
    /// The port for messages between VMs.
    pub peer_port: u16,
    /// How many keepers the group must be able to lose.
    pub tolerated_losses: u32,
    /// Whether this VM forms the first group if its disk is blank.
    pub founder: bool,
    /// Seeds the random part of the election timers.
    pub seed: u64,
}

impl KeeperDriver {
    /// Creates a keeper from what its disk holds.
    pub fn new(
        identity: KeeperIdentity,
        incarnation: Incarnation,
        mut stored: StoredState,
        disk: Sender<DiskJob>,
        now_ms: u64,
    ) -> KeeperDriver {
        let mut first_job = None;
        if stored.blank && identity.founder {
            let batch = found_group(&identity, incarnation);
            stored.hard_state = batch.hard_state.unwrap_or_default();
            stored.entries = batch.entries.clone();
            first_job = Some(DiskJob::Append(batch));
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
        core.set_startup_timeout(STARTUP_ELECTION_MS, now_ms);
        let mut durable = DurableCore::new(core);
        if let Some(job) = first_job {
            durable.queue(job);
        }
        let job = durable.next_job(now_ms);
        let mut driver = KeeperDriver {
            id: identity.id,
            peer_port: identity.peer_port,
            required_voters: required_voters(identity.tolerated_losses),
            durable,
            incarnation,
            record,
            roster: VmRoster::default(),
            disk,
            waiters: Vec::new(),
            log_bytes: 0,
            led_since_ms: None,
            refusals: BTreeMap::new(),
        };
        driver.submit(job, now_ms);
        driver
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<KeeperId> {
        self.durable.core.leader()
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.durable.core.term()
    }

    /// The members of the group.
    pub fn members(&self) -> Vec<KeeperId> {
        self.durable.core.membership().members.keys().copied().collect()
    }

    /// The number of members that vote.
    pub fn voters(&self) -> usize {
        self.durable.core.membership().members.values().filter(|member| member.votes).count()
    }

    /// Whether this keeper holds the leader's lease and has applied all that is committed. Only then is
    /// its record certain to be the newest one.
    pub fn is_confirmed_leader(&self, now_ms: u64) -> bool {
        self.durable.core.has_lease(now_ms) && self.durable.core.has_applied_all()
    }

    /// How long it has led, in milliseconds; 0 while it doesn't lead.
    pub fn led_ms(&self, now_ms: u64) -> u64 {
        self.led_since_ms.map_or(0, |since| now_ms.saturating_sub(since))
    }

    /// Acts on timers that are due.
    pub fn tick(&mut self, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        if self.durable.failed_ms().is_some_and(|failed| now_ms >= failed + REWRITE_PAUSE_MS) {
            let job = self.durable.rewrite(now_ms);
            self.submit(job, now_ms);
        }
        let stuck = self.durable.is_stuck(DISK_STUCK_MS, now_ms);
        if stuck || self.durable.failed_ms().is_some() {
            // It must neither stand for election nor lead: it can't store what it would accept.
            if self.durable.core.role() == RaftRole::Leader {
                warn!(target: "keeper", stuck, "resigns, since its disk is stuck or failed");
                self.durable.core.resign(now_ms);
                self.note_role(now_ms);
            }
            return outcome;
        }
        self.step(now_ms, &mut outcome, |core, output| core.tick(now_ms, output));
        if self.is_confirmed_leader(now_ms) {
            self.plan_membership(now_ms, &mut outcome);
        }
        self.compact(now_ms);
        outcome
    }

    /// Handles a message of another keeper.
    pub fn receive(&mut self, message: RaftMessage, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        self.step(now_ms, &mut outcome, |core, output| core.receive(message, now_ms, output));
        outcome
    }

    /// Handles a report of the disk thread that its job has ended.
    pub fn note_disk(&mut self, report: DiskReport, now_ms: u64) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        if let DiskReport::Failed(error) = report {
            warn!(target: "disk", "a write failed, everything is to be rewritten: {error}");
            self.durable.note_failed(now_ms);
            return outcome;
        }
        let step = self.durable.note_written(now_ms);
        self.apply_step(step, &mut outcome, now_ms);
        outcome
    }

    /// Proposes a document. The receiver gets whether this version or a higher one is committed.
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
        let document = VersionedDocument { version, text: document.clone() };
        let receiver = self.propose(FleetCommand::Document(document), &mut outcome, now_ms);
        (receiver, outcome)
    }

    /// Proposes an order for a zone or a roll-out. The receiver gets whether it was accepted. An order that
    /// changes nothing is proposed, too: only its position in the log shows whether another one precedes it.
    pub fn order(
        &mut self,
        command: FleetCommand,
        now_ms: u64,
    ) -> (oneshot::Receiver<bool>, KeeperOutcome) {
        let mut outcome = KeeperOutcome::default();
        let receiver = self.propose(command, &mut outcome, now_ms);
        (receiver, outcome)
    }

    /// Proposes a command. The receiver gets whether it is committed and took effect.
    fn propose(
        &mut self,
        command: FleetCommand,
        outcome: &mut KeeperOutcome,
        now_ms: u64,
    ) -> oneshot::Receiver<bool> {
        let (reply, receiver) = oneshot::channel();
        let small = self.voters() < self.required_voters && self.led_ms(now_ms) < SMALL_GROUP_MS;
        if small || self.durable.core.role() != RaftRole::Leader {
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
            Some((index, term)) => self.waiters.push(ProposalWaiter { index, term, reply }),
            None => drop(reply.send(false)),
        }
        receiver
    }

    /// Proposes the ring slots, if this keeper leads. Slots that aren't committed are proposed again with the
    /// next change.
    pub fn record_ring_slots(
        &mut self,
        ring_slots: Vec<RingSlotRow>,
        now_ms: u64,
    ) -> KeeperOutcome {
        let mut outcome = KeeperOutcome::default();
        let payload = EntryPayload::Command(FleetCommand::RingSlots(ring_slots).encode());
        self.step(now_ms, &mut outcome, |core, output| {
            if let Err(refusal) = core.propose(payload, output) {
                info!(target: "keeper", "ring slots are not recorded: {refusal:?}");
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

    /// Proposes the next change of the group's members, if there is one to make, as the leader.
    fn plan_membership(&mut self, now_ms: u64, outcome: &mut KeeperOutcome) {
        self.roster.expire(now_ms);
        let known = self.roster.keepers();
        let change = next_change(
            &self.durable.core,
            self.id,
            &known,
            self.required_voters,
            self.peer_port,
            now_ms,
        );
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

    /// Runs one step of the consensus and adds its results to `outcome`.
    fn step(
        &mut self,
        now_ms: u64,
        outcome: &mut KeeperOutcome,
        act: impl FnOnce(&mut RaftCore, &mut RaftOutput),
    ) {
        let step = self.durable.step(now_ms, act);
        self.apply_step(step, outcome, now_ms);
    }

    /// Applies a step: starts its disk job, collects its messages and applies what it committed.
    fn apply_step(&mut self, mut step: DurableOutcome, outcome: &mut KeeperOutcome, now_ms: u64) {
        if let Some(snapshot) = step.installed.take() {
            match self.record.restore(&snapshot.image) {
                Ok(changed) => outcome.changed |= changed,
                Err(error) => error!(target: "keeper", "a snapshot cannot be read: {error}"),
            }
        }
        self.submit(step.job.take(), now_ms);
        outcome.messages.append(&mut step.messages);
        for entry in step.committed {
            let change = self.apply(&entry);
            outcome.changed |= change == RecordChange::Document;
            outcome.rollouts_changed |= change == RecordChange::Rollout;
            outcome.quarantine_changed |= change == RecordChange::Quarantine;
        }
        self.note_role(now_ms);
    }

    /// Sends a job to the disk thread.
    fn submit(&mut self, job: Option<DiskJob>, now_ms: u64) {
        let Some(job) = job else { return };
        if self.disk.send(job).is_err() {
            warn!(target: "disk", "the disk thread has ended");
            self.durable.note_failed(now_ms);
        }
    }

    /// Applies a committed entry to the record, and answers the proposals up to it.
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

    /// Notes when this keeper begins or ceases to lead. Proposals of a former leader count as not accepted.
    fn note_role(&mut self, now_ms: u64) {
        let leads = self.durable.core.role() == RaftRole::Leader;
        if leads && self.led_since_ms.is_none() {
            info!(target: "keeper", term = self.durable.core.term(), "leads");
            self.led_since_ms = Some(now_ms);
            self.roster.clear();
        } else if !leads && self.led_since_ms.take().is_some() {
            info!(target: "keeper", term = self.durable.core.term(), "leads no more");
            self.roster.clear();
            for waiter in self.waiters.drain(..) {
                let _ = waiter.reply.send(false);
            }
        }
    }

    /// Replaces the log by a snapshot, if the log is large and no disk job is running.
    fn compact(&mut self, now_ms: u64) {
        let core = &self.durable.core;
        let (max_bytes, max_entries) = match core.has_live_member_behind(now_ms) {
            true => {
                let bytes = core.snapshot().image.len().max(COMPACT_BYTES);
                (KEPT_LOG_FACTOR * bytes, KEPT_LOG_FACTOR * COMPACT_ENTRIES)
            }
            false => (COMPACT_BYTES, COMPACT_ENTRIES),
        };
        let large = self.log_bytes > max_bytes || core.entries().len() > max_entries;
        if !large || !self.durable.core.has_applied_all() || !self.durable.is_idle() {
            return;
        }
        let image = self.record.image();
        let job = self.durable.compact(self.durable.core.commit(), image, now_ms);
        if job.is_some() {
            self.log_bytes = 0;
        }
        self.submit(job, now_ms);
    }
}

/// The first entry of the first group, in which the founder is the only member; the others join later.
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
