//! The keepers' consensus: Raft's published rules as a pure step function.
//!
//! [`RaftCore`] is fed events and the present time, and fills a [`RaftOutput`].
//! The caller must write and sync `output.batch` before it sends
//! `output.messages`, and then call [`RaftCore::note_synced`]; only synced entries
//! count towards a quorum. It knows no sockets, clocks, files or commands.
//! See `docs/design/consensus.md`.

use std::collections::BTreeMap;

use super::raft_message::{
    MemberChange, RaftBody, RaftMessage, RaftOutput, RaftRefusal, RaftRole, ELECTION_MS, LEASE_MS,
};
use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{
    EntryPayload, GroupMembership, HardState, LogEntry, LogSnapshot, StoredState,
};

/// Elections wait for no slower disk than this, in milliseconds.
const LONGEST_SYNC_MS: u64 = 5000;

#[derive(Clone, Debug, Default)]
pub(super) struct FollowerProgress {
    pub(super) next: u64,
    pub(super) matched: u64,
    pub(super) acked_sent_ms: u64,
    pub(super) waiting_since: Option<u64>,
    pub(super) snapshot_offset: Option<u64>,
}

#[derive(Debug, Default)]
pub(super) struct IncomingSnapshot {
    pub(super) index: u64,
    pub(super) term: u64,
    pub(super) bytes: Vec<u8>,
}

/// One keeper's part in the consensus.
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
    pub(super) handed_out: u64,
    pub(super) synced: u64,
    pub(super) heard_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) beat_ms: u64,
    pub(super) votes: BTreeMap<KeeperId, bool>,
    pub(super) progress: BTreeMap<KeeperId, FollowerProgress>,
    pub(super) incoming: IncomingSnapshot,
    pub(super) transfer: Option<(KeeperId, u64)>,
    pub(super) term_start: u64,
    pub(super) jitter: u64,
    /// A leader was heard, or led here, since the start of this life.
    pub(super) woken: bool,
    /// How soon this life asks for a vote while it has heard no leader, in milliseconds.
    pub(super) wake_ms: u64,
    /// How often this life has asked for a vote without hearing of a leader.
    pub(super) wakes: u32,
    /// How long the disk takes for a sync, in milliseconds.
    pub(super) sync_ms: u64,
}

