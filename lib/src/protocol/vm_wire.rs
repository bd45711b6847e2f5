//! What VMs of the fleet say to each other: frames over TCP, and datagrams for what
//! recurs. A VM is named by its IPv4 address; the peer port is the same on each.

use std::net::Ipv4Addr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::crash_outbox::CrashReport;
use crate::coordination::fleet_health::HealthReport;
use crate::coordination::holder_news::{HolderNote, HolderPosition};
use crate::coordination::raft_message::RaftMessage;
use crate::coordination::rollout_watch::RolloutNote;
use crate::coordination::silence::DarkMark;
use crate::coordination::upstream_load::{LoadUpdate, UpstreamLoad};
use crate::coordination::vm_roster::{RosterMark, RosterNews, RosterRow};
use crate::state::document_change::DocumentChange;
use crate::state::ids::{Incarnation, UpstreamKey};
use crate::state::packed_text::PackedText;
use crate::state::quarantine::QuarantineTable;
use crate::state::rollout_order::RolloutTable;
use crate::state::upstream_list::{ListMark, ListStep, UpstreamEntry};
use crate::state::zone_order::{ZoneOrder, ZoneOrders};

/// The largest frame, in bytes: a document of the largest size and its frame.
pub const LARGEST_FRAME: usize = 16 << 20;
/// The bytes of a frame's head: length of the body, sender.
pub const FRAME_HEAD: usize = 8;
/// A body longer than this is packed, in bytes; what is shorter gains too little.
const PACKED_FROM: usize = 512;
/// Set in the length of a frame whose body is packed.
const PACKED_FLAG: u32 = 1 << 31;

/// A VM by its address.
pub type VmId = u32;

/// The address of a VM.
pub fn vm_address(id: VmId) -> Ipv4Addr {
    Ipv4Addr::from(id)
}

/// What an operator asks for, as the VM that was asked passes it on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOrder {
    /// Empty a zone, or take it back.
    Zone(ZoneOrder),
    /// Move a service's traffic to another version.
    Rollout(RolloutWish),
    /// Roll a roll-out back that runs.
    RollBack {
        /// The service's name.
        service: String,
        /// The number of its order.
        number: u64,
    },
}

/// A roll-out that an operator asks for. The leader numbers it, and counts the VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutWish {
    /// The service's name.
    pub service: String,
    /// The name of the version that the traffic is to be moved to.
    pub target: String,
    /// How long it may take, in milliseconds.
    pub duration_ms: u64,
    /// The number of the service's last order, as far as the VM that was asked knows: a wish that was
    /// on its way while another one was taken changes nothing.
    pub after: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderEnd {
    /// It is committed, or was before.
    Taken,
    /// It isn't, as far as is known; it may be asked for again.
    #[default]
    NotTaken,
    /// It can't be taken while another one runs.
    UnderWay,
}

/// What the leader answers to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderVerdict {
    /// What became of it.
    pub end: OrderEnd,
    /// The last orders of zones, as the answering VM holds them.
    pub zones: ZoneOrders,
    /// The last roll-outs, likewise.
    pub rollouts: RolloutTable,
}

/// What travels over a link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VmMessage {
    /// Between keepers.
    Raft(RaftMessage),
    /// To the leader: replicate this document.
    Put {
        /// The asker's number for it.
        number: u64,
        /// The document as the operator sent it.
        document: PackedText,
        /// Its version.
        version: u64,
    },
    /// The answer.
    PutReply {
        /// The asker's number.
        number: u64,
        /// Whether a document of this version or a higher one is committed; `false` when
        /// that isn't known.
        committed: bool,
    },
    /// To the leader: take this order of an operator.
    Order {
        /// The asker's number for the question.
        question: u64,
        /// The order.
        order: FleetOrder,
    },
    /// The answer.
    OrderReply {
        /// The asker's number.
        question: u64,
        /// What became of the order, and what holds.
        verdict: OrderVerdict,
    },
    /// To a keeper: the newest document that you know to be committed, please.
    WantDocument,
    /// The newest document.
    Document {
        /// Its version.
        version: u64,
        /// The document as the operator sent it.
        document: PackedText,
    },
    /// The newest document, encoded against an earlier one.
    DocumentChange {
        /// The version of the earlier one.
        before: u64,
        /// The version.
        version: u64,
        /// What is new.
        change: DocumentChange,
    },
    /// The list of upstreams, please, once you hold a newer state of it.
    WantList {
        /// The state that the asker holds.
        have: ListMark,
    },
    /// What is new in the list of upstreams.
    ListStep(ListStep),
    /// The list of upstreams.
    List {
        /// Which state of the list it is.
        mark: ListMark,
        /// The rows.
        rows: Vec<UpstreamEntry>,
    },
}

