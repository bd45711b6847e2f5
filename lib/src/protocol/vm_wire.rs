//! Messages between the VMs of a fleet: frames over TCP, and datagrams for messages that recur. A
//! VM is identified by its IPv4 address; the peer port is the same on each.

use std::net::Ipv4Addr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::coordination::crash_outbox::CrashReport;
use crate::coordination::fleet_health::HealthReport;
use crate::coordination::holder_news::{HolderNote, HolderPosition};
use crate::coordination::raft_message::RaftMessage;
use crate::coordination::rollout_watch::RolloutReport;
use crate::coordination::silence::UnresponsiveRevision;
use crate::coordination::upstream_load::{LoadUpdate, UpstreamLoad};
use crate::coordination::vm_roster::{RosterRevision, RosterRow, RosterUpdate};
use crate::state::document_change::DocumentChange;
use crate::state::ids::{Incarnation, ServiceKey, StreamKey, UpstreamKey};
use crate::state::packed_text::PackedText;
use crate::state::quarantine::QuarantineTable;
use crate::state::rollout_order::RolloutTable;
use crate::state::stream_origin::StreamOrigin;
use crate::state::upstream_list::{ListDelta, ListRevision, UpstreamEntry};
use crate::state::zone_order::{ZoneOrder, ZoneOrders};

/// The largest frame, in bytes. It has to hold a document of the largest size; a longer frame is
/// refused, which bounds the memory that a peer can claim.
pub const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size of a frame's head, in bytes: the length of the body and the sender.
pub const FRAME_HEAD_BYTES: usize = 8;
/// A body longer than this is compressed, in bytes; compression saves too little on a shorter one.
const MIN_PACKED_BYTES: usize = 512;
/// The bit that is set in the length of a frame whose body is compressed.
const PACKED_FLAG: u32 = 1 << 31;

/// Identifies a VM by its IPv4 address.
pub type VmId = u32;

/// The address of a VM.
pub fn vm_address(id: VmId) -> Ipv4Addr {
    Ipv4Addr::from(id)
}

/// An operator's order, as the VM that received it forwards it to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetOrder {
    /// Evacuates a zone or returns it to service.
    Zone(ZoneOrder),
    /// Moves a service's traffic to another version.
    Rollout(RolloutRequest),
    /// Rolls back a roll-out that is in progress.
    RollBack {
        /// The service's name.
        service: String,
        /// The number of its order.
        number: u64,
    },
}

/// An operator's request for a roll-out. The leader adds the order's number and the number of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRequest {
    /// The service's name.
    pub service: String,
    /// The name of the version that the traffic moves to.
    pub target: String,
    /// How long the roll-out may take, in milliseconds.
    pub duration_ms: u64,
    /// The number of the service's last order as known to the VM that received the request. A
    /// request sent while another one was accepted has an outdated number and changes nothing.
    pub last_number: u64,
}

/// The outcome of an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderEnd {
    /// The order is committed.
    Taken,
    /// The order is not known to be committed; it may be sent again.
    #[default]
    NotTaken,
    /// The order can't be accepted while another one is in progress.
    UnderWay,
}

/// The leader's answer to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderVerdict {
    /// The outcome of the order.
    pub end: OrderEnd,
    /// The last orders of zones, as held by the answering VM.
    pub zones: ZoneOrders,
    /// The last roll-outs, as held by the answering VM.
    pub rollouts: RolloutTable,
}

