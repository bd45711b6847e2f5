//! The keepers' consensus: Raft's published rules as a pure step function.
//!
//! [`RaftCore`] takes events and the current time, and fills a [`RaftOutput`].
//! The caller must write and sync `output.batch` before it sends
//! `output.messages`, and then call [`RaftCore::note_synced`]; only synced entries
//! count towards a quorum. The core does no I/O, reads no clock, and treats commands as
//! opaque bytes.
//! See `docs/design/consensus.md`.

use std::collections::BTreeMap;

use super::raft_message::{
    MemberChange, RaftBody, RaftMessage, RaftOutput, RaftRefusal, RaftRole, ELECTION_MS, LEASE_MS,
};
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{
    EntryPayload, GroupMembership, HardState, LogEntry, LogSnapshot, StoredState,
};

/// Upper bound on the sync time that election timeouts allow for, in milliseconds. Without it
/// one very slow write would postpone elections without limit.
const MAX_SYNC_MS: u64 = 5000;

/// What the leader tracks about the log of one other member.
#[derive(Clone, Debug, Default)]
pub(super) struct FollowerProgress {
    /// The index of the next entry to send.
    pub(super) next: u64,
    /// The last entry that the member has confirmed to hold.
    pub(super) matched: u64,
    /// The leader's send time of the latest message that the member has answered.
    pub(super) acked_sent_ms: u64,
    /// The send time of entries or a snapshot piece that the member has not answered yet.
    pub(super) waiting_since: Option<u64>,
    /// The snapshot that is being sent.
    pub(super) snapshot: Option<SnapshotTransfer>,
}

/// How far a leader has sent a snapshot to one member. The offset means nothing in another snapshot.
#[derive(Clone, Debug)]
pub(super) struct SnapshotTransfer {
    /// The snapshot's last entry. A leader makes no two snapshots with the same one.
    pub(super) index: u64,
    /// Where the next piece starts in the snapshot's image.
    pub(super) offset: u64,
    /// When the first piece was sent. Replies to earlier messages are about other snapshots.
    pub(super) began_ms: u64,
    /// How long to wait for a reply before a piece is sent again, in milliseconds. It doubles each time, since
    /// the connection may be too slow to carry a piece within that time.
    pub(super) retry_ms: u64,
}

/// What identifies a snapshot that is received in pieces. Two leaders may make different images of the same
/// entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SnapshotId {
    /// The term of the leader that sends it.
    pub(super) sender_term: u64,
    /// The snapshot's last entry.
    pub(super) index: u64,
}

/// A snapshot that the leader is sending, with the bytes received so far.
#[derive(Debug, Default)]
pub(super) struct IncomingSnapshot {
    pub(super) id: SnapshotId,
    pub(super) bytes: Vec<u8>,
}

/// The Raft state of one keeper.
#[derive(Debug)]
pub struct RaftCore {
    pub(super) id: KeeperId,
    pub(super) incarnation: Incarnation,
    pub(super) hard_state: HardState,
    pub(super) role: RaftRole,
    pub(super) leader: Option<KeeperId>,
    pub(super) snapshot: LogSnapshot,
    pub(super) entries: Vec<LogEntry>,
    pub(super) membership: GroupMembership,
    pub(super) membership_index: u64,
    pub(super) commit: u64,
    /// The last entry that was put into [`RaftOutput::committed`].
    pub(super) last_handed_out: u64,
    /// The last entry that is on this keeper's disk.
    pub(super) synced: u64,
    /// When the last message of a leader arrived, or when this keeper started or became leader.
    pub(super) last_contact_ms: u64,
    /// When this keeper starts an election unless a leader's message arrives first.
    pub(super) deadline_ms: u64,
    /// When this leader last sent heartbeats.
    pub(super) last_heartbeat_ms: u64,
    pub(super) votes: BTreeMap<KeeperId, bool>,
    pub(super) progress: BTreeMap<KeeperId, FollowerProgress>,
    pub(super) incoming: IncomingSnapshot,
    /// The target of a leadership transfer, and when the transfer times out.
    pub(super) transfer: Option<(KeeperId, u64)>,
    /// The first entry of this leader's term.
    pub(super) term_start: u64,
    /// State of the random generator that spreads the election timeouts.
    pub(super) jitter: u64,
    /// Whether this keeper has followed a leader or led since the process started.
    pub(super) seen_leader: bool,
    /// The election timeout until the first leader is seen, in milliseconds.
    pub(super) startup_timeout_ms: u64,
    /// How many election timeouts were set before the first leader was seen.
    pub(super) startup_attempts: u32,
    /// The estimated time of a disk sync, in milliseconds.
    pub(super) sync_ms: u64,
}