impl VmMessage {
    /// The kind's name in figures.
    pub fn kind(&self) -> &'static str {
        match self {
            VmMessage::Raft(_) => "raft",
            VmMessage::Put { .. } | VmMessage::PutReply { .. } => "put",
            VmMessage::Order { .. } | VmMessage::OrderReply { .. } => "order",
            VmMessage::WantDocument => "want_document",
            VmMessage::Document { .. } => "document",
            VmMessage::DocumentChange { .. } => "document_change",
            VmMessage::WantList { .. } => "want_list",
            VmMessage::ListStep(_) => "list_step",
            VmMessage::List { .. } => "list",
        }
    }
}

/// What travels as a datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VmDatagram {
    /// To the leader, a few times a second.
    Renew(RenewalNote),
    /// The leader's answer.
    Grant(GrantNote),
    /// The answer of a VM that doesn't lead.
    Elsewhere {
        /// The leader, as far as it knows.
        leader: Option<VmId>,
        /// The keepers that it knows.
        keepers: Vec<VmId>,
        /// How many VMs it knows, so that who asks keeps a pace that all of them can keep.
        vms: u32,
    },
    /// A new leader, to all that it knows.
    Leads {
        /// Its term.
        term: u64,
    },
    /// The leader publishes which upstreams are dark; see `silence`.
    Dark {
        /// Its term.
        term: u64,
        /// All of them.
        upstreams: Vec<UpstreamKey>,
    },
    /// The leader reports that a roll-out began or went a step on.
    Rollouts {
        /// Its term.
        term: u64,
        /// All of them.
        table: RolloutTable,
    },
    /// The leader publishes which requests are sent nowhere, or watched.
    Quarantine {
        /// Its term.
        term: u64,
        /// All of them.
        table: QuarantineTable,
    },
    /// To any VM: what do you know that I don't?
    AskNews(NewsAsk),
    /// Its answer, at once or when it knows more.
    PeerNews(PeerNote),
}

impl VmDatagram {
    /// The kind's name in figures.
    pub fn kind(&self) -> &'static str {
        match self {
            VmDatagram::Renew(_) => "renewal",
            VmDatagram::Grant(_) => "grant",
            VmDatagram::Elsewhere { .. } => "redirect",
            VmDatagram::Leads { .. } => "leadership",
            VmDatagram::Dark { .. } => "dark",
            VmDatagram::Rollouts { .. } => "rollouts",
            VmDatagram::Quarantine { .. } => "quarantine",
            VmDatagram::AskNews(_) | VmDatagram::PeerNews(_) => "peer_news",
        }
    }
}

/// What a VM without news for too long asks others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsAsk {
    /// The sender's steady clock, echoed by the answer.
    pub sent_ms: u64,
    /// The state of the list of upstreams that it holds.
    pub list: ListMark,
    /// How long ago that was surely the platform's, in milliseconds; `u32::MAX` when unknown.
    pub list_age_ms: u32,
    /// How long ago its configuration was surely the newest, likewise.
    pub version_age_ms: u32,
}

/// What a VM knows, as of the question that it answers. The ages are those at which the
/// question came, so that together with its time they prove something at the asker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerNote {
    /// The question's own time.
    pub sent_ms: u64,
    /// The state of the list of upstreams.
    pub list: ListMark,
    /// How long ago that was surely the platform's, in milliseconds; `u32::MAX` when unknown.
    pub list_age_ms: u32,
    /// The version of the configuration in force.
    pub version: u64,
    /// How long ago that was surely the newest, in milliseconds; `u32::MAX` when unknown.
    pub version_age_ms: u32,
}

