//! Messages between routers and keepers, and among keepers: MessagePack in sealed HTTP bodies, and
//! in sealed datagrams for messages that recur every quarter of a second.

use serde::{Deserialize, Serialize};

use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::load_spread::LoadRow;
use crate::coordination::raft_message::RaftMessage;
use crate::state::claim_table::{ClaimAnswer, ClaimReport, ClaimRequest};
use crate::state::ids::{ChatKey, Incarnation, KeeperId, RouterId, UpstreamKey};
use crate::state::keeper_machine::ChangeRecord;
use crate::state::roster::{RouterRoster, RouterSession};

/// The maximum number of leaving incarnations in one datagram, which keeps it within the size limit.
/// The others are sent once earlier ones have expired.
pub const LEAVING_PER_DATAGRAM: usize = 12;
/// The HTTP path of Raft messages.
pub const RAFT_PATH: &str = "/keeper/raft";
/// The HTTP path of calls.
pub const CALL_PATH: &str = "/keeper/call";

/// A call from a router or keeper to a keeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperCall {
    /// Asks for the keeper's identity.
    Identity,
    /// Begins a session of a router.
    Join(RouterId, RouterSession),
    /// Ends a session, since the router drains.
    Leave(RouterId, Incarnation),
    /// Asks for the changes after this version.
    Changes(u64),
    /// Asks for the roster.
    Roster,
    /// Submits claims and the outcomes of claims.
    Claims(Vec<ClaimRequest>, Vec<ClaimReport>),
}

/// The answer to a [`KeeperCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperReply {
    /// Answers [`KeeperCall::Identity`].
    Identity(KeeperIdentity),
    /// The call was carried out.
    Done,
    /// The changes after a version, in order.
    Changes(Vec<ChangeRecord>),
    /// The whole configuration, sent when the changes after the version are no longer kept.
    Whole {
        /// The version of the configuration.
        version: u64,
        /// The document of the configuration.
        document: String,
    },
    /// The roster.
    Roster(RouterRoster),
    /// The answers to the claims, in the order of the claims.
    Claims(Vec<ClaimAnswer>),
    /// This keeper isn't the leader; names the leader if it is known.
    NotLeader(Option<KeeperId>),
    /// This keeper is the leader but can't confirm its leadership at the moment. The call was not
    /// carried out, or may still be.
    Unsure,
}

/// The identity of a keeper.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperIdentity {
    /// Its number.
    pub id: KeeperId,
    /// The incarnation of its disk.
    pub incarnation: Incarnation,
    /// Whether its disk has never been part of a group.
    pub blank: bool,
    /// The incarnations of the members of its group.
    pub members: std::collections::BTreeMap<KeeperId, Incarnation>,
}

/// A message that is sent as a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A router renews its lease and reports its load.
    Renew(LeaseRenewal),
    /// The leading keeper grants the lease and reports the load of the other routers.
    Grant(LeaseGrant),
    /// The leading keeper announces a newer version or epoch.
    Notice {
        /// The current version of the configuration.
        version: u64,
        /// The roster's epoch.
        epoch: u64,
    },
    /// A short message between keepers; long ones are sent by HTTP.
    Raft(RaftMessage),
    /// A few claims and outcomes of claims; larger batches are sent by HTTP.
    Claims {
        /// Echoed by the answer; a batch that is sent again has the same number.
        number: u64,
        /// The claims.
        claims: Vec<ClaimRequest>,
        /// The outcomes.
        reports: Vec<ClaimReport>,
    },
    /// The answer to [`Datagram::Claims`], sent once the claims are committed.
    ClaimAnswers {
        /// The number of the batch.
        number: u64,
        /// The answers in the order of the claims; `None` from a keeper that can't accept claims.
        answers: Option<Vec<ClaimAnswer>>,
    },
    /// A router reports to a chat's home router the engine that holds the chat.
    Chats(Vec<ChatNote>),
    /// Routers report their load to each other while no keeper leads.
    Sums {
        /// The sender.
        router: RouterId,
        /// Its load.
        rows: Vec<LoadRow>,
        /// Incarnations known to the sender to be leaving.
        #[serde(rename = "marks")]
        leaving: Vec<LeavingIncarnation>,
    },
}

/// The engine that holds a chat; see [`Datagram::Chats`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatNote {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that holds it now.
    pub engine: UpstreamKey,
    /// The incarnation of the engine.
    pub incarnation: Incarnation,
    /// The number of tokens that the engine holds of the chat.
    pub tokens: u32,
}

/// A renewal of a router's lease; see [`Datagram::Renew`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// The router that renews its lease.
    pub router: RouterId,
    /// The incarnation of the router.
    pub incarnation: Incarnation,
    /// The time of the router's clock at sending, which the answer echoes.
    pub sent_ms: u64,
    /// The version of the configuration that the router has applied.
    pub version: u64,
    /// The epoch of the roster that the router has applied.
    pub epoch: u64,
    /// Its load.
    pub rows: Vec<LoadRow>,
    /// Incarnations that the router recently learned to be leaving.
    #[serde(rename = "marks")]
    pub leaving: Vec<LeavingIncarnation>,
}

/// The answer to a renewal; see [`Datagram::Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The time in the renewal.
    pub sent_ms: u64,
    /// Whether the session is known; if not, the router has to join again.
    pub known: bool,
    /// The current version of the configuration.
    pub version: u64,
    /// The current epoch of the roster.
    pub epoch: u64,
    /// The epoch that every router with a lease has applied.
    pub settled_epoch: u64,
    /// The load of all other routers.
    pub rows: Vec<LoadRow>,
    /// Incarnations that were recently published as leaving.
    #[serde(rename = "marks")]
    pub leaving: Vec<LeavingIncarnation>,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data always encodes")
}

/// Decodes a message; the error text says what is wrong.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}