impl RaftCore {
    /// Creates a follower from the state read from its disk. `seed` spreads the election
    /// timeouts.
    pub fn new(
        id: KeeperId,
        incarnation: Incarnation,
        stored: StoredState,
        seed: u64,
        now_ms: u64,
    ) -> RaftCore {
        let last = stored.entries.last().map_or(stored.snapshot.index, |entry| entry.index);
        let commit = stored.snapshot.index;
        let mut core = RaftCore {
            id,
            incarnation,
            hard_state: stored.hard_state,
            role: RaftRole::Follower,
            leader: None,
            membership: stored.snapshot.membership.clone(),
            membership_index: stored.snapshot.index,
            snapshot: stored.snapshot,
            entries: stored.entries,
            commit,
            last_handed_out: commit,
            synced: last,
            last_contact_ms: now_ms,
            deadline_ms: 0,
            last_heartbeat_ms: 0,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            incoming: IncomingSnapshot::default(),
            transfer: None,
            term_start: 0,
            jitter: seed | 1,
            seen_leader: false,
            startup_timeout_ms: ELECTION_MS,
            startup_attempts: 0,
            sync_ms: 0,
        };
        core.reload_membership();
        core.reset_deadline(now_ms);
        if core.voters() == [id] {
            // A single voter needs no other vote, so it starts its election at once.
            core.deadline_ms = now_ms;
        }
        core
    }

    /// Sets a shorter election timeout for the time before the first leader is seen; see
    /// [`super::raft_message::STARTUP_ELECTION_MS`].
    pub fn set_startup_timeout(&mut self, startup_timeout_ms: u64, now_ms: u64) {
        self.startup_timeout_ms = startup_timeout_ms;
        self.startup_attempts = 0;
        if !self.seen_leader && self.deadline_ms > now_ms {
            self.reset_deadline(now_ms);
        }
    }

    /// Extends election timeouts for slow disks: a candidate's vote and each granted vote are
    /// sent only after a sync. `job_ms` is how long the last write took.
    pub fn note_sync_time(&mut self, job_ms: u64) {
        self.sync_ms = job_ms.max(self.sync_ms / 2).min(MAX_SYNC_MS);
    }

    /// Returns this keeper's role.
    pub fn role(&self) -> RaftRole {
        self.role
    }

    /// Returns the leader of the current term, or `None` while this keeper has not seen one.
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// Returns the index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// Returns the index of the last entry that the snapshot covers; the log starts after it. Callers
    /// use it to decide when to take the next snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    /// Returns the membership as of the last entry of the log, committed or not.
    pub fn membership(&self) -> &GroupMembership {
        &self.membership
    }

    /// Returns the log entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// Returns the snapshot that precedes the log entries.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry that is on this keeper's disk.
    pub fn synced_index(&self) -> u64 {
        self.synced
    }

    /// Returns whether every committed entry was handed out to be applied.
    pub fn has_applied_all(&self) -> bool {
        self.last_handed_out >= self.commit
    }

    /// Gives up leadership at once, for a keeper whose disk fails to write the log.
    pub fn resign(&mut self, now_ms: u64) {
        self.step_down(now_ms);
    }