/// A message that is sent in a frame over a TCP link.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VmMessage {
    /// A Raft message between keepers.
    Raft(RaftMessage),
    /// Asks the leader to replicate a document.
    Put {
        /// The sender's number for the request.
        number: u64,
        /// The document as the operator sent it.
        document: PackedText,
        /// Its version.
        version: u64,
    },
    /// Answers [`VmMessage::Put`].
    PutReply {
        /// The number of the request.
        number: u64,
        /// Whether a document of this version or a higher one is committed; `false` also when that
        /// is unknown.
        committed: bool,
    },
    /// Asks the leader to commit an operator's order.
    Order {
        /// The sender's number for the request.
        number: u64,
        /// The order.
        order: FleetOrder,
    },
    /// Answers [`VmMessage::Order`].
    OrderReply {
        /// The number of the request.
        number: u64,
        /// The outcome of the order, and the orders that hold.
        verdict: OrderVerdict,
    },
    /// Asks a keeper for the newest document known to be committed.
    WantDocument,
    /// The newest document.
    Document {
        /// Its version.
        version: u64,
        /// The document as the operator sent it.
        document: PackedText,
    },
    /// The newest document, encoded as a difference from an earlier one.
    DocumentChange {
        /// The version of the earlier one.
        before: u64,
        /// The version of the newest document.
        version: u64,
        /// The difference.
        change: DocumentChange,
    },
    /// Asks for the list of upstreams once the receiver holds a newer revision of it.
    WantList {
        /// The revision that the sender holds.
        have: ListRevision,
    },
    /// The changes of the list of upstreams.
    #[serde(rename = "ListStep")]
    ListDelta(ListDelta),
    /// The whole list of upstreams.
    List {
        /// The revision of the list.
        revision: ListRevision,
        /// The rows.
        rows: Vec<UpstreamEntry>,
    },
}

impl VmMessage {
    /// The name of the message's kind in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            VmMessage::Raft(_) => "raft",
            VmMessage::Put { .. } | VmMessage::PutReply { .. } => "put",
            VmMessage::Order { .. } | VmMessage::OrderReply { .. } => "order",
            VmMessage::WantDocument => "want_document",
            VmMessage::Document { .. } => "document",
            VmMessage::DocumentChange { .. } => "document_change",
            VmMessage::WantList { .. } => "want_list",
            VmMessage::ListDelta(_) => "list_step",
            VmMessage::List { .. } => "list",
        }
    }
}

/// A message that is sent as a datagram.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum VmDatagram {
    /// Renews the sender's contact with the leader, a few times per second.
    Renew(RenewalNote),
    /// The leader's answer to a renewal.
    Grant(GrantNote),
    /// The answer of a VM that isn't the leader.
    #[serde(rename = "Elsewhere")]
    Redirect {
        /// The leader, if the sender has contact with one.
        leader: Option<VmId>,
        /// The keepers known to the sender.
        keepers: Vec<VmId>,
        /// The number of VMs known to the sender, from which the receiver computes a request rate
        /// that is sustainable when all of them send requests.
        vms: u32,
    },
    /// Announces a new leader to all VMs known to it.
    Leads {
        /// The leader's term.
        term: u64,
    },
    /// The leader publishes the unresponsive upstreams; see `silence`.
    #[serde(rename = "Dark")]
    Unresponsive {
        /// The leader's term.
        term: u64,
        /// All unresponsive upstreams.
        upstreams: Vec<UpstreamKey>,
    },
    /// The leader publishes that a roll-out began or advanced by a step.
    Rollouts {
        /// The leader's term.
        term: u64,
        /// The last roll-outs of all services.
        table: RolloutTable,
    },
    /// The leader publishes the requests that are quarantined or watched.
    Quarantine {
        /// The leader's term.
        term: u64,
        /// All records of the quarantine.
        table: QuarantineTable,
    },
    /// Notes where streams began, for the receiver to keep copies of.
    #[serde(rename = "Origins")]
    StreamOrigins(Vec<OriginNote>),
    /// Asks where a stream began.
    FindOrigin(OriginQuestion),
    /// Answers [`VmDatagram::FindOrigin`].
    OriginReply(OriginReply),
    /// Asks any VM for state that is newer than the sender's.
    #[serde(rename = "AskNews")]
    RequestUpdate(UpdateRequest),
    /// Answers [`VmDatagram::RequestUpdate`], at once or when newer state is available.
    #[serde(rename = "PeerNews")]
    PeerUpdate(PeerState),
    /// Tells that upstreams that are recorded as crashed answered since.
    Answered(Vec<UpstreamKey>),
}

