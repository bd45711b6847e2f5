//! Which requests end the upstreams that run them, as the leader counts over all VMs.
//!
//! An upstream that ends takes everything with it that it ran, and one request of those may be the
//! cause. It gives itself away by coming again: another upstream ends under it, and another. So upstreams
//! are counted by request; a request that runs well is cleared. Many callers may ask for one thing at
//! once, and a rack may take several upstreams with it that ran it: so a request is held only when an
//! upstream ended under a send that was made after all VMs were to watch how the request fares, and
//! none has reported that it ran well. Long streams that many ask for run on each upstream that ends, and end
//! with none of them: so an upstream is charged to one request only, to the one that had run for less time
//! in the mean when upstreams ended, since what ends them does so soon. Invariants: what is to be recorded
//! is proposed until it is; what a new leader doesn't know VMs report again. See
//! `docs/design/quarantine.md`.

use std::collections::{BTreeMap, BTreeSet};

use super::crash_outbox::{CrashNote, CrashReport};
use super::vm_roster::overloaded_renew_ms;
use crate::state::ids::{RequestFingerprint, UpstreamKey};
use crate::state::quarantine::{QuarantineCommand, QuarantineRow, QuarantineTable, MAX_ROWS};

/// So many upstreams that ended under a request hold it. With 2, a request that was caught twice beside
/// another one, and came again, would be held; each further one costs all that runs on one more upstream.
pub const MOST_ENDED: usize = 3;
/// From so many on a request is watched: all VMs know it, and report when it runs well.
const WATCHED_ENDED: usize = 2;
/// What VMs saw run well is waited for before a request is held for the first time: as long as they
/// need to report it, and this much more, in milliseconds, for runs that are about to end.
const SETTLE_MORE_MS: u64 = 100;
/// More requests than this at once are not at fault: the upstreams are. The rest is sent on.
pub const MOST_HELD: usize = 16;
/// How long a request is held first, in milliseconds. One that nothing has changed for ends another
/// upstream when it is let go; one that was held wrongly is refused for as long.
pub const FIRST_HELD_MS: u64 = 600_000;
/// So much longer each further time: at most three upstreams more end in 12 hours, a fourth after 4 days.
const HELD_FACTOR: u64 = 8;
/// The most times that this counts, so that the time has an end (28 days).
const MOST_FACTORS: u32 = 4;
/// A count, or a watched request, is forgotten after this long without news, in milliseconds.
pub const COUNT_KEEP_MS: u64 = 600_000;
/// Requests that are counted, some 100 bytes each. An upstream that ends brings as many as it ran.
const MOST_COUNTED: usize = 4096;
/// What was proposed and isn't recorded is proposed again after this long, in milliseconds.
const PROPOSE_AGAIN_MS: u64 = 500;
/// Commands that are proposed at once, some 60 bytes each.
const MOST_PROPOSED: usize = 16;

#[derive(Clone, Debug, Default)]
struct CrashCount {
    ended: Vec<UpstreamKey>,
    /// How long it had run on those, in milliseconds, summed over the ones that VMs reported.
    ran_ms: u64,
    reports: u64,
    last_ms: u64,
    /// Whether one of them ended under a send that was made when the request was watched.
    confirmed: bool,
    /// Since when it is known to be at fault, unless it ran well meanwhile.
    proven_ms: Option<u64>,
    well: bool,
}

/// What a leader counts.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    term: u64,
    counts: BTreeMap<RequestFingerprint, CrashCount>,
    /// Since when this leader knows of a row in this state, by how often it was held.
    rows_since_ms: BTreeMap<(RequestFingerprint, bool, u32), u64>,
    /// What was proposed last for a request, and when: the next one of another kind doesn't wait.
    proposed: BTreeMap<RequestFingerprint, (QuarantineCommand, u64)>,
}

/// How long it is waited for what `vms` VMs saw run well, in milliseconds.
pub fn settle_ms(vms: usize) -> u64 {
    overloaded_renew_ms(vms) + SETTLE_MORE_MS
}

/// How long a request is held that is held for the `times`th time, in milliseconds.
pub fn held_ms(times: u32) -> u64 {
    FIRST_HELD_MS * HELD_FACTOR.pow(times.saturating_sub(1).min(MOST_FACTORS))
}

