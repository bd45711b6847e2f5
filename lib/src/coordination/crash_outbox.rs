//! What one VM reports to the leader of upstreams that ended under a request.
//!
//! Invariant: a crash is reported until the leader of the present term says that it heard it, and again to
//! the next leader: datagrams are lost, and what a leader counted is lost with it.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::state::ids::{RequestFingerprint, UpstreamKey};

/// A crash is reported to new leaders for this long, in milliseconds; shorter than any hold, so that none is
/// counted again after one.
pub const CRASH_KEEP_MS: u64 = 300_000;
/// Crashes that a VM keeps, 40 bytes each. An engine with 64 places that ends is 64 at most.
const MOST_KEPT: usize = 256;
/// Crashes reported with one renewal, 25 bytes each; the rest waits for the next.
pub const CRASHES_PER_RENEWAL: usize = 32;

/// A crash as a VM saw it; see [`CrashNote`].
#[derive(Clone, Copy, Debug)]
pub struct SeenCrash {
    /// The request.
    pub mark: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the VM knew the request as watched when it sent it.
    pub watched: bool,
    /// How long it had been there, in milliseconds.
    pub ran_ms: u64,
}

/// An upstream ended under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The VM's number for it; the first is 1.
    pub number: u64,
    /// The request.
    pub mark: RequestFingerprint,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Whether the VM knew the request as watched when it sent it.
    pub watched: bool,
    /// How long it had been there when the upstream ended, in milliseconds.
    pub ran_ms: u64,
}

/// What a VM reports with a renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Upstreams that ended.
    pub ended: Vec<CrashNote>,
    /// Watched requests that ran well.
    pub well: Vec<RequestFingerprint>,
}

impl CrashReport {
    /// The number of the last crash reported; 0 for none.
    pub fn last(&self) -> u64 {
        self.ended.last().map_or(0, |note| note.number)
    }
}

/// What a VM has to report.
#[derive(Clone, Debug, Default)]
pub struct CrashOutbox {
    notes: VecDeque<(u64, CrashNote)>,
    numbered: u64,
    heard: u64,
    term: u64,
    well: BTreeSet<RequestFingerprint>,
}

impl CrashOutbox {
    /// An upstream ended under a request.
    pub fn note_ended(&mut self, seen: SeenCrash, now_ms: u64) {
        self.numbered += 1;
        let SeenCrash { mark, upstream, watched, ran_ms } = seen;
        let note = CrashNote { number: self.numbered, mark, upstream, watched, ran_ms };
        self.notes.push_back((now_ms, note));
        if self.notes.len() > MOST_KEPT {
            self.notes.pop_front();
        }
    }

    /// A watched request ran well. Reported once: it is noted again when it runs well again.
    pub fn note_well(&mut self, mark: RequestFingerprint) {
        self.well.insert(mark);
    }

    /// What the next renewal reports.
    pub fn take(&mut self, now_ms: u64) -> CrashReport {
        self.notes.retain(|(at_ms, _)| at_ms + CRASH_KEEP_MS > now_ms);
        let unheard = self.notes.iter().map(|(_, note)| *note);
        let unheard = unheard.filter(|note| note.number > self.heard);
        CrashReport {
            ended: unheard.take(CRASHES_PER_RENEWAL).collect(),
            well: std::mem::take(&mut self.well).into_iter().collect(),
        }
    }

    /// The leader of `term` heard all up to this number. A new leader heard nothing yet, whatever it
    /// answers: the renewal held only what its predecessor hadn't heard.
    pub fn confirm(&mut self, term: u64, number: u64) {
        if term > self.term {
            (self.term, self.heard) = (term, 0);
        } else if term == self.term {
            self.heard = self.heard.max(number);
        }
    }
}