    /// Returns the current term and the vote cast in it.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Returns whether this keeper leads, has committed an entry of its own term, holds a lease
    /// and transfers leadership to no other keeper. Only then may it answer reads from its own
    /// state.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        let fresh = self.lease_start_ms(now_ms).saturating_add(LEASE_MS) > now_ms;
        let current = self.commit >= self.term_start && self.transfer.is_none();
        self.role == RaftRole::Leader && fresh && current
    }

    /// Returns the milliseconds since the sending of the latest message that a member answered,
    /// or `None` before the first answer.
    pub fn member_age_ms(&self, id: KeeperId, now_ms: u64) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        (progress.acked_sent_ms > 0).then(|| now_ms.saturating_sub(progress.acked_sent_ms))
    }

    /// Returns whether this keeper leads and a member that answers lacks entries that are committed. If the
    /// leader compacted its log now, that member would need a snapshot, or the next one in place of the one
    /// that is being sent.
    pub fn has_live_member_behind(&self, now_ms: u64) -> bool {
        let is_behind = |id: &KeeperId| {
            let alive = self.member_age_ms(*id, now_ms).is_some_and(|age| age < ELECTION_MS);
            alive && self.member_match(*id).is_none_or(|matched| matched < self.commit)
        };
        self.role == RaftRole::Leader && self.others().iter().any(is_behind)
    }

    /// Returns the last entry that a member is known to hold.
    pub fn member_match(&self, id: KeeperId) -> Option<u64> {
        match id == self.id {
            true => Some(self.synced),
            false => self.progress.get(&id).map(|progress| progress.matched),
        }
    }

    /// Acts on timers: starts elections, sends heartbeats, and makes a leader step down that no
    /// quorum answers any more.
    pub fn tick(&mut self, now_ms: u64, output: &mut RaftOutput) {
        match self.role {
            RaftRole::Leader => self.tick_leader(now_ms, output),
            _ if now_ms >= self.deadline_ms && self.may_vote() => {
                self.campaign(true, false, now_ms, output);
            }
            _ => {}
        }
    }

    /// Appends a payload to the log and returns the index and term of its entry. The payload is
    /// committed if the entry committed at that index has that term.
    pub fn propose(
        &mut self,
        payload: EntryPayload,
        output: &mut RaftOutput,
    ) -> Result<(u64, u64), RaftRefusal> {
        if self.role != RaftRole::Leader {
            return Err(RaftRefusal::NotLeader(self.leader));
        }
        if self.transfer.is_some() {
            return Err(RaftRefusal::HandingOver);
        }
        let entry = LogEntry { index: self.last_index() + 1, term: self.term(), payload };
        let position = (entry.index, entry.term);
        self.append_entry(entry, output);
        Ok(position)
    }

    /// Sends entries that were not sent yet to the members that have answered all earlier ones.
    pub fn flush(&mut self, now_ms: u64, output: &mut RaftOutput) {
        if self.role != RaftRole::Leader {
            return;
        }
        for id in self.others() {
            let progress = self.progress.entry(id).or_default();
            let ready = progress.waiting_since.is_none();
            if ready && progress.next <= self.entries.last().map_or(0, |entry| entry.index) {
                self.send_append(id, now_ms, output);
            }
        }
    }

    /// Notes that the batches of all steps so far are on disk.
    pub fn note_synced(&mut self, output: &mut RaftOutput) {
        self.note_synced_to(self.last_index(), output);
    }

    /// Notes that the log is on disk up to and including entry `index`.
    pub fn note_synced_to(&mut self, index: u64, output: &mut RaftOutput) {
        self.synced = self.synced.max(index.min(self.last_index()));
        if self.role == RaftRole::Leader {
            self.advance_commit();
        }
        self.hand_out_committed(output);
    }

    /// Proposes a membership change and returns the index and term of its entry. Only one change
    /// may be uncommitted at a time.
    pub fn change_member(
        &mut self,
        change: MemberChange,
        now_ms: u64,
        output: &mut RaftOutput,
    ) -> Result<(u64, u64), RaftRefusal> {
        if self.role != RaftRole::Leader {
            return Err(RaftRefusal::NotLeader(self.leader));
        }
        if self.membership_index > self.commit || self.commit < self.term_start {
            return Err(RaftRefusal::ChangePending);
        }
        let next = self.changed_membership(&change, now_ms)?;
        self.propose(EntryPayload::Membership(next), output)
    }

    /// Starts a leadership transfer to voter `to`, or to the live voter with the longest log when
    /// `to` is `None`. Returns the target.
    pub fn transfer(
        &mut self,
        to: Option<KeeperId>,
        now_ms: u64,
        output: &mut RaftOutput,
    ) -> Result<KeeperId, RaftRefusal> {
        if self.role != RaftRole::Leader {
            return Err(RaftRefusal::NotLeader(self.leader));
        }
        let candidates = self.others().into_iter().filter(|id| self.votes_in_group(*id));
        let alive =
            |id: &KeeperId| self.member_age_ms(*id, now_ms).is_some_and(|age| age < ELECTION_MS);
        let best = candidates
            .filter(|id| to.is_none_or(|to| to == *id))
            .filter(alive)
            .max_by_key(|id| self.member_match(*id));
        let target = best.ok_or(RaftRefusal::NoSuchMember)?;
        self.transfer = Some((target, now_ms + ELECTION_MS));
        self.push_transfer(output);
        Ok(target)
    }

    /// Replaces the log up to the committed entry `index` by `image`, the state machine's
    /// snapshot there.
    pub fn compact(&mut self, index: u64, image: Vec<u8>) -> Option<&LogSnapshot> {
        if index <= self.snapshot.index || index > self.commit {
            return None;
        }
        let term = self.term_at(index)?;
        let membership = self.membership_at(index);
        self.entries.retain(|entry| entry.index > index);
        self.snapshot = LogSnapshot { index, term, membership, image };
        Some(&self.snapshot)
    }

    /// Handles a message from another keeper.
    pub fn receive(&mut self, message: RaftMessage, now_ms: u64, output: &mut RaftOutput) {
        if !self.accepts(&message) {
            return;
        }
        if self.protects_leader(&message, now_ms) {
            return;
        }
        let pre_vote = matches!(
            message.body,
            RaftBody::Vote { pre: true, .. } | RaftBody::VoteReply { pre: true, granted: true }
        );
        if message.term > self.term() && !pre_vote {
            self.enter_term(message.term, now_ms, output);
        }
        let (from, term) = (message.from, message.term);
        match message.body {
            RaftBody::Vote { pre, last_index, last_term, .. } => {
                self.handle_vote_request(from, term, pre, (last_term, last_index), now_ms, output);
            }
            RaftBody::VoteReply { pre, granted } => {
                self.handle_vote_reply(from, term, pre, granted, now_ms, output);
            }
            RaftBody::AppendReply { matched, index, sent_ms, snapshot_offset } => {
                if term == self.term() && self.role == RaftRole::Leader {
                    let reply = (matched, index, sent_ms, snapshot_offset);
                    self.handle_append_reply(from, reply, now_ms, output);
                }
            }
            RaftBody::Append { .. } | RaftBody::Piece { .. } if term < self.term() => {
                self.reply(from, false, self.last_index(), 0, 0, output);
            }
            RaftBody::Append { prev_index, prev_term, entries, commit, sent_ms } => {
                self.become_follower(from, now_ms);
                let matched = self.append_entries(prev_index, prev_term, entries, output);
                match matched {
                    Ok(index) => {
                        self.commit = self.commit.max(commit.min(index));
                        self.reply(from, true, index, sent_ms, 0, output);
                    }
                    Err(hint) => self.reply(from, false, hint, sent_ms, 0, output),
                }
            }
            RaftBody::Piece { index, last_term, membership, offset, total, bytes, sent_ms } => {
                self.become_follower(from, now_ms);
                let head = LogSnapshot { index, term: last_term, membership, image: Vec::new() };
                self.take_snapshot_piece(from, head, (offset, total, sent_ms), bytes, output);
            }
            RaftBody::StandNow => {
                if term == self.term() && self.may_vote() {
                    self.campaign(false, true, now_ms, output);
                }
            }
        }
        self.hand_out_committed(output);
    }

    /// Returns whether a message is processed at all.
    ///
    /// Requests are accepted from any keeper: this keeper's membership may be outdated, and the
    /// requester does the counting. Replies are counted here, so they must come from the
    /// incarnation that is a member: a keeper that lost its disk must not count for the entries
    /// that the disk held.
    pub(super) fn accepts(&self, message: &RaftMessage) -> bool {
        if message.from == self.id {
            return false;
        }
        let counted =
            matches!(message.body, RaftBody::VoteReply { .. } | RaftBody::AppendReply { .. });
        let member = self.membership.members.get(&message.from);
        !counted || member.is_some_and(|member| member.incarnation == message.incarnation)
    }

    /// Returns whether a vote request is ignored because this keeper leads, or received a message
    /// of a live leader within the election timeout. A request of a leadership transfer passes.
    pub(super) fn protects_leader(&self, message: &RaftMessage, now_ms: u64) -> bool {
        let RaftBody::Vote { transfer, .. } = message.body else { return false };
        let received = self.leader.is_some() && now_ms < self.last_contact_ms + ELECTION_MS;
        let leads = self.role == RaftRole::Leader;
        !transfer && (received || leads)
    }

    /// Returns whether this incarnation of the keeper is a voter of the group.
    pub(super) fn may_vote(&self) -> bool {
        let own = self.membership.members.get(&self.id);
        own.is_some_and(|member| member.votes && member.incarnation == self.incarnation)
    }

    pub(super) fn votes_in_group(&self, id: KeeperId) -> bool {
        self.membership.members.get(&id).is_some_and(|member| member.votes)
    }

    pub(super) fn others(&self) -> Vec<KeeperId> {
        self.membership.members.keys().copied().filter(|id| *id != self.id).collect()
    }

    pub(super) fn voters(&self) -> Vec<KeeperId> {
        let members = self.membership.members.iter();
        members.filter(|(_, member)| member.votes).map(|(id, _)| *id).collect()
    }

    pub(super) fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    /// Returns the term and index of the last entry, in the order in which logs are compared.
    pub(super) fn last_position(&self) -> (u64, u64) {
        let last = self.last_index();
        (self.term_at(last).unwrap_or(0), last)
    }

    /// Returns the term of an entry, or `None` if it is neither in the log nor the last entry of
    /// the snapshot.
    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let at = index.checked_sub(self.snapshot.index + 1)? as usize;
        self.entries.get(at).map(|entry| entry.term)
    }

    /// Returns the membership as of an entry.
    pub(super) fn membership_at(&self, index: u64) -> GroupMembership {
        let upto = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let found = upto.filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            EntryPayload::Command(_) => None,
        });
        let mut found = found;
        found.next().unwrap_or_else(|| self.snapshot.membership.clone())
    }

    /// Recomputes the membership from the log, or from the snapshot if no entry changes it.
    pub(super) fn reload_membership(&mut self) {
        let latest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some((membership.clone(), entry.index)),
            EntryPayload::Command(_) => None,
        });
        let stored = || (self.snapshot.membership.clone(), self.snapshot.index);
        (self.membership, self.membership_index) = latest.unwrap_or_else(stored);
    }

    /// Puts newly committed entries into the output.
    pub(super) fn hand_out_committed(&mut self, output: &mut RaftOutput) {
        // Only synced entries are handed out, so that every applied entry is on this disk too.
        let until = self.commit.min(self.synced);
        while self.last_handed_out < until {
            let at = (self.last_handed_out - self.snapshot.index) as usize;
            let Some(entry) = self.entries.get(at) else { break };
            output.committed.push(entry.clone());
            self.last_handed_out += 1;
        }
    }

    /// Queues a message with the given term, which may differ from this keeper's in a pre-vote.
    pub(super) fn send_at(&self, to: KeeperId, term: u64, body: RaftBody, output: &mut RaftOutput) {
        let message = RaftMessage { from: self.id, incarnation: self.incarnation, term, body };
        output.messages.push((to, message));
    }
}