impl CrashTable {
    /// Takes what a VM reported to the leader of `term`; `recorded` is what is recorded.
    pub fn take(
        &mut self,
        term: u64,
        report: &CrashReport,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) {
        self.begin_term(term);
        for note in &report.ended {
            self.note_ended(note, recorded, now_ms);
        }
        for mark in &report.well {
            let watched = recorded.row(*mark).is_some_and(|row| !row.quarantined);
            if let (true, Some(count)) = (watched, self.count(*mark, recorded, now_ms)) {
                count.well = true;
            }
        }
    }

    /// What another leader counted VMs report again.
    fn begin_term(&mut self, term: u64) {
        if term != self.term {
            *self = CrashTable { term, ..CrashTable::default() };
        }
    }

    fn note_ended(&mut self, note: &CrashNote, recorded: &QuarantineTable, now_ms: u64) {
        let Some(count) = self.count(note.mark, recorded, now_ms) else { return };
        if count.well {
            *count = CrashCount::default();
        }
        count.confirmed |= note.watched;
        if !count.ended.contains(&note.upstream) {
            count.ended.push(note.upstream);
            count.ran_ms += note.ran_ms;
            count.reports += 1;
            count.last_ms = now_ms;
        }
        if count.confirmed && count.ended.len() >= MOST_ENDED {
            count.proven_ms.get_or_insert(now_ms);
        }
    }

    /// What is counted of a request, from what is recorded on; `None` when too many are counted.
    fn count(
        &mut self,
        mark: RequestFingerprint,
        recorded: &QuarantineTable,
        now_ms: u64,
    ) -> Option<&mut CrashCount> {
        if !self.counts.contains_key(&mark) && self.counts.len() >= MOST_COUNTED {
            self.counts.retain(|_, count| count.last_ms + COUNT_KEEP_MS > now_ms);
            let oldest = self.counts.iter().min_by_key(|(_, count)| count.last_ms);
            let oldest = oldest.map(|(mark, _)| *mark);
            if self.counts.len() >= MOST_COUNTED {
                self.counts.remove(&oldest?);
            }
        }
        Some(self.counts.entry(mark).or_insert_with(|| CrashCount {
            ended: recorded.row(mark).map(|row| row.ended.clone()).unwrap_or_default(),
            last_ms: now_ms,
            ..CrashCount::default()
        }))
    }

    /// What is to be recorded now, as the leader of `term` over so many VMs.
    pub fn wanted(
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
            .filter_map(|(mark, count)| {
                count.wants(*mark, recorded.row(*mark), at_fault.contains(mark))
            })
            .collect();
        self.keep_to_room(&mut wanted, recorded);
        self.counts.retain(|mark, count| !count.well || recorded.row(*mark).is_some());
        wanted.extend(self.lapsed(recorded, now_ms));
        self.proposed.retain(|_, (_, at_ms)| *at_ms + PROPOSE_AGAIN_MS > now_ms);
        let is_under_way = |command: &QuarantineCommand| {
            self.proposed.get(&marked(command)).is_some_and(|(last, _)| last == command)
        };
        wanted.retain(|command| !is_under_way(command));
        wanted.truncate(MOST_PROPOSED);
        for command in &wanted {
            self.proposed.insert(marked(command), (command.clone(), now_ms));
        }
        wanted
    }

    /// The requests that enough upstreams are charged to, and that are not held yet.
    fn at_fault(
        &self,
        recorded: &QuarantineTable,
        settled_ms: u64,
    ) -> BTreeSet<RequestFingerprint> {
        let held = recorded.rows().iter().filter(|row| row.quarantined);
        let counted =
            |row: &QuarantineRow| self.counts.get(&row.fingerprint).map(|count| &count.ended);
        let mut charged: BTreeSet<UpstreamKey> = held
            .flat_map(|row| row.ended.iter().chain(counted(row).into_iter().flatten()).copied())
            .collect();
        let suspect =
            |(mark, count): &(&RequestFingerprint, &CrashCount)| match recorded.row(**mark) {
                Some(row) if row.quarantined => false,
                // One that was held before has had all the time to run well.
                Some(row) if row.times > 0 => count.proven_ms.is_some(),
                _ => count.proven_ms.is_some_and(|proven_ms| proven_ms <= settled_ms),
            };
        let mut suspects: Vec<_> = self.counts.iter().filter(suspect).collect();
        suspects.sort_by_key(|(_, count)| count.ran_ms / count.reports.max(1));
        let mut at_fault = BTreeSet::new();
        for (mark, count) in suspects {
            let own = count.ended.iter().filter(|upstream| !charged.contains(upstream)).count();
            if own >= MOST_ENDED && !count.well {
                charged.extend(&count.ended);
                at_fault.insert(*mark);
            }
        }
        at_fault
    }

