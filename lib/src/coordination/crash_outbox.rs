//! A VM's queue of reports to the leader about upstreams that crashed while they ran a request.
//!
//! Invariant: a crash is reported until the leader of the current term has confirmed it, and again to
//! the next leader, because datagrams may be lost, and a leader's counts are lost with it.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::{RequestFingerprint, UpstreamKey};

/// How long a crash is reported to new leaders, in milliseconds. This is shorter than any quarantine, so
/// that no crash is counted again after one.
pub const CRASH_KEEP_MS: u64 = 300_000;
/// The maximum number of crashes that a VM keeps, 40 bytes each. An engine with 64 slots adds at most 64
/// when it crashes.
const MAX_KEPT: usize = 256;
/// The maximum number of crashes in one renewal, 25 bytes each. The others follow with later renewals.
pub const CRASHES_PER_RENEWAL: usize = 32;

/// A crash as a VM observed it, before it gets its number; see [`CrashNote`].
#[derive(Clone, Copy, Debug)]
pub struct ObservedCrash {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the request was watched on this VM when it was sent.
    pub watched: bool,
    /// How long the request had run on the upstream, in milliseconds.
    pub ran_ms: u64,
}

/// A report that an upstream crashed while it ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The VM's number for this report; the first is 1.
    pub number: u64,
    /// The request.
    #[serde(rename = "mark")]
    pub fingerprint: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the request was watched on this VM when it was sent.
    pub watched: bool,
    /// How long the request had run on the upstream when that crashed, in milliseconds.
    pub ran_ms: u64,
}

/// The crashes and completions that a VM reports with a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashes of upstreams.
    pub ended: Vec<CrashNote>,
    /// Watched requests that completed.
    #[serde(rename = "well")]
    pub completed: Vec<RequestFingerprint>,
}

impl CrashReport {
    /// Returns the number of the last crash in this report, or 0 if there is none.
    pub fn last(&self) -> u64 {
        self.ended.last().map_or(0, |note| note.number)
    }
}

/// The crashes and completions that a VM has to report.
#[derive(Clone, Debug, Default)]
pub struct CrashOutbox {
    notes: VecDeque<(u64, CrashNote)>,
    last_number: u64,
    confirmed: u64,
    term: u64,
    completed: BTreeSet<RequestFingerprint>,
}

impl CrashOutbox {
    /// Queues a crash of an upstream.
    ///
    /// Several requests with one prompt part may run on an upstream. The part's crash is queued once, and again
    /// if only a later one was watched.
    pub fn note_crash(&mut self, observed: ObservedCrash, now_ms: u64) {
        let ObservedCrash { fingerprint, upstream, watched, ran_ms } = observed;
        let known = self.notes.iter().any(|(_, note)| {
            note.fingerprint == fingerprint && note.upstream == upstream && note.watched >= watched
        });
        if known {
            return;
        }
        self.last_number += 1;
        let note = CrashNote { number: self.last_number, fingerprint, upstream, watched, ran_ms };
        self.notes.push_back((now_ms, note));
        if self.notes.len() > MAX_KEPT {
            self.notes.pop_front();
        }
    }

    /// Queues the completion of a watched request. It is reported once and not repeated after a loss:
    /// the next completion of the request is queued again.
    pub fn note_completed(&mut self, fingerprint: RequestFingerprint) {
        self.completed.insert(fingerprint);
    }

    /// Drops the crashes of these upstreams, which turned out to run.
    pub fn withdraw(&mut self, answered: &[UpstreamKey]) {
        self.notes.retain(|(_, note)| !answered.contains(&note.upstream));
    }

    /// Returns the report for the next renewal.
    pub fn take(&mut self, now_ms: u64) -> CrashReport {
        self.notes.retain(|(at_ms, _)| at_ms + CRASH_KEEP_MS > now_ms);
        let unconfirmed = self.notes.iter().map(|(_, note)| *note);
        let unconfirmed = unconfirmed.filter(|note| note.number > self.confirmed);
        CrashReport {
            ended: unconfirmed.take(CRASHES_PER_RENEWAL).collect(),
            completed: std::mem::take(&mut self.completed).into_iter().collect(),
        }
    }

    /// Notes that the leader of `term` confirmed all crashes up to `number`. The first confirmation of a
    /// new leader counts as 0, because that renewal held only crashes that its predecessor had not
    /// confirmed.
    pub fn confirm(&mut self, term: u64, number: u64) {
        if term > self.term {
            (self.term, self.confirmed) = (term, 0);
        } else if term == self.term {
            self.confirmed = self.confirmed.max(number);
        }
    }
}
