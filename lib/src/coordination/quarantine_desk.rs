//! What one VM holds of requests that end upstreams: what it refuses, what it reports, and what it
//! counts while it leads. See `docs/design/quarantine.md`.
//!
//! It knows no sockets: it takes events with the present time, and returns what to report or propose.

use super::crash_outbox::{CrashOutbox, CrashReport, SeenCrash};
use super::crash_table::CrashTable;
use crate::state::ids::RequestFingerprint;
use crate::state::quarantine::{QuarantineCommand, QuarantineTable};

/// See the module.
#[derive(Clone, Debug, Default)]
pub struct QuarantineDesk {
    published: QuarantineTable,
    outbox: CrashOutbox,
    table: CrashTable,
    /// When the leader was last, or will next be, notified before the usual time.
    renewal_ms: u64,
}

impl QuarantineDesk {
    /// Whether any request is known, so that a request's mark is of use.
    pub fn knows_any(&self) -> bool {
        !self.published.rows().is_empty()
    }

    /// Whether a request is sent nowhere.
    pub fn is_held(&self, mark: RequestFingerprint) -> bool {
        self.published.is_quarantined(mark)
    }

    /// Whether VMs are to report how a request fares.
    pub fn is_watched(&self, mark: RequestFingerprint) -> bool {
        self.published.row(mark).is_some_and(|row| !row.quarantined)
    }

    /// How many requests are sent nowhere.
    pub fn held(&self) -> usize {
        self.published.quarantined_count()
    }

    /// How many changes this VM knows of.
    pub fn changes(&self) -> u64 {
        self.published.changes()
    }

    /// An upstream ended under a request; returns after how many milliseconds to notify the leader, so
    /// that it hears once in `pause_ms` at most; `None` when that is planned already.
    pub fn note_ended(&mut self, seen: SeenCrash, pause_ms: u64, now_ms: u64) -> Option<u64> {
        self.outbox.note_ended(seen, now_ms);
        self.plan_renewal(pause_ms, now_ms)
    }

    /// A request ran to its end and its upstream lives; reported where it is watched, as soon.
    pub fn note_well(
        &mut self,
        mark: RequestFingerprint,
        pause_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        if !self.is_watched(mark) {
            return None;
        }
        self.outbox.note_well(mark);
        self.plan_renewal(pause_ms, now_ms)
    }

    fn plan_renewal(&mut self, pause_ms: u64, now_ms: u64) -> Option<u64> {
        if self.renewal_ms > now_ms {
            return None;
        }
        self.renewal_ms = now_ms.max(self.renewal_ms + pause_ms);
        Some(self.renewal_ms - now_ms)
    }

    /// What the next renewal reports.
    pub fn take_report(&mut self, now_ms: u64) -> CrashReport {
        self.outbox.take(now_ms)
    }

    /// The leader of `term` answered a renewal with crashes up to this number.
    pub fn confirm(&mut self, term: u64, heard: u64) {
        self.outbox.confirm(term, heard);
    }

    /// Takes what a leader published; returns the requests newly held by it.
    pub fn take(&mut self, table: QuarantineTable) -> Vec<RequestFingerprint> {
        let before = self.published.clone();
        if !self.published.take_later(table) {
            return Vec::new();
        }
        let held =
            self.published.rows().iter().filter(|row| row.quarantined).map(|row| row.fingerprint);
        held.filter(|mark| !before.is_quarantined(*mark)).collect()
    }

    /// Takes what a VM reports, as the leader of `term`.
    pub fn hear(
        &mut self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.table.take(term, report, recorded, now_ms);
    }

    /// What is to be recorded now, as the leader of `term` over so many VMs.
    pub fn wanted(
        &mut self,
        term: u64,
        recorded: &QuarantineTable,
        vms: usize,
        now_ms: u64,
    ) -> Vec<QuarantineCommand> {
        self.table.wanted(term, recorded, vms, now_ms)
    }
}
