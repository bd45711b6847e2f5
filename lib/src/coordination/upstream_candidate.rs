//! One upstream as a choice among them sees it.

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
    /// Its place in the order of engines.
    pub seat: Option<u64>,
    /// In this VM's zone.
    pub near: bool,
    /// When it was first seen, in milliseconds.
    pub first_seen_ms: u64,
}

impl UpstreamCandidate {
    /// Whether this VM may send it new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving && !self.withheld
    }
}

/// Why there is no choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceFault {
    /// No upstream takes work that wasn't tried before.
    NoUpstream,
    /// Some would take it, and none has room.
    Full,
}

pub(super) fn no_choice(taking: usize) -> ChoiceFault {
    match taking {
        0 => ChoiceFault::NoUpstream,
        _ => ChoiceFault::Full,
    }
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
