//! One upstream as a choice among them sees it.

use std::collections::BTreeSet;

use crate::state::ids::UpstreamKey;

/// One upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// Its life.
    pub key: UpstreamKey,
    /// Requests in flight from all VMs, as far as known.
    pub load: u32,
    /// Requests in flight from this VM.
    pub own: u32,
    /// Set aside on passive health checks.
    pub aside: bool,
    /// It has no room for this request, as far as known; see [`super::engine_room`].
    pub full: bool,
    /// The request was sent there before.
    pub tried: bool,
    /// It takes no new work, but may still be asked for what it keeps.
    pub leaving: bool,
    /// It stays, but this VM sends it nothing now: its zone is emptied, or it is cold. It counts in
    /// the mean load, by which a deployment bounds the others.
    pub withheld: bool,
    /// It asked this VM for rest, and wants nothing from it for so long, in milliseconds; 0 for none. It counts
    /// in the mean like one that is withheld.
    pub rest_ms: u64,
    /// Its place in the order of engines.
    pub seat: Option<u64>,
    /// In this VM's zone.
    pub near: bool,
    /// When it was first seen, in milliseconds.
    pub first_seen_ms: u64,
}

impl UpstreamCandidate {
    /// One that takes work and has none, of which nothing more is known.
    pub fn idle(key: UpstreamKey) -> UpstreamCandidate {
        UpstreamCandidate {
            key,
            load: 0,
            own: 0,
            aside: false,
            full: false,
            tried: false,
            leaving: false,
            withheld: false,
            rest_ms: 0,
            seat: None,
            near: false,
            first_seen_ms: 0,
        }
    }

    /// Whether this VM may send it new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.is_held_back()
    }

    /// Whether it stays, and this VM sends it nothing now.
    pub fn is_held_back(&self) -> bool {
        self.withheld || self.rest_ms > 0
    }
}

/// Candidates in the order of their keys, to be changed by key.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    rows: Vec<UpstreamCandidate>,
}

impl CandidateSet {
    /// The set of candidates that come in the order of their keys.
    pub fn new(rows: impl Iterator<Item = UpstreamCandidate>) -> CandidateSet {
        CandidateSet { rows: rows.collect() }
    }

    /// Changes a candidate, if it is one.
    pub fn change(&mut self, key: UpstreamKey, change: impl FnOnce(&mut UpstreamCandidate)) {
        if let Ok(at) = self.rows.binary_search_by_key(&key, |candidate| candidate.key) {
            change(&mut self.rows[at]);
        }
    }

    /// Takes candidates out.
    pub fn remove_all(&mut self, keys: impl Iterator<Item = UpstreamKey>) {
        let removed: BTreeSet<UpstreamKey> = keys.collect();
        if !removed.is_empty() {
            self.rows.retain(|candidate| !removed.contains(&candidate.key));
        }
    }

    /// The candidates, in the order of their keys.
    pub fn into_rows(self) -> Vec<UpstreamCandidate> {
        self.rows
    }
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceFault {
    /// No upstream takes work that wasn't tried before.
    NoUpstream,
    /// Some would take it, and none has room.
    Full,
    /// All that would take it want rest; the first of them for so long, in milliseconds.
    Resting(u64),
}

/// Why none of `candidates` was chosen, of which so many were `taking` work.
pub(super) fn no_choice(taking: usize, candidates: &[UpstreamCandidate]) -> ChoiceFault {
    match (taking, earliest_return(candidates)) {
        (0, Some(rest_ms)) => ChoiceFault::Resting(rest_ms),
        (0, None) => ChoiceFault::NoUpstream,
        _ => ChoiceFault::Full,
    }
}

/// How long it is until the first upstream has rested, in milliseconds, where all that this VM might send
/// work to rest. A caller that comes sooner is refused again, at any attempt.
pub fn earliest_return(candidates: &[UpstreamCandidate]) -> Option<u64> {
    let mut staying = candidates.iter().filter(|c| !c.leaving && !c.withheld).peekable();
    staying.peek()?;
    staying.map(|candidate| candidate.rest_ms).min().filter(|rest_ms| *rest_ms > 0)
}

/// Those not set aside, or all when all are; never one that was tried.
pub(super) fn usable(candidates: &[UpstreamCandidate]) -> Vec<&UpstreamCandidate> {
    let fresh: Vec<&UpstreamCandidate> =
        candidates.iter().filter(|candidate| !candidate.tried).collect();
    match fresh.iter().any(|candidate| !candidate.aside && candidate.takes_work()) {
        true => fresh.into_iter().filter(|candidate| !candidate.aside).collect(),
        false => fresh,
    }
}
