//! Raft elections: timeouts, pre-votes, votes, and taking or giving up leadership.

use super::raft::{FollowerProgress, RaftCore};
use super::raft_message::{RaftBody, RaftOutput, RaftRole, ELECTION_MS};
use crate::state::ids::KeeperId;
use crate::state::log_store::{EntryPayload, HardState, LogEntry};

/// Disk syncs that an election waits for: the candidate's own and the voter's.
const SYNCS_PER_ELECTION: u64 = 2;

impl RaftCore {
    /// Sets the next election timeout.
    pub(super) fn reset_deadline(&mut self, now_ms: u64) {
        self.jitter ^= self.jitter << 13;
        self.jitter ^= self.jitter >> 7;
        self.jitter ^= self.jitter << 17;
        if self.seen_leader || self.startup_timeout_ms >= ELECTION_MS {
            let timeout_ms = ELECTION_MS + SYNCS_PER_ELECTION * self.sync_ms;
            self.deadline_ms = now_ms + timeout_ms + self.jitter % timeout_ms;
            return;
        }
        // Keepers that restart together time out in the order of their ids: when one of three
        // disks is lost, the other two lose a whole round if both vote for themselves. No random
        // part is added, because two keepers could then time out in the same tick.
        let turn = self.voters().iter().position(|id| *id == self.id).unwrap_or(0) as u64;
        let pause = (self.startup_timeout_ms << self.startup_attempts.min(8)).min(ELECTION_MS);
        self.startup_attempts += 1;
        self.deadline_ms = now_ms + pause * (turn + 1);
    }

    /// Enters a later term as a follower without a vote.
    pub(super) fn enter_term(&mut self, term: u64, now_ms: u64, output: &mut RaftOutput) {
        self.hard_state = HardState { term, voted_for: None };
        output.batch.hard_state = Some(self.hard_state);
        self.step_down(now_ms);
    }

    /// Becomes a follower without a leader, in the same term.
    pub(super) fn step_down(&mut self, now_ms: u64) {
        if self.role == RaftRole::Leader {
            self.reset_deadline(now_ms);
        }
        self.role = RaftRole::Follower;
        self.leader = None;
        self.transfer = None;
        self.votes.clear();
    }

    /// Becomes a follower of `leader`, from which a message arrived now.
    pub(super) fn become_follower(&mut self, leader: KeeperId, now_ms: u64) {
        self.role = RaftRole::Follower;
        self.leader = Some(leader);
        self.seen_leader = true;
        self.last_contact_ms = now_ms;
        self.reset_deadline(now_ms);
    }

    /// Starts a pre-vote (`pre`) or an election; `transfer` marks an election that the leader
    /// requested.
    pub(super) fn campaign(
        &mut self,
        pre: bool,
        transfer: bool,
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        self.reset_deadline(now_ms);
        self.leader = None;
        self.votes.clear();
        self.votes.insert(self.id, true);
        let term = self.term() + 1;
        if pre {
            self.role = RaftRole::PreCandidate;
        } else {
            self.role = RaftRole::Candidate;
            self.hard_state = HardState { term, voted_for: Some(self.id) };
            output.batch.hard_state = Some(self.hard_state);
        }
        let (last_term, last_index) = self.last_position();
        for id in self.others().into_iter().filter(|id| self.votes_in_group(*id)) {
            let body = RaftBody::Vote { pre, transfer, last_index, last_term };
            self.send_at(id, term, body, output);
        }
        self.check_election(now_ms, output);
    }

    /// Answers a vote request whose sender has the log position `last_position` (term, index).
    pub(super) fn handle_vote_request(
        &mut self,
        from: KeeperId,
        term: u64,
        pre: bool,
        last_position: (u64, u64),
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        let fresh = term > self.term()
            || (term == self.term() && self.hard_state.voted_for.is_none_or(|id| id == from));
        // Every keeper answers, even one that is no voter by its own log: the candidate counts
        // only voters of its own membership, each by its incarnation.
        let granted = fresh && last_position >= self.last_position();
        if granted && !pre {
            self.hard_state = HardState { term, voted_for: Some(from) };
            output.batch.hard_state = Some(self.hard_state);
            self.reset_deadline(now_ms);
        }
        // A granted reply carries the requested term; a refusal carries this keeper's term.
        let reply_term = if granted { term } else { self.term() };
        self.send_at(from, reply_term, RaftBody::VoteReply { pre, granted }, output);
    }

    /// Counts a granted vote if it belongs to the election under way.
    pub(super) fn handle_vote_reply(
        &mut self,
        from: KeeperId,
        term: u64,
        pre: bool,
        granted: bool,
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        let expected = match (self.role, pre) {
            (RaftRole::PreCandidate, true) => self.term() + 1,
            (RaftRole::Candidate, false) => self.term(),
            _ => return,
        };
        if granted && term == expected {
            self.votes.insert(from, true);
            self.check_election(now_ms, output);
        }
    }

    /// Moves on to the next stage of the election once a quorum has granted its vote.
    pub(super) fn check_election(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let counted = self.votes.keys().filter(|id| self.votes_in_group(**id)).count();
        if counted < self.quorum() {
            return;
        }
        match self.role {
            RaftRole::PreCandidate => self.campaign(false, false, now_ms, output),
            RaftRole::Candidate => self.become_leader(now_ms, output),
            _ => {}
        }
    }

    /// Becomes leader and appends an empty entry, which commits the entries of earlier terms.
    pub(super) fn become_leader(&mut self, now_ms: u64, output: &mut RaftOutput) {
        self.role = RaftRole::Leader;
        self.leader = Some(self.id);
        self.seen_leader = true;
        self.transfer = None;
        self.last_heartbeat_ms = now_ms;
        self.last_contact_ms = now_ms;
        self.progress.clear();
        let next = self.last_index() + 1;
        for id in self.others() {
            let progress = FollowerProgress { next, ..FollowerProgress::default() };
            self.progress.insert(id, progress);
        }
        self.term_start = next;
        let entry =
            LogEntry { index: next, term: self.term(), payload: EntryPayload::Command(Vec::new()) };
        self.append_entry(entry, output);
        for id in self.others() {
            self.send_append(id, now_ms, output);
        }
    }
}
