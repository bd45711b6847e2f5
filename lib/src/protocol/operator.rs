//! The operators' interface of the keepers: JSON over HTTP.
//!
//! An operator authenticates with its name and key. As long as the configuration has no operator,
//! the fleet key is accepted instead, for the first change. See `docs/operators/changes.md`.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::http::HttpCall;
use crate::coordination::raft_message::RaftRole;
use crate::state::configuration::{hash_key, Configuration, EntryOperation};
use crate::state::ids::{Incarnation, KeeperId, RouterId};
use crate::state::keeper_machine::OrderAction;

/// The header with the operator's name.
pub const OPERATOR_HEADER: &str = "wingshed-operator";
/// The name of the operator that uses the fleet key while the configuration has no operator.
pub const FIRST_OPERATOR: &str = "first";

/// A change of the configuration, as an operator submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedChange {
    /// Chosen by the submitter; a resend has the same id.
    pub id: String,
    /// The version that the change is based on.
    pub base: u64,
    /// The operations on entries of the configuration.
    pub operations: Vec<EntryOperation>,
}

/// An order to an engine, as an operator submits it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedOrder {
    /// Chosen by the submitter; a resend has the same id.
    pub id: String,
    /// The upstream's name.
    pub upstream: String,
    /// What the engine is to do.
    pub action: OrderAction,
}

/// A request to drain a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedLeave {
    /// The number of the router.
    pub router: RouterId,
}

/// A change of the group of keepers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum MemberStep {
    /// Adds a keeper as a learner, which receives the log but has no vote.
    Add {
        /// The number of the keeper.
        id: KeeperId,
        /// The address on which the keeper listens.
        address: std::net::SocketAddr,
    },
    /// Gives a learner its vote.
    Promote {
        /// The number of the keeper.
        id: KeeperId,
    },
    /// Removes a keeper from the group.
    Remove {
        /// The number of the keeper.
        id: KeeperId,
    },
    /// Transfers the leadership to another keeper.
    Transfer,
}

/// The status of one member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub id: KeeperId,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// The address on which it listens.
    pub address: std::net::SocketAddr,
    /// Whether it votes.
    pub votes: bool,
    /// The index of the last log entry that it is known to hold; set by the leader only.
    pub held: Option<u64>,
    /// The age of its last answer, in milliseconds; set by the leader only.
    pub age_ms: Option<u64>,
}

/// The status of a keeper and of the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// Its number.
    pub id: KeeperId,
    /// Its Raft role.
    pub role: RaftRole,
    /// The leader, if known.
    pub leader: Option<KeeperId>,
    /// Its current term.
    pub term: u64,
    /// The index of the last committed entry.
    pub commit: u64,
    /// The index of the last entry.
    pub last: u64,
    /// The members of the group.
    pub members: Vec<MemberStatus>,
    /// The current version of the configuration.
    pub version: u64,
    /// The current epoch of the roster.
    pub epoch: u64,
    /// The routers with the versions that they have applied, as known to the leader.
    pub routers: Vec<RouterStatus>,
    /// The number of claims that are kept.
    pub claims: usize,
    /// The number of log syncs since the start.
    pub syncs: u64,
    /// The control traffic by kind of message.
    pub wire: Vec<WireRow>,
}

/// The status of a router, as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its number.
    pub id: RouterId,
    /// The address on which it listens.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is draining.
    pub leaving: bool,
    /// The version that it has applied, if known.
    pub version: Option<u64>,
}

/// The traffic of one kind of message. The bytes include an estimate for packet headers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// The kind of message.
    pub kind: String,
    /// Messages sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

/// The name of the operator that sent a call; `None` unless its key is valid.
pub fn operator_of(
    call: &HttpCall,
    configuration: &Configuration,
    fleet_key: &str,
) -> Option<String> {
    let key = call.header("authorization")?.strip_prefix("Bearer ")?.trim();
    let name = call.header(OPERATOR_HEADER).unwrap_or(FIRST_OPERATOR);
    if configuration.operators.is_empty() {
        let good = bool::from(key.as_bytes().ct_eq(fleet_key.as_bytes()));
        return good.then(|| FIRST_OPERATOR.to_string());
    }
    let entry = configuration.operators.get(name)?;
    let shown = hash_key(key);
    bool::from(shown.as_bytes().ct_eq(entry.key_hash.as_bytes())).then(|| name.to_string())
}
