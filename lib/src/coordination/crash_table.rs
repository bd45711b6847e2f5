//! The leader's detection of requests that crash the upstreams that run them, over all VMs.
//!
//! A crashing upstream takes down all its running requests, and one of those may be the cause. A
//! harmful request is found by repetition: each further upstream that runs it crashes too. So crashed
//! upstreams are counted per request, and a request that completes is cleared.
//!
//! Many callers may send the same request at once, and a failing rack may take down several upstreams
//! that run it. So a request is quarantined only if an upstream crashed under a send that was made
//! while the request was watched by all VMs, and no VM reported that it completed. A long stream that
//! many callers request may run on every upstream that crashes without being the cause. So each
//! crashed upstream is attributed to one request only: the one with the shortest mean run time at the
//! crashes, since a harmful request crashes its upstream soon.
//!
//! A part of a prompt may crash upstreams in requests of which no two are alike. So the parts before the last
//! are counted beside each request, as if the part were a request of its own.
//!
//! Invariants: a change is proposed until it is recorded; a new leader receives the reports from the
//! VMs again. See `docs/design/quarantine.md`.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_outbox::{CrashNote, CrashReport};
use super::vm_roster::overloaded_renew_ms;
use crate::state::ids::{RequestFingerprint, UpstreamKey};
use crate::state::quarantine::{QuarantineCommand, QuarantineRow, QuarantineTable, MAX_ROWS};

/// The number of crashed upstreams at which a request is quarantined. With 2, a request that ran twice
/// beside a harmful one and was sent again would be quarantined; each further crash costs everything
/// that runs on one more upstream.
pub const QUARANTINE_CRASHES: usize = 3;
/// The number of crashed upstreams at which a prompt part is quarantined. It is higher than that of a request,
/// because a part that many requests share is refused with all of them, and one more crash gives it the time to
/// complete elsewhere.
pub const PART_QUARANTINE_CRASHES: usize = 4;
/// The number of crashed upstreams from which a request is watched: every VM receives its fingerprint, and
/// reports when it completes.
const WATCH_CRASHES: usize = 2;
/// Added to the time that VMs need to report, in milliseconds, to form the wait before a request is
/// quarantined for the first time. Runs of the request that are about to complete can clear it then.
const SETTLE_MARGIN_MS: u64 = 100;
/// The maximum number of requests in quarantine. If more crash their upstreams, the fault lies with the
/// upstreams; further requests are sent as usual.
pub const MAX_QUARANTINED: usize = 16;
/// The duration of a request's first quarantine, in milliseconds. A harmful request crashes another
/// upstream after its release if its cause was not fixed; a harmless one is refused for this long.
pub const FIRST_QUARANTINE_MS: u64 = 600_000;
/// The factor by which each further quarantine of a request is longer. With it a request crashes at
/// most three more upstreams in 12 hours, and a fourth after 4 days.
const QUARANTINE_FACTOR: u64 = 8;
/// How many times the factor is applied at most, which bounds a quarantine to 28 days.
const MAX_FACTORS: u32 = 4;
/// How long a count, or a watched request, is kept without a further crash, in milliseconds.
pub const COUNT_KEEP_MS: u64 = 600_000;
/// The maximum number of requests that are counted, about 100 bytes each. A crashing upstream adds as
/// many as it ran.
const MAX_COUNTED: usize = 4096;
/// The time after which a proposed command that is not recorded yet is proposed again, in
/// milliseconds.
const PROPOSE_AGAIN_MS: u64 = 500;
/// The maximum number of commands that are proposed at once, about 60 bytes each.
const MAX_PROPOSED: usize = 16;

/// The crashes counted for one request.
#[derive(Clone, Debug, Default)]
struct CrashCount {
    /// The upstreams that crashed while they ran the request.
    ended: Vec<UpstreamKey>,
    /// The sum of the request's run times at the reported crashes, in milliseconds.
    ran_ms: u64,
    /// The number of crashes in `ran_ms`; `ended` may also hold recorded ones.
    reports: u64,
    last_ms: u64,
    /// Whether an upstream crashed under a send that was made while the request was watched.
    confirmed: bool,
    /// When enough upstreams had crashed, one of them under a watched send.
    proven_ms: Option<u64>,
    /// Whether the request completed since its last crash.
    completed: bool,
}

/// The leader's crash counts and its proposals to record them.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    term: u64,
    counts: BTreeMap<RequestFingerprint, CrashCount>,
    /// Since when this leader has had a recorded row in its state, by the request, whether it is quarantined,
    /// and how many times it was.
    rows_since_ms: BTreeMap<(RequestFingerprint, bool, u32), u64>,
    /// Upstreams that answered after they had been recorded as crashed, while a recorded row names them.
    answered: BTreeSet<UpstreamKey>,
    /// The last command proposed for each request, and when. A different command for the same request
    /// is proposed without delay.
    proposed: BTreeMap<RequestFingerprint, (QuarantineCommand, u64)>,
}