    /// Drops what would hold too many requests, or push a row out that would be wanted again.
    fn keep_to_room(&self, wanted: &mut Vec<QuarantineCommand>, recorded: &QuarantineTable) {
        let under_way = self.proposed.iter().filter(|(mark, (command, _))| {
            is_hold(command) && !recorded.is_quarantined(**mark) && !wanted.contains(command)
        });
        let mut holds = MOST_HELD.saturating_sub(recorded.quarantined_count() + under_way.count());
        let mut rows = MAX_ROWS.saturating_sub(recorded.rows().len());
        wanted.retain(|command| {
            let QuarantineCommand::Set(row) = command else { return true };
            let known = recorded.row(row.fingerprint).is_some();
            let room = if row.quarantined { &mut holds } else { &mut rows };
            let free = *room > 0;
            *room = room.saturating_sub(1);
            free || (known && !row.quarantined)
        });
    }

    /// Rows that have stood for long enough, by this leader's own clock: a new one begins anew, so that
    /// a hold gets longer by a change of leaders and never shorter.
    fn lapsed(&mut self, recorded: &QuarantineTable, now_ms: u64) -> Vec<QuarantineCommand> {
        let state = |row: &QuarantineRow| (row.fingerprint, row.quarantined, row.times);
        let rows = recorded.rows();
        self.rows_since_ms.retain(|known, _| rows.iter().any(|row| state(row) == *known));
        let mut lapsed = Vec::new();
        for row in rows {
            let since_ms = *self.rows_since_ms.entry(state(row)).or_insert(now_ms);
            let keep_ms = match row.quarantined {
                true => held_ms(row.times),
                // One that was held is remembered for as long again.
                false => COUNT_KEEP_MS.max(held_ms(row.times) * u64::from(row.times.min(1))),
            };
            if now_ms < since_ms + keep_ms {
                continue;
            }
            self.counts.remove(&row.fingerprint);
            lapsed.push(match row.quarantined {
                true => QuarantineCommand::Set(row.let_go()),
                false => QuarantineCommand::Clear(row.fingerprint),
            });
        }
        lapsed
    }
}

impl CrashCount {
    fn wants(
        &self,
        mark: RequestFingerprint,
        recorded: Option<&QuarantineRow>,
        at_fault: bool,
    ) -> Option<QuarantineCommand> {
        if recorded.is_some_and(|row| row.quarantined) {
            return None;
        }
        if self.well {
            return recorded.map(|_| QuarantineCommand::Clear(mark));
        }
        let times = recorded.map_or(0, |row| row.times);
        let row = |held, times| {
            let ended = self.ended.iter().take(MOST_ENDED).copied().collect();
            QuarantineCommand::Set(QuarantineRow {
                fingerprint: mark,
                ended,
                quarantined: held,
                times,
            })
        };
        if at_fault {
            return Some(row(true, times + 1));
        }
        let watch = recorded.is_none() && self.ended.len() >= WATCHED_ENDED;
        watch.then(|| row(false, times))
    }
}

impl QuarantineRow {
    /// The row once it has been held for long enough: one more upstream holds it again.
    fn let_go(&self) -> QuarantineRow {
        let ended = self.ended.iter().take(WATCHED_ENDED).copied().collect();
        QuarantineRow { ended, quarantined: false, ..self.clone() }
    }
}

fn is_hold(command: &QuarantineCommand) -> bool {
    matches!(command, QuarantineCommand::Set(row) if row.quarantined)
}

fn marked(command: &QuarantineCommand) -> RequestFingerprint {
    match command {
        QuarantineCommand::Set(row) => row.fingerprint,
        QuarantineCommand::Clear(mark) => *mark,
    }
}
