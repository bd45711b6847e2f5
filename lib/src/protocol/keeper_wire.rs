//! Messages between routers and keepers, and between keepers: MessagePack in sealed
//! HTTP bodies, and in sealed datagrams for what recurs each quarter second.

use serde::{Deserialize, Serialize};

use crate::coordination::leaving::LeavingIncarnation;
use crate::coordination::load_spread::LoadRow;
use crate::coordination::raft_message::RaftMessage;
use crate::state::claim_table::{ClaimAnswer, ClaimReport, ClaimRequest};
use crate::state::ids::{ChatKey, Incarnation, KeeperId, RouterId, UpstreamKey};
use crate::state::keeper_machine::ChangeRecord;
use crate::state::roster::{RouterRoster, RouterSession};

/// Leaving lives in one datagram, so that it fits; the rest follow as these grow old.
pub const MARKS_PER_DATAGRAM: usize = 12;
/// The path of raft messages.
pub const RAFT_PATH: &str = "/keeper/raft";
/// The path of calls.
pub const CALL_PATH: &str = "/keeper/call";

/// What a router or keeper asks of a keeper.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperCall {
    /// Who are you?
    Identity,
    /// Begin a session.
    Join(RouterId, RouterSession),
    /// End it; the router drains.
    Leave(RouterId, Incarnation),
    /// What came after this version?
    Changes(u64),
    /// The roster.
    Roster,
    /// Claims, and ends of claims.
    Claims(Vec<ClaimRequest>, Vec<ClaimReport>),
}

/// The answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum KeeperReply {
    /// To [`KeeperCall::Identity`].
    Identity(KeeperIdentity),
    /// Done.
    Done,
    /// The changes after a version, in order.
    Changes(Vec<ChangeRecord>),
    /// The whole configuration, when the changes are no longer kept one by one.
    Whole {
        /// Its version.
        version: u64,
        /// Its document.
        document: String,
    },
    /// The roster.
    Roster(RouterRoster),
    /// Answers to the claims, in order.
    Claims(Vec<ClaimAnswer>),
    /// Ask this keeper instead, if one is known to lead.
    NotLeader(Option<KeeperId>),
    /// Leads, but cannot vouch for it now; nothing was done, or it may yet be done.
    Unsure,
}

/// Who a keeper is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeeperIdentity {
    /// Its number.
    pub id: KeeperId,
    /// The life of its disk.
    pub incarnation: Incarnation,
    /// Its disk has never been part of a group.
    pub blank: bool,
    /// The lives that its group knows.
    pub members: std::collections::BTreeMap<KeeperId, Incarnation>,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// A router renews its lease and reports its load.
    Renew(LeaseRenewal),
    /// The leading keeper grants it, and sends the load elsewhere.
    Grant(LeaseGrant),
    /// The leading keeper publishes that something newer is in force.
    Notice {
        /// The version in force.
        version: u64,
        /// The roster's epoch.
        epoch: u64,
    },
    /// A short message between keepers; long ones go by HTTP.
    Raft(RaftMessage),
    /// A few claims and ends of claims; many go by HTTP.
    Claims {
        /// Echoed by the answer; the same batch sent again has the same number.
        number: u64,
        /// The claims.
        claims: Vec<ClaimRequest>,
        /// The ends.
        reports: Vec<ClaimReport>,
    },
    /// The answer, once committed; `None` from a keeper that cannot take it.
    ClaimAnswers {
        /// Echoed.
        number: u64,
        /// In the order of the claims.
        answers: Option<Vec<ClaimAnswer>>,
    },
    /// A router reports to a chat's home where the chat went.
    Chats(Vec<ChatNote>),
    /// Routers report their load to each other while no keeper leads.
    Sums {
        /// The sender.
        router: RouterId,
        /// Its load.
        rows: Vec<LoadRow>,
        /// Leaving lives that it knows.
        marks: Vec<LeavingIncarnation>,
    },
}

/// See [`Datagram::Chats`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatNote {
    /// The chat.
    pub chat: ChatKey,
    /// The engine that holds it now.
    pub engine: UpstreamKey,
    /// The engine's life.
    pub life: Incarnation,
    /// The tokens held.
    pub tokens: u32,
}

/// See [`Datagram::Renew`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Who renews.
    pub router: RouterId,
    /// Its life.
    pub incarnation: Incarnation,
    /// The router's clock at sending, echoed.
    pub sent_ms: u64,
    /// The version that it has applied.
    pub version: u64,
    /// The epoch that it has applied.
    pub epoch: u64,
    /// Its load.
    pub rows: Vec<LoadRow>,
    /// Leaving lives that it learned of lately.
    pub marks: Vec<LeavingIncarnation>,
}

/// See [`Datagram::Grant`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Echoed.
    pub sent_ms: u64,
    /// The session is known; else the router must join again.
    pub known: bool,
    /// The version in force.
    pub version: u64,
    /// The roster's epoch.
    pub epoch: u64,
    /// The epoch that every router with a lease has seen.
    pub settled_epoch: u64,
    /// The load of all other routers.
    pub rows: Vec<LoadRow>,
    /// Leaving lives that were published lately.
    pub marks: Vec<LeavingIncarnation>,
}

/// Encodes a message.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("plain data always encodes")
}

/// Decodes a message; the text says what is wrong.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}
