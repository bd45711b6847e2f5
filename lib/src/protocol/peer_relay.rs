//! How a VM passes a caller's request to another VM: as the caller's own HTTP request, on a connection to the
//! peer port that begins with a preface in both directions.
//!
//! The preface can't be taken for a frame of [`super::vm_wire`], because as the head of one it would name a
//! body above the largest size. A VM that doesn't know it closes the connection before any request is sent.

use hyper::header::HeaderValue;

use super::vm_wire::FRAME_HEAD_BYTES;

/// The first bytes of a relay connection, which the accepting VM repeats.
pub const RELAY_PREFACE: [u8; FRAME_HEAD_BYTES] = *b"relay/1\n";
/// The header that carries a [`RelayNote`] in the request, and a [`RelayReply`] in the answer.
pub const RELAY_HEADER: &str = "wingshed-relay";

/// What the receiving VM must know of a request besides its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayNote {
    /// The version of the configuration that the sender has served by. The receiver must not route by an
    /// older one.
    pub version: u64,
    /// The number of upstreams to which the request was sent already.
    pub sent: u32,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

impl RelayNote {
    /// Writes the note as a header's value.
    pub fn to_value(self) -> HeaderValue {
        let text = format!("{} {} {}", self.version, self.sent, u8::from(self.may_have_run));
        HeaderValue::from_str(&text).expect("digits and blanks are valid in a header")
    }

    /// Reads the note from a header's value.
    pub fn from_value(value: &HeaderValue) -> Option<RelayNote> {
        let mut fields = value.to_str().ok()?.split(' ');
        let version = fields.next()?.parse().ok()?;
        let sent = fields.next()?.parse().ok()?;
        let may_have_run = fields.next()?.parse::<u8>().ok()? != 0;
        fields.next().is_none().then_some(RelayNote { version, sent, may_have_run })
    }
}

/// How the receiving VM treated the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayReply {
    /// It served the request, by this version of the configuration at the latest.
    Served(u64),
    /// It can't take requests of other VMs now, and has done nothing with this one.
    Declined,
}

const DECLINED: &str = "declined";

impl RelayReply {
    /// Writes the reply as a header's value.
    pub fn to_value(self) -> HeaderValue {
        match self {
            RelayReply::Served(version) => HeaderValue::from(version),
            RelayReply::Declined => HeaderValue::from_static(DECLINED),
        }
    }

    /// Reads the reply from a header's value.
    pub fn from_value(value: &HeaderValue) -> Option<RelayReply> {
        match value.to_str().ok()? {
            DECLINED => Some(RelayReply::Declined),
            version => version.parse().ok().map(RelayReply::Served),
        }
    }
}
