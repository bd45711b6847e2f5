//! The keepers' consensus: Raft's published rules as a pure step function.
//!
//! [`RaftCore`] is fed events and the present time, and fills a [`RaftOutput`].
//! The caller must write and sync `output.batch` before it sends
//! `output.messages`, and then call [`RaftCore::note_synced`]; only synced entries
//! count towards a quorum. It knows no sockets, clocks, files or commands.
//! See `docs/design/consensus.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{
    EntryPayload, GroupMember, GroupMembership, HardState, LogBatch, LogEntry, LogSnapshot,
    StoredState,
};

/// How often a leader sends heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;
/// A follower that hears nothing for this long, and up to twice as long, asks for a vote.
pub const ELECTION_MS: u64 = 500;
/// A leader's lease lasts this long from the sending of a heartbeat that a quorum answered.
///
/// Shorter than [`ELECTION_MS`] by a fifth, which allows for clocks that run apart.
pub const LEASE_MS: u64 = ELECTION_MS * 4 / 5;
/// At most this many entries travel in one message.
pub const ENTRIES_PER_MESSAGE: usize = 512;
/// At most about this many bytes of entries travel in one message.
pub const BYTES_PER_MESSAGE: usize = 1 << 20;
/// A snapshot travels in pieces of this size.
pub const SNAPSHOT_PIECE: usize = 256 << 10;
/// A learner this close to the end of the log counts as caught up.
pub const CAUGHT_UP_GAP: u64 = 64;

/// A message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender.
    pub from: KeeperId,
    /// The life of the sender's disk; another life than the group knows is not heard.
    pub incarnation: Incarnation,
    /// The sender's term, or for a pre-vote the term that it would enter.
    pub term: u64,
    /// What it says.
    pub body: RaftBody,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftBody {
    /// Would you vote for me? Or, after enough said so: vote for me.
    Vote {
        /// Only asking; no term is entered.
        pre: bool,
        /// The leader itself asked the sender to stand.
        transfer: bool,
        /// The sender's last entry.
        last_index: u64,
        /// Its term.
        last_term: u64,
    },
    /// The answer to either.
    VoteReply {
        /// To a pre-vote.
        pre: bool,
        /// Yes or no.
        granted: bool,
    },
    /// Entries, or none: a heartbeat.
    Append {
        /// The entry before the first.
        prev_index: u64,
        /// Its term.
        prev_term: u64,
        /// The entries.
        entries: Vec<LogEntry>,
        /// What is committed.
        commit: u64,
        /// The leader's clock at sending, echoed by the answer; the leader's lease rests on it.
        sent_ms: u64,
    },
    /// The answer to entries or to a piece of a snapshot.
    AppendReply {
        /// Whether they fitted.
        matched: bool,
        /// The last entry known to match; when they did not fit, where to go on.
        index: u64,
        /// Echoed.
        sent_ms: u64,
        /// Bytes of the snapshot received so far.
        snapshot_offset: u64,
    },
    /// A piece of a snapshot.
    Piece {
        /// The snapshot's last entry.
        index: u64,
        /// That entry's term.
        last_term: u64,
        /// Its membership.
        membership: GroupMembership,
        /// Where this piece starts.
        offset: u64,
        /// The whole length.
        total: u64,
        /// The piece.
        bytes: Vec<u8>,
        /// As in an append.
        sent_ms: u64,
    },
    /// Stand for election at once.
    StandNow,
}

/// The roles of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won.
    PreCandidate,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// Why a proposal or a change of membership is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftRefusal {
    /// Another keeper leads, perhaps this one.
    NotLeader(Option<KeeperId>),
    /// A change of membership is still under way.
    ChangePending,
    /// The change would leave fewer live voters than a quorum.
    WouldLoseQuorum,
    /// The learner is not caught up.
    NotCaughtUp,
    /// There is no such member, or it is there already.
    NoSuchMember,
    /// Leadership is being handed over.
    HandingOver,
    /// The member leads; it must hand over first.
    Leads,
}

/// One change of membership; never more than one at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a keeper that only receives.
    AddLearner(KeeperId, Incarnation, std::net::SocketAddr),
    /// Gives a learner its vote.
    Promote(KeeperId),
    /// Removes a member.
    Remove(KeeperId),
}

