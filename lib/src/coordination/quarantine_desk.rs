//! One VM's state of requests that crash upstreams: the published quarantine table, the reports to the
//! leader, and the counts while the VM leads. See `docs/design/quarantine.md`.
//!
//! It does no I/O: it takes events with the current time, and returns what to report or propose.

use std::collections::BTreeMap;

use super::crash_outbox::{CrashOutbox, CrashReport, ObservedCrash};
use super::crash_table::CrashTable;
use crate::state::ids::{RequestFingerprint, UpstreamKey};
use crate::state::quarantine::{QuarantineCommand, QuarantineTable};

/// How long after its answer an upstream must still be listed under the same key before its crashes are taken
/// back, in milliseconds. A process that was started again under the name of the one that crashed answers too,
/// and has another key once the list shows it.
pub const ANSWER_SETTLE_MS: u64 = 3000;

/// A VM's copy of the quarantine table, its reports, and its counts as the leader.
#[derive(Clone, Debug, Default)]
pub struct QuarantineState {
    published: QuarantineTable,
    outbox: CrashOutbox,
    table: CrashTable,
    /// For each upstream that the published table records as crashed: since when it does, and when the upstream
    /// first answered a request that was sent later.
    crashed: BTreeMap<UpstreamKey, (u64, Option<u64>)>,
    /// The time of the last or next renewal that is sent early to report a crash or a completion.
    renewal_ms: u64,
}

impl QuarantineState {
    /// Returns whether any request is quarantined or watched. If not, requests need no fingerprint.
    pub fn has_any(&self) -> bool {
        !self.published.rows().is_empty()
    }

    /// Returns whether a request is quarantined, that is, sent to no upstream.
    pub fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.published.is_quarantined(fingerprint)
    }

    /// Returns whether VMs should report the completion of a request.
    pub fn is_watched(&self, fingerprint: RequestFingerprint) -> bool {
        self.published.row(fingerprint).is_some_and(|row| !row.quarantined)
    }

    /// Returns the number of quarantined requests.
    pub fn quarantined_count(&self) -> usize {
        self.published.quarantined_count()
    }

    /// Returns the revision of the received table, as its number of changes.
    pub fn changes(&self) -> u64 {
        self.published.changes()
    }

    /// Notes that an upstream crashed while it ran a request. Returns after how many milliseconds to send
    /// the leader a renewal, so that at most one is sent early per `pause_ms`, or `None` if one is planned
    /// already.
    pub fn note_crash(
        &mut self,
        observed: ObservedCrash,
        pause_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        self.outbox.note_crash(observed, now_ms);
        self.plan_renewal(pause_ms, now_ms)
    }

    /// Notes that a request completed and its upstream still runs. If the request is watched, this is
    /// reported; the result is as for [`Self::note_crash`].
    pub fn note_completed(
        &mut self,
        fingerprint: RequestFingerprint,
        pause_ms: u64,
        now_ms: u64,
    ) -> Option<u64> {
        if !self.is_watched(fingerprint) {
            return None;
        }
        self.outbox.note_completed(fingerprint);
        self.plan_renewal(pause_ms, now_ms)
    }

    /// Plans an early renewal unless one is planned. Returns the milliseconds until it.
    fn plan_renewal(&mut self, pause_ms: u64, now_ms: u64) -> Option<u64> {
        if self.renewal_ms > now_ms {
            return None;
        }
        self.renewal_ms = now_ms.max(self.renewal_ms + pause_ms);
        Some(self.renewal_ms - now_ms)
    }

    /// Returns the report for the next renewal.
    pub fn take_report(&mut self, now_ms: u64) -> CrashReport {
        self.outbox.take(now_ms)
    }

    /// Notes that the leader of `term` confirmed the crashes up to number `number`.
    pub fn confirm(&mut self, term: u64, number: u64) {
        self.outbox.confirm(term, number);
    }

    /// Notes that an upstream answered a request that was sent at `sent_ms`.
    pub fn note_answered(&mut self, upstream: UpstreamKey, sent_ms: u64, now_ms: u64) {
        if let Some((since_ms, answered_ms)) = self.crashed.get_mut(&upstream) {
            if sent_ms > *since_ms {
                answered_ms.get_or_insert(now_ms);
            }
        }
    }

    /// Returns the upstreams that are recorded as crashed although they run. `is_listed` tells which ones the
    /// list still has under these keys.
    pub fn wrongly_crashed(
        &self,
        is_listed: impl Fn(UpstreamKey) -> bool,
        now_ms: u64,
    ) -> Vec<UpstreamKey> {
        let settled = |answered_ms: &u64| answered_ms + ANSWER_SETTLE_MS <= now_ms;
        let answered = self
            .crashed
            .iter()
            .filter(|(_, (_, at_ms))| at_ms.is_some_and(|at_ms| settled(&at_ms)));
        answered.map(|(key, _)| *key).filter(|key| is_listed(*key)).collect()
    }

    /// Takes the table that a leader published. Returns the requests that it newly quarantines.
    pub fn take(&mut self, table: QuarantineTable, now_ms: u64) -> Vec<RequestFingerprint> {
        let before = self.published.clone();
        if !self.published.take_later(table) {
            return Vec::new();
        }
        let recorded = self.published.rows().iter().flat_map(|row| row.ended.iter().copied());
        let known = std::mem::take(&mut self.crashed);
        let since = |key| (key, known.get(&key).copied().unwrap_or((now_ms, None)));
        self.crashed = recorded.map(since).collect();
        let quarantined =
            self.published.rows().iter().filter(|row| row.quarantined).map(|row| row.fingerprint);
        quarantined.filter(|fingerprint| !before.is_quarantined(*fingerprint)).collect()
    }

    /// Counts what a VM reports, as the leader of `term`.
    pub fn count_report(
        &mut self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.table.take(term, report, recorded, now_ms);
    }

    /// Takes back the crashes of upstreams that answered since, as the leader of `term`.
    pub fn withdraw(&mut self, term: u64, answered: &[UpstreamKey]) {
        self.table.withdraw(term, answered);
    }

    /// Drops this VM's reports of crashes of these upstreams, so that no later leader counts them.
    pub fn drop_reports(&mut self, answered: &[UpstreamKey]) {
        self.outbox.withdraw(answered);
    }

    /// Returns the commands that the leader of `term` in a fleet of `vms` VMs should propose now.
    pub fn commands_to_propose(
        &mut self,
        term: u64,
        recorded: &QuarantineTable,
        vms: usize,
        now_ms: u64,
    ) -> Vec<QuarantineCommand> {
        self.table.commands_to_propose(term, recorded, vms, now_ms)
    }
}
