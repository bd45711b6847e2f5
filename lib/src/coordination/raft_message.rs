//! What keepers say to each other, and what the consensus asks of its caller.

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{GroupMembership, LogBatch, LogEntry, LogSnapshot};

/// How often a leader sends heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;
/// A follower that hears nothing for this long, and up to twice as long, asks for a vote.
pub const ELECTION_MS: u64 = 500;
/// A fleet's keeper that heard no leader since its start asks this soon, and up to twice as
/// late; then twice as long each time, so that slow keepers don't ask across each other.
///
/// After all keepers were killed together none leads, and callers wait; where a leader
/// does live, it is defended against the question. See `docs/design/platform.md`.
pub const WAKE_MS: u64 = 50;
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