impl VmDatagram {
    /// The name of the datagram's kind in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            VmDatagram::Renew(_) => "renewal",
            VmDatagram::Grant(_) => "grant",
            VmDatagram::Redirect { .. } => "redirect",
            VmDatagram::Leads { .. } => "leadership",
            VmDatagram::Unresponsive { .. } => "dark",
            VmDatagram::Rollouts { .. } => "rollouts",
            VmDatagram::Quarantine { .. } => "quarantine",
            VmDatagram::StreamOrigins(_) => "stream_origins",
            VmDatagram::FindOrigin(_) | VmDatagram::OriginReply(_) => "origin_query",
            VmDatagram::RequestUpdate(_) | VmDatagram::PeerUpdate(_) => "peer_news",
            VmDatagram::Answered(_) => "answered",
        }
    }
}

/// Where one stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNote {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: StreamOrigin,
}

/// Asks where a stream began, of a VM that may keep a note of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuestion {
    /// The sender's number for the question.
    pub number: u64,
    /// The stream; `None` if its caller doesn't name it.
    pub stream: Option<StreamKey>,
    /// The services that its route leads to.
    pub services: Vec<ServiceKey>,
}

/// Answers an [`OriginQuestion`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The number of the question.
    pub number: u64,
    /// Where the stream began; `None` if the sender has no note of it.
    pub origin: Option<StreamOrigin>,
    /// Whether one of the services had several versions lately, by the sender's list.
    pub several: bool,
}

/// What a VM sends to other VMs when its state has not been confirmed for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpdateRequest {
    /// The time of the sender's steady clock, which the answer echoes.
    pub sent_ms: u64,
    /// The revision of the list of upstreams that the sender holds.
    pub list: ListRevision,
    /// How long ago that revision was last confirmed to be the platform's, in milliseconds;
    /// `u32::MAX` when unknown.
    pub list_age_ms: u32,
    /// How long ago the sender's configuration was last confirmed to be the newest, in
    /// milliseconds; `u32::MAX` when unknown.
    pub version_age_ms: u32,
}

/// The state of a VM at the time it received the request that it answers. Its ages are as of that
/// time, so that the receiver subtracts them from the time at which it sent the request to obtain
/// the time of confirmation on its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerState {
    /// The time in the request.
    pub sent_ms: u64,
    /// The revision of the list of upstreams that the sender holds.
    pub list: ListRevision,
    /// How long ago that revision was last confirmed to be the platform's, in milliseconds;
    /// `u32::MAX` when unknown.
    pub list_age_ms: u32,
    /// The current version of the configuration.
    pub version: u64,
    /// How long ago that version was last confirmed to be the newest, in milliseconds; `u32::MAX`
    /// when unknown.
    pub version_age_ms: u32,
}

/// The report that a VM sends to the leader with each renewal.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RenewalNote {
    /// The time of the sender's steady clock, which the answer echoes.
    pub sent_ms: u64,
    /// The sender's row of the roster.
    pub row: RosterRow,
    /// The incarnation of the sender's keeper disk, if it is a keeper.
    pub keeper: Option<Incarnation>,
    /// The requests that the sender has in flight, by upstream.
    pub loads: Vec<UpstreamLoad>,
    /// The revision of the roster that the sender holds.
    pub roster: RosterRevision,
    /// The revision of the list of upstreams that the sender holds.
    pub list: ListRevision,
    /// Shared prompt parts that the sender sent to another engine than rendezvous order gives.
    pub holders: Vec<HolderNote>,
    /// The position up to which the sender has received such notes of other VMs.
    pub holders_received: HolderPosition,
    /// The results of the sender's requests to upstreams.
    pub health_reports: Vec<HealthReport>,
    /// The number of zone orders that the sender has.
    pub zone_orders: u64,
    /// Upstreams that the sender could not reach.
    pub unreachable: Vec<UpstreamKey>,
    /// Identifies the set of unresponsive upstreams that the sender received last; see `silence`.
    pub unresponsive: UnresponsiveRevision,
    /// The number of roll-out changes that the sender has.
    pub rollout_changes: u64,
    /// The incarnation of the sender's process.
    pub incarnation: u64,
    /// The sender's observations of roll-outs in progress.
    pub rollouts: Vec<RolloutReport>,
    /// The number of quarantine changes that the sender has.
    pub quarantine_changes: u64,
    /// Upstreams that ended while they ran a request.
    pub crashes: CrashReport,
}

