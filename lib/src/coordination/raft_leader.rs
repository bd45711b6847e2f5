//! Raft leaders: replication, commits, leases, transfers and membership changes.

use super::raft::{FollowerProgress, RaftCore, SnapshotTransfer};
use super::raft_message::*;
use crate::state::ids::KeeperId;
use crate::state::log_store::{EntryPayload, GroupMember, GroupMembership, LogEntry};

/// The longest wait for a reply before a piece of a snapshot is sent again, in milliseconds.
const MAX_PIECE_RETRY_MS: u64 = 16 * ELECTION_MS;

impl RaftCore {
    /// Sends heartbeats, and steps down when no quorum answers or a transfer timed out.
    pub(super) fn tick_leader(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let lost =
            self.lease_start_ms(now_ms).max(self.last_contact_ms) + 2 * ELECTION_MS <= now_ms;
        if lost {
            self.step_down(now_ms);
            return;
        }
        if self.transfer.is_some_and(|(_, until)| now_ms >= until) {
            // A delayed `StandNow` may still make the target start an election, which followers
            // grant in spite of this leader's lease. So this keeper must give up its lease.
            self.step_down(now_ms);
            return;
        }
        if now_ms < self.last_heartbeat_ms + HEARTBEAT_MS {
            return;
        }
        self.last_heartbeat_ms = now_ms;
        for id in self.others() {
            self.send_append(id, now_ms, output);
        }
    }

