//! Requests that ended the upstreams that ran them, as the keepers hold them.
//!
//! Invariants: a row is set whole, so that the last command of the log holds and one that comes twice
//! changes nothing; times are none of its matters, since keepers' clocks differ: the leader counts them.
//! See `docs/design/quarantine.md`.

use serde::{Deserialize, Serialize};

use super::ids::{RequestMark, UpstreamKey};

/// Rows that are kept, 40 bytes each in what VMs receive; the oldest goes first, one that isn't held
/// before one that is.
pub const MOST_ROWS: usize = 128;

/// One request, and what it did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The request.
    pub mark: RequestMark,
    /// Upstreams that ended under it since it last ran well.
    pub ended: Vec<UpstreamKey>,
    /// Whether it is sent nowhere. It is watched otherwise: VMs report when it ran well.
    pub held: bool,
    /// How often it was held so far.
    pub times: u32,
}

/// A command of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineCommand {
    /// This is a request's row.
    Set(QuarantineRow),
    /// Nothing is known against a request any more.
    Clear(RequestMark),
}

/// All such requests.
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

    /// A request's row.
    pub fn row(&self, mark: RequestMark) -> Option<&QuarantineRow> {
        self.rows.iter().find(|row| row.mark == mark)
    }

    /// Whether a request is sent nowhere.
    pub fn is_held(&self, mark: RequestMark) -> bool {
        self.row(mark).is_some_and(|row| row.held)
    }

    /// How many requests are sent nowhere.
    pub fn held(&self) -> usize {
        self.rows.iter().filter(|row| row.held).count()
    }

    /// How many commands changed it: the later of two states has more.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes a command; false when it changes nothing.
    pub fn take(&mut self, command: QuarantineCommand) -> bool {
        let (mark, fresh) = match command {
            QuarantineCommand::Set(row) => (row.mark, Some(row)),
            QuarantineCommand::Clear(mark) => (mark, None),
        };
        if self.row(mark) == fresh.as_ref() {
            return false;
        }
        self.rows.retain(|row| row.mark != mark);
        self.rows.extend(fresh);
        if self.rows.len() > MOST_ROWS {
            let oldest = self.rows.iter().position(|row| !row.held).unwrap_or(0);
            self.rows.remove(oldest);
        }
        self.changes += 1;
        true
    }

    /// The table, for a reader that holds `known` changes; `None` when that is all.
    pub fn news(&self, known: u64) -> Option<QuarantineTable> {
        (self.changes != known).then(|| self.clone())
    }

    /// Takes a later state; false when this one is as late.
    pub fn take_later(&mut self, other: QuarantineTable) -> bool {
        let later = other.changes > self.changes;
        if later {
            *self = other;
        }
        later
    }
}
