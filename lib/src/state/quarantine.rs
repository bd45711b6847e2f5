//! Requests that ended the upstreams that ran them, as replicated by the keepers.
//!
//! Invariants: a row is always set as a whole, so that the last command of the log holds and a
//! repeated command changes nothing. The table has no times, since the clocks of keepers differ;
//! the leader keeps them. See `docs/design/quarantine.md`.

use serde::{Deserialize, Serialize};

use super::ids::{RequestFingerprint, UpstreamKey};

/// The most rows, which take 40 bytes each in what VMs receive. Beyond it the oldest row that is
/// not quarantined is removed, or the oldest of all if every row is.
pub const MAX_ROWS: usize = 128;

/// One request and the upstreams that it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Upstreams that ended while they ran the request, since it last completed.
    pub ended: Vec<UpstreamKey>,
    /// Whether the request is quarantined, that is, sent to no upstream. Otherwise it is watched:
    /// VMs report when it completes.
    pub quarantined: bool,
    /// How often the request has been quarantined.
    pub times: u32,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// Sets the row of a request.
    Set(QuarantineRow),
    /// Removes the row of a request.
    Clear(RequestFingerprint),
}

/// The rows of all quarantined and watched requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineTable {
    rows: Vec<QuarantineRow>,
    changes: u64,
}

impl QuarantineTable {
    /// The rows, the oldest first.
    pub fn rows(&self) -> &[QuarantineRow] {
        &self.rows
    }

    /// The row of a request, if there is one.
    pub fn row(&self, fingerprint: RequestFingerprint) -> Option<&QuarantineRow> {
        self.rows.iter().find(|row| row.fingerprint == fingerprint)
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.row(fingerprint).is_some_and(|row| row.quarantined)
    }

    /// The number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.rows.iter().filter(|row| row.quarantined).count()
    }

    /// The number of commands that changed the table. Of two states, the one with more changes is
    /// the later.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Applies a command; returns `false` if it changes nothing.
    pub fn apply(&mut self, command: QuarantineCommand) -> bool {
        let (fingerprint, new_row) = match command {
            QuarantineCommand::Set(row) => (row.fingerprint, Some(row)),
            QuarantineCommand::Clear(fingerprint) => (fingerprint, None),
        };
        if self.row(fingerprint) == new_row.as_ref() {
            return false;
        }
        self.rows.retain(|row| row.fingerprint != fingerprint);
        self.rows.extend(new_row);
        if self.rows.len() > MAX_ROWS {
            let oldest = self.rows.iter().position(|row| !row.quarantined).unwrap_or(0);
            self.rows.remove(oldest);
        }
        self.changes += 1;
        true
    }

    /// The table for a reader that has `known` changes; `None` if the reader is up to date.
    pub fn update_since(&self, known: u64) -> Option<QuarantineTable> {
        (self.changes != known).then(|| self.clone())
    }

    /// Replaces the table by a later state; returns `false` if `other` isn't later.
    pub fn take_later(&mut self, other: QuarantineTable) -> bool {
        let later = other.changes > self.changes;
        if later {
            *self = other;
        }
        later
    }
}