    /// Returns the start of the lease: the latest time such that a quorum, this keeper included,
    /// has answered a message that this leader sent at that time or later.
    pub(super) fn lease_start_ms(&self, now_ms: u64) -> u64 {
        let mut acked_ms: Vec<u64> = Vec::new();
        for id in self.voters() {
            acked_ms.push(match id == self.id {
                true => now_ms,
                false => self.progress.get(&id).map_or(0, |progress| progress.acked_sent_ms),
            });
        }
        acked_ms.sort_unstable_by(|a, b| b.cmp(a));
        acked_ms.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Appends an entry to the log and the output; a membership takes effect at once.
    pub(super) fn append_entry(&mut self, entry: LogEntry, output: &mut RaftOutput) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            let before = std::mem::replace(&mut self.membership, membership.clone());
            self.membership_index = entry.index;
            self.reset_changed_progress(&before, entry.index);
        }
        output.batch.entries.push(entry.clone());
        self.entries.push(entry);
    }

    /// Drops the progress of removed members and of members with a new incarnation, whose log may
    /// lack what the earlier incarnation confirmed.
    pub(super) fn reset_changed_progress(&mut self, before: &GroupMembership, next: u64) {
        let members = &self.membership.members;
        let same_life = |id: &KeeperId| {
            let (old, new) = (before.members.get(id), members.get(id));
            old.map(|member| member.incarnation) == new.map(|member| member.incarnation)
        };
        self.progress.retain(|id, _| members.contains_key(id) && same_life(id));
        for id in self.others() {
            let new = FollowerProgress { next, ..FollowerProgress::default() };
            self.progress.entry(id).or_insert(new);
        }
    }

    /// Sends a member its next entries, a heartbeat, or the next piece of the snapshot.
    pub(super) fn send_append(&mut self, to: KeeperId, now_ms: u64, output: &mut RaftOutput) {
        let last_index = self.last_index();
        let progress = self.progress.entry(to).or_default();
        let next = progress.next.clamp(1, last_index + 1);
        if next <= self.snapshot.index {
            self.send_snapshot_piece(to, now_ms, output);
            return;
        }
        progress.snapshot = None;
        // While entries are unanswered, heartbeats carry none, so that a slow follower is not
        // flooded. After an election timeout they are sent again.
        let waited = progress.waiting_since.is_some_and(|since| now_ms < since + ELECTION_MS);
        let from = (next - self.snapshot.index - 1) as usize;
        let mut bytes = 0;
        let fits = |entry: &&LogEntry| {
            bytes += payload_bytes(entry);
            bytes <= BYTES_PER_MESSAGE
        };
        let mut entries: Vec<LogEntry> = Vec::new();
        if !waited {
            let pending = self.entries[from..].iter().take(ENTRIES_PER_MESSAGE);
            entries = pending.take_while(fits).cloned().collect();
            if entries.is_empty() {
                entries.extend(self.entries.get(from).cloned());
            }
        }
        if !entries.is_empty() {
            progress.waiting_since = Some(now_ms);
        }
        let prev_index = next - 1;
        let prev_term = self.term_at(prev_index).unwrap_or(0);
        let commit = self.commit;
        let body = RaftBody::Append { prev_index, prev_term, entries, commit, sent_ms: now_ms };
        self.send_at(to, self.term(), body, output);
    }

    /// Sends a member the next piece of the snapshot. While the last one isn't answered, an empty piece at the
    /// same position serves as the heartbeat.
    pub(super) fn send_snapshot_piece(
        &mut self,
        to: KeeperId,
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        let (index, total) = (self.snapshot.index, self.snapshot.image.len());
        let progress = self.progress.entry(to).or_default();
        let known = progress.snapshot.take().filter(|transfer| transfer.index == index);
        let waits_since = progress.waiting_since.filter(|_| known.is_some());
        let mut transfer = known.unwrap_or(SnapshotTransfer {
            index,
            offset: 0,
            began_ms: now_ms,
            retry_ms: ELECTION_MS,
        });
        let offset = (transfer.offset as usize).min(total);
        let waits = waits_since.is_some_and(|since| now_ms < since + transfer.retry_ms);
        let end = if waits { offset } else { (offset + SNAPSHOT_PIECE_BYTES).min(total) };
        if !waits {
            if waits_since.is_some() {
                transfer.retry_ms = (2 * transfer.retry_ms).min(MAX_PIECE_RETRY_MS);
            }
            progress.waiting_since = Some(now_ms);
        }
        progress.snapshot = Some(transfer);
        let body = RaftBody::Piece {
            index,
            last_term: self.snapshot.term,
            membership: self.snapshot.membership.clone(),
            offset: offset as u64,
            total: total as u64,
            bytes: self.snapshot.image[offset..end].to_vec(),
            sent_ms: now_ms,
        };
        self.send_at(to, self.term(), body, output);
    }

    /// Updates a member's progress from its reply (matched, index, echoed send time, snapshot
    /// offset). Sends it what follows only if the reply shows progress; otherwise the next heartbeat does.
    /// So two members never answer each other at once without getting any further.
    pub(super) fn handle_append_reply(
        &mut self,
        from: KeeperId,
        reply: (bool, u64, u64, u64),
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        let (matched, index, sent_ms, snapshot_offset) = reply;
        let last = self.last_index();
        let snapshot_index = self.snapshot.index;
        let progress = self.progress.entry(from).or_default();
        progress.acked_sent_ms = progress.acked_sent_ms.max(sent_ms);
        let advanced = if matched {
            progress.note_matched(index.min(last), snapshot_index)
        } else if progress.snapshot.is_some() {
            progress.note_received(snapshot_offset, snapshot_index, sent_ms)
        } else {
            progress.note_mismatch(index)
        };
        if advanced {
            progress.waiting_since = None;
        }
        let more = advanced && progress.next <= last;
        self.advance_commit();
        if more {
            self.send_append(from, now_ms, output);
        }
        self.push_transfer(output);
    }

    /// Requests an election from the target of a transfer once it has the whole log.
    pub(super) fn push_transfer(&mut self, output: &mut RaftOutput) {
        let Some((target, _)) = self.transfer else { return };
        let caught_up = self.member_match(target) == Some(self.last_index());
        if caught_up && self.synced == self.last_index() {
            self.send_at(target, self.term(), RaftBody::StandNow, output);
        }
    }

    /// Commits what a quorum of voters has on disk.
    pub(super) fn advance_commit(&mut self) {
        let voters = self.voters();
        let mut held: Vec<u64> =
            voters.iter().map(|id| self.member_match(*id).unwrap_or(0)).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = held.get(self.quorum() - 1).copied().unwrap_or(0);
        // Only entries of the leader's own term are committed by counting (Raft, section 5.4.2).
        if quorum > self.commit && self.term_at(quorum) == Some(self.term()) {
            self.commit = quorum;
        }
    }

    /// Returns the membership after a change, or why the change is refused.
    pub(super) fn changed_membership(
        &self,
        change: &MemberChange,
        now_ms: u64,
    ) -> Result<GroupMembership, RaftRefusal> {
        let mut next = self.membership.clone();
        match change {
            MemberChange::AddLearner(id, incarnation, address) => {
                let known = next.members.get(id);
                // A voter that lost its disk must be removed before it joins again, so that its
                // lost entries and votes no longer count.
                if known.is_some_and(|member| member.votes) {
                    return Err(RaftRefusal::NoSuchMember);
                }
                let member =
                    GroupMember { incarnation: *incarnation, address: *address, votes: false };
                next.members.insert(*id, member);
            }
            MemberChange::Promote(id) => {
                let member = next.members.get_mut(id).ok_or(RaftRefusal::NoSuchMember)?;
                let gap = self.last_index() - self.member_match(*id).unwrap_or(0);
                let alive = self.member_age_ms(*id, now_ms).is_some_and(|age| age < ELECTION_MS);
                if gap > CAUGHT_UP_GAP || !alive {
                    return Err(RaftRefusal::NotCaughtUp);
                }
                member.votes = true;
            }
            // A leader that removes itself could be the only member that has that entry.
            MemberChange::Remove(id) if *id == self.id => return Err(RaftRefusal::Leads),
            MemberChange::Remove(id) => {
                if next.members.remove(id).is_none() {
                    return Err(RaftRefusal::NoSuchMember);
                }
            }
        }
        self.check_quorum_after(&next, now_ms)?;
        Ok(next)
    }

    /// Refuses a membership whose live voters could not commit it.
    pub(super) fn check_quorum_after(
        &self,
        next: &GroupMembership,
        now_ms: u64,
    ) -> Result<(), RaftRefusal> {
        let voters: Vec<KeeperId> =
            next.members.iter().filter(|(_, member)| member.votes).map(|(id, _)| *id).collect();
        let alive = |id: &&KeeperId| {
            **id == self.id || self.member_age_ms(**id, now_ms).is_some_and(|age| age < ELECTION_MS)
        };
        let live = voters.iter().filter(alive).count();
        match live > voters.len() / 2 {
            true => Ok(()),
            false => Err(RaftRefusal::WouldLoseQuorum),
        }
    }
}

impl FollowerProgress {
    /// Notes that the member holds the entries up to `index`. Returns whether that is progress.
    fn note_matched(&mut self, index: u64, snapshot_index: u64) -> bool {
        let before = self.matched;
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched + 1);
        if self.matched >= snapshot_index {
            self.snapshot = None;
        }
        self.matched > before
    }

    /// Notes how many bytes of a snapshot the member has received. Returns whether that is progress.
    fn note_received(&mut self, received: u64, snapshot_index: u64, sent_ms: u64) -> bool {
        let Some(transfer) = &mut self.snapshot else { return false };
        if transfer.index != snapshot_index || sent_ms < transfer.began_ms {
            return false;
        }
        let before = std::mem::replace(&mut transfer.offset, received);
        received > before
    }

    /// Notes that the member's log has no entry in common after `index`. Returns whether that is news.
    fn note_mismatch(&mut self, index: u64) -> bool {
        let before = self.next;
        let next = (index + 1).min(self.next.saturating_sub(1)).max(1);
        self.next = next.max(self.matched + 1);
        self.next < before
    }
}

/// Estimates the size of an entry in a message, in bytes.
fn payload_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len() + 16,
        EntryPayload::Membership(membership) => membership.members.len() * 64 + 16,
    }
}