/// Returns how long to wait for reports that a request completed in a fleet of `vms` VMs, in
/// milliseconds.
pub fn settle_ms(vms: usize) -> u64 {
    overloaded_renew_ms(vms) + SETTLE_MARGIN_MS
}

/// Returns the duration of a request's `times`th quarantine, in milliseconds.
pub fn quarantine_ms(times: u32) -> u64 {
    FIRST_QUARANTINE_MS * QUARANTINE_FACTOR.pow(times.saturating_sub(1).min(MAX_FACTORS))
}

/// Returns the number of crashed upstreams at which a request or prompt part is quarantined.
fn quarantine_crashes(fingerprint: RequestFingerprint) -> usize {
    match fingerprint.is_part() {
        true => PART_QUARANTINE_CRASHES,
        false => QUARANTINE_CRASHES,
    }
}

impl CrashTable {
    /// Counts the crashes and completions that a VM reported to the leader of `term`. `recorded` is the
    /// replicated quarantine table.
    pub fn take(
        &mut self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.begin_term(term);
        for note in &report.ended {
            self.note_crash(note, recorded, now_ms);
        }
        for fingerprint in &report.completed {
            let watched = recorded.row(*fingerprint).is_some_and(|row| !row.quarantined);
            if let (true, Some(count)) = (watched, self.count(*fingerprint, recorded, now_ms)) {
                count.completed = true;
            }
        }
    }

    /// Takes back the crashes of upstreams that answered a request since, as VMs reported to the leader of
    /// `term`: their connections broke and new ones were refused for another reason.
    pub fn withdraw(&mut self, term: u64, answered: &[UpstreamKey]) {
        self.begin_term(term);
        self.counts.values_mut().for_each(|count| count.withdraw(answered));
        self.answered.extend(answered);
    }

    /// Clears the counts when a new term begins, since VMs report their crashes again to its leader.
    fn begin_term(&mut self, term: u64) {
        if term != self.term {
            *self = CrashTable { term, ..CrashTable::default() };
        }
    }

    /// Counts a crash, from zero if the request has completed since its last one.
    fn note_crash(&mut self, note: &CrashNote, recorded: &QuarantineTable, now_ms: u64) {
        let Some(count) = self.count(note.fingerprint, recorded, now_ms) else { return };
        if count.completed {
            *count = CrashCount::default();
        }
        count.confirmed |= note.watched;
        if !count.ended.contains(&note.upstream) {
            count.ended.push(note.upstream);
            count.ran_ms += note.ran_ms;
            count.reports += 1;
            count.last_ms = now_ms;
        }
        if count.confirmed && count.ended.len() >= quarantine_crashes(note.fingerprint) {
            count.proven_ms.get_or_insert(now_ms);
        }
    }

    /// Returns the count of a request, which starts with the recorded crashes. If too many
    /// requests are counted, a new count replaces the one whose last crash is the oldest.
    fn count(
        &mut self,
        fingerprint: RequestFingerprint,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) -> Option<&mut CrashCount> {
        if !self.counts.contains_key(&fingerprint) && self.counts.len() >= MAX_COUNTED {
            self.counts.retain(|_, count| count.last_ms + COUNT_KEEP_MS > now_ms);
            let oldest = self.counts.iter().min_by_key(|(_, count)| count.last_ms);
            let oldest = oldest.map(|(fingerprint, _)| *fingerprint);
            if self.counts.len() >= MAX_COUNTED {
                self.counts.remove(&oldest?);
            }
        }
        Some(self.counts.entry(fingerprint).or_insert_with(|| CrashCount {
            ended: recorded.row(fingerprint).map(|row| row.ended.clone()).unwrap_or_default(),
            last_ms: now_ms,
            ..CrashCount::default()
        }))
    }

