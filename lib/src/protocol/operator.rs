//! The operators' interface: JSON over HTTP at the keepers.
//!
//! An operator shows its name and key. While a configuration names no operator yet,
//! the fleet key does for the first change. See `docs/operators/changes.md`.

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use super::http::HttpCall;
use crate::coordination::raft_message::RaftRole;
use crate::state::configuration::{hash_key, Configuration, EntryOperation};
use crate::state::ids::{Incarnation, KeeperId, RouterId};
use crate::state::keeper_machine::OrderAction;

/// The operator's name.
pub const OPERATOR_HEADER: &str = "wingshed-operator";
/// The name under which the fleet key acts while there is no operator.
pub const FIRST_OPERATOR: &str = "first";

/// A change as submitted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedChange {
    /// Chosen by the submitter.
    pub id: String,
    /// The version that it builds on.
    pub base: u64,
    /// What it does.
    pub operations: Vec<EntryOperation>,
}

/// An order as submitted.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedOrder {
    /// Chosen by the submitter.
    pub id: String,
    /// The upstream's name.
    pub upstream: String,
    /// What to do.
    pub action: OrderAction,
}

/// A router that should drain.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmittedLeave {
    /// Its number.
    pub router: RouterId,
}

/// A step of repair.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum MemberStep {
    /// Adds a keeper that only receives.
    Add {
        /// Its number.
        id: KeeperId,
        /// Where it listens.
        address: std::net::SocketAddr,
    },
    /// Gives it its vote.
    Promote {
        /// Its number.
        id: KeeperId,
    },
    /// Removes a member.
    Remove {
        /// Its number.
        id: KeeperId,
    },
    /// Hands leadership over.
    Transfer,
}

/// One member of the group, for status pages.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its number.
    pub id: KeeperId,
    /// The life of its disk.
    pub incarnation: Incarnation,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Whether it votes.
    pub votes: bool,
    /// The last entry it is known to hold; the leader knows.
    pub held: Option<u64>,
    /// The age of its last answer, in milliseconds; the leader knows.
    pub age_ms: Option<u64>,
}

/// What a keeper reports of itself and the system.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperStatus {
    /// Its number.
    pub id: KeeperId,
    /// Its role.
    pub role: RaftRole,
    /// The leader that it knows.
    pub leader: Option<KeeperId>,
    /// The term.
    pub term: u64,
    /// The last committed entry.
    pub commit: u64,
    /// The last entry.
    pub last: u64,
    /// The group.
    pub members: Vec<MemberStatus>,
    /// The version in force.
    pub version: u64,
    /// The roster's epoch.
    pub epoch: u64,
    /// The routers with the versions that they have applied, as the leader knows.
    pub routers: Vec<RouterStatus>,
    /// Claims kept.
    pub claims: usize,
    /// Syncs of the log since the start.
    pub syncs: u64,
    /// Bytes sent and received for control, by kind.
    pub wire: Vec<WireRow>,
}

/// One router, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterStatus {
    /// Its number.
    pub id: RouterId,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// It drains.
    pub leaving: bool,
    /// The version that it has applied.
    pub version: Option<u64>,
}

/// Bytes on the wire of one kind of message, heads of the packets included by estimate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireRow {
    /// The kind.
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

/// The operator of a call, if its key is good.
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
