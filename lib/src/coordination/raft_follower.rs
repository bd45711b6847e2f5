//! Raft followers: entries and snapshots that the leader sends.

use super::raft::{IncomingSnapshot, RaftCore, SnapshotId};
use super::raft_message::{RaftBody, RaftOutput};
use crate::state::ids::KeeperId;
use crate::state::log_store::{LogEntry, LogSnapshot};

impl RaftCore {
    /// Appends entries that continue this log and returns the last index known to match. `Err`
    /// holds the index of the last entry that may match, after which the leader should continue.
    pub(super) fn append_entries(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<LogEntry>,
        output: &mut RaftOutput,
    ) -> Result<u64, u64> {
        let last = prev_index + entries.len() as u64;
        if prev_index < self.snapshot.index {
            // Entries that the snapshot covers are committed, so they match.
            let skip = (self.snapshot.index - prev_index) as usize;
            let rest: Vec<LogEntry> = entries.into_iter().skip(skip).collect();
            if rest.is_empty() {
                return Ok(last.min(self.snapshot.index));
            }
            let (index, term) = (self.snapshot.index, self.snapshot.term);
            return self.append_entries(index, term, rest, output);
        }
        if prev_index > self.last_index() {
            return Err(self.last_index());
        }
        if self.term_at(prev_index) != Some(prev_term) {
            return Err(self.last_before_term(prev_index));
        }
        for entry in entries {
            if self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.truncate(entry.index, output);
            }
            self.append_entry(entry, output);
        }
        Ok(last)
    }

    /// Returns the last entry before the term of entry `index`, so that the leader skips a
    /// conflicting term in one round trip.
    pub(super) fn last_before_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.snapshot.index && self.term_at(at) == term {
            at -= 1;
        }
        at
    }

    /// Removes the entries from `from` on, which conflict with the leader's log.
    pub(super) fn truncate(&mut self, from: u64, output: &mut RaftOutput) {
        self.entries.retain(|entry| entry.index < from);
        output.batch.entries.retain(|entry| entry.index < from);
        let earliest = output.batch.truncate_from.map_or(from, |other| other.min(from));
        output.batch.truncate_from = Some(earliest);
        self.synced = self.synced.min(from - 1);
        self.reload_membership();
    }

    /// Adds a piece of a snapshot and installs the snapshot once it is complete. `position` holds
    /// the piece's offset, the total length and the leader's send time.
    pub(super) fn take_snapshot_piece(
        &mut self,
        from: KeeperId,
        head: LogSnapshot,
        position: (u64, u64, u64),
        bytes: Vec<u8>,
        output: &mut RaftOutput,
    ) {
        let (offset, total, sent_ms) = position;
        if head.index <= self.commit {
            let held = self.commit.min(self.synced);
            match held >= head.index {
                true => self.reply(from, true, held, sent_ms, 0, output),
                // The snapshot is being written. The reply to its last piece follows then; this one shows
                // that this keeper is alive.
                false => self.reply(from, false, self.commit, sent_ms, total, output),
            }
            return;
        }
        let id = SnapshotId { sender_term: self.term(), index: head.index };
        if id > self.incoming.id {
            self.incoming = IncomingSnapshot { id, bytes: Vec::new() };
        }
        // A delayed piece of an earlier snapshot is left out.
        if id == self.incoming.id && offset == self.incoming.bytes.len() as u64 {
            self.incoming.bytes.extend_from_slice(&bytes);
        }
        let received = self.incoming.bytes.len() as u64;
        if id != self.incoming.id || received < total {
            self.reply(from, false, self.commit, sent_ms, received, output);
            return;
        }
        let image = std::mem::take(&mut self.incoming).bytes;
        let snapshot = LogSnapshot { image, ..head };
        self.install(snapshot, output);
        self.reply(from, true, self.snapshot.index, sent_ms, 0, output);
    }

    /// Replaces the log up to the snapshot's last entry by the snapshot. What it covers counts as synced only
    /// once it is written.
    pub(super) fn install(&mut self, snapshot: LogSnapshot, output: &mut RaftOutput) {
        // Entries after the snapshot stay if the log contains its last entry; otherwise they may
        // conflict with the leader's log.
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.synced = self.synced.min(self.commit);
            self.entries.clear();
        }
        self.commit = snapshot.index;
        self.last_handed_out = snapshot.index;
        self.snapshot = snapshot.clone();
        self.reload_membership();
        output.batch.entries.retain(|entry| entry.index > snapshot.index);
        output.install = Some(snapshot);
    }

    /// Queues a reply to an append or to a piece of a snapshot.
    pub(super) fn reply(
        &self,
        to: KeeperId,
        matched: bool,
        index: u64,
        sent_ms: u64,
        snapshot_offset: u64,
        output: &mut RaftOutput,
    ) {
        let body = RaftBody::AppendReply { matched, index, sent_ms, snapshot_offset };
        self.send_at(to, self.term(), body, output);
    }
}
