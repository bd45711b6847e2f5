//! The keepers' state machine: the newest document, byte for byte as it was sent, the last
//! order of each availability zone, the last roll-out of each service, requests that end upstreams,
//! and who holds which seat.
//!
//! The highest version holds. A document whose version is not above the held one
//! changes nothing, so that a change which comes twice, or late, does no harm. Orders of zones
//! and roll-outs are numbered for the same reason; see [`ZoneOrders`] and [`RolloutTable`]. Seats
//! are recorded whole with each change, so that the last one recorded holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::UpstreamKey;
use super::packed_text::PackedText;
use super::quarantine::{QuarantineCommand, QuarantineTable};
use super::rollout_order::{RolloutCommand, RolloutTable};
use super::zone_order::{ZoneOrder, ZoneOrders};

/// Who holds, or last held, a seat: a place in the order of engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatRow {
    /// The seat.
    pub seat: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Where its holder listens.
    pub address: SocketAddr,
    /// The life that holds it.
    pub holder: UpstreamKey,
}

/// A document and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldDocument {
    /// The version; 0 for none.
    pub version: u64,
    /// The document, packed.
    pub text: PackedText,
}

/// What a command of the replicated log asks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Hold this document, if it is newer.
    Document(HeldDocument),
    /// These are the seats.
    Seats(Vec<SeatRow>),
    /// Empty a zone, or take it back.
    Zone(ZoneOrder),
    /// Begin a roll-out, or take it a step on.
    Rollout(RolloutCommand),
    /// What is known against a request.
    Quarantine(QuarantineCommand),
}

/// What a command changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The document is another.
    Document,
    /// A roll-out began or went a step on.
    Rollout,
    /// What is known against a request is something else.
    Quarantine,
    /// Something else, or nothing that wasn't so before.
    Other,
    /// The command changed nothing, since another one was taken first.
    Overtaken,
}

impl FleetCommand {
    /// The command as bytes of the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("plain data always encodes")
    }
}

/// Everything that the keepers hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// The newest document.
    pub document: HeldDocument,
    /// The seats.
    pub seats: Vec<SeatRow>,
    /// The last order of each zone.
    #[serde(default)]
    pub zones: ZoneOrders,
    /// The last roll-out of each service.
    #[serde(default)]
    pub rollouts: RolloutTable,
    /// Requests that end the upstreams that run them.
    #[serde(default)]
    pub quarantine: QuarantineTable,
}

impl FleetRecord {
    /// Applies a command. Bytes that are no command are an error, which the caller logs.
    pub fn apply(&mut self, command: &[u8]) -> Result<RecordChange, String> {
        let command = rmp_serde::from_slice(command).map_err(|error| error.to_string())?;
        match command {
            FleetCommand::Document(document) => Ok(match self.take_document(document) {
                true => RecordChange::Document,
                false => RecordChange::Other,
            }),
            FleetCommand::Seats(seats) => {
                self.seats = seats;
                Ok(RecordChange::Other)
            }
            FleetCommand::Zone(order) => Ok(match self.zones.take(order) {
                true => RecordChange::Other,
                false => RecordChange::Overtaken,
            }),
            FleetCommand::Rollout(command) => Ok(match self.rollouts.take(command) {
                true => RecordChange::Rollout,
                false => RecordChange::Overtaken,
            }),
            FleetCommand::Quarantine(command) => Ok(match self.quarantine.take(command) {
                true => RecordChange::Quarantine,
                false => RecordChange::Other,
            }),
        }
    }

    /// The image for a snapshot.
    pub fn image(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("plain data always encodes")
    }

    /// Takes the state of an image; true when the document changed. An image never takes a
    /// document back.
    pub fn restore(&mut self, image: &[u8]) -> Result<bool, String> {
        let record: FleetRecord =
            rmp_serde::from_slice(image).map_err(|error| error.to_string())?;
        self.seats = record.seats;
        self.zones.take_later(record.zones);
        self.rollouts.take_later(record.rollouts);
        self.quarantine.take_later(record.quarantine);
        Ok(self.take_document(record.document))
    }

    fn take_document(&mut self, document: HeldDocument) -> bool {
        let newer = document.version > self.document.version;
        if newer {
            self.document = document;
        }
        newer
    }
}
