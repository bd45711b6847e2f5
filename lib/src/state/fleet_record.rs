//! The keepers' state machine: the newest document, byte for byte as it was sent, the last order of
//! each availability zone, the last roll-out of each service, requests that end upstreams, and the
//! assignment of ring slots.
//!
//! The highest version holds. A document whose version is not above the current one changes
//! nothing, so that a change that arrives twice or late has no effect. Orders of zones and
//! roll-outs are numbered for the same reason; see [`ZoneOrders`] and [`RolloutTable`]. Ring slots
//! are recorded as a whole with each change, so that the last record holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::UpstreamKey;
use super::packed_text::PackedText;
use super::quarantine::{QuarantineCommand, QuarantineTable};
use super::rollout_order::{RolloutCommand, RolloutTable};
use super::zone_order::{ZoneOrder, ZoneOrders};

/// The incarnation that holds, or last held, a ring slot, which is a position in the rendezvous
/// order of engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RingSlotRow {
    /// The ring slot.
    pub ring_slot: u64,
    /// The service that the slot belongs to.
    pub service: String,
    /// The address on which the holder listens.
    pub address: SocketAddr,
    /// The incarnation that holds the slot.
    pub holder: UpstreamKey,
}

/// A document and its version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedDocument {
    /// The version; 0 if there is no document.
    pub version: u64,
    /// The compressed document.
    pub text: PackedText,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Replaces the document if this one is newer.
    Document(VersionedDocument),
    /// Replaces the ring slots.
    #[serde(rename = "Seats")]
    RingSlots(Vec<RingSlotRow>),
    /// Evacuates a zone or returns it to service.
    Zone(ZoneOrder),
    /// Begins a roll-out or advances it by a step.
    Rollout(RolloutCommand),
    /// Changes the records of requests that end upstreams.
    Quarantine(QuarantineCommand),
}

/// The effect of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The document was replaced.
    Document,
    /// A roll-out began or advanced by a step.
    Rollout,
    /// The records of requests that end upstreams changed.
    Quarantine,
    /// Something else changed, or the command set what was already set.
    Other,
    /// The command changed nothing, since another command with its number was applied first.
    Overtaken,
}

impl FleetCommand {
    /// The command, encoded for the log.
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("plain data always encodes")
    }
}

/// The replicated state of the keepers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRecord {
    /// The newest document.
    pub document: VersionedDocument,
    /// The ring slots.
    pub ring_slots: Vec<RingSlotRow>,
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
    /// Applies a command. Returns an error, which the caller logs, if the bytes can't be decoded.
    pub fn apply(&mut self, command: &[u8]) -> Result<RecordChange, String> {
        let command = rmp_serde::from_slice(command).map_err(|error| error.to_string())?;
        match command {
            FleetCommand::Document(document) => Ok(match self.take_document(document) {
                true => RecordChange::Document,
                false => RecordChange::Other,
            }),
            FleetCommand::RingSlots(ring_slots) => {
                self.ring_slots = ring_slots;
                Ok(RecordChange::Other)
            }
            FleetCommand::Zone(order) => Ok(match self.zones.apply(order) {
                true => RecordChange::Other,
                false => RecordChange::Overtaken,
            }),
            FleetCommand::Rollout(command) => Ok(match self.rollouts.apply(command) {
                true => RecordChange::Rollout,
                false => RecordChange::Overtaken,
            }),
            FleetCommand::Quarantine(command) => Ok(match self.quarantine.apply(command) {
                true => RecordChange::Quarantine,
                false => RecordChange::Other,
            }),
        }
    }

    /// The state, encoded for a snapshot.
    pub fn image(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("plain data always encodes")
    }

    /// Takes over the state of a snapshot; returns whether the document changed. A document is
    /// never replaced by an older one.
    pub fn restore(&mut self, image: &[u8]) -> Result<bool, String> {
        let record: FleetRecord =
            rmp_serde::from_slice(image).map_err(|error| error.to_string())?;
        self.ring_slots = record.ring_slots;
        self.zones.take_later(record.zones);
        self.rollouts.take_later(record.rollouts);
        self.quarantine.take_later(record.quarantine);
        Ok(self.take_document(record.document))
    }

    fn take_document(&mut self, document: VersionedDocument) -> bool {
        let newer = document.version > self.document.version;
        if newer {
            self.document = document;
        }
        newer
    }
}