    /// Returns the commands that the leader of `term` in a fleet of `vms` VMs should propose now.
    pub fn commands_to_propose(
        &mut self,
        term: u64,
        recorded: &QuarantineTable,
        vms: usize,
        now_ms: u64,
    ) -> Vec<QuarantineCommand> {
        self.begin_term(term);
        self.counts.retain(|_, count| count.last_ms + COUNT_KEEP_MS > now_ms);
        let settled_ms = now_ms.saturating_sub(settle_ms(vms));
        let at_fault = self.at_fault(recorded, settled_ms);
        let mut wanted: Vec<QuarantineCommand> = self
            .counts
            .iter()
            .filter_map(|(fingerprint, count)| {
                count.command(
                    *fingerprint,
                    recorded.row(*fingerprint),
                    at_fault.contains(fingerprint),
                )
            })
            .collect();
        let corrected = self.corrected(recorded);
        wanted.retain(|command| {
            corrected.iter().all(|other| command_fingerprint(other) != command_fingerprint(command))
        });
        self.drop_over_capacity(&mut wanted, recorded);
        wanted.splice(0..0, corrected);
        self.counts
            .retain(|fingerprint, count| !count.completed || recorded.row(*fingerprint).is_some());
        wanted.extend(self.expired(recorded, now_ms));
        self.proposed.retain(|_, (_, at_ms)| *at_ms + PROPOSE_AGAIN_MS > now_ms);
        let is_under_way = |command: &QuarantineCommand| {
            self.proposed
                .get(&command_fingerprint(command))
                .is_some_and(|(last, _)| last == command)
        };
        wanted.retain(|command| !is_under_way(command));
        wanted.truncate(MAX_PROPOSED);
        for command in &wanted {
            self.proposed.insert(command_fingerprint(command), (command.clone(), now_ms));
        }
        wanted
    }

    /// Returns the requests to which enough crashed upstreams are attributed and which are not
    /// quarantined yet.
    fn at_fault(
        &self,
        recorded: &QuarantineTable,
        settled_ms: u64,
    ) -> BTreeSet<RequestFingerprint> {
        let quarantined = recorded.rows().iter().filter(|row| row.quarantined);
        let counted =
            |row: &QuarantineRow| self.counts.get(&row.fingerprint).map(|count| &count.ended);
        let mut attributed: BTreeSet<UpstreamKey> = quarantined
            .flat_map(|row| row.ended.iter().chain(counted(row).into_iter().flatten()).copied())
            .collect();
        let suspect = |(fingerprint, count): &(&RequestFingerprint, &CrashCount)| match recorded
            .row(**fingerprint)
        {
            Some(row) if row.quarantined => false,
            // A request that was quarantined before is quarantined again without a further
            // wait, since its completions had enough time to be reported.
            Some(row) if row.times > 0 => count.proven_ms.is_some(),
            _ => count.proven_ms.is_some_and(|proven_ms| proven_ms <= settled_ms),
        };
        let mut suspects: Vec<_> = self.counts.iter().filter(suspect).collect();
        // A request that crashes its upstreams is named before the parts of its prompt.
        suspects.sort_by_key(|(fingerprint, count)| {
            (count.ran_ms / count.reports.max(1), fingerprint.is_part())
        });
        let mut at_fault = BTreeSet::new();
        for (fingerprint, count) in suspects {
            let unattributed =
                count.ended.iter().filter(|upstream| !attributed.contains(upstream)).count();
            if unattributed >= quarantine_crashes(*fingerprint) && !count.completed {
                attributed.extend(&count.ended);
                at_fault.insert(*fingerprint);
            }
        }
        at_fault
    }

    /// Returns commands that remove upstreams which answered since from the recorded rows. A request is released
    /// if too few crashes are left.
    fn corrected(&mut self, recorded: &QuarantineTable) -> Vec<QuarantineCommand> {
        let rows = recorded.rows();
        self.answered.retain(|key| rows.iter().any(|row| row.ended.contains(key)));
        let names_one =
            |row: &&QuarantineRow| row.ended.iter().any(|key| self.answered.contains(key));
        let counted = |row: &QuarantineRow| {
            self.counts.get(&row.fingerprint).map_or(&[][..], |count| &count.ended)
        };
        rows.iter().filter(names_one).map(|row| row.without(&self.answered, counted(row))).collect()
    }

    /// Drops commands that would quarantine too many requests, or that would evict a row which would
    /// then be proposed again.
    fn drop_over_capacity(&self, wanted: &mut Vec<QuarantineCommand>, recorded: &QuarantineTable) {
        let under_way = self.proposed.iter().filter(|(fingerprint, (command, _))| {
            is_quarantine(command)
                && !recorded.is_quarantined(**fingerprint)
                && !wanted.contains(command)
        });
        let mut holds =
            MAX_QUARANTINED.saturating_sub(recorded.quarantined_count() + under_way.count());
        let mut rows = MAX_ROWS.saturating_sub(recorded.rows().len());
        wanted.retain(|command| {
            let QuarantineCommand::Set(row) = command else { return true };
            let known = recorded.row(row.fingerprint).is_some();
            let capacity = if row.quarantined { &mut holds } else { &mut rows };
            let free = *capacity > 0;
            *capacity = capacity.saturating_sub(1);
            free || (known && !row.quarantined)
        });
    }

