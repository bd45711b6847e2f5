//! Messages between keepers, and the output of a step of the consensus.

use serde::{Deserialize, Serialize};

use crate::state::ids::{Incarnation, KeeperId};
use crate::state::log_store::{GroupMembership, LogBatch, LogEntry, LogSnapshot};

/// How often a leader sends heartbeats, in milliseconds.
pub const HEARTBEAT_MS: u64 = 100;
/// The minimum election timeout, in milliseconds. A follower that receives nothing from a leader
/// for this long, or up to twice as long by chance, starts an election.
pub const ELECTION_MS: u64 = 500;
/// The first election timeout of a fleet's keeper that has seen no leader since its start, in
/// milliseconds, multiplied by the keeper's position among the voters. It doubles with each
/// attempt, so that slow keepers do not disturb each other's elections.
///
/// After all keepers were killed together none leads, and callers wait, so a new leader should
/// be elected soon. While there is a leader, its followers ignore the vote requests. See
/// `docs/design/platform.md`.
pub const STARTUP_ELECTION_MS: u64 = 50;
/// The duration of a leader's lease in milliseconds, from the sending of a heartbeat that a
/// quorum answered.
///
/// It is shorter than [`ELECTION_MS`] by a fifth, which allows for clocks of different speeds.
pub const LEASE_MS: u64 = ELECTION_MS * 4 / 5;
/// The maximum number of entries in one message.
pub const ENTRIES_PER_MESSAGE: usize = 512;
/// The approximate maximum size of the entries in one message, in bytes. An entry that alone is
/// larger is sent by itself.
pub const BYTES_PER_MESSAGE: usize = 1 << 20;
/// The maximum size of a piece of a snapshot, in bytes.
pub const SNAPSHOT_PIECE_BYTES: usize = 256 << 10;
/// The number of entries by which a learner's log may be behind the leader's when it is promoted.
pub const CAUGHT_UP_GAP: u64 = 64;

/// A message between keepers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftMessage {
    /// The sender.
    pub from: KeeperId,
    /// The incarnation of the sender's disk. Replies of an incarnation that is no member are
    /// ignored.
    pub incarnation: Incarnation,
    /// The sender's term, or for a pre-vote the term that it would enter.
    pub term: u64,
    /// The content.
    pub body: RaftBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftBody {
    /// A request for a pre-vote or, after a quorum granted that, for a vote.
    Vote {
        /// Whether this is a pre-vote, which changes no term.
        pre: bool,
        /// Whether the leader requested this election for a leadership transfer.
        transfer: bool,
        /// The index of the sender's last entry.
        last_index: u64,
        /// The term of that entry.
        last_term: u64,
    },
    /// The reply to a request for a pre-vote or a vote.
    VoteReply {
        /// Whether the request was for a pre-vote.
        pre: bool,
        /// Whether it is granted.
        granted: bool,
    },
    /// Entries to append; without entries a heartbeat.
    Append {
        /// The index of the entry before the first.
        prev_index: u64,
        /// The term of that entry.
        prev_term: u64,
        /// The entries.
        entries: Vec<LogEntry>,
        /// The index of the last committed entry.
        commit: u64,
        /// The leader's clock at sending, which the reply echoes. The leader's lease is computed
        /// from it.
        sent_ms: u64,
    },
    /// The reply to entries or to a piece of a snapshot.
    AppendReply {
        /// Whether the logs match up to `index`.
        matched: bool,
        /// The last entry known to match, or else the last one that may match.
        index: u64,
        /// The leader's clock at sending, echoed.
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
        /// The snapshot's membership.
        membership: GroupMembership,
        /// Where this piece starts in the snapshot's image, in bytes.
        offset: u64,
        /// The length of the whole image in bytes.
        total: u64,
        /// The bytes of this piece.
        bytes: Vec<u8>,
        /// The leader's clock at sending, as in [`RaftBody::Append`].
        sent_ms: u64,
    },
    /// A leader's request to start an election at once, for a leadership transfer.
    StandNow,
}

/// The roles of a keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftRole {
    /// The keeper follows a leader, or waits for one.
    Follower,
    /// The keeper requests pre-votes to find out whether it could win an election.
    PreCandidate,
    /// The keeper requests votes.
    Candidate,
    /// The keeper leads the group.
    Leader,
}

/// Why a proposal or a change of membership is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RaftRefusal {
    /// This keeper does not lead; holds the leader if it is known.
    NotLeader(Option<KeeperId>),
    /// An earlier membership change, or the first entry of the leader's term, is not committed
    /// yet.
    ChangePending,
    /// The change would leave fewer live voters than a quorum.
    WouldLoseQuorum,
    /// The learner's log is too far behind, or the learner does not answer.
    NotCaughtUp,
    /// There is no such member, no live voter to transfer leadership to, or the keeper to add is
    /// a voter already.
    NoSuchMember,
    /// A leadership transfer is under way.
    HandingOver,
    /// The member to remove leads; it must transfer leadership first.
    Leads,
}

/// A change of one member. At most one change is uncommitted at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a keeper that receives the log but has no vote.
    AddLearner(KeeperId, Incarnation, std::net::SocketAddr),
    /// Makes a learner a voter.
    Promote(KeeperId),
    /// Removes a member.
    Remove(KeeperId),
}

/// What the caller has to do after a step: install, write and sync, send, apply.
#[derive(Debug, Default)]
pub struct RaftOutput {
    /// Log changes, to be written and synced before the messages are sent.
    pub batch: LogBatch,
    /// A completely received snapshot, to be installed before anything else.
    pub install: Option<LogSnapshot>,
    /// Messages and their receivers, to be sent after the batch is synced.
    pub messages: Vec<(KeeperId, RaftMessage)>,
    /// Newly committed entries, to be applied in order.
    pub committed: Vec<LogEntry>,
}
