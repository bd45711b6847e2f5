//! The upstreams among which a request's upstream is chosen.

use std::collections::BTreeSet;

use crate::state::ids::UpstreamKey;

/// One upstream that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamCandidate {
    /// The upstream's incarnation.
    pub key: UpstreamKey,
    /// Requests in flight from all VMs, as far as reported.
    pub load: u32,
    /// Requests in flight from this VM.
    pub own_load: u32,
    /// Ejected by passive health checks.
    pub ejected: bool,
    /// It has no capacity for this request, as far as reported; see [`super::engine_room`].
    pub full: bool,
    /// The request was sent to it before.
    pub tried: bool,
    /// It can't take the request because of its software version: the stream that the request
    /// resumes began at another one, or no stream may begin at it yet.
    pub other_version: bool,
    /// It takes no new work, but other engines may still fetch cached prompts from it.
    pub leaving: bool,
    /// It isn't leaving, but this VM sends it nothing now, because its zone is evacuated or it is
    /// cold. It counts in the mean load by which a deployment limits the load of the others.
    pub withheld: bool,
    /// How long the upstream has asked this VM to send it nothing, in milliseconds; 0 if it hasn't.
    /// An upstream that backs off counts in the mean load like a withheld one.
    pub backoff_ms: u64,
    /// Its slot on the ring from which the order of engines is computed.
    pub ring_slot: Option<u64>,
    /// It is in this VM's zone.
    pub same_zone: bool,
    /// When it was first seen, in milliseconds.
    pub first_seen_ms: u64,
}

impl UpstreamCandidate {
    /// A candidate that takes work and has none, with all else at its default.
    pub fn idle(key: UpstreamKey) -> UpstreamCandidate {
        UpstreamCandidate {
            key,
            load: 0,
            own_load: 0,
            ejected: false,
            full: false,
            tried: false,
            other_version: false,
            leaving: false,
            withheld: false,
            backoff_ms: 0,
            ring_slot: None,
            same_zone: false,
            first_seen_ms: 0,
        }
    }

    /// Whether this VM may send it new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.is_held_back()
    }

    /// Whether this VM sends it nothing now although it isn't leaving.
    pub fn is_held_back(&self) -> bool {
        self.withheld || self.backoff_ms > 0
    }
}

/// A set of candidates, sorted by key so that one can be found and changed by its key.
#[derive(Clone, Debug)]
pub struct CandidateSet {
    rows: Vec<UpstreamCandidate>,
}

impl CandidateSet {
    /// Creates a set from candidates that are sorted by key.
    pub fn new(rows: impl Iterator<Item = UpstreamCandidate>) -> CandidateSet {
        CandidateSet { rows: rows.collect() }
    }

    /// Changes the candidate with this key, if there is one.
    pub fn change(&mut self, key: UpstreamKey, change: impl FnOnce(&mut UpstreamCandidate)) {
        if let Ok(at) = self.rows.binary_search_by_key(&key, |candidate| candidate.key) {
            change(&mut self.rows[at]);
        }
    }

    /// Removes the candidates with these keys.
    pub fn remove_all(&mut self, keys: impl Iterator<Item = UpstreamKey>) {
        let removed: BTreeSet<UpstreamKey> = keys.collect();
        if !removed.is_empty() {
            self.rows.retain(|candidate| !removed.contains(&candidate.key));
        }
    }

    /// The candidates, sorted by key.
    pub fn into_rows(self) -> Vec<UpstreamCandidate> {
        self.rows
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceError {
    /// No upstream that wasn't tried before takes work.
    NoUpstream,
    /// Some upstreams take work, but none of them has capacity.
    Full,
    /// All upstreams that would take the request asked for back-off; the first of them takes
    /// requests again after this many milliseconds.
    BackingOff(u64),
}

/// Why none of `candidates` was chosen; `taking` is how many of them take work.
pub(super) fn choice_error(taking: usize, candidates: &[UpstreamCandidate]) -> ChoiceError {
    match (taking, earliest_retry(candidates)) {
        (0, Some(backoff_ms)) => ChoiceError::BackingOff(backoff_ms),
        (0, None) => ChoiceError::NoUpstream,
        _ => ChoiceError::Full,
    }
}

/// How long it is until the first upstream takes requests again, in milliseconds, if all upstreams
/// to which this VM might send work asked for back-off. A caller that retries sooner is refused
/// again, at any attempt.
pub fn earliest_retry(candidates: &[UpstreamCandidate]) -> Option<u64> {
    let may_take = |c: &&UpstreamCandidate| !c.leaving && !c.withheld && !c.other_version;
    let mut staying = candidates.iter().filter(may_take).peekable();
    staying.peek()?;
    staying.map(|candidate| candidate.backoff_ms).min().filter(|backoff_ms| *backoff_ms > 0)
}

/// The untried candidates of a suitable version that aren't ejected, or all untried ones of such a
/// version if no other takes work.
pub(super) fn usable(candidates: &[UpstreamCandidate]) -> Vec<&UpstreamCandidate> {
    let fresh: Vec<&UpstreamCandidate> =
        candidates.iter().filter(|c| !c.tried && !c.other_version).collect();
    match fresh.iter().any(|candidate| !candidate.ejected && candidate.takes_work()) {
        true => fresh.into_iter().filter(|candidate| !candidate.ejected).collect(),
        false => fresh,
    }
}