    /// Returns commands that release or remove rows whose time is over by this leader's clock. A new
    /// leader measures from when it first receives a row, so a change of leaders may extend a quarantine
    /// but never shortens it.
    fn expired(&mut self, recorded: &QuarantineTable, now_ms: u64) -> Vec<QuarantineCommand> {
        let state = |row: &QuarantineRow| (row.fingerprint, row.quarantined, row.times);
        let rows = recorded.rows();
        self.rows_since_ms.retain(|known, _| rows.iter().any(|row| state(row) == *known));
        let mut expired = Vec::new();
        for row in rows {
            let since_ms = *self.rows_since_ms.entry(state(row)).or_insert(now_ms);
            let keep_ms = match row.quarantined {
                true => quarantine_ms(row.times),
                // A request that was quarantined stays watched for as long again.
                false => COUNT_KEEP_MS.max(quarantine_ms(row.times) * u64::from(row.times.min(1))),
            };
            if now_ms < since_ms + keep_ms {
                continue;
            }
            self.counts.remove(&row.fingerprint);
            expired.push(match row.quarantined {
                true => QuarantineCommand::Set(row.released()),
                false => QuarantineCommand::Clear(row.fingerprint),
            });
        }
        expired
    }
}

impl CrashCount {
    /// Takes back the crashes of these upstreams.
    fn withdraw(&mut self, answered: &[UpstreamKey]) {
        for upstream in answered {
            if !self.ended.contains(upstream) {
                continue;
            }
            self.ended.retain(|other| other != upstream);
            self.ran_ms -= self.ran_ms / self.reports.max(1);
            self.reports = self.reports.saturating_sub(1);
            // Whether the watched send was one to this upstream isn't known.
            (self.confirmed, self.proven_ms) = (false, None);
        }
    }

    /// Returns the command that should record this count, if any.
    fn command(
        &self,
        fingerprint: RequestFingerprint,
        recorded: Option<&QuarantineRow>,
        at_fault: bool,
    ) -> Option<QuarantineCommand> {
        if recorded.is_some_and(|row| row.quarantined) {
            return None;
        }
        if self.completed {
            return recorded.map(|_| QuarantineCommand::Clear(fingerprint));
        }
        let times = recorded.map_or(0, |row| row.times);
        let row = |quarantined, times| {
            let crashes = quarantine_crashes(fingerprint);
            let ended = self.ended.iter().take(crashes).copied().collect();
            QuarantineCommand::Set(QuarantineRow { fingerprint, ended, quarantined, times })
        };
        if at_fault {
            return Some(row(true, times + 1));
        }
        let watch = recorded.is_none() && self.ended.len() >= WATCH_CRASHES;
        watch.then(|| row(false, times))
    }
}

impl QuarantineRow {
    /// Returns the command that removes the upstreams in `answered` from the row. `counted` are the crashes that
    /// the leader has counted, of which the row may hold a part.
    fn without(
        &self,
        answered: &BTreeSet<UpstreamKey>,
        counted: &[UpstreamKey],
    ) -> QuarantineCommand {
        let mut ended: Vec<UpstreamKey> = Vec::new();
        for upstream in self.ended.iter().chain(counted) {
            if !answered.contains(upstream) && !ended.contains(upstream) {
                ended.push(*upstream);
            }
        }
        let crashes = quarantine_crashes(self.fingerprint);
        let quarantined = self.quarantined && ended.len() >= crashes;
        let times = self.times - u32::from(self.quarantined && !quarantined);
        if !quarantined && times == 0 && ended.len() < WATCH_CRASHES {
            return QuarantineCommand::Clear(self.fingerprint);
        }
        ended.truncate(crashes);
        QuarantineCommand::Set(QuarantineRow { ended, quarantined, times, ..self.clone() })
    }

    /// Returns the row after the end of its quarantine. It keeps the number of crashes at which one more starts
    /// the next quarantine.
    fn released(&self) -> QuarantineRow {
        let crashes = quarantine_crashes(self.fingerprint) - 1;
        let ended = self.ended.iter().take(crashes).copied().collect();
        QuarantineRow { ended, quarantined: false, ..self.clone() }
    }
}

/// Returns whether a command puts a request into quarantine.
fn is_quarantine(command: &QuarantineCommand) -> bool {
    matches!(command, QuarantineCommand::Set(row) if row.quarantined)
}

/// Returns the fingerprint of the request that a command is about.
fn command_fingerprint(command: &QuarantineCommand) -> RequestFingerprint {
    match command {
        QuarantineCommand::Set(row) => row.fingerprint,
        QuarantineCommand::Clear(fingerprint) => *fingerprint,
    }
}