/// The leader's answer to a renewal, sent only while its leadership is confirmed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GrantNote {
    /// The time in the renewal.
    pub sent_ms: u64,
    /// The leader's term.
    pub term: u64,
    /// The newest committed version; 0 for none.
    pub version: u64,
    /// The revision of the list of upstreams.
    pub list: ListRevision,
    /// How long ago the leader read that revision or confirmed that it still is the platform's, in
    /// milliseconds.
    pub list_age_ms: u32,
    /// The keepers.
    pub keepers: Vec<VmId>,
    /// The update of the roster. A leader sends it once it has led long enough to have received a
    /// renewal from every VM, and before that only to VMs that have no roster.
    pub roster: RosterUpdate,
    /// The requests that all VMs together have in flight, by upstream.
    pub loads: LoadUpdate,
    /// Notes of other VMs on the engines that hold shared prompt parts.
    pub holders: Vec<HolderNote>,
    /// The position in these notes that the receiver has reached with this answer.
    pub holders_received: HolderPosition,
    /// Upstreams that fail for all VMs that send to them.
    pub failing: Vec<UpstreamKey>,
    /// The last orders of zones, or `None` if the renewal reported as many.
    pub zones: Option<ZoneOrders>,
    /// The unresponsive upstreams, or `None` if the renewal named the same set.
    pub unresponsive: Option<Vec<UpstreamKey>>,
    /// The last roll-outs, or `None` if the renewal reported as many changes.
    pub rollouts: Option<RolloutTable>,
    /// The records of requests that end upstreams, or `None` if the renewal reported as many
    /// changes.
    pub quarantine: Option<QuarantineTable>,
    /// The number of the last crash in the renewal that is answered.
    pub last_crash: u64,
}

/// Encodes a message or datagram.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    rmp_serde::to_vec(value).expect("plain data always encodes")
}

/// Decodes a message or datagram.
pub fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    rmp_serde::from_slice(bytes).map_err(|error| error.to_string())
}

/// The decoded head of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHead {
    /// The size of the body, in bytes.
    pub length: usize,
    /// Whether the body is compressed.
    pub packed: bool,
    /// The sender.
    pub from: VmId,
}

/// Encodes a frame: length, sender and message. The message is compressed where that makes it
/// shorter.
pub fn encode_frame(from: VmId, message: &VmMessage) -> Bytes {
    let plain = encode(message);
    let packed = (plain.len() > MIN_PACKED_BYTES).then(|| PackedText::pack(&plain).into_bytes());
    let packed = packed.filter(|packed| packed.len() < plain.len());
    let length_word = if packed.is_some() { PACKED_FLAG } else { 0 };
    let body = packed.unwrap_or(plain);
    let mut frame = Vec::with_capacity(body.len() + FRAME_HEAD_BYTES);
    frame.extend_from_slice(&(body.len() as u32 | length_word).to_le_bytes());
    frame.extend_from_slice(&from.to_le_bytes());
    frame.extend_from_slice(&body);
    frame.into()
}

/// Decodes a frame's head; returns an error if the length is out of bounds.
pub fn decode_frame_head(head: [u8; FRAME_HEAD_BYTES]) -> Result<FrameHead, String> {
    let length_word = u32::from_le_bytes([head[0], head[1], head[2], head[3]]);
    let from = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    let (length, packed) = ((length_word & !PACKED_FLAG) as usize, length_word & PACKED_FLAG != 0);
    match length <= MAX_FRAME_BYTES {
        true => Ok(FrameHead { length, packed, from }),
        false => Err(format!("a frame of {length} bytes is too long")),
    }
}

/// Decodes a frame's body, decompressing it if necessary.
pub fn decode_frame_body(head: FrameHead, body: Vec<u8>) -> Result<VmMessage, String> {
    match head.packed {
        false => decode(&body),
        true => {
            let plain = PackedText::from_bytes(body).unpack().map_err(|error| error.to_string())?;
            decode(&plain)
        }
    }
}