impl RaftCore {
    /// A keeper with what its disk held. `seed` spreads the election timers.
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
            handed_out: commit,
            synced: last,
            heard_ms: now_ms,
            deadline_ms: 0,
            beat_ms: 0,
            votes: BTreeMap::new(),
            progress: BTreeMap::new(),
            incoming: IncomingSnapshot::default(),
            transfer: None,
            term_start: 0,
            jitter: seed | 1,
            woken: false,
            wake_ms: ELECTION_MS,
            wakes: 0,
            sync_ms: 0,
        };
        core.read_membership();
        core.reset_deadline(now_ms);
        if core.voters() == [id] {
            // No other keeper can lead, so there is none to wait for.
            core.deadline_ms = now_ms;
        }
        core
    }

    /// Asks for a vote soon after the start instead of waiting as long as for a leader that
    /// has fallen silent; see [`super::raft_message::WAKE_MS`].
    pub fn wake_soon(&mut self, wake_ms: u64, now_ms: u64) {
        self.wake_ms = wake_ms;
        self.wakes = 0;
        if !self.woken && self.deadline_ms > now_ms {
            self.reset_deadline(now_ms);
        }
    }

    /// Leaves time for slow disks in elections: a candidate's vote and the answers to it each wait
    /// for a sync. `job_ms` is how long the last write took.
    pub fn allow_for_syncs(&mut self, job_ms: u64) {
        self.sync_ms = job_ms.max(self.sync_ms / 2).min(LONGEST_SYNC_MS);
    }

    /// This keeper's role.
    pub fn role(&self) -> RaftRole {
        self.role
    }

    /// The leader, as far as this keeper knows.
    pub fn leader(&self) -> Option<KeeperId> {
        self.leader
    }

    /// The present term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The last committed entry.
    pub fn commit(&self) -> u64 {
        self.commit
    }

    /// The last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.index, |entry| entry.index)
    }

    /// The first entry still in the log, for deciding when to take a snapshot.
    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.index
    }

    /// The group, as of the last entry of the log.
    pub fn membership(&self) -> &GroupMembership {
        &self.membership
    }

    /// The entries after the snapshot.
    pub fn entries(&self) -> &[LogEntry] {
        &self.entries
    }

    /// The snapshot before the entries.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// The last entry that is on this keeper's disk.
    pub fn synced_index(&self) -> u64 {
        self.synced
    }

    /// Whether everything committed was handed out for applying.
    pub fn has_applied_all(&self) -> bool {
        self.handed_out >= self.commit
    }

    /// Gives up leadership at once, when this keeper's disk doesn't take what it must hold.
    pub fn resign(&mut self, now_ms: u64) {
        self.step_down(now_ms);
    }

    /// Term and vote.
    pub fn hard_state(&self) -> HardState {
        self.hard_state
    }

    /// Whether this keeper leads, knows all that was committed before its term, and holds a
    /// lease: only then may it answer from its own state.
    pub fn has_lease(&self, now_ms: u64) -> bool {
        let fresh = self.lease_start_ms(now_ms).saturating_add(LEASE_MS) > now_ms;
        let current = self.commit >= self.term_start && self.transfer.is_none();
        self.role == RaftRole::Leader && fresh && current
    }

    /// The age of a member's last answer, for status pages; `None` before the first.
    pub fn member_age_ms(&self, id: KeeperId, now_ms: u64) -> Option<u64> {
        let progress = self.progress.get(&id)?;
        (progress.acked_sent_ms > 0).then(|| now_ms.saturating_sub(progress.acked_sent_ms))
    }

    /// The last entry that a member is known to hold.
    pub fn member_match(&self, id: KeeperId) -> Option<u64> {
        match id == self.id {
            true => Some(self.synced),
            false => self.progress.get(&id).map(|progress| progress.matched),
        }
    }

    /// Time passes: elections, heartbeats, the leader's own check that a quorum hears it.
    pub fn tick(&mut self, now_ms: u64, output: &mut RaftOutput) {
        match self.role {
            RaftRole::Leader => self.tick_leader(now_ms, output),
            _ if now_ms >= self.deadline_ms && self.may_vote() => {
                self.campaign(true, false, now_ms, output);
            }
            _ => {}
        }
    }

    /// Adds a command to the log; its index and term show when it is committed.
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
        let place = (entry.index, entry.term);
        self.push_entry(entry, output);
        Ok(place)
    }

    /// Sends what was proposed to followers that are ready for more.
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

    /// The batch of the last step is on disk.
    pub fn note_synced(&mut self, output: &mut RaftOutput) {
        self.note_synced_to(self.last_index(), output);
    }

    /// Everything up to an entry is on disk.
    pub fn note_synced_to(&mut self, index: u64, output: &mut RaftOutput) {
        self.synced = self.synced.max(index.min(self.last_index()));
        if self.role == RaftRole::Leader {
            self.advance_commit();
        }
        self.hand_out(output);
    }

    /// Starts one change of membership.
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

    /// Hands leadership to a voter: the most caught up when `to` is `None`.
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

    /// The state machine's image up to an applied entry replaces the log before it.
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

    /// A message came in.
    pub fn receive(&mut self, message: RaftMessage, now_ms: u64, output: &mut RaftOutput) {
        if !self.hears(&message) {
            return;
        }
        if self.defends_leader(&message, now_ms) {
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
                self.answer_vote(from, term, pre, (last_term, last_index), now_ms, output);
            }
            RaftBody::VoteReply { pre, granted } => {
                self.count_vote(from, term, pre, granted, now_ms, output);
            }
            RaftBody::AppendReply { matched, index, sent_ms, snapshot_offset } => {
                if term == self.term() && self.role == RaftRole::Leader {
                    let reply = (matched, index, sent_ms, snapshot_offset);
                    self.take_reply(from, reply, now_ms, output);
                }
            }
            RaftBody::Append { .. } | RaftBody::Piece { .. } if term < self.term() => {
                self.reply(from, false, self.last_index(), 0, 0, output);
            }
            RaftBody::Append { prev_index, prev_term, entries, commit, sent_ms } => {
                self.follow(from, now_ms);
                let matched = self.take_entries(prev_index, prev_term, entries, output);
                match matched {
                    Ok(index) => {
                        self.commit = self.commit.max(commit.min(index));
                        self.reply(from, true, index, sent_ms, 0, output);
                    }
                    Err(hint) => self.reply(from, false, hint, sent_ms, 0, output),
                }
            }
            RaftBody::Piece { index, last_term, membership, offset, total, bytes, sent_ms } => {
                self.follow(from, now_ms);
                let head = LogSnapshot { index, term: last_term, membership, image: Vec::new() };
                self.take_piece(from, head, (offset, total, sent_ms), bytes, output);
            }
            RaftBody::StandNow => {
                if term == self.term() && self.may_vote() {
                    self.campaign(false, true, now_ms, output);
                }
            }
        }
        self.hand_out(output);
    }

    /// Whether a message is taken at all.
    ///
    /// What asks is heard from anyone: this keeper's own view of the group may be old, and the
    /// asker alone counts. What answers is counted here, so it must come from the very life
    /// that is a member: a disk that was lost must not count as what it once held.
    pub(super) fn hears(&self, message: &RaftMessage) -> bool {
        if message.from == self.id {
            return false;
        }
        let counted =
            matches!(message.body, RaftBody::VoteReply { .. } | RaftBody::AppendReply { .. });
        let member = self.membership.members.get(&message.from);
        !counted || member.is_some_and(|member| member.incarnation == message.incarnation)
    }

    /// While a leader is heard, or leads here, no vote is granted to unseat it.
    pub(super) fn defends_leader(&self, message: &RaftMessage, now_ms: u64) -> bool {
        let RaftBody::Vote { transfer, .. } = message.body else { return false };
        let heard = self.leader.is_some() && now_ms < self.heard_ms + ELECTION_MS;
        let leads = self.role == RaftRole::Leader;
        !transfer && (heard || leads)
    }

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

    pub(super) fn last_place(&self) -> (u64, u64) {
        let last = self.last_index();
        (self.term_at(last).unwrap_or(0), last)
    }

    pub(super) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let at = index.checked_sub(self.snapshot.index + 1)? as usize;
        self.entries.get(at).map(|entry| entry.term)
    }

    pub(super) fn membership_at(&self, index: u64) -> GroupMembership {
        let upto = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let found = upto.filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            EntryPayload::Command(_) => None,
        });
        let mut found = found;
        found.next().unwrap_or_else(|| self.snapshot.membership.clone())
    }

    pub(super) fn read_membership(&mut self) {
        let latest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some((membership.clone(), entry.index)),
            EntryPayload::Command(_) => None,
        });
        let stored = || (self.snapshot.membership.clone(), self.snapshot.index);
        (self.membership, self.membership_index) = latest.unwrap_or_else(stored);
    }

    pub(super) fn hand_out(&mut self, output: &mut RaftOutput) {
        // Only synced entries are handed out, so that what is applied is also on this disk.
        let until = self.commit.min(self.synced);
        while self.handed_out < until {
            let at = (self.handed_out - self.snapshot.index) as usize;
            let Some(entry) = self.entries.get(at) else { break };
            output.committed.push(entry.clone());
            self.handed_out += 1;
        }
    }

    pub(super) fn send_at(&self, to: KeeperId, term: u64, body: RaftBody, output: &mut RaftOutput) {
        let message = RaftMessage { from: self.id, incarnation: self.incarnation, term, body };
        output.messages.push((to, message));
    }
}