/// What a VM reports with each renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewalNote {
    /// The sender's steady clock, echoed by the answer.
    pub sent_ms: u64,
    /// What others should know of the sender.
    pub row: RosterRow,
    /// The life of its disk, when it is a keeper.
    pub keeper: Option<Incarnation>,
    /// What it has in flight.
    pub loads: Vec<UpstreamLoad>,
    /// The state of the roster that it holds.
    pub roster: RosterMark,
    /// The state of the list of upstreams that it holds.
    pub list: ListMark,
    /// Where it sent parts against the order.
    pub holders: Vec<HolderNote>,
    /// What it has heard of others' such notes.
    pub holders_heard: HolderPosition,
    /// How its sends went.
    pub health_reports: Vec<HealthReport>,
    /// How many orders of zones it knows of.
    pub zone_orders: u64,
    /// Upstreams that it could not reach.
    pub doubts: Vec<UpstreamKey>,
    /// Names the dark upstreams that it received last; see `silence`.
    pub dark: DarkMark,
    /// How many changes of roll-outs it knows of.
    pub rollout_changes: u64,
    /// This life of its process; a later one has another number.
    pub life: u64,
    /// What it reports of roll-outs that run.
    pub rollouts: Vec<RolloutNote>,
    /// How many changes it knows of requests that end upstreams.
    pub quarantine_changes: u64,
    /// Upstreams that ended under requests.
    pub crashes: CrashReport,
}

/// What the leader answers, while it surely leads.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantNote {
    /// The renewal's own time.
    pub sent_ms: u64,
    /// The leader's term.
    pub term: u64,
    /// The newest committed version; 0 for none.
    pub version: u64,
    /// The state of the list of upstreams.
    pub list: ListMark,
    /// How long ago the leader read that state, or saw that it still is the platform's, in
    /// milliseconds.
    pub list_age_ms: u32,
    /// The keepers.
    pub keepers: Vec<VmId>,
    /// What is new in the roster. A leader sends it once it has led long enough to have heard
    /// every VM, and before that only to those that know none.
    pub roster: RosterNews,
    /// What all VMs have in flight, summed.
    pub loads: LoadUpdate,
    /// What others reported of where parts are kept.
    pub holders: Vec<HolderNote>,
    /// What was heard of that with this answer.
    pub holders_heard: HolderPosition,
    /// Upstreams that fail all VMs that send to them.
    pub failing: Vec<UpstreamKey>,
    /// The last orders of zones, unless the asker knows of as many.
    pub zones: Option<ZoneOrders>,
    /// Upstreams that are dark, unless the asker received the same.
    pub dark: Option<Vec<UpstreamKey>>,
    /// The last roll-outs, unless the asker knows of as many changes.
    pub rollouts: Option<RolloutTable>,
    /// Requests that end upstreams, unless the asker knows of as many changes.
    pub quarantine: Option<QuarantineTable>,
    /// The number of the last crash in the renewal.
    pub crashes_heard: u64,
}

/// Encodes a message or datagram.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data always encodes")
}

/// Decodes a message or datagram.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

/// What a frame's head holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    /// Bytes of the body.
    pub length: usize,
    /// Whether the body is packed.
    pub packed: bool,
    /// The sender.
    pub from: VmId,
}

/// A frame: its length, its sender, the message; packed where that is shorter.
pub fn encode_frame(from: VmId, message: &VmMessage) -> Bytes {
    let plain = encode(message);
    let packed = (plain.len() > PACKED_FROM).then(|| PackedText::pack(&plain).into_bytes());
    let packed = packed.filter(|packed| packed.len() < plain.len());
    let mark = if packed.is_some() { PACKED_FLAG } else { 0 };
    let body = packed.unwrap_or(plain);
    let mut frame = Vec::with_capacity(body.len() + FRAME_HEAD);
    frame.extend_from_slice(&(body.len() as u32 | mark).to_le_bytes());
    frame.extend_from_slice(&from.to_le_bytes());
    frame.extend_from_slice(&body);
    frame.into()
}

/// Reads a frame's head; an error when it can't be one.
pub fn decode_frame_head(head: [u8; FRAME_HEAD]) -> Result<FrameHead, String> {
    let mark = u32::from_le_bytes([head[0], head[1], head[2], head[3]]);
    let from = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let (length, packed) = ((mark & !PACKED_FLAG) as usize, mark & PACKED_FLAG != 0);
    match length <= LARGEST_FRAME {
        true => Ok(FrameHead { length, packed, from }),
        false => Err(format!("a frame of {length} bytes is too long")),
    }
}

/// Reads a frame's body.
pub fn decode_frame_body(head: FrameHead, body: Vec<u8>) -> Result<VmMessage, String> {
    match head.packed {
        false => decode(&body),
        true => {
            let plain = PackedText::from_bytes(body).unpack().map_err(|error| error.to_string())?;
            decode(&plain)
        }
    }
}