/// What a step asks of its caller.
#[derive(Debug, Default)]
pub struct RaftOutput {
    /// To write and sync first.
    pub batch: LogBatch,
    /// A snapshot received whole: install it before anything else.
    pub install: Option<LogSnapshot>,
    /// To send after that.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// Newly committed entries, in order, to apply after that.
    pub committed: Vec<LogEntry>,
}

#[derive(Clone, Debug, Default)]
struct FollowerProgress {
    next: u64,
    matched: u64,
    acked_sent_ms: u64,
    waiting_since: Option<u64>,
    snapshot_offset: Option<u64>,
}

#[derive(Debug, Default)]
struct IncomingSnapshot {
    index: u64,
    term: u64,
    bytes: Vec<u8>,
}

/// One keeper's part in the consensus.
#[derive(Debug)]
pub struct RaftCore {
    id: KeeperId,
    incarnation: Incarnation,
    hard_state: HardState,
    role: RaftRole,
    leader: Option<KeeperId>,
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
    membership: GroupMembership,
    membership_index: u64,
    commit: u64,
    handed_out: u64,
    synced: u64,
    heard_ms: u64,
    deadline_ms: u64,
    beat_ms: u64,
    votes: BTreeMap<KeeperId, bool>,
    progress: BTreeMap<KeeperId, FollowerProgress>,
    incoming: IncomingSnapshot,
    transfer: Option<(KeeperId, u64)>,
    term_start: u64,
    jitter: u64,
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
        };
        core.read_membership();
        core.reset_deadline(now_ms);
        if core.voters() == [id] {
            // Nobody else can lead, so there is nobody to wait for.
            core.deadline_ms = now_ms;
        }
        core
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

    /// Adds a command to the log; its index and term tell when it is committed.
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
        self.synced = self.last_index();
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

    // ---- who counts ----

    /// Whether a message is taken at all.
    ///
    /// What asks is heard from anyone: this keeper's own view of the group may be old, and the
    /// asker alone counts. What answers is counted here, so it must come from the very life
    /// that is a member: a disk that was lost must not count as what it once held.
    fn hears(&self, message: &RaftMessage) -> bool {
        if message.from == self.id {
            return false;
        }
        let counted =
            matches!(message.body, RaftBody::VoteReply { .. } | RaftBody::AppendReply { .. });
        let member = self.membership.members.get(&message.from);
        !counted || member.is_some_and(|member| member.incarnation == message.incarnation)
    }

    /// While a leader is heard, or leads here, nobody is helped to unseat it.
    fn defends_leader(&self, message: &RaftMessage, now_ms: u64) -> bool {
        let RaftBody::Vote { transfer, .. } = message.body else { return false };
        let heard = self.leader.is_some() && now_ms < self.heard_ms + ELECTION_MS;
        let leads = self.role == RaftRole::Leader;
        !transfer && (heard || leads)
    }

    fn may_vote(&self) -> bool {
        let own = self.membership.members.get(&self.id);
        own.is_some_and(|member| member.votes && member.incarnation == self.incarnation)
    }

    fn votes_in_group(&self, id: KeeperId) -> bool {
        self.membership.members.get(&id).is_some_and(|member| member.votes)
    }

    fn others(&self) -> Vec<KeeperId> {
        self.membership.members.keys().copied().filter(|id| *id != self.id).collect()
    }

    fn voters(&self) -> Vec<KeeperId> {
        let members = self.membership.members.iter();
        members.filter(|(_, member)| member.votes).map(|(id, _)| *id).collect()
    }

    fn quorum(&self) -> usize {
        self.voters().len() / 2 + 1
    }

    // ---- elections ----

    fn reset_deadline(&mut self, now_ms: u64) {
        self.jitter ^= self.jitter << 13;
        self.jitter ^= self.jitter >> 7;
        self.jitter ^= self.jitter << 17;
        self.deadline_ms = now_ms + ELECTION_MS + self.jitter % ELECTION_MS;
    }

    fn enter_term(&mut self, term: u64, now_ms: u64, output: &mut RaftOutput) {
        self.hard_state = HardState { term, voted_for: None };
        output.batch.hard_state = Some(self.hard_state);
        self.step_down(now_ms);
    }

    fn step_down(&mut self, now_ms: u64) {
        if self.role == RaftRole::Leader {
            self.reset_deadline(now_ms);
        }
        self.role = RaftRole::Follower;
        self.leader = None;
        self.transfer = None;
        self.votes.clear();
    }

    fn follow(&mut self, leader: KeeperId, now_ms: u64) {
        self.role = RaftRole::Follower;
        self.leader = Some(leader);
        self.heard_ms = now_ms;
        self.reset_deadline(now_ms);
    }

    fn campaign(&mut self, pre: bool, transfer: bool, now_ms: u64, output: &mut RaftOutput) {
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
        let (last_term, last_index) = self.last_place();
        for id in self.others().into_iter().filter(|id| self.votes_in_group(*id)) {
            let body = RaftBody::Vote { pre, transfer, last_index, last_term };
            self.send_at(id, term, body, output);
        }
        self.check_election(now_ms, output);
    }

    fn answer_vote(
        &mut self,
        from: KeeperId,
        term: u64,
        pre: bool,
        last_place: (u64, u64),
        now_ms: u64,
        output: &mut RaftOutput,
    ) {
        let fresh = term > self.term()
            || (term == self.term() && self.hard_state.voted_for.is_none_or(|id| id == from));
        // Whoever is asked answers, whatever its own log says of the group: the asker counts
        // only members of the group that it knows, by their lives.
        let granted = fresh && last_place >= self.last_place();
        if granted && !pre {
            self.hard_state = HardState { term, voted_for: Some(from) };
            output.batch.hard_state = Some(self.hard_state);
            self.reset_deadline(now_ms);
        }
        // A granted pre-vote is for the asker's coming term; a refusal tells our own.
        let reply_term = if granted { term } else { self.term() };
        self.send_at(from, reply_term, RaftBody::VoteReply { pre, granted }, output);
    }

    fn count_vote(
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

    fn check_election(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let counted = self.votes.keys().filter(|id| self.votes_in_group(**id)).count();
        if counted < self.quorum() {
            return;
        }
        match self.role {
            RaftRole::PreCandidate => self.campaign(false, false, now_ms, output),
            RaftRole::Candidate => self.lead(now_ms, output),
            _ => {}
        }
    }

    fn lead(&mut self, now_ms: u64, output: &mut RaftOutput) {
        self.role = RaftRole::Leader;
        self.leader = Some(self.id);
        self.transfer = None;
        self.beat_ms = now_ms;
        self.heard_ms = now_ms;
        self.progress.clear();
        let next = self.last_index() + 1;
        for id in self.others() {
            let progress = FollowerProgress { next, ..FollowerProgress::default() };
            self.progress.insert(id, progress);
        }
        self.term_start = next;
        let entry =
            LogEntry { index: next, term: self.term(), payload: EntryPayload::Command(Vec::new()) };
        self.push_entry(entry, output);
        for id in self.others() {
            self.send_append(id, now_ms, output);
        }
    }

    // ---- leading ----

    fn tick_leader(&mut self, now_ms: u64, output: &mut RaftOutput) {
        let lost = self.lease_start_ms(now_ms).max(self.heard_ms) + 2 * ELECTION_MS <= now_ms;
        if lost {
            self.step_down(now_ms);
            return;
        }
        if self.transfer.is_some_and(|(_, until)| now_ms >= until) {
            // The target may still act on a late word to stand, which overrides the followers'
            // protection of this leader's lease. So the lease must end with this leadership.
            self.step_down(now_ms);
            return;
        }
        if now_ms < self.beat_ms + HEARTBEAT_MS {
            return;
        }
        self.beat_ms = now_ms;
        for id in self.others() {
            self.send_append(id, now_ms, output);
        }
    }

    /// The latest time at which a quorum, this keeper included, surely heard this leader.
    fn lease_start_ms(&self, now_ms: u64) -> u64 {
        let mut heard: Vec<u64> = Vec::new();
        for id in self.voters() {
            heard.push(match id == self.id {
                true => now_ms,
                false => self.progress.get(&id).map_or(0, |progress| progress.acked_sent_ms),
            });
        }
        heard.sort_unstable_by(|a, b| b.cmp(a));
        heard.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    fn push_entry(&mut self, entry: LogEntry, output: &mut RaftOutput) {
        if let EntryPayload::Membership(membership) = &entry.payload {
            let before = std::mem::replace(&mut self.membership, membership.clone());
            self.membership_index = entry.index;
            self.renew_progress(&before, entry.index);
        }
        output.batch.entries.push(entry.clone());
        self.entries.push(entry);
    }

    /// What an earlier life of a member held says nothing of its new one.
    fn renew_progress(&mut self, before: &GroupMembership, next: u64) {
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

    fn send_append(&mut self, to: KeeperId, now_ms: u64, output: &mut RaftOutput) {
        let last_index = self.last_index();
        let progress = self.progress.entry(to).or_default();
        let next = progress.next.clamp(1, last_index + 1);
        if next <= self.snapshot.index {
            self.send_piece(to, now_ms, output);
            return;
        }
        progress.snapshot_offset = None;
        // Until an answer comes, heartbeats go on empty, so that a slow follower is not flooded.
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

    fn send_piece(&mut self, to: KeeperId, now_ms: u64, output: &mut RaftOutput) {
        let total = self.snapshot.image.len();
        let progress = self.progress.entry(to).or_default();
        let offset = (progress.snapshot_offset.unwrap_or(0) as usize).min(total);
        progress.snapshot_offset = Some(offset as u64);
        progress.waiting_since = Some(now_ms);
        let end = (offset + SNAPSHOT_PIECE).min(total);
        let body = RaftBody::Piece {
            index: self.snapshot.index,
            last_term: self.snapshot.term,
            membership: self.snapshot.membership.clone(),
            offset: offset as u64,
            total: total as u64,
            bytes: self.snapshot.image[offset..end].to_vec(),
            sent_ms: now_ms,
        };
        self.send_at(to, self.term(), body, output);
    }

    fn take_reply(
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
        progress.waiting_since = None;
        if !matched && snapshot_offset > 0 && progress.snapshot_offset.is_some() {
            progress.snapshot_offset = Some(snapshot_offset);
        } else if matched {
            progress.matched = progress.matched.max(index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            if progress.matched >= snapshot_index {
                progress.snapshot_offset = None;
            }
        } else {
            progress.next = (index + 1).min(progress.next.saturating_sub(1)).max(1);
            progress.next = progress.next.max(progress.matched + 1);
        }
        let more = progress.next <= last;
        self.advance_commit();
        if more {
            self.send_append(from, now_ms, output);
        }
        self.push_transfer(output);
    }

    fn push_transfer(&mut self, output: &mut RaftOutput) {
        let Some((target, _)) = self.transfer else { return };
        let caught_up = self.member_match(target) == Some(self.last_index());
        if caught_up && self.synced == self.last_index() {
            self.send_at(target, self.term(), RaftBody::StandNow, output);
        }
    }

    fn advance_commit(&mut self) {
        let voters = self.voters();
        let mut held: Vec<u64> =
            voters.iter().map(|id| self.member_match(*id).unwrap_or(0)).collect();
        held.sort_unstable_by(|a, b| b.cmp(a));
        let quorum = held.get(self.quorum() - 1).copied().unwrap_or(0);
        // Only entries of the own term are committed by counting (Raft, section 5.4.2).
        if quorum > self.commit && self.term_at(quorum) == Some(self.term()) {
            self.commit = quorum;
        }
    }

    fn changed_membership(
        &self,
        change: &MemberChange,
        now_ms: u64,
    ) -> Result<GroupMembership, RaftRefusal> {
        let mut next = self.membership.clone();
        match change {
            MemberChange::AddLearner(id, incarnation, address) => {
                let known = next.members.get(id);
                // A voter that lost its disk must be removed first, so that it never counts twice.
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
            // A removed leader could be the only one with the entry that removes it.
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
    fn check_quorum_after(&self, next: &GroupMembership, now_ms: u64) -> Result<(), RaftRefusal> {
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

    // ---- following ----

    /// Takes entries that fit; `Err` tells where the leader should go on.
    fn take_entries(
        &mut self,
        prev_index: u64,
        prev_term: u64,
        entries: Vec<LogEntry>,
        output: &mut RaftOutput,
    ) -> Result<u64, u64> {
        let last = prev_index + entries.len() as u64;
        if prev_index < self.snapshot.index {
            // What the snapshot covers is committed, so it matches.
            let skip = (self.snapshot.index - prev_index) as usize;
            let rest: Vec<LogEntry> = entries.into_iter().skip(skip).collect();
            if rest.is_empty() {
                return Ok(last.min(self.snapshot.index));
            }
            let (index, term) = (self.snapshot.index, self.snapshot.term);
            return self.take_entries(index, term, rest, output);
        }
        if prev_index > self.last_index() {
            return Err(self.last_index());
        }
        if self.term_at(prev_index) != Some(prev_term) {
            return Err(self.before_term(prev_index));
        }
        for entry in entries {
            if self.term_at(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.last_index() {
                self.truncate(entry.index, output);
            }
            self.push_entry(entry, output);
        }
        Ok(last)
    }

    /// The last entry before the term that stands at `index`: skips a whole term at once.
    fn before_term(&self, index: u64) -> u64 {
        let term = self.term_at(index);
        let mut at = index;
        while at > self.snapshot.index && self.term_at(at) == term {
            at -= 1;
        }
        at
    }

    fn truncate(&mut self, from: u64, output: &mut RaftOutput) {
        self.entries.retain(|entry| entry.index < from);
        output.batch.entries.retain(|entry| entry.index < from);
        let earliest = output.batch.truncate_from.map_or(from, |other| other.min(from));
        output.batch.truncate_from = Some(earliest);
        self.synced = self.synced.min(from - 1);
        self.read_membership();
    }

    fn take_piece(
        &mut self,
        from: KeeperId,
        head: LogSnapshot,
        place: (u64, u64, u64),
        bytes: Vec<u8>,
        output: &mut RaftOutput,
    ) {
        let (offset, total, sent_ms) = place;
        if head.index <= self.commit {
            self.reply(from, true, self.commit, sent_ms, 0, output);
            return;
        }
        if (self.incoming.index, self.incoming.term) != (head.index, head.term) {
            let (index, term) = (head.index, head.term);
            self.incoming = IncomingSnapshot { index, term, bytes: Vec::new() };
        }
        if offset == self.incoming.bytes.len() as u64 {
            self.incoming.bytes.extend_from_slice(&bytes);
        }
        let received = self.incoming.bytes.len() as u64;
        if received < total {
            self.reply(from, false, self.commit, sent_ms, received, output);
            return;
        }
        let image = std::mem::take(&mut self.incoming).bytes;
        let snapshot = LogSnapshot { image, ..head };
        self.install(snapshot, output);
        self.reply(from, true, self.snapshot.index, sent_ms, 0, output);
    }

    fn install(&mut self, snapshot: LogSnapshot, output: &mut RaftOutput) {
        // Entries that follow on the snapshot stay; anything else is not known to match.
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.entries.retain(|entry| entry.index > snapshot.index);
        } else {
            self.entries.clear();
        }
        self.commit = snapshot.index;
        self.handed_out = snapshot.index;
        self.synced = self
            .synced
            .max(snapshot.index)
            .min(self.entries.last().map_or(snapshot.index, |entry| entry.index));
        self.snapshot = snapshot.clone();
        self.read_membership();
        output.batch.entries.retain(|entry| entry.index > snapshot.index);
        output.install = Some(snapshot);
    }

    fn reply(
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

    // ---- the log ----

    fn last_place(&self) -> (u64, u64) {
        let last = self.last_index();
        (self.term_at(last).unwrap_or(0), last)
    }

    fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        let at = index.checked_sub(self.snapshot.index + 1)? as usize;
        self.entries.get(at).map(|entry| entry.term)
    }

    fn membership_at(&self, index: u64) -> GroupMembership {
        let upto = self.entries.iter().rev().filter(|entry| entry.index <= index);
        let found = upto.filter_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some(membership.clone()),
            EntryPayload::Command(_) => None,
        });
        let mut found = found;
        found.next().unwrap_or_else(|| self.snapshot.membership.clone())
    }

    fn read_membership(&mut self) {
        let latest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            EntryPayload::Membership(membership) => Some((membership.clone(), entry.index)),
            EntryPayload::Command(_) => None,
        });
        let stored = || (self.snapshot.membership.clone(), self.snapshot.index);
        (self.membership, self.membership_index) = latest.unwrap_or_else(stored);
    }

    fn hand_out(&mut self, output: &mut RaftOutput) {
        // Only synced entries are handed out, so that what is applied is also on this disk.
        let until = self.commit.min(self.synced);
        while self.handed_out < until {
            let at = (self.handed_out - self.snapshot.index) as usize;
            let Some(entry) = self.entries.get(at) else { break };
            output.committed.push(entry.clone());
            self.handed_out += 1;
        }
    }

    fn send_at(&self, to: KeeperId, term: u64, body: RaftBody, output: &mut RaftOutput) {
        let message = RaftMessage { from: self.id, incarnation: self.incarnation, term, body };
        output.messages.push((to, message));
    }
}

fn payload_bytes(entry: &LogEntry) -> usize {
    match &entry.payload {
        EntryPayload::Command(bytes) => bytes.len() + 16,
        EntryPayload::Membership(membership) => membership.members.len() * 64 + 16,
    }
}
